//! Messages between controllers and workers: heartbeats, their responses, and direct commands.
//!
//! Wire names occur in `serde(rename)` attributes and nowhere else. A worker has one agent, which
//! sends heartbeats and executes the commands in the responses. The worker holds a lease that each
//! response renews; when the lease expires, the agent ends its tasks and begins a new epoch.

use serde::{Deserialize, Serialize};
pub use standby::ids::FencingToken;

/// Incarnation of a worker's agent: a number that rises each time the worker's lease expires.
#[derive(
    Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default,
)]
#[serde(transparent)]
pub struct AgentEpoch(pub u64);

impl AgentEpoch {
    /// True if the epoch is known from a message of the worker: epochs begin at 1.
    pub fn is_known(self) -> bool {
        self.0 > 0
    }
}

/// State of a task on a machine.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum TaskState {
    /// The task's image is being pulled.
    #[serde(rename = "pulling")]
    PullingImage,
    /// The task waits for the other members of its gang.
    #[serde(rename = "gathering")]
    AwaitingGang,
    /// The task runs.
    #[serde(rename = "running")]
    Running,
    /// The task has been told to stop and writes a checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The task has ended. The worker reports the task until its exit is acknowledged.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task ended.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum ExitReason {
    /// The task completed.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another member of the task's gang was lost.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The task's gang was not complete in time.
    #[serde(rename = "alone")]
    GangTimeout,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The worker refused to start the task: the machine has too few free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The worker refused to start the task: another attempt at it is on the machine.
    #[serde(rename = "busy")]
    OtherAttemptPresent,
    /// The worker refused the command: it knows no such task.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// A reason that this version does not know.
    #[serde(other)]
    Other,
}

/// State of one attempt at a task, as a worker's heartbeat reports it.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct TaskStatus {
    /// Name of the task: job id and task number, such as `job-1/3`; see [`parse_task_name`].
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why the attempt ended; `None` until it has ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// True if a checkpoint of the task's progress was written; may be absent.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// A worker's heartbeat. Responses to direct commands and to status requests have the same form.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address to which direct commands are sent.
    #[serde(rename = "endpoint", default)]
    pub addr: String,
    /// Name of the machine's type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Name of the machine's zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// True for a spot machine, which the cloud may preempt.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Epoch of the worker's agent.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Sequence number of the message within the agent's epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen; it refuses commands with a lower one.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Time until the cloud preempts the machine, s; `None` if it has not announced to do so.
    #[serde(rename = "warning_s", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine, also those that have exited.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Version of a worker's message: of two messages, the one with the larger version is newer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct HeartbeatVersion {
    /// Epoch of the worker's agent, raised whenever the worker's lease expires.
    pub agent_epoch: AgentEpoch,
    /// Sequence number of the message within its epoch.
    pub sequence: u64,
}

impl Heartbeat {
    /// Version of this message among those of its worker.
    pub fn version(&self) -> HeartbeatVersion {
        HeartbeatVersion {
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
        }
    }
}

/// A command to a worker.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts an attempt of a task.
    #[serde(rename = "start")]
    Start {
        /// Name of the task, see [`parse_task_name`].
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops an attempt of a task.
    #[serde(rename = "stop")]
    Stop {
        /// Name of the task, see [`parse_task_name`].
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that the task has to write a last checkpoint, s.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Acknowledges that the exit of an attempt has been recorded: heartbeats need not show the
    /// attempt any more.
    #[serde(rename = "reap")]
    AcknowledgeExit {
        /// Name of the task, see [`parse_task_name`].
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to an accepted heartbeat, which renews the worker's lease.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct HeartbeatResponse {
    /// Fencing token of the owner.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Commands, to be executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that a controller sends directly, not in the response to a heartbeat.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct DirectCommands {
    /// Fencing token of the owner; the worker refuses a token below the highest that it has seen.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Agent epoch that the commands are addressed to; the worker refuses commands to other
    /// epochs.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Commands, to be executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of a response with status 421: another controller owns the machine's shard.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct NotOwner {
    /// Name of the owner of the machine's shard; `None` if it is not known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub owner: Option<String>,
}

/// Splits the name of a task, such as `job-1/3`, into job id and task number; `None` if the name
/// does not have this form.
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.split_once('/')?;
    Some((job, task.parse().ok()?))
}
