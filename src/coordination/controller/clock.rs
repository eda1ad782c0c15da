//! The clocks of this process, and the detection of process pauses.
//!
//! [`Clock`] holds the start of the process and the end of its last pause. Background tasks wait
//! with [`Clock::sleep`] and [`Clock::tick`], which detect a pause of the process (its machine was
//! suspended, or the process was stopped) by a wait that ends much later than requested. Invariant:
//! the time of a pause, in which this process could not receive heartbeats, doesn't count as
//! silence of any machine.

use super::notifier::Notifier;
use crate::state::units::MonotonicMillis;
use crate::transport::within_tick;
use std::cell::Cell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Delay of a wait beyond which the process is considered to have been paused. High load delays
/// waits as well, but less.
const PAUSE_THRESHOLD_MS: u64 = 2500;

/// Wall-clock time, ms since the Unix epoch; 0 before it.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Time since which this controller could receive heartbeats of a shard's machines: when it
/// acquired the shard or when its process resumed, whichever is later.
pub fn observing_since(
    owned_since: Option<MonotonicMillis>,
    resumed_at: Option<MonotonicMillis>,
) -> Option<MonotonicMillis> {
    owned_since.max(resumed_at)
}

/// A clock of the time since the start of the process. Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Instant,
}

impl MonotonicClock {
    /// A clock that starts now, at 0.
    pub fn start() -> MonotonicClock {
        MonotonicClock {
            started: Instant::now(),
        }
    }

    /// Time since the clock was started.
    pub fn now(&self) -> MonotonicMillis {
        MonotonicMillis(self.started.elapsed().as_millis() as u64)
    }
}

/// The monotonic clock of this process, with the end of the last process pause.
#[derive(Debug)]
pub struct Clock {
    monotonic: MonotonicClock,
    resumed_at: Cell<Option<MonotonicMillis>>,
}

impl Clock {
    /// A clock that shows the same time as `monotonic`.
    pub fn new(monotonic: MonotonicClock) -> Clock {
        Clock {
            monotonic,
            resumed_at: Cell::new(None),
        }
    }

    /// Time since the monotonic clock was started.
    pub fn now(&self) -> MonotonicMillis {
        self.monotonic.now()
    }

    /// When this process resumed after its last pause; `None` if it has never been paused.
    pub fn resumed_at(&self) -> Option<MonotonicMillis> {
        self.resumed_at.get()
    }

    /// Waits for `ms` milliseconds, and detects a pause of the process.
    pub async fn sleep(&self, ms: u64) {
        let before = self.now();
        crate::transport::sleep(ms).await;
        self.detect_process_pause(before, ms);
    }

    /// Waits for the next multiple of `ms` or for a notification, whichever comes first, and
    /// detects a pause of the process.
    ///
    /// Each wake-up of the process has a cost, even if there is little to do. Tasks with the same
    /// interval therefore wake up together, and a notification wakes a task that should run
    /// earlier.
    pub async fn tick(&self, ms: u64, notifier: Option<&Notifier>) {
        let before = self.now();
        match notifier {
            Some(notifier) => notifier.notified_by_tick(ms).await,
            None => {
                let never = futures_lite::future::pending::<()>();
                let _ = within_tick(ms, never).await;
            }
        }
        self.detect_process_pause(before, ms);
    }

    fn detect_process_pause(&self, before: MonotonicMillis, waited_ms: u64) {
        let now = self.now();
        let elapsed_ms = now.since(before);
        if elapsed_ms <= waited_ms + PAUSE_THRESHOLD_MS {
            return;
        }
        // All waiting tasks detect the same pause; it is logged once.
        let detected_recently = self
            .resumed_at
            .get()
            .is_some_and(|resumed_at| now.since(resumed_at) <= PAUSE_THRESHOLD_MS);
        if !detected_recently {
            log::warn!(
                "process was paused, restarting silence timeouts of machines: elapsed_ms={}",
                elapsed_ms - waited_ms
            );
        }
        self.resumed_at.set(Some(now));
    }
}
