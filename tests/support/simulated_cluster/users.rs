//! Users of the simulated cluster: their requests, and the answers that they got.

use super::{SimulatedCluster, UserView, CONTROLLERS, NAMES};
use crate::support::digest;
use crate::support::simulated_controller::CANCEL_MS;
use pointhook::coordination::kv::CommitOutcome;
use pointhook::protocol::users::{JobKind, JobSpec};
use pointhook::state::cluster_state::ClusterState;

impl SimulatedCluster {
    /// Submits a job at a controller as a user does; true if the job was accepted.
    pub fn submit(&mut self, controller_index: usize, spec: JobSpec) -> bool {
        self.select_kv_view(controller_index);
        let now = self.now;
        let Some(mut controller) = self.controllers[controller_index].take() else {
            return false;
        };
        let outcome = controller.submit(&mut self.store, spec.clone(), now);
        let accepted = matches!(outcome, CommitOutcome::Committed(_));
        self.controllers[controller_index] = Some(controller);
        digest::record(
            "answer to a submission",
            now,
            &(NAMES[controller_index], &spec.id, accepted),
        );
        if accepted {
            let status = "pending";
            self.user_views
                .insert(spec.id.clone(), UserView { spec, status });
        }
        accepted
    }

    /// Records that a user whose submission got no answer has sent it again and was told that the
    /// job is known.
    pub fn resubmit(&mut self, id: &str, spec: JobSpec) {
        let status = "pending";
        self.user_views
            .entry(id.into())
            .or_insert(UserView { spec, status });
    }

    /// Cancels a job at a controller as a user does; true if the cancellation was confirmed.
    pub fn cancel(&mut self, controller_index: usize, id: &str) -> bool {
        self.select_kv_view(controller_index);
        let now = self.now;
        let Some(mut controller) = self.controllers[controller_index].take() else {
            return false;
        };
        self.cancel_requests.insert(id.into());
        let is_open = controller.sync(&self.store)
            && controller
                .cluster
                .job(id)
                .is_some_and(|(_, job)| job.is_open());
        let confirmed = is_open
            && matches!(
                controller.cancel(&mut self.store, id, now),
                CommitOutcome::Committed(_)
            );
        digest::record(
            "answer to a cancellation",
            now,
            &(NAMES[controller_index], id, is_open, confirmed),
        );
        if confirmed {
            self.record_cancelled(id);
            // Reachable peers learn of the cancellation at once; the answer to the user doesn't
            // depend on them.
            self.gossip(&mut controller, controller_index);
        }
        self.controllers[controller_index] = Some(controller);
        confirmed
    }

    fn record_cancelled(&mut self, id: &str) {
        self.cancelled_at.entry(id.into()).or_insert(self.now);
        self.cancel_requests.insert(id.into());
        if let Some(view) = self.user_views.get_mut(id) {
            if view.status == "done" {
                self.violations
                    .push(format!("{id} was cancelled after it was reported as done"));
            }
            view.status = "aborted";
        }
    }

    /// Requests a job's status at a controller as a user does; `None` if it gives no status.
    /// Records a violation if the status contradicts an earlier answer.
    pub fn query_status(&mut self, controller_index: usize, id: &str) -> Option<&'static str> {
        self.select_kv_view(controller_index);
        let controller = self.controllers[controller_index].as_mut()?;
        let is_final = controller
            .cluster
            .job(id)
            .is_some_and(|(_, job)| !job.is_open());
        if !is_final && !controller.sync(&self.store) {
            return None;
        }
        let Some((_, job)) = controller.cluster.job(id) else {
            if self.user_views.contains_key(id) {
                self.violations.push(format!(
                    "{} does not know the accepted job {id}",
                    NAMES[controller_index]
                ));
            }
            return None;
        };
        let answer = ClusterState::job_status(job);
        digest::record(
            "answer to a poll",
            self.now,
            &(NAMES[controller_index], id, answer),
        );
        let status = answer.0;
        self.check_completed(id, status);
        let view = self.user_views.get_mut(id)?;
        let previous = std::mem::replace(&mut view.status, status);
        if matches!(previous, "done" | "aborted") && status != previous {
            self.violations.push(format!(
                "{id} changed from the final status {previous} to {status}"
            ));
        }
        self.check_cancellation(id, status);
        Some(status)
    }

    /// Checks that all tasks of an array have completed when it is reported as done.
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
            self.violations
                .push(format!("{id} is done before its task {task}"));
        }
    }

    /// Checks that a job is cancelled within `CANCEL_MS` of a job that it depends on, and only if a
    /// user has requested one of these cancellations.
    fn check_cancellation(&mut self, id: &str, status: &str) {
        let is_cancelled = status == "aborted";
        let dependency_cancelled = self.dependency_cancelled_at(id);
        let is_overdue = dependency_cancelled.is_some_and(|at| self.now > at + CANCEL_MS);
        if !is_cancelled && is_overdue {
            self.violations.push(format!(
                "{id} is {status}, though a dependency was cancelled"
            ));
        }
        if is_cancelled && !self.cancellation_was_requested(id) {
            self.violations
                .push(format!("{id} is cancelled though no user requested that"));
        }
        if is_cancelled {
            self.cancelled_at.entry(id.into()).or_insert(self.now);
        }
    }

    /// Requests the status of all accepted jobs at all controllers, and panics if there has been
    /// any violation.
    pub fn assert_no_violations(&mut self) {
        for controller_index in 0..CONTROLLERS {
            let ids: Vec<String> = self.user_views.keys().cloned().collect();
            for id in ids {
                self.query_status(controller_index, &id);
            }
        }
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
    }

    /// Panics if any task of the job is on a machine.
    pub fn assert_nothing_runs_of(&self, id: &str) {
        assert!(!self.runs(id), "{id} still runs");
    }

    /// True if a user has requested the cancellation of this job itself.
    pub fn cancelled_by_user(&self, id: &str) -> bool {
        self.cancel_requests.contains(id)
    }

    /// True if a user has requested the cancellation of the job or of one that it depends on,
    /// directly or indirectly.
    fn cancellation_was_requested(&self, id: &str) -> bool {
        let requested = |dependency: &String| self.cancellation_was_requested(dependency);
        self.cancel_requests.contains(id) || self.dependencies_of(id).iter().any(requested)
    }

    /// Time at which a user was first told that a job on which this one depends, directly or
    /// indirectly, is cancelled.
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

    /// Ids and specifications of the accepted jobs.
    pub fn accepted_jobs(&self) -> impl Iterator<Item = (&str, &JobSpec)> {
        let views = self.user_views.iter();
        views.map(|(id, view)| (id.as_str(), &view.spec))
    }

    /// Number of accepted jobs.
    pub fn accepted_count(&self) -> usize {
        self.user_views.len()
    }

    /// Accepted jobs on which others may depend: all but services, which never finish by
    /// themselves.
    pub fn accepted_finite_jobs(&self) -> Vec<String> {
        let jobs = self.accepted_jobs();
        let finite = jobs.filter(|(_, spec)| spec.kind != JobKind::Service);
        finite.map(|(id, _)| id.to_string()).collect()
    }

    /// Number of accepted jobs with dependencies of which a worker has started a task.
    pub fn started_dependents(&self) -> usize {
        let jobs = self.accepted_jobs();
        let dependents = jobs.filter(|(_, spec)| !spec.dependencies.is_empty());
        dependents.filter(|(id, _)| self.has_started(id)).count()
    }

    /// True if the job is known and finished according to the first running controller.
    pub fn is_finished(&self, id: &str) -> bool {
        let known = self.first_controller().cluster.job(id);
        known.is_some_and(|(_, job)| !job.is_open())
    }

    /// Number of accepted jobs that are finished according to the first running controller.
    pub fn finished_count(&mut self) -> usize {
        let ids = self.user_views.keys();
        ids.filter(|id| self.is_finished(id)).count()
    }

    /// Descriptions of the accepted jobs that are not finished according to the first running
    /// controller.
    pub fn unfinished(&self) -> Vec<String> {
        let cluster = &self.first_controller().cluster;
        let open = self.user_views.keys().filter(|id| !self.is_finished(id));
        open.map(|id| format!("{id}: {:?}", cluster.job(id)))
            .collect()
    }

    /// Open services, including those stored by a submission that got no response.
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
