//! Gang scheduling: all tasks of a gang start together or not at all, and gangs neither starve nor
//! block other work.

mod support;

use pointhook::coordination::scheduler::gangs;
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

/// A team's limit of two of which a long job of this shape holds one, with a gang waiting that
/// needs both.
fn gang_behind(shape: JobKind) -> (FakeKvStore, SimulatedController, FakeWorker) {
    let (mut store, mut c) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 500_000;
    let mut holder = job("job-1", 1);
    holder.team = "mixers".into();
    holder.kind = shape;
    c.submit(&mut store, holder, 0);
    c.exchange_heartbeat(&mut store, &mut worker, 0);
    let mut gang = job("job-2", 2);
    gang.team = "mixers".into();
    gang.kind = JobKind::Gang;
    c.submit(&mut store, gang, 100);
    (store, c, worker)
}

#[test]
fn a_gang_starts_with_one_attempt_on_all_machines_or_not_at_all() {
    let (mut store, mut c) = start_single_controller();
    let mut spec = job("job-1", 2);
    spec.kind = JobKind::Gang;
    spec.vcpus = 16.0;
    c.submit(&mut store, spec, 0);
    let (mut w1, mut w2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "south", 0),
    );
    c.exchange_heartbeat(&mut store, &mut w1, 0);
    assert!(w1.started.is_empty());
    c.exchange_heartbeat(&mut store, &mut w2, 100);
    c.exchange_heartbeat(&mut store, &mut w1, 500);
    assert_eq!(w1.started.len() + w2.started.len(), 2);
    assert_eq!(w1.started[0].1, w2.started[0].1);
}

#[test]
fn a_gang_that_lost_a_member_is_stopped_and_retried() {
    let (mut store, mut c) = start_single_controller();
    let mut spec = job("job-1", 2);
    spec.kind = JobKind::Gang;
    spec.vcpus = 16.0;
    c.submit(&mut store, spec, 0);
    let (mut w1, mut w2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "north", 0),
    );
    w1.run_ms = 100_000;
    w2.run_ms = 100_000;
    run_heartbeats(&mut c, &mut store, &mut [&mut w1, &mut w2], 0, 3000);
    assert_eq!(c.job("job-1").placements.len(), 2);
    let mix = c.machine("m1");
    c.cluster.mark_deleted(mix);
    run_heartbeats(&mut c, &mut store, &mut [&mut w2], 3000, 5000);
    assert!(!w2.has_task("job-1/0") && !w2.has_task("job-1/1"));
    assert!(c.job("job-1").placements.is_empty());
    let mut w3 = FakeWorker::new("m3", "north", 0);
    run_heartbeats(&mut c, &mut store, &mut [&mut w2, &mut w3], 5000, 7000);
    assert_eq!(c.job("job-1").placements.len(), 2);
    assert!(c.job("job-1").placements.iter().all(|p| p.attempt == 2));
}

#[test]
fn two_gangs_do_not_each_reserve_half_of_what_both_need() {
    let (mut store, mut c) = start_single_controller();
    for (id, at) in [("job-1", 0), ("job-2", 1)] {
        let mut spec = job(id, 2);
        spec.kind = JobKind::Gang;
        spec.vcpus = 16.0;
        c.submit(&mut store, spec, at);
    }
    let mut busy = job("job-3", 2);
    busy.vcpus = 16.0;
    busy.gpus = 0.5;
    busy.priority = Priority::High;
    c.submit(&mut store, busy, 2);
    let (mut w1, mut w2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "south", 0),
    );
    run_heartbeats(&mut c, &mut store, &mut [&mut w1, &mut w2], 0, 1000);
    let holds = gangs::gang_reservations(&c.cluster, &c.config, MonotonicMillis(1000), 10_000);
    assert_eq!(holds.len(), 1);
    assert_eq!(holds[0].0, c.job_index("job-1"));
    assert_eq!(holds[0].1.len(), 2);
}

#[test]
fn a_machine_reserved_for_a_gang_takes_no_other_work() {
    let (mut store, mut c) = start_single_controller();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.exchange_heartbeat(&mut store, &mut w, 0);
    c.submit(&mut store, job("job-1", 1), 100);
    let (ix, mix) = (c.job_index("job-1"), c.machine("m1"));
    c.cluster.machine_mut(mix).unwrap().reservation = Some((ix, MonotonicMillis(5000)));
    assert_eq!(c.draft_plan(1000).claims.len(), 0);
    assert_eq!(c.draft_plan(3900).claims.len(), 0);
    c.exchange_heartbeat(&mut store, &mut w, 5000);
    assert_eq!(w.started.len(), 1);
}

#[test]
fn younger_jobs_leave_their_teams_quota_to_a_waiting_gang() {
    let (mut store, mut c) = start_single_controller();
    let mut w = FakeWorker::new("m1", "north", 0);
    let mut first = job("job-1", 1);
    first.team = "mixers".into();
    w.run_ms = 7000;
    c.submit(&mut store, first.clone(), 0);
    c.exchange_heartbeat(&mut store, &mut w, 0);
    let mut gang = job("job-2", 2);
    gang.team = "mixers".into();
    gang.kind = JobKind::Gang;
    c.submit(&mut store, gang, 100);
    run_heartbeats(&mut c, &mut store, &mut [&mut w], 500, 6000);
    // The limit is two: one runs, the gang needs both.
    first.id = "job-3".into();
    first.tasks = 8;
    c.submit(&mut store, first, 6000);
    run_heartbeats(&mut c, &mut store, &mut [&mut w], 6000, 8000);
    assert!(c.job("job-3").placements.is_empty());
    run_heartbeats(&mut c, &mut store, &mut [&mut w], 8000, 10_000);
    assert_eq!(c.job("job-2").placements.len(), 2);
    assert!(c.job("job-3").placements.is_empty());
}

#[test]
fn jobs_do_not_wait_for_a_gang_whose_quota_services_use() {
    let (mut store, mut c, mut worker) = gang_behind(JobKind::Service);
    run_heartbeats(&mut c, &mut store, &mut [&mut worker], 500, 8000);
    let mut younger = job("job-3", 1);
    younger.team = "mixers".into();
    c.submit(&mut store, younger, 8000);
    run_heartbeats(&mut c, &mut store, &mut [&mut worker], 8000, 12_000);
    assert!(c.job("job-2").placements.is_empty());
    assert_eq!(c.job("job-3").placements.len(), 1);
}

#[test]
fn no_machine_is_reserved_for_a_gang_whose_quota_services_use() {
    let (mut store, mut c, mut worker) = gang_behind(JobKind::Service);
    let mut other = FakeWorker::new("m2", "north", 0);
    run_heartbeats(
        &mut c,
        &mut store,
        &mut [&mut worker, &mut other],
        500,
        8000,
    );
    let holds = |c: &SimulatedController| {
        gangs::gang_reservations(&c.cluster, &c.config, MonotonicMillis(8000), 8000)
    };
    assert!(holds(&c).is_empty());
    // Once the service is cancelled the gang may come about, and machines are kept for it.
    c.cancel(&mut store, "job-1", 8000);
    assert_eq!(holds(&c).len(), 1);
}

#[test]
fn jobs_wait_for_a_gang_of_their_team_for_less_than_ninety_seconds() {
    let (mut store, mut c, mut worker) = gang_behind(JobKind::Array);
    run_heartbeats(&mut c, &mut store, &mut [&mut worker], 500, 8000);
    let mut younger = job("job-3", 1);
    younger.team = "mixers".into();
    c.submit(&mut store, younger, 8000);
    run_heartbeats(&mut c, &mut store, &mut [&mut worker], 8000, 80_000);
    assert!(c.job("job-3").placements.is_empty());
    run_heartbeats(&mut c, &mut store, &mut [&mut worker], 80_000, 90_000);
    assert_eq!(c.job("job-3").placements.len(), 1);
}

#[test]
fn a_gang_task_that_timed_out_waits_again_under_the_same_attempt() {
    let (mut store, mut c) = start_single_controller();
    c.submit(&mut store, gang("job-1", 2), 0);
    let (mut w1, mut w2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "north", 0),
    );
    w1.run_ms = 1_000_000;
    // The second machine fetches for longer than the first one waits.
    w2.image_pull_ms = 1_000_000;
    run_heartbeats(&mut c, &mut store, &mut [&mut w1, &mut w2], 0, 2000);
    w1.time_out_gang_wait();
    run_heartbeats(&mut c, &mut store, &mut [&mut w1, &mut w2], 2000, 3000);
    assert!(c.job("job-1").placements.iter().all(|p| p.attempt == 1));
    assert_eq!(w1.started.len(), 2);
    assert_eq!(w1.started[0], w1.started[1]);
    assert_eq!(w2.started.len(), 1);
}

#[test]
fn a_gang_that_stays_incomplete_is_retried_after_a_few_timeouts() {
    let (mut store, mut c) = start_single_controller();
    c.submit(&mut store, gang("job-1", 2), 0);
    let (mut w1, mut w2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "north", 0),
    );
    w2.image_pull_ms = 1_000_000;
    w1.run_ms = 1_000_000;
    run_heartbeats(&mut c, &mut store, &mut [&mut w1, &mut w2], 0, 2000);
    for i in 0..6 {
        w1.time_out_gang_wait();
        let from = 2000 + i * 2000;
        run_heartbeats(
            &mut c,
            &mut store,
            &mut [&mut w1, &mut w2],
            from,
            from + 2000,
        );
    }
    assert!(c.job("job-1").next_attempt > 2);
}
