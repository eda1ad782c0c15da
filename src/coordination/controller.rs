//! One controller: what its duties share.

use crate::coordination::metrics::Metrics;
use crate::coordination::replication::Replication;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::features::Features;
use crate::protocol::kv::Limits;
use crate::settings::{Objective, Operator, Platform};
use crate::state::cancellation_watermark::Knowledge;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, ShardIx};
use crate::state::units::{ms_of, Ms};
use crate::transport::frames::PeerClient;
use crate::transport::http::Client;
use crate::transport::{within, within_beat};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use standby::failover::Takeovers;
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
    pub teller: PeerClient,
    /// Connection for the streams of shards that it is the standby of.
    pub streams: PeerClient,
    /// Where telling it of cancellations stands.
    pub telling: Cell<NotificationState>,
    /// After this it is told again, and how long it was left alone before.
    pub untold: Cell<(Ms, u64)>,
    /// Last time it sent news.
    pub heard: Cell<Option<Ms>>,
    /// It reaches the state service, by its last news.
    pub store_ok: Cell<bool>,
    /// It refused the last connection, so the way to it is open.
    pub refuses: Cell<bool>,
    /// Workers reach it, by its last news.
    pub hears_workers: Cell<bool>,
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
    More,
}

/// What a node knows of another's state.
#[derive(Clone, Copy, Debug)]
pub struct PeerSeen {
    /// It told of itself lately.
    pub heard: bool,
    /// It reaches the state service, as it told.
    pub store_ok: bool,
    /// It refused the last connection.
    pub refuses: bool,
}

/// True if a node that does not reach the state service should take requests all the same.
///
/// In an outage every node fares alike, and being unhealthy helps nobody. One that others are
/// served without, or that hears nothing from any side, is itself cut off: its users, who
/// would get nothing but refusals from it, have to go elsewhere.
pub fn outage_is_everyones(peers: &[PeerSeen]) -> bool {
    let served = peers.iter().any(|p| p.heard && p.store_ok);
    let alone = peers.iter().all(|p| !p.heard && !p.refuses);
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
        let _ = within_beat(ms, self.rx.recv()).await;
    }
    /// Rings and waits for the outcome of a turn that began afterwards; `None` after `ms`.
    pub async fn turn(&self, ms: u64) -> Option<bool> {
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
pub struct Node {
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
    pub store: Client,
    /// State service, long polls.
    pub watcher: Client,
    /// Cloud.
    pub cloud: Client,
    /// The others.
    pub peers: Vec<Peer>,
    /// Wakes the planner.
    pub plan: Notifier,
    /// Asks for a read of the newest changes.
    pub fresh: Notifier,
    /// Wakes the duty that keeps the node's key and shards.
    pub members: Notifier,
    /// Wakes the renting duty.
    pub rent: Notifier,
    /// Last time the view was brought up to date.
    pub current: Cell<Option<Ms>>,
    /// Last time the state service served a request.
    pub store_served: Cell<Option<Ms>>,
    /// Whether the state service and the cloud were last seen to serve, for the log.
    pub served: [Cell<bool>; 2],
    /// Last time a malformed message was told of, and how many came since.
    complained: Cell<(Option<Ms>, u32)>,
    /// Takeovers of all shards, and the permits to decide for them.
    pub takeovers: RefCell<Takeovers>,
    /// The standby of each shard, as this node sees it; empty while the feature is off.
    pub standby_of: RefCell<HashMap<ShardIx, String>>,
    /// Streams to and from standbys.
    pub replication: RefCell<Replication>,
    /// Since when a shard is owned.
    pub owned_since: RefCell<HashMap<ShardIx, Ms>>,
    /// Whether workers reach this node.
    pub worker_contact: Cell<WorkerContact>,
    /// When this process last went on after it had stood still.
    pub woke: Cell<Option<Ms>>,
    /// Connections to workers that are open now.
    directs: Cell<usize>,
    /// Where turns go.
    pub metrics: Metrics,
    /// Runs the routines.
    pub ex: Rc<LocalExecutor<'static>>,
    started: Instant,
}

/// Whether workers reach a node, by the last report or answer of any worker.
///
/// A node that loses its workers alone keeps its key and its shards, and would answer none of
/// their machines until their leases are over. It gives its shards away in time.
#[derive(Clone, Copy, Debug)]
pub struct WorkerContact {
    /// The last sign of any worker.
    last: Ms,
    /// Since when there have been workers to be heard.
    any: Option<Ms>,
    /// When it was last found deaf.
    deaf: Option<Ms>,
    /// Time without any sign after which it is.
    limit_ms: u64,
}

impl WorkerContact {
    /// A third of a lease leaves time to hand over and to be found by the workers.
    pub fn new(lease_ms: u64) -> WorkerContact {
        WorkerContact {
            last: Ms(0),
            any: None,
            deaf: None,
            limit_ms: (lease_ms / 3).max(3000),
        }
    }
    /// A worker has reported or answered.
    pub fn heard(&mut self, now: Ms) {
        self.last = self.last.max(now);
    }
    /// True if workers should be asked for an answer: none has come for a while.
    pub fn doubts(&self, now: Ms) -> bool {
        now.since(self.last) > self.limit_ms / 2
    }
    /// True if workers reach the node, and have for a moment; `any`: there are some to be heard.
    pub fn hears(&mut self, any: bool, woke: Option<Ms>, now: Ms) -> bool {
        self.any = any.then(|| self.any.unwrap_or(now));
        let could = self.any.max(woke).map(|t| t.max(self.last));
        if any && could.is_some_and(|t| now.since(t) > self.limit_ms) {
            self.deaf = Some(now);
        }
        self.heard_lately(now)
    }
    fn heard_lately(&self, now: Ms) -> bool {
        self.deaf.is_none_or(|d| now.since(d) > REGAINED_MS)
    }
}

/// A node that was deaf counts as hearing again after this.
const REGAINED_MS: u64 = 5000;

/// Since when machines could be heard: what came later, the shard or the end of a stop.
pub fn listened(owned: Option<Ms>, woke: Option<Ms>) -> Option<Ms> {
    owned.max(woke)
}

/// A connection to a worker, counted while it lasts.
pub struct Direct(Rc<Node>);

impl Drop for Direct {
    fn drop(&mut self) {
        self.0.directs.set(self.0.directs.get() - 1);
    }
}

/// How much later than due a pause ends when the process, and not its load, is the cause.
const STOOD_STILL_MS: u64 = 2500;

/// A service outside, by its place in [`Node::served`].
#[derive(Clone, Copy, Debug)]
pub enum ExternalService {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
}

/// Least time between two lines on malformed messages.
const COMPLAIN_MS: u64 = 10_000;

/// By class, the times in which its jobs are expected to finish, the shortest first.
pub fn finish_times(objectives: &[Objective]) -> HashMap<String, Vec<u64>> {
    let mut out: HashMap<String, Vec<u64>> = HashMap::new();
    for o in objectives.iter().filter(|o| o.kind == "finished") {
        if let (Some(class), Some(within)) = (&o.class, o.within_s) {
            out.entry(class.clone()).or_default().push(ms_of(within));
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

impl Node {
    /// A controller that knows nothing yet.
    pub fn new(
        platform: Platform,
        operator: Operator,
        features: Features,
        ex: Rc<LocalExecutor<'static>>,
    ) -> Node {
        let s = &platform.settings;
        let config = SchedulerConfig {
            node: platform.node.clone(),
            // Grows from start to start of the same node, and stays a whole number below 2^53.
            incarnation: wall_ms() * 2048 + fastrand::u64(0..2048),
            silent_ms: ms_of(s.workers.report_s * 2.5) + 500,
            queue_cap: operator.queue_cap,
            steal_ms: ms_of(operator.steal_after_s),
            gang_hold_ms: ms_of(operator.gang_hold_s),
            spot_patience_ms: ms_of(operator.spot_patience_s),
            headroom: operator.headroom,
            headroom_ordinary: operator.headroom_ordinary,
            // Clocks differ by up to 0.05%; the rest is for delivery and for timers that fire late.
            dead_ms: ms_of(s.workers.lease_s * 1.002) + 2000,
            renew_ms: s.workers.renew_ms(),
            cancel_ms: ms_of(s.workers.cancel_s),
            finish_within: finish_times(&s.objectives),
            limits_now: s.state.limits(),
            limits_next: s.state.next.as_ref().map_or(Limits::NONE, |n| n.limits()),
            limits_seen: Cell::new(Limits::NONE),
        };
        let peers = platform
            .siblings
            .iter()
            .map(|p| Peer {
                name: p.node.clone(),
                client: PeerClient::new(p.addr),
                teller: PeerClient::new(p.addr),
                streams: PeerClient::new(p.addr),
                telling: Cell::default(),
                untold: Cell::default(),
                heard: Cell::new(None),
                store_ok: Cell::new(false),
                refuses: Cell::new(false),
                hears_workers: Cell::new(true),
            })
            .collect();
        let mut cluster = ClusterState::new(&s.zones, &s.teams, operator.shards_per_zone);
        cluster.knowledge = Knowledge::new(platform.siblings.len(), Ms(0));
        let takeovers = Takeovers::new(cluster.shards.len());
        Node {
            cluster: RefCell::new(cluster),
            store: Client::new(platform.outside.state),
            watcher: Client::new(platform.outside.state),
            cloud: Client::new(platform.outside.cloud),
            peers,
            plan: Notifier::default(),
            fresh: Notifier::default(),
            members: Notifier::default(),
            rent: Notifier::default(),
            current: Cell::new(None),
            store_served: Cell::new(None),
            served: [Cell::new(false), Cell::new(false)],
            complained: Cell::new((None, 0)),
            takeovers: RefCell::new(takeovers),
            standby_of: RefCell::new(HashMap::new()),
            replication: RefCell::default(),
            owned_since: RefCell::new(HashMap::new()),
            worker_contact: Cell::new(WorkerContact::new(ms_of(s.workers.lease_s))),
            woke: Cell::new(None),
            directs: Cell::new(0),
            metrics: Metrics::new(log::log_enabled!(log::Level::Debug)),
            ex,
            started: Instant::now(),
            config,
            platform,
            operator,
            features,
        }
    }

    /// Now.
    pub fn now(&self) -> Ms {
        Ms(self.started.elapsed().as_millis() as u64)
    }

    /// Runs a duty for good; one that fails is started again, with a log line.
    pub fn duty<F, Fut>(self: &Rc<Self>, name: &'static str, duty: F)
    where
        F: Fn(Rc<Node>) -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        let node = self.clone();
        self.ex
            .spawn(async move {
                loop {
                    let run = node.metrics.routine(name, duty(node.clone()));
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
    pub fn store_ok(&self) -> bool {
        self.store_served
            .get()
            .is_some_and(|t| self.now().since(t) < 3000)
    }

    /// True if requests can be taken: the records are known, and the state service is
    /// within reach or out of everyone's.
    pub fn healthy(&self) -> bool {
        let seen = |p: &Peer| PeerSeen {
            heard: p.heard.get().is_some_and(|h| self.now().since(h) < 4000),
            store_ok: p.store_ok.get(),
            refuses: p.refuses.get(),
        };
        let peers = || self.peers.iter().map(seen).collect::<Vec<_>>();
        self.cluster.borrow().loaded && (self.store_ok() || outage_is_everyones(&peers()))
    }

    /// Waits; notes if this process stood still for seconds meanwhile.
    pub async fn pause(&self, ms: u64) {
        let before = self.now();
        crate::transport::pause(ms).await;
        self.note_stop(before, ms);
    }

    /// Waits for the next beat of `ms`, or for a ring; notes if this process stood still.
    ///
    /// Each turn costs, however little there is to do: duties that tick at the same rate do so
    /// in one, and what should happen sooner rings.
    pub async fn beat(&self, ms: u64, ring: Option<&Notifier>) {
        let before = self.now();
        match ring {
            Some(ring) => ring.notified_by_tick(ms).await,
            None => {
                let never = futures_lite::future::pending::<()>();
                let _ = within_beat(ms, never).await;
            }
        }
        self.note_stop(before, ms);
    }

    fn note_stop(&self, before: Ms, ms: u64) {
        let now = self.now();
        if now.since(before) > ms + STOOD_STILL_MS {
            // All duties find out at once; one line tells.
            if self
                .woke
                .get()
                .is_none_or(|t| now.since(t) > STOOD_STILL_MS)
            {
                log::warn!(
                    "stood still for {} ms: machines are given time to be heard again",
                    now.since(before) - ms
                );
            }
            self.woke.set(Some(now));
        }
    }

    /// Since when a shard's machines could be heard here: not before this node had the shard,
    /// nor while it stood still.
    pub fn listened_since(&self, shard: ShardIx) -> Option<Ms> {
        let owned = self.owned_since.borrow().get(&shard).copied();
        listened(owned, self.woke.get())
    }

    /// A worker has reported or answered.
    pub fn heard_worker(&self) {
        let mut worker_contact = self.worker_contact.get();
        worker_contact.heard(self.now());
        self.worker_contact.set(worker_contact);
    }

    /// True if workers reach this node.
    pub fn hears_workers(&self) -> bool {
        let now = self.now();
        let any = {
            let cluster = self.cluster.borrow();
            let own = self.config.owned(&cluster);
            // Its own machines fall silent with its hearing, so what was heard once counts.
            let there = |m: &Machine| {
                m.takes(now, self.config.silent_ms) || own[m.shard.at()] && m.heard.is_some()
            };
            let any = cluster.all_machines().any(|(_, m)| there(m));
            any
        };
        let mut worker_contact = self.worker_contact.get();
        let was = worker_contact.heard_lately(now);
        let hears = worker_contact.hears(any, self.woke.get(), now);
        self.worker_contact.set(worker_contact);
        if was && !hears {
            log::warn!("no worker reaches this node, its shards go to others");
        }
        hears
    }

    /// A place for a connection to a worker; `None` while all are taken.
    pub fn direct(self: &Rc<Self>) -> Option<Direct> {
        let open = self.directs.get();
        (open < self.platform.settings.machine_limits.directs()).then(|| {
            self.directs.set(open + 1);
            Direct(self.clone())
        })
    }

    /// Runs work that needs one connection to a worker; false if all places are taken.
    pub fn spawn_direct(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) -> bool {
        let Some(slot) = self.direct() else {
            return false;
        };
        let counted = async move {
            work.await;
            drop(slot);
        };
        self.ex.spawn(counted).detach();
        true
    }

    /// Logs when a service outside goes and comes back.
    pub fn note_served(&self, who: ExternalService, served: bool) {
        let name = match who {
            ExternalService::State => "state service",
            ExternalService::Cloud => "cloud",
        };
        if self.served[who as usize].replace(served) != served {
            if served {
                log::info!("the {name} serves");
            } else {
                log::warn!("the {name} does not serve");
            }
        }
    }

    /// Tells of a malformed message, every ten seconds at most.
    pub fn complain(&self, what: &str) {
        let now = self.now();
        let (last, kept) = self.complained.get();
        if last.is_some_and(|t| now.since(t) < COMPLAIN_MS) {
            self.complained.set((last, kept.saturating_add(1)));
            return;
        }
        log::warn!("{what} ({kept} more malformed messages since the last of these lines)");
        self.complained.set((Some(now), 0));
    }

    /// A peer by name.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.iter().find(|p| p.name == name)
    }
}
