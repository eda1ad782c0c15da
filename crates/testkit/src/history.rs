//! History of a run: its events in order, and a recorder that derives events from committed
//! transactions.

use pointhook::protocol::kv::{Condition, Transaction, Write};
use pointhook::protocol::workers::FencingToken;
use pointhook::state::job::{JobRecord, StoredPlacement};
use pointhook::state::records::{ShardRecord, KEY_PREFIX};
use rmpv::Value;
use serde::de::DeserializeOwned;
use std::collections::{HashMap, HashSet};

/// Event in the history of a run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Event {
    /// A controller acknowledged the submission of a job to a user.
    JobAccepted {
        /// Id of the job.
        job: String,
        /// Number of tasks of the job.
        tasks: u32,
    },
    /// A controller reported the status of a job to a user.
    JobStatusReported {
        /// Id of the job.
        job: String,
        /// Status as sent on the wire, such as `pending` or `done`.
        status: String,
    },
    /// A controller confirmed to a user that a job is cancelled.
    JobCancelled {
        /// Id of the job.
        job: String,
    },
    /// A worker still had a task of a cancelled job when it should have been gone.
    CancelledTaskActive {
        /// Task as `job/index`.
        task: String,
        /// Name of the worker's machine.
        machine: String,
        /// Time since it should have been gone, in milliseconds.
        overdue_ms: u64,
    },
    /// A shard record with the shard's owner was written to the key-value store.
    ShardOwnerRecorded {
        /// Number of the shard.
        shard: u32,
        /// Name of the controller that owns the shard.
        owner: String,
        /// Fencing token under which it owns the shard.
        fencing_token: FencingToken,
    },
    /// A transaction was committed that changes jobs and is conditional on a shard's current
    /// record.
    DecisionRecorded {
        /// Number of the shard.
        shard: u32,
        /// Fencing token in the shard record at that time.
        fencing_token: FencingToken,
    },
    /// A new placement of a task on a machine was written to the job's record.
    TaskClaimed {
        /// Task as `job/index`.
        task: String,
        /// Attempt number, unique within the job.
        attempt: u64,
        /// Name of the claimed machine.
        machine: String,
        /// Whether the transaction was conditional on the current record of the shard whose quota
        /// is charged.
        fenced: bool,
    },
    /// A worker started an attempt of a task.
    TaskStarted {
        /// Task as `job/index`.
        task: String,
        /// Attempt number, unique within the job.
        attempt: u64,
        /// Name of the worker's machine.
        machine: String,
        /// Another machine on which an attempt of the task was active at that time.
        other_machine: Option<String>,
    },
    /// A machine restarted under its name, without its tasks.
    MachineRestarted {
        /// Name of the machine.
        machine: String,
        /// Whether its agent epoch and fencing token began anew.
        anew: bool,
    },
    /// The cloud deleted a machine.
    MachineDeleted {
        /// Name of the machine.
        machine: String,
    },
    /// A worker completed a task.
    TaskCompleted {
        /// Task as `job/index`.
        task: String,
        /// Name of the worker's machine.
        machine: String,
    },
}

impl Event {
    /// The task that the event is about, as `job/index`; `None` if it is about no single task.
    pub fn task(&self) -> Option<&str> {
        match self {
            Event::TaskClaimed { task, .. }
            | Event::TaskStarted { task, .. }
            | Event::CancelledTaskActive { task, .. }
            | Event::TaskCompleted { task, .. } => Some(task),
            _ => None,
        }
    }

    /// The machine that the event is about; `None` if it is about none.
    pub fn machine(&self) -> Option<&str> {
        match self {
            Event::TaskClaimed { machine, .. }
            | Event::TaskStarted { machine, .. }
            | Event::CancelledTaskActive { machine, .. }
            | Event::TaskCompleted { machine, .. }
            | Event::MachineRestarted { machine, .. }
            | Event::MachineDeleted { machine } => Some(machine),
            _ => None,
        }
    }
}

/// Event of a history with its time.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Entry {
    /// Time of the event, in milliseconds since the beginning of the run.
    pub at_ms: u64,
    /// Event that happened then.
    pub event: Event,
}

/// Number of starts and completions of a worker that the history already holds.
#[derive(Clone, Copy, Default)]
pub struct WorkerProgress {
    /// Number of entries of the worker's `started` list that are recorded.
    pub started: usize,
    /// Number of entries of the worker's `completed` list that are recorded.
    pub completed: usize,
}

struct RecordedShard {
    version: u64,
    record: ShardRecord,
}

/// Fencing tokens of the shards on whose current records a transaction is conditional.
type FencingTokens = HashMap<u32, FencingToken>;

/// Recorder of a history: it appends events and derives events from committed transactions.
#[derive(Default)]
pub struct Recorder {
    entries: Vec<Entry>,
    progress_by_machine: HashMap<String, WorkerProgress>,
    shards: HashMap<u32, RecordedShard>,
    placements_by_job: HashMap<String, HashSet<StoredPlacement>>,
    /// When each cancelled job was confirmed to be cancelled.
    cancelled_at_ms: HashMap<String, u64>,
}

impl Recorder {
    /// All events recorded so far, in order.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Appends an event to the history.
    pub fn record(&mut self, at_ms: u64, event: Event) {
        self.entries.push(Entry { at_ms, event });
    }

    /// Appends the confirmed cancellation of a job.
    pub fn record_cancellation(&mut self, at_ms: u64, job: &str) {
        self.cancelled_at_ms.entry(job.to_string()).or_insert(at_ms);
        self.record(at_ms, Event::JobCancelled { job: job.into() });
    }

    /// Time since a task should have been gone, as its job was cancelled more than `cancel_ms` ago;
    /// `None` if it was not.
    pub fn overdue_ms(&self, task: &str, now_ms: u64, cancel_ms: u64) -> Option<u64> {
        let (job, _) = task.split_once('/')?;
        let cancelled_at_ms = self.cancelled_at_ms.get(job)?;
        now_ms
            .checked_sub(cancelled_at_ms + cancel_ms)
            .filter(|overdue_ms| *overdue_ms > 0)
    }

    /// Number of starts and completions of a worker that are recorded; zero for an unknown machine.
    pub fn progress_of(&self, machine: &str) -> WorkerProgress {
        let progress = self.progress_by_machine.get(machine);
        progress.copied().unwrap_or_default()
    }

    /// Stores the number of starts and completions of a worker that are recorded.
    pub fn set_progress(&mut self, machine: &str, progress: WorkerProgress) {
        self.progress_by_machine
            .insert(machine.to_string(), progress);
    }

    /// Last committed record of a shard, with its owner and fencing token; `None` before the first.
    pub fn shard_record(&self, shard: u32) -> Option<&ShardRecord> {
        self.shards.get(&shard).map(|recorded| &recorded.record)
    }

    /// Derives the events of a committed transaction and records them.
    pub fn record_commit(&mut self, transaction: &Transaction, revision: u64, at_ms: u64) {
        let fencing_tokens = self.current_fencing_tokens(transaction);
        let mut changes_jobs = false;
        for write in &transaction.writes {
            let Write::Set { set: key, v, .. } = write else {
                continue;
            };
            let record_key = key.strip_prefix(KEY_PREFIX).and_then(|k| k.split_once('/'));
            match record_key {
                Some(("job", job)) => {
                    changes_jobs = true;
                    self.record_job_write(job, v, &fencing_tokens, at_ms);
                }
                Some(("shard", shard)) => self.record_shard_write(shard, v, revision, at_ms),
                _ => {}
            }
        }
        if !changes_jobs {
            return;
        }
        for (shard, fencing_token) in fencing_tokens {
            let event = Event::DecisionRecorded {
                shard,
                fencing_token,
            };
            self.record(at_ms, event);
        }
    }

    fn current_fencing_tokens(&self, transaction: &Transaction) -> FencingTokens {
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
        let event = Event::ShardOwnerRecorded {
            shard,
            owner: record.owner.clone(),
            fencing_token: record.fencing_token,
        };
        let version = revision;
        self.shards.insert(shard, RecordedShard { version, record });
        self.record(at_ms, event);
    }

    fn record_job_write(
        &mut self,
        job: &str,
        value: &Value,
        fencing_tokens: &FencingTokens,
        at_ms: u64,
    ) {
        let Some(record) = decode::<JobRecord>(value) else {
            return;
        };
        let placements: HashSet<StoredPlacement> = record.placements.into_iter().collect();
        let previous = self
            .placements_by_job
            .insert(job.to_string(), placements.clone());
        let previous = previous.unwrap_or_default();
        for placement in placements.difference(&previous) {
            let event = Event::TaskClaimed {
                task: format!("{job}/{}", placement.task),
                attempt: placement.attempt,
                machine: placement.machine.clone(),
                fenced: fencing_tokens.contains_key(&placement.charged_shard.0),
            };
            self.entries.push(Entry { at_ms, event });
        }
    }
}

/// Number of the shard whose record is stored under a key; `None` for keys of other records.
fn shard_of_key(key: &str) -> Option<u32> {
    key.strip_prefix(KEY_PREFIX)?
        .strip_prefix("shard/")?
        .parse()
        .ok()
}

fn decode<T: DeserializeOwned>(value: &Value) -> Option<T> {
    // Encodes the value and decodes it again: `rmpv` can't deserialize unit variants directly.
    let bytes = rmp_serde::to_vec(value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}
