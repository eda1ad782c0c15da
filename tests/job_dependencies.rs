//! Job dependencies, lowered limits of the key-value store, and both record formats.

mod support;

use pointhook::coordination::kv::CommitOutcome;
use pointhook::coordination::membership::begin_record_format_v2;
use pointhook::coordination::scheduler::preemption;
use pointhook::protocol::kv::Limits;
use pointhook::protocol::users::{parse_job, JobKind, JobSpec, Priority, MAX_DEPENDENCIES};
use pointhook::state::cluster_state::KEY_PREFIX;
use pointhook::state::job::JobState;
use pointhook::state::records::RECORD_FORMAT_V2;
use pointhook::state::units::Incarnation;
use support::job;
use support::simulated_cluster::SimulatedCluster;
use support::simulated_controller::{start_single_controller, SimulatedController, CANCEL_MS};

fn job_after(id: &str, tasks: u32, dependencies: &[&str]) -> JobSpec {
    JobSpec {
        dependencies: dependencies.iter().map(|id| id.to_string()).collect(),
        ..job(id, tasks)
    }
}

/// A cluster in record format 2 whose tasks run for `run_ms`.
fn format_v2_cluster(run_ms: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = run_ms;
    }
    cluster.begin_record_format_v2();
    cluster
}

fn submission(awaits: rmpv::Value) -> Vec<u8> {
    let bytes = rmp_serde::to_vec_named(&job("job-9", 1)).unwrap();
    let mut spec = rmpv::decode::read_value(&mut bytes.as_slice()).unwrap();
    if let rmpv::Value::Map(fields) = &mut spec {
        fields.push(("awaits".into(), awaits));
    }
    let mut body = Vec::new();
    rmpv::encode::write_value(&mut body, &spec).unwrap();
    body
}

#[test]
fn a_submission_names_its_dependencies_in_every_form_the_protocol_allows() {
    use rmpv::Value;
    let list = |ids: &[&str]| Value::Array(ids.iter().map(|id| Value::from(*id)).collect());
    let parse = |awaits| parse_job(&submission(awaits));
    assert_eq!(
        parse(Value::Nil).unwrap().dependencies,
        Vec::<String>::new()
    );
    assert_eq!(parse(list(&[])).unwrap().dependencies, Vec::<String>::new());
    let twice = parse(list(&["job-1", "job-2", "job-1"])).unwrap();
    assert_eq!(twice.dependencies, ["job-1", "job-2"]);
    assert!(parse_job(&rmp_serde::to_vec_named(&job("job-9", 1)).unwrap()).is_some());
    // Refused: a text instead of a list, a number as an id, and a job that depends on itself.
    assert!(parse(Value::from("job-1")).is_none());
    assert!(parse(Value::Array(vec![Value::from(1)])).is_none());
    assert!(parse(list(&["job-1", "job-9"])).is_none());
    // A record holds the maximum number of dependencies even under limits that are a fraction of
    // the current ones.
    let many: Vec<String> = (0..MAX_DEPENDENCIES)
        .map(|number| format!("job-{number:06}"))
        .collect();
    let mut spec = job("job-9", 1);
    spec.dependencies = many;
    let (mut store, mut controller) = start_single_controller();
    store.max_value_bytes = 2048;
    assert!(matches!(
        controller.submit(&mut store, spec, 0),
        CommitOutcome::Committed(_)
    ));
}

#[test]
fn no_task_of_a_job_starts_before_all_its_dependencies_are_done() {
    let mut cluster = format_v2_cluster(3000);
    for (id, dependencies) in [
        ("job-1", vec![]),
        ("job-2", vec!["job-1"]),
        ("job-3", vec!["job-1"]),
        ("job-4", vec!["job-2", "job-3"]),
    ] {
        assert!(cluster.submit(2, job_after(id, 2, &dependencies)));
    }
    cluster.run_for(1500);
    assert_eq!(cluster.query_status(0, "job-4"), Some("pending"));
    cluster.run_for(40_000);
    assert_eq!(cluster.finished_count(), 4);
    cluster.assert_no_violations();
}

#[test]
fn a_gang_and_a_service_wait_for_dependencies_and_reserve_nothing_meanwhile() {
    let mut cluster = format_v2_cluster(30_000);
    let mut first = job("job-1", 1);
    first.team = "mixers".into();
    assert!(cluster.submit(0, first));
    for (id, kind) in [("job-2", JobKind::Gang), ("job-3", JobKind::Service)] {
        let mut spec = job_after(id, 2, &["job-1"]);
        spec.kind = kind;
        spec.team = "mixers".into();
        assert!(cluster.submit(1, spec));
    }
    // Jobs that wait for dependencies use none of their team's quota of two.
    let mut other = job("job-4", 1);
    other.team = "mixers".into();
    assert!(cluster.submit(2, other));
    cluster.run_for(8000);
    assert!(cluster.runs("job-1") && cluster.runs("job-4"));
    assert!(!cluster.has_started("job-2") && !cluster.has_started("job-3"));
    cluster.run_for(60_000);
    assert!(cluster.has_started("job-2") || cluster.has_started("job-3"));
    cluster.assert_no_violations();
}

#[test]
fn a_cancellation_cascades_to_all_transitive_dependents() {
    let mut cluster = format_v2_cluster(20_000);
    assert!(cluster.submit(0, job("job-1", 1)));
    assert!(cluster.submit(0, job_after("job-2", 1, &["job-1"])));
    assert!(cluster.submit(1, job_after("job-3", 1, &["job-1"])));
    assert!(cluster.submit(2, job_after("job-4", 1, &["job-2", "job-3"])));
    let mut last = "job-4".to_string();
    for number in 10..310 {
        let id = format!("job-{number}");
        assert!(cluster.submit(number % 3, job_after(&id, 1, &[&last])));
        last = id;
    }
    assert!(cluster.submit(0, job("job-5", 1)));
    cluster.run_for(4000);
    assert!(cluster.cancel(1, "job-2"));
    // Every controller reports all transitive dependents as cancelled at once, before their
    // records are updated.
    for index in 0..3 {
        for id in ["job-4", "job-10", "job-200", last.as_str()] {
            assert_eq!(
                cluster.query_status(index, id),
                Some("aborted"),
                "{id} at controller {index}"
            );
        }
        assert_ne!(cluster.query_status(index, "job-1"), Some("aborted"));
        assert_ne!(cluster.query_status(index, "job-3"), Some("aborted"));
    }
    // A job submitted later with a cancelled dependency is accepted and cancelled.
    assert!(cluster.submit(2, job_after("job-999", 1, &["job-5", "job-4"])));
    for index in 0..3 {
        assert_eq!(cluster.query_status(index, "job-999"), Some("aborted"));
    }
    cluster.run_for(CANCEL_MS);
    assert!(!cluster.has_started("job-4") && !cluster.has_started(&last));
    // The records of the dependents are updated a few at a time.
    cluster.run_for(200_000);
    for index in 0..3 {
        assert!(cluster
            .controller(index)
            .cluster
            .dependency_graph
            .unwritten_cancellations
            .is_empty());
    }
    cluster.assert_no_violations();
}

#[test]
fn a_cancellation_that_is_answered_with_done_cancels_nothing() {
    let mut cluster = format_v2_cluster(2000);
    assert!(cluster.submit(0, job("job-1", 1)));
    cluster.run_for(8000);
    assert_eq!(cluster.query_status(1, "job-1"), Some("done"));
    assert!(cluster.submit(1, job_after("job-2", 1, &["job-1"])));
    assert!(!cluster.cancel(2, "job-1"));
    cluster.run_for(12_000);
    assert_eq!(cluster.query_status(0, "job-2"), Some("done"));
    cluster.assert_no_violations();
}

#[test]
fn a_dependent_submitted_concurrently_with_the_cancellation_is_cancelled_in_either_order() {
    for cancel_first in [true, false] {
        let mut cluster = format_v2_cluster(20_000);
        assert!(cluster.submit(0, job("job-1", 1)));
        cluster.run_for(3000);
        if cancel_first {
            // The controller that accepts the dependent does not know of the cancellation.
            cluster.controller_faults[1].isolated_from_peers = true;
            assert!(cluster.cancel(0, "job-1"));
            assert!(cluster.submit(1, job_after("job-2", 1, &["job-1"])));
        } else {
            assert!(cluster.submit(1, job_after("job-2", 1, &["job-1"])));
            assert!(cluster.cancel(0, "job-1"));
        }
        for index in 0..3 {
            assert_eq!(cluster.query_status(index, "job-2"), Some("aborted"));
        }
        cluster.controller_faults[1].isolated_from_peers = false;
        cluster.run_for(40_000);
        assert!(!cluster.has_started("job-2"));
        cluster.assert_no_violations();
    }
}

#[test]
fn the_answer_to_a_submission_is_no_older_than_the_cancellation_it_follows() {
    use pointhook::coordination::job_api::accepted;
    use pointhook::protocol::users::JobStatus;
    let (mut store, mut controller) = start_single_controller();
    let status = |controller: &SimulatedController, id: &str| {
        let answer = accepted(&controller.cluster, id, controller.job(id).version);
        assert_eq!(answer.status, 201);
        let body: JobStatus = rmp_serde::from_slice(&answer.body).unwrap();
        body.status
    };
    controller.submit(&mut store, job("job-1", 1), 0);
    controller.submit(&mut store, job_after("job-2", 1, &["job-1"]), 100);
    assert_eq!(status(&controller, "job-2"), "pending");
    controller.cancel(&mut store, "job-1", 200);
    controller.submit(&mut store, job_after("job-3", 1, &["job-1"]), 300);
    controller.submit(&mut store, job_after("job-4", 1, &["job-3"]), 400);
    assert_eq!(status(&controller, "job-3"), "aborted");
    assert_eq!(status(&controller, "job-4"), "aborted");
}

#[test]
fn dependencies_are_respected_across_stale_views_delayed_writes_outages_and_failovers() {
    let mut cluster = format_v2_cluster(6000);
    assert!(cluster.submit(0, job("job-1", 3)));
    assert!(cluster.submit(1, job_after("job-2", 3, &["job-1"])));
    assert!(cluster.submit(2, job_after("job-3", 3, &["job-2"])));
    cluster.run_for(3000);
    cluster.store.execution_delay_ms = Some(3000);
    cluster.run_for(6000);
    cluster.store.execution_delay_ms = None;
    cluster.controller_faults[1].kv_refused = true;
    cluster.run_for(4000);
    cluster.stop_controller(0);
    cluster.run_for(8000);
    cluster.kv_outage = true;
    cluster.run_for(6000);
    cluster.kv_outage = false;
    cluster.controller_faults[1].kv_refused = false;
    cluster.start_controller(0);
    cluster.run_for(90_000);
    assert_eq!(cluster.finished_count(), 3);
    cluster.assert_no_violations();
}

#[test]
fn a_job_is_eligible_since_the_end_of_its_last_dependency_even_after_a_restart_of_all() {
    let mut cluster = format_v2_cluster(4000);
    assert!(cluster.submit(0, job("job-1", 1)));
    let mut second = job_after("job-2", 1, &["job-1"]);
    second.vcpus = 1000.0;
    assert!(cluster.submit(0, second));
    cluster.run_for(20_000);
    let job = cluster.controller(1).job("job-1").clone();
    assert!(job.finished_at > 0);
    assert_eq!(
        cluster
            .controller(1)
            .job("job-2")
            .dependency_state
            .eligible_since,
        job.finished_at
    );
    let mut third = job_after("job-3", 1, &["job-1"]);
    third.vcpus = 1000.0;
    assert!(cluster.submit(0, third));
    for index in 0..3 {
        cluster.stop_controller(index);
    }
    cluster.run_for(3000);
    for index in 0..3 {
        cluster.start_controller(index);
        // Job 3 was submitted after its dependency ended, so it is eligible since its submission.
        let controller = cluster.controller(index);
        let submitted_at = controller.job("job-3").submitted_at;
        assert_eq!(
            controller.job("job-3").dependency_state.eligible_since,
            submitted_at
        );
        assert_eq!(controller.job("job-1").finished_at, job.finished_at);
    }
}

#[test]
fn dependencies_inherit_priority_and_deadline_even_of_a_late_dependent() {
    let (mut store, mut controller) = start_single_controller();
    let mut first = job("job-1", 1);
    first.priority = Priority::Low;
    let mut second = job_after("job-2", 1, &["job-1"]);
    second.priority = Priority::Normal;
    controller.submit(&mut store, first, 1000);
    controller.submit(&mut store, second, 2000);
    assert_eq!(
        controller.job("job-1").dependency_state.priority,
        Priority::Normal
    );
    assert_eq!(controller.job("job-1").dependency_state.deadline, None);
    let mut last = job_after("job-3", 1, &["job-2"]);
    last.priority = Priority::High;
    last.deadline_s = Some(100.0);
    last.estimated_run_s = 20.0;
    controller.submit(&mut store, last, 3000);
    for id in ["job-1", "job-2", "job-3"] {
        assert_eq!(controller.job(id).dependency_state.priority, Priority::High);
    }
    let deadline = |controller: &SimulatedController, id: &str| {
        controller.job(id).dependency_state.deadline.unwrap()
    };
    assert_eq!(deadline(&controller, "job-3"), 103_000);
    // A job has to be done before the deadline of its dependent by the dependent's run time and
    // the overhead of one job in the chain.
    assert!((75_000..83_000).contains(&deadline(&controller, "job-2")));
    assert!(deadline(&controller, "job-1") < deadline(&controller, "job-2") - 10_000);
    // Once the last job is cancelled, nothing is inherited from it any more.
    controller.cancel(&mut store, "job-3", 4000);
    assert_eq!(
        controller.job("job-1").dependency_state.priority,
        Priority::Normal
    );
    assert_eq!(controller.job("job-1").dependency_state.deadline, None);
}

#[test]
fn a_dependency_of_an_urgent_job_is_not_preempted_for_another_urgent_job() {
    use pointhook::state::names::ShardIndex;
    for has_urgent_dependent in [false, true] {
        let (mut store, mut controller) = start_single_controller();
        let mut worker = support::worker::FakeWorker::new("m1", "north", 0);
        worker.run_ms = 100_000;
        let mut low = job("job-1", 1);
        (low.priority, low.gpus, low.checkpoint_s) = (Priority::Low, 4.0, 10.0);
        controller.submit(&mut store, low, 0);
        support::simulated_controller::run_heartbeats(
            &mut controller,
            &mut store,
            &mut [&mut worker],
            0,
            4000,
        );
        assert!(worker.has_task("job-1/0"));
        if has_urgent_dependent {
            let mut last = job_after("job-2", 1, &["job-1"]);
            last.priority = Priority::High;
            controller.submit(&mut store, last, 4000);
        }
        let mut other = job("job-3", 1);
        (other.priority, other.gpus) = (Priority::High, 4.0);
        controller.submit(&mut store, other, 4000);
        support::simulated_controller::run_heartbeats(
            &mut controller,
            &mut store,
            &mut [&mut worker],
            4000,
            12_000,
        );
        let shard = ShardIndex(0);
        let stops = preemption::select_victims(&controller.pass(12_000), shard);
        assert_eq!(stops.len(), usize::from(!has_urgent_dependent));
    }
}

#[test]
fn record_format_v2_begins_when_all_controllers_live_and_support_it() {
    let (mut store, mut controller) = start_single_controller();
    assert!(
        begin_record_format_v2(&controller.cluster, &["n1", "s1"]).is_none(),
        "controller s1 has not started"
    );
    let s1 = SimulatedController::start("s1", 2, &mut store, 0);
    controller.sync(&store);
    let transaction = begin_record_format_v2(&controller.cluster, &["n1", "s1"]).unwrap();
    // Controller s1 restarts with version 0.1 before the transaction is executed.
    store.revoke_lease(s1.lease);
    let key = format!("{KEY_PREFIX}node/s1");
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
    assert_eq!(store.commit(&transaction, 0).status, 409);
    controller.sync(&store);
    assert!(begin_record_format_v2(&controller.cluster, &["n1", "s1"]).is_none());
    assert!(begin_record_format_v2(&controller.cluster, &["n1"]).is_some());
    assert!(!controller.cluster.record_format_v2);
    let transaction = begin_record_format_v2(&controller.cluster, &["n1"]).unwrap();
    assert_eq!(store.commit(&transaction, 0).status, 200);
    controller.sync(&store);
    assert!(controller.cluster.record_format_v2);
    assert!(begin_record_format_v2(&controller.cluster, &["n1"]).is_none());
    assert_eq!(RECORD_FORMAT_V2, 2);
    // A controller that starts later reads that format 2 has begun.
    assert!(
        SimulatedController::start("s1", 9, &mut store, 0)
            .cluster
            .record_format_v2
    );
}

/// Sets the coming limits that the settings announce.
fn announce_limits(cluster: &mut SimulatedCluster, next: Limits) {
    for controller in cluster.controllers.iter_mut().flatten() {
        controller.config.limits_next = next;
    }
}

#[test]
fn wide_arrays_and_gangs_keep_their_width_when_the_limits_fall() {
    let next = Limits {
        txn_ops: 5,
        value_bytes: 2048 * 9 / 10,
        write_rps: 15.0,
    };
    let mut cluster = SimulatedCluster::new(16);
    cluster.store.max_txn_ops = 12;
    announce_limits(&mut cluster, next);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 40_000;
    }
    // While a controller of version 0.1 may still run, a job has only as many placements as fit
    // into its own record.
    let small_job = |id: &str, tasks, kind| {
        let mut spec = job(id, tasks);
        spec.vcpus = 0.5;
        spec.gpus = 0.01;
        spec.mem_gb = 0.1;
        spec.kind = kind;
        spec
    };
    assert!(cluster.submit(0, small_job("job-1", 150, JobKind::Array)));
    cluster.run_for(20_000);
    let largest = |cluster: &SimulatedCluster| {
        let entries = cluster.store.read_page(KEY_PREFIX, "", 10_000).entries;
        let size = |entry: &pointhook::protocol::kv::Entry| entry.v.to_string().len();
        entries.iter().map(size).max().unwrap()
    };
    assert!(largest(&cluster) > 2048);
    assert!(cluster.controller(0).job("job-1").placements.len() > 100);
    // All controllers support record format 2: a record that is too large is split in advance.
    cluster.begin_record_format_v2();
    cluster.run_for(10_000);
    assert!(largest(&cluster) <= 2048, "{}", largest(&cluster));
    cluster.store.max_value_bytes = 2048;
    cluster.store.max_txn_ops = 5;
    cluster.store.max_writes_per_s = 15.0;
    assert!(cluster.submit(1, small_job("job-2", 200, JobKind::Array)));
    assert!(cluster.submit(2, small_job("job-3", 16, JobKind::Gang)));
    assert!(cluster.submit(2, small_job("job-4", 90, JobKind::Gang)));
    cluster.run_for(30_000);
    let controller = cluster.controller(1);
    assert!(controller.job("job-2").placements.len() > 150);
    assert_eq!(controller.job("job-3").placements.len(), 16);
    assert_eq!(controller.job("job-4").placements.len(), 90);
    assert!(cluster.cancel(0, "job-2"));
    cluster.run_for(CANCEL_MS);
    cluster.assert_nothing_runs_of("job-2");
    // A controller that starts now reads the same placements from all overflow records.
    cluster.stop_controller(0);
    cluster.start_controller(0);
    let placed = |controller: &SimulatedController| {
        controller.cluster.job("job-4").unwrap().1.placements.len()
    };
    assert_eq!(placed(cluster.controller(0)), placed(cluster.controller(2)));
    cluster.run_for(400_000);
    assert_eq!(cluster.finished_count(), 4);
    // All overflow records have been deleted.
    assert!(cluster
        .store
        .read_page(&format!("{KEY_PREFIX}more/"), "", 10)
        .entries
        .is_empty());
    cluster.assert_no_violations();
}

#[test]
fn a_refusal_for_size_lowers_the_observed_limit() {
    let observed = Limits::UNLIMITED.after_refusal(8, 5000);
    assert_eq!((observed.txn_ops, observed.value_bytes), (7, usize::MAX));
    let observed = observed.after_refusal(1, 4000);
    assert_eq!((observed.txn_ops, observed.value_bytes), (7, 3000));
    // Values below 1024 bytes are refused for other reasons, so the limit does not fall further.
    assert_eq!(observed.after_refusal(1, 100).value_bytes, 1024);
    let (_, mut controller) = start_single_controller();
    controller.config.limits_observed.set(observed);
    assert_eq!(controller.config.limits(&controller.cluster).txn_ops, 7);
    controller.config.limits_next.txn_ops = 5;
    assert_eq!(
        controller.config.limits(&controller.cluster).txn_ops,
        7,
        "a controller may still lack record format 2"
    );
    controller.cluster.record_format_v2 = true;
    assert_eq!(controller.config.limits(&controller.cluster).txn_ops, 5);
}

#[test]
fn settings_may_announce_coming_limits_or_omit_them() {
    let read = |next: &str| -> pointhook::settings::KvLimits {
        let text = format!("rps = 1.0\nwrite_rps = 20.0\nvalue_kb = 8.0\ntxn_ops = 12\n{next}");
        toml::from_str(&text).unwrap()
    };
    assert!(read("").next.is_none());
    let next = read("[next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0\n").next;
    let next = next.unwrap().limits();
    assert_eq!((next.txn_ops, next.value_bytes), (5, 1843));
    // An announced limit that rises or is left out changes nothing.
    let now = read("").limits();
    let next = read("[next]\ntxn_ops = 50\n").next.unwrap().limits();
    assert_eq!(now.min(next), now);
}

/// Causes a random event: a cancellation, a fault, the end of a fault, or nothing.
fn random_event(
    cluster: &mut SimulatedCluster,
    rng: &mut fastrand::Rng,
    index: usize,
    ids: &[String],
) {
    match rng.u32(..10) {
        0 if !ids.is_empty() => {
            let id = ids[rng.usize(..ids.len())].clone();
            cluster.cancel(index, &id);
        }
        1 => cluster.kv_outage = true,
        2 | 3 => cluster.kv_outage = false,
        4 => {
            cluster.controller_faults[index].kv_refused =
                !cluster.controller_faults[index].kv_refused
        }
        5 => cluster.stop_controller(index),
        6 | 7 if cluster.controllers[index].is_none() => cluster.start_controller(index),
        8 => cluster.store.execution_delay_ms = rng.bool().then_some(3000),
        _ => {}
    }
}

fn end_all_faults(cluster: &mut SimulatedCluster) {
    cluster.kv_outage = false;
    cluster.controller_faults = Default::default();
    cluster.store.execution_delay_ms = None;
    cluster.run_for(6000);
    for index in 0..3 {
        if cluster.controllers[index].is_none() {
            cluster.start_controller(index);
        }
    }
}

#[test]
fn random_dependency_graphs_with_cancellations_crashes_and_outages_break_no_invariant() {
    let (mut cascades, mut done) = (0, 0);
    for seed in 1..=24u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut cluster = format_v2_cluster(3000);
        let mut ids: Vec<String> = Vec::new();
        for number in 1..=40 {
            let id = format!("job-{number}");
            let count = rng.usize(..3);
            let chosen = rng.choose_multiple(ids.iter(), count);
            let dependencies: Vec<&str> = chosen.into_iter().map(String::as_str).collect();
            let index = rng.usize(..3);
            let mut spec = job_after(&id, rng.u32(1..4), &dependencies);
            spec.priority = [Priority::High, Priority::Normal, Priority::Low][rng.usize(..3)];
            if cluster.submit(index, spec) {
                ids.push(id);
            }
            cluster.run_for(500 * rng.u64(1..4));
            random_event(&mut cluster, &mut rng, index, &ids);
            for id in &ids {
                cluster.query_status(rng.usize(..3), id);
            }
        }
        end_all_faults(&mut cluster);
        cluster.run_for(150_000);
        let broken = std::mem::take(&mut cluster.violations);
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
        assert_eq!(
            cluster.finished_count(),
            cluster.accepted_count(),
            "seed {seed}: unfinished jobs"
        );
        for id in &ids {
            let state = cluster.controller(0).job(id).state;
            for index in 1..3 {
                assert_eq!(
                    cluster.controller(index).job(id).state,
                    state,
                    "seed {seed}: {id}"
                );
            }
            cascades += usize::from(state == JobState::Cancelled && !cluster.cancelled_by_user(id));
            done += usize::from(state == JobState::Done);
        }
        cluster.assert_no_violations();
    }
    assert!(cascades > 20 && done > 150, "{cascades} {done}");
}
