//! Messages of users: a job as it is submitted, and the answers on its state.
//!
//! `coordination::job_api` serves them, `job_command` sends them. Wire names are pinned by
//! `serde(rename)`. Invariant: a [`JobSpec`] that has passed [`parse_job`] has amounts, lengths and
//! counts within the limits of this module.

use serde::{Deserialize, Serialize};

/// How a job's tasks run.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobKind {
    /// Tasks that run independently of each other.
    #[serde(rename = "sweep")]
    Array,
    /// All tasks run at once, or none.
    #[serde(rename = "group")]
    Gang,
    /// Replicas until cancelled.
    #[serde(rename = "service")]
    Service,
}

/// Priority; the smaller one is served first.
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
    /// How its tasks run.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs of a task.
    pub vcpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task, GB.
    pub mem_gb: f64,
    /// Image that its tasks run.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image, GB.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Machine types that it may run on; all if there is no list.
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone that it may run in.
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
    /// Estimate of a task's run time, s.
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    /// Progress between checkpoints, s; 0: it makes none.
    #[serde(rename = "snapshot_s")]
    pub checkpoint_s: f64,
    /// Time for a last checkpoint when it is stopped, s.
    #[serde(rename = "flush_s")]
    pub checkpoint_grace_s: f64,
    /// Deadline, s from its submission.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Dependencies: jobs that have to be done before any task of this one starts.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "unique_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<String>,
}

/// Reads a list of ids that may be null; an id that is named twice counts once.
fn unique_ids<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Vec<String>, D::Error> {
    let list: Option<Vec<String>> = Option::deserialize(from)?;
    let mut seen = std::collections::HashSet::new();
    let mut list = list.unwrap_or_default();
    list.retain(|id| seen.insert(id.clone()));
    Ok(list)
}

/// Dependencies that a job may name: as many as a record holds under limits of the key-value store
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
const MAX_TEXT_BYTES: usize = 128;
/// Most machine types that a job may name.
const MAX_MACHINE_TYPES: usize = 64;
/// Largest amount or duration.
const MAX_AMOUNT: f64 = 1e9;

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
    #[error("{0} must have 1 to {MAX_TEXT_BYTES} characters")]
    Text(&'static str),
    /// An amount or duration is negative, too large or no number.
    #[error("{0} must be a number from 0 to {MAX_AMOUNT}")]
    Amount(&'static str),
    /// Too many machine types, or one that is empty or too long.
    #[error("rigs must be at most {MAX_MACHINE_TYPES} names of machine types")]
    Types,
    /// It depends on itself.
    #[error("a job can't await itself")]
    DependsOnItself,
    /// A dependency's id is too long for any job's.
    #[error("awaits must be ids of jobs")]
    Dependencies,
}

impl JobSpec {
    /// Checks what the types of the fields leave open.
    pub fn check(&self) -> Result<(), InvalidJob> {
        if !valid_id(&self.id) {
            return Err(InvalidJob::Id);
        }
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return Err(InvalidJob::Tasks);
        }
        self.check_texts()?;
        self.check_amounts()?;
        self.check_machine_types()?;
        self.check_dependencies()
    }

    fn check_texts(&self) -> Result<(), InvalidJob> {
        let mut texts = vec![
            ("jobline", &self.class),
            ("crew", &self.team),
            ("kit", &self.image),
        ];
        texts.extend(self.zone.as_ref().map(|zone| ("yard", zone)));
        match texts.into_iter().find(|(_, text)| !valid_text(text)) {
            Some((field, _)) => Err(InvalidJob::Text(field)),
            None => Ok(()),
        }
    }

    fn check_amounts(&self) -> Result<(), InvalidJob> {
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
        match amounts.into_iter().find(|(_, x)| !valid_amount(*x)) {
            Some((field, _)) => Err(InvalidJob::Amount(field)),
            None => Ok(()),
        }
    }

    fn check_machine_types(&self) -> Result<(), InvalidJob> {
        let types = self.types.as_deref().unwrap_or_default();
        if types.len() > MAX_MACHINE_TYPES || !types.iter().all(|name| valid_text(name)) {
            return Err(InvalidJob::Types);
        }
        Ok(())
    }

    fn check_dependencies(&self) -> Result<(), InvalidJob> {
        if self.dependencies.contains(&self.id) {
            return Err(InvalidJob::DependsOnItself);
        }
        if self.dependencies.iter().any(|id| id.len() > MAX_TEXT_BYTES) {
            return Err(InvalidJob::Dependencies);
        }
        Ok(())
    }
}

fn valid_text(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TEXT_BYTES
}

fn valid_amount(amount: f64) -> bool {
    amount.is_finite() && (0.0..=MAX_AMOUNT).contains(&amount)
}

/// Reads a submission; `None` if it is malformed.
pub fn parse_job(body: &[u8]) -> Option<JobSpec> {
    // rmp-serde would take a list for a struct as well.
    if !is_messagepack_map(*body.first()?) {
        return None;
    }
    let spec: JobSpec = rmp_serde::from_slice(body).ok()?;
    spec.check().is_ok().then_some(spec)
}

/// True for the first byte of a map: the short form, or one with a 16 or 32 bit length.
fn is_messagepack_map(first_byte: u8) -> bool {
    matches!(first_byte, 0x80..=0x8f | 0xde | 0xdf)
}

/// The answer to a submission, status request or cancellation.
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
