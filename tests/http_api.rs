//! Malformed input from users, workers, peers, the key-value store and settings files.

mod support;

use pointhook::protocol::peers::{decode_request, encode, PeerRequest, TaskRef};
use pointhook::protocol::users::{parse_job, JobKind, JobSpec};
use pointhook::protocol::workers::{parse_task_name, Heartbeat};
use pointhook::settings::{OperatorSettings, PlatformSettings};
use pointhook::state::cluster_state::ClusterState;
use pointhook::state::names::{Interner, MachineIndex};
use pointhook::state::task_ranges::TaskRanges;
use std::path::PathBuf;
use support::{cloud, job, simulated_controller::team};

fn bytes(spec: &JobSpec) -> Vec<u8> {
    rmp_serde::to_vec_named(spec).unwrap()
}

#[test]
fn a_valid_job_is_read_as_it_was_sent() {
    let spec = job("job-000412", 3);
    assert_eq!(parse_job(&bytes(&spec)), Some(spec));
}

#[test]
fn malformed_jobs_are_refused() {
    let changes: [fn(&mut JobSpec); 12] = [
        |j| j.id = "task-1".into(),
        |j| j.id = "job-".into(),
        |j| j.id = "job-1/../2".into(),
        |j| j.tasks = 0,
        |j| j.tasks = 100_001,
        |j| j.vcpus = f64::NAN,
        |j| j.gpus = -1.0,
        |j| j.mem_gb = f64::INFINITY,
        |j| j.estimated_run_s = -0.5,
        |j| j.deadline_s = Some(f64::NAN),
        |j| j.team = String::new(),
        |j| j.image = "x".repeat(1000),
    ];
    for (index, make_invalid) in changes.iter().enumerate() {
        let mut spec = job("job-1", 1);
        make_invalid(&mut spec);
        assert_eq!(parse_job(&bytes(&spec)), None, "change {index}");
    }
    assert_eq!(parse_job(b""), None);
    assert_eq!(parse_job(&[0xc1]), None);
    // A job encoded as an array of its values, not as a map, is malformed.
    assert_eq!(
        parse_job(&rmp_serde::to_vec(&job("job-1", 1)).unwrap()),
        None
    );
    let whole = bytes(&job("job-1", 1));
    assert_eq!(parse_job(&whole[..whole.len() - 1]), None);
}

#[test]
fn a_field_of_another_type_or_a_missing_one_is_refused() {
    use rmpv::Value;
    let fields = |skip: &str| -> Vec<(Value, Value)> {
        let encoded: Value = rmp_serde::from_slice(&bytes(&job("job-1", 1))).unwrap();
        let map = encoded.as_map().unwrap().clone();
        map.into_iter()
            .filter(|(key, _)| key.as_str() != Some(skip))
            .collect()
    };
    let parse = |map: Vec<(Value, Value)>| parse_job(&rmp_serde::to_vec(&Value::Map(map)).unwrap());
    assert!(parse(fields("")).is_some());
    assert!(parse(fields("kit")).is_none());
    let mut wrong_type = fields("pieces");
    wrong_type.push(("pieces".into(), Value::F64(1.5)));
    assert!(parse(wrong_type).is_none());
    let mut unknown_field = fields("");
    unknown_field.push(("colour".into(), "red".into()));
    assert!(parse(unknown_field).is_some());
}

#[test]
fn the_error_for_an_invalid_job_names_the_field() {
    let error_for = |change: fn(&mut JobSpec)| {
        let mut spec = job("job-000412", 3);
        change(&mut spec);
        let line = spec.check().unwrap_err().to_string();
        assert!(!line.contains('\n'), "{line}");
        line
    };
    assert!(error_for(|j| j.id = "task-1".into()).contains("uid"));
    assert!(error_for(|j| j.tasks = 0).contains("pieces"));
    assert!(error_for(|j| j.team = String::new()).contains("crew"));
    assert!(error_for(|j| j.checkpoint_grace_s = -1.0).contains("flush_s"));
    assert!(error_for(|j| j.dependencies = vec![j.id.clone()]).contains("await itself"));
    assert!(error_for(|j| j.types = Some(vec![String::new()])).contains("rigs"));
    assert_eq!(job("job-000412", 3).check(), Ok(()));
}

#[test]
fn jobs_that_can_never_run_are_recognized() {
    let zones = ["north".to_string(), "south".to_string()];
    let teams = [team("ovens", 0.0), team("mixers", 2.0)];
    let mut cluster = ClusterState::new(&zones, &teams, 1);
    cluster.set_machine_types(&pointhook::protocol::cloud::MachineTypeCatalog {
        types: vec![cloud::machine_type()],
    });
    let mut can_run = |change: &dyn Fn(&mut JobSpec)| {
        let mut spec = job("job-1", 3);
        change(&mut spec);
        let interned = cluster.intern_spec(&spec);
        interned.is_some_and(|spec| cluster.can_run(&spec))
    };
    assert!(can_run(&|_| ()));
    assert!(!can_run(&|j| j.team = "unknown-team".into()));
    assert!(!can_run(&|j| j.vcpus = 17.0));
    assert!(!can_run(&|j| j.types = Some(vec!["unknown-type".into()])));
    assert!(!can_run(&|j| j.zone = Some("east".into())));
    // The team's quota must cover one task of an array, but all tasks of a gang or a service.
    assert!(can_run(&|j| j.team = "mixers".into()));
    assert!(!can_run(&|j| {
        j.team = "mixers".into();
        j.kind = JobKind::Gang;
    }));
}

#[test]
fn malformed_heartbeats_and_frames_cause_no_panic() {
    let mut rng = fastrand::Rng::with_seed(7);
    for len in 0..400 {
        let random_bytes: Vec<u8> = (0..len).map(|_| rng.u8(..)).collect();
        assert!(rmp_serde::from_slice::<Heartbeat>(&random_bytes).is_err());
        let _ = decode_request(&random_bytes);
    }
    assert_eq!(parse_task_name("job-1"), None);
    assert_eq!(parse_task_name("job-1/x"), None);
    assert_eq!(parse_task_name("job-1/3"), Some(("job-1", 3)));
}

#[test]
fn frames_round_trip_unchanged() {
    let request = PeerRequest::EnqueueTasks {
        tasks: vec![(
            "m1".into(),
            TaskRef {
                job: "job-1".into(),
                task: 4,
            },
        )],
    };
    let frame = encode(&request).unwrap();
    assert_eq!(decode_request(&frame), Some(request));
    assert_eq!(decode_request(&frame[..frame.len() / 2]), None);
}

#[test]
fn ranges_merge_and_count() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut tasks: Vec<u32> = (0..200).collect();
    rng.shuffle(&mut tasks);
    let mut ranges = TaskRanges::default();
    for (index, task) in tasks.iter().enumerate() {
        assert!(!ranges.has(*task));
        ranges.add(*task);
        ranges.add(*task);
        assert!(ranges.has(*task));
        assert_eq!(ranges.count() as usize, index + 1);
        assert_eq!(ranges.missing(200).count(), 199 - index);
    }
    assert_eq!(ranges, TaskRanges::all(200));
    assert_eq!(ranges.range_count(), 1);
}

#[test]
fn unreadable_records_change_nothing() {
    let mut cluster = ClusterState::new(&["north".to_string()], &[], 1);
    cluster.put("ph/job/job-1", 5, &rmpv::Value::from("nonsense"));
    cluster.put("ph/shard/99", 6, &rmpv::Value::Nil);
    cluster.put("ph/what/ever", 7, &rmpv::Value::Nil);
    cluster.put("other", 8, &rmpv::Value::Nil);
    assert!(cluster.jobs.is_empty());
}

#[test]
fn interned_names_get_dense_and_stable_indices() {
    let mut interner: Interner<MachineIndex> = Interner::default();
    assert_eq!(interner.intern("a"), MachineIndex(0));
    assert_eq!(interner.intern("b"), MachineIndex(1));
    assert_eq!(interner.intern("a"), MachineIndex(0));
    assert_eq!(interner.find("c"), None);
    assert_eq!(&**interner.name(MachineIndex(1)), "b");
}

#[test]
fn machines_map_permanently_to_the_shards_of_their_zone() {
    let zones = ["south".to_string(), "north".to_string()];
    let cluster = ClusterState::new(&zones, &[], 2);
    let south = cluster.zone_names.find("south").unwrap();
    for number in 0..50 {
        let shard = cluster.shard_of(south, &format!("n-{number:06}"));
        assert_eq!(cluster.shard_zone(shard), Some(south));
    }
    // The mapping must be the same in every process and version.
    assert_eq!(
        cluster.shard_of(south, "n-000001"),
        cluster.shard_of(south, "n-000001")
    );
    assert_eq!(cluster.shard_zone(cluster.autoscaler_shard()), None);
}

fn write_temp_file(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("pointhook-test-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

const PLATFORM: &str = include_str!("../examples/local_cluster.toml");

#[test]
fn the_platform_file_may_have_unknown_fields_but_must_have_all_required_ones() {
    let unknown_field = write_temp_file("good.toml", &format!("novelty = 1\n{PLATFORM}"));
    assert_eq!(
        PlatformSettings::load(&unknown_field).unwrap().name,
        "controller-0"
    );
    for missing in ["cluster_listen", "lease_s", "txn_ops"] {
        let remaining = PLATFORM.lines().filter(|line| !line.starts_with(missing));
        let text: Vec<&str> = remaining.collect();
        let path = write_temp_file(&format!("no-{missing}.toml"), &text.join("\n"));
        let error = PlatformSettings::load(&path).unwrap_err().to_string();
        assert!(error.contains(missing) && !error.contains('\n'), "{error}");
    }
    let negative_lease = write_temp_file(
        "wrong.toml",
        &PLATFORM.replace("lease_s = 10.0", "lease_s = -1.0"),
    );
    assert!(PlatformSettings::load(&negative_lease).is_err());
    let unknown_zone = write_temp_file(
        "zone.toml",
        &PLATFORM.replace("domain = \"north\"", "domain = \"east\""),
    );
    assert!(PlatformSettings::load(&unknown_zone).is_err());
}

#[test]
fn the_operator_file_may_have_no_unknown_fields() {
    let valid = write_temp_file("op.toml", "polls = 3\nqueue_cap = 4\n");
    assert_eq!(OperatorSettings::load(&valid).unwrap().polls, 3);
    let unknown_field = write_temp_file("op-bad.toml", "polls = 3\npols = 4\n");
    assert!(OperatorSettings::load(&unknown_field)
        .unwrap_err()
        .to_string()
        .contains("pols"));
    let out_of_range = write_temp_file("op-range.toml", "shards_per_zone = 0\n");
    assert!(OperatorSettings::load(&out_of_range).is_err());
}
