//! HTTP/1.1 with MessagePack bodies, server and client.

use super::executor_priorities::ExecutorPriorities;
use super::request_reading::Opened;
use super::{within, Counted, TransportError};
use async_dup::Arc;
use async_executor::LocalExecutor;
use async_h1::server::Encoder;
use async_io::Async;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

type Stream = Arc<Async<TcpStream>>;

/// Longest rest of a connection between requests.
const REST_MS: u64 = 75_000;
/// Longest time for a request, its answer included.
const REQUEST_MS: u64 = 15_000;
/// Largest request body taken.
pub const MAX_BODY: usize = 64 * 1024;

/// A request at the door.
pub struct Incoming {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Query, without the question mark.
    pub query: String,
    /// Body; `None` if it is too large or broken.
    pub body: Option<Vec<u8>>,
}

/// An answer.
pub struct Answer {
    /// Status.
    pub status: u16,
    /// MessagePack body.
    pub body: Vec<u8>,
    /// Seconds after which to come back.
    pub retry_after: Option<u32>,
}

impl Answer {
    /// An answer without a body.
    pub fn bare(status: u16) -> Answer {
        Answer {
            status,
            body: Vec::new(),
            retry_after: None,
        }
    }
    /// An answer with a body.
    pub fn of<T: serde::Serialize>(status: u16, value: &T) -> Answer {
        match rmp_serde::to_vec_named(value) {
            Ok(body) => Answer {
                status,
                body,
                retry_after: None,
            },
            Err(_) => Answer::bare(500),
        }
    }
    /// Can't be taken now; come back after `seconds`.
    pub fn later(seconds: u32) -> Answer {
        Answer {
            status: 503,
            body: Vec::new(),
            retry_after: Some(seconds),
        }
    }
}

async fn read_body(req: &mut Request) -> Option<Vec<u8>> {
    if req.len().is_some_and(|n| n > MAX_BODY) {
        return None;
    }
    let mut out = Vec::with_capacity(req.len().unwrap_or(0));
    let body = req.take_body();
    body.take(MAX_BODY as u64 + 1)
        .read_to_end(&mut out)
        .await
        .ok()?;
    (out.len() <= MAX_BODY).then_some(out)
}

fn to_response(answer: Answer, close: bool) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut res = Response::new(status);
    if let Some(s) = answer.retry_after {
        res.insert_header("Retry-After", s.to_string());
    }
    if close {
        res.insert_header("Connection", "close");
    }
    let mut body = Body::from_bytes(answer.body);
    body.set_mime("application/msgpack");
    res.set_body(body);
    res
}

/// What becomes of a connection after an answer.
enum Next {
    Wait,
    HandOver,
    Close,
}

/// Takes one request from a connection and answers it.
///
/// The library's parts are put together here instead of by its own server: that one sets a
/// timer for each request's headers in a second reactor, which has a thread of its own, and
/// sends head and body of an answer apart. What reading needs, some 40 KB, is gone before the
/// answer is worked on, so that hundreds of requests that wait fit into a small machine.
async fn exchange<F, Fut>(
    stream: &Stream,
    handler: &F,
    wanted: fn(&str) -> bool,
) -> Result<Next, http_types::Error>
where
    F: Fn(Incoming) -> Fut,
    Fut: Future<Output = Answer>,
{
    let (incoming, close) = match Box::pin(take(stream)).await {
        Ok(Some(taken)) => taken,
        Ok(None) => return Ok(Next::Close),
        Err(e) => {
            if e.downcast_ref::<std::io::Error>().is_none() {
                let refusal = to_response(Answer::bare(400), true);
                send(stream, Encoder::new(refusal, Method::Get)).await?;
            }
            return Ok(Next::Close);
        }
    };
    let method = incoming.method;
    let found = wanted(&incoming.path);
    let response = to_response(handler(incoming).await, close);
    send(stream, Encoder::new(response, method)).await?;
    Ok(match (close, found) {
        (true, _) => Next::Close,
        (_, true) => Next::HandOver,
        _ => Next::Wait,
    })
}

/// Reads one request, and whether its connection is to be closed after the answer; `None` at
/// the end of the stream, or if nobody waits for the answer any more.
async fn take(stream: &Stream) -> Result<Option<(Incoming, bool)>, http_types::Error> {
    let Some(opened) = Opened::read(stream).await? else {
        return Ok(None);
    };
    let Some((mut req, _)) = async_h1::server::decode(opened).await? else {
        return Ok(None);
    };
    let body = within(4000, read_body(&mut req)).await.flatten();
    // The rest of a body that was not read is not worth draining.
    let close = body.is_none()
        || req
            .header("Connection")
            .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
    let incoming = Incoming {
        method: req.method(),
        path: req.url().path().to_string(),
        query: req.url().query().unwrap_or("").to_string(),
        body,
    };
    Ok(Some((incoming, close)))
}

/// Sends head and body of a message as one.
async fn send(stream: &Stream, mut message: impl AsyncRead + Unpin) -> std::io::Result<()> {
    let mut bytes = Vec::with_capacity(512);
    message.read_to_end(&mut bytes).await?;
    (&**stream).write_all(&bytes).await
}

/// Accepts connections until the listener fails; one routine each.
pub async fn serve<F, Fut>(
    ex: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    max_connections: usize,
    handler: F,
) where
    F: Fn(Incoming) -> Fut + Clone + 'static,
    Fut: Future<Output = Answer> + 'static,
{
    let lanes = ExecutorPriorities {
        users: ex.clone(),
        workers: ex,
        ..ExecutorPriorities::default()
    };
    serve_in(lanes, |_| false, listener, max_connections, handler).await;
}

/// The same in two lanes: a connection goes to the workers' once a request on it was one of
/// theirs, by its path.
pub async fn serve_in<F, Fut>(
    lanes: ExecutorPriorities,
    of_worker: fn(&str) -> bool,
    listener: Async<TcpListener>,
    max_connections: usize,
    handler: F,
) where
    F: Fn(Incoming) -> Fut + Clone + 'static,
    Fut: Future<Output = Answer> + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(s) => s,
            Err(e) => {
                // Out of sockets: wait for some to close instead of spinning.
                log::warn!("accept failed: {e}");
                super::pause(100).await;
                continue;
            }
        };
        let Some(counted) = Counted::new(&open, max_connections) else {
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let stream: Stream = Arc::new(stream);
        let (handler, workers) = (handler.clone(), lanes.workers.clone());
        lanes
            .users
            .spawn(async move {
                if converse(&stream, &handler, of_worker).await {
                    workers
                        .spawn(async move {
                            converse(&stream, &handler, |_| false).await;
                            drop(counted);
                        })
                        .detach();
                }
            })
            .detach();
    }
}

/// Answers requests until the connection ends, or until one is `wanted`: then true.
///
/// A connection at rest, as nearly all are, holds a socket and a deadline only: what a request
/// needs is set up when there is one. Half-open and slow peers end by these deadlines.
async fn converse<F, Fut>(stream: &Stream, handler: &F, wanted: fn(&str) -> bool) -> bool
where
    F: Fn(Incoming) -> Fut,
    Fut: Future<Output = Answer>,
{
    while let Some(Ok(())) = within(REST_MS, stream.readable()).await {
        let turn = Box::pin(exchange(stream, handler, wanted));
        match within(REQUEST_MS, turn).await {
            Some(Ok(Next::Wait)) => {}
            Some(Ok(Next::HandOver)) => return true,
            _ => return false,
        }
    }
    false
}

/// A client of one address with kept-alive connections.
pub struct Client {
    addr: SocketAddr,
    idle: RefCell<Vec<Stream>>,
}

/// What came back.
pub struct Fetched {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

const MAX_IDLE: usize = 4;

impl Client {
    /// A client of `addr`.
    pub fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            idle: RefCell::new(Vec::new()),
        }
    }

    async fn open(&self) -> Result<Stream, TransportError> {
        let stream = Async::<TcpStream>::connect(self.addr)
            .await
            .map_err(TransportError::Connect)?;
        let _ = stream.get_ref().set_nodelay(true);
        Ok(Arc::new(stream))
    }

    /// One exchange within `ms`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        ms: u64,
    ) -> Result<Fetched, TransportError> {
        // Boxed, so that whoever waits for an answer need not hold it inline.
        match within(ms, Box::pin(self.exchange(method, path, body))).await {
            Some(r) => r,
            None => Err(TransportError::Deadline),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Fetched, TransportError> {
        let broken = |e: http_types::Error| TransportError::Broken(e.to_string());
        let kept = self.idle.borrow_mut().pop();
        let stream = match kept {
            Some(s) => s,
            None => self.open().await?,
        };
        let url = Url::parse(&format!("http://{}{path}", self.addr))
            .map_err(|e| TransportError::Broken(e.to_string()))?;
        let mut req = Request::new(method, url);
        if method == Method::Post || !body.is_empty() {
            let mut b = Body::from_bytes(body);
            b.set_mime("application/msgpack");
            req.set_body(b);
        }
        let lost = |e: std::io::Error| TransportError::Broken(e.to_string());
        let message = async_h1::client::Encoder::new(req);
        send(&stream, message).await.map_err(lost)?;
        // The answer is waited for before it is read: a try at once would find nothing.
        stream.readable().await.map_err(lost)?;
        let mut res = async_h1::client::decode(stream.clone())
            .await
            .map_err(broken)?;
        let closes = res
            .header("Connection")
            .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
        let body = res.body_bytes().await.map_err(broken)?;
        let mut idle = self.idle.borrow_mut();
        if !closes && idle.len() < MAX_IDLE {
            idle.push(stream);
        }
        Ok(Fetched {
            status: res.status() as u16,
            body,
        })
    }

    /// Drops kept connections, for example after a failure.
    pub fn reset(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Binds a listener.
pub fn listen(addr: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(addr)
}

/// A length for a pause, in ms, a little random so that nodes do not act in step.
pub fn jittered(ms: u64) -> u64 {
    ms / 2 + fastrand::u64(0..=ms.max(1))
}
