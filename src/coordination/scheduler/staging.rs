//! Staging: records the placements of a gang that one transaction can't hold in several
//! transactions.
//!
//! A staged gang has the quota and the machines of its placements, but nothing of it runs before
//! the last transaction. What the next step is follows from the records alone, so any owner of the
//! gang's planning shard can go on after a failover, and a cancellation between two steps makes
//! the next one fail. Invariant: a gang that can't be completed does not keep what it has: its
//! staging is abandoned, and its placements are removed like those of any broken gang.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::placement::{
    charge_tasks, draft_placements, overflow_indices, place, placements_that_fit, PlacementRequest,
};
use crate::coordination::scheduler::placement_rules::JobRef;
use crate::protocol::users::Priority;
use crate::state::cluster_state::ClusterState;
use crate::state::job::Job;
use crate::state::names::{Index, JobIndex};
use crate::state::records::RECORD_FORMAT_V3;
use crate::state::staged_attempt::StagedAttempt;

/// A step leaves one in this many writes of its transaction to other jobs, so that a gang of many
/// steps does not keep them waiting.
const SHARE_OF_OTHER_JOBS: usize = 4;

/// Time without a step after which the staging of a gang is abandoned, ms.
const STAGING_TIMEOUT_MS: u64 = 10_000;

/// Drafts placements of a gang's waiting tasks: all of them, or, if one transaction can't hold
/// them, as many as this one does. False if none was drafted.
pub(super) fn place_gang(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    request: &PlacementRequest,
) -> bool {
    let job = &pass.cluster.jobs[request.job_index.at()];
    if job.is_staged() {
        return place_next(pass, draft, request);
    }
    let Some(overflow_indices) = overflow_indices(pass, job, request.tasks.len()) else {
        return false;
    };
    if fits_one_transaction(pass, request.job_index, &overflow_indices) {
        return place(pass, draft, request);
    }
    may_begin(pass, draft) && place_next(pass, draft, request)
}

/// True if an otherwise empty transaction can hold the job's record with these placements.
fn fits_one_transaction(pass: &PassContext, job_index: JobIndex, overflow_indices: &[u16]) -> bool {
    let empty = DraftTransaction::default();
    placements_that_fit(pass, &empty, job_index, overflow_indices, 0) == overflow_indices.len()
}

/// True if the staging of a gang may begin: all controllers know staged gangs, and no other gang is
/// being staged, so that two gangs don't each hold a part of what both need.
fn may_begin(pass: &PassContext, draft: &DraftTransaction) -> bool {
    let is_stalled = |job: &Job| job.is_staging_stalled(pass.wall_ms, STAGING_TIMEOUT_MS);
    let in_progress = |job: &Job| job.is_staged() && !is_stalled(job);
    pass.cluster.all_controllers_read(RECORD_FORMAT_V3)
        && !draft.jobs.values().any(Job::is_staged)
        && !pass.cluster.active_jobs().any(|(_, job)| in_progress(job))
}

/// Drafts one step: as many placements as the rest of the transaction holds, less the share of other
/// jobs. False if it holds none, or if the team's quota does not allow the whole gang.
fn place_next(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    request: &PlacementRequest,
) -> bool {
    let job = &pass.cluster.jobs[request.job_index.at()];
    let tasks = request.tasks.len();
    // The quota of all tasks is charged with the first step.
    let uncharged = if job.is_staged() { 0 } else { tasks as u32 };
    if !charge_tasks(pass, draft, request, uncharged) {
        return false;
    }
    let step = next_step(pass, job, request);
    let staged_job = Job {
        staged: Some(step),
        ..job.clone()
    };
    let Some(overflow_indices) = overflow_indices(pass, &staged_job, tasks) else {
        return false;
    };
    let limits = pass.config.limits(pass.cluster);
    let kept_keys = limits.txn_ops / SHARE_OF_OTHER_JOBS;
    let count = placements_that_fit(pass, draft, request.job_index, &overflow_indices, kept_keys);
    if count == 0 {
        draft.truncated = true;
        return false;
    }
    let Some(drafted) = draft.edit(pass.cluster, pass.config, request.job_index) else {
        return false;
    };
    let is_complete = count == tasks;
    drafted.next_attempt = drafted.next_attempt.max(step.attempt + 1);
    drafted.staged = (!is_complete).then_some(step);
    draft_placements(
        pass,
        draft,
        request,
        step.attempt,
        &overflow_indices[..count],
    );
    draft.truncated |= !is_complete;
    true
}

/// The staged attempt that the record of a gang holds after its next step.
fn next_step(pass: &PassContext, job: &Job, request: &PlacementRequest) -> StagedAttempt {
    StagedAttempt {
        attempt: job.staged.map_or(job.next_attempt, |staged| staged.attempt),
        charged_shard: request.permit.shard().into(),
        last_step_at: pass.wall_ms,
    }
}

/// Abandons the staging of a gang that has made no step for too long.
pub(super) fn abandon_if_stalled(pass: &PassContext, draft: &mut DraftTransaction, gang: JobRef) {
    if gang
        .job
        .is_staging_stalled(pass.wall_ms, STAGING_TIMEOUT_MS)
    {
        abandon(pass, draft, gang.index);
    }
}

/// Abandons the staging of a gang that finds no machines for its other tasks while another gang,
/// which precedes it, is staged: it may hold the machines that the other one needs.
pub(super) fn yield_to_other(pass: &PassContext, draft: &mut DraftTransaction, gang: JobRef) {
    let own = precedence(gang.job);
    let mut jobs = pass.cluster.active_jobs();
    if jobs.any(|(_, other)| other.is_staged() && precedence(other) < own) {
        abandon(pass, draft, gang.index);
    }
}

fn abandon(pass: &PassContext, draft: &mut DraftTransaction, job_index: JobIndex) {
    if let Some(job) = draft.edit(pass.cluster, pass.config, job_index) {
        job.staged = None;
    }
}

/// Log lines on the staged gangs of a draft: those that it extends, and those that it gives up.
pub(super) fn describe_staging(cluster: &ClusterState, draft: &DraftTransaction) -> Vec<String> {
    let describe = |(job_index, job): (&JobIndex, &Job)| {
        let was_staged = cluster.jobs[job_index.at()].is_staged();
        let (id, placed) = (&job.id, job.placements.len());
        let tasks = job.spec.as_ref()?.tasks();
        match job.staged {
            Some(StagedAttempt { attempt, .. }) => Some(format!(
                "gang staged: job={id} attempt={attempt} placed={placed} tasks={tasks}"
            )),
            None if was_staged && (placed as u32) < tasks => Some(format!(
                "gang staging abandoned: job={id} placed={placed} tasks={tasks}"
            )),
            None => None,
        }
    };
    draft.jobs.iter().filter_map(describe).collect()
}

/// Sort key of staged gangs. All controllers derive the same order, so of two gangs that each hold a
/// part of what both need, one goes on.
fn precedence(job: &Job) -> (Priority, u64, &str) {
    let state = &job.dependency_state;
    (state.priority, state.eligible_since, &job.id)
}
