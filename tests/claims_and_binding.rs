//! Claims and bindings: a task is placed at most once, even if other controllers, cancellations or
//! delayed transactions race with the claim.

mod support;

use pointhook::coordination::kv::{apply_outcome, transaction, CommitOutcome};
use pointhook::coordination::{heartbeats, reconciliation};
use pointhook::protocol::workers::{AgentEpoch, Command, FencingToken};
use pointhook::state::cluster_state::ClusterState;
use pointhook::state::job::JobState;
use pointhook::state::units::MonotonicMillis;
use support::builders::count_starts;
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller, SimulatedController};
use support::worker::FakeWorker;

#[test]
fn an_array_runs_to_completion_and_leaves_nothing_behind() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.submit(&mut store, job("job-1", 6), 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 20_000);
    assert_eq!(controller.job("job-1").state, JobState::Done);
    assert!(controller.job("job-1").is_settled());
    assert_eq!(worker.started.len(), 6);
    assert!(worker.heartbeat(20_000).tasks.is_empty());
}

#[test]
fn a_job_accepted_by_two_controllers_is_stored_once() {
    let (mut store, mut first) = start_single_controller();
    let mut second = SimulatedController::start("s1", 2, &mut store, 0);
    assert!(matches!(
        first.submit(&mut store, job("job-1", 1), 1),
        CommitOutcome::Committed(_)
    ));
    assert!(matches!(
        second.submit(&mut store, job("job-1", 1), 2),
        CommitOutcome::Conflict(_)
    ));
    assert_eq!(second.job("job-1").version, first.job("job-1").version);
}

#[test]
fn concurrent_claims_of_one_task_yield_one_placement() {
    let (mut store, mut north) = start_single_controller();
    let mut south = SimulatedController::start("s1", 2, &mut store, 0);
    store.revoke_lease(north.lease);
    south.sync(&store);
    south.apply_membership_moves(&mut store, 0);
    // The previous owner has not yet noticed the loss of its lease and still claims tasks.
    let (mut worker1, mut worker2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "south", 0),
    );
    let spec = job("job-1", 1);
    assert!(matches!(
        south.submit(&mut store, spec, 0),
        CommitOutcome::Committed(_)
    ));
    south.exchange_heartbeat(&mut store, &mut worker2, 10);
    north.exchange_heartbeat(&mut store, &mut worker1, 20);
    assert_eq!(worker1.started.len() + worker2.started.len(), 1);
}

#[test]
fn a_cancellation_stops_a_task_whose_start_is_in_flight() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    controller.submit(&mut store, job("job-1", 2), 100);
    let heartbeat = worker.heartbeat(500);
    let response = controller
        .receive_heartbeat(&mut store, &heartbeat, 500)
        .unwrap();
    assert!(matches!(
        controller.cancel(&mut store, "job-1", 550),
        CommitOutcome::Committed(_)
    ));
    worker.receive_response(&response, heartbeat.agent_epoch, 500, 600);
    assert!(worker.has_task("job-1/1"));
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 1000, 3000);
    assert!(!worker.has_task("job-1/0") && !worker.has_task("job-1/1"));
    assert_eq!(controller.job("job-1").state, JobState::Cancelled);
}

#[test]
fn a_cancelled_job_stays_cancelled_when_its_tasks_complete() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 100;
    worker.image_pull_ms = 0;
    controller.submit(&mut store, job("job-1", 1), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    controller.cancel(&mut store, "job-1", 50);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 1000, 3000);
    assert_eq!(controller.job("job-1").state, JobState::Cancelled);
}

#[test]
fn a_running_task_without_a_placement_is_stopped() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    let stray_start = pointhook::protocol::workers::HeartbeatResponse {
        fencing_token: FencingToken(0),
        commands: vec![Command::Start {
            task: "job-77/0".into(),
            attempt: 4,
        }],
    };
    worker.receive_response(&stray_start, AgentEpoch(1), 0, 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 500, 2500);
    assert!(worker.heartbeat(2500).tasks.is_empty());
}

#[test]
fn a_wide_job_stays_within_the_record_size_limit() {
    let (mut store, mut controller) = start_single_controller();
    let mut spec = job("job-1", 100_000);
    spec.vcpus = 0.01;
    spec.gpus = 0.001;
    spec.mem_gb = 0.01;
    controller.submit(&mut store, spec, 0);
    let mut worker = FakeWorker::new("m1", "north", 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 20_000);
    assert!(controller.job("job-1").done.count() > 200);
    let entry = store.entry(&ClusterState::job_key("job-1")).unwrap();
    assert!(entry.v.to_string().len() <= store.max_value_bytes);
}

// Guards against a failure seen when a controller was seconds late: while the removal of a
// placement was in flight, the machine sent a heartbeat in a new agent epoch and received a start
// command for the attempt that the transaction then removed from the record.
#[test]
fn an_abandoned_attempt_is_not_started_while_its_transaction_is_in_flight() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    controller.submit(&mut store, job("job-1", 1), 100);
    let heartbeat = worker.heartbeat(500);
    let lost_response = controller
        .receive_heartbeat(&mut store, &heartbeat, 500)
        .unwrap();
    assert_eq!(
        count_starts(&lost_response.commands),
        1,
        "the start command is in a response that gets lost"
    );
    // The machine gets no response for longer than a lease, so its tasks are proven dead.
    let now = 500 + controller.config.lease_expiry_ms + 10;
    let draft = controller.draft_plan(now);
    let job_index = controller.job_index("job-1");
    assert!(draft.jobs[&job_index].placements.is_empty());
    reconciliation::mark_abandoned(&mut controller.cluster, &draft);
    let in_flight = transaction(&controller.cluster, &draft);
    let heartbeat = worker.heartbeat(now + 20);
    assert_eq!(heartbeat.agent_epoch, AgentEpoch(2));
    let received = heartbeats::receive(
        &mut controller.cluster,
        &controller.config,
        &heartbeat,
        10_000,
        MonotonicMillis(now + 20),
    );
    let heartbeats::HeartbeatOutcome::Accepted(accepted) = received else {
        panic!("not accepted");
    };
    let response = heartbeats::respond(
        &mut controller.cluster,
        &controller.config,
        controller.failovers.permits(),
        &accepted,
        MonotonicMillis(now + 20),
    )
    .unwrap();
    assert_eq!(count_starts(&response.commands), 0);
    assert!(controller.direct_starts(now + 20).is_empty());
    let outcome = SimulatedController::commit(&mut store, &in_flight, now + 50);
    assert!(matches!(outcome, CommitOutcome::Committed(_)));
    apply_outcome(&mut controller.cluster, &draft, &outcome);
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker],
        now + 500,
        now + 20_000,
    );
    assert_eq!(worker.started, [("job-1/0".to_string(), 2)]);
    assert_eq!(controller.job("job-1").state, JobState::Done);
}
