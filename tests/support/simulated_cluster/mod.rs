//! A simulated cluster: controllers, workers and users around one key-value store, on one simulated
//! clock. Tests inject faults, and each step checks invariants on the tasks that actually run.
//!
//! - this module: controllers, machines and their faults;
//! - `users`: submissions, cancellations and status requests, and the answers that users got;
//! - `tick`: one step of the clock, with the messages that are sent and delivered in it;
//! - `invariants`: the invariants that are checked after each step.

mod invariants;
mod tick;
mod users;

use super::digest;
use super::kv_store::FakeKvStore;
use super::simulated_controller::{SimulatedController, Standby};
use super::worker::FakeWorker;
use pointhook::coordination::membership;
use pointhook::protocol::users::{JobKind, JobSpec};
use pointhook::protocol::workers::{DirectCommands, Heartbeat};
use pointhook::state::units::MonotonicMillis;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use testkit::network::faults::Restart;

/// Number of controllers in the cluster.
pub const CONTROLLERS: usize = 3;
/// Names of the controllers by index.
pub const NAMES: [&str; CONTROLLERS] = ["n1", "n2", "s1"];
/// Zone index of each controller by its name.
const ZONES: [(&str, u32); CONTROLLERS] = [("n1", 0), ("n2", 0), ("s1", 1)];
/// Index of the controller in the zone `south`.
const SOUTHERN_CONTROLLER: usize = 2;
const MACHINE_ZONES: [&str; 2] = ["north", "south"];
/// Step of the simulated clock.
const STEP_MS: u64 = 500;
/// Time for which a new cluster runs so that its controllers divide the shards.
const START_UP_MS: u64 = 6000;
/// Most writes that the store accepts in one transaction.
const MAX_TXN_OPS: usize = 16;
/// Interval between two heartbeats of a worker unless a test sets another one.
const HEARTBEAT_INTERVAL_MS: u64 = 2000;
/// Delivery delay of late commands unless a test sets another one.
const COMMAND_DELAY_MS: u64 = 6000;
/// Due time of commands that are delivered when the partition ends.
const WHEN_PARTITION_ENDS: u64 = u64::MAX;

/// Faults between a controller and the rest of the cluster.
#[derive(Default, Clone, Copy, PartialEq)]
pub struct ControllerFaults {
    /// The key-value store is unavailable to this controller.
    pub kv_refused: bool,
    /// No messages are delivered between this controller and the others.
    pub isolated_from_peers: bool,
}

/// Faults of a machine and of its network links.
#[derive(Default, Clone, Copy, PartialEq)]
pub struct MachineFaults {
    /// Its heartbeats are delivered; responses and direct commands to it are lost.
    pub drops_incoming: bool,
    /// Its heartbeats are lost; direct commands to it are delivered.
    pub drops_heartbeats: bool,
    /// Its worker neither sends nor executes anything; commands are delivered when it resumes.
    pub frozen: bool,
    /// Direct commands are executed, but the responses to them are lost.
    pub drops_command_responses: bool,
    /// Direct commands are delivered several seconds late.
    pub delays_commands: bool,
    /// Direct commands are delivered in time and once more late.
    pub repeats_commands: bool,
}

/// Direct commands that are still to be delivered to a machine.
struct DelayedCommands {
    due: u64,
    commands: DirectCommands,
}

/// A heartbeat that is delivered to a controller when the partition ends.
struct UndeliveredHeartbeat {
    controller: usize,
    heartbeat: Heartbeat,
}

/// A machine of the simulated cluster with its worker.
pub struct SimulatedMachine {
    pub worker: FakeWorker,
    pub faults: MachineFaults,
    /// Index of the controller to which it sends its heartbeats.
    target_controller: usize,
    next_heartbeat_at: u64,
    /// Interval between two heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Delivery delay of commands with the faults `delays_commands` and `repeats_commands`.
    pub command_delay_ms: u64,
    delayed_commands: Vec<DelayedCommands>,
    /// All heartbeats so far, including lost ones, so that a test can deliver one again.
    pub sent_heartbeats: Vec<Heartbeat>,
    /// Index of the machine to which this machine's address belongs now; `None`: its own.
    pub address_belongs_to: Option<usize>,
    /// The machine is restarting until this time.
    down_until: u64,
    /// The machine can only reach controllers of its own zone.
    pub partitioned: bool,
    undelivered_heartbeats: Vec<UndeliveredHeartbeat>,
}

impl SimulatedMachine {
    /// True if a partition separates the machine from this controller.
    fn is_partitioned_from(&self, controller: usize) -> bool {
        let is_southern = self.worker.zone == "south";
        self.partitioned && is_southern != (controller == SOUTHERN_CONTROLLER)
    }

    /// True if direct commands of this controller would reach the worker now.
    fn is_reachable_from(&self, controller: usize, now: u64) -> bool {
        let is_cut_off = self.is_partitioned_from(controller);
        let is_up = !self.faults.frozen && !self.is_down(now);
        !is_cut_off && !self.faults.drops_incoming && is_up
    }

    /// True while the machine restarts.
    fn is_down(&self, now: u64) -> bool {
        now < self.down_until
    }
}

/// An accepted job as its user sees it.
struct UserView {
    spec: JobSpec,
    /// The last status that a controller reported to the user.
    status: &'static str,
}

/// A cluster of controllers, machines and a key-value store on one simulated clock.
pub struct SimulatedCluster {
    pub store: FakeKvStore,
    /// Controllers by index; `None` while one is stopped.
    pub controllers: Vec<Option<SimulatedController>>,
    pub controller_faults: [ControllerFaults; CONTROLLERS],
    /// The key-value store is unavailable to all controllers, and its leases don't expire.
    pub kv_outage: bool,
    pub machines: Vec<SimulatedMachine>,
    /// Number of restarts of machines so far.
    pub restarts: u32,
    /// Warm-standby setting of the controllers that are started from now on.
    pub standby: Standby,
    /// Time on the simulated clock, ms.
    pub now: u64,
    /// Incarnation of the controller process that was started last.
    incarnation: u64,
    /// By job: when its user was first told that it is cancelled.
    pub cancelled_at: BTreeMap<String, u64>,
    /// Accepted jobs as their users see them, by job.
    user_views: BTreeMap<String, UserView>,
    /// When each machine first started each task, by `{machine} {task}`.
    first_starts: HashMap<String, u64>,
    /// Descriptions of all invariant violations so far.
    pub violations: Vec<String>,
    /// Jobs for which a user has requested cancellation, whether it was confirmed or not.
    cancel_requests: BTreeSet<String>,
}

impl SimulatedCluster {
    /// Starts three controllers without standbys, and machines alternating between the two zones,
    /// and runs the cluster until the controllers have divided the shards.
    pub fn new(machines: usize) -> SimulatedCluster {
        SimulatedCluster::with_standby(machines, Standby::Off)
    }

    /// Starts a cluster like [`SimulatedCluster::new`], with a setting for the warm standby.
    pub fn with_standby(machines: usize, standby: Standby) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            standby,
            store: FakeKvStore::default(),
            controllers: vec![None, None, None],
            controller_faults: [ControllerFaults::default(); CONTROLLERS],
            kv_outage: false,
            machines: Vec::new(),
            restarts: 0,
            now: 0,
            incarnation: 1,
            cancelled_at: BTreeMap::new(),
            user_views: BTreeMap::new(),
            first_starts: HashMap::new(),
            violations: Vec::new(),
            cancel_requests: BTreeSet::new(),
        };
        cluster.store.max_txn_ops = MAX_TXN_OPS;
        for controller in 0..CONTROLLERS {
            cluster.start_controller(controller);
        }
        for machine in 0..machines {
            cluster.add_machine(MACHINE_ZONES[machine % MACHINE_ZONES.len()]);
        }
        cluster.run_for(START_UP_MS);
        cluster
    }

    /// Adds a machine in a zone and returns its index.
    pub fn add_machine(&mut self, zone: &str) -> usize {
        let name = format!("m{}", self.machines.len() + 1);
        self.machines.push(SimulatedMachine {
            worker: FakeWorker::new(&name, zone, self.now),
            faults: MachineFaults::default(),
            target_controller: self.machines.len() % CONTROLLERS,
            next_heartbeat_at: self.now,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            command_delay_ms: COMMAND_DELAY_MS,
            address_belongs_to: None,
            delayed_commands: Vec::new(),
            sent_heartbeats: Vec::new(),
            down_until: 0,
            partitioned: false,
            undelivered_heartbeats: Vec::new(),
        });
        self.machines.len() - 1
    }

    /// Starts or restarts a controller. Does nothing while the key-value store is unavailable to
    /// it.
    pub fn start_controller(&mut self, controller_index: usize) {
        if self.kv_outage || self.controller_faults[controller_index].kv_refused {
            return;
        }
        self.select_kv_view(controller_index);
        self.incarnation += 1;
        // A real controller retries until its key is stored. Here the key must be stored by the
        // first transaction, so the faults of the store are suspended meanwhile.
        let delay_ms = self.store.execution_delay_ms.take();
        let drops_responses = std::mem::take(&mut self.store.drops_responses);
        let controller = SimulatedController::start_as(
            NAMES[controller_index],
            self.incarnation,
            self.standby,
            &mut self.store,
            self.now,
        );
        self.store.execution_delay_ms = delay_ms;
        self.store.drops_responses = drops_responses;
        let mut controller = controller.with_peers(&NAMES, &ZONES);
        controller
            .cluster
            .cancellation_watermark
            .record_read(MonotonicMillis(self.now));
        self.controllers[controller_index] = Some(controller);
    }

    /// Starts a controller during an outage of the key-value store: it knows no records yet, but
    /// answers its peers.
    pub fn start_controller_without_records(&mut self, controller_index: usize) {
        let mut empty_store = FakeKvStore::default();
        self.incarnation += 1;
        let controller = SimulatedController::start_as(
            NAMES[controller_index],
            self.incarnation,
            self.standby,
            &mut empty_store,
            self.now,
        );
        self.controllers[controller_index] = Some(controller.with_peers(&NAMES, &ZONES));
    }

    /// Restarts a machine into the next agent epoch, which begins when it is back.
    pub fn restart_machine(&mut self, machine: usize, back_after_ms: u64) {
        self.restarts += 1;
        let machine = &mut self.machines[machine];
        machine.down_until = self.now + back_after_ms;
        machine.next_heartbeat_at = machine.down_until;
        let worker = &mut machine.worker;
        worker.restart(Restart::NextEpoch, machine.down_until);
    }

    /// Stops a controller at once; its state is lost.
    pub fn stop_controller(&mut self, controller_index: usize) {
        self.controllers[controller_index] = None;
    }

    /// The controller with this index; panics if it is stopped.
    pub fn controller(&mut self, controller_index: usize) -> &mut SimulatedController {
        self.controllers[controller_index]
            .as_mut()
            .expect("the controller runs")
    }

    /// The running controller with the lowest index; panics if all are stopped.
    pub fn first_controller(&self) -> &SimulatedController {
        let mut running = self.controllers.iter().flatten();
        running.next().expect("a controller")
    }

    /// Switches the cluster to the second record format. All controllers must run and support it.
    pub fn begin_record_format_v2(&mut self) {
        let controller = self.controllers[0].as_ref().expect("a controller");
        let begin = membership::begin_record_format_v2(&controller.cluster, &NAMES);
        let begin = begin.expect("all know it");
        let response = digest::commit(&mut self.store, &begin, self.now);
        assert_eq!(response.status, 200);
        self.run_for(STEP_MS);
    }

    /// Switches the cluster to the second record format if the first controller runs and sees that
    /// all controllers run and support it.
    pub fn try_begin_record_format_v2(&mut self) {
        self.select_kv_view(0);
        let Some(controller) = &self.controllers[0] else {
            return;
        };
        let begin = membership::begin_record_format_v2(&controller.cluster, &NAMES);
        if let Some(begin) = begin {
            digest::commit(&mut self.store, &begin, self.now);
        }
    }

    /// True if the controller runs and accepts jobs with dependencies.
    pub fn accepts_dependencies(&self, controller_index: usize) -> bool {
        let controller = self.controllers[controller_index].as_ref();
        controller.is_some_and(|c| c.cluster.record_format_v2)
    }

    /// Begins or ends a partition of the southern zone and its controller from the key-value store
    /// and the northern zone. Heartbeats that were sent across the partition are delivered when it
    /// ends.
    pub fn partition_zone(&mut self, partitioned: bool) {
        let was_partitioned = self.machines.iter().any(|machine| machine.partitioned);
        self.controller_faults[SOUTHERN_CONTROLLER] = ControllerFaults {
            kv_refused: partitioned,
            isolated_from_peers: partitioned,
        };
        for machine in &mut self.machines {
            machine.partitioned = partitioned;
        }
        if was_partitioned && !partitioned {
            self.deliver_held_back_heartbeats();
        }
    }

    fn deliver_held_back_heartbeats(&mut self) {
        for machine in 0..self.machines.len() {
            let held_back = std::mem::take(&mut self.machines[machine].undelivered_heartbeats);
            for undelivered in held_back {
                self.deliver(undelivered.controller, &undelivered.heartbeat);
            }
        }
    }

    fn deliver(&mut self, controller: usize, heartbeat: &Heartbeat) {
        self.select_kv_view(controller);
        let now = self.now;
        if let Some(mut receiver) = self.controllers[controller].take() {
            // The response is discarded: the worker no longer waits for it.
            let _ = receiver.receive_heartbeat(&mut self.store, heartbeat, now);
            self.controllers[controller] = Some(receiver);
        }
    }

    /// Delivers a past heartbeat of a machine again, to the given controller. `heartbeat_index` is
    /// its index in `sent_heartbeats`; nothing happens if there is none.
    pub fn redeliver_heartbeat(
        &mut self,
        machine: usize,
        heartbeat_index: usize,
        controller: usize,
    ) {
        let past = self.machines[machine]
            .sent_heartbeats
            .get(heartbeat_index)
            .cloned();
        if let Some(heartbeat) = past {
            self.deliver(controller, &heartbeat);
        }
    }

    /// Index of the first controller that considers itself the owner of a machine's shard.
    pub fn owner_of(&self, machine: usize) -> Option<usize> {
        let name = &self.machines[machine].worker.name;
        let owns = |controller: &SimulatedController| {
            let index = controller.cluster.machine_names.find(name);
            let known = index.and_then(|index| controller.cluster.machine(index));
            known.is_some_and(|m| controller.config.owns(&controller.cluster, m.shard))
        };
        (0..CONTROLLERS).find(|controller_index| {
            self.controllers[*controller_index]
                .as_ref()
                .is_some_and(owns)
        })
    }

    /// Index of the first controller that considers itself the owner of the shard of a zone's first
    /// machine.
    pub fn owner_of_zone(&self, zone: &str) -> usize {
        let machine = self.machines.iter().position(|m| m.worker.zone == zone);
        let owner = self.owner_of(machine.expect("a machine"));
        owner.expect("an owner")
    }

    /// True if some controller has quarantined or cordoned the machine, so that it will be deleted.
    pub fn is_leaving(&self, machine: &SimulatedMachine) -> bool {
        self.controllers.iter().flatten().any(|controller| {
            let index = controller.cluster.machine_names.find(&machine.worker.name);
            let known = index.and_then(|index| controller.cluster.machine(index));
            known.is_some_and(|m| m.health.quarantined || m.decisions.cordoned)
        })
    }

    /// Sets the availability of the store to what this controller sees. Must be called before the
    /// controller uses the store.
    fn select_kv_view(&mut self, controller_index: usize) {
        self.store.unavailable =
            self.kv_outage || self.controller_faults[controller_index].kv_refused;
    }

    /// Number of task starts that workers have executed so far.
    pub fn start_count(&self) -> usize {
        let starts = self.machines.iter().map(|m| m.worker.started.len());
        starts.sum()
    }

    /// True if any worker has ever started a task of the job.
    pub fn has_started(&self, job: &str) -> bool {
        let prefix = format!("{job}/");
        let mut started = self.machines.iter().flat_map(|m| &m.worker.started);
        started.any(|(task, _)| task.starts_with(&prefix))
    }

    /// True if workers have completed the job: all tasks of an array or service, or any task of a
    /// gang, whose tasks complete together. Also true for a job that was not accepted.
    pub fn completed(&self, job: &str) -> bool {
        let Some(view) = self.user_views.get(job) else {
            return true;
        };
        let mut tasks = (0..view.spec.tasks).map(|task| format!("{job}/{task}"));
        match view.spec.kind {
            JobKind::Gang => tasks.any(|task| self.task_completed(&task)),
            JobKind::Array | JobKind::Service => tasks.all(|task| self.task_completed(&task)),
        }
    }

    fn task_completed(&self, task: &String) -> bool {
        let completed_by = |m: &SimulatedMachine| m.worker.completed.contains(task);
        self.machines.iter().any(completed_by)
    }

    /// True if the job is complete and the heartbeats of a worker still report a completion of it.
    pub fn shows_completion(&self, job: &str) -> bool {
        let shows = |m: &SimulatedMachine| m.worker.reports_completion_of(job);
        self.completed(job) && self.machines.iter().any(shows)
    }

    /// True if a task of the job is on any machine, whether it runs or still pulls its image.
    pub fn runs(&self, job: &str) -> bool {
        self.tasks_on_machines(job) > 0
    }

    /// Number of the job's tasks on machines, including those that still pull their image.
    pub fn tasks_on_machines(&self, job: &str) -> usize {
        let counts = self.machines.iter();
        counts.map(|m| m.worker.active_task_count_of(job)).sum()
    }
}
