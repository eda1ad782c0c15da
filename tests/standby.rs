//! The warm standby in the controller: a takeover decides nothing before it knows what its
//! predecessor decided.

mod support;

use pointhook::coordination::kv::CommitOutcome;
use pointhook::coordination::membership::{MembershipView, Move};
use pointhook::coordination::reconciliation;
use pointhook::coordination::replication;
use pointhook::coordination::scheduler::claims;
use pointhook::coordination::scheduler::draft::DraftTransaction;
use pointhook::observe_command;
use pointhook::protocol::peers::{self, PeerResponse, ShardStatus};
use pointhook::protocol::users::{JobKind, JobSpec};
use pointhook::protocol::workers::FencingToken;
use pointhook::settings::Workers;
use pointhook::state::cluster_state::ROOT;
use pointhook::state::names::ShardIndex;
use pointhook::state::units::Incarnation;
use pointhook::state::units::MonotonicMillis;
use standby::failover::FailoverState;
use standby::follower::Follower;
use standby::ids::ShardId;
use standby::publisher::{Publisher, StreamLimits};
use support::controller::{Controller, Standby};
use support::job;
use support::kv_store::FakeKvStore;
use support::worker::FakeWorker;
use support::world::World;

const NORTH: ShardIndex = ShardIndex(0);

/// An owner that the state service has given up, though it goes on working, and a standby that
/// has seen that but nothing since.
struct Deposed {
    store: FakeKvStore,
    owner: Controller,
    standby: Controller,
    worker: FakeWorker,
}

/// The task of `job-1` has begun on `m1` under the owner.
fn deposed() -> Deposed {
    let mut store = FakeKvStore::default();
    let mut owner = Controller::start_as("n1", 1, Standby::SameZone, &mut store, 0);
    assert_eq!(owner.members(&mut store, 0), 3);
    let mut standby = Controller::start_as("n2", 2, Standby::SameZone, &mut store, 0);
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.fails_tasks = true;
    worker.run_ms = 1000;
    owner.submit(&mut store, job("job-1", 1), 0);
    owner.visit(&mut store, &mut worker, 500);
    assert_eq!(worker.started.len(), 1);
    store.revoke_lease(owner.lease);
    standby.sync(&store);
    Deposed {
        store,
        owner,
        standby,
        worker,
    }
}

fn take_north(c: &mut Controller, store: &mut FakeKvStore, now: u64) -> CommitOutcome {
    let to = c.config.controller_name.clone();
    let wanted = Move { shard: NORTH, to };
    c.execute_moves(store, &wanted, now)
}

/// Takes the northern shard over, which succeeds.
fn take_over(c: &mut Controller, store: &mut FakeKvStore, now: u64) {
    let outcome = take_north(c, store, now);
    assert!(
        matches!(outcome, CommitOutcome::Committed(_)),
        "{outcome:?}"
    );
}

#[test]
fn nothing_starts_before_the_records_are_known_as_of_the_fence() {
    let mut d = deposed();
    // The owner, late but alive, records the end of the attempt and starts the next elsewhere.
    let mut other = FakeWorker::new("m2", "north", 0);
    d.owner.visit(&mut d.store, &mut other, 3000);
    d.owner.visit(&mut d.store, &mut d.worker, 3500);
    d.owner.visit(&mut d.store, &mut other, 4000);
    assert!(!d.worker.has_task("job-1/0") && other.has_task("job-1/0"));
    // The standby takes over without having read that: by its view the attempt is still due here.
    take_over(&mut d.standby, &mut d.store, 4000);
    let report = d.worker.heartbeat(4500);
    let answer = d.standby.report_without_store(&report, 4500).unwrap();
    assert!(answer.commands.is_empty(), "{:?}", answer.commands);
    assert!(d.standby.direct_starts(4500).is_empty());
    assert!(matches!(
        d.standby.failovers.state(ShardId(0)),
        FailoverState::CatchingUp { .. }
    ));
    // Once it has read the records it decides, and the task runs where it is.
    d.standby.sync(&d.store);
    d.standby.visit(&mut d.store, &mut d.worker, 5000);
    assert!(matches!(
        d.standby.failovers.state(ShardId(0)),
        FailoverState::Active { .. }
    ));
    assert_eq!(d.worker.started.len(), 1);
    assert!(other.has_task("job-1/0"));
}

#[test]
fn a_service_that_is_down_between_fence_and_catch_up_only_delays_the_first_decision() {
    let mut d = deposed();
    d.owner.submit(&mut d.store, job("job-2", 1), 600);
    take_over(&mut d.standby, &mut d.store, 700);
    d.store.unavailable = true;
    for now in (1000..20_000).step_by(1000) {
        assert!(!d.standby.sync(&d.store));
        let draft = d.standby.draft(now);
        assert!(draft.is_empty() && d.standby.direct_starts(now).is_empty());
    }
    d.store.unavailable = false;
    d.standby.sync(&d.store);
    let mut fresh = FakeWorker::new("m3", "north", 0);
    d.standby.visit(&mut d.store, &mut fresh, 20_500);
    assert!(fresh.has_task("job-2/0"));
}

#[test]
fn a_claim_of_the_old_owner_that_is_carried_out_late_is_refused_by_the_fence() {
    let mut d = deposed();
    d.owner.submit(&mut d.store, job("job-2", 1), 600);
    let mut other = FakeWorker::new("m2", "north", 0);
    // Its claim gets no answer and is on its way while the standby takes over.
    d.store.execution_delay_ms = Some(3000);
    d.owner.visit(&mut d.store, &mut other, 1000);
    d.store.execution_delay_ms = None;
    take_over(&mut d.standby, &mut d.store, 2000);
    d.store.execute_delayed(4000);
    d.standby.sync(&d.store);
    assert!(d.standby.job("job-2").placements.is_empty());
    d.standby.visit(&mut d.store, &mut other, 4500);
    assert_eq!(other.started.iter().filter(|s| s.0 == "job-2/0").count(), 1);
}

#[test]
fn a_claim_recorded_without_an_answer_is_known_to_the_next_owner() {
    let mut d = deposed();
    d.owner.submit(&mut d.store, job("job-2", 1), 600);
    let mut other = FakeWorker::new("m2", "north", 0);
    d.store.drops_responses = true;
    d.owner.visit(&mut d.store, &mut other, 1000);
    d.store.drops_responses = false;
    take_over(&mut d.standby, &mut d.store, 2000);
    d.standby.sync(&d.store);
    let claimed = d.standby.job("job-2").placements.clone();
    assert_eq!(claimed.len(), 1);
    for worker in [&mut d.worker, &mut other] {
        d.standby.visit(&mut d.store, worker, 2500);
    }
    let starts = d.worker.started.iter().chain(&other.started);
    let attempts: Vec<u64> = starts
        .filter(|(task, _)| task == "job-2/0")
        .map(|(_, attempt)| *attempt)
        .collect();
    assert_eq!(attempts, [claimed[0].attempt]);
}

#[test]
fn a_deposed_owner_says_so_once_and_decides_nothing_more() {
    let mut d = deposed();
    take_over(&mut d.standby, &mut d.store, 700);
    d.standby.sync(&d.store);
    d.standby.visit(&mut d.store, &mut d.worker, 1000);
    d.owner.submit(&mut d.store, job("job-2", 1), 1100);
    // A worker that has seen the new token tells the old owner, which has read nothing since.
    let report = d.worker.heartbeat(1200);
    let before = d.owner.failovers.permits().get(ShardId(0)).is_some();
    assert!(before);
    for now in [1200, 1300, 1400] {
        d.owner
            .refused_by_worker(NORTH, report.fencing_token.0, now);
    }
    assert_eq!(d.owner.stepped_down, [NORTH]);
    assert!(d.owner.failovers.permits().get(ShardId(0)).is_none());
    // It reads the records and follows; the shard stays with the new owner.
    d.owner.sync(&d.store);
    d.owner.observe(1500);
    assert_eq!(d.owner.failovers.state(ShardId(0)), FailoverState::Idle);
    assert_eq!(d.owner.stepped_down, [NORTH]);
}

#[test]
fn of_two_that_take_over_at_once_one_wins_and_the_other_follows() {
    let mut d = deposed();
    let mut third = Controller::start_as("n3", 3, Standby::SameZone, &mut d.store, 0);
    d.standby.sync(&d.store);
    take_over(&mut d.standby, &mut d.store, 700);
    assert!(matches!(
        take_north(&mut third, &mut d.store, 700),
        CommitOutcome::Conflict(_)
    ));
    assert_eq!(third.failovers.state(ShardId(0)), FailoverState::Suspecting);
    for c in [&mut d.standby, &mut third] {
        c.sync(&d.store);
        c.observe(800);
    }
    assert!(d.standby.failovers.permits().get(ShardId(0)).is_some());
    assert!(third.failovers.permits().get(ShardId(0)).is_none());
}

#[test]
fn a_standby_that_ends_between_fence_and_catch_up_is_followed_by_another() {
    let mut d = deposed();
    let mut third = Controller::start_as("n3", 3, Standby::SameZone, &mut d.store, 0);
    d.standby.sync(&d.store);
    take_over(&mut d.standby, &mut d.store, 700);
    d.store.revoke_lease(d.standby.lease);
    third.sync(&d.store);
    take_over(&mut third, &mut d.store, 900);
    third.sync(&d.store);
    third.visit(&mut d.store, &mut d.worker, 1000);
    assert_eq!(d.worker.started.len(), 1);
    let permit = third.failovers.permits().get(ShardId(0)).expect("a permit");
    assert_eq!(
        permit.fencing_token(),
        third.cluster.shards[0].record.fencing_token
    );
}

/// Nodes n1 and n2 in the north, s1 in the south, all there for long.
fn three_nodes(standby: Standby) -> (FakeKvStore, [Controller; 3], MembershipView) {
    const ZONES: [(&str, u32); 3] = [("n1", 0), ("n2", 0), ("s1", 1)];
    let names = ZONES.map(|(name, _)| name);
    let mut store = FakeKvStore::default();
    let mut start = |name, incarnation| {
        let c = Controller::start_as(name, incarnation, standby, &mut store, 0);
        c.among(&names, &ZONES)
    };
    let mut nodes = [start("n1", 1), start("n2", 2), start("s1", 3)];
    for c in &mut nodes {
        c.sync(&store);
    }
    let seen = names.iter().zip(1..).map(|(name, incarnation)| {
        let at = MonotonicMillis(0);
        ((name.to_string(), Incarnation(incarnation)), at)
    });
    let known = MembershipView {
        first_seen: seen.collect(),
        standby: nodes[0].known.standby.clone(),
        ..MembershipView::default()
    };
    (store, nodes, known)
}

fn takers(nodes: &[Controller], known: &MembershipView, now: u64) -> Vec<String> {
    let takes = |c: &&Controller| {
        let moves = c.assignment(known, false, now).moves();
        moves.iter().any(|m| m.shard == NORTH)
    };
    let takers = nodes.iter().filter(takes);
    takers.map(|c| c.config.controller_name.clone()).collect()
}

/// Lets `n1` own the northern shard and end.
fn without_n1(store: &mut FakeKvStore, nodes: &mut [Controller; 3]) {
    assert!(matches!(
        take_north(&mut nodes[0], store, 0),
        CommitOutcome::Committed(_)
    ));
    store.revoke_lease(nodes[0].lease);
    for c in nodes {
        c.sync(store);
    }
}

#[test]
fn the_standby_alone_takes_a_shard_over_by_the_preference_of_zones() {
    for (standby, name) in [(Standby::SameZone, "n2"), (Standby::OtherZone, "s1")] {
        let (mut store, mut nodes, known) = three_nodes(standby);
        without_n1(&mut store, &mut nodes);
        assert_eq!(takers(&nodes[1..], &known, 10_000), [name]);
    }
}

#[test]
fn a_shard_that_its_standby_leaves_alone_goes_to_whoever_should_have_it() {
    let (mut store, mut nodes, mut known) = three_nodes(Standby::OtherZone);
    without_n1(&mut store, &mut nodes);
    // Its own view has another standby, for example since its settings differ.
    let since = MonotonicMillis(10_000);
    known.ownerless_since.insert(NORTH, since);
    assert_eq!(takers(&nodes[1..], &known, 12_000), ["s1"]);
    assert_eq!(takers(&nodes[1..], &known, 12_500), ["n2"]);
}

#[test]
fn nodes_that_do_not_know_the_feature_are_no_standbys() {
    let (mut store, mut nodes, known) = three_nodes(Standby::SameZone);
    // n2 is replaced by a process of the version in production.
    store.revoke_lease(nodes[1].lease);
    nodes[1] = Controller::start("n2", 9, &mut store, 0);
    without_n1(&mut store, &mut nodes);
    assert_eq!(takers(&nodes[2..], &known, 10_000), ["s1"]);
}

#[test]
fn what_is_stored_about_roles_is_one_field_that_production_ignores() {
    for (standby, stored) in [(Standby::Off, false), (Standby::SameZone, true)] {
        let mut store = FakeKvStore::default();
        Controller::start_as("n1", 7, standby, &mut store, 0);
        let entry = store.entry(&format!("{ROOT}node/n1")).unwrap();
        let fields = entry.v.as_map().unwrap().iter();
        let names: Vec<&str> = fields.filter_map(|(k, _)| k.as_str()).collect();
        assert_eq!(names.contains(&"w"), stored, "{names:?}");
    }
}

#[test]
fn the_bound_of_a_takeover_names_its_terms() {
    let workers = |lease_s| Workers {
        heartbeat_s: 1.5,
        lease_s,
        gang_wait_s: 35.0,
        gang_peer_s: 8.0,
        cancel_s: 55.0,
    };
    let short = pointhook::coordination::failover::bound(&workers(10.0));
    assert!(short.meets_goal());
    assert_eq!(short.total_ms(), 8600);
    assert_eq!(short.total_after_hang_ms(), 12_100);
    let long = pointhook::coordination::failover::bound(&workers(30.0));
    assert_eq!(long.total_ms(), 9600);
    assert!(long.to_string().contains("lease 5100"));
}

/// A batch of arrays, a gang and a pipeline on machines of both zones.
fn submit_batch(w: &mut World) -> Vec<String> {
    let mut ids = Vec::new();
    let mut add = |w: &mut World, spec: JobSpec| {
        ids.push(spec.id.clone());
        assert!(w.submit(0, spec));
    };
    for i in 0..4 {
        add(w, job(&format!("job-{i}"), 6));
    }
    let mut gang = job("job-10", 4);
    gang.kind = JobKind::Gang;
    add(w, gang);
    let mut last = job("job-11", 2);
    last.dependencies = vec!["job-0".into(), "job-10".into()];
    add(w, last);
    ids
}

/// Gives the jobs time to end, and checks that all did and no rule was broken.
fn all_complete(w: &mut World, ids: &[String], what: &str) {
    w.run(90_000);
    assert!(w.unfinished().is_empty(), "{what}: {:#?}", w.unfinished());
    w.keeps_the_rules();
    for id in ids {
        assert!(w.completed(id), "{what}: {id}");
    }
}

#[test]
fn an_owner_lost_at_any_step_of_a_batch_loses_and_repeats_nothing() {
    for standby in [Standby::Off, Standby::SameZone, Standby::OtherZone] {
        for step in 0..24u64 {
            let mut w = World::with(4, standby);
            w.begin_record_format_v2();
            let ids = submit_batch(&mut w);
            w.run(step * 500);
            let active = w.owner_of_zone("north");
            w.end(active);
            w.run(15_000);
            // Twice in a row: whoever took over ends as well.
            let next = w.owner_of_zone("north");
            assert_ne!(next, active);
            w.end(next);
            w.run(15_000);
            w.start(active);
            w.start(next);
            all_complete(&mut w, &ids, &format!("{standby:?}, step {step}"));
        }
    }
}

#[test]
fn an_owner_paused_beyond_its_lease_wakes_into_a_takeover_and_steps_down() {
    for pause_ms in (1000..14_000).step_by(1000) {
        let mut w = World::with(4, Standby::SameZone);
        w.begin_record_format_v2();
        let ids = submit_batch(&mut w);
        w.run(2000);
        let active = w.owner_of_zone("north");
        // It stands still: neither reads nor renews, and wakes with the view of then.
        let asleep = w.nodes[active].take();
        w.run(pause_ms);
        w.nodes[active] = asleep;
        all_complete(&mut w, &ids, &format!("paused for {pause_ms} ms"));
    }
}

#[test]
fn a_permit_of_before_a_take_over_decides_nothing_though_nobody_looked_since() {
    let mut d = deposed();
    d.owner.submit(&mut d.store, job("job-2", 1), 600);
    d.owner.observe(650);
    take_over(&mut d.standby, &mut d.store, 700);
    d.owner.sync(&d.store);
    let permits = d.owner.failovers.permits();
    assert!(permits.get(ShardId(0)).is_some());
    let mut draft = DraftTransaction::default();
    let pass = d.owner.pass(800);
    reconciliation::reconcile(&pass, &mut draft);
    claims::claim(&pass, &mut draft);
    assert!(draft.is_empty(), "{draft:?}");
}

#[test]
fn a_takeover_goes_on_with_the_queues_and_held_machines_that_were_told() {
    let mut d = deposed();
    for (id, tasks) in [("job-2", 20), ("job-3", 2)] {
        d.owner.submit(&mut d.store, job(id, tasks), 600);
    }
    let mut gang = job("job-4", 8);
    gang.kind = JobKind::Gang;
    d.owner.submit(&mut d.store, gang, 600);
    let (queued, done, held) = (
        d.owner.job_ix("job-2"),
        d.owner.job_ix("job-3"),
        d.owner.job_ix("job-4"),
    );
    let m1 = d.owner.machine("m1");
    let machine = d.owner.cluster.machine_mut(m1).unwrap();
    machine.queue.extend([
        (queued, 7, MonotonicMillis(600)),
        (done, 0, MonotonicMillis(600)),
        (queued, 5, MonotonicMillis(600)),
    ]);
    machine.reservation = Some((held, MonotonicMillis(5000)));
    // It is told in a snapshot, and what changes then in the tail.
    let mut publisher = Publisher::new(ShardId(0), FencingToken(1), StreamLimits::default());
    let mut follower = Follower::default();
    let mut tell = |owner: &Controller, publisher: &mut Publisher, now| {
        replication::publish_changes(&owner.cluster, NORTH, MonotonicMillis(now), publisher);
        while let Some(message) = publisher.next_message() {
            publisher.receive_response(follower.receive(&message, FencingToken(0)));
        }
        follower.clone()
    };
    tell(&d.owner, &mut publisher, 700);
    let machine = d.owner.cluster.machine_mut(m1).unwrap();
    machine.queue.push_back((queued, 9, MonotonicMillis(800)));
    let follower = tell(&d.owner, &mut publisher, 800);
    // One of the queued tasks is no longer to run, and one is queued with the standby already.
    d.owner.cancel(&mut d.store, "job-3", 850);
    d.standby.sync(&d.store);
    d.standby
        .cluster
        .learn_machine("m1", "oven", "north", true, MonotonicMillis(0));
    let (m1, queued) = (d.standby.machine("m1"), d.standby.job_ix("job-2"));
    let machine = d.standby.cluster.machine_mut(m1).unwrap();
    machine.queue.push_back((queued, 5, MonotonicMillis(100)));
    let shadow = follower.replica_state().expect("no gap");
    let restored =
        replication::restore_replica(&mut d.standby.cluster, NORTH, shadow, MonotonicMillis(900));
    assert_eq!((restored.queued_tasks, restored.reservations), (2, 1));
    let machine = d.standby.cluster.machine(m1).unwrap();
    let tasks: Vec<u32> = machine.queue.iter().map(|(_, task, _)| *task).collect();
    assert_eq!(tasks, [5, 7, 9]);
    assert_eq!(
        machine.reservation.map(|h| h.0),
        Some(d.standby.job_ix("job-4"))
    );
    // What is unchanged is not told again, and a machine that goes is.
    replication::publish_changes(
        &d.owner.cluster,
        NORTH,
        MonotonicMillis(900),
        &mut publisher,
    );
    assert_eq!(publisher.lag(), Some(0));
    let m1 = d.owner.machine("m1");
    d.owner.cluster.mark_deleted(m1);
    replication::publish_changes(
        &d.owner.cluster,
        NORTH,
        MonotonicMillis(900),
        &mut publisher,
    );
    assert_eq!(publisher.lag(), Some(1));
    assert_eq!(publisher.replica_state().len(), 0);
}

#[test]
fn switching_it_on_node_by_node_and_going_back_at_any_step_loses_nothing() {
    for back_after in 0..=3 {
        let mut w = World::with(4, Standby::Off);
        w.begin_record_format_v2();
        let mut ids = submit_batch(&mut w);
        let on = (0..back_after).map(|at| (at, Standby::OtherZone));
        let off = (0..back_after).rev().map(|at| (at, Standby::Off));
        for (number, (at, standby)) in on.chain(off).enumerate() {
            w.run(2000);
            w.standby = standby;
            w.end(at);
            w.run(1000);
            w.start(at);
            let id = format!("job-2{number}");
            assert!(w.submit((at + 1) % 3, job(&id, 3)));
            ids.push(id);
            w.run(3000);
        }
        all_complete(&mut w, &ids, &format!("back after {back_after}"));
    }
}

#[test]
fn operators_see_how_far_each_standby_is() {
    let standing = |replication_lag, follows| ShardStatus {
        shard: 3,
        owner: "stoker-1".into(),
        fencing_token: 41,
        state: "active".into(),
        standby: Some("stoker-2".into()),
        replication_lag,
        replica_of_token: follows,
    };
    let shards = [
        standing(Some(0), None),
        standing(Some(12), None),
        standing(None, Some(40)),
        standing(None, None),
    ];
    let reply = PeerResponse::ShardStatuses {
        shards: shards.to_vec(),
    };
    let sent = peers::encode(&reply).unwrap();
    assert_eq!(peers::decode_response(&sent), Some(reply));
    let table = observe_command::table(&shards);
    let lines: Vec<&str> = table.lines().collect();
    assert!(lines[0].starts_with("shard  owner"));
    for (line, end) in lines[1..].iter().zip([
        "up to date",
        "12 decisions behind",
        "has the state of token 40",
        "-",
    ]) {
        assert!(line.starts_with("3      stoker-1"), "{line}");
        assert!(line.ends_with(end), "{line}");
    }
}

#[test]
fn after_a_restart_of_all_shards_go_straight_to_whoever_should_have_them() {
    let (mut store, mut nodes, mut known) = three_nodes(Standby::OtherZone);
    without_n1(&mut store, &mut nodes);
    // Nobody has been there for long: no standby has followed anyone.
    known.first_seen.clear();
    assert_eq!(takers(&nodes[1..], &known, 10_000), ["n2"]);
}
