//! Free capacity of machines, with what a draft changes.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::placement_rules::MachineRef;
use crate::protocol::workers::TaskState;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Placement, Spec};
use crate::state::machine::TaskAttempt;
use crate::state::names::{Index, JobIndex, MachineIndex};
use crate::state::units::Resources;

/// Free capacity by machine, drafted changes included.
#[derive(Clone, Debug)]
pub struct FreeCapacity(Vec<Option<Resources>>);

impl FreeCapacity {
    /// What is free on a machine; `None` if the machine or its type is not known.
    pub fn get(&self, machine: MachineIndex) -> Option<Resources> {
        self.0.get(machine.at()).copied().flatten()
    }
    /// Takes some of it; parts may become negative.
    pub fn take(&mut self, machine: MachineIndex, need: Resources) {
        self.change(machine, |free| free.minus(need));
    }
    /// Gives some back.
    pub fn give(&mut self, machine: MachineIndex, need: Resources) {
        self.change(machine, |free| free.plus(need));
    }
    fn change(&mut self, machine: MachineIndex, by: impl FnOnce(Resources) -> Resources) {
        if let Some(Some(free)) = self.0.get_mut(machine.at()) {
            *free = by(*free);
        }
    }
}

/// Free capacity of machines, after placements and whatever else their heartbeats show.
pub fn free_capacity(cluster: &ClusterState, draft: &DraftTransaction) -> FreeCapacity {
    let mut free = FreeCapacity(cluster.free_capacity().to_vec());
    for (job_index, drafted) in &draft.jobs {
        let Some(spec) = &drafted.spec else { continue };
        let stored = &cluster.jobs[job_index.at()];
        for placement in placements_only_in(drafted, stored) {
            free.take(placement.machine, spec.need);
        }
        for placement in placements_only_in(stored, drafted) {
            if frees_capacity(cluster, *job_index, placement) {
                free.give(placement.machine, spec.need);
            }
        }
    }
    free
}

fn placements_only_in<'a>(job: &'a Job, other: &'a Job) -> impl Iterator<Item = &'a Placement> {
    let all = job.placements.iter();
    all.filter(|placement| !other.placements.contains(placement))
}

/// True if the removal of a placement frees capacity: what a heartbeat still shows takes its
/// capacity until it has exited, and what is done takes none in the view either.
fn frees_capacity(cluster: &ClusterState, job_index: JobIndex, placement: &Placement) -> bool {
    let attempt = TaskAttempt::new(job_index, placement.task, placement.attempt);
    let machine = cluster.machine(placement.machine);
    let task = machine.and_then(|machine| machine.observed(attempt));
    task.is_none_or(|task| task.state == TaskState::Exited && !task.is_done())
}

/// The least of each part that any of these needs: a machine without that suits none of them.
pub fn smallest_need<'a>(specs: impl Iterator<Item = &'a Spec>) -> Option<Resources> {
    specs.map(|spec| spec.need).reduce(Resources::least)
}

/// Schedulable machines of any owner with free capacity for the smallest need.
pub(super) fn machines_with_capacity<'a: 'f, 'f>(
    pass: &PassContext<'a>,
    free: &'f FreeCapacity,
    smallest: Resources,
) -> impl Iterator<Item = MachineRef<'a>> + use<'a, 'f> {
    let (now, unresponsive_ms) = (pass.now, pass.config.unresponsive_ms);
    let machines = pass.cluster.all_machines().map(MachineRef::from);
    machines.filter(move |on| {
        free.get(on.index).is_some_and(|f| smallest.fits(f))
            && on.machine.is_schedulable(now, unresponsive_ms)
    })
}
