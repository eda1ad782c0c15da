//! Network I/O: HTTP for users, workers, the key-value store and the cloud, framed messages between
//! controllers, and the deadlines and connection limits of both.
//!
//! Invariant: each exchange has a deadline, and each accepted connection counts against a limit, so
//! that slow and half-open connections can't exhaust the process.

pub mod deadlines;
pub mod executor_priorities;
pub mod frames;
pub mod http;

use async_io::Async;
use deadlines::Deadline;
use futures_lite::FutureExt;
use std::cell::Cell;
use std::error::Error;
use std::future::Future;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Error of a request to another process that got no valid response.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The connection could not be established, so the request has certainly not been executed.
    #[error("no connection to {address}: {source}")]
    Connect {
        /// Address that was tried.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The deadline passed before the response arrived; the request may have been executed.
    #[error("no response from {address} within {timeout_ms} ms")]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
        /// Timeout of the whole exchange.
        timeout_ms: u64,
    },
    /// The exchange failed on an open connection; the request may have been executed.
    #[error("request to {address} failed: {source}")]
    ExchangeFailed {
        /// Address of the server.
        address: SocketAddr,
        /// Cause of the failure.
        #[source]
        source: ExchangeError,
    },
}

impl TransportError {
    /// True if the server's host refused the connection because no process listens at the address:
    /// the network path works, and only the process is down.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, TransportError::Connect { source, .. }
            if source.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Failure of a request or its response on an open connection.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// Reading or writing failed, or the connection was closed.
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    /// The request can't be encoded.
    #[error("the request can't be encoded")]
    EncodeRequest,
    /// The received bytes are not a valid response.
    #[error("malformed response")]
    DecodeResponse,
    /// The request's path does not form a valid URL.
    #[error("invalid URL: {0}")]
    Url(#[from] http_types::url::ParseError),
    /// The response is not valid HTTP.
    #[error("{0}")]
    Http(#[source] Box<dyn Error + Send + Sync>),
}

impl From<http_types::Error> for ExchangeError {
    fn from(error: http_types::Error) -> ExchangeError {
        ExchangeError::Http(error.into())
    }
}

/// Runs `work` for at most `ms` milliseconds; `None` if the time ran out first.
pub async fn within<T>(ms: u64, work: impl Future<Output = T>) -> Option<T> {
    until(Deadline::after(ms), work).await
}

/// Runs `work` at most until the next multiple of `ms` milliseconds since the process started;
/// `None` if that time came first.
pub async fn within_tick<T>(ms: u64, work: impl Future<Output = T>) -> Option<T> {
    until(Deadline::next_tick(ms), work).await
}

async fn until<T>(deadline: Deadline, work: impl Future<Output = T>) -> Option<T> {
    async { Some(work.await) }
        .or(async {
            deadline.await;
            None
        })
        .await
}

/// Waits for `ms` milliseconds.
pub async fn sleep(ms: u64) {
    Deadline::after(ms).await;
}

/// One slot of a listener's connection limit, released when dropped.
struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    /// Takes a slot; `None` if `limit` connections are already open.
    fn acquire(open: &Rc<Cell<usize>>, limit: usize) -> Option<ConnectionSlot> {
        (open.get() < limit).then(|| {
            open.set(open.get() + 1);
            ConnectionSlot(open.clone())
        })
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Disables Nagle's algorithm, which would delay small messages to merge them.
///
/// A failure is only logged: without the option the connection is slower but works.
fn disable_nagle(stream: &Async<TcpStream>) {
    if let Err(e) = stream.get_ref().set_nodelay(true) {
        log::debug!("TCP_NODELAY not set: error={e}");
    }
}
