//! Rate limit for warnings that a misbehaving client can trigger, such as those on malformed
//! messages.

use crate::state::units::MonotonicMillis;
use std::cell::Cell;

/// Minimum time between two warnings.
const WARNING_INTERVAL_MS: u64 = 10_000;

/// Limits the rate of warnings, and counts those that were not logged.
#[derive(Default)]
pub struct RateLimitedWarnings {
    last: Cell<Option<MonotonicMillis>>,
    suppressed: Cell<u32>,
}

impl RateLimitedWarnings {
    /// Logs a warning with the number of those suppressed before it, or suppresses it if the last
    /// one was logged less than ten seconds ago.
    pub fn warn(&self, now: MonotonicMillis, message: &str) {
        let too_soon = |last| now.since(last) < WARNING_INTERVAL_MS;
        if self.last.get().is_some_and(too_soon) {
            self.suppressed.set(self.suppressed.get().saturating_add(1));
            return;
        }
        log::warn!("{message}: suppressed_warnings={}", self.suppressed.take());
        self.last.set(Some(now));
    }
}
