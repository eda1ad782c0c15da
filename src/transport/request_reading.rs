//! The first bytes of a request, and whether anyone still waits for its answer.

use async_io::Async;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use std::io::{ErrorKind, Result};
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

/// Bytes read before the rest is judged; nearly all requests are smaller.
const FIRST: usize = 2048;

/// A stream whose first bytes have been read already. They are given out first.
#[derive(Clone)]
pub struct Opened {
    first: Arc<Mutex<(Vec<u8>, usize)>>,
    stream: async_dup::Arc<Async<TcpStream>>,
}

impl Opened {
    /// Reads the first bytes of a request; `None` if there is none, or if whoever sent it has
    /// closed the connection since.
    ///
    /// A node that falls behind finds requests in its sockets whose senders have long gone to
    /// another node. To parse and answer them would keep it behind.
    pub async fn read(stream: &async_dup::Arc<Async<TcpStream>>) -> Result<Option<Opened>> {
        let mut first = vec![0; FIRST];
        let n = (&**stream).read(&mut first).await?;
        first.truncate(n);
        let gone = match stream.get_ref().peek(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        };
        Ok((n > 0 && !gone).then(|| Opened {
            first: Arc::new(Mutex::new((first, 0))),
            stream: stream.clone(),
        }))
    }
}

impl AsyncRead for Opened {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        {
            let mut held = self.first.lock().unwrap_or_else(PoisonError::into_inner);
            let (first, at) = &mut *held;
            if *at < first.len() {
                let n = buf.len().min(first.len() - *at);
                buf[..n].copy_from_slice(&first[*at..*at + n]);
                *at += n;
                return Poll::Ready(Ok(n));
            }
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Opened {
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
