//! Length-prefixed frames between controllers.

use super::{within, Counted, TransportError};
use crate::protocol::peers::{self, PeerRequest, PeerResponse, MAX_FRAME, VERSION};
use crate::settings::PEER_CONNECTIONS;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

const IDLE_MS: u64 = 60_000;

async fn write(stream: &mut &Async<TcpStream>, body: &[u8]) -> std::io::Result<()> {
    let mut frame = Vec::with_capacity(body.len() + 5);
    frame.extend_from_slice(&(body.len() as u32 + 1).to_be_bytes());
    frame.push(VERSION);
    frame.extend_from_slice(body);
    stream.write_all(&frame).await
}

async fn read(stream: &mut &Async<TcpStream>) -> std::io::Result<Vec<u8>> {
    let bad = |what| std::io::Error::new(std::io::ErrorKind::InvalidData, what);
    let mut head = [0u8; 5];
    stream.read_exact(&mut head).await?;
    let len = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if len == 0 || len > MAX_FRAME {
        return Err(bad("frame size"));
    }
    if head[4] != VERSION {
        return Err(bad("frame version"));
    }
    let mut body = vec![0; len - 1];
    stream.read_exact(&mut body).await?;
    Ok(body)
}

/// Serves peers; one routine a connection.
pub async fn serve<F>(ex: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>, handler: F)
where
    F: Fn(PeerRequest) -> PeerResponse + Clone + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            super::pause(100).await;
            continue;
        };
        let Some(counted) = Counted::new(&open, PEER_CONNECTIONS) else {
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let handler = handler.clone();
        ex.spawn(async move {
            let mut s = &stream;
            while let Some(Ok(body)) = within(IDLE_MS, read(&mut s)).await {
                let Some(ask) = peers::decode_request(&body) else {
                    log::warn!("peer {from}: malformed frame, connection closed");
                    break;
                };
                let Some(reply) = peers::encode(&handler(ask)) else {
                    break;
                };
                if !matches!(within(2000, write(&mut s, &reply)).await, Some(Ok(()))) {
                    break;
                }
            }
            drop(counted);
        })
        .detach();
    }
}

/// A peer's address with one kept connection.
pub struct PeerClient {
    addr: SocketAddr,
    kept: RefCell<Option<Async<TcpStream>>>,
}

impl PeerClient {
    /// A client of `addr`.
    pub fn new(addr: SocketAddr) -> PeerClient {
        PeerClient {
            addr,
            kept: RefCell::new(None),
        }
    }

    /// One request and its reply within `ms`.
    pub async fn ask(&self, ask: &PeerRequest, ms: u64) -> Result<PeerResponse, TransportError> {
        let body = peers::encode(ask).ok_or_else(|| TransportError::Broken("encode".into()))?;
        let work = async {
            let kept = self.kept.borrow_mut().take();
            let stream = match kept {
                Some(s) => s,
                None => {
                    let s = Async::<TcpStream>::connect(self.addr)
                        .await
                        .map_err(TransportError::Connect)?;
                    let _ = s.get_ref().set_nodelay(true);
                    s
                }
            };
            let broken = |e: std::io::Error| TransportError::Broken(e.to_string());
            let mut s = &stream;
            write(&mut s, &body).await.map_err(broken)?;
            let reply = read(&mut s).await.map_err(broken)?;
            let reply = peers::decode_response(&reply)
                .ok_or_else(|| TransportError::Broken("malformed".into()))?;
            *self.kept.borrow_mut() = Some(stream);
            Ok(reply)
        };
        within(ms, work)
            .await
            .unwrap_or(Err(TransportError::Deadline))
    }
}
