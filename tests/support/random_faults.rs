//! Faults of randomized runs, and the mixes from which a run draws them.

use super::simulated_cluster::SimulatedCluster;
use fastrand::Rng;
use std::ops::Range;

/// Number of controllers of a run.
pub const CONTROLLERS: usize = 3;
/// Number of machines of a run.
pub const MACHINES: usize = 6;
/// Upper bound of the duration of a fault, in steps; exclusive.
pub const LONGEST_FAULT: u32 = 40;

/// A fault of the simulated cluster, with the index of the controller or machine if it affects one.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Fault {
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
    MachineRestarts(usize),
}

/// Which faults and jobs a run draws.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mix {
    /// All faults, and more work than there is room for at times.
    AllFaults,
    /// Mostly machines that restart, alone and together with their other faults, and little work
    /// with long tasks, so that a task that is lost soon starts elsewhere.
    RestartingMachines,
}

impl Mix {
    /// Number of steps in which faults occur; a recovery without faults follows.
    pub fn faulty_steps(self) -> u32 {
        match self {
            Mix::AllFaults => 240,
            Mix::RestartingMachines => 600,
        }
    }

    /// One step in this many begins a fault, on average.
    pub fn steps_per_fault(self) -> u8 {
        match self {
            Mix::AllFaults => 6,
            Mix::RestartingMachines => 8,
        }
    }

    /// Draws a fault.
    pub fn fault(self, rng: &mut Rng) -> Fault {
        match self {
            // Direct commands still reach a machine whose heartbeats are lost.
            Mix::RestartingMachines if rng.bool() => {
                Fault::MachineDropsHeartbeats(rng.usize(..MACHINES))
            }
            Mix::RestartingMachines if rng.u8(..4) > 0 => Fault::of_random_machine(rng),
            _ => Fault::random(rng),
        }
    }

    /// Run time of tasks, in part longer than a worker's lease.
    pub fn run_ms(self) -> Range<u64> {
        match self {
            Mix::AllFaults => 3_000..20_000,
            Mix::RestartingMachines => 9_000..14_000,
        }
    }

    /// Time that a task takes to pull its image.
    pub fn image_pull_ms(self) -> u64 {
        match self {
            Mix::AllFaults => 1000,
            // The image is cached.
            Mix::RestartingMachines => 0,
        }
    }

    /// Lower bound of the duration of a fault, in steps.
    pub fn shortest_fault(self) -> u32 {
        match self {
            Mix::AllFaults => 1,
            Mix::RestartingMachines => LONGEST_FAULT / 2,
        }
    }

    /// Upper bound of the draws, of ten, with which a step submits a job.
    pub fn last_submission(self) -> u8 {
        match self {
            Mix::AllFaults => 4,
            Mix::RestartingMachines => 8,
        }
    }
}

impl Fault {
    fn random(rng: &mut Rng) -> Fault {
        let controller = rng.usize(..CONTROLLERS);
        match rng.u8(..16) {
            0 => Fault::KvOutage,
            1 => Fault::KvRefuses(controller),
            2 => Fault::PeersUnreachable(controller),
            3..=5 => Fault::ControllerDown(controller),
            6 => Fault::ZonePartition,
            7 => Fault::DelayedTransactions,
            8 => Fault::DroppedKvResponses,
            _ => Fault::of_random_machine(rng),
        }
    }

    fn of_random_machine(rng: &mut Rng) -> Fault {
        let machine = rng.usize(..MACHINES);
        match rng.u8(..6) {
            0 => Fault::MachineDropsIncoming(machine),
            1 => Fault::MachineFrozen(machine),
            2 => Fault::MachineDropsCommandResponses(machine),
            3 => Fault::MachineDelaysCommands(machine),
            4 => Fault::MachineRestarts(machine),
            _ => Fault::MachineDropsHeartbeats(machine),
        }
    }

    /// The machine that the fault affects; `None` for a fault of something else.
    pub fn machine(self) -> Option<usize> {
        match self {
            Fault::MachineDropsIncoming(machine)
            | Fault::MachineDropsHeartbeats(machine)
            | Fault::MachineFrozen(machine)
            | Fault::MachineDropsCommandResponses(machine)
            | Fault::MachineDelaysCommands(machine)
            | Fault::MachineRestarts(machine) => Some(machine),
            _ => None,
        }
    }

    /// Begins or ends the fault.
    pub fn set(self, cluster: &mut SimulatedCluster, on: bool) {
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
            // The restart itself is scheduled when the fault is drawn.
            Fault::MachineRestarts(_) => {}
        }
    }
}
