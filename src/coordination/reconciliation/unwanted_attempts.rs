//! Attempts that must be stopped, and attempts that must not be restarted.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::state::cluster_state::ClusterState;
use crate::state::job::Job;
use crate::state::machine::{Machine, TaskAttempt};
use crate::state::names::{Index, MachineIndex};

/// True if a gang has lost some of its tasks, so that its remaining tasks must be stopped. A staged
/// gang lacks tasks that were not placed yet, and none of its tasks runs.
pub fn is_broken_gang(job: &Job) -> bool {
    let Some(spec) = &job.spec else { return false };
    spec.is_wide_gang()
        && job.is_open()
        && !job.is_staged()
        && !job.placements.is_empty()
        && (job.placements.len() as u32) < spec.tasks()
}

/// True if the attempt must be stopped: its job has ended, its task is done, its stop was decided,
/// or its gang has lost tasks.
pub fn is_unwanted(job: &Job, machine: &Machine, attempt: TaskAttempt) -> bool {
    !job.is_open()
        || job.done.has(attempt.task)
        || machine.decisions.stopping.contains_key(&attempt)
        || is_broken_gang(job)
}

/// True if an attempt that is absent from the machine must not be started there again.
///
/// Either the attempt was observed there before and is lost, or its removal is being committed, or
/// the machine is unreachable.
pub(crate) fn is_abandoned(machine: &Machine, attempt: TaskAttempt) -> bool {
    machine.starts.observed_or_abandoned.contains(&attempt)
        || machine.health.unreachable_since.is_some()
}

/// Marks the placements that a draft removes as abandoned. Must be called before the draft is sent.
///
/// The proof of an attempt's absence holds only while no start command is sent for it. While the
/// transaction is in flight, which may take seconds, the machine may send another heartbeat without
/// the attempt. A start in the response would run an attempt that the record no longer lists.
pub fn mark_abandoned(cluster: &mut ClusterState, draft: &DraftTransaction) {
    let mut removed: Vec<(MachineIndex, TaskAttempt)> = Vec::new();
    for (job_index, job) in &draft.jobs {
        for placement in cluster.jobs[job_index.at()].placements_missing_from(job) {
            let attempt = TaskAttempt::new(*job_index, placement.task, placement.attempt);
            removed.push((placement.machine, attempt));
        }
    }
    for (machine_index, attempt) in removed {
        if let Some(machine) = cluster.machine_mut(machine_index) {
            machine.starts.observed_or_abandoned.insert(attempt);
        }
    }
}
