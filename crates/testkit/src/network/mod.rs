//! Serves the fake key-value store, cloud and workers over HTTP on loopback, and records the
//! history of the run.

mod cloud_service;
pub mod faults;
mod kv_service;
mod worker_loop;

use crate::cloud::FakeCloud;
use crate::history::Recorder;
use crate::kv_store::FakeKvStore;
use crate::worker::FakeWorker;
use faults::Faults;

use async_executor::LocalExecutor;
use async_io::Async;
use pointhook::transport::http::{serve, ServerResponse};
use pointhook::transport::sleep;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

/// Maximum number of connections to the key-value store, and to the cloud.
const MAX_CONNECTIONS: usize = 1000;

type Executor = Rc<LocalExecutor<'static>>;
type SharedWorker = Rc<RefCell<FakeWorker>>;

/// Name and address of a controller.
#[derive(Clone, Debug)]
pub struct ControllerEndpoint {
    /// Name of the controller.
    pub name: String,
    /// Address on which the controller listens for users and workers.
    pub addr: SocketAddr,
}

/// Configuration that all workers share.
pub struct WorkerConfig {
    /// Controllers, in the order in which workers connect to them.
    pub controllers: Vec<ControllerEndpoint>,
    /// Average time between a worker's heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Time that a task takes to pull its image.
    pub image_pull_ms: u64,
    /// Time that a task runs.
    pub run_ms: u64,
    /// Duration of a worker's lease.
    pub lease_ms: u64,
    /// Time within which the tasks of a cancelled job have to be gone.
    pub cancel_ms: u64,
    /// Whether to print each started and deleted machine and each started task.
    pub verbose: bool,
}

/// Services that controllers depend on (key-value store, cloud and workers) on loopback.
pub struct LoopbackCluster {
    /// State of the key-value store.
    pub kv_store: RefCell<FakeKvStore>,
    /// State of the cloud.
    pub cloud: RefCell<FakeCloud>,
    /// Workers of provisioned machines, by machine name.
    pub workers: RefCell<BTreeMap<String, SharedWorker>>,
    /// Configuration of the workers.
    pub worker_config: WorkerConfig,
    /// Recorder of the run's history.
    pub recorder: RefCell<Recorder>,
    /// Number of heartbeats that controllers acknowledged with status 200.
    pub answered_heartbeats: Cell<u64>,
    /// Number of task starts, repeated attempts included.
    pub started_tasks: Cell<u64>,
    /// Names of all tasks with a result, which all workers share.
    pub results: Rc<RefCell<HashSet<String>>>,
    /// Faults of messages and machines; off at first.
    pub faults: Faults,
    created_at: Instant,
}

impl LoopbackCluster {
    /// Creates a cluster without machines and with an empty key-value store.
    pub fn new(worker_config: WorkerConfig) -> LoopbackCluster {
        LoopbackCluster {
            kv_store: RefCell::default(),
            cloud: RefCell::default(),
            workers: RefCell::default(),
            worker_config,
            recorder: RefCell::default(),
            answered_heartbeats: Cell::new(0),
            started_tasks: Cell::new(0),
            results: Rc::default(),
            faults: Faults::default(),
            created_at: Instant::now(),
        }
    }

    /// Milliseconds since the cluster was created.
    pub fn now_ms(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64
    }
}

/// Serves the key-value store and the cloud on their listeners; never returns.
pub async fn run(
    cluster: Rc<LoopbackCluster>,
    executor: Executor,
    kv_listener: Async<TcpListener>,
    cloud_listener: Async<TcpListener>,
) {
    let (kv_cluster, kv_executor) = (cluster.clone(), executor.clone());
    let kv_server = serve(
        executor.clone(),
        kv_listener,
        MAX_CONNECTIONS,
        move |request| kv_service::handle(kv_cluster.clone(), kv_executor.clone(), request),
    );
    executor.spawn(kv_server).detach();
    let cloud_executor = executor.clone();
    serve(executor, cloud_listener, MAX_CONNECTIONS, move |request| {
        cloud_service::handle(cluster.clone(), cloud_executor.clone(), request)
    })
    .await;
}

/// Time for which a request that is never answered is held, ms: longer than any caller waits.
const UNANSWERED_MS: u64 = 20_000;

/// Holds a request until its caller has given up, and answers it with an error.
async fn leave_unanswered() -> ServerResponse {
    sleep(UNANSWERED_MS).await;
    ServerResponse::empty(500)
}

/// Value of a field of a query string; empty if the field is missing.
fn query_field<'a>(query: &'a str, name: &str) -> &'a str {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        .unwrap_or("")
}
