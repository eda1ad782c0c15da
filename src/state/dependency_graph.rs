//! Dependencies between jobs. Pure, no I/O.
//!
//! Job records say what a job awaits; all else is derived from that and from the states of the
//! jobs named, both of which only ever go one way. A change touches neighbours; what goes on from
//! there goes by a list of work, however deep the graph is.

use super::job::{DependencyState, Job, JobState};
use super::names::JobIndex;
use super::units::millis_from_seconds;
use crate::protocol::users::Priority;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// Jobs by those that need them.
#[derive(Default, Debug)]
pub struct Graph {
    /// Open dependents by the name of a dependency that is not over.
    dependents: HashMap<Rc<str>, Vec<JobIndex>>,
    /// Jobs cancelled with one that they need, whose record does not say so yet.
    pub unwritten: BTreeSet<JobIndex>,
    /// Jobs whose surroundings changed, to be looked at.
    pub changed: Vec<JobIndex>,
}

impl Graph {
    /// Notes that an open job awaits one that is not over.
    pub fn awaits(&mut self, job: JobIndex, dependency: &str) {
        match self.dependents.get_mut(dependency) {
            Some(list) if list.contains(&job) => {}
            Some(list) => list.push(job),
            None => {
                self.dependents.insert(dependency.into(), vec![job]);
            }
        }
    }
    /// Open jobs that need this one.
    pub fn dependents(&self, id: &str) -> &[JobIndex] {
        self.dependents.get(id).map_or(&[], Vec::as_slice)
    }
    /// A job is over: those that need it are to be looked at, and it need not be remembered.
    pub fn over(&mut self, id: &str) {
        if let Some(list) = self.dependents.remove(id) {
            self.changed.extend(list);
        }
    }
}

/// Time for an image and the news of an end, in a stage of a pipeline.
const STAGE_MS: u64 = 4000;

/// The latest time by which what a job needs has to be done, for the job to be done in time.
pub fn needed_by(job: &Job) -> Option<u64> {
    let estimate = job
        .spec
        .as_ref()
        .map_or(0, |s| millis_from_seconds(s.wire.estimated_run_s));
    let due = job.dependency_state.deadline?;
    Some(due.saturating_sub(estimate + STAGE_MS))
}

/// What follows for a job from its dependencies, as far as they are known, and from its
/// dependents; and whether one of the former was cancelled.
pub fn dependency_state<'a>(
    submitted: u64,
    own: (Priority, Option<u64>),
    dependencies: impl Iterator<Item = Option<&'a Job>>,
    dependents: impl Iterator<Item = &'a Job>,
) -> (DependencyState, bool) {
    let mut out = DependencyState {
        blocked: false,
        eligible_since: submitted,
        priority: own.0,
        deadline: own.1,
    };
    let mut cancelled = false;
    for job in dependencies {
        match job.map(|j| (j.state, j.finished_at)) {
            Some((JobState::Done, at)) => out.eligible_since = out.eligible_since.max(at),
            Some((JobState::Cancelled, _)) => cancelled = true,
            Some((JobState::Open, _)) | None => out.blocked = true,
        }
    }
    for job in dependents.filter(|j| j.is_open()) {
        out.priority = out.priority.min(job.dependency_state.priority);
        out.deadline = match (out.deadline, needed_by(job)) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }
    (out, cancelled)
}
