//! Gangs whose placements take several transactions: they are recorded in steps, start whole or not
//! at all, and leave nothing behind if they can't be completed.

mod support;

use fastrand::Rng;
use pointhook::coordination::kv::{set, transaction, CommitOutcome};
use pointhook::protocol::kv::{Limits, Transaction};
use pointhook::protocol::users::{JobKind, JobSpec};
use pointhook::state::cluster_state::{ClusterState, JobFailures};
use pointhook::state::job::JobRecord;
use pointhook::state::names::TeamIndex;
use pointhook::state::records::{ControllerRecord, RECORD_FORMAT_V2};
use pointhook::state::units::MonotonicMillis;
use support::job;
use support::kv_store::FakeKvStore;
use support::simulated_cluster::SimulatedCluster;
use support::simulated_controller::{
    run_heartbeats, start_single_controller, SimulatedController, CANCEL_MS,
};
use support::worker::FakeWorker;

/// The smallest limits that the site files announce: 4 writes a transaction, 2 KiB a value.
const SMALL_TXN_OPS: usize = 4;
const SMALL_VALUE_BYTES: usize = 2048;
/// Width of the gangs of these tests: one transaction holds fewer placements under small limits.
const WIDE: u32 = 196;
/// Disruptions of one run.
const DISRUPTIONS: u32 = 24;
/// Status of a transaction of which a condition failed.
const CONFLICT: u16 = 409;
/// Machines that hold a gang of `WIDE` tasks, 16 on each.
const MACHINES: usize = 13;

fn small_limits() -> Limits {
    Limits {
        txn_ops: SMALL_TXN_OPS,
        value_bytes: SMALL_VALUE_BYTES * 9 / 10,
        write_rps: f64::MAX,
    }
}

/// A gang whose tasks take a CPU each: 16 fit on a machine.
fn gang(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Gang,
        vcpus: 1.0,
        gpus: 0.0,
        mem_gb: 1.0,
        ..job(id, tasks)
    }
}

fn cluster_with_small_limits(machines: usize) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(machines);
    cluster.begin_record_format_v2();
    cluster.store.max_txn_ops = SMALL_TXN_OPS;
    cluster.store.max_value_bytes = SMALL_VALUE_BYTES;
    for controller in cluster.controllers.iter_mut().flatten() {
        controller.config.limits_now = small_limits();
    }
    cluster
}

/// A controller that owns all shards under small limits, with machines that have sent a heartbeat.
fn controller_with_machines(
    machines: usize,
) -> (FakeKvStore, SimulatedController, Vec<FakeWorker>) {
    let (mut store, mut controller) = start_single_controller();
    store.max_txn_ops = SMALL_TXN_OPS;
    store.max_value_bytes = SMALL_VALUE_BYTES;
    controller.config.limits_now = small_limits();
    controller.cluster.record_format_v2 = true;
    let mut workers: Vec<FakeWorker> = (0..machines)
        .map(|index| {
            let zone = ["north", "south"][index % 2];
            FakeWorker::new(&format!("m{index}"), zone, 0)
        })
        .collect();
    for worker in &mut workers {
        worker.run_ms = 1_000_000;
        controller.exchange_heartbeat(&mut store, worker, 0);
    }
    (store, controller, workers)
}

/// Commits the next draft of the planner; panics if it has none.
fn commit_step(store: &mut FakeKvStore, controller: &mut SimulatedController, now: u64) {
    let draft = controller.draft_plan(now);
    assert!(!draft.is_empty());
    let outcome = controller.commit_draft(store, &draft, now);
    assert!(matches!(outcome, CommitOutcome::Committed(_)));
}

/// The transaction that the planner would commit next.
fn next_transaction(controller: &mut SimulatedController, now: u64) -> Transaction {
    let draft = controller.draft_plan(now);
    assert!(!draft.is_empty());
    transaction(&controller.cluster, &draft)
}

fn heartbeats(
    store: &mut FakeKvStore,
    controller: &mut SimulatedController,
    workers: &mut [FakeWorker],
    from: u64,
    to: u64,
) {
    let mut workers: Vec<&mut FakeWorker> = workers.iter_mut().collect();
    run_heartbeats(controller, store, &mut workers, from, to);
}

fn started(workers: &[FakeWorker]) -> usize {
    workers.iter().map(|worker| worker.started.len()).sum()
}

/// A job's record as the key-value store holds it.
fn stored_record(store: &FakeKvStore, id: &str) -> JobRecord {
    let entry = store.entry(&ClusterState::job_key(id)).expect("a record");
    let bytes = rmp_serde::to_vec(&entry.v).expect("a value");
    rmp_serde::from_slice(&bytes).expect("a job's record")
}

/// Guards against `review/6`: a gang wider than a transaction was accepted, got its machines and
/// never started.
#[test]
fn gangs_wider_than_a_transaction_start_whole() {
    for tasks in [196, 400, 1000] {
        let mut cluster = cluster_with_small_limits(64);
        assert!(cluster.submit(1, gang("job-1", tasks)));
        cluster.run_for(3000);
        let placements = &cluster.controller(0).job("job-1").placements;
        assert_eq!(placements.len(), tasks as usize);
        let attempt = placements[0].attempt;
        assert!(placements.iter().all(|p| p.attempt == attempt));
        assert_eq!(cluster.start_count(), tasks as usize);
        cluster.run_for(60_000);
        assert_eq!(cluster.finished_count(), 1);
        cluster.assert_no_violations();
    }
}

/// Guards against half a gang that runs: until the last transaction nothing is started, neither
/// with a heartbeat's response nor directly.
#[test]
fn no_task_starts_before_the_last_step() {
    let (mut store, mut controller, mut workers) = controller_with_machines(MACHINES);
    controller.submit(&mut store, gang("job-1", WIDE), 100);
    commit_step(&mut store, &mut controller, 100);
    let staged = stored_record(&store, "job-1").staged.expect("a first step");
    assert_eq!((staged.attempt, staged.last_step_at), (1, 100));
    let placed = controller.job("job-1").placements.len();
    assert!(placed > 100 && placed < WIDE as usize, "{placed}");
    assert!(controller.direct_starts(200).is_empty());
    assert_eq!(
        ClusterState::job_status(controller.job("job-1")).0,
        "pending"
    );
    // The store refuses all further steps, while the machines go on sending heartbeats.
    store.max_txn_ops = 0;
    heartbeats(&mut store, &mut controller, &mut workers, 500, 3000);
    assert_eq!(started(&workers), 0);
    store.max_txn_ops = SMALL_TXN_OPS;
    heartbeats(&mut store, &mut controller, &mut workers, 3000, 4000);
    assert_eq!(started(&workers), WIDE as usize);
    assert_eq!(stored_record(&store, "job-1").staged, None);
    assert_eq!(
        ClusterState::job_status(controller.job("job-1")).0,
        "running"
    );
}

/// Guards against a gang that a change of owner between two steps leaves half placed.
#[test]
fn a_new_owner_completes_a_staged_gang_under_the_same_attempt() {
    let (mut store, mut controller, mut workers) = controller_with_machines(MACHINES);
    controller.submit(&mut store, gang("job-1", WIDE), 100);
    let first_step = next_transaction(&mut controller, 100);
    commit_step(&mut store, &mut controller, 100);
    let next_step = next_transaction(&mut controller, 200);
    let mut successor = SimulatedController::start("n1", 2, &mut store, 1000);
    successor.config.limits_now = small_limits();
    successor.cluster.record_format_v2 = true;
    assert_eq!(successor.apply_membership_moves(&mut store, 1000), 3);
    // Neither the former owner's next step nor a late copy of its first one takes effect any more.
    for step in [first_step, next_step] {
        assert_eq!(store.commit(&step, 1000).status, CONFLICT);
    }
    heartbeats(&mut store, &mut successor, &mut workers, 1000, 4000);
    let placements = &successor.job("job-1").placements;
    assert_eq!(placements.len(), WIDE as usize);
    assert!(placements.iter().all(|p| p.attempt == 1));
    assert_eq!(started(&workers), WIDE as usize);
}

/// Guards against tasks of a cancelled gang that start, or keep machines, because its remaining
/// steps go on.
#[test]
fn a_cancellation_between_two_steps_ends_the_gang() {
    let (mut store, mut controller, mut workers) = controller_with_machines(MACHINES);
    controller.submit(&mut store, gang("job-1", WIDE), 100);
    commit_step(&mut store, &mut controller, 100);
    let next_step = next_transaction(&mut controller, 200);
    let outcome = controller.cancel(&mut store, "job-1", 300);
    assert!(matches!(outcome, CommitOutcome::Committed(_)));
    assert_eq!(stored_record(&store, "job-1").staged, None);
    assert_eq!(store.commit(&next_step, 400).status, CONFLICT);
    heartbeats(&mut store, &mut controller, &mut workers, 500, 4000);
    assert_eq!(started(&workers), 0);
    assert!(controller.job("job-1").is_settled());
}

/// Guards against a task that is placed twice under one attempt: a staged gang that loses a machine
/// is not completed, but placed anew under another attempt.
#[test]
fn a_staged_gang_that_loses_a_machine_begins_anew() {
    let (mut store, mut controller, mut workers) = controller_with_machines(MACHINES + 1);
    controller.submit(&mut store, gang("job-1", WIDE), 100);
    commit_step(&mut store, &mut controller, 100);
    let lost = controller.job("job-1").placements[0].machine;
    let name = controller.cluster.machine_names.name(lost).to_string();
    controller.cluster.mark_deleted(lost);
    workers.retain(|worker| worker.name != name);
    heartbeats(&mut store, &mut controller, &mut workers, 500, 6000);
    let placements = &controller.job("job-1").placements;
    assert_eq!(placements.len(), WIDE as usize);
    assert!(placements.iter().all(|p| p.attempt == 2));
    assert_eq!(started(&workers), WIDE as usize);
}

/// Guards against a gang that can't be completed and keeps its machines for good: its staging is
/// abandoned, and other jobs get the machines.
#[test]
fn a_gang_that_finds_too_few_machines_gives_up_what_it_has() {
    let (mut store, mut controller, mut workers) = controller_with_machines(MACHINES);
    controller.submit(&mut store, gang("job-1", WIDE), 100);
    commit_step(&mut store, &mut controller, 100);
    // The machines without a task of the gang can't be used any more.
    for worker in &workers {
        let machine = controller.machine(&worker.name);
        if controller.cluster.placed_on(machine).is_empty() {
            controller.cluster.mark_deleted(machine);
        }
    }
    workers.retain(|worker| {
        let machine = controller.machine(&worker.name);
        controller.cluster.machine(machine).is_some()
    });
    controller.submit(&mut store, gang("job-2", 140), 200);
    heartbeats(&mut store, &mut controller, &mut workers, 500, 10_000);
    assert!(controller.job("job-1").is_staged());
    heartbeats(&mut store, &mut controller, &mut workers, 10_000, 14_000);
    assert!(!controller.job("job-1").is_staged());
    assert!(controller.job("job-1").placements.is_empty());
    assert_eq!(controller.job("job-2").placements.len(), 140);
    assert_eq!(started(&workers), 140);
}

/// Guards against a staged gang that keeps its machines for good because its planner can't end the
/// staging: the owners of its machines remove the placements.
#[test]
fn a_staged_gang_without_a_planner_loses_its_placements() {
    let (mut store, mut controller, mut workers) = controller_with_machines(MACHINES);
    controller.submit(&mut store, gang("job-1", WIDE), 100);
    commit_step(&mut store, &mut controller, 100);
    // No steps are planned for a job that is backed off.
    let job_index = controller.job_index("job-1");
    let failures = JobFailures {
        retry_at: MonotonicMillis(60_000),
        ..JobFailures::default()
    };
    controller.cluster.failures.insert(job_index, failures);
    heartbeats(&mut store, &mut controller, &mut workers, 500, 30_000);
    assert!(controller.job("job-1").is_staged());
    heartbeats(&mut store, &mut controller, &mut workers, 30_000, 34_000);
    assert!(controller.job("job-1").placements.is_empty());
    assert_eq!(started(&workers), 0);
}

/// Guards against two gangs that each hold a part of what both need.
#[test]
fn of_two_staged_gangs_the_younger_yields() {
    let (mut store, mut controller, mut workers) = controller_with_machines(MACHINES);
    controller.submit(&mut store, gang("job-1", WIDE), 100);
    controller.submit(&mut store, gang("job-2", WIDE), 200);
    commit_step(&mut store, &mut controller, 200);
    assert!(controller.job("job-1").is_staged() && !controller.job("job-2").is_staged());
    // Another controller has begun to stage the younger gang at the same time.
    let (key, mut record) = (
        ClusterState::job_key("job-2"),
        stored_record(&store, "job-2"),
    );
    record.placements = stored_record(&store, "job-1").placements;
    record.staged = stored_record(&store, "job-1").staged;
    record.next_attempt = 2;
    let begin = Transaction {
        conditions: Vec::new(),
        writes: set(key, &record, None).into_iter().collect(),
    };
    assert_eq!(store.commit(&begin, 300).status, 200);
    controller.sync(&store);
    assert!(controller.job("job-2").is_staged());
    heartbeats(&mut store, &mut controller, &mut workers, 500, 5000);
    assert_eq!(controller.job("job-1").placements.len(), WIDE as usize);
    assert!(controller.job("job-2").placements.is_empty());
    let of_first = |(task, _): &&(String, u64)| task.starts_with("job-1/");
    let starts = workers.iter().flat_map(|worker| &worker.started);
    assert_eq!(starts.filter(of_first).count(), started(&workers));
}

/// Guards against other jobs of the team that take the quota of a staged gang between its steps.
#[test]
fn a_staged_gang_is_charged_for_all_its_tasks_at_once() {
    let (mut store, mut controller, mut workers) = controller_with_machines(MACHINES + 1);
    let mut wide = gang("job-1", WIDE);
    wide.team = "mixers".into();
    // The team's limit is two GPUs.
    wide.gpus = 0.01;
    controller.submit(&mut store, wide, 100);
    while !controller.job("job-1").is_staged() {
        commit_step(&mut store, &mut controller, 100);
    }
    let mut other = job("job-2", 1);
    other.team = "mixers".into();
    other.gpus = 0.05;
    controller.submit(&mut store, other, 200);
    let team: TeamIndex = controller
        .cluster
        .team_names
        .find("mixers")
        .expect("a team");
    let used = controller.cluster.quota_used(team);
    assert_eq!(used.gpu_milli, 10 * i64::from(WIDE));
    heartbeats(&mut store, &mut controller, &mut workers, 500, 3000);
    assert_eq!(controller.job("job-1").placements.len(), WIDE as usize);
    assert!(controller.job("job-2").placements.is_empty());
    assert_eq!(controller.cluster.quota_used(team), used);
}

/// Guards against steps that a process of an earlier version undoes: staging begins only while all
/// live controllers know it.
#[test]
fn no_gang_is_staged_while_a_controller_of_an_earlier_version_lives() {
    let (mut store, mut controller, mut workers) = controller_with_machines(MACHINES);
    let old = ControllerRecord {
        record_format: RECORD_FORMAT_V2,
        ..ControllerRecord::default()
    };
    let key = "ph/node/old";
    let begin = Transaction {
        conditions: Vec::new(),
        writes: set(key.into(), &old, None).into_iter().collect(),
    };
    assert_eq!(store.commit(&begin, 0).status, 200);
    controller.sync(&store);
    controller.submit(&mut store, gang("job-1", WIDE), 100);
    heartbeats(&mut store, &mut controller, &mut workers, 500, 3000);
    assert!(controller.job("job-1").placements.is_empty());
    controller.cluster.delete(key, store.revision + 1);
    heartbeats(&mut store, &mut controller, &mut workers, 3000, 5000);
    assert_eq!(started(&workers), WIDE as usize);
}

/// Guards against a gang of many steps that keeps all other jobs waiting: each step leaves them a
/// part of its transaction.
#[test]
fn other_jobs_are_placed_between_the_steps_of_a_gang() {
    let (mut store, mut controller, _workers) = controller_with_machines(32);
    controller.submit(&mut store, gang("job-1", 400), 100);
    controller.submit(&mut store, job("job-2", 1), 100);
    commit_step(&mut store, &mut controller, 200);
    assert!(controller.job("job-1").is_staged());
    assert_eq!(controller.job("job-2").placements.len(), 1);
}

/// Guards against a record without the mark of a staged gang, as an earlier version writes it back:
/// the gang counts as broken, and nothing of it is started.
#[test]
fn a_staged_gang_whose_mark_an_earlier_version_has_dropped_is_placed_anew() {
    let (mut store, mut controller, mut workers) = controller_with_machines(MACHINES);
    controller.submit(&mut store, gang("job-1", WIDE), 100);
    commit_step(&mut store, &mut controller, 100);
    let (key, mut record) = (
        ClusterState::job_key("job-1"),
        stored_record(&store, "job-1"),
    );
    record.staged = None;
    let rewrite = Transaction {
        conditions: Vec::new(),
        writes: set(key, &record, None).into_iter().collect(),
    };
    assert_eq!(store.commit(&rewrite, 200).status, 200);
    controller.sync(&store);
    assert!(controller.direct_starts(300).is_empty());
    heartbeats(&mut store, &mut controller, &mut workers, 500, 5000);
    let placements = &controller.job("job-1").placements;
    assert_eq!(placements.len(), WIDE as usize);
    assert!(placements.iter().all(|p| p.attempt == 2));
    assert_eq!(started(&workers), WIDE as usize);
}

/// Disruptions between the steps of wide gangs, drawn from a seed.
fn run_wide_gangs_amid_disruptions(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut cluster = cluster_with_small_limits(40);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = rng.u64(2000..20_000);
    }
    let mut jobs = 0;
    for _ in 0..DISRUPTIONS {
        // Controllers that start don't wait for the limit on writes here.
        cluster.store.max_writes_per_s = f64::MAX;
        for controller in 0..cluster.controllers.len() {
            if cluster.controllers[controller].is_none() {
                cluster.start_controller(controller);
            }
        }
        // So few writes a second that a gang takes several seconds to record.
        cluster.store.max_writes_per_s = 15.0;
        match rng.u8(..8) {
            0 | 1 => {
                jobs += 1;
                let tasks = rng.u32(190..400);
                cluster.submit(rng.usize(..3), gang(&format!("job-{jobs}"), tasks));
            }
            2 if jobs > 0 => {
                cluster.cancel(rng.usize(..3), &format!("job-{}", rng.u32(1..=jobs)));
            }
            3 => cluster.stop_controller(rng.usize(..3)),
            4 => cluster.controller_faults[rng.usize(..3)].kv_refused = true,
            5 => cluster.store.drops_responses = true,
            6 => {
                let machine = rng.usize(..cluster.machines.len());
                cluster.machines[machine].faults.drops_incoming = true;
            }
            _ => cluster.store.execution_delay_ms = Some(1500),
        }
        cluster.run_for(rng.u64(500..4000));
        end_disruptions(&mut cluster);
        cluster.run_for(rng.u64(500..4000));
    }
    for _ in 0..40 {
        if cluster.unfinished().is_empty() {
            break;
        }
        cluster.run_for(5000);
    }
    assert_eq!(cluster.unfinished(), Vec::<String>::new(), "seed {seed}");
    cluster.assert_no_violations();
    cluster.run_for(CANCEL_MS);
    let overflow_records = cluster.store.read_page("ph/more/", "", 10).entries;
    assert!(overflow_records.is_empty(), "seed {seed}");
}

fn end_disruptions(cluster: &mut SimulatedCluster) {
    cluster.controller_faults = Default::default();
    cluster.store.drops_responses = false;
    cluster.store.execution_delay_ms = None;
    for machine in &mut cluster.machines {
        machine.faults = Default::default();
    }
}

/// Guards against half a gang that runs, a task that runs twice and a gang that never ends, under
/// crashes, cancellations, lost and late answers between the steps.
#[test]
fn wide_gangs_start_whole_amid_crashes_cancellations_and_lost_answers() {
    for seed in 1..=4 {
        run_wide_gangs_amid_disruptions(seed);
    }
}
