//! A token bucket that keeps requests within the rate limit of another service, so that the service
//! doesn't have to refuse them.
//!
//! The autoscaler uses a rate limiter for its requests to the cloud.

use crate::state::units::MonotonicMillis;

/// A token bucket of requests that refills over time.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    requests_per_s: f64,
    available: f64,
    refilled_at: Option<MonotonicMillis>,
}

/// Capacity of the bucket in seconds at the rate limit; the cloud's protocol allows such a burst.
const BURST_S: f64 = 2.0;
/// Minimum capacity of the bucket, requests.
const MIN_BURST: f64 = 2.0;

impl RateLimiter {
    /// A rate limiter with a full bucket. If another controller has used up the service's limit
    /// shortly before, the worst outcome is that the service refuses requests, which are retried.
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

    /// Takes one request from the bucket if at least `reserve` requests then remain, which callers
    /// keep for more important requests; false if not.
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
