//! Two troubles at a time: several controllers, scripted workers, a state service that fails in
//! parts, and one checker of the rules.

mod support;

use pointhook::coordination::scheduler::draft;
use pointhook::coordination::scheduler::quota;
use pointhook::protocol::users::JobKind;
use support::controller::{CANCEL_MS, LEASE_MS};
use support::job;
use support::scenarios::{recover, two_long_jobs};
use support::world::World;

#[test]
fn a_share_lowered_late_is_not_claimed_from_meanwhile() {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.worker.run_ms = 200_000;
        h.worker.image_pull_ms = 500;
    }
    let small = |id: &str, tasks| pointhook::protocol::users::JobSpec {
        team: "mixers".into(),
        ..job(id, tasks)
    };
    // One controller holds the whole of the team's limit, and its tasks end.
    let (north, south) = (0, 2);
    let mut first = small("job-1", 2);
    first.zone = Some("north".into());
    assert!(w.submit(north, first));
    w.run(5000);
    assert!(w.runs("job-1"));
    assert!(w.cancel(north, "job-1"));
    w.run(6000);
    assert!(!w.runs("job-1"));
    // Something of the team waits, so that shares are lowered.
    let mut waits = small("job-9", 1);
    waits.vcpus = 1000.0;
    let c = w.owner_of_zone("north");
    assert!(w.submit(c, waits));
    let team = pointhook::state::names::TeamIndex(1);
    let lowered = {
        let c = w.node(c);
        let mut d = draft::DraftTransaction::default();
        quota::lower_unused_quota(&c.pass(0), &mut d);
        assert!(d.team_quotas.contains_key(&team));
        d
    };
    // Nothing is heard of it, and it is carried out after what comes next.
    let late = pointhook::coordination::kv::transaction(&w.node(c).cluster, &lowered);
    let unknown = pointhook::coordination::kv::CommitOutcome::Unknown;
    pointhook::coordination::kv::apply_outcome(&mut w.node(c).cluster, &lowered, &unknown);
    let mut second = small("job-2", 2);
    second.zone = Some("north".into());
    assert!(w.submit(north, second));
    w.run(3000);
    w.store.commit(&late, w.now);
    assert!(w.submit(south, small("job-3", 2)));
    w.run(10_000);
    assert!(w.runs("job-2"));
    w.keeps_the_rules();
}

#[test]
fn an_old_report_of_a_wait_that_ran_out_proves_nothing_to_a_new_owner() {
    let (mut store, mut c) = support::controller::one();
    let mut worker = support::worker::FakeWorker::new("m1", "north", 0);
    let mut gang = job("job-1", 1);
    gang.kind = pointhook::protocol::users::JobKind::Gang;
    c.submit(&mut store, gang, 0);
    support::controller::play(&mut c, &mut store, &mut [&mut worker], 0, 1500);
    assert!(worker.has_task("job-1/0"));
    worker.time_out_gang_wait();
    let old = worker.heartbeat(1500);
    // It waits again in its place, under the same attempt.
    c.visit(&mut store, &mut worker, 2000);
    assert!(worker.has_task("job-1/0"));
    // A new owner gets a copy of the report from before; the job has been cancelled.
    store.revoke_lease(c.lease);
    let mut new = support::controller::Controller::start("s1", 2, &mut store, 2500);
    assert_eq!(new.members(&mut store, 2500), 3);
    new.cancel(&mut store, "job-1", 2600);
    let _ = new.report(&mut store, &old, 2700);
    assert_eq!(new.job("job-1").placements.len(), 1);
}

#[test]
fn a_gang_lost_while_one_of_it_is_told_to_wait_again_leaves_that_in_its_place() {
    let (mut store, mut c) = support::controller::one();
    let mut hosts = [("m1", 0), ("m2", 0)].map(|(n, t)| {
        let mut w = support::worker::FakeWorker::new(n, "north", t);
        w.image_pull_ms = 60_000;
        w
    });
    for w in &mut hosts {
        c.visit(&mut store, w, 0);
        c.visit(&mut store, w, 500);
    }
    let mut gang = job("job-1", 2);
    gang.kind = JobKind::Gang;
    gang.gpus = 3.0;
    c.submit(&mut store, gang, 600);
    c.plan(&mut store, 600);
    for w in &mut hosts {
        c.visit(&mut store, w, 1000);
    }
    let [first, second] = &mut hosts;
    assert!(first.has_task("job-1/0") && second.has_task("job-1/1"));
    first.time_out_gang_wait();
    let r = first.heartbeat(1500);
    let answer = c.report(&mut store, &r, 1500).unwrap();
    assert_eq!(answer.commands.len(), 2, "forget and start");
    // The answer is on its way when the other's machine is deleted.
    let other = c.machine("m2");
    c.cluster.mark_deleted(other);
    c.plan(&mut store, 1600);
    let job = c.job("job-1");
    assert!(job.placement(0).is_some(), "its end is not for good");
    assert!(first.receive_response(&answer, r.agent_epoch, 1500, 2500));
    assert!(first.has_task("job-1/0"));
    // It is stopped there, and then the gang begins anew.
    support::controller::play(&mut c, &mut store, &mut [first], 3000, 6000);
    assert!(!first.has_task("job-1/0"));
    assert!(c.job("job-1").placements.is_empty());
}

#[test]
fn an_end_of_an_earlier_session_proves_nothing_once_the_shard_is_back() {
    let (mut store, mut c) = support::controller::one();
    let mut worker = support::worker::FakeWorker::new("m1", "north", 0);
    worker.run_ms = 60_000;
    let mut two = job("job-1", 1);
    two.kind = JobKind::Gang;
    c.submit(&mut store, two, 0);
    support::controller::play(&mut c, &mut store, &mut [&mut worker], 0, 3000);
    assert!(worker.has_task("job-1/0"));
    // Its owner reads of its end, cut off from the state service.
    let mut r = worker.heartbeat(3000);
    r.tasks[0].state = pointhook::protocol::workers::TaskState::Exited;
    r.tasks[0].exit_reason = Some(pointhook::protocol::workers::ExitReason::GangMemberLost);
    let _ = c.report_without_store(&r, 3000);
    // Another takes the shard; the session has ended, and the attempt is started once more.
    store.revoke_lease(c.lease);
    let mut other = support::controller::Controller::start("s1", 2, &mut store, 9000);
    assert_eq!(other.members(&mut store, 9000), 3);
    worker.expire_lease(14_000);
    support::controller::play(&mut other, &mut store, &mut [&mut worker], 14_000, 16_000);
    assert!(worker.has_task("job-1/0"));
    // The first has the shard back, and remembers that end.
    store.revoke_lease(other.lease);
    let key = format!("{}node/n1", pointhook::state::cluster_state::ROOT);
    assert_eq!(store.version(&key), 0);
    c.sync(&store);
    c.keep_shards(&mut store, 17_000);
    c.keep_shards(&mut store, 17_500);
    assert!(c.owns(0));
    c.plan(&mut store, 18_000);
    assert_eq!(c.job("job-1").placements.len(), 1);
    assert_eq!(c.job("job-1").next_attempt, 2);
}

/// A world whose small team is at its limit, with a job that waits for it.
fn at_the_limit() -> World {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.worker.run_ms = 60_000;
    }
    for (id, zone) in [("job-1", "north"), ("job-2", "south")] {
        let mut spec = job(id, 1);
        spec.team = "mixers".into();
        spec.zone = Some(zone.into());
        assert!(w.submit(0, spec));
    }
    w.run(4000);
    let mut waits = job("job-3", 2);
    waits.team = "mixers".into();
    assert!(w.submit(1, waits));
    w.run(5000);
    assert!(w.runs("job-1") && w.runs("job-2") && !w.runs("job-3"));
    w
}

#[test]
fn a_team_at_its_limit_keeps_it_while_cancelled_tasks_are_cut_off_and_the_leader_changes() {
    for ill in 0..3 {
        let mut w = at_the_limit();
        let host = w.hosts.iter().position(|h| h.worker.has_task("job-1/0"));
        let host = host.unwrap();
        let leader = w.owner_of(host).unwrap();
        let h = &mut w.hosts[host].ill;
        match ill {
            0 => h.mute = true,
            1 => h.hangs = true,
            _ => (h.deaf, h.loses_answers) = (true, true),
        }
        w.end(leader);
        w.run(1000);
        let other = (leader + 1) % 3;
        assert!(w.cancel(other, "job-1"));
        w.run(8000);
        w.start(leader);
        w.run(CANCEL_MS);
        w.hosts[host].ill = Default::default();
        w.run(160_000);
        assert_eq!(w.over(), 3, "{ill}: work is left");
        w.keeps_the_rules();
    }
}

#[test]
fn machines_that_are_up_at_once_get_work_once_while_writes_lag_and_the_leader_ends() {
    let mut w = World::new(2);
    w.store.execution_delay_ms = Some(3000);
    assert!(!w.submit(0, job("job-1", 4)), "its answer is lost");
    w.run(4000);
    let host = w.boot("north");
    w.run(1000);
    w.boot("north");
    w.run(2000);
    let leader = w.owner_of(host).unwrap_or(0);
    w.end(leader);
    w.run(3000);
    w.store.execution_delay_ms = None;
    let other = (leader + 1) % 3;
    // The user sends it again, and it is known.
    assert!(!w.submit(other, job("job-1", 4)));
    w.told_again("job-1", job("job-1", 4));
    w.run(9000);
    w.start(leader);
    w.run(40_000);
    assert_eq!(w.poll(other, "job-1"), Some("done"));
    w.keeps_the_rules();
}

#[test]
fn commands_held_for_seconds_start_nothing_twice_and_nothing_that_was_cancelled() {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.ill.slow = true;
        h.worker.run_ms = 8000;
    }
    for i in 1..=6 {
        assert!(w.submit(i % 3, job(&format!("job-{i}"), 3)));
        w.run(1500);
        if i % 2 == 0 {
            assert!(w.cancel((i + 1) % 3, &format!("job-{i}")));
        }
        let h = &mut w.hosts[i % 4].ill;
        h.hangs = !h.hangs;
    }
    w.run(8000);
    for h in &mut w.hosts {
        h.ill = Default::default();
    }
    w.run(60_000);
    assert_eq!(w.over(), 6);
    w.keeps_the_rules();
}

#[test]
fn jobs_bound_to_one_zone_stay_in_it_when_their_machines_are_lost() {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.worker.run_ms = 20_000;
    }
    for (id, shape) in [("job-1", JobKind::Array), ("job-2", JobKind::Gang)] {
        let mut spec = job(id, 3);
        spec.one_zone = true;
        spec.kind = shape;
        assert!(w.submit(0, spec));
    }
    w.run(5000);
    let on = |w: &World, t: &str| w.hosts.iter().position(|h| h.worker.has_task(t));
    let lost = on(&w, "job-1/0").unwrap();
    w.hosts[lost].ill.hangs = true;
    w.hosts[lost].ill.mute = true;
    w.run(15_000);
    w.hosts[lost].ill = Default::default();
    w.run(120_000);
    assert_eq!(w.over(), 2);
    w.keeps_the_rules();
}

#[test]
fn users_of_a_leader_that_is_cut_off_get_nothing_old_from_it() {
    let (mut w, leader, other) = two_long_jobs();
    w.trouble[leader].refused = true;
    w.trouble[leader].alone = true;
    w.run(3000);
    assert!(w.cancel(other, "job-1"));
    for _ in 0..40 {
        assert_eq!(w.poll(other, "job-1"), Some("aborted"));
        assert_eq!(w.poll(leader, "job-1"), None);
        assert!(!w.cancel(leader, "job-2"));
        w.run(1000);
    }
    assert!(w.runs("job-2"));
    recover(&mut w);
    w.keeps_the_rules();
}

#[test]
fn leaders_that_change_ten_times_in_two_minutes_also_in_an_outage_lose_nothing() {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.worker.run_ms = 15_000;
    }
    for i in 0..10 {
        let at = i % 3;
        let next = (at + 1) % 3;
        let id = format!("job-{}", i + 1);
        w.submit(at, job(&id, 3));
        w.run(3000);
        w.outage = i % 4 == 2;
        w.end(at);
        w.run(4000);
        if i % 3 == 1 {
            w.cancel(next, &id);
        }
        w.run(2000);
        w.outage = false;
        w.start(at);
        w.run(3000);
    }
    w.run(90_000);
    assert_eq!(w.over(), w.accepted());
    w.keeps_the_rules();
}

#[test]
fn tasks_that_end_far_apart_across_a_change_of_leader_end_once() {
    let mut w = World::new(4);
    for (h, ms) in w.hosts.iter_mut().zip([4000, 12_000, 20_000, 28_000]) {
        h.worker.run_ms = ms;
        // One task each, so that the job's tasks are on different machines.
        h.worker.image_pull_ms = 500;
    }
    let mut spec = job("job-1", 3);
    spec.gpus = 4.0;
    assert!(w.submit(0, spec));
    w.run(6000);
    let host = w.hosts.iter().position(|h| h.worker.has_task("job-1/1"));
    let leader = w.owner_of(host.unwrap()).unwrap();
    w.end(leader);
    w.run(8000);
    w.start(leader);
    w.run(60_000);
    assert_eq!(w.poll((leader + 1) % 3, "job-1"), Some("done"));
    assert_eq!(w.started(), 3);
    w.keeps_the_rules();
}

#[test]
fn old_reports_that_reach_every_controller_as_a_new_leader_begins_prove_nothing() {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.worker.run_ms = 12_000;
    }
    for i in 1..=4 {
        assert!(w.submit(i % 3, job(&format!("job-{i}"), 4)));
        w.run(2000);
    }
    let leader = w.owner_of(0).unwrap();
    w.end(leader);
    for _ in 0..24 {
        w.run(500);
        for host in 0..4 {
            let sent = w.hosts[host].sent.len();
            for at in 0..3 {
                // One from long ago, and the newest that went to the old leader.
                w.deliver_old(host, sent / 3, at);
                w.deliver_old(host, sent - 1, at);
            }
        }
    }
    w.start(leader);
    w.run(90_000);
    assert_eq!(w.over(), 4);
    assert_eq!(w.started(), 16, "a task started anew for an old report");
    w.keeps_the_rules();
}

#[test]
fn transactions_whose_answers_are_lost_contradict_nothing_that_others_have_read() {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.worker.run_ms = 4000;
    }
    w.store.drops_responses = true;
    for i in 1..=9 {
        let id = format!("job-{i}");
        let at = i % 3;
        assert!(!w.submit(at, job(&id, 2)), "no answer");
        // Another has read it, and the user sends it once more to the first.
        w.told_again(&id, job(&id, 2));
        for step in 0..6 {
            w.run(500);
            for node in 0..3 {
                w.poll(node, &id);
            }
            if step == 3 && i % 3 == 0 {
                assert!(!w.cancel(at, &id), "no answer");
                assert_eq!(w.poll((at + 1) % 3, &id), Some("aborted"));
                assert_eq!(w.poll(at, &id), Some("aborted"));
            }
        }
    }
    w.store.drops_responses = false;
    w.run(40_000);
    assert_eq!(w.over(), 9);
    w.keeps_the_rules();
}

#[test]
fn work_goes_on_after_all_controllers_were_away_for_longer_than_a_lease() {
    let (mut w, ..) = two_long_jobs();
    for h in &mut w.hosts {
        h.worker.run_ms = 10_000;
    }
    for at in 0..3 {
        w.end(at);
    }
    w.run(2 * LEASE_MS);
    assert!(!w.runs("job-1"));
    for at in [2, 0, 1] {
        w.start(at);
        w.run(700);
    }
    assert!(w.cancel(1, "job-2"));
    w.run(60_000);
    assert_eq!(w.poll(0, "job-1"), Some("done"));
    w.keeps_the_rules();
}

#[test]
fn one_task_jobs_four_a_second_pass_within_the_limits() {
    let mut w = World::new(8);
    for h in &mut w.hosts {
        h.worker.run_ms = 1500;
        h.worker.image_pull_ms = 500;
    }
    w.store.max_writes_per_s = 20.0;
    let (mut sent, mut refused) = (0, 0);
    for _ in 0..120 {
        for _ in 0..2 {
            sent += 1;
            let id = format!("job-{sent}");
            if !w.submit(sent % 3, job(&id, 1)) {
                refused += 1;
                continue;
            }
            if sent % 4 == 0 {
                w.cancel((sent + 1) % 3, &id);
            }
        }
        w.run(500);
    }
    // What was refused was told so at once; there is little of it.
    assert!(refused < sent / 10, "{refused} of {sent}");
    w.run(60_000);
    assert_eq!(w.over(), w.accepted());
    w.keeps_the_rules();
}

#[test]
fn users_who_look_at_all_nodes_at_once_see_nothing_older() {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.worker.run_ms = 2000;
    }
    for i in 0..12 {
        let id = format!("job-{i}1");
        let at = i % 3;
        assert!(w.submit(at, job(&id, 2)));
        if i % 3 == 0 {
            assert!(w.cancel((at + 1) % 3, &id));
        }
        for step in 0..16 {
            for node in 0..3 {
                assert!(w.poll((node + step) % 3, &id).is_some());
                // The same submission again makes no second job.
                assert!(!w.submit(node, job(&id, 2)));
            }
            w.run(500);
        }
    }
    w.run(20_000);
    assert_eq!(w.over(), 12);
    w.keeps_the_rules();
}

#[test]
fn a_leader_ends_while_machines_with_long_tasks_hear_nobody_or_are_not_heard() {
    for mute in [true, false] {
        let (mut w, leader, other) = two_long_jobs();
        let host = w.hosts.iter().position(|h| h.worker.has_task("job-1/0"));
        let ill = &mut w.hosts[host.unwrap()].ill;
        (ill.mute, ill.deaf) = (mute, !mute);
        w.end(leader);
        w.run(4000);
        assert!(w.cancel(other, "job-1"));
        w.run(8000);
        w.start(leader);
        w.run(CANCEL_MS - 8000);
        w.keeps_nothing_of("job-1");
        w.hosts[host.unwrap()].ill = Default::default();
        for h in &mut w.hosts {
            h.worker.run_ms = 5000;
        }
        w.run(250_000);
        assert_eq!(w.over(), 2);
        w.keeps_the_rules();
    }
}

#[test]
fn controllers_hand_over_and_back_all_end_and_one_is_back_within_a_second() {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.worker.run_ms = 9000;
    }
    for round in 0..4 {
        let id = format!("job-{}", round + 1);
        assert!(w.submit(round % 3, job(&id, 4)));
        w.run(2500);
        for at in 0..3 {
            w.end(at);
        }
        // Back amid what the others' keys still say.
        w.run(500);
        w.start(round % 3);
        w.run(1500);
        if round % 2 == 0 {
            assert!(w.cancel(round % 3, &id));
        }
        for at in 0..3 {
            if w.nodes[at].is_none() {
                w.start(at);
            }
            w.run(1000);
        }
    }
    w.run(90_000);
    assert_eq!(w.over(), 4);
    w.keeps_the_rules();
}

#[test]
fn more_work_than_room_urgent_and_not_over_slow_links_runs_by_its_rank() {
    let mut w = World::new(2);
    for h in &mut w.hosts {
        h.worker.run_ms = 12_000;
        h.ill.slow = true;
    }
    for i in 1..=4 {
        let mut spec = job(&format!("job-{i}"), 4);
        spec.priority = pointhook::protocol::users::Priority::Low;
        assert!(w.submit(i % 3, spec));
    }
    w.run(6000);
    let mut urgent = job("job-9", 4);
    urgent.priority = pointhook::protocol::users::Priority::Production;
    assert!(w.submit(0, urgent));
    w.run(30_000);
    assert!(w.begun("job-9"), "the urgent job waits behind the rest");
    w.run(160_000);
    assert_eq!(w.over(), 5);
    w.keeps_the_rules();
}
