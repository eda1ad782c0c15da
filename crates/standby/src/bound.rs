//! How long a takeover may take, by the times of a deployment.

/// Time within which a takeover should be over, ms.
pub const GOAL_MS: u64 = 10_000;

/// The terms of the time from the last sign of life of an owner to the first decision of the next.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TakeoverBound {
    /// Until the state service ends the owner's membership.
    pub lease_ms: u64,
    /// Until the standby sees that: a notification, and the turn of its duty.
    pub detection_ms: u64,
    /// Until the transaction that raises the token is answered.
    pub fence_ms: u64,
    /// Until all records are known as of that transaction.
    pub catch_up_ms: u64,
    /// Until the first worker has shown the new token.
    pub first_report_ms: u64,
}

impl TakeoverBound {
    /// Sum of all terms.
    pub fn total_ms(&self) -> u64 {
        self.lease_ms + self.detection_ms + self.fence_ms + self.catch_up_ms + self.first_report_ms
    }

    /// True if the sum is within the goal.
    pub fn meets_goal(&self) -> bool {
        self.total_ms() <= GOAL_MS
    }
}

impl std::fmt::Display for TakeoverBound {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} ms: lease {}, detection {}, fence {}, catch-up {}, first report {}",
            self.total_ms(),
            self.lease_ms,
            self.detection_ms,
            self.fence_ms,
            self.catch_up_ms,
            self.first_report_ms
        )
    }
}
