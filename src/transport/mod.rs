//! TCP, HTTP, frames, deadlines and limits.

pub mod deadlines;
pub mod executor_priorities;
pub mod frames;
pub mod http;
mod request_reading;

use deadlines::Deadline;
use futures_lite::FutureExt;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// No connection.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// No answer in time.
    #[error("no answer in time")]
    Deadline,
    /// The exchange broke.
    #[error("exchange broke: {0}")]
    Broken(String),
}

/// Runs `work` for `ms` milliseconds at most.
pub async fn within<T>(ms: u64, work: impl Future<Output = T>) -> Option<T> {
    until(Deadline::after(ms), work).await
}

/// Runs `work` until the next beat of `ms` milliseconds at most.
pub async fn within_beat<T>(ms: u64, work: impl Future<Output = T>) -> Option<T> {
    until(Deadline::beat(ms), work).await
}

async fn until<T>(end: Deadline, work: impl Future<Output = T>) -> Option<T> {
    async { Some(work.await) }
        .or(async {
            end.await;
            None
        })
        .await
}

/// One of those that count against a limit, until it is dropped.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    /// Counts one more; `None` if `most` are there already.
    fn new(open: &Rc<Cell<usize>>, most: usize) -> Option<Counted> {
        (open.get() < most).then(|| {
            open.set(open.get() + 1);
            Counted(open.clone())
        })
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Waits.
pub async fn pause(ms: u64) {
    Deadline::after(ms).await;
}
