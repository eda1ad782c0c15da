//! Frames between the controllers of one deployment.
//!
//! A frame is a length (4 bytes, big endian), a version byte and an `rkyv` archive, which is
//! validated before it is accessed. Most requests are hints: a frame that is lost, repeated or
//! refused breaks nothing. The documentation of the others says that they are not.
//!
//! Invariant: controllers of two versions run side by side during an upgrade, so the layout of
//! existing types never changes. A new variant is appended to its enum, is no larger than the
//! largest existing variant and needs no wider alignment.

// rkyv's derive generates archived types whose fields have no doc comments.
#![allow(missing_docs)]

use rkyv::{rancor::Error, Archive, Deserialize, Serialize};

/// Version byte of the frames.
pub const VERSION: u8 = 3;
/// Largest frame, in bytes.
pub const MAX_FRAME: usize = 64 * 1024;
/// Maximum number of cancelled jobs in a frame. Job ids are so short that this many fit.
pub const MAX_CANCELLED_JOBS: usize = 1500;

/// A task, identified by its job and number.
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
    /// True once it has sent at least one heartbeat.
    pub has_sent_heartbeat: bool,
    /// True if its heartbeats show the owner's fencing token.
    pub fencing_token_confirmed: bool,
    /// Number of tasks in its queue; 255 stands for all larger numbers as well.
    pub queue_length: u8,
    /// True if it gets no more tasks.
    pub cordoned: bool,
    /// True if it is presumed faulty.
    pub quarantined: bool,
}

/// State of a shard and its standby as one controller sees it.
#[derive(Archive, Serialize, Deserialize, serde::Serialize, Clone, PartialEq, Debug)]
pub struct ShardStatus {
    /// Shard; the last one is the autoscaler's.
    pub shard: u32,
    /// Name of the owner according to the records.
    pub owner: String,
    /// Fencing token according to the records.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// State of the shard's failover on the controller that reports it.
    pub state: String,
    /// Name of the standby as that controller sees it, if there is one.
    pub standby: Option<String>,
    /// Number of decisions that the standby lacks, if that controller replicates to it and it has a
    /// snapshot.
    #[serde(rename = "behind")]
    pub replication_lag: Option<u64>,
    /// Fencing token of the owner whose complete state that controller holds as its standby.
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
        /// True if the sender can reach the key-value store.
        kv_reachable: bool,
        /// True if workers can reach the sender, or it can reach them.
        workers_reachable: bool,
        /// Machines of the shards that the sender owns.
        machines: Vec<MachineStatus>,
    },
    /// Adds tasks to the queues of the receiver's machines.
    EnqueueTasks {
        /// Name of a machine, and the task for its queue.
        tasks: Vec<(String, TaskRef)>,
    },
    /// Takes a task for an idle machine from the queues of the receiver's machines.
    StealWork {
        /// Name of the idle machine.
        idle_machine: String,
        /// Names of the machines whose queues are searched, in this order.
        machines: Vec<String>,
    },
    /// Reserves machines for a gang for a limited time.
    ReserveMachines {
        /// Job id of the gang.
        job: String,
        /// Machines to reserve.
        machines: Vec<String>,
    },
    /// Stops further starts on machines that the autoscaler is about to delete.
    Cordon {
        /// Machines to cordon.
        machines: Vec<String>,
    },
    /// Announces that the cloud has deleted machines.
    MachinesDeleted {
        /// Deleted machines.
        machines: Vec<String>,
    },
    /// Sends the cancelled jobs that may have tasks left; the response holds those that the
    /// receiver knows.
    ///
    /// This is not a hint: a cancellation is final, whichever controller sends it. Controllers of
    /// version 0.1 know neither this request nor its response and close the connection.
    CancelledJobs {
        /// Job ids.
        jobs: Vec<String>,
    },
    /// Replication from a shard's owner to its standby: an archived message of the standby package.
    /// Sent only to controllers whose record says that they accept it.
    Replicate {
        /// Name of the sender.
        sender: String,
        /// The message as an archive.
        message: Vec<u8>,
    },
    /// Asks for the state of all shards and their standbys; sent by an operator's tool.
    ShardStatuses,
}

/// A response to a [`PeerRequest`].
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Debug)]
pub enum PeerResponse {
    /// The request was handled.
    Acknowledged,
    /// The task that is handed over to the idle machine; `None` if no queued task fits it.
    StolenTask(Option<TaskRef>),
    /// Names of the machines that are cordoned and empty.
    Cordoned(Vec<String>),
    /// All cancelled jobs that the responder knows and that may have tasks left.
    CancellationAttestation {
        /// For how long the responder's process has run, ms.
        uptime_ms: u32,
        /// Age of its cancellation watermark, ms; `u32::MAX` if it has none.
        watermark_age_ms: u32,
        /// Job ids.
        jobs: Vec<String>,
    },
    /// Response of a standby to a replication message.
    ReplicationAnswer {
        /// The response as an archive.
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
