//! Troubles that the protocol names: late copies, machines that hear nothing, nodes that are cut
//! off from the state service alone, restarts within a fraction of a second.

mod support;

use futures_lite::future::{block_on, poll_once};
use pointhook::coordination::controller::clock;
use pointhook::coordination::controller::notifier::Notifier;
use pointhook::coordination::controller::peers::{is_cluster_wide_outage, PeerObservation};
use pointhook::coordination::controller::worker_reachability::WorkerReachability;
use pointhook::coordination::peer_messages::status_updates;
use pointhook::coordination::scheduler::commands;
use pointhook::coordination::worker_connectivity::{announce_ownership, probes};
use pointhook::coordination::{autoscaler, membership};
use pointhook::protocol::peers::MachineStatus;
use pointhook::protocol::users::JobKind;
use pointhook::protocol::workers::{AgentEpoch, Command, FencingToken};
use pointhook::state::job::JobState;
use pointhook::state::names::{ShardIndex, ZoneIndex};
use pointhook::state::units::Incarnation;
use pointhook::state::units::MonotonicMillis;
use std::collections::HashMap;
use support::controller::{one, play, Controller};
use support::job;
use support::worker::FakeWorker;

fn gang(id: &str, tasks: u32) -> pointhook::protocol::users::JobSpec {
    let mut spec = job(id, tasks);
    spec.kind = JobKind::Gang;
    spec.vcpus = 16.0;
    spec
}

#[test]
fn a_late_copy_proves_nothing_and_gets_no_orders() {
    let (mut store, mut c) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    w.run_ms = 60_000;
    c.visit(&mut store, &mut w, 0);
    let empty = w.heartbeat(100);
    c.report(&mut store, &empty, 100).unwrap();
    c.submit(&mut store, job("job-1", 1), 200);
    c.visit(&mut store, &mut w, 1000);
    c.visit(&mut store, &mut w, 2000);
    assert!(w.has_task("job-1/0"));
    // A copy of the report from before the start, well over a lease later.
    play(&mut c, &mut store, &mut [&mut w], 2500, 30_000);
    let heard = c
        .cluster
        .machine(c.machine("m1"))
        .unwrap()
        .heartbeat
        .last_seen;
    let answer = c.report(&mut store, &empty, 30_000).unwrap();
    assert!(answer.commands.is_empty());
    assert_eq!(
        c.cluster
            .machine(c.machine("m1"))
            .unwrap()
            .heartbeat
            .last_seen,
        heard
    );
    assert_eq!(c.job("job-1").placements.len(), 1);
}

#[test]
fn a_copy_of_the_newest_report_takes_no_start_for_delivered() {
    let (mut store, mut c) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.visit(&mut store, &mut w, 0);
    let r = w.heartbeat(500);
    c.report(&mut store, &r, 500).unwrap();
    c.submit(&mut store, job("job-1", 1), 600);
    // The copy comes first after the claim: its answer goes nowhere.
    let answer = c.report(&mut store, &r, 700).unwrap();
    assert!(answer.commands.is_empty());
    assert!(c
        .cluster
        .machine(c.machine("m1"))
        .unwrap()
        .starts
        .sent
        .is_empty());
    c.visit(&mut store, &mut w, 1000);
    assert_eq!(w.started.len(), 1);
}

#[test]
fn a_late_copy_after_a_take_over_is_no_sign_of_life() {
    let (mut store, old) = one();
    let mut old = old;
    let mut w = FakeWorker::new("m1", "north", 0);
    old.visit(&mut store, &mut w, 0);
    let copy = w.heartbeat(100);
    store.revoke_lease(old.lease);
    let mut new = Controller::start("s1", 2, &mut store, 200);
    new.members(&mut store, 200);
    new.submit(&mut store, job("job-1", 1), 300);
    // The machine is long gone; only copies of its reports still come.
    new.report(&mut store, &copy, 40_000).unwrap();
    let mix = new.machine("m1");
    assert_eq!(new.cluster.machine(mix).unwrap().heartbeat.last_seen, None);
    assert!(new.draft(40_000).claims.is_empty());
    // The machine itself, once it has the new token, is heard and gets the work.
    let mut alive = FakeWorker::new("m2", "north", 40_000);
    new.visit(&mut store, &mut alive, 40_000);
    assert_eq!(alive.started.len(), 1);
}

#[test]
fn a_late_copy_brings_no_deleted_machine_back() {
    let (mut store, mut c) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.visit(&mut store, &mut w, 0);
    let copy = w.heartbeat(100);
    let mix = c.machine("m1");
    c.cluster.mark_deleted(mix);
    c.submit(&mut store, job("job-1", 1), 200);
    assert!(c.report(&mut store, &copy, 20_000).is_none());
    assert!(c.draft(20_000).claims.is_empty());
}

#[test]
fn a_machine_that_hears_nothing_gets_no_work_and_its_tasks_go_elsewhere() {
    let (mut store, mut c) = one();
    let mut deaf = FakeWorker::new("m1", "north", 0);
    c.visit(&mut store, &mut deaf, 0);
    c.submit(&mut store, job("job-1", 1), 100);
    // Its reports arrive, the answers do not.
    for now in (500..4000).step_by(500) {
        let r = deaf.heartbeat(now);
        c.report(&mut store, &r, now).unwrap();
    }
    assert!(c
        .cluster
        .machine(c.machine("m1"))
        .unwrap()
        .health
        .unreachable_since
        .is_some());
    assert!(c.job("job-1").placements.is_empty());
    let mut other = FakeWorker::new("m2", "north", 4000);
    c.visit(&mut store, &mut other, 4000);
    assert_eq!(other.started.len(), 1);
    assert!(deaf.started.is_empty());
}

#[test]
fn a_machine_that_hears_nothing_is_returned_unless_it_is_reached_again() {
    let (mut store, mut c) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.visit(&mut store, &mut w, 0);
    let mix = c.machine("m1");
    c.cluster.machine_mut(mix).unwrap().health.unreachable_since = Some(MonotonicMillis(1000));
    let asked =
        probes::unreachable_machines(&mut c.cluster, &c.config, 10_000, MonotonicMillis(5000));
    assert_eq!(asked.len(), 1);
    assert!(!c.cluster.machine(mix).unwrap().health.quarantined);
    let mut reached = c.cluster.machine(mix).unwrap().clone();
    reached.health.mark_reachable(MonotonicMillis(5000));
    assert!(reached.is_schedulable(MonotonicMillis(500), 4000));
    probes::unreachable_machines(&mut c.cluster, &c.config, 10_000, MonotonicMillis(11_500));
    assert!(c.cluster.machine(mix).unwrap().health.quarantined);
}

#[test]
fn a_session_that_ends_under_steady_answers_tells_that_they_do_not_arrive() {
    let (mut store, mut c) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.visit(&mut store, &mut w, 0);
    for now in (500..12_000).step_by(500) {
        let r = w.heartbeat(now);
        c.report(&mut store, &r, now).unwrap();
    }
    assert!(w.agent_epoch > AgentEpoch(1));
    let m = c.cluster.machine(c.machine("m1")).unwrap();
    assert!(
        m.health.unreachable_since.is_some() && !m.is_schedulable(MonotonicMillis(12_000), 4000)
    );
}

#[test]
fn a_session_that_ends_while_nobody_answers_tells_nothing() {
    let (mut store, mut c) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    play(&mut c, &mut store, &mut [&mut w], 0, 12_000);
    // No node answers for longer than its lease; then all is as before.
    w.advance(30_000);
    play(&mut c, &mut store, &mut [&mut w], 30_000, 31_000);
    assert!(w.agent_epoch > AgentEpoch(1));
    assert!(c
        .cluster
        .machine(c.machine("m1"))
        .unwrap()
        .health
        .unreachable_since
        .is_none());
}

#[test]
fn a_gang_task_whose_wait_ran_out_waits_again_under_the_same_attempt() {
    let (mut store, mut c) = one();
    c.submit(&mut store, gang("job-1", 2), 0);
    let (mut w1, mut w2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "north", 0),
    );
    w1.run_ms = 1_000_000;
    // The second machine fetches for longer than the first one waits.
    w2.image_pull_ms = 1_000_000;
    play(&mut c, &mut store, &mut [&mut w1, &mut w2], 0, 2000);
    w1.time_out_gang_wait();
    play(&mut c, &mut store, &mut [&mut w1, &mut w2], 2000, 3000);
    assert!(c.job("job-1").placements.iter().all(|p| p.attempt == 1));
    assert_eq!(w1.started.len(), 2);
    assert_eq!(w1.started[0], w1.started[1]);
    assert_eq!(w2.started.len(), 1);
}

#[test]
fn a_gang_that_never_gets_complete_is_tried_anew_after_a_few_waits() {
    let (mut store, mut c) = one();
    c.submit(&mut store, gang("job-1", 2), 0);
    let (mut w1, mut w2) = (
        FakeWorker::new("m1", "north", 0),
        FakeWorker::new("m2", "north", 0),
    );
    w2.image_pull_ms = 1_000_000;
    w1.run_ms = 1_000_000;
    play(&mut c, &mut store, &mut [&mut w1, &mut w2], 0, 2000);
    for i in 0..6 {
        w1.time_out_gang_wait();
        let from = 2000 + i * 2000;
        play(
            &mut c,
            &mut store,
            &mut [&mut w1, &mut w2],
            from,
            from + 2000,
        );
    }
    assert!(c.job("job-1").next_attempt > 2);
}

#[test]
fn a_node_cut_from_the_store_starts_nothing_and_stands_down_at_the_higher_token() {
    let (mut store, mut old) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    w.run_ms = 60_000;
    old.submit(&mut store, job("job-1", 1), 0);
    old.visit(&mut store, &mut w, 0);
    old.visit(&mut store, &mut w, 1000);
    assert!(w.has_task("job-1/0"));
    // It loses the store and its peers; its key ends and another takes its shards.
    store.revoke_lease(old.lease);
    let mut new = Controller::start("s1", 2, &mut store, 5000);
    new.members(&mut store, 5000);
    new.submit(&mut store, job("job-2", 1), 5100);
    // It goes on answering its worker, which keeps its task and gets nothing new.
    let r = w.heartbeat(6000);
    let a = old.report_without_store(&r, 6000).unwrap();
    assert!(!a
        .commands
        .iter()
        .any(|o| matches!(o, Command::Start { .. })));
    assert!(w.receive_response(&a, r.agent_epoch, 6000, 6000));
    // The new owner shows its token; the worker reports it, and the old one stands down.
    w.fencing_token = new.cluster.shards[0].record.fencing_token;
    let r = w.heartbeat(7000);
    assert!(old.report_without_store(&r, 7000).is_none());
    // The task stays where it is, once: its placement is as good as before.
    new.visit(&mut store, &mut w, 7500);
    assert_eq!(w.started.iter().filter(|s| s.0 == "job-1/0").count(), 1);
    assert_eq!(new.job("job-1").placements.len(), 1);
    old.sync(&store);
    assert!(!old.owns(0) && new.owns(0));
}

#[test]
fn a_machine_that_went_while_all_nodes_were_down_does_not_hold_its_tasks_for_ever() {
    let (mut store, mut c) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.submit(&mut store, job("job-1", 1), 0);
    c.visit(&mut store, &mut w, 0);
    assert_eq!(c.job("job-1").placements.len(), 1);
    // All nodes restart, and the cloud takes the machine before any of them hears it.
    store.revoke_lease(c.lease);
    let mut new = Controller::start("n1", 2, &mut store, 5000);
    new.members(&mut store, 5000);
    new.plan(&mut store, 200_000);
    assert_eq!(new.job("job-1").placements.len(), 1);
    // It is in no list and nobody hears it: it is deleted by name, which proves it gone.
    let names = autoscaler::presumed_lost(&new.cluster, &HashMap::new(), |_| true);
    assert_eq!(names, ["m1"]);
    assert!(autoscaler::presumed_lost(&new.cluster, &HashMap::new(), |_| false).is_empty());
    let mix = new.machine("m1");
    new.cluster.mark_deleted(mix);
    new.plan(&mut store, 200_000);
    assert!(new.job("job-1").placements.is_empty());
    assert!(autoscaler::presumed_lost(&new.cluster, &HashMap::new(), |_| true).is_empty());
}

fn news(name: &str, silent_ms: u64) -> MachineStatus {
    MachineStatus {
        name: name.into(),
        addr: "127.0.0.1:1".into(),
        machine_type: "oven".into(),
        zone: "north".into(),
        spot: true,
        silent_ms,
        has_sent_heartbeat: true,
        fencing_token_confirmed: true,
        queue_length: 0,
        cordoned: false,
        quarantined: false,
    }
}

#[test]
fn news_of_machines_counts_only_from_their_owner() {
    let (mut store, old) = one();
    store.revoke_lease(old.lease);
    let mut new = Controller::start("s1", 2, &mut store, 5000);
    let mut third = Controller::start("s2", 3, &mut store, 5000);
    new.members(&mut store, 5000);
    third.sync(&store);
    let mix = third
        .cluster
        .learn_machine("m1", "oven", "north", true, MonotonicMillis(0))
        .unwrap();
    status_updates::apply_machine_statuses(
        &mut third.cluster,
        &third.config,
        "s1",
        vec![news("m1", 0)],
        MonotonicMillis(30_000),
    );
    // The deposed owner has not heard the machine for a long time and does not know why.
    status_updates::apply_machine_statuses(
        &mut third.cluster,
        &third.config,
        "n1",
        vec![news("m1", 25_000)],
        MonotonicMillis(30_100),
    );
    assert_eq!(
        third.cluster.machine(mix).unwrap().heartbeat.last_seen,
        Some(MonotonicMillis(30_000))
    );
}

#[test]
fn a_machine_that_an_earlier_owner_closed_is_judged_anew_by_the_next() {
    let (mut store, mut old) = one();
    let mut worker = FakeWorker::new("m1", "north", 0);
    old.visit(&mut store, &mut worker, 0);
    store.revoke_lease(old.lease);
    let mut new = Controller::start("s1", 2, &mut store, 5000);
    let closed = MachineStatus {
        cordoned: true,
        ..news("m1", 0)
    };
    status_updates::apply_machine_statuses(
        &mut new.cluster,
        &new.config,
        "n1",
        vec![closed],
        MonotonicMillis(5000),
    );
    let mix = new.machine("m1");
    assert!(!new
        .cluster
        .machine(mix)
        .unwrap()
        .is_schedulable(MonotonicMillis(5000), 4000));
    new.members(&mut store, 5000);
    new.submit(&mut store, job("job-1", 1), 5000);
    play(&mut new, &mut store, &mut [&mut worker], 5500, 8000);
    assert!(worker.has_task("job-1/0"));
    // What the owner itself has closed, to return it, stays so.
    new.cluster.machine_mut(mix).unwrap().decisions.cordoned = true;
    play(&mut new, &mut store, &mut [&mut worker], 8000, 10_000);
    assert!(!new
        .cluster
        .machine(mix)
        .unwrap()
        .is_schedulable(MonotonicMillis(10_000), 4000));
}

#[test]
fn a_new_owner_gives_machines_time_to_learn_its_token() {
    let (mut store, mut old) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    old.visit(&mut store, &mut w, 0);
    let limits = autoscaler::SilenceLimits {
        confirmed_ms: 10_000,
        lease_ms: 10_000,
    };
    let at = |c: &Controller| {
        let m = c.cluster.machine(c.machine("m1")).unwrap();
        limits.of(&c.cluster, &c.config, m)
    };
    assert_eq!(at(&old), 10_000);
    // The new owner knows it from news; the worker still talks to the old one.
    store.revoke_lease(old.lease);
    let mut new = Controller::start("s1", 2, &mut store, 5000);
    let known = new
        .cluster
        .learn_machine("m1", "oven", "north", true, MonotonicMillis(5000))
        .unwrap();
    new.cluster.machine_mut(known).unwrap().heartbeat.last_seen = Some(MonotonicMillis(5000));
    new.members(&mut store, 5000);
    assert_eq!(at(&new), 15_000);
    new.visit(&mut store, &mut w, 6000);
    assert_eq!(at(&new), 10_000);
}

#[test]
fn a_node_back_amid_a_hand_over_inherits_nothing_and_no_shard_is_left() {
    let (mut store, old) = one();
    let target = Controller::start("s1", 2, &mut store, 0);
    let mut old = old;
    old.sync(&store);
    // The hand-over of a shard to s1 is on its way when s1 is killed and back at once.
    let m = pointhook::coordination::membership::Move {
        shard: ShardIndex(1),
        to: "s1".into(),
    };
    let (txn, _) = pointhook::coordination::membership::move_transaction(&old.cluster, &m).unwrap();
    Controller::send(&mut store, &txn, 100);
    let mut back = Controller::start("s1", 3, &mut store, 200);
    assert!(!back.owns(1));
    back.members(&mut store, 300);
    assert!(back.owns(1) && back.cluster.shards[1].record.fencing_token >= FencingToken(3));
    old.sync(&store);
    assert!(!old.owns(1));
    // The old incarnation's key ends later: that must not take the new one's along.
    store.revoke_lease(target.lease);
    back.sync(&store);
    assert!(back.cluster.live_owner(ShardIndex(1)).is_some());
}

#[test]
fn repeats_of_requests_that_were_carried_out_change_nothing() {
    let (mut store, mut c) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.submit(&mut store, job("job-1", 1), 0);
    c.visit(&mut store, &mut w, 0);
    let draft = c.draft(10);
    assert!(draft.is_empty());
    let accepted = c.job("job-1").version;
    assert!(!matches!(
        c.submit(&mut store, job("job-1", 1), 20),
        pointhook::coordination::kv::CommitOutcome::Committed(_)
    ));
    assert_eq!(c.job("job-1").version, accepted);
    play(&mut c, &mut store, &mut [&mut w], 500, 12_000);
    assert_eq!(c.job("job-1").state, JobState::Done);
    // A repeated start after the end of a job has no placement to rest on.
    let mix = c.machine("m1");
    assert!(commands::heartbeat_commands(
        &mut c.cluster,
        &c.config,
        c.failovers.permits(),
        mix,
        MonotonicMillis(0)
    )
    .iter()
    .all(|o| !matches!(o, Command::Start { .. })));
    assert_eq!(w.started.len(), 1);
}

#[test]
fn one_fresh_read_answers_all_who_wait_for_it() {
    let fresh = Notifier::default();
    let mut waiting: Vec<_> = (0..50)
        .map(|_| Box::pin(fresh.request_round(60_000)))
        .collect();
    for w in &mut waiting {
        assert!(block_on(poll_once(w)).is_none());
    }
    // None is left for a second read, whoever came first.
    let taken = fresh.take_waiters();
    assert_eq!(taken.len(), 50);
    assert!(fresh.take_waiters().is_empty());
    for t in taken {
        t.try_send(true).unwrap();
    }
    for w in &mut waiting {
        assert_eq!(block_on(poll_once(w)), Some(Some(true)));
    }
}

#[test]
fn every_controller_knows_every_job_after_an_outage_with_a_restart_of_all() {
    let (mut store, mut a) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    for i in 1..=30 {
        a.submit(&mut store, job(&format!("job-{i}"), 1), 0);
    }
    a.visit(&mut store, &mut w, 0);
    store.revoke_lease(a.lease);
    let nodes = ["n1", "s1"].map(|n| Controller::start(n, 7, &mut store, 60_000));
    for c in &nodes {
        assert!(c.cluster.loaded);
        assert!((1..=30).all(|i| c.cluster.job(&format!("job-{i}")).is_some()));
    }
}

#[test]
fn unreachable_machines_do_not_hold_back_the_token_from_the_rest() {
    let (_, mut c) = one();
    for i in 0..300 {
        let name = format!("m{i:03}");
        let mix = c
            .cluster
            .learn_machine(&name, "oven", "north", true, MonotonicMillis(0))
            .unwrap();
        c.cluster.machine_mut(mix).unwrap().addr = "127.0.0.1:1".into();
    }
    // Nobody answers, and sixty connections are open at a time.
    let mut tried = HashMap::new();
    let mut reached = std::collections::HashSet::new();
    for now in [10_000u64, 11_500, 13_000, 14_500, 16_000] {
        let due = announce_ownership::machines_with_stale_token(
            &c.cluster,
            &c.config,
            &mut tried,
            MonotonicMillis(now),
            |_| true,
        );
        for stale in due.into_iter().take(60) {
            let mix = stale.machine;
            tried.insert(mix, MonotonicMillis(now));
            reached.insert(mix);
        }
    }
    assert_eq!(reached.len(), 300);
    // One that has shown the token is left alone, and one in vain is tried again only later.
    let mix = c.machine("m299");
    c.cluster.machine_mut(mix).unwrap().heartbeat.fencing_token = c.cluster.shards[0]
        .record
        .fencing_token
        .max(c.cluster.shards[1].record.fencing_token);
    let due = announce_ownership::machines_with_stale_token(
        &c.cluster,
        &c.config,
        &mut tried,
        MonotonicMillis(16_500),
        |_| true,
    );
    assert!(due.iter().all(|stale| stale.machine != mix));
    assert!(due.len() <= 240);
}

#[test]
fn a_node_cut_off_from_all_sides_sends_its_users_elsewhere() {
    let seen = |heard, store_ok, refuses| PeerObservation {
        heard_recently: heard,
        kv_reachable: store_ok,
        connection_refused: refuses,
    };
    // The state service is down for all: being unhealthy would help nobody.
    assert!(is_cluster_wide_outage(&[
        seen(true, false, false),
        seen(false, false, false)
    ]));
    assert!(is_cluster_wide_outage(&[]));
    // A peer that ended or refuses connections shows that the way is open.
    assert!(is_cluster_wide_outage(&[seen(false, false, true)]));
    // Others are served, or nothing is heard from any side.
    assert!(!is_cluster_wide_outage(&[
        seen(true, true, false),
        seen(true, false, false)
    ]));
    assert!(!is_cluster_wide_outage(&[
        seen(false, true, false),
        seen(false, false, false)
    ]));
}

#[test]
fn a_node_that_stood_still_does_not_count_that_time_as_silence_of_machines() {
    let (mut store, mut c) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    c.visit(&mut store, &mut w, 0);
    let m = c.cluster.machine(c.machine("m1")).unwrap();
    // It owned the shard from the start, and stood still from 1 s to 40 s.
    let (owned, woke) = (Some(MonotonicMillis(0)), Some(MonotonicMillis(40_000)));
    let now = MonotonicMillis(41_000);
    assert_eq!(
        status_updates::silence_ms(m.heartbeat.last_seen, m.discovered_at, owned, now),
        41_000
    );
    assert_eq!(
        status_updates::silence_ms(
            m.heartbeat.last_seen,
            m.discovered_at,
            clock::observing_since(owned, woke),
            now
        ),
        1000
    );
    assert_eq!(clock::observing_since(owned, None), owned);
}

#[test]
fn what_was_drafted_before_a_stop_is_refused_after_a_take_over() {
    let (mut store, mut old) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    w.run_ms = 600_000;
    old.submit(&mut store, job("job-0", 1), 0);
    play(&mut old, &mut store, &mut [&mut w], 0, 1500);
    assert!(w.has_task("job-0/0"));
    old.submit(&mut store, job("job-1", 1), 1500);
    let draft = old.draft(1600);
    assert_eq!(draft.claims.len(), 1);
    let late = pointhook::coordination::kv::transaction(&old.cluster, &draft);
    // It stands still past its lease; another takes its shards and gives the task away.
    store.revoke_lease(old.lease);
    let mut new = Controller::start("s1", 2, &mut store, 20_000);
    new.members(&mut store, 20_000);
    let mut other = FakeWorker::new("m2", "north", 20_000);
    new.visit(&mut store, &mut other, 20_000);
    // It goes on where it stood: the commit, an answer held back, a proof by time.
    assert!(!matches!(
        Controller::send(&mut store, &late, 40_000),
        pointhook::coordination::kv::CommitOutcome::Committed(_)
    ));
    let r = w.heartbeat(40_000);
    let held = old.report_without_store(&r, 40_000).unwrap();
    assert!(!held
        .commands
        .iter()
        .any(|o| matches!(o, Command::Start { .. })));
    let proof = old.draft(60_000);
    assert!(!proof.is_empty());
    let by_time = pointhook::coordination::kv::transaction(&old.cluster, &proof);
    assert!(!matches!(
        Controller::send(&mut store, &by_time, 60_000),
        pointhook::coordination::kv::CommitOutcome::Committed(_)
    ));
    assert_eq!(other.started.len(), 1);
    assert_eq!(w.started.len(), 1);
}

#[test]
fn a_node_that_no_worker_reaches_gives_its_shards_away_and_gets_them_back() {
    let (mut store, mut c) = one();
    Controller::start("s1", 2, &mut store, 0);
    c.sync(&store);
    let seen = HashMap::from(
        [("n1", 1), ("s1", 2)].map(|(n, i)| ((n.to_string(), Incarnation(i)), MonotonicMillis(0))),
    );
    let moves = |c: &Controller, deaf: &[&str]| {
        let known = membership::MembershipView {
            first_seen: seen.clone(),
            unreachable_from_workers: deaf.iter().map(|n| n.to_string()).collect(),
            owned_since: c.owned_for_long(),
            ..membership::MembershipView::default()
        };
        c.assignment(&known, false, 10_000).moves()
    };
    // It owns all; the shard of the other zone goes there in any case.
    let to =
        |m: Vec<membership::Move>| m.into_iter().map(|m| (m.shard.0, m.to)).collect::<Vec<_>>();
    let s1 = |shard: u32| (shard, "s1".to_string());
    assert_eq!(to(moves(&c, &[])), [s1(1)]);
    assert_eq!(to(moves(&c, &["n1"])), [s1(0), s1(1)]);
    // Where no node hears any worker, giving shards away helps nobody.
    assert_eq!(to(moves(&c, &["n1", "s1"])), [s1(1)]);
    assert_eq!(to(moves(&c, &["s1"])), []);
}

#[test]
fn hearing_is_doubted_then_lost_and_regained_only_after_a_moment() {
    let mut worker_contact = WorkerReachability::new(30_000);
    // The first machine comes up late; until a while after that nothing can be said.
    assert!(worker_contact.update(false, None, MonotonicMillis(90_000)));
    assert!(worker_contact.update(true, None, MonotonicMillis(99_000)));
    worker_contact.record_contact(MonotonicMillis(100_000));
    assert!(
        !worker_contact.probe_needed(MonotonicMillis(104_000))
            && worker_contact.probe_needed(MonotonicMillis(106_000))
    );
    assert!(worker_contact.update(true, None, MonotonicMillis(109_000)));
    // Without machines there is nothing to hear, and a halt is no silence.
    assert!(worker_contact
        .clone()
        .update(false, None, MonotonicMillis(111_000)));
    assert!(worker_contact.clone().update(
        true,
        Some(MonotonicMillis(110_000)),
        MonotonicMillis(111_000)
    ));
    assert!(!worker_contact.update(true, None, MonotonicMillis(111_000)));
    worker_contact.record_contact(MonotonicMillis(112_000));
    assert!(!worker_contact.update(true, None, MonotonicMillis(113_000)));
    assert!(worker_contact.update(true, None, MonotonicMillis(117_000)));
}

#[test]
fn machines_of_a_zone_that_is_cut_off_are_not_returned_at_once() {
    let (north, south, east) = (ZoneIndex(0), ZoneIndex(1), ZoneIndex(2));
    let counts = |total, silent| autoscaler::ZoneMachineCounts { total, silent };
    let counts = HashMap::from([
        (north, counts(300, 30)),
        (south, counts(300, 280)),
        (east, counts(4, 4)),
    ]);
    // A tenth of a zone, or all of a handful of machines, may well have failed.
    assert!(autoscaler::partitioned_zones(&counts)
        .into_iter()
        .eq([south]));
    let limits = autoscaler::SilenceLimits {
        confirmed_ms: 20_000,
        lease_ms: 22_000,
    };
    assert_eq!(limits.partition_allowance_ms(), 44_000);
}

#[test]
fn two_nodes_that_disagree_do_not_hand_a_shard_to_and_fro() {
    let (mut store, mut c) = one();
    Controller::start("s1", 2, &mut store, 0);
    c.sync(&store);
    let seen = HashMap::from(
        [("n1", 1), ("s1", 2)].map(|(n, i)| ((n.to_string(), Incarnation(i)), MonotonicMillis(0))),
    );
    // This node has just got the shard, and does not know yet that the other is deaf.
    let south = ZoneIndex(1);
    assert_eq!(c.cluster.shard_zone(ShardIndex(1)), Some(south));
    let moves = |c: &Controller, now: u64| {
        let known = membership::MembershipView {
            first_seen: seen.clone(),
            owned_since: HashMap::from([(ShardIndex(1), MonotonicMillis(10_000))]),
            ..Default::default()
        };
        c.assignment(&known, false, now).moves()
    };
    assert!(moves(&c, 10_300).is_empty());
    assert!(moves(&c, 12_000).is_empty());
    assert_eq!(moves(&c, 12_500).len(), 1);
}
