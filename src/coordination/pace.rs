//! Requests kept within a limit that others set, instead of finding it by refusals.

use crate::bookkeeping::units::Ms;

/// A budget of requests that fills with time.
#[derive(Clone, Debug)]
pub struct Pace {
    rate: f64,
    left: f64,
    at: Option<Ms>,
}

/// Requests that may be saved up, in seconds' worth.
const BURST_S: f64 = 1.5;

impl Pace {
    /// A budget of `rate` requests a second. It begins with one: who spent the limit until now
    /// is not known.
    pub fn new(rate: f64) -> Pace {
        Pace {
            rate,
            left: 1.0,
            at: None,
        }
    }
    /// Takes a request if that leaves `keep` for what matters more.
    pub fn take(&mut self, now: Ms, keep: f64) -> bool {
        let passed = self.at.map_or(0, |at| now.since(at));
        self.at = Some(now);
        let most = (self.rate * BURST_S).max(2.0);
        self.left = (self.left + self.rate * passed as f64 / 1000.0).min(most);
        let good = self.left >= 1.0 + keep;
        if good {
            self.left -= 1.0;
        }
        good
    }
}
