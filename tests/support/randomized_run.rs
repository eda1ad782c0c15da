//! Randomized runs of the simulated cluster: jobs with dependencies, cancellations and overlapping
//! faults, all generated from a seed.

use super::job;
use super::liveness::Liveness;
use super::simulated_cluster::{ControllerFaults, SimulatedCluster};
use super::simulated_controller::Standby;
use fastrand::Rng;
use pointhook::protocol::users::{JobKind, JobSpec, Priority};

const CONTROLLERS: usize = 3;
const MACHINES: usize = 6;
const STEP_MS: u64 = 500;
/// Number of steps in which faults occur; a recovery without faults follows.
const FAULTY_STEPS: u32 = 240;
/// Upper bound of the duration of a fault, in steps; exclusive.
const LONGEST_FAULT: u32 = 40;
/// End of the recovery on the simulated clock. Jobs that are unfinished then fail the test.
const LONGEST_RUN_MS: u64 = 900_000;

/// A fault of the simulated cluster, with the index of the controller or machine if it affects one.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    KvOutage,
    KvRefuses(usize),
    PeersUnreachable(usize),
    ControllerDown(usize),
    ZonePartition,
    DelayedTransactions,
    DroppedKvResponses,
    MachineDropsIncoming(usize),
    MachineDropsHeartbeats(usize),
    MachineFrozen(usize),
    MachineDropsCommandResponses(usize),
    MachineDelaysCommands(usize),
}

impl Fault {
    fn random(rng: &mut Rng) -> Fault {
        let controller = rng.usize(..CONTROLLERS);
        let machine = rng.usize(..MACHINES);
        match rng.u8(..14) {
            0 => Fault::KvOutage,
            1 => Fault::KvRefuses(controller),
            2 => Fault::PeersUnreachable(controller),
            3..=5 => Fault::ControllerDown(controller),
            6 => Fault::ZonePartition,
            7 => Fault::DelayedTransactions,
            8 => Fault::DroppedKvResponses,
            9 => Fault::MachineDropsIncoming(machine),
            10 => Fault::MachineDropsHeartbeats(machine),
            11 => Fault::MachineFrozen(machine),
            12 => Fault::MachineDropsCommandResponses(machine),
            _ => Fault::MachineDelaysCommands(machine),
        }
    }

    fn set(self, cluster: &mut SimulatedCluster, on: bool) {
        match self {
            Fault::KvOutage => cluster.kv_outage = on,
            Fault::KvRefuses(controller) => cluster.controller_faults[controller].kv_refused = on,
            Fault::PeersUnreachable(controller) => {
                cluster.controller_faults[controller].isolated_from_peers = on
            }
            Fault::ControllerDown(controller) if on => cluster.stop_controller(controller),
            // Each step calls `start_controllers`, which also retries a controller that can't read
            // the records yet.
            Fault::ControllerDown(_) => {}
            Fault::ZonePartition => cluster.partition_zone(on),
            Fault::DelayedTransactions => cluster.store.execution_delay_ms = on.then_some(4000),
            Fault::DroppedKvResponses => cluster.store.drops_responses = on,
            Fault::MachineDropsIncoming(machine) => {
                cluster.machines[machine].faults.drops_incoming = on
            }
            Fault::MachineDropsHeartbeats(machine) => {
                cluster.machines[machine].faults.drops_heartbeats = on
            }
            Fault::MachineFrozen(machine) => cluster.machines[machine].faults.frozen = on,
            Fault::MachineDropsCommandResponses(machine) => {
                cluster.machines[machine].faults.drops_command_responses = on
            }
            Fault::MachineDelaysCommands(machine) => {
                cluster.machines[machine].faults.delays_commands = on
            }
        }
    }
}

/// A randomized run in progress.
pub struct RandomizedRun {
    rng: Rng,
    pub cluster: SimulatedCluster,
    /// Number of submissions so far, including those that were not accepted.
    jobs: u32,
    /// Number of cancellations that were confirmed.
    pub confirmed: u32,
    /// Active faults with the step at which each ends.
    faults: Vec<(Fault, u32)>,
    liveness: Liveness,
}

impl RandomizedRun {
    pub fn new(seed: u64, standby: Standby) -> RandomizedRun {
        let mut rng = Rng::with_seed(seed);
        let mut cluster = SimulatedCluster::with_standby(MACHINES, standby);
        for machine in &mut cluster.machines {
            machine.worker.run_ms = rng.u64(3000..15_000);
        }
        // About a quarter of the runs start in the first record format, which can't store
        // dependencies.
        if rng.u8(..4) > 0 {
            cluster.begin_record_format_v2();
        }
        RandomizedRun {
            rng,
            cluster,
            jobs: 0,
            confirmed: 0,
            faults: Vec::new(),
            liveness: Liveness::default(),
        }
    }

    pub fn run(&mut self) {
        for step in 0..FAULTY_STEPS {
            self.cluster.run_for(STEP_MS);
            self.cluster.try_begin_record_format_v2();
            self.end_faults(step);
            self.start_controllers();
            if self.rng.u8(..6) == 0 {
                self.begin_fault(step);
            }
            let controller = self.rng.usize(..CONTROLLERS);
            match self.rng.u8(..10) {
                0..=3 => self.submit(controller),
                4 => self.cancel(controller),
                5 => self.redeliver_old_heartbeat(controller),
                _ => self.poll(controller),
            }
        }
        self.recover();
    }

    fn begin_fault(&mut self, step: u32) {
        let fault = Fault::random(&mut self.rng);
        if self.faults.iter().any(|(other, _)| *other == fault) {
            return;
        }
        fault.set(&mut self.cluster, true);
        let end = step + self.rng.u32(1..LONGEST_FAULT);
        self.faults.push((fault, end));
    }

    fn end_faults(&mut self, step: u32) {
        let cluster = &mut self.cluster;
        self.faults.retain(|(fault, end)| {
            let over = *end <= step;
            if over {
                fault.set(cluster, false);
            }
            !over
        });
    }

    fn start_controllers(&mut self) {
        for controller in 0..CONTROLLERS {
            let down = Fault::ControllerDown(controller);
            let stays_down = self.faults.iter().any(|(fault, _)| *fault == down);
            if self.cluster.controllers[controller].is_none() && !stays_down {
                self.cluster.start_controller(controller);
            }
        }
    }

    fn submit(&mut self, controller: usize) {
        self.jobs += 1;
        let mut spec = job(&format!("job-{}", self.jobs), self.rng.u32(1..5));
        if self.rng.bool() {
            spec.team = "mixers".into();
            spec.tasks = spec.tasks.min(2);
        }
        spec.one_zone = self.rng.bool();
        spec.kind = match self.rng.u8(..6) {
            0 | 1 => JobKind::Gang,
            2 => JobKind::Service,
            _ => JobKind::Array,
        };
        if self.cluster.accepts_dependencies(controller) && self.rng.bool() {
            self.add_dependencies(&mut spec);
        }
        self.cluster.submit(controller, spec);
    }

    fn add_dependencies(&mut self, spec: &mut JobSpec) {
        let mut ids = self.cluster.accepted_finite_jobs();
        self.rng.shuffle(&mut ids);
        ids.truncate(self.rng.usize(1..3));
        spec.dependencies = ids;
        spec.priority = [Priority::High, Priority::Normal, Priority::Low][self.rng.usize(..3)];
    }

    fn random_job(&mut self) -> Option<String> {
        (self.jobs > 0).then(|| format!("job-{}", self.rng.u32(1..=self.jobs)))
    }

    fn cancel(&mut self, controller: usize) {
        let Some(id) = self.random_job() else { return };
        self.confirmed += u32::from(self.cluster.cancel(controller, &id));
        let other = self.rng.usize(..CONTROLLERS);
        self.cluster.query_status(other, &id);
    }

    fn poll(&mut self, controller: usize) {
        if let Some(id) = self.random_job() {
            self.cluster.query_status(controller, &id);
        }
    }

    fn redeliver_old_heartbeat(&mut self, controller: usize) {
        let machine = self.rng.usize(..MACHINES);
        let sent = self.cluster.machines[machine].sent_heartbeats.len().max(1);
        let heartbeat_index = self.rng.usize(..sent);
        self.cluster
            .redeliver_heartbeat(machine, heartbeat_index, controller);
    }

    /// Ends all faults and runs until all jobs are finished, at most to `LONGEST_RUN_MS`. Services
    /// never finish by themselves, so they are cancelled.
    fn recover(&mut self) {
        self.end_faults(u32::MAX);
        assert!(self
            .cluster
            .controller_faults
            .iter()
            .all(|faults| *faults == ControllerFaults::default()));
        self.cluster.run_for(6000);
        self.start_controllers();
        self.run_without_faults(120_000);
        for id in self.cluster.open_services() {
            self.cluster.cancel(0, &id);
        }
        while self.cluster.now < LONGEST_RUN_MS && !self.cluster.unfinished().is_empty() {
            self.run_without_faults(10_000);
        }
    }

    /// Advances the clock without faults, and records a violation for each job that waits too long
    /// although there is capacity for it.
    fn run_without_faults(&mut self, ms: u64) {
        let end = self.cluster.now + ms;
        while self.cluster.now < end {
            self.cluster.run_for(STEP_MS);
            let late = self.liveness.check(&self.cluster);
            self.cluster.violations.extend(late);
        }
    }
}
