//! Messages between users and controllers: submitted jobs, and responses with their state.
//!
//! `coordination::job_api` serves them, `job_command` sends them. Wire names are pinned by
//! `serde(rename)`. Invariant: a [`JobSpec`] that has passed [`parse_job`] has amounts, lengths and
//! counts within the limits of this module.

use serde::{Deserialize, Serialize};

/// How a job's tasks run in relation to each other.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobKind {
    /// Tasks that run independently of each other.
    #[serde(rename = "sweep")]
    Array,
    /// All tasks run at once, or none.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// Priority of a job, ordered from the highest, which is served first, to the lowest.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Priority {
    /// Priority of production jobs, the highest.
    #[serde(rename = "prod")]
    Production,
    /// High priority, below production.
    #[serde(rename = "urgent")]
    High,
    /// Normal priority.
    #[serde(rename = "normal")]
    Normal,
    /// Low priority, the lowest.
    #[serde(rename = "idle")]
    Low,
}

/// A job as its user describes it.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct JobSpec {
    /// Job id, chosen by the user; see [`valid_id`].
    #[serde(rename = "uid")]
    pub id: String,
    /// Class of similar jobs, by which objectives are set and demand is forecast.
    #[serde(rename = "jobline")]
    pub class: String,
    /// Team whose quota the job uses.
    #[serde(rename = "crew")]
    pub team: String,
    /// How the job's tasks run in relation to each other.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority of the job itself, without what it inherits from its dependents.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks of the job.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Number of CPUs that a task requests, which may be a fraction.
    pub vcpus: f64,
    /// Number of GPUs that a task requests, which may be a fraction.
    pub gpus: f64,
    /// Memory that a task requests, GB.
    pub mem_gb: f64,
    /// Name of the container image that the tasks run.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image, GB.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Machine types that the job may run on; `None`: all.
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone that the job may run in; `None`: any.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// True if all tasks must run in one zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// True if at most half of the tasks may run in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// True if the job may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Estimate of a task's run time, s.
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    /// Progress, in s of run time, after which a running task writes a checkpoint by itself; 0: the
    /// tasks write no checkpoints.
    #[serde(rename = "snapshot_s")]
    pub checkpoint_s: f64,
    /// Time that a task has for a last checkpoint when it is stopped, s.
    #[serde(rename = "flush_s")]
    pub checkpoint_grace_s: f64,
    /// Deadline, s after the submission; `None`: no deadline.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Ids of the job's dependencies: jobs that have to be done before any of its tasks starts.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "unique_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<String>,
}

/// Deserializes a list of ids, or null for an empty one. Repeated ids are dropped.
fn unique_ids<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Vec<String>, D::Error> {
    let list: Option<Vec<String>> = Option::deserialize(from)?;
    let mut seen = std::collections::HashSet::new();
    let mut list = list.unwrap_or_default();
    list.retain(|id| seen.insert(id.clone()));
    Ok(list)
}

/// Maximum number of dependencies of a job: as many as fit into its record even if the limits of
/// the key-value store fall to a fraction of the current ones.
pub const MAX_DEPENDENCIES: usize = 64;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// True for a valid job id: `job-` followed by 1 to 20 digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("job-")
        .is_some_and(|n| !n.is_empty() && n.len() <= 20 && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Maximum length of a text in a job's description, in bytes.
const MAX_TEXT_BYTES: usize = 128;
/// Maximum number of machine types that a job may name.
const MAX_MACHINE_TYPES: usize = 64;
/// Maximum value of an amount or duration in a job's description.
const MAX_AMOUNT: f64 = 1e9;

/// Reason why a job's description is invalid. Messages name fields as the protocol does.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum InvalidJob {
    /// The id does not have the form that [`valid_id`] checks.
    #[error("uid must be `job-` and up to 20 digits")]
    Id,
    /// The job has no tasks, or too many.
    #[error("pieces must be 1 to {MAX_TASKS}")]
    Tasks,
    /// The text in the named field is empty or too long.
    #[error("{0} must be 1 to {MAX_TEXT_BYTES} bytes long")]
    Text(&'static str),
    /// The amount or duration in the named field is negative, too large or not a number.
    #[error("{0} must be a number from 0 to {MAX_AMOUNT}")]
    Amount(&'static str),
    /// There are too many machine types, or the name of one is empty or too long.
    #[error("rigs must be at most {MAX_MACHINE_TYPES} names of machine types")]
    Types,
    /// The job depends on itself.
    #[error("a job can't await itself")]
    DependsOnItself,
    /// The id of a dependency is too long to be that of any job.
    #[error("awaits must be ids of jobs")]
    Dependencies,
}

impl JobSpec {
    /// Checks the constraints that the types of the fields do not express.
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

/// Parses and validates a submission; `None` if it is malformed or invalid.
pub fn parse_job(body: &[u8]) -> Option<JobSpec> {
    // rmp-serde would accept a list for a struct as well.
    if !is_messagepack_map(*body.first()?) {
        return None;
    }
    let spec: JobSpec = rmp_serde::from_slice(body).ok()?;
    spec.check().is_ok().then_some(spec)
}

/// True for the first byte of a map: in the short form, or with a length of 16 or 32 bits.
fn is_messagepack_map(first_byte: u8) -> bool {
    matches!(first_byte, 0x80..=0x8f | 0xde | 0xdf)
}

/// Response to a submission, status request or cancellation.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct JobStatus {
    /// Job id.
    #[serde(rename = "uid")]
    pub id: String,
    /// State of the job: `pending`, `running`, `done` or `aborted`.
    pub status: String,
    /// Number of tasks done; absent if nothing is known but that the job was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks running; absent if nothing is known but that the job was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
