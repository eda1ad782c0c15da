//! Puts a steady load on real controllers on loopback and measures the resources that each of them
//! uses: see docs/operations.md, "Where processor time goes".
//!
//!     cargo build --release && cargo run --release --example load -- --machines 470 --controllers 3
//!
//! The program starts the controllers and terminates them at the end. It reads their resource usage
//! from the counters of the operating system, so that a profiler can run at the same time
//! (`--wrapper "perf record -o {}.data"`).

use async_executor::LocalExecutor;
use clap::Parser;
use http_types::Method;
use pointhook::protocol::users::{JobKind, JobSpec, JobStatus, Priority};
use pointhook::transport::http::{listen, Client};
use pointhook::transport::sleep;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use testkit::network::{self, LoopbackCluster, WorkerConfig};
use testkit::process::{create_work_dir, ControllerAddresses, ControllerProcess, Deployment};

const CLOUD_PORT: u16 = 7482;
const KV_PORT: u16 = 7483;
const LEASE_MS: u64 = 30_000;
const CANCEL_MS: u64 = 55_000;
const IMAGE_PULL_MS: u64 = 10_000;
/// Delay before the first submission, in which the services begin to serve their listeners.
const START_UP_MS: u64 = 1000;
const SUBMIT_TIMEOUT_MS: u64 = 5000;
const SUBMIT_RETRY_MS: u64 = 1000;
const STATUS_TIMEOUT_MS: u64 = 2000;
const STATUS_POLL_INTERVAL_MS: u64 = 5000;
/// Number of status polls after which a job that is not done is cancelled: services never end by
/// themselves.
const MAX_STATUS_POLLS: u32 = 60;
/// Machines that one job keeps busy on average: a task takes about half a machine, and a job has
/// about eight tasks.
const MACHINES_PER_JOB: f64 = 6.5;

/// Puts a steady load on controllers and prints their resource usage.
#[derive(Parser)]
struct Args {
    /// Number of controllers.
    #[arg(long, alias = "nodes", default_value_t = 3)]
    controllers: usize,
    /// Capacity of the cloud, in machines.
    #[arg(long, default_value_t = 470)]
    machines: u32,
    /// Duration of the measurement in seconds; the warm-up before it takes as long.
    #[arg(long, default_value_t = 40)]
    seconds: u64,
    /// Seconds between a worker's heartbeats.
    #[arg(long, alias = "report-s", default_value_t = 4.0)]
    heartbeat_interval_s: f64,
    /// Seconds that a task runs.
    #[arg(long, default_value_t = 100)]
    run_s: u64,
    /// Path of the controller program.
    #[arg(long, default_value = "target/release/pointhook")]
    program: PathBuf,
    /// Path of the features file; without it, all optional features are off.
    #[arg(long)]
    features: Option<PathBuf>,
    /// Command that runs the program, such as a profiler; `{}` stands for the controller's name.
    #[arg(long, alias = "under")]
    wrapper: Option<String>,
}

fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let executor = Rc::new(LocalExecutor::new());
    let addresses = ControllerAddresses::allocate(args.controllers)?;
    let cluster = Rc::new(LoopbackCluster::new(WorkerConfig {
        controllers: addresses.iter().map(|a| a.endpoint()).collect(),
        heartbeat_interval_ms: (args.heartbeat_interval_s * 1000.0) as u64,
        image_pull_ms: IMAGE_PULL_MS,
        run_ms: args.run_s * 1000,
        lease_ms: LEASE_MS,
        cancel_ms: CANCEL_MS,
        verbose: false,
    }));
    cluster.cloud.borrow_mut().capacity = args.machines;
    let kv_listener = listen(loopback(KV_PORT))?;
    let cloud_listener = listen(loopback(CLOUD_PORT))?;
    let deployment = deployment(&args)?;
    let mut controllers = Vec::new();
    for index in 0..addresses.len() {
        controllers.push(ControllerProcess::start(&deployment, &addresses, index)?);
    }
    let services = network::run(
        cluster.clone(),
        executor.clone(),
        kv_listener,
        cloud_listener,
    );
    executor.spawn(services).detach();
    let measured = measure(&args, &cluster, &executor, &controllers);
    async_io::block_on(executor.run(measured));
    for controller in &mut controllers {
        controller.terminate()?;
    }
    println!("logs of the controllers: {}", deployment.work_dir.display());
    Ok(())
}

fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn deployment(args: &Args) -> std::io::Result<Deployment> {
    Ok(Deployment {
        program: args.program.clone(),
        features: args.features.clone(),
        work_dir: create_work_dir("load")?,
        kv_addr: loopback(KV_PORT),
        cloud_addr: loopback(CLOUD_PORT),
        wrapper_command: args.wrapper.clone(),
        lease_s: LEASE_MS as f64 / 1000.0,
        heartbeat_interval_s: args.heartbeat_interval_s,
        cancel_s: CANCEL_MS as f64 / 1000.0,
        kv_requests_per_s: 250.0,
        kv_writes_per_s: 20.0,
    })
}

/// Warms up, measures, and prints the load and each controller's resource usage per second.
async fn measure(
    args: &Args,
    cluster: &Rc<LoopbackCluster>,
    executor: &Rc<LocalExecutor<'static>>,
    controllers: &[ControllerProcess],
) {
    sleep(START_UP_MS).await;
    let users = simulate_users(cluster.clone(), executor.clone(), submit_interval_ms(args));
    executor.spawn(users).detach();
    sleep(args.seconds * 1000).await;
    let pids = controllers.iter().filter_map(|c| c.program_pid());
    let pids: Vec<u32> = pids.collect();
    let before: Vec<ProcessUsage> = pids.iter().map(|pid| ProcessUsage::read(*pid)).collect();
    let heartbeats_before = cluster.answered_heartbeats.get();
    let starts_before = cluster.started_tasks.get();
    sleep(args.seconds * 1000).await;
    let seconds = args.seconds as f64;
    println!(
        "{} machines, {:.1} heartbeats and {:.1} task starts per second, key-value store at revision {}",
        cluster.workers.borrow().len(),
        (cluster.answered_heartbeats.get() - heartbeats_before) as f64 / seconds,
        (cluster.started_tasks.get() - starts_before) as f64 / seconds,
        cluster.kv_store.borrow().revision
    );
    for (index, pid) in pids.iter().enumerate() {
        let (before, after) = (before[index], ProcessUsage::read(*pid));
        println!(
            "n{index}: {:.2} ms user and {:.2} ms kernel time per second, {:.0} context switches per second, {:.1} MB peak memory",
            (after.user_ms - before.user_ms) / seconds,
            (after.kernel_ms - before.kernel_ms) / seconds,
            (after.context_switches - before.context_switches) as f64 / seconds,
            after.peak_memory_kb as f64 / 1024.0
        );
    }
}

/// Time between two submissions at which the jobs keep all machines busy.
fn submit_interval_ms(args: &Args) -> u64 {
    let run_ms = args.run_s as f64 * 1000.0;
    (run_ms * MACHINES_PER_JOB / f64::from(args.machines)) as u64
}

/// Resource usage of a process since its start, from the counters of the operating system.
#[derive(Clone, Copy, Default)]
struct ProcessUsage {
    user_ms: f64,
    kernel_ms: f64,
    context_switches: u64,
    peak_memory_kb: u64,
}

impl ProcessUsage {
    /// Index of the user time among the fields of `/proc/PID/stat` after the program's name.
    const USER_TIME_FIELD: usize = 11;
    /// Index of the kernel time among the same fields.
    const KERNEL_TIME_FIELD: usize = 12;
    const CLOCK_TICK_MS: f64 = 10.0;

    /// Reads the counters of a process; counters that can't be read are zero.
    fn read(pid: u32) -> ProcessUsage {
        let mut usage = ProcessUsage::default();
        usage.read_times(pid);
        let threads = std::fs::read_dir(format!("/proc/{pid}/task"));
        for thread in threads.into_iter().flatten().flatten() {
            let status = std::fs::read_to_string(thread.path().join("status")).unwrap_or_default();
            usage.context_switches += status_field(&status, "voluntary_ctxt_switches:");
            let peak_memory_kb = status_field(&status, "VmHWM:");
            usage.peak_memory_kb = usage.peak_memory_kb.max(peak_memory_kb);
        }
        usage
    }

    fn read_times(&mut self, pid: u32) {
        let Ok(stat) = std::fs::read_to_string(format!("/proc/{pid}/stat")) else {
            return;
        };
        let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| {
            let field: Option<f64> = fields.get(index).and_then(|field| field.parse().ok());
            field.unwrap_or(0.0)
        };
        self.user_ms = ticks(Self::USER_TIME_FIELD) * Self::CLOCK_TICK_MS;
        self.kernel_ms = ticks(Self::KERNEL_TIME_FIELD) * Self::CLOCK_TICK_MS;
    }
}

/// Number in a field of a `/proc` status file; zero if the field is missing.
fn status_field(status: &str, name: &str) -> u64 {
    let rest = status.lines().find_map(|line| line.strip_prefix(name));
    let number = rest.and_then(|rest| rest.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Submits jobs at a steady rate to the controllers in turn.
async fn simulate_users(
    cluster: Rc<LoopbackCluster>,
    executor: Rc<LocalExecutor<'static>>,
    submit_interval_ms: u64,
) {
    let controllers = cluster.worker_config.controllers.clone();
    for number in 1u64.. {
        let controller = controllers[number as usize % controllers.len()].addr;
        executor.spawn(run_job(controller, number)).detach();
        sleep(submit_interval_ms).await;
    }
}

/// Simulates one user: submits a job, polls its status until it is done, and cancels it after
/// `MAX_STATUS_POLLS` polls.
async fn run_job(controller: SocketAddr, number: u64) {
    let client = Client::new(controller);
    let spec = job(number);
    let Ok(body) = rmp_serde::to_vec_named(&spec) else {
        return;
    };
    loop {
        let submitted = client.call(Method::Post, "/v1/jobs", body.clone(), SUBMIT_TIMEOUT_MS);
        let submitted = submitted.await;
        if submitted.is_ok_and(|answer| matches!(answer.status, 200 | 201)) {
            break;
        }
        sleep(SUBMIT_RETRY_MS).await;
    }
    let path = format!("/v1/jobs/{}", spec.id);
    for _ in 0..MAX_STATUS_POLLS {
        sleep(STATUS_POLL_INTERVAL_MS).await;
        if is_done(&client, &path).await {
            return;
        }
    }
    let path = format!("{path}/withdraw");
    let cancelled = client.call(Method::Post, &path, Vec::new(), SUBMIT_TIMEOUT_MS);
    // An error is ignored: the job then runs on, which only keeps machines busy.
    let _ = cancelled.await;
}

async fn is_done(client: &Client, path: &str) -> bool {
    let answer = client.call(Method::Get, path, Vec::new(), STATUS_TIMEOUT_MS);
    let status = answer
        .await
        .ok()
        .and_then(|answer| rmp_serde::from_slice::<JobStatus>(&answer.body).ok());
    status.is_some_and(|status| status.status == "done")
}

/// Specification of the job with this number. The kinds of jobs are in the proportions of a busy
/// deployment; a task takes about half a machine.
fn job(number: u64) -> JobSpec {
    let (kind, tasks, priority, size) = match number % 16 {
        0 => (JobKind::Service, 6, Priority::Production, 1.0),
        1..=5 => (JobKind::Gang, 1 << (number % 3), Priority::High, 1.0),
        6..=9 => (JobKind::Gang, 1 << (number % 5), Priority::Normal, 2.0),
        _ => (JobKind::Array, 15, Priority::Normal, 1.0),
    };
    let is_gang = kind == JobKind::Gang;
    JobSpec {
        id: format!("job-{number:06}"),
        class: format!("class-{}", number % 16 / 6),
        team: "ovens".into(),
        kind,
        priority,
        tasks,
        vcpus: 8.0 * size,
        gpus: 2.0 * size,
        mem_gb: 30.0 * size,
        image: format!("image-{}", number % 23),
        image_gb: 5.0,
        types: None,
        zone: None,
        one_zone: is_gang,
        spread: false,
        spot: !is_gang || size < 2.0,
        estimated_run_s: 100.0,
        checkpoint_s: 15.0,
        checkpoint_grace_s: 2.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}
