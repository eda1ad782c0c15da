//! Memory and work that connections, heartbeats and planning may cost, by counts that repeat exactly.

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use pointhook::transport::deadlines::DeadlineTable;
use pointhook::transport::executor_priorities::ExecutorPriorities;
use pointhook::transport::http::{listen, serve, ServerRequest, ServerResponse};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, PoisonError};

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Counts are the process': one test at a time.
fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes allocated and not given back since.
fn held(since: &Region<System>) -> usize {
    let s = since.change();
    s.bytes_allocated.saturating_sub(s.bytes_deallocated)
}

const CONNECTIONS: usize = 150;

/// An executor, and a listener on loopback with its address.
fn open_door() -> (Rc<LocalExecutor<'static>>, Async<TcpListener>, SocketAddr) {
    let door = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let addr = door.get_ref().local_addr().unwrap();
    (Rc::new(LocalExecutor::new()), door, addr)
}

async fn ask(mut stream: &Async<TcpStream>, path: &str) {
    let head = format!("GET {path} HTTP/1.1\r\nHost: here\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
}

/// The status line's code.
async fn status(mut stream: &Async<TcpStream>) -> String {
    let mut buf = [0; 1024];
    let n = stream.read(&mut buf).await.unwrap();
    String::from_utf8_lossy(&buf[..n])
        .split(' ')
        .nth(1)
        .unwrap_or_default()
        .to_string()
}

// A busy controller on a small machine was killed for memory at 837 connections of 51 KB each.
#[test]
fn idle_connections_and_waiting_requests_hold_a_few_kilobytes() {
    let _alone = alone();
    let (ex, door, addr) = open_door();
    let entered = Rc::new(Cell::new(0));
    let (go, wait) = async_channel::bounded::<()>(1);
    let (count, gate) = (entered.clone(), wait.clone());
    let serving = serve(ex.clone(), door, 1000, move |req: ServerRequest| {
        let (count, gate) = (count.clone(), gate.clone());
        async move {
            if req.path == "/wait" {
                count.set(count.get() + 1);
                let _ = gate.recv().await;
            }
            ServerResponse::empty(200)
        }
    });
    ex.spawn(serving).detach();
    async_io::block_on(ex.run(async {
        let mut clients = Vec::with_capacity(CONNECTIONS);
        let first = Async::<TcpStream>::connect(addr).await.unwrap();
        ask(&first, "/").await;
        assert_eq!(status(&first).await, "200");
        let region = Region::new(HEAP);
        for _ in 0..CONNECTIONS {
            let c = Async::<TcpStream>::connect(addr).await.unwrap();
            ask(&c, "/").await;
            assert_eq!(status(&c).await, "200");
            clients.push(c);
        }
        let at_rest = held(&region) / CONNECTIONS;
        assert!(at_rest < 5 * 1024, "{at_rest} bytes a connection at rest");
        for c in &clients {
            ask(c, "/wait").await;
        }
        while entered.get() < CONNECTIONS {
            futures_lite::future::yield_now().await;
        }
        let waiting = held(&region) / CONNECTIONS;
        assert!(waiting < 8 * 1024, "{waiting} bytes a request that waits");
        go.close();
        for c in &clients {
            assert_eq!(status(c).await, "200");
        }
    }));
}

#[test]
fn a_request_that_is_not_http_gets_400_and_its_connection_is_closed() {
    let _alone = alone();
    let (ex, door, addr) = open_door();
    let serving = serve(ex.clone(), door, 10, |_| async {
        ServerResponse::empty(200)
    });
    ex.spawn(serving).detach();
    async_io::block_on(ex.run(async {
        for junk in [
            "\x16\x03\x01 junk\r\n\r\n",
            "GET / HTTP/3.7\r\n\r\n",
            "GET\r\n\r\n",
        ] {
            let c = Async::<TcpStream>::connect(addr).await.unwrap();
            (&c).write_all(junk.as_bytes()).await.unwrap();
            assert_eq!(status(&c).await, "400", "{junk:?}");
            assert_eq!((&c).read(&mut [0; 8]).await.unwrap(), 0, "{junk:?}");
        }
    }));
}

struct Nobody;

impl std::task::Wake for Nobody {
    fn wake(self: std::sync::Arc<Self>) {}
}

// Every deadline had a timer of its own, and setting one woke the reactor.
#[test]
fn the_timer_is_reset_only_for_earlier_deadlines() {
    let nobody = || std::task::Waker::from(std::sync::Arc::new(Nobody));
    let mut t = DeadlineTable::default();
    let first = t.add(DeadlineTable::due_at(0, 1000), nobody());
    assert_eq!(t.arm_earliest(), Some(1024), "an eighth later at most");
    let mut answered = Vec::new();
    for i in 0..100 {
        answered.push(t.add(DeadlineTable::due_at(i, 1500), nobody()));
        assert_eq!(t.arm_earliest(), None, "request {i}");
    }
    for key in answered {
        t.remove(key);
    }
    let early = t.add(DeadlineTable::due_at(5, 60), nobody());
    assert_eq!(t.arm_earliest(), Some(68));
    assert!(t.is_waiting(early, &nobody()));
    assert_eq!(t.take_due(67).len(), 0);
    assert_eq!(t.take_due(68).len(), 1);
    assert!(!t.is_waiting(early, &nobody()) && t.is_waiting(first, &nobody()));
    assert_eq!(t.arm_earliest(), Some(1024), "the next one");
    // Background tasks of one rate tick together, whenever each of them ended.
    let ticks: Vec<u64> = [7000, 7001, 7999]
        .map(|t| DeadlineTable::next_tick(t, 1000))
        .into();
    assert_eq!(ticks, [8000, 8000, 8000]);
}

// A controller that fell behind read the response to its lease's renewal after hundreds of
// heartbeats, lost the lease, and its shards went from one slow controller to the next.
#[test]
fn a_response_to_a_background_task_is_read_amid_hundreds_of_requests() {
    let _alone = alone();
    let executors = ExecutorPriorities::default();
    let door = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let addr = door.local_addr().unwrap();
    async_io::block_on(executors.run(async {
        let ours = Async::<TcpStream>::connect(addr).await.unwrap();
        let (mut theirs, _) = door.accept().unwrap();
        let turns = Rc::new(Cell::new(0));
        let when = turns.clone();
        let duty = executors.background.spawn(async move {
            (&ours).read_exact(&mut [0; 2]).await.unwrap();
            when.get()
        });
        // The answer comes while requests are worked on, so that only a look at the sockets
        // shows it.
        let answer = async move { std::io::Write::write_all(&mut theirs, b"ok").unwrap() };
        executors.users.spawn(answer).detach();
        for executor in [&executors.users, &executors.workers] {
            for _ in 0..150 {
                let turns = turns.clone();
                let work = async move { turns.set(turns.get() + 1) };
                executor.spawn(work).detach();
            }
        }
        let before = duty.await;
        assert!(before <= 32, "{before} turns of requests came first");
        while turns.get() < 300 {
            futures_lite::future::yield_now().await;
        }
    }));
}

#[test]
fn a_request_of_a_disconnected_client_costs_its_handler_nothing() {
    let _alone = alone();
    let (ex, door, addr) = open_door();
    // Sent and closed before the controller gets to it.
    let mut gone = TcpStream::connect(addr).unwrap();
    std::io::Write::write_all(&mut gone, b"GET /gone HTTP/1.1\r\nHost: here\r\n\r\n").unwrap();
    drop(gone);
    let handled = Rc::new(Cell::new(0));
    let count = handled.clone();
    let serving = serve(ex.clone(), door, 10, move |req: ServerRequest| {
        count.set(count.get() + u32::from(req.path == "/gone"));
        async { ServerResponse::empty(200) }
    });
    ex.spawn(serving).detach();
    async_io::block_on(ex.run(async {
        for _ in 0..3 {
            let c = Async::<TcpStream>::connect(addr).await.unwrap();
            ask(&c, "/").await;
            assert_eq!(status(&c).await, "200");
        }
    }));
    assert_eq!(handled.get(), 0);
}
