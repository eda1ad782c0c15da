//! Cancellations during faults: their exchange between controllers, and the deadline by which no
//! task of a cancelled job may run.

mod support;

use pointhook::protocol::workers::AgentEpoch;
use pointhook::protocol::workers::FencingToken;
use pointhook::state::cancellation_watermark::CancellationWatermark;
use pointhook::state::job::JobState;
use pointhook::state::units::MonotonicMillis;
use support::job;
use support::simulated_cluster::SimulatedCluster;
use support::simulated_controller::{CANCEL_MS, LEASE_MS, RENEW_MS};

use support::scenarios::{recover, refuse_leader_then_all, two_long_jobs};

#[test]
fn a_cancellation_confirmed_by_a_peer_while_kv_refuses_the_leader_is_carried_out_in_time() {
    let (mut cluster, leader, other) = two_long_jobs();
    refuse_leader_then_all(&mut cluster, leader, other, "job-1");
    cluster.run_for(CANCEL_MS);
    assert!(!cluster.runs("job-1"));
    assert!(cluster.runs("job-2"), "the outage stopped another job");
    recover(&mut cluster);
    cluster.assert_no_violations();
    // The same sequence again, with a new job.
    assert!(cluster.submit(other, job("job-3", 6)));
    cluster.run_for(6000);
    assert!(cluster.runs("job-3"));
    refuse_leader_then_all(&mut cluster, leader, other, "job-3");
    cluster.run_for(CANCEL_MS + 4000);
    assert!(!cluster.runs("job-3"));
    recover(&mut cluster);
    assert!(cluster.runs("job-2"));
    cluster.assert_no_violations();
}

#[test]
fn a_kv_outage_stops_no_work_while_the_controllers_reach_each_other() {
    let (mut cluster, ..) = two_long_jobs();
    cluster.kv_outage = true;
    cluster.run_for(5 * CANCEL_MS);
    for machine in &cluster.machines {
        assert_eq!(machine.worker.agent_epoch, AgentEpoch(1));
    }
    recover(&mut cluster);
    cluster.assert_no_violations();
}

#[test]
fn an_isolated_leader_renews_no_lease_for_longer_than_the_cancellation_deadline_allows() {
    let (mut cluster, leader, other) = two_long_jobs();
    cluster.controller_faults[leader].kv_refused = true;
    cluster.controller_faults[leader].isolated_from_peers = true;
    cluster.run_for(1000);
    // Other controllers can't reach the leader's machines, which go on sending heartbeats to it.
    for machine in &mut cluster.machines {
        machine.faults.drops_command_responses = true;
    }
    assert!(cluster.cancel(other, "job-1"));
    cluster.kv_outage = true;
    cluster.run_for(CANCEL_MS);
    cluster.assert_nothing_runs_of("job-1");
    recover(&mut cluster);
    cluster.assert_no_violations();
}

#[test]
fn a_cancellation_confirmed_by_a_controller_that_then_stops_is_carried_out_in_time() {
    let (mut cluster, leader, other) = two_long_jobs();
    cluster.controller_faults[leader].kv_refused = true;
    cluster.run_for(1000);
    // A controller that is isolated from its peers confirms a cancellation, and stops right after.
    cluster.controller_faults[other].isolated_from_peers = true;
    assert!(cluster.cancel(other, "job-1"));
    cluster.stop_controller(other);
    cluster.kv_outage = true;
    cluster.run_for(CANCEL_MS);
    cluster.assert_nothing_runs_of("job-1");
    cluster.kv_outage = false;
    cluster.start_controller(other);
    recover(&mut cluster);
    cluster.assert_no_violations();
}

#[test]
fn a_controller_restarted_within_a_second_does_not_attest_what_it_confirmed_before() {
    let (mut cluster, leader, other) = two_long_jobs();
    cluster.controller_faults[leader].kv_refused = true;
    cluster.run_for(1000);
    cluster.controller_faults[other].isolated_from_peers = true;
    assert!(cluster.cancel(other, "job-1"));
    // It restarts immediately and reaches its peers, but no controller reaches the key-value store.
    cluster.stop_controller(other);
    cluster.kv_outage = true;
    cluster.start_controller_without_records(other);
    cluster.controller_faults[other].isolated_from_peers = false;
    cluster.run_for(CANCEL_MS);
    cluster.assert_nothing_runs_of("job-1");
    cluster.stop_controller(other);
    cluster.kv_outage = false;
    cluster.start_controller(other);
    recover(&mut cluster);
    cluster.assert_no_violations();
}

#[test]
fn a_cancellation_is_carried_out_in_time_on_machines_that_lose_messages_or_freeze() {
    for fault_kind in 0..3 {
        let (mut cluster, leader, other) = two_long_jobs();
        let machine_index = cluster
            .machines
            .iter()
            .position(|machine| machine.worker.has_task("job-1/0"))
            .unwrap();
        let machine = &mut cluster.machines[machine_index];
        match fault_kind {
            0 => machine.faults.drops_incoming = true,
            1 => machine.faults.drops_heartbeats = true,
            _ => machine.faults.frozen = true,
        }
        refuse_leader_then_all(&mut cluster, leader, other, "job-1");
        cluster.run_for(LEASE_MS / 2);
        cluster.machines[machine_index].faults.frozen = false;
        cluster.run_for(CANCEL_MS - LEASE_MS / 2);
        cluster.assert_nothing_runs_of("job-1");
        cluster.machines[machine_index].faults = Default::default();
        recover(&mut cluster);
        cluster.assert_no_violations();
    }
}

#[test]
fn any_controller_that_knows_a_cancellation_stops_tasks_on_a_machine_with_lost_heartbeats() {
    let (mut cluster, leader, other) = two_long_jobs();
    let machine_index = cluster
        .machines
        .iter()
        .position(|machine| machine.worker.has_task("job-1/0"))
        .unwrap();
    // The lease is far longer than the cancellation deadline, so that its expiry can't stop the
    // task in time.
    cluster.machines[machine_index].worker.lease_ms = 10 * CANCEL_MS;
    cluster.machines[machine_index].faults.drops_heartbeats = true;
    cluster.stop_controller(leader);
    assert!(cluster.cancel(other, "job-1"));
    cluster.run_for(CANCEL_MS);
    cluster.assert_nothing_runs_of("job-1");
}

#[test]
fn a_cancellation_stops_tasks_with_a_late_claim_and_an_unanswered_direct_start() {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 200_000;
        machine.faults.drops_command_responses = true;
    }
    assert!(cluster.submit(1, job("job-2", 2)));
    cluster.run_for(4000);
    // The store executes the claims late, and direct starts get no response.
    assert!(cluster.submit(0, job("job-1", 6)));
    cluster.store.execution_delay_ms = Some(3000);
    cluster.run_for(1500);
    cluster.store.execution_delay_ms = None;
    assert!(cluster.cancel(1, "job-1"));
    cluster.run_for(1000);
    cluster.kv_outage = true;
    cluster.run_for(CANCEL_MS);
    cluster.assert_nothing_runs_of("job-1");
    recover(&mut cluster);
    cluster.assert_no_violations();
}

#[test]
fn a_cancellation_holds_while_its_shards_change_owner_twice() {
    let (mut cluster, leader, other) = two_long_jobs();
    refuse_leader_then_all(&mut cluster, leader, other, "job-1");
    cluster.run_for(3000);
    cluster.kv_outage = false;
    cluster.run_for(1000);
    cluster.stop_controller(leader);
    cluster.run_for(7000);
    cluster.start_controller(leader);
    cluster.run_for(CANCEL_MS - 11_000);
    cluster.assert_nothing_runs_of("job-1");
    recover(&mut cluster);
    cluster.assert_no_violations();
}

#[test]
fn a_cancellation_learned_from_a_peer_overrides_open_records() {
    let (mut cluster, leader, other) = two_long_jobs();
    cluster.controller_faults[leader].kv_refused = true;
    cluster.run_for(500);
    let before = cluster.controller(leader).job("job-1").version;
    assert!(cluster.cancel(other, "job-1"));
    let controller = cluster.controller(leader);
    assert_eq!(controller.job("job-1").state, JobState::Cancelled);
    assert_eq!(controller.job("job-1").version, before);
    // A newer record that is still open, from a read that began before the cancellation.
    let record = pointhook::state::job::JobRecord {
        state: JobState::Open,
        ..controller
            .cluster
            .job_record(&controller.job("job-1").clone())
    };
    controller.cluster.put_job("job-1", before + 1, &record);
    assert_eq!(controller.job("job-1").state, JobState::Cancelled);
    assert_eq!(controller.job("job-1").version, before + 1);
    // A job whose record this controller has not read yet.
    assert!(controller.cluster.learn_cancelled("job-77"));
    assert!(!controller.cluster.learn_cancelled("job-77"));
    controller.cluster.put_job("job-77", 1, &record);
    assert_eq!(controller.job("job-77").state, JobState::Cancelled);
    assert!(controller
        .cluster
        .cancelled_job_ids()
        .contains(&"job-77".to_string()));
}

#[test]
fn watermark_advances_to_reads_and_to_what_all_peers_have_attested() {
    let at = MonotonicMillis;
    let mut watermark = CancellationWatermark::new(2, at(100));
    assert_eq!(watermark.complete_until(at(5)), None);
    watermark.record_read(at(1000));
    assert_eq!(watermark.complete_until(at(2000)), Some(at(1000)));
    // The attestation of a single peer counts only for its watermark, not for the request time.
    watermark.record_attestation(0, at(3000), at(3010), 60_000, None);
    assert_eq!(watermark.complete_until(at(4000)), Some(at(1000)));
    watermark.record_attestation(0, at(3000), at(3010), 60_000, Some(1500));
    assert_eq!(watermark.complete_until(at(4000)), Some(at(1498)));
    // Both peers have attested, so the set is complete up to the earlier of the two request times.
    watermark.record_attestation(1, at(3500), at(3510), 60_000, None);
    assert_eq!(watermark.complete_until(at(4000)), Some(at(3000)));
    // One peer restarts after that, and can't attest what it confirmed before.
    watermark.record_attestation(0, at(6000), at(6010), 500, None);
    watermark.record_attestation(1, at(6000), at(6010), 60_000, None);
    assert_eq!(watermark.complete_until(at(7000)), Some(at(3000)));
    // A read that began after that restart supplies what the peer can't attest.
    watermark.record_read(at(5600));
    assert_eq!(watermark.complete_until(at(7000)), Some(at(6000)));
    // A response to an older request that arrives late does not lower the watermark.
    watermark.record_attestation(0, at(5000), at(7000), 90_000, None);
    assert_eq!(watermark.complete_until(at(7000)), Some(at(6000)));
    // A peer's watermark from before the start of this process does not cover what this controller
    // itself confirmed before its restart.
    let mut watermark = CancellationWatermark::new(1, at(5000));
    watermark.record_attestation(0, at(6000), at(6001), 60_000, Some(2000));
    assert_eq!(watermark.complete_until(at(7000)), None);
    watermark.record_attestation(0, at(8000), at(8001), 60_000, Some(2000));
    assert_eq!(watermark.complete_until(at(9000)), Some(at(8000)));
    // A controller without peers makes all confirmations itself.
    assert_eq!(
        CancellationWatermark::new(0, at(0)).complete_until(at(9)),
        Some(at(9))
    );
}

#[test]
fn the_cancellation_deadline_is_validated_against_the_lease() {
    let workers = |lease_s, cancel_s| pointhook::settings::WorkerSettings {
        heartbeat_s: 3.0,
        lease_s,
        gang_wait_s: 30.0,
        gang_peer_s: 8.0,
        cancel_s,
    };
    let settings = workers(30.0, 55.0);
    assert!(settings.warning().is_none());
    assert!((23_000..24_000).contains(&settings.max_watermark_age_ms()));
    // A lease that leaves no time for cancellations causes a warning, but work still runs.
    let settings = workers(30.0, 30.0);
    assert!(settings.warning().unwrap().to_string().contains("cancel_s"));
    assert!(settings.max_watermark_age_ms() > 6000);
    let (lease_s, cancel_s) = (LEASE_MS as f64 / 1000.0, CANCEL_MS as f64 / 1000.0);
    assert_eq!(workers(lease_s, cancel_s).max_watermark_age_ms(), RENEW_MS);
}

#[test]
fn cancellations_at_the_moment_kv_refuses_the_leader_are_carried_out() {
    for before in [true, false] {
        let (mut cluster, leader, other) = two_long_jobs();
        if before {
            assert!(cluster.cancel(other, "job-1"));
            cluster.controller_faults[leader].kv_refused = true;
        } else {
            cluster.controller_faults[leader].kv_refused = true;
            assert!(cluster.cancel(other, "job-1"));
        }
        cluster.run_for(1000);
        cluster.kv_outage = true;
        cluster.run_for(CANCEL_MS);
        cluster.assert_nothing_runs_of("job-1");
        assert!(cluster.runs("job-2"));
        recover(&mut cluster);
        cluster.assert_no_violations();
    }
}

#[test]
fn a_zone_partitioned_with_its_controller_runs_cancelled_tasks_no_longer_than_the_deadline() {
    let (mut cluster, ..) = two_long_jobs();
    // The southern zone is partitioned from the rest and from the key-value store.
    cluster.controller_faults[2].isolated_from_peers = true;
    cluster.controller_faults[2].kv_refused = true;
    for machine in &mut cluster.machines {
        machine.partitioned = true;
    }
    cluster.run_for(4000);
    assert!(cluster.cancel(0, "job-1"));
    cluster.run_for(CANCEL_MS);
    cluster.assert_nothing_runs_of("job-1");
    for machine in &mut cluster.machines {
        machine.partitioned = false;
        machine.worker.run_ms = 10_000;
    }
    recover(&mut cluster);
    cluster.run_for(300_000);
    assert_eq!(cluster.query_status(1, "job-2"), Some("done"));
    cluster.assert_no_violations();
}

#[test]
fn jobs_cancelled_during_a_shard_handover_are_stopped_in_time() {
    for delay in 0..12 {
        let (mut cluster, leader, other) = two_long_jobs();
        cluster.stop_controller(leader);
        // The delays cover all phases of the failover, and of the handover back.
        cluster.run_for(delay * 1000);
        let third = 3 - leader - other;
        assert!(cluster.cancel(if delay % 2 == 0 { other } else { third }, "job-1"));
        if delay > 5 {
            cluster.start_controller(leader);
        }
        cluster.run_for(CANCEL_MS);
        cluster.assert_nothing_runs_of("job-1");
        assert!(cluster.runs("job-2"));
        cluster.assert_no_violations();
    }
}

#[test]
fn a_cancellation_concurrent_with_the_last_completion_has_one_outcome() {
    for delay in 0..14 {
        let mut cluster = SimulatedCluster::new(2);
        for machine in &mut cluster.machines {
            machine.worker.run_ms = 2000;
        }
        assert!(cluster.submit(0, job("job-1", 1)));
        cluster.run_for(1000 + delay * 500);
        let cancelled = cluster.cancel(1, "job-1");
        for controller_index in 0..3 {
            let status = cluster.query_status(controller_index, "job-1").unwrap();
            assert_eq!(status == "aborted", cancelled);
        }
        assert!(!cluster.submit(2, job("job-1", 1)));
        cluster.run_for(8000);
        for controller_index in 0..3 {
            let status = cluster.query_status(controller_index, "job-1").unwrap();
            assert_eq!(status, if cancelled { "aborted" } else { "done" });
        }
        cluster.assert_no_violations();
    }
}

#[test]
fn a_direct_stop_ends_checkpointing_tasks_and_ignores_exited_and_absent_ones() {
    use pointhook::protocol::workers::{Command, TaskState};
    let mut worker = support::worker::FakeWorker::new("m1", "north", 0);
    let mut status = worker.heartbeat(0);
    (status.fencing_token, status.agent_epoch) = (FencingToken(7), AgentEpoch(3));
    let shown = |task: &str, state| pointhook::protocol::workers::TaskStatus {
        task: task.into(),
        attempt: 2,
        state,
        exit_reason: None,
        checkpointed: None,
    };
    status.tasks = vec![
        shown("job-1/0", TaskState::Checkpointing),
        shown("job-1/1", TaskState::Exited),
        shown("job-2/0", TaskState::Running),
    ];
    let cancelled: Vec<_> = (0..3).map(|task| (format!("job-1/{task}"), 2)).collect();
    let direct_stop =
        pointhook::coordination::cancellations::direct_stops::stop_commands(&status, &cancelled)
            .unwrap();
    // It has the worker's own fencing token, so ownership does not change.
    assert_eq!(
        (
            direct_stop.fencing_token,
            direct_stop.agent_epoch,
            direct_stop.commands.len()
        ),
        (FencingToken(7), AgentEpoch(3), 1)
    );
    assert!(
        matches!(&direct_stop.commands[0], Command::Stop { task, grace_s, .. } if task == "job-1/0" && *grace_s == 0.0)
    );
    // Other attempts are not affected.
    let other = [("job-1/0".to_string(), 1)];
    assert!(
        pointhook::coordination::cancellations::direct_stops::stop_commands(&status, &other)
            .is_none()
    );
}

#[test]
fn an_owner_without_recent_reads_starts_nothing() {
    let (mut cluster, leader, other) = {
        let mut cluster = SimulatedCluster::new(4);
        for machine in &mut cluster.machines {
            machine.worker.run_ms = 60_000;
            machine.faults.drops_heartbeats = true;
        }
        cluster.run_for(1000);
        (cluster, 0, 1)
    };
    // The owner claims the tasks while it reaches no machine, and then loses its peers too.
    for machine in &mut cluster.machines {
        machine.faults.drops_incoming = true;
    }
    assert!(cluster.submit(other, job("job-1", 4)));
    cluster.run_for(1500);
    assert!(!cluster
        .controller(leader)
        .job("job-1")
        .placements
        .is_empty());
    for faults in &mut cluster.controller_faults {
        faults.kv_refused = true;
        faults.isolated_from_peers = true;
    }
    cluster.run_for(7000);
    for machine in &mut cluster.machines {
        machine.faults = Default::default();
    }
    cluster.run_for(2500);
    assert_eq!(cluster.start_count(), 0);
    cluster.controller_faults = Default::default();
    cluster.run_for(20_000);
    assert!(cluster.runs("job-1"));
    cluster.assert_no_violations();
}
