//! Quotas: teams stay within their limits, and unused quota shares are released.

mod support;

use pointhook::coordination::heartbeats;
use pointhook::coordination::kv::{apply_outcome, transaction, CommitOutcome};
use pointhook::coordination::scheduler::draft::DraftTransaction;
use pointhook::coordination::scheduler::quota;
use pointhook::protocol::workers::FencingToken;
use pointhook::state::names::{ShardIndex, TeamIndex};
use pointhook::state::units::{MonotonicMillis, QuotaUsage};
use support::job;
use support::kv_store::FakeKvStore;
use support::simulated_controller::{start_single_controller, SimulatedController};
use support::worker::FakeWorker;

/// The source of a heartbeat that was sent to an owner with this fencing token.
fn heartbeat_source(owner_token: FencingToken) -> heartbeats::StatusSource {
    heartbeats::StatusSource::Heartbeat {
        owner_token,
        lease_ms: 10_000,
    }
}

fn quota_usage(cpu_milli: i64, gpu_milli: i64) -> QuotaUsage {
    QuotaUsage {
        cpu_milli,
        gpu_milli,
    }
}

fn move_southern_shard(store: &mut FakeKvStore, north: &SimulatedController) {
    let change = pointhook::coordination::membership::ShardMove {
        shard: ShardIndex(1),
        to: "s1".into(),
    };
    let (transaction, _) =
        pointhook::coordination::membership::move_transaction(&north.cluster, &change).unwrap();
    assert!(matches!(
        SimulatedController::commit(store, &transaction, 0),
        CommitOutcome::Committed(_)
    ));
}

/// Applies the worker's first heartbeat to its owner, which has this fencing token.
fn apply_first_heartbeat(
    controller: &mut SimulatedController,
    worker: &mut FakeWorker,
    zone: &str,
    token: FencingToken,
) {
    worker.fencing_token = token;
    let heartbeat = worker.heartbeat(10);
    let machine = controller
        .cluster
        .learn_machine(&worker.name, "oven", zone, true, MonotonicMillis(10))
        .unwrap();
    heartbeats::apply(
        &mut controller.cluster,
        machine,
        &heartbeat,
        MonotonicMillis(10),
        heartbeat_source(token),
    );
}

#[test]
fn a_team_stays_within_its_quota_with_two_claiming_controllers() {
    let (mut store, mut north) = start_single_controller();
    let mut south = SimulatedController::start("s1", 2, &mut store, 0);
    north.sync(&store);
    move_southern_shard(&mut store, &north);
    north.sync(&store);
    south.sync(&store);
    let mut spec = job("job-1", 8);
    spec.team = "mixers".into();
    north.submit(&mut store, spec, 0);
    south.sync(&store);
    let (mut worker1, mut worker2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "south", 0),
    );
    let tokens = (0..2).map(|s| north.cluster.shards[s].record.fencing_token);
    let tokens: Vec<FencingToken> = tokens.collect();
    apply_first_heartbeat(&mut north, &mut worker1, "north", tokens[0]);
    apply_first_heartbeat(&mut south, &mut worker2, "south", tokens[1]);
    // Both decide on the same view; only one of the raised quota shares can be committed.
    let (north_draft, south_draft) = (north.draft_plan(10), south.draft_plan(10));
    assert!(north_draft.claims.len() == 2 && south_draft.claims.len() == 2);
    let (north_transaction, south_transaction) = (
        transaction(&north.cluster, &north_draft),
        transaction(&south.cluster, &south_draft),
    );
    assert!(matches!(
        SimulatedController::commit(&mut store, &north_transaction, 11),
        CommitOutcome::Committed(_)
    ));
    assert!(matches!(
        SimulatedController::commit(&mut store, &south_transaction, 11),
        CommitOutcome::Conflict(_)
    ));
    south.sync(&store);
    assert_eq!(south.draft_plan(12).claims.len(), 0);
}

#[test]
fn an_unused_quota_share_is_released_and_a_used_one_is_not() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    let mut spec = job("job-1", 3);
    spec.team = "mixers".into();
    controller.submit(&mut store, spec, 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    let team = TeamIndex(1);
    assert_eq!(
        controller.cluster.team_quotas[1]
            .record
            .share(ShardIndex(0)),
        quota_usage(8000, 2000)
    );
    let mut draft = DraftTransaction::default();
    quota::lower_unused_quota(&controller.pass(0), &mut draft);
    assert!(draft.team_quotas.is_empty());
    // The unused part of the shard's quota share is released, since a task waits.
    let mut record = controller.cluster.team_quotas[1].record.clone();
    record.set(ShardIndex(0), quota_usage(8000, 2500));
    controller.cluster.team_quotas[1].record = record;
    quota::lower_unused_quota(&controller.pass(0), &mut draft);
    assert_eq!(
        draft.team_quotas[&team].share(ShardIndex(0)),
        quota_usage(8000, 2000)
    );
}

#[test]
fn a_claim_with_unknown_outcome_blocks_its_team_until_it_can_no_longer_commit() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    let mut spec = job("job-1", 2);
    spec.team = "mixers".into();
    controller.submit(&mut store, spec.clone(), 0);
    let first = controller.draft_plan(10);
    assert_eq!(first.claims.len(), 2);
    let delayed = transaction(&controller.cluster, &first);
    apply_outcome(&mut controller.cluster, &first, &CommitOutcome::Unknown);
    spec.id = "job-2".into();
    controller.submit(&mut store, spec, 20);
    let draft = controller.draft_plan(30);
    assert_eq!(draft.claims.len(), 0);
    // The next pass rewrites the record with unknown outcome, so that the delayed transaction can't
    // be committed any more.
    assert!(draft.jobs.contains_key(&controller.job_index("job-1")));
    controller.run_planner(&mut store, 30);
    assert!(matches!(
        SimulatedController::commit(&mut store, &delayed, 40),
        CommitOutcome::Conflict(_)
    ));
    let placed: usize = ["job-1", "job-2"]
        .iter()
        .map(|j| controller.job(j).placements.len())
        .sum();
    assert_eq!(placed, 2);
}
