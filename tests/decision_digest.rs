//! A digest of decisions: runs fixed scenarios on a simulated clock, and hashes all messages to the
//! key-value store and to workers, and all answers to users, in their order; one hash for each
//! scenario. A change that keeps the behaviour leaves every line of `data/decision_digest.txt` as
//! it is.
//!
//! The hash covers these events with their times: each transaction with its conditions and writes,
//! in the order in which it lists them, and its response; responses to heartbeats, direct commands
//! and stops, and fencing tokens sent to workers; answers to submissions, cancellations and status
//! requests; machines that are provisioned, needed and deleted; machines reserved for gangs; the
//! order of waiting jobs and the machines in whose queues their tasks would be placed; at the end,
//! the tasks that each machine has started and completed, and each job's state.
//!
//! The hash does not cover messages between controllers, logs, metrics and sockets; those show only
//! in the decisions that follow from them. Names of needed machines are sorted because they are a
//! set; nothing else is reordered. Random numbers are seeded; times and incarnations are simulated.
//!
//! `POINTHOOK_WRITE_GOLDEN=1` overwrites the file, and the test then fails.
//! `POINTHOOK_DIGEST_TRACE` names a directory to which the events of each scenario are written as
//! lines, which show where two runs diverge.

mod support;

use fastrand::Rng;
use pointhook::coordination::autoscaler::{
    split_into_requests, supply, PoolRequest, ScaleOutPlanner,
};
use pointhook::coordination::controller::finish_times;
use pointhook::coordination::scheduler::draft::DraftTransaction;
use pointhook::coordination::scheduler::{binding, gang_reservations, job_order};
use pointhook::protocol::cloud::{ListedMachine, ProvisioningRequest};
use pointhook::protocol::users::{JobKind, JobSpec, Priority};
use pointhook::settings::Objective;
use pointhook::state::names::{Index, MachineIndex};
use pointhook::state::units::MonotonicMillis;
use std::collections::{HashMap, HashSet};
use std::fmt::Write;
use support::cloud::FakeCloud;
use support::digest;
use support::job;
use support::randomized_run::RandomizedRun;
use support::scenarios::{recover, refuse_leader_then_all, two_long_jobs};
use support::simulated_cluster::SimulatedCluster;
use support::simulated_controller::{
    start_single_controller, SimulatedController, Standby, CANCEL_MS,
};
use support::worker::FakeWorker;

const GOLDEN: &str = "tests/data/decision_digest.txt";
/// Seeds of the random runs; with these, the decisions depend on the zone of the warm standby.
const DAYS: [u64; 5] = [3, 4, 5, 6, 8];
/// Most scenarios that run at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 4;
const STANDBYS: [(&str, Standby); 3] = [
    ("no-standby", Standby::Off),
    ("standby-in-same-zone", Standby::SameZone),
    ("standby-in-other-zone", Standby::OtherZone),
];

/// Scenario: a randomized run with faults of every kind, job dependencies and cancellations.
fn random_day(seed: u64, standby: Standby) {
    let mut run = RandomizedRun::new(seed, standby);
    run.run();
    end(run.cluster);
}

/// Adds the final state of a cluster to the digest: each job's status at each controller, and the
/// tasks that each machine has started and completed.
fn end(mut cluster: SimulatedCluster) {
    let ids: Vec<String> = cluster
        .accepted_jobs()
        .map(|(id, _)| id.to_string())
        .collect();
    for (at, id) in ids.iter().flat_map(|id| (0..3).map(move |at| (at, id))) {
        cluster.query_status(at, id);
    }
    for h in &cluster.machines {
        let of_host = (&h.worker.name, &h.worker.started, &h.worker.completed);
        digest::record("machine", cluster.now, &of_host);
    }
}

/// A job with random kind, priority, size, resources and constraints.
fn any_job(rng: &mut Rng, n: u32, done_first: &[String]) -> JobSpec {
    let mut spec = job(&format!("job-{n}"), rng.u32(1..7));
    spec.kind = match rng.u8(..8) {
        0 | 1 => JobKind::Gang,
        2 => JobKind::Service,
        _ => JobKind::Array,
    };
    let ranks = [
        Priority::Production,
        Priority::High,
        Priority::Normal,
        Priority::Low,
    ];
    spec.priority = ranks[rng.usize(..4)];
    spec.class = ["bake", "proof"][rng.usize(..2)].into();
    spec.image = ["bread", "cake", "pie"][rng.usize(..3)].into();
    spec.vcpus = [1.0, 4.0, 8.0, 16.0][rng.usize(..4)];
    spec.gpus = f64::from(rng.u8(..3));
    spec.checkpoint_grace_s = f64::from(rng.u8(..3));
    spec.checkpoint_s = f64::from(rng.u8(..2) * 5);
    spec.estimated_run_s = f64::from(rng.u8(5..60));
    spec.deadline_s = rng.bool().then(|| f64::from(rng.u32(20..300)));
    spec.zone = (rng.u8(..5) == 0).then(|| ["north", "south"][rng.usize(..2)].into());
    spec.one_zone = rng.u8(..4) == 0;
    spec.spread = !spec.one_zone && spec.zone.is_none() && rng.u8(..4) == 0;
    if rng.u8(..3) == 0 {
        spec.team = "mixers".into();
    }
    if rng.u8(..4) == 0 && !done_first.is_empty() {
        spec.dependencies = vec![done_first[rng.usize(..done_first.len())].clone()];
    }
    spec
}

/// Scenario: more work of all kinds than capacity. Covers the order of jobs, team limits,
/// preemption, reservations for gangs and completion targets.
fn crowded(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut cluster = SimulatedCluster::new(5);
    cluster.begin_record_format_v2();
    cluster.machines[4].worker.spot = false;
    let objective = Objective {
        kind: "finished".into(),
        class: Some("proof".into()),
        within_s: Some(60.0),
    };
    for controller in cluster.controllers.iter_mut().flatten() {
        controller.config.completion_targets = finish_times(std::slice::from_ref(&objective));
    }
    for step in 0..150 {
        if rng.u8(..3) == 0 {
            let earlier = cluster.accepted_finite_jobs();
            let spec = any_job(&mut rng, step, &earlier);
            cluster.submit(rng.usize(..3), spec);
        }
        if rng.u8(..12) == 0 {
            let id = format!("job-{}", rng.u32(..=step));
            cluster.cancel(rng.usize(..3), &id);
        }
        cluster.query_status(rng.usize(..3), &format!("job-{}", rng.u32(..=step)));
        reserve_for_gangs(&mut cluster);
        note_order_and_queues(&cluster);
        cluster.run_for(1000);
    }
    end(cluster);
}

/// Reserves machines for gangs that have waited for long, as the program's background task does.
fn reserve_for_gangs(cluster: &mut SimulatedCluster) {
    let now = cluster.now;
    for controller in cluster.controllers.iter_mut().flatten() {
        for reservation in gang_reservations::gang_reservations(
            &controller.cluster,
            &controller.config,
            MonotonicMillis(now),
            now,
        ) {
            for machine in reservation.machines {
                let id = controller.cluster.jobs[reservation.job.at()].id.to_string();
                let name = controller.cluster.machine_names.name(machine).to_string();
                digest::record(
                    "held for a gang",
                    now,
                    &(&controller.config.controller_name, id, name),
                );
                if let Some(m) = controller.cluster.machine_mut(machine) {
                    m.reserve_for(reservation.job, MonotonicMillis(now + 4000));
                }
            }
        }
    }
}

/// Adds to the digest the order in which each controller would place the waiting jobs, and the
/// machines in whose queues it would place their tasks.
fn note_order_and_queues(cluster: &SimulatedCluster) {
    let draft = DraftTransaction::default();
    for controller in cluster.controllers.iter().flatten() {
        for job in job_order::waiting_jobs(&controller.pass(cluster.now), &draft) {
            let id = controller.cluster.jobs[job.job_index.at()].id.to_string();
            let queues = binding::bind(
                &controller.cluster,
                &controller.config,
                job.job_index,
                MonotonicMillis(cluster.now),
                cluster.now,
            );
            let name = |m: MachineIndex| controller.cluster.machine_names.name(m).to_string();
            let queues: Vec<_> = queues
                .into_iter()
                .map(|b| (b.task, name(b.machine)))
                .collect();
            digest::record(
                "queued",
                cluster.now,
                &(&controller.config.controller_name, id, queues),
            );
        }
    }
}

/// Scenario: jobs of high priority are submitted while all machines run jobs that can checkpoint.
fn preemption() {
    let mut cluster = SimulatedCluster::new(3);
    for h in &mut cluster.machines {
        h.worker.run_ms = 30_000;
    }
    for (n, rank) in [
        (1, Priority::Low),
        (2, Priority::Normal),
        (3, Priority::Low),
    ] {
        let mut spec = job(&format!("job-{n}"), 4);
        (spec.priority, spec.checkpoint_s, spec.checkpoint_grace_s) = (rank, 5.0, f64::from(n));
        assert!(cluster.submit(n as usize % 3, spec));
        cluster.run_for(1500);
    }
    cluster.run_for(3000);
    for (n, rank) in [(4, Priority::Production), (5, Priority::High)] {
        let mut spec = job(&format!("job-{n}"), 2);
        (spec.priority, spec.gpus) = (rank, 2.0);
        assert!(cluster.submit(n as usize % 3, spec));
        cluster.run_for(8000);
    }
    cluster.run_for(90_000);
    end(cluster);
}

/// Scenario: a team at its limit in both zones, with a service that uses a part of the limit.
fn quotas() {
    let mut cluster = SimulatedCluster::new(4);
    let shapes = [
        JobKind::Service,
        JobKind::Array,
        JobKind::Gang,
        JobKind::Array,
    ];
    for (n, shape) in (1..).zip(shapes) {
        let mut spec = job(&format!("job-{n}"), 1 + n as u32 % 2 * 3);
        (spec.team, spec.kind) = ("mixers".into(), shape);
        if shape != JobKind::Array {
            spec.tasks = 1;
        }
        assert!(cluster.submit(n % 3, spec));
        cluster.run_for(4000);
    }
    cluster.run_for(40_000);
    assert!(cluster.cancel(1, "job-1"));
    cluster.run_for(60_000);
    end(cluster);
}

/// Scenario: each controller in turn stops and restarts while arrays, gangs and services run; then
/// a zone is partitioned.
fn failovers(standby: Standby) {
    let mut cluster = SimulatedCluster::with_standby(6, standby);
    for (n, shape) in (1..).zip([JobKind::Array, JobKind::Gang, JobKind::Service]) {
        let mut spec = job(&format!("job-{n}"), 3);
        spec.kind = shape;
        assert!(cluster.submit(n % 3, spec));
    }
    for at in 0..3 {
        cluster.run_for(3000);
        cluster.stop_controller(at);
        cluster.run_for(9000);
        assert!(cluster.submit((at + 1) % 3, job(&format!("job-{}", 10 + at), 9)));
        cluster.run_for(2000);
        cluster.start_controller(at);
    }
    cluster.run_for(6000);
    cluster.partition_zone(true);
    cluster.run_for(12_000);
    cluster.partition_zone(false);
    cluster.run_for(30_000);
    assert!(cluster.cancel(0, "job-3"));
    cluster.run_for(30_000);
    end(cluster);
}

/// Scenario: a cancellation is confirmed, then the key-value store becomes unavailable and a
/// controller or a machine has a fault as well.
fn cancelled_in_outage(trouble: usize) {
    let (mut cluster, leader, other) = two_long_jobs();
    refuse_leader_then_all(&mut cluster, leader, other, "job-1");
    match trouble {
        0 => cluster.controller_faults[leader].isolated_from_peers = true,
        1 => cluster.machines[0].faults.drops_incoming = true,
        2 => cluster.machines[1].faults.drops_command_responses = true,
        _ => cluster.stop_controller(other),
    }
    cluster.run_for(CANCEL_MS);
    cluster.machines[0].faults.drops_incoming = false;
    cluster.machines[1].faults.drops_command_responses = false;
    recover(&mut cluster);
    cluster.start_controller(other);
    assert!(cluster.cancel(leader, "job-2"));
    cluster.run_for(CANCEL_MS);
    end(cluster);
}

/// Plans machines for waiting and expected tasks. Returns the names of existing machines that are
/// needed, which are added to the digest, and the provisioning requests.
fn plan_rentals(
    controller: &SimulatedController,
    cloud: &mut FakeCloud,
    now: u64,
) -> (Vec<String>, Vec<PoolRequest>) {
    let listed = cloud.list_machines(now).machines;
    let list: HashMap<String, ListedMachine> =
        listed.into_iter().map(|h| (h.name.clone(), h)).collect();
    let mut have = supply(
        &controller.cluster,
        &list,
        controller.config.unresponsive_ms,
        MonotonicMillis(now),
    );
    let planner = ScaleOutPlanner {
        cluster: &controller.cluster,
        config: &controller.config,
        backed_off: &HashSet::new(),
        now: MonotonicMillis(now),
        wall_ms: now,
    };
    let plan = planner.plan(&mut have);
    let name = |m: &MachineIndex| controller.cluster.machine_names.name(*m).to_string();
    let mut needed: Vec<String> = plan.needed_machines.iter().map(name).collect();
    needed.sort_unstable();
    digest::record("needed", now, &needed);
    (needed, split_into_requests(plan.machines_to_request))
}

/// Provisions machines, whose workers start at once.
fn rent(
    controller: &mut SimulatedController,
    cloud: &mut FakeCloud,
    workers: &mut Vec<FakeWorker>,
    requests: Vec<PoolRequest>,
    now: u64,
) {
    for (n, PoolRequest { pool, count }) in requests.into_iter().enumerate() {
        let names = &controller.cluster.machine_type_names;
        let booking = ProvisioningRequest {
            request_id: format!("b-{now}-{n}"),
            machine_type: names.name(pool.machine_type).to_string(),
            zone: ["north", "south"][pool.zone.at()].into(),
            spot: pool.spot,
            count,
        };
        digest::record("booking", now, &booking);
        for name in cloud.provision(&booking, now).unwrap_or_default() {
            let (zone, spot) = (&booking.zone, booking.spot);
            let kind = &booking.machine_type;
            controller
                .cluster
                .learn_machine(&name, kind, zone, spot, MonotonicMillis(now));
            let mut worker = FakeWorker::new(&name, zone, now);
            worker.spot = spot;
            workers.push(worker);
        }
    }
}

/// Deletes machines that are idle and not needed, every four seconds. This rule belongs to the test
/// alone.
fn return_idle(
    controller: &mut SimulatedController,
    cloud: &mut FakeCloud,
    workers: &mut Vec<FakeWorker>,
    needed: &[String],
    now: u64,
) {
    let idle = |cluster: &FakeWorker| {
        let empty = controller
            .cluster
            .placed_on(controller.machine(&cluster.name))
            .is_empty();
        empty && now.is_multiple_of(4000) && !needed.contains(&cluster.name)
    };
    let idle: Vec<String> = workers
        .iter()
        .filter(|cluster| idle(cluster))
        .map(|cluster| cluster.name.clone())
        .collect();
    digest::record("returned", now, &idle);
    cloud.delete_machines(&idle);
    workers.retain(|cluster| !idle.contains(&cluster.name));
    for name in &idle {
        let machine = controller.machine(name);
        controller.cluster.mark_deleted(machine);
    }
}

/// Scenario: machines are provisioned for waiting jobs and deleted when no job needs them.
fn renting(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let (mut store, mut controller) = start_single_controller();
    let mut cloud = FakeCloud::default();
    let mut workers: Vec<FakeWorker> = Vec::new();
    for now in (0..150_000).step_by(1000) {
        if now < 80_000 && rng.u8(..5) == 0 {
            let mut spec = any_job(&mut rng, now as u32 / 1000, &[]);
            spec.spot = rng.bool();
            controller.submit(&mut store, spec, now);
        }
        let (needed, requests) = plan_rentals(&controller, &mut cloud, now);
        rent(&mut controller, &mut cloud, &mut workers, requests, now);
        for cluster in &mut workers {
            controller.exchange_heartbeat(&mut store, cluster, now);
        }
        return_idle(&mut controller, &mut cloud, &mut workers, &needed, now);
    }
    for (_, j) in controller
        .cluster
        .active_jobs()
        .filter(|(_, j)| j.is_open())
    {
        digest::record("open job", 150_000, &j.id.to_string());
    }
}

/// Runs a scenario and returns its line of the file.
fn line(name: &str, seed: u64, play: impl FnOnce()) -> String {
    fastrand::seed(seed);
    let name = format!("{name}-{seed}");
    digest::begin(&name);
    play();
    let digest = digest::end();
    assert!(digest.events > 0, "{name} recorded no event");
    format!("{name} {:016x} {}", digest.hash, digest.events)
}

/// A scenario: its name, its seed and the function that runs it.
type Scenario = (String, u64, Box<dyn FnOnce() + Send>);

fn scenarios() -> Vec<Scenario> {
    let mut all: Vec<Scenario> = Vec::new();
    for (name, standby) in STANDBYS {
        for seed in DAYS {
            let name = format!("random-day-{name}");
            all.push((name, seed, Box::new(move || random_day(seed, standby))));
        }
        let name = format!("failovers-{name}");
        all.push((name, 1, Box::new(move || failovers(standby))));
    }
    for seed in 1..=8 {
        all.push(("crowded".into(), seed, Box::new(move || crowded(seed))));
        all.push(("renting".into(), seed, Box::new(move || renting(seed))));
    }
    all.push(("preemption".into(), 1, Box::new(preemption)));
    all.push(("quotas".into(), 1, Box::new(quotas)));
    for trouble in 0..4 {
        let play = move || cancelled_in_outage(trouble);
        let name = "cancelled-in-outage".to_string();
        all.push((name, trouble as u64, Box::new(play)));
    }
    all
}

/// Runs all scenarios, a few at a time, and returns their lines in order. Each scenario runs on its
/// own thread because random numbers and the digest are thread-local.
fn all_lines() -> Vec<String> {
    let mut left = scenarios().into_iter().peekable();
    let mut lines = Vec::new();
    while left.peek().is_some() {
        let some: Vec<Scenario> = left.by_ref().take(MAX_CONCURRENT_REQUESTS).collect();
        let begin =
            |(name, seed, play): Scenario| std::thread::spawn(move || line(&name, seed, play));
        let running: Vec<_> = some.into_iter().map(begin).collect();
        lines.extend(
            running
                .into_iter()
                .map(|t| t.join().expect("no scenario panics")),
        );
    }
    lines
}

#[test]
fn decisions_match_the_recorded_digest() {
    let lines = all_lines();
    if std::env::var("POINTHOOK_WRITE_GOLDEN").as_deref() == Ok("1") {
        std::fs::write(GOLDEN, lines.join("\n") + "\n").expect("the file can be written");
        panic!("{GOLDEN} was overwritten; run again without POINTHOOK_WRITE_GOLDEN");
    }
    let golden = std::fs::read_to_string(GOLDEN).expect("the recorded digests can be read");
    let golden: Vec<&str> = golden.lines().collect();
    let mut differ = String::new();
    for at in 0..golden.len().max(lines.len()) {
        let (old, new) = (golden.get(at).copied(), lines.get(at).map(String::as_str));
        if old != new {
            let [old, new] = [old, new].map(|line| line.unwrap_or("nothing"));
            writeln!(differ, "  recorded: {old}\n  now:      {new}").expect("text");
        }
    }
    assert!(
        differ.is_empty(),
        "decisions differ from the recorded digest:\n{differ}"
    );
}
