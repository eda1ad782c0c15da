//! The warm standby in the controller: after a failover it decides nothing before it knows what its
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
use support::job;
use support::kv_store::FakeKvStore;
use support::simulated_cluster::SimulatedCluster;
use support::simulated_controller::{SimulatedController, Standby};
use support::worker::FakeWorker;

const NORTH: ShardIndex = ShardIndex(0);

/// An owner whose key has expired though it goes on working, and a standby that has seen that but
/// nothing since.
struct Deposed {
    store: FakeKvStore,
    owner: SimulatedController,
    standby: SimulatedController,
    worker: FakeWorker,
}

/// The task of `job-1` has started on `m1` under the owner.
fn deposed() -> Deposed {
    let mut store = FakeKvStore::default();
    let mut owner = SimulatedController::start_as("n1", 1, Standby::SameZone, &mut store, 0);
    assert_eq!(owner.apply_membership_moves(&mut store, 0), 3);
    let mut standby = SimulatedController::start_as("n2", 2, Standby::SameZone, &mut store, 0);
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.fails_tasks = true;
    worker.run_ms = 1000;
    owner.submit(&mut store, job("job-1", 1), 0);
    owner.exchange_heartbeat(&mut store, &mut worker, 500);
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

fn take_north(
    controller: &mut SimulatedController,
    store: &mut FakeKvStore,
    now: u64,
) -> CommitOutcome {
    let to = controller.config.controller_name.clone();
    let wanted = Move { shard: NORTH, to };
    controller.execute_move(store, &wanted, now)
}

/// Takes the northern shard over successfully.
fn take_over(controller: &mut SimulatedController, store: &mut FakeKvStore, now: u64) {
    let outcome = take_north(controller, store, now);
    assert!(
        matches!(outcome, CommitOutcome::Committed(_)),
        "{outcome:?}"
    );
}

#[test]
fn nothing_starts_before_the_records_are_known_as_of_the_fence() {
    let mut deployment = deposed();
    // The owner, slow but alive, records the exit of the attempt and starts the next elsewhere.
    let mut other = FakeWorker::new("m2", "north", 0);
    deployment
        .owner
        .exchange_heartbeat(&mut deployment.store, &mut other, 3000);
    deployment
        .owner
        .exchange_heartbeat(&mut deployment.store, &mut deployment.worker, 3500);
    deployment
        .owner
        .exchange_heartbeat(&mut deployment.store, &mut other, 4000);
    assert!(!deployment.worker.has_task("job-1/0") && other.has_task("job-1/0"));
    // The standby takes over without having read that: by its view the attempt is still due here.
    take_over(&mut deployment.standby, &mut deployment.store, 4000);
    let report = deployment.worker.heartbeat(4500);
    let answer = deployment
        .standby
        .receive_heartbeat_without_kv(&report, 4500)
        .unwrap();
    assert!(answer.commands.is_empty(), "{:?}", answer.commands);
    assert!(deployment.standby.direct_starts(4500).is_empty());
    assert!(matches!(
        deployment.standby.failovers.state(ShardId(0)),
        FailoverState::CatchingUp { .. }
    ));
    // Once it has read the records it decides, and the task runs where it is.
    deployment.standby.sync(&deployment.store);
    deployment
        .standby
        .exchange_heartbeat(&mut deployment.store, &mut deployment.worker, 5000);
    assert!(matches!(
        deployment.standby.failovers.state(ShardId(0)),
        FailoverState::Active { .. }
    ));
    assert_eq!(deployment.worker.started.len(), 1);
    assert!(other.has_task("job-1/0"));
}

#[test]
fn a_kv_outage_between_fence_and_catch_up_only_delays_the_first_decision() {
    let mut deployment = deposed();
    deployment
        .owner
        .submit(&mut deployment.store, job("job-2", 1), 600);
    take_over(&mut deployment.standby, &mut deployment.store, 700);
    deployment.store.unavailable = true;
    for now in (1000..20_000).step_by(1000) {
        assert!(!deployment.standby.sync(&deployment.store));
        let draft = deployment.standby.draft_plan(now);
        assert!(draft.is_empty() && deployment.standby.direct_starts(now).is_empty());
    }
    deployment.store.unavailable = false;
    deployment.standby.sync(&deployment.store);
    let mut fresh = FakeWorker::new("m3", "north", 0);
    deployment
        .standby
        .exchange_heartbeat(&mut deployment.store, &mut fresh, 20_500);
    assert!(fresh.has_task("job-2/0"));
}

#[test]
fn a_delayed_claim_of_the_old_owner_is_refused_by_the_fence() {
    let mut deployment = deposed();
    deployment
        .owner
        .submit(&mut deployment.store, job("job-2", 1), 600);
    let mut other = FakeWorker::new("m2", "north", 0);
    // Its claim gets no response and is in flight while the standby takes over.
    deployment.store.execution_delay_ms = Some(3000);
    deployment
        .owner
        .exchange_heartbeat(&mut deployment.store, &mut other, 1000);
    deployment.store.execution_delay_ms = None;
    take_over(&mut deployment.standby, &mut deployment.store, 2000);
    deployment.store.execute_delayed(4000);
    deployment.standby.sync(&deployment.store);
    assert!(deployment.standby.job("job-2").placements.is_empty());
    deployment
        .standby
        .exchange_heartbeat(&mut deployment.store, &mut other, 4500);
    assert_eq!(other.started.iter().filter(|s| s.0 == "job-2/0").count(), 1);
}

#[test]
fn a_claim_committed_without_a_response_is_known_to_the_next_owner() {
    let mut deployment = deposed();
    deployment
        .owner
        .submit(&mut deployment.store, job("job-2", 1), 600);
    let mut other = FakeWorker::new("m2", "north", 0);
    deployment.store.drops_responses = true;
    deployment
        .owner
        .exchange_heartbeat(&mut deployment.store, &mut other, 1000);
    deployment.store.drops_responses = false;
    take_over(&mut deployment.standby, &mut deployment.store, 2000);
    deployment.standby.sync(&deployment.store);
    let claimed = deployment.standby.job("job-2").placements.clone();
    assert_eq!(claimed.len(), 1);
    for worker in [&mut deployment.worker, &mut other] {
        deployment
            .standby
            .exchange_heartbeat(&mut deployment.store, worker, 2500);
    }
    let starts = deployment.worker.started.iter().chain(&other.started);
    let attempts: Vec<u64> = starts
        .filter(|(task, _)| task == "job-2/0")
        .map(|(_, attempt)| *attempt)
        .collect();
    assert_eq!(attempts, [claimed[0].attempt]);
}

#[test]
fn a_deposed_owner_steps_down_once_and_decides_nothing_more() {
    let mut deployment = deposed();
    take_over(&mut deployment.standby, &mut deployment.store, 700);
    deployment.standby.sync(&deployment.store);
    deployment
        .standby
        .exchange_heartbeat(&mut deployment.store, &mut deployment.worker, 1000);
    deployment
        .owner
        .submit(&mut deployment.store, job("job-2", 1), 1100);
    // A worker that has seen the new fencing token shows it to the old owner, which has read nothing since.
    let report = deployment.worker.heartbeat(1200);
    let before = deployment
        .owner
        .failovers
        .permits()
        .get(ShardId(0))
        .is_some();
    assert!(before);
    for now in [1200, 1300, 1400] {
        deployment
            .owner
            .reject_stale_token(NORTH, report.fencing_token.0, now);
    }
    assert_eq!(deployment.owner.stepped_down, [NORTH]);
    assert!(deployment
        .owner
        .failovers
        .permits()
        .get(ShardId(0))
        .is_none());
    // It reads the records and follows; the shard stays with the new owner.
    deployment.owner.sync(&deployment.store);
    deployment.owner.observe_failovers(1500);
    assert_eq!(
        deployment.owner.failovers.state(ShardId(0)),
        FailoverState::Idle
    );
    assert_eq!(deployment.owner.stepped_down, [NORTH]);
}

#[test]
fn of_two_concurrent_failovers_one_wins_and_the_other_follows() {
    let mut deployment = deposed();
    let mut third =
        SimulatedController::start_as("n3", 3, Standby::SameZone, &mut deployment.store, 0);
    deployment.standby.sync(&deployment.store);
    take_over(&mut deployment.standby, &mut deployment.store, 700);
    assert!(matches!(
        take_north(&mut third, &mut deployment.store, 700),
        CommitOutcome::Conflict(_)
    ));
    assert_eq!(third.failovers.state(ShardId(0)), FailoverState::Suspecting);
    for controller in [&mut deployment.standby, &mut third] {
        controller.sync(&deployment.store);
        controller.observe_failovers(800);
    }
    assert!(deployment
        .standby
        .failovers
        .permits()
        .get(ShardId(0))
        .is_some());
    assert!(third.failovers.permits().get(ShardId(0)).is_none());
}

#[test]
fn a_standby_that_stops_between_fence_and_catch_up_is_replaced_by_another() {
    let mut deployment = deposed();
    let mut third =
        SimulatedController::start_as("n3", 3, Standby::SameZone, &mut deployment.store, 0);
    deployment.standby.sync(&deployment.store);
    take_over(&mut deployment.standby, &mut deployment.store, 700);
    deployment.store.revoke_lease(deployment.standby.lease);
    third.sync(&deployment.store);
    take_over(&mut third, &mut deployment.store, 900);
    third.sync(&deployment.store);
    third.exchange_heartbeat(&mut deployment.store, &mut deployment.worker, 1000);
    assert_eq!(deployment.worker.started.len(), 1);
    let permit = third.failovers.permits().get(ShardId(0)).expect("a permit");
    assert_eq!(
        permit.fencing_token(),
        third.cluster.shards[0].record.fencing_token
    );
}

/// Controllers n1 and n2 in the north, s1 in the south, all running for long.
fn three_nodes(standby: Standby) -> (FakeKvStore, [SimulatedController; 3], MembershipView) {
    const ZONES: [(&str, u32); 3] = [("n1", 0), ("n2", 0), ("s1", 1)];
    let names = ZONES.map(|(name, _)| name);
    let mut store = FakeKvStore::default();
    let mut start = |name, incarnation| {
        let controller = SimulatedController::start_as(name, incarnation, standby, &mut store, 0);
        controller.with_peers(&names, &ZONES)
    };
    let mut controllers = [start("n1", 1), start("n2", 2), start("s1", 3)];
    for controller in &mut controllers {
        controller.sync(&store);
    }
    let seen = names.iter().zip(1..).map(|(name, incarnation)| {
        let at = MonotonicMillis(0);
        ((name.to_string(), Incarnation(incarnation)), at)
    });
    let known = MembershipView {
        first_seen: seen.collect(),
        standby: controllers[0].membership.standby.clone(),
        ..MembershipView::default()
    };
    (store, controllers, known)
}

fn takers(controllers: &[SimulatedController], known: &MembershipView, now: u64) -> Vec<String> {
    let takes = |controller: &&SimulatedController| {
        let moves = controller.assignment(known, false, now).moves();
        moves.iter().any(|m| m.shard == NORTH)
    };
    let takers = controllers.iter().filter(takes);
    takers
        .map(|controller| controller.config.controller_name.clone())
        .collect()
}

/// Lets `n1` own the northern shard and stop.
fn without_n1(store: &mut FakeKvStore, controllers: &mut [SimulatedController; 3]) {
    assert!(matches!(
        take_north(&mut controllers[0], store, 0),
        CommitOutcome::Committed(_)
    ));
    store.revoke_lease(controllers[0].lease);
    for controller in controllers {
        controller.sync(store);
    }
}

#[test]
fn only_the_standby_takes_a_shard_over_by_zone_preference() {
    for (standby, name) in [(Standby::SameZone, "n2"), (Standby::OtherZone, "s1")] {
        let (mut store, mut controllers, known) = three_nodes(standby);
        without_n1(&mut store, &mut controllers);
        assert_eq!(takers(&controllers[1..], &known, 10_000), [name]);
    }
}

#[test]
fn a_shard_that_its_standby_does_not_take_goes_to_its_designated_controller() {
    let (mut store, mut controllers, mut known) = three_nodes(Standby::OtherZone);
    without_n1(&mut store, &mut controllers);
    // Its own view has another standby, for example since its settings differ.
    let since = MonotonicMillis(10_000);
    known.ownerless_since.insert(NORTH, since);
    assert_eq!(takers(&controllers[1..], &known, 12_000), ["s1"]);
    assert_eq!(takers(&controllers[1..], &known, 12_500), ["n2"]);
}

#[test]
fn controllers_without_the_feature_are_not_standbys() {
    let (mut store, mut controllers, known) = three_nodes(Standby::SameZone);
    // n2 is replaced by a process of the version in production.
    store.revoke_lease(controllers[1].lease);
    controllers[1] = SimulatedController::start("n2", 9, &mut store, 0);
    without_n1(&mut store, &mut controllers);
    assert_eq!(takers(&controllers[2..], &known, 10_000), ["s1"]);
}

#[test]
fn roles_are_stored_in_one_field_that_production_ignores() {
    for (standby, stored) in [(Standby::Off, false), (Standby::SameZone, true)] {
        let mut store = FakeKvStore::default();
        SimulatedController::start_as("n1", 7, standby, &mut store, 0);
        let entry = store.entry(&format!("{ROOT}node/n1")).unwrap();
        let fields = entry.v.as_map().unwrap().iter();
        let names: Vec<&str> = fields.filter_map(|(k, _)| k.as_str()).collect();
        assert_eq!(names.contains(&"w"), stored, "{names:?}");
    }
}

#[test]
fn the_failover_bound_names_its_terms() {
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

/// A batch of arrays, a gang and jobs with dependencies on machines of both zones.
fn submit_batch(cluster: &mut SimulatedCluster) -> Vec<String> {
    let mut ids = Vec::new();
    let mut add = |cluster: &mut SimulatedCluster, spec: JobSpec| {
        ids.push(spec.id.clone());
        assert!(cluster.submit(0, spec));
    };
    for i in 0..4 {
        add(cluster, job(&format!("job-{i}"), 6));
    }
    let mut gang = job("job-10", 4);
    gang.kind = JobKind::Gang;
    add(cluster, gang);
    let mut last = job("job-11", 2);
    last.dependencies = vec!["job-0".into(), "job-10".into()];
    add(cluster, last);
    ids
}

/// Gives the jobs time to end, and checks that all did and no invariant was broken.
fn all_complete(cluster: &mut SimulatedCluster, ids: &[String], what: &str) {
    cluster.run_for(90_000);
    assert!(
        cluster.unfinished().is_empty(),
        "{what}: {:#?}",
        cluster.unfinished()
    );
    cluster.assert_no_violations();
    for id in ids {
        assert!(cluster.completed(id), "{what}: {id}");
    }
}

#[test]
fn an_owner_lost_at_any_step_of_a_batch_loses_and_repeats_nothing() {
    for standby in [Standby::Off, Standby::SameZone, Standby::OtherZone] {
        for step in 0..24u64 {
            let mut cluster = SimulatedCluster::with_standby(4, standby);
            cluster.begin_record_format_v2();
            let ids = submit_batch(&mut cluster);
            cluster.run_for(step * 500);
            let active = cluster.owner_of_zone("north");
            cluster.stop_controller(active);
            cluster.run_for(15_000);
            // Twice in a row: whoever took over stops as well.
            let next = cluster.owner_of_zone("north");
            assert_ne!(next, active);
            cluster.stop_controller(next);
            cluster.run_for(15_000);
            cluster.start_controller(active);
            cluster.start_controller(next);
            all_complete(&mut cluster, &ids, &format!("{standby:?}, step {step}"));
        }
    }
}

#[test]
fn an_owner_paused_beyond_its_lease_resumes_after_failover_and_steps_down() {
    for pause_ms in (1000..14_000).step_by(1000) {
        let mut cluster = SimulatedCluster::with_standby(4, Standby::SameZone);
        cluster.begin_record_format_v2();
        let ids = submit_batch(&mut cluster);
        cluster.run_for(2000);
        let active = cluster.owner_of_zone("north");
        // It is paused: it neither reads nor renews, and resumes with the view of then.
        let asleep = cluster.controllers[active].take();
        cluster.run_for(pause_ms);
        cluster.controllers[active] = asleep;
        all_complete(&mut cluster, &ids, &format!("paused for {pause_ms} ms"));
    }
}

#[test]
fn a_permit_from_before_a_failover_decides_nothing_even_if_unobserved() {
    let mut deployment = deposed();
    deployment
        .owner
        .submit(&mut deployment.store, job("job-2", 1), 600);
    deployment.owner.observe_failovers(650);
    take_over(&mut deployment.standby, &mut deployment.store, 700);
    deployment.owner.sync(&deployment.store);
    let permits = deployment.owner.failovers.permits();
    assert!(permits.get(ShardId(0)).is_some());
    let mut draft = DraftTransaction::default();
    let pass = deployment.owner.pass(800);
    reconciliation::reconcile(&pass, &mut draft);
    claims::claim(&pass, &mut draft);
    assert!(draft.is_empty(), "{draft:?}");
}

#[test]
fn a_failover_continues_with_the_streamed_queues_and_reservations() {
    let mut deployment = deposed();
    for (id, tasks) in [("job-2", 20), ("job-3", 2)] {
        deployment
            .owner
            .submit(&mut deployment.store, job(id, tasks), 600);
    }
    let mut gang = job("job-4", 8);
    gang.kind = JobKind::Gang;
    deployment.owner.submit(&mut deployment.store, gang, 600);
    let (queued, done, held) = (
        deployment.owner.job_index("job-2"),
        deployment.owner.job_index("job-3"),
        deployment.owner.job_index("job-4"),
    );
    let m1 = deployment.owner.machine("m1");
    let machine = deployment.owner.cluster.machine_mut(m1).unwrap();
    machine.queue.extend([
        (queued, 7, MonotonicMillis(600)),
        (done, 0, MonotonicMillis(600)),
        (queued, 5, MonotonicMillis(600)),
    ]);
    machine.reservation = Some((held, MonotonicMillis(5000)));
    // It is streamed in a snapshot, and later changes in the tail.
    let mut publisher = Publisher::new(ShardId(0), FencingToken(1), StreamLimits::default());
    let mut follower = Follower::default();
    let mut tell = |owner: &SimulatedController, publisher: &mut Publisher, now| {
        replication::publish_changes(&owner.cluster, NORTH, MonotonicMillis(now), publisher);
        while let Some(message) = publisher.next_message() {
            publisher.receive_response(follower.receive(&message, FencingToken(0)));
        }
        follower.clone()
    };
    tell(&deployment.owner, &mut publisher, 700);
    let machine = deployment.owner.cluster.machine_mut(m1).unwrap();
    machine.queue.push_back((queued, 9, MonotonicMillis(800)));
    let follower = tell(&deployment.owner, &mut publisher, 800);
    // One of the queued tasks is no longer to run, and one is queued with the standby already.
    deployment.owner.cancel(&mut deployment.store, "job-3", 850);
    deployment.standby.sync(&deployment.store);
    deployment
        .standby
        .cluster
        .learn_machine("m1", "oven", "north", true, MonotonicMillis(0));
    let (m1, queued) = (
        deployment.standby.machine("m1"),
        deployment.standby.job_index("job-2"),
    );
    let machine = deployment.standby.cluster.machine_mut(m1).unwrap();
    machine.queue.push_back((queued, 5, MonotonicMillis(100)));
    let replica_state = follower.replica_state().expect("no gap");
    let restored = replication::restore_replica(
        &mut deployment.standby.cluster,
        NORTH,
        replica_state,
        MonotonicMillis(900),
    );
    assert_eq!((restored.queued_tasks, restored.reservations), (2, 1));
    let machine = deployment.standby.cluster.machine(m1).unwrap();
    let tasks: Vec<u32> = machine.queue.iter().map(|(_, task, _)| *task).collect();
    assert_eq!(tasks, [5, 7, 9]);
    assert_eq!(
        machine.reservation.map(|h| h.0),
        Some(deployment.standby.job_index("job-4"))
    );
    // What is unchanged is not streamed again; a deleted machine is.
    replication::publish_changes(
        &deployment.owner.cluster,
        NORTH,
        MonotonicMillis(900),
        &mut publisher,
    );
    assert_eq!(publisher.lag(), Some(0));
    let m1 = deployment.owner.machine("m1");
    deployment.owner.cluster.mark_deleted(m1);
    replication::publish_changes(
        &deployment.owner.cluster,
        NORTH,
        MonotonicMillis(900),
        &mut publisher,
    );
    assert_eq!(publisher.lag(), Some(1));
    assert_eq!(publisher.replica_state().len(), 0);
}

#[test]
fn enabling_it_controller_by_controller_and_rolling_back_at_any_step_loses_nothing() {
    for back_after in 0..=3 {
        let mut cluster = SimulatedCluster::with_standby(4, Standby::Off);
        cluster.begin_record_format_v2();
        let mut ids = submit_batch(&mut cluster);
        let on = (0..back_after).map(|at| (at, Standby::OtherZone));
        let off = (0..back_after).rev().map(|at| (at, Standby::Off));
        for (number, (at, standby)) in on.chain(off).enumerate() {
            cluster.run_for(2000);
            cluster.standby = standby;
            cluster.stop_controller(at);
            cluster.run_for(1000);
            cluster.start_controller(at);
            let id = format!("job-2{number}");
            assert!(cluster.submit((at + 1) % 3, job(&id, 3)));
            ids.push(id);
            cluster.run_for(3000);
        }
        all_complete(&mut cluster, &ids, &format!("back after {back_after}"));
    }
}

#[test]
fn operators_see_the_lag_of_each_standby() {
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
fn after_a_restart_of_all_shards_go_straight_to_their_designated_controllers() {
    let (mut store, mut controllers, mut known) = three_nodes(Standby::OtherZone);
    without_n1(&mut store, &mut controllers);
    // No controller has been running for long: no standby has followed any owner.
    known.first_seen.clear();
    assert_eq!(takers(&controllers[1..], &known, 10_000), ["n2"]);
}
