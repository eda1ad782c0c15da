//! The end of attempts on machines that fall silent or restart.

mod support;

use pointhook::coordination::reconciliation::{PlacementEnd, ProofEvent};
use pointhook::coordination::scheduler::attempt_end_log;
use pointhook::coordination::scheduler::direct_starts::DirectStart;
use support::job;
use support::kv_store::FakeKvStore;
use support::simulated_controller::{start_single_controller, SimulatedController};
use support::worker::FakeWorker;

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
