//! Controllers of two versions run side by side during an upgrade: each reads what the other
//! writes.

use pointhook::protocol::peers::{self, MachineStatus, PeerRequest, PeerResponse, TaskRef};
use pointhook::protocol::users::{JobKind, JobSpec, Priority};
use pointhook::protocol::workers::FencingToken;
use pointhook::state::job::{JobRecord, JobState, StoredPlacement};
use pointhook::state::names::ShardIndex;
use pointhook::state::records::{
    ControllerRecord, OverflowRecord, ProvisioningRecord, ShardRecord, TeamRecord, RECORD_FORMAT_V2,
};
use pointhook::state::staged_attempt::StagedAttempt;
use pointhook::state::task_ranges::TaskRanges;
use pointhook::state::units::Incarnation;
use pointhook::state::units::QuotaUsage;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Samples written by version 0.1, the last version without job dependencies.
const VERSION_0_1: &str = include_str!("data/version-0.1-e8fe952.txt");
/// Samples written by the production version: records of format 2.
const VERSION_0_2: &str = include_str!("data/version-0.2-75080fa.txt");

/// The bytes of a version's sample, by name.
fn sample_of(version: &str, name: &str) -> Vec<u8> {
    let line = version
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name} ")));
    let hex = line.unwrap_or_else(|| panic!("no sample {name}"));
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// The bytes of a sample of version 0.1, by name.
fn sample(name: &str) -> Vec<u8> {
    sample_of(VERSION_0_1, name)
}

/// Checks that a sample of version 0.1 reads as `record`, and that this version writes the same
/// bytes.
fn check_record<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    name: &str,
    record: &T,
) {
    check_record_of(VERSION_0_1, name, record);
}

/// Checks that a version's sample reads as `record`, and that this version writes the same bytes.
fn check_record_of<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    version: &str,
    name: &str,
    record: &T,
) {
    let bytes = sample_of(version, name);
    assert_eq!(&rmp_serde::from_slice::<T>(&bytes).expect(name), record);
    assert_eq!(
        rmp_serde::to_vec_named(record).expect(name),
        bytes,
        "{name}"
    );
}

fn names() -> Vec<String> {
    vec!["n-000231".into(), "n-000007".into()]
}

/// Description of a gang, as the samples of version 0.1 hold it.
fn gang_spec() -> JobSpec {
    JobSpec {
        id: "job-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        tasks: 4,
        vcpus: 8.0,
        gpus: 1.0,
        mem_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(vec!["g8".into()]),
        zone: None,
        one_zone: true,
        spread: false,
        spot: true,
        estimated_run_s: 240.0,
        checkpoint_s: 30.0,
        checkpoint_grace_s: 4.0,
        deadline_s: Some(900.0),
        dependencies: Vec::new(),
    }
}

/// Record of an open job with two placements.
fn open_job() -> JobRecord {
    let mut done = TaskRanges::default();
    for task in [0, 1, 3] {
        done.add(task);
    }
    JobRecord {
        spec: Some(gang_spec()),
        state: JobState::Open,
        submitted_at: 1_764_650_000_123,
        done,
        placements: vec![
            StoredPlacement::from((2, 7, "n-000231".to_string(), 1, 0)),
            StoredPlacement::from((4, 8, "n-000007".to_string(), 3, 3)),
        ],
        next_attempt: 9,
        finished_at: 0,
        staged: None,
    }
}

#[test]
fn records_are_encoded_identically_by_both_versions() {
    check_record("record/job/open", &open_job());
    let cancelled = JobRecord {
        spec: None,
        state: JobState::Cancelled,
        submitted_at: 1_764_650_000_123,
        done: TaskRanges::default(),
        placements: Vec::new(),
        next_attempt: 2,
        finished_at: 0,
        staged: None,
    };
    check_record("record/job/over", &cancelled);
    let incarnation = 1_234_567;
    check_record(
        "record/node",
        &ControllerRecord {
            incarnation: Incarnation(incarnation),
            record_format: 0,
            standby_version: 0,
        },
    );
    let shard = ShardRecord {
        owner: "stoker-1".into(),
        incarnation: Incarnation(incarnation),
        fencing_token: FencingToken(41),
    };
    check_record("record/shard", &shard);
    let mut team = TeamRecord::default();
    team.set(
        ShardIndex(1),
        QuotaUsage {
            cpu_milli: 8000,
            gpu_milli: 2000,
        },
    );
    check_record("record/team", &team);
    let provisioning = ProvisioningRecord {
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
        machines: vec!["n-000231".into()],
    };
    check_record("record/book", &provisioning);
}

fn machine_status() -> MachineStatus {
    MachineStatus {
        name: "n-000231".into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        silent_ms: 1500,
        has_sent_heartbeat: true,
        fencing_token_confirmed: false,
        queue_length: 2,
        cordoned: false,
        quarantined: true,
    }
}

fn task() -> TaskRef {
    TaskRef {
        job: "job-000412".into(),
        task: 3,
    }
}

/// A request of each kind that version 0.1 knows.
fn requests() -> [(&'static str, PeerRequest); 6] {
    let job = || "job-000412".to_string();
    [
        (
            "news",
            PeerRequest::Status {
                sender: "stoker-1".into(),
                kv_reachable: true,
                workers_reachable: false,
                machines: vec![machine_status()],
            },
        ),
        (
            "bind",
            PeerRequest::EnqueueTasks {
                tasks: vec![("n-000231".into(), task())],
            },
        ),
        (
            "poll",
            PeerRequest::StealWork {
                idle_machine: "n-000231".into(),
                machines: names(),
            },
        ),
        (
            "hold",
            PeerRequest::ReserveMachines {
                job: job(),
                machines: names(),
            },
        ),
        ("close", PeerRequest::Cordon { machines: names() }),
        ("gone", PeerRequest::MachinesDeleted { machines: names() }),
    ]
}

#[test]
fn frames_of_all_kinds_known_to_the_old_version_are_encoded_identically() {
    assert_eq!(peers::VERSION, 3);
    for (name, request) in requests() {
        let bytes = sample(&format!("ask/{name}"));
        assert_eq!(
            peers::decode_request(&bytes),
            Some(request.clone()),
            "{name}"
        );
        // Padding within a frame has no defined value, so this version's frame is compared by its
        // length and by what version 0.1 reads from it.
        let encoded = peers::encode(&request).expect(name);
        assert_eq!(encoded.len(), bytes.len(), "{name}");
        assert_eq!(
            old::decode_request(&encoded),
            old::decode_request(&bytes),
            "{name}"
        );
        assert!(old::decode_request(&encoded).is_some(), "{name}");
    }
    let responses = [
        ("noted", PeerResponse::Acknowledged),
        ("task", PeerResponse::StolenTask(Some(task()))),
        ("none", PeerResponse::StolenTask(None)),
        ("closed", PeerResponse::Cordoned(names())),
    ];
    for (name, response) in responses {
        let bytes = sample(&format!("reply/{name}"));
        assert_eq!(
            peers::decode_response(&bytes),
            Some(response.clone()),
            "{name}"
        );
        let encoded = peers::encode(&response).expect(name);
        assert_eq!(encoded.len(), bytes.len(), "{name}");
        let read = old::decode_response(&encoded);
        assert_eq!(read, old::decode_response(&bytes), "{name}");
        assert!(read.is_some(), "{name}");
    }
}

/// The job with dependencies in the samples of version 0.2.
fn dependent_spec() -> JobSpec {
    JobSpec {
        id: "job-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: Priority::Low,
        tasks: 300,
        vcpus: 1.0,
        gpus: 0.0,
        mem_gb: 3.2,
        image: "img-07".into(),
        image_gb: 1.0,
        types: None,
        zone: Some("a".into()),
        one_zone: false,
        spread: true,
        spot: true,
        estimated_run_s: 25.0,
        checkpoint_s: 0.0,
        checkpoint_grace_s: 0.0,
        deadline_s: None,
        dependencies: vec!["job-000398".into(), "job-000405".into()],
    }
}

#[test]
fn records_of_format_v2_equal_those_of_the_production_version() {
    let check = |name: &str, record: &JobRecord| check_record_of(VERSION_0_2, name, record);
    let waiting = JobRecord::submitted(dependent_spec(), 1_764_650_000_123);
    check("record/job/waiting", &waiting);
    let mut done = TaskRanges::default();
    for task in [0, 1, 7] {
        done.add(task);
    }
    let running = JobRecord {
        done,
        placements: vec![StoredPlacement::from((2, 7, "n-000231".to_string(), 1, 0))],
        next_attempt: 9,
        ..waiting.clone()
    };
    check("record/job/running", &running);
    let finished = JobRecord {
        spec: None,
        state: JobState::Done,
        done: TaskRanges::all(300),
        next_attempt: 301,
        finished_at: 1_764_650_090_456,
        staged: None,
        ..waiting
    };
    check("record/job/done", &finished);
    let overflow = OverflowRecord {
        placements: vec![
            StoredPlacement::from((40, 41, "n-000007".to_string(), 3, 3)),
            StoredPlacement::from((41, 42, "n-000231".to_string(), 1, 0)),
        ],
    };
    check_record_of(VERSION_0_2, "record/part", &overflow);
    let controller = ControllerRecord {
        incarnation: Incarnation(1_234_567),
        record_format: RECORD_FORMAT_V2,
        standby_version: 0,
    };
    check_record_of(VERSION_0_2, "record/node", &controller);
    check_record_of(VERSION_0_2, "record/form", &true);
}

/// Guards against a staged gang that the production version, which does not know the mark, turns
/// into one whose tasks may start: written back by it, the gang is broken.
#[test]
fn the_production_version_writes_a_staged_gang_back_without_its_mark() {
    let staged = StagedAttempt {
        attempt: 7,
        charged_shard: ShardIndex(0),
        last_step_at: 1_764_650_010_123,
    };
    let record = JobRecord {
        placements: vec![StoredPlacement::from((2, 7, "n-000231".to_string(), 1, 0))],
        staged: Some(staged),
        ..open_job()
    };
    let bytes = rmp_serde::to_vec_named(&record).expect("a record");
    assert_eq!(
        rmp_serde::from_slice::<JobRecord>(&bytes).ok(),
        Some(record.clone())
    );
    let read: old::JobRecord = rmp_serde::from_slice(&bytes).expect("a record that it reads");
    let written = rmp_serde::to_vec_named(&read).expect("a record");
    let unmarked = JobRecord {
        staged: None,
        ..record
    };
    assert_eq!(
        rmp_serde::from_slice::<JobRecord>(&written).ok(),
        Some(unmarked)
    );
}

#[test]
fn cancellation_frames_equal_those_of_the_production_version() {
    let jobs = vec!["job-000412".to_string(), "job-000398".to_string()];
    let request = PeerRequest::CancelledJobs { jobs: jobs.clone() };
    let response = PeerResponse::CancellationAttestation {
        uptime_ms: 90_000,
        watermark_age_ms: 250,
        jobs,
    };
    let bytes = sample_of(VERSION_0_2, "ask/cancelled");
    assert_eq!(peers::decode_request(&bytes), Some(request.clone()));
    assert_eq!(
        peers::encode(&request).map(|encoded| encoded.len()),
        Some(bytes.len())
    );
    let bytes = sample_of(VERSION_0_2, "reply/cancelled");
    assert_eq!(peers::decode_response(&bytes), Some(response.clone()));
    let encoded = peers::encode(&response).expect("a frame");
    assert_eq!(encoded.len(), bytes.len());
    // Padding has no defined value, so this version's frame is compared by what is read from it.
    assert_eq!(peers::decode_response(&encoded), Some(response));
}

#[test]
fn the_old_version_refuses_unknown_frames() {
    let jobs = vec!["job-1".to_string()];
    let request = peers::encode(&PeerRequest::CancelledJobs { jobs: jobs.clone() }).unwrap();
    assert!(peers::decode_request(&request).is_some());
    assert_eq!(old::decode_request(&request), None);
    let response = peers::encode(&PeerResponse::CancellationAttestation {
        uptime_ms: 1,
        watermark_age_ms: 2,
        jobs,
    })
    .unwrap();
    assert!(peers::decode_response(&response).is_some());
    assert_eq!(old::decode_response(&response), None);
}

/// Requests and responses between controllers as version 0.1 declares them, and the record of a job
/// as the production version does.
mod old {
    use super::{JobSpec, JobState, MachineStatus, StoredPlacement, TaskRanges, TaskRef};
    use rkyv::{rancor::Error, util::AlignedVec, Archive, Deserialize, Serialize};

    #[derive(Archive, Serialize, Deserialize, PartialEq, Debug)]
    pub enum PeerRequest {
        News {
            node: String,
            store_ok: bool,
            hears_workers: bool,
            machines: Vec<MachineStatus>,
        },
        Bind {
            tasks: Vec<(String, TaskRef)>,
        },
        Poll {
            idle: String,
            machines: Vec<String>,
        },
        Hold {
            job: String,
            machines: Vec<String>,
        },
        Close {
            machines: Vec<String>,
        },
        Gone {
            machines: Vec<String>,
        },
    }

    #[derive(Archive, Serialize, Deserialize, PartialEq, Debug)]
    pub enum PeerResponse {
        Noted,
        Task(Option<TaskRef>),
        Closed(Vec<String>),
    }

    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct JobRecord {
        #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
        spec: Option<JobSpec>,
        #[serde(rename = "s")]
        state: JobState,
        #[serde(rename = "t")]
        submitted_at: u64,
        #[serde(rename = "d", default)]
        done: TaskRanges,
        #[serde(rename = "p", default)]
        placements: Vec<StoredPlacement>,
        #[serde(rename = "n")]
        next_attempt: u64,
        #[serde(rename = "f", default)]
        finished_at: u64,
    }

    fn aligned(bytes: &[u8]) -> AlignedVec {
        let mut copy: AlignedVec = AlignedVec::new();
        copy.extend_from_slice(bytes);
        copy
    }

    pub fn decode_request(bytes: &[u8]) -> Option<PeerRequest> {
        rkyv::from_bytes::<PeerRequest, Error>(&aligned(bytes)).ok()
    }

    pub fn decode_response(bytes: &[u8]) -> Option<PeerResponse> {
        rkyv::from_bytes::<PeerResponse, Error>(&aligned(bytes)).ok()
    }
}
