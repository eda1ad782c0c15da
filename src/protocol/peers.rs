//! Frames between the service's own processes.
//!
//! A frame is a length (4 bytes, big endian), a version byte and an `rkyv`
//! archive, which is validated before it is looked at. Queue traffic is a
//! hint: a frame that is lost, doubled or refused breaks nothing.
//!
//! New kinds of frames go to the end of their enum and may be no larger than the largest there
//! and need no wider alignment, so that the older ones keep their form in both versions.

// rkyv's derive makes archived twins whose fields carry no docs of their own.
#![allow(missing_docs)]

use rkyv::{rancor::Error, Archive, Deserialize, Serialize};

/// Version of the frames.
pub const VERSION: u8 = 3;
/// Largest frame.
pub const MAX_FRAME: usize = 64 * 1024;
/// Names of jobs in a frame; ids are short.
pub const MAX_JOBS: usize = 1500;

/// A task by name.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct TaskRef {
    /// Job id.
    pub job: String,
    /// Task number.
    pub task: u32,
}

/// What an owner tells of one of its machines.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct MachineStatus {
    /// Name.
    pub name: String,
    /// Worker's address.
    pub addr: String,
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Since its last report, or since the owner began to wait for one.
    pub silent_ms: u64,
    /// It has reported at least once.
    pub has_reported: bool,
    /// It has shown the sender's token.
    pub fencing_token_confirmed: bool,
    /// Tasks in its queue.
    pub queue_length: u8,
    /// Tells that it takes no more tasks.
    pub cordoned: bool,
    /// Suspected to be faulty.
    pub quarantined: bool,
}

/// How a shard and its standby stand, as one node sees it.
#[derive(Archive, Serialize, Deserialize, serde::Serialize, Clone, PartialEq, Debug)]
pub struct ShardStatus {
    /// Shard; the last one is the renting duty.
    pub shard: u32,
    /// Owner, by the records.
    pub owner: String,
    /// Token, by the records.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// State of the shard's takeover on the node that was asked.
    pub state: String,
    /// Standby, as that node sees it.
    pub standby: Option<String>,
    /// Decisions that the standby lacks, if that node streams to it and it has a snapshot.
    #[serde(rename = "behind")]
    pub replication_lag: Option<u64>,
    /// Token of the owner whose complete state that node has as its standby.
    #[serde(rename = "follows")]
    pub replica_of_token: Option<u64>,
}

/// A request.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Debug)]
pub enum PeerRequest {
    /// Owner's view of its machines, sent every second or so.
    Status {
        /// Sender.
        sender: String,
        /// The sender reaches the state service.
        kv_reachable: bool,
        /// Workers reach the sender, or it them.
        workers_reachable: bool,
        /// Machines.
        machines: Vec<MachineStatus>,
    },
    /// Put these tasks into these machines' queues.
    Bind {
        /// Machine and task.
        tasks: Vec<(String, TaskRef)>,
    },
    /// An idle machine polls others' queues.
    StealWork {
        /// The idle machine.
        idle_machine: String,
        /// Machines asked.
        machines: Vec<String>,
    },
    /// Keep machines free for a gang for a while.
    ReserveMachines {
        /// The gang.
        job: String,
        /// Machines.
        machines: Vec<String>,
    },
    /// Take no more tasks on these machines; they are to be returned.
    Cordon {
        /// Machines.
        machines: Vec<String>,
    },
    /// The cloud has deleted these machines.
    MachinesDeleted {
        /// Machines.
        machines: Vec<String>,
    },
    /// Cancelled jobs of which tasks may be left; the other tells those it knows.
    ///
    /// Unlike the rest this is no hint: a cancelled job stays cancelled, whoever tells of it.
    /// Nodes of version 0.1 know neither this nor its reply and close the connection.
    Cancelled {
        /// Jobs.
        jobs: Vec<String>,
    },
    /// From a shard's owner to its standby: an archive of the standby package's messages. Sent only
    /// to nodes whose record says that they know it.
    Replicate {
        /// Sender.
        sender: String,
        /// The message.
        message: Vec<u8>,
    },
    /// From an operator's tool: how do shards and their standbys stand?
    ShardStatuses,
}

/// A reply.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Debug)]
pub enum PeerResponse {
    /// Taken note.
    Acknowledged,
    /// A task handed over, or none.
    StolenTask(Option<TaskRef>),
    /// Machines that are closed and empty.
    Cordoned(Vec<String>),
    /// All cancelled jobs known of which tasks may be left.
    Cancelled {
        /// For how long this process has run, ms.
        up_ms: u32,
        /// How long ago its knowledge of cancellations was complete, ms; `u32::MAX`: it never was.
        age_ms: u32,
        /// Jobs.
        jobs: Vec<String>,
    },
    /// A standby's answer, as an archive.
    ReplicationAnswer {
        /// The answer.
        answer: Vec<u8>,
    },
    /// How shards and their standbys stand, as one node sees it.
    ShardStatuses {
        /// Shards.
        shards: Vec<ShardStatus>,
    },
}

/// Encodes a frame's content.
pub fn encode<T>(value: &T) -> Option<Vec<u8>>
where
    T: for<'a> Serialize<
        rkyv::api::high::HighSerializer<
            rkyv::util::AlignedVec,
            rkyv::ser::allocator::ArenaHandle<'a>,
            Error,
        >,
    >,
{
    rkyv::to_bytes::<Error>(value).ok().map(|b| b.to_vec())
}

/// Decodes a request after validation.
pub fn decode_request(bytes: &[u8]) -> Option<PeerRequest> {
    let mut aligned: rkyv::util::AlignedVec = rkyv::util::AlignedVec::new();
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<PeerRequest, Error>(&aligned).ok()
}

/// Decodes a reply after validation.
pub fn decode_response(bytes: &[u8]) -> Option<PeerResponse> {
    let mut aligned: rkyv::util::AlignedVec = rkyv::util::AlignedVec::new();
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<PeerResponse, Error>(&aligned).ok()
}
