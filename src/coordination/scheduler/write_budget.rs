//! How scarce changes of the key-value store are: what all controllers write, as the watch shows
//! it, against the limit that they share.
//!
//! The planner asks before each series of passes. Arrays make most of the changes, a claim and an
//! end for each task. The nearer the limit, the longer these are batched, so that one change of a
//! record tells of several; high-priority work, gangs and services never wait for a batch.

use crate::state::units::MonotonicMillis;

/// Longest sleep of the planner.
const MAX_PLANNER_SLEEP_MS: u64 = 700;
/// Shortest sleep of the planner while it batches.
const MIN_BATCHING_SLEEP_MS: u64 = 20;
/// Part of the limit on changes from which on they are batched.
const BATCHING_FROM_UTILIZATION: f64 = 0.5;
/// Part of the limit on changes at which the batching window is longest.
const FULL_BATCHING_AT_UTILIZATION: f64 = 0.9;
/// Longest time that ends and claims of arrays are batched. A job's end is written at once by
/// the controller that sees it whole, and no later than this by others.
const MAX_BATCH_WINDOW_MS: f64 = 1000.0;
/// Time between two measurements of the rate of changes.
const MEASURING_INTERVAL_MS: u64 = 1000;
/// Weight of a new measurement: smooths the rate over a few seconds.
const SMOOTHING: f64 = 0.4;
/// Least limit that utilization is computed against.
const MIN_CHANGES_PER_SECOND: f64 = 0.1;

/// Measures the rate of changes and derives the batching window from it.
#[derive(Default)]
pub struct WriteBudget {
    changes_at_measurement: u64,
    measured_at: MonotonicMillis,
    changes_per_second: f64,
    last_batch_at: MonotonicMillis,
    window_ms: u64,
}

impl WriteBudget {
    /// True if small updates of arrays should wait for more of them; `total_changes` counts all
    /// changes seen so far.
    pub fn batch_array_updates(
        &mut self,
        now: MonotonicMillis,
        total_changes: u64,
        limit_per_second: f64,
    ) -> bool {
        if now.since(self.measured_at) >= MEASURING_INTERVAL_MS {
            self.measure(now, total_changes);
            self.window_ms = batch_window_ms(self.changes_per_second, limit_per_second);
        }
        if now.since(self.last_batch_at) < self.window_ms {
            return true;
        }
        self.last_batch_at = now;
        false
    }

    /// How long the planner may sleep.
    pub fn planner_sleep_ms(&self, now: MonotonicMillis) -> u64 {
        if self.window_ms == 0 {
            return MAX_PLANNER_SLEEP_MS;
        }
        self.window_ms
            .saturating_sub(now.since(self.last_batch_at))
            .clamp(MIN_BATCHING_SLEEP_MS, MAX_PLANNER_SLEEP_MS)
    }

    fn measure(&mut self, now: MonotonicMillis, total_changes: u64) {
        let elapsed_ms = now.since(self.measured_at);
        let changes = total_changes.saturating_sub(self.changes_at_measurement);
        let rate = changes as f64 * 1000.0 / elapsed_ms as f64;
        self.changes_per_second += (rate - self.changes_per_second) * SMOOTHING;
        self.changes_at_measurement = total_changes;
        self.measured_at = now;
    }
}

fn batch_window_ms(changes_per_second: f64, limit_per_second: f64) -> u64 {
    let utilization = changes_per_second / limit_per_second.max(MIN_CHANGES_PER_SECOND);
    let scarcity = (utilization - BATCHING_FROM_UTILIZATION)
        / (FULL_BATCHING_AT_UTILIZATION - BATCHING_FROM_UTILIZATION);
    (scarcity.clamp(0.0, 1.0) * MAX_BATCH_WINDOW_MS) as u64
}
