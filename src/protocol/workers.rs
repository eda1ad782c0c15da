//! What workers report and are told.

use serde::{Deserialize, Serialize};

/// State of a task on a machine.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Waits for its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Saves.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task ended.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Why {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of the gang is gone.
    #[serde(rename = "mates_gone")]
    Peers,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: no room.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: another attempt is there.
    #[serde(rename = "busy")]
    Busy,
    /// Refused: no such job.
    #[serde(rename = "unknown")]
    Unknown,
    /// A cause this version does not know.
    #[serde(other)]
    Other,
}

/// A task in a report.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct TaskReport {
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
    pub why: Option<Why>,
    /// Its progress was saved.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Report {
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
    pub session: u64,
    /// Number of the message.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskReport>,
}

/// An order to a worker.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(tag = "verb")]
pub enum Order {
    /// Start a task.
    #[serde(rename = "start")]
    Start {
        /// Task.
        piece: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "stop")]
    Stop {
        /// Task.
        piece: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time to save.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Remove an exited task from the reports.
    #[serde(rename = "reap")]
    Forget {
        /// Task.
        piece: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct ReportAnswer {
    /// Token of the commander.
    #[serde(rename = "baton")]
    pub token: u64,
    /// What to do, in order.
    pub orders: Vec<Order>,
}

/// Direct commands.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Commands {
    /// Token of the commander.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Session that they are for.
    #[serde(rename = "shift")]
    pub session: u64,
    /// What to do, in order.
    pub orders: Vec<Order>,
}

/// 421: who is in charge.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Elsewhere {
    /// The node in charge, if known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Splits `job-1/3`.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.split_once('/')?;
    Some((job, task.parse().ok()?))
}
