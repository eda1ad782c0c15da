//! What server and client share: connections, bodies and the sending of a whole message.

use async_dup::Arc;
use async_io::Async;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use http_types::headers::HeaderValues;
use std::net::TcpStream;

/// A connection that its task and the HTTP library share.
pub(super) type Stream = Arc<Async<TcpStream>>;

/// The type of all bodies.
pub(super) const MESSAGE_PACK: &str = "application/msgpack";

/// Usual size of a message with its head.
const TYPICAL_MESSAGE_BYTES: usize = 512;

/// Sends head and body of a message as one.
pub(super) async fn send(
    stream: &Stream,
    mut message: impl AsyncRead + Unpin,
) -> std::io::Result<()> {
    let mut bytes = Vec::with_capacity(TYPICAL_MESSAGE_BYTES);
    message.read_to_end(&mut bytes).await?;
    (&**stream).write_all(&bytes).await
}

/// True if the `Connection` header asks for the connection to be closed.
pub(super) fn requests_close(connection: Option<&HeaderValues>) -> bool {
    connection.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}
