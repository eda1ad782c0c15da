//! The first step of a scheduling pass: drafts the removal of placements that have ended.

use super::attempt_end::{AttemptEnd, Evidence, PlacementEnd};
use super::overflow::move_to_overflow;
use super::placement_end::{evidence, placement_end};
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::pass::PassContext;
use crate::protocol::users::JobKind;
use crate::state::job::{Job, JobState, Placement};
use crate::state::machine::{Machine, ObservedTask, TaskAttempt};
use crate::state::names::{Index, JobIndex};
use standby::permit::Permit;

/// Drafts the removal of placements whose end heartbeats, expired leases or machine deletions
/// prove.
///
/// Before that, it drafts moves to overflow records, rewrites of records whose last write has an
/// unknown outcome, and cascaded cancellations.
pub fn reconcile(pass: &PassContext, draft: &mut DraftTransaction) {
    let permits = pass.permits_by_shard();
    move_to_overflow(pass, draft);
    rewrite_quotas_with_unknown_outcome(pass, draft);
    write_cascaded_cancellations(pass, draft);
    for (job_index, job) in pass.cluster.active_jobs() {
        if pass.cluster.jobs_with_unknown_outcome.contains(&job_index) {
            // A write with an unknown outcome may still be applied. Any new write of the record
            // changes its version, so that the late transaction fails.
            let _ = draft.edit(pass.cluster, pass.config, job_index);
        }
        for placement in &job.placements {
            let Some(proven) = proven_end(pass, &permits, job_index, job, placement) else {
                continue;
            };
            let attempt = TaskAttempt::new(job_index, placement.task, placement.attempt);
            if draft.batch_array_updates && can_wait_for_batch(pass, job, attempt, proven) {
                continue;
            }
            record_end(pass, draft, job_index, placement, proven);
        }
    }
}

/// Rewrites team quotas whose last write has an unknown outcome. The new version makes that
/// transaction fail if it is executed late.
fn rewrite_quotas_with_unknown_outcome(pass: &PassContext, draft: &mut DraftTransaction) {
    for team in &pass.cluster.teams_with_unknown_outcome {
        if draft.has_capacity_for(pass.cluster, pass.config, 1) {
            let record = pass.cluster.team_quotas[team.at()].record.clone();
            draft.team_quotas.insert(*team, record);
        }
    }
}

/// Writes the state of jobs that are cancelled because a dependency is, a few per pass.
///
/// Every controller derives these cancellations without the write, so it can wait; a large
/// dependency graph must not cause a burst of writes.
fn write_cascaded_cancellations(pass: &PassContext, draft: &mut DraftTransaction) {
    let unwritten = pass.cluster.dependency_graph.unwritten_cancellations.iter();
    let own = unwritten.filter(|job| {
        let job = &pass.cluster.jobs[job.at()];
        pass.planning_permit(job).is_some()
    });
    let chosen: Vec<JobIndex> = own.take(draft.cascade_budget).copied().collect();
    for job_index in chosen {
        let _ = draft.edit(pass.cluster, pass.config, job_index);
    }
}

/// How a placement ended, and the permit that the proof depends on.
#[derive(Clone, Copy)]
struct ProvenEnd<'a> {
    end: PlacementEnd,
    /// `None` for a deletion of the machine, which is proof regardless of who owns the shard.
    permit: Option<&'a Permit>,
    /// The machine, unless it is deleted.
    machine: Option<&'a Machine>,
    evidence: Evidence,
}

fn proven_end<'a>(
    pass: &PassContext<'a>,
    permits: &[Option<&'a Permit>],
    job_index: JobIndex,
    job: &Job,
    placement: &Placement,
) -> Option<ProvenEnd<'a>> {
    if pass.cluster.is_deleted(placement.machine) {
        return Some(ProvenEnd {
            end: PlacementEnd::MachineDeleted,
            permit: None,
            machine: None,
            evidence: Evidence::of_deletion(),
        });
    }
    let permit = permits.get(placement.shard.at()).copied().flatten()?;
    let machine = pass.cluster.machine(placement.machine)?;
    let fencing_token = pass.cluster.shards[machine.shard.at()].record.fencing_token;
    let attempt = TaskAttempt::new(job_index, placement.task, placement.attempt);
    let end = placement_end(pass, job, machine, attempt, fencing_token)?;
    Some(ProvenEnd {
        end,
        permit: Some(permit),
        machine: Some(machine),
        evidence: evidence(end, machine, fencing_token, pass.now),
    })
}

/// True if the write of a task's end may be delayed and batched with others of its job.
///
/// This holds for a done task of an array job with other tasks left. The capacity of such a task
/// counts as free already.
fn can_wait_for_batch(
    pass: &PassContext,
    job: &Job,
    attempt: TaskAttempt,
    proven: ProvenEnd,
) -> bool {
    let shown_done = |machine: &Machine, attempt| {
        let task = machine.observed(attempt);
        task.is_some_and(ObservedTask::is_done)
    };
    let array = job
        .spec
        .as_ref()
        .filter(|s| s.submitted.kind == JobKind::Array);
    let (Some(spec), Some(machine)) = (array, proven.machine) else {
        return false;
    };
    if !job.is_open() || !shown_done(machine, attempt) {
        return false;
    }
    let unwritten = job.placements.iter().filter(|p| {
        let attempt = TaskAttempt::new(attempt.job, p.task, p.attempt);
        let machine = pass.cluster.machine(p.machine);
        !job.done.has(p.task) && machine.is_some_and(|machine| shown_done(machine, attempt))
    });
    job.done.count() as usize + unwritten.count() < spec.tasks() as usize
}

/// Drafts the removal of a placement that has ended, and the task's completion if it is done.
fn record_end(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    job_index: JobIndex,
    placement: &Placement,
    proven: ProvenEnd,
) {
    let (cluster, config) = (pass.cluster, pass.config);
    if !draft.include_overflow(cluster, config, job_index, placement.overflow_index) {
        return;
    }
    let Some(job) = draft.edit(cluster, config, job_index) else {
        return;
    };
    if proven.end.is_done() && job.is_open() {
        job.complete_task(placement.task);
        if job.state == JobState::Done && job.finished_at == 0 {
            job.finished_at = pass.wall_ms;
        }
    }
    job.remove_placement(placement.task, placement.attempt);
    let may_start_elsewhere = job.is_open() && !proven.end.is_done();
    if may_start_elsewhere {
        draft.ended.push(AttemptEnd {
            attempt: TaskAttempt::new(job_index, placement.task, placement.attempt),
            machine: placement.machine,
            proof: proven.end,
            evidence: proven.evidence,
        });
    }
    if let Some(permit) = proven.permit {
        draft.require_ownership(permit);
    }
}
