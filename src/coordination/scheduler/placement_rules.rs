//! Which machines a job may use, free capacity aside: types, zones, spot machines, and machines
//! on which it has failed. Scheduling and the autoscaler keep to the same rules.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::users::Priority;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::machine::Machine;
use crate::state::names::{JobIndex, MachineIndex, MachineTypeIndex, ZoneIndex};
use crate::state::units::Resources;
use std::collections::HashMap;

/// Price of an on-demand machine in spot prices, where the latter is not known.
const DEFAULT_PRICE_RATIO: f64 = 4.0;
/// Ratio of prices up to which work does not wait for spot machines at all.
const NO_PATIENCE_PRICE_RATIO: f64 = 2.0;
/// Ratio of prices from which on work waits for all of the operators' patience.
const FULL_PATIENCE_PRICE_RATIO: f64 = 4.0;
/// Least spot price that a ratio is computed with.
const MIN_SPOT_PRICE: f64 = 0.001;

/// A job whose tasks look for machines.
#[derive(Clone, Copy)]
pub struct JobRef<'a> {
    /// Its index.
    pub index: JobIndex,
    /// The job, as drafted so far.
    pub job: &'a Job,
    /// Its description.
    pub spec: &'a Spec,
}

/// A machine with its index.
#[derive(Clone, Copy)]
pub struct MachineRef<'a> {
    /// Its index.
    pub index: MachineIndex,
    /// The machine.
    pub machine: &'a Machine,
}

impl<'a> From<(MachineIndex, &'a Machine)> for MachineRef<'a> {
    fn from((index, machine): (MachineIndex, &'a Machine)) -> MachineRef<'a> {
        MachineRef { index, machine }
    }
}

/// True if the job may have a task on this machine, free capacity aside, given its other
/// placements.
pub fn is_allowed(cluster: &ClusterState, job: JobRef, on: MachineRef) -> bool {
    let failures = cluster.failures.get(&job.index);
    kind_allowed(job.spec, on.machine)
        && !failures.is_some_and(|failures| failures.machines.contains(&on.index))
        && zone_allowed(cluster, job.job, job.spec, on.machine.zone)
}

/// True if the machine is of a type, in a zone and of a price that the job takes.
fn kind_allowed(spec: &Spec, machine: &Machine) -> bool {
    let types = spec.machine_types.as_ref();
    types.is_none_or(|types| types.contains(&machine.machine_type))
        && spec.zone.is_none_or(|zone| zone == machine.zone)
        && (spec.wire.spot || !machine.spot)
}

/// Zone rules against all placements of the record, old attempts counted until proven absent.
fn zone_allowed(cluster: &ClusterState, job: &Job, spec: &Spec, zone: ZoneIndex) -> bool {
    let zones = || {
        let placements = job.placements.iter();
        placements.filter_map(|p| cluster.shard_zone(p.shard))
    };
    (!spec.wire.one_zone || zones().all(|z| z == zone))
        && (zones().filter(|z| *z == zone).count() as u32) < spec.zone_cap()
}

/// How many tasks of a job are in each zone.
#[derive(Default)]
pub struct TasksByZone(HashMap<ZoneIndex, u32>);

impl TasksByZone {
    /// Counts a job's placements.
    pub fn of_placements(cluster: &ClusterState, job: &Job) -> TasksByZone {
        let mut counts = TasksByZone::default();
        for placement in &job.placements {
            if let Some(zone) = cluster.shard_zone(placement.shard) {
                counts.add(zone);
            }
        }
        counts
    }
    /// Counts one more task.
    pub fn add(&mut self, zone: ZoneIndex) {
        *self.0.entry(zone).or_default() += 1;
    }
    /// Tasks in a zone.
    pub fn count(&self, zone: ZoneIndex) -> u32 {
        self.0.get(&zone).copied().unwrap_or(0)
    }
    /// True if no task is in another zone.
    pub fn are_all_in(&self, zone: ZoneIndex) -> bool {
        self.0.keys().all(|z| *z == zone)
    }
}

/// Work that chooses between spot and on-demand machines.
#[derive(Clone, Copy)]
pub struct SpotWork<'a> {
    /// Its job's description.
    pub spec: &'a Spec,
    /// The job's priority, or a higher one that a job depending on it lends.
    pub priority: Priority,
    /// How long it has waited, ms.
    pub waited_ms: u64,
}

/// What such work is offered.
#[derive(Clone, Copy)]
pub struct OfferedMachine {
    /// Type of the machine.
    pub machine_type: MachineTypeIndex,
    /// It is a spot machine.
    pub spot: bool,
    /// Nothing runs on it.
    pub is_empty: bool,
}

/// True if a task that may run on spot machines should leave this one alone for now: an empty
/// on-demand machine is what work that must not use spot machines waits for.
///
/// The dearer on-demand machines of that type are, the longer: at four times the spot price the
/// whole of the operators' patience, at twice the price or less none.
pub fn is_reserved_for_on_demand(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    work: SpotWork,
    offered: OfferedMachine,
) -> bool {
    let has_no_choice = !work.spec.wire.spot || offered.spot;
    if has_no_choice || !offered.is_empty || work.priority <= Priority::High {
        return false;
    }
    let machine_type = cluster.machine_types.get(&offered.machine_type);
    let price_ratio = machine_type.map_or(DEFAULT_PRICE_RATIO, |machine_type| {
        let description = &machine_type.description;
        description.price / description.spot_price.max(MIN_SPOT_PRICE)
    });
    let patience = (price_ratio - NO_PATIENCE_PRICE_RATIO)
        / (FULL_PATIENCE_PRICE_RATIO - NO_PATIENCE_PRICE_RATIO);
    let patience_ms = config.spot_patience_ms as f64 * patience.clamp(0.0, 1.0);
    (work.waited_ms as f64) < patience_ms
}

/// True if nothing runs on a machine with this much free.
pub(crate) fn is_empty(cluster: &ClusterState, machine: &Machine, free: Resources) -> bool {
    let machine_type = cluster.machine_types.get(&machine.machine_type);
    machine_type.is_some_and(|machine_type| machine_type.capacity == free)
}
