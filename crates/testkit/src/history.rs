//! Events of a run in their order, and a recorder that derives them from committed transactions.

use pointhook::protocol::kv::{Condition, Transaction, Write};
use pointhook::protocol::workers::FencingToken;
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
        /// Number of its tasks.
        tasks: u32,
    },
    /// A user was told the status of a job.
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
        /// Fencing token of the owner.
        fencing_token: FencingToken,
    },
    /// A change of jobs was recorded that is conditional on the ownership of a shard.
    Decided {
        /// Shard.
        shard: u32,
        /// Fencing token of the shard at that time.
        fencing_token: FencingToken,
    },
    /// A claim of a task was recorded.
    Claimed {
        /// Task.
        task: String,
        /// Attempt.
        attempt: u64,
        /// Machine.
        machine: String,
        /// The transaction was conditional on the record of the shard whose quota is charged.
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
        /// Another machine that had the task at that time.
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
    /// Milliseconds since the beginning of the run.
    pub at_ms: u64,
    /// What happened.
    pub event: Event,
}

/// How many entries of a worker's own lists are in the history already.
#[derive(Clone, Copy, Default)]
pub struct WorkerProgress {
    /// Starts.
    pub started: usize,
    /// Completions.
    pub completed: usize,
}

struct RecordedShard {
    version: u64,
    record: ShardRecord,
}

/// Fencing tokens of the shards on whose current records a transaction is conditional.
type Fences = HashMap<u32, FencingToken>;

/// Records events, and derives events from committed transactions.
#[derive(Default)]
pub struct Recorder {
    entries: Vec<Entry>,
    progress_by_machine: HashMap<String, WorkerProgress>,
    shards: HashMap<u32, RecordedShard>,
    placements_by_job: HashMap<String, HashSet<StoredPlacement>>,
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

    /// How much of a worker's own lists was recorded.
    pub fn progress_of(&self, machine: &str) -> WorkerProgress {
        let progress = self.progress_by_machine.get(machine);
        progress.copied().unwrap_or_default()
    }

    /// Notes how much of a worker's own lists was recorded.
    pub fn set_progress(&mut self, machine: &str, progress: WorkerProgress) {
        self.progress_by_machine
            .insert(machine.to_string(), progress);
    }

    /// Owner and fencing token of a shard, as recorded.
    pub fn owner(&self, shard: u32) -> Option<&ShardRecord> {
        self.shards.get(&shard).map(|recorded| &recorded.record)
    }

    /// Records what a committed transaction decided.
    pub fn record_commit(&mut self, transaction: &Transaction, revision: u64, at_ms: u64) {
        let fences = self.fences(transaction);
        let mut changes_jobs = false;
        for write in &transaction.writes {
            let Write::Set { set: key, v, .. } = write else {
                continue;
            };
            let record_key = key.strip_prefix(ROOT).and_then(|k| k.split_once('/'));
            match record_key {
                Some(("job", job)) => {
                    changes_jobs = true;
                    self.record_job_write(job, v, &fences, at_ms);
                }
                Some(("shard", shard)) => self.record_shard_write(shard, v, revision, at_ms),
                _ => {}
            }
        }
        if !changes_jobs {
            return;
        }
        for (shard, fencing_token) in fences {
            let event = Event::Decided {
                shard,
                fencing_token,
            };
            self.record(at_ms, event);
        }
    }

    fn fences(&self, transaction: &Transaction) -> Fences {
        let fence = |condition: &Condition| {
            let shard: u32 = shard_of_key(&condition.key)?;
            let current = self.shards.get(&shard)?;
            let is_current = current.version == condition.version;
            is_current.then_some((shard, current.record.fencing_token))
        };
        transaction.conditions.iter().filter_map(fence).collect()
    }

    fn record_shard_write(&mut self, shard: &str, value: &Value, revision: u64, at_ms: u64) {
        let (Ok(shard), Some(record)) = (shard.parse(), decode::<ShardRecord>(value)) else {
            return;
        };
        let event = Event::Owned {
            shard,
            owner: record.owner.clone(),
            fencing_token: record.fencing_token,
        };
        let version = revision;
        self.shards.insert(shard, RecordedShard { version, record });
        self.record(at_ms, event);
    }

    fn record_job_write(&mut self, job: &str, value: &Value, fences: &Fences, at_ms: u64) {
        let Some(record) = decode::<JobRecord>(value) else {
            return;
        };
        let placements: HashSet<StoredPlacement> = record.placements.into_iter().collect();
        let previous = self
            .placements_by_job
            .insert(job.to_string(), placements.clone());
        let previous = previous.unwrap_or_default();
        for placement in placements.difference(&previous) {
            let event = Event::Claimed {
                task: format!("{job}/{}", placement.task),
                attempt: placement.attempt,
                machine: placement.machine.clone(),
                fenced: fences.contains_key(&placement.charged_shard.0),
            };
            self.entries.push(Entry { at_ms, event });
        }
    }
}

/// The shard whose record is stored under a key.
fn shard_of_key(key: &str) -> Option<u32> {
    key.strip_prefix(ROOT)?.strip_prefix("shard/")?.parse().ok()
}

fn decode<T: DeserializeOwned>(value: &Value) -> Option<T> {
    // By way of bytes: `rmpv` cannot deserialize unit variants directly.
    let bytes = rmp_serde::to_vec(value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}
