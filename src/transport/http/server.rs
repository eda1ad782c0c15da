//! The HTTP server for users, workers and health checks.
//!
//! `cli` starts it with `job_api` as handler; the rehearsal crate serves its simulated services
//! with it.
//!
//! Invariant: a connection at rest holds a socket and a deadline only. What a request needs is
//! set up when there is one, so that hundreds of connections fit into a small machine.

use super::message::{requests_close, send, Stream, MESSAGE_PACK};
use super::request_reading::PrefetchedStream;
use crate::transport::executor_priorities::ExecutorPriorities;
use crate::transport::{disable_nagle, pause, within, ConnectionSlot};
use async_dup::Arc;
use async_executor::LocalExecutor;
use async_h1::server::Encoder;
use async_io::Async;
use futures_lite::AsyncReadExt;
use http_types::{Body, Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Longest rest of a connection between requests.
const IDLE_TIMEOUT_MS: u64 = 75_000;
/// Longest time for a request, its answer included.
const REQUEST_TIMEOUT_MS: u64 = 15_000;
/// Longest time for the body of a request.
const BODY_TIMEOUT_MS: u64 = 4000;
/// Pause after a failed accept: out of sockets, wait for some to close instead of spinning.
const ACCEPT_RETRY_MS: u64 = 100;
/// Largest request body taken.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

const BAD_REQUEST: u16 = 400;
const INTERNAL_ERROR: u16 = 500;
const UNAVAILABLE: u16 = 503;

/// A request as handlers see it.
pub struct ServerRequest {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Query, without the question mark.
    pub query: String,
    /// Body; `None` if it is too large, late or broken.
    pub body: Option<Vec<u8>>,
}

/// A handler's answer.
pub struct ServerResponse {
    /// Status.
    pub status: u16,
    /// MessagePack body.
    pub body: Vec<u8>,
    /// Seconds after which to try again.
    pub retry_after_s: Option<u32>,
}

impl ServerResponse {
    /// An answer without a body.
    pub fn empty(status: u16) -> ServerResponse {
        ServerResponse {
            status,
            body: Vec::new(),
            retry_after_s: None,
        }
    }
    /// An answer with a body.
    pub fn with_body<T: serde::Serialize>(status: u16, value: &T) -> ServerResponse {
        match rmp_serde::to_vec_named(value) {
            Ok(body) => ServerResponse {
                status,
                body,
                retry_after_s: None,
            },
            Err(e) => {
                log::error!("answer not encoded: status={status} error={e}");
                ServerResponse::empty(INTERNAL_ERROR)
            }
        }
    }
    /// Can't be taken now; try again after `seconds`.
    pub fn unavailable(retry_after_s: u32) -> ServerResponse {
        ServerResponse {
            status: UNAVAILABLE,
            body: Vec::new(),
            retry_after_s: Some(retry_after_s),
        }
    }
}

/// Binds a listener.
pub fn listen(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Accepts connections for good; one task for each, all of one urgency.
pub async fn serve<F, Fut>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    max_connections: usize,
    handler: F,
) where
    F: Fn(ServerRequest) -> Fut + Clone + 'static,
    Fut: Future<Output = ServerResponse> + 'static,
{
    let executors = ExecutorPriorities {
        users: executor.clone(),
        workers: executor,
        ..ExecutorPriorities::default()
    };
    serve_prioritized(executors, |_| false, listener, max_connections, handler).await;
}

/// Accepts connections for good. A connection begins among the users' tasks and moves to the
/// workers' once a request on it was a worker's, by its path.
pub async fn serve_prioritized<F, Fut>(
    executors: ExecutorPriorities,
    is_worker_path: fn(&str) -> bool,
    listener: Async<TcpListener>,
    max_connections: usize,
    handler: F,
) where
    F: Fn(ServerRequest) -> Fut + Clone + 'static,
    Fut: Future<Output = ServerResponse> + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("accept failed: error={e}");
                pause(ACCEPT_RETRY_MS).await;
                continue;
            }
        };
        let Some(slot) = ConnectionSlot::acquire(&open, max_connections) else {
            continue;
        };
        disable_nagle(&stream);
        let stream: Stream = Arc::new(stream);
        let (handler, workers) = (handler.clone(), executors.workers.clone());
        let connection = async move {
            if answer_requests(&stream, &handler, is_worker_path).await == ConnectionEnd::HandedOver
            {
                let worker_connection = async move {
                    answer_requests(&stream, &handler, |_| false).await;
                    drop(slot);
                };
                workers.spawn(worker_connection).detach();
            }
        };
        executors.users.spawn(connection).detach();
    }
}

/// Why a task stops answering requests of a connection.
#[derive(PartialEq, Eq)]
enum ConnectionEnd {
    /// The connection is over.
    Closed,
    /// The last request was a worker's.
    HandedOver,
}

/// Answers requests until the connection ends, or until the path of one is `wanted`.
///
/// Half-open and slow peers end by the deadlines.
async fn answer_requests<F, Fut>(
    stream: &Stream,
    handler: &F,
    is_handover_path: fn(&str) -> bool,
) -> ConnectionEnd
where
    F: Fn(ServerRequest) -> Fut,
    Fut: Future<Output = ServerResponse>,
{
    while let Some(Ok(())) = within(IDLE_TIMEOUT_MS, stream.readable()).await {
        // Boxed, so that a connection at rest does not hold it inline.
        let exchange = Box::pin(exchange(stream, handler, is_handover_path));
        match within(REQUEST_TIMEOUT_MS, exchange).await {
            Some(Ok(AfterResponse::KeepAlive)) => {}
            Some(Ok(AfterResponse::HandOver)) => return ConnectionEnd::HandedOver,
            _ => return ConnectionEnd::Closed,
        }
    }
    ConnectionEnd::Closed
}

/// What becomes of a connection after an answer.
enum AfterResponse {
    KeepAlive,
    HandOver,
    Close,
}

/// Takes one request from a connection and answers it.
///
/// The library's parts are put together here instead of by its own server: that one sets a
/// timer for each request's headers in a second reactor, which has a thread of its own, and
/// sends head and body of an answer apart. What reading needs, some 40 KB, is freed before the
/// answer is worked on, so that hundreds of requests that wait fit into a small machine.
async fn exchange<F, Fut>(
    stream: &Stream,
    handler: &F,
    is_handover_path: fn(&str) -> bool,
) -> Result<AfterResponse, http_types::Error>
where
    F: Fn(ServerRequest) -> Fut,
    Fut: Future<Output = ServerResponse>,
{
    let received = match Box::pin(receive(stream)).await {
        Ok(Some(received)) => received,
        Ok(None) => return Ok(AfterResponse::Close),
        Err(e) => {
            // A broken connection takes no answer; a malformed request deserves one.
            if e.downcast_ref::<std::io::Error>().is_none() {
                let refusal = to_response(ServerResponse::empty(BAD_REQUEST), true);
                send(stream, Encoder::new(refusal, Method::Get)).await?;
            }
            return Ok(AfterResponse::Close);
        }
    };
    let ReceivedRequest { request, close } = received;
    let method = request.method;
    let hand_over = is_handover_path(&request.path);
    let response = to_response(handler(request).await, close);
    send(stream, Encoder::new(response, method)).await?;
    Ok(match (close, hand_over) {
        (true, _) => AfterResponse::Close,
        (false, true) => AfterResponse::HandOver,
        (false, false) => AfterResponse::KeepAlive,
    })
}

/// A request that was read.
struct ReceivedRequest {
    request: ServerRequest,
    /// The connection is to be closed after the answer.
    close: bool,
}

/// Reads one request; `None` at the end of the stream, or if nobody waits for the answer any
/// more.
async fn receive(stream: &Stream) -> Result<Option<ReceivedRequest>, http_types::Error> {
    let Some(prefetched) = PrefetchedStream::read(stream).await? else {
        return Ok(None);
    };
    let Some((mut request, _)) = async_h1::server::decode(prefetched).await? else {
        return Ok(None);
    };
    let body = within(BODY_TIMEOUT_MS, read_body(&mut request))
        .await
        .flatten();
    // The rest of a body that was not read is not worth draining.
    let close = body.is_none() || requests_close(request.header("Connection"));
    let request = ServerRequest {
        method: request.method(),
        path: request.url().path().to_string(),
        query: request.url().query().unwrap_or("").to_string(),
        body,
    };
    Ok(Some(ReceivedRequest { request, close }))
}

/// The body; `None` if it is too large or can't be read.
async fn read_body(request: &mut Request) -> Option<Vec<u8>> {
    if request.len().is_some_and(|length| length > MAX_BODY_BYTES) {
        return None;
    }
    let mut bytes = Vec::with_capacity(request.len().unwrap_or(0));
    // One byte more than allowed tells a body that is too large from one that just fits.
    let mut body = request.take_body().take(MAX_BODY_BYTES as u64 + 1);
    body.read_to_end(&mut bytes).await.ok()?;
    (bytes.len() <= MAX_BODY_BYTES).then_some(bytes)
}

fn to_response(answer: ServerResponse, close: bool) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    if let Some(seconds) = answer.retry_after_s {
        response.insert_header("Retry-After", seconds.to_string());
    }
    if close {
        response.insert_header("Connection", "close");
    }
    let mut body = Body::from_bytes(answer.body);
    body.set_mime(MESSAGE_PACK);
    response.set_body(body);
    response
}
