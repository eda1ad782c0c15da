//! Tests of the warm standby in the controller: a new owner decides nothing before it has read all
//! decisions of its predecessor.

mod support;

use pointhook::coordination::failover;
use pointhook::coordination::kv::CommitOutcome;
use pointhook::coordination::membership::{MembershipView, ShardMove};
use pointhook::coordination::reconciliation;
use pointhook::coordination::replication;
use pointhook::coordination::scheduler::claims;
use pointhook::coordination::scheduler::draft::DraftTransaction;
use pointhook::observe_command;
use pointhook::protocol::peers::{self, PeerResponse, ShardStatus};
use pointhook::protocol::users::{JobKind, JobSpec};
use pointhook::protocol::workers::FencingToken;
use pointhook::settings::WorkerSettings;
use pointhook::state::cluster_state::KEY_PREFIX;
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

/// An owner that still works although its lease in the key-value store has expired, and a standby
/// that has read the expiry, but no record since.
struct ExpiredOwner {
    store: FakeKvStore,
    owner: SimulatedController,
    standby: SimulatedController,
    worker: FakeWorker,
}

/// An expired owner that has started the task of `job-1` on `m1`.
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

/// Tries to make a controller the owner of the northern shard, and returns the outcome.
fn try_failover(
    controller: &mut SimulatedController,
    store: &mut FakeKvStore,
    now: u64,
) -> CommitOutcome {
    let to = controller.config.controller_name.clone();
    let planned = ShardMove { shard: NORTH, to };
    controller.execute_move(store, &planned, now)
}

/// Makes a controller the owner of the northern shard; fails the test if that is refused.
fn fail_over(controller: &mut SimulatedController, store: &mut FakeKvStore, now: u64) {
    let outcome = try_failover(controller, store, now);
    assert!(
        matches!(outcome, CommitOutcome::Committed(_)),
        "{outcome:?}"
    );
}

#[test]
fn nothing_starts_before_the_records_are_read_up_to_the_fence() {
    let mut fixture = expired_owner();
    // The expired owner still commits the end of the attempt and starts the next one elsewhere.
    let mut other = FakeWorker::new("m2", "north", 0);
    fixture
        .owner
        .exchange_heartbeat(&mut fixture.store, &mut other, 3000);
    fixture
        .owner
        .exchange_heartbeat(&mut fixture.store, &mut fixture.worker, 3500);
    fixture
        .owner
        .exchange_heartbeat(&mut fixture.store, &mut other, 4000);
    assert!(!fixture.worker.has_task("job-1/0") && other.has_task("job-1/0"));
    // The standby raises the token without having read that. In its view the first attempt still
    // has to run on m1.
    fail_over(&mut fixture.standby, &mut fixture.store, 4000);
    let heartbeat = fixture.worker.heartbeat(4500);
    let response = fixture
        .standby
        .receive_heartbeat_without_kv(&heartbeat, 4500)
        .unwrap();
    assert!(response.commands.is_empty(), "{:?}", response.commands);
    assert!(fixture.standby.direct_starts(4500).is_empty());
    assert!(matches!(
        fixture.standby.failovers.state(ShardId(0)),
        FailoverState::CatchingUp { .. }
    ));
    // Once the standby has read the records it decides, and the task stays where it runs.
    fixture.standby.sync(&fixture.store);
    fixture
        .standby
        .exchange_heartbeat(&mut fixture.store, &mut fixture.worker, 5000);
    assert!(matches!(
        fixture.standby.failovers.state(ShardId(0)),
        FailoverState::Active { .. }
    ));
    assert_eq!(fixture.worker.started.len(), 1);
    assert!(other.has_task("job-1/0"));
}

#[test]
fn a_kv_outage_between_fence_and_catch_up_only_delays_the_first_decision() {
    let mut fixture = expired_owner();
    fixture
        .owner
        .submit(&mut fixture.store, job("job-2", 1), 600);
    fail_over(&mut fixture.standby, &mut fixture.store, 700);
    fixture.store.unavailable = true;
    for now in (1000..20_000).step_by(1000) {
        assert!(!fixture.standby.sync(&fixture.store));
        let draft = fixture.standby.draft_plan(now);
        assert!(draft.is_empty() && fixture.standby.direct_starts(now).is_empty());
    }
    fixture.store.unavailable = false;
    fixture.standby.sync(&fixture.store);
    let mut fresh = FakeWorker::new("m3", "north", 0);
    fixture
        .standby
        .exchange_heartbeat(&mut fixture.store, &mut fresh, 20_500);
    assert!(fresh.has_task("job-2/0"));
}

#[test]
fn a_claim_of_the_old_owner_that_is_carried_out_late_is_refused_by_the_fence() {
    let mut fixture = expired_owner();
    fixture
        .owner
        .submit(&mut fixture.store, job("job-2", 1), 600);
    let mut other = FakeWorker::new("m2", "north", 0);
    // The old owner's claim gets no response, and is in flight while the standby raises the token.
    fixture.store.execution_delay_ms = Some(3000);
    fixture
        .owner
        .exchange_heartbeat(&mut fixture.store, &mut other, 1000);
    fixture.store.execution_delay_ms = None;
    fail_over(&mut fixture.standby, &mut fixture.store, 2000);
    fixture.store.execute_delayed(4000);
    fixture.standby.sync(&fixture.store);
    assert!(fixture.standby.job("job-2").placements.is_empty());
    fixture
        .standby
        .exchange_heartbeat(&mut fixture.store, &mut other, 4500);
    assert_eq!(other.started.iter().filter(|s| s.0 == "job-2/0").count(), 1);
}

#[test]
fn a_claim_recorded_without_a_response_is_read_by_the_next_owner() {
    let mut fixture = expired_owner();
    fixture
        .owner
        .submit(&mut fixture.store, job("job-2", 1), 600);
    let mut other = FakeWorker::new("m2", "north", 0);
    fixture.store.drops_responses = true;
    fixture
        .owner
        .exchange_heartbeat(&mut fixture.store, &mut other, 1000);
    fixture.store.drops_responses = false;
    fail_over(&mut fixture.standby, &mut fixture.store, 2000);
    fixture.standby.sync(&fixture.store);
    let claimed = fixture.standby.job("job-2").placements.clone();
    assert_eq!(claimed.len(), 1);
    for worker in [&mut fixture.worker, &mut other] {
        fixture
            .standby
            .exchange_heartbeat(&mut fixture.store, worker, 2500);
    }
    let starts = fixture.worker.started.iter().chain(&other.started);
    let attempts: Vec<u64> = starts
        .filter(|(task, _)| task == "job-2/0")
        .map(|(_, attempt)| *attempt)
        .collect();
    assert_eq!(attempts, [claimed[0].attempt]);
}

#[test]
fn a_superseded_owner_steps_down_once_and_decides_nothing_more() {
    let mut fixture = expired_owner();
    fail_over(&mut fixture.standby, &mut fixture.store, 700);
    fixture.standby.sync(&fixture.store);
    fixture
        .standby
        .exchange_heartbeat(&mut fixture.store, &mut fixture.worker, 1000);
    fixture
        .owner
        .submit(&mut fixture.store, job("job-2", 1), 1100);
    // A worker that has seen the new token sends it to the old owner, which has not read any record
    // since the failover.
    let heartbeat = fixture.worker.heartbeat(1200);
    let before = fixture.owner.failovers.permits().get(ShardId(0)).is_some();
    assert!(before);
    for now in [1200, 1300, 1400] {
        fixture
            .owner
            .reject_stale_token(NORTH, heartbeat.fencing_token.0, now);
    }
    assert_eq!(fixture.owner.stepped_down, [NORTH]);
    assert!(fixture.owner.failovers.permits().get(ShardId(0)).is_none());
    // The old owner reads the records and becomes idle; the shard stays with the new owner.
    fixture.owner.sync(&fixture.store);
    fixture.owner.observe_failovers(1500);
    assert_eq!(
        fixture.owner.failovers.state(ShardId(0)),
        FailoverState::Idle
    );
    assert_eq!(fixture.owner.stepped_down, [NORTH]);
}

#[test]
fn of_two_concurrent_failovers_only_one_succeeds() {
    let mut fixture = expired_owner();
    let mut third =
        SimulatedController::start_as("n3", 3, Standby::SameZone, &mut fixture.store, 0);
    fixture.standby.sync(&fixture.store);
    fail_over(&mut fixture.standby, &mut fixture.store, 700);
    assert!(matches!(
        try_failover(&mut third, &mut fixture.store, 700),
        CommitOutcome::Conflict(_)
    ));
    assert_eq!(third.failovers.state(ShardId(0)), FailoverState::Suspecting);
    for controller in [&mut fixture.standby, &mut third] {
        controller.sync(&fixture.store);
        controller.observe_failovers(800);
    }
    assert!(fixture
        .standby
        .failovers
        .permits()
        .get(ShardId(0))
        .is_some());
    assert!(third.failovers.permits().get(ShardId(0)).is_none());
}

#[test]
fn a_standby_that_ends_between_fence_and_catch_up_is_followed_by_another() {
    let mut fixture = expired_owner();
    let mut third =
        SimulatedController::start_as("n3", 3, Standby::SameZone, &mut fixture.store, 0);
    fixture.standby.sync(&fixture.store);
    fail_over(&mut fixture.standby, &mut fixture.store, 700);
    fixture.store.revoke_lease(fixture.standby.lease);
    third.sync(&fixture.store);
    fail_over(&mut third, &mut fixture.store, 900);
    third.sync(&fixture.store);
    third.exchange_heartbeat(&mut fixture.store, &mut fixture.worker, 1000);
    assert_eq!(fixture.worker.started.len(), 1);
    let permit = third.failovers.permits().get(ShardId(0)).expect("a permit");
    assert_eq!(
        permit.fencing_token(),
        third.cluster.shards[0].record.fencing_token
    );
}

/// Controllers n1 and n2 in the north and s1 in the south, all alive for long enough for any role.
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

/// Names of the controllers that would take the northern shard now.
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

/// Makes `n1` the owner of the northern shard, and lets its lease expire.
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
fn only_the_standby_chosen_by_the_zone_preference_takes_the_shard() {
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
    // The standby s1 may not take the shard, for example because its settings name another standby.
    let since = MonotonicMillis(10_000);
    view.ownerless_since.insert(NORTH, since);
    assert_eq!(successors(&controllers[1..], &view, 12_000), ["s1"]);
    assert_eq!(successors(&controllers[1..], &view, 12_500), ["n2"]);
}

#[test]
fn controllers_without_the_feature_are_no_standbys() {
    let (mut store, mut controllers, view) = three_controllers(Standby::SameZone);
    // n2 is replaced by a process of a version without the feature.
    store.revoke_lease(controllers[1].lease);
    controllers[1] = SimulatedController::start("n2", 9, &mut store, 0);
    lose_owner_n1(&mut store, &mut controllers);
    assert_eq!(successors(&controllers[2..], &view, 10_000), ["s1"]);
}

#[test]
fn the_standby_version_is_stored_only_if_the_feature_is_enabled() {
    for (standby, stored) in [(Standby::Off, false), (Standby::SameZone, true)] {
        let mut store = FakeKvStore::default();
        SimulatedController::start_as("n1", 7, standby, &mut store, 0);
        let entry = store.entry(&format!("{KEY_PREFIX}node/n1")).unwrap();
        let fields = entry.v.as_map().unwrap().iter();
        let names: Vec<&str> = fields.filter_map(|(k, _)| k.as_str()).collect();
        assert_eq!(names.contains(&"w"), stored, "{names:?}");
    }
}

#[test]
fn the_failover_bound_lists_its_phases() {
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

/// Submits a batch of arrays, a gang and a job that depends on others, for machines of both zones.
/// Returns the ids of the jobs.
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

/// Runs the cluster until the jobs have had time to complete, and checks that all did and that no
/// invariant was violated.
fn assert_all_complete(cluster: &mut SimulatedCluster, ids: &[String], case: &str) {
    cluster.run_for(90_000);
    assert!(
        cluster.unfinished().is_empty(),
        "{case}: {:#?}",
        cluster.unfinished()
    );
    cluster.assert_no_violations();
    for id in ids {
        assert!(cluster.completed(id), "{case}: {id}");
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
            let owner = cluster.owner_of_zone("north");
            cluster.stop_controller(owner);
            cluster.run_for(15_000);
            // The next owner is stopped as well.
            let next = cluster.owner_of_zone("north");
            assert_ne!(next, owner);
            cluster.stop_controller(next);
            cluster.run_for(15_000);
            cluster.start_controller(owner);
            cluster.start_controller(next);
            assert_all_complete(&mut cluster, &ids, &format!("{standby:?}, step {step}"));
        }
    }
}

#[test]
fn an_owner_paused_beyond_its_lease_resumes_after_a_failover_and_steps_down() {
    for pause_ms in (1000..14_000).step_by(1000) {
        let mut cluster = SimulatedCluster::with_standby(4, Standby::SameZone);
        cluster.begin_record_format_v2();
        let ids = submit_batch(&mut cluster);
        cluster.run_for(2000);
        let owner = cluster.owner_of_zone("north");
        // While paused, the owner neither reads nor renews its lease. It resumes with the view that
        // it had before the pause.
        let paused = cluster.controllers[owner].take();
        cluster.run_for(pause_ms);
        cluster.controllers[owner] = paused;
        assert_all_complete(&mut cluster, &ids, &format!("paused for {pause_ms} ms"));
    }
}

#[test]
fn a_permit_from_before_a_failover_decides_nothing_even_without_a_new_observation() {
    let mut fixture = expired_owner();
    fixture
        .owner
        .submit(&mut fixture.store, job("job-2", 1), 600);
    fixture.owner.observe_failovers(650);
    fail_over(&mut fixture.standby, &mut fixture.store, 700);
    fixture.owner.sync(&fixture.store);
    let permits = fixture.owner.failovers.permits();
    assert!(permits.get(ShardId(0)).is_some());
    let mut draft = DraftTransaction::default();
    let pass = fixture.owner.pass(800);
    reconciliation::reconcile(&pass, &mut draft);
    claims::claim(&pass, &mut draft);
    assert!(draft.is_empty(), "{draft:?}");
}

/// Queues tasks of two jobs on the owner's machine and reserves the machine for a gang.
fn queue_and_reserve(fixture: &mut ExpiredOwner) {
    for (id, tasks) in [("job-2", 20), ("job-3", 2)] {
        fixture
            .owner
            .submit(&mut fixture.store, job(id, tasks), 600);
    }
    let mut gang_spec = job("job-4", 8);
    gang_spec.kind = JobKind::Gang;
    fixture.owner.submit(&mut fixture.store, gang_spec, 600);
    let (queued, cancelled, gang) = (
        fixture.owner.job_index("job-2"),
        fixture.owner.job_index("job-3"),
        fixture.owner.job_index("job-4"),
    );
    let m1 = fixture.owner.machine("m1");
    let machine = fixture.owner.cluster.machine_mut(m1).unwrap();
    machine.queue.extend([
        QueuedTask::new(queued, 7, MonotonicMillis(600)),
        QueuedTask::new(cancelled, 0, MonotonicMillis(600)),
        QueuedTask::new(queued, 5, MonotonicMillis(600)),
    ]);
    machine.reserve_for(gang, MonotonicMillis(5000));
}

/// Publishes the owner's changes and delivers all messages. Returns a copy of the follower.
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

/// Cancels the job of one queued task, and queues another of the tasks on the standby beforehand.
fn cancel_one_and_queue_one_with_the_standby(fixture: &mut ExpiredOwner) {
    fixture.owner.cancel(&mut fixture.store, "job-3", 850);
    fixture.standby.sync(&fixture.store);
    fixture
        .standby
        .cluster
        .learn_machine("m1", "oven", "north", true, MonotonicMillis(0));
    let (m1, queued) = (
        fixture.standby.machine("m1"),
        fixture.standby.job_index("job-2"),
    );
    let machine = fixture.standby.cluster.machine_mut(m1).unwrap();
    machine
        .queue
        .push_back(QueuedTask::new(queued, 5, MonotonicMillis(100)));
}

/// Checks that the queue and the reservation are restored from what the follower received.
fn assert_restores_queue_and_reservation(fixture: &mut ExpiredOwner, follower: &Follower) {
    let m1 = fixture.standby.machine("m1");
    let replica = follower.replica_state().expect("a complete state");
    let restored = failover::restore_replica(
        &mut fixture.standby.cluster,
        NORTH,
        replica,
        MonotonicMillis(900),
    );
    assert_eq!((restored.queued_tasks, restored.reservations), (2, 1));
    let machine = fixture.standby.cluster.machine(m1).unwrap();
    let tasks: Vec<u32> = machine.queue.iter().map(|queued| queued.task).collect();
    assert_eq!(tasks, [5, 7, 9]);
    assert_eq!(
        machine
            .decisions
            .reservation
            .map(|reservation| reservation.gang),
        Some(fixture.standby.job_index("job-4"))
    );
}

/// Checks that unchanged machines are not streamed again, and that a deletion is streamed.
fn assert_streams_only_a_deletion(fixture: &mut ExpiredOwner, publisher: &mut Publisher) {
    replication::publish_changes(
        &fixture.owner.cluster,
        NORTH,
        MonotonicMillis(900),
        publisher,
    );
    assert_eq!(publisher.lag(), Some(0));
    let m1 = fixture.owner.machine("m1");
    fixture.owner.cluster.mark_deleted(m1);
    replication::publish_changes(
        &fixture.owner.cluster,
        NORTH,
        MonotonicMillis(900),
        publisher,
    );
    assert_eq!(publisher.lag(), Some(1));
    assert_eq!(publisher.replica_state().len(), 0);
}

#[test]
fn a_failover_restores_the_queues_and_reservations_that_were_streamed() {
    let mut fixture = expired_owner();
    queue_and_reserve(&mut fixture);
    // The state is streamed in a snapshot, and later changes in the log tail.
    let mut publisher = Publisher::new(ShardId(0), FencingToken(1), StreamLimits::default());
    let mut follower = Follower::default();
    stream(&fixture.owner, &mut publisher, &mut follower, 700);
    let m1 = fixture.owner.machine("m1");
    let queued = fixture.owner.job_index("job-2");
    let machine = fixture.owner.cluster.machine_mut(m1).unwrap();
    machine
        .queue
        .push_back(QueuedTask::new(queued, 9, MonotonicMillis(800)));
    let follower = stream(&fixture.owner, &mut publisher, &mut follower, 800);
    cancel_one_and_queue_one_with_the_standby(&mut fixture);
    assert_restores_queue_and_reservation(&mut fixture, &follower);
    assert_streams_only_a_deletion(&mut fixture, &mut publisher);
}

#[test]
fn enabling_the_standby_controller_by_controller_and_reverting_after_any_step_loses_nothing() {
    for enabled_controllers in 0..=3 {
        let mut cluster = SimulatedCluster::with_standby(4, Standby::Off);
        cluster.begin_record_format_v2();
        let mut ids = submit_batch(&mut cluster);
        let on = (0..enabled_controllers).map(|at| (at, Standby::OtherZone));
        let off = (0..enabled_controllers).rev().map(|at| (at, Standby::Off));
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
        let case = format!("reverted after {enabled_controllers} controllers");
        assert_all_complete(&mut cluster, &ids, &case);
    }
}

#[test]
fn operators_see_the_replication_lag_of_each_standby() {
    let status = |replication_lag, replica_of_token| ShardStatus {
        shard: 3,
        owner: "controller-1".into(),
        fencing_token: 41,
        state: "active".into(),
        standby: Some("controller-2".into()),
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
        assert!(line.starts_with("3      controller-1"), "{line}");
        assert!(line.ends_with(end), "{line}");
    }
}

#[test]
fn after_a_restart_of_all_controllers_shards_go_directly_to_their_preferred_owners() {
    let (mut store, mut controllers, mut view) = three_controllers(Standby::OtherZone);
    lose_owner_n1(&mut store, &mut controllers);
    // No controller has been alive for long enough to have followed an owner.
    view.first_seen.clear();
    assert_eq!(successors(&controllers[1..], &view, 10_000), ["n2"]);
}
