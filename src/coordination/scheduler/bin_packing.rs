//! Free room, and how well machines suit tasks.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::protocol::users::Priority;
use crate::protocol::workers::TaskState;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::machine::{Machine, TaskAttempt};
use crate::state::names::{Index, JobIndex, MachineIndex, MachineTypeIndex, ZoneIndex};
use crate::state::units::{millis_from_seconds, Resources};

/// Free room by machine, drafted changes included.
#[derive(Clone, Debug)]
pub struct FreeCapacity(Vec<Option<Resources>>);

impl FreeCapacity {
    /// What is free on a machine.
    pub fn get(&self, m: MachineIndex) -> Option<Resources> {
        self.0.get(m.at()).copied().flatten()
    }
    /// Takes some of it; parts may become negative.
    pub fn take(&mut self, m: MachineIndex, need: Resources) {
        self.change(m, |f| f.minus(need));
    }
    /// Gives some back.
    pub fn give(&mut self, m: MachineIndex, need: Resources) {
        self.change(m, |f| f.plus(need));
    }
    fn change(&mut self, m: MachineIndex, by: impl FnOnce(Resources) -> Resources) {
        if let Some(Some(f)) = self.0.get_mut(m.at()) {
            *f = by(*f);
        }
    }
}

/// Free room of machines, after placements and whatever else was reported.
pub fn free_capacity(cluster: &ClusterState, draft: &DraftTransaction) -> FreeCapacity {
    let mut free = FreeCapacity(cluster.free_capacity().to_vec());
    for (ix, job) in &draft.jobs {
        let old = &cluster.jobs[ix.at()];
        let Some(s) = &job.spec else { continue };
        for p in job
            .placements
            .iter()
            .filter(|p| !old.placements.contains(p))
        {
            free.take(p.machine, s.need);
        }
        for p in old
            .placements
            .iter()
            .filter(|p| !job.placements.contains(p))
        {
            // What a report still shows takes its room until it has exited, and what is done
            // takes none in the view either.
            let a = TaskAttempt::new(*ix, p.task, p.attempt);
            let there = cluster.machine(p.machine).and_then(|m| m.observed(a));
            if there.is_none_or(|t| t.state == TaskState::Exited && !t.is_done()) {
                free.give(p.machine, s.need);
            }
        }
    }
    free
}

/// True if the job may have a task on this machine, room aside, given its other placements.
pub fn allowed(
    cluster: &ClusterState,
    job: &Job,
    ix: JobIndex,
    spec: &Spec,
    machine_index: MachineIndex,
    m: &Machine,
) -> bool {
    let kind = spec
        .machine_types
        .as_ref()
        .is_none_or(|r| r.contains(&m.machine_type))
        && spec.zone.is_none_or(|z| z == m.zone)
        && (spec.wire.spot || !m.spot);
    let failed_here = cluster
        .failures
        .get(&ix)
        .is_some_and(|failures| failures.machines.contains(&machine_index));
    kind && !failed_here && zone_allowed(cluster, job, spec, m.zone)
}

/// Zone rules against all placements of the record, old attempts counted until proven gone.
fn zone_allowed(cluster: &ClusterState, job: &Job, spec: &Spec, zone: ZoneIndex) -> bool {
    let zones = || {
        job.placements
            .iter()
            .filter_map(|p| cluster.shard_zone(p.shard))
    };
    (!spec.wire.one_zone || zones().all(|z| z == zone))
        && (zones().filter(|z| *z == zone).count() as u32) < spec.zone_cap()
}

/// Time a machine needs for a task's image.
pub(crate) fn image_pull_ms(cluster: &ClusterState, spec: &Spec, m: &Machine) -> u64 {
    if m.has_image(spec.image) {
        return 0;
    }
    let rate = cluster
        .machine_types
        .get(&m.machine_type)
        .map(|r| r.description.pull_gb_per_s);
    millis_from_seconds(spec.wire.image_gb / rate.unwrap_or(0.0).max(0.01))
}

/// How well a machine suits a task; less is better, in seconds of waiting.
///
/// Fetching an image is time lost. Room that nothing else can use once the task is
/// there is lost too, and spot machines are for the work that may run on them.
pub fn bin_packing_cost(cluster: &ClusterState, spec: &Spec, m: &Machine, free: Resources) -> i64 {
    let Some(machine_type) = cluster.machine_types.get(&m.machine_type) else {
        return i64::MAX;
    };
    let fetch = image_pull_ms(cluster, spec, m) as f64 / 1000.0;
    let whole = machine_type.capacity;
    let left = free.minus(spec.need);
    let part = |a: i64, b: i64| if b > 0 { a as f64 / b as f64 } else { 0.0 };
    let parts = [
        part(left.cpu, whole.cpu),
        part(left.gpu, whole.gpu),
        part(left.mem, whole.mem),
    ];
    let most = parts.iter().copied().fold(0.0, f64::max);
    let least = parts.iter().copied().fold(1.0, f64::min);
    let stranded = (most - least) * 20.0;
    let kind = if spec.wire.spot && !m.spot { 10.0 } else { 0.0 };
    // The fuller one first, so that others stay empty for large tasks or go back.
    let spare = least * 3.0;
    ((fetch + stranded + kind + spare) * 1000.0) as i64
}

pub(crate) fn is_empty(cluster: &ClusterState, m: &Machine, free: Resources) -> bool {
    cluster
        .machine_types
        .get(&m.machine_type)
        .is_some_and(|r| r.capacity == free)
}

/// True if a task that may run on spot machines should leave this one alone for now: an
/// empty ordinary machine is what work that may not use spot machines waits for.
///
/// `rank` is the job's priority, or a higher one that a job which needs it lends.
///
/// The dearer ordinary machines of that type are, the longer: at four times the spot price the
/// whole of the operators' patience, at twice the price or less none.
pub fn reserved_for_on_demand(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    spec: &Spec,
    rank: Priority,
    waited_ms: u64,
    on: (MachineTypeIndex, bool),
    empty: bool,
) -> bool {
    let (machine_type, spot) = on;
    if !spec.wire.spot || spot || !empty || rank <= Priority::High {
        return false;
    }
    let ratio = cluster.machine_types.get(&machine_type).map_or(4.0, |r| {
        r.description.price / r.description.spot_price.max(0.001)
    });
    let part = ((ratio - 2.0) / 2.0).clamp(0.0, 1.0);
    (waited_ms as f64) < config.spot_patience_ms as f64 * part
}

/// The least of each part that any of these needs: a machine without that suits none of them.
pub fn smallest_need<'a>(specs: impl Iterator<Item = &'a Spec>) -> Option<Resources> {
    specs.map(|s| s.need).reduce(Resources::least)
}
