//! Runs background tasks, and keeps them running.

use super::Controller;
use crate::transport::pause;
use futures_lite::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

/// Wait before a task that ended is started again.
const RESTART_DELAY_MS: u64 = 500;

/// Runs a background task for good; one that ends or panics is started again, with a log line.
///
/// A panic in one task must not stop the others: a controller that plans no more would still keep
/// its shards.
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
            pause(RESTART_DELAY_MS).await;
        }
    };
    executor.spawn(supervised).detach();
}

/// Runs work that needs one connection to a worker; false if none is left.
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
