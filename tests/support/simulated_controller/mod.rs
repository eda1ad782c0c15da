//! A controller without sockets: it makes its decisions with the program's own functions, commits
//! them to a fake key-value store, and exchanges messages by function calls on a simulated clock.
//!
//! - this module: state, start, and access to the key-value store;
//! - `membership`: the controller's key, its shards and its peers;
//! - `scheduling`: planning, heartbeats and direct starts.

mod membership;
mod scheduling;

use super::cloud::machine_type;
use super::digest;
use super::kv_store::{FakeKvStore, NO_RESPONSE};
use super::worker::FakeWorker;
use pointhook::coordination::cancellations::direct_stops::DirectStopTracker;
use pointhook::coordination::kv::{apply_outcome, set, transaction, CommitOutcome};
use pointhook::coordination::membership::MembershipView;
use pointhook::coordination::scheduler::config::SchedulerConfig;
use pointhook::coordination::scheduler::draft::DraftTransaction;
use pointhook::protocol::cloud::MachineTypeCatalog;
use pointhook::protocol::kv::{Condition, Limits, Transaction};
use pointhook::protocol::users::JobSpec;
use pointhook::settings::Team;
use pointhook::state::cluster_state::{ClusterState, ControllerRecord, KEY_PREFIX};
use pointhook::state::job::{Job, JobRecord, JobState};
use pointhook::state::names::{Index, JobIndex, MachineIndex, ShardIndex, ZoneIndex};
use pointhook::state::records::{NEWEST_RECORD_FORMAT, STANDBY_VERSION};
use pointhook::state::units::Incarnation;
use standby::failover::Failovers;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};

pub use scheduling::direct_commands;

/// Time within which all tasks of a cancelled job must have stopped.
pub const CANCEL_MS: u64 = 24_000;
/// Duration of a worker's lease.
pub const LEASE_MS: u64 = 10_000;
/// Greatest age of the cancellation watermark at which leases are renewed, as the settings compute
/// it from `CANCEL_MS` and `LEASE_MS`.
pub const RENEW_MS: u64 = CANCEL_MS - LEASE_MS - 1534;
/// Duration of the lease of a controller's key.
const KEY_LEASE_MS: u64 = 4000;
/// Time between the heartbeats of [`run_heartbeats`].
const HEARTBEAT_INTERVAL_MS: u64 = 500;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS_PER_ZONE: usize = 1;
/// Number of shards: one for each zone, and the shard of the whole cluster.
const SHARDS: usize = 3;
const MIXERS_GPU_LIMIT: f64 = 2.0;
/// Most keys in the one page that a full read requests. Tests store fewer records.
const MAX_PAGE: usize = 1000;

/// A controller without sockets, on a simulated clock.
pub struct SimulatedController {
    pub cluster: ClusterState,
    pub config: SchedulerConfig,
    /// Id of the lease of the controller's key.
    pub lease: u64,
    /// Zone of each controller, by name.
    pub zones: BTreeMap<String, ZoneIndex>,
    /// Names of the other controllers; the cancellation watermark identifies them by their index.
    pub peers: Vec<String>,
    pub started_at: u64,
    pub direct_stop_tracker: DirectStopTracker,
    /// Since when controllers have been present and shards owned or ownerless.
    pub membership: MembershipView,
    /// Warm-standby setting of this controller.
    pub standby: Standby,
    /// Failover state of each shard, and the permits that follow from it.
    pub failovers: Failovers,
    /// Shards from which the controller has stepped down, in order.
    pub stepped_down: Vec<ShardIndex>,
    /// When it was last allowed to raise fencing tokens.
    token_raised_at: u64,
    /// Whether this run of the planner has already cascaded cancellations to dependents.
    cascaded: bool,
}

/// Warm-standby setting of a controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Standby {
    #[default]
    Off,
    /// On; controllers in the shard's zone are preferred as standbys.
    SameZone,
    /// On; controllers in another zone are preferred as standbys.
    OtherZone,
}

impl Standby {
    fn version(self) -> u32 {
        match self {
            Standby::Off => 0,
            Standby::SameZone | Standby::OtherZone => STANDBY_VERSION,
        }
    }
}

/// A team whose only limit is on GPUs; zero means no limit.
pub fn team(name: &str, gpus_max: f64) -> Team {
    Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max,
    }
}

fn scheduler_config(name: &str, incarnation: u64, store: &FakeKvStore) -> SchedulerConfig {
    SchedulerConfig {
        controller_name: name.into(),
        incarnation: Incarnation(incarnation),
        unresponsive_ms: 4000,
        queue_cap: 2,
        steal_after_ms: 2000,
        gang_reservation_after_ms: 5000,
        spot_patience_ms: 10_000,
        capacity_buffer_spot: 0.0,
        capacity_buffer_on_demand: 0.0,
        lease_expiry_ms: 12_020,
        max_watermark_age_ms: RENEW_MS,
        cancel_ms: CANCEL_MS,
        completion_targets: HashMap::new(),
        limits_now: Limits {
            txn_ops: store.max_txn_ops,
            value_bytes: store.max_value_bytes * 9 / 10,
            write_rps: f64::MAX,
        },
        limits_next: Limits::UNLIMITED,
        limits_observed: Cell::new(Limits::UNLIMITED),
    }
}

/// Starts a store and one controller that owns all shards.
pub fn start_single_controller() -> (FakeKvStore, SimulatedController) {
    let mut store = FakeKvStore::default();
    let mut controller = SimulatedController::start("n1", 1, &mut store, 0);
    let taken_shards = controller.apply_membership_moves(&mut store, 0);
    assert_eq!(taken_shards, SHARDS);
    (store, controller)
}

/// Exchanges a heartbeat of each worker with the controller every half second, from `from` up to
/// but not including `to`.
pub fn run_heartbeats(
    controller: &mut SimulatedController,
    store: &mut FakeKvStore,
    workers: &mut [&mut FakeWorker],
    from: u64,
    to: u64,
) {
    let interval = usize::try_from(HEARTBEAT_INTERVAL_MS).expect("a small number");
    for now in (from..to).step_by(interval) {
        for worker in workers.iter_mut() {
            controller.exchange_heartbeat(store, worker, now);
        }
    }
}

impl SimulatedController {
    /// Starts a controller without standbys: stores its key and reads all records.
    pub fn start(
        name: &str,
        incarnation: u64,
        store: &mut FakeKvStore,
        now: u64,
    ) -> SimulatedController {
        SimulatedController::start_as(name, incarnation, Standby::Off, store, now)
    }

    /// Starts a controller like [`SimulatedController::start`], with a warm-standby setting.
    pub fn start_as(
        name: &str,
        incarnation: u64,
        standby: Standby,
        store: &mut FakeKvStore,
        now: u64,
    ) -> SimulatedController {
        let zones = ZONES.map(str::to_string);
        let teams = [team("ovens", 0.0), team("mixers", MIXERS_GPU_LIMIT)];
        let mut controller = SimulatedController {
            zones: BTreeMap::from([
                ("n1".to_string(), ZoneIndex(0)),
                ("s1".to_string(), ZoneIndex(1)),
            ]),
            cluster: ClusterState::new(&zones, &teams, SHARDS_PER_ZONE),
            config: scheduler_config(name, incarnation, store),
            lease: store.grant_lease(KEY_LEASE_MS, now),
            peers: Vec::new(),
            started_at: now,
            direct_stop_tracker: DirectStopTracker::default(),
            membership: MembershipView::default(),
            failovers: Failovers::new(SHARDS),
            standby,
            stepped_down: Vec::new(),
            token_raised_at: 0,
            cascaded: false,
        };
        controller.cluster.set_machine_types(&MachineTypeCatalog {
            types: vec![machine_type()],
        });
        controller.read_all(store);
        let version = store.version(&controller.key());
        let register = controller.registration(version);
        let response = digest::commit(store, &register, now);
        assert_eq!(response.status, 200);
        controller.sync(store);
        controller
    }

    fn key(&self) -> String {
        format!("{KEY_PREFIX}node/{}", self.config.controller_name)
    }

    /// The transaction that stores the controller's key under its lease, if the stored version of
    /// the key is `version`.
    fn registration(&self, version: u64) -> Transaction {
        let record = ControllerRecord {
            incarnation: self.config.incarnation,
            record_format: NEWEST_RECORD_FORMAT,
            standby_version: self.standby.version(),
        };
        let key = self.key();
        let condition = Condition {
            key: key.clone(),
            version,
        };
        Transaction {
            conditions: vec![condition],
            writes: set(key, &record, Some(self.lease)).into_iter().collect(),
        }
    }

    fn read_all(&mut self, store: &FakeKvStore) {
        let page = store.read_page(KEY_PREFIX, "", MAX_PAGE);
        self.cluster.apply_full_read(&page.entries, page.revision);
    }

    /// Reads the changes since the last read, or all records if the store has compacted the
    /// changes; false if the store is unavailable.
    pub fn sync(&mut self, store: &FakeKvStore) -> bool {
        let from = self.cluster.revision;
        let response = store.watch(KEY_PREFIX, from);
        match (response.status, response.body) {
            (200, Some(changes)) => {
                self.cluster
                    .apply_changes(from, changes.revision, &changes.events);
                true
            }
            (410, _) => {
                self.read_all(store);
                true
            }
            _ => false,
        }
    }

    /// Commits a transaction and interprets the response.
    pub fn commit(store: &mut FakeKvStore, transaction: &Transaction, now: u64) -> CommitOutcome {
        let response = digest::commit(store, transaction, now);
        match (response.status, response.body) {
            (200, Some(committed)) => CommitOutcome::Committed(committed.revision),
            (409, Some(conflict)) => CommitOutcome::Conflict(conflict.failed),
            (NO_RESPONSE, _) => CommitOutcome::Unknown,
            (status, _) => CommitOutcome::Refused(status),
        }
    }

    /// Stores a submitted job, if its id is new.
    pub fn submit(&mut self, store: &mut FakeKvStore, spec: JobSpec, now: u64) -> CommitOutcome {
        let key = ClusterState::job_key(&spec.id);
        let record = JobRecord::submitted(spec, now);
        let is_new = Condition {
            key: key.clone(),
            version: 0,
        };
        let submission = Transaction {
            conditions: vec![is_new],
            writes: set(key, &record, None).into_iter().collect(),
        };
        let outcome = Self::commit(store, &submission, now);
        self.sync(store);
        outcome
    }

    /// Stores a user's cancellation of a job.
    pub fn cancel(&mut self, store: &mut FakeKvStore, id: &str, now: u64) -> CommitOutcome {
        let (index, job) = self.cluster.job(id).expect("known job");
        let cancelled = Job {
            state: JobState::Cancelled,
            ..job.clone()
        };
        let mut draft = DraftTransaction::default();
        draft.jobs.insert(index, cancelled);
        let outcome = Self::commit(store, &transaction(&self.cluster, &draft), now);
        apply_outcome(&mut self.cluster, &draft, &outcome);
        outcome
    }

    /// True if the controller considers itself the owner of the shard.
    pub fn owns(&self, shard: usize) -> bool {
        self.config.owns(&self.cluster, ShardIndex::new(shard))
    }

    /// Index of a machine; panics if the controller doesn't know the machine.
    pub fn machine(&self, name: &str) -> MachineIndex {
        let index = self.cluster.machine_names.find(name);
        index.expect("known machine")
    }

    /// Index of a job; panics if the controller doesn't know the job.
    pub fn job_index(&self, id: &str) -> JobIndex {
        self.cluster.job(id).expect("known job").0
    }

    /// A job; panics if the controller doesn't know it.
    pub fn job(&self, id: &str) -> &Job {
        self.cluster.job(id).expect("known job").1
    }
}
