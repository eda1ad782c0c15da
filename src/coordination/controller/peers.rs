//! The other controllers: connections to them, and what their status messages said last.
//!
//! [`Peer`] owns the state of one of them. `peer_messages` records what it sends, `cancellations`
//! keeps one exchange of cancellations with it running at most, and health checks ask
//! [`is_cluster_wide_outage`]. All of it is a hint: no decision that must be safe rests on it.

use crate::settings::PeerSettings;
use crate::state::units::MonotonicMillis;
use crate::transport::frames::PeerClient;
use std::cell::Cell;

/// Time after its last status message for which a peer counts as heard: messages come once a second.
const HEARD_RECENTLY_MS: u64 = 4000;
/// First wait before cancellations go again to a peer that closed the connection; it doubles.
const FIRST_RETRY_MS: u64 = 1000;
/// Longest such wait.
const LONGEST_RETRY_MS: u64 = 8000;

/// Another controller.
pub struct Peer {
    /// Name.
    pub name: String,
    /// Connection.
    pub client: PeerClient,
    /// Connection for cancellations, which wait for no other frames.
    pub cancellations_client: PeerClient,
    /// Connection for the streams of shards that it is the standby of.
    pub replication_client: PeerClient,
    cancellation_broadcast: Cell<BroadcastState>,
    cancellation_retry: Cell<RetryDelay>,
    last_status: Cell<Option<MonotonicMillis>>,
    kv_reachable: Cell<bool>,
    connection_refused: Cell<bool>,
    workers_reachable: Cell<bool>,
}

/// Whether a peer is being sent cancellations.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
enum BroadcastState {
    #[default]
    Idle,
    Sending,
    /// Sending, and there is more to send since that began.
    SendingWithMorePending,
}

/// When a peer that closed the connection is tried again.
#[derive(Clone, Copy, Default, Debug)]
struct RetryDelay {
    not_before: MonotonicMillis,
    wait_ms: u64,
}

impl Peer {
    /// A peer that has not been heard yet.
    pub fn new(settings: &PeerSettings) -> Peer {
        Peer {
            name: settings.name.clone(),
            client: PeerClient::new(settings.addr),
            cancellations_client: PeerClient::new(settings.addr),
            replication_client: PeerClient::new(settings.addr),
            cancellation_broadcast: Cell::default(),
            cancellation_retry: Cell::default(),
            last_status: Cell::new(None),
            kv_reachable: Cell::new(false),
            connection_refused: Cell::new(false),
            workers_reachable: Cell::new(true),
        }
    }

    /// Records a status message; true if it changes whether workers reach the peer.
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

    /// Records whether it refused the last connection: if so, it is down and the way to it is open.
    pub fn record_connection_refused(&self, refused: bool) {
        self.connection_refused.set(refused);
    }

    /// When its last status message came.
    pub fn last_status(&self) -> Option<MonotonicMillis> {
        self.last_status.get()
    }

    /// True if a status message came a moment ago.
    pub fn heard_recently(&self, now: MonotonicMillis) -> bool {
        self.last_status
            .get()
            .is_some_and(|last| now.since(last) < HEARD_RECENTLY_MS)
    }

    /// True if workers reach it, by its last status message.
    pub fn workers_reachable(&self) -> bool {
        self.workers_reachable.get()
    }

    /// What is known of it now.
    pub fn observation(&self, now: MonotonicMillis) -> PeerObservation {
        PeerObservation {
            heard_recently: self.heard_recently(now),
            kv_reachable: self.kv_reachable.get(),
            connection_refused: self.connection_refused.get(),
        }
    }

    /// True if an exchange of cancellations should begin now. One that runs already goes on with
    /// what is new instead.
    pub fn begin_cancellation_broadcast(&self, now: MonotonicMillis) -> bool {
        if now < self.cancellation_retry.get().not_before {
            return false;
        }
        let idle = self.cancellation_broadcast.get() == BroadcastState::Idle;
        self.cancellation_broadcast.set(if idle {
            BroadcastState::Sending
        } else {
            BroadcastState::SendingWithMorePending
        });
        idle
    }

    /// True if there is more to send since the exchange that has just ended began.
    pub fn continue_cancellation_broadcast(&self) -> bool {
        let before = self.cancellation_broadcast.replace(BroadcastState::Sending);
        before == BroadcastState::SendingWithMorePending
    }

    /// No exchange of cancellations runs any more.
    pub fn end_cancellation_broadcast(&self) {
        self.cancellation_broadcast.set(BroadcastState::Idle);
    }

    /// An exchange of cancellations was answered.
    pub fn record_cancellation_answer(&self) {
        self.cancellation_retry.set(RetryDelay::default());
    }

    /// An exchange of cancellations failed. A peer that closes the connection may be of a version
    /// that does not know the request and logs a warning for each, so it is asked less and less often.
    pub fn record_cancellation_failure(&self, now: MonotonicMillis, connection_closed: bool) {
        let wait_ms = if connection_closed {
            let doubled = self.cancellation_retry.get().wait_ms * 2;
            doubled.clamp(FIRST_RETRY_MS, LONGEST_RETRY_MS)
        } else {
            0
        };
        self.cancellation_retry.set(RetryDelay {
            not_before: now.plus(wait_ms),
            wait_ms,
        });
    }
}

/// What a controller knows of a peer's state.
#[derive(Clone, Copy, Debug)]
pub struct PeerObservation {
    /// Its last status message came a moment ago.
    pub heard_recently: bool,
    /// It reaches the key-value store, by that message.
    pub kv_reachable: bool,
    /// It refused the last connection.
    pub connection_refused: bool,
}

/// True if a controller that does not reach the key-value store should take requests all the same.
///
/// In an outage of the store every controller fares alike, and being unhealthy helps nobody. One
/// whose peers reach the store, or that hears nothing from any of them, is itself cut off: its
/// users, who would get nothing but refusals from it, have to go elsewhere.
pub fn is_cluster_wide_outage(peers: &[PeerObservation]) -> bool {
    let kv_serves_others = peers
        .iter()
        .any(|peer| peer.heard_recently && peer.kv_reachable);
    let isolated = peers
        .iter()
        .all(|peer| !peer.heard_recently && !peer.connection_refused);
    !kv_serves_others && (peers.is_empty() || !isolated)
}
