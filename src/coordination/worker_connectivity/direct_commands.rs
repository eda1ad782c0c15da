//! Requests to a worker: its status, and direct commands.

use crate::protocol::workers::{DirectCommands, Heartbeat};
use crate::transport::http::{Client, ClientResponse};
use http_types::Method;

/// Time that a worker has to respond.
const RESPONSE_TIMEOUT_MS: u64 = 1500;

/// A worker that has responded to a request for its status.
pub(crate) struct RespondingWorker {
    client: Client,
    response: ClientResponse,
}

/// Asks the worker at an address for its status; `None` if there is no response of any kind.
pub(crate) async fn fetch_status(addr: &str) -> Option<RespondingWorker> {
    let client = Client::new(addr.parse().ok()?);
    let response = client
        .call(Method::Get, "/status", Vec::new(), RESPONSE_TIMEOUT_MS)
        .await
        .ok()?;
    Some(RespondingWorker { client, response })
}

impl RespondingWorker {
    /// True if the response was a success.
    pub(crate) fn is_ok(&self) -> bool {
        self.response.status == 200
    }

    /// The status, which has the form of a heartbeat; `None` if it is malformed.
    pub(crate) fn status(&self) -> Option<Heartbeat> {
        rmp_serde::from_slice(&self.response.body).ok()
    }

    /// Sends direct commands. The response proves nothing and is dropped: its order relative to
    /// the worker's heartbeats is unknown.
    pub(crate) async fn send(&self, commands: &DirectCommands) {
        if let Ok(body) = rmp_serde::to_vec_named(commands) {
            let sent = self
                .client
                .call(Method::Post, "/commands", body, RESPONSE_TIMEOUT_MS);
            let _ = sent.await;
        }
    }
}
