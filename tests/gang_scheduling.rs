//! Gang scheduling: all tasks of a gang start together or not at all, and gangs neither starve nor
//! block other jobs.

mod support;

use pointhook::coordination::scheduler::gang_reservations::gang_reservations;
use pointhook::protocol::users::{JobKind, Priority};
use pointhook::state::units::MonotonicMillis;
use support::job;
use support::kv_store::FakeKvStore;
use support::simulated_controller::{run_heartbeats, start_single_controller, SimulatedController};
use support::worker::FakeWorker;

fn gang(id: &str, tasks: u32) -> pointhook::protocol::users::JobSpec {
    let mut spec = job(id, tasks);
    spec.kind = JobKind::Gang;
    spec.vcpus = 16.0;
    spec
}

/// A controller with a team whose quota is two tasks: a long job of the given kind runs one task,
/// and a gang of two tasks waits.
fn gang_waiting_for_quota(kind: JobKind) -> (FakeKvStore, SimulatedController, FakeWorker) {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 500_000;
    let mut holder = job("job-1", 1);
    holder.team = "mixers".into();
    holder.kind = kind;
    controller.submit(&mut store, holder, 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    let mut gang = job("job-2", 2);
    gang.team = "mixers".into();
    gang.kind = JobKind::Gang;
    controller.submit(&mut store, gang, 100);
    (store, controller, worker)
}

#[test]
fn a_gang_starts_with_one_attempt_on_all_machines_or_not_at_all() {
    let (mut store, mut controller) = start_single_controller();
    let mut spec = job("job-1", 2);
    spec.kind = JobKind::Gang;
    spec.vcpus = 16.0;
    controller.submit(&mut store, spec, 0);
    let (mut worker1, mut worker2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "south", 0),
    );
    controller.exchange_heartbeat(&mut store, &mut worker1, 0);
    assert!(worker1.started.is_empty());
    controller.exchange_heartbeat(&mut store, &mut worker2, 100);
    controller.exchange_heartbeat(&mut store, &mut worker1, 500);
    assert_eq!(worker1.started.len() + worker2.started.len(), 2);
    assert_eq!(worker1.started[0].1, worker2.started[0].1);
}

#[test]
fn a_gang_that_lost_a_member_is_stopped_and_retried() {
    let (mut store, mut controller) = start_single_controller();
    let mut spec = job("job-1", 2);
    spec.kind = JobKind::Gang;
    spec.vcpus = 16.0;
    controller.submit(&mut store, spec, 0);
    let (mut worker1, mut worker2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "north", 0),
    );
    worker1.run_ms = 100_000;
    worker2.run_ms = 100_000;
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker1, &mut worker2],
        0,
        3000,
    );
    assert_eq!(controller.job("job-1").placements.len(), 2);
    let machine = controller.machine("m1");
    controller.cluster.mark_deleted(machine);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker2], 3000, 5000);
    assert!(!worker2.has_task("job-1/0") && !worker2.has_task("job-1/1"));
    assert!(controller.job("job-1").placements.is_empty());
    let mut worker3 = FakeWorker::new("m3", "north", 0);
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker2, &mut worker3],
        5000,
        7000,
    );
    assert_eq!(controller.job("job-1").placements.len(), 2);
    assert!(controller
        .job("job-1")
        .placements
        .iter()
        .all(|p| p.attempt == 2));
}

#[test]
fn two_gangs_do_not_each_reserve_half_of_what_both_need() {
    let (mut store, mut controller) = start_single_controller();
    for (id, at) in [("job-1", 0), ("job-2", 1)] {
        let mut spec = job(id, 2);
        spec.kind = JobKind::Gang;
        spec.vcpus = 16.0;
        controller.submit(&mut store, spec, at);
    }
    let mut busy = job("job-3", 2);
    busy.vcpus = 16.0;
    busy.gpus = 0.5;
    busy.priority = Priority::High;
    controller.submit(&mut store, busy, 2);
    let (mut worker1, mut worker2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "south", 0),
    );
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker1, &mut worker2],
        0,
        1000,
    );
    let reservations = gang_reservations(
        &controller.cluster,
        &controller.config,
        MonotonicMillis(1000),
        10_000,
    );
    assert_eq!(reservations.len(), 1);
    assert_eq!(reservations[0].job, controller.job_index("job-1"));
    assert_eq!(reservations[0].machines.len(), 2);
}

#[test]
fn a_machine_reserved_for_a_gang_takes_no_other_work() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    controller.submit(&mut store, job("job-1", 1), 100);
    let (job_index, machine) = (controller.job_index("job-1"), controller.machine("m1"));
    controller
        .cluster
        .machine_mut(machine)
        .unwrap()
        .reserve_for(job_index, MonotonicMillis(5000));
    assert_eq!(controller.draft_plan(1000).claims.len(), 0);
    assert_eq!(controller.draft_plan(3900).claims.len(), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 5000);
    assert_eq!(worker.started.len(), 1);
}

#[test]
fn younger_jobs_leave_their_teams_quota_to_a_waiting_gang() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    let mut first = job("job-1", 1);
    first.team = "mixers".into();
    worker.run_ms = 7000;
    controller.submit(&mut store, first.clone(), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    let mut gang = job("job-2", 2);
    gang.team = "mixers".into();
    gang.kind = JobKind::Gang;
    controller.submit(&mut store, gang, 100);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 500, 6000);
    // The quota is two tasks: one is running, and the gang needs both.
    first.id = "job-3".into();
    first.tasks = 8;
    controller.submit(&mut store, first, 6000);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 6000, 8000);
    assert!(controller.job("job-3").placements.is_empty());
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker],
        8000,
        10_000,
    );
    assert_eq!(controller.job("job-2").placements.len(), 2);
    assert!(controller.job("job-3").placements.is_empty());
}

#[test]
fn jobs_do_not_wait_for_a_gang_whose_quota_services_use() {
    let (mut store, mut controller, mut worker) = gang_waiting_for_quota(JobKind::Service);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 500, 8000);
    let mut younger = job("job-3", 1);
    younger.team = "mixers".into();
    controller.submit(&mut store, younger, 8000);
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker],
        8000,
        12_000,
    );
    assert!(controller.job("job-2").placements.is_empty());
    assert_eq!(controller.job("job-3").placements.len(), 1);
}

#[test]
fn no_machine_is_reserved_for_a_gang_whose_quota_services_use() {
    let (mut store, mut controller, mut worker) = gang_waiting_for_quota(JobKind::Service);
    let mut other = FakeWorker::new("m2", "north", 0);
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker, &mut other],
        500,
        8000,
    );
    let reservations = |controller: &SimulatedController| {
        gang_reservations(
            &controller.cluster,
            &controller.config,
            MonotonicMillis(8000),
            8000,
        )
    };
    assert!(reservations(&controller).is_empty());
    // Once the service is cancelled the gang can start, and machines are reserved for it.
    controller.cancel(&mut store, "job-1", 8000);
    assert_eq!(reservations(&controller).len(), 1);
}

#[test]
fn jobs_wait_for_a_gang_of_their_team_for_less_than_ninety_seconds() {
    let (mut store, mut controller, mut worker) = gang_waiting_for_quota(JobKind::Array);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 500, 8000);
    let mut younger = job("job-3", 1);
    younger.team = "mixers".into();
    controller.submit(&mut store, younger, 8000);
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker],
        8000,
        80_000,
    );
    assert!(controller.job("job-3").placements.is_empty());
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker],
        80_000,
        90_000,
    );
    assert_eq!(controller.job("job-3").placements.len(), 1);
}

#[test]
fn a_gang_task_that_timed_out_waits_again_under_the_same_attempt() {
    let (mut store, mut controller) = start_single_controller();
    controller.submit(&mut store, gang("job-1", 2), 0);
    let (mut worker1, mut worker2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "north", 0),
    );
    worker1.run_ms = 1_000_000;
    // The second machine pulls its image for longer than the first machine waits.
    worker2.image_pull_ms = 1_000_000;
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker1, &mut worker2],
        0,
        2000,
    );
    worker1.time_out_gang_wait();
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker1, &mut worker2],
        2000,
        3000,
    );
    assert!(controller
        .job("job-1")
        .placements
        .iter()
        .all(|p| p.attempt == 1));
    assert_eq!(worker1.started.len(), 2);
    assert_eq!(worker1.started[0], worker1.started[1]);
    assert_eq!(worker2.started.len(), 1);
}

#[test]
fn a_gang_that_stays_incomplete_is_retried_after_a_few_timeouts() {
    let (mut store, mut controller) = start_single_controller();
    controller.submit(&mut store, gang("job-1", 2), 0);
    let (mut worker1, mut worker2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "north", 0),
    );
    worker2.image_pull_ms = 1_000_000;
    worker1.run_ms = 1_000_000;
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker1, &mut worker2],
        0,
        2000,
    );
    for round in 0..6 {
        worker1.time_out_gang_wait();
        let from = 2000 + round * 2000;
        run_heartbeats(
            &mut controller,
            &mut store,
            &mut [&mut worker1, &mut worker2],
            from,
            from + 2000,
        );
    }
    assert!(controller.job("job-1").next_attempt > 2);
}
