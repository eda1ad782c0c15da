//! Tests of shard ownership: moves between controllers, restarts and fencing tokens.

mod support;

use pointhook::coordination::kv::{transaction, CommitOutcome};
use pointhook::coordination::worker_connectivity::announce_ownership;
use pointhook::coordination::{autoscaler, membership};
use pointhook::protocol::workers::{Command, FencingToken};
use pointhook::state::names::{Index, ShardIndex, ZoneIndex};
use pointhook::state::units::{Incarnation, MonotonicMillis};
use std::collections::{HashMap, HashSet};
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller, SimulatedController};
use support::worker::FakeWorker;

#[test]
fn a_transaction_of_a_former_owner_fails_after_failover() {
    let (mut store, mut old) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    old.exchange_heartbeat(&mut store, &mut worker, 0);
    old.submit(&mut store, job("job-1", 1), 10);
    let draft = old.draft_plan(20);
    assert_eq!(draft.claims.len(), 1);
    let late = transaction(&old.cluster, &draft);
    // The old owner's lease expires, another controller takes the shards, and then the transaction
    // arrives.
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
    let (mut store, mut controller) = start_single_controller();
    let target = SimulatedController::start("s1", 5, &mut store, 0);
    controller.sync(&store);
    let planned = membership::ShardMove {
        shard: ShardIndex(1),
        to: "s1".into(),
    };
    let (transaction, _) = membership::move_transaction(&controller.cluster, &planned).unwrap();
    store.revoke_lease(target.lease);
    SimulatedController::start("s1", 6, &mut store, 10);
    assert!(matches!(
        SimulatedController::commit(&mut store, &transaction, 20),
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
    let view = membership::MembershipView {
        first_seen: HashMap::from([(("s1".to_string(), Incarnation(2)), at(0))]),
        owned_since: north.owned_since_start(),
        ..Default::default()
    };
    let moves = |now| north.assignment(&view, false, now).moves();
    assert!(moves(1000).is_empty());
    let planned = moves(3000);
    assert_eq!(planned.len(), 1);
    assert_eq!(
        (planned[0].shard, planned[0].to.as_str()),
        (ShardIndex(1), "s1")
    );
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
    let limit_ms = |controller: &SimulatedController| {
        let machine = controller
            .cluster
            .machine(controller.machine("m1"))
            .unwrap();
        limits.limit_ms(&controller.cluster, &controller.config, machine)
    };
    assert_eq!(limit_ms(&old), 10_000);
    // The new owner has learned of the machine from status updates; the worker still sends its
    // heartbeats to the old owner.
    store.revoke_lease(old.lease);
    let mut new = SimulatedController::start("s1", 2, &mut store, 5000);
    let known = new
        .cluster
        .learn_machine("m1", "oven", "north", true, MonotonicMillis(5000))
        .unwrap();
    new.cluster.machine_mut(known).unwrap().heartbeat.last_seen = Some(MonotonicMillis(5000));
    new.apply_membership_moves(&mut store, 5000);
    assert_eq!(limit_ms(&new), 15_000);
    new.exchange_heartbeat(&mut store, &mut worker, 6000);
    assert_eq!(limit_ms(&new), 10_000);
}

#[test]
fn a_controller_restarted_during_a_handover_inherits_nothing_and_every_shard_has_an_owner() {
    let (mut store, mut old) = start_single_controller();
    let target = SimulatedController::start("s1", 2, &mut store, 0);
    old.sync(&store);
    // The transaction that moves a shard to s1 is in flight when s1 is killed and restarted.
    let planned = membership::ShardMove {
        shard: ShardIndex(1),
        to: "s1".into(),
    };
    let (transaction, _) = membership::move_transaction(&old.cluster, &planned).unwrap();
    SimulatedController::commit(&mut store, &transaction, 100);
    let mut restarted = SimulatedController::start("s1", 3, &mut store, 200);
    assert!(!restarted.owns(1));
    restarted.apply_membership_moves(&mut store, 300);
    assert!(
        restarted.owns(1) && restarted.cluster.shards[1].record.fencing_token >= FencingToken(3)
    );
    old.sync(&store);
    assert!(!old.owns(1));
    // The lease of the earlier process expires later, which must not delete the new key.
    store.revoke_lease(target.lease);
    restarted.sync(&store);
    assert!(restarted.cluster.live_owner(ShardIndex(1)).is_some());
}

#[test]
fn unreachable_machines_do_not_delay_the_announcement_of_the_fencing_token_to_others() {
    let (_, mut controller) = start_single_controller();
    for number in 0..300 {
        let name = format!("m{number:03}");
        let machine = controller
            .cluster
            .learn_machine(&name, "oven", "north", true, MonotonicMillis(0))
            .unwrap();
        controller.cluster.machine_mut(machine).unwrap().addr = "127.0.0.1:1".into();
    }
    // No machine responds, and sixty connections can be open at the same time.
    let mut last_announcements = HashMap::new();
    let mut announced_to = HashSet::new();
    for now in [10_000u64, 11_500, 13_000, 14_500, 16_000] {
        let due = announce_ownership::machines_with_stale_token(
            &controller.cluster,
            &controller.config,
            &mut last_announcements,
            MonotonicMillis(now),
            |_| true,
        );
        for stale in due.into_iter().take(60) {
            let machine = stale.machine;
            last_announcements.insert(machine, MonotonicMillis(now));
            announced_to.insert(machine);
        }
    }
    assert_eq!(announced_to.len(), 300);
    // A machine that has shown the fencing token is skipped. A machine that failed to respond is
    // tried again later.
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
        &mut last_announcements,
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
    let late = transaction(&old.cluster, &draft);
    // The old owner is paused beyond its lease; another controller takes its shards and starts the
    // second task elsewhere.
    store.revoke_lease(old.lease);
    let mut new = SimulatedController::start("s1", 2, &mut store, 20_000);
    new.apply_membership_moves(&mut store, 20_000);
    let mut other = FakeWorker::new("m2", "north", 20_000);
    new.exchange_heartbeat(&mut store, &mut other, 20_000);
    // The old owner resumes where it was paused: with the commit, with a response to a heartbeat,
    // and with a proof that a silent machine's lease has expired.
    assert!(!matches!(
        SimulatedController::commit(&mut store, &late, 40_000),
        CommitOutcome::Committed(_)
    ));
    let heartbeat = worker.heartbeat(40_000);
    let response = old
        .receive_heartbeat_without_kv(&heartbeat, 40_000)
        .unwrap();
    assert!(!response
        .commands
        .iter()
        .any(|command| matches!(command, Command::Start { .. })));
    let proof = old.draft_plan(60_000);
    assert!(!proof.is_empty());
    let by_time = transaction(&old.cluster, &proof);
    assert!(!matches!(
        SimulatedController::commit(&mut store, &by_time, 60_000),
        CommitOutcome::Committed(_)
    ));
    assert_eq!(other.started.len(), 1);
    assert_eq!(worker.started.len(), 1);
}

#[test]
fn a_controller_unreachable_from_workers_hands_over_its_shards_and_regains_them() {
    let (mut store, mut controller) = start_single_controller();
    SimulatedController::start("s1", 2, &mut store, 0);
    controller.sync(&store);
    let first_seen = HashMap::from(
        [("n1", 1), ("s1", 2)].map(|(n, i)| ((n.to_string(), Incarnation(i)), MonotonicMillis(0))),
    );
    let moves = |controller: &SimulatedController, unreachable: &[&str]| {
        let view = membership::MembershipView {
            first_seen: first_seen.clone(),
            unreachable_from_workers: unreachable.iter().map(|n| n.to_string()).collect(),
            owned_since: controller.owned_since_start(),
            ..membership::MembershipView::default()
        };
        controller.assignment(&view, false, 10_000).moves()
    };
    // n1 owns all shards. The shard of the southern zone moves to s1 in any case.
    let new_owners = |moves: Vec<membership::ShardMove>| {
        let pairs = moves
            .into_iter()
            .map(|planned| (planned.shard.0, planned.to));
        pairs.collect::<Vec<_>>()
    };
    let s1 = |shard: u32| (shard, "s1".to_string());
    assert_eq!(new_owners(moves(&controller, &[])), [s1(1)]);
    assert_eq!(new_owners(moves(&controller, &["n1"])), [s1(0), s1(1)]);
    // If no worker reaches any controller, moving shards is of no use.
    assert_eq!(new_owners(moves(&controller, &["n1", "s1"])), [s1(1)]);
    assert_eq!(new_owners(moves(&controller, &["s1"])), []);
}

#[test]
fn two_controllers_that_disagree_do_not_move_a_shard_back_and_forth() {
    let (mut store, mut controller) = start_single_controller();
    SimulatedController::start("s1", 2, &mut store, 0);
    controller.sync(&store);
    let first_seen = HashMap::from(
        [("n1", 1), ("s1", 2)].map(|(n, i)| ((n.to_string(), Incarnation(i)), MonotonicMillis(0))),
    );
    // n1 has just acquired the shard, and has not yet received the status update that shows that no
    // worker reaches s1.
    let south = ZoneIndex(1);
    assert_eq!(controller.cluster.shard_zone(ShardIndex(1)), Some(south));
    let moves = |controller: &SimulatedController, now: u64| {
        let view = membership::MembershipView {
            first_seen: first_seen.clone(),
            owned_since: HashMap::from([(ShardIndex(1), MonotonicMillis(10_000))]),
            ..Default::default()
        };
        controller.assignment(&view, false, now).moves()
    };
    assert!(moves(&controller, 10_300).is_empty());
    assert!(moves(&controller, 12_000).is_empty());
    assert_eq!(moves(&controller, 12_500).len(), 1);
}
