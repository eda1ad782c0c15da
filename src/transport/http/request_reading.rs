//! The first bytes of a request, and whether anyone still waits for its answer.
//!
//! The HTTP server reads each request through [`PrefetchedStream`].

use super::message::Stream;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use std::io::{ErrorKind, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

/// Bytes read before the rest is judged; nearly all requests are smaller.
const PREFETCH_BYTES: usize = 2048;

/// Bytes that were read ahead, and how many of them were given out.
struct PrefetchBuffer {
    bytes: Vec<u8>,
    position: usize,
}

impl PrefetchBuffer {
    /// Copies what is left, as far as it fits; 0 if nothing is left.
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

/// A stream whose first bytes have been read already. They are given out first.
#[derive(Clone)]
pub struct PrefetchedStream {
    prefetched: Arc<Mutex<PrefetchBuffer>>,
    stream: Stream,
}

impl PrefetchedStream {
    /// Reads the first bytes of a request; `None` if there is none, or if whoever sent it has
    /// closed the connection since.
    ///
    /// A controller that falls behind finds requests in its sockets whose senders have long
    /// turned to another controller. To parse and answer them would keep it behind.
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

/// True if the other end has closed the connection.
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
