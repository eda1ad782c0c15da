//! The time up to which a controller knows all confirmed cancellations.

use super::units::MonotonicMillis;

/// What a peer's latest response proves about the cancellations that the peer confirmed.
#[derive(Clone, Copy, Debug)]
struct PeerAttestation {
    /// When the request was sent: the response holds all that the peer knew at that time.
    requested_at: MonotonicMillis,
    /// Upper bound of the start of the peer's process, which can't attest anything older.
    process_started: MonotonicMillis,
}

/// The time up to which the known set of confirmed cancellations is complete: every cancellation
/// that any controller confirmed to a user before it is known here.
///
/// A cancellation is confirmed only after it has been written to the key-value store. A full read
/// therefore shows all cancellations confirmed before it began, whether this controller read or a
/// peer that passes on what it knows. The controller that confirms a cancellation knows it from
/// then on. So once every peer has responded, no cancellation confirmed before the first request is
/// missing, unless a peer has restarted since the time up to which the set was complete: its new
/// process can't know what the previous one confirmed last.
#[derive(Clone, Debug, Default)]
pub struct CancellationWatermark {
    /// Start of this process, which can't know what its predecessor confirmed: a peer's set counts
    /// only if it was complete at that time.
    process_started: MonotonicMillis,
    complete_until: Option<MonotonicMillis>,
    peers: Vec<Option<PeerAttestation>>,
}

impl CancellationWatermark {
    /// The watermark of a controller with `peers` peers whose process started at `process_started`.
    pub fn new(peers: usize, process_started: MonotonicMillis) -> CancellationWatermark {
        CancellationWatermark {
            process_started,
            complete_until: None,
            peers: vec![None; peers],
        }
    }

    /// Records that a full read of the records, which began at `began`, has completed.
    pub fn record_read(&mut self, began: MonotonicMillis) {
        self.complete_until = self.complete_until.max(Some(began));
        self.advance();
    }

    /// Records a peer's response to a request sent at `requested_at`. The response holds all
    /// unsettled cancellations that the peer knows; the peer's own set was complete up to `age_ms`
    /// before, and its process has run for `uptime_ms`.
    pub fn record_attestation(
        &mut self,
        peer: usize,
        requested_at: MonotonicMillis,
        now: MonotonicMillis,
        uptime_ms: u64,
        age_ms: Option<u64>,
    ) {
        if let Some(slot) = self.peers.get_mut(peer) {
            // Responses may arrive out of order; the response to the latest request counts.
            if slot.is_none_or(|known| known.requested_at <= requested_at) {
                *slot = Some(PeerAttestation {
                    requested_at,
                    process_started: latest_process_start(now, uptime_ms),
                });
            }
        }
        if let Some(age_ms) = age_ms {
            let peer_complete_until = complete_until_of_peer(requested_at, age_ms);
            let usable = peer_complete_until.filter(|time| *time >= self.process_started);
            self.complete_until = self.complete_until.max(usable);
        }
        self.advance();
    }

    /// Advances the watermark to the earliest of the peers' latest attestations, once all peers
    /// have made one.
    fn advance(&mut self) {
        let Some(complete_until) = self.complete_until else {
            return;
        };
        let attested = |peer: &Option<PeerAttestation>| {
            peer.filter(|peer| peer.process_started <= complete_until)
                .map(|peer| peer.requested_at)
        };
        let by_peer: Option<Vec<MonotonicMillis>> = self.peers.iter().map(attested).collect();
        let earliest = by_peer.and_then(|times| times.into_iter().min());
        self.complete_until = self.complete_until.max(earliest);
    }

    /// The time up to which the set is complete; `None` before the first full read of the records.
    /// A controller without peers makes all confirmations itself, and so always knows them all.
    pub fn complete_until(&self, now: MonotonicMillis) -> Option<MonotonicMillis> {
        match (self.complete_until, self.peers.is_empty()) {
            (_, true) => Some(now),
            (complete_until, false) => complete_until,
        }
    }

    /// Time since the set was last known to be complete, ms; `None` before the first full read of
    /// the records.
    pub fn age_ms(&self, now: MonotonicMillis) -> Option<u64> {
        self.complete_until(now).map(|time| now.since(time))
    }
}

/// Upper bound of the start of a process that has run for `uptime_ms`. It allows for rounding to
/// whole milliseconds and for a clock drift of 0.1 %: with a bound that is too early, the peer
/// would attest cancellations that its previous process confirmed.
fn latest_process_start(now: MonotonicMillis, uptime_ms: u64) -> MonotonicMillis {
    let min_uptime_ms = uptime_ms - uptime_ms / 1000;
    MonotonicMillis(now.0.saturating_sub(min_uptime_ms)).plus(2)
}

/// Lower bound of the time up to which a peer's set was complete, with the same allowance.
fn complete_until_of_peer(requested_at: MonotonicMillis, age_ms: u64) -> Option<MonotonicMillis> {
    let max_age_ms = age_ms.saturating_add(age_ms / 1000 + 1);
    requested_at.0.checked_sub(max_age_ms).map(MonotonicMillis)
}
