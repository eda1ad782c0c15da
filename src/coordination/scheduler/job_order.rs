//! The order of service: which waiting job claims next.
//!
//! By priority; within a priority by whether the job can still make the time expected of it; then
//! by size, for jobs with a deadline of their own; then by age. Claims, gangs and preemption all
//! take the waiting jobs from here.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::pass::PassContext;
use crate::protocol::users::Priority;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::names::JobIndex;
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use std::rc::Rc;

/// One second in so many belongs to what is late.
const OVERDUE_TURN_SECONDS: u64 = 5;

/// Age at which any job's first task goes before others of its priority.
const MAX_WAIT_FOR_FIRST_TASK_MS: u64 = 120_000;

/// True if nothing of a job may be placed for now: a write of its record may still be applied, or
/// its tasks have just failed on several machines.
pub(crate) fn is_backed_off(
    cluster: &ClusterState,
    job_index: JobIndex,
    now: MonotonicMillis,
) -> bool {
    let failures = cluster.failures.get(&job_index);
    cluster.jobs_with_unknown_outcome.contains(&job_index)
        || failures.is_some_and(|failures| failures.is_backed_off(now))
}

/// A waiting job, in the order of service.
pub struct Waiting {
    /// Job.
    pub job_index: JobIndex,
    pub(crate) priority: Priority,
    pub(crate) spec: Rc<Spec>,
}

/// Where the order of service puts a job within its priority.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum ServiceTier {
    /// It has waited for too long, or may just still make its last time.
    First,
    /// It can make what is expected of it, or nothing is.
    OnTime,
    /// It has missed the first of several times, or will.
    LateForFirst,
    /// It has missed all that was expected of it, or will.
    Late,
}

/// Where the order of service puts a job within its priority.
///
/// One that has missed what is expected of it, or will whatever happens now, goes behind those
/// that can still make it: when more is asked than can be done, someone is late, and it is
/// better the same ones. A class may have several times, and one that has missed the first may
/// still keep the last: it waits until a good part of that has passed, and then goes first.
/// Two bounds keep any job from starving, whatever younger or smaller work comes: after two
/// minutes, or two and a half times the time allowed if that is less, its first task goes
/// before all; and in one second of five all late work does, the oldest first.
pub fn service_tier(config: &SchedulerConfig, job: &Job, spec: &Spec, wall_ms: u64) -> ServiceTier {
    let targets = completion_targets(config, job, spec);
    let age_ms = job.waited_ms(wall_ms);
    let begun = !job.placements.is_empty() || job.done.count() > 0;
    if !begun && age_ms >= begin_by_ms(targets) {
        return ServiceTier::First;
    }
    let Some(targets) = targets else {
        return ServiceTier::OnTime;
    };
    let end_ms = age_ms + millis_from_seconds(spec.wire.estimated_run_s);
    if end_ms <= targets.first_ms {
        return ServiceTier::OnTime;
    }
    let makes_last = end_ms <= targets.last_ms;
    // Two fifths of the last time have passed.
    let last_in_doubt = targets.last_ms > targets.first_ms && age_ms * 5 >= targets.last_ms * 2;
    let overdue_turn = (wall_ms / 1000).is_multiple_of(OVERDUE_TURN_SECONDS);
    match makes_last {
        true if last_in_doubt => ServiceTier::First,
        _ if overdue_turn => ServiceTier::First,
        true => ServiceTier::LateForFirst,
        false => ServiceTier::Late,
    }
}

/// Ages by which a job should be done.
#[derive(Clone, Copy)]
struct CompletionTargets {
    first_ms: u64,
    last_ms: u64,
}

/// A job's own deadline and the times expected of its class; `None` if it has neither.
fn completion_targets(
    config: &SchedulerConfig,
    job: &Job,
    spec: &Spec,
) -> Option<CompletionTargets> {
    let eligible_since = job.dependency_state.eligible_since;
    let deadline = job.dependency_state.deadline;
    let own = deadline.map(|deadline| deadline.saturating_sub(eligible_since));
    let class = config.completion_targets.get(&spec.wire.class);
    let mut targets = own.into_iter().chain(class.into_iter().flatten().copied());
    let first_ms = targets.next()?;
    let last_ms = targets.fold(first_ms, u64::max);
    Some(CompletionTargets { first_ms, last_ms })
}

/// Age at which a job's first task goes before all.
fn begin_by_ms(targets: Option<CompletionTargets>) -> u64 {
    targets.map_or(MAX_WAIT_FOR_FIRST_TASK_MS, |targets| {
        MAX_WAIT_FOR_FIRST_TASK_MS.min(targets.first_ms * 5 / 2)
    })
}

/// Among jobs with a deadline of their own that can still make it, the smaller goes first, in
/// steps of two: when not all can be in time, more jobs are.
///
/// Not so where a class is only expected to finish within some time: there a team's guarantee
/// and the waits count as much, and the oldest first serves them better.
fn size_step(job: &Job, tier: ServiceTier) -> u32 {
    if tier != ServiceTier::OnTime || job.dependency_state.deadline.is_none() {
        return 0;
    }
    job.waiting_count().max(1).ilog2()
}

/// What the order of service compares, in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ServiceKey {
    priority: Priority,
    tier: ServiceTier,
    size_step: u32,
    eligible_since: u64,
    job_index: JobIndex,
}

/// Jobs with waiting tasks in the order of service, wide gangs apart.
pub fn waiting_jobs(pass: &PassContext, draft: &DraftTransaction) -> Vec<Waiting> {
    let cluster = pass.cluster;
    let mut jobs: Vec<(ServiceKey, Rc<Spec>)> = cluster
        .active_jobs()
        .filter(|(job_index, _)| !is_backed_off(cluster, *job_index, pass.now))
        .filter_map(|(job_index, _)| {
            let job = draft.job(cluster, job_index);
            let spec = job.spec.clone()?;
            if job.waiting_count() == 0 || spec.is_wide_gang() {
                return None;
            }
            let tier = service_tier(pass.config, job, &spec, pass.wall_ms);
            let key = ServiceKey {
                priority: job.dependency_state.priority,
                tier,
                size_step: size_step(job, tier),
                eligible_since: job.dependency_state.eligible_since,
                job_index,
            };
            Some((key, spec))
        })
        .collect();
    jobs.sort_by(|(a, _), (b, _)| a.cmp(b));
    let waiting = jobs.into_iter().map(|(key, spec)| Waiting {
        job_index: key.job_index,
        priority: key.priority,
        spec,
    });
    waiting.collect()
}

/// Wide gangs that wait, the oldest of the highest priority first.
pub fn waiting_gangs(cluster: &ClusterState, now: MonotonicMillis) -> Vec<JobIndex> {
    let mut gangs: Vec<(Priority, u64, JobIndex)> = cluster
        .active_jobs()
        .filter(|(job_index, job)| {
            job.is_runnable()
                && job.placements.is_empty()
                && !is_backed_off(cluster, *job_index, now)
        })
        .filter(|(_, job)| job.spec.as_ref().is_some_and(|spec| spec.is_wide_gang()))
        .map(|(job_index, job)| {
            let state = &job.dependency_state;
            (state.priority, state.eligible_since, job_index)
        })
        .collect();
    gangs.sort();
    gangs
        .into_iter()
        .map(|(_, _, job_index)| job_index)
        .collect()
}
