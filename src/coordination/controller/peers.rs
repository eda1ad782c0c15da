//! The other controllers: connections to them, and the contents of their last status updates.
//!
//! [`Peer`] holds the state of one peer. `peer_messages` records its status updates,
//! `cancellations` runs at most one exchange of cancellations with it at a time, and health checks
//! call [`is_cluster_wide_outage`]. This state is advisory: no decision depends on it for safety.

use crate::settings::PeerSettings;
use crate::state::units::MonotonicMillis;
use crate::transport::frames::PeerClient;
use std::cell::Cell;

/// Age up to which a peer's last status update counts as recent. Peers send one each second.
const RECENT_STATUS_MS: u64 = 4000;
/// Initial delay before cancellations are sent again to a peer that closed the connection. The
/// delay doubles with each failure.
const INITIAL_RETRY_DELAY_MS: u64 = 1000;
/// Maximum delay before cancellations are sent again to a peer that closed the connection.
const MAX_RETRY_DELAY_MS: u64 = 8000;

/// Another controller.
pub struct Peer {
    /// Name of the controller.
    pub name: String,
    /// Connection for status updates and other requests.
    pub client: PeerClient,
    /// Connection for cancellations only, so that no cancellation waits for other frames.
    pub cancellations_client: PeerClient,
    /// Connection for the streams of shards whose standby the peer is.
    pub replication_client: PeerClient,
    cancellation_exchange: Cell<ExchangeState>,
    cancellation_retry: Cell<RetryDelay>,
    last_status: Cell<Option<MonotonicMillis>>,
    kv_reachable: Cell<bool>,
    connection_refused: Cell<bool>,
    workers_reachable: Cell<bool>,
}

/// State of the exchange of cancellations with a peer.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
enum ExchangeState {
    #[default]
    Idle,
    Running,
    /// An exchange is running, and new cancellations have arrived since it began.
    RunningWithMorePending,
}

/// Delay before cancellations are sent again to a peer that closed the connection.
#[derive(Clone, Copy, Default, Debug)]
struct RetryDelay {
    not_before: MonotonicMillis,
    wait_ms: u64,
}

impl Peer {
    /// A peer that has sent no status update yet.
    pub fn new(settings: &PeerSettings) -> Peer {
        Peer {
            name: settings.name.clone(),
            client: PeerClient::new(settings.addr),
            cancellations_client: PeerClient::new(settings.addr),
            replication_client: PeerClient::new(settings.addr),
            cancellation_exchange: Cell::default(),
            cancellation_retry: Cell::default(),
            last_status: Cell::new(None),
            kv_reachable: Cell::new(false),
            connection_refused: Cell::new(false),
            workers_reachable: Cell::new(true),
        }
    }

    /// Records a status update; true if it changes whether workers reach the peer.
    pub fn record_status(
        &self,
        now: MonotonicMillis,
        kv_reachable: bool,
        workers_reachable: bool,
    ) -> bool {
        self.last_status.set(Some(now));
        self.kv_reachable.set(kv_reachable);
        self.workers_reachable.replace(workers_reachable) != workers_reachable
    }

    /// Records whether the peer refused the last connection. If it did, its process is down, but
    /// the network path to it works.
    pub fn record_connection_refused(&self, refused: bool) {
        self.connection_refused.set(refused);
    }

    /// When the peer's last status update was received; `None` if there was none.
    pub fn last_status(&self) -> Option<MonotonicMillis> {
        self.last_status.get()
    }

    /// True if the peer's last status update is recent.
    pub fn has_recent_status(&self, now: MonotonicMillis) -> bool {
        self.last_status
            .get()
            .is_some_and(|last| now.since(last) < RECENT_STATUS_MS)
    }

    /// True if workers reach the peer, according to its last status update; true before the first.
    pub fn workers_reachable(&self) -> bool {
        self.workers_reachable.get()
    }

    /// Observation of the peer at a time.
    pub fn observation(&self, now: MonotonicMillis) -> PeerObservation {
        PeerObservation {
            has_recent_status: self.has_recent_status(now),
            kv_reachable: self.kv_reachable.get(),
            connection_refused: self.connection_refused.get(),
        }
    }

    /// Requests an exchange of cancellations with the peer; true if the caller should begin it now.
    ///
    /// During the retry delay the request is ignored. While an exchange is running, another one
    /// follows it, with the new cancellations.
    pub fn begin_cancellation_exchange(&self, now: MonotonicMillis) -> bool {
        if now < self.cancellation_retry.get().not_before {
            return false;
        }
        let idle = self.cancellation_exchange.get() == ExchangeState::Idle;
        self.cancellation_exchange.set(if idle {
            ExchangeState::Running
        } else {
            ExchangeState::RunningWithMorePending
        });
        idle
    }

    /// True if another exchange was requested while the one that has just ended was running, so
    /// that the caller should begin the next one.
    pub fn continue_cancellation_exchange(&self) -> bool {
        let before = self.cancellation_exchange.replace(ExchangeState::Running);
        before == ExchangeState::RunningWithMorePending
    }

    /// Records that no exchange of cancellations is running any more.
    pub fn end_cancellation_exchange(&self) {
        self.cancellation_exchange.set(ExchangeState::Idle);
    }

    /// Records that the peer responded to an exchange of cancellations. Resets the retry delay.
    pub fn record_cancellation_response(&self) {
        self.cancellation_retry.set(RetryDelay::default());
    }

    /// Records that an exchange of cancellations failed.
    ///
    /// A peer that closes the connection may run a version that doesn't support the request and
    /// logs a warning for each, so the exchange is retried with an increasing delay. After other
    /// failures, the next round of the background task retries it.
    pub fn record_cancellation_failure(&self, now: MonotonicMillis, connection_closed: bool) {
        let wait_ms = if connection_closed {
            let doubled = self.cancellation_retry.get().wait_ms * 2;
            doubled.clamp(INITIAL_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS)
        } else {
            0
        };
        self.cancellation_retry.set(RetryDelay {
            not_before: now.plus(wait_ms),
            wait_ms,
        });
    }
}

/// The state of a peer as observed by this controller.
#[derive(Clone, Copy, Debug)]
pub struct PeerObservation {
    /// Whether the peer's last status update is recent.
    pub has_recent_status: bool,
    /// Whether the peer reaches the key-value store, according to its last status update.
    pub kv_reachable: bool,
    /// Whether the peer refused the last connection.
    pub connection_refused: bool,
}

/// True if a controller that doesn't reach the key-value store should accept requests nevertheless.
///
/// In an outage of the store all controllers are equally affected, and reporting itself unhealthy
/// would help no user. But a controller whose peers reach the store, or that has no contact with
/// any peer, is itself partitioned. It could only refuse requests, so users should be directed to
/// another controller.
pub fn is_cluster_wide_outage(peers: &[PeerObservation]) -> bool {
    let kv_serves_others = peers
        .iter()
        .any(|peer| peer.has_recent_status && peer.kv_reachable);
    let isolated = peers
        .iter()
        .all(|peer| !peer.has_recent_status && !peer.connection_refused);
    !kv_serves_others && (peers.is_empty() || !isolated)
}
