//! Calls to the key-value store.
//!
//! [`KvClient`] owns the connections and knows when the store last served. Each call is sent once:
//! what to do about a failure depends on the caller, and a transaction whose outcome is unknown may
//! still be applied.

use crate::coordination::controller::clock::MonotonicClock;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::kv::{Committed, Lease, LeaseRequest, Transaction, Write};
use crate::state::units::MonotonicMillis;
use crate::transport::http::{Client, ClientResponse};
use crate::transport::TransportError;
use http_types::Method;
use std::cell::Cell;
use std::net::SocketAddr;

/// Time for a call.
const CALL_MS: u64 = 1500;
/// Time for the answer to a watch, beyond the time it may wait for a change.
const WATCH_MARGIN_MS: u64 = 2000;
/// Time after the last served call for which the store counts as reachable.
const REACHABLE_MS: u64 = 3000;

/// Statuses of the key-value store's answers.
mod status {
    pub const OK: u16 = 200;
    pub const BAD_REQUEST: u16 = 400;
    pub const NOT_FOUND: u16 = 404;
    pub const CONFLICT: u16 = 409;
    pub const TOO_MANY_REQUESTS: u16 = 429;
    pub const UNAVAILABLE: u16 = 503;
}

/// How a transaction ended.
#[derive(Debug, PartialEq)]
pub enum CommitOutcome {
    /// Applied at this revision.
    Committed(u64),
    /// Nothing applied: these keys had other versions.
    Conflict(Vec<String>),
    /// Nothing applied, with the status of the refusal.
    Refused(u16),
    /// Nothing is known: it may be applied, even later.
    Unknown,
}

impl CommitOutcome {
    /// Refused as malformed, or for its size.
    pub const REFUSED_AS_INVALID: CommitOutcome = CommitOutcome::Refused(status::BAD_REQUEST);
    /// Refused since too many requests came; one sent a moment later may not be.
    pub const REFUSED_BY_RATE_LIMIT: CommitOutcome =
        CommitOutcome::Refused(status::TOO_MANY_REQUESTS);
    /// Never sent: no connection.
    const NOT_SENT: CommitOutcome = CommitOutcome::Refused(0);

    fn of_answer(answer: &ClientResponse) -> CommitOutcome {
        let body = rmp_serde::from_slice::<Committed>(&answer.body);
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
    /// Long polls have connections of their own, which hold back no other call.
    watches: Client,
    clock: MonotonicClock,
    last_available: Cell<Option<MonotonicMillis>>,
}

impl KvClient {
    /// A client that is not connected yet.
    pub fn new(address: SocketAddr, clock: MonotonicClock) -> KvClient {
        KvClient {
            calls: Client::new(address),
            watches: Client::new(address),
            clock,
            last_available: Cell::new(None),
        }
    }

    /// True if the store served a call a moment ago.
    pub fn is_reachable(&self) -> bool {
        let now = self.clock.now();
        self.last_available
            .get()
            .is_some_and(|last| now.since(last) < REACHABLE_MS)
    }

    fn record_answer(&self, answer: &Result<ClientResponse, TransportError>) {
        if answer
            .as_ref()
            .is_ok_and(|answer| answer.status != status::UNAVAILABLE)
        {
            self.last_available.set(Some(self.clock.now()));
        }
    }

    /// One call, sent once.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<ClientResponse, TransportError> {
        let answer = self.calls.call(method, path, body, CALL_MS).await;
        self.record_answer(&answer);
        if answer.is_err() {
            // Connections kept from before a network partition hang; new ones fail at once.
            self.calls.close_idle();
        }
        answer
    }

    /// One long poll, answered after `wait_ms` at the latest.
    pub(super) async fn call_watch(
        &self,
        path: &str,
        wait_ms: u64,
    ) -> Result<ClientResponse, TransportError> {
        let timeout_ms = wait_ms + WATCH_MARGIN_MS;
        let answer = self
            .watches
            .call(Method::Get, path, Vec::new(), timeout_ms)
            .await;
        self.record_answer(&answer);
        answer
    }

    /// Drops the connections of long polls after a failed one.
    pub(super) fn reset_watches(&self) {
        self.watches.close_idle();
    }

    /// One transaction, sent once.
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

    /// Renews a lease; false if the store says that it has expired. One that could not be asked
    /// leaves the lease in force until it says otherwise.
    pub async fn renew_lease(&self, lease: u64) -> bool {
        let path = format!("/grants/{lease}/touch");
        let answer = self.call(Method::Post, &path, Vec::new()).await;
        !answer.is_ok_and(|answer| answer.status == status::NOT_FOUND)
    }

    /// Takes a new lease.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Option<u64> {
        let body = rmp_serde::to_vec_named(&LeaseRequest { ttl_ms }).ok()?;
        let answer = self.call(Method::Post, "/grants", body).await.ok()?;
        let granted = rmp_serde::from_slice::<Lease>(&answer.body).ok()?;
        Some(granted.lease)
    }
}

/// Takes the refusal of a transaction that is well formed as a sign of a smaller limit.
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
