//! Calls to the key-value store.
//!
//! [`KvClient`] owns the connections and records when the store last served a call. It never
//! retries: how to react to a failure depends on the caller, and a transaction whose outcome is
//! unknown may still be applied.

use crate::coordination::controller::clock::MonotonicClock;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::kv::{CommitResponse, Lease, LeaseRequest, Transaction, Write};
use crate::state::units::MonotonicMillis;
use crate::transport::http::{Client, ClientResponse};
use crate::transport::TransportError;
use http_types::Method;
use std::cell::Cell;
use std::net::SocketAddr;

/// Timeout of a call other than a watch.
const CALL_TIMEOUT_MS: u64 = 1500;
/// Timeout of a watch, in addition to the time that the store may wait for a change.
const WATCH_TIMEOUT_MARGIN_MS: u64 = 2000;
/// Time for which the store counts as reachable after it last served a call.
const REACHABLE_WINDOW_MS: u64 = 3000;

/// HTTP status codes of the key-value store's responses.
mod status {
    pub const OK: u16 = 200;
    pub const BAD_REQUEST: u16 = 400;
    pub const NOT_FOUND: u16 = 404;
    pub const CONFLICT: u16 = 409;
    pub const TOO_MANY_REQUESTS: u16 = 429;
    pub const UNAVAILABLE: u16 = 503;
}

/// The outcome of a transaction.
#[derive(Debug, PartialEq)]
pub enum CommitOutcome {
    /// The transaction was applied at this revision.
    Committed(u64),
    /// The transaction was not applied, because these keys had other versions than required.
    Conflict(Vec<String>),
    /// The transaction was not applied: the store refused it with this HTTP status, or it was never
    /// sent, which has status 0.
    Refused(u16),
    /// The transaction may have been applied, or may be applied later.
    Unknown,
}

impl CommitOutcome {
    /// The transaction was refused because it is malformed or exceeds a size limit.
    pub const REFUSED_AS_INVALID: CommitOutcome = CommitOutcome::Refused(status::BAD_REQUEST);
    /// The transaction was refused by the store's request rate limit; a retry a moment later may
    /// succeed.
    pub const REFUSED_BY_RATE_LIMIT: CommitOutcome =
        CommitOutcome::Refused(status::TOO_MANY_REQUESTS);
    /// The transaction was not sent, because no connection could be opened.
    const NOT_SENT: CommitOutcome = CommitOutcome::Refused(0);

    fn of_answer(answer: &ClientResponse) -> CommitOutcome {
        let body = rmp_serde::from_slice::<CommitResponse>(&answer.body);
        match (answer.status, body) {
            (status::OK, Ok(committed)) => CommitOutcome::Committed(committed.revision),
            (status::CONFLICT, Ok(committed)) => CommitOutcome::Conflict(committed.failed),
            (
                refusal @ (status::BAD_REQUEST | status::TOO_MANY_REQUESTS | status::UNAVAILABLE),
                _,
            ) => CommitOutcome::Refused(refusal),
            _ => CommitOutcome::Unknown,
        }
    }
}

/// The connections to the key-value store.
pub struct KvClient {
    calls: Client,
    /// Separate connections for long polls, so that these delay no other call.
    watches: Client,
    clock: MonotonicClock,
    last_available: Cell<Option<MonotonicMillis>>,
}

impl KvClient {
    /// Creates a client, which connects at the first call.
    pub fn new(address: SocketAddr, clock: MonotonicClock) -> KvClient {
        KvClient {
            calls: Client::new(address),
            watches: Client::new(address),
            clock,
            last_available: Cell::new(None),
        }
    }

    /// True if the store served a call within the last 3 seconds (`REACHABLE_WINDOW_MS`).
    pub fn is_reachable(&self) -> bool {
        let now = self.clock.now();
        self.last_available
            .get()
            .is_some_and(|last| now.since(last) < REACHABLE_WINDOW_MS)
    }

    fn record_answer(&self, answer: &Result<ClientResponse, TransportError>) {
        if answer
            .as_ref()
            .is_ok_and(|answer| answer.status != status::UNAVAILABLE)
        {
            self.last_available.set(Some(self.clock.now()));
        }
    }

    /// Sends a call, without retries.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<ClientResponse, TransportError> {
        let answer = self.calls.call(method, path, body, CALL_TIMEOUT_MS).await;
        self.record_answer(&answer);
        if answer.is_err() {
            // Connections from before a network partition would hang until the timeout; new ones
            // fail immediately.
            self.calls.close_idle();
        }
        answer
    }

    /// Sends a long poll, which the store answers after `wait_ms` at the latest.
    pub(super) async fn call_watch(
        &self,
        path: &str,
        wait_ms: u64,
    ) -> Result<ClientResponse, TransportError> {
        let timeout_ms = wait_ms + WATCH_TIMEOUT_MARGIN_MS;
        let answer = self
            .watches
            .call(Method::Get, path, Vec::new(), timeout_ms)
            .await;
        self.record_answer(&answer);
        answer
    }

    /// Closes the connections for long polls; to be called after one has failed.
    pub(super) fn reset_watches(&self) {
        self.watches.close_idle();
    }

    /// Sends a transaction, without retries.
    pub async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let Ok(body) = rmp_serde::to_vec_named(transaction) else {
            return CommitOutcome::REFUSED_AS_INVALID;
        };
        match self.call(Method::Post, "/commit", body).await {
            Ok(answer) => CommitOutcome::of_answer(&answer),
            Err(TransportError::Connect { .. }) => CommitOutcome::NOT_SENT,
            Err(_) => CommitOutcome::Unknown,
        }
    }

    /// Renews a lease; false if the store reports that it has expired.
    ///
    /// If the store can't be reached, the result is true: the lease counts as valid until the store
    /// reports otherwise.
    pub async fn renew_lease(&self, lease: u64) -> bool {
        let path = format!("/grants/{lease}/touch");
        let answer = self.call(Method::Post, &path, Vec::new()).await;
        !answer.is_ok_and(|answer| answer.status == status::NOT_FOUND)
    }

    /// Requests a new lease; `None` if the store grants none.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Option<u64> {
        let body = rmp_serde::to_vec_named(&LeaseRequest { ttl_ms }).ok()?;
        let answer = self.call(Method::Post, "/grants", body).await.ok()?;
        let granted = rmp_serde::from_slice::<Lease>(&answer.body).ok()?;
        Some(granted.lease)
    }
}

/// Lowers the observed limits after the store has refused a well-formed transaction, which means
/// that its limits are lower than assumed.
pub(super) fn adapt_limits(config: &SchedulerConfig, transaction: &Transaction) {
    let value_bytes = |write: &Write| match write {
        Write::Set { v, .. } => v.to_string().len(),
        Write::Remove { .. } => 0,
    };
    let largest = transaction
        .writes
        .iter()
        .map(value_bytes)
        .max()
        .unwrap_or(0);
    let changes = transaction.writes.len();
    let before = config.limits_observed.get();
    let after = before.after_refusal(changes, largest);
    if after == before {
        return;
    }
    log::warn!(
        "kv refused a transaction, limits lowered: changes={changes} largest_bytes={largest} \
         max_changes={} max_value_bytes={}",
        after.txn_ops,
        after.value_bytes
    );
    config.limits_observed.set(after);
}
