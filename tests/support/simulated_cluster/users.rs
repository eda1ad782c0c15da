//! Users of the simulated cluster: what they submit, cancel and ask, and what they were told.

use super::{SimulatedCluster, UserView, CONTROLLERS, NAMES};
use crate::support::digest;
use crate::support::simulated_controller::CANCEL_MS;
use pointhook::coordination::kv::CommitOutcome;
use pointhook::protocol::users::{JobKind, JobSpec};
use pointhook::state::cluster_state::ClusterState;

impl SimulatedCluster {
    /// A user submits at a controller; true if the job was accepted.
    pub fn submit(&mut self, at: usize, spec: JobSpec) -> bool {
        self.select_kv_view(at);
        let now = self.now;
        let Some(mut controller) = self.controllers[at].take() else {
            return false;
        };
        let outcome = controller.submit(&mut self.store, spec.clone(), now);
        let accepted = matches!(outcome, CommitOutcome::Committed(_));
        self.controllers[at] = Some(controller);
        digest::note(
            "answer to a submission",
            now,
            &(NAMES[at], &spec.id, accepted),
        );
        if accepted {
            let status = "pending";
            self.user_views
                .insert(spec.id.clone(), UserView { spec, status });
        }
        accepted
    }

    /// A user whose submission got no answer sends it again, and is told that the job is known.
    pub fn resubmit(&mut self, id: &str, spec: JobSpec) {
        let status = "pending";
        self.user_views
            .entry(id.into())
            .or_insert(UserView { spec, status });
    }

    /// A user cancels at a controller; true if that was confirmed.
    pub fn cancel(&mut self, at: usize, id: &str) -> bool {
        self.select_kv_view(at);
        let now = self.now;
        let Some(mut controller) = self.controllers[at].take() else {
            return false;
        };
        self.cancel_requests.insert(id.into());
        let is_open = controller.sync(&self.store)
            && controller.cluster.job(id).is_some_and(|(_, j)| j.is_open());
        let confirmed = is_open
            && matches!(
                controller.cancel(&mut self.store, id, now),
                CommitOutcome::Committed(_)
            );
        digest::note(
            "answer to a cancellation",
            now,
            &(NAMES[at], id, is_open, confirmed),
        );
        if confirmed {
            self.record_cancelled(id);
            // Peers that can be reached learn of it at once; the answer does not wait for that.
            self.gossip(&mut controller, at);
        }
        self.controllers[at] = Some(controller);
        confirmed
    }

    fn record_cancelled(&mut self, id: &str) {
        self.cancelled_at.entry(id.into()).or_insert(self.now);
        self.cancel_requests.insert(id.into());
        if let Some(view) = self.user_views.get_mut(id) {
            if view.status == "done" {
                self.violations.push(format!("{id} went back from done"));
            }
            view.status = "aborted";
        }
    }

    /// A user asks a controller for a job's status, which must not contradict any earlier answer.
    pub fn query_status(&mut self, at: usize, id: &str) -> Option<&'static str> {
        self.select_kv_view(at);
        let controller = self.controllers[at].as_mut()?;
        let is_final = controller
            .cluster
            .job(id)
            .is_some_and(|(_, j)| !j.is_open());
        if !is_final && !controller.sync(&self.store) {
            return None;
        }
        let Some((_, job)) = controller.cluster.job(id) else {
            if self.user_views.contains_key(id) {
                self.violations.push(format!("{id} is not known at {at}"));
            }
            return None;
        };
        let answer = ClusterState::job_status(job);
        digest::note("answer to a poll", self.now, &(NAMES[at], id, answer));
        let status = answer.0;
        self.check_completed(id, status);
        let view = self.user_views.get_mut(id)?;
        let previous = std::mem::replace(&mut view.status, status);
        if matches!(previous, "done" | "aborted") && status != previous {
            self.violations
                .push(format!("{id} went back from {previous} to {status}"));
        }
        self.check_cancellation(id, status);
        Some(status)
    }

    /// An array that is reported as done has all its tasks completed.
    fn check_completed(&mut self, id: &str, status: &str) {
        let Some(view) = self.user_views.get(id) else {
            return;
        };
        if status != "done" || view.spec.kind != JobKind::Array {
            return;
        }
        let tasks = (0..view.spec.tasks).map(|task| format!("{id}/{task}"));
        let incomplete: Vec<String> = tasks.filter(|task| !self.task_completed(task)).collect();
        for task in incomplete {
            self.violations.push(format!("{id} is done without {task}"));
        }
    }

    /// A job is cancelled in time with a job that it depends on, and never without a request.
    fn check_cancellation(&mut self, id: &str, status: &str) {
        let is_cancelled = status == "aborted";
        let dependency_cancelled = self.dependency_cancelled_at(id);
        let is_overdue = dependency_cancelled.is_some_and(|at| self.now > at + CANCEL_MS);
        if !is_cancelled && is_overdue {
            self.violations
                .push(format!("{id} is {status}, though cancelled with another"));
        }
        if is_cancelled && !self.cancellation_was_requested(id) {
            self.violations.push(format!("{id} is cancelled by nobody"));
        }
        if is_cancelled {
            self.cancelled_at.entry(id.into()).or_insert(self.now);
        }
    }

    /// Asks all controllers for all accepted jobs; panics if any invariant was ever broken.
    pub fn assert_no_violations(&mut self) {
        for at in 0..CONTROLLERS {
            let ids: Vec<String> = self.user_views.keys().cloned().collect();
            for id in ids {
                self.query_status(at, &id);
            }
        }
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
    }

    /// Panics if a task of the job is on any machine.
    pub fn assert_nothing_runs_of(&self, id: &str) {
        assert!(!self.runs(id), "{id} still runs");
    }

    /// True if the job's own user cancelled it.
    pub fn cancelled_by_user(&self, id: &str) -> bool {
        self.cancel_requests.contains(id)
    }

    /// True if a user asked to cancel the job or one that it depends on.
    fn cancellation_was_requested(&self, id: &str) -> bool {
        let requested = |dependency: &String| self.cancellation_was_requested(dependency);
        self.cancel_requests.contains(id) || self.dependencies_of(id).iter().any(requested)
    }

    /// When the first of the jobs that a job depends on was cancelled, as users were told.
    fn dependency_cancelled_at(&self, id: &str) -> Option<u64> {
        let cancelled_at = |dependency: &String| match self.cancel_requests.contains(dependency) {
            true => self.cancelled_at.get(dependency).copied(),
            false => self.dependency_cancelled_at(dependency),
        };
        let dependencies = self.dependencies_of(id).iter();
        dependencies.filter_map(cancelled_at).min()
    }

    pub(super) fn dependencies_of(&self, id: &str) -> &[String] {
        let view = self.user_views.get(id);
        view.map_or(&[], |view| &view.spec.dependencies)
    }

    /// Accepted jobs with their specifications.
    pub fn accepted_jobs(&self) -> impl Iterator<Item = (&str, &JobSpec)> {
        let views = self.user_views.iter();
        views.map(|(id, view)| (id.as_str(), &view.spec))
    }

    /// How many jobs were accepted.
    pub fn accepted_count(&self) -> usize {
        self.user_views.len()
    }

    /// Accepted jobs that others may depend on: services never end by themselves.
    pub fn accepted_finite_jobs(&self) -> Vec<String> {
        let jobs = self.accepted_jobs();
        let finite = jobs.filter(|(_, spec)| spec.kind != JobKind::Service);
        finite.map(|(id, _)| id.to_string()).collect()
    }

    /// How many jobs with dependencies have had a task started.
    pub fn started_dependents(&self) -> usize {
        let jobs = self.accepted_jobs();
        let dependents = jobs.filter(|(_, spec)| !spec.dependencies.is_empty());
        dependents.filter(|(id, _)| self.has_started(id)).count()
    }

    /// True if the job is finished, as the first running controller knows it.
    pub fn is_finished(&self, id: &str) -> bool {
        let known = self.first_controller().cluster.job(id);
        known.is_some_and(|(_, job)| !job.is_open())
    }

    /// How many of the accepted jobs are finished.
    pub fn finished_count(&mut self) -> usize {
        let ids = self.user_views.keys();
        ids.filter(|id| self.is_finished(id)).count()
    }

    /// Accepted jobs that are not finished, as the first running controller knows them.
    pub fn unfinished(&self) -> Vec<String> {
        let cluster = &self.first_controller().cluster;
        let open = self.user_views.keys().filter(|id| !self.is_finished(id));
        open.map(|id| format!("{id}: {:?}", cluster.job(id)))
            .collect()
    }

    /// Services that are open, including those accepted by a transaction without a response.
    pub fn open_services(&self) -> Vec<String> {
        let jobs = self.first_controller().cluster.active_jobs();
        let open = jobs.filter(|(_, job)| job.is_open());
        let services = open.filter(|(_, job)| {
            let spec = job.spec.as_ref();
            spec.is_some_and(|spec| spec.submitted.kind == JobKind::Service)
        });
        services.map(|(_, job)| job.id.to_string()).collect()
    }
}
