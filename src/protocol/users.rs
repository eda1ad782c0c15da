//! What users send and get.

use serde::{Deserialize, Serialize};

/// How a job's tasks run.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Shape {
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
pub enum Rank {
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
    pub shape: Shape,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Rank,
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
    pub estimate_s: f64,
    /// Progress between checkpoints.
    #[serde(rename = "snapshot_s")]
    pub checkpoint_s: f64,
    /// Time to save when stopped.
    #[serde(rename = "flush_s")]
    pub save_s: f64,
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
    pub awaits: Vec<String>,
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
pub const MAX_AWAITS: usize = 64;

/// Most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;

/// True for `job-` and digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("job-")
        .is_some_and(|n| !n.is_empty() && n.len() <= 20 && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Reads a submission; `None` if it is malformed.
pub fn parse_job(body: &[u8]) -> Option<JobSpec> {
    // rmp-serde would take a list for a struct; the protocol wants a map.
    match body.first()? {
        0x80..=0x8f | 0xde | 0xdf => {}
        _ => return None,
    }
    let spec: JobSpec = rmp_serde::from_slice(body).ok()?;
    let amount = |x: f64| x.is_finite() && (0.0..=1e9).contains(&x);
    let text = |s: &str| !s.is_empty() && s.len() <= 128;
    let good = valid_id(&spec.id)
        && (1..=MAX_TASKS).contains(&spec.tasks)
        && text(&spec.class)
        && text(&spec.team)
        && text(&spec.image)
        && [spec.vcpus, spec.gpus, spec.mem_gb, spec.image_gb]
            .into_iter()
            .all(amount)
        && [spec.estimate_s, spec.checkpoint_s, spec.save_s]
            .into_iter()
            .all(amount)
        && spec.deadline_s.is_none_or(amount)
        && !spec.awaits.contains(&spec.id)
        && spec.awaits.iter().all(|id| id.len() <= 128)
        && spec.zone.as_deref().is_none_or(text)
        && spec
            .types
            .as_ref()
            .is_none_or(|t| t.len() <= 64 && t.iter().all(|t| text(t)));
    good.then_some(spec)
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
