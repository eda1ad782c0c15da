//! Whether workers reach this controller.
//!
//! Heartbeats and answers of workers are recorded by their handlers; `membership` asks, and hands
//! the shards of a controller over that no worker reaches. Without that, such a controller would
//! keep its key and its shards, and would answer none of their machines until their leases expire.

use crate::state::units::MonotonicMillis;

/// A controller that was unreachable counts as reachable again after this.
const RECOVERY_MS: u64 = 5000;
/// Least time without contact after which a controller counts as unreachable.
const LEAST_LIMIT_MS: u64 = 3000;

/// Whether workers reach a controller, by the last heartbeat or answer of any worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerReachability {
    /// The last sign of any worker.
    last_contact: MonotonicMillis,
    /// Since when there have been workers to hear from.
    workers_since: Option<MonotonicMillis>,
    /// When the controller was last found unreachable.
    unreachable_at: Option<MonotonicMillis>,
    /// Time without contact after which it is.
    limit_ms: u64,
}

impl WorkerReachability {
    /// A third of a lease leaves time to hand shards over and to be found by the workers.
    pub fn new(lease_ms: u64) -> WorkerReachability {
        WorkerReachability {
            last_contact: MonotonicMillis(0),
            workers_since: None,
            unreachable_at: None,
            limit_ms: (lease_ms / 3).max(LEAST_LIMIT_MS),
        }
    }

    /// A worker has sent a heartbeat or answered.
    pub fn record_contact(&mut self, now: MonotonicMillis) {
        self.last_contact = self.last_contact.max(now);
    }

    /// True if workers should be asked for an answer: none has come for a while.
    pub fn probe_needed(&self, now: MonotonicMillis) -> bool {
        now.since(self.last_contact) > self.limit_ms / 2
    }

    /// True if workers reach the controller, and have for a moment; `any_workers`: there are some
    /// to hear from.
    pub fn update(
        &mut self,
        any_workers: bool,
        resumed_at: Option<MonotonicMillis>,
        now: MonotonicMillis,
    ) -> bool {
        self.workers_since = any_workers.then(|| self.workers_since.unwrap_or(now));
        let silent_since = self
            .workers_since
            .max(resumed_at)
            .map(|t| t.max(self.last_contact));
        if any_workers && silent_since.is_some_and(|t| now.since(t) > self.limit_ms) {
            self.unreachable_at = Some(now);
        }
        self.is_reachable(now)
    }

    /// True if workers reach the controller, by the last update.
    pub fn is_reachable(&self, now: MonotonicMillis) -> bool {
        self.unreachable_at
            .is_none_or(|unreachable_at| now.since(unreachable_at) > RECOVERY_MS)
    }
}
