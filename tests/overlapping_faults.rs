//! Overlapping faults: several controllers, fake workers and a key-value store that fails in part.
//! The simulated cluster checks its invariants after each step.

mod support;

use pointhook::coordination::kv::{apply_outcome, transaction, CommitOutcome};
use pointhook::coordination::scheduler::draft::DraftTransaction;
use pointhook::coordination::scheduler::quota;
use pointhook::protocol::users::{JobKind, JobSpec, Priority};
use pointhook::protocol::workers::{ExitReason, TaskState};
use pointhook::state::cluster_state::KEY_PREFIX;
use pointhook::state::names::TeamIndex;
use support::job;
use support::scenarios::{recover, two_long_jobs};
use support::simulated_cluster::SimulatedCluster;
use support::simulated_controller::{
    run_heartbeats, start_single_controller, SimulatedController, CANCEL_MS, LEASE_MS,
};
use support::worker::FakeWorker;

#[test]
fn a_quota_share_whose_lowering_is_delayed_is_not_claimed_from_meanwhile() {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 200_000;
        machine.worker.image_pull_ms = 500;
    }
    let job_of_mixers = |id: &str, tasks| JobSpec {
        team: "mixers".into(),
        ..job(id, tasks)
    };
    // The northern shard gets the team's whole quota as its share, and its tasks end.
    let (north, south) = (0, 2);
    let mut first_job = job_of_mixers("job-1", 2);
    first_job.zone = Some("north".into());
    assert!(cluster.submit(north, first_job));
    cluster.run_for(5000);
    assert!(cluster.runs("job-1"));
    assert!(cluster.cancel(north, "job-1"));
    cluster.run_for(6000);
    assert!(!cluster.runs("job-1"));
    // A waiting task of the team makes owners lower the team's unused shares.
    let mut waiting_job = job_of_mixers("job-9", 1);
    waiting_job.vcpus = 1000.0;
    let controller = cluster.owner_of_zone("north");
    assert!(cluster.submit(controller, waiting_job));
    let team = TeamIndex(1);
    let lowered = {
        let controller = cluster.controller(controller);
        let mut draft = DraftTransaction::default();
        quota::lower_unused_quota(&controller.pass(0), &mut draft);
        assert!(draft.team_quotas.contains_key(&team));
        draft
    };
    // The transaction gets no response, and is executed only after the next claims.
    let delayed = transaction(&cluster.controller(controller).cluster, &lowered);
    apply_outcome(
        &mut cluster.controller(controller).cluster,
        &lowered,
        &CommitOutcome::Unknown,
    );
    let mut second_job = job_of_mixers("job-2", 2);
    second_job.zone = Some("north".into());
    assert!(cluster.submit(north, second_job));
    cluster.run_for(3000);
    cluster.store.commit(&delayed, cluster.now);
    assert!(cluster.submit(south, job_of_mixers("job-3", 2)));
    cluster.run_for(10_000);
    assert!(cluster.runs("job-2"));
    cluster.assert_no_violations();
}

#[test]
fn an_old_heartbeat_with_a_gang_timeout_frees_no_placement_at_a_new_owner() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    let mut gang = job("job-1", 1);
    gang.kind = JobKind::Gang;
    controller.submit(&mut store, gang, 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 1500);
    assert!(worker.has_task("job-1/0"));
    worker.time_out_gang_wait();
    let old_heartbeat = worker.heartbeat(1500);
    // The task is started again on its machine, under the same attempt.
    controller.exchange_heartbeat(&mut store, &mut worker, 2000);
    assert!(worker.has_task("job-1/0"));
    // A new owner receives a duplicate of the old heartbeat after the job was cancelled.
    store.revoke_lease(controller.lease);
    let mut new_owner = SimulatedController::start("s1", 2, &mut store, 2500);
    assert_eq!(new_owner.apply_membership_moves(&mut store, 2500), 3);
    new_owner.cancel(&mut store, "job-1", 2600);
    let _ = new_owner.receive_heartbeat(&mut store, &old_heartbeat, 2700);
    assert_eq!(new_owner.job("job-1").placements.len(), 1);
}

#[test]
fn a_gang_member_whose_restart_is_in_flight_stays_placed_when_another_member_is_lost() {
    let (mut store, mut controller) = start_single_controller();
    let mut machines = ["m1", "m2"].map(|name| {
        let mut worker = FakeWorker::new(name, "north", 0);
        worker.image_pull_ms = 60_000;
        worker
    });
    for worker in &mut machines {
        controller.exchange_heartbeat(&mut store, worker, 0);
        controller.exchange_heartbeat(&mut store, worker, 500);
    }
    let mut gang = job("job-1", 2);
    gang.kind = JobKind::Gang;
    gang.gpus = 3.0;
    controller.submit(&mut store, gang, 600);
    controller.run_planner(&mut store, 600);
    for worker in &mut machines {
        controller.exchange_heartbeat(&mut store, worker, 1000);
    }
    let [first, second] = &mut machines;
    assert!(first.has_task("job-1/0") && second.has_task("job-1/1"));
    first.time_out_gang_wait();
    let heartbeat = first.heartbeat(1500);
    let response = controller
        .receive_heartbeat(&mut store, &heartbeat, 1500)
        .unwrap();
    assert_eq!(response.commands.len(), 2, "acknowledgement and start");
    // The other member's machine is deleted while the response is in flight.
    let lost_machine = controller.machine("m2");
    controller.cluster.mark_deleted(lost_machine);
    controller.run_planner(&mut store, 1600);
    let job = controller.job("job-1");
    assert!(job.placement(0).is_some(), "its exit is not final");
    assert!(first.receive_response(&response, heartbeat.agent_epoch, 1500, 2500));
    assert!(first.has_task("job-1/0"));
    // The remaining member is stopped, so that the gang can be retried.
    run_heartbeats(&mut controller, &mut store, &mut [first], 3000, 6000);
    assert!(!first.has_task("job-1/0"));
    assert!(controller.job("job-1").placements.is_empty());
}

#[test]
fn an_exit_of_an_earlier_agent_epoch_is_ignored_once_the_shard_is_regained() {
    let (mut store, mut controller) = start_single_controller();
    let mut worker = FakeWorker::new("m1", "north", 0);
    worker.run_ms = 60_000;
    let mut gang = job("job-1", 1);
    gang.kind = JobKind::Gang;
    controller.submit(&mut store, gang, 0);
    run_heartbeats(&mut controller, &mut store, &mut [&mut worker], 0, 3000);
    assert!(worker.has_task("job-1/0"));
    // The owner receives a heartbeat with the task's exit while it can't reach the key-value store.
    let mut heartbeat = worker.heartbeat(3000);
    heartbeat.tasks[0].state = TaskState::Exited;
    heartbeat.tasks[0].exit_reason = Some(ExitReason::GangMemberLost);
    let _ = controller.receive_heartbeat_without_kv(&heartbeat, 3000);
    // Another controller takes the shard. The worker begins a new agent epoch, in which the attempt
    // is started again.
    store.revoke_lease(controller.lease);
    let mut other = SimulatedController::start("s1", 2, &mut store, 9000);
    assert_eq!(other.apply_membership_moves(&mut store, 9000), 3);
    worker.expire_lease(14_000);
    run_heartbeats(&mut other, &mut store, &mut [&mut worker], 14_000, 16_000);
    assert!(worker.has_task("job-1/0"));
    // The first controller regains the shard, and still has the exit of the old agent epoch.
    store.revoke_lease(other.lease);
    let key = format!("{KEY_PREFIX}node/n1");
    assert_eq!(store.version(&key), 0);
    controller.sync(&store);
    controller.run_membership_tick(&mut store, 17_000);
    controller.run_membership_tick(&mut store, 17_500);
    assert!(controller.owns(0));
    controller.run_planner(&mut store, 18_000);
    assert_eq!(controller.job("job-1").placements.len(), 1);
    assert_eq!(controller.job("job-1").next_attempt, 2);
}

/// A cluster with a team at its quota, whose third job waits for quota.
fn cluster_with_team_at_quota() -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 60_000;
    }
    for (id, zone) in [("job-1", "north"), ("job-2", "south")] {
        let mut spec = job(id, 1);
        spec.team = "mixers".into();
        spec.zone = Some(zone.into());
        assert!(cluster.submit(0, spec));
    }
    cluster.run_for(4000);
    let mut waiting_job = job("job-3", 2);
    waiting_job.team = "mixers".into();
    assert!(cluster.submit(1, waiting_job));
    cluster.run_for(5000);
    assert!(cluster.runs("job-1") && cluster.runs("job-2") && !cluster.runs("job-3"));
    cluster
}

#[test]
fn a_team_stays_within_its_quota_while_cancelled_tasks_are_partitioned_and_the_leader_changes() {
    for variant in 0..3 {
        let mut cluster = cluster_with_team_at_quota();
        let machine = cluster
            .machines
            .iter()
            .position(|machine| machine.worker.has_task("job-1/0"));
        let machine = machine.unwrap();
        let leader = cluster.owner_of(machine).unwrap();
        let faults = &mut cluster.machines[machine].faults;
        match variant {
            0 => faults.drops_heartbeats = true,
            1 => faults.frozen = true,
            _ => (faults.drops_incoming, faults.drops_command_responses) = (true, true),
        }
        cluster.stop_controller(leader);
        cluster.run_for(1000);
        let other = (leader + 1) % 3;
        assert!(cluster.cancel(other, "job-1"));
        cluster.run_for(8000);
        cluster.start_controller(leader);
        cluster.run_for(CANCEL_MS);
        cluster.machines[machine].faults = Default::default();
        cluster.run_for(160_000);
        assert_eq!(
            cluster.finished_count(),
            3,
            "variant {variant}: unfinished jobs"
        );
        cluster.assert_no_violations();
    }
}

#[test]
fn new_machines_get_work_once_while_writes_lag_and_the_leader_stops() {
    let mut cluster = SimulatedCluster::new(2);
    cluster.store.execution_delay_ms = Some(3000);
    assert!(!cluster.submit(0, job("job-1", 4)), "its answer is lost");
    cluster.run_for(4000);
    let machine = cluster.add_machine("north");
    cluster.run_for(1000);
    cluster.add_machine("north");
    cluster.run_for(2000);
    let leader = cluster.owner_of(machine).unwrap_or(0);
    cluster.stop_controller(leader);
    cluster.run_for(3000);
    cluster.store.execution_delay_ms = None;
    let other = (leader + 1) % 3;
    // The user resubmits the job and is told that it is known.
    assert!(!cluster.submit(other, job("job-1", 4)));
    cluster.resubmit("job-1", job("job-1", 4));
    cluster.run_for(9000);
    cluster.start_controller(leader);
    cluster.run_for(40_000);
    assert_eq!(cluster.query_status(other, "job-1"), Some("done"));
    cluster.assert_no_violations();
}

#[test]
fn commands_delayed_for_seconds_start_nothing_twice_and_nothing_cancelled() {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.faults.delays_commands = true;
        machine.worker.run_ms = 8000;
    }
    for number in 1..=6 {
        assert!(cluster.submit(number % 3, job(&format!("job-{number}"), 3)));
        cluster.run_for(1500);
        if number % 2 == 0 {
            assert!(cluster.cancel((number + 1) % 3, &format!("job-{number}")));
        }
        let faults = &mut cluster.machines[number % 4].faults;
        faults.frozen = !faults.frozen;
    }
    cluster.run_for(8000);
    for machine in &mut cluster.machines {
        machine.faults = Default::default();
    }
    cluster.run_for(60_000);
    assert_eq!(cluster.finished_count(), 6);
    cluster.assert_no_violations();
}

#[test]
fn jobs_bound_to_one_zone_stay_in_it_when_their_machines_are_lost() {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 20_000;
    }
    for (id, kind) in [("job-1", JobKind::Array), ("job-2", JobKind::Gang)] {
        let mut spec = job(id, 3);
        spec.one_zone = true;
        spec.kind = kind;
        assert!(cluster.submit(0, spec));
    }
    cluster.run_for(5000);
    let lost = cluster
        .machines
        .iter()
        .position(|machine| machine.worker.has_task("job-1/0"));
    let lost = lost.unwrap();
    cluster.machines[lost].faults.frozen = true;
    cluster.machines[lost].faults.drops_heartbeats = true;
    cluster.run_for(15_000);
    cluster.machines[lost].faults = Default::default();
    cluster.run_for(120_000);
    assert_eq!(cluster.finished_count(), 2);
    cluster.assert_no_violations();
}

#[test]
fn users_of_a_partitioned_leader_get_no_stale_answers() {
    let (mut cluster, leader, other) = two_long_jobs();
    cluster.controller_faults[leader].kv_refused = true;
    cluster.controller_faults[leader].isolated_from_peers = true;
    cluster.run_for(3000);
    assert!(cluster.cancel(other, "job-1"));
    for _ in 0..40 {
        assert_eq!(cluster.query_status(other, "job-1"), Some("aborted"));
        assert_eq!(cluster.query_status(leader, "job-1"), None);
        assert!(!cluster.cancel(leader, "job-2"));
        cluster.run_for(1000);
    }
    assert!(cluster.runs("job-2"));
    recover(&mut cluster);
    cluster.assert_no_violations();
}

#[test]
fn ten_leader_changes_in_two_minutes_lose_nothing_even_in_an_outage() {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 15_000;
    }
    for number in 0..10 {
        let controller = number % 3;
        let next = (controller + 1) % 3;
        let id = format!("job-{}", number + 1);
        cluster.submit(controller, job(&id, 3));
        cluster.run_for(3000);
        cluster.kv_outage = number % 4 == 2;
        cluster.stop_controller(controller);
        cluster.run_for(4000);
        if number % 3 == 1 {
            cluster.cancel(next, &id);
        }
        cluster.run_for(2000);
        cluster.kv_outage = false;
        cluster.start_controller(controller);
        cluster.run_for(3000);
    }
    cluster.run_for(90_000);
    assert_eq!(cluster.finished_count(), cluster.accepted_count());
    cluster.assert_no_violations();
}

#[test]
fn tasks_that_complete_far_apart_across_a_leader_change_complete_once() {
    let mut cluster = SimulatedCluster::new(4);
    for (machine, run_ms) in cluster
        .machines
        .iter_mut()
        .zip([4000, 12_000, 20_000, 28_000])
    {
        machine.worker.run_ms = run_ms;
        machine.worker.image_pull_ms = 500;
    }
    let mut spec = job("job-1", 3);
    // One such task fills a machine, so the job's tasks are on different machines.
    spec.gpus = 4.0;
    assert!(cluster.submit(0, spec));
    cluster.run_for(6000);
    let machine = cluster
        .machines
        .iter()
        .position(|machine| machine.worker.has_task("job-1/1"));
    let leader = cluster.owner_of(machine.unwrap()).unwrap();
    cluster.stop_controller(leader);
    cluster.run_for(8000);
    cluster.start_controller(leader);
    cluster.run_for(60_000);
    assert_eq!(
        cluster.query_status((leader + 1) % 3, "job-1"),
        Some("done")
    );
    assert_eq!(cluster.start_count(), 3);
    cluster.assert_no_violations();
}

#[test]
fn old_heartbeats_that_reach_every_controller_at_a_leader_change_restart_no_task() {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 12_000;
    }
    for number in 1..=4 {
        assert!(cluster.submit(number % 3, job(&format!("job-{number}"), 4)));
        cluster.run_for(2000);
    }
    let leader = cluster.owner_of(0).unwrap();
    cluster.stop_controller(leader);
    for _ in 0..24 {
        cluster.run_for(500);
        for machine in 0..4 {
            let sent = cluster.machines[machine].sent_heartbeats.len();
            for controller in 0..3 {
                // An old heartbeat, and the newest, which may have been sent to the stopped owner.
                cluster.redeliver_heartbeat(machine, sent / 3, controller);
                cluster.redeliver_heartbeat(machine, sent - 1, controller);
            }
        }
    }
    cluster.start_controller(leader);
    cluster.run_for(90_000);
    assert_eq!(cluster.finished_count(), 4);
    assert_eq!(
        cluster.start_count(),
        16,
        "a task started again for an old heartbeat"
    );
    cluster.assert_no_violations();
}

#[test]
fn transactions_with_lost_responses_contradict_nothing_that_others_have_read() {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 4000;
    }
    cluster.store.drops_responses = true;
    for number in 1..=9 {
        let id = format!("job-{number}");
        let receiver = number % 3;
        assert!(!cluster.submit(receiver, job(&id, 2)), "no response");
        // Another controller has read the job, and the user resubmits it to the first.
        cluster.resubmit(&id, job(&id, 2));
        for step in 0..6 {
            cluster.run_for(500);
            for controller in 0..3 {
                cluster.query_status(controller, &id);
            }
            if step == 3 && number % 3 == 0 {
                assert!(!cluster.cancel(receiver, &id), "no response");
                assert_eq!(
                    cluster.query_status((receiver + 1) % 3, &id),
                    Some("aborted")
                );
                assert_eq!(cluster.query_status(receiver, &id), Some("aborted"));
            }
        }
    }
    cluster.store.drops_responses = false;
    cluster.run_for(40_000);
    assert_eq!(cluster.finished_count(), 9);
    cluster.assert_no_violations();
}

#[test]
fn work_continues_after_all_controllers_were_down_for_longer_than_a_lease() {
    let (mut cluster, ..) = two_long_jobs();
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 10_000;
    }
    for controller in 0..3 {
        cluster.stop_controller(controller);
    }
    cluster.run_for(2 * LEASE_MS);
    assert!(!cluster.runs("job-1"));
    for controller in [2, 0, 1] {
        cluster.start_controller(controller);
        cluster.run_for(700);
    }
    assert!(cluster.cancel(1, "job-2"));
    cluster.run_for(60_000);
    assert_eq!(cluster.query_status(0, "job-1"), Some("done"));
    cluster.assert_no_violations();
}

#[test]
fn four_one_task_jobs_a_second_stay_within_the_limits() {
    let mut cluster = SimulatedCluster::new(8);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 1500;
        machine.worker.image_pull_ms = 500;
    }
    cluster.store.max_writes_per_s = 20.0;
    let (mut sent, mut refused) = (0, 0);
    for _ in 0..120 {
        for _ in 0..2 {
            sent += 1;
            let id = format!("job-{sent}");
            if !cluster.submit(sent % 3, job(&id, 1)) {
                refused += 1;
                continue;
            }
            if sent % 4 == 0 {
                cluster.cancel((sent + 1) % 3, &id);
            }
        }
        cluster.run_for(500);
    }
    // Submissions over the write limit are refused at once; fewer than a tenth are refused.
    assert!(refused < sent / 10, "{refused} of {sent}");
    cluster.run_for(60_000);
    assert_eq!(cluster.finished_count(), cluster.accepted_count());
    cluster.assert_no_violations();
}

#[test]
fn users_who_query_all_controllers_at_once_see_no_older_status() {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 2000;
    }
    for number in 0..12 {
        let id = format!("job-{number}1");
        let receiver = number % 3;
        assert!(cluster.submit(receiver, job(&id, 2)));
        if number % 3 == 0 {
            assert!(cluster.cancel((receiver + 1) % 3, &id));
        }
        for step in 0..16 {
            for controller in 0..3 {
                assert!(cluster.query_status((controller + step) % 3, &id).is_some());
                // A repeated submission is refused.
                assert!(!cluster.submit(controller, job(&id, 2)));
            }
            cluster.run_for(500);
        }
    }
    cluster.run_for(20_000);
    assert_eq!(cluster.finished_count(), 12);
    cluster.assert_no_violations();
}

#[test]
fn a_leader_stops_while_machines_with_long_tasks_lose_messages() {
    for drops_heartbeats in [true, false] {
        let (mut cluster, leader, other) = two_long_jobs();
        let machine = cluster
            .machines
            .iter()
            .position(|machine| machine.worker.has_task("job-1/0"));
        let faults = &mut cluster.machines[machine.unwrap()].faults;
        (faults.drops_heartbeats, faults.drops_incoming) = (drops_heartbeats, !drops_heartbeats);
        cluster.stop_controller(leader);
        cluster.run_for(4000);
        assert!(cluster.cancel(other, "job-1"));
        cluster.run_for(8000);
        cluster.start_controller(leader);
        cluster.run_for(CANCEL_MS - 8000);
        cluster.assert_nothing_runs_of("job-1");
        cluster.machines[machine.unwrap()].faults = Default::default();
        for machine in &mut cluster.machines {
            machine.worker.run_ms = 5000;
        }
        cluster.run_for(250_000);
        assert_eq!(cluster.finished_count(), 2);
        cluster.assert_no_violations();
    }
}

#[test]
fn controllers_hand_over_and_back_then_all_stop_and_one_returns_within_a_second() {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 9000;
    }
    for round in 0..4 {
        let id = format!("job-{}", round + 1);
        assert!(cluster.submit(round % 3, job(&id, 4)));
        cluster.run_for(2500);
        for controller in 0..3 {
            cluster.stop_controller(controller);
        }
        // The controller restarts while the keys of the others still exist.
        cluster.run_for(500);
        cluster.start_controller(round % 3);
        cluster.run_for(1500);
        if round % 2 == 0 {
            assert!(cluster.cancel(round % 3, &id));
        }
        for controller in 0..3 {
            if cluster.controllers[controller].is_none() {
                cluster.start_controller(controller);
            }
            cluster.run_for(1000);
        }
    }
    cluster.run_for(90_000);
    assert_eq!(cluster.finished_count(), 4);
    cluster.assert_no_violations();
}

#[test]
fn more_work_than_capacity_over_slow_links_runs_by_priority() {
    let mut cluster = SimulatedCluster::new(2);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 12_000;
        machine.faults.delays_commands = true;
    }
    for number in 1..=4 {
        let mut spec = job(&format!("job-{number}"), 4);
        spec.priority = Priority::Low;
        assert!(cluster.submit(number % 3, spec));
    }
    cluster.run_for(6000);
    let mut urgent = job("job-9", 4);
    urgent.priority = Priority::Production;
    assert!(cluster.submit(0, urgent));
    cluster.run_for(30_000);
    assert!(
        cluster.has_started("job-9"),
        "the urgent job waits behind the rest"
    );
    cluster.run_for(160_000);
    assert_eq!(cluster.finished_count(), 5);
    cluster.assert_no_violations();
}
