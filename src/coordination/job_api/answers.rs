//! What users are answered.

use crate::coordination::controller::Controller;
use crate::protocol::users::JobStatus;
use crate::state::cluster_state::ClusterState;
use crate::state::job::Job;
use crate::transport::http::ServerResponse;

/// HTTP statuses of answers.
pub(super) mod status {
    /// Served.
    pub const OK: u16 = 200;
    /// A new job was accepted.
    pub const CREATED: u16 = 201;
    /// Malformed.
    pub const BAD_REQUEST: u16 = 400;
    /// No such path, or no such job.
    pub const NOT_FOUND: u16 = 404;
    /// The path exists, but not for this method.
    pub const METHOD_NOT_ALLOWED: u16 = 405;
    /// Well-formed, but the job can never run.
    pub const UNPROCESSABLE: u16 = 422;
    /// Not now.
    pub const UNAVAILABLE: u16 = 503;
}

/// When to come back after a request that could not be served now.
const RETRY_AFTER_S: u32 = 1;

/// The request can't be served now; another controller, or this one later, may serve it.
pub(super) fn retry_later() -> ServerResponse {
    ServerResponse::unavailable(RETRY_AFTER_S)
}

/// A job's state.
pub(super) fn job_state(status: u16, job: &Job) -> ServerResponse {
    let (word, done, running) = ClusterState::status(job);
    let state = JobStatus {
        id: job.id.to_string(),
        status: word.into(),
        done: Some(done),
        running: Some(running),
    };
    ServerResponse::with_body(status, &state)
}

/// The state of a job that was just accepted, and of which nothing else is known.
pub(super) fn pending(id: &str) -> ServerResponse {
    let state = JobStatus {
        id: id.to_string(),
        status: "pending".into(),
        done: None,
        running: None,
    };
    ServerResponse::with_body(status::CREATED, &state)
}

/// The state of a job as it is cached here; `None` if the job is not known.
pub(super) fn current_state(controller: &Controller, id: &str) -> Option<ServerResponse> {
    let cluster = controller.cluster.borrow();
    let (_, job) = cluster.job(id)?;
    Some(job_state(status::OK, job))
}

/// The state of a job that has ended. It never changes again, so it needs no fresh read; any other
/// cached state could be older than what another controller has answered.
pub(super) fn final_state(controller: &Controller, id: &str) -> Option<ServerResponse> {
    let cluster = controller.cluster.borrow();
    let (_, job) = cluster.job(id)?;
    (!job.is_open()).then(|| job_state(status::OK, job))
}
