//! Reception of a request's body: as a whole, or not at all.
//!
//! The server reads each body with [`read_body`] before it passes the request to its handler.
//! Invariant: the bytes of a body that did not arrive as a whole are never passed on, so that no
//! handler takes a part of a request for the request.

use crate::transport::within;
use futures_lite::AsyncReadExt;
use http_types::Request;
use std::io::{Error, ErrorKind};
use std::time::Instant;

/// Longest time to receive the body of a request, ms.
const BODY_TIMEOUT_MS: u64 = 4000;
/// Maximum size of a request body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Number of bytes that are read at once.
const READ_BYTES: usize = 4096;

/// Why a body was not received as a whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum IncompleteReason {
    /// The body did not arrive in time.
    #[error("timed out")]
    TimedOut,
    /// The connection ended before the body did.
    #[error("connection ended")]
    ConnectionEnded,
    /// The body is larger than [`MAX_BODY_BYTES`].
    #[error("too large")]
    TooLarge,
    /// The body's transfer encoding is malformed.
    #[error("malformed encoding")]
    MalformedEncoding,
}

/// A body that was not received as a whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct IncompleteBody {
    /// Why the rest is missing.
    pub reason: IncompleteReason,
    /// Bytes of the body that were received.
    pub received_bytes: usize,
    /// Length of the body according to the request's head; `None` for a body in chunks.
    pub expected_bytes: Option<usize>,
    /// Time spent on receiving the body, ms.
    pub elapsed_ms: u64,
}

/// Reads the body of a request.
pub(super) async fn read_body(request: &mut Request) -> Result<Vec<u8>, IncompleteBody> {
    let began = Instant::now();
    let expected_bytes = request.len();
    let mut bytes = Vec::new();
    let reading = read_all(request, expected_bytes, &mut bytes);
    let result = within(BODY_TIMEOUT_MS, reading).await;
    match result.unwrap_or(Err(IncompleteReason::TimedOut)) {
        Ok(()) => Ok(bytes),
        Err(reason) => Err(IncompleteBody {
            reason,
            received_bytes: bytes.len(),
            expected_bytes,
            elapsed_ms: began.elapsed().as_millis() as u64,
        }),
    }
}

/// Reads until the end of the body into `bytes`.
async fn read_all(
    request: &mut Request,
    expected_bytes: Option<usize>,
    bytes: &mut Vec<u8>,
) -> Result<(), IncompleteReason> {
    if expected_bytes.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(IncompleteReason::TooLarge);
    }
    bytes.reserve_exact(expected_bytes.unwrap_or(0));
    let mut body = request.take_body();
    let mut buffer = [0; READ_BYTES];
    loop {
        let read = body.read(&mut buffer).await;
        let count = read.map_err(|error| reason_of(&error))?;
        if count == 0 {
            break;
        }
        if bytes.len() + count > MAX_BODY_BYTES {
            return Err(IncompleteReason::TooLarge);
        }
        reserve(bytes, count);
        bytes.extend_from_slice(&buffer[..count]);
    }
    // The HTTP library takes the end of the connection for the end of a body with a length.
    if expected_bytes.is_some_and(|length| bytes.len() < length) {
        return Err(IncompleteReason::ConnectionEnded);
    }
    Ok(())
}

/// Reserves space for `count` more bytes: twice the space as often as needed, but never more than
/// the largest body takes.
fn reserve(bytes: &mut Vec<u8>, count: usize) {
    if bytes.capacity() - bytes.len() < count {
        let doubled = (bytes.capacity() * 2).min(MAX_BODY_BYTES);
        let capacity = doubled.max(bytes.len() + count);
        bytes.reserve_exact(capacity - bytes.len());
    }
}

fn reason_of(error: &Error) -> IncompleteReason {
    match error.kind() {
        ErrorKind::InvalidData => IncompleteReason::MalformedEncoding,
        _ => IncompleteReason::ConnectionEnded,
    }
}
