//! Scheduling order: which waiting job is placed next.
//!
//! Jobs are ordered by priority; within a priority by whether the job can still meet its completion
//! targets; then by size, for jobs with a deadline of their own; then by age. Claims, gangs and
//! preemption all get their waiting jobs from this module.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::pass::PassContext;
use crate::protocol::users::Priority;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::names::JobIndex;
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use std::rc::Rc;

/// Length of the intervals in whose first second late jobs are scheduled before others of their
/// priority, s.
const LATE_JOBS_FIRST_INTERVAL_S: u64 = 5;

/// Waiting time after which a job without any placed or finished task is scheduled before others of
/// its priority, ms.
const MAX_WAIT_FOR_FIRST_TASK_MS: u64 = 120_000;

/// True if no task of a job may be placed for now: a write of the job's record with unknown outcome
/// may still be applied, or the job is backed off after its tasks failed on several machines.
pub(crate) fn is_backed_off(
    cluster: &ClusterState,
    job_index: JobIndex,
    now: MonotonicMillis,
) -> bool {
    let failures = cluster.failures.get(&job_index);
    cluster.jobs_with_unknown_outcome.contains(&job_index)
        || failures.is_some_and(|failures| failures.is_backed_off(now))
}

/// A job with tasks that wait for a placement.
pub struct WaitingJob {
    /// Index of the job.
    pub job_index: JobIndex,
    pub(crate) priority: Priority,
    pub(crate) spec: Rc<Spec>,
}

/// Position of a job within its priority; jobs of a smaller tier are scheduled first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum SchedulingTier {
    /// The job has waited too long for its first task, is at risk of missing its last target, or is
    /// late during a second in which late jobs are scheduled first.
    First,
    /// The job can meet its first target, or has no targets.
    OnTime,
    /// The job has missed or will miss its first target, but can meet its last target.
    MissesFirstTarget,
    /// The job has missed or will miss all its targets.
    MissesAllTargets,
}

/// Returns the position of a job within its priority.
///
/// A job that has missed its targets, or is certain to miss them, is scheduled after jobs that can
/// still meet theirs. Under overload some jobs are late in any case, and it is better that these
/// are always the same jobs. A class may have several targets, and a job that has missed the first
/// may still meet the last: it waits until two fifths of the time for the last target have passed,
/// and is then scheduled first.
///
/// Two rules keep younger or smaller jobs from starving any job. After two minutes, or two and a
/// half times the first target if that is less, a job without any placed or finished task is
/// scheduled first. And in one second out of five, all jobs that are late for a target are
/// scheduled first, in order of age.
pub fn scheduling_tier(
    config: &SchedulerConfig,
    job: &Job,
    spec: &Spec,
    wall_ms: u64,
) -> SchedulingTier {
    let targets = completion_targets(config, job, spec);
    let age_ms = job.waited_ms(wall_ms);
    let has_begun = !job.placements.is_empty() || job.done.count() > 0;
    if !has_begun && age_ms >= max_wait_for_first_task_ms(targets) {
        return SchedulingTier::First;
    }
    let Some(targets) = targets else {
        return SchedulingTier::OnTime;
    };
    let end_ms = age_ms + millis_from_seconds(spec.submitted.estimated_run_s);
    if end_ms <= targets.first_ms {
        return SchedulingTier::OnTime;
    }
    let can_meet_last = end_ms <= targets.last_ms;
    // At least two fifths of the time for the last target have passed.
    let last_target_at_risk =
        targets.last_ms > targets.first_ms && age_ms * 5 >= targets.last_ms * 2;
    let late_jobs_are_first = (wall_ms / 1000).is_multiple_of(LATE_JOBS_FIRST_INTERVAL_S);
    match can_meet_last {
        true if last_target_at_risk => SchedulingTier::First,
        _ if late_jobs_are_first => SchedulingTier::First,
        true => SchedulingTier::MissesFirstTarget,
        false => SchedulingTier::MissesAllTargets,
    }
}

/// Ages by which a job should be done, ms since it became eligible to run.
#[derive(Clone, Copy)]
struct CompletionTargets {
    first_ms: u64,
    last_ms: u64,
}

/// Completion targets from the job's own deadline and from its class; `None` if it has neither.
fn completion_targets(
    config: &SchedulerConfig,
    job: &Job,
    spec: &Spec,
) -> Option<CompletionTargets> {
    let eligible_since = job.dependency_state.eligible_since;
    let deadline = job.dependency_state.deadline;
    let own = deadline.map(|deadline| deadline.saturating_sub(eligible_since));
    let class = config.completion_targets.get(&spec.submitted.class);
    let mut targets = own.into_iter().chain(class.into_iter().flatten().copied());
    let first_ms = targets.next()?;
    let last_ms = targets.fold(first_ms, u64::max);
    Some(CompletionTargets { first_ms, last_ms })
}

/// Age at which a job without any placed or finished task is scheduled first within its priority,
/// ms.
fn max_wait_for_first_task_ms(targets: Option<CompletionTargets>) -> u64 {
    targets.map_or(MAX_WAIT_FOR_FIRST_TASK_MS, |targets| {
        MAX_WAIT_FOR_FIRST_TASK_MS.min(targets.first_ms * 5 / 2)
    })
}

/// Size of a job as the binary logarithm of its number of waiting tasks. Among jobs that can still
/// meet a deadline of their own, the smaller one is scheduled first, so that more jobs are on time
/// if not all can be.
///
/// The result is 0 for all other jobs, including jobs with only the targets of their class. For
/// these jobs, waiting times and the guarantees of teams matter as much as targets, and the
/// oldest-first order serves both better.
fn size_log2(job: &Job, tier: SchedulingTier) -> u32 {
    if tier != SchedulingTier::OnTime || job.dependency_state.deadline.is_none() {
        return 0;
    }
    job.waiting_count().max(1).ilog2()
}

/// Sort key of the scheduling order; the fields are compared from top to bottom.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SchedulingKey {
    priority: Priority,
    tier: SchedulingTier,
    size_log2: u32,
    eligible_since: u64,
    job_index: JobIndex,
}

/// Jobs with waiting tasks in scheduling order, except gangs of more than one task.
pub fn waiting_jobs(pass: &PassContext, draft: &DraftTransaction) -> Vec<WaitingJob> {
    let cluster = pass.cluster;
    let mut jobs: Vec<(SchedulingKey, Rc<Spec>)> = cluster
        .active_jobs()
        .filter(|(job_index, _)| !is_backed_off(cluster, *job_index, pass.now))
        .filter_map(|(job_index, _)| {
            let job = draft.job(cluster, job_index);
            let spec = job.spec.clone()?;
            if job.waiting_count() == 0 || spec.is_wide_gang() {
                return None;
            }
            let tier = scheduling_tier(pass.config, job, &spec, pass.wall_ms);
            let key = SchedulingKey {
                priority: job.dependency_state.priority,
                tier,
                size_log2: size_log2(job, tier),
                eligible_since: job.dependency_state.eligible_since,
                job_index,
            };
            Some((key, spec))
        })
        .collect();
    jobs.sort_by(|(a, _), (b, _)| a.cmp(b));
    let waiting = jobs.into_iter().map(|(key, spec)| WaitingJob {
        job_index: key.job_index,
        priority: key.priority,
        spec,
    });
    waiting.collect()
}

/// Waiting gangs of more than one task: staged gangs first, then by priority, then the oldest first.
///
/// A staged gang uses machines on which nothing runs, so it is completed before others begin.
pub fn waiting_gangs(cluster: &ClusterState, now: MonotonicMillis) -> Vec<JobIndex> {
    let mut gangs: Vec<(bool, Priority, u64, JobIndex)> = cluster
        .active_jobs()
        .filter(|(job_index, job)| {
            job.is_runnable()
                && (job.placements.is_empty() || job.is_staged())
                && !is_backed_off(cluster, *job_index, now)
        })
        .filter(|(_, job)| job.spec.as_ref().is_some_and(|spec| spec.is_wide_gang()))
        .map(|(job_index, job)| {
            let state = &job.dependency_state;
            (
                !job.is_staged(),
                state.priority,
                state.eligible_since,
                job_index,
            )
        })
        .collect();
    gangs.sort();
    gangs.into_iter().map(|(.., job_index)| job_index).collect()
}
