//! What the background tasks and request handlers of one controller share.
//!
//! [`Controller`] holds named components, each of which owns its state: [`clock`] the time and
//! pauses of the process, [`peers`] the other controllers, [`worker_reachability`] and
//! [`worker_connections`] the ways to and from workers, [`availability`] and [`warnings`] what the log
//! has said. All run on one thread. Invariant: no borrow of a `RefCell` in here is kept across an
//! `await`, so a task that is resumed never finds one taken.

pub mod availability;
pub mod clock;
pub mod notifier;
pub mod peers;
pub mod tasks;
pub mod warnings;
pub mod worker_connections;
pub mod worker_reachability;

use crate::coordination::kv::client::KvClient;
use crate::coordination::metrics::Metrics;
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

/// Incarnations a millisecond of wall time has room for: the start time times this stays a whole
/// number below 2^53, which every reader of the records can hold.
const INCARNATIONS_PER_MS: u64 = 2048;
/// Clocks of controllers and workers differ by up to 0.05%, once in each direction, and then some.
const CLOCK_DRIFT_FACTOR: f64 = 1.002;
/// Time for delivery and for timers that fire late, beyond a worker's lease.
const LEASE_EXPIRY_MARGIN_MS: u64 = 2000;
/// Heartbeat intervals that may be missed before a machine gets nothing new.
const UNRESPONSIVE_HEARTBEATS: f64 = 2.5;
/// Time for the delivery of a heartbeat.
const HEARTBEAT_DELIVERY_MS: u64 = 500;

/// A controller.
pub struct Controller {
    /// The platform's settings.
    pub platform: PlatformSettings,
    /// The operators' settings.
    pub operator: OperatorSettings,
    /// Optional features.
    pub features: Features,
    /// Parameters of scheduling decisions.
    pub config: SchedulerConfig,
    /// The cached state of the cluster.
    pub cluster: RefCell<ClusterState>,
    /// Key-value store.
    pub kv: KvClient,
    /// When the cached state was last brought up to date with the key-value store.
    pub view_updated_at: Cell<Option<MonotonicMillis>>,
    /// Cloud.
    pub cloud: Client,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Wakes the planner.
    pub scheduling: Notifier,
    /// Asks for a read of the newest changes.
    pub fresh_reads: Notifier,
    /// Wakes the task that keeps this controller's key and shards.
    pub membership: Notifier,
    /// Wakes the autoscaler.
    pub autoscaling: Notifier,
    /// Availability of the services outside, as last logged.
    pub availability: AvailabilityLog,
    /// Failovers of all shards, and the permits to decide for them.
    pub failovers: RefCell<Failovers>,
    /// The standby of each shard, as this controller sees it; empty while the feature is off.
    pub standby_of: RefCell<HashMap<ShardIndex, String>>,
    /// Streams to and from standbys.
    pub replication: RefCell<Replication>,
    /// Since when a shard is owned.
    pub owned_since: RefCell<HashMap<ShardIndex, MonotonicMillis>>,
    /// Slots for direct connections to workers.
    pub worker_connections: WorkerConnections,
    /// Where the time of the one thread goes.
    pub metrics: Metrics,
    /// Runs the background tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    worker_reachability: Cell<WorkerReachability>,
    warnings: RateLimitedWarnings,
}

/// By class, the times in which its jobs are expected to finish, the shortest first.
pub fn finish_times(objectives: &[Objective]) -> HashMap<String, Vec<u64>> {
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

/// The parameters of decisions that follow from the settings.
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
        completion_targets: finish_times(&shared.objectives),
        limits_now: shared.kv.limits(),
        limits_next: next.map_or(Limits::UNLIMITED, |next| next.limits()),
        limits_observed: Cell::new(Limits::UNLIMITED),
    }
}

/// Grows from start to start of the same controller.
fn new_incarnation() -> Incarnation {
    Incarnation(wall_ms() * INCARNATIONS_PER_MS + fastrand::u64(0..INCARNATIONS_PER_MS))
}

/// The cached state before anything has been read.
fn empty_cluster_state(platform: &PlatformSettings, operator: &OperatorSettings) -> ClusterState {
    let shared = &platform.settings;
    let mut cluster = ClusterState::new(&shared.zones, &shared.teams, operator.shards_per_zone);
    cluster.cancellation_watermark =
        CancellationWatermark::new(platform.peers.len(), MonotonicMillis(0));
    cluster
}

impl Controller {
    /// A controller that knows nothing yet.
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
            executor,
            clock: Clock::new(monotonic),
            worker_reachability: Cell::new(WorkerReachability::new(lease_ms)),
            warnings: RateLimitedWarnings::default(),
            config,
            platform,
            operator,
            features,
        }
    }

    /// Now.
    pub fn now(&self) -> MonotonicMillis {
        self.clock.now()
    }

    /// Waits; see [`Clock::pause`].
    pub async fn pause(&self, ms: u64) {
        self.clock.pause(ms).await;
    }

    /// Waits for the next tick; see [`Clock::tick`].
    pub async fn tick(&self, ms: u64, notifier: Option<&Notifier>) {
        self.clock.tick(ms, notifier).await;
    }

    /// When this process resumed after its last pause.
    pub fn resumed_at(&self) -> Option<MonotonicMillis> {
        self.clock.resumed_at()
    }

    /// Since when a shard's machines could be heard here: not before this controller owned the
    /// shard, nor while its process was paused.
    pub fn observing_since(&self, shard: ShardIndex) -> Option<MonotonicMillis> {
        let owned_since = self.owned_since.borrow().get(&shard).copied();
        observing_since(owned_since, self.resumed_at())
    }

    /// True if requests can be taken: the records have been read, and the key-value store is
    /// within reach or out of everyone's.
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

    /// Brings the cached state up to the state of now; false if the key-value store is out of reach.
    pub async fn refresh(&self, ms: u64) -> bool {
        self.fresh_reads.request_round(ms).await.unwrap_or(false)
    }

    /// A worker has sent a heartbeat or answered.
    pub fn record_worker_contact(&self) {
        let mut reachability = self.worker_reachability.get();
        reachability.record_contact(self.now());
        self.worker_reachability.set(reachability);
    }

    /// True if workers should be asked for an answer: none has come for a while.
    pub fn worker_probe_needed(&self, now: MonotonicMillis) -> bool {
        self.worker_reachability.get().probe_needed(now)
    }

    /// True if workers reach this controller.
    pub fn workers_reachable(&self) -> bool {
        let now = self.now();
        let any_workers = self.any_worker_to_hear_from(now);
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

    /// True if there is a worker that would be heard by a reachable controller.
    fn any_worker_to_hear_from(&self, now: MonotonicMillis) -> bool {
        let cluster = self.cluster.borrow();
        let owned = self.config.owned(&cluster);
        // The machines of this controller fall silent with its reachability, so those that were
        // heard once count.
        let is_there = |machine: &Machine| {
            machine.is_schedulable(now, self.config.unresponsive_ms)
                || owned[machine.shard.at()] && machine.heartbeat.last_seen.is_some()
        };
        let any = cluster.all_machines().any(|(_, machine)| is_there(machine));
        any
    }

    /// Logs a warning that a client could repeat without end, every ten seconds at most.
    pub fn warn_rate_limited(&self, message: &str) {
        self.warnings.warn(self.now(), message);
    }

    /// A peer by name.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.name == name)
    }
}
