//! Where turns of the one thread go: how often, how long in all, and the longest, by duty.
//!
//! Kept and told at level debug only; see docs/operations.md.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// What turns of one name took.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub struct Row {
    /// Turns.
    pub turns: u64,
    /// Their time.
    pub sum: Duration,
    /// The longest.
    pub longest: Duration,
}

impl Row {
    /// Adds a turn.
    pub fn add(&mut self, took: Duration) {
        self.turns += 1;
        self.sum += took;
        self.longest = self.longest.max(took);
    }
}

/// Turns by name since they were last told.
pub struct Metrics {
    on: bool,
    rows: RefCell<BTreeMap<&'static str, Row>>,
}

impl Metrics {
    /// A metrics; one that is off costs nothing.
    pub fn new(on: bool) -> Metrics {
        Metrics {
            on,
            rows: RefCell::default(),
        }
    }
    /// Times a piece of work that does not wait.
    pub fn time<T>(&self, name: &'static str, work: impl FnOnce() -> T) -> T {
        if !self.on {
            return work();
        }
        let began = Instant::now();
        let out = work();
        self.add(name, began.elapsed());
        out
    }
    /// Times each turn of a routine, and not what it waits for in between.
    pub fn routine<F: Future>(&self, name: &'static str, work: F) -> Metered<'_, F> {
        Metered {
            metrics: self,
            name,
            work: Box::pin(work),
        }
    }
    fn add(&self, name: &'static str, took: Duration) {
        self.rows.borrow_mut().entry(name).or_default().add(took);
    }
    /// One line on all names, the dearest first, and begins anew; `None` if there is nothing.
    pub fn line(&self) -> Option<String> {
        let mut rows: Vec<_> = std::mem::take(&mut *self.rows.borrow_mut())
            .into_iter()
            .collect();
        rows.sort_by_key(|(name, r)| (std::cmp::Reverse(r.sum), *name));
        let ms = |d: Duration| d.as_secs_f64() * 1000.0;
        let told = rows.iter().map(|(name, r)| {
            format!(
                "{name} {} in {:.1} ms, longest {:.1}",
                r.turns,
                ms(r.sum),
                ms(r.longest)
            )
        });
        (!rows.is_empty()).then(|| told.collect::<Vec<_>>().join("; "))
    }
}

/// A routine whose turns are timed.
pub struct Metered<'a, F> {
    metrics: &'a Metrics,
    name: &'static str,
    work: Pin<Box<F>>,
}

impl<F: Future> Future for Metered<'_, F> {
    type Output = F::Output;
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let (metrics, name) = (self.metrics, self.name);
        metrics.time(name, || self.work.as_mut().poll(cx))
    }
}
