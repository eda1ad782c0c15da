//! The fake key-value store, cloud and workers behind sockets on loopback, and a record of what
//! happens among them.

mod cloud_service;
mod kv_service;
mod worker_loop;

use crate::cloud::FakeCloud;
use crate::history::Recorder;
use crate::kv_store::FakeKvStore;
use crate::worker::FakeWorker;

use async_executor::LocalExecutor;
use async_io::Async;
use pointhook::transport::http::serve;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

/// Connections that the key-value store and the cloud accept.
const MAX_CONNECTIONS: usize = 1000;

type Executor = Rc<LocalExecutor<'static>>;
type SharedWorker = Rc<RefCell<FakeWorker>>;

/// Name and address of a controller.
#[derive(Clone, Debug)]
pub struct ControllerEndpoint {
    /// Name.
    pub name: String,
    /// Address for users and workers.
    pub addr: SocketAddr,
}

/// How all workers behave.
pub struct WorkerConfig {
    /// Controllers, in the order in which workers try them.
    pub controllers: Vec<ControllerEndpoint>,
    /// Time between heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Time that a task takes to pull its image.
    pub image_pull_ms: u64,
    /// Time that a task runs.
    pub run_ms: u64,
    /// The workers' lease.
    pub lease_ms: u64,
    /// Print each machine and each start.
    pub verbose: bool,
}

/// Everything around the controllers: key-value store, cloud and workers.
pub struct LoopbackCluster {
    /// Key-value store.
    pub kv_store: RefCell<FakeKvStore>,
    /// Cloud.
    pub cloud: RefCell<FakeCloud>,
    /// Workers of provisioned machines, by machine name.
    pub workers: RefCell<BTreeMap<String, SharedWorker>>,
    /// How the workers behave.
    pub worker_config: WorkerConfig,
    /// What has happened.
    pub recorder: RefCell<Recorder>,
    /// Heartbeats that were answered with 200.
    pub answered_heartbeats: Cell<u64>,
    /// Tasks that were started.
    pub started_tasks: Cell<u64>,
    began: Instant,
}

impl LoopbackCluster {
    /// A cluster without machines and with an empty store.
    pub fn new(worker_config: WorkerConfig) -> LoopbackCluster {
        LoopbackCluster {
            kv_store: RefCell::default(),
            cloud: RefCell::default(),
            workers: RefCell::default(),
            worker_config,
            recorder: RefCell::default(),
            answered_heartbeats: Cell::new(0),
            started_tasks: Cell::new(0),
            began: Instant::now(),
        }
    }

    /// Milliseconds since the beginning.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

/// Serves the key-value store and the cloud on these listeners until one of them fails.
pub async fn run(
    cluster: Rc<LoopbackCluster>,
    executor: Executor,
    kv_listener: Async<TcpListener>,
    cloud_listener: Async<TcpListener>,
) {
    let kv_cluster = cluster.clone();
    let kv_server = serve(
        executor.clone(),
        kv_listener,
        MAX_CONNECTIONS,
        move |request| kv_service::handle(kv_cluster.clone(), request),
    );
    executor.spawn(kv_server).detach();
    let cloud_executor = executor.clone();
    serve(executor, cloud_listener, MAX_CONNECTIONS, move |request| {
        cloud_service::handle(cluster.clone(), cloud_executor.clone(), request)
    })
    .await;
}

/// Value of a field of a query string; empty if it is missing.
fn query_field<'a>(query: &'a str, name: &str) -> &'a str {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        .unwrap_or("")
}
