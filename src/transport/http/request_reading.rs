//! The first bytes of a request, and whether anyone still waits for its answer.
//!
//! The HTTP server reads each request through [`OpenedStream`].

use super::message::Stream;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use std::io::{ErrorKind, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

/// Bytes read before the rest is judged; nearly all requests are smaller.
const FIRST_BYTES: usize = 2048;

/// Bytes that were read ahead, and how many of them were given out.
struct ReadAhead {
    bytes: Vec<u8>,
    position: usize,
}

impl ReadAhead {
    /// Copies what is left, as far as it fits; 0 if nothing is left.
    fn copy_to(&mut self, buf: &mut [u8]) -> usize {
        let rest = &self.bytes[self.position..];
        let count = buf.len().min(rest.len());
        buf[..count].copy_from_slice(&rest[..count]);
        self.position += count;
        count
    }

    fn is_used_up(&self) -> bool {
        self.position >= self.bytes.len()
    }
}

/// A stream whose first bytes have been read already. They are given out first.
#[derive(Clone)]
pub struct OpenedStream {
    read_ahead: Arc<Mutex<ReadAhead>>,
    stream: Stream,
}

impl OpenedStream {
    /// Reads the first bytes of a request; `None` if there is none, or if whoever sent it has
    /// closed the connection since.
    ///
    /// A controller that falls behind finds requests in its sockets whose senders have long
    /// turned to another controller. To parse and answer them would keep it behind.
    pub async fn read(stream: &Stream) -> Result<Option<OpenedStream>> {
        let mut bytes = vec![0; FIRST_BYTES];
        let count = (&**stream).read(&mut bytes).await?;
        bytes.truncate(count);
        if count == 0 || is_closed(stream) {
            return Ok(None);
        }
        Ok(Some(OpenedStream {
            read_ahead: Arc::new(Mutex::new(ReadAhead { bytes, position: 0 })),
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

impl AsyncRead for OpenedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        {
            let mut read_ahead = self
                .read_ahead
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if !read_ahead.is_used_up() {
                return Poll::Ready(Ok(read_ahead.copy_to(buf)));
            }
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for OpenedStream {
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
