//! Shard ownership: moves, restarts, fencing tokens and handovers between controllers.

mod support;

use pointhook::coordination::kv::{transaction, CommitOutcome};
use pointhook::coordination::worker_connectivity::announce_ownership;
use pointhook::coordination::{autoscaler, membership};
use pointhook::protocol::workers::{Command, FencingToken};
use pointhook::state::names::{Index, ShardIndex, ZoneIndex};
use pointhook::state::units::{Incarnation, MonotonicMillis};
use std::collections::HashMap;
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller, SimulatedController};
use support::worker::FakeWorker;

#[test]
fn a_transaction_of_a_deposed_owner_fails_after_failover() {
    let (mut store, mut old) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    old.exchange_heartbeat(&mut store, &mut worker, 0);
    old.submit(&mut store, job("job-1", 1), 10);
    let draft = old.draft_plan(20);
    assert_eq!(draft.claims.len(), 1);
    let late = transaction(&old.cluster, &draft);
    // Its lease expires; another controller takes the shards; then the transaction arrives.
    store.revoke_lease(old.lease);
    let mut new = SimulatedController::start("s1", 2, &mut store, 30);
    assert_eq!(new.apply_membership_moves(&mut store, 30), 3);
    assert!(matches!(
        SimulatedController::commit(&mut store, &late, 40),
        CommitOutcome::Conflict(_)
    ));
}

#[test]
fn a_controller_restarted_within_its_lease_inherits_no_shard() {
    let (mut store, mut old) = start_single_controller();
    let mut new = SimulatedController::start("n1", 2, &mut store, 100);
    assert!(!new.owns(0));
    assert_eq!(new.apply_membership_moves(&mut store, 100), 3);
    assert!(new.owns(0));
    assert_eq!(new.cluster.shards[0].record.fencing_token, FencingToken(2));
    old.sync(&store);
    assert!(!old.owns(0));
}

#[test]
fn a_shard_move_fails_if_its_target_has_restarted() {
    let (mut store, controller) = start_single_controller();
    let target = SimulatedController::start("s1", 5, &mut store, 0);
    let mut controller = controller;
    controller.sync(&store);
    let m = pointhook::coordination::membership::Move {
        shard: ShardIndex(1),
        to: "s1".into(),
    };
    let (txn, _) =
        pointhook::coordination::membership::move_transaction(&controller.cluster, &m).unwrap();
    store.revoke_lease(target.lease);
    SimulatedController::start("s1", 6, &mut store, 10);
    assert!(matches!(
        SimulatedController::commit(&mut store, &txn, 20),
        CommitOutcome::Conflict(_)
    ));
}

#[test]
fn a_controller_that_sees_a_higher_fencing_token_steps_down() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.fencing_token = FencingToken(9);
    assert!(!controller.exchange_heartbeat(&mut store, &mut worker, 0));
    assert_eq!(worker.started.len(), 0);
}

#[test]
fn a_controller_returns_shards_to_their_zone() {
    let (mut store, mut north) = start_single_controller();
    SimulatedController::start("s1", 2, &mut store, 0);
    north.sync(&store);
    let at = |ms| MonotonicMillis(ms);
    let known = pointhook::coordination::membership::MembershipView {
        first_seen: std::collections::HashMap::from([(("s1".to_string(), Incarnation(2)), at(0))]),
        owned_since: north.owned_since_start(),
        ..Default::default()
    };
    let moves = |now| north.assignment(&known, false, now).moves();
    assert!(moves(1000).is_empty());
    let m = moves(3000);
    assert_eq!(m.len(), 1);
    assert_eq!((m[0].shard, m[0].to.as_str()), (ShardIndex(1), "s1"));
    assert_eq!(
        north.cluster.shard_zone(ShardIndex::new(1)),
        Some(ZoneIndex(1))
    );
}

#[test]
fn a_new_owner_gives_machines_time_to_learn_its_fencing_token() {
    let (mut store, mut old) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    old.exchange_heartbeat(&mut store, &mut worker, 0);
    let limits = autoscaler::SilenceLimits {
        confirmed_ms: 10_000,
        lease_ms: 10_000,
    };
    let at = |controller: &SimulatedController| {
        let m = controller
            .cluster
            .machine(controller.machine("m1"))
            .unwrap();
        limits.limit_ms(&controller.cluster, &controller.config, m)
    };
    assert_eq!(at(&old), 10_000);
    // The new owner knows it from status updates; the worker still talks to the old one.
    store.revoke_lease(old.lease);
    let mut new = SimulatedController::start("s1", 2, &mut store, 5000);
    let known = new
        .cluster
        .learn_machine("m1", "oven", "north", true, MonotonicMillis(5000))
        .unwrap();
    new.cluster.machine_mut(known).unwrap().heartbeat.last_seen = Some(MonotonicMillis(5000));
    new.apply_membership_moves(&mut store, 5000);
    assert_eq!(at(&new), 15_000);
    new.exchange_heartbeat(&mut store, &mut worker, 6000);
    assert_eq!(at(&new), 10_000);
}

#[test]
fn a_controller_restarted_during_a_handover_inherits_nothing_and_every_shard_has_an_owner() {
    let (mut store, old) = start_single_controller();
    let target = SimulatedController::start("s1", 2, &mut store, 0);
    let mut old = old;
    old.sync(&store);
    // The handover of a shard to s1 is in flight when s1 is killed and restarted at once.
    let m = pointhook::coordination::membership::Move {
        shard: ShardIndex(1),
        to: "s1".into(),
    };
    let (txn, _) = pointhook::coordination::membership::move_transaction(&old.cluster, &m).unwrap();
    SimulatedController::commit(&mut store, &txn, 100);
    let mut back = SimulatedController::start("s1", 3, &mut store, 200);
    assert!(!back.owns(1));
    back.apply_membership_moves(&mut store, 300);
    assert!(back.owns(1) && back.cluster.shards[1].record.fencing_token >= FencingToken(3));
    old.sync(&store);
    assert!(!old.owns(1));
    // The old incarnation's key expires later, which must not delete the new one's key.
    store.revoke_lease(target.lease);
    back.sync(&store);
    assert!(back.cluster.live_owner(ShardIndex(1)).is_some());
}

#[test]
fn unreachable_machines_do_not_keep_the_fencing_token_from_others() {
    let (_, mut controller) = start_single_controller();
    for i in 0..300 {
        let name = format!("m{i:03}");
        let machine = controller
            .cluster
            .learn_machine(&name, "oven", "north", true, MonotonicMillis(0))
            .unwrap();
        controller.cluster.machine_mut(machine).unwrap().addr = "127.0.0.1:1".into();
    }
    // Nobody answers, and sixty connections are open at a time.
    let mut tried = HashMap::new();
    let mut reached = std::collections::HashSet::new();
    for now in [10_000u64, 11_500, 13_000, 14_500, 16_000] {
        let due = announce_ownership::machines_with_stale_token(
            &controller.cluster,
            &controller.config,
            &mut tried,
            MonotonicMillis(now),
            |_| true,
        );
        for stale in due.into_iter().take(60) {
            let machine = stale.machine;
            tried.insert(machine, MonotonicMillis(now));
            reached.insert(machine);
        }
    }
    assert_eq!(reached.len(), 300);
    // A machine that has shown the fencing token is skipped; one that failed is tried again only later.
    let machine = controller.machine("m299");
    controller
        .cluster
        .machine_mut(machine)
        .unwrap()
        .heartbeat
        .fencing_token = controller.cluster.shards[0]
        .record
        .fencing_token
        .max(controller.cluster.shards[1].record.fencing_token);
    let due = announce_ownership::machines_with_stale_token(
        &controller.cluster,
        &controller.config,
        &mut tried,
        MonotonicMillis(16_500),
        |_| true,
    );
    assert!(due.iter().all(|stale| stale.machine != machine));
    assert!(due.len() <= 240);
}

#[test]
fn a_draft_from_before_a_pause_is_refused_after_failover() {
    let (mut store, mut old) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 600_000;
    old.submit(&mut store, job("job-0", 1), 0);
    run_heartbeats(&mut old, &mut store, &mut [&mut worker], 0, 1500);
    assert!(worker.has_task("job-0/0"));
    old.submit(&mut store, job("job-1", 1), 1500);
    let draft = old.draft_plan(1600);
    assert_eq!(draft.claims.len(), 1);
    let late = pointhook::coordination::kv::transaction(&old.cluster, &draft);
    // It is paused past its lease; another takes its shards and moves the task.
    store.revoke_lease(old.lease);
    let mut new = SimulatedController::start("s1", 2, &mut store, 20_000);
    new.apply_membership_moves(&mut store, 20_000);
    let mut other = FakeWorker::new("m2", "north", 20_000);
    new.exchange_heartbeat(&mut store, &mut other, 20_000);
    // It resumes where it was paused: the commit, a pending response, a proof by time.
    assert!(!matches!(
        SimulatedController::commit(&mut store, &late, 40_000),
        pointhook::coordination::kv::CommitOutcome::Committed(_)
    ));
    let heartbeat = worker.heartbeat(40_000);
    let held = old
        .receive_heartbeat_without_kv(&heartbeat, 40_000)
        .unwrap();
    assert!(!held
        .commands
        .iter()
        .any(|o| matches!(o, Command::Start { .. })));
    let proof = old.draft_plan(60_000);
    assert!(!proof.is_empty());
    let by_time = pointhook::coordination::kv::transaction(&old.cluster, &proof);
    assert!(!matches!(
        SimulatedController::commit(&mut store, &by_time, 60_000),
        pointhook::coordination::kv::CommitOutcome::Committed(_)
    ));
    assert_eq!(other.started.len(), 1);
    assert_eq!(worker.started.len(), 1);
}

#[test]
fn a_controller_unreachable_from_workers_hands_over_its_shards_and_regains_them() {
    let (mut store, mut controller) = start_single_controller();
    SimulatedController::start("s1", 2, &mut store, 0);
    controller.sync(&store);
    let seen = HashMap::from(
        [("n1", 1), ("s1", 2)].map(|(n, i)| ((n.to_string(), Incarnation(i)), MonotonicMillis(0))),
    );
    let moves = |controller: &SimulatedController, unreachable: &[&str]| {
        let known = membership::MembershipView {
            first_seen: seen.clone(),
            unreachable_from_workers: unreachable.iter().map(|n| n.to_string()).collect(),
            owned_since: controller.owned_since_start(),
            ..membership::MembershipView::default()
        };
        controller.assignment(&known, false, 10_000).moves()
    };
    // It owns all shards; that of the other zone moves there in any case.
    let to =
        |m: Vec<membership::Move>| m.into_iter().map(|m| (m.shard.0, m.to)).collect::<Vec<_>>();
    let s1 = |shard: u32| (shard, "s1".to_string());
    assert_eq!(to(moves(&controller, &[])), [s1(1)]);
    assert_eq!(to(moves(&controller, &["n1"])), [s1(0), s1(1)]);
    // Where no controller is reached by any worker, handing shards over helps nobody.
    assert_eq!(to(moves(&controller, &["n1", "s1"])), [s1(1)]);
    assert_eq!(to(moves(&controller, &["s1"])), []);
}

#[test]
fn two_controllers_that_disagree_do_not_move_a_shard_back_and_forth() {
    let (mut store, mut controller) = start_single_controller();
    SimulatedController::start("s1", 2, &mut store, 0);
    controller.sync(&store);
    let seen = HashMap::from(
        [("n1", 1), ("s1", 2)].map(|(n, i)| ((n.to_string(), Incarnation(i)), MonotonicMillis(0))),
    );
    // This controller has just got the shard, and does not know yet that the other is unreachable.
    let south = ZoneIndex(1);
    assert_eq!(controller.cluster.shard_zone(ShardIndex(1)), Some(south));
    let moves = |controller: &SimulatedController, now: u64| {
        let known = membership::MembershipView {
            first_seen: seen.clone(),
            owned_since: HashMap::from([(ShardIndex(1), MonotonicMillis(10_000))]),
            ..Default::default()
        };
        controller.assignment(&known, false, now).moves()
    };
    assert!(moves(&controller, 10_300).is_empty());
    assert!(moves(&controller, 12_000).is_empty());
    assert_eq!(moves(&controller, 12_500).len(), 1);
}
