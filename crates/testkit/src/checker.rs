//! Checks a history against what has to hold whatever fails.

use crate::history::{Entry, Event};
use std::collections::{BTreeMap, HashMap, HashSet};

/// What must not be in a history.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum Kind {
    /// An accepted job was not answered as done in the end.
    #[error("accepted and never done")]
    Unfinished,
    /// A job was done and then something else.
    #[error("went back from done")]
    WentBack,
    /// A job was answered as done before all its tasks had completed.
    #[error("called done before all its tasks were")]
    DoneTooEarly,
    /// A task was started while another machine had it.
    #[error("started while on another machine")]
    RunsTwice,
    /// A task was completed more than once.
    #[error("completed more than once")]
    CompletedTwice,
    /// An attempt was started that no recorded claim has for that machine.
    #[error("started without a recorded claim")]
    StartedWithoutClaim,
    /// A claim was recorded that did not rest on its shard's present record.
    #[error("claimed without its shard's record")]
    ClaimWithoutFence,
    /// A decision was recorded under another token than the shard's present one.
    #[error("decided under an outdated token")]
    OutdatedToken,
    /// A change of owner did not raise the token.
    #[error("owned without a higher token")]
    TokenNotRaised,
}

/// Something in a history that must not be, with the event that shows it.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{kind}: {event:?}")]
pub struct Violation {
    /// What is wrong.
    pub kind: Kind,
    /// The event.
    pub event: Event,
}

/// All violations in a history, in the order in which they show.
pub fn check(history: &[Entry]) -> Vec<Violation> {
    let mut check = Check::default();
    for entry in history {
        check.take(&entry.event);
    }
    check.end()
}

#[derive(Default)]
struct Check<'a> {
    accepted: BTreeMap<&'a str, (u32, &'a Event)>,
    done: HashSet<&'a str>,
    claims: HashSet<(&'a str, u64, &'a str)>,
    completed: HashSet<&'a str>,
    completed_of_job: HashMap<&'a str, u32>,
    tokens: HashMap<u32, u64>,
    violations: Vec<Violation>,
}

impl<'a> Check<'a> {
    fn take(&mut self, event: &'a Event) {
        match event {
            Event::Accepted { job, tasks } => {
                self.accepted.insert(job, (*tasks, event));
            }
            Event::Answered { job, status } if status == "done" => {
                let completed = self.completed_of_job.get(job.as_str()).copied();
                let tasks = self.accepted.get(job.as_str()).map(|(tasks, _)| *tasks);
                let early = self.done.insert(job) && completed < tasks;
                self.expect(!early, Kind::DoneTooEarly, event);
            }
            Event::Answered { job, .. } => {
                let was_done = self.done.contains(job.as_str());
                self.expect(!was_done, Kind::WentBack, event);
            }
            Event::Owned { shard, token, .. } => {
                let before = self.tokens.insert(*shard, *token);
                self.expect(before < Some(*token), Kind::TokenNotRaised, event);
            }
            Event::Decided { shard, token } => {
                let present = self.tokens.get(shard) == Some(token);
                self.expect(present, Kind::OutdatedToken, event);
            }
            Event::Claimed {
                task,
                attempt,
                machine,
                fenced,
            } => {
                self.claims.insert((task, *attempt, machine));
                self.expect(*fenced, Kind::ClaimWithoutFence, event);
            }
            Event::Started {
                task,
                attempt,
                machine,
                also_on,
            } => {
                let claimed = self.claims.contains(&(task.as_str(), *attempt, machine));
                self.expect(claimed, Kind::StartedWithoutClaim, event);
                self.expect(also_on.is_none(), Kind::RunsTwice, event);
            }
            Event::Completed { task, .. } => {
                let first = self.completed.insert(task);
                self.expect(first, Kind::CompletedTwice, event);
                let job = task.split('/').next().unwrap_or_default();
                *self.completed_of_job.entry(job).or_default() += u32::from(first);
            }
        }
    }

    fn expect(&mut self, holds: bool, kind: Kind, event: &Event) {
        if !holds {
            let event = event.clone();
            self.violations.push(Violation { kind, event });
        }
    }

    fn end(mut self) -> Vec<Violation> {
        for (job, (_, event)) in std::mem::take(&mut self.accepted) {
            let done = self.done.contains(job);
            self.expect(done, Kind::Unfinished, event);
        }
        self.violations
    }
}
