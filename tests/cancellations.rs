//! Cancellations amid faults: what is told, stopped and proved, and in which time.

mod support;

use pointhook::protocol::workers::AgentEpoch;
use pointhook::protocol::workers::FencingToken;
use pointhook::state::cancellation_watermark::CancellationWatermark;
use pointhook::state::job::JobState;
use pointhook::state::units::MonotonicMillis;
use support::controller::{CANCEL_MS, LEASE_MS, RENEW_MS};
use support::job;
use support::world::World;

use support::scenarios::{recover, refuse_leader_then_all, two_long_jobs};

#[test]
fn what_another_confirms_while_the_leader_is_refused_is_gone_in_time() {
    let (mut w, leader, other) = two_long_jobs();
    refuse_leader_then_all(&mut w, leader, other, "job-1");
    w.run(CANCEL_MS);
    assert!(!w.runs("job-1"));
    assert!(w.runs("job-2"), "the outage cost other work");
    recover(&mut w);
    w.keeps_the_rules();
    // All of it once more.
    assert!(w.submit(other, job("job-3", 6)));
    w.run(6000);
    assert!(w.runs("job-3"));
    refuse_leader_then_all(&mut w, leader, other, "job-3");
    w.run(CANCEL_MS + 4000);
    assert!(!w.runs("job-3"));
    recover(&mut w);
    assert!(w.runs("job-2"));
    w.keeps_the_rules();
}

#[test]
fn an_outage_for_all_costs_no_work_while_the_nodes_hear_each_other() {
    let (mut w, ..) = two_long_jobs();
    w.outage = true;
    w.run(5 * CANCEL_MS);
    for host in &w.hosts {
        assert_eq!(host.worker.agent_epoch, AgentEpoch(1));
    }
    recover(&mut w);
    w.keeps_the_rules();
}

#[test]
fn a_leader_cut_from_store_and_peers_renews_no_lease_for_longer_than_cancellations_allow() {
    let (mut w, leader, other) = two_long_jobs();
    w.trouble[leader].refused = true;
    w.trouble[leader].alone = true;
    w.run(1000);
    // Machines of the leader can't be reached from elsewhere; they go on reporting to it.
    for h in &mut w.hosts {
        h.ill.loses_answers = true;
    }
    assert!(w.cancel(other, "job-1"));
    w.outage = true;
    w.run(CANCEL_MS);
    w.keeps_nothing_of("job-1");
    recover(&mut w);
    w.keeps_the_rules();
}

#[test]
fn a_controller_that_ends_right_after_its_answer_leaves_the_rest_in_doubt_only() {
    let (mut w, leader, other) = two_long_jobs();
    w.trouble[leader].refused = true;
    w.run(1000);
    // Cut from all others, it confirms, and ends.
    w.trouble[other].alone = true;
    assert!(w.cancel(other, "job-1"));
    w.end(other);
    w.outage = true;
    w.run(CANCEL_MS);
    w.keeps_nothing_of("job-1");
    w.outage = false;
    w.start(other);
    recover(&mut w);
    w.keeps_the_rules();
}

#[test]
fn a_controller_that_restarts_within_a_second_does_not_vouch_for_what_it_confirmed_before() {
    let (mut w, leader, other) = two_long_jobs();
    w.trouble[leader].refused = true;
    w.run(1000);
    w.trouble[other].alone = true;
    assert!(w.cancel(other, "job-1"));
    // It is back at once and reaches its peers, but the state service is out for all.
    w.end(other);
    w.outage = true;
    w.start_unread(other);
    w.trouble[other].alone = false;
    w.run(CANCEL_MS);
    w.keeps_nothing_of("job-1");
    w.end(other);
    w.outage = false;
    w.start(other);
    recover(&mut w);
    w.keeps_the_rules();
}

#[test]
fn a_cancellation_of_what_a_deaf_mute_or_hanging_machine_runs_is_carried_out_in_time() {
    for ill in 0..3 {
        let (mut w, leader, other) = two_long_jobs();
        let host = w.hosts.iter().position(|h| h.worker.has_task("job-1/0"));
        let h = &mut w.hosts[host.unwrap()];
        match ill {
            0 => h.ill.deaf = true,
            1 => h.ill.mute = true,
            _ => h.ill.hangs = true,
        }
        refuse_leader_then_all(&mut w, leader, other, "job-1");
        w.run(LEASE_MS / 2);
        w.hosts[host.unwrap()].ill.hangs = false;
        w.run(CANCEL_MS - LEASE_MS / 2);
        w.keeps_nothing_of("job-1");
        w.hosts[host.unwrap()].ill = Default::default();
        recover(&mut w);
        w.keeps_the_rules();
    }
}

#[test]
fn a_mute_machine_is_stopped_by_whoever_knows() {
    let (mut w, leader, other) = two_long_jobs();
    let host = w.hosts.iter().position(|h| h.worker.has_task("job-1/0"));
    let host = host.unwrap();
    // Its lease is far longer than the time for cancellations, so that nothing else ends it.
    w.hosts[host].worker.lease_ms = 10 * CANCEL_MS;
    w.hosts[host].ill.mute = true;
    w.end(leader);
    assert!(w.cancel(other, "job-1"));
    w.run(CANCEL_MS);
    w.keeps_nothing_of("job-1");
}

#[test]
fn a_cancellation_meets_a_claim_in_flight_and_a_direct_start_without_answer() {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.worker.run_ms = 200_000;
        h.ill.loses_answers = true;
    }
    assert!(w.submit(1, job("job-2", 2)));
    w.run(4000);
    // The claims are carried out late, their starts get no answer.
    assert!(w.submit(0, job("job-1", 6)));
    w.store.execution_delay_ms = Some(3000);
    w.run(1500);
    w.store.execution_delay_ms = None;
    assert!(w.cancel(1, "job-1"));
    w.run(1000);
    w.outage = true;
    w.run(CANCEL_MS);
    w.keeps_nothing_of("job-1");
    recover(&mut w);
    w.keeps_the_rules();
}

#[test]
fn a_cancellation_holds_while_its_machines_change_hands_twice() {
    let (mut w, leader, other) = two_long_jobs();
    refuse_leader_then_all(&mut w, leader, other, "job-1");
    w.run(3000);
    w.outage = false;
    w.run(1000);
    w.end(leader);
    w.run(7000);
    w.start(leader);
    w.run(CANCEL_MS - 11_000);
    w.keeps_nothing_of("job-1");
    recover(&mut w);
    w.keeps_the_rules();
}

#[test]
fn news_of_a_cancellation_outlive_older_records() {
    let (mut w, leader, other) = two_long_jobs();
    w.trouble[leader].refused = true;
    w.run(500);
    let before = w.node(leader).job("job-1").version;
    assert!(w.cancel(other, "job-1"));
    let c = w.node(leader);
    assert_eq!(c.job("job-1").state, JobState::Cancelled);
    assert_eq!(c.job("job-1").version, before);
    // A newer record that is still open, from a read that began before.
    let rec = pointhook::state::job::JobRecord {
        state: JobState::Open,
        ..c.cluster.record(&c.job("job-1").clone())
    };
    c.cluster.put_job("job-1", before + 1, &rec);
    assert_eq!(c.job("job-1").state, JobState::Cancelled);
    assert_eq!(c.job("job-1").version, before + 1);
    // A job whose record was not read here yet.
    assert!(c.cluster.learn_cancelled("job-77"));
    assert!(!c.cluster.learn_cancelled("job-77"));
    c.cluster.put_job("job-77", 1, &rec);
    assert_eq!(c.job("job-77").state, JobState::Cancelled);
    assert!(c.cluster.cancelled_names().contains(&"job-77".to_string()));
}

#[test]
fn watermark_advances_to_reads_and_to_what_all_peers_have_attested() {
    let at = MonotonicMillis;
    let mut k = CancellationWatermark::new(2, at(100));
    assert_eq!(k.complete_until(at(5)), None);
    k.record_read(at(1000));
    assert_eq!(k.complete_until(at(2000)), Some(at(1000)));
    // One peer alone vouches for nothing but its own read.
    k.record_attestation(0, at(3000), at(3010), 60_000, None);
    assert_eq!(k.complete_until(at(4000)), Some(at(1000)));
    k.record_attestation(0, at(3000), at(3010), 60_000, Some(1500));
    assert_eq!(k.complete_until(at(4000)), Some(at(1498)));
    // Both have told: complete up to when the first of them was asked.
    k.record_attestation(1, at(3500), at(3510), 60_000, None);
    assert_eq!(k.complete_until(at(4000)), Some(at(3000)));
    // One restarts after that and can't vouch for what it confirmed before.
    k.record_attestation(0, at(6000), at(6010), 500, None);
    k.record_attestation(1, at(6000), at(6010), 60_000, None);
    assert_eq!(k.complete_until(at(7000)), Some(at(3000)));
    // A read later than its start makes up for that.
    k.record_read(at(5600));
    assert_eq!(k.complete_until(at(7000)), Some(at(6000)));
    // Answers that cross take nothing back.
    k.record_attestation(0, at(5000), at(7000), 90_000, None);
    assert_eq!(k.complete_until(at(7000)), Some(at(6000)));
    // What another knows of the time before this process began says nothing of what this node
    // confirmed itself before it restarted.
    let mut k = CancellationWatermark::new(1, at(5000));
    k.record_attestation(0, at(6000), at(6001), 60_000, Some(2000));
    assert_eq!(k.complete_until(at(7000)), None);
    k.record_attestation(0, at(8000), at(8001), 60_000, Some(2000));
    assert_eq!(k.complete_until(at(9000)), Some(at(8000)));
    // A node without peers confirms everything itself.
    assert_eq!(
        CancellationWatermark::new(0, at(0)).complete_until(at(9)),
        Some(at(9))
    );
}

#[test]
fn the_time_for_cancellations_is_checked_against_the_lease() {
    let workers = |lease_s, cancel_s| pointhook::settings::Workers {
        heartbeat_s: 3.0,
        lease_s,
        gang_wait_s: 30.0,
        gang_peer_s: 8.0,
        cancel_s,
    };
    let w = workers(30.0, 55.0);
    assert!(w.warning().is_none());
    assert!((23_000..24_000).contains(&w.renew_ms()));
    // A lease that leaves no room: told, and work still runs.
    let w = workers(30.0, 30.0);
    assert!(w.warning().unwrap().to_string().contains("cancel_s"));
    assert!(w.renew_ms() > 6000);
    let (lease_s, cancel_s) = (LEASE_MS as f64 / 1000.0, CANCEL_MS as f64 / 1000.0);
    assert_eq!(workers(lease_s, cancel_s).renew_ms(), RENEW_MS);
}

#[test]
fn cancellations_at_the_very_moment_of_the_refusal_are_carried_out() {
    for before in [true, false] {
        let (mut w, leader, other) = two_long_jobs();
        if before {
            assert!(w.cancel(other, "job-1"));
            w.trouble[leader].refused = true;
        } else {
            w.trouble[leader].refused = true;
            assert!(w.cancel(other, "job-1"));
        }
        w.run(1000);
        w.outage = true;
        w.run(CANCEL_MS);
        w.keeps_nothing_of("job-1");
        assert!(w.runs("job-2"));
        recover(&mut w);
        w.keeps_the_rules();
    }
}

#[test]
fn a_zone_that_is_cut_off_with_its_controller_keeps_its_work_only_for_as_long_as_it_may() {
    let (mut w, ..) = two_long_jobs();
    // The south loses the rest, the state service included.
    w.trouble[2].alone = true;
    w.trouble[2].refused = true;
    for h in &mut w.hosts {
        h.cut_off = true;
    }
    w.run(4000);
    assert!(w.cancel(0, "job-1"));
    w.run(CANCEL_MS);
    w.keeps_nothing_of("job-1");
    for h in &mut w.hosts {
        h.cut_off = false;
        h.worker.run_ms = 10_000;
    }
    recover(&mut w);
    w.run(300_000);
    assert_eq!(w.poll(1, "job-2"), Some("done"));
    w.keeps_the_rules();
}

#[test]
fn jobs_cancelled_while_a_controllers_work_changes_hands_are_gone_in_time() {
    for delay in 0..12 {
        let (mut w, leader, other) = two_long_jobs();
        w.end(leader);
        // At any moment of the take-over, and of the hand-over back.
        w.run(delay * 1000);
        let third = 3 - leader - other;
        assert!(w.cancel(if delay % 2 == 0 { other } else { third }, "job-1"));
        if delay > 5 {
            w.start(leader);
        }
        w.run(CANCEL_MS);
        w.keeps_nothing_of("job-1");
        assert!(w.runs("job-2"));
        w.keeps_the_rules();
    }
}

#[test]
fn a_cancellation_that_meets_the_end_of_the_last_task_has_one_outcome() {
    for delay in 0..14 {
        let mut w = World::new(2);
        for h in &mut w.hosts {
            h.worker.run_ms = 2000;
        }
        assert!(w.submit(0, job("job-1", 1)));
        w.run(1000 + delay * 500);
        let cancelled = w.cancel(1, "job-1");
        for node in 0..3 {
            let word = w.poll(node, "job-1").unwrap();
            assert_eq!(word == "aborted", cancelled);
        }
        assert!(!w.submit(2, job("job-1", 1)));
        w.run(8000);
        for node in 0..3 {
            let word = w.poll(node, "job-1").unwrap();
            assert_eq!(word, if cancelled { "aborted" } else { "done" });
        }
        w.keeps_the_rules();
    }
}

#[test]
fn a_direct_stop_ends_what_saves_and_leaves_alone_what_has_ended_or_is_not_there() {
    use pointhook::protocol::workers::{Command, TaskState};
    let mut w = support::worker::FakeWorker::new("m1", "north", 0);
    let mut status = w.heartbeat(0);
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
    let left: Vec<_> = (0..3).map(|t| (format!("job-1/{t}"), 2)).collect();
    let c = pointhook::coordination::cancellations::direct_stops::stop_commands(&status, &left)
        .unwrap();
    // Under the worker's own token: nobody's right to command it changes.
    assert_eq!(
        (c.fencing_token, c.agent_epoch, c.commands.len()),
        (FencingToken(7), AgentEpoch(3), 1)
    );
    assert!(
        matches!(&c.commands[0], Command::Stop { task, grace_s, .. } if task == "job-1/0" && *grace_s == 0.0)
    );
    // Another attempt is none of its business.
    let other = [("job-1/0".to_string(), 1)];
    assert!(
        pointhook::coordination::cancellations::direct_stops::stop_commands(&status, &other)
            .is_none()
    );
}

#[test]
fn an_owner_that_has_heard_of_nothing_for_a_while_starts_nothing_any_more() {
    let (mut w, leader, other) = {
        let mut w = World::new(4);
        for h in &mut w.hosts {
            h.worker.run_ms = 60_000;
            h.ill.mute = true;
        }
        w.run(1000);
        (w, 0, 1)
    };
    // Claimed by its owner, which reaches no machine and then nobody else.
    for h in &mut w.hosts {
        h.ill.deaf = true;
    }
    assert!(w.submit(other, job("job-1", 4)));
    w.run(1500);
    assert!(!w.node(leader).job("job-1").placements.is_empty());
    for t in &mut w.trouble {
        t.refused = true;
        t.alone = true;
    }
    w.run(7000);
    for h in &mut w.hosts {
        h.ill = Default::default();
    }
    w.run(2500);
    assert_eq!(w.started(), 0);
    w.trouble = Default::default();
    w.run(20_000);
    assert!(w.runs("job-1"));
    w.keeps_the_rules();
}
