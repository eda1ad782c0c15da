//! Upper bound of the duration of a failover, from the timeouts of a deployment.

/// Goal for the duration of a failover, ms.
pub const GOAL_MS: u64 = 10_000;

/// Upper bounds of the phases of a failover, from the owner's last contact to the first decision
/// of the next owner.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FailoverBound {
    /// Time until the key-value store expires the owner's lease, ms.
    pub lease_ms: u64,
    /// Time until the standby detects the expiry, ms: a notification and the next round of its
    /// background task.
    pub detection_ms: u64,
    /// Time until the transaction that raises the fencing token is answered, ms.
    pub fence_ms: u64,
    /// Time until the new owner has read all records up to the revision of that transaction, ms.
    pub catch_up_ms: u64,
    /// Time until a worker sends the first heartbeat with the new fencing token, ms.
    pub first_heartbeat_ms: u64,
    /// Time until a worker sends the first heartbeat with the new fencing token if the lost owner
    /// hangs instead of refusing connections, ms: the heartbeat that the worker sent to the lost
    /// owner has to time out first.
    pub first_heartbeat_after_hang_ms: u64,
}

impl FailoverBound {
    fn until_caught_up_ms(&self) -> u64 {
        self.lease_ms + self.detection_ms + self.fence_ms + self.catch_up_ms
    }

    /// Duration of a failover from an owner whose process has ended, ms.
    pub fn total_ms(&self) -> u64 {
        self.until_caught_up_ms() + self.first_heartbeat_ms
    }

    /// Duration of a failover from an owner that hangs or is partitioned, ms.
    pub fn total_after_hang_ms(&self) -> u64 {
        self.until_caught_up_ms() + self.first_heartbeat_after_hang_ms
    }

    /// True if a failover from an owner whose process has ended takes [`GOAL_MS`] at most.
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
