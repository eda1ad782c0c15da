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
use pointhook::coordination::controller::completion_targets;
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
use support::random_faults::Mix;
use support::randomized_run::RandomizedRun;
use support::scenarios::{recover, refuse_leader_then_all, two_long_jobs};
use support::simulated_cluster::SimulatedCluster;
use support::simulated_controller::{
    start_single_controller, SimulatedController, Standby, CANCEL_MS,
};
use support::worker::FakeWorker;

const GOLDEN: &str = "tests/data/decision_digest.txt";
/// Seeds of the random runs; with these, the decisions depend on the zone of the warm standby.
const RANDOM_RUN_SEEDS: [u64; 5] = [2, 4, 5, 7, 8];
/// Most scenarios that run at the same time.
const MAX_CONCURRENT_SCENARIOS: usize = 4;
const STANDBYS: [(&str, Standby); 3] = [
    ("no-standby", Standby::Off),
    ("standby-in-same-zone", Standby::SameZone),
    ("standby-in-other-zone", Standby::OtherZone),
];

/// Scenario: a randomized run with faults of every kind, job dependencies and cancellations.
fn random_run(seed: u64, standby: Standby) {
    let mut run = RandomizedRun::new(seed, standby, Mix::AllFaults);
    run.run();
    record_final_state(run.cluster);
}

/// Adds the final state of a cluster to the digest: each job's status at each controller, and the
/// tasks that each machine has started and completed.
fn record_final_state(mut cluster: SimulatedCluster) {
    let ids: Vec<String> = cluster
        .accepted_jobs()
        .map(|(id, _)| id.to_string())
        .collect();
    for (controller, id) in ids
        .iter()
        .flat_map(|id| (0..3).map(move |index| (index, id)))
    {
        cluster.query_status(controller, id);
    }
    for machine in &cluster.machines {
        let worker = &machine.worker;
        let state = (&worker.name, &worker.started, &worker.completed);
        digest::record("machine", cluster.now, &state);
    }
}

/// A job with random kind, priority, size, resources and constraints.
fn random_job(rng: &mut Rng, number: u32, possible_dependencies: &[String]) -> JobSpec {
    let mut spec = job(&format!("job-{number}"), rng.u32(1..7));
    spec.kind = match rng.u8(..8) {
        0 | 1 => JobKind::Gang,
        2 => JobKind::Service,
        _ => JobKind::Array,
    };
    let priorities = [
        Priority::Production,
        Priority::High,
        Priority::Normal,
        Priority::Low,
    ];
    spec.priority = priorities[rng.usize(..4)];
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
    if rng.u8(..4) == 0 && !possible_dependencies.is_empty() {
        spec.dependencies =
            vec![possible_dependencies[rng.usize(..possible_dependencies.len())].clone()];
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
        controller.config.completion_targets = completion_targets(std::slice::from_ref(&objective));
    }
    for step in 0..150 {
        if rng.u8(..3) == 0 {
            let earlier = cluster.accepted_finite_jobs();
            let spec = random_job(&mut rng, step, &earlier);
            cluster.submit(rng.usize(..3), spec);
        }
        if rng.u8(..12) == 0 {
            let id = format!("job-{}", rng.u32(..=step));
            cluster.cancel(rng.usize(..3), &id);
        }
        cluster.query_status(rng.usize(..3), &format!("job-{}", rng.u32(..=step)));
        reserve_for_gangs(&mut cluster);
        record_job_order_and_queues(&cluster);
        cluster.run_for(1000);
    }
    record_final_state(cluster);
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
                if let Some(known) = controller.cluster.machine_mut(machine) {
                    known.reserve_for(reservation.job, MonotonicMillis(now + 4000));
                }
            }
        }
    }
}

/// Adds to the digest the order in which each controller would place the waiting jobs, and the
/// machines in whose queues it would place their tasks.
fn record_job_order_and_queues(cluster: &SimulatedCluster) {
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
                .map(|binding| (binding.task, name(binding.machine)))
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
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 30_000;
    }
    for (number, priority) in [
        (1, Priority::Low),
        (2, Priority::Normal),
        (3, Priority::Low),
    ] {
        let mut spec = job(&format!("job-{number}"), 4);
        (spec.priority, spec.checkpoint_s, spec.checkpoint_grace_s) =
            (priority, 5.0, f64::from(number));
        assert!(cluster.submit(number as usize % 3, spec));
        cluster.run_for(1500);
    }
    cluster.run_for(3000);
    for (number, priority) in [(4, Priority::Production), (5, Priority::High)] {
        let mut spec = job(&format!("job-{number}"), 2);
        (spec.priority, spec.gpus) = (priority, 2.0);
        assert!(cluster.submit(number as usize % 3, spec));
        cluster.run_for(8000);
    }
    cluster.run_for(90_000);
    record_final_state(cluster);
}

/// Scenario: a team at its limit in both zones, with a service that uses a part of the limit.
fn quotas() {
    let mut cluster = SimulatedCluster::new(4);
    let kinds = [
        JobKind::Service,
        JobKind::Array,
        JobKind::Gang,
        JobKind::Array,
    ];
    for (number, kind) in (1..).zip(kinds) {
        let mut spec = job(&format!("job-{number}"), 1 + number as u32 % 2 * 3);
        (spec.team, spec.kind) = ("mixers".into(), kind);
        if kind != JobKind::Array {
            spec.tasks = 1;
        }
        assert!(cluster.submit(number % 3, spec));
        cluster.run_for(4000);
    }
    cluster.run_for(40_000);
    assert!(cluster.cancel(1, "job-1"));
    cluster.run_for(60_000);
    record_final_state(cluster);
}

/// Scenario: each controller in turn stops and restarts while arrays, gangs and services run; then
/// a zone is partitioned.
fn failovers(standby: Standby) {
    let mut cluster = SimulatedCluster::with_standby(6, standby);
    for (number, kind) in (1..).zip([JobKind::Array, JobKind::Gang, JobKind::Service]) {
        let mut spec = job(&format!("job-{number}"), 3);
        spec.kind = kind;
        assert!(cluster.submit(number % 3, spec));
    }
    for controller in 0..3 {
        cluster.run_for(3000);
        cluster.stop_controller(controller);
        cluster.run_for(9000);
        assert!(cluster.submit(
            (controller + 1) % 3,
            job(&format!("job-{}", 10 + controller), 9)
        ));
        cluster.run_for(2000);
        cluster.start_controller(controller);
    }
    cluster.run_for(6000);
    cluster.partition_zone(true);
    cluster.run_for(12_000);
    cluster.partition_zone(false);
    cluster.run_for(30_000);
    assert!(cluster.cancel(0, "job-3"));
    cluster.run_for(30_000);
    record_final_state(cluster);
}

/// Scenario: a cancellation is confirmed, then the key-value store becomes unavailable and a
/// controller or a machine has a fault as well.
fn cancelled_in_outage(variant: usize) {
    let (mut cluster, leader, other) = two_long_jobs();
    refuse_leader_then_all(&mut cluster, leader, other, "job-1");
    match variant {
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
    record_final_state(cluster);
}

/// Plans machines for waiting and expected tasks. Returns the names of existing machines that are
/// needed, which are added to the digest, and the provisioning requests.
fn plan_provisioning(
    controller: &SimulatedController,
    cloud: &mut FakeCloud,
    now: u64,
) -> (Vec<String>, Vec<PoolRequest>) {
    let listed = cloud.list_machines(now).machines;
    let listed: HashMap<String, ListedMachine> = listed
        .into_iter()
        .map(|machine| (machine.name.clone(), machine))
        .collect();
    let mut available = supply(
        &controller.cluster,
        &listed,
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
    let plan = planner.plan(&mut available);
    let name = |m: &MachineIndex| controller.cluster.machine_names.name(*m).to_string();
    let mut needed: Vec<String> = plan.needed_machines.iter().map(name).collect();
    needed.sort_unstable();
    digest::record("needed", now, &needed);
    (needed, split_into_requests(plan.machines_to_request))
}

/// Provisions machines, whose workers start at once.
fn provision(
    controller: &mut SimulatedController,
    cloud: &mut FakeCloud,
    workers: &mut Vec<FakeWorker>,
    requests: Vec<PoolRequest>,
    now: u64,
) {
    for (index, PoolRequest { pool, count }) in requests.into_iter().enumerate() {
        let names = &controller.cluster.machine_type_names;
        let request = ProvisioningRequest {
            request_id: format!("b-{now}-{index}"),
            machine_type: names.name(pool.machine_type).to_string(),
            zone: ["north", "south"][pool.zone.at()].into(),
            spot: pool.spot,
            count,
        };
        digest::record("booking", now, &request);
        for name in cloud.provision(&request, now).unwrap_or_default() {
            let (zone, spot) = (&request.zone, request.spot);
            let machine_type = &request.machine_type;
            controller
                .cluster
                .learn_machine(&name, machine_type, zone, spot, MonotonicMillis(now));
            let mut worker = FakeWorker::new(&name, zone, now);
            worker.spot = spot;
            workers.push(worker);
        }
    }
}

/// Deletes machines that are idle and not needed, every four seconds. This rule belongs to the test
/// alone.
fn delete_idle(
    controller: &mut SimulatedController,
    cloud: &mut FakeCloud,
    workers: &mut Vec<FakeWorker>,
    needed: &[String],
    now: u64,
) {
    let is_idle = |worker: &FakeWorker| {
        let empty = controller
            .cluster
            .placed_on(controller.machine(&worker.name))
            .is_empty();
        empty && now.is_multiple_of(4000) && !needed.contains(&worker.name)
    };
    let idle: Vec<String> = workers
        .iter()
        .filter(|worker| is_idle(worker))
        .map(|worker| worker.name.clone())
        .collect();
    digest::record("returned", now, &idle);
    cloud.delete_machines(&idle);
    workers.retain(|worker| !idle.contains(&worker.name));
    for name in &idle {
        let machine = controller.machine(name);
        controller.cluster.mark_deleted(machine);
    }
}

/// Scenario: machines are provisioned for waiting jobs and deleted when no job needs them.
fn provisioning(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let (mut store, mut controller) = start_single_controller();
    let mut cloud = FakeCloud::default();
    let mut workers: Vec<FakeWorker> = Vec::new();
    for now in (0..150_000).step_by(1000) {
        if now < 80_000 && rng.u8(..5) == 0 {
            let mut spec = random_job(&mut rng, now as u32 / 1000, &[]);
            spec.spot = rng.bool();
            controller.submit(&mut store, spec, now);
        }
        let (needed, requests) = plan_provisioning(&controller, &mut cloud, now);
        provision(&mut controller, &mut cloud, &mut workers, requests, now);
        for worker in &mut workers {
            controller.exchange_heartbeat(&mut store, worker, now);
        }
        delete_idle(&mut controller, &mut cloud, &mut workers, &needed, now);
    }
    for (_, job) in controller
        .cluster
        .active_jobs()
        .filter(|(_, job)| job.is_open())
    {
        digest::record("open job", 150_000, &job.id.to_string());
    }
}

/// Runs a scenario and returns its line of the file.
fn run_scenario(name: &str, seed: u64, run: impl FnOnce()) -> String {
    fastrand::seed(seed);
    let name = format!("{name}-{seed}");
    digest::begin(&name);
    run();
    let digest = digest::end();
    assert!(digest.events > 0, "{name} recorded no event");
    format!("{name} {:016x} {}", digest.hash, digest.events)
}

/// A scenario: its name, its seed and the function that runs it.
type Scenario = (String, u64, Box<dyn FnOnce() + Send>);

fn scenarios() -> Vec<Scenario> {
    let mut scenarios: Vec<Scenario> = Vec::new();
    for (name, standby) in STANDBYS {
        for seed in RANDOM_RUN_SEEDS {
            let name = format!("random-day-{name}");
            scenarios.push((name, seed, Box::new(move || random_run(seed, standby))));
        }
        let name = format!("failovers-{name}");
        scenarios.push((name, 1, Box::new(move || failovers(standby))));
    }
    for seed in 1..=8 {
        scenarios.push(("crowded".into(), seed, Box::new(move || crowded(seed))));
        scenarios.push(("renting".into(), seed, Box::new(move || provisioning(seed))));
    }
    scenarios.push(("preemption".into(), 1, Box::new(preemption)));
    scenarios.push(("quotas".into(), 1, Box::new(quotas)));
    for variant in 0..4 {
        let run = move || cancelled_in_outage(variant);
        let name = "cancelled-in-outage".to_string();
        scenarios.push((name, variant as u64, Box::new(run)));
    }
    scenarios
}

/// Runs all scenarios, a few at a time, and returns their lines in order. Each scenario runs on its
/// own thread because random numbers and the digest are thread-local.
fn run_all_scenarios() -> Vec<String> {
    let mut remaining = scenarios().into_iter().peekable();
    let mut lines = Vec::new();
    while remaining.peek().is_some() {
        let batch: Vec<Scenario> = remaining.by_ref().take(MAX_CONCURRENT_SCENARIOS).collect();
        let begin = |(name, seed, run): Scenario| {
            std::thread::spawn(move || run_scenario(&name, seed, run))
        };
        let running: Vec<_> = batch.into_iter().map(begin).collect();
        lines.extend(
            running
                .into_iter()
                .map(|thread| thread.join().expect("no scenario panics")),
        );
    }
    lines
}

#[test]
fn decisions_match_the_recorded_digest() {
    let lines = run_all_scenarios();
    if std::env::var("POINTHOOK_WRITE_GOLDEN").as_deref() == Ok("1") {
        std::fs::write(GOLDEN, lines.join("\n") + "\n").expect("the file can be written");
        panic!("{GOLDEN} was overwritten; run again without POINTHOOK_WRITE_GOLDEN");
    }
    let recorded = std::fs::read_to_string(GOLDEN).expect("the recorded digests can be read");
    let recorded: Vec<&str> = recorded.lines().collect();
    let mut differences = String::new();
    for index in 0..recorded.len().max(lines.len()) {
        let old = recorded.get(index).copied();
        let new = lines.get(index).map(String::as_str);
        if old != new {
            let [old, new] = [old, new].map(|line| line.unwrap_or("nothing"));
            writeln!(differences, "  recorded: {old}\n  now:      {new}").expect("text");
        }
    }
    assert!(
        differences.is_empty(),
        "decisions differ from the recorded digest:\n{differences}"
    );
}
