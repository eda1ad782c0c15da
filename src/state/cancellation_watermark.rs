//! The time up to which a controller knows all confirmed cancellations.

use super::units::MonotonicMillis;

/// What a peer's latest answer proves about the cancellations that it confirmed.
#[derive(Clone, Copy, Debug)]
struct PeerAttestation {
    /// When the peer was asked: its answer holds all that it knew at that time.
    requested_at: MonotonicMillis,
    /// Upper bound of its process start: it can't attest anything older.
    process_started: MonotonicMillis,
}

/// The time up to which the known set of confirmed cancellations is complete: every cancellation
/// that any controller confirmed to a user before it is known here.
///
/// A confirmation follows a write to the key-value store, so a read shows all of those before the
/// read began, whether this controller read or a peer that passes on what it knows. And the
/// controller that makes a confirmation knows it from then on. So once every peer has answered,
/// nothing from before the first request is missing, unless a peer has restarted since the time
/// up to which the set was complete: a new process can't know what the one before confirmed last.
#[derive(Clone, Debug, Default)]
pub struct CancellationWatermark {
    /// Start of this process; about the time before, it knows no more than its peers.
    process_started: MonotonicMillis,
    complete_until: Option<MonotonicMillis>,
    peers: Vec<Option<PeerAttestation>>,
}

impl CancellationWatermark {
    /// For a controller with this many peers, whose process started then.
    pub fn new(peers: usize, process_started: MonotonicMillis) -> CancellationWatermark {
        CancellationWatermark {
            process_started,
            complete_until: None,
            peers: vec![None; peers],
        }
    }

    /// Records that a full read of the records has completed, which began then.
    pub fn record_read(&mut self, began: MonotonicMillis) {
        self.complete_until = self.complete_until.max(Some(began));
        self.advance();
    }

    /// Records the answer of a peer that was asked at `requested_at` and has sent all unsettled
    /// cancellations it knows; its own set was complete up to `age_ms` before, and its process
    /// has run for `up_ms`.
    pub fn record_attestation(
        &mut self,
        peer: usize,
        requested_at: MonotonicMillis,
        now: MonotonicMillis,
        up_ms: u64,
        age_ms: Option<u64>,
    ) {
        if let Some(slot) = self.peers.get_mut(peer) {
            // Answers may overtake each other; the latest request counts.
            if slot.is_none_or(|known| known.requested_at <= requested_at) {
                *slot = Some(PeerAttestation {
                    requested_at,
                    process_started: latest_process_start(now, up_ms),
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

    /// Advances to the earliest of the peers' latest attestations, once all peers have one.
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

    /// The time up to which the set is complete; `None` before the records were read. A
    /// controller without peers makes all confirmations itself, and so always knows them.
    pub fn complete_until(&self, now: MonotonicMillis) -> Option<MonotonicMillis> {
        match (self.complete_until, self.peers.is_empty()) {
            (_, true) => Some(now),
            (complete_until, false) => complete_until,
        }
    }

    /// How long ago the set was complete.
    pub fn age_ms(&self, now: MonotonicMillis) -> Option<u64> {
        self.complete_until(now).map(|time| now.since(time))
    }
}

/// Upper bound of the start of a process that has run for `up_ms`. Allows for whole milliseconds
/// and for clock drift: too early a bound would attest what the process before confirmed.
fn latest_process_start(now: MonotonicMillis, up_ms: u64) -> MonotonicMillis {
    let least_up_ms = up_ms - up_ms / 1000;
    MonotonicMillis(now.0.saturating_sub(least_up_ms)).plus(2)
}

/// Lower bound of the time up to which a peer's set was complete, with the same allowance.
fn complete_until_of_peer(requested_at: MonotonicMillis, age_ms: u64) -> Option<MonotonicMillis> {
    let most_age_ms = age_ms.saturating_add(age_ms / 1000 + 1);
    requested_at.0.checked_sub(most_age_ms).map(MonotonicMillis)
}
