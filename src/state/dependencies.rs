//! Dependencies between the jobs of the cluster state, and the cancellation of jobs: by their user,
//! or because a dependency was cancelled.

use super::cluster_state::ClusterState;
use super::dependency_graph::{self, OwnAttributes};
use super::job::{DependencyState, Job, JobState, Spec};
use super::names::{Index, JobIndex};
use super::units::millis_from_seconds;
use crate::protocol::users::Priority;

/// Maximum number of cancellations known from peers only, which no record read here shows yet;
/// further ones are ignored.
const MAX_UNCONFIRMED_CANCELLATIONS: usize = 10_000;

impl ClusterState {
    /// State of a job derived from its dependencies and dependents. The second value is true if a
    /// dependency is cancelled, and the job with it.
    pub(super) fn dependency_state(
        &self,
        id: &str,
        submitted_at: u64,
        spec: Option<&Spec>,
    ) -> (DependencyState, bool) {
        let deadline_ms = spec
            .and_then(|spec| spec.submitted.deadline_s)
            .map(millis_from_seconds);
        let own = OwnAttributes {
            submitted_at,
            priority: spec.map_or(Priority::Low, Spec::priority),
            deadline: deadline_ms.map(|ms| submitted_at.saturating_add(ms)),
        };
        let names = spec.map_or(&[] as &[String], |spec| &spec.submitted.dependencies);
        let dependencies = names.iter().map(|name| self.job(name).map(|(_, job)| job));
        let dependents = self.dependency_graph.dependents(id).iter();
        let dependents = dependents.map(|index| &self.jobs[index.at()]);
        dependency_graph::dependency_state(own, dependencies, dependents)
    }

    /// Adds an open job to the graph as a dependent of its unfinished dependencies.
    pub(super) fn add_to_dependencies(&mut self, job_index: JobIndex, job: &Job) {
        let Some(spec) = job.spec.clone().filter(|_| job.is_open()) else {
            return;
        };
        for name in &spec.submitted.dependencies {
            let dependency = self.job(name).map(|(index, job)| (index, job.is_open()));
            if dependency.is_none_or(|(_, open)| open) {
                self.dependency_graph.add_dependent(job_index, name);
            }
            // The dependency has a new dependent, whose priority and deadline it may inherit.
            self.dependency_graph
                .mark_changed(dependency.map(|(index, _)| index));
        }
    }

    /// Evaluates the jobs whose dependencies or dependents have changed, and those that are
    /// affected by the result, until nothing changes.
    pub(super) fn update_dependency_states(&mut self) {
        while let Some(job_index) = self.dependency_graph.next_changed() {
            self.update_dependency_state(job_index);
        }
    }

    fn update_dependency_state(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index.at()).filter(|job| job.is_open()) else {
            return;
        };
        let (id, spec) = (job.id.clone(), job.spec.clone());
        let (dependency_state, cancelled) =
            self.dependency_state(&id, job.submitted_at, spec.as_deref());
        if cancelled {
            let cancelled_job = job.clone().cancelled();
            self.dependency_graph
                .set_cancellation_unwritten(job_index, true);
            self.store_job(job_index, cancelled_job);
        } else if dependency_state != job.dependency_state {
            self.jobs[job_index.at()].dependency_state = dependency_state;
            self.mark_dependencies_changed(spec.as_deref());
        }
    }

    /// Marks the dependencies of a job for evaluation, because the job has changed.
    pub(super) fn mark_dependencies_changed(&mut self, spec: Option<&Spec>) {
        let names = spec
            .into_iter()
            .flat_map(|spec| &spec.submitted.dependencies);
        let dependencies: Vec<JobIndex> =
            names.filter_map(|name| Some(self.job(name)?.0)).collect();
        self.dependency_graph.mark_changed(dependencies);
    }

    /// Records a job's cancellation that a peer knows to be confirmed; returns true if it is new
    /// here.
    ///
    /// The cancellation overrides the cached record, since the new version of the record may not be
    /// readable for minutes. Transactions that are conditional on the cached version fail, as a
    /// newer one is stored.
    pub fn learn_cancelled(&mut self, id: &str) -> bool {
        let known = self.job(id);
        if known.is_some_and(|(_, job)| !job.is_open())
            || self.cancelled_by_peers.len() >= MAX_UNCONFIRMED_CANCELLATIONS
            || !self.cancelled_by_peers.insert(id.into())
        {
            return false;
        }
        if let Some((job_index, job)) = self.job(id) {
            let cancelled_job = job.clone().cancelled();
            self.store_job(job_index, cancelled_job);
            self.update_dependency_states();
        }
        true
    }

    /// Cancelled jobs that are known here and may have tasks that still run.
    pub fn cancelled(&self) -> impl Iterator<Item = (JobIndex, &Job)> {
        self.active_jobs()
            .filter(|(_, job)| job.state == JobState::Cancelled)
    }

    /// Ids of cancelled jobs that may have tasks that still run. All jobs whose cancellation is
    /// known from peers only are included, as nothing is known of their tasks.
    pub fn cancelled_job_ids(&self) -> Vec<String> {
        let by_record = self.cancelled().map(|(_, job)| &job.id);
        let by_record = by_record.filter(|id| !self.cancelled_by_peers.contains(*id));
        let all = by_record.chain(&self.cancelled_by_peers);
        all.map(|id| id.to_string()).collect()
    }
}
