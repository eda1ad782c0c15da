//! Machines that restart into a new agent epoch: what was proven of the ended epoch proves nothing
//! about attempts that were started in the new one.

mod support;

use pointhook::coordination::reconciliation::{PlacementEnd, ProofEvent};
use pointhook::coordination::scheduler::attempt_end_log;
use pointhook::coordination::scheduler::direct_starts::{DirectStart, DirectStartOutcome};
use pointhook::protocol::workers::AgentEpoch;
use support::job;
use support::kv_store::FakeKvStore;
use support::simulated_controller::{
    direct_commands, run_heartbeats, start_single_controller, SimulatedController,
};
use support::worker::FakeWorker;
use testkit::network::faults::Restart;

const LONG_RUN_MS: u64 = 60_000;

/// A machine `m1` that has confirmed the owner's token by its last heartbeat, at 500 ms.
fn start_with_one_machine() -> (FakeKvStore, SimulatedController, FakeWorker) {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = LONG_RUN_MS;
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 500);
    (store, controller, worker)
}

/// Submits a job with one task, which is claimed at once, and returns its direct start.
fn submit_and_start(
    controller: &mut SimulatedController,
    store: &mut FakeKvStore,
    id: &str,
    now: u64,
) -> DirectStart {
    controller.submit(store, job(id, 1), now);
    controller.run_planner(store, now);
    let mut starts = controller.direct_starts(now);
    assert_eq!(starts.len(), 1);
    starts.remove(0)
}

#[test]
fn a_task_started_in_an_epoch_learnt_from_a_refusal_does_not_run_on_two_machines() {
    let (mut store, mut controller, mut mute) = start_with_one_machine();
    mute.restart(Restart::NextEpoch, 4000);
    let refused = submit_and_start(&mut controller, &mut store, "job-1", 4100);
    let outcome = controller.deliver_direct_start(&refused, &mut mute, 4100);
    assert_eq!(outcome, DirectStartOutcome::Refused);
    let start = controller.direct_starts(4200).remove(0);
    assert_eq!(start.agent_epoch, AgentEpoch(2));
    let outcome = controller.deliver_direct_start(&start, &mut mute, 4200);
    assert_eq!(outcome, DirectStartOutcome::Executed);
    let mut other = FakeWorker::new("m2", "north", 4500);
    for now in (4500..20_000).step_by(500) {
        mute.advance(now);
        controller.exchange_heartbeat(&mut store, &mut other, now);
        let on_both = mute.has_task("job-1/0") && other.has_task("job-1/0");
        assert!(!on_both, "job-1/0 is on m1 and m2 at {now} ms");
    }
    assert_eq!(other.started.len(), 1, "the task never starts again");
}

#[test]
fn the_line_on_an_attempts_end_names_its_proof_and_the_event_it_counts_from() {
    let (mut store, mut controller, mut worker) = start_with_one_machine();
    let start = submit_and_start(&mut controller, &mut store, "job-1", 600);
    controller.deliver_direct_start(&start, &mut worker, 600);
    controller.exchange_heartbeat(&mut store, &mut worker, 1000);
    let draft = controller.draft_plan(14_000);
    let [end] = draft.ended[..] else {
        panic!("one attempt ends: {:?}", draft.ended);
    };
    assert_eq!(end.proof, PlacementEnd::LeaseExpired);
    assert_eq!(end.evidence.event, ProofEvent::HeartbeatAnswered);
    assert_eq!(
        attempt_end_log::describe(&controller.cluster, &end),
        "attempt ended, task may start elsewhere: job=job-1 task=0 attempt=1 machine=m1 \
         agent_epoch=1 fencing_token=1 proof=LeaseExpired event=HeartbeatAnswered \
         event_age_ms=13000"
    );
}

#[test]
fn a_refusal_from_an_ended_epoch_does_not_let_a_later_start_run_the_task_a_second_time() {
    let (mut store, mut controller, mut worker) = start_with_one_machine();
    let first = submit_and_start(&mut controller, &mut store, "job-1", 600);
    // The first start is held up. The response to another one shows the new epoch.
    worker.restart(Restart::NextEpoch, 700);
    let other_job = submit_and_start(&mut controller, &mut store, "job-2", 800);
    controller.deliver_direct_start(&other_job, &mut worker, 800);
    let second = controller.direct_starts(900).remove(0);
    assert_eq!(second.agent_epoch, AgentEpoch(2));
    // The second start is held up too, and the first is refused meanwhile.
    let outcome = controller.deliver_direct_start(&first, &mut worker, 1000);
    assert_eq!(outcome, DirectStartOutcome::Refused);
    // The response to a heartbeat starts the task; it is stopped and moves to another machine.
    controller.exchange_heartbeat(&mut store, &mut worker, 1100);
    controller.exchange_heartbeat(&mut store, &mut worker, 1500);
    assert!(worker.has_task("job-1/0"));
    let machine = controller.machine("m1");
    let machine = controller.cluster.machine_mut(machine).expect("known");
    machine.decisions.stopping.insert(first.attempts[0], 0.0);
    machine.decisions.cordoned = true;
    let mut other = FakeWorker::new("m2", "north", 1500);
    other.run_ms = LONG_RUN_MS;
    let mut workers = [&mut worker, &mut other];
    run_heartbeats(&mut controller, &mut store, &mut workers, 2000, 5000);
    assert!(other.has_task("job-1/0") && !worker.has_task("job-1/0"));
    worker.receive_commands(&direct_commands(&second), 5000);
    assert!(!worker.has_task("job-1/0"), "job-1/0 is on m1 and m2");
}
