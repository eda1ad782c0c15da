//! The warm standby in the controller: a failover decides nothing before it knows what its
//! predecessor decided.

mod support;

use pointhook::coordination::failover;
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
use pointhook::settings::WorkerSettings;
use pointhook::state::cluster_state::ROOT;
use pointhook::state::machine::QueuedTask;
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

/// An owner whose lease in the key-value store has ended, though it goes on working, and a standby
/// that has seen that but nothing since.
struct ExpiredOwner {
    store: FakeKvStore,
    owner: SimulatedController,
    standby: SimulatedController,
    worker: FakeWorker,
}

/// The task of `job-1` has begun on `m1` under the owner.
fn expired_owner() -> ExpiredOwner {
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
    ExpiredOwner {
        store,
        owner,
        standby,
        worker,
    }
}

/// Tries to make a controller the owner of the northern shard.
fn try_failover(
    controller: &mut SimulatedController,
    store: &mut FakeKvStore,
    now: u64,
) -> CommitOutcome {
    let to = controller.config.controller_name.clone();
    let planned = Move { shard: NORTH, to };
    controller.execute_move(store, &planned, now)
}

/// Makes a controller the owner of the northern shard, which succeeds.
fn fail_over(controller: &mut SimulatedController, store: &mut FakeKvStore, now: u64) {
    let outcome = try_failover(controller, store, now);
    assert!(
        matches!(outcome, CommitOutcome::Committed(_)),
        "{outcome:?}"
    );
}

#[test]
fn nothing_starts_before_the_records_are_known_as_of_the_fence() {
    let mut scene = expired_owner();
    // The owner, late but alive, records the end of the attempt and starts the next elsewhere.
    let mut other = FakeWorker::new("m2", "north", 0);
    scene
        .owner
        .exchange_heartbeat(&mut scene.store, &mut other, 3000);
    scene
        .owner
        .exchange_heartbeat(&mut scene.store, &mut scene.worker, 3500);
    scene
        .owner
        .exchange_heartbeat(&mut scene.store, &mut other, 4000);
    assert!(!scene.worker.has_task("job-1/0") && other.has_task("job-1/0"));
    // The standby fences without having read that: by its view the attempt is still due here.
    fail_over(&mut scene.standby, &mut scene.store, 4000);
    let heartbeat = scene.worker.heartbeat(4500);
    let response = scene
        .standby
        .receive_heartbeat_without_kv(&heartbeat, 4500)
        .unwrap();
    assert!(response.commands.is_empty(), "{:?}", response.commands);
    assert!(scene.standby.direct_starts(4500).is_empty());
    assert!(matches!(
        scene.standby.failovers.state(ShardId(0)),
        FailoverState::CatchingUp { .. }
    ));
    // Once it has read the records it decides, and the task runs where it is.
    scene.standby.sync(&scene.store);
    scene
        .standby
        .exchange_heartbeat(&mut scene.store, &mut scene.worker, 5000);
    assert!(matches!(
        scene.standby.failovers.state(ShardId(0)),
        FailoverState::Active { .. }
    ));
    assert_eq!(scene.worker.started.len(), 1);
    assert!(other.has_task("job-1/0"));
}

#[test]
fn a_kv_outage_between_fence_and_catch_up_only_delays_the_first_decision() {
    let mut scene = expired_owner();
    scene.owner.submit(&mut scene.store, job("job-2", 1), 600);
    fail_over(&mut scene.standby, &mut scene.store, 700);
    scene.store.unavailable = true;
    for now in (1000..20_000).step_by(1000) {
        assert!(!scene.standby.sync(&scene.store));
        let draft = scene.standby.draft_plan(now);
        assert!(draft.is_empty() && scene.standby.direct_starts(now).is_empty());
    }
    scene.store.unavailable = false;
    scene.standby.sync(&scene.store);
    let mut fresh = FakeWorker::new("m3", "north", 0);
    scene
        .standby
        .exchange_heartbeat(&mut scene.store, &mut fresh, 20_500);
    assert!(fresh.has_task("job-2/0"));
}

#[test]
fn a_claim_of_the_old_owner_that_is_carried_out_late_is_refused_by_the_fence() {
    let mut scene = expired_owner();
    scene.owner.submit(&mut scene.store, job("job-2", 1), 600);
    let mut other = FakeWorker::new("m2", "north", 0);
    // Its claim gets no answer and is on its way while the standby fences.
    scene.store.execution_delay_ms = Some(3000);
    scene
        .owner
        .exchange_heartbeat(&mut scene.store, &mut other, 1000);
    scene.store.execution_delay_ms = None;
    fail_over(&mut scene.standby, &mut scene.store, 2000);
    scene.store.execute_delayed(4000);
    scene.standby.sync(&scene.store);
    assert!(scene.standby.job("job-2").placements.is_empty());
    scene
        .standby
        .exchange_heartbeat(&mut scene.store, &mut other, 4500);
    assert_eq!(other.started.iter().filter(|s| s.0 == "job-2/0").count(), 1);
}

#[test]
fn a_claim_recorded_without_an_answer_is_known_to_the_next_owner() {
    let mut scene = expired_owner();
    scene.owner.submit(&mut scene.store, job("job-2", 1), 600);
    let mut other = FakeWorker::new("m2", "north", 0);
    scene.store.drops_responses = true;
    scene
        .owner
        .exchange_heartbeat(&mut scene.store, &mut other, 1000);
    scene.store.drops_responses = false;
    fail_over(&mut scene.standby, &mut scene.store, 2000);
    scene.standby.sync(&scene.store);
    let claimed = scene.standby.job("job-2").placements.clone();
    assert_eq!(claimed.len(), 1);
    for worker in [&mut scene.worker, &mut other] {
        scene
            .standby
            .exchange_heartbeat(&mut scene.store, worker, 2500);
    }
    let starts = scene.worker.started.iter().chain(&other.started);
    let attempts: Vec<u64> = starts
        .filter(|(task, _)| task == "job-2/0")
        .map(|(_, attempt)| *attempt)
        .collect();
    assert_eq!(attempts, [claimed[0].attempt]);
}

#[test]
fn a_superseded_owner_steps_down_once_and_decides_nothing_more() {
    let mut scene = expired_owner();
    fail_over(&mut scene.standby, &mut scene.store, 700);
    scene.standby.sync(&scene.store);
    scene
        .standby
        .exchange_heartbeat(&mut scene.store, &mut scene.worker, 1000);
    scene.owner.submit(&mut scene.store, job("job-2", 1), 1100);
    // A worker that has seen the new token shows it to the old owner, which has read nothing since.
    let heartbeat = scene.worker.heartbeat(1200);
    let before = scene.owner.failovers.permits().get(ShardId(0)).is_some();
    assert!(before);
    for now in [1200, 1300, 1400] {
        scene
            .owner
            .reject_stale_token(NORTH, heartbeat.fencing_token.0, now);
    }
    assert_eq!(scene.owner.stepped_down, [NORTH]);
    assert!(scene.owner.failovers.permits().get(ShardId(0)).is_none());
    // It reads the records and follows; the shard stays with the new owner.
    scene.owner.sync(&scene.store);
    scene.owner.observe_failovers(1500);
    assert_eq!(scene.owner.failovers.state(ShardId(0)), FailoverState::Idle);
    assert_eq!(scene.owner.stepped_down, [NORTH]);
}

#[test]
fn of_two_failovers_at_once_one_succeeds_and_the_other_controller_follows() {
    let mut scene = expired_owner();
    let mut third = SimulatedController::start_as("n3", 3, Standby::SameZone, &mut scene.store, 0);
    scene.standby.sync(&scene.store);
    fail_over(&mut scene.standby, &mut scene.store, 700);
    assert!(matches!(
        try_failover(&mut third, &mut scene.store, 700),
        CommitOutcome::Conflict(_)
    ));
    assert_eq!(third.failovers.state(ShardId(0)), FailoverState::Suspecting);
    for controller in [&mut scene.standby, &mut third] {
        controller.sync(&scene.store);
        controller.observe_failovers(800);
    }
    assert!(scene.standby.failovers.permits().get(ShardId(0)).is_some());
    assert!(third.failovers.permits().get(ShardId(0)).is_none());
}

#[test]
fn a_standby_that_ends_between_fence_and_catch_up_is_followed_by_another() {
    let mut scene = expired_owner();
    let mut third = SimulatedController::start_as("n3", 3, Standby::SameZone, &mut scene.store, 0);
    scene.standby.sync(&scene.store);
    fail_over(&mut scene.standby, &mut scene.store, 700);
    scene.store.revoke_lease(scene.standby.lease);
    third.sync(&scene.store);
    fail_over(&mut third, &mut scene.store, 900);
    third.sync(&scene.store);
    third.exchange_heartbeat(&mut scene.store, &mut scene.worker, 1000);
    assert_eq!(scene.worker.started.len(), 1);
    let permit = third.failovers.permits().get(ShardId(0)).expect("a permit");
    assert_eq!(
        permit.fencing_token(),
        third.cluster.shards[0].record.fencing_token
    );
}

/// Controllers n1 and n2 in the north, s1 in the south, all there for long.
fn three_controllers(standby: Standby) -> (FakeKvStore, [SimulatedController; 3], MembershipView) {
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
    let first_seen = names.iter().zip(1..).map(|(name, incarnation)| {
        let at = MonotonicMillis(0);
        ((name.to_string(), Incarnation(incarnation)), at)
    });
    let view = MembershipView {
        first_seen: first_seen.collect(),
        standby: controllers[0].membership.standby.clone(),
        ..MembershipView::default()
    };
    (store, controllers, view)
}

/// Controllers that would take the northern shard now.
fn successors(controllers: &[SimulatedController], view: &MembershipView, now: u64) -> Vec<String> {
    let takes_north = |controller: &&SimulatedController| {
        let moves = controller.assignment(view, false, now).moves();
        moves.iter().any(|planned| planned.shard == NORTH)
    };
    controllers
        .iter()
        .filter(takes_north)
        .map(|controller| controller.config.controller_name.clone())
        .collect()
}

/// Lets `n1` own the northern shard and end.
fn lose_owner_n1(store: &mut FakeKvStore, controllers: &mut [SimulatedController; 3]) {
    assert!(matches!(
        try_failover(&mut controllers[0], store, 0),
        CommitOutcome::Committed(_)
    ));
    store.revoke_lease(controllers[0].lease);
    for controller in controllers {
        controller.sync(store);
    }
}

#[test]
fn the_standby_alone_takes_a_shard_by_the_preference_of_zones() {
    for (standby, name) in [(Standby::SameZone, "n2"), (Standby::OtherZone, "s1")] {
        let (mut store, mut controllers, view) = three_controllers(standby);
        lose_owner_n1(&mut store, &mut controllers);
        assert_eq!(successors(&controllers[1..], &view, 10_000), [name]);
    }
}

#[test]
fn a_shard_that_its_standby_does_not_take_goes_to_its_preferred_owner() {
    let (mut store, mut controllers, mut view) = three_controllers(Standby::OtherZone);
    lose_owner_n1(&mut store, &mut controllers);
    // Its own view has another standby, for example since its settings differ.
    let since = MonotonicMillis(10_000);
    view.ownerless_since.insert(NORTH, since);
    assert_eq!(successors(&controllers[1..], &view, 12_000), ["s1"]);
    assert_eq!(successors(&controllers[1..], &view, 12_500), ["n2"]);
}

#[test]
fn controllers_without_the_feature_are_no_standbys() {
    let (mut store, mut controllers, view) = three_controllers(Standby::SameZone);
    // n2 is replaced by a process of the version in production.
    store.revoke_lease(controllers[1].lease);
    controllers[1] = SimulatedController::start("n2", 9, &mut store, 0);
    lose_owner_n1(&mut store, &mut controllers);
    assert_eq!(successors(&controllers[2..], &view, 10_000), ["s1"]);
}

#[test]
fn what_is_stored_about_roles_is_one_field_that_production_ignores() {
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
    let workers = |lease_s| WorkerSettings {
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
fn submit_batch(world: &mut SimulatedCluster) -> Vec<String> {
    let mut ids = Vec::new();
    let mut add = |world: &mut SimulatedCluster, spec: JobSpec| {
        ids.push(spec.id.clone());
        assert!(world.submit(0, spec));
    };
    for i in 0..4 {
        add(world, job(&format!("job-{i}"), 6));
    }
    let mut gang = job("job-10", 4);
    gang.kind = JobKind::Gang;
    add(world, gang);
    let mut last = job("job-11", 2);
    last.dependencies = vec!["job-0".into(), "job-10".into()];
    add(world, last);
    ids
}

/// Gives the jobs time to end, and checks that all did and no rule was broken.
fn assert_all_complete(world: &mut SimulatedCluster, ids: &[String], case: &str) {
    world.run_for(90_000);
    assert!(
        world.unfinished().is_empty(),
        "{case}: {:#?}",
        world.unfinished()
    );
    world.assert_no_violations();
    for id in ids {
        assert!(world.completed(id), "{case}: {id}");
    }
}

#[test]
fn an_owner_lost_at_any_step_of_a_batch_loses_and_repeats_nothing() {
    for standby in [Standby::Off, Standby::SameZone, Standby::OtherZone] {
        for step in 0..24u64 {
            let mut world = SimulatedCluster::with_standby(4, standby);
            world.begin_record_format_v2();
            let ids = submit_batch(&mut world);
            world.run_for(step * 500);
            let owner = world.owner_of_zone("north");
            world.stop_controller(owner);
            world.run_for(15_000);
            // Twice in a row: the next owner ends as well.
            let next = world.owner_of_zone("north");
            assert_ne!(next, owner);
            world.stop_controller(next);
            world.run_for(15_000);
            world.start_controller(owner);
            world.start_controller(next);
            assert_all_complete(&mut world, &ids, &format!("{standby:?}, step {step}"));
        }
    }
}

#[test]
fn an_owner_paused_beyond_its_lease_resumes_after_a_failover_and_steps_down() {
    for pause_ms in (1000..14_000).step_by(1000) {
        let mut world = SimulatedCluster::with_standby(4, Standby::SameZone);
        world.begin_record_format_v2();
        let ids = submit_batch(&mut world);
        world.run_for(2000);
        let owner = world.owner_of_zone("north");
        // It is paused: neither reads nor renews, and resumes with the view of then.
        let paused = world.controllers[owner].take();
        world.run_for(pause_ms);
        world.controllers[owner] = paused;
        assert_all_complete(&mut world, &ids, &format!("paused for {pause_ms} ms"));
    }
}

#[test]
fn a_permit_of_before_a_failover_decides_nothing_though_nobody_observed_since() {
    let mut scene = expired_owner();
    scene.owner.submit(&mut scene.store, job("job-2", 1), 600);
    scene.owner.observe_failovers(650);
    fail_over(&mut scene.standby, &mut scene.store, 700);
    scene.owner.sync(&scene.store);
    let permits = scene.owner.failovers.permits();
    assert!(permits.get(ShardId(0)).is_some());
    let mut draft = DraftTransaction::default();
    let pass = scene.owner.pass(800);
    reconciliation::reconcile(&pass, &mut draft);
    claims::claim(&pass, &mut draft);
    assert!(draft.is_empty(), "{draft:?}");
}

/// Queues tasks of two jobs at the owner's machine and holds it for a gang.
fn queue_and_reserve(scene: &mut ExpiredOwner) {
    for (id, tasks) in [("job-2", 20), ("job-3", 2)] {
        scene.owner.submit(&mut scene.store, job(id, tasks), 600);
    }
    let mut gang_spec = job("job-4", 8);
    gang_spec.kind = JobKind::Gang;
    scene.owner.submit(&mut scene.store, gang_spec, 600);
    let (queued, cancelled, gang) = (
        scene.owner.job_index("job-2"),
        scene.owner.job_index("job-3"),
        scene.owner.job_index("job-4"),
    );
    let m1 = scene.owner.machine("m1");
    let machine = scene.owner.cluster.machine_mut(m1).unwrap();
    machine.queue.extend([
        QueuedTask::new(queued, 7, MonotonicMillis(600)),
        QueuedTask::new(cancelled, 0, MonotonicMillis(600)),
        QueuedTask::new(queued, 5, MonotonicMillis(600)),
    ]);
    machine.reserve_for(gang, MonotonicMillis(5000));
}

/// Streams what changed until the owner has no more to send; the follower as of then.
fn stream(
    owner: &SimulatedController,
    publisher: &mut Publisher,
    follower: &mut Follower,
    now: u64,
) -> Follower {
    replication::publish_changes(&owner.cluster, NORTH, MonotonicMillis(now), publisher);
    while let Some(message) = publisher.next_message() {
        publisher.receive_response(follower.receive(&message, FencingToken(0)));
    }
    follower.clone()
}

/// One of the queued tasks is no longer to run, and one is queued with the standby already.
fn cancel_one_and_queue_one_with_the_standby(scene: &mut ExpiredOwner) {
    scene.owner.cancel(&mut scene.store, "job-3", 850);
    scene.standby.sync(&scene.store);
    scene
        .standby
        .cluster
        .learn_machine("m1", "oven", "north", true, MonotonicMillis(0));
    let (m1, queued) = (
        scene.standby.machine("m1"),
        scene.standby.job_index("job-2"),
    );
    let machine = scene.standby.cluster.machine_mut(m1).unwrap();
    machine
        .queue
        .push_back(QueuedTask::new(queued, 5, MonotonicMillis(100)));
}

fn restores_queue_and_reservation(scene: &mut ExpiredOwner, follower: &Follower) {
    let m1 = scene.standby.machine("m1");
    let replica = follower.replica_state().expect("no gap");
    let restored = failover::restore_replica(
        &mut scene.standby.cluster,
        NORTH,
        replica,
        MonotonicMillis(900),
    );
    assert_eq!((restored.queued_tasks, restored.reservations), (2, 1));
    let machine = scene.standby.cluster.machine(m1).unwrap();
    let tasks: Vec<u32> = machine.queue.iter().map(|queued| queued.task).collect();
    assert_eq!(tasks, [5, 7, 9]);
    assert_eq!(
        machine
            .decisions
            .reservation
            .map(|reservation| reservation.gang),
        Some(scene.standby.job_index("job-4"))
    );
}

/// What is unchanged is not streamed again, and a machine that is deleted is.
fn streams_a_deletion_only(scene: &mut ExpiredOwner, publisher: &mut Publisher) {
    replication::publish_changes(&scene.owner.cluster, NORTH, MonotonicMillis(900), publisher);
    assert_eq!(publisher.lag(), Some(0));
    let m1 = scene.owner.machine("m1");
    scene.owner.cluster.mark_deleted(m1);
    replication::publish_changes(&scene.owner.cluster, NORTH, MonotonicMillis(900), publisher);
    assert_eq!(publisher.lag(), Some(1));
    assert_eq!(publisher.replica_state().len(), 0);
}

#[test]
fn a_failover_restores_the_queues_and_reservations_that_were_streamed() {
    let mut scene = expired_owner();
    queue_and_reserve(&mut scene);
    // It is streamed in a snapshot, and what changes then in the log tail.
    let mut publisher = Publisher::new(ShardId(0), FencingToken(1), StreamLimits::default());
    let mut follower = Follower::default();
    stream(&scene.owner, &mut publisher, &mut follower, 700);
    let m1 = scene.owner.machine("m1");
    let queued = scene.owner.job_index("job-2");
    let machine = scene.owner.cluster.machine_mut(m1).unwrap();
    machine
        .queue
        .push_back(QueuedTask::new(queued, 9, MonotonicMillis(800)));
    let follower = stream(&scene.owner, &mut publisher, &mut follower, 800);
    cancel_one_and_queue_one_with_the_standby(&mut scene);
    restores_queue_and_reservation(&mut scene, &follower);
    streams_a_deletion_only(&mut scene, &mut publisher);
}

#[test]
fn switching_it_on_controller_by_controller_and_back_at_any_step_loses_nothing() {
    for back_after in 0..=3 {
        let mut world = SimulatedCluster::with_standby(4, Standby::Off);
        world.begin_record_format_v2();
        let mut ids = submit_batch(&mut world);
        let on = (0..back_after).map(|at| (at, Standby::OtherZone));
        let off = (0..back_after).rev().map(|at| (at, Standby::Off));
        for (number, (at, standby)) in on.chain(off).enumerate() {
            world.run_for(2000);
            world.standby = standby;
            world.stop_controller(at);
            world.run_for(1000);
            world.start_controller(at);
            let id = format!("job-2{number}");
            assert!(world.submit((at + 1) % 3, job(&id, 3)));
            ids.push(id);
            world.run_for(3000);
        }
        assert_all_complete(&mut world, &ids, &format!("back after {back_after}"));
    }
}

#[test]
fn operators_see_how_far_each_standby_is() {
    let status = |replication_lag, replica_of_token| ShardStatus {
        shard: 3,
        owner: "stoker-1".into(),
        fencing_token: 41,
        state: "active".into(),
        standby: Some("stoker-2".into()),
        replication_lag,
        replica_of_token,
    };
    let shards = [
        status(Some(0), None),
        status(Some(12), None),
        status(None, Some(40)),
        status(None, None),
    ];
    let response = PeerResponse::ShardStatuses {
        shards: shards.to_vec(),
    };
    let sent = peers::encode(&response).unwrap();
    assert_eq!(peers::decode_response(&sent), Some(response));
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
fn after_a_restart_of_all_controllers_shards_go_straight_to_their_preferred_owners() {
    let (mut store, mut controllers, mut view) = three_controllers(Standby::OtherZone);
    lose_owner_n1(&mut store, &mut controllers);
    // Nobody has been there for long: no standby has followed anyone.
    view.first_seen.clear();
    assert_eq!(successors(&controllers[1..], &view, 10_000), ["n2"]);
}
