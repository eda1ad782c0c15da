//! Messages between an owner and its standby, as `rkyv` archives that are validated before they
//! are read. Everything in them is a hint: what is lost, late or false breaks nothing.
//!
//! Order and types of fields and variants are the stored form (`tests/golden_peer_frames.rs` pins
//! the bytes); names may change, since archives don't hold them.

// rkyv's derive makes archived twins whose fields carry no docs of their own.
#![allow(missing_docs)]

use crate::ids::{FencingToken, ShardId};
use rkyv::rancor::Error;
use rkyv::{Archive, Deserialize, Serialize};

/// Longest archive that is read.
pub const MAX_MESSAGE_BYTES: usize = 60 * 1024;

/// A task that waits in a machine's queue.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Eq, Debug)]
pub struct QueuedTask {
    /// Job id.
    pub job: String,
    /// Task number.
    pub task: u32,
}

/// What an owner has decided for a machine that no record holds.
///
/// What its heartbeats have shown is not part of it: it proves nothing under the next token.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Eq, Debug, Default)]
pub struct MachineState {
    /// Tasks in its queue, in order.
    pub queue: Vec<QueuedTask>,
    /// Gang that it is reserved for.
    pub reserved_for: Option<String>,
}

/// A decision of an owner.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Eq, Debug)]
pub enum Decision {
    /// A machine's state has changed.
    MachineChanged {
        /// Machine.
        name: String,
        /// Its state now.
        state: MachineState,
    },
    /// A machine is no longer part of the shard.
    MachineRemoved {
        /// Machine.
        name: String,
    },
    /// A task was claimed for a machine.
    TaskClaimed {
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
    AttemptEnded {
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
    LogTail {
        /// Shard.
        shard: u32,
        /// Fencing token of the owner.
        fencing_token: u64,
        /// Sequence number of the first decision.
        first_sequence: u64,
        /// Decisions.
        decisions: Vec<Decision>,
    },
    /// A part of the state as of a moment.
    SnapshotPart {
        /// Shard.
        shard: u32,
        /// Fencing token of the owner.
        fencing_token: u64,
        /// Sequence number of the first decision that is not in the snapshot.
        next_sequence: u64,
        /// Highest revision at which a decision in the snapshot was recorded.
        last_decided_revision: u64,
        /// Number of this part, from 0.
        part: u32,
        /// It is the last part.
        is_last: bool,
        /// Machines, in the order of their names over all parts.
        machines: Vec<(String, MachineState)>,
    },
}

/// From a standby to the owner that it follows.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum FollowerResponse {
    /// The message was applied; this is the next sequence number that is wanted.
    NextSequence(u64),
    /// The message was a part of a snapshot; this is the next part that is wanted.
    NextPart(u32),
    /// Something is missing: a snapshot is wanted.
    NeedsSnapshot,
    /// This higher fencing token is known: the sender is no longer the owner.
    StaleFencingToken(u64),
}

/// The stream that a message belongs to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StreamOrigin {
    /// Shard.
    pub shard: ShardId,
    /// Fencing token of the owner.
    pub fencing_token: FencingToken,
}

impl Message {
    /// Shard and fencing token that it is about.
    pub fn origin(&self) -> StreamOrigin {
        match self {
            Message::LogTail {
                shard,
                fencing_token,
                ..
            }
            | Message::SnapshotPart {
                shard,
                fencing_token,
                ..
            } => StreamOrigin {
                shard: ShardId(*shard),
                fencing_token: FencingToken(*fencing_token),
            },
        }
    }

    /// The archive; `None` if it can't be made.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = rkyv::to_bytes::<Error>(self).ok()?;
        Some(bytes.to_vec())
    }

    /// Reads an archive after validation.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        rkyv::from_bytes::<Message, Error>(&aligned(bytes)).ok()
    }
}

impl FollowerResponse {
    /// The archive; `None` if it can't be made.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = rkyv::to_bytes::<Error>(self).ok()?;
        Some(bytes.to_vec())
    }

    /// Reads an archive after validation.
    pub fn decode(bytes: &[u8]) -> Option<FollowerResponse> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        rkyv::from_bytes::<FollowerResponse, Error>(&aligned(bytes)).ok()
    }
}

/// A copy at an address that archives may be read from: received bytes lie anywhere.
fn aligned(bytes: &[u8]) -> rkyv::util::AlignedVec {
    let mut out = rkyv::util::AlignedVec::new();
    out.extend_from_slice(bytes);
    out
}
