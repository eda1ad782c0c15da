//! A steady load on real controllers on loopback, and what it costs each of them: see
//! docs/operations.md, "Where processor time goes".
//!
//!     cargo build --release && cargo run --release --example load -- --machines 470 --nodes 3
//!
//! The controllers are started by this program and ended by it. Costs are read from the
//! system's own counters, so a profiler may run beside them (`--under "perf record -o {}.data"`).

use async_executor::LocalExecutor;
use clap::Parser;
use http_types::Method;
use pointhook::protocol::users::{JobKind, JobSpec, Priority};
use pointhook::transport::http::{listen, Client};
use pointhook::transport::pause;
use std::net::SocketAddr;
use std::rc::Rc;
use testkit::network::{self, Habits, World};
use testkit::process::{own_folder, Addresses, Controller, Deployment};

/// Puts a steady load on controllers and tells what it costs them.
#[derive(Parser)]
struct Args {
    /// Controllers.
    #[arg(long, default_value_t = 3)]
    nodes: usize,
    /// Machines that the cloud has.
    #[arg(long, default_value_t = 470)]
    machines: u32,
    /// Seconds to measure, after as many to begin.
    #[arg(long, default_value_t = 40)]
    seconds: u64,
    /// Seconds between a worker's reports.
    #[arg(long, default_value_t = 4.0)]
    report_s: f64,
    /// Seconds that a task runs.
    #[arg(long, default_value_t = 100)]
    run_s: u64,
    /// Program that controllers are started with.
    #[arg(long, default_value = "target/release/pointhook")]
    program: String,
    /// File of optional features that controllers are started with.
    #[arg(long)]
    features: Option<std::path::PathBuf>,
    /// Command that the program is started under; `{}` is the node's name.
    #[arg(long)]
    under: Option<String>,
}

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// What a process has used, by the system's counters.
#[derive(Clone, Copy, Default)]
struct Used {
    user_ms: f64,
    kernel_ms: f64,
    switches: u64,
    peak_kb: u64,
}

fn used(pid: u32) -> Used {
    let mut out = Used::default();
    let ticks_ms = 10.0;
    if let Ok(stat) = std::fs::read_to_string(format!("/proc/{pid}/stat")) {
        let rest = stat.rsplit_once(')').map_or("", |(_, r)| r);
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ms = |i: usize| fields.get(i).and_then(|f| f.parse().ok()).unwrap_or(0.0) * ticks_ms;
        out.user_ms = ms(11);
        out.kernel_ms = ms(12);
    }
    let field = |text: &str, name: &str| {
        let line = text.lines().find_map(|l| l.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<u64>().ok()
    };
    for task in std::fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten()
        .flatten()
    {
        let text = std::fs::read_to_string(task.path().join("status")).unwrap_or_default();
        out.switches += field(&text, "voluntary_ctxt_switches:").unwrap_or(0);
        out.peak_kb = out.peak_kb.max(field(&text, "VmHWM:").unwrap_or(0));
    }
    out
}

/// Jobs of all shapes in the proportions of a busy deployment; about one task in two of a machine.
fn job(n: u64) -> JobSpec {
    let (shape, tasks, priority, size) = match n % 16 {
        0 => (JobKind::Service, 6, Priority::Production, 1.0),
        1..=5 => (JobKind::Gang, 1 << (n % 3), Priority::High, 1.0),
        6..=9 => (JobKind::Gang, 1 << (n % 5), Priority::Normal, 2.0),
        _ => (JobKind::Array, 15, Priority::Normal, 1.0),
    };
    let gang = shape == JobKind::Gang;
    JobSpec {
        id: format!("job-{n:06}"),
        class: format!("class-{}", n % 16 / 6),
        team: "ovens".into(),
        kind: shape,
        priority,
        tasks,
        vcpus: 8.0 * size,
        gpus: 2.0 * size,
        mem_gb: 30.0 * size,
        image: format!("image-{}", n % 23),
        image_gb: 5.0,
        types: None,
        zone: None,
        one_zone: gang,
        spread: false,
        spot: !gang || size < 2.0,
        estimated_run_s: 100.0,
        checkpoint_s: 15.0,
        checkpoint_grace_s: 2.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Users: submits jobs at a steady rate, polls those that are open, and cancels services.
async fn users(w: Rc<World>, ex: Rc<LocalExecutor<'static>>, every_ms: u64) {
    let nodes = w.habits.controllers.clone();
    for n in 1u64.. {
        let to = nodes[n as usize % nodes.len()].1;
        ex.spawn(async move {
            let client = Client::new(to);
            let spec = job(n);
            let Ok(body) = rmp_serde::to_vec_named(&spec) else {
                return;
            };
            loop {
                let sent = client.call(Method::Post, "/v1/jobs", body.clone(), 5000);
                if sent.await.is_ok_and(|f| matches!(f.status, 200 | 201)) {
                    break;
                }
                pause(1000).await;
            }
            let path = format!("/v1/jobs/{}", spec.id);
            for _ in 0..60 {
                pause(5000).await;
                let polled = client.call(Method::Get, &path, Vec::new(), 2000).await;
                let status = polled.ok().and_then(|f| {
                    rmp_serde::from_slice::<pointhook::protocol::users::JobStatus>(&f.body).ok()
                });
                if status.is_some_and(|s| s.status == "done") {
                    return;
                }
            }
            let path = format!("{path}/withdraw");
            let _ = client.call(Method::Post, &path, Vec::new(), 5000).await;
        })
        .detach();
        pause(every_ms).await;
    }
}

fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let ex = Rc::new(LocalExecutor::new());
    let all = Addresses::allot(args.nodes)?;
    let w = Rc::new(World::new(Habits {
        controllers: all.iter().map(|a| (a.name.clone(), a.bind)).collect(),
        report_ms: (args.report_s * 1000.0) as u64,
        image_pull_ms: 10_000,
        run_ms: args.run_s * 1000,
        lease_ms: 30_000,
        tell: false,
    }));
    w.cloud.borrow_mut().capacity = args.machines;
    let (state, cloud) = (listen(addr(7483))?, listen(addr(7482))?);
    let deployment = Deployment {
        program: args.program.clone().into(),
        features: args.features.clone(),
        folder: own_folder("load")?,
        state: addr(7483),
        cloud: addr(7482),
        under: args.under.clone(),
        lease_s: 30.0,
        report_s: args.report_s,
        state_rps: 250.0,
        state_write_rps: 20.0,
    };
    let mut controllers = Vec::new();
    for at in 0..all.len() {
        controllers.push(Controller::start(&deployment, &all, at)?);
    }
    // Half of a machine's room for each task, about eight tasks a job, all of them busy.
    let every_ms = (args.run_s as f64 * 1000.0 * 6.5 / f64::from(args.machines)) as u64;
    let measured = async {
        ex.spawn(network::run(w.clone(), ex.clone(), state, cloud))
            .detach();
        pause(1000).await;
        ex.spawn(users(w.clone(), ex.clone(), every_ms)).detach();
        pause(args.seconds * 1000).await;
        let pids: Vec<u32> = controllers
            .iter()
            .filter_map(Controller::program_pid)
            .collect();
        let before: Vec<Used> = pids.iter().map(|p| used(*p)).collect();
        let (answered, started) = (w.answered.get(), w.started.get());
        pause(args.seconds * 1000).await;
        let s = args.seconds as f64;
        println!(
            "{} machines, {:.1} reports and {:.1} starts a second, store at revision {}",
            w.workers.borrow().len(),
            (w.answered.get() - answered) as f64 / s,
            (w.started.get() - started) as f64 / s,
            w.store.borrow().revision
        );
        for (i, pid) in pids.iter().enumerate() {
            let (a, b) = (before[i], used(*pid));
            println!(
                "n{i}: {:.2} ms own and {:.2} ms kernel time a second, {:.0} switches a second, {:.1} MB at most",
                (b.user_ms - a.user_ms) / s,
                (b.kernel_ms - a.kernel_ms) / s,
                (b.switches - a.switches) as f64 / s,
                b.peak_kb as f64 / 1024.0
            );
        }
    };
    async_io::block_on(ex.run(measured));
    for controller in &mut controllers {
        controller.end()?;
    }
    println!("logs of the controllers: {}", deployment.folder.display());
    Ok(())
}
