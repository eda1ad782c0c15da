//! What happened in a rehearsal, in order.

use pointhook::protocol::kv::{Transaction, Write};
use pointhook::state::job::{JobRecord, StoredPlacement};
use pointhook::state::records::{ShardRecord, ROOT};
use rmpv::Value;
use serde::de::DeserializeOwned;
use std::collections::{HashMap, HashSet};

/// Something that happened.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Event {
    /// A user was told that a job is accepted.
    Accepted {
        /// Job.
        job: String,
        /// Its tasks.
        tasks: u32,
    },
    /// A user was told where a job stands.
    Answered {
        /// Job.
        job: String,
        /// Status.
        status: String,
    },
    /// A shard's owner was recorded.
    Owned {
        /// Shard.
        shard: u32,
        /// Owner.
        owner: String,
        /// Its token.
        token: u64,
    },
    /// A change of jobs was recorded that rests on the ownership of a shard.
    Decided {
        /// Shard.
        shard: u32,
        /// Token of the shard then.
        token: u64,
    },
    /// A claim of a task was recorded.
    Claimed {
        /// Task.
        task: String,
        /// Attempt.
        attempt: u64,
        /// Machine.
        machine: String,
        /// It was conditional on the record of the shard that pays for it.
        fenced: bool,
    },
    /// A worker started a task.
    Started {
        /// Task.
        task: String,
        /// Attempt.
        attempt: u64,
        /// Machine.
        machine: String,
        /// Another machine that had the task then.
        also_on: Option<String>,
    },
    /// A worker completed a task.
    Completed {
        /// Task.
        task: String,
        /// Machine.
        machine: String,
    },
}

/// An event with its time.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Entry {
    /// Milliseconds since the beginning.
    pub at_ms: u64,
    /// What happened.
    pub event: Event,
}

/// How much of a worker's own record was taken.
#[derive(Clone, Copy, Default)]
pub struct Progress {
    /// Starts.
    pub started: usize,
    /// Completions.
    pub completed: usize,
}

/// Records events, and reads transactions for what they decide.
#[derive(Default)]
pub struct Recorder {
    entries: Vec<Entry>,
    progress: HashMap<String, Progress>,
    /// Version and record of each shard.
    shards: HashMap<u32, (u64, ShardRecord)>,
    placements: HashMap<String, HashSet<StoredPlacement>>,
}

impl Recorder {
    /// All events so far.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Records an event.
    pub fn record(&mut self, at_ms: u64, event: Event) {
        self.entries.push(Entry { at_ms, event });
    }

    /// What was taken of a worker's own record.
    pub fn progress_of(&self, machine: &str) -> Progress {
        self.progress.get(machine).copied().unwrap_or_default()
    }

    /// Notes what was taken of a worker's own record.
    pub fn note_progress(&mut self, machine: &str, started: usize, completed: usize) {
        let progress = Progress { started, completed };
        self.progress.insert(machine.to_string(), progress);
    }

    /// Owner and token of a shard, as recorded.
    pub fn owner(&self, shard: u32) -> Option<&ShardRecord> {
        self.shards.get(&shard).map(|(_, record)| record)
    }

    /// Records what an executed transaction decided.
    pub fn committed(&mut self, transaction: &Transaction, revision: u64, at_ms: u64) {
        let fences = self.fences(transaction);
        let mut changes_jobs = false;
        for write in &transaction.writes {
            let Write::Set { set: key, v, .. } = write else {
                continue;
            };
            let name = key.strip_prefix(ROOT).and_then(|k| k.split_once('/'));
            match name {
                Some(("job", job)) => {
                    changes_jobs = true;
                    self.job_written(job, v, &fences, at_ms);
                }
                Some(("shard", shard)) => self.shard_written(shard, v, revision, at_ms),
                _ => {}
            }
        }
        if changes_jobs {
            for (shard, token) in fences {
                self.record(at_ms, Event::Decided { shard, token });
            }
        }
    }

    /// Shards on whose present records a transaction is conditional, with their tokens.
    fn fences(&self, transaction: &Transaction) -> HashMap<u32, u64> {
        let shard_of = |key: &str| key.strip_prefix(ROOT)?.strip_prefix("shard/")?.parse().ok();
        let fence = |c: &pointhook::protocol::kv::Condition| {
            let shard: u32 = shard_of(&c.key)?;
            let (version, record) = self.shards.get(&shard)?;
            (*version == c.version).then_some((shard, record.fencing_token.0))
        };
        transaction.conditions.iter().filter_map(fence).collect()
    }

    fn shard_written(&mut self, shard: &str, v: &Value, revision: u64, at_ms: u64) {
        let (Ok(shard), Some(record)) = (shard.parse(), read::<ShardRecord>(v)) else {
            return;
        };
        let event = Event::Owned {
            shard,
            owner: record.owner.clone(),
            token: record.fencing_token.0,
        };
        self.shards.insert(shard, (revision, record));
        self.record(at_ms, event);
    }

    fn job_written(&mut self, job: &str, v: &Value, fences: &HashMap<u32, u64>, at_ms: u64) {
        let Some(record) = read::<JobRecord>(v) else {
            return;
        };
        let now: HashSet<StoredPlacement> = record.placements.into_iter().collect();
        let before = self.placements.insert(job.to_string(), now.clone());
        let before = before.unwrap_or_default();
        for (task, attempt, machine, _, payer) in now.difference(&before) {
            let event = Event::Claimed {
                task: format!("{job}/{task}"),
                attempt: *attempt,
                machine: machine.clone(),
                fenced: fences.contains_key(payer),
            };
            self.entries.push(Entry { at_ms, event });
        }
    }
}

fn read<T: DeserializeOwned>(v: &Value) -> Option<T> {
    // By way of bytes: the direct way can't read unit variants.
    let bytes = rmp_serde::to_vec(v).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}
