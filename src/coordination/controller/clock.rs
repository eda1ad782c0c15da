//! Time as this process sees it: the monotonic clock, the wall clock, and pauses of the process.
//!
//! [`Clock`] owns the start of the process and the end of its last pause. Background tasks wait by
//! [`Clock::pause`] and [`Clock::tick`], which notice a process pause (a suspended machine, a long
//! stop) as a wait that ends far later than due. Invariant: after a pause, no machine counts as
//! silent for the time in which this process could not have received its heartbeats.

use super::notifier::Notifier;
use crate::state::units::MonotonicMillis;
use crate::transport::within_tick;
use std::cell::Cell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// How much later than due a wait ends when the process was paused. A loaded machine delays waits
/// as well, but by less.
const PAUSE_THRESHOLD_MS: u64 = 2500;

/// Time of day, ms since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Since when the machines of a shard could be heard: since the shard was acquired or the process
/// resumed, whichever came later.
pub fn observing_since(
    owned_since: Option<MonotonicMillis>,
    resumed_at: Option<MonotonicMillis>,
) -> Option<MonotonicMillis> {
    owned_since.max(resumed_at)
}

/// Time since the start of the process. A copy shows the same time.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Instant,
}

impl MonotonicClock {
    /// A clock that starts now.
    pub fn start() -> MonotonicClock {
        MonotonicClock {
            started: Instant::now(),
        }
    }

    /// Now.
    pub fn now(&self) -> MonotonicMillis {
        MonotonicMillis(self.started.elapsed().as_millis() as u64)
    }
}

/// The monotonic clock and the pauses of this process.
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

    /// Now.
    pub fn now(&self) -> MonotonicMillis {
        self.monotonic.now()
    }

    /// When this process resumed after its last pause.
    pub fn resumed_at(&self) -> Option<MonotonicMillis> {
        self.resumed_at.get()
    }

    /// Waits for `ms` milliseconds.
    pub async fn pause(&self, ms: u64) {
        let before = self.now();
        crate::transport::pause(ms).await;
        self.detect_process_pause(before, ms);
    }

    /// Waits for the next tick of `ms`, or for a notification.
    ///
    /// Each wake-up of the process costs, however little there is to do: tasks of the same interval
    /// wake up together, and what should happen sooner is notified.
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
        // All tasks find out at once; one line is enough.
        let noticed_just_now = self
            .resumed_at
            .get()
            .is_some_and(|resumed_at| now.since(resumed_at) <= PAUSE_THRESHOLD_MS);
        if !noticed_just_now {
            log::warn!(
                "process was paused, machines get time to be heard again: elapsed_ms={}",
                elapsed_ms - waited_ms
            );
        }
        self.resumed_at.set(Some(now));
    }
}
