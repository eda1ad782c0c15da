//! Jobs that need others, limits that fall, and both forms of records.

mod support;

use pointhook::coordination::kv::CommitOutcome;
use pointhook::coordination::membership::begin_record_format_v2;
use pointhook::coordination::scheduler::preemption;
use pointhook::protocol::kv::Limits;
use pointhook::protocol::users::{parse_job, JobKind, JobSpec, Priority, MAX_DEPENDENCIES};
use pointhook::state::cluster_state::ROOT;
use pointhook::state::job::JobState;
use pointhook::state::records::RECORD_FORMAT_V2;
use pointhook::state::units::Incarnation;
use support::controller::{one, Controller, CANCEL_MS};
use support::job;
use support::world::World;

fn after(id: &str, tasks: u32, awaits: &[&str]) -> JobSpec {
    JobSpec {
        dependencies: awaits.iter().map(|s| s.to_string()).collect(),
        ..job(id, tasks)
    }
}

/// A world in the second form, whose tasks run for this long.
fn world(run_ms: u64) -> World {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.worker.run_ms = run_ms;
    }
    w.begin_record_format_v2();
    w
}

fn submission(awaits: rmpv::Value) -> Vec<u8> {
    let bytes = rmp_serde::to_vec_named(&job("job-9", 1)).unwrap();
    let mut v = rmpv::decode::read_value(&mut bytes.as_slice()).unwrap();
    if let rmpv::Value::Map(m) = &mut v {
        m.push(("awaits".into(), awaits));
    }
    let mut out = Vec::new();
    rmpv::encode::write_value(&mut out, &v).unwrap();
    out
}

#[test]
fn a_submission_names_what_it_awaits_in_every_form_that_the_page_allows() {
    use rmpv::Value;
    let list = |ids: &[&str]| Value::Array(ids.iter().map(|i| Value::from(*i)).collect());
    let read = |v| parse_job(&submission(v));
    assert_eq!(read(Value::Nil).unwrap().dependencies, Vec::<String>::new());
    assert_eq!(read(list(&[])).unwrap().dependencies, Vec::<String>::new());
    let twice = read(list(&["job-1", "job-2", "job-1"])).unwrap();
    assert_eq!(twice.dependencies, ["job-1", "job-2"]);
    assert!(parse_job(&rmp_serde::to_vec_named(&job("job-9", 1)).unwrap()).is_some());
    // Not a list, not text, the job itself.
    assert!(read(Value::from("job-1")).is_none());
    assert!(read(Value::Array(vec![Value::from(1)])).is_none());
    assert!(read(list(&["job-1", "job-9"])).is_none());
    // As many as a record holds under limits a fraction of today's.
    let many: Vec<String> = (0..MAX_DEPENDENCIES)
        .map(|i| format!("job-{i:06}"))
        .collect();
    let mut spec = job("job-9", 1);
    spec.dependencies = many;
    let (mut store, mut c) = one();
    store.max_value_bytes = 2048;
    assert!(matches!(
        c.submit(&mut store, spec, 0),
        CommitOutcome::Committed(_)
    ));
}

#[test]
fn nothing_of_a_job_starts_before_all_that_it_needs_is_done() {
    let mut w = world(3000);
    for (id, awaits) in [
        ("job-1", vec![]),
        ("job-2", vec!["job-1"]),
        ("job-3", vec!["job-1"]),
        ("job-4", vec!["job-2", "job-3"]),
    ] {
        assert!(w.submit(2, after(id, 2, &awaits)));
    }
    w.run(1500);
    assert_eq!(w.poll(0, "job-4"), Some("pending"));
    w.run(40_000);
    assert_eq!(w.over(), 4);
    w.keeps_the_rules();
}

#[test]
fn a_gang_and_a_service_wait_too_and_hold_nothing_meanwhile() {
    let mut w = world(30_000);
    let mut first = job("job-1", 1);
    first.team = "mixers".into();
    assert!(w.submit(0, first));
    for (id, shape) in [("job-2", JobKind::Gang), ("job-3", JobKind::Service)] {
        let mut spec = after(id, 2, &["job-1"]);
        spec.kind = shape;
        spec.team = "mixers".into();
        assert!(w.submit(1, spec));
    }
    // What waits for others holds no part of its team's limit of two.
    let mut other = job("job-4", 1);
    other.team = "mixers".into();
    assert!(w.submit(2, other));
    w.run(8000);
    assert!(w.runs("job-1") && w.runs("job-4"));
    assert!(!w.begun("job-2") && !w.begun("job-3"));
    w.run(60_000);
    assert!(w.begun("job-2") || w.begun("job-3"));
    w.keeps_the_rules();
}

#[test]
fn a_cancellation_takes_with_it_all_that_need_the_job_however_far() {
    let mut w = world(20_000);
    assert!(w.submit(0, job("job-1", 1)));
    assert!(w.submit(0, after("job-2", 1, &["job-1"])));
    assert!(w.submit(1, after("job-3", 1, &["job-1"])));
    assert!(w.submit(2, after("job-4", 1, &["job-2", "job-3"])));
    let mut last = "job-4".to_string();
    for i in 10..310 {
        let id = format!("job-{i}");
        assert!(w.submit(i % 3, after(&id, 1, &[&last])));
        last = id;
    }
    assert!(w.submit(0, job("job-5", 1)));
    w.run(4000);
    assert!(w.cancel(1, "job-2"));
    // Every node says so of all of them at once, before any record does.
    for at in 0..3 {
        for id in ["job-4", "job-10", "job-200", last.as_str()] {
            assert_eq!(w.poll(at, id), Some("aborted"), "{id} at {at}");
        }
        assert_ne!(w.poll(at, "job-1"), Some("aborted"));
        assert_ne!(w.poll(at, "job-3"), Some("aborted"));
    }
    // One that comes later, and names a cancelled job, is accepted and cancelled.
    assert!(w.submit(2, after("job-999", 1, &["job-5", "job-4"])));
    for at in 0..3 {
        assert_eq!(w.poll(at, "job-999"), Some("aborted"));
    }
    w.run(CANCEL_MS);
    assert!(!w.begun("job-4") && !w.begun(&last));
    // The records follow, a few at a time.
    w.run(200_000);
    for at in 0..3 {
        assert!(w.node(at).cluster.dependency_graph.unwritten.is_empty());
    }
    w.keeps_the_rules();
}

#[test]
fn a_cancellation_that_is_answered_with_done_cancels_nothing() {
    let mut w = world(2000);
    assert!(w.submit(0, job("job-1", 1)));
    w.run(8000);
    assert_eq!(w.poll(1, "job-1"), Some("done"));
    assert!(w.submit(1, after("job-2", 1, &["job-1"])));
    assert!(!w.cancel(2, "job-1"));
    w.run(12_000);
    assert_eq!(w.poll(0, "job-2"), Some("done"));
    w.keeps_the_rules();
}

#[test]
fn a_dependent_submitted_at_the_moment_of_the_cancellation_is_cancelled_whichever_comes_first() {
    for cancel_first in [true, false] {
        let mut w = world(20_000);
        assert!(w.submit(0, job("job-1", 1)));
        w.run(3000);
        if cancel_first {
            // The node that takes the dependent has not heard of it.
            w.trouble[1].alone = true;
            assert!(w.cancel(0, "job-1"));
            assert!(w.submit(1, after("job-2", 1, &["job-1"])));
        } else {
            assert!(w.submit(1, after("job-2", 1, &["job-1"])));
            assert!(w.cancel(0, "job-1"));
        }
        for at in 0..3 {
            assert_eq!(w.poll(at, "job-2"), Some("aborted"));
        }
        w.trouble[1].alone = false;
        w.run(40_000);
        assert!(!w.begun("job-2"));
        w.keeps_the_rules();
    }
}

#[test]
fn the_answer_to_a_submission_is_no_older_than_the_cancellation_it_follows() {
    use pointhook::coordination::job_api::accepted;
    use pointhook::protocol::users::JobStatus;
    let (mut store, mut c) = one();
    let status = |c: &Controller, id: &str| {
        let answer = accepted(&c.cluster, id, c.job(id).version);
        assert_eq!(answer.status, 201);
        let body: JobStatus = rmp_serde::from_slice(&answer.body).unwrap();
        body.status
    };
    c.submit(&mut store, job("job-1", 1), 0);
    c.submit(&mut store, after("job-2", 1, &["job-1"]), 100);
    assert_eq!(status(&c, "job-2"), "pending");
    c.cancel(&mut store, "job-1", 200);
    c.submit(&mut store, after("job-3", 1, &["job-1"]), 300);
    c.submit(&mut store, after("job-4", 1, &["job-3"]), 400);
    assert_eq!(status(&c, "job-3"), "aborted");
    assert_eq!(status(&c, "job-4"), "aborted");
}

#[test]
fn readiness_holds_over_stale_views_late_writes_outages_and_takeovers() {
    let mut w = world(6000);
    assert!(w.submit(0, job("job-1", 3)));
    assert!(w.submit(1, after("job-2", 3, &["job-1"])));
    assert!(w.submit(2, after("job-3", 3, &["job-2"])));
    w.run(3000);
    w.store.execution_delay_ms = Some(3000);
    w.run(6000);
    w.store.execution_delay_ms = None;
    w.trouble[1].refused = true;
    w.run(4000);
    w.end(0);
    w.run(8000);
    w.outage = true;
    w.run(6000);
    w.outage = false;
    w.trouble[1].refused = false;
    w.start(0);
    w.run(90_000);
    assert_eq!(w.over(), 3);
    w.keeps_the_rules();
}

#[test]
fn times_count_from_the_end_of_the_last_dependency_also_after_restarts_of_all() {
    let mut w = world(4000);
    assert!(w.submit(0, job("job-1", 1)));
    let mut second = after("job-2", 1, &["job-1"]);
    second.vcpus = 1000.0;
    assert!(w.submit(0, second));
    w.run(20_000);
    let job = w.node(1).job("job-1").clone();
    assert!(job.finished_at > 0);
    assert_eq!(
        w.node(1).job("job-2").dependency_state.eligible_since,
        job.finished_at
    );
    let mut wide = after("job-3", 1, &["job-1"]);
    wide.vcpus = 1000.0;
    assert!(w.submit(0, wide));
    for at in 0..3 {
        w.end(at);
    }
    w.run(3000);
    for at in 0..3 {
        w.start(at);
        // It was submitted after that end, so that counts.
        let node = w.node(at);
        let own = node.job("job-3").submitted_at;
        assert_eq!(node.job("job-3").dependency_state.eligible_since, own);
        assert_eq!(node.job("job-1").finished_at, job.finished_at);
    }
}

#[test]
fn priority_and_deadline_are_lent_to_what_the_last_job_needs_also_when_it_comes_late() {
    let (mut store, mut c) = one();
    let mut first = job("job-1", 1);
    first.priority = Priority::Low;
    let mut second = after("job-2", 1, &["job-1"]);
    second.priority = Priority::Normal;
    c.submit(&mut store, first, 1000);
    c.submit(&mut store, second, 2000);
    assert_eq!(c.job("job-1").dependency_state.priority, Priority::Normal);
    assert_eq!(c.job("job-1").dependency_state.deadline, None);
    let mut last = after("job-3", 1, &["job-2"]);
    last.priority = Priority::High;
    last.deadline_s = Some(100.0);
    last.estimated_run_s = 20.0;
    c.submit(&mut store, last, 3000);
    for id in ["job-1", "job-2", "job-3"] {
        assert_eq!(c.job(id).dependency_state.priority, Priority::High);
    }
    let due = |c: &Controller, id: &str| c.job(id).dependency_state.deadline.unwrap();
    assert_eq!(due(&c, "job-3"), 103_000);
    // The end less what it takes, and a little for each stage.
    assert!((75_000..83_000).contains(&due(&c, "job-2")));
    assert!(due(&c, "job-1") < due(&c, "job-2") - 10_000);
    // Once the last is cancelled nothing of it is lent any more.
    c.cancel(&mut store, "job-3", 4000);
    assert_eq!(c.job("job-1").dependency_state.priority, Priority::Normal);
    assert_eq!(c.job("job-1").dependency_state.deadline, None);
}

#[test]
fn what_an_urgent_job_needs_is_not_stopped_for_another_urgent_one() {
    use pointhook::state::names::ShardIndex;
    for needed in [false, true] {
        let (mut store, mut c) = one();
        let mut w = support::worker::FakeWorker::new("m1", "north", 0);
        w.run_ms = 100_000;
        let mut low = job("job-1", 1);
        (low.priority, low.gpus, low.checkpoint_s) = (Priority::Low, 4.0, 10.0);
        c.submit(&mut store, low, 0);
        support::controller::play(&mut c, &mut store, &mut [&mut w], 0, 4000);
        assert!(w.has_task("job-1/0"));
        if needed {
            let mut last = after("job-2", 1, &["job-1"]);
            last.priority = Priority::High;
            c.submit(&mut store, last, 4000);
        }
        let mut other = job("job-3", 1);
        (other.priority, other.gpus) = (Priority::High, 4.0);
        c.submit(&mut store, other, 4000);
        support::controller::play(&mut c, &mut store, &mut [&mut w], 4000, 12_000);
        let turn = ShardIndex(0);
        let stops = preemption::preempt(&c.pass(12_000), turn);
        assert_eq!(stops.len(), usize::from(!needed));
    }
}

#[test]
fn the_second_form_begins_when_all_nodes_live_and_know_it() {
    let (mut store, mut c) = one();
    assert!(
        begin_record_format_v2(&c.cluster, &["n1", "s1"]).is_none(),
        "one is away"
    );
    let s1 = Controller::start("s1", 2, &mut store, 0);
    c.sync(&store);
    let txn = begin_record_format_v2(&c.cluster, &["n1", "s1"]).unwrap();
    // One of them comes back with the old version before that is carried out.
    store.revoke_lease(s1.lease);
    let key = format!("{ROOT}node/s1");
    let old = pointhook::state::records::ControllerRecord {
        incarnation: Incarnation(3),
        record_format: 0,
        standby_version: 0,
    };
    let write = pointhook::protocol::kv::Transaction {
        conditions: Vec::new(),
        writes: pointhook::coordination::kv::set(key, &old, None)
            .into_iter()
            .collect(),
    };
    store.commit(&write, 0);
    assert_eq!(store.commit(&txn, 0).status, 409);
    c.sync(&store);
    assert!(begin_record_format_v2(&c.cluster, &["n1", "s1"]).is_none());
    assert!(begin_record_format_v2(&c.cluster, &["n1"]).is_some());
    assert!(!c.cluster.record_format_v2);
    let txn = begin_record_format_v2(&c.cluster, &["n1"]).unwrap();
    assert_eq!(store.commit(&txn, 0).status, 200);
    c.sync(&store);
    assert!(c.cluster.record_format_v2);
    assert!(begin_record_format_v2(&c.cluster, &["n1"]).is_none());
    assert_eq!(RECORD_FORMAT_V2, 2);
    // And a node that starts later reads so.
    assert!(
        Controller::start("s1", 9, &mut store, 0)
            .cluster
            .record_format_v2
    );
}

/// Sets what the settings say of the limits to come.
fn expect(w: &mut World, next: Limits) {
    for c in w.nodes.iter_mut().flatten() {
        c.config.limits_next = next;
    }
}

#[test]
fn wide_arrays_and_gangs_keep_their_width_when_the_limits_fall() {
    let next = Limits {
        txn_ops: 5,
        value_bytes: 2048 * 9 / 10,
        write_rps: 15.0,
    };
    let mut w = World::new(16);
    w.store.max_txn_ops = 12;
    expect(&mut w, next);
    for h in &mut w.hosts {
        h.worker.run_ms = 40_000;
    }
    // Wide while the old version may still live: as wide as one record holds.
    let slim = |id: &str, tasks, shape| {
        let mut spec = job(id, tasks);
        spec.vcpus = 0.5;
        spec.gpus = 0.01;
        spec.mem_gb = 0.1;
        spec.kind = shape;
        spec
    };
    assert!(w.submit(0, slim("job-1", 150, JobKind::Array)));
    w.run(20_000);
    let widest = |w: &World| {
        let entries = w.store.read_page(ROOT, "", 10_000).entries;
        let size = |e: &pointhook::protocol::kv::Entry| e.v.to_string().len();
        entries.iter().map(size).max().unwrap()
    };
    assert!(widest(&w) > 2048);
    assert!(w.node(0).job("job-1").placements.len() > 100);
    // All know the second form: what is too large is split before it is caught.
    w.begin_record_format_v2();
    w.run(10_000);
    assert!(widest(&w) <= 2048, "{}", widest(&w));
    w.store.max_value_bytes = 2048;
    w.store.max_txn_ops = 5;
    w.store.max_writes_per_s = 15.0;
    assert!(w.submit(1, slim("job-2", 200, JobKind::Array)));
    assert!(w.submit(2, slim("job-3", 16, JobKind::Gang)));
    assert!(w.submit(2, slim("job-4", 90, JobKind::Gang)));
    w.run(30_000);
    let node = w.node(1);
    assert!(node.job("job-2").placements.len() > 150);
    assert_eq!(node.job("job-3").placements.len(), 16);
    assert_eq!(node.job("job-4").placements.len(), 90);
    assert!(w.cancel(0, "job-2"));
    w.run(CANCEL_MS);
    w.keeps_nothing_of("job-2");
    // A node that starts now reads the same placements out of all parts.
    w.end(0);
    w.start(0);
    let placed = |c: &Controller| c.cluster.job("job-4").unwrap().1.placements.len();
    let (a, b) = (placed(w.node(0)), placed(w.node(2)));
    assert_eq!(a, b);
    w.run(400_000);
    assert_eq!(w.over(), 4);
    // Nothing is left of the parts.
    assert!(w
        .store
        .read_page(&format!("{ROOT}more/"), "", 10)
        .entries
        .is_empty());
    w.keeps_the_rules();
}

#[test]
fn a_refusal_for_size_teaches_a_smaller_limit() {
    let seen = Limits::UNLIMITED.after_refusal(8, 5000);
    assert_eq!((seen.txn_ops, seen.value_bytes), (7, usize::MAX));
    let seen = seen.after_refusal(1, 4000);
    assert_eq!((seen.txn_ops, seen.value_bytes), (7, 3000));
    // What is small anyway was refused for something else.
    assert_eq!(seen.after_refusal(1, 100).value_bytes, 1024);
    let (_, mut c) = one();
    c.config.limits_observed.set(seen);
    assert_eq!(c.config.limits(&c.cluster).txn_ops, 7);
    c.config.limits_next.txn_ops = 5;
    assert_eq!(
        c.config.limits(&c.cluster).txn_ops,
        7,
        "all may not know it yet"
    );
    c.cluster.record_format_v2 = true;
    assert_eq!(c.config.limits(&c.cluster).txn_ops, 5);
}

#[test]
fn the_settings_name_limits_to_come_and_do_without() {
    let read = |next: &str| -> pointhook::settings::KvLimits {
        let text = format!("rps = 1.0\nwrite_rps = 20.0\nvalue_kb = 8.0\ntxn_ops = 12\n{next}");
        toml::from_str(&text).unwrap()
    };
    assert!(read("").next.is_none());
    let next = read("[next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0\n").next;
    let next = next.unwrap().limits();
    assert_eq!((next.txn_ops, next.value_bytes), (5, 1843));
    // One that rises or is left out changes nothing.
    let now = read("").limits();
    let next = read("[next]\ntxn_ops = 50\n").next.unwrap().limits();
    assert_eq!(now.min(next), now);
}

#[test]
fn random_graphs_with_cancellations_crashes_and_outages_break_no_rule() {
    let (mut cascades, mut ended) = (0, 0);
    for seed in 1..=24u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut w = world(3000);
        let mut ids: Vec<String> = Vec::new();
        for i in 0..40 {
            let id = format!("job-{}", i + 1);
            let n = rng.usize(..3);
            let some = rng.choose_multiple(ids.iter(), n);
            let awaits: Vec<&str> = some.into_iter().map(String::as_str).collect();
            let at = rng.usize(..3);
            let mut spec = after(&id, rng.u32(1..4), &awaits);
            spec.priority = [Priority::High, Priority::Normal, Priority::Low][rng.usize(..3)];
            if w.submit(at, spec) {
                ids.push(id);
            }
            w.run(500 * rng.u64(1..4));
            match rng.u32(..10) {
                0 if !ids.is_empty() => {
                    let id = ids[rng.usize(..ids.len())].clone();
                    w.cancel(at, &id);
                }
                1 => w.outage = true,
                2 | 3 => w.outage = false,
                4 => w.trouble[at].refused = !w.trouble[at].refused,
                5 => w.end(at),
                6 | 7 if w.nodes[at].is_none() => w.start(at),
                8 => w.store.execution_delay_ms = rng.bool().then_some(3000),
                _ => {}
            }
            for id in &ids {
                w.poll(rng.usize(..3), id);
            }
        }
        w.outage = false;
        w.trouble = Default::default();
        w.store.execution_delay_ms = None;
        w.run(6000);
        for at in 0..3 {
            if w.nodes[at].is_none() {
                w.start(at);
            }
        }
        w.run(150_000);
        let broken = std::mem::take(&mut w.broken);
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
        assert_eq!(w.over(), w.accepted(), "seed {seed}: jobs are left");
        for id in &ids {
            let state = w.node(0).job(id).state;
            for at in 1..3 {
                assert_eq!(w.node(at).job(id).state, state, "seed {seed}: {id}");
            }
            cascades += usize::from(state == JobState::Cancelled && !w.cancelled_by_user(id));
            ended += usize::from(state == JobState::Done);
        }
        w.keeps_the_rules();
    }
    assert!(cascades > 20 && ended > 150, "{cascades} {ended}");
}
