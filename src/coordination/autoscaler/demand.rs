//! Demand for machines: waiting tasks, and tasks that are expected to be submitted while a machine
//! boots.
//!
//! Pure functions of the cluster state, called by `placement`.
//!
//! Invariant: the demand of a team's waiting tasks never exceeds what is left of the team's quota,
//! so that no machine is requested for tasks that the quota does not allow to start.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::quota::used_by_team;
use crate::coordination::scheduler::starved_gangs::{fits_beside_services, may_bypass_gangs};
use crate::protocol::users::JobKind;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::names::{Index, JobIndex, TeamIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis, QuotaUsage};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// Maximum number of tasks of one array or service that are counted as demand in one round. Those
/// that are left out follow in later rounds; a gang, which starts whole, counts whole.
const MAX_TASKS_PER_JOB: u32 = 200;

/// Length of the sliding window over which the submission rate is computed.
const RATE_WINDOW_MS: u64 = 150_000;

/// Minimum time by which the submissions in the window are divided, however short the window is.
const MIN_RATE_WINDOW_MS: u64 = 60_000;

/// Jobs submitted within this time after the first job are the backlog from before the service
/// started, and are left out of the submission rate.
const INITIAL_BACKLOG_MS: u64 = 10_000;

/// Maximum number of expected tasks of one class. In a fleet with more than four times as many
/// machines, the maximum is a quarter of the machine count instead.
const MAX_EXPECTED_TASKS: u32 = 256;

/// A number of tasks with the same spec that need capacity.
pub(super) struct Demand {
    /// The job whose tasks wait; `None` for expected tasks.
    pub(super) job: Option<JobIndex>,
    pub(super) spec: Rc<Spec>,
    pub(super) tasks: u32,
}

/// The waiting tasks of each job that its team's quota allows to run now, in scheduling order.
///
/// As in the scheduler (`StarvedGangs::would_starve`), younger jobs of a team leave the quota to a
/// gang that waits for it. The rule is implemented twice because the two count differently: the
/// scheduler compares running tasks with the demand of one gang, while this function divides the
/// remaining quota among all waiting jobs in order, and does so also for a gang that has only begun
/// to wait. `may_bypass_gangs` and `fits_beside_services` are shared because both must give the
/// same result in both places.
pub(super) fn waiting(cluster: &ClusterState, now: MonotonicMillis, wall_ms: u64) -> Vec<Demand> {
    let mut remaining = remaining_quotas(cluster);
    let mut teams_with_waiting_gang: HashSet<TeamIndex> = HashSet::new();
    let mut demand = Vec::new();
    for (job_index, job) in waiting_jobs(cluster, now) {
        let Some(spec) = &job.spec else { continue };
        let quota_left_to_gang = teams_with_waiting_gang.contains(&spec.team);
        if quota_left_to_gang && !may_bypass_gangs(job, wall_ms) {
            continue;
        }
        let remaining = &mut remaining[spec.team.at()];
        let (tasks, after) = match job.is_staged() {
            // The quota of all its tasks is charged already.
            true => (job.waiting_count(), *remaining),
            false => tasks_within_quota(job, spec, *remaining),
        };
        if spec.is_wide_gang() && !job.is_staged() && tasks < spec.tasks() {
            // While services use too much of the quota for the gang to start, keeping the rest
            // free would only delay the team's other jobs.
            if fits_beside_services(cluster, spec) {
                teams_with_waiting_gang.insert(spec.team);
            }
            continue;
        }
        *remaining = after;
        if tasks > 0 {
            demand.push(Demand {
                job: Some(job_index),
                spec: spec.clone(),
                tasks,
            });
        }
    }
    demand
}

/// The unused part of each team's quota, indexed by team: `i64::MAX` for an unlimited resource,
/// negative if the team uses more than its quota.
fn remaining_quotas(cluster: &ClusterState) -> Vec<QuotaUsage> {
    let unused = |limit: i64, used: i64| if limit == 0 { i64::MAX } else { limit - used };
    let no_draft = DraftTransaction::default();
    let teams = cluster.team_limits.iter().enumerate();
    teams
        .map(|(team, limits)| {
            let used = used_by_team(cluster, &no_draft, TeamIndex::new(team));
            QuotaUsage {
                cpu_milli: unused(limits.limit.cpu_milli, used.cpu_milli),
                gpu_milli: unused(limits.limit.gpu_milli, used.gpu_milli),
            }
        })
        .collect()
}

/// Jobs with waiting tasks, ordered by priority, then by how long they have been eligible to run.
/// Jobs that are backed off after failures are left out.
fn waiting_jobs(cluster: &ClusterState, now: MonotonicMillis) -> Vec<(JobIndex, &Job)> {
    let may_retry = |job_index: &JobIndex| {
        let failures = cluster.failures.get(job_index);
        failures.is_none_or(|failures| !failures.is_backed_off(now))
    };
    let mut jobs: Vec<(JobIndex, &Job)> = cluster
        .active_jobs()
        .filter(|(job_index, job)| job.waiting_count() > 0 && may_retry(job_index))
        .collect();
    jobs.sort_by_key(|(job_index, job)| {
        (
            job.dependency_state.priority,
            job.dependency_state.eligible_since,
            *job_index,
        )
    });
    jobs
}

/// The number of a job's waiting tasks that fit into the remaining quota, and the quota that
/// remains after them.
fn tasks_within_quota(job: &Job, spec: &Spec, mut remaining: QuotaUsage) -> (u32, QuotaUsage) {
    let per_task = spec.need.quota();
    let max_tasks = match spec.submitted.kind {
        JobKind::Gang => job.waiting_count(),
        JobKind::Array | JobKind::Service => job.waiting_count().min(MAX_TASKS_PER_JOB),
    };
    let mut tasks = 0;
    while tasks < max_tasks && per_task.within(remaining) {
        remaining = remaining.minus(per_task);
        tasks += 1;
    }
    (tasks, remaining)
}

/// Recently submitted tasks of one job class.
struct RecentClass {
    tasks: u32,
    /// The spec of the class's latest job, assumed for all its expected tasks.
    spec: Rc<Spec>,
}

/// Tasks that are likely to be submitted while a machine boots, extrapolated from the recent
/// submission rate of each job class.
pub(super) fn expected(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    wall_ms: u64,
) -> Vec<Demand> {
    let Some(first_submission_ms) = cluster.first_submission else {
        return Vec::new();
    };
    // Jobs that were already waiting when the service started do not indicate a submission rate.
    let window_start_ms = wall_ms
        .saturating_sub(RATE_WINDOW_MS)
        .max(first_submission_ms + INITIAL_BACKLOG_MS);
    let window_ms = wall_ms
        .saturating_sub(window_start_ms)
        .max(MIN_RATE_WINDOW_MS);
    let boot_ms = longest_boot_ms(cluster);
    let max_tasks = max_expected_tasks(cluster);
    recent_classes(cluster, window_start_ms)
        .into_values()
        .filter_map(|RecentClass { tasks, spec }| {
            let buffer_factor = if spec.submitted.spot {
                config.capacity_buffer_spot
            } else {
                config.capacity_buffer_on_demand
            };
            let tasks_per_boot = f64::from(tasks) * boot_ms as f64 / window_ms as f64;
            let tasks = (tasks_per_boot * buffer_factor).round() as u32;
            (tasks > 0).then(|| Demand {
                job: None,
                spec,
                tasks: tasks.min(max_tasks),
            })
        })
        .collect()
}

fn recent_classes(cluster: &ClusterState, since_ms: u64) -> BTreeMap<&str, RecentClass> {
    let mut classes: BTreeMap<&str, RecentClass> = BTreeMap::new();
    let recent = cluster.recent_submissions.iter();
    for submission in recent.filter(|s| s.submitted_at >= since_ms) {
        let spec = &submission.spec;
        let class = classes
            .entry(spec.submitted.class.as_str())
            .or_insert_with(|| RecentClass {
                tasks: 0,
                spec: spec.clone(),
            });
        class.tasks += spec.tasks();
        class.spec = spec.clone();
    }
    classes
}

fn longest_boot_ms(cluster: &ClusterState) -> u64 {
    let types = cluster.machine_types.values();
    types
        .map(|machine_type| millis_from_seconds(machine_type.description.boot_s))
        .max()
        .unwrap_or(0)
}

fn max_expected_tasks(cluster: &ClusterState) -> u32 {
    let machines = cluster.all_machines().count();
    u32::try_from(machines / 4).map_or(u32::MAX, |quarter| quarter.max(MAX_EXPECTED_TASKS))
}
