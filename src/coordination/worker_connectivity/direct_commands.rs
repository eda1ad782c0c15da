//! HTTP requests to a worker: status queries and direct commands.

use crate::protocol::workers::{DirectCommands, Heartbeat};
use crate::transport::http::{Client, ClientResponse};
use http_types::Method;

/// Timeout of a request to a worker.
const RESPONSE_TIMEOUT_MS: u64 = 1500;

/// A worker that has responded to a status query, with any status code.
pub(crate) struct RespondingWorker {
    client: Client,
    response: ClientResponse,
}

/// Queries the status of the worker at an address; `None` if the address is invalid or there is no
/// response of any kind.
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

    /// Sends direct commands. The response is ignored, because its order relative to the worker's
    /// heartbeats is unknown, so the response proves nothing about the worker's tasks.
    pub(crate) async fn send(&self, commands: &DirectCommands) {
        if let Ok(body) = rmp_serde::to_vec_named(commands) {
            let sent = self
                .client
                .call(Method::Post, "/commands", body, RESPONSE_TIMEOUT_MS);
            let _ = sent.await;
        }
    }
}
