//! Scalability: fleets of hundreds of machines and jobs of hundreds of tasks.

mod support;

use pointhook::coordination::controller::finish_times;
use pointhook::coordination::heartbeats;
use pointhook::coordination::peer_messages::status_updates;
use pointhook::coordination::reconciliation;
use pointhook::coordination::scheduler::binding::{self, QueueBinding};
use pointhook::coordination::scheduler::claims;
use pointhook::coordination::scheduler::draft;
use pointhook::coordination::scheduler::gang_reservations::gang_reservations;
use pointhook::coordination::scheduler::job_order::{self, SchedulingTier};
use pointhook::coordination::scheduler::write_budget::WriteBudget;
use pointhook::protocol::peers::{self, MachineStatus, PeerRequest};
use pointhook::protocol::users::{JobKind, Priority};
use pointhook::protocol::workers::TaskState;
use pointhook::settings::Objective;
use pointhook::state::job::JobState;
use pointhook::state::machine::TaskAttempt;
use pointhook::state::units::{MonotonicMillis, Resources};
use support::job;
use support::kv_store::FakeKvStore;
use support::simulated_controller::{run_heartbeats, start_single_controller, SimulatedController};
use support::worker::FakeWorker;

/// Adds machines that have just sent a heartbeat.
fn fleet(controller: &mut SimulatedController, n: usize) {
    for i in 0..n {
        let name = format!("m{i:03}");
        let machine = controller
            .cluster
            .learn_machine(&name, "oven", "north", true, MonotonicMillis(0))
            .unwrap();
        controller
            .cluster
            .machine_mut(machine)
            .unwrap()
            .heartbeat
            .last_seen = Some(MonotonicMillis(0));
    }
}

#[test]
fn a_task_finds_the_one_machine_of_hundreds_that_has_its_image() {
    let (mut store, mut controller) = start_single_controller();
    fleet(&mut controller, 400);
    controller.submit(&mut store, job("job-1", 1), 0);
    let image = controller.job("job-1").spec.as_ref().unwrap().image;
    let warm = controller.machine("m333");
    controller
        .cluster
        .machine_mut(warm)
        .unwrap()
        .use_image(image, 1.0, 100.0);
    let job_index = controller.job_index("job-1");
    for _ in 0..20 {
        assert_eq!(
            binding::bind(
                &controller.cluster,
                &controller.config,
                job_index,
                MonotonicMillis(10),
                10
            ),
            [QueueBinding {
                task: 0,
                machine: warm
            }]
        );
    }
}

#[test]
fn incremental_totals_equal_those_of_the_records() {
    let mut store = FakeKvStore::default();
    let mut controller = SimulatedController::start("n1", 1, &mut store, 0);
    controller.apply_membership_moves(&mut store, 0);
    fleet(&mut controller, 8);
    let mut spec = job("job-1", 12);
    spec.team = "mixers".into();
    controller.submit(&mut store, spec, 0);
    controller.submit(&mut store, job("job-2", 20), 0);
    controller.run_planner(&mut store, 10);
    controller.cancel(&mut store, "job-2", 20);
    let mut placed = 0;
    for (machine, m) in controller.cluster.all_machines() {
        let mut free = controller.cluster.machine_types[&m.machine_type].capacity;
        for (job_index, j) in controller.cluster.active_jobs() {
            for p in j.placements.iter().filter(|p| p.machine == machine) {
                free = free.minus(j.spec.as_ref().unwrap().need);
                assert!(controller
                    .cluster
                    .placed_on(machine)
                    .contains(&TaskAttempt::new(job_index, p.task, p.attempt)));
                placed += 1;
            }
        }
        assert_eq!(
            controller.cluster.free_capacity()[machine.0 as usize],
            Some(free)
        );
    }
    assert!(placed > 10);
    let need = Resources::new(4.0, 1.0, 8.0);
    let team = controller.cluster.team_names.find("mixers").unwrap();
    let n = controller.job("job-1").placements.len() as i64;
    assert_eq!(controller.cluster.quota_used(team), need.quota().times(n));
    assert_eq!(n, 2);
}

#[test]
fn a_wide_job_with_time_left_starts_within_two_minutes_of_smaller_ones() {
    let (mut store, mut controller) = start_single_controller();
    // Its deadline is far off, so it is in time all the while; smaller jobs keep coming.
    controller.submit(&mut store, due("job-1", 200, 900.0), 0);
    for t in 100..130u64 {
        controller.submit(&mut store, due(&format!("job-{t}"), 2, 900.0), t * 1000);
        let first = order(&controller, t * 1000).swap_remove(0);
        assert_eq!(first == "job-1", t >= 120, "at {t} s");
    }
}

fn order(controller: &SimulatedController, wall: u64) -> Vec<String> {
    let draft = draft::DraftTransaction::default();
    let jobs = job_order::waiting_jobs(&controller.pass(wall), &draft);
    let names = jobs.iter().map(|worker| {
        controller.cluster.jobs[worker.job_index.0 as usize]
            .id
            .to_string()
    });
    names.collect()
}

fn due(id: &str, tasks: u32, deadline_s: f64) -> pointhook::protocol::users::JobSpec {
    let mut spec = job(id, tasks);
    spec.deadline_s = Some(deadline_s);
    spec
}

#[test]
fn among_jobs_that_can_meet_their_deadline_the_smaller_goes_first() {
    let (mut store, mut controller) = start_single_controller();
    controller.submit(&mut store, due("job-1", 100, 100.0), 0);
    controller.submit(&mut store, due("job-2", 5, 100.0), 1000);
    controller.submit(&mut store, due("job-3", 6, 100.0), 2000);
    assert_eq!(order(&controller, 3000), ["job-2", "job-3", "job-1"]);
}

#[test]
fn a_late_wide_job_is_not_starved_by_younger_and_smaller_ones() {
    let (mut store, mut controller) = start_single_controller();
    controller.submit(&mut store, due("job-1", 200, 60.0), 0);
    // Every second a small job comes that can be in time.
    let mut first = 0;
    for t in 1..=40u64 {
        controller.submit(
            &mut store,
            due(&format!("job-{}", t + 1), 2, 60.0),
            55_000 + t * 1000,
        );
        let turn = order(&controller, 55_000 + t * 1000);
        first += u32::from(turn[0] == "job-1");
    }
    // One second of five is its own although it is late all the while.
    assert_eq!(first, 8);
    // Before two minutes are over its first task goes first in any second.
    for t in 120..125u64 {
        controller.submit(
            &mut store,
            due(&format!("job-{}", t + 1), 2, 60.0),
            t * 1000,
        );
        assert_eq!(order(&controller, t * 1000)[0], "job-1");
    }
}

#[test]
fn a_wide_gang_starts_amid_steady_small_jobs() {
    let (mut store, mut controller) = start_single_controller();
    let mut workers: Vec<FakeWorker> = (0..4)
        .map(|i| FakeWorker::new(&format!("m{i}"), "north", 0))
        .collect();
    let mut gang = job("job-1000", 3);
    gang.kind = JobKind::Gang;
    gang.vcpus = 16.0;
    let mut begun = None;
    for now in (0..120_000u64).step_by(500) {
        // More small work than the machines can run, all the time.
        controller.submit(&mut store, job(&format!("job-{}", now / 500), 2), now);
        if now == 10_000 {
            controller.submit(&mut store, gang.clone(), now);
        }
        for reservation in gang_reservations(
            &controller.cluster,
            &controller.config,
            MonotonicMillis(now),
            now,
        ) {
            let (gang, until) = (reservation.job, MonotonicMillis(now + 4000));
            for machine in reservation.machines {
                controller
                    .cluster
                    .machine_mut(machine)
                    .unwrap()
                    .reserve_for(gang, until);
            }
        }
        for (i, worker) in workers.iter_mut().enumerate() {
            // No two tasks end together, so that a machine is never empty by chance.
            worker.run_ms = 3000 + (now / 500 * 7 + i as u64 * 3) % 11 * 500;
            controller.exchange_heartbeat(&mut store, worker, now);
        }
        let placed = controller
            .cluster
            .job("job-1000")
            .map(|j| j.1.placements.len());
        if begun.is_none() && placed == Some(3) {
            begun = Some(now);
        }
    }
    // It comes after ten seconds, its reservation begins after five more, and what runs then ends.
    assert!(begun.is_some_and(|at| at < 30_000), "began at {begun:?}");
}

#[test]
fn a_job_as_wide_as_the_largest_arrays_runs_whole_within_one_record() {
    let mut store = FakeKvStore::default();
    store.max_value_bytes = 8 * 1024;
    let mut controller = SimulatedController::start("n1", 1, &mut store, 0);
    controller.apply_membership_moves(&mut store, 0);
    fleet(&mut controller, 40);
    controller.submit(&mut store, job("job-1", 80), 0);
    controller.run_planner(&mut store, 10);
    assert_eq!(controller.job("job-1").placements.len(), 80);
}

#[test]
fn status_updates_of_a_large_fleet_fit_their_frames() {
    let machine = |i: usize| MachineStatus {
        name: format!("n-{i:06}"),
        addr: format!("10.11.{}.{}:9000", i / 250, i % 250),
        machine_type: "a-rather-long-machine-type".into(),
        zone: "a-rather-long-zone".into(),
        spot: true,
        silent_ms: 1,
        has_sent_heartbeat: true,
        fencing_token_confirmed: true,
        queue_length: 2,
        cordoned: false,
        quarantined: false,
    };
    let all: Vec<MachineStatus> = (0..1000).map(machine).collect();
    let sender = status_updates::SenderStatus {
        name: "node",
        kv_reachable: true,
        workers_reachable: true,
    };
    let requests = status_updates::status_requests(&sender, &all);
    let mut received = 0;
    for a in &requests {
        assert!(peers::encode(a).unwrap().len() < peers::MAX_FRAME);
        let PeerRequest::Status { machines, .. } = a else {
            panic!("news")
        };
        received += machines.len();
    }
    assert_eq!(received, 1000);
    // A controller without machines still broadcasts that it is there.
    assert_eq!(status_updates::status_requests(&sender, &[]).len(), 1);
}

#[test]
fn the_loss_of_hundreds_of_machines_costs_one_write_per_job() {
    let (mut store, mut controller) = start_single_controller();
    fleet(&mut controller, 300);
    for i in 0..12 {
        controller.submit(&mut store, job(&format!("job-{i}"), 60), 0);
    }
    controller.run_planner(&mut store, 10);
    let placed = |controller: &SimulatedController| -> usize {
        controller
            .cluster
            .active_jobs()
            .map(|(_, j)| j.placements.len())
            .sum()
    };
    assert_eq!(placed(&controller), 720);
    let machines: Vec<_> = controller.cluster.occupied().collect();
    assert!(machines.len() >= 180);
    for m in &machines {
        controller.cluster.mark_deleted(*m);
    }
    let mut changes = 0;
    loop {
        let mut d = draft::DraftTransaction::default();
        reconciliation::reconcile(&controller.pass(20), &mut d);
        if d.is_empty() {
            break;
        }
        changes += d.jobs.len();
        let txn = pointhook::coordination::kv::transaction(&controller.cluster, &d);
        let out = SimulatedController::commit(&mut store, &txn, 20);
        pointhook::coordination::kv::apply_outcome(&mut controller.cluster, &d, &out);
    }
    assert_eq!((placed(&controller), changes), (0, 12));
}

#[test]
fn array_exits_are_batched_except_the_last_and_their_capacity_is_free_at_once() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 2000;
    controller.submit(&mut store, job("job-1", 4), 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 1500);
    assert_eq!(controller.job("job-1").placements.len(), 4);
    let later = |controller: &SimulatedController, now| {
        let mut d = draft::DraftTransaction::batching(true);
        reconciliation::reconcile(&controller.pass(now), &mut d);
        claims::claim(&controller.pass(now), &mut d);
        d
    };
    // Three of four are done: nothing is written yet, but urgent work has their capacity.
    let mut heartbeat = worker.heartbeat(4000);
    heartbeat.tasks[3].state = TaskState::Running;
    heartbeat.tasks[3].exit_reason = None;
    let take = |controller: &mut SimulatedController, heartbeat| {
        heartbeats::receive(
            &mut controller.cluster,
            &controller.config,
            heartbeat,
            10_000,
            MonotonicMillis(4000),
        )
    };
    take(&mut controller, &heartbeat);
    assert!(later(&controller, 4000).is_empty());
    let mut urgent = job("job-2", 3);
    urgent.priority = Priority::High;
    controller.submit(&mut store, urgent, 4000);
    controller.submit(&mut store, job("job-3", 1), 4000);
    let d = later(&controller, 4010);
    assert_eq!(d.claims.len(), 3);
    assert!(d
        .claims
        .iter()
        .all(|claim| claim.job == controller.job_index("job-2")));
    // Once the last is done as well, the job's end is written at once, with all of them.
    let heartbeat = worker.heartbeat(5000);
    take(&mut controller, &heartbeat);
    let d = later(&controller, 5000);
    assert_eq!(d.jobs[&controller.job_index("job-1")].state, JobState::Done);
}

#[test]
fn array_updates_are_batched_longer_near_the_write_limit() {
    let passes = |a_second: u64| {
        let mut write_budget = WriteBudget::default();
        let (mut total, mut now, mut whole) = (0, 0, 0);
        while now < 20_000 {
            whole +=
                u32::from(!write_budget.batch_array_updates(MonotonicMillis(now), total, 70.0));
            now += 100;
            total = a_second * now / 1000;
            assert!(write_budget.planner_sleep_ms(MonotonicMillis(now)) <= 700);
        }
        whole
    };
    assert_eq!(passes(20), 200);
    assert!(passes(50) < 100);
    // At the limit once a second, and never less often.
    assert!((20..60).contains(&passes(90)));
}

#[test]
fn a_deleted_machine_leaves_nothing_behind_but_its_name() {
    let (_, mut controller) = start_single_controller();
    fleet(&mut controller, 2000);
    for i in 0..1990 {
        let machine = controller.machine(&format!("m{i:03}"));
        controller.cluster.mark_deleted(machine);
    }
    assert_eq!(controller.cluster.all_machines().count(), 10);
    // Delayed lists and heartbeats revive none.
    let again = controller
        .cluster
        .learn_machine("m005", "oven", "north", true, MonotonicMillis(9));
    assert!(again.is_none());
    assert_eq!(controller.cluster.all_machines().count(), 10);
}

#[test]
fn a_job_that_missed_one_of_several_deadlines_still_meets_the_last() {
    let (mut store, mut controller) = start_single_controller();
    let times = [350.0, 150.0, 250.0].map(|t| Objective {
        kind: "finished".into(),
        class: Some("bake".into()),
        within_s: Some(t),
    });
    controller.config.completion_targets = finish_times(&times);
    assert_eq!(
        controller.config.completion_targets["bake"],
        [150_000, 250_000, 350_000]
    );
    let mut controller = begun_at_once(controller, &mut store, "job-1", 40);
    // Younger work keeps coming that can make the first time.
    let tier = |controller: &SimulatedController, age: u64| {
        let job = controller.job("job-1");
        job_order::scheduling_tier(
            &controller.config,
            job,
            job.spec.as_ref().unwrap(),
            age * 1000 + 1,
        )
    };
    assert_eq!(tier(&controller, 100), SchedulingTier::OnTime);
    // It can't make 150 s any more, but the last: it goes first before that is in doubt.
    assert_eq!(tier(&controller, 141), SchedulingTier::First);
    assert_eq!(tier(&controller, 300), SchedulingTier::First);
    // Once that is gone too, it goes behind, but for one second of five.
    assert_eq!(tier(&controller, 341), SchedulingTier::MissesAllTargets);
    assert_eq!(tier(&controller, 345), SchedulingTier::First);
    // With a deadline of its own that it missed early, it is patient for a while.
    controller
        .config
        .completion_targets
        .insert("bake".into(), vec![350_000]);
    let mut spec = due("job-2", 40, 60.0);
    spec.class = "bake".into();
    controller.submit(&mut store, spec, 1);
    controller.run_planner(&mut store, 10);
    let job = controller.job("job-2");
    let at = |age: u64| {
        job_order::scheduling_tier(
            &controller.config,
            job,
            job.spec.as_ref().unwrap(),
            age * 1000 + 1,
        )
    };
    assert!(!job.placements.is_empty());
    assert_eq!(at(40), SchedulingTier::OnTime);
    assert_eq!(at(61), SchedulingTier::MissesFirstTarget);
    assert_eq!(at(139), SchedulingTier::MissesFirstTarget);
    assert_eq!(at(140), SchedulingTier::First);
}

/// Adds machines and a job of which some tasks have begun.
fn begun_at_once(
    mut controller: SimulatedController,
    store: &mut FakeKvStore,
    id: &str,
    tasks: u32,
) -> SimulatedController {
    fleet(&mut controller, 15);
    controller.submit(store, job(id, tasks), 1);
    controller.run_planner(store, 10);
    assert!(!controller.job(id).placements.is_empty());
    controller
}
