//! Measures failover times: a steady batch of jobs runs while the owner of a busy shard is killed
//! or paused, again and again. The checker then looks at everything that happened.

mod batch;
mod interruption;

use self::batch::Batch;
use self::interruption::interrupt;
use crate::checker::{check, Violation};
use crate::history::{Entry, Event};
use crate::network::{self, LoopbackCluster, WorkerConfig};
use crate::process::{
    create_work_dir, remove_work_dir, ControllerAddresses, ControllerProcess, Deployment,
};
use async_executor::LocalExecutor;
use hdrhistogram::Histogram;
use pointhook::transport::http::listen;
use pointhook::transport::pause;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Time that a task runs.
const TASK_RUN_MS: u64 = 1200;
/// Time that a task takes to pull its image.
const IMAGE_PULL_MS: u64 = 100;
/// Workers' lease.
const LEASE_MS: u64 = 10_000;
/// Time between a worker's heartbeats.
const HEARTBEAT_INTERVAL_MS: u64 = 1000;
/// Longest wait for anything; what takes longer has failed.
const TIMEOUT_MS: u64 = 60_000;
/// Time between two looks at a condition that is waited for.
const POLL_INTERVAL_MS: u64 = 20;
/// Machines of the cloud.
const MACHINES: u32 = 10;
/// Precision of the histogram of failover times.
const SIGNIFICANT_DIGITS: u8 = 3;

/// What is done to the controller that owns a busy shard.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Interruption {
    /// Its process is killed, and started again after the failover.
    Kill,
    /// Its process is paused for this time.
    Pause {
        /// Milliseconds.
        ms: u64,
    },
}

/// What to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// Program that controllers run.
    pub program: PathBuf,
    /// File of optional features.
    pub features: Option<PathBuf>,
    /// Number of controllers.
    pub controllers: usize,
    /// Interruptions, one after the other.
    pub interruptions: Vec<Interruption>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Failover times, and all that happened meanwhile.
#[derive(Debug)]
pub struct Measurement {
    /// Time from each interruption to the first decision of the next owner, ms; `None` if the
    /// interrupted controller kept its shard.
    pub failover_times_ms: Vec<Option<u64>>,
    /// Everything that happened.
    pub history: Vec<Entry>,
    /// Invariants that were broken.
    pub violations: Vec<Violation>,
}

impl Measurement {
    /// Number of jobs that were accepted.
    pub fn jobs(&self) -> usize {
        let accepted = |e: &&Entry| matches!(e.event, Event::Accepted { .. });
        self.history.iter().filter(accepted).count()
    }

    /// Number of tasks that were completed, repetitions included.
    pub fn completions(&self) -> usize {
        let completed = |e: &&Entry| matches!(e.event, Event::Completed { .. });
        self.history.iter().filter(completed).count()
    }

    /// The distribution of failover times.
    pub fn histogram(&self) -> Histogram<u64> {
        let histogram = Histogram::new_with_max(TIMEOUT_MS, SIGNIFICANT_DIGITS);
        let mut histogram = histogram.expect("these bounds are allowed");
        for ms in self.failover_times_ms.iter().flatten() {
            histogram.saturating_record(*ms);
        }
        histogram
    }
}

/// Why a measurement could not be finished.
#[derive(Debug, thiserror::Error)]
pub enum MeasurementError {
    /// A process, a file or a socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Something did not happen in time.
    #[error("waited in vain for {0}")]
    Timeout(&'static str),
}

/// Starts a deployment, interrupts its controllers as asked for, and measures the failovers.
pub fn measure_failover(options: &Options) -> Result<Measurement, MeasurementError> {
    let work_dir = create_work_dir(&format!("failover-{}", options.seed))?;
    let executor = Rc::new(LocalExecutor::new());
    let run = run(options, &work_dir, executor.clone());
    let result = async_io::block_on(executor.run(run));
    remove_work_dir(&work_dir);
    result
}

async fn run(
    options: &Options,
    work_dir: &Path,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<Measurement, MeasurementError> {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let (cluster, mut controllers) = start_deployment(options, work_dir, &executor)?;
    let batch = Rc::new(Batch::new(cluster.clone(), &controllers, rng.u64(..)));
    let submitting = executor.spawn(batch.clone().submit_jobs(executor.clone()));
    let mut failover_times_ms = Vec::new();
    for interruption in &options.interruptions {
        let time = interrupt(&cluster, &mut controllers, *interruption, &mut rng).await?;
        failover_times_ms.push(time);
    }
    submitting.cancel().await;
    let finished = batch.wait_until_done().await;
    let history = cluster.recorder.borrow().entries().to_vec();
    let violations = check(&history);
    if !finished && violations.is_empty() {
        return Err(MeasurementError::Timeout("the batch to be done"));
    }
    Ok(Measurement {
        failover_times_ms,
        history,
        violations,
    })
}

/// Serves the key-value store, the cloud and the workers, and starts the controllers.
fn start_deployment(
    options: &Options,
    work_dir: &Path,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<(Rc<LoopbackCluster>, Vec<ControllerProcess>), MeasurementError> {
    let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
    let (kv_listener, cloud_listener) = (listen(loopback)?, listen(loopback)?);
    let addresses = ControllerAddresses::allocate(options.controllers)?;
    let deployment = Deployment {
        program: options.program.clone(),
        features: options.features.clone(),
        work_dir: work_dir.to_path_buf(),
        kv_addr: kv_listener.get_ref().local_addr()?,
        cloud_addr: cloud_listener.get_ref().local_addr()?,
        wrapper_command: None,
        lease_s: LEASE_MS as f64 / 1000.0,
        heartbeat_interval_s: HEARTBEAT_INTERVAL_MS as f64 / 1000.0,
        kv_requests_per_s: 1000.0,
        kv_writes_per_s: 200.0,
    };
    let cluster = Rc::new(LoopbackCluster::new(WorkerConfig {
        controllers: addresses.iter().map(|a| a.endpoint()).collect(),
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        image_pull_ms: IMAGE_PULL_MS,
        run_ms: TASK_RUN_MS,
        lease_ms: LEASE_MS,
        verbose: false,
    }));
    cluster.cloud.borrow_mut().capacity = MACHINES;
    let services = network::run(
        cluster.clone(),
        executor.clone(),
        kv_listener,
        cloud_listener,
    );
    executor.spawn(services).detach();
    let controllers: Result<Vec<ControllerProcess>, std::io::Error> = (0..addresses.len())
        .map(|index| ControllerProcess::start(&deployment, &addresses, index))
        .collect();
    Ok((cluster, controllers?))
}

/// Waits until a condition holds; `None` if that takes longer than the timeout.
async fn poll_until<T>(
    cluster: &LoopbackCluster,
    timeout_ms: u64,
    mut condition: impl FnMut() -> Option<T>,
) -> Option<T> {
    let deadline = cluster.now() + timeout_ms;
    while cluster.now() < deadline {
        if let Some(found) = condition() {
            return Some(found);
        }
        pause(POLL_INTERVAL_MS).await;
    }
    None
}
