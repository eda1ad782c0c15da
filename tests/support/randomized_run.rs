//! Randomized runs of the simulated cluster: jobs with dependencies, cancellations and overlapping
//! faults, all generated from a seed.

use super::job;
use super::liveness::Liveness;
use super::random_faults::{Fault, Mix, CONTROLLERS, LONGEST_FAULT, MACHINES};
use super::simulated_cluster::{ControllerFaults, SimulatedCluster};
use super::simulated_controller::Standby;
use fastrand::Rng;
use pointhook::protocol::users::{JobKind, JobSpec, Priority};

const STEP_MS: u64 = 500;
/// Upper bound of the time from the beginning of a fault to a restart, in steps; exclusive.
const LATEST_RESTART: u32 = 6;
/// Interval between two heartbeats where machines mostly restart: with a longer one, more starts are
/// sent to a machine that has fallen silent.
const LONG_HEARTBEAT_INTERVAL_MS: u64 = 3200;
/// Upper bound of the time for which a restarting machine is down.
const LONGEST_RESTART_MS: u64 = 3000;
/// End of the recovery on the simulated clock. Jobs that are unfinished then fail the test.
const LONGEST_RUN_MS: u64 = 900_000;

/// A restart of a machine that is still to come.
#[derive(Clone, Copy)]
struct ScheduledRestart {
    step: u32,
    machine: usize,
    back_after_ms: u64,
}

/// A randomized run in progress.
pub struct RandomizedRun {
    rng: Rng,
    mix: Mix,
    pub cluster: SimulatedCluster,
    /// Number of submissions so far, including those that were not accepted.
    jobs: u32,
    /// Number of cancellations that were confirmed.
    pub confirmed: u32,
    /// Active faults with the step at which each ends.
    faults: Vec<(Fault, u32)>,
    restarts: Vec<ScheduledRestart>,
    liveness: Liveness,
}

impl RandomizedRun {
    pub fn new(seed: u64, standby: Standby, mix: Mix) -> RandomizedRun {
        let mut rng = Rng::with_seed(seed);
        let mut cluster = SimulatedCluster::with_standby(MACHINES, standby);
        for machine in &mut cluster.machines {
            machine.worker.run_ms = rng.u64(mix.run_ms());
            machine.worker.image_pull_ms = mix.image_pull_ms();
        }
        // About a quarter of the runs start in the first record format, which can't store
        // dependencies.
        if rng.u8(..4) > 0 {
            cluster.begin_record_format_v2();
        }
        RandomizedRun {
            rng,
            mix,
            cluster,
            jobs: 0,
            confirmed: 0,
            faults: Vec::new(),
            restarts: Vec::new(),
            liveness: Liveness::default(),
        }
    }

    pub fn run(&mut self) {
        for step in 0..self.mix.faulty_steps() {
            self.cluster.run_for(STEP_MS);
            self.cluster.try_begin_record_format_v2();
            self.end_faults(step);
            self.restart_machines(step);
            self.start_controllers();
            if self.rng.u8(..self.mix.steps_per_fault()) == 0 {
                self.begin_fault(step);
            }
            let controller = self.rng.usize(..CONTROLLERS);
            match self.rng.u8(..10) {
                4 => self.cancel(controller),
                5 => self.redeliver_old_heartbeat(controller),
                draw if draw < self.mix.last_submission() => self.submit(controller),
                _ => self.poll(controller),
            }
        }
        self.recover();
    }

    fn begin_fault(&mut self, step: u32) {
        let fault = self.mix.fault(&mut self.rng);
        if self.faults.iter().any(|(other, _)| *other == fault) {
            return;
        }
        fault.set(&mut self.cluster, true);
        let end = step + self.rng.u32(self.mix.shortest_fault()..LONGEST_FAULT);
        self.faults.push((fault, end));
        if let Some(machine) = fault.machine() {
            self.schedule_restart(fault, machine, step);
        }
    }

    /// Schedules the restart that a fault consists of, or, for every other fault of a machine, one
    /// that falls into the fault.
    fn schedule_restart(&mut self, fault: Fault, machine: usize, step: u32) {
        let is_restart = fault == Fault::MachineRestarts(machine);
        if !is_restart && self.rng.u8(..4) == 0 {
            return;
        }
        self.restarts.push(ScheduledRestart {
            step: step + self.rng.u32(..LATEST_RESTART),
            machine,
            back_after_ms: self.rng.u64(..=LONGEST_RESTART_MS),
        });
    }

    fn restart_machines(&mut self, step: u32) {
        let cluster = &mut self.cluster;
        self.restarts.retain(|restart| {
            let is_due = restart.step <= step;
            if is_due {
                cluster.restart_machine(restart.machine, restart.back_after_ms);
            }
            !is_due
        });
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
        self.set_heartbeat_intervals();
    }

    fn set_heartbeat_intervals(&mut self) {
        if self.mix != Mix::RestartingMachines {
            return;
        }
        for machine in &mut self.cluster.machines {
            machine.heartbeat_interval_ms = LONG_HEARTBEAT_INTERVAL_MS;
        }
        for controller in self.cluster.controllers.iter_mut().flatten() {
            // As the settings compute it from the interval.
            controller.config.unresponsive_ms = LONG_HEARTBEAT_INTERVAL_MS * 5 / 2;
        }
    }

    fn submit(&mut self, controller: usize) {
        self.jobs += 1;
        let mut spec = job(&format!("job-{}", self.jobs), self.rng.u32(1..5));
        if self.mix == Mix::RestartingMachines {
            spec.tasks = 1;
            self.cluster.submit(controller, spec);
            return;
        }
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
        self.restart_machines(u32::MAX);
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
