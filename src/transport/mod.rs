//! TCP, HTTP, frames, deadlines and limits.

pub mod deadlines;
pub mod frames;
pub mod http;
pub mod lanes;
mod opened;

use deadlines::Deadline;
use futures_lite::FutureExt;
use std::future::Future;

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
    async { Some(work.await) }
        .or(async {
            Deadline::after(ms).await;
            None
        })
        .await
}

/// Runs `work` until the next beat of `ms` milliseconds at most.
pub async fn within_beat<T>(ms: u64, work: impl Future<Output = T>) -> Option<T> {
    async { Some(work.await) }
        .or(async {
            Deadline::beat(ms).await;
            None
        })
        .await
}

/// Waits.
pub async fn pause(ms: u64) {
    Deadline::after(ms).await;
}
