//! Placement rules: which machines a job may use, regardless of free capacity. They cover machine
//! types, zones, spot machines, and machines on which the job has failed. The scheduler and the
//! autoscaler apply the same rules.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::users::Priority;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::machine::Machine;
use crate::state::names::{JobIndex, MachineIndex, MachineTypeIndex, ZoneIndex};
use crate::state::units::Resources;
use std::collections::HashMap;

/// Ratio of the on-demand price to the spot price that is assumed for an unknown machine type.
const DEFAULT_PRICE_RATIO: f64 = 4.0;
/// Ratio of the on-demand price to the spot price up to which a task does not wait for a spot
/// machine at all.
const NO_WAIT_PRICE_RATIO: f64 = 2.0;
/// Ratio of the on-demand price to the spot price from which a task waits for the full
/// `spot_patience_ms`.
const FULL_WAIT_PRICE_RATIO: f64 = 4.0;
/// Lower bound of the spot price in a price ratio; avoids a division by zero.
const MIN_SPOT_PRICE: f64 = 0.001;

/// A job with waiting tasks, its index and its description.
#[derive(Clone, Copy)]
pub struct JobRef<'a> {
    /// Index of the job.
    pub index: JobIndex,
    /// The job, either as stored or with the changes of a draft.
    pub job: &'a Job,
    /// Description of the job.
    pub spec: &'a Spec,
}

/// A machine with its index.
#[derive(Clone, Copy)]
pub struct MachineRef<'a> {
    /// Index of the machine.
    pub index: MachineIndex,
    /// The machine.
    pub machine: &'a Machine,
}

impl<'a> From<(MachineIndex, &'a Machine)> for MachineRef<'a> {
    fn from((index, machine): (MachineIndex, &'a Machine)) -> MachineRef<'a> {
        MachineRef { index, machine }
    }
}

/// True if the placement rules allow a task of the job on this machine, given the job's other
/// placements. Free capacity is not checked.
pub fn is_allowed(cluster: &ClusterState, job: JobRef, candidate: MachineRef) -> bool {
    let failures = cluster.failures.get(&job.index);
    machine_allowed(job.spec, candidate.machine)
        && !failures.is_some_and(|failures| failures.machines.contains(&candidate.index))
        && zone_allowed(cluster, job.job, job.spec, candidate.machine.zone)
}

/// True if the job allows the type and the zone of the machine and, for a spot machine, the use of
/// spot machines.
fn machine_allowed(spec: &Spec, machine: &Machine) -> bool {
    let types = spec.machine_types.as_ref();
    types.is_none_or(|types| types.contains(&machine.machine_type))
        && spec.zone.is_none_or(|zone| zone == machine.zone)
        && (spec.submitted.spot || !machine.spot)
}

/// True if the job's `one_zone` and `spread` rules allow one more of its tasks in the zone. All
/// placements in the job's record count, including old attempts that are not yet proven absent.
fn zone_allowed(cluster: &ClusterState, job: &Job, spec: &Spec, zone: ZoneIndex) -> bool {
    let zones = || {
        let placements = job.placements.iter();
        placements.filter_map(|p| cluster.shard_zone(p.shard))
    };
    (!spec.submitted.one_zone || zones().all(|z| z == zone))
        && (zones().filter(|z| *z == zone).count() as u32) < spec.max_tasks_per_zone()
}

/// Number of tasks of a job in each zone.
#[derive(Default)]
pub struct TasksByZone(HashMap<ZoneIndex, u32>);

impl TasksByZone {
    /// Counts the placements of a job.
    pub fn of_placements(cluster: &ClusterState, job: &Job) -> TasksByZone {
        let mut counts = TasksByZone::default();
        for placement in &job.placements {
            if let Some(zone) = cluster.shard_zone(placement.shard) {
                counts.add(zone);
            }
        }
        counts
    }
    /// Counts one more task in a zone.
    pub fn add(&mut self, zone: ZoneIndex) {
        *self.0.entry(zone).or_default() += 1;
    }
    /// Number of tasks in a zone.
    pub fn count(&self, zone: ZoneIndex) -> u32 {
        self.0.get(&zone).copied().unwrap_or(0)
    }
    /// True if no task is in another zone.
    pub fn are_all_in(&self, zone: ZoneIndex) -> bool {
        self.0.keys().all(|z| *z == zone)
    }
}

/// The properties of a waiting task that decide whether it waits for a spot machine.
#[derive(Clone, Copy)]
pub struct WaitingTask<'a> {
    /// Description of the task's job.
    pub spec: &'a Spec,
    /// The highest priority of the job and of the jobs that depend on it.
    pub priority: Priority,
    /// Time since the job became eligible to run, ms.
    pub waited_ms: u64,
}

/// A machine on which a task could be placed now.
#[derive(Clone, Copy)]
pub struct OfferedMachine {
    /// Machine type.
    pub machine_type: MachineTypeIndex,
    /// True for a spot machine, false for an on-demand machine.
    pub spot: bool,
    /// True if all of the machine's capacity is free.
    pub is_empty: bool,
}

/// True if a task that may run on spot machines should not use this machine yet. An empty
/// on-demand machine is left for a while to tasks that must not run on spot machines.
///
/// The wait grows with the price ratio of the machine type: at four times the spot price or more
/// the wait is the full `spot_patience_ms`, at twice the spot price or less there is no wait.
/// Production and high-priority tasks never wait.
pub fn should_wait_for_spot(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    task: WaitingTask,
    offered: OfferedMachine,
) -> bool {
    let is_first_choice = !task.spec.submitted.spot || offered.spot;
    if is_first_choice || !offered.is_empty || task.priority <= Priority::High {
        return false;
    }
    let machine_type = cluster.machine_types.get(&offered.machine_type);
    let price_ratio = machine_type.map_or(DEFAULT_PRICE_RATIO, |machine_type| {
        let description = &machine_type.description;
        description.price / description.spot_price.max(MIN_SPOT_PRICE)
    });
    let wait_fraction =
        (price_ratio - NO_WAIT_PRICE_RATIO) / (FULL_WAIT_PRICE_RATIO - NO_WAIT_PRICE_RATIO);
    let max_wait_ms = config.spot_patience_ms as f64 * wait_fraction.clamp(0.0, 1.0);
    (task.waited_ms as f64) < max_wait_ms
}

/// True if the free capacity of a machine equals its total capacity.
pub(crate) fn is_empty(cluster: &ClusterState, machine: &Machine, free: Resources) -> bool {
    let machine_type = cluster.machine_types.get(&machine.machine_type);
    machine_type.is_some_and(|machine_type| machine_type.capacity == free)
}
