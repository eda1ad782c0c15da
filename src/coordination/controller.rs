//! One controller: what its duties share.

use crate::coordination::metrics::Metrics;
use crate::coordination::replication::streams::Replication;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::features::Features;
use crate::protocol::kv::Limits;
use crate::settings::{Objective, Operator, Platform};
use crate::state::cancellation_watermark::CancellationWatermark;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::{millis_from_seconds, Incarnation, MonotonicMillis};
use crate::transport::frames::PeerClient;
use crate::transport::http::Client;
use crate::transport::{within, within_tick};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use standby::failover::Failovers;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Another controller.
pub struct Peer {
    /// Name.
    pub name: String,
    /// Connection.
    pub client: PeerClient,
    /// Connection for cancellations, which wait for no other frames.
    pub cancellations_client: PeerClient,
    /// Connection for the streams of shards that it is the standby of.
    pub replication_client: PeerClient,
    /// Where telling it of cancellations stands.
    pub cancellation_broadcast: Cell<NotificationState>,
    /// After this it is told again, and how long it was left alone before.
    pub retry_cancellations_after: Cell<(MonotonicMillis, u64)>,
    /// Last time it sent news.
    pub last_status: Cell<Option<MonotonicMillis>>,
    /// It reaches the state service, by its last news.
    pub kv_reachable: Cell<bool>,
    /// It refused the last connection, so the way to it is open.
    pub connection_refused: Cell<bool>,
    /// Workers reach it, by its last news.
    pub workers_reachable: Cell<bool>,
}

/// Whether a peer is being told of cancellations.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub enum NotificationState {
    /// It is not.
    #[default]
    Idle,
    /// It is.
    Busy,
    /// It is, and there is more to tell since that began.
    Pending,
}

/// What a node knows of another's state.
#[derive(Clone, Copy, Debug)]
pub struct PeerObservation {
    /// It told of itself lately.
    pub heard_recently: bool,
    /// It reaches the state service, as it told.
    pub kv_reachable: bool,
    /// It refused the last connection.
    pub connection_refused: bool,
}

/// True if a node that does not reach the state service should take requests all the same.
///
/// In an outage every node fares alike, and being unhealthy helps nobody. One that others are
/// served without, or that hears nothing from any side, is itself cut off: its users, who
/// would get nothing but refusals from it, have to go elsewhere.
pub fn is_cluster_wide_outage(peers: &[PeerObservation]) -> bool {
    let served = peers.iter().any(|p| p.heard_recently && p.kv_reachable);
    let alone = peers
        .iter()
        .all(|p| !p.heard_recently && !p.connection_refused);
    !served && (peers.is_empty() || !alone)
}

/// A signal that several routines wait for.
pub struct Notifier {
    tx: Sender<()>,
    rx: Receiver<()>,
    waiters: RefCell<Vec<Sender<bool>>>,
}

impl Default for Notifier {
    fn default() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        Notifier {
            tx,
            rx,
            waiters: RefCell::new(Vec::new()),
        }
    }
}

impl Notifier {
    /// Wakes the duty behind it.
    pub fn notify(&self) {
        let _ = self.tx.try_send(());
    }
    /// Waits for a ring, `ms` at most.
    pub async fn notified(&self, ms: u64) {
        let _ = within(ms, self.rx.recv()).await;
    }
    /// Waits for a ring, until the next beat of `ms` at most.
    pub async fn notified_by_tick(&self, ms: u64) {
        let _ = within_tick(ms, self.rx.recv()).await;
    }
    /// Rings and waits for the outcome of a turn that began afterwards; `None` after `ms`.
    pub async fn request_round(&self, ms: u64) -> Option<bool> {
        let (tx, rx) = async_channel::bounded(1);
        self.waiters.borrow_mut().push(tx);
        self.notify();
        within(ms, rx.recv()).await?.ok()
    }
    /// Those who wait, taken at the start of a turn.
    pub fn take_waiters(&self) -> Vec<Sender<bool>> {
        std::mem::take(&mut self.waiters.borrow_mut())
    }
}

/// A controller.
pub struct Controller {
    /// The platform's settings.
    pub platform: Platform,
    /// The operators' settings.
    pub operator: Operator,
    /// Optional features.
    pub features: Features,
    /// What decisions go by.
    pub config: SchedulerConfig,
    /// Everything known.
    pub cluster: RefCell<ClusterState>,
    /// State service.
    pub kv: Client,
    /// State service, long polls.
    pub kv_watch: Client,
    /// Cloud.
    pub cloud: Client,
    /// The others.
    pub peers: Vec<Peer>,
    /// Wakes the planner.
    pub scheduling: Notifier,
    /// Asks for a read of the newest changes.
    pub fresh_reads: Notifier,
    /// Wakes the duty that keeps the node's key and shards.
    pub membership: Notifier,
    /// Wakes the renting duty.
    pub autoscaling: Notifier,
    /// Last time the view was brought up to date.
    pub view_updated_at: Cell<Option<MonotonicMillis>>,
    /// Last time the state service served a request.
    pub kv_last_available: Cell<Option<MonotonicMillis>>,
    /// Whether the state service and the cloud were last seen to serve, for the log.
    pub available: [Cell<bool>; 2],
    /// Last time a malformed message was told of, and how many came since.
    last_rate_limited_warning: Cell<(Option<MonotonicMillis>, u32)>,
    /// Failovers of all shards, and the permits to decide for them.
    pub failovers: RefCell<Failovers>,
    /// The standby of each shard, as this controller sees it; empty while the feature is off.
    pub standby_of: RefCell<HashMap<ShardIndex, String>>,
    /// Streams to and from standbys.
    pub replication: RefCell<Replication>,
    /// Since when a shard is owned.
    pub owned_since: RefCell<HashMap<ShardIndex, MonotonicMillis>>,
    /// Whether workers reach this node.
    pub worker_reachability: Cell<WorkerReachability>,
    /// When this process last went on after it had stood still.
    pub resumed_at: Cell<Option<MonotonicMillis>>,
    /// Connections to workers that are open now.
    open_worker_connections: Cell<usize>,
    /// Where turns go.
    pub metrics: Metrics,
    /// Runs the routines.
    pub executor: Rc<LocalExecutor<'static>>,
    started: Instant,
}

/// Whether workers reach a node, by the last report or answer of any worker.
///
/// A node that loses its workers alone keeps its key and its shards, and would answer none of
/// their machines until their leases are over. It gives its shards away in time.
#[derive(Clone, Copy, Debug)]
pub struct WorkerReachability {
    /// The last sign of any worker.
    last_contact: MonotonicMillis,
    /// Since when there have been workers to be heard.
    workers_since: Option<MonotonicMillis>,
    /// When it was last found deaf.
    unreachable_at: Option<MonotonicMillis>,
    /// Time without any sign after which it is.
    limit_ms: u64,
}

impl WorkerReachability {
    /// A third of a lease leaves time to hand over and to be found by the workers.
    pub fn new(lease_ms: u64) -> WorkerReachability {
        WorkerReachability {
            last_contact: MonotonicMillis(0),
            workers_since: None,
            unreachable_at: None,
            limit_ms: (lease_ms / 3).max(3000),
        }
    }
    /// A worker has reported or answered.
    pub fn record_contact(&mut self, now: MonotonicMillis) {
        self.last_contact = self.last_contact.max(now);
    }
    /// True if workers should be asked for an answer: none has come for a while.
    pub fn probe_needed(&self, now: MonotonicMillis) -> bool {
        now.since(self.last_contact) > self.limit_ms / 2
    }
    /// True if workers reach the node, and have for a moment; `any`: there are some to be heard.
    pub fn update(
        &mut self,
        any: bool,
        woke: Option<MonotonicMillis>,
        now: MonotonicMillis,
    ) -> bool {
        self.workers_since = any.then(|| self.workers_since.unwrap_or(now));
        let could = self
            .workers_since
            .max(woke)
            .map(|t| t.max(self.last_contact));
        if any && could.is_some_and(|t| now.since(t) > self.limit_ms) {
            self.unreachable_at = Some(now);
        }
        self.is_reachable(now)
    }
    fn is_reachable(&self, now: MonotonicMillis) -> bool {
        self.unreachable_at
            .is_none_or(|d| now.since(d) > RECOVERY_MS)
    }
}

/// A node that was deaf counts as hearing again after this.
const RECOVERY_MS: u64 = 5000;

/// Since when machines could be heard: what came later, the shard or the end of a stop.
pub fn observing_since(
    owned: Option<MonotonicMillis>,
    woke: Option<MonotonicMillis>,
) -> Option<MonotonicMillis> {
    owned.max(woke)
}

/// A connection to a worker, counted while it lasts.
pub struct Direct(Rc<Controller>);

impl Drop for Direct {
    fn drop(&mut self) {
        self.0
            .open_worker_connections
            .set(self.0.open_worker_connections.get() - 1);
    }
}

/// How much later than due a pause ends when the process, and not its load, is the cause.
const PAUSE_THRESHOLD_MS: u64 = 2500;

/// A service outside, by its place in [`Controller::served`].
#[derive(Clone, Copy, Debug)]
pub enum ExternalService {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
}

/// Least time between two lines on malformed messages.
const WARNING_INTERVAL_MS: u64 = 10_000;

/// By class, the times in which its jobs are expected to finish, the shortest first.
pub fn finish_times(objectives: &[Objective]) -> HashMap<String, Vec<u64>> {
    let mut out: HashMap<String, Vec<u64>> = HashMap::new();
    for o in objectives.iter().filter(|o| o.kind == "finished") {
        if let (Some(class), Some(within)) = (&o.class, o.within_s) {
            out.entry(class.clone())
                .or_default()
                .push(millis_from_seconds(within));
        }
    }
    for times in out.values_mut() {
        times.sort_unstable();
    }
    out
}

/// Time of day, ms.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

impl Controller {
    /// A controller that knows nothing yet.
    pub fn new(
        platform: Platform,
        operator: Operator,
        features: Features,
        ex: Rc<LocalExecutor<'static>>,
    ) -> Controller {
        let s = &platform.settings;
        let config = SchedulerConfig {
            controller_name: platform.name.clone(),
            // Grows from start to start of the same node, and stays a whole number below 2^53.
            incarnation: Incarnation(wall_ms() * 2048 + fastrand::u64(0..2048)),
            unresponsive_ms: millis_from_seconds(s.workers.heartbeat_s * 2.5) + 500,
            queue_cap: operator.queue_cap,
            steal_after_ms: millis_from_seconds(operator.steal_after_s),
            gang_reservation_after_ms: millis_from_seconds(operator.gang_reservation_after_s),
            spot_patience_ms: millis_from_seconds(operator.spot_patience_s),
            capacity_buffer_spot: operator.capacity_buffer_spot,
            capacity_buffer_on_demand: operator.capacity_buffer_on_demand,
            // Clocks differ by up to 0.05%; the rest is for delivery and for timers that fire late.
            lease_expiry_ms: millis_from_seconds(s.workers.lease_s * 1.002) + 2000,
            max_watermark_age_ms: s.workers.renew_ms(),
            cancel_ms: millis_from_seconds(s.workers.cancel_s),
            completion_targets: finish_times(&s.objectives),
            limits_now: s.kv.limits(),
            limits_next: s.kv.next.as_ref().map_or(Limits::NONE, |n| n.limits()),
            limits_observed: Cell::new(Limits::NONE),
        };
        let peers = platform
            .peers
            .iter()
            .map(|p| Peer {
                name: p.name.clone(),
                client: PeerClient::new(p.addr),
                cancellations_client: PeerClient::new(p.addr),
                replication_client: PeerClient::new(p.addr),
                cancellation_broadcast: Cell::default(),
                retry_cancellations_after: Cell::default(),
                last_status: Cell::new(None),
                kv_reachable: Cell::new(false),
                connection_refused: Cell::new(false),
                workers_reachable: Cell::new(true),
            })
            .collect();
        let mut cluster = ClusterState::new(&s.zones, &s.teams, operator.shards_per_zone);
        cluster.cancellation_watermark =
            CancellationWatermark::new(platform.peers.len(), MonotonicMillis(0));
        let failovers = Failovers::new(cluster.shards.len());
        Controller {
            cluster: RefCell::new(cluster),
            kv: Client::new(platform.services.kv),
            kv_watch: Client::new(platform.services.kv),
            cloud: Client::new(platform.services.cloud),
            peers,
            scheduling: Notifier::default(),
            fresh_reads: Notifier::default(),
            membership: Notifier::default(),
            autoscaling: Notifier::default(),
            view_updated_at: Cell::new(None),
            kv_last_available: Cell::new(None),
            available: [Cell::new(false), Cell::new(false)],
            last_rate_limited_warning: Cell::new((None, 0)),
            failovers: RefCell::new(failovers),
            standby_of: RefCell::new(HashMap::new()),
            replication: RefCell::default(),
            owned_since: RefCell::new(HashMap::new()),
            worker_reachability: Cell::new(WorkerReachability::new(millis_from_seconds(
                s.workers.lease_s,
            ))),
            resumed_at: Cell::new(None),
            open_worker_connections: Cell::new(0),
            metrics: Metrics::new(log::log_enabled!(log::Level::Debug)),
            executor: ex,
            started: Instant::now(),
            config,
            platform,
            operator,
            features,
        }
    }

    /// Now.
    pub fn now(&self) -> MonotonicMillis {
        MonotonicMillis(self.started.elapsed().as_millis() as u64)
    }

    /// Runs a duty for good; one that fails is started again, with a log line.
    pub fn spawn_supervised<F, Fut>(self: &Rc<Self>, name: &'static str, duty: F)
    where
        F: Fn(Rc<Controller>) -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        let controller = self.clone();
        self.executor
            .spawn(async move {
                loop {
                    let run = controller
                        .metrics
                        .time_polls(name, duty(controller.clone()));
                    let run = std::panic::AssertUnwindSafe(run);
                    match futures_lite::FutureExt::catch_unwind(run).await {
                        Ok(()) => log::error!("duty {name} ended, starting it again"),
                        Err(_) => log::error!("duty {name} failed, starting it again"),
                    }
                    crate::transport::pause(500).await;
                }
            })
            .detach();
    }

    /// True if the state service answered lately.
    pub fn kv_reachable(&self) -> bool {
        self.kv_last_available
            .get()
            .is_some_and(|t| self.now().since(t) < 3000)
    }

    /// True if requests can be taken: the records are known, and the state service is
    /// within reach or out of everyone's.
    pub fn healthy(&self) -> bool {
        let seen = |p: &Peer| PeerObservation {
            heard_recently: p
                .last_status
                .get()
                .is_some_and(|h| self.now().since(h) < 4000),
            kv_reachable: p.kv_reachable.get(),
            connection_refused: p.connection_refused.get(),
        };
        let peers = || self.peers.iter().map(seen).collect::<Vec<_>>();
        self.cluster.borrow().loaded && (self.kv_reachable() || is_cluster_wide_outage(&peers()))
    }

    /// Waits; notes if this process stood still for seconds meanwhile.
    pub async fn pause(&self, ms: u64) {
        let before = self.now();
        crate::transport::pause(ms).await;
        self.detect_pause(before, ms);
    }

    /// Waits for the next beat of `ms`, or for a ring; notes if this process stood still.
    ///
    /// Each turn costs, however little there is to do: duties that tick at the same rate do so
    /// in one, and what should happen sooner rings.
    pub async fn tick(&self, ms: u64, ring: Option<&Notifier>) {
        let before = self.now();
        match ring {
            Some(ring) => ring.notified_by_tick(ms).await,
            None => {
                let never = futures_lite::future::pending::<()>();
                let _ = within_tick(ms, never).await;
            }
        }
        self.detect_pause(before, ms);
    }

    fn detect_pause(&self, before: MonotonicMillis, ms: u64) {
        let now = self.now();
        if now.since(before) > ms + PAUSE_THRESHOLD_MS {
            // All duties find out at once; one line tells.
            if self
                .resumed_at
                .get()
                .is_none_or(|t| now.since(t) > PAUSE_THRESHOLD_MS)
            {
                log::warn!(
                    "stood still for {} ms: machines are given time to be heard again",
                    now.since(before) - ms
                );
            }
            self.resumed_at.set(Some(now));
        }
    }

    /// Since when a shard's machines could be heard here: not before this node had the shard,
    /// nor while it stood still.
    pub fn observing_since(&self, shard: ShardIndex) -> Option<MonotonicMillis> {
        let owned = self.owned_since.borrow().get(&shard).copied();
        observing_since(owned, self.resumed_at.get())
    }

    /// A worker has reported or answered.
    pub fn record_worker_contact(&self) {
        let mut worker_contact = self.worker_reachability.get();
        worker_contact.record_contact(self.now());
        self.worker_reachability.set(worker_contact);
    }

    /// True if workers reach this node.
    pub fn workers_reachable(&self) -> bool {
        let now = self.now();
        let any = {
            let cluster = self.cluster.borrow();
            let own = self.config.owned(&cluster);
            // Its own machines fall silent with its hearing, so what was heard once counts.
            let there = |m: &Machine| {
                m.is_schedulable(now, self.config.unresponsive_ms)
                    || own[m.shard.at()] && m.last_heartbeat.is_some()
            };
            let any = cluster.all_machines().any(|(_, m)| there(m));
            any
        };
        let mut worker_contact = self.worker_reachability.get();
        let was = worker_contact.is_reachable(now);
        let hears = worker_contact.update(any, self.resumed_at.get(), now);
        self.worker_reachability.set(worker_contact);
        if was && !hears {
            log::warn!("no worker reaches this node, its shards go to others");
        }
        hears
    }

    /// A place for a connection to a worker; `None` while all are taken.
    pub fn acquire_worker_connection(self: &Rc<Self>) -> Option<Direct> {
        let open = self.open_worker_connections.get();
        (open < self.platform.settings.process.worker_connections()).then(|| {
            self.open_worker_connections.set(open + 1);
            Direct(self.clone())
        })
    }

    /// Runs work that needs one connection to a worker; false if all places are taken.
    pub fn spawn_direct(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) -> bool {
        let Some(slot) = self.acquire_worker_connection() else {
            return false;
        };
        let counted = async move {
            work.await;
            drop(slot);
        };
        self.executor.spawn(counted).detach();
        true
    }

    /// Logs when a service outside goes and comes back.
    pub fn record_availability(&self, who: ExternalService, served: bool) {
        let name = match who {
            ExternalService::State => "state service",
            ExternalService::Cloud => "cloud",
        };
        if self.available[who as usize].replace(served) != served {
            if served {
                log::info!("the {name} serves");
            } else {
                log::warn!("the {name} does not serve");
            }
        }
    }

    /// Tells of a malformed message, every ten seconds at most.
    pub fn warn_rate_limited(&self, what: &str) {
        let now = self.now();
        let (last, kept) = self.last_rate_limited_warning.get();
        if last.is_some_and(|t| now.since(t) < WARNING_INTERVAL_MS) {
            self.last_rate_limited_warning
                .set((last, kept.saturating_add(1)));
            return;
        }
        log::warn!("{what} ({kept} more malformed messages since the last of these lines)");
        self.last_rate_limited_warning.set((Some(now), 0));
    }

    /// A peer by name.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.iter().find(|p| p.name == name)
    }
}
