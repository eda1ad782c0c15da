//! Placement constraints: zones, spreading, machine types, spot and on-demand machines.

mod support;

use pointhook::protocol::users::{JobKind, Priority};
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller};
use support::worker::FakeWorker;

#[test]
fn a_one_zone_job_counts_a_previous_attempt_until_it_is_proven_absent() {
    let (mut store, mut controller) = start_single_controller();
    let (mut worker1, mut worker2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "south", 0),
    );
    let mut spec = job("job-1", 5);
    spec.one_zone = true;
    controller.submit(&mut store, spec, 0);
    controller.exchange_heartbeat(&mut store, &mut worker1, 0);
    assert_eq!(worker1.started.len(), 4);
    controller.exchange_heartbeat(&mut store, &mut worker2, 100);
    assert_eq!(worker2.started.len(), 0);
    // The northern machine sends no more heartbeats, but its tasks may still be running.
    controller.exchange_heartbeat(&mut store, &mut worker2, 5000);
    assert_eq!(worker2.started.len(), 0);
}

#[test]
fn a_spread_job_stays_spread_while_previous_attempts_exist() {
    let (mut store, mut controller) = start_single_controller();
    let (mut worker1, mut worker2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "south", 0),
    );
    let mut spec = job("job-1", 3);
    spec.kind = JobKind::Service;
    spec.spread = true;
    controller.submit(&mut store, spec, 0);
    controller.exchange_heartbeat(&mut store, &mut worker1, 0);
    assert_eq!(worker1.started.len(), 2);
    controller.exchange_heartbeat(&mut store, &mut worker2, 100);
    assert_eq!(worker2.started.len(), 1);
}

#[test]
fn spot_jobs_leave_idle_on_demand_machines_free_for_a_while() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.spot = false;
    controller.submit(&mut store, job("job-1", 1), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 500);
    assert!(worker.started.is_empty());
    controller.exchange_heartbeat(&mut store, &mut worker, 10_500);
    assert_eq!(worker.started.len(), 1);
}

#[test]
fn a_dependency_of_an_urgent_job_takes_idle_on_demand_machines_at_once() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.spot = false;
    controller.submit(&mut store, job("job-1", 1), 0);
    let mut last = job("job-2", 1);
    last.dependencies = vec!["job-1".into()];
    last.priority = Priority::High;
    controller.submit(&mut store, last, 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 500);
    assert_eq!(worker.started.len(), 1);
}

#[test]
fn jobs_never_run_on_spot_machines_types_or_zones_they_exclude() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    let mut spec = job("job-1", 1);
    spec.spot = false;
    controller.submit(&mut store, spec, 0);
    let mut typed = job("job-2", 1);
    typed.types = Some(vec!["kiln".into()]);
    controller.submit(&mut store, typed, 0);
    let mut zoned = job("job-3", 1);
    zoned.zone = Some("south".into());
    controller.submit(&mut store, zoned, 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 30_000);
    assert!(worker.started.is_empty());
}
