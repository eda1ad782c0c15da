//! The demand: tasks that wait for capacity, and tasks that are expected while a machine boots.
//!
//! `placement` asks for it. Pure functions of the cluster state.
//!
//! Invariant: no team's demand exceeds what is left of its quota, so that no machine is
//! requested for tasks that may not start.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::quota::used_by_team;
use crate::coordination::scheduler::starved_gangs::{fits_beside_services, may_bypass_gangs};
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::names::{Index, JobIndex, TeamIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis, QuotaUsage};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// Most tasks of one job that machines are requested for at a time.
const MAX_TASKS_PER_JOB: u32 = 200;

/// Time over which submissions are counted.
const RECENT_MS: u64 = 150_000;

/// Least time that the rate of submissions is taken over.
const MIN_RATE_MS: u64 = 60_000;

/// Jobs that came this soon after the first are the backlog of the opening.
const BACKLOG_MS: u64 = 10_000;

/// Tasks of a class that are expected at most; for a large fleet it is a quarter of its machines
/// if that is more.
const MAX_EXPECTED_TASKS: u32 = 256;

/// Tasks that need capacity.
pub(super) struct Demand {
    /// The job that waits; none if the tasks are expected only.
    pub(super) job: Option<JobIndex>,
    pub(super) spec: Rc<Spec>,
    pub(super) tasks: u32,
}

/// How many of each job's waiting tasks its team's quota lets run now, in the order in which the
/// jobs are served.
///
/// As in the scheduler (`StarvedGangs::would_starve`), younger work of a team leaves the quota to a
/// gang that waits for it. The rule stands here a second time because it counts differently: the
/// scheduler compares running tasks with one gang's demand, this shares out what is left to all
/// waiting jobs in turn, and the gang need not have waited for long. What both must agree on is
/// shared: `may_bypass_gangs` and `fits_beside_services`.
pub(super) fn waiting(cluster: &ClusterState, now: MonotonicMillis, wall_ms: u64) -> Vec<Demand> {
    let mut remaining = remaining_quotas(cluster);
    let mut teams_with_waiting_gang: HashSet<TeamIndex> = HashSet::new();
    let mut out = Vec::new();
    for (job_index, job) in waiting_jobs(cluster, now) {
        let Some(spec) = &job.spec else { continue };
        let left_to_gang = teams_with_waiting_gang.contains(&spec.team);
        if left_to_gang && !may_bypass_gangs(job, wall_ms) {
            continue;
        }
        let remaining = &mut remaining[spec.team.at()];
        let (tasks, after) = tasks_within_quota(job, spec, *remaining);
        if spec.is_wide_gang() && tasks < spec.tasks() {
            // A gang that services keep out of the quota would hold the team up for nothing.
            if fits_beside_services(cluster, spec) {
                teams_with_waiting_gang.insert(spec.team);
            }
            continue;
        }
        *remaining = after;
        if tasks > 0 {
            out.push(Demand {
                job: Some(job_index),
                spec: spec.clone(),
                tasks,
            });
        }
    }
    out
}

/// What is left of each team's quota.
fn remaining_quotas(cluster: &ClusterState) -> Vec<QuotaUsage> {
    let left = |limit: i64, used: i64| if limit == 0 { i64::MAX } else { limit - used };
    let no_draft = DraftTransaction::default();
    let teams = cluster.team_limits.iter().enumerate();
    teams
        .map(|(team, limits)| {
            let used = used_by_team(cluster, &no_draft, TeamIndex::new(team));
            QuotaUsage {
                cpu_milli: left(limits.limit.cpu_milli, used.cpu_milli),
                gpu_milli: left(limits.limit.gpu_milli, used.gpu_milli),
            }
        })
        .collect()
}

/// Jobs with waiting tasks, without those that failed lately: highest priority first, then those
/// that have been eligible for longest.
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

/// How many of a job's waiting tasks fit into what remains of the quota, and what then remains.
fn tasks_within_quota(job: &Job, spec: &Spec, mut remaining: QuotaUsage) -> (u32, QuotaUsage) {
    let per_task = spec.need.quota();
    let most = job.waiting_count().min(MAX_TASKS_PER_JOB);
    let mut tasks = 0;
    while tasks < most && per_task.within(remaining) {
        remaining = remaining.minus(per_task);
        tasks += 1;
    }
    (tasks, remaining)
}

/// The tasks of a class of jobs that were submitted lately.
struct RecentClass {
    tasks: u32,
    /// The last of its jobs stands for all.
    spec: Rc<Spec>,
}

/// Tasks that are likely to be submitted while a machine boots, by what was submitted lately.
pub(super) fn expected(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    wall_ms: u64,
) -> Vec<Demand> {
    let Some(first) = cluster.first_submission else {
        return Vec::new();
    };
    // What is there when the service opens is a backlog, not a rate.
    let from = wall_ms.saturating_sub(RECENT_MS).max(first + BACKLOG_MS);
    let span_ms = wall_ms.saturating_sub(from).max(MIN_RATE_MS);
    let boot_ms = longest_boot_ms(cluster);
    let most = max_expected_tasks(cluster);
    recent_classes(cluster, from)
        .into_values()
        .filter_map(|RecentClass { tasks, spec }| {
            let buffer = if spec.wire.spot {
                config.capacity_buffer_spot
            } else {
                config.capacity_buffer_on_demand
            };
            let per_boot = f64::from(tasks) * boot_ms as f64 / span_ms as f64;
            let tasks = (per_boot * buffer).round() as u32;
            (tasks > 0).then(|| Demand {
                job: None,
                spec,
                tasks: tasks.min(most),
            })
        })
        .collect()
}

fn recent_classes(cluster: &ClusterState, from_ms: u64) -> BTreeMap<&str, RecentClass> {
    let mut classes: BTreeMap<&str, RecentClass> = BTreeMap::new();
    let recent = cluster.recent_submissions.iter();
    for submission in recent.filter(|s| s.submitted_at >= from_ms) {
        let spec = &submission.spec;
        let class = classes
            .entry(spec.wire.class.as_str())
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
