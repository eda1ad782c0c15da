//! Attempts that must not run any more, and attempts that must not be started again.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::state::cluster_state::ClusterState;
use crate::state::job::Job;
use crate::state::machine::{Machine, TaskAttempt};
use crate::state::names::{Index, MachineIndex};

/// True if a gang has lost some of its tasks and the rest has to be stopped.
pub fn is_broken_gang(job: &Job) -> bool {
    let Some(spec) = &job.spec else { return false };
    spec.is_wide_gang()
        && job.is_open()
        && !job.placements.is_empty()
        && (job.placements.len() as u32) < spec.tasks()
}

/// True if the attempt must not run any more.
pub fn is_unwanted(job: &Job, machine: &Machine, attempt: TaskAttempt) -> bool {
    !job.is_open()
        || job.done.has(attempt.task)
        || machine.decisions.stopping.contains_key(&attempt)
        || is_broken_gang(job)
}

/// True if an attempt that is not there should not be started there any more: it was there
/// and is lost, or nothing reaches the machine.
pub(crate) fn is_abandoned(machine: &Machine, attempt: TaskAttempt) -> bool {
    machine.starts.observed_or_abandoned.contains(&attempt)
        || machine.health.unreachable_since.is_some()
}

/// Marks the placements that a draft removes as abandoned: call it before the draft is sent.
///
/// What proves an attempt absent holds for as long as no start for it goes out. While the
/// transaction is on its way, which may take seconds, the machine may send another heartbeat that
/// lacks the attempt: to start it then would run it when the record says that it does not.
pub fn mark_abandoned(cluster: &mut ClusterState, draft: &DraftTransaction) {
    let mut removed: Vec<(MachineIndex, TaskAttempt)> = Vec::new();
    for (job_index, job) in &draft.jobs {
        for placement in &cluster.jobs[job_index.at()].placements {
            if !job.placements.contains(placement) {
                let attempt = TaskAttempt::new(*job_index, placement.task, placement.attempt);
                removed.push((placement.machine, attempt));
            }
        }
    }
    for (machine_index, attempt) in removed {
        if let Some(machine) = cluster.machine_mut(machine_index) {
            machine.starts.observed_or_abandoned.insert(attempt);
        }
    }
}
