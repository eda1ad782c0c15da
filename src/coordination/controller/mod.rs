//! State shared by the background tasks and request handlers of one controller.
//!
//! [`Controller`] consists of components that own their state: [`clock`] the time and the pauses of
//! the process, [`peers`] the other controllers, [`worker_reachability`] and [`worker_connections`]
//! the connectivity with workers, [`availability`] and [`warnings`] the state that limits repeated
//! log lines. All tasks run on one thread. Invariant: no borrow of a `RefCell` of the controller is
//! held across an `await`, so a task that resumes never finds a `RefCell` already borrowed.

pub mod availability;
pub mod clock;
pub mod notifier;
pub mod peers;
pub mod tasks;
pub mod warnings;
pub mod worker_connections;
pub mod worker_reachability;

use crate::coordination::event_counts::EventCounts;
use crate::coordination::kv::client::KvClient;
use crate::coordination::metrics::Metrics;
use crate::coordination::rate_limiter::RateLimiter;
use crate::coordination::replication::streams::Replication;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::features::Features;
use crate::protocol::kv::Limits;
use crate::settings::{Objective, OperatorSettings, PlatformSettings};
use crate::state::cancellation_watermark::CancellationWatermark;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::{millis_from_seconds, Incarnation, MonotonicMillis};
use crate::transport::http::Client;
use async_executor::LocalExecutor;
use availability::AvailabilityLog;
use clock::{observing_since, wall_ms, Clock, MonotonicClock};
use notifier::Notifier;
use peers::{is_cluster_wide_outage, Peer, PeerObservation};
use standby::failover::Failovers;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use warnings::RateLimitedWarnings;
use worker_connections::WorkerConnections;
use worker_reachability::WorkerReachability;

/// Number of different incarnations that can be drawn in one millisecond of wall-clock time. With
/// this factor an incarnation stays an integer below 2^53, which every reader of the records can
/// represent.
const INCARNATIONS_PER_MS: u64 = 2048;
/// Factor for clock drift: the clocks of a controller and a worker deviate by up to 0.05% each, in
/// either direction, and some margin is added.
const CLOCK_DRIFT_FACTOR: f64 = 1.002;
/// Margin beyond a worker's lease for the delivery of messages and for timers that fire late.
const LEASE_EXPIRY_MARGIN_MS: u64 = 2000;
/// Number of heartbeat intervals without a heartbeat after which a machine gets no new tasks.
const UNRESPONSIVE_HEARTBEATS: f64 = 2.5;
/// Lines per second on ends of attempts that are logged at level info on average.
const ATTEMPT_END_LINES_PER_S: f64 = 20.0;
/// Time allowed for the delivery of a heartbeat.
const HEARTBEAT_DELIVERY_MS: u64 = 500;

/// The shared state of a controller.
pub struct Controller {
    /// Settings of the platform.
    pub platform: PlatformSettings,
    /// Settings of the operators.
    pub operator: OperatorSettings,
    /// Optional features.
    pub features: Features,
    /// Parameters of scheduling decisions.
    pub config: SchedulerConfig,
    /// Cached state of the cluster.
    pub cluster: RefCell<ClusterState>,
    /// Client of the key-value store.
    pub kv: KvClient,
    /// When the cached state was last up to date with the key-value store; `None` before the first
    /// read.
    pub view_updated_at: Cell<Option<MonotonicMillis>>,
    /// Client of the cloud.
    pub cloud: Client,
    /// The other controllers of the deployment.
    pub peers: Vec<Peer>,
    /// Wakes the planner.
    pub scheduling: Notifier,
    /// Wakes the task that reads the newest changes of the key-value store.
    pub fresh_reads: Notifier,
    /// Wakes the membership task.
    pub membership: Notifier,
    /// Wakes the autoscaler.
    pub autoscaling: Notifier,
    /// Availability of external services as last logged.
    pub availability: AvailabilityLog,
    /// Failovers of all shards, and the permits to decide for them.
    pub failovers: RefCell<Failovers>,
    /// Name of each shard's standby in the view of this controller; empty while the feature is off.
    pub standby_of: RefCell<HashMap<ShardIndex, String>>,
    /// Streams from owners to standbys that this controller sends or receives.
    pub replication: RefCell<Replication>,
    /// When this controller acquired each of the shards that it owns.
    pub owned_since: RefCell<HashMap<ShardIndex, MonotonicMillis>>,
    /// Slots for direct connections to workers.
    pub worker_connections: WorkerConnections,
    /// Poll durations of the background tasks and request handlers.
    pub metrics: Metrics,
    /// Counts of starts, stops, final responses and incomplete requests.
    pub events: EventCounts,
    /// Executor of the background tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    worker_reachability: Cell<WorkerReachability>,
    warnings: RateLimitedWarnings,
    attempt_end_lines: RefCell<RateLimiter>,
}

/// Completion targets of each class: the durations, in milliseconds and in ascending order, that
/// the objectives of kind `finished` set for its jobs.
pub fn completion_targets(objectives: &[Objective]) -> HashMap<String, Vec<u64>> {
    let mut times_by_class: HashMap<String, Vec<u64>> = HashMap::new();
    for objective in objectives.iter().filter(|o| o.kind == "finished") {
        if let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) {
            times_by_class
                .entry(class.clone())
                .or_default()
                .push(millis_from_seconds(within_s));
        }
    }
    for times in times_by_class.values_mut() {
        times.sort_unstable();
    }
    times_by_class
}

/// Parameters of scheduling decisions according to the settings.
fn scheduler_config(platform: &PlatformSettings, operator: &OperatorSettings) -> SchedulerConfig {
    let shared = &platform.settings;
    let workers = &shared.workers;
    let next = shared.kv.next.as_ref();
    SchedulerConfig {
        controller_name: platform.name.clone(),
        incarnation: new_incarnation(),
        unresponsive_ms: millis_from_seconds(workers.heartbeat_s * UNRESPONSIVE_HEARTBEATS)
            + HEARTBEAT_DELIVERY_MS,
        queue_cap: operator.queue_cap,
        steal_after_ms: millis_from_seconds(operator.steal_after_s),
        gang_reservation_after_ms: millis_from_seconds(operator.gang_reservation_after_s),
        spot_patience_ms: millis_from_seconds(operator.spot_patience_s),
        capacity_buffer_spot: operator.capacity_buffer_spot,
        capacity_buffer_on_demand: operator.capacity_buffer_on_demand,
        lease_expiry_ms: millis_from_seconds(workers.lease_s * CLOCK_DRIFT_FACTOR)
            + LEASE_EXPIRY_MARGIN_MS,
        max_watermark_age_ms: workers.max_watermark_age_ms(),
        cancel_ms: millis_from_seconds(workers.cancel_s),
        completion_targets: completion_targets(&shared.objectives),
        limits_now: shared.kv.limits(),
        limits_next: next.map_or(Limits::UNLIMITED, |next| next.limits()),
        limits_observed: Cell::new(Limits::UNLIMITED),
    }
}

/// An incarnation that is higher than those of earlier processes of the same controller.
fn new_incarnation() -> Incarnation {
    Incarnation(wall_ms() * INCARNATIONS_PER_MS + fastrand::u64(0..INCARNATIONS_PER_MS))
}

/// The cached state before any record has been read.
fn empty_cluster_state(platform: &PlatformSettings, operator: &OperatorSettings) -> ClusterState {
    let shared = &platform.settings;
    let mut cluster = ClusterState::new(&shared.zones, &shared.teams, operator.shards_per_zone);
    cluster.cancellation_watermark =
        CancellationWatermark::new(platform.peers.len(), MonotonicMillis(0));
    cluster
}

impl Controller {
    /// A controller that has not read any records yet.
    pub fn new(
        platform: PlatformSettings,
        operator: OperatorSettings,
        features: Features,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Controller {
        let monotonic = MonotonicClock::start();
        let config = scheduler_config(&platform, &operator);
        let cluster = empty_cluster_state(&platform, &operator);
        let shared = &platform.settings;
        let lease_ms = millis_from_seconds(shared.workers.lease_s);
        Controller {
            failovers: RefCell::new(Failovers::new(cluster.shards.len())),
            cluster: RefCell::new(cluster),
            kv: KvClient::new(platform.services.kv, monotonic),
            view_updated_at: Cell::new(None),
            cloud: Client::new(platform.services.cloud),
            peers: platform.peers.iter().map(Peer::new).collect(),
            scheduling: Notifier::default(),
            fresh_reads: Notifier::default(),
            membership: Notifier::default(),
            autoscaling: Notifier::default(),
            availability: AvailabilityLog::default(),
            standby_of: RefCell::default(),
            replication: RefCell::default(),
            owned_since: RefCell::default(),
            worker_connections: WorkerConnections::new(shared.process.worker_connections()),
            metrics: Metrics::new(log::log_enabled!(log::Level::Debug)),
            events: EventCounts::default(),
            executor,
            clock: Clock::new(monotonic),
            worker_reachability: Cell::new(WorkerReachability::new(lease_ms)),
            warnings: RateLimitedWarnings::default(),
            attempt_end_lines: RefCell::new(RateLimiter::new(ATTEMPT_END_LINES_PER_S)),
            config,
            platform,
            operator,
            features,
        }
    }

    /// Time since the start of the process.
    pub fn now(&self) -> MonotonicMillis {
        self.clock.now()
    }

    /// Waits for `ms` milliseconds; see [`Clock::sleep`].
    pub async fn sleep(&self, ms: u64) {
        self.clock.sleep(ms).await;
    }

    /// Waits for the next multiple of `ms` or for a notification; see [`Clock::tick`].
    pub async fn tick(&self, ms: u64, notifier: Option<&Notifier>) {
        self.clock.tick(ms, notifier).await;
    }

    /// When this process resumed after its last pause; `None` if it has never been paused.
    pub fn resumed_at(&self) -> Option<MonotonicMillis> {
        self.clock.resumed_at()
    }

    /// Time since which this controller could receive heartbeats of a shard's machines; see
    /// [`observing_since`].
    pub fn observing_since(&self, shard: ShardIndex) -> Option<MonotonicMillis> {
        let owned_since = self.owned_since.borrow().get(&shard).copied();
        observing_since(owned_since, self.resumed_at())
    }

    /// True if this controller can accept requests: it has read the records, and either it reaches
    /// the key-value store or the outage of the store affects the whole cluster.
    pub fn healthy(&self) -> bool {
        let loaded = self.cluster.borrow().loaded;
        loaded && (self.kv.is_reachable() || self.in_cluster_wide_outage())
    }

    fn in_cluster_wide_outage(&self) -> bool {
        let now = self.now();
        let observations: Vec<PeerObservation> = self
            .peers
            .iter()
            .map(|peer| peer.observation(now))
            .collect();
        is_cluster_wide_outage(&observations)
    }

    /// Reads the newest changes into the cached state; false if that fails or takes longer than
    /// `ms` milliseconds.
    pub async fn refresh(&self, ms: u64) -> bool {
        self.fresh_reads.request_round(ms).await.unwrap_or(false)
    }

    /// Records that a worker has sent a heartbeat or a response.
    pub fn record_worker_contact(&self) {
        let mut reachability = self.worker_reachability.get();
        reachability.record_contact(self.now());
        self.worker_reachability.set(reachability);
    }

    /// True if workers should be probed because there has been no contact with any for a while.
    pub fn worker_probe_needed(&self, now: MonotonicMillis) -> bool {
        self.worker_reachability.get().probe_needed(now)
    }

    /// Updates and returns whether workers reach this controller, and logs a warning when they no
    /// longer do.
    pub fn workers_reachable(&self) -> bool {
        let now = self.now();
        let any_workers = self.expects_worker_contact(now);
        let mut reachability = self.worker_reachability.get();
        let was_reachable = reachability.is_reachable(now);
        let reachable = reachability.update(any_workers, self.resumed_at(), now);
        self.worker_reachability.set(reachability);
        if was_reachable && !reachable {
            log::warn!(
                "unreachable from workers, handing shards over: controller={}",
                self.config.controller_name
            );
        }
        reachable
    }

    /// True if there is a worker from which a reachable controller would receive heartbeats.
    fn expects_worker_contact(&self, now: MonotonicMillis) -> bool {
        let cluster = self.cluster.borrow();
        let owned = self.config.ownership_by_shard(&cluster);
        // Machines of this controller's shards appear silent when it is unreachable, so each of
        // them that has ever sent a heartbeat counts.
        let should_be_in_contact = |machine: &Machine| {
            machine.is_schedulable(now, self.config.unresponsive_ms)
                || owned[machine.shard.at()] && machine.heartbeat.last_seen.is_some()
        };
        let any = cluster
            .all_machines()
            .any(|(_, machine)| should_be_in_contact(machine));
        any
    }

    /// Milliseconds since the cached state was last up to date with the key-value store, as a field
    /// of log lines; `none` before the first read.
    pub fn view_age(&self) -> String {
        match self.view_updated_at.get() {
            Some(at) => self.now().since(at).to_string(),
            None => "none".to_string(),
        }
    }

    /// Logs a warning that a client can trigger without limit, at most once in ten seconds.
    pub fn warn_rate_limited(&self, message: &str) {
        self.warnings.warn(self.now(), message);
    }

    /// True if one more line on the end of an attempt may be logged at level info now.
    pub fn may_log_attempt_end(&self) -> bool {
        let mut lines = self.attempt_end_lines.borrow_mut();
        lines.try_acquire(self.now(), 0.0)
    }

    /// The peer with a name; `None` for an unknown name or that of this controller.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.name == name)
    }
}
