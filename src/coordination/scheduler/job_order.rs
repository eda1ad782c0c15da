//! The order of service.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::protocol::users::Priority;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::names::JobIndex;
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use std::rc::Rc;

pub(crate) fn is_backed_off(cluster: &ClusterState, ix: JobIndex, now: MonotonicMillis) -> bool {
    cluster.jobs_with_unknown_outcome.contains(&ix)
        || cluster
            .failures
            .get(&ix)
            .is_some_and(|failures| failures.is_backed_off(now))
}

/// A waiting job, in the order of service.
pub struct Waiting {
    /// Job.
    pub ix: JobIndex,
    pub(crate) priority: Priority,
    pub(crate) spec: Rc<Spec>,
}

/// One in so many seconds belongs to what is late.
const OVERDUE_TURN_SECONDS: u64 = 5;

/// How far the order of service puts a job back within its priority.
///
/// One that has missed what is expected of it, or will whatever happens now, goes behind those
/// that can still make it: when more is asked than can be done, someone is late, and it is
/// better the same ones. A class may have several times, and one that has missed the first may
/// still keep the last: it waits until a good part of that has passed, and then goes first.
/// Two bounds keep any job from starving, whatever younger or smaller work comes: after two
/// minutes, or two and a half times the time allowed if that is less, its first task goes
/// before all, and in one second of five all late work does, the oldest first.
pub fn put_back(config: &SchedulerConfig, job: &Job, spec: &Spec, wall_ms: u64) -> u8 {
    let age = wall_ms.saturating_sub(job.dependency_state.eligible_since);
    let begun = !job.placements.is_empty() || job.done.count() > 0;
    let class = config.completion_targets.get(&spec.wire.class);
    let own = job
        .dependency_state
        .deadline
        .map(|d| d.saturating_sub(job.dependency_state.eligible_since));
    let times = own.into_iter().chain(class.into_iter().flatten().copied());
    let (first, last) = times.fold((None, 0), |(f, l), t| (f.or(Some(t)), l.max(t)));
    let begin_by = first.map_or(BEGIN_MS, |d| BEGIN_MS.min(d * 5 / 2));
    if age >= begin_by && !begun {
        return 0;
    }
    let Some(first) = first else { return 1 };
    let end = age + millis_from_seconds(spec.wire.estimated_run_s);
    let late_turn = (wall_ms / 1000).is_multiple_of(OVERDUE_TURN_SECONDS);
    match (end <= first, end <= last) {
        (true, _) => 1,
        (_, true) if last > first && age * 5 >= last * 2 => 0,
        _ if late_turn => 0,
        (_, true) => 2,
        _ => 3,
    }
}

/// Age at which any job's first task goes before others of its priority.
const BEGIN_MS: u64 = 120_000;

/// Among jobs with a deadline of their own that can still make it, the smaller goes first, in
/// steps of two: when not all can be in time, more jobs are.
///
/// Not so where a class is only expected to finish within some time: there a team's guarantee
/// and the waits count as much, and the oldest first serves them better.
fn size_step(job: &Job, back: u8) -> u32 {
    if back != 1 || job.dependency_state.deadline.is_none() {
        return 0;
    }
    job.waiting_count().max(1).ilog2()
}

/// Jobs with waiting tasks in the order of service, wide gangs apart.
pub fn waiting_jobs(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    draft: &DraftTransaction,
    now: MonotonicMillis,
    wall_ms: u64,
) -> Vec<Waiting> {
    let mut out: Vec<(Priority, u8, u32, u64, Waiting)> = cluster
        .active_jobs()
        .filter(|(ix, _)| !is_backed_off(cluster, *ix, now))
        .filter_map(|(ix, _)| {
            let j = draft.job(cluster, ix);
            let spec = j.spec.clone()?;
            (j.waiting_count() > 0 && !spec.is_wide_gang()).then(|| {
                let rank = j.dependency_state.priority;
                let back = put_back(config, j, &spec, wall_ms);
                let size = size_step(j, back);
                (
                    rank,
                    back,
                    size,
                    j.dependency_state.eligible_since,
                    Waiting {
                        ix,
                        priority: rank,
                        spec,
                    },
                )
            })
        })
        .collect();
    out.sort_by_key(|(r, back, size, at, w)| (*r, *back, *size, *at, w.ix));
    out.into_iter().map(|(.., w)| w).collect()
}
