//! Frames between the controllers of one deployment.
//!
//! A frame is a length (4 bytes, big endian), a version byte and an `rkyv` archive, which is
//! validated before it is accessed. Most requests are hints: a frame that is lost, repeated or
//! refused breaks nothing. Those that are not say so.
//!
//! Invariant: controllers of two versions run side by side during an upgrade, so the layout of
//! what exists never changes. New variants go to the end of their enum and may be no larger than
//! the largest there and need no wider alignment.

// rkyv's derive makes archived twins whose fields carry no docs of their own.
#![allow(missing_docs)]

use rkyv::{rancor::Error, Archive, Deserialize, Serialize};

/// Version byte of the frames.
pub const VERSION: u8 = 3;
/// Largest frame, in bytes.
pub const MAX_FRAME: usize = 64 * 1024;
/// Most cancelled jobs in a frame; their ids are short.
pub const MAX_CANCELLED_JOBS: usize = 1500;

/// A task by name.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct TaskRef {
    /// Job id.
    pub job: String,
    /// Task number within the job.
    pub task: u32,
}

/// State of one machine as the owner of its shard broadcasts it.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct MachineStatus {
    /// Name.
    pub name: String,
    /// Address of its worker.
    pub addr: String,
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// True for a spot machine.
    pub spot: bool,
    /// Time since its last heartbeat, or since the owner began to wait for one, ms.
    pub silent_ms: u64,
    /// It has sent at least one heartbeat.
    pub has_sent_heartbeat: bool,
    /// Its heartbeats show the owner's fencing token.
    pub fencing_token_confirmed: bool,
    /// Tasks in its queue.
    pub queue_length: u8,
    /// It takes no more tasks.
    pub cordoned: bool,
    /// It is suspected to be faulty.
    pub quarantined: bool,
}

/// State of a shard and its standby as one controller sees it.
#[derive(Archive, Serialize, Deserialize, serde::Serialize, Clone, PartialEq, Debug)]
pub struct ShardStatus {
    /// Shard; the last one is the autoscaler's.
    pub shard: u32,
    /// Owner by the records.
    pub owner: String,
    /// Fencing token by the records.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// State of the shard's failover on the controller that was asked.
    pub state: String,
    /// Standby as that controller sees it.
    pub standby: Option<String>,
    /// Decisions that the standby lacks, if that controller streams to it and it has a snapshot.
    #[serde(rename = "behind")]
    pub replication_lag: Option<u64>,
    /// Fencing token of the owner whose complete state that controller has as its standby.
    #[serde(rename = "follows")]
    pub replica_of_token: Option<u64>,
}

/// A request to another controller.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Debug)]
pub enum PeerRequest {
    /// Status update: the sender's health and its machines, broadcast every second or so.
    Status {
        /// Name of the sender.
        sender: String,
        /// The sender reaches the key-value store.
        kv_reachable: bool,
        /// Workers reach the sender, or it reaches them.
        workers_reachable: bool,
        /// Machines of the shards that the sender owns.
        machines: Vec<MachineStatus>,
    },
    /// Put tasks into the queues of the receiver's machines.
    EnqueueTasks {
        /// Machine, and the task for its queue.
        tasks: Vec<(String, TaskRef)>,
    },
    /// An idle machine polls the queues of the receiver's machines.
    StealWork {
        /// The idle machine.
        idle_machine: String,
        /// The machines whose queues are polled, in this order.
        machines: Vec<String>,
    },
    /// Keep machines free for a gang for a while.
    ReserveMachines {
        /// The gang's job.
        job: String,
        /// Machines to reserve.
        machines: Vec<String>,
    },
    /// Start nothing more on these machines: the autoscaler is about to delete them.
    Cordon {
        /// Machines to cordon.
        machines: Vec<String>,
    },
    /// The cloud has deleted these machines.
    MachinesDeleted {
        /// Deleted machines.
        machines: Vec<String>,
    },
    /// Cancelled jobs of which tasks may be left; the response tells those that the receiver knows.
    ///
    /// Unlike the rest this is no hint: a cancelled job stays cancelled, whoever says so.
    /// Controllers of version 0.1 know neither this nor its response and close the connection.
    CancelledJobs {
        /// Job ids.
        jobs: Vec<String>,
    },
    /// From a shard's owner to its standby: an archive of the standby package's messages. Sent only
    /// to controllers whose record says that they know it.
    Replicate {
        /// Name of the sender.
        sender: String,
        /// The archived message.
        message: Vec<u8>,
    },
    /// From an operator's tool: the state of all shards and their standbys.
    ShardStatuses,
}

/// A response to a [`PeerRequest`].
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Debug)]
pub enum PeerResponse {
    /// The request was handled.
    Acknowledged,
    /// A task that was handed over to the idle machine, if one fitted.
    StolenTask(Option<TaskRef>),
    /// Machines that are cordoned and empty.
    Cordoned(Vec<String>),
    /// All cancelled jobs that the responder knows and of which tasks may be left.
    CancellationAttestation {
        /// For how long the responder's process has run, ms.
        uptime_ms: u32,
        /// Age of its cancellation watermark, ms; `u32::MAX` if it has none.
        watermark_age_ms: u32,
        /// Job ids.
        jobs: Vec<String>,
    },
    /// Answer of a standby.
    ReplicationAnswer {
        /// The archived answer.
        answer: Vec<u8>,
    },
    /// State of all shards and their standbys.
    ShardStatuses {
        /// Shards in the order of their numbers.
        shards: Vec<ShardStatus>,
    },
}

/// Encodes the body of a frame.
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

/// Decodes a request; `None` if it is malformed.
pub fn decode_request(bytes: &[u8]) -> Option<PeerRequest> {
    let mut aligned: rkyv::util::AlignedVec = rkyv::util::AlignedVec::new();
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<PeerRequest, Error>(&aligned).ok()
}

/// Decodes a response; `None` if it is malformed.
pub fn decode_response(bytes: &[u8]) -> Option<PeerResponse> {
    let mut aligned: rkyv::util::AlignedVec = rkyv::util::AlignedVec::new();
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<PeerResponse, Error>(&aligned).ok()
}
