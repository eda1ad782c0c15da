//! Checks a history against what has to hold whatever fails.

use crate::history::{Entry, Event};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Something in a history that must not be.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, thiserror::Error)]
pub enum Violation {
    /// An accepted job was not answered as done in the end.
    #[error("{job} was accepted and is not done")]
    Unfinished {
        /// Job.
        job: String,
    },
    /// A job was done and then something else.
    #[error("{job} went back from done to {status}")]
    WentBack {
        /// Job.
        job: String,
        /// Later status.
        status: String,
    },
    /// A job was answered as done before all its tasks had completed.
    #[error("{job} was called done with {completed} of {tasks} tasks")]
    DoneTooEarly {
        /// Job.
        job: String,
        /// Completed tasks.
        completed: usize,
        /// All tasks.
        tasks: u32,
    },
    /// A task was started while another machine had it.
    #[error("{task} was started on {machine} while on {other}")]
    RunsTwice {
        /// Task.
        task: String,
        /// Machine of the start.
        machine: String,
        /// The other machine.
        other: String,
    },
    /// A task was completed more than once.
    #[error("{task} was completed {times} times")]
    CompletedTwice {
        /// Task.
        task: String,
        /// How often.
        times: usize,
    },
    /// An attempt was started that no recorded claim has for that machine.
    #[error("{task} attempt {attempt} was started on {machine} without a claim")]
    StartedWithoutClaim {
        /// Task.
        task: String,
        /// Attempt.
        attempt: u64,
        /// Machine.
        machine: String,
    },
    /// A claim was recorded that did not rest on its shard's present record.
    #[error("{task} attempt {attempt} was claimed without its shard's record")]
    ClaimWithoutFence {
        /// Task.
        task: String,
        /// Attempt.
        attempt: u64,
    },
    /// A decision was recorded under another token than the shard's present one.
    #[error("shard {shard} was decided for under token {token}, not {recorded}")]
    OutdatedToken {
        /// Shard.
        shard: u32,
        /// Token of the decision.
        token: u64,
        /// Recorded token.
        recorded: u64,
    },
    /// A change of owner did not raise the token.
    #[error("the token of shard {shard} went from {before} to {after}")]
    TokenNotRaised {
        /// Shard.
        shard: u32,
        /// Token before.
        before: u64,
        /// Token after.
        after: u64,
    },
}

/// All violations in a history, in a fixed order.
pub fn check(history: &[Entry]) -> Vec<Violation> {
    let mut check = Check::default();
    for entry in history {
        check.take(&entry.event);
    }
    check.end()
}

#[derive(Default)]
struct Check<'a> {
    accepted: BTreeMap<&'a str, u32>,
    done: HashSet<&'a str>,
    claims: HashSet<(&'a str, u64, &'a str)>,
    completed: BTreeMap<&'a str, usize>,
    completed_of_job: HashMap<&'a str, usize>,
    tokens: HashMap<u32, u64>,
    violations: Vec<Violation>,
}

impl<'a> Check<'a> {
    fn take(&mut self, event: &'a Event) {
        match event {
            Event::Accepted { job, tasks } => {
                self.accepted.insert(job, *tasks);
            }
            Event::Answered { job, status } => self.answered(job, status),
            Event::Owned { shard, token, .. } => self.owned(*shard, *token),
            Event::Decided { shard, token } => self.decided(*shard, *token),
            Event::Claimed {
                task,
                attempt,
                machine,
                fenced,
            } => {
                self.claims.insert((task, *attempt, machine));
                if !fenced {
                    self.violations.push(Violation::ClaimWithoutFence {
                        task: task.clone(),
                        attempt: *attempt,
                    });
                }
            }
            Event::Started {
                task,
                attempt,
                machine,
                also_on,
            } => self.started(task, *attempt, machine, also_on.as_deref()),
            Event::Completed { task, .. } => self.completed(task),
        }
    }

    fn answered(&mut self, job: &'a str, status: &str) {
        if status == "done" {
            let completed = self.completed_of_job.get(job).copied().unwrap_or(0);
            let tasks = self.accepted.get(job).copied().unwrap_or(0);
            if self.done.insert(job) && completed < tasks as usize {
                self.violations.push(Violation::DoneTooEarly {
                    job: job.to_string(),
                    completed,
                    tasks,
                });
            }
        } else if self.done.contains(job) {
            self.violations.push(Violation::WentBack {
                job: job.to_string(),
                status: status.to_string(),
            });
        }
    }

    fn owned(&mut self, shard: u32, token: u64) {
        let before = self.tokens.insert(shard, token).unwrap_or(0);
        if token <= before {
            self.violations.push(Violation::TokenNotRaised {
                shard,
                before,
                after: token,
            });
        }
    }

    fn decided(&mut self, shard: u32, token: u64) {
        let recorded = self.tokens.get(&shard).copied().unwrap_or(0);
        if token != recorded {
            self.violations.push(Violation::OutdatedToken {
                shard,
                token,
                recorded,
            });
        }
    }

    fn started(&mut self, task: &'a str, attempt: u64, machine: &'a str, also_on: Option<&str>) {
        if !self.claims.contains(&(task, attempt, machine)) {
            self.violations.push(Violation::StartedWithoutClaim {
                task: task.to_string(),
                attempt,
                machine: machine.to_string(),
            });
        }
        if let Some(other) = also_on {
            self.violations.push(Violation::RunsTwice {
                task: task.to_string(),
                machine: machine.to_string(),
                other: other.to_string(),
            });
        }
    }

    fn completed(&mut self, task: &'a str) {
        let times = self.completed.entry(task).or_default();
        *times += 1;
        if *times == 1 {
            let job = task.split('/').next().unwrap_or_default();
            *self.completed_of_job.entry(job).or_default() += 1;
        }
    }

    fn end(mut self) -> Vec<Violation> {
        let repeated = self.completed.iter().filter(|(_, times)| **times > 1);
        let repeated = repeated.map(|(task, times)| Violation::CompletedTwice {
            task: task.to_string(),
            times: *times,
        });
        self.violations.extend(repeated);
        let open = self.accepted.keys().filter(|job| !self.done.contains(*job));
        let open = open.map(|job| Violation::Unfinished {
            job: job.to_string(),
        });
        self.violations.extend(open);
        self.violations.sort();
        self.violations
    }
}
