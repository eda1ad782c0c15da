//! Whether workers reach this controller.
//!
//! The handlers record heartbeats and responses of workers. `membership` checks the result, and
//! moves shards away from a controller that no worker reaches. Otherwise such a controller would
//! keep its key and its shards, and the workers of its shards would get no response until their
//! leases expire.

use crate::state::units::MonotonicMillis;

/// Time for which a controller still counts as unreachable after the last update that found no
/// recent contact.
const RECOVERY_MS: u64 = 5000;
/// Lower bound of the time without contact after which a controller counts as unreachable.
const MIN_SILENCE_LIMIT_MS: u64 = 3000;

/// Whether workers reach a controller, judged by the last heartbeat or response of any worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerReachability {
    /// When any worker last sent a heartbeat or a response.
    last_contact: MonotonicMillis,
    /// Since when there have been workers that should be in contact; `None` while there are none.
    workers_since: Option<MonotonicMillis>,
    /// When an update last found the controller unreachable.
    unreachable_at: Option<MonotonicMillis>,
    /// Time without contact after which the controller counts as unreachable.
    silence_limit_ms: u64,
}

impl WorkerReachability {
    /// A controller that is reachable. Its silence limit is a third of the workers' lease, but at
    /// least 3 s (`MIN_SILENCE_LIMIT_MS`). The rest of the lease is enough to move the shards and
    /// for the workers to find the new owner.
    pub fn new(lease_ms: u64) -> WorkerReachability {
        WorkerReachability {
            last_contact: MonotonicMillis(0),
            workers_since: None,
            unreachable_at: None,
            silence_limit_ms: (lease_ms / 3).max(MIN_SILENCE_LIMIT_MS),
        }
    }

    /// Records that a worker has sent a heartbeat or a response.
    pub fn record_contact(&mut self, now: MonotonicMillis) {
        self.last_contact = self.last_contact.max(now);
    }

    /// True if workers should be probed: there has been no contact for half of the limit.
    pub fn probe_needed(&self, now: MonotonicMillis) -> bool {
        now.since(self.last_contact) > self.silence_limit_ms / 2
    }

    /// Updates the state; true if workers reach the controller and have done so for
    /// `RECOVERY_MS`. `any_workers` says whether there are workers that should be in contact, and
    /// `resumed_at` when the process resumed after its last pause.
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
        if any_workers && silent_since.is_some_and(|t| now.since(t) > self.silence_limit_ms) {
            self.unreachable_at = Some(now);
        }
        self.is_reachable(now)
    }

    /// True if workers reach the controller, as of the last update.
    pub fn is_reachable(&self, now: MonotonicMillis) -> bool {
        self.unreachable_at
            .is_none_or(|unreachable_at| now.since(unreachable_at) > RECOVERY_MS)
    }
}
