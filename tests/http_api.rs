//! Malformed input at each door, records, frames and settings.

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
    let change: [fn(&mut JobSpec); 12] = [
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
    for (i, f) in change.iter().enumerate() {
        let mut spec = job("job-1", 1);
        f(&mut spec);
        assert_eq!(parse_job(&bytes(&spec)), None, "change {i}");
    }
    assert_eq!(parse_job(b""), None);
    assert_eq!(parse_job(&[0xc1]), None);
    // A list of the same values is not a map.
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
        let v: Value = rmp_serde::from_slice(&bytes(&job("job-1", 1))).unwrap();
        let map = v.as_map().unwrap().clone();
        map.into_iter()
            .filter(|(k, _)| k.as_str() != Some(skip))
            .collect()
    };
    let send = |m: Vec<(Value, Value)>| parse_job(&rmp_serde::to_vec(&Value::Map(m)).unwrap());
    assert!(send(fields("")).is_some());
    assert!(send(fields("kit")).is_none());
    let mut wrong = fields("pieces");
    wrong.push(("pieces".into(), Value::F64(1.5)));
    assert!(send(wrong).is_none());
    let mut unknown = fields("");
    unknown.push(("colour".into(), "red".into()));
    assert!(send(unknown).is_some());
}

#[test]
fn the_error_for_an_invalid_job_names_the_field() {
    let told = |change: fn(&mut JobSpec)| {
        let mut spec = job("job-000412", 3);
        change(&mut spec);
        let line = spec.check().unwrap_err().to_string();
        assert!(!line.contains('\n'), "{line}");
        line
    };
    assert!(told(|j| j.id = "task-1".into()).contains("uid"));
    assert!(told(|j| j.tasks = 0).contains("pieces"));
    assert!(told(|j| j.team = String::new()).contains("crew"));
    assert!(told(|j| j.checkpoint_grace_s = -1.0).contains("flush_s"));
    assert!(told(|j| j.dependencies = vec![j.id.clone()]).contains("await itself"));
    assert!(told(|j| j.types = Some(vec![String::new()])).contains("rigs"));
    assert_eq!(job("job-000412", 3).check(), Ok(()));
}

#[test]
fn jobs_that_can_never_run_are_recognized() {
    let zones = ["north".to_string(), "south".to_string()];
    let mut v = ClusterState::new(&zones, &[team("ovens", 0.0), team("mixers", 2.0)], 1);
    v.set_machine_types(&pointhook::protocol::cloud::MachineTypeCatalog {
        types: vec![cloud::machine_type()],
    });
    let mut ok = |f: &dyn Fn(&mut JobSpec)| {
        let mut spec = job("job-1", 3);
        f(&mut spec);
        v.intern_spec(&spec).is_some_and(|s| v.can_run(&s))
    };
    assert!(ok(&|_| ()));
    assert!(!ok(&|j| j.team = "strangers".into()));
    assert!(!ok(&|j| j.vcpus = 17.0));
    assert!(!ok(&|j| j.types = Some(vec!["kiln".into()])));
    assert!(!ok(&|j| j.zone = Some("east".into())));
    // An array needs room for one task within the limit, a gang and a service for all.
    assert!(ok(&|j| j.team = "mixers".into()));
    assert!(!ok(&|j| {
        j.team = "mixers".into();
        j.kind = JobKind::Gang;
    }));
}

#[test]
fn malformed_heartbeats_and_frames_cause_no_panic() {
    let mut seed = fastrand::Rng::with_seed(7);
    for len in 0..400 {
        let noise: Vec<u8> = (0..len).map(|_| seed.u8(..)).collect();
        assert!(rmp_serde::from_slice::<Heartbeat>(&noise).is_err());
        let _ = decode_request(&noise);
    }
    assert_eq!(parse_task_name("job-1"), None);
    assert_eq!(parse_task_name("job-1/x"), None);
    assert_eq!(parse_task_name("job-1/3"), Some(("job-1", 3)));
}

#[test]
fn frames_round_trip_unchanged() {
    let ask = PeerRequest::EnqueueTasks {
        tasks: vec![(
            "m1".into(),
            TaskRef {
                job: "job-1".into(),
                task: 4,
            },
        )],
    };
    let sent = encode(&ask).unwrap();
    assert_eq!(decode_request(&sent), Some(ask));
    assert_eq!(decode_request(&sent[..sent.len() / 2]), None);
}

#[test]
fn ranges_merge_and_count() {
    let mut seed = fastrand::Rng::with_seed(3);
    let mut all: Vec<u32> = (0..200).collect();
    seed.shuffle(&mut all);
    let mut r = TaskRanges::default();
    for (i, x) in all.iter().enumerate() {
        assert!(!r.has(*x));
        r.add(*x);
        r.add(*x);
        assert!(r.has(*x));
        assert_eq!(r.count() as usize, i + 1);
        assert_eq!(r.missing(200).count(), 199 - i);
    }
    assert_eq!(r, TaskRanges::all(200));
    assert_eq!(r.range_count(), 1);
}

#[test]
fn unreadable_records_change_nothing() {
    let mut v = ClusterState::new(&["north".to_string()], &[], 1);
    v.put("ph/job/job-1", 5, &rmpv::Value::from("nonsense"));
    v.put("ph/shard/99", 6, &rmpv::Value::Nil);
    v.put("ph/what/ever", 7, &rmpv::Value::Nil);
    v.put("other", 8, &rmpv::Value::Nil);
    assert!(v.jobs.is_empty());
}

#[test]
fn interned_names_get_dense_and_stable_indices() {
    let mut i: Interner<MachineIndex> = Interner::default();
    assert_eq!(i.intern("a"), MachineIndex(0));
    assert_eq!(i.intern("b"), MachineIndex(1));
    assert_eq!(i.intern("a"), MachineIndex(0));
    assert_eq!(i.find("c"), None);
    assert_eq!(&**i.name(MachineIndex(1)), "b");
}

#[test]
fn machines_map_permanently_to_the_shards_of_their_zone() {
    let zones = ["south".to_string(), "north".to_string()];
    let v = ClusterState::new(&zones, &[], 2);
    let south = v.zone_names.find("south").unwrap();
    for i in 0..50 {
        let s = v.shard_of(south, &format!("n-{i:06}"));
        assert_eq!(v.shard_zone(s), Some(south));
    }
    // Fixed: another process, another version, the same shard.
    assert_eq!(v.shard_of(south, "n-000001"), v.shard_of(south, "n-000001"));
    assert_eq!(v.shard_zone(v.autoscaler_shard()), None);
}

fn file(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("pointhook-test-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

const PLATFORM: &str = include_str!("../examples/local_cluster.toml");

#[test]
fn the_platform_file_may_have_unknown_fields_but_lack_none() {
    let good = file("good.toml", &format!("novelty = 1\n{PLATFORM}"));
    assert_eq!(PlatformSettings::load(&good).unwrap().name, "controller-0");
    for lost in ["cluster_listen", "lease_s", "txn_ops"] {
        let text: Vec<&str> = PLATFORM.lines().filter(|l| !l.starts_with(lost)).collect();
        let path = file(&format!("no-{lost}.toml"), &text.join("\n"));
        let line = PlatformSettings::load(&path).unwrap_err().to_string();
        assert!(line.contains(lost) && !line.contains('\n'), "{line}");
    }
    let wrong = file(
        "wrong.toml",
        &PLATFORM.replace("lease_s = 10.0", "lease_s = -1.0"),
    );
    assert!(PlatformSettings::load(&wrong).is_err());
    let zone = file(
        "zone.toml",
        &PLATFORM.replace("domain = \"north\"", "domain = \"east\""),
    );
    assert!(PlatformSettings::load(&zone).is_err());
}

#[test]
fn the_operator_file_may_have_no_unknown_fields() {
    let good = file("op.toml", "polls = 3\nqueue_cap = 4\n");
    assert_eq!(OperatorSettings::load(&good).unwrap().polls, 3);
    let bad = file("op-bad.toml", "polls = 3\npols = 4\n");
    assert!(OperatorSettings::load(&bad)
        .unwrap_err()
        .to_string()
        .contains("pols"));
    let range = file("op-range.toml", "shards_per_zone = 0\n");
    assert!(OperatorSettings::load(&range).is_err());
}
