//! Responses to users' requests.

use crate::coordination::controller::Controller;
use crate::coordination::event_counts::CountedEvent;
use crate::protocol::users::JobStatus;
use crate::state::cluster_state::ClusterState;
use crate::state::job::Job;
use crate::transport::http::ServerResponse;

/// HTTP status codes of responses.
pub(super) mod status {
    /// The request was served.
    pub const OK: u16 = 200;
    /// The job was accepted.
    pub const CREATED: u16 = 201;
    /// The request is malformed.
    pub const BAD_REQUEST: u16 = 400;
    /// The path or the job does not exist.
    pub const NOT_FOUND: u16 = 404;
    /// The path does not support this method.
    pub const METHOD_NOT_ALLOWED: u16 = 405;
    /// The request did not arrive in time.
    pub const REQUEST_TIMEOUT: u16 = 408;
    /// The body is larger than this controller receives.
    pub const PAYLOAD_TOO_LARGE: u16 = 413;
    /// The job is well-formed, but can never run.
    pub const UNPROCESSABLE: u16 = 422;
    /// The request can't be served at present.
    pub const UNAVAILABLE: u16 = 503;
}

/// True for a status after which a user does not repeat the request, and which says nothing about a
/// job's state.
pub(super) fn is_final_refusal(status: u16) -> bool {
    matches!(
        status,
        status::BAD_REQUEST | status::NOT_FOUND | status::UNPROCESSABLE
    )
}

/// `Retry-After` of a response to a request that can't be served at present, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The response to a request that can't be served at present; a retry, here or at another
/// controller, may succeed.
pub(super) fn retry_later() -> ServerResponse {
    ServerResponse::unavailable(RETRY_AFTER_S)
}

/// A response with a status that does not end the matter for the sender, who may repeat the request.
pub(super) fn retry_after(status: u16) -> ServerResponse {
    ServerResponse {
        retry_after_s: Some(RETRY_AFTER_S),
        ..ServerResponse::empty(status)
    }
}

/// A response with the state of a job.
pub(super) fn job_state(status: u16, job: &Job) -> ServerResponse {
    let (job_status, done, running) = ClusterState::job_status(job);
    let state = JobStatus {
        id: job.id.to_string(),
        status: job_status.into(),
        done: Some(done),
        running: Some(running),
    };
    ServerResponse::with_body(status, &state)
}

/// The response to the submission of a job that was just accepted: status `pending`, without task
/// counts.
pub(super) fn pending(id: &str) -> ServerResponse {
    let state = JobStatus {
        id: id.to_string(),
        status: "pending".into(),
        done: None,
        running: None,
    };
    ServerResponse::with_body(status::CREATED, &state)
}

/// A response with the cached state of a job; `None` if the job is not cached.
pub(super) fn current_state(controller: &Controller, id: &str) -> Option<ServerResponse> {
    let cluster = controller.cluster.borrow();
    let (_, job) = cluster.job(id)?;
    Some(job_state(status::OK, job))
}

/// A response with the state of a job that has ended; `None` if the job has not ended or is not
/// cached.
///
/// A final state never changes again, so it needs no fresh read. Any other cached state could be
/// older than the state that another controller has already returned to a user.
pub(super) fn final_state(controller: &Controller, id: &str) -> Option<ServerResponse> {
    let cluster = controller.cluster.borrow();
    let (_, job) = cluster.job(id)?;
    if job.is_open() {
        return None;
    }
    controller.events.add(CountedEvent::FinalState, 1);
    log::debug!(
        "final state answered: job={id} status={} version={} revision={} view_age_ms={}",
        ClusterState::job_status(job).0,
        job.version,
        cluster.revision,
        controller.view_age()
    );
    Some(job_state(status::OK, job))
}
