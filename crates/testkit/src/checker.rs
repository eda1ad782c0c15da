//! Checks the history of a run against the invariants that must hold under every fault.

use crate::history::{Entry, Event};
use pointhook::protocol::workers::FencingToken;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Kind of a violation: the invariant that the history violates.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ViolationKind {
    /// An accepted job was not reported as done by the end of the history.
    #[error("accepted job never reported as done")]
    NeverDone,
    /// A job was reported as done and later with another status.
    #[error("job reported with another status after done")]
    RevertedFromDone,
    /// A job was reported as done before all its tasks had completed.
    #[error("job reported as done before all its tasks completed")]
    DoneTooEarly,
    /// A task was started while an attempt of it was active on another machine.
    #[error("task started while active on another machine")]
    ConcurrentAttempts,
    /// A task of a cancelled job was still active when it should have been gone.
    #[error("task of a cancelled job still active")]
    CancelledTaskActive,
    /// A task was completed more than once.
    #[error("task completed more than once")]
    CompletedTwice,
    /// An attempt was started on a machine for which no claim of it is recorded.
    #[error("task started without a recorded claim")]
    StartedWithoutClaim,
    /// A claim was committed by a transaction that was not conditional on the current record of the
    /// shard whose quota it charges.
    #[error("claim not conditional on the current shard record")]
    UnfencedClaim,
    /// A decision was recorded under a fencing token other than the shard's current one.
    #[error("decision recorded under another fencing token than the current one")]
    OutdatedToken,
    /// A shard record was written without a higher fencing token than the previous one.
    #[error("shard owner recorded without a higher fencing token")]
    TokenNotRaised,
}

/// Violation of an invariant, with the event that shows it.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{kind}: {event:?}")]
pub struct Violation {
    /// Invariant that is violated.
    pub kind: ViolationKind,
    /// Event that violates it; for a job that is never done, the event that accepted it.
    pub event: Event,
}

/// All violations in a history, in the order of their events. Jobs that were never done come last.
pub fn check(history: &[Entry]) -> Vec<Violation> {
    let mut checker = Checker::default();
    for entry in history {
        checker.apply(&entry.event);
    }
    checker.finish()
}

/// Job whose submission was acknowledged to a user.
struct AcceptedJob<'a> {
    tasks: u32,
    event: &'a Event,
}

#[derive(Default)]
struct Checker<'a> {
    accepted: BTreeMap<&'a str, AcceptedJob<'a>>,
    reported_done: HashSet<&'a str>,
    cancelled: HashSet<&'a str>,
    /// Recorded claims as task, attempt and machine.
    claims: HashSet<(&'a str, u64, &'a str)>,
    completed_tasks: HashSet<&'a str>,
    completed_count_by_job: HashMap<&'a str, u32>,
    fencing_token_by_shard: HashMap<u32, FencingToken>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    fn apply(&mut self, event: &'a Event) {
        match event {
            Event::JobAccepted { job, tasks } => {
                let tasks = *tasks;
                self.accepted.insert(job, AcceptedJob { tasks, event });
            }
            Event::JobStatusReported { job, status } => self.check_job_status(job, status, event),
            Event::ShardOwnerRecorded {
                shard,
                fencing_token,
                ..
            } => {
                let previous = self.fencing_token_by_shard.insert(*shard, *fencing_token);
                let raised = previous < Some(*fencing_token);
                self.require(raised, ViolationKind::TokenNotRaised, event);
            }
            Event::DecisionRecorded {
                shard,
                fencing_token,
            } => {
                let is_current = self.fencing_token_by_shard.get(shard) == Some(fencing_token);
                self.require(is_current, ViolationKind::OutdatedToken, event);
            }
            Event::TaskClaimed {
                task,
                attempt,
                machine,
                fenced,
            } => {
                self.claims.insert((task, *attempt, machine));
                self.require(*fenced, ViolationKind::UnfencedClaim, event);
            }
            Event::TaskStarted {
                task,
                attempt,
                machine,
                other_machine,
            } => {
                let claimed = self.claims.contains(&(task.as_str(), *attempt, machine));
                self.require(claimed, ViolationKind::StartedWithoutClaim, event);
                self.require(
                    other_machine.is_none(),
                    ViolationKind::ConcurrentAttempts,
                    event,
                );
            }
            Event::TaskCompleted { task, .. } => self.check_task_completion(task, event),
            Event::JobCancelled { job } => {
                self.cancelled.insert(job);
            }
            Event::CancelledTaskActive { .. } => {
                self.require(false, ViolationKind::CancelledTaskActive, event);
            }
            Event::MachineRestarted { .. } | Event::MachineDeleted { .. } => {}
        }
    }

    fn check_job_status(&mut self, job: &'a str, status: &str, event: &'a Event) {
        if status != "done" {
            let was_done = self.reported_done.contains(job);
            self.require(!was_done, ViolationKind::RevertedFromDone, event);
            return;
        }
        let first_time = self.reported_done.insert(job);
        let completed = self.completed_count_by_job.get(job).copied();
        let tasks = self.accepted.get(job).map(|accepted| accepted.tasks);
        let too_early = first_time && completed < tasks;
        self.require(!too_early, ViolationKind::DoneTooEarly, event);
    }

    fn check_task_completion(&mut self, task: &'a str, event: &'a Event) {
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
            let over = self.reported_done.contains(job) || self.cancelled.contains(job);
            self.require(over, ViolationKind::NeverDone, accepted.event);
        }
        self.violations
    }
}
