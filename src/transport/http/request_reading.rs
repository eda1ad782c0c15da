//! Prefetching of a request's head, which bounds its size and detects clients that have already
//! disconnected.
//!
//! The HTTP server reads each request through a [`PrefetchedStream`]. The HTTP library is given a
//! request only once its head is complete, because the library reads a line of any length.

use super::message::Stream;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use std::io::{ErrorKind, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

/// Number of bytes that are prefetched at once; nearly all requests are smaller.
const PREFETCH_BYTES: usize = 2048;
/// Size that a request's head has to stay below, the same as that of the HTTP library.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// End of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why the head of a request was not received.
#[derive(Debug, thiserror::Error)]
pub enum HeadError {
    /// The head is larger than [`MAX_HEAD_BYTES`].
    #[error("head of the request is too large")]
    TooLarge,
    /// The connection failed.
    #[error(transparent)]
    Socket(#[from] std::io::Error),
}

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
    /// Prefetches the head of a request, and what has arrived of its body. `None` if the connection
    /// has ended without a request, or if the client has closed it after sending the request.
    ///
    /// The sockets of an overloaded controller hold requests of clients that have already moved on to
    /// another controller. Parsing and handling them would keep it overloaded.
    pub async fn read(stream: &Stream) -> std::result::Result<Option<PrefetchedStream>, HeadError> {
        let mut bytes = Vec::new();
        let mut searched = 0;
        while !has_complete_head(&bytes, searched) {
            if bytes.len() >= MAX_HEAD_BYTES {
                return Err(HeadError::TooLarge);
            }
            searched = bytes.len();
            if read_more(stream, &mut bytes).await? == 0 {
                return Ok(None);
            }
        }
        if is_closed(stream) {
            return Ok(None);
        }
        Ok(Some(PrefetchedStream {
            prefetched: Arc::new(Mutex::new(PrefetchBuffer { bytes, position: 0 })),
            stream: stream.clone(),
        }))
    }
}

/// Appends the next bytes of a connection; 0 if it has ended.
async fn read_more(stream: &Stream, bytes: &mut Vec<u8>) -> Result<usize> {
    let start = bytes.len();
    bytes.resize(start + PREFETCH_BYTES, 0);
    let count = (&**stream).read(&mut bytes[start..]).await?;
    bytes.truncate(start + count);
    Ok(count)
}

/// True if the end of the head is within its limit and not within the first `searched` bytes.
fn has_complete_head(bytes: &[u8], searched: usize) -> bool {
    let unsearched = searched.saturating_sub(HEAD_END.len() - 1);
    let limit = bytes.len().min(MAX_HEAD_BYTES);
    let mut windows = bytes[unsearched.min(limit)..limit].windows(HEAD_END.len());
    windows.any(|window| window == HEAD_END)
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
