//! Write budget: compares the rate of changes that all controllers write to the key-value store, as
//! the watch shows it, with the write limit that they share.
//!
//! The planner checks the budget before each series of passes. Array jobs cause most of the
//! changes: a claim and an end for each task. The closer the rate is to the limit, the longer the
//! changes of array jobs are batched, so that one change of a record covers several tasks.
//! High-priority jobs, gangs and services never wait for a batch.

use crate::state::units::MonotonicMillis;

/// Maximum sleep of the planner, ms.
const MAX_PLANNER_SLEEP_MS: u64 = 700;
/// Minimum sleep of the planner while it batches, ms.
const MIN_BATCHING_SLEEP_MS: u64 = 20;
/// Fraction of the write limit above which changes are batched.
const BATCHING_FROM_UTILIZATION: f64 = 0.5;
/// Fraction of the write limit at which the batching window reaches its maximum.
const FULL_BATCHING_AT_UTILIZATION: f64 = 0.9;
/// Maximum batching window for ends and claims of array tasks, ms. The end of a whole job is
/// written at once by a controller that has observed the exits of all its remaining tasks, and by
/// others no later than after this window.
const MAX_BATCH_WINDOW_MS: f64 = 1000.0;
/// Minimum time between two measurements of the rate of changes, ms.
const MEASURING_INTERVAL_MS: u64 = 1000;
/// Weight of a new measurement in the moving average, which smooths the rate over a few seconds.
const SMOOTHING: f64 = 0.4;
/// Lower bound of the write limit in the computation of the utilization; avoids a division by zero.
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
    /// True if small updates of array jobs should wait for the next batch. `total_changes` is the
    /// number of all changes seen so far, by any controller.
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

    /// Time that the planner may sleep without a notification, ms.
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
    let batching_fraction = (utilization - BATCHING_FROM_UTILIZATION)
        / (FULL_BATCHING_AT_UTILIZATION - BATCHING_FROM_UTILIZATION);
    (batching_fraction.clamp(0.0, 1.0) * MAX_BATCH_WINDOW_MS) as u64
}
