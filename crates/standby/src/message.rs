//! Messages between an owner and its standby, as `rkyv` archives that are validated before they
//! are read. Everything in them is a hint: what is lost, late or false breaks nothing.

// rkyv's derive makes archived twins whose fields carry no docs of their own.
#![allow(missing_docs)]

use crate::ids::FencingToken;
use rkyv::rancor::Error;
use rkyv::{Archive, Deserialize, Serialize};

/// Longest archive that is read.
pub const MAX_MESSAGE: usize = 60 * 1024;

/// A task that waits in a machine's queue.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Eq, Debug)]
pub struct QueuedTask {
    /// Job id.
    pub job: String,
    /// Task number.
    pub task: u32,
}

/// What an owner has decided for a machine that no record tells.
///
/// What its reports have shown is not part of it: it proves nothing under the next token.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Eq, Debug, Default)]
pub struct MachineState {
    /// Tasks in its queue, in order.
    pub queue: Vec<QueuedTask>,
    /// Gang that it is kept free for.
    pub held_for: Option<String>,
}

/// A decision of an owner.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Eq, Debug)]
pub enum Decision {
    /// A machine's state has changed.
    Machine {
        /// Machine.
        name: String,
        /// Its state now.
        state: MachineState,
    },
    /// A machine is no longer part of the shard.
    Gone {
        /// Machine.
        name: String,
    },
    /// A task was claimed for a machine.
    Claimed {
        /// Task.
        task: QueuedTask,
        /// Attempt.
        attempt: u64,
        /// Machine.
        machine: String,
        /// Revision at which that was recorded.
        revision: u64,
    },
    /// An attempt was found to have ended.
    Ended {
        /// Task.
        task: QueuedTask,
        /// Attempt.
        attempt: u64,
        /// Revision at which that was recorded.
        revision: u64,
    },
}

/// From an owner to its standby.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Eq, Debug)]
pub enum Message {
    /// Decisions in the order in which they were made.
    Tail {
        /// Shard.
        shard: u32,
        /// Token of the owner.
        token: u64,
        /// Sequence number of the first.
        first: u64,
        /// Decisions.
        decisions: Vec<Decision>,
    },
    /// A part of the state as of a moment.
    Snapshot {
        /// Shard.
        shard: u32,
        /// Token of the owner.
        token: u64,
        /// Sequence number of the first decision that is not in it.
        next: u64,
        /// Highest revision at which a decision in it was recorded.
        decided: u64,
        /// Number of this part, from 0.
        part: u32,
        /// It is the last part.
        last: bool,
        /// Machines, in the order of their names over all parts.
        machines: Vec<(String, MachineState)>,
    },
}

/// From a standby to the owner that it follows.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Answer {
    /// The message was taken; this is the next sequence number that is wanted.
    Next(u64),
    /// The message was a part of a snapshot; this is the next part that is wanted.
    NextPart(u32),
    /// Something is missing: a snapshot is wanted.
    NeedsSnapshot,
    /// A higher token is known: the sender is no longer the owner.
    Outranked(u64),
}

impl Message {
    /// Shard and token that it is about.
    pub fn origin(&self) -> (u32, FencingToken) {
        match self {
            Message::Tail { shard, token, .. } | Message::Snapshot { shard, token, .. } => {
                (*shard, FencingToken(*token))
            }
        }
    }

    /// The archive; `None` if it can't be made.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = rkyv::to_bytes::<Error>(self).ok()?;
        Some(bytes.to_vec())
    }

    /// Reads an archive after validation.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_MESSAGE {
            return None;
        }
        rkyv::from_bytes::<Message, Error>(&aligned(bytes)).ok()
    }
}

impl Answer {
    /// The archive; `None` if it can't be made.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = rkyv::to_bytes::<Error>(self).ok()?;
        Some(bytes.to_vec())
    }

    /// Reads an archive after validation.
    pub fn decode(bytes: &[u8]) -> Option<Answer> {
        if bytes.len() > MAX_MESSAGE {
            return None;
        }
        rkyv::from_bytes::<Answer, Error>(&aligned(bytes)).ok()
    }
}

fn aligned(bytes: &[u8]) -> rkyv::util::AlignedVec {
    let mut out = rkyv::util::AlignedVec::new();
    out.extend_from_slice(bytes);
    out
}
