//! Jobs that await others, and jobs that are cancelled, alone or with one that they need.

use super::cluster_state::ClusterState;
use super::dependency_graph;
use super::job::{DependencyState, Job, JobState, Spec};
use super::names::{Index, JobIndex};
use super::units::millis_from_seconds;
use crate::protocol::users::Priority;

/// Cancellations kept in mind that no record here shows yet.
const MAX_UNCONFIRMED_CANCELLATIONS: usize = 10_000;

impl ClusterState {
    /// What follows for a job from those around it, and whether it is cancelled with one.
    pub(super) fn dependency_state(
        &self,
        id: &str,
        submitted: u64,
        spec: Option<&Spec>,
    ) -> (DependencyState, bool) {
        let rank = spec.map_or(Priority::Low, Spec::priority);
        let due = spec.and_then(|s| s.wire.deadline_s);
        let due = due.map(|s| submitted.saturating_add(millis_from_seconds(s)));
        let names = spec.map_or(&[] as &[String], |s| &s.wire.dependencies);
        let dependencies = names.iter().map(|n| self.job(n).map(|(_, j)| j));
        let dependents = self
            .dependency_graph
            .dependents(id)
            .iter()
            .map(|d| &self.jobs[d.at()]);
        dependency_graph::dependency_state(submitted, (rank, due), dependencies, dependents)
    }

    /// Enters an open job under those that it needs.
    pub(super) fn enter(&mut self, ix: JobIndex, job: &Job) {
        let Some(spec) = job.spec.clone().filter(|_| job.is_open()) else {
            return;
        };
        for name in &spec.wire.dependencies {
            let dependency = self.job(name).map(|(at, j)| (at, j.is_open()));
            if dependency.is_none_or(|(_, open)| open) {
                self.dependency_graph.awaits(ix, name);
            }
            // It has one more that needs it.
            self.dependency_graph
                .changed
                .extend(dependency.map(|d| d.0));
        }
    }

    /// Looks at all jobs whose surroundings have changed, and at what changes by that.
    pub(super) fn look_around(&mut self) {
        while let Some(ix) = self.dependency_graph.changed.pop() {
            let Some(job) = self.jobs.get(ix.at()).filter(|j| j.is_open()) else {
                continue;
            };
            let (id, spec) = (job.id.clone(), job.spec.clone());
            let (dependency_state, cancelled) =
                self.dependency_state(&id, job.submitted_at, spec.as_deref());
            if cancelled {
                let state = JobState::Cancelled;
                let job = Job {
                    state,
                    ..job.clone()
                };
                self.dependency_graph.unwritten.insert(ix);
                self.store_job(ix, job);
                continue;
            }
            if dependency_state == job.dependency_state {
                continue;
            }
            self.jobs[ix.at()].dependency_state = dependency_state;
            self.look_at_needs(spec.as_deref());
        }
    }

    /// What a job needs is to be looked at, as that job has changed.
    pub(super) fn look_at_needs(&mut self, spec: Option<&Spec>) {
        let names = spec.into_iter().flat_map(|s| &s.wire.dependencies);
        let needs: Vec<JobIndex> = names.filter_map(|n| Some(self.job(n)?.0)).collect();
        self.dependency_graph.changed.extend(needs);
    }

    /// Takes the news that a job's cancellation was confirmed to its user; true if it is new.
    ///
    /// It holds whatever the record known here says, which may not be readable for minutes. What
    /// rests on that record fails all the same, since the newest one has another version.
    pub fn learn_cancelled(&mut self, id: &str) -> bool {
        let known = self.job(id);
        if known.is_some_and(|(_, job)| !job.is_open())
            || self.cancelled_by_peers.len() >= MAX_UNCONFIRMED_CANCELLATIONS
            || !self.cancelled_by_peers.insert(id.into())
        {
            return false;
        }
        if let Some((ix, job)) = self.job(id) {
            let job = job.clone();
            let state = JobState::Cancelled;
            self.store_job(ix, Job { state, ..job });
            self.look_around();
        }
        true
    }

    /// Cancelled jobs of which tasks may be left, by what is known here.
    pub fn cancelled(&self) -> impl Iterator<Item = (JobIndex, &Job)> {
        let cancelled = |(_, j): &(JobIndex, &Job)| j.state == JobState::Cancelled;
        self.active_jobs().filter(cancelled)
    }

    /// Names of cancelled jobs of which tasks may be left. Of one whose cancelled record was not
    /// read here nothing is known of its tasks, so all those are among them.
    pub fn cancelled_names(&self) -> Vec<String> {
        let read = self.cancelled().map(|(_, j)| &j.id);
        let read = read.filter(|id| !self.cancelled_by_peers.contains(*id));
        let all = read.chain(&self.cancelled_by_peers);
        all.map(|id| id.to_string()).collect()
    }
}
