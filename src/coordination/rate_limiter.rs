//! A token bucket: keeps requests within a limit that another service sets, instead of finding
//! that limit by refusals.
//!
//! The autoscaler owns one for its requests to the cloud.

use crate::state::units::MonotonicMillis;

/// A budget of requests that fills with time.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    requests_per_s: f64,
    available: f64,
    refilled_at: Option<MonotonicMillis>,
}

/// Requests that may be saved up, in seconds' worth, as the cloud's protocol allows.
const BURST_S: f64 = 2.0;
/// Requests that may be saved up at least.
const MIN_BURST: f64 = 2.0;

impl RateLimiter {
    /// A budget of so many requests a second. It begins full: what another controller may have
    /// spent just before is refused at worst, and asked for again.
    pub fn new(requests_per_s: f64) -> RateLimiter {
        RateLimiter {
            requests_per_s,
            available: RateLimiter::burst(requests_per_s),
            refilled_at: None,
        }
    }

    fn burst(requests_per_s: f64) -> f64 {
        (requests_per_s * BURST_S).max(MIN_BURST)
    }

    /// Takes one request if that leaves `reserve` of them for what matters more.
    pub fn try_acquire(&mut self, now: MonotonicMillis, reserve: f64) -> bool {
        self.refill(now);
        let allowed = self.available >= 1.0 + reserve;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }

    fn refill(&mut self, now: MonotonicMillis) {
        let elapsed_ms = self.refilled_at.map_or(0, |at| now.since(at));
        self.refilled_at = Some(now);
        let filled = self.available + self.requests_per_s * elapsed_ms as f64 / 1000.0;
        self.available = filled.min(RateLimiter::burst(self.requests_per_s));
    }
}
