//! Which routine gets the next turn when there is more to do than time for it.

use async_executor::LocalExecutor;
use futures_lite::future::{or, yield_now};
use std::rc::Rc;

/// Executors of one thread, by urgency.
///
/// A node that falls behind must above all renew its lease and follow the records: one that
/// loses its shards for its own lateness sends all of their machines to others that are late
/// too, and none of them recovers.
#[derive(Clone, Default)]
pub struct ExecutorPriorities {
    /// The node's duties: its lease, records, planning, peers. What they do is bounded.
    pub duties: Rc<LocalExecutor<'static>>,
    /// New connections, health checks and users.
    pub users: Rc<LocalExecutor<'static>>,
    /// Workers that have reported on their connection before.
    pub workers: Rc<LocalExecutor<'static>>,
}

/// Turns of users' and workers' routines, each, before duties and sockets are looked at again.
const SHARE: usize = 4;
/// Looks in a row that found requests, after which the process rests.
const ROW: usize = 4;
/// Length of that rest, ms: a core of which the process has a small share charges what came
/// before in small parts, so that no duty is late by all of a burst.
const REST_MS: u64 = 1;

impl ExecutorPriorities {
    /// Runs all routines until `end` is done.
    pub async fn run<T>(&self, end: impl std::future::Future<Output = T>) -> T {
        or(end, self.turns()).await
    }

    async fn turns<T>(&self) -> T {
        let mut busy = 0;
        loop {
            while self.duties.try_tick() {}
            let mut any = false;
            for _ in 0..SHARE {
                any |= self.users.try_tick();
                any |= self.workers.try_tick();
            }
            busy = if any { busy + 1 } else { 0 };
            if busy >= ROW {
                busy = 0;
                super::pause(REST_MS).await;
            } else if any {
                // The sockets are looked at now, so that an answer to a duty is not late.
                yield_now().await;
            } else {
                or(
                    self.duties.tick(),
                    or(self.users.tick(), self.workers.tick()),
                )
                .await;
            }
        }
    }
}
