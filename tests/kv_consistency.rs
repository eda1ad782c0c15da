//! Reads, watches and writes of the key-value store: stale records don't replace newer ones, and no
//! write is applied twice.

mod support;

use futures_lite::future::{block_on, poll_once};
use pointhook::coordination::controller::notifier::Notifier;
use pointhook::coordination::kv::{watch_is_stale, CommitOutcome};
use pointhook::coordination::scheduler::commands;
use pointhook::protocol::workers::Command;
use pointhook::state::cluster_state::KEY_PREFIX;
use pointhook::state::job::JobState;
use pointhook::state::units::MonotonicMillis;
use std::collections::HashSet;
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller, SimulatedController};
use support::worker::FakeWorker;

#[test]
fn an_old_watch_does_not_revive_a_deleted_controller() {
    let (mut store, mut controller) = start_single_controller();
    let other = SimulatedController::start("s1", 2, &mut store, 0);
    let old = store.watch(KEY_PREFIX, 0).body.unwrap();
    store.revoke_lease(other.lease);
    controller.sync(&store);
    assert!(!controller.cluster.controllers.contains_key("s1"));
    controller
        .cluster
        .apply_changes(0, old.revision, &old.events);
    assert!(!controller.cluster.controllers.contains_key("s1"));
}

#[test]
fn a_compacted_watch_is_replaced_by_a_full_read() {
    let (mut store, mut controller) = start_single_controller();
    store.max_logged_changes = 2;
    let mut other = SimulatedController::start("s1", 2, &mut store, 0);
    for number in 0..6 {
        other.submit(&mut store, job(&format!("job-{number}"), 1), 0);
    }
    assert_eq!(
        store.watch(KEY_PREFIX, controller.cluster.revision).status,
        410
    );
    assert!(controller.sync(&store));
    assert_eq!(controller.cluster.active.len(), 6);
}

#[test]
fn a_controller_far_behind_reads_pages_instead_of_all_missed_changes() {
    let (mut store, mut controller) = start_single_controller();
    let dead = SimulatedController::start("s1", 2, &mut store, 0);
    controller.sync(&store);
    assert!(controller.cluster.controllers.contains_key("s1"));
    // During a partition the controller misses hundreds of changes, among them the expiry of
    // another controller's key.
    store.revoke_lease(dead.lease);
    let mut other = SimulatedController::start("s2", 3, &mut store, 0);
    for number in 0..200 {
        other.submit(&mut store, job(&format!("job-{number}"), 1), 0);
    }
    assert!(!watch_is_stale(
        Some(MonotonicMillis(1000)),
        MonotonicMillis(15_000)
    ));
    assert!(watch_is_stale(
        Some(MonotonicMillis(1000)),
        MonotonicMillis(50_000)
    ));
    let (mut from, mut deletable_keys, mut revision) = (String::new(), HashSet::new(), None);
    loop {
        let page = store.read_page(KEY_PREFIX, &from, 50);
        assert!(page.entries.len() <= 50);
        revision.get_or_insert(page.revision);
        controller
            .cluster
            .apply_page(&page.entries, &mut deletable_keys);
        match page.entries.last() {
            Some(last) if page.more => from.clone_from(&last.key),
            _ => break,
        }
    }
    // The keys of job records are not collected, however many there are.
    assert!(deletable_keys.len() < 5);
    // A controller that started while the pages were read, as a watch has shown, is kept.
    let newer = SimulatedController::start("s3", 9, &mut store, 0);
    let key = format!("{KEY_PREFIX}node/s3");
    let page = store.read_page(&key, "", 1);
    controller
        .cluster
        .put(&key, page.entries[0].version, &page.entries[0].v);
    controller
        .cluster
        .finish_full_read(&deletable_keys, revision.unwrap());
    assert!((0..200).all(|number| {
        let id = format!("job-{number}");
        controller.cluster.job(&id).is_some()
    }));
    assert!(
        !controller.cluster.controllers.contains_key("s1")
            && controller.cluster.controllers.contains_key("n1")
    );
    assert!(
        newer.cluster.controllers.contains_key("s3")
            && controller.cluster.controllers.contains_key("s3")
    );
}

#[test]
fn writes_above_the_rate_limit_are_refused_and_change_nothing() {
    let (mut store, mut controller) = start_single_controller();
    store.max_writes_per_s = 1.0;
    let first = controller.submit(&mut store, job("job-1", 1), 1000);
    let second = controller.submit(&mut store, job("job-2", 1), 1000);
    assert!(matches!(first, CommitOutcome::Committed(_)));
    assert_eq!(second, CommitOutcome::Refused(429));
    assert!(controller.cluster.job("job-2").is_none());
    assert!(matches!(
        controller.submit(&mut store, job("job-2", 1), 2500),
        CommitOutcome::Committed(_)
    ));
}

#[test]
fn a_repeated_submission_is_refused_and_a_done_job_is_not_restarted() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.submit(&mut store, job("job-1", 1), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    let draft = controller.draft_plan(10);
    assert!(draft.is_empty());
    let accepted = controller.job("job-1").version;
    assert!(!matches!(
        controller.submit(&mut store, job("job-1", 1), 20),
        pointhook::coordination::kv::CommitOutcome::Committed(_)
    ));
    assert_eq!(controller.job("job-1").version, accepted);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 500, 12_000);
    assert_eq!(controller.job("job-1").state, JobState::Done);
    // After the job has ended there is no placement left, so no start is sent again.
    let machine = controller.machine("m1");
    assert!(commands::heartbeat_commands(
        &mut controller.cluster,
        &controller.config,
        controller.failovers.permits(),
        machine,
        MonotonicMillis(0)
    )
    .iter()
    .all(|command| !matches!(command, Command::Start { .. })));
    assert_eq!(worker.started.len(), 1);
}

#[test]
fn one_fresh_read_serves_all_waiting_requests() {
    let fresh_reads = Notifier::default();
    let mut waiting: Vec<_> = (0..50)
        .map(|_| Box::pin(fresh_reads.request_round(60_000)))
        .collect();
    for request in &mut waiting {
        assert!(block_on(poll_once(request)).is_none());
    }
    // One read takes all waiters, so that none is left for a second read.
    let waiters = fresh_reads.take_waiters();
    assert_eq!(waiters.len(), 50);
    assert!(fresh_reads.take_waiters().is_empty());
    for waiter in waiters {
        waiter.try_send(true).unwrap();
    }
    for request in &mut waiting {
        assert_eq!(block_on(poll_once(request)), Some(Some(true)));
    }
}
