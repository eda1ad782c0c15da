//! Responses to requests whose body did not arrive as a whole.
//!
//! `job_api` calls [`respond`] before it looks at the endpoint. Invariant: what was not received
//! proves nothing about the request, so its sender is told to repeat it; 400, after which a sender
//! gives up, is for a malformed transfer encoding alone.

use super::responses::{self, status};
use crate::coordination::controller::Controller;
use crate::coordination::event_counts::CountedEvent;
use crate::transport::http::{IncompleteBody, IncompleteReason, ServerResponse};

/// Counts and logs a request that ended before its body was complete, and responds to it.
pub(super) fn respond(
    controller: &Controller,
    path: &str,
    body: &IncompleteBody,
) -> ServerResponse {
    let (event, response) = match body.reason {
        IncompleteReason::TimedOut => (
            CountedEvent::BodyTimedOut,
            responses::retry_after(status::REQUEST_TIMEOUT),
        ),
        IncompleteReason::ConnectionEnded => (
            CountedEvent::BodyCutOff,
            responses::retry_after(status::REQUEST_TIMEOUT),
        ),
        IncompleteReason::TooLarge => (
            CountedEvent::BodyTooLarge,
            responses::retry_after(status::PAYLOAD_TOO_LARGE),
        ),
        IncompleteReason::MalformedEncoding => (
            CountedEvent::BodyMalformed,
            ServerResponse::empty(status::BAD_REQUEST),
        ),
    };
    controller.events.add(event, 1);
    log::debug!(
        "request body incomplete: path={path:?} reason={:?} received_bytes={} expected_bytes={} \
         elapsed_ms={} status={}",
        body.reason.to_string(),
        body.received_bytes,
        body.expected_bytes
            .map_or("unknown".to_string(), |bytes| bytes.to_string()),
        body.elapsed_ms,
        response.status
    );
    response
}
