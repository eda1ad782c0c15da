//! HTTP client for the key-value store, the cloud, workers and, on the command line, controllers.
//!
//! Invariant: a connection is kept only after a complete response, so that a late response is never
//! taken for that of the next request.

use super::message::{requests_close, send, Stream, MESSAGE_PACK};
use crate::transport::{disable_nagle, within, ExchangeError, TransportError};
use async_dup::Arc;
use async_io::Async;
use http_types::{Body, Method, Request, Url};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};

/// Maximum number of idle connections that a client keeps open.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// HTTP client for one address, with keep-alive connections.
pub struct Client {
    address: SocketAddr,
    idle: RefCell<Vec<Stream>>,
}

/// Response to a request of a [`Client`].
pub struct ClientResponse {
    /// HTTP status code.
    pub status: u16,
    /// MessagePack body; may be empty.
    pub body: Vec<u8>,
}

impl Client {
    /// A client for the server at `address`. It connects when the first request is sent.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            idle: RefCell::new(Vec::new()),
        }
    }

    /// Sends a request and waits for the response. `timeout_ms` covers connecting, sending and
    /// receiving.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<ClientResponse, TransportError> {
        // Boxed to keep the caller's future small.
        within(timeout_ms, Box::pin(self.exchange(method, path, body)))
            .await
            .unwrap_or(Err(TransportError::Timeout {
                address: self.address,
                timeout_ms,
            }))
    }

    /// Closes the idle connections, for example after a failure.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<ClientResponse, TransportError> {
        let idle = self.idle.borrow_mut().pop();
        let stream = match idle {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        self.round_trip(stream, method, path, body)
            .await
            .map_err(|source| TransportError::ExchangeFailed {
                address: self.address,
                source,
            })
    }

    async fn connect(&self) -> Result<Stream, TransportError> {
        let address = self.address;
        let stream = Async::<TcpStream>::connect(address)
            .await
            .map_err(|source| TransportError::Connect { address, source })?;
        disable_nagle(&stream);
        Ok(Arc::new(stream))
    }

    async fn round_trip(
        &self,
        stream: Stream,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<ClientResponse, ExchangeError> {
        let request = self.request(method, path, body)?;
        send(&stream, async_h1::client::Encoder::new(request)).await?;
        // Wait until there is data: a read right after sending would always find none.
        stream.readable().await?;
        let mut response = async_h1::client::decode(stream.clone()).await?;
        let closes = requests_close(response.header("Connection"));
        let body = response.body_bytes().await?;
        if !closes {
            self.keep(stream);
        }
        Ok(ClientResponse {
            status: response.status() as u16,
            body,
        })
    }

    fn request(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Request, ExchangeError> {
        let url = Url::parse(&format!("http://{}{path}", self.address))?;
        let mut request = Request::new(method, url);
        if method == Method::Post || !body.is_empty() {
            let mut content = Body::from_bytes(body);
            content.set_mime(MESSAGE_PACK);
            request.set_body(content);
        }
        Ok(request)
    }

    fn keep(&self, stream: Stream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(stream);
        }
    }
}
