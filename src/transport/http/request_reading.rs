//! Prefetching of a request's first bytes, which detects clients that have already disconnected.
//!
//! The HTTP server reads each request through a [`PrefetchedStream`].

use super::message::Stream;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use std::io::{ErrorKind, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

/// Maximum number of prefetched bytes; nearly all requests are smaller.
const PREFETCH_BYTES: usize = 2048;

/// Prefetched bytes, and the position of the first one not yet read from the buffer.
struct PrefetchBuffer {
    bytes: Vec<u8>,
    position: usize,
}

impl PrefetchBuffer {
    /// Copies unread bytes into `buf` and returns their number; 0 if none are left.
    fn read_into(&mut self, buf: &mut [u8]) -> usize {
        let remaining = &self.bytes[self.position..];
        let count = buf.len().min(remaining.len());
        buf[..count].copy_from_slice(&remaining[..count]);
        self.position += count;
        count
    }

    fn is_consumed(&self) -> bool {
        self.position >= self.bytes.len()
    }
}

/// A connection whose first bytes have been prefetched. Reads return those bytes first, then read
/// from the connection.
#[derive(Clone)]
pub struct PrefetchedStream {
    prefetched: Arc<Mutex<PrefetchBuffer>>,
    stream: Stream,
}

impl PrefetchedStream {
    /// Prefetches the first bytes of a request; `None` if the connection has ended without one, or if
    /// the client has closed it after sending the request.
    ///
    /// The sockets of an overloaded controller hold requests of clients that have already moved on to
    /// another controller. Parsing and handling them would keep it overloaded.
    pub async fn read(stream: &Stream) -> Result<Option<PrefetchedStream>> {
        let mut bytes = vec![0; PREFETCH_BYTES];
        let count = (&**stream).read(&mut bytes).await?;
        bytes.truncate(count);
        if count == 0 || is_closed(stream) {
            return Ok(None);
        }
        Ok(Some(PrefetchedStream {
            prefetched: Arc::new(Mutex::new(PrefetchBuffer { bytes, position: 0 })),
            stream: stream.clone(),
        }))
    }
}

/// True if the client has closed the connection.
fn is_closed(stream: &Stream) -> bool {
    match stream.get_ref().peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

impl AsyncRead for PrefetchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        {
            let mut prefetched = self
                .prefetched
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if !prefetched.is_consumed() {
                return Poll::Ready(Ok(prefetched.read_into(buf)));
            }
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for PrefetchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
