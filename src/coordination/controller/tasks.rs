//! Starts background tasks, and restarts those that end.

use super::Controller;
use crate::transport::sleep;
use futures_lite::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

/// Delay before a task that ended is restarted.
const RESTART_DELAY_MS: u64 = 500;

/// Runs a background task and restarts it, with a log line, whenever it ends or panics.
///
/// A panic in one task must not stop the others, and the task itself must run again: a controller
/// whose planner has ended, for example, would keep its shards without scheduling their tasks.
pub fn spawn_supervised<F, Fut>(controller: &Rc<Controller>, name: &'static str, task: F)
where
    F: Fn(Rc<Controller>) -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let controller = controller.clone();
    let executor = controller.executor.clone();
    let supervised = async move {
        loop {
            let round = controller
                .metrics
                .time_polls(name, task(controller.clone()));
            match AssertUnwindSafe(round).catch_unwind().await {
                Ok(()) => log::error!("background task ended, restarting: task={name}"),
                Err(_) => log::error!("background task panicked, restarting: task={name}"),
            }
            sleep(RESTART_DELAY_MS).await;
        }
    };
    executor.spawn(supervised).detach();
}

/// Spawns work that needs one connection to a worker; false, without running the work, if no slot
/// is free.
pub fn spawn_with_worker_connection(
    controller: &Rc<Controller>,
    work: impl Future<Output = ()> + 'static,
) -> bool {
    let Some(slot) = controller.worker_connections.acquire() else {
        return false;
    };
    let work_with_slot = async move {
        work.await;
        drop(slot);
    };
    controller.executor.spawn(work_with_slot).detach();
    true
}
