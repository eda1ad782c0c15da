//! Checks a history against the invariants that hold whatever fails.

use crate::history::{Entry, Event};
use pointhook::protocol::workers::FencingToken;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Invariant that a history breaks.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ViolationKind {
    /// An accepted job was not reported as done in the end.
    #[error("accepted and never done")]
    Unfinished,
    /// A job was reported as done and then as something else.
    #[error("went back from done")]
    WentBack,
    /// A job was reported as done before all its tasks had completed.
    #[error("called done before all its tasks were")]
    DoneTooEarly,
    /// A task was started while another machine had it.
    #[error("started while on another machine")]
    RunsTwice,
    /// A task was completed more than once.
    #[error("completed more than once")]
    CompletedTwice,
    /// An attempt was started on a machine for which no claim of it is recorded.
    #[error("started without a recorded claim")]
    StartedWithoutClaim,
    /// A claim was recorded that was not conditional on its shard's current record.
    #[error("claimed without its shard's record")]
    ClaimWithoutFence,
    /// A decision was recorded under another fencing token than the shard's current one.
    #[error("decided under an outdated token")]
    OutdatedToken,
    /// A change of owner did not raise the fencing token.
    #[error("owned without a higher token")]
    TokenNotRaised,
}

/// A broken invariant with the event that shows it.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{kind}: {event:?}")]
pub struct Violation {
    /// The invariant.
    pub kind: ViolationKind,
    /// The event.
    pub event: Event,
}

/// All violations in a history, in the order in which they show.
pub fn check(history: &[Entry]) -> Vec<Violation> {
    let mut checker = Checker::default();
    for entry in history {
        checker.apply(&entry.event);
    }
    checker.finish()
}

/// A job that a user was told is accepted.
struct AcceptedJob<'a> {
    tasks: u32,
    event: &'a Event,
}

#[derive(Default)]
struct Checker<'a> {
    accepted: BTreeMap<&'a str, AcceptedJob<'a>>,
    reported_done: HashSet<&'a str>,
    /// Task, attempt and machine of each recorded claim.
    claims: HashSet<(&'a str, u64, &'a str)>,
    completed_tasks: HashSet<&'a str>,
    completed_count_by_job: HashMap<&'a str, u32>,
    fencing_token_by_shard: HashMap<u32, FencingToken>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    fn apply(&mut self, event: &'a Event) {
        match event {
            Event::Accepted { job, tasks } => {
                let tasks = *tasks;
                self.accepted.insert(job, AcceptedJob { tasks, event });
            }
            Event::Answered { job, status } => self.job_answered(job, status, event),
            Event::Owned {
                shard,
                fencing_token,
                ..
            } => {
                let previous = self.fencing_token_by_shard.insert(*shard, *fencing_token);
                let raised = previous < Some(*fencing_token);
                self.require(raised, ViolationKind::TokenNotRaised, event);
            }
            Event::Decided {
                shard,
                fencing_token,
            } => {
                let is_current = self.fencing_token_by_shard.get(shard) == Some(fencing_token);
                self.require(is_current, ViolationKind::OutdatedToken, event);
            }
            Event::Claimed {
                task,
                attempt,
                machine,
                fenced,
            } => {
                self.claims.insert((task, *attempt, machine));
                self.require(*fenced, ViolationKind::ClaimWithoutFence, event);
            }
            Event::Started {
                task,
                attempt,
                machine,
                also_on,
            } => {
                let claimed = self.claims.contains(&(task.as_str(), *attempt, machine));
                self.require(claimed, ViolationKind::StartedWithoutClaim, event);
                self.require(also_on.is_none(), ViolationKind::RunsTwice, event);
            }
            Event::Completed { task, .. } => self.task_completed(task, event),
        }
    }

    fn job_answered(&mut self, job: &'a str, status: &str, event: &'a Event) {
        if status != "done" {
            let was_done = self.reported_done.contains(job);
            self.require(!was_done, ViolationKind::WentBack, event);
            return;
        }
        let first_time = self.reported_done.insert(job);
        let completed = self.completed_count_by_job.get(job).copied();
        let tasks = self.accepted.get(job).map(|accepted| accepted.tasks);
        let too_early = first_time && completed < tasks;
        self.require(!too_early, ViolationKind::DoneTooEarly, event);
    }

    fn task_completed(&mut self, task: &'a str, event: &'a Event) {
        let first_time = self.completed_tasks.insert(task);
        self.require(first_time, ViolationKind::CompletedTwice, event);
        let job = task.split('/').next().unwrap_or_default();
        *self.completed_count_by_job.entry(job).or_default() += u32::from(first_time);
    }

    fn require(&mut self, holds: bool, kind: ViolationKind, event: &Event) {
        if !holds {
            let event = event.clone();
            self.violations.push(Violation { kind, event });
        }
    }

    fn finish(mut self) -> Vec<Violation> {
        for (job, accepted) in std::mem::take(&mut self.accepted) {
            let done = self.reported_done.contains(job);
            self.require(done, ViolationKind::Unfinished, accepted.event);
        }
        self.violations
    }
}
