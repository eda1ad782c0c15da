//! Outages of the key-value store and restarts of all controllers lose no job.

mod support;

use pointhook::coordination::autoscaler;
use pointhook::coordination::controller::peers::{is_cluster_wide_outage, PeerObservation};
use pointhook::protocol::workers::{AgentEpoch, Command};
use pointhook::state::cluster_state::ClusterState;
use pointhook::state::job::JobState;
use std::collections::HashMap;
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller, SimulatedController};
use support::worker::FakeWorker;

#[test]
fn a_done_job_stays_done_after_a_crash_of_all_controllers() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.submit(&mut store, job("job-1", 1), 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 9000);
    assert_eq!(controller.job("job-1").state, JobState::Done);
    let mut next = SimulatedController::start("n1", 2, &mut store, 9000);
    next.apply_membership_moves(&mut store, 9000);
    run_heartbeats(&mut next, &mut store, &mut [&mut worker], 9500, 12_000);
    assert_eq!(ClusterState::job_status(next.job("job-1")).0, "done");
    assert_eq!(worker.started.len(), 1);
}

#[test]
fn an_unfinished_job_continues_after_a_crash_of_all_controllers() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.submit(&mut store, job("job-1", 6), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    let mut next = SimulatedController::start("n1", 2, &mut store, 1000);
    next.apply_membership_moves(&mut store, 1000);
    run_heartbeats(&mut next, &mut store, &mut [&mut worker], 1500, 16_000);
    assert_eq!(next.job("job-1").state, JobState::Done);
    assert_eq!(worker.started.len(), 6);
}

#[test]
fn during_a_kv_outage_the_owner_answers_heartbeats_and_starts_nothing_new() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.submit(&mut store, job("job-1", 1), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    controller.submit(&mut store, job("job-2", 1), 100);
    store.unavailable = true;
    for now in (500..20_000).step_by(500) {
        assert!(
            controller.exchange_heartbeat(&mut store, &mut worker, now),
            "not answered at {now}"
        );
    }
    assert_eq!(worker.agent_epoch, AgentEpoch(1));
    assert_eq!(worker.started.len(), 1);
    store.unavailable = false;
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker],
        20_000,
        28_000,
    );
    assert_eq!(controller.job("job-1").state, JobState::Done);
    assert_eq!(controller.job("job-2").state, JobState::Done);
}

#[test]
fn a_kv_outage_with_a_restart_of_all_controllers_loses_no_job() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.submit(&mut store, job("job-1", 2), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    store.unavailable = true;
    assert!(!controller.sync(&store));
    for now in (500..7500).step_by(500) {
        // No controller answers while all restart, and the worker's lease continues to run.
        worker.advance(now);
    }
    store.unavailable = false;
    let mut next = SimulatedController::start("n1", 2, &mut store, 8000);
    next.apply_membership_moves(&mut store, 8000);
    run_heartbeats(&mut next, &mut store, &mut [&mut worker], 8500, 20_000);
    assert_eq!(next.job("job-1").state, JobState::Done);
}

#[test]
fn a_controller_partitioned_from_kv_starts_nothing_and_steps_down_at_a_higher_fencing_token() {
    let (mut store, mut old) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 60_000;
    old.submit(&mut store, job("job-1", 1), 0);
    old.exchange_heartbeat(&mut store, &mut worker, 0);
    old.exchange_heartbeat(&mut store, &mut worker, 1000);
    assert!(worker.has_task("job-1/0"));
    // The old owner loses the key-value store and its peers; its key expires, and another
    // controller takes its shards.
    store.revoke_lease(old.lease);
    let mut new = SimulatedController::start("s1", 2, &mut store, 5000);
    new.apply_membership_moves(&mut store, 5000);
    new.submit(&mut store, job("job-2", 1), 5100);
    // The old owner still answers its worker, which keeps its task and gets no new task.
    let heartbeat = worker.heartbeat(6000);
    let response = old.receive_heartbeat_without_kv(&heartbeat, 6000).unwrap();
    assert!(!response
        .commands
        .iter()
        .any(|command| matches!(command, Command::Start { .. })));
    assert!(worker.receive_response(&response, heartbeat.agent_epoch, 6000, 6000));
    // The new owner announces its fencing token; the worker's heartbeat contains it, and the old
    // owner steps down.
    worker.fencing_token = new.cluster.shards[0].record.fencing_token;
    let heartbeat = worker.heartbeat(7000);
    assert!(old.receive_heartbeat_without_kv(&heartbeat, 7000).is_none());
    // The placement is still valid, so the task stays where it is and is started once.
    new.exchange_heartbeat(&mut store, &mut worker, 7500);
    assert_eq!(
        worker.started.iter().filter(|s| s.0 == "job-1/0").count(),
        1
    );
    assert_eq!(new.job("job-1").placements.len(), 1);
    old.sync(&store);
    assert!(!old.owns(0) && new.owns(0));
}

#[test]
fn a_machine_deleted_while_all_controllers_were_down_does_not_keep_its_tasks() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.submit(&mut store, job("job-1", 1), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    assert_eq!(controller.job("job-1").placements.len(), 1);
    // All controllers restart, and the cloud deletes the machine before any of them receives a
    // heartbeat from it.
    store.revoke_lease(controller.lease);
    let mut new = SimulatedController::start("n1", 2, &mut store, 5000);
    new.apply_membership_moves(&mut store, 5000);
    new.run_planner(&mut store, 200_000);
    assert_eq!(new.job("job-1").placements.len(), 1);
    // The machine is in no list and sends no heartbeat. It is deleted by name, which proves that it
    // is gone.
    let names = autoscaler::presumed_lost(&new.cluster, &HashMap::new(), |_| true);
    assert_eq!(names, ["m1"]);
    assert!(autoscaler::presumed_lost(&new.cluster, &HashMap::new(), |_| false).is_empty());
    let machine = new.machine("m1");
    new.cluster.mark_deleted(machine);
    new.run_planner(&mut store, 200_000);
    assert!(new.job("job-1").placements.is_empty());
    assert!(autoscaler::presumed_lost(&new.cluster, &HashMap::new(), |_| true).is_empty());
}

#[test]
fn every_controller_reads_every_job_after_a_kv_outage_with_a_restart_of_all() {
    let (mut store, mut first) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    for i in 1..=30 {
        first.submit(&mut store, job(&format!("job-{i}"), 1), 0);
    }
    first.exchange_heartbeat(&mut store, &mut worker, 0);
    store.revoke_lease(first.lease);
    let controllers =
        ["n1", "s1"].map(|name| SimulatedController::start(name, 7, &mut store, 60_000));
    for controller in &controllers {
        assert!(controller.cluster.loaded);
        assert!((1..=30).all(|i| controller.cluster.job(&format!("job-{i}")).is_some()));
    }
}

#[test]
fn an_isolated_controller_reports_itself_unhealthy() {
    let peer = |has_recent_status, kv_reachable, connection_refused| PeerObservation {
        has_recent_status,
        kv_reachable,
        connection_refused,
    };
    // The key-value store is unavailable to all controllers: reporting itself unhealthy would help
    // nobody.
    assert!(is_cluster_wide_outage(&[
        peer(true, false, false),
        peer(false, false, false)
    ]));
    assert!(is_cluster_wide_outage(&[]));
    // A peer that refuses connections, since its process has ended, shows that the network works.
    assert!(is_cluster_wide_outage(&[peer(false, false, true)]));
    // The store serves a peer, or no peer is in contact.
    assert!(!is_cluster_wide_outage(&[
        peer(true, true, false),
        peer(true, false, false)
    ]));
    assert!(!is_cluster_wide_outage(&[
        peer(false, true, false),
        peer(false, false, false)
    ]));
}
