//! Connections, body type and sending of whole messages, shared by HTTP server and client.

use async_dup::Arc;
use async_io::Async;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use http_types::headers::HeaderValues;
use std::net::TcpStream;

/// A connection, shared by the task that handles it and the HTTP library.
pub(super) type Stream = Arc<Async<TcpStream>>;

/// Content type of all request and response bodies.
pub(super) const MESSAGE_PACK: &str = "application/msgpack";

/// Typical size of a message including its headers; the initial size of the send buffer.
const TYPICAL_MESSAGE_BYTES: usize = 512;

/// Sends the headers and body of a message in one write.
pub(super) async fn send(
    stream: &Stream,
    mut message: impl AsyncRead + Unpin,
) -> std::io::Result<()> {
    let mut bytes = Vec::with_capacity(TYPICAL_MESSAGE_BYTES);
    message.read_to_end(&mut bytes).await?;
    (&**stream).write_all(&bytes).await
}

/// True if the value of the `Connection` header is `close`.
pub(super) fn requests_close(connection: Option<&HeaderValues>) -> bool {
    connection.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}
