//! What users send and get.

use serde::{Deserialize, Serialize};

/// How a job's tasks run.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobKind {
    /// Independent tasks.
    #[serde(rename = "sweep")]
    Array,
    /// All at once or none.
    #[serde(rename = "group")]
    Gang,
    /// Replicas until cancelled.
    #[serde(rename = "service")]
    Service,
}

/// Priority; the smaller goes first.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Priority {
    /// Production.
    #[serde(rename = "prod")]
    Production,
    /// High.
    #[serde(rename = "urgent")]
    High,
    /// Normal.
    #[serde(rename = "normal")]
    Normal,
    /// Low.
    #[serde(rename = "idle")]
    Low,
}

/// A job as its user describes it.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct JobSpec {
    /// Job id.
    #[serde(rename = "uid")]
    pub id: String,
    /// Class of jobs.
    #[serde(rename = "jobline")]
    pub class: String,
    /// Team.
    #[serde(rename = "crew")]
    pub team: String,
    /// Shape.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Processors of a task.
    pub vcpus: f64,
    /// Graphics processors of a task.
    pub gpus: f64,
    /// Memory of a task.
    pub mem_gb: f64,
    /// Image.
    #[serde(rename = "kit")]
    pub image: String,
    /// Its size.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Allowed machine types.
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// At most half of the tasks in a zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Estimate of a task's run time.
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    /// Progress between checkpoints.
    #[serde(rename = "snapshot_s")]
    pub checkpoint_s: f64,
    /// Time to save when stopped.
    #[serde(rename = "flush_s")]
    pub checkpoint_grace_s: f64,
    /// Deadline from submission.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Dependencies: jobs that have to be done before any task of this one starts.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "once_each",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<String>,
}

/// Reads a list that may be null; what is named twice counts once.
fn once_each<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Vec<String>, D::Error> {
    let list: Option<Vec<String>> = Option::deserialize(from)?;
    let mut seen = std::collections::HashSet::new();
    let mut list = list.unwrap_or_default();
    list.retain(|id| seen.insert(id.clone()));
    Ok(list)
}

/// Dependencies that a job may name: as many as a record holds under limits of the state service
/// that are a fraction of today's.
pub const MAX_DEPENDENCIES: usize = 64;

/// Most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;

/// True for `job-` and digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("job-")
        .is_some_and(|n| !n.is_empty() && n.len() <= 20 && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Longest text in a job's description.
const LONGEST_TEXT: usize = 128;
/// Most machine types that a job may name.
const MOST_TYPES: usize = 64;
/// Largest amount or duration.
const LARGEST_AMOUNT: f64 = 1e9;

/// What is wrong with a job's description. Fields go by their names in the protocol.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum InvalidJob {
    /// The id is not of the protocol's form.
    #[error("uid must be `job-` and up to 20 digits")]
    Id,
    /// No tasks, or too many.
    #[error("pieces must be 1 to {MAX_TASKS}")]
    Tasks,
    /// A text is empty or too long.
    #[error("{0} must have 1 to {LONGEST_TEXT} characters")]
    Text(&'static str),
    /// An amount or duration is negative, too large or no number.
    #[error("{0} must be a number from 0 to {LARGEST_AMOUNT}")]
    Amount(&'static str),
    /// Too many machine types, or one that is empty or too long.
    #[error("rigs must be at most {MOST_TYPES} names of machine types")]
    Types,
    /// It awaits itself.
    #[error("a job can't await itself")]
    DependsOnItself,
    /// A dependency's id is too long for any job's.
    #[error("awaits must be ids of jobs")]
    Dependencies,
}

impl JobSpec {
    /// Checks what the types of the fields leave open.
    pub fn check(&self) -> Result<(), InvalidJob> {
        let text = |s: &str| !s.is_empty() && s.len() <= LONGEST_TEXT;
        let amount = |x: f64| x.is_finite() && (0.0..=LARGEST_AMOUNT).contains(&x);
        if !valid_id(&self.id) {
            return Err(InvalidJob::Id);
        }
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return Err(InvalidJob::Tasks);
        }
        let zone = self.zone.as_deref().unwrap_or("any");
        let texts = [
            ("jobline", self.class.as_str()),
            ("crew", self.team.as_str()),
            ("kit", self.image.as_str()),
            ("yard", zone),
        ];
        if let Some((name, _)) = texts.into_iter().find(|(_, s)| !text(s)) {
            return Err(InvalidJob::Text(name));
        }
        let amounts = [
            ("vcpus", self.vcpus),
            ("gpus", self.gpus),
            ("mem_gb", self.mem_gb),
            ("size_gb", self.image_gb),
            ("guess_s", self.estimated_run_s),
            ("snapshot_s", self.checkpoint_s),
            ("flush_s", self.checkpoint_grace_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        if let Some((name, _)) = amounts.into_iter().find(|(_, x)| !amount(*x)) {
            return Err(InvalidJob::Amount(name));
        }
        let types = self.types.as_deref().unwrap_or_default();
        if types.len() > MOST_TYPES || !types.iter().all(|t| text(t)) {
            return Err(InvalidJob::Types);
        }
        if self.dependencies.contains(&self.id) {
            return Err(InvalidJob::DependsOnItself);
        }
        if self.dependencies.iter().any(|id| id.len() > LONGEST_TEXT) {
            return Err(InvalidJob::Dependencies);
        }
        Ok(())
    }
}

/// Reads a submission; `None` if it is malformed.
pub fn parse_job(body: &[u8]) -> Option<JobSpec> {
    // rmp-serde would take a list for a struct; the protocol wants a map.
    match body.first()? {
        0x80..=0x8f | 0xde | 0xdf => {}
        _ => return None,
    }
    let spec: JobSpec = rmp_serde::from_slice(body).ok()?;
    spec.check().is_ok().then_some(spec)
}

/// The answer to a submission, poll or cancellation.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct JobStatus {
    /// Job id.
    #[serde(rename = "uid")]
    pub id: String,
    /// State.
    pub status: String,
    /// Tasks done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
