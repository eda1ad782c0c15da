//! Placement constraints: zones, spreading, machine types, spot and on-demand machines.

mod support;

use pointhook::protocol::users::{JobKind, Priority};
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller};
use support::worker::FakeWorker;

#[test]
fn a_one_zone_job_counts_a_previous_attempt_until_it_is_proven_absent() {
    let (mut store, mut c) = start_single_controller();
    let (mut w1, mut w2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "south", 0),
    );
    let mut spec = job("job-1", 5);
    spec.one_zone = true;
    c.submit(&mut store, spec, 0);
    c.exchange_heartbeat(&mut store, &mut w1, 0);
    assert_eq!(w1.started.len(), 4);
    c.exchange_heartbeat(&mut store, &mut w2, 100);
    assert_eq!(w2.started.len(), 0);
    // The north machine stops talking; its tasks may still be there.
    c.exchange_heartbeat(&mut store, &mut w2, 5000);
    assert_eq!(w2.started.len(), 0);
}

#[test]
fn a_spread_job_stays_spread_while_previous_attempts_exist() {
    let (mut store, mut c) = start_single_controller();
    let (mut w1, mut w2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "south", 0),
    );
    let mut spec = job("job-1", 3);
    spec.kind = JobKind::Service;
    spec.spread = true;
    c.submit(&mut store, spec, 0);
    c.exchange_heartbeat(&mut store, &mut w1, 0);
    assert_eq!(w1.started.len(), 2);
    c.exchange_heartbeat(&mut store, &mut w2, 100);
    assert_eq!(w2.started.len(), 1);
}

#[test]
fn spot_jobs_leave_idle_on_demand_machines_free_for_a_while() {
    let (mut store, mut c) = start_single_controller();
    let mut w = FakeWorker::new("m1", "north", 0);
    w.spot = false;
    c.submit(&mut store, job("job-1", 1), 0);
    c.exchange_heartbeat(&mut store, &mut w, 500);
    assert!(w.started.is_empty());
    c.exchange_heartbeat(&mut store, &mut w, 10_500);
    assert_eq!(w.started.len(), 1);
}

#[test]
fn a_dependency_of_an_urgent_job_takes_idle_on_demand_machines_at_once() {
    let (mut store, mut c) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.spot = false;
    c.submit(&mut store, job("job-1", 1), 0);
    let mut last = job("job-2", 1);
    last.dependencies = vec!["job-1".into()];
    last.priority = Priority::High;
    c.submit(&mut store, last, 0);
    c.exchange_heartbeat(&mut store, &mut worker, 500);
    assert_eq!(worker.started.len(), 1);
}

#[test]
fn jobs_never_run_on_spot_machines_types_or_zones_they_exclude() {
    let (mut store, mut c) = start_single_controller();
    let mut w = FakeWorker::new("m1", "north", 0);
    let mut spec = job("job-1", 1);
    spec.spot = false;
    c.submit(&mut store, spec, 0);
    let mut typed = job("job-2", 1);
    typed.types = Some(vec!["kiln".into()]);
    c.submit(&mut store, typed, 0);
    let mut zoned = job("job-3", 1);
    zoned.zone = Some("south".into());
    c.submit(&mut store, zoned, 0);
    run_heartbeats(&mut c, &mut store, &mut [&mut w], 0, 30_000);
    assert!(w.started.is_empty());
}
