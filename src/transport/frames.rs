//! Length-prefixed request and response frames between controllers.
//!
//! A frame consists of its length (four bytes, big-endian, counting version and body), one version
//! byte and a body encoded by [`crate::protocol::peers`]. `cli` starts [`serve`]; a controller has
//! several [`PeerClient`]s for each peer.
//!
//! Invariant: the length of a received frame is checked before memory for its body is allocated.

use super::{disable_nagle, within, ConnectionSlot, ExchangeError, TransportError};
use crate::protocol::peers::{self, PeerRequest, PeerResponse, MAX_FRAME, VERSION};
use crate::settings::MAX_PEER_CONNECTIONS;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::io::{Error, ErrorKind, Result as IoResult};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Time without a request after which a peer's connection is closed, ms.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Longest time to write a response, ms.
const WRITE_TIMEOUT_MS: u64 = 2000;
/// Delay after a failed accept, ms: when the process is out of sockets, it waits for some to close
/// instead of retrying in a busy loop.
const ACCEPT_RETRY_MS: u64 = 100;
/// Size of the frame header: length and version.
const HEADER_BYTES: usize = 5;

async fn write_frame(mut stream: &Async<TcpStream>, body: &[u8]) -> IoResult<()> {
    let mut frame = Vec::with_capacity(body.len() + HEADER_BYTES);
    frame.extend_from_slice(&(body.len() as u32 + 1).to_be_bytes());
    frame.push(VERSION);
    frame.extend_from_slice(body);
    stream.write_all(&frame).await
}

async fn read_frame(mut stream: &Async<TcpStream>) -> IoResult<Vec<u8>> {
    let invalid = |what| Error::new(ErrorKind::InvalidData, what);
    let mut header = [0u8; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let [length @ .., version] = header;
    let length = u32::from_be_bytes(length) as usize;
    if length == 0 || length > MAX_FRAME {
        return Err(invalid("invalid frame length"));
    }
    if version != VERSION {
        return Err(invalid("unsupported frame version"));
    }
    let mut body = vec![0; length - 1];
    stream.read_exact(&mut body).await?;
    Ok(body)
}

/// Accepts connections of peers and responds to their requests, in one task per connection. Closes
/// a new connection at once if [`MAX_PEER_CONNECTIONS`] are open.
pub async fn serve<F>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    handler: F,
) where
    F: Fn(PeerRequest) -> PeerResponse + Clone + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("accept failed: error={e}");
                super::sleep(ACCEPT_RETRY_MS).await;
                continue;
            }
        };
        let Some(slot) = ConnectionSlot::acquire(&open, MAX_PEER_CONNECTIONS) else {
            continue;
        };
        disable_nagle(&stream);
        let handler = handler.clone();
        let connection = async move {
            handle_requests(&stream, peer, handler).await;
            drop(slot);
        };
        executor.spawn(connection).detach();
    }
}

/// Responds to the requests on one connection until it is closed, idle for too long or sends a
/// malformed frame.
async fn handle_requests<F>(stream: &Async<TcpStream>, peer: SocketAddr, handler: F)
where
    F: Fn(PeerRequest) -> PeerResponse,
{
    while let Some(Ok(body)) = within(IDLE_TIMEOUT_MS, read_frame(stream)).await {
        let Some(request) = peers::decode_request(&body) else {
            log::warn!("connection closed after malformed frame: peer={peer}");
            return;
        };
        let Some(response) = peers::encode(&handler(request)) else {
            return;
        };
        let written = within(WRITE_TIMEOUT_MS, write_frame(stream, &response)).await;
        if !matches!(written, Some(Ok(()))) {
            return;
        }
    }
}

/// Client for one peer, which keeps its connection open between requests.
pub struct PeerClient {
    address: SocketAddr,
    idle: RefCell<Option<Async<TcpStream>>>,
}

impl PeerClient {
    /// A client for the peer at `address`. It connects when the first request is sent.
    pub fn new(address: SocketAddr) -> PeerClient {
        PeerClient {
            address,
            idle: RefCell::new(None),
        }
    }

    /// Sends a request and waits for the response. `timeout_ms` covers connecting, sending and
    /// receiving.
    pub async fn call(
        &self,
        request: &PeerRequest,
        timeout_ms: u64,
    ) -> Result<PeerResponse, TransportError> {
        let address = self.address;
        let body = peers::encode(request).ok_or(TransportError::ExchangeFailed {
            address,
            source: ExchangeError::EncodeRequest,
        })?;
        within(timeout_ms, self.exchange(&body))
            .await
            .unwrap_or(Err(TransportError::Timeout {
                address,
                timeout_ms,
            }))
    }

    /// Sends one request and reads its response. The connection is kept only after a valid response:
    /// on a kept connection, a late response would be taken for that of the next request.
    async fn exchange(&self, body: &[u8]) -> Result<PeerResponse, TransportError> {
        let idle = self.idle.borrow_mut().take();
        let stream = match idle {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        let response =
            round_trip(&stream, body)
                .await
                .map_err(|source| TransportError::ExchangeFailed {
                    address: self.address,
                    source,
                })?;
        *self.idle.borrow_mut() = Some(stream);
        Ok(response)
    }

    async fn connect(&self) -> Result<Async<TcpStream>, TransportError> {
        let address = self.address;
        let stream = Async::<TcpStream>::connect(address)
            .await
            .map_err(|source| TransportError::Connect { address, source })?;
        disable_nagle(&stream);
        Ok(stream)
    }
}

async fn round_trip(stream: &Async<TcpStream>, body: &[u8]) -> Result<PeerResponse, ExchangeError> {
    write_frame(stream, body).await?;
    let response = read_frame(stream).await?;
    peers::decode_response(&response).ok_or(ExchangeError::DecodeResponse)
}
