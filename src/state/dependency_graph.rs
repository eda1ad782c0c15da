//! The graph of dependencies between jobs.
//!
//! Job records name the dependencies; everything else is derived from them and from the states of
//! the named jobs. Neither is ever reverted: a job's dependencies stay as submitted, and an open
//! job becomes done or cancelled but is never reopened. A change of a job affects its direct
//! neighbours first. The change is propagated further with a work list instead of recursion, so
//! that a deep graph can't exhaust the stack.

use super::job::{DependencyState, Job, JobState};
use super::names::JobIndex;
use super::units::millis_from_seconds;
use crate::protocol::users::Priority;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// Open jobs by their unfinished dependencies, and the jobs that have to be evaluated again.
#[derive(Default, Debug)]
pub struct DependencyGraph {
    /// Open dependents by the name of a dependency that is not finished.
    dependents: HashMap<Rc<str>, Vec<JobIndex>>,
    /// Jobs that are cancelled because a dependency was cancelled, but whose own record still says
    /// that they are open.
    pub unwritten_cancellations: BTreeSet<JobIndex>,
    /// Work list: jobs whose dependencies or dependents have changed.
    changed: Vec<JobIndex>,
}

impl DependencyGraph {
    /// Adds an open job to the dependents of an unfinished job.
    pub fn add_dependent(&mut self, job: JobIndex, dependency: &str) {
        match self.dependents.get_mut(dependency) {
            Some(list) if list.contains(&job) => {}
            Some(list) => list.push(job),
            None => {
                self.dependents.insert(dependency.into(), vec![job]);
            }
        }
    }

    /// Open dependents of a job.
    pub fn dependents(&self, id: &str) -> &[JobIndex] {
        self.dependents.get(id).map_or(&[], Vec::as_slice)
    }

    /// Removes a job that is done or cancelled, and adds its dependents to the work list.
    pub fn remove_finished(&mut self, id: &str) {
        if let Some(dependents) = self.dependents.remove(id) {
            self.mark_changed(dependents);
        }
    }

    /// Adds jobs to the work list.
    pub fn mark_changed(&mut self, jobs: impl IntoIterator<Item = JobIndex>) {
        self.changed.extend(jobs);
    }

    /// Takes the next job from the work list.
    pub fn next_changed(&mut self) -> Option<JobIndex> {
        self.changed.pop()
    }

    /// Records whether a job is cancelled because a dependency was cancelled, but its own record
    /// still says that it is open.
    pub fn set_cancellation_unwritten(&mut self, job: JobIndex, unwritten: bool) {
        if unwritten {
            self.unwritten_cancellations.insert(job);
        } else {
            self.unwritten_cancellations.remove(&job);
        }
    }
}

/// Time that a job in a chain of dependencies takes in addition to its run time, ms: the pull of
/// its image, and the delay until the end of its dependency is known.
const STAGE_OVERHEAD_MS: u64 = 4000;

/// Wall-clock time in ms by which a job's dependencies have to be done for the job to meet its
/// deadline; `None` if the job has no deadline.
pub fn latest_dependency_end(job: &Job) -> Option<u64> {
    let spec = job.spec.as_ref();
    let run_ms = spec.map_or(0, |spec| {
        millis_from_seconds(spec.submitted.estimated_run_s)
    });
    let deadline = job.dependency_state.deadline?;
    Some(deadline.saturating_sub(run_ms + STAGE_OVERHEAD_MS))
}

/// Attributes of a job by itself, before its dependencies and dependents are considered.
#[derive(Clone, Copy)]
pub struct OwnAttributes {
    /// Wall-clock time of the submission, ms.
    pub submitted_at: u64,
    /// Priority as submitted.
    pub priority: Priority,
    /// Deadline as submitted, in wall-clock ms; `None`: no deadline.
    pub deadline: Option<u64>,
}

/// Derives the part of a job's state that depends on other jobs. The second value is true if a
/// dependency is cancelled.
///
/// `dependencies` yields `None` for a job that is not known to this controller.
pub fn dependency_state<'a>(
    own: OwnAttributes,
    dependencies: impl Iterator<Item = Option<&'a Job>>,
    dependents: impl Iterator<Item = &'a Job>,
) -> (DependencyState, bool) {
    let mut derived = DependencyState {
        blocked: false,
        eligible_since: own.submitted_at,
        priority: own.priority,
        deadline: own.deadline,
    };
    let mut cancelled = false;
    for dependency in dependencies {
        match dependency.map(|job| (job.state, job.finished_at)) {
            Some((JobState::Done, finished_at)) => {
                derived.eligible_since = derived.eligible_since.max(finished_at);
            }
            Some((JobState::Cancelled, _)) => cancelled = true,
            Some((JobState::Open, _)) | None => derived.blocked = true,
        }
    }
    for dependent in dependents.filter(|job| job.is_open()) {
        let priority = dependent.dependency_state.priority;
        derived.priority = derived.priority.min(priority);
        let deadlines = [derived.deadline, latest_dependency_end(dependent)];
        derived.deadline = deadlines.into_iter().flatten().min();
    }
    (derived, cancelled)
}
