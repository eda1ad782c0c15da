//! The public HTTP interface: users' jobs, workers' heartbeats and health checks.
//!
//! `cli` passes every request to [`handle`], which resolves its `Route`, calls the handler and
//! measures its duration. Users' requests are handled by `submission`, `cancellation` and
//! `job_status`; `responses` builds the responses to them, and `retries` limits their retries.
//!
//! Invariants: a request that did not arrive as a whole reaches no handler, and gets no answer that
//! ends the matter for its sender. A state that is not final is returned only after a fresh read of the key-value store,
//! so that a user who queries another controller never sees an earlier state of a job than before.

mod cancellation;
mod incomplete_requests;
mod responses;
mod retries;
mod submission;

use crate::coordination::controller::Controller;
use crate::coordination::event_counts::CountedEvent;
use crate::coordination::heartbeats;
use crate::coordination::kv::fresh_reads::REFRESH_TIMEOUT_MS;
use crate::protocol::users::valid_id;
use crate::transport::http::{ServerRequest, ServerResponse};
use http_types::Method;
use responses::status;
use std::rc::Rc;

pub use submission::accepted;

/// Path to which workers send heartbeats.
const HEARTBEAT_PATH: &str = "/v1/report";

/// The endpoint that a request is addressed to.
enum Route<'a> {
    HealthCheck,
    Heartbeat,
    SubmitJob,
    JobStatus { id: &'a str },
    CancelJob { id: &'a str },
    MethodNotAllowed,
    NotFound,
}

impl Route<'_> {
    fn of<'a>(path: &[&'a str], method: Method) -> Route<'a> {
        match (path, method) {
            (["up"], Method::Get) => Route::HealthCheck,
            (["v1", "report"], Method::Post) => Route::Heartbeat,
            (["v1", "jobs"], Method::Post) => Route::SubmitJob,
            (["v1", "jobs", id], Method::Get) => Route::JobStatus { id },
            (["v1", "jobs", id, "withdraw"], Method::Post) => Route::CancelJob { id },
            (
                ["up"]
                | ["v1", "report" | "jobs"]
                | ["v1", "jobs", _]
                | ["v1", "jobs", _, "withdraw"],
                _,
            ) => Route::MethodNotAllowed,
            _ => Route::NotFound,
        }
    }
}

/// True for the path to which workers send heartbeats.
pub fn is_heartbeat_path(path: &str) -> bool {
    path == HEARTBEAT_PATH
}

/// Handles a request of a user, a worker or a health check.
pub async fn handle(controller: Rc<Controller>, request: ServerRequest) -> ServerResponse {
    let body = match request.body {
        Ok(body) => body,
        Err(incomplete) => {
            return incomplete_requests::respond(&controller, &request.path, &incomplete)
        }
    };
    let path = request.path;
    let response = handle_route(&controller, request.method, &path, body).await;
    if responses::is_final_refusal(response.status) {
        record_final_refusal(&controller, &path, response.status);
    }
    response
}

/// Counts and logs a response after which a user does not repeat the request.
fn record_final_refusal(controller: &Controller, path: &str, status: u16) {
    controller.events.add(CountedEvent::FinalRefusal, 1);
    log::debug!(
        "request refused for good: path={path:?} status={status} revision={} view_age_ms={}",
        controller.cluster.borrow().revision,
        controller.view_age()
    );
}

/// Calls the handler of the request's endpoint, and measures its duration.
async fn handle_route(
    controller: &Rc<Controller>,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> ServerResponse {
    let path: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let metrics = &controller.metrics;
    match Route::of(&path, method) {
        Route::HealthCheck => metrics.time("health checks", || health(controller)),
        Route::Heartbeat => {
            let work = heartbeats::handle(controller, &body);
            metrics.time_polls("heartbeats", work).await
        }
        Route::SubmitJob => {
            let work = submission::submit(controller, &body);
            metrics.time_polls("submissions", work).await
        }
        Route::JobStatus { id } => {
            let work = job_status(controller, id);
            metrics.time_polls("job status requests", work).await
        }
        Route::CancelJob { id } => {
            let work = cancellation::cancel(controller, id);
            metrics.time_polls("cancellations", work).await
        }
        Route::MethodNotAllowed => ServerResponse::empty(status::METHOD_NOT_ALLOWED),
        Route::NotFound => ServerResponse::empty(status::NOT_FOUND),
    }
}

fn health(controller: &Controller) -> ServerResponse {
    ServerResponse::empty(if controller.healthy() {
        status::OK
    } else {
        status::UNAVAILABLE
    })
}

async fn job_status(controller: &Controller, id: &str) -> ServerResponse {
    if !valid_id(id) {
        return ServerResponse::empty(status::NOT_FOUND);
    }
    if let Some(response) = responses::final_state(controller, id) {
        return response;
    }
    if !controller.refresh(REFRESH_TIMEOUT_MS).await {
        return responses::retry_later();
    }
    responses::current_state(controller, id).unwrap_or(ServerResponse::empty(status::NOT_FOUND))
}
