//! Requests whose body did not arrive as a whole.

use crate::coordination::controller::Controller;
use crate::coordination::event_counts::CountedEvent;
use crate::transport::http::{IncompleteBody, IncompleteReason};

/// Counts and logs a request that ended before its body was complete.
pub(super) fn record(controller: &Controller, path: &str, body: &IncompleteBody) {
    let event = match body.reason {
        IncompleteReason::TimedOut => CountedEvent::BodyTimedOut,
        IncompleteReason::ConnectionEnded => CountedEvent::BodyCutOff,
        IncompleteReason::TooLarge => CountedEvent::BodyTooLarge,
        IncompleteReason::MalformedEncoding => CountedEvent::BodyMalformed,
    };
    controller.events.add(event, 1);
    log::debug!(
        "request body incomplete: path={path:?} reason={:?} received_bytes={} expected_bytes={} \
         elapsed_ms={}",
        body.reason.to_string(),
        body.received_bytes,
        body.expected_bytes
            .map_or("unknown".to_string(), |bytes| bytes.to_string()),
        body.elapsed_ms
    );
}
