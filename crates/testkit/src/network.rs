//! The stand-ins behind sockets on loopback, and a record of what happens among them.

use crate::cloud::Cloud;
use crate::history::{Event, Recorder};
use crate::store::Store;
use crate::worker::Worker;

use async_executor::LocalExecutor;
use async_io::Async;
use http_types::Method;
use pointhook::protocol::cloud::{MachineNames, ProvisioningRequest};
use pointhook::protocol::kv::{Lease, LeaseRequest, Transaction};
use pointhook::protocol::workers::{DirectCommands, HeartbeatResponse, NotOwner};
use pointhook::transport::http::{listen, serve, Answer, Client, Incoming};
use pointhook::transport::pause;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

/// How the workers behave.
pub struct Habits {
    /// Controllers by name, in the order in which workers try them.
    pub controllers: Vec<(String, SocketAddr)>,
    /// Time between reports.
    pub report_ms: u64,
    /// Time that a task's image takes.
    pub image_pull_ms: u64,
    /// Time that a task runs.
    pub run_ms: u64,
    /// The workers' lease.
    pub lease_ms: u64,
    /// Tell of each machine and each start.
    pub tell: bool,
}

/// State service, cloud and workers.
pub struct World {
    /// State service.
    pub store: RefCell<Store>,
    /// Cloud.
    pub cloud: RefCell<Cloud>,
    /// Workers of rented machines, by name.
    pub workers: RefCell<BTreeMap<String, Rc<RefCell<Worker>>>>,
    /// How the workers behave.
    pub habits: Habits,
    /// What has happened.
    pub recorder: RefCell<Recorder>,
    /// Reports that were answered with 200.
    pub answered: Cell<u64>,
    /// Tasks started.
    pub started: Cell<u64>,
    began: Instant,
}

impl World {
    /// Nothing rented, nothing stored.
    pub fn new(habits: Habits) -> World {
        World {
            store: RefCell::default(),
            cloud: RefCell::default(),
            workers: RefCell::default(),
            habits,
            recorder: RefCell::default(),
            answered: Cell::new(0),
            started: Cell::new(0),
            began: Instant::now(),
        }
    }

    /// Milliseconds since the beginning.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

/// Serves the state service and the cloud at these doors until one of them fails.
pub async fn run(
    w: Rc<World>,
    ex: Rc<LocalExecutor<'static>>,
    state_door: Async<TcpListener>,
    cloud_door: Async<TcpListener>,
) {
    let (w1, w2, e2) = (w.clone(), w, ex.clone());
    ex.spawn(serve(ex.clone(), state_door, 1000, move |r| {
        state(w1.clone(), r)
    }))
    .detach();
    serve(ex, cloud_door, 1000, move |r| {
        cloud(w2.clone(), e2.clone(), r)
    })
    .await;
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
            Ok(t) => {
                let answer = w.store.borrow_mut().commit(&t, now);
                if let (200, Some(committed)) = &answer {
                    let mut recorder = w.recorder.borrow_mut();
                    recorder.committed(&t, committed.revision, now);
                }
                match answer {
                    (status, Some(committed)) => Answer::of(status, &committed),
                    (status, None) => Answer::bare(status),
                }
            }
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
            let wait = field(&req.query, "wait_ms").parse::<u64>().unwrap_or(0);
            let until = now + wait.min(60_000);
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
        (Method::Get, "/hosts") => {
            // By pages, as the protocol has it.
            let mut list = w.cloud.borrow().list(now);
            let from = field(&req.query, "from");
            let most = field(&req.query, "most").parse().unwrap_or(500);
            list.hosts.retain(|h| h.name.as_str() > from);
            list.more = list.hosts.len() > most;
            list.hosts.truncate(most);
            Answer::of(200, &list)
        }
        (Method::Post, "/hosts") => {
            let Ok(b) = rmp_serde::from_slice::<ProvisioningRequest>(&body) else {
                return Answer::bare(400);
            };
            let Some(hosts) = w.cloud.borrow_mut().send_provisioning_request(&b, now) else {
                return Answer::bare(503);
            };
            for name in &hosts {
                if !w.workers.borrow().contains_key(name) {
                    if w.habits.tell {
                        println!("{name}: up in {}", b.zone);
                    }
                    let mut worker = Worker::new(name, &b.zone, now);
                    worker.spot = b.spot;
                    worker.image_pull_ms = w.habits.image_pull_ms;
                    worker.run_ms = w.habits.run_ms;
                    worker.lease_ms = w.habits.lease_ms;
                    let worker = Rc::new(RefCell::new(worker));
                    w.workers.borrow_mut().insert(name.clone(), worker.clone());
                    ex.spawn(work(w.clone(), ex.clone(), worker)).detach();
                }
            }
            Answer::of(200, &MachineNames { hosts })
        }
        (Method::Post, "/hosts/release") => {
            let Ok(h) = rmp_serde::from_slice::<MachineNames>(&body) else {
                return Answer::bare(400);
            };
            w.cloud.borrow_mut().release(&h.hosts);
            for name in &h.hosts {
                if w.workers.borrow_mut().remove(name).is_some() && w.habits.tell {
                    println!("{name}: gone");
                }
            }
            Answer::bare(200)
        }
        _ => Answer::bare(404),
    }
}

/// Records what a worker has started and completed since it was looked at last.
fn note_progress(w: &World, worker: &RefCell<Worker>) {
    let worker = worker.borrow();
    let now = w.now();
    let mut recorder = w.recorder.borrow_mut();
    let seen = recorder.progress_of(&worker.name);
    for (task, attempt) in worker.started.iter().skip(seen.started) {
        if w.habits.tell {
            println!("{}: starts {task}, attempt {attempt}", worker.name);
        }
        w.started.set(w.started.get() + 1);
        let event = Event::Started {
            task: task.clone(),
            attempt: *attempt,
            machine: worker.name.clone(),
            also_on: other_machine_with(w, &worker.name, task),
        };
        recorder.record(now, event);
    }
    for task in worker.completed.iter().skip(seen.completed) {
        let event = Event::Completed {
            task: task.clone(),
            machine: worker.name.clone(),
        };
        recorder.record(now, event);
    }
    let (started, completed) = (worker.started.len(), worker.completed.len());
    recorder.note_progress(&worker.name, started, completed);
}

/// Another machine that has the task and has not ended it.
fn other_machine_with(w: &World, machine: &str, task: &str) -> Option<String> {
    let workers = w.workers.borrow();
    let mut others = workers.iter().filter(|(name, _)| *name != machine);
    let found = others.find(|(_, other)| {
        let other = other.try_borrow();
        other.is_ok_and(|other| other.has(task))
    });
    found.map(|(name, _)| name.clone())
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
                match rmp_serde::from_slice::<DirectCommands>(&req.body.unwrap_or_default()) {
                    Ok(c) => status = me.borrow_mut().command(&c, now),
                    Err(_) => return Answer::bare(400),
                }
                note_progress(&world, &me);
            }
            Answer::of(status, &me.borrow_mut().report(now))
        }
    }));
    let nodes = &w.habits.controllers;
    let mut at = 0;
    let mut client = Client::new(nodes[at].1);
    let name = worker.borrow().name.clone();
    while w.workers.borrow().contains_key(&name) {
        let sent = w.now();
        let report = worker.borrow_mut().report(sent);
        note_progress(&w, &worker);
        let body = rmp_serde::to_vec_named(&report).unwrap_or_default();
        let answer = client.call(Method::Post, "/v1/report", body, 4000).await;
        let mut next = None;
        match answer {
            Ok(f) if f.status == 200 => {
                if let Ok(a) = rmp_serde::from_slice::<HeartbeatResponse>(&f.body) {
                    w.answered.set(w.answered.get() + 1);
                    let now = w.now();
                    worker
                        .borrow_mut()
                        .answered(&a, report.agent_epoch.0, sent, now);
                }
            }
            Ok(f) if f.status == 421 => {
                let owner = rmp_serde::from_slice::<NotOwner>(&f.body).ok();
                let owner = owner.and_then(|e| e.owner);
                let named = owner.and_then(|o| nodes.iter().position(|(n, _)| *n == o));
                next = Some((named.unwrap_or((at + 1) % nodes.len()), named.is_some()));
            }
            _ => next = Some(((at + 1) % nodes.len(), false)),
        }
        note_progress(&w, &worker);
        match next {
            Some((to, named)) => {
                at = to;
                client = Client::new(nodes[at].1);
                pause(if named { 50 } else { 1000 }).await;
            }
            None => {
                pause(w.habits.report_ms * 3 / 4 + fastrand::u64(0..=w.habits.report_ms / 2)).await
            }
        }
    }
    commands.cancel().await;
}
