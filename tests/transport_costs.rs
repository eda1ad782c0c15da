//! Upper bounds on the memory and work of connections, requests and deadlines, in counts that are the
//! same in every run.

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use pointhook::transport::deadlines::DeadlineTable;
use pointhook::transport::executor_priorities::ExecutorPriorities;
use pointhook::transport::http::{
    listen, serve, serve_prioritized, ServerLimits, ServerRequest, ServerResponse,
};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::cell::Cell;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, PoisonError};

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Lets one test run at a time, because the allocator's counts are those of the whole process.
fn run_exclusively() -> MutexGuard<'static, ()> {
    static EXCLUSIVE: Mutex<()> = Mutex::new(());
    EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes allocated since the start of the region and not freed.
fn held_bytes(since: &Region<System>) -> usize {
    let change = since.change();
    change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated)
}

const CONNECTIONS: usize = 150;

/// An executor, and a loopback listener with its address.
fn executor_and_listener() -> (Rc<LocalExecutor<'static>>, Async<TcpListener>, SocketAddr) {
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    (Rc::new(LocalExecutor::new()), listener, address)
}

/// Sends a GET request without waiting for the response.
async fn send_get(mut stream: &Async<TcpStream>, path: &str) {
    let head = format!("GET {path} HTTP/1.1\r\nHost: here\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
}

/// Reads a response and returns the status code of its first line.
async fn read_status(mut stream: &Async<TcpStream>) -> String {
    let mut buffer = [0; 1024];
    let length = stream.read(&mut buffer).await.unwrap();
    String::from_utf8_lossy(&buffer[..length])
        .split(' ')
        .nth(1)
        .unwrap_or_default()
        .to_string()
}

// Guards against a controller that runs out of memory: one on a small machine was killed at 837
// connections of 51 KB each.
#[test]
fn idle_connections_and_waiting_requests_hold_a_few_kilobytes() {
    let _exclusive = run_exclusively();
    let (executor, listener, address) = executor_and_listener();
    let waiting_requests = Rc::new(Cell::new(0));
    // Closing the sender lets all waiting requests complete.
    let (release, released) = async_channel::bounded::<()>(1);
    let count = waiting_requests.clone();
    let server = serve(
        executor.clone(),
        listener,
        1000,
        move |request: ServerRequest| {
            let (count, released) = (count.clone(), released.clone());
            async move {
                if request.path == "/wait" {
                    count.set(count.get() + 1);
                    let _ = released.recv().await;
                }
                ServerResponse::empty(200)
            }
        },
    );
    executor.spawn(server).detach();
    async_io::block_on(executor.run(async {
        let mut clients = Vec::with_capacity(CONNECTIONS);
        let first = Async::<TcpStream>::connect(address).await.unwrap();
        send_get(&first, "/").await;
        assert_eq!(read_status(&first).await, "200");
        let region = Region::new(HEAP);
        for _ in 0..CONNECTIONS {
            let client = Async::<TcpStream>::connect(address).await.unwrap();
            send_get(&client, "/").await;
            assert_eq!(read_status(&client).await, "200");
            clients.push(client);
        }
        let idle = held_bytes(&region) / CONNECTIONS;
        assert!(idle < 5 * 1024, "{idle} bytes per idle connection");
        for client in &clients {
            send_get(client, "/wait").await;
        }
        while waiting_requests.get() < CONNECTIONS {
            futures_lite::future::yield_now().await;
        }
        let waiting = held_bytes(&region) / CONNECTIONS;
        assert!(waiting < 8 * 1024, "{waiting} bytes per waiting request");
        release.close();
        for client in &clients {
            assert_eq!(read_status(client).await, "200");
        }
    }));
}

#[test]
fn a_head_without_an_end_does_not_exhaust_the_memory() {
    const SENT_BYTES: usize = 8 * 1024 * 1024;
    const PIECE_BYTES: usize = 64 * 1024;
    // The limit of 8 KiB, a read beyond it and what the connection holds besides.
    const MAX_HELD_BYTES: usize = 64 * 1024;
    let _exclusive = run_exclusively();
    let (executor, listener, address) = executor_and_listener();
    let server = serve(executor.clone(), listener, 10, |_| async {
        ServerResponse::empty(200)
    });
    executor.spawn(server).detach();
    async_io::block_on(executor.run(async {
        let piece = vec![b'a'; PIECE_BYTES];
        let client = Async::<TcpStream>::connect(address).await.unwrap();
        let region = Region::new(HEAP);
        let mut most_held = 0;
        for _ in 0..SENT_BYTES / PIECE_BYTES {
            // The server closes the connection once the head is too large.
            if (&client).write_all(&piece).await.is_err() {
                break;
            }
            futures_lite::future::yield_now().await;
            most_held = most_held.max(held_bytes(&region));
        }
        assert!(most_held < MAX_HELD_BYTES, "{most_held} bytes");
    }));
}

// Guards against a controller that is killed for memory by several hundred slow senders.
#[test]
fn requests_that_are_sent_in_part_hold_bounded_memory_and_keep_nobody_out() {
    const RECEPTIONS: usize = 16;
    const MAX_RECEPTION_BYTES: usize = 112 * 1024;
    const MAX_CONNECTION_BYTES: usize = 5 * 1024;
    let _exclusive = run_exclusively();
    let (executor, listener, address) = executor_and_listener();
    let executors = ExecutorPriorities {
        users: executor.clone(),
        workers: executor.clone(),
        ..ExecutorPriorities::default()
    };
    let limits = ServerLimits {
        connections: 1000,
        receptions: RECEPTIONS,
    };
    let server = serve_prioritized(
        executors,
        |_| false,
        listener,
        limits,
        |request| async move {
            let is_whole = request.body.is_ok();
            ServerResponse::empty(if is_whole { 200 } else { 408 })
        },
    );
    executor.spawn(server).detach();
    async_io::block_on(executor.run(async {
        let part = vec![b'x'; 60_000];
        let mut most_held = 0;
        let region = Region::new(HEAP);
        let mut clients = Vec::with_capacity(CONNECTIONS);
        for _ in 0..CONNECTIONS {
            clients.push(Async::<TcpStream>::connect(address).await.unwrap());
        }
        // All parts are there before the server reads the first one.
        for (number, client) in clients.iter().enumerate() {
            let head = match number % 2 {
                0 => "POST / HTTP/1.1\r\nHost: here\r\nContent-Length: 65536\r\n\r\n",
                _ => "POST / HTTP/1.1\r\nHost: here\r\nTransfer-Encoding: chunked\r\n\r\nfff0\r\n",
            };
            let sent = [head.as_bytes(), part.as_slice()].concat();
            let _ = client.get_ref().write(&sent);
        }
        for _ in 0..CONNECTIONS * 100 {
            futures_lite::future::yield_now().await;
            most_held = most_held.max(held_bytes(&region));
        }
        let other = Async::<TcpStream>::connect(address).await.unwrap();
        send_get(&other, "/").await;
        assert_eq!(read_status(&other).await, "200");
        let allowed = RECEPTIONS * MAX_RECEPTION_BYTES + CONNECTIONS * MAX_CONNECTION_BYTES;
        assert!(most_held < allowed, "{most_held} bytes, {allowed} allowed");
        let mut kept = 0;
        for client in &clients {
            match read_status(client).await.as_str() {
                "408" => kept += 1,
                other => assert_eq!(other, "503"),
            }
        }
        assert!((1..=RECEPTIONS).contains(&kept), "{kept} not displaced");
    }));
}

#[test]
fn a_request_that_is_not_http_gets_400_and_its_connection_is_closed() {
    let _exclusive = run_exclusively();
    let (executor, listener, address) = executor_and_listener();
    let server = serve(executor.clone(), listener, 10, |_| async {
        ServerResponse::empty(200)
    });
    executor.spawn(server).detach();
    async_io::block_on(executor.run(async {
        for bytes in [
            "\x16\x03\x01 junk\r\n\r\n",
            "GET / HTTP/3.7\r\n\r\n",
            "GET\r\n\r\n",
        ] {
            let client = Async::<TcpStream>::connect(address).await.unwrap();
            (&client).write_all(bytes.as_bytes()).await.unwrap();
            assert_eq!(read_status(&client).await, "400", "{bytes:?}");
            let after_response = (&client).read(&mut [0; 8]).await.unwrap();
            assert_eq!(after_response, 0, "{bytes:?}");
        }
    }));
}

/// A waker without effect.
struct NoopWake;

impl std::task::Wake for NoopWake {
    fn wake(self: std::sync::Arc<Self>) {}
}

// Guards against a reactor that wakes for each new deadline, as it does if each has its own timer.
#[test]
fn the_timer_is_reset_only_for_earlier_deadlines() {
    let waker = || std::task::Waker::from(std::sync::Arc::new(NoopWake));
    let mut table = DeadlineTable::default();
    let first = table.add(DeadlineTable::due_at(0, 1000), waker());
    assert_eq!(table.arm_earliest(), Some(1024), "an eighth later at most");
    let mut completed = Vec::new();
    for now_ms in 0..100 {
        completed.push(table.add(DeadlineTable::due_at(now_ms, 1500), waker()));
        assert_eq!(table.arm_earliest(), None, "request at {now_ms} ms");
    }
    for key in completed {
        table.remove(key);
    }
    let early = table.add(DeadlineTable::due_at(5, 60), waker());
    assert_eq!(table.arm_earliest(), Some(68));
    assert!(table.is_waiting(early, &waker()));
    assert_eq!(table.take_due(67).len(), 0);
    assert_eq!(table.take_due(68).len(), 1);
    assert!(!table.is_waiting(early, &waker()) && table.is_waiting(first, &waker()));
    assert_eq!(table.arm_earliest(), Some(1024), "the next one");
    // Background tasks with the same interval wake together, whenever their last rounds ended.
    let ticks: Vec<u64> = [7000, 7001, 7999]
        .map(|now_ms| DeadlineTable::next_tick(now_ms, 1000))
        .into();
    assert_eq!(ticks, [8000, 8000, 8000]);
}

// Guards against the loss of shards under load: an overloaded controller read the response to its
// lease renewal only after hundreds of heartbeats and lost the lease, and its shards moved from one
// overloaded controller to the next.
#[test]
fn a_response_to_a_background_task_is_read_amid_hundreds_of_requests() {
    let _exclusive = run_exclusively();
    let executors = ExecutorPriorities::default();
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    async_io::block_on(executors.run(async {
        let client = Async::<TcpStream>::connect(address).await.unwrap();
        let (mut server, _) = listener.accept().unwrap();
        let handled_requests = Rc::new(Cell::new(0));
        let count = handled_requests.clone();
        let background_task = executors.background.spawn(async move {
            (&client).read_exact(&mut [0; 2]).await.unwrap();
            count.get()
        });
        // The response arrives while requests are being handled, so that only polling the sockets
        // can reveal it.
        let response = async move { std::io::Write::write_all(&mut server, b"ok").unwrap() };
        executors.users.spawn(response).detach();
        for executor in [&executors.users, &executors.workers] {
            for _ in 0..150 {
                let count = handled_requests.clone();
                let work = async move { count.set(count.get() + 1) };
                executor.spawn(work).detach();
            }
        }
        let before = background_task.await;
        assert!(before <= 32, "{before} requests were handled first");
        while handled_requests.get() < 300 {
            futures_lite::future::yield_now().await;
        }
    }));
}

#[test]
fn a_request_of_a_disconnected_client_does_not_reach_the_handler() {
    let _exclusive = run_exclusively();
    let (executor, listener, address) = executor_and_listener();
    // The client sends its request and disconnects before the server accepts the connection.
    let mut disconnected = TcpStream::connect(address).unwrap();
    let request = b"GET /gone HTTP/1.1\r\nHost: here\r\n\r\n";
    std::io::Write::write_all(&mut disconnected, request).unwrap();
    drop(disconnected);
    let handled = Rc::new(Cell::new(0));
    let count = handled.clone();
    let server = serve(
        executor.clone(),
        listener,
        10,
        move |request: ServerRequest| {
            count.set(count.get() + u32::from(request.path == "/gone"));
            async { ServerResponse::empty(200) }
        },
    );
    executor.spawn(server).detach();
    async_io::block_on(executor.run(async {
        for _ in 0..3 {
            let client = Async::<TcpStream>::connect(address).await.unwrap();
            send_get(&client, "/").await;
            assert_eq!(read_status(&client).await, "200");
        }
    }));
    assert_eq!(handled.get(), 0);
}
