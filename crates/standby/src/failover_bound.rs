//! How long a failover may take, by the times of a deployment.

/// Time within which a failover should be over, ms.
pub const GOAL_MS: u64 = 10_000;

/// The terms of the time from the last sign of life of an owner to the first decision of the next.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FailoverBound {
    /// Until the key-value store ends the owner's membership.
    pub lease_ms: u64,
    /// Until the standby sees that: a notification, and the next round of its background task.
    pub detection_ms: u64,
    /// Until the transaction that raises the fencing token is answered.
    pub fence_ms: u64,
    /// Until all records are known as of that transaction.
    pub catch_up_ms: u64,
    /// Until the first worker has shown the new fencing token.
    pub first_heartbeat_ms: u64,
    /// The same if the lost owner hangs instead of refusing connections: a heartbeat that was sent
    /// to it has to time out first.
    pub first_heartbeat_after_hang_ms: u64,
}

impl FailoverBound {
    fn until_caught_up_ms(&self) -> u64 {
        self.lease_ms + self.detection_ms + self.fence_ms + self.catch_up_ms
    }

    /// Sum of all terms for an owner whose process has ended.
    pub fn total_ms(&self) -> u64 {
        self.until_caught_up_ms() + self.first_heartbeat_ms
    }

    /// Sum of all terms for an owner that hangs or is cut off.
    pub fn total_after_hang_ms(&self) -> u64 {
        self.until_caught_up_ms() + self.first_heartbeat_after_hang_ms
    }

    /// True if the sum is within the goal.
    pub fn meets_goal(&self) -> bool {
        self.total_ms() <= GOAL_MS
    }
}

impl std::fmt::Display for FailoverBound {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} ms ({} ms if the lost controller hangs): lease {}, detection {}, fence {}, \
             catch-up {}, first heartbeat {} ({})",
            self.total_ms(),
            self.total_after_hang_ms(),
            self.lease_ms,
            self.detection_ms,
            self.fence_ms,
            self.catch_up_ms,
            self.first_heartbeat_ms,
            self.first_heartbeat_after_hang_ms
        )
    }
}
