//! Heartbeats: delayed and duplicate ones prove nothing, and only lease expiry frees the tasks of a
//! silent machine.

mod support;

use pointhook::coordination::{controller, heartbeats, peer_messages};
use pointhook::protocol::workers::AgentEpoch;
use pointhook::state::job::JobState;
use pointhook::state::units::MonotonicMillis;
use support::job;
use support::simulated_controller::{run_heartbeats, start_single_controller, SimulatedController};
use support::worker::FakeWorker;

#[test]
fn a_task_of_a_silent_machine_is_restarted_only_after_lease_expiry() {
    let (mut store, mut c) = start_single_controller();
    let (mut w1, mut w2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "north", 0),
    );
    w1.run_ms = 60_000;
    c.exchange_heartbeat(&mut store, &mut w1, 0);
    c.submit(&mut store, job("job-1", 1), 100);
    c.exchange_heartbeat(&mut store, &mut w1, 500);
    c.exchange_heartbeat(&mut store, &mut w1, 1500);
    assert!(w1.has_task("job-1/0"));
    for now in (2000..13_000).step_by(500) {
        c.exchange_heartbeat(&mut store, &mut w2, now);
        assert!(w2.started.is_empty(), "started elsewhere at {now}");
    }
    // Lease, drift and margin after the last answer.
    run_heartbeats(&mut c, &mut store, &mut [&mut w2], 13_500, 16_000);
    assert_eq!(w2.started.len(), 1);
    w1.advance(13_500);
    assert!(!w1.has_task("job-1/0"));
}

#[test]
fn elapsed_time_proves_no_lease_expiry_to_a_new_owner() {
    let (mut store, mut c) = start_single_controller();
    let mut w1 = FakeWorker::new("m1", "north", 0);
    w1.run_ms = 60_000;
    c.exchange_heartbeat(&mut store, &mut w1, 0);
    c.submit(&mut store, job("job-1", 1), 100);
    c.exchange_heartbeat(&mut store, &mut w1, 500);
    let mut next = SimulatedController::start("n1", 2, &mut store, 1000);
    next.apply_membership_moves(&mut store, 1000);
    let mut w2 = FakeWorker::new("m2", "north", 0);
    run_heartbeats(&mut next, &mut store, &mut [&mut w2], 1500, 60_000);
    assert!(w2.started.is_empty());
    // The cloud's word does.
    let mix = next
        .cluster
        .learn_machine("m1", "oven", "north", true, MonotonicMillis(60_000))
        .unwrap();
    next.cluster.mark_deleted(mix);
    run_heartbeats(&mut next, &mut store, &mut [&mut w2], 60_000, 62_000);
    assert_eq!(w2.started.len(), 1);
}

#[test]
fn a_new_agent_epoch_restarts_lost_tasks() {
    let (mut store, mut c) = start_single_controller();
    let mut w = FakeWorker::new("m1", "north", 0);
    w.run_ms = 3000;
    c.submit(&mut store, job("job-1", 2), 0);
    c.exchange_heartbeat(&mut store, &mut w, 0);
    c.exchange_heartbeat(&mut store, &mut w, 1500);
    w.advance(12_000);
    assert_eq!(w.agent_epoch, AgentEpoch(2));
    run_heartbeats(&mut c, &mut store, &mut [&mut w], 12_000, 22_000);
    assert_eq!(c.job("job-1").state, JobState::Done);
    assert_eq!(w.started.len(), 4);
}

#[test]
fn a_delayed_heartbeat_changes_nothing() {
    let (mut store, mut c) = start_single_controller();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.submit(&mut store, job("job-1", 1), 0);
    let held = w.heartbeat(0);
    c.exchange_heartbeat(&mut store, &mut w, 100);
    c.exchange_heartbeat(&mut store, &mut w, 1000);
    assert!(w.has_task("job-1/0"));
    let before = c.job("job-1").clone();
    let a = c.receive_heartbeat(&mut store, &held, 8000).unwrap();
    assert!(a.commands.is_empty());
    assert_eq!(c.job("job-1").placements, before.placements);
    let heard = c.cluster.machine(c.machine("m1")).unwrap().last_heartbeat;
    assert_eq!(heard, Some(MonotonicMillis(1000)));
}

#[test]
fn a_response_to_an_overtaken_heartbeat_still_renews_the_lease() {
    let (mut store, mut c) = start_single_controller();
    let mut w = FakeWorker::new("m1", "north", 0);
    w.run_ms = 60_000;
    c.submit(&mut store, job("job-1", 1), 0);
    run_heartbeats(&mut c, &mut store, &mut [&mut w], 0, 1500);
    let ix = c.job_index("job-1");
    let heard = c
        .cluster
        .machine(c.machine("m1"))
        .unwrap()
        .last_heartbeat
        .unwrap();
    // The report waits in a socket while an answer to a direct command is read.
    let late = w.heartbeat(9000);
    let newer = w.heartbeat(9100);
    let mix = c.machine("m1");
    heartbeats::take(&mut c.cluster, mix, &newer, MonotonicMillis(9100), None);
    assert!(c.receive_heartbeat(&mut store, &late, 9200).is_some());
    let over = heard.plus(c.config.lease_expiry_ms + 10).0;
    assert!(!c.draft_plan(over).jobs.contains_key(&ix), "answered since");
    assert!(c
        .draft_plan(9200 + c.config.lease_expiry_ms + 10)
        .jobs
        .contains_key(&ix));
}

#[test]
fn a_duplicate_heartbeat_proves_nothing_and_gets_no_commands() {
    let (mut store, mut c) = start_single_controller();
    let mut w = FakeWorker::new("m1", "north", 0);
    w.run_ms = 60_000;
    c.exchange_heartbeat(&mut store, &mut w, 0);
    let empty = w.heartbeat(100);
    c.receive_heartbeat(&mut store, &empty, 100).unwrap();
    c.submit(&mut store, job("job-1", 1), 200);
    c.exchange_heartbeat(&mut store, &mut w, 1000);
    c.exchange_heartbeat(&mut store, &mut w, 2000);
    assert!(w.has_task("job-1/0"));
    // A copy of the report from before the start, well over a lease later.
    run_heartbeats(&mut c, &mut store, &mut [&mut w], 2500, 30_000);
    let heard = c.cluster.machine(c.machine("m1")).unwrap().last_heartbeat;
    let answer = c.receive_heartbeat(&mut store, &empty, 30_000).unwrap();
    assert!(answer.commands.is_empty());
    assert_eq!(
        c.cluster.machine(c.machine("m1")).unwrap().last_heartbeat,
        heard
    );
    assert_eq!(c.job("job-1").placements.len(), 1);
}

#[test]
fn a_duplicate_of_the_newest_heartbeat_acknowledges_no_start() {
    let (mut store, mut c) = start_single_controller();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.exchange_heartbeat(&mut store, &mut w, 0);
    let r = w.heartbeat(500);
    c.receive_heartbeat(&mut store, &r, 500).unwrap();
    c.submit(&mut store, job("job-1", 1), 600);
    // The copy comes first after the claim: its answer goes nowhere.
    let answer = c.receive_heartbeat(&mut store, &r, 700).unwrap();
    assert!(answer.commands.is_empty());
    assert!(c
        .cluster
        .machine(c.machine("m1"))
        .unwrap()
        .start_sent
        .is_empty());
    c.exchange_heartbeat(&mut store, &mut w, 1000);
    assert_eq!(w.started.len(), 1);
}

#[test]
fn a_delayed_heartbeat_after_failover_is_no_sign_of_life() {
    let (mut store, old) = start_single_controller();
    let mut old = old;
    let mut w = FakeWorker::new("m1", "north", 0);
    old.exchange_heartbeat(&mut store, &mut w, 0);
    let copy = w.heartbeat(100);
    store.revoke_lease(old.lease);
    let mut new = SimulatedController::start("s1", 2, &mut store, 200);
    new.apply_membership_moves(&mut store, 200);
    new.submit(&mut store, job("job-1", 1), 300);
    // The machine is long gone; only copies of its reports still come.
    new.receive_heartbeat(&mut store, &copy, 40_000).unwrap();
    let mix = new.machine("m1");
    assert_eq!(new.cluster.machine(mix).unwrap().last_heartbeat, None);
    assert!(new.draft_plan(40_000).claims.is_empty());
    // The machine itself, once it has the new token, is heard and gets the work.
    let mut alive = FakeWorker::new("m2", "north", 40_000);
    new.exchange_heartbeat(&mut store, &mut alive, 40_000);
    assert_eq!(alive.started.len(), 1);
}

#[test]
fn a_delayed_heartbeat_does_not_revive_a_deleted_machine() {
    let (mut store, mut c) = start_single_controller();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.exchange_heartbeat(&mut store, &mut w, 0);
    let copy = w.heartbeat(100);
    let mix = c.machine("m1");
    c.cluster.mark_deleted(mix);
    c.submit(&mut store, job("job-1", 1), 200);
    assert!(c.receive_heartbeat(&mut store, &copy, 20_000).is_none());
    assert!(c.draft_plan(20_000).claims.is_empty());
}

#[test]
fn a_controller_does_not_count_its_own_pause_as_silence_of_machines() {
    let (mut store, mut c) = start_single_controller();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.exchange_heartbeat(&mut store, &mut w, 0);
    let m = c.cluster.machine(c.machine("m1")).unwrap();
    // It owned the shard from the start, and stood still from 1 s to 40 s.
    let (owned, woke) = (Some(MonotonicMillis(0)), Some(MonotonicMillis(40_000)));
    let now = MonotonicMillis(41_000);
    assert_eq!(
        peer_messages::silence(m.last_heartbeat, m.discovered_at, owned, now),
        41_000
    );
    assert_eq!(
        peer_messages::silence(
            m.last_heartbeat,
            m.discovered_at,
            controller::observing_since(owned, woke),
            now
        ),
        1000
    );
    assert_eq!(controller::observing_since(owned, None), owned);
}
