//! HTTP/1.1 with MessagePack bodies, server and client.

mod client;
mod message;
mod request_reading;
mod server;

pub use client::{Client, ClientResponse};
pub use server::{listen, serve, serve_prioritized, ServerRequest, ServerResponse, MAX_BODY_BYTES};

/// A length for a pause, in ms, a little random so that controllers do not act in step.
pub fn jittered(ms: u64) -> u64 {
    ms / 2 + fastrand::u64(0..=ms.max(1))
}
