//! Direct starts: a start command that is sent without waiting for the next heartbeat never starts
//! a task twice.

mod support;

use pointhook::coordination::heartbeats;
use pointhook::protocol::workers::{AgentEpoch, FencingToken};
use pointhook::state::job::JobState;
use pointhook::state::machine::TaskAttempt;
use pointhook::state::names::Index;
use pointhook::state::units::MonotonicMillis;
use support::builders::count_starts;
use support::job;
use support::simulated_controller::{
    direct_commands, run_heartbeats, start_single_controller, SimulatedController,
};
use support::worker::FakeWorker;

#[test]
fn an_unanswered_direct_start_delays_the_exit_acknowledgement() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 500);
    controller.submit(&mut store, job("job-1", 1), 600);
    controller.run_planner(&mut store, 600);
    let direct_start = controller.direct_starts(600);
    assert_eq!(direct_start.len(), 1);
    // No response comes. The response to the next heartbeat starts the task; it runs and completes.
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker],
        1000,
        12_000,
    );
    assert_eq!(controller.job("job-1").state, JobState::Done);
    // The worker must still list the exited attempt when the delayed start arrives.
    assert_eq!(
        worker.receive_commands(&direct_commands(&direct_start[0]), 12_000),
        200
    );
    assert!(!worker.has_task("job-1/0"));
    assert_eq!(worker.started.len(), 1);
    // Raising the fencing token invalidates the delayed start; then the exit is acknowledged.
    assert_eq!(controller.apply_membership_moves(&mut store, 13_000), 1);
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker],
        13_500,
        16_000,
    );
    assert!(worker.heartbeat(16_000).tasks.is_empty());
    assert_eq!(
        worker.receive_commands(&direct_commands(&direct_start[0]), 16_100),
        409
    );
    assert_eq!(worker.started.len(), 1);
}

#[test]
fn a_repeated_direct_start_starts_nothing_after_its_task_has_moved() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 60_000;
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 500);
    controller.submit(&mut store, job("job-1", 1), 600);
    controller.run_planner(&mut store, 600);
    let direct_start = controller.direct_starts(600).remove(0);
    assert_eq!(
        worker.receive_commands(&direct_commands(&direct_start), 700),
        200
    );
    let machine = controller.machine("m1");
    let attempt = direct_start.attempts[0];
    controller
        .cluster
        .machine_mut(machine)
        .unwrap()
        .starts
        .in_flight
        .get_mut(&attempt)
        .unwrap()
        .acknowledged = true;
    controller.exchange_heartbeat(&mut store, &mut worker, 1000);
    // The attempt is stopped, and the task moves to another machine.
    controller
        .cluster
        .machine_mut(machine)
        .unwrap()
        .decisions
        .stopping
        .insert(attempt, 0.0);
    controller
        .cluster
        .machine_mut(machine)
        .unwrap()
        .decisions
        .cordoned = true;
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 1500, 4000);
    let mut other = FakeWorker::new("m2", "north", 4000);
    other.run_ms = 60_000;
    run_heartbeats(
        &mut controller,
        &mut store,
        &mut [&mut worker, &mut other],
        4000,
        6000,
    );
    assert!(other.has_task("job-1/0") && !worker.has_task("job-1/0"));
    // The direct start is delivered a second time, long after it was executed.
    assert_eq!(
        worker.receive_commands(&direct_commands(&direct_start), 6000),
        200
    );
    assert_eq!(worker.started.len(), 1);
    // With a higher fencing token the worker refuses the repeated start, so the exit need not be
    // kept any more.
    worker.fencing_token.0 += 1;
    assert_eq!(
        worker.receive_commands(&direct_commands(&direct_start), 6100),
        409
    );
}

#[test]
fn a_response_to_direct_commands_does_not_prove_a_task_absent() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    controller.submit(&mut store, job("job-1", 1), 100);
    // The start is in the response to this heartbeat, which is still in flight.
    let heartbeat = worker.heartbeat(500);
    let response = controller
        .receive_heartbeat(&mut store, &heartbeat, 500)
        .unwrap();
    assert_eq!(count_starts(&response.commands), 1);
    controller.cancel(&mut store, "job-1", 600);
    // A newer message without the task, sent before the response arrived.
    let newer = worker.heartbeat(700);
    let machine = controller.machine("m1");
    heartbeats::apply(
        &mut controller.cluster,
        machine,
        &newer,
        MonotonicMillis(700),
        heartbeats::StatusSource::CommandResponse,
    );
    controller.run_planner(&mut store, 700);
    assert_eq!(controller.job("job-1").placements.len(), 1);
    assert!(worker.receive_response(&response, heartbeat.agent_epoch, 500, 800));
    assert!(worker.has_task("job-1/0"));
    // The next heartbeat shows the task, and it is stopped.
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 1000, 2500);
    assert!(!worker.has_task("job-1/0"));
    assert!(controller.job("job-1").is_settled());
}

// Direct starts under older fencing tokens are kept until their machine, which is silent, is
// deleted. When they were counted like starts that may still run, the shard's fencing token was
// raised every few seconds.
#[test]
fn only_direct_starts_that_may_still_run_raise_the_fencing_token() {
    use pointhook::state::machine::InFlightStart;
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    controller.submit(&mut store, job("job-1", 1), 10);
    let (job_index, machine_index) = (controller.job_index("job-1"), controller.machine("m1"));
    let shard = controller.cluster.machine(machine_index).unwrap().shard;
    let token = controller.cluster.shards[shard.at()].record.fencing_token;
    let keep_starts_under = |controller: &mut SimulatedController, token: u64| {
        let start = InFlightStart {
            fencing_token: FencingToken(token),
            agent_epoch: AgentEpoch(1),
            sent_at: MonotonicMillis(10),
            acknowledged: true,
        };
        let machine = controller.cluster.machine_mut(machine_index).unwrap();
        machine.starts.in_flight = (0..250)
            .map(|i| (TaskAttempt::new(job_index, 0, i), start))
            .collect();
    };
    let raises_token = |controller: &SimulatedController| {
        let view = pointhook::coordination::membership::MembershipView {
            owned_since: controller.owned_since_start(),
            ..Default::default()
        };
        let moves = controller.assignment(&view, true, 20_000).moves();
        moves.iter().any(|m| m.shard == shard)
    };
    keep_starts_under(&mut controller, token.0);
    assert!(
        raises_token(&controller),
        "too many exits are kept with the worker"
    );
    keep_starts_under(&mut controller, token.0 - 1);
    assert!(!raises_token(&controller), "none of them can run any more");
}
