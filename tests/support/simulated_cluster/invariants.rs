//! Invariants on the tasks that actually run, checked after each step of the simulated clock.

use super::SimulatedCluster;
use crate::support::simulated_controller::CANCEL_MS;
use pointhook::protocol::users::JobKind;
use pointhook::state::cluster_state::ClusterState;
use pointhook::state::job::{JobRecord, JobState};
use pointhook::state::names::{Index, TeamIndex};
use std::collections::{BTreeMap, BTreeSet};

/// Longest time after the confirmation of a cancellation at which a task of the job may start:
/// controllers start tasks only while their cancellation watermark is at most 6.5 s old. Includes
/// one step of the clock.
const MAX_START_DELAY_MS: u64 = 7000;

impl SimulatedCluster {
    pub(super) fn check_invariants(&mut self) {
        let mut violations = Vec::new();
        self.check_single_execution(&mut violations);
        self.check_zones(&mut violations);
        self.check_cancelled_jobs_stop(&mut violations);
        self.check_dependencies(&mut violations);
        self.check_starts_of_cancelled_jobs(&mut violations);
        self.check_team_limits(&mut violations);
        self.check_staged_gangs(&mut violations);
        let now = self.now;
        let violations = violations.into_iter();
        self.violations
            .extend(violations.map(|violation| format!("{now}: {violation}")));
    }

    /// All running tasks, with the names and zones of their machines.
    fn running_tasks(&self) -> impl Iterator<Item = RunningTask<'_>> {
        self.machines.iter().flat_map(|machine| {
            let tasks = machine.worker.running_tasks().into_iter();
            tasks.map(|task| RunningTask {
                task,
                job: job_of(task),
                machine: &machine.worker.name,
                zone: &machine.worker.zone,
            })
        })
    }

    /// Checks that no task runs on two machines.
    fn check_single_execution(&self, violations: &mut Vec<String>) {
        let mut seen = BTreeSet::new();
        for running in self.running_tasks() {
            if !seen.insert(running.task) {
                violations.push(format!("{} runs on two machines", running.task));
            }
        }
    }

    /// Checks that tasks run in the zone that their job requires, and that all tasks of a one-zone
    /// job run in the same zone.
    fn check_zones(&self, violations: &mut Vec<String>) {
        let mut first_zones: BTreeMap<&str, &str> = BTreeMap::new();
        for running in self.running_tasks() {
            let Some(view) = self.user_views.get(running.job) else {
                continue;
            };
            let zone = running.zone;
            let first_zone = *first_zones.entry(running.job).or_insert(zone);
            let is_bound_elsewhere = view.spec.zone.as_ref().is_some_and(|z| z != zone);
            if is_bound_elsewhere || view.spec.one_zone && first_zone != zone {
                violations.push(format!("{} runs in the wrong zone {zone}", running.task));
            }
        }
    }

    /// Checks that no task of a cancelled job runs longer than `CANCEL_MS` after the confirmation.
    fn check_cancelled_jobs_stop(&self, violations: &mut Vec<String>) {
        for running in self.running_tasks() {
            let cancelled_at = self.cancelled_at.get(running.job);
            let is_overdue = cancelled_at.is_some_and(|at| self.now - at > CANCEL_MS);
            if is_overdue {
                let RunningTask { task, machine, .. } = running;
                violations.push(format!("{task} still runs on {machine} though cancelled"));
            }
        }
    }

    /// Checks that no task runs before all jobs that its job depends on are complete.
    fn check_dependencies(&self, violations: &mut Vec<String>) {
        for running in self.running_tasks() {
            for dependency in self.dependencies_of(running.job) {
                if !self.completed(dependency) {
                    let task = running.task;
                    violations.push(format!("{task} runs before {dependency} is complete"));
                }
            }
        }
    }

    /// Checks that no task of a cancelled job starts later than `MAX_START_DELAY_MS` after the
    /// confirmation.
    fn check_starts_of_cancelled_jobs(&mut self, violations: &mut Vec<String>) {
        let now = self.now;
        for machine in &self.machines {
            let name = &machine.worker.name;
            for (task, _) in &machine.worker.started {
                let key = format!("{name} {task}");
                let started_at = *self.first_starts.entry(key).or_insert(now);
                let cancelled_at = self.cancelled_at.get(job_of(task));
                let is_late = cancelled_at.is_some_and(|at| started_at > at + MAX_START_DELAY_MS);
                if is_late && started_at == now {
                    violations.push(format!("{task} started on {name} though cancelled"));
                }
            }
        }
    }

    /// Checks that no team uses more GPUs than its limit.
    fn check_team_limits(&self, violations: &mut Vec<String>) {
        let mut gpus_by_team: BTreeMap<&str, f64> = BTreeMap::new();
        for running in self.running_tasks() {
            if let Some(view) = self.user_views.get(running.job) {
                let used = gpus_by_team.entry(&view.spec.team).or_default();
                *used += view.spec.gpus;
            }
        }
        for (team, used) in gpus_by_team {
            let limit = self.gpu_limit_of(team);
            if limit.is_some_and(|limit| limit > 0.0 && used > limit) {
                violations.push(format!("{team} uses {used} GPUs, more than its limit"));
            }
        }
    }

    /// Checks that no task of a gang is on a machine while the gang is recorded in part.
    fn check_staged_gangs(&self, violations: &mut Vec<String>) {
        for (id, view) in &self.user_views {
            let is_wide_gang = view.spec.kind == JobKind::Gang && view.spec.tasks > 1;
            if is_wide_gang && self.runs(id) && self.is_staged(id) {
                violations.push(format!("{id} runs although it is staged"));
            }
        }
    }

    /// True if the job's record in the key-value store says that its gang is staged.
    fn is_staged(&self, id: &str) -> bool {
        let entry = self.store.entry(&ClusterState::job_key(id));
        let bytes = entry.and_then(|entry| rmp_serde::to_vec(&entry.v).ok());
        let record = bytes.and_then(|bytes| rmp_serde::from_slice::<JobRecord>(&bytes).ok());
        record.is_some_and(|record| record.state == JobState::Open && record.staged.is_some())
    }

    /// GPU limit of a team according to the first running controller; zero means no limit.
    fn gpu_limit_of(&self, team: &str) -> Option<f64> {
        let controller = self.controllers.iter().flatten().next()?;
        let cluster = &controller.cluster;
        let team: TeamIndex = cluster.team_names.find(team)?;
        Some(cluster.team_limits[team.at()].limit.gpu_milli as f64 / 1000.0)
    }
}

/// A running task with its job and machine.
struct RunningTask<'a> {
    task: &'a str,
    job: &'a str,
    machine: &'a str,
    zone: &'a str,
}

/// Name of a task's job: the part of the task's name before the slash.
fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}
