//! HTTP/1.1 server and client with MessagePack bodies.

mod client;
mod message;
mod reception;
mod request_body;
mod request_reading;
mod server;

pub use client::{Client, ClientResponse};
pub use request_body::{IncompleteBody, IncompleteReason, MAX_BODY_BYTES};
pub use server::{listen, serve, serve_prioritized, ServerLimits, ServerRequest, ServerResponse};

/// A random delay between half of `ms` and one and a half times `ms`, in ms, so that controllers do
/// not retry in lockstep.
pub fn jittered(ms: u64) -> u64 {
    ms / 2 + fastrand::u64(0..=ms.max(1))
}
