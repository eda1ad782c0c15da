//! Free capacity of machines, including the changes of a draft.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::placement_rules::MachineRef;
use crate::protocol::workers::TaskState;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Placement, Spec};
use crate::state::machine::TaskAttempt;
use crate::state::names::{Index, JobIndex, MachineIndex};
use crate::state::units::Resources;

/// Free capacity by machine index, including drafted changes.
#[derive(Clone, Debug)]
pub struct FreeCapacity(Vec<Option<Resources>>);

impl FreeCapacity {
    /// Free capacity of a machine; `None` if the machine or its type is unknown.
    pub fn get(&self, machine: MachineIndex) -> Option<Resources> {
        self.0.get(machine.at()).copied().flatten()
    }
    /// Subtracts resources from a machine's free capacity, which may become negative.
    pub fn allocate(&mut self, machine: MachineIndex, need: Resources) {
        self.change(machine, |free| free.minus(need));
    }
    /// Adds resources to a machine's free capacity.
    pub fn release(&mut self, machine: MachineIndex, need: Resources) {
        self.change(machine, |free| free.plus(need));
    }
    fn change(&mut self, machine: MachineIndex, by: impl FnOnce(Resources) -> Resources) {
        if let Some(Some(free)) = self.0.get_mut(machine.at()) {
            *free = by(*free);
        }
    }
}

/// Free capacity of all machines, less stored and drafted placements and all other tasks that
/// heartbeats show.
pub fn free_capacity(cluster: &ClusterState, draft: &DraftTransaction) -> FreeCapacity {
    let mut free = FreeCapacity(cluster.free_capacity().to_vec());
    for (job_index, drafted) in &draft.jobs {
        let Some(spec) = &drafted.spec else { continue };
        let stored = &cluster.jobs[job_index.at()];
        for placement in drafted.placements_missing_from(stored) {
            free.allocate(placement.machine, spec.need);
        }
        for placement in stored.placements_missing_from(drafted) {
            if frees_capacity(cluster, *job_index, placement) {
                free.release(placement.machine, spec.need);
            }
        }
    }
    free
}

/// True if the removal of a placement frees capacity in the cached cluster state. A task that the
/// machine's newest message still shows uses capacity until it has exited. A task that has exited
/// as done is already counted as free.
fn frees_capacity(cluster: &ClusterState, job_index: JobIndex, placement: &Placement) -> bool {
    let attempt = TaskAttempt::new(job_index, placement.task, placement.attempt);
    let machine = cluster.machine(placement.machine);
    let task = machine.and_then(|machine| machine.observed(attempt));
    task.is_none_or(|task| task.state == TaskState::Exited && !task.is_done())
}

/// The minimum of each resource over the tasks of these jobs: a machine with less free fits none of
/// them. `None` if there are no jobs.
pub fn smallest_need<'a>(specs: impl Iterator<Item = &'a Spec>) -> Option<Resources> {
    specs.map(|spec| spec.need).reduce(Resources::least)
}

/// Schedulable machines of any owner whose free capacity fits the smallest need.
pub(super) fn machines_with_capacity<'a: 'f, 'f>(
    pass: &PassContext<'a>,
    free: &'f FreeCapacity,
    smallest: Resources,
) -> impl Iterator<Item = MachineRef<'a>> + use<'a, 'f> {
    let (now, unresponsive_ms) = (pass.now, pass.config.unresponsive_ms);
    let machines = pass.cluster.all_machines().map(MachineRef::from);
    machines.filter(move |candidate| {
        free.get(candidate.index).is_some_and(|f| smallest.fits(f))
            && candidate.machine.is_schedulable(now, unresponsive_ms)
    })
}
