//! Task priorities of a controller under load.
//!
//! All tasks of a controller share one thread. `cli` runs them on three executors of descending
//! priority: background tasks, users and workers.
//!
//! Invariant: no round of request polls starts while a background task is ready to run.

use async_executor::LocalExecutor;
use futures_lite::future::{or, yield_now};
use std::rc::Rc;

/// The executors of one thread, by priority.
///
/// An overloaded controller must above all renew its lease and keep up with changed records. If it
/// loses its shards because it is late, all machines of those shards move to other overloaded
/// controllers, and none of them recovers.
#[derive(Clone, Default)]
pub struct ExecutorPriorities {
    /// Background tasks with a bounded amount of work: lease, records, planning, peers.
    pub background: Rc<LocalExecutor<'static>>,
    /// Connections of users and health checks, and all connections whose sender is not yet known.
    pub users: Rc<LocalExecutor<'static>>,
    /// Connections on which a worker has already sent a heartbeat.
    pub workers: Rc<LocalExecutor<'static>>,
}

/// Polls of the user executor, and as many of the worker executor, before background tasks and
/// sockets are polled again.
const REQUEST_POLLS_PER_ROUND: usize = 4;
/// Consecutive rounds with requests after which the thread sleeps for [`SLEEP_MS`].
const BUSY_ROUNDS_BEFORE_SLEEP: usize = 4;
/// Sleep between bursts of requests, ms. On a core of which the process has only a small share, the
/// operating system then charges the CPU time in small parts, and no background task is delayed by
/// the CPU time of a whole burst.
const SLEEP_MS: u64 = 1;

impl ExecutorPriorities {
    /// Runs all tasks until the future `until` completes.
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
                super::sleep(SLEEP_MS).await;
            } else if found_requests {
                // Let the reactor poll the sockets, so that a response to a background task is
                // not delayed.
                yield_now().await;
            } else {
                self.wait_for_any().await;
            }
        }
    }

    /// Polls a few user and worker tasks in turn; false if none was ready.
    fn poll_requests(&self) -> bool {
        let mut found = false;
        for _ in 0..REQUEST_POLLS_PER_ROUND {
            found |= self.users.try_tick();
            found |= self.workers.try_tick();
        }
        found
    }

    /// Waits until a task is ready and polls it; if several are, the one of the highest priority.
    async fn wait_for_any(&self) {
        let requests = or(self.users.tick(), self.workers.tick());
        or(self.background.tick(), requests).await;
    }
}
