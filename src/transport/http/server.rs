//! HTTP server for users, workers and health checks.
//!
//! `cli` starts it with `job_api` as its handler; the testkit crate runs its simulated services on
//! it.
//!
//! Invariant: an idle connection holds only a socket and a deadline. Memory for a request is
//! allocated when one arrives, and the number of requests that are being received has a bound, so
//! that hundreds of connections fit into the memory of a small machine.

use super::message::{requests_close, send, Stream, MESSAGE_PACK};
use super::reception::Receptions;
use super::request_body::{read_body, IncompleteBody};
use super::request_reading::{HeadError, PrefetchedStream};
use crate::transport::executor_priorities::ExecutorPriorities;
use crate::transport::{disable_nagle, sleep, within, ConnectionSlot};
use async_dup::Arc;
use async_executor::LocalExecutor;
use async_h1::server::Encoder;
use async_io::Async;
use http_types::{Body, Method, Response, StatusCode};
use std::cell::Cell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Time without a request after which a connection is closed, ms.
const IDLE_TIMEOUT_MS: u64 = 75_000;
/// Longest time to receive, handle and respond to a request, ms.
const REQUEST_TIMEOUT_MS: u64 = 15_000;
/// Delay after a failed accept, ms: when the process is out of sockets, it waits for some to close
/// instead of retrying in a busy loop.
const ACCEPT_RETRY_MS: u64 = 100;

const BAD_REQUEST: u16 = 400;
const HEAD_TOO_LARGE: u16 = 431;
const INTERNAL_ERROR: u16 = 500;
const UNAVAILABLE: u16 = 503;

/// `Retry-After` of a request that ends because too many are being received, s.
const RETRY_WHILE_BUSY_S: u32 = 1;

/// Limits of a listener.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of requests that are being received at a time.
    pub receptions: usize,
}

/// A received request, as passed to handlers.
pub struct ServerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL, without the query.
    pub path: String,
    /// Query string without the question mark; empty if there is none.
    pub query: String,
    /// Body, if it was received as a whole.
    pub body: Result<Vec<u8>, IncompleteBody>,
}

/// The response of a handler.
pub struct ServerResponse {
    /// HTTP status code; one that the HTTP library does not know is sent as 500.
    pub status: u16,
    /// MessagePack body; may be empty.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header, s; `None`: no such header.
    pub retry_after_s: Option<u32>,
}

impl ServerResponse {
    /// A response without a body.
    pub fn empty(status: u16) -> ServerResponse {
        ServerResponse {
            status,
            body: Vec::new(),
            retry_after_s: None,
        }
    }
    /// A response with `value` as its MessagePack body; an empty 500 if `value` can't be encoded.
    pub fn with_body<T: serde::Serialize>(status: u16, value: &T) -> ServerResponse {
        match rmp_serde::to_vec_named(value) {
            Ok(body) => ServerResponse {
                status,
                body,
                retry_after_s: None,
            },
            Err(e) => {
                log::error!("response could not be encoded: status={status} error={e}");
                ServerResponse::empty(INTERNAL_ERROR)
            }
        }
    }
    /// A response with status 503, which tells the client to retry after this many seconds.
    pub fn unavailable(retry_after_s: u32) -> ServerResponse {
        ServerResponse {
            status: UNAVAILABLE,
            body: Vec::new(),
            retry_after_s: Some(retry_after_s),
        }
    }
}

/// Binds a TCP listener to `address`; port 0 lets the operating system choose a port.
pub fn listen(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Accepts connections forever and handles each in a task of its own, all with the same priority and
/// without a limit on the requests that are being received.
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
    let limits = ServerLimits {
        connections: max_connections,
        receptions: max_connections,
    };
    serve_prioritized(executors, |_| false, listener, limits, handler).await;
}

/// Accepts connections forever and handles each in a task of its own. A connection starts on the
/// user executor and moves to the worker executor after the first request whose path is a worker's.
/// A new connection is closed at once if there are too many.
pub async fn serve_prioritized<F, Fut>(
    executors: ExecutorPriorities,
    is_worker_path: fn(&str) -> bool,
    listener: Async<TcpListener>,
    limits: ServerLimits,
    handler: F,
) where
    F: Fn(ServerRequest) -> Fut + Clone + 'static,
    Fut: Future<Output = ServerResponse> + 'static,
{
    let receptions = Receptions::new(limits.receptions);
    let open = Rc::new(Cell::new(0usize));
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("accept failed: error={e}");
                sleep(ACCEPT_RETRY_MS).await;
                continue;
            }
        };
        let Some(slot) = ConnectionSlot::acquire(&open, limits.connections) else {
            continue;
        };
        disable_nagle(&stream);
        let connection = Connection {
            stream: Arc::new(stream),
            receptions: receptions.clone(),
        };
        let (handler, workers) = (handler.clone(), executors.workers.clone());
        let user_connection = async move {
            let end = handle_requests(&connection, &handler, is_worker_path).await;
            if end == ConnectionEnd::HandedOver {
                let worker_connection = async move {
                    handle_requests(&connection, &handler, |_| false).await;
                    drop(slot);
                };
                workers.spawn(worker_connection).detach();
            }
        };
        executors.users.spawn(user_connection).detach();
    }
}

/// An open connection, with the limit on the requests that its listener is receiving.
struct Connection {
    stream: Stream,
    receptions: Rc<Receptions>,
}

/// Reason why a task no longer handles a connection.
#[derive(PartialEq, Eq)]
enum ConnectionEnd {
    /// The connection is closed or has to be closed.
    Closed,
    /// The path of the last request was a worker's: the worker executor takes the connection over.
    HandedOver,
}

/// Responds to requests until the connection ends, or until `is_handover_path` holds for the path
/// of one.
///
/// The timeouts end half-open and slow connections.
async fn handle_requests<F, Fut>(
    connection: &Connection,
    handler: &F,
    is_handover_path: fn(&str) -> bool,
) -> ConnectionEnd
where
    F: Fn(ServerRequest) -> Fut,
    Fut: Future<Output = ServerResponse>,
{
    while let Some(Ok(())) = within(IDLE_TIMEOUT_MS, connection.stream.readable()).await {
        // Boxed so that an idle connection does not hold this future's memory.
        let handled = Box::pin(handle_request(connection, handler, is_handover_path));
        match within(REQUEST_TIMEOUT_MS, handled).await {
            Some(Ok(AfterResponse::KeepAlive)) => {}
            Some(Ok(AfterResponse::HandOver)) => return ConnectionEnd::HandedOver,
            _ => return ConnectionEnd::Closed,
        }
    }
    ConnectionEnd::Closed
}

/// Next state of a connection after a response.
enum AfterResponse {
    KeepAlive,
    HandOver,
    Close,
}

/// Receives one request from a connection, handles it and sends the response.
///
/// This replaces the server loop of the HTTP library, which sets a timer for each request's headers
/// in a second reactor with its own thread, and sends the headers and the body of a response
/// separately. The buffers for reading, about 40 KB, are freed before the handler runs, so that
/// hundreds of waiting requests fit into the memory of a small machine.
async fn handle_request<F, Fut>(
    connection: &Connection,
    handler: &F,
    is_handover_path: fn(&str) -> bool,
) -> Result<AfterResponse, http_types::Error>
where
    F: Fn(ServerRequest) -> Fut,
    Fut: Future<Output = ServerResponse>,
{
    let stream = &connection.stream;
    let reception = connection.receptions.begin().await;
    let received = reception.run(Box::pin(receive(stream))).await;
    drop(reception);
    let received = match received {
        Some(Ok(Some(received))) => received,
        Some(Ok(None)) => return Ok(AfterResponse::Close),
        Some(Err(error)) => return refuse(stream, refusal_of(&error)).await,
        None => {
            log::debug!("request ended while it was received: newer ones need its memory");
            let response = ServerResponse::unavailable(RETRY_WHILE_BUSY_S);
            return refuse(stream, Some(response)).await;
        }
    };
    let ReceivedRequest { request, close } = received;
    let method = request.method;
    let hand_over = is_handover_path(&request.path);
    let response = to_http_response(handler(request).await, close);
    send(stream, Encoder::new(response, method)).await?;
    Ok(match (close, hand_over) {
        (true, _) => AfterResponse::Close,
        (false, true) => AfterResponse::HandOver,
        (false, false) => AfterResponse::KeepAlive,
    })
}

/// The response to a request that could not be received; `None` if none can be sent.
fn refusal_of(error: &http_types::Error) -> Option<ServerResponse> {
    if let Some(HeadError::TooLarge) = error.downcast_ref() {
        return Some(ServerResponse::empty(HEAD_TOO_LARGE));
    }
    let is_malformed = error.downcast_ref::<std::io::Error>().is_none()
        && error.downcast_ref::<HeadError>().is_none();
    is_malformed.then(|| ServerResponse::empty(BAD_REQUEST))
}

/// Sends the last response of a connection, if there is one.
async fn refuse(
    stream: &Stream,
    response: Option<ServerResponse>,
) -> Result<AfterResponse, http_types::Error> {
    if let Some(response) = response {
        let response = to_http_response(response, true);
        send(stream, Encoder::new(response, Method::Get)).await?;
    }
    Ok(AfterResponse::Close)
}

/// A received request, and whether it is the last one on its connection.
struct ReceivedRequest {
    request: ServerRequest,
    /// Whether to close the connection after the response.
    close: bool,
}

/// Reads one request; `None` if the client has closed the connection, even after a complete
/// request.
async fn receive(stream: &Stream) -> Result<Option<ReceivedRequest>, http_types::Error> {
    let Some(prefetched) = PrefetchedStream::read(stream).await? else {
        return Ok(None);
    };
    let Some((mut request, _)) = async_h1::server::decode(prefetched).await? else {
        return Ok(None);
    };
    let body = read_body(&mut request).await;
    // The unread remainder of a body is not drained; the connection is closed instead.
    let close = body.is_err() || requests_close(request.header("Connection"));
    let request = ServerRequest {
        method: request.method(),
        path: request.url().path().to_string(),
        query: request.url().query().unwrap_or("").to_string(),
        body,
    };
    Ok(Some(ReceivedRequest { request, close }))
}

fn to_http_response(response: ServerResponse, close: bool) -> Response {
    let status = StatusCode::try_from(response.status).unwrap_or(StatusCode::InternalServerError);
    let mut http_response = Response::new(status);
    if let Some(seconds) = response.retry_after_s {
        http_response.insert_header("Retry-After", seconds.to_string());
    }
    if close {
        http_response.insert_header("Connection", "close");
    }
    let mut body = Body::from_bytes(response.body);
    body.set_mime(MESSAGE_PACK);
    http_response.set_body(body);
    http_response
}
