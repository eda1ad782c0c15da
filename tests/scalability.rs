//! Scalability: fleets of hundreds of machines and jobs of hundreds of tasks.

mod support;

use pointhook::coordination::controller::completion_targets;
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
fn add_machines(controller: &mut SimulatedController, count: usize) {
    for number in 0..count {
        let name = format!("m{number:03}");
        let machine_index = controller
            .cluster
            .learn_machine(&name, "oven", "north", true, MonotonicMillis(0))
            .unwrap();
        controller
            .cluster
            .machine_mut(machine_index)
            .unwrap()
            .heartbeat
            .last_seen = Some(MonotonicMillis(0));
    }
}

#[test]
fn a_task_finds_the_one_machine_of_hundreds_that_has_its_image() {
    let (mut store, mut controller) = start_single_controller();
    add_machines(&mut controller, 400);
    controller.submit(&mut store, job("job-1", 1), 0);
    let image = controller.job("job-1").spec.as_ref().unwrap().image;
    let with_image = controller.machine("m333");
    controller
        .cluster
        .machine_mut(with_image)
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
                machine: with_image
            }]
        );
    }
}

#[test]
fn incremental_totals_equal_those_of_the_records() {
    let mut store = FakeKvStore::default();
    let mut controller = SimulatedController::start("n1", 1, &mut store, 0);
    controller.apply_membership_moves(&mut store, 0);
    add_machines(&mut controller, 8);
    let mut spec = job("job-1", 12);
    spec.team = "mixers".into();
    controller.submit(&mut store, spec, 0);
    controller.submit(&mut store, job("job-2", 20), 0);
    controller.run_planner(&mut store, 10);
    controller.cancel(&mut store, "job-2", 20);
    let mut placed = 0;
    for (machine_index, machine) in controller.cluster.all_machines() {
        let mut free = controller.cluster.machine_types[&machine.machine_type].capacity;
        for (job_index, job) in controller.cluster.active_jobs() {
            let placements = job.placements.iter();
            for placement in placements.filter(|p| p.machine == machine_index) {
                free = free.minus(job.spec.as_ref().unwrap().need);
                let attempt = TaskAttempt::new(job_index, placement.task, placement.attempt);
                assert!(controller
                    .cluster
                    .placed_on(machine_index)
                    .contains(&attempt));
                placed += 1;
            }
        }
        assert_eq!(
            controller.cluster.free_capacity()[machine_index.0 as usize],
            Some(free)
        );
    }
    assert!(placed > 10);
    let need = Resources::new(4.0, 1.0, 8.0);
    let team = controller.cluster.team_names.find("mixers").unwrap();
    let placed_of_team = controller.job("job-1").placements.len() as i64;
    assert_eq!(
        controller.cluster.quota_used(team),
        need.quota().times(placed_of_team)
    );
    assert_eq!(placed_of_team, 2);
}

#[test]
fn a_wide_job_with_time_left_starts_within_two_minutes_of_smaller_ones() {
    let (mut store, mut controller) = start_single_controller();
    // The wide job's deadline is so far off that the job stays on time. A smaller job is submitted
    // every second.
    controller.submit(&mut store, job_due_within("job-1", 200, 900.0), 0);
    for second in 100..130u64 {
        let smaller = job_due_within(&format!("job-{second}"), 2, 900.0);
        controller.submit(&mut store, smaller, second * 1000);
        let first = waiting_job_ids(&controller, second * 1000).swap_remove(0);
        assert_eq!(first == "job-1", second >= 120, "at {second} s");
    }
}

/// Ids of the waiting jobs in scheduling order.
fn waiting_job_ids(controller: &SimulatedController, now: u64) -> Vec<String> {
    let draft = draft::DraftTransaction::default();
    let jobs = job_order::waiting_jobs(&controller.pass(now), &draft);
    let ids = jobs.iter().map(|waiting| {
        controller.cluster.jobs[waiting.job_index.0 as usize]
            .id
            .to_string()
    });
    ids.collect()
}

fn job_due_within(id: &str, tasks: u32, deadline_s: f64) -> pointhook::protocol::users::JobSpec {
    let mut spec = job(id, tasks);
    spec.deadline_s = Some(deadline_s);
    spec
}

#[test]
fn among_jobs_that_can_meet_their_deadline_the_smaller_is_scheduled_first() {
    let (mut store, mut controller) = start_single_controller();
    controller.submit(&mut store, job_due_within("job-1", 100, 100.0), 0);
    controller.submit(&mut store, job_due_within("job-2", 5, 100.0), 1000);
    controller.submit(&mut store, job_due_within("job-3", 6, 100.0), 2000);
    assert_eq!(
        waiting_job_ids(&controller, 3000),
        ["job-2", "job-3", "job-1"]
    );
}

#[test]
fn a_late_wide_job_is_not_starved_by_younger_and_smaller_ones() {
    let (mut store, mut controller) = start_single_controller();
    controller.submit(&mut store, job_due_within("job-1", 200, 60.0), 0);
    // Every second a small job is submitted that can meet its deadline.
    let mut seconds_first = 0;
    for second in 56..=95u64 {
        let small = job_due_within(&format!("job-{second}"), 2, 60.0);
        controller.submit(&mut store, small, second * 1000);
        let ids = waiting_job_ids(&controller, second * 1000);
        seconds_first += u32::from(ids[0] == "job-1");
    }
    // The late job is scheduled first in one of every five seconds.
    assert_eq!(seconds_first, 8);
    // After two minutes its first task is scheduled before all other jobs in every second.
    for second in 120..125u64 {
        let small = job_due_within(&format!("job-{second}"), 2, 60.0);
        controller.submit(&mut store, small, second * 1000);
        assert_eq!(waiting_job_ids(&controller, second * 1000)[0], "job-1");
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
    let mut started_at = None;
    for now in (0..120_000u64).step_by(500) {
        // Small jobs always demand more than the machines can run.
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
        for (worker_number, worker) in workers.iter_mut().enumerate() {
            // Tasks end at different times, so that a machine does not become empty by chance.
            worker.run_ms = 3000 + (now / 500 * 7 + worker_number as u64 * 3) % 11 * 500;
            controller.exchange_heartbeat(&mut store, worker, now);
        }
        let placed = controller
            .cluster
            .job("job-1000")
            .map(|j| j.1.placements.len());
        if started_at.is_none() && placed == Some(3) {
            started_at = Some(now);
        }
    }
    // The gang is submitted after ten seconds. Machines are reserved for it five seconds later, and
    // it starts once the tasks that run on them have ended.
    assert!(
        started_at.is_some_and(|at| at < 30_000),
        "started at {started_at:?}"
    );
}

#[test]
fn all_placements_of_a_wide_job_fit_into_one_record() {
    let mut store = FakeKvStore::default();
    store.max_value_bytes = 8 * 1024;
    let mut controller = SimulatedController::start("n1", 1, &mut store, 0);
    controller.apply_membership_moves(&mut store, 0);
    add_machines(&mut controller, 40);
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
    for request in &requests {
        assert!(peers::encode(request).unwrap().len() < peers::MAX_FRAME);
        let PeerRequest::Status { machines, .. } = request else {
            panic!("a request that is no status update")
        };
        received += machines.len();
    }
    assert_eq!(received, 1000);
    // A controller without machines still sends one status update, which shows that it is alive.
    assert_eq!(status_updates::status_requests(&sender, &[]).len(), 1);
}

#[test]
fn the_loss_of_hundreds_of_machines_costs_one_write_per_job() {
    let (mut store, mut controller) = start_single_controller();
    add_machines(&mut controller, 300);
    for number in 0..12 {
        controller.submit(&mut store, job(&format!("job-{number}"), 60), 0);
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
    let machines: Vec<_> = controller.cluster.occupied_machines().collect();
    assert!(machines.len() >= 180);
    for machine in &machines {
        controller.cluster.mark_deleted(*machine);
    }
    let mut changes = 0;
    loop {
        let mut draft = draft::DraftTransaction::default();
        reconciliation::reconcile(&controller.pass(20), &mut draft);
        if draft.is_empty() {
            break;
        }
        changes += draft.jobs.len();
        let transaction = pointhook::coordination::kv::transaction(&controller.cluster, &draft);
        let outcome = SimulatedController::commit(&mut store, &transaction, 20);
        pointhook::coordination::kv::apply_outcome(&mut controller.cluster, &draft, &outcome);
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
    let batching_draft = |controller: &SimulatedController, now| {
        let mut draft = draft::DraftTransaction::batching(true);
        reconciliation::reconcile(&controller.pass(now), &mut draft);
        claims::claim(&controller.pass(now), &mut draft);
        draft
    };
    // Three of four tasks are done: nothing is written yet, but urgent jobs can use their capacity.
    let mut heartbeat = worker.heartbeat(4000);
    heartbeat.tasks[3].state = TaskState::Running;
    heartbeat.tasks[3].exit_reason = None;
    let receive = |controller: &mut SimulatedController, heartbeat| {
        heartbeats::receive(
            &mut controller.cluster,
            &controller.config,
            heartbeat,
            10_000,
            MonotonicMillis(4000),
        )
    };
    receive(&mut controller, &heartbeat);
    assert!(batching_draft(&controller, 4000).is_empty());
    let mut urgent = job("job-2", 3);
    urgent.priority = Priority::High;
    controller.submit(&mut store, urgent, 4000);
    controller.submit(&mut store, job("job-3", 1), 4000);
    let draft = batching_draft(&controller, 4010);
    assert_eq!(draft.claims.len(), 3);
    assert!(draft
        .claims
        .iter()
        .all(|claim| claim.job == controller.job_index("job-2")));
    // Once the last task is done, too, the job's end is written at once, with all four tasks.
    let heartbeat = worker.heartbeat(5000);
    receive(&mut controller, &heartbeat);
    let draft = batching_draft(&controller, 5000);
    let job_index = controller.job_index("job-1");
    assert_eq!(draft.jobs[&job_index].state, JobState::Done);
}

#[test]
fn array_updates_are_batched_longer_near_the_write_limit() {
    let unbatched_rounds = |changes_per_s: u64| {
        let mut write_budget = WriteBudget::default();
        let (mut total_changes, mut now, mut unbatched) = (0, 0, 0);
        while now < 20_000 {
            let batch = write_budget.batch_array_updates(MonotonicMillis(now), total_changes, 70.0);
            unbatched += u32::from(!batch);
            now += 100;
            total_changes = changes_per_s * now / 1000;
            assert!(write_budget.planner_sleep_ms(MonotonicMillis(now)) <= 700);
        }
        unbatched
    };
    assert_eq!(unbatched_rounds(20), 200);
    assert!(unbatched_rounds(50) < 100);
    // Above the limit, updates are still written at least once a second.
    assert!((20..60).contains(&unbatched_rounds(90)));
}

#[test]
fn only_the_name_of_a_deleted_machine_is_kept() {
    let (_, mut controller) = start_single_controller();
    add_machines(&mut controller, 2000);
    for number in 0..1990 {
        let machine = controller.machine(&format!("m{number:03}"));
        controller.cluster.mark_deleted(machine);
    }
    assert_eq!(controller.cluster.all_machines().count(), 10);
    // A delayed machine list or heartbeat does not add a deleted machine again.
    let added_again =
        controller
            .cluster
            .learn_machine("m005", "oven", "north", true, MonotonicMillis(9));
    assert!(added_again.is_none());
    assert_eq!(controller.cluster.all_machines().count(), 10);
}

#[test]
fn a_job_that_missed_one_of_several_deadlines_still_meets_the_last() {
    let (mut store, mut controller) = start_single_controller();
    let objectives = [350.0, 150.0, 250.0].map(|within_s| Objective {
        kind: "finished".into(),
        class: Some("bake".into()),
        within_s: Some(within_s),
    });
    controller.config.completion_targets = completion_targets(&objectives);
    assert_eq!(
        controller.config.completion_targets["bake"],
        [150_000, 250_000, 350_000]
    );
    let mut controller = with_started_job(controller, &mut store, "job-1", 40);
    // Ages are in seconds. The job is on time while it can finish within 150 s. After that, younger
    // jobs that can meet their first target are scheduled before it, until its last target is at
    // risk.
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
    // The job can't finish within 150 s any more, but still within 350 s, the last target. It is
    // scheduled first once two fifths of that time have passed.
    assert_eq!(tier(&controller, 141), SchedulingTier::First);
    assert_eq!(tier(&controller, 300), SchedulingTier::First);
    // Once the job has missed the last target as well, it is scheduled after other jobs, except in
    // one of every five seconds.
    assert_eq!(tier(&controller, 341), SchedulingTier::MissesAllTargets);
    assert_eq!(tier(&controller, 345), SchedulingTier::First);
    // A job that misses its own, earlier deadline is scheduled after others until the class's
    // target is at risk.
    controller
        .config
        .completion_targets
        .insert("bake".into(), vec![350_000]);
    let mut spec = job_due_within("job-2", 40, 60.0);
    spec.class = "bake".into();
    controller.submit(&mut store, spec, 1);
    controller.run_planner(&mut store, 10);
    let job = controller.job("job-2");
    let tier_at = |age: u64| {
        job_order::scheduling_tier(
            &controller.config,
            job,
            job.spec.as_ref().unwrap(),
            age * 1000 + 1,
        )
    };
    assert!(!job.placements.is_empty());
    assert_eq!(tier_at(40), SchedulingTier::OnTime);
    assert_eq!(tier_at(61), SchedulingTier::MissesFirstTarget);
    assert_eq!(tier_at(139), SchedulingTier::MissesFirstTarget);
    assert_eq!(tier_at(140), SchedulingTier::First);
}

/// Adds 15 machines and a job of which some tasks are placed at once.
fn with_started_job(
    mut controller: SimulatedController,
    store: &mut FakeKvStore,
    id: &str,
    tasks: u32,
) -> SimulatedController {
    add_machines(&mut controller, 15);
    controller.submit(store, job(id, tasks), 1);
    controller.run_planner(store, 10);
    assert!(!controller.job(id).placements.is_empty());
    controller
}
