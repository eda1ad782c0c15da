//! What workers report and are told.

use serde::{Deserialize, Serialize};
pub use standby::ids::FencingToken;

/// Incarnation of a worker's agent: it rises each time the worker's lease expires.
#[derive(
    Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default,
)]
#[serde(transparent)]
pub struct AgentEpoch(pub u64);

impl AgentEpoch {
    /// True once a message of the worker has told it: epochs begin at 1.
    pub fn is_known(self) -> bool {
        self.0 > 0
    }
}

/// State of a task on a machine.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "pulling")]
    PullingImage,
    /// Waits for its gang.
    #[serde(rename = "gathering")]
    AwaitingGang,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Saves.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// Ended.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task ended.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum ExitReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of the gang is gone.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    GangTimeout,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: no room.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Refused: another attempt is there.
    #[serde(rename = "busy")]
    OtherAttemptPresent,
    /// Refused: no such job.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// A cause this version does not know.
    #[serde(other)]
    Other,
}

/// A task in a report.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct TaskStatus {
    /// `job-1/3`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it exited.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Its progress was saved.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// A worker's report.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Heartbeat {
    /// Machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address for direct commands.
    #[serde(rename = "endpoint", default)]
    pub addr: String,
    /// Machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// A spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Number of the message.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "warning_s", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Orders a worker's messages: the one with the larger version is the newer one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct HeartbeatVersion {
    /// Epoch of the worker's agent; it rises whenever the worker's lease expires.
    pub agent_epoch: AgentEpoch,
    /// Number of the message within its epoch.
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

/// An order to a worker.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(tag = "verb")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "start")]
    Start {
        /// Task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "stop")]
    Stop {
        /// Task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time to save.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Remove an exited task from the reports.
    #[serde(rename = "reap")]
    AcknowledgeExit {
        /// Task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct HeartbeatResponse {
    /// Token of the commander.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// What to do, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Direct commands.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct DirectCommands {
    /// Token of the commander.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Session that they are for.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// What to do, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// 421: who is in charge.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct NotOwner {
    /// The node in charge, if known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub owner: Option<String>,
}

/// Splits `job-1/3`.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.split_once('/')?;
    Some((job, task.parse().ok()?))
}
