//! Measures how the controller's single thread spends its time: the number of polls under each
//! name, their total duration and the longest one.
//!
//! The controller owns one [`Metrics`], which times background tasks and request handlers. Times
//! are measured and logged at level debug only; see `docs/operations.md`.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Times of the polls under one name.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
struct PollTimes {
    count: u64,
    total: Duration,
    longest: Duration,
}

impl PollTimes {
    fn record(&mut self, elapsed: Duration) {
        self.count += 1;
        self.total += elapsed;
        self.longest = self.longest.max(elapsed);
    }
}

/// Poll times by name since they were last logged.
pub struct Metrics {
    enabled: bool,
    times: RefCell<BTreeMap<&'static str, PollTimes>>,
}

impl Metrics {
    /// Empty metrics. Unless `enabled`, nothing is measured and no clock is read.
    pub fn new(enabled: bool) -> Metrics {
        Metrics {
            enabled,
            times: RefCell::default(),
        }
    }

    /// Runs synchronous work and adds its time under `name`.
    pub fn time<T>(&self, name: &'static str, work: impl FnOnce() -> T) -> T {
        if !self.enabled {
            return work();
        }
        let started = Instant::now();
        let result = work();
        self.record(name, started.elapsed());
        result
    }

    /// Wraps a future so that the time of each poll, but not the time between polls, is added under
    /// `name`.
    pub fn time_polls<F: Future>(&self, name: &'static str, work: F) -> TimedFuture<'_, F> {
        TimedFuture {
            metrics: self,
            name,
            work: Box::pin(work),
        }
    }

    fn record(&self, name: &'static str, elapsed: Duration) {
        self.times
            .borrow_mut()
            .entry(name)
            .or_default()
            .record(elapsed);
    }

    /// Text of a log line with the times of all names, the largest total first; `None` if no time
    /// was measured. Resets the times.
    pub fn take_summary(&self) -> Option<String> {
        let times = std::mem::take(&mut *self.times.borrow_mut());
        if times.is_empty() {
            return None;
        }
        let mut times: Vec<_> = times.into_iter().collect();
        times.sort_by_key(|(name, t)| (Reverse(t.total), *name));
        let parts: Vec<String> = times.iter().map(|(name, t)| describe(name, t)).collect();
        Some(parts.join("; "))
    }
}

fn describe(name: &str, times: &PollTimes) -> String {
    let ms = |duration: Duration| duration.as_secs_f64() * 1000.0;
    format!(
        "{name} {} in {:.1} ms, longest {:.1}",
        times.count,
        ms(times.total),
        ms(times.longest)
    )
}

/// A future whose polls are timed, made by [`Metrics::time_polls`].
pub struct TimedFuture<'a, F> {
    metrics: &'a Metrics,
    name: &'static str,
    work: Pin<Box<F>>,
}

impl<F: Future> Future for TimedFuture<'_, F> {
    type Output = F::Output;
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let (metrics, name) = (self.metrics, self.name);
        metrics.time(name, || self.work.as_mut().poll(cx))
    }
}
