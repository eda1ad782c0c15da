//! Preemption by jobs of a higher priority and by preemption notices of the cloud.

mod support;

use pointhook::coordination::scheduler::pass::PassContext;
use pointhook::coordination::scheduler::preemption;
use pointhook::protocol::users::Priority;
use pointhook::protocol::workers::Command;
use pointhook::state::names::ShardIndex;
use std::collections::HashSet;
use support::builders::count_starts;
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller};
use support::worker::FakeWorker;

#[test]
fn production_work_without_free_capacity_preempts_the_cheapest_lower_priority_work() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 100_000;
    let mut with_checkpoints = job("job-1", 1);
    with_checkpoints.checkpoint_s = 5.0;
    with_checkpoints.checkpoint_grace_s = 2.0;
    with_checkpoints.vcpus = 8.0;
    let mut without_checkpoints = job("job-2", 1);
    without_checkpoints.vcpus = 8.0;
    controller.submit(&mut store, with_checkpoints, 0);
    controller.submit(&mut store, without_checkpoints, 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 3000);
    let mut production = job("job-3", 1);
    production.priority = Priority::Production;
    production.vcpus = 8.0;
    controller.submit(&mut store, production, 3000);
    assert!(preemption::select_victims(&controller.pass(5000), ShardIndex(1)).is_empty());
    let victims = preemption::select_victims(&controller.pass(5000), ShardIndex(0));
    assert_eq!(victims.len(), 1);
    assert_eq!(victims[0].attempt.job, controller.job_index("job-1"));
    assert!(victims[0].grace_s >= 2.0);
    // Two waiting tasks preempt two attempts, neither of them twice.
    let mut second = job("job-5", 1);
    second.priority = Priority::Production;
    second.vcpus = 8.0;
    controller.submit(&mut store, second, 3000);
    let victims = preemption::select_victims(&controller.pass(5000), ShardIndex(0));
    let stopped: HashSet<_> = victims.iter().map(|s| s.attempt).collect();
    assert_eq!((victims.len(), stopped.len()), (2, 2));
    controller.cancel(&mut store, "job-5", 5000);
    // A job of the same priority preempts nothing.
    let mut same_priority = job("job-4", 1);
    same_priority.vcpus = 8.0;
    controller.cancel(&mut store, "job-3", 5000);
    controller.submit(&mut store, same_priority, 5000);
    assert!(preemption::select_victims(
        &PassContext {
            wall_ms: 9000,
            ..controller.pass(6000)
        },
        ShardIndex(0)
    )
    .is_empty());
}

#[test]
fn a_machine_with_a_preemption_notice_gets_no_work_and_checkpoints_its_tasks() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 100_000;
    let mut spec = job("job-1", 1);
    spec.checkpoint_s = 5.0;
    spec.checkpoint_grace_s = 2.0;
    controller.submit(&mut store, spec, 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 3000);
    controller.submit(&mut store, job("job-2", 1), 3000);
    let mut heartbeat = worker.heartbeat(3000);
    heartbeat.preemption_notice_s = Some(12.0);
    let response = controller
        .receive_heartbeat(&mut store, &heartbeat, 3000)
        .unwrap();
    assert_eq!(count_starts(&response.commands), 0);
    assert!(matches!(response.commands[0], Command::Stop { grace_s, .. } if grace_s >= 2.0));
}
