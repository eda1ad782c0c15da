//! Frames between the controllers of one deployment.
//!
//! A frame is a length (4 bytes, big endian), a version byte and an `rkyv` archive, which is
//! validated before it is accessed. Most requests are hints: a frame that is lost, repeated or
//! refused breaks nothing. A request that is not a hint says so in its documentation.
//!
//! Invariant: controllers of two versions run side by side during an upgrade, so the layout of
//! existing types never changes. A new variant is appended to its enum, is no larger than the
//! largest existing variant and needs no wider alignment.

// rkyv's derive generates archived types whose fields have no doc comments.
#![allow(missing_docs)]

use rkyv::{rancor::Error, Archive, Deserialize, Serialize};

/// Version byte that every frame carries; a frame with another version is refused.
pub const VERSION: u8 = 3;
/// Maximum length that a frame may state, in bytes: its version byte and archive.
pub const MAX_FRAME: usize = 64 * 1024;
/// Maximum number of cancelled jobs in a frame. Job ids are short enough for this many to fit.
pub const MAX_CANCELLED_JOBS: usize = 1500;

/// A task, identified by its job and number.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct TaskRef {
    /// Job id.
    pub job: String,
    /// Number of the task within its job.
    pub task: u32,
}

/// State of one machine as the owner of its shard broadcasts it.
#[derive(Archive, Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct MachineStatus {
    /// Name of the machine.
    pub name: String,
    /// Address of the machine's worker.
    pub addr: String,
    /// Name of the machine's type.
    pub machine_type: String,
    /// Name of the machine's zone.
    pub zone: String,
    /// True for a spot machine.
    pub spot: bool,
    /// Time since the machine's last heartbeat, or since the owner began to wait for one, ms.
    pub silent_ms: u64,
    /// True once the machine has sent at least one heartbeat.
    pub has_sent_heartbeat: bool,
    /// True if the machine's heartbeats show the owner's fencing token.
    pub fencing_token_confirmed: bool,
    /// Number of tasks in the machine's queue; 255 stands for all larger numbers as well.
    pub queue_length: u8,
    /// True if the machine gets no more tasks.
    pub cordoned: bool,
    /// True if the machine is presumed faulty.
    pub quarantined: bool,
}

/// State of a shard and its standby as one controller sees it.
#[derive(Archive, Serialize, Deserialize, serde::Serialize, Clone, PartialEq, Debug)]
pub struct ShardStatus {
    /// Number of the shard; the last shard is the autoscaler's.
    pub shard: u32,
    /// Name of the shard's owner according to the records.
    pub owner: String,
    /// Fencing token of the shard according to the records.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Name of the state of the shard's failover on the controller that answers.
    pub state: String,
    /// Name of the shard's standby as that controller sees it; `None` if there is none.
    pub standby: Option<String>,
    /// Number of decisions that the standby lacks; `None` unless that controller replicates to the
    /// standby and the standby has a snapshot.
    #[serde(rename = "behind")]
    pub replication_lag: Option<u64>,
    /// Fencing token of the owner whose complete state that controller holds as its standby; `None`
    /// if it holds none.
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
        /// True if workers can reach the sender, or the sender can reach workers.
        workers_reachable: bool,
        /// State of the machines of the shards that the sender owns.
        machines: Vec<MachineStatus>,
    },
    /// Adds tasks to the queues of the receiver's machines.
    EnqueueTasks {
        /// Pairs of a machine's name and a task for that machine's queue.
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
        /// Names of the machines to reserve.
        machines: Vec<String>,
    },
    /// Stops further starts on machines that the autoscaler is about to delete.
    Cordon {
        /// Names of the machines to cordon.
        machines: Vec<String>,
    },
    /// Announces that the cloud has deleted machines.
    MachinesDeleted {
        /// Names of the deleted machines.
        machines: Vec<String>,
    },
    /// Sends the cancelled jobs that may have tasks left; the response holds those that the
    /// receiver knows.
    ///
    /// The request is not a hint: a cancellation is final, whichever controller sends it.
    /// Controllers of version 0.1 know neither the request nor its response and close the
    /// connection.
    CancelledJobs {
        /// Ids of cancelled jobs that the sender knows.
        jobs: Vec<String>,
    },
    /// Replication from a shard's owner to its standby: an archived message of the standby package.
    /// Sent only to controllers whose record says that they accept replication.
    Replicate {
        /// Name of the sender.
        sender: String,
        /// The replication message as an archive.
        message: Vec<u8>,
    },
    /// Requests the state of all shards and their standbys; sent by an operator's tool.
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
        /// Time for which the responder's process has run, ms.
        uptime_ms: u32,
        /// Age of the responder's cancellation watermark, ms; `u32::MAX` if it has none.
        watermark_age_ms: u32,
        /// Ids of the cancelled jobs.
        jobs: Vec<String>,
    },
    /// Response of a standby to a replication message.
    ReplicationAnswer {
        /// The standby's response as an archive.
        answer: Vec<u8>,
    },
    /// State of all shards and their standbys.
    ShardStatuses {
        /// Shards in the order of their numbers.
        shards: Vec<ShardStatus>,
    },
}

/// Encodes the body of a frame as an archive; `None` if that fails.
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
