//! Worker reachability: machines that receive no responses, and controllers that no worker reaches.

mod support;

use pointhook::coordination::autoscaler;
use pointhook::coordination::controller::worker_reachability::WorkerReachability;
use pointhook::coordination::worker_connectivity::probes;
use pointhook::protocol::workers::AgentEpoch;
use pointhook::state::names::ZoneIndex;
use pointhook::state::units::MonotonicMillis;
use std::collections::HashMap;
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller};
use support::worker::FakeWorker;

#[test]
fn an_unreachable_machine_gets_no_work_and_its_tasks_move_elsewhere() {
    let (mut store, mut controller) = start_single_controller();
    let mut unreachable = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut unreachable, 0);
    controller.submit(&mut store, job("job-1", 1), 100);
    // Its heartbeats arrive, but the responses are lost.
    for now in (500..4000).step_by(500) {
        let heartbeat = unreachable.heartbeat(now);
        controller
            .receive_heartbeat(&mut store, &heartbeat, now)
            .unwrap();
    }
    assert!(controller
        .cluster
        .machine(controller.machine("m1"))
        .unwrap()
        .health
        .unreachable_since
        .is_some());
    assert!(controller.job("job-1").placements.is_empty());
    let mut other = FakeWorker::new("m2", "north", 4000);
    controller.exchange_heartbeat(&mut store, &mut other, 4000);
    assert_eq!(other.started.len(), 1);
    assert!(unreachable.started.is_empty());
}

#[test]
fn an_unreachable_machine_is_scaled_in_unless_it_is_reached_again() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    let machine = controller.machine("m1");
    controller
        .cluster
        .machine_mut(machine)
        .unwrap()
        .health
        .unreachable_since = Some(MonotonicMillis(1000));
    let probe_targets = probes::unreachable_machines(
        &mut controller.cluster,
        &controller.config,
        10_000,
        MonotonicMillis(5000),
    );
    assert_eq!(probe_targets.len(), 1);
    assert!(
        !controller
            .cluster
            .machine(machine)
            .unwrap()
            .health
            .quarantined
    );
    let mut reached = controller.cluster.machine(machine).unwrap().clone();
    reached.health.mark_reachable(MonotonicMillis(5000));
    assert!(reached.is_schedulable(MonotonicMillis(500), 4000));
    probes::unreachable_machines(
        &mut controller.cluster,
        &controller.config,
        10_000,
        MonotonicMillis(11_500),
    );
    assert!(
        controller
            .cluster
            .machine(machine)
            .unwrap()
            .health
            .quarantined
    );
}

#[test]
fn an_agent_epoch_that_ends_despite_responses_marks_the_machine_as_unreachable() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    for now in (500..12_000).step_by(500) {
        let heartbeat = worker.heartbeat(now);
        controller
            .receive_heartbeat(&mut store, &heartbeat, now)
            .unwrap();
    }
    assert!(worker.agent_epoch > AgentEpoch(1));
    let machine = controller
        .cluster
        .machine(controller.machine("m1"))
        .unwrap();
    assert!(
        machine.health.unreachable_since.is_some()
            && !machine.is_schedulable(MonotonicMillis(12_000), 4000)
    );
}

#[test]
fn an_agent_epoch_that_ends_without_responses_does_not_mark_the_machine_as_unreachable() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 12_000);
    // No controller answers the worker for longer than a lease, after which responses resume.
    worker.advance(30_000);
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker],
        30_000,
        31_000,
    );
    assert!(worker.agent_epoch > AgentEpoch(1));
    assert!(controller
        .cluster
        .machine(controller.machine("m1"))
        .unwrap()
        .health
        .unreachable_since
        .is_none());
}

#[test]
fn loss_of_worker_contact_leads_to_probes_then_unreachability_and_delayed_recovery() {
    let mut worker_contact = WorkerReachability::new(30_000);
    // The first machine starts late. The controller counts as reachable until the time limit has
    // passed after that.
    assert!(worker_contact.update(false, None, MonotonicMillis(90_000)));
    assert!(worker_contact.update(true, None, MonotonicMillis(99_000)));
    worker_contact.record_contact(MonotonicMillis(100_000));
    assert!(
        !worker_contact.probe_needed(MonotonicMillis(104_000))
            && worker_contact.probe_needed(MonotonicMillis(106_000))
    );
    assert!(worker_contact.update(true, None, MonotonicMillis(109_000)));
    // Without machines no heartbeats are expected, and the time of a process pause does not count.
    assert!(worker_contact
        .clone()
        .update(false, None, MonotonicMillis(111_000)));
    assert!(worker_contact.clone().update(
        true,
        Some(MonotonicMillis(110_000)),
        MonotonicMillis(111_000)
    ));
    assert!(!worker_contact.update(true, None, MonotonicMillis(111_000)));
    worker_contact.record_contact(MonotonicMillis(112_000));
    assert!(!worker_contact.update(true, None, MonotonicMillis(113_000)));
    assert!(worker_contact.update(true, None, MonotonicMillis(117_000)));
}

#[test]
fn machines_of_a_partitioned_zone_are_not_scaled_in_at_once() {
    let (north, south, east) = (ZoneIndex(0), ZoneIndex(1), ZoneIndex(2));
    let counts = |total, silent| autoscaler::ZoneMachineCounts { total, silent };
    let counts = HashMap::from([
        (north, counts(300, 30)),
        (south, counts(300, 280)),
        (east, counts(4, 4)),
    ]);
    // If a tenth of a zone, or all of very few machines, are silent, these may really have failed.
    assert!(autoscaler::partitioned_zones(&counts)
        .into_iter()
        .eq([south]));
    let limits = autoscaler::SilenceLimits {
        confirmed_ms: 20_000,
        lease_ms: 22_000,
    };
    assert_eq!(limits.partition_allowance_ms(), 44_000);
}
