//! Messages between an owner and its standby, as `rkyv` archives that are validated before they
//! are read. Their contents are advisory: a lost, late or wrong message can't make a decision
//! unsafe.
//!
//! The order and the types of fields and variants define the wire format
//! (`tests/golden_peer_frames.rs` pins the bytes). Names may change, since archives don't contain
//! them.

// rkyv's derive generates an archived type for each type here, without docs on its fields.
#![allow(missing_docs)]

use crate::ids::{FencingToken, ShardId};
use rkyv::rancor::Error;
use rkyv::{Archive, Deserialize, Serialize};

/// Maximum size of an archive in bytes; a larger archive is refused before it is decoded.
pub const MAX_MESSAGE_BYTES: usize = 60 * 1024;

/// A task, identified by its job and number; usually one that waits in a machine's queue.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Eq, Debug)]
pub struct QueuedTask {
    /// Id of the task's job.
    pub job: String,
    /// Number of the task within its job.
    pub task: u32,
}

/// An owner's decisions for a machine that are not stored in the key-value store.
///
/// The machine's heartbeats are not included: under the next fencing token they prove nothing.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Eq, Debug, Default)]
pub struct MachineState {
    /// Tasks in the machine's queue, next first.
    pub queue: Vec<QueuedTask>,
    /// Job id of the gang that the machine is reserved for; `None` if it is not reserved.
    pub reserved_for: Option<String>,
}

/// A decision of a shard's owner, as it is replicated to the standby.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Eq, Debug)]
pub enum Decision {
    /// A machine's queue or reservation has changed, or the machine is new.
    MachineChanged {
        /// Name of the machine.
        name: String,
        /// New state of the machine.
        state: MachineState,
    },
    /// A machine has been removed from the shard.
    MachineRemoved {
        /// Name of the machine.
        name: String,
    },
    /// A task was claimed for a machine.
    TaskClaimed {
        /// The task that was claimed.
        task: QueuedTask,
        /// Number of the attempt at the task.
        attempt: u64,
        /// Name of the machine that the task was claimed for.
        machine: String,
        /// Revision of the key-value store at which the claim was committed.
        revision: u64,
    },
    /// The owner recorded that an attempt at a task has ended.
    AttemptEnded {
        /// Task that was attempted.
        task: QueuedTask,
        /// Number of the attempt at the task.
        attempt: u64,
        /// Revision of the key-value store at which the end was committed.
        revision: u64,
    },
}

/// A message from an owner to its standby.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Eq, Debug)]
pub enum Message {
    /// Decisions in the order in which they were made.
    LogTail {
        /// Number of the shard.
        shard: u32,
        /// Fencing token of the owner.
        fencing_token: u64,
        /// Sequence number of the first decision in the message.
        first_sequence: u64,
        /// Decisions with consecutive sequence numbers.
        decisions: Vec<Decision>,
    },
    /// A part of a snapshot of the shard's state.
    SnapshotPart {
        /// Number of the shard.
        shard: u32,
        /// Fencing token of the owner.
        fencing_token: u64,
        /// Sequence number of the first decision that is not in the snapshot.
        next_sequence: u64,
        /// Highest revision at which a decision in the snapshot was committed.
        last_decided_revision: u64,
        /// Number of this part within the snapshot, counted from 0.
        part: u32,
        /// Whether this is the last part of the snapshot.
        is_last: bool,
        /// Names and states of the machines in this part, sorted by name across all parts.
        machines: Vec<(String, MachineState)>,
    },
}

/// A standby's response to a message of the owner that it follows.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum FollowerResponse {
    /// The message was applied; holds the sequence number that the standby expects next.
    NextSequence(u64),
    /// A part of a snapshot was applied; holds the number of the part that is expected next.
    NextPart(u32),
    /// Decisions or parts are missing: the standby needs a new snapshot.
    NeedsSnapshot,
    /// The sender is no longer the owner; holds the higher fencing token that the standby knows.
    StaleFencingToken(u64),
}

/// The stream that a message belongs to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StreamOrigin {
    /// Shard whose state is replicated.
    pub shard: ShardId,
    /// Fencing token of the owner that sends the stream.
    pub fencing_token: FencingToken,
}

impl Message {
    /// The stream that the message belongs to.
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

    /// Encodes the message as an archive; `None` if that fails.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = rkyv::to_bytes::<Error>(self).ok()?;
        Some(bytes.to_vec())
    }

    /// Validates and decodes an archive; `None` if it is too large or invalid.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        rkyv::from_bytes::<Message, Error>(&aligned(bytes)).ok()
    }
}

impl FollowerResponse {
    /// Encodes the response as an archive; `None` if that fails.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = rkyv::to_bytes::<Error>(self).ok()?;
        Some(bytes.to_vec())
    }

    /// Validates and decodes an archive; `None` if it is too large or invalid.
    pub fn decode(bytes: &[u8]) -> Option<FollowerResponse> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        rkyv::from_bytes::<FollowerResponse, Error>(&aligned(bytes)).ok()
    }
}

/// Copies received bytes, which may start at any address, to the alignment that archives need.
fn aligned(bytes: &[u8]) -> rkyv::util::AlignedVec {
    let mut copy = rkyv::util::AlignedVec::new();
    copy.extend_from_slice(bytes);
    copy
}
