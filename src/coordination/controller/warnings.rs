//! Warnings that a misbehaving client could repeat without end, such as those on malformed messages.

use crate::state::units::MonotonicMillis;
use std::cell::Cell;

/// Least time between two warnings.
const WARNING_INTERVAL_MS: u64 = 10_000;

/// Limits the rate of warnings, and counts those that were left out.
#[derive(Default)]
pub struct RateLimitedWarnings {
    last: Cell<Option<MonotonicMillis>>,
    suppressed: Cell<u32>,
}

impl RateLimitedWarnings {
    /// Logs a warning, or counts it if one was logged a moment ago.
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
