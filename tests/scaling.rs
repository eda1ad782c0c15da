//! What must hold in fleets of hundreds of machines and jobs of hundreds of tasks.

mod support;

use pointhook::coordination::controller::finish_times;
use pointhook::coordination::heartbeats;
use pointhook::coordination::peer_messages::status_updates;
use pointhook::coordination::reconciliation;
use pointhook::coordination::scheduler::binding::{self, QueueBinding};
use pointhook::coordination::scheduler::claims;
use pointhook::coordination::scheduler::draft;
use pointhook::coordination::scheduler::gang_reservations::gang_reservations;
use pointhook::coordination::scheduler::job_order::{self, ServiceTier};
use pointhook::coordination::scheduler::write_budget::WriteBudget;
use pointhook::protocol::peers::{self, MachineStatus, PeerRequest};
use pointhook::protocol::users::{JobKind, Priority};
use pointhook::protocol::workers::TaskState;
use pointhook::settings::Objective;
use pointhook::state::job::JobState;
use pointhook::state::machine::TaskAttempt;
use pointhook::state::units::{MonotonicMillis, Resources};
use support::controller::{one, play, Controller};
use support::job;
use support::kv_store::FakeKvStore;
use support::worker::FakeWorker;

/// Adds machines that were just heard.
fn fleet(c: &mut Controller, n: usize) {
    for i in 0..n {
        let name = format!("m{i:03}");
        let mix = c
            .cluster
            .learn_machine(&name, "oven", "north", true, MonotonicMillis(0))
            .unwrap();
        c.cluster.machine_mut(mix).unwrap().heartbeat.last_seen = Some(MonotonicMillis(0));
    }
}

#[test]
fn a_task_finds_the_one_machine_of_hundreds_that_has_its_image() {
    let (mut store, mut c) = one();
    fleet(&mut c, 400);
    c.submit(&mut store, job("job-1", 1), 0);
    let image = c.job("job-1").spec.as_ref().unwrap().image;
    let warm = c.machine("m333");
    c.cluster
        .machine_mut(warm)
        .unwrap()
        .use_image(image, 1.0, 100.0);
    let ix = c.job_ix("job-1");
    for _ in 0..20 {
        assert_eq!(
            binding::bind(&c.cluster, &c.config, ix, MonotonicMillis(10), 10),
            [QueueBinding {
                task: 0,
                machine: warm
            }]
        );
    }
}

#[test]
fn sums_kept_current_are_those_of_the_records() {
    let mut store = FakeKvStore::default();
    let mut c = Controller::start("n1", 1, &mut store, 0);
    c.members(&mut store, 0);
    fleet(&mut c, 8);
    let mut spec = job("job-1", 12);
    spec.team = "mixers".into();
    c.submit(&mut store, spec, 0);
    c.submit(&mut store, job("job-2", 20), 0);
    c.plan(&mut store, 10);
    c.cancel(&mut store, "job-2", 20);
    let mut placed = 0;
    for (mix, m) in c.cluster.all_machines() {
        let mut free = c.cluster.machine_types[&m.machine_type].capacity;
        for (ix, j) in c.cluster.active_jobs() {
            for p in j.placements.iter().filter(|p| p.machine == mix) {
                free = free.minus(j.spec.as_ref().unwrap().need);
                assert!(c
                    .cluster
                    .placed_on(mix)
                    .contains(&TaskAttempt::new(ix, p.task, p.attempt)));
                placed += 1;
            }
        }
        assert_eq!(c.cluster.free_capacity()[mix.0 as usize], Some(free));
    }
    assert!(placed > 10);
    let need = Resources::new(4.0, 1.0, 8.0);
    let team = c.cluster.team_names.find("mixers").unwrap();
    let n = c.job("job-1").placements.len() as i64;
    assert_eq!(c.cluster.quota_used(team), need.quota().times(n));
    assert_eq!(n, 2);
}

#[test]
fn a_wide_job_with_time_left_begins_within_two_minutes_of_smaller_ones() {
    let (mut store, mut c) = one();
    // Its deadline is far off, so it is in time all the while; smaller jobs keep coming.
    c.submit(&mut store, due("job-1", 200, 900.0), 0);
    for t in 100..130u64 {
        c.submit(&mut store, due(&format!("job-{t}"), 2, 900.0), t * 1000);
        let first = order(&c, t * 1000).swap_remove(0);
        assert_eq!(first == "job-1", t >= 120, "at {t} s");
    }
}

fn order(c: &Controller, wall: u64) -> Vec<String> {
    let draft = draft::DraftTransaction::default();
    let jobs = job_order::waiting_jobs(&c.pass(wall), &draft);
    let names = jobs
        .iter()
        .map(|w| c.cluster.jobs[w.job_index.0 as usize].id.to_string());
    names.collect()
}

fn due(id: &str, tasks: u32, deadline_s: f64) -> pointhook::protocol::users::JobSpec {
    let mut spec = job(id, tasks);
    spec.deadline_s = Some(deadline_s);
    spec
}

#[test]
fn among_jobs_that_can_be_in_time_the_smaller_goes_first() {
    let (mut store, mut c) = one();
    c.submit(&mut store, due("job-1", 100, 100.0), 0);
    c.submit(&mut store, due("job-2", 5, 100.0), 1000);
    c.submit(&mut store, due("job-3", 6, 100.0), 2000);
    assert_eq!(order(&c, 3000), ["job-2", "job-3", "job-1"]);
}

#[test]
fn a_late_wide_job_is_not_starved_by_younger_and_smaller_ones() {
    let (mut store, mut c) = one();
    c.submit(&mut store, due("job-1", 200, 60.0), 0);
    // Every second a small job comes that can be in time.
    let mut first = 0;
    for t in 1..=40u64 {
        c.submit(
            &mut store,
            due(&format!("job-{}", t + 1), 2, 60.0),
            55_000 + t * 1000,
        );
        let turn = order(&c, 55_000 + t * 1000);
        first += u32::from(turn[0] == "job-1");
    }
    // One second of five is its own although it is late all the while.
    assert_eq!(first, 8);
    // Before two minutes are over its first task goes first in any second.
    for t in 120..125u64 {
        c.submit(
            &mut store,
            due(&format!("job-{}", t + 1), 2, 60.0),
            t * 1000,
        );
        assert_eq!(order(&c, t * 1000)[0], "job-1");
    }
}

#[test]
fn a_wide_gang_begins_amid_steady_small_work() {
    let (mut store, mut c) = one();
    let mut workers: Vec<FakeWorker> = (0..4)
        .map(|i| FakeWorker::new(&format!("m{i}"), "north", 0))
        .collect();
    let mut gang = job("job-1000", 3);
    gang.kind = JobKind::Gang;
    gang.vcpus = 16.0;
    let mut begun = None;
    for now in (0..120_000u64).step_by(500) {
        // More small work than the machines can run, all the time.
        c.submit(&mut store, job(&format!("job-{}", now / 500), 2), now);
        if now == 10_000 {
            c.submit(&mut store, gang.clone(), now);
        }
        for reservation in gang_reservations(&c.cluster, &c.config, MonotonicMillis(now), now) {
            let (gang, until) = (reservation.job, MonotonicMillis(now + 4000));
            for m in reservation.machines {
                c.cluster.machine_mut(m).unwrap().reserve_for(gang, until);
            }
        }
        for (i, w) in workers.iter_mut().enumerate() {
            // No two tasks end together, so that a machine is never empty by chance.
            w.run_ms = 3000 + (now / 500 * 7 + i as u64 * 3) % 11 * 500;
            c.visit(&mut store, w, now);
        }
        let placed = c.cluster.job("job-1000").map(|j| j.1.placements.len());
        if begun.is_none() && placed == Some(3) {
            begun = Some(now);
        }
    }
    // It comes after ten seconds, its hold begins after five more, and what runs then ends.
    assert!(begun.is_some_and(|at| at < 30_000), "began at {begun:?}");
}

#[test]
fn a_job_as_wide_as_the_largest_arrays_runs_whole_within_one_record() {
    let mut store = FakeKvStore::default();
    store.max_value_bytes = 8 * 1024;
    let mut c = Controller::start("n1", 1, &mut store, 0);
    c.members(&mut store, 0);
    fleet(&mut c, 40);
    c.submit(&mut store, job("job-1", 80), 0);
    c.plan(&mut store, 10);
    assert_eq!(c.job("job-1").placements.len(), 80);
}

#[test]
fn news_of_a_whole_large_fleet_fits_its_frames() {
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
    let asks = status_updates::status_requests(&sender, &all);
    let mut told = 0;
    for a in &asks {
        assert!(peers::encode(a).unwrap().len() < peers::MAX_FRAME);
        let PeerRequest::Status { machines, .. } = a else {
            panic!("news")
        };
        told += machines.len();
    }
    assert_eq!(told, 1000);
    // A node without machines still tells that it is there.
    assert_eq!(status_updates::status_requests(&sender, &[]).len(), 1);
}

#[test]
fn the_loss_of_hundreds_of_machines_costs_one_change_a_job() {
    let (mut store, mut c) = one();
    fleet(&mut c, 300);
    for i in 0..12 {
        c.submit(&mut store, job(&format!("job-{i}"), 60), 0);
    }
    c.plan(&mut store, 10);
    let placed = |c: &Controller| -> usize {
        c.cluster
            .active_jobs()
            .map(|(_, j)| j.placements.len())
            .sum()
    };
    assert_eq!(placed(&c), 720);
    let machines: Vec<_> = c.cluster.occupied().collect();
    assert!(machines.len() >= 180);
    for m in &machines {
        c.cluster.mark_deleted(*m);
    }
    let mut changes = 0;
    loop {
        let mut d = draft::DraftTransaction::default();
        reconciliation::reconcile(&c.pass(20), &mut d);
        if d.is_empty() {
            break;
        }
        changes += d.jobs.len();
        let txn = pointhook::coordination::kv::transaction(&c.cluster, &d);
        let out = Controller::send(&mut store, &txn, 20);
        pointhook::coordination::kv::apply_outcome(&mut c.cluster, &d, &out);
    }
    assert_eq!((placed(&c), changes), (0, 12));
}

#[test]
fn ends_of_an_array_are_gathered_but_its_last_is_not_and_its_room_is_free_at_once() {
    let (mut store, mut c) = one();
    let mut w = FakeWorker::new("m1", "north", 0);
    w.run_ms = 2000;
    c.submit(&mut store, job("job-1", 4), 0);
    play(&mut c, &mut store, &mut [&mut w], 0, 1500);
    assert_eq!(c.job("job-1").placements.len(), 4);
    let later = |c: &Controller, now| {
        let mut d = draft::DraftTransaction::batching(true);
        reconciliation::reconcile(&c.pass(now), &mut d);
        claims::claim(&c.pass(now), &mut d);
        d
    };
    // Three of four are done: nothing is written yet, but what is urgent has their room.
    let mut r = w.heartbeat(4000);
    r.tasks[3].state = TaskState::Running;
    r.tasks[3].exit_reason = None;
    let take = |c: &mut Controller, r| {
        heartbeats::receive(&mut c.cluster, &c.config, r, 10_000, MonotonicMillis(4000))
    };
    take(&mut c, &r);
    assert!(later(&c, 4000).is_empty());
    let mut urgent = job("job-2", 3);
    urgent.priority = Priority::High;
    c.submit(&mut store, urgent, 4000);
    c.submit(&mut store, job("job-3", 1), 4000);
    let d = later(&c, 4010);
    assert_eq!(d.claims.len(), 3);
    assert!(d.claims.iter().all(|claim| claim.job == c.job_ix("job-2")));
    // Once the last is done as well, the job's end is written at once, with all of them.
    let r = w.heartbeat(5000);
    take(&mut c, &r);
    let d = later(&c, 5000);
    assert_eq!(d.jobs[&c.job_ix("job-1")].state, JobState::Done);
}

#[test]
fn the_nearer_the_limit_on_changes_the_longer_arrays_news_is_gathered() {
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
    let (_, mut c) = one();
    fleet(&mut c, 2000);
    for i in 0..1990 {
        let mix = c.machine(&format!("m{i:03}"));
        c.cluster.mark_deleted(mix);
    }
    assert_eq!(c.cluster.all_machines().count(), 10);
    // Late lists and reports bring none back.
    let again = c
        .cluster
        .learn_machine("m005", "oven", "north", true, MonotonicMillis(9));
    assert!(again.is_none());
    assert_eq!(c.cluster.all_machines().count(), 10);
}

#[test]
fn a_job_that_missed_one_time_of_several_still_keeps_the_last() {
    let (mut store, mut c) = one();
    let times = [350.0, 150.0, 250.0].map(|t| Objective {
        kind: "finished".into(),
        class: Some("bake".into()),
        within_s: Some(t),
    });
    c.config.completion_targets = finish_times(&times);
    assert_eq!(
        c.config.completion_targets["bake"],
        [150_000, 250_000, 350_000]
    );
    let mut c = begun_at_once(c, &mut store, "job-1", 40);
    // Younger work keeps coming that can make the first time.
    let tier = |c: &Controller, age: u64| {
        let job = c.job("job-1");
        job_order::service_tier(&c.config, job, job.spec.as_ref().unwrap(), age * 1000 + 1)
    };
    assert_eq!(tier(&c, 100), ServiceTier::OnTime);
    // It can't make 150 s any more, but the last: it goes first before that is in doubt.
    assert_eq!(tier(&c, 141), ServiceTier::First);
    assert_eq!(tier(&c, 300), ServiceTier::First);
    // Once that is gone too, it goes behind, but for one second of five.
    assert_eq!(tier(&c, 341), ServiceTier::Late);
    assert_eq!(tier(&c, 345), ServiceTier::First);
    // With a deadline of its own that it missed early, it is patient for a while.
    c.config
        .completion_targets
        .insert("bake".into(), vec![350_000]);
    let mut spec = due("job-2", 40, 60.0);
    spec.class = "bake".into();
    c.submit(&mut store, spec, 1);
    c.plan(&mut store, 10);
    let job = c.job("job-2");
    let at = |age: u64| {
        job_order::service_tier(&c.config, job, job.spec.as_ref().unwrap(), age * 1000 + 1)
    };
    assert!(!job.placements.is_empty());
    assert_eq!(at(40), ServiceTier::OnTime);
    assert_eq!(at(61), ServiceTier::LateForFirst);
    assert_eq!(at(139), ServiceTier::LateForFirst);
    assert_eq!(at(140), ServiceTier::First);
}

/// Adds machines and a job of which some tasks have begun.
fn begun_at_once(mut c: Controller, store: &mut FakeKvStore, id: &str, tasks: u32) -> Controller {
    fleet(&mut c, 15);
    c.submit(store, job(id, tasks), 1);
    c.plan(store, 10);
    assert!(!c.job(id).placements.is_empty());
    c
}
