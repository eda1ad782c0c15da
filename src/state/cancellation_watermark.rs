//! Up to which moment this node knows all confirmed cancellations. Pure, no I/O.

use super::units::MonotonicMillis;

/// What another controller last told of the cancellations it knows.
#[derive(Clone, Copy, Debug)]
struct PeerAttestation {
    /// When it was asked; what it knew then, it told.
    requested_at: MonotonicMillis,
    /// The latest at which its process can have begun: it vouches for nothing before.
    process_started: MonotonicMillis,
}

/// Up to which moment the knowledge of confirmed cancellations is complete: every cancellation
/// that any node confirmed to a user before it is known here.
///
/// A confirmation follows a write to the state service, so a read shows all of those before it
/// began, be it this node's or that of another node which passes on what it knows. And a
/// confirmation is made by some node, which knows it from then on; so when every node has told
/// what it knows, nothing from before is missing, unless one of them has restarted since the
/// moment up to which knowledge was complete: what its predecessor confirmed last, it can't tell.
#[derive(Clone, Debug, Default)]
pub struct CancellationWatermark {
    /// Start of this process: what its predecessor confirmed it knows no better than others do.
    process_started: MonotonicMillis,
    complete_until: Option<MonotonicMillis>,
    peers: Vec<Option<PeerAttestation>>,
}

impl CancellationWatermark {
    /// Of a node with this many peers, whose process began then.
    pub fn new(peers: usize, born: MonotonicMillis) -> CancellationWatermark {
        CancellationWatermark {
            process_started: born,
            complete_until: None,
            peers: vec![None; peers],
        }
    }

    /// A read of the records that began then has brought all changes.
    pub fn record_read(&mut self, began: MonotonicMillis) {
        self.complete_until = self.complete_until.max(Some(began));
        self.advance();
    }

    /// A peer that was asked at `asked` has told all unsettled cancellations it knows; its own
    /// knowledge was complete `age_ms` before, and its process has run for `up_ms`.
    pub fn record_attestation(
        &mut self,
        peer: usize,
        asked: MonotonicMillis,
        now: MonotonicMillis,
        up_ms: u64,
        age_ms: Option<u64>,
    ) {
        if let Some(slot) = self.peers.get_mut(peer) {
            // Answers may cross; the later question counts.
            if slot.is_none_or(|v| v.requested_at <= asked) {
                // Whole milliseconds, and clocks that drift: never too early.
                let born = MonotonicMillis(now.0.saturating_sub(up_ms - up_ms / 1000)).plus(2);
                *slot = Some(PeerAttestation {
                    requested_at: asked,
                    process_started: born,
                });
            }
        }
        if let Some(age) = age_ms {
            let age = age.saturating_add(age / 1000 + 1);
            let complete = asked.0.checked_sub(age).map(MonotonicMillis);
            self.complete_until = self
                .complete_until
                .max(complete.filter(|t| *t >= self.process_started));
        }
        self.advance();
    }

    /// Moves on to where all peers have told what they know.
    fn advance(&mut self) {
        let Some(upto) = self.complete_until else {
            return;
        };
        let vouches = |v: &Option<PeerAttestation>| {
            v.filter(|v| v.process_started <= upto)
                .map(|v| v.requested_at)
        };
        let all: Option<Vec<MonotonicMillis>> = self.peers.iter().map(vouches).collect();
        self.complete_until = self
            .complete_until
            .max(all.and_then(|a| a.into_iter().min()));
    }

    /// Up to when knowledge is complete; `None` before the records were read. A node without
    /// peers confirms all that is confirmed, and so always knows it.
    pub fn complete_until(&self, now: MonotonicMillis) -> Option<MonotonicMillis> {
        match (self.complete_until, self.peers.is_empty()) {
            (_, true) => Some(now),
            (upto, false) => upto,
        }
    }

    /// How old the knowledge is.
    pub fn age_ms(&self, now: MonotonicMillis) -> Option<u64> {
        self.complete_until(now).map(|t| now.since(t))
    }
}
