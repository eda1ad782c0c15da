//! Requests kept within a limit that others set, instead of finding it by refusals.

use crate::state::units::MonotonicMillis;

/// A budget of requests that fills with time.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: f64,
    left: f64,
    at: Option<MonotonicMillis>,
}

/// Requests that may be saved up, in seconds' worth, as the cloud's protocol allows.
const BURST_S: f64 = 2.0;

impl RateLimiter {
    /// A budget of `rate` requests a second. It begins full: what another may have spent just
    /// before is refused at worst, and asked for again.
    pub fn new(rate: f64) -> RateLimiter {
        RateLimiter {
            rate,
            left: RateLimiter::most(rate),
            at: None,
        }
    }
    fn most(rate: f64) -> f64 {
        (rate * BURST_S).max(2.0)
    }
    /// Takes a request if that leaves `keep` for what matters more.
    pub fn take(&mut self, now: MonotonicMillis, keep: f64) -> bool {
        let passed = self.at.map_or(0, |at| now.since(at));
        self.at = Some(now);
        let filled = self.left + self.rate * passed as f64 / 1000.0;
        self.left = filled.min(RateLimiter::most(self.rate));
        let good = self.left >= 1.0 + keep;
        if good {
            self.left -= 1.0;
        }
        good
    }
}
