//! Stand-ins of the state service, the cloud and its workers on loopback, so that a
//! controller can be tried by hand: see README, "Try it".

#[path = "../tests/support/mod.rs"]
mod support;

use async_executor::LocalExecutor;
use http_types::Method;
use pointhook::protocol::cloud::{Booking, Hosts};
use pointhook::protocol::state::{Lease, LeaseRequest, Transaction};
use pointhook::protocol::workers::{Commands, ReportAnswer};
use pointhook::transport::http::{listen, serve, Answer, Client, Incoming};
use pointhook::transport::pause;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use support::cloud::Cloud;
use support::store::Store;
use support::worker::Worker;

const CONTROLLER: &str = "127.0.0.1:7480";
const CLOUD: &str = "127.0.0.1:7482";
const STATE: &str = "127.0.0.1:7483";
const REPORT_MS: u64 = 1000;

struct World {
    store: RefCell<Store>,
    cloud: RefCell<Cloud>,
    workers: RefCell<BTreeMap<String, Rc<RefCell<Worker>>>>,
    began: Instant,
}

impl World {
    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

/// A field of a query string.
fn field<'a>(query: &'a str, name: &str) -> &'a str {
    query
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
        .unwrap_or("")
}

async fn state(w: Rc<World>, req: Incoming) -> Answer {
    let body = req.body.unwrap_or_default();
    let parts: Vec<&str> = req.path.trim_start_matches('/').split('/').collect();
    let now = w.now();
    w.store.borrow_mut().expire(now);
    match (req.method, parts.as_slice()) {
        (Method::Post, ["commit"]) => match rmp_serde::from_slice::<Transaction>(&body) {
            Ok(t) => match w.store.borrow_mut().commit(&t, now) {
                (s, Some(c)) => Answer::of(s, &c),
                (s, None) => Answer::bare(s),
            },
            Err(_) => Answer::bare(400),
        },
        (Method::Post, ["grants"]) => match rmp_serde::from_slice::<LeaseRequest>(&body) {
            Ok(l) => {
                let lease = w.store.borrow_mut().grant(l.ttl_ms, now);
                Answer::of(200, &Lease { lease })
            }
            Err(_) => Answer::bare(400),
        },
        (Method::Post, ["grants", id, "touch"]) => {
            let there = id
                .parse()
                .is_ok_and(|id| w.store.borrow_mut().touch(id, now));
            Answer::bare(if there { 200 } else { 404 })
        }
        (Method::Get, ["keys"]) => {
            let most = field(&req.query, "most").parse().unwrap_or(1000);
            let (prefix, from) = (field(&req.query, "prefix"), field(&req.query, "from"));
            Answer::of(200, &w.store.borrow().list(prefix, from, most))
        }
        (Method::Get, ["watch"]) => {
            let from = field(&req.query, "from").parse().unwrap_or(0);
            let until = now
                + field(&req.query, "wait_ms")
                    .parse::<u64>()
                    .unwrap_or(0)
                    .min(60_000);
            loop {
                let (s, changes) = w.store.borrow().watch(field(&req.query, "prefix"), from);
                match changes {
                    Some(c) if !c.events.is_empty() || w.now() >= until => {
                        return Answer::of(s, &c)
                    }
                    None => return Answer::bare(s),
                    _ => pause(10).await,
                }
            }
        }
        _ => Answer::bare(404),
    }
}

async fn cloud(w: Rc<World>, ex: Rc<LocalExecutor<'static>>, req: Incoming) -> Answer {
    let body = req.body.unwrap_or_default();
    let now = w.now();
    match (req.method, req.path.as_str()) {
        (Method::Get, "/flavors") => Answer::of(200, &w.cloud.borrow().flavors),
        (Method::Get, "/hosts") => Answer::of(200, &w.cloud.borrow().list(now)),
        (Method::Post, "/hosts") => {
            let Ok(b) = rmp_serde::from_slice::<Booking>(&body) else {
                return Answer::bare(400);
            };
            let Some(hosts) = w.cloud.borrow_mut().book(&b, now) else {
                return Answer::bare(503);
            };
            for name in &hosts {
                if !w.workers.borrow().contains_key(name) {
                    println!("{name}: up in {}", b.zone);
                    let worker = Rc::new(RefCell::new(Worker::new(name, &b.zone, now)));
                    worker.borrow_mut().spot = b.spot;
                    w.workers.borrow_mut().insert(name.clone(), worker.clone());
                    ex.spawn(work(w.clone(), ex.clone(), worker)).detach();
                }
            }
            Answer::of(200, &Hosts { hosts })
        }
        (Method::Post, "/hosts/release") => {
            let Ok(h) = rmp_serde::from_slice::<Hosts>(&body) else {
                return Answer::bare(400);
            };
            w.cloud.borrow_mut().release(&h.hosts);
            for name in &h.hosts {
                if w.workers.borrow_mut().remove(name).is_some() {
                    println!("{name}: gone");
                }
            }
            Answer::bare(200)
        }
        _ => Answer::bare(404),
    }
}

/// A worker's routine: its own door for direct commands, and its reports.
async fn work(w: Rc<World>, ex: Rc<LocalExecutor<'static>>, worker: Rc<RefCell<Worker>>) {
    let local: SocketAddr = ([127, 0, 0, 1], 0).into();
    let Ok(door) = listen(local) else { return };
    let Ok(addr) = door.get_ref().local_addr() else {
        return;
    };
    worker.borrow_mut().addr = addr.to_string();
    let (world, me) = (w.clone(), worker.clone());
    let commands = ex.spawn(serve(ex.clone(), door, 16, move |req: Incoming| {
        let (world, me) = (world.clone(), me.clone());
        async move {
            let now = world.now();
            let mut status = 200;
            if req.path == "/commands" {
                match rmp_serde::from_slice::<Commands>(&req.body.unwrap_or_default()) {
                    Ok(c) => status = me.borrow_mut().command(&c, now),
                    Err(_) => return Answer::bare(400),
                }
            }
            Answer::of(status, &me.borrow_mut().report(now))
        }
    }));
    let Ok(controller) = CONTROLLER.parse() else {
        return;
    };
    let client = Client::new(controller);
    let name = worker.borrow().name.clone();
    let mut told = 0;
    while w.workers.borrow().contains_key(&name) {
        let sent = w.now();
        let report = worker.borrow_mut().report(sent);
        let body = rmp_serde::to_vec_named(&report).unwrap_or_default();
        if let Ok(f) = client.call(Method::Post, "/v1/report", body, 4000).await {
            if let Ok(a) = rmp_serde::from_slice::<ReportAnswer>(&f.body) {
                worker
                    .borrow_mut()
                    .answered(&a, report.session, sent, w.now());
            }
        }
        for (task, attempt) in worker.borrow().started.iter().skip(told) {
            println!("{name}: starts {task}, attempt {attempt}");
            told += 1;
        }
        pause(REPORT_MS).await;
    }
    commands.cancel().await;
}

fn main() -> std::io::Result<()> {
    let ex = Rc::new(LocalExecutor::new());
    let w = Rc::new(World {
        store: RefCell::default(),
        cloud: RefCell::default(),
        workers: RefCell::default(),
        began: Instant::now(),
    });
    let open = |addr: &str| listen(addr.parse().map_err(std::io::Error::other)?);
    let (s, c) = (open(STATE)?, open(CLOUD)?);
    println!("state service on {STATE}, cloud on {CLOUD}, workers report to {CONTROLLER}");
    async_io::block_on(async {
        let (w1, w2, e2) = (w.clone(), w.clone(), ex.clone());
        ex.spawn(serve(ex.clone(), s, 100, move |r| state(w1.clone(), r)))
            .detach();
        ex.run(serve(ex.clone(), c, 100, move |r| {
            cloud(w2.clone(), e2.clone(), r)
        }))
        .await;
    });
    Ok(())
}
