//! Size of the scheduler's transactions: the key-value store accepts 64 KiB in total, however many
//! writes and however large values it allows.

mod support;

use pointhook::protocol::kv::Limits;
use pointhook::protocol::users::{JobKind, JobSpec};
use support::job;
use support::kv_store::FakeKvStore;
use support::simulated_controller::{start_single_controller, SimulatedController};
use support::worker::FakeWorker;

/// Limits of the largest values among the site files: 16 KiB, of which 16 exceed a transaction.
const TXN_OPS: usize = 16;
const VALUE_BYTES: usize = 16 * 1024;
/// Tasks whose placements take more than 64 KiB.
const TASKS: u32 = 3000;
/// Machines for these tasks, 16 on each.
const MACHINES: usize = 188;
const RUN_MS: u64 = 5000;

/// A controller that owns all shards, and enough machines that have sent a heartbeat.
fn controller_with_machines() -> (FakeKvStore, SimulatedController, Vec<FakeWorker>) {
    let (mut store, mut controller) = start_single_controller();
    store.max_txn_ops = TXN_OPS;
    store.max_value_bytes = VALUE_BYTES;
    controller.config.limits_now = Limits {
        txn_ops: TXN_OPS,
        value_bytes: VALUE_BYTES * 9 / 10,
        write_rps: f64::MAX,
    };
    controller.cluster.record_format_v2 = true;
    let mut workers: Vec<FakeWorker> = (0..MACHINES)
        .map(|index| FakeWorker::new(&format!("n-{index:06}"), "north", 0))
        .collect();
    for worker in &mut workers {
        worker.run_ms = RUN_MS;
        controller.exchange_heartbeat(&mut store, worker, 0);
    }
    (store, controller, workers)
}

fn wide_job(kind: JobKind) -> JobSpec {
    JobSpec {
        kind,
        vcpus: 1.0,
        gpus: 0.0,
        mem_gb: 1.0,
        ..job("job-1", TASKS)
    }
}

/// Guards against a pass whose overflow records exceed a transaction: the store refused it, and the
/// controller took that for a lower limit on the number of writes.
#[test]
fn no_pass_exceeds_the_size_of_a_transaction() {
    for kind in [JobKind::Array, JobKind::Gang] {
        let (mut store, mut controller, mut workers) = controller_with_machines();
        controller.submit(&mut store, wide_job(kind), 100);
        controller.run_planner(&mut store, 200);
        assert_eq!(store.refused_as_invalid, 0, "{kind:?}");
        assert_eq!(controller.job("job-1").placements.len(), TASKS as usize);
        // All tasks end in the same pass.
        let ended_at = 3000 + RUN_MS;
        for worker in &mut workers {
            controller.exchange_heartbeat(&mut store, worker, 1000);
        }
        for worker in &mut workers {
            worker.advance(ended_at);
            let heartbeat = worker.heartbeat(ended_at);
            controller.receive_heartbeat_without_kv(&heartbeat, ended_at);
        }
        controller.run_planner(&mut store, ended_at);
        assert_eq!(store.refused_as_invalid, 0, "{kind:?}");
        assert!(controller.job("job-1").is_settled());
    }
}
