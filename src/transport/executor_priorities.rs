//! Which task runs next when there is more to do than time for it.
//!
//! All tasks of a controller share one thread. `cli` runs them here, on three executors of
//! falling urgency.
//!
//! Invariant: background tasks that are ready run before any request is looked at.

use async_executor::LocalExecutor;
use futures_lite::future::{or, yield_now};
use std::rc::Rc;

/// Executors of one thread, by urgency.
///
/// A controller that falls behind must above all renew its lease and follow the records: one that
/// loses its shards for its own lateness sends all of their machines to others that are late
/// too, and none of them recovers.
#[derive(Clone, Default)]
pub struct ExecutorPriorities {
    /// Background tasks: lease, records, planning, peers. What they do is bounded.
    pub background: Rc<LocalExecutor<'static>>,
    /// New connections, health checks and users.
    pub users: Rc<LocalExecutor<'static>>,
    /// Workers that have sent a heartbeat on their connection before.
    pub workers: Rc<LocalExecutor<'static>>,
}

/// Polls of users' and of workers' tasks before background tasks and sockets are looked at again.
const REQUEST_POLLS_PER_ROUND: usize = 4;
/// Rounds in a row that found requests, after which the process rests.
const BUSY_ROUNDS_BEFORE_SLEEP: usize = 4;
/// Length of that rest, ms: a core of which the process has a small share charges what came
/// before in small parts, so that no background task is late by all of a burst.
const SLEEP_MS: u64 = 1;

impl ExecutorPriorities {
    /// Runs all tasks until `end` is done.
    pub async fn run<T>(&self, until: impl std::future::Future<Output = T>) -> T {
        or(until, self.run_forever()).await
    }

    async fn run_forever<T>(&self) -> T {
        let mut busy_rounds = 0;
        loop {
            while self.background.try_tick() {}
            let found_requests = self.poll_requests();
            busy_rounds = if found_requests { busy_rounds + 1 } else { 0 };
            if busy_rounds >= BUSY_ROUNDS_BEFORE_SLEEP {
                busy_rounds = 0;
                super::pause(SLEEP_MS).await;
            } else if found_requests {
                // The sockets are looked at now, so that an answer to a background task is not
                // late.
                yield_now().await;
            } else {
                self.wait_for_any().await;
            }
        }
    }

    /// Polls a few tasks of users and workers in turn; false if none was ready.
    fn poll_requests(&self) -> bool {
        let mut found = false;
        for _ in 0..REQUEST_POLLS_PER_ROUND {
            found |= self.users.try_tick();
            found |= self.workers.try_tick();
        }
        found
    }

    /// Waits for a task to become ready and polls it; the most urgent if there are several.
    async fn wait_for_any(&self) {
        let requests = or(self.users.tick(), self.workers.tick());
        or(self.background.tick(), requests).await;
    }
}
