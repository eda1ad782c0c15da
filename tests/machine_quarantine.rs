//! Quarantined and cordoned machines, and status updates from owners and other controllers.

mod support;

use pointhook::coordination::peer_messages::status_updates;
use pointhook::protocol::peers::MachineStatus;
use pointhook::state::units::MonotonicMillis;
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller, SimulatedController};
use support::worker::FakeWorker;

/// An owner's status update on a machine that has been silent for this long.
fn machine_status(name: &str, silent_ms: u64) -> MachineStatus {
    MachineStatus {
        name: name.into(),
        addr: "127.0.0.1:1".into(),
        machine_type: "oven".into(),
        zone: "north".into(),
        spot: true,
        silent_ms,
        has_sent_heartbeat: true,
        fencing_token_confirmed: true,
        queue_length: 0,
        cordoned: false,
        quarantined: false,
    }
}

#[test]
fn a_machine_that_fails_several_jobs_is_quarantined() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.fails_tasks = true;
    worker.run_ms = 100;
    worker.image_pull_ms = 0;
    for id in ["job-1", "job-2", "job-3"] {
        let mut spec = job(id, 1);
        spec.gpus = 4.0;
        controller.submit(&mut store, spec, 0);
    }
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 6000);
    assert_eq!(worker.started.len(), 2);
    assert!(
        controller
            .cluster
            .machine(controller.machine("m1"))
            .unwrap()
            .health
            .quarantined
    );
}

#[test]
fn a_job_that_fails_on_every_machine_is_backed_off() {
    let (mut store, mut controller) = start_single_controller();
    let mut workers: Vec<FakeWorker> = (0..4)
        .map(|number| FakeWorker::new(&format!("m{number}"), "north", 0))
        .collect();
    for worker in &mut workers {
        worker.fails_tasks = true;
        worker.run_ms = 100;
        worker.image_pull_ms = 0;
    }
    let mut all_workers: Vec<&mut FakeWorker> = workers.iter_mut().collect();
    controller.submit(&mut store, job("job-1", 1), 0);
    run_heartbeats(&mut controller, &mut store, &mut all_workers, 0, 5000);
    let attempts: usize = workers.iter().map(|worker| worker.started.len()).sum();
    assert_eq!(attempts, 3);
    assert!(controller
        .cluster
        .all_machines()
        .all(|(_, machine)| !machine.health.quarantined));
}

#[test]
fn machine_status_updates_are_applied_only_from_the_owner() {
    let (mut store, old) = start_single_controller();
    store.revoke_lease(old.lease);
    let mut new = SimulatedController::start("s1", 2, &mut store, 5000);
    let mut third = SimulatedController::start("s2", 3, &mut store, 5000);
    new.apply_membership_moves(&mut store, 5000);
    third.sync(&store);
    let machine = third
        .cluster
        .learn_machine("m1", "oven", "north", true, MonotonicMillis(0))
        .unwrap();
    status_updates::apply_machine_statuses(
        &mut third.cluster,
        &third.config,
        "s1",
        vec![machine_status("m1", 0)],
        MonotonicMillis(30_000),
    );
    // The previous owner has received no heartbeat of the machine for a long time.
    status_updates::apply_machine_statuses(
        &mut third.cluster,
        &third.config,
        "n1",
        vec![machine_status("m1", 25_000)],
        MonotonicMillis(30_100),
    );
    assert_eq!(
        third.cluster.machine(machine).unwrap().heartbeat.last_seen,
        Some(MonotonicMillis(30_000))
    );
}

#[test]
fn a_machine_cordoned_by_a_previous_owner_is_reassessed_by_the_next() {
    let (mut store, mut old) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    old.exchange_heartbeat(&mut store, &mut worker, 0);
    store.revoke_lease(old.lease);
    let mut new = SimulatedController::start("s1", 2, &mut store, 5000);
    let cordoned = MachineStatus {
        cordoned: true,
        ..machine_status("m1", 0)
    };
    status_updates::apply_machine_statuses(
        &mut new.cluster,
        &new.config,
        "n1",
        vec![cordoned],
        MonotonicMillis(5000),
    );
    let machine = new.machine("m1");
    assert!(!new
        .cluster
        .machine(machine)
        .unwrap()
        .is_schedulable(MonotonicMillis(5000), 4000));
    new.apply_membership_moves(&mut store, 5000);
    new.submit(&mut store, job("job-1", 1), 5000);
    run_heartbeats(&mut new, &mut store, &mut [&mut worker], 5500, 8000);
    assert!(worker.has_task("job-1/0"));
    // A machine that the owner itself has cordoned, in order to delete it, stays cordoned.
    new.cluster.machine_mut(machine).unwrap().decisions.cordoned = true;
    run_heartbeats(&mut new, &mut store, &mut [&mut worker], 8000, 10_000);
    assert!(!new
        .cluster
        .machine(machine)
        .unwrap()
        .is_schedulable(MonotonicMillis(10_000), 4000));
}
