//! Heartbeats: delayed and duplicate ones prove nothing, and the tasks of a silent machine are
//! restarted only after its lease has expired.

mod support;

use pointhook::coordination::controller::clock;
use pointhook::coordination::heartbeats;
use pointhook::coordination::peer_messages::status_updates;
use pointhook::protocol::workers::AgentEpoch;
use pointhook::state::job::JobState;
use pointhook::state::units::MonotonicMillis;
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller, SimulatedController};
use support::worker::FakeWorker;

#[test]
fn a_task_of_a_silent_machine_is_restarted_only_after_lease_expiry() {
    let (mut store, mut controller) = start_single_controller();
    let (mut worker1, mut worker2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "north", 0),
    );
    worker1.run_ms = 60_000;
    controller.exchange_heartbeat(&mut store, &mut worker1, 0);
    controller.submit(&mut store, job("job-1", 1), 100);
    controller.exchange_heartbeat(&mut store, &mut worker1, 500);
    controller.exchange_heartbeat(&mut store, &mut worker1, 1500);
    assert!(worker1.has_task("job-1/0"));
    for now in (2000..13_000).step_by(500) {
        controller.exchange_heartbeat(&mut store, &mut worker2, now);
        assert!(worker2.started.is_empty(), "started elsewhere at {now}");
    }
    // By now the lease, the allowance for clock drift and the margin have passed since the last
    // response.
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker2],
        13_500,
        16_000,
    );
    assert_eq!(worker2.started.len(), 1);
    worker1.advance(13_500);
    assert!(!worker1.has_task("job-1/0"));
}

#[test]
fn elapsed_time_proves_no_lease_expiry_to_a_new_owner() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker1 = FakeWorker::new("m1", "north", 0);
    worker1.run_ms = 60_000;
    controller.exchange_heartbeat(&mut store, &mut worker1, 0);
    controller.submit(&mut store, job("job-1", 1), 100);
    controller.exchange_heartbeat(&mut store, &mut worker1, 500);
    let mut next = SimulatedController::start("n1", 2, &mut store, 1000);
    next.apply_membership_moves(&mut store, 1000);
    let mut worker2 = FakeWorker::new("m2", "north", 0);
    run_heartbeats(&mut next, &mut store, &mut [&mut worker2], 1500, 60_000);
    assert!(worker2.started.is_empty());
    // The deletion of the machine by the cloud is proof.
    let machine = next
        .cluster
        .learn_machine("m1", "oven", "north", true, MonotonicMillis(60_000))
        .unwrap();
    next.cluster.mark_deleted(machine);
    run_heartbeats(&mut next, &mut store, &mut [&mut worker2], 60_000, 62_000);
    assert_eq!(worker2.started.len(), 1);
}

#[test]
fn a_new_agent_epoch_restarts_lost_tasks() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 3000;
    controller.submit(&mut store, job("job-1", 2), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 1500);
    worker.advance(12_000);
    assert_eq!(worker.agent_epoch, AgentEpoch(2));
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker],
        12_000,
        22_000,
    );
    assert_eq!(controller.job("job-1").state, JobState::Done);
    assert_eq!(worker.started.len(), 4);
}

#[test]
fn a_delayed_heartbeat_changes_nothing() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.submit(&mut store, job("job-1", 1), 0);
    let delayed = worker.heartbeat(0);
    controller.exchange_heartbeat(&mut store, &mut worker, 100);
    controller.exchange_heartbeat(&mut store, &mut worker, 1000);
    assert!(worker.has_task("job-1/0"));
    let before = controller.job("job-1").clone();
    let response = controller
        .receive_heartbeat(&mut store, &delayed, 8000)
        .unwrap();
    assert!(response.commands.is_empty());
    assert_eq!(controller.job("job-1").placements, before.placements);
    let last_seen = controller
        .cluster
        .machine(controller.machine("m1"))
        .unwrap()
        .heartbeat
        .last_seen;
    assert_eq!(last_seen, Some(MonotonicMillis(1000)));
}

#[test]
fn a_response_to_an_overtaken_heartbeat_still_renews_the_lease() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 60_000;
    controller.submit(&mut store, job("job-1", 1), 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 1500);
    let job_index = controller.job_index("job-1");
    let last_seen = controller
        .cluster
        .machine(controller.machine("m1"))
        .unwrap()
        .heartbeat
        .last_seen
        .unwrap();
    // The heartbeat is still in a socket buffer while the response to a direct command is read.
    let late = worker.heartbeat(9000);
    let newer = worker.heartbeat(9100);
    let machine = controller.machine("m1");
    heartbeats::apply(
        &mut controller.cluster,
        machine,
        &newer,
        MonotonicMillis(9100),
        heartbeats::StatusSource::CommandResponse,
    );
    assert!(controller
        .receive_heartbeat(&mut store, &late, 9200)
        .is_some());
    let lease_end = last_seen.plus(controller.config.lease_expiry_ms + 10).0;
    assert!(
        !controller
            .draft_plan(lease_end)
            .jobs
            .contains_key(&job_index),
        "a later response has renewed the lease"
    );
    assert!(controller
        .draft_plan(9200 + controller.config.lease_expiry_ms + 10)
        .jobs
        .contains_key(&job_index));
}

#[test]
fn a_duplicate_heartbeat_proves_nothing_and_gets_no_commands() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 60_000;
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    let without_tasks = worker.heartbeat(100);
    controller
        .receive_heartbeat(&mut store, &without_tasks, 100)
        .unwrap();
    controller.submit(&mut store, job("job-1", 1), 200);
    controller.exchange_heartbeat(&mut store, &mut worker, 1000);
    controller.exchange_heartbeat(&mut store, &mut worker, 2000);
    assert!(worker.has_task("job-1/0"));
    // A duplicate of the heartbeat from before the start arrives much more than a lease later.
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker],
        2500,
        30_000,
    );
    let last_seen = controller
        .cluster
        .machine(controller.machine("m1"))
        .unwrap()
        .heartbeat
        .last_seen;
    let response = controller
        .receive_heartbeat(&mut store, &without_tasks, 30_000)
        .unwrap();
    assert!(response.commands.is_empty());
    assert_eq!(
        controller
            .cluster
            .machine(controller.machine("m1"))
            .unwrap()
            .heartbeat
            .last_seen,
        last_seen
    );
    assert_eq!(controller.job("job-1").placements.len(), 1);
}

#[test]
fn a_duplicate_of_the_newest_heartbeat_acknowledges_no_start() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    let heartbeat = worker.heartbeat(500);
    controller
        .receive_heartbeat(&mut store, &heartbeat, 500)
        .unwrap();
    controller.submit(&mut store, job("job-1", 1), 600);
    // The duplicate is the first heartbeat after the claim, and no worker receives the response to
    // it.
    let response = controller
        .receive_heartbeat(&mut store, &heartbeat, 700)
        .unwrap();
    assert!(response.commands.is_empty());
    assert!(controller
        .cluster
        .machine(controller.machine("m1"))
        .unwrap()
        .starts
        .sent
        .is_empty());
    controller.exchange_heartbeat(&mut store, &mut worker, 1000);
    assert_eq!(worker.started.len(), 1);
}

#[test]
fn a_delayed_heartbeat_after_failover_is_no_sign_of_life() {
    let (mut store, mut old) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    old.exchange_heartbeat(&mut store, &mut worker, 0);
    let delayed = worker.heartbeat(100);
    store.revoke_lease(old.lease);
    let mut new = SimulatedController::start("s1", 2, &mut store, 200);
    new.apply_membership_moves(&mut store, 200);
    new.submit(&mut store, job("job-1", 1), 300);
    // The machine was deleted long ago; only delayed heartbeats of it still arrive.
    new.receive_heartbeat(&mut store, &delayed, 40_000).unwrap();
    let machine = new.machine("m1");
    assert_eq!(
        new.cluster.machine(machine).unwrap().heartbeat.last_seen,
        None
    );
    assert!(new.draft_plan(40_000).claims.is_empty());
    // Heartbeats of a live machine under the new fencing token do count, and it gets tasks.
    let mut alive = FakeWorker::new("m2", "north", 40_000);
    new.exchange_heartbeat(&mut store, &mut alive, 40_000);
    assert_eq!(alive.started.len(), 1);
}

#[test]
fn a_delayed_heartbeat_does_not_revive_a_deleted_machine() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    let delayed = worker.heartbeat(100);
    let machine = controller.machine("m1");
    controller.cluster.mark_deleted(machine);
    controller.submit(&mut store, job("job-1", 1), 200);
    assert!(controller
        .receive_heartbeat(&mut store, &delayed, 20_000)
        .is_none());
    assert!(controller.draft_plan(20_000).claims.is_empty());
}

#[test]
fn a_controller_does_not_count_its_own_pause_as_silence_of_machines() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    let machine = controller
        .cluster
        .machine(controller.machine("m1"))
        .unwrap();
    let last_seen = machine.heartbeat.last_seen;
    let discovered_at = machine.discovered_at;
    // The controller owned the shard from the start, and was paused from 1 s to 40 s.
    let owned_since = Some(MonotonicMillis(0));
    let resumed_at = Some(MonotonicMillis(40_000));
    let now = MonotonicMillis(41_000);
    assert_eq!(
        status_updates::silence_ms(last_seen, discovered_at, owned_since, now),
        41_000
    );
    assert_eq!(
        status_updates::silence_ms(
            last_seen,
            discovered_at,
            clock::observing_since(owned_since, resumed_at),
            now
        ),
        1000
    );
    assert_eq!(clock::observing_since(owned_since, None), owned_since);
}
