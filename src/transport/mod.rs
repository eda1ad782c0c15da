//! Everything that touches a socket: HTTP towards users, workers, the key-value store and the
//! cloud, framed messages between controllers, and the deadlines and connection limits of both.
//!
//! Invariant: each exchange has a deadline and each open connection counts against a limit, so
//! that slow and half-open peers can't exhaust the process.

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

/// Why a request to another process has no answer.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// No connection was made, so the request has certainly not been executed.
    #[error("no connection to {address}: {source}")]
    Connect {
        /// Address that was tried.
        address: SocketAddr,
        /// What the operating system said.
        #[source]
        source: std::io::Error,
    },
    /// The deadline passed; the request may have been executed.
    #[error("no answer from {address} within {timeout_ms} ms")]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
        /// The time allowed.
        timeout_ms: u64,
    },
    /// The exchange failed on an open connection; the request may have been executed.
    #[error("exchange with {address} failed: {source}")]
    ExchangeFailed {
        /// Address of the server.
        address: SocketAddr,
        /// What failed.
        #[source]
        source: ExchangeError,
    },
}

impl TransportError {
    /// True if the host of the server answered that nothing listens there: the network path is
    /// open, and only the process is down.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, TransportError::Connect { source, .. }
            if source.kind() == ErrorKind::ConnectionRefused)
    }
}

/// What failed in an exchange on an open connection.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// Reading or writing failed, or the connection was closed.
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    /// The request can't be encoded.
    #[error("the request can't be encoded")]
    EncodeRequest,
    /// The bytes received are no response.
    #[error("malformed response")]
    DecodeResponse,
    /// The path of the request gives no valid URL.
    #[error("invalid URL: {0}")]
    Url(#[from] http_types::url::ParseError),
    /// The answer is not valid HTTP.
    #[error("{0}")]
    Http(#[source] Box<dyn Error + Send + Sync>),
}

impl From<http_types::Error> for ExchangeError {
    fn from(error: http_types::Error) -> ExchangeError {
        ExchangeError::Http(error.into())
    }
}

/// Runs `work` for `ms` milliseconds at most; `None` if the deadline passed first.
pub async fn within<T>(ms: u64, work: impl Future<Output = T>) -> Option<T> {
    until(Deadline::after(ms), work).await
}

/// Runs `work` until the next tick of `ms` milliseconds at most; `None` if the tick came first.
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
pub async fn pause(ms: u64) {
    Deadline::after(ms).await;
}

/// A slot of a listener's connection limit, given back when dropped.
struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    /// Takes a slot; `None` if `limit` connections are open already.
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

/// Sends small messages at once instead of collecting them (Nagle's algorithm).
///
/// A connection on which that can't be set is slower and still good, so a failure is only logged.
fn disable_nagle(stream: &Async<TcpStream>) {
    if let Err(e) = stream.get_ref().set_nodelay(true) {
        log::debug!("TCP_NODELAY not set: error={e}");
    }
}
