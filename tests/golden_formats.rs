//! Every external and stored format to the letter: records, frames between controllers, bodies of
//! requests and answers, printed JSON, settings files and the command line.
//!
//! What the tests make is compared with `tests/data/golden/`, whose files hold serialized bytes
//! only. They stay as they are when types and fields get other names; a line that changes is a
//! format that changes, which other controllers, workers, users or stored records would notice.
//!
//! Bodies are given as JSON with the names of the protocol, so that these tests too name few
//! fields; [`wire_names_reach_their_fields`] says once which name belongs to which field.

use pointhook::coordination::kv;
use pointhook::coordination::membership::{begin_record_format_v2, move_transaction, Move};
use pointhook::features::Features;
use pointhook::protocol::kv as kv_protocol;
use pointhook::protocol::peers::{
    self, MachineStatus, PeerRequest, PeerResponse, ShardStatus, TaskRef,
};
use pointhook::protocol::workers::AgentEpoch;
use pointhook::protocol::workers::FencingToken;
use pointhook::protocol::{cloud, users, workers};
use pointhook::settings::{Operator, Platform, Team};
use pointhook::state::cluster_state::ClusterState;
use pointhook::state::job::JobRecord;
use pointhook::state::names::{ShardIndex, TeamIndex};
use pointhook::state::records::{
    ControllerRecord, OverflowRecord, ProvisioningRecord, ShardRecord, TeamRecord, Versioned,
    RECORD_FORMAT_V2, STANDBY_VERSION,
};
use pointhook::state::units::Incarnation;
use pointhook::state::units::QuotaUsage;
use pointhook::transport::http::{self, Answer};
use serde_json::{json, Value};
use standby::message::{
    Decision, FollowerResponse, MachineState, Message, QueuedTask, MAX_MESSAGE_BYTES,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};
use std::rc::Rc;
use support::golden::{file, hex, packed, rewritten, settings_keys, Group};

mod support {
    pub mod golden;
}

/// A job's description with every key.
fn described() -> Value {
    json!({
        "uid": "job-000412", "jobline": "train", "crew": "vision", "shape": "group",
        "rank": "urgent", "pieces": 4, "vcpus": 8.0, "gpus": 1.5, "mem_gb": 64.25,
        "kit": "img-07", "size_gb": 6.2, "rigs": ["g8", "g4"], "yard": "a", "same_place": true,
        "scatter": false, "loaners": true, "guess_s": 240.0, "snapshot_s": 30.0, "flush_s": 4.0,
        "due_s": 900.0, "awaits": ["job-000398", "job-000405"],
    })
}

/// A value with some keys changed; null takes a key out.
fn with(mut value: Value, changes: Value) -> Value {
    let map = value.as_object_mut().expect("a map");
    for (key, new) in changes.as_object().expect("a map") {
        match new {
            Value::Null => map.remove(key),
            new => map.insert(key.clone(), new.clone()),
        };
    }
    value
}

fn read<T: serde::de::DeserializeOwned>(body: Value) -> T {
    rmp_serde::from_slice(&packed(&body)).expect("a body of the protocol")
}

/// Two machine types, one without the keys that may be absent.
fn offered() -> Value {
    json!({"rigs": [
        {"sku": "g8", "vcpus": 96.0, "gpus": 8.0, "mem_gb": 768.0, "local_gb": 400.5,
         "pull_gb_per_s": 0.5, "hourly": 21.5, "low_price": 7.25, "startup_s": 95.0,
         "yards": ["a", "b"]},
        {"sku": "c4", "vcpus": 4.0, "gpus": 0.0, "mem_gb": 16.0, "hourly": 0.2,
         "low_price": 0.05, "startup_s": 40.0, "yards": []},
    ]})
}

#[test]
fn stored_records() {
    let mut g = Group::new("records.txt");
    let small = with(
        described(),
        json!({"rigs": null, "yard": null, "due_s": null, "awaits": null}),
    );
    let job = json!({
        "j": described(), "s": "o", "t": 1_764_650_000_123_u64, "d": [[0, 2], [3, 4]],
        "p": [[2, 7, "n-000231", 1, 0], [4, 70_000, "n-000007", 3, 3]], "n": 70_001,
        "f": 1_764_650_090_456_u64,
    });
    g.all_keys::<JobRecord>("job", &job);
    for state in ["o", "d", "c"] {
        let least = json!({"s": state, "t": 1, "n": 1});
        g.form::<JobRecord>(&format!("job least {state}"), &least);
        let whole = with(job.clone(), json!({"s": state, "f": null, "j": small}));
        g.form::<JobRecord>(&format!("job {state}"), &whole);
    }
    g.read_by(
        "job x",
        &with(job, json!({"s": "x"})),
        rewritten::<JobRecord>,
    );
    let part = json!({"p": [[40, 41, "n-000007", 3, 3], [41, 42, "n-000231", 1, 0]]});
    g.all_keys::<OverflowRecord>("more", &part);
    g.form::<OverflowRecord>("more none", &json!({"p": []}));
    g.all_keys::<ControllerRecord>("node", &json!({"i": u64::MAX, "v": 2, "w": 1}));
    g.form::<ControllerRecord>("node zeros", &json!({"i": 7, "v": 0, "w": 0}));
    g.all_keys::<ShardRecord>("shard", &json!({"o": "stoker-1", "i": 1_234_567, "t": 41}));
    g.all_keys::<TeamRecord>("team", &json!({"s": [[1, 8000, 2000], [3, -5, 0]]}));
    let send_provisioning_request =
        json!({"r": "g8", "z": "a", "s": true, "n": 12, "h": ["n-000231"]});
    g.all_keys::<ProvisioningRecord>("book", &send_provisioning_request);
    g.form::<cloud::MachineTypeCatalog>("flavors", &offered());
    g.form::<bool>("form", &json!(true));
    g.line("second form", &RECORD_FORMAT_V2.to_string());
    g.line("standby version", &STANDBY_VERSION.to_string());
    g.compare();
}

fn cluster() -> ClusterState {
    let team = Team {
        name: "vision".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    ClusterState::new(&["a".to_string(), "b".to_string()], &[team], 2)
}

#[test]
fn keys_of_records_and_the_transactions_that_write_them() {
    let mut g = Group::new("keys.txt");
    let mut c = cluster();
    let record = JobRecord::submitted(read(described()), 1);
    let token = ShardRecord {
        fencing_token: FencingToken(5),
        ..ShardRecord::default()
    };
    let node = read::<ControllerRecord>(json!({"i": 7, "v": 2}));
    let writes = [
        kv::set(ClusterState::job_key("job-000412"), &record, None),
        kv::set(
            ClusterState::overflow_key("job-000412", 12),
            &OverflowRecord::default(),
            None,
        ),
        kv::set(c.shard_key(ShardIndex(3)), &token, None),
        kv::set(c.team_key(TeamIndex(0)), &TeamRecord::default(), None),
        kv::set("ph/node/stoker-1".into(), &node, Some(99)),
    ];
    for write in writes.into_iter().flatten() {
        let txn = kv_protocol::Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        let bytes = rmp_serde::to_vec_named(&txn).expect("a transaction");
        let kv_protocol::Write::Set { set: key, .. } = &txn.writes[0] else {
            panic!("not a put");
        };
        g.line(key, &hex(&bytes));
    }
    // Values of all kinds are found under their keys.
    let mut put = |key: &str, v: Value| {
        let v = rmp_serde::from_slice(&packed(&v)).expect("a value");
        c.put(key, 9, &v);
    };
    put("ph/node/stoker-1", json!({"i": 7, "v": 2}));
    put("ph/shard/3", json!({"o": "stoker-1", "i": 7, "t": 41}));
    put("ph/team/vision", json!({"s": [[1, 8000, 2000]]}));
    put(
        "ph/book/b-1",
        json!({"r": "g8", "z": "a", "s": true, "n": 12}),
    );
    put("ph/flavors/all", offered());
    put("ph/job/job-1", json!({"s": "c", "t": 1, "n": 1}));
    assert_eq!(c.controllers["stoker-1"].version, 9);
    assert_eq!(
        (c.shards[3].version, c.shards[3].record.fencing_token),
        (9, FencingToken(41))
    );
    assert_eq!(
        c.team_quotas[0].record.share(ShardIndex(1)),
        QuotaUsage {
            cpu_milli: 8000,
            gpu_milli: 2000
        }
    );
    assert_eq!(c.provisioning_requests["b-1"].record.count, 12);
    assert_eq!(c.machine_types_version, 9);
    assert!(c.job("job-1").is_some() && !c.record_format_v2);
    c.loaded = true;
    let begins = begin_record_format_v2(&c, &["stoker-1"]).expect("all know it");
    let bytes = rmp_serde::to_vec_named(&begins).expect("a transaction");
    g.line("second form begins", &hex(&bytes));
    c.put("ph/form/2", 10, &rmpv::Value::Boolean(true));
    assert!(c.record_format_v2);
    let target = Versioned {
        version: 3,
        record: node,
    };
    c.controllers.insert("stoker-2".into(), target);
    let moved = Move {
        shard: ShardIndex(3),
        to: "stoker-2".into(),
    };
    let (txn, _) = move_transaction(&c, &moved).expect("a move");
    let bytes = rmp_serde::to_vec_named(&txn).expect("a transaction");
    g.line("a shard moves", &hex(&bytes));
    g.compare();
}

/// Names short enough to lie within an archive's string, and one that is not.
fn names() -> Vec<String> {
    vec!["n-000231".into(), "n-7".into(), "n-000000000007".into()]
}

fn asks() -> Vec<(&'static str, PeerRequest)> {
    let news = |name: &str, flip: bool| MachineStatus {
        name: name.into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: flip,
        silent_ms: 1500,
        has_sent_heartbeat: !flip,
        fencing_token_confirmed: flip,
        queue_length: 2,
        cordoned: !flip,
        quarantined: flip,
    };
    let task = |job: &str, task| TaskRef {
        job: job.into(),
        task,
    };
    vec![
        (
            "news",
            PeerRequest::Status {
                sender: "stoker-north-1".into(),
                kv_reachable: true,
                workers_reachable: false,
                machines: vec![news("n-000231", true), news("n-000000000007", false)],
            },
        ),
        (
            "news none",
            PeerRequest::Status {
                sender: "a".into(),
                kv_reachable: false,
                workers_reachable: true,
                machines: Vec::new(),
            },
        ),
        (
            "bind",
            PeerRequest::EnqueueTasks {
                tasks: vec![
                    ("n-000231".into(), task("job-000412", 3)),
                    ("n-000000000007".into(), task("job-1", 70_000)),
                ],
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
                job: "job-000412".into(),
                machines: names(),
            },
        ),
        ("close", PeerRequest::Cordon { machines: names() }),
        ("gone", PeerRequest::MachinesDeleted { machines: names() }),
        ("cancelled", PeerRequest::CancelledJobs { jobs: names() }),
        (
            "follow",
            PeerRequest::Replicate {
                sender: "stoker-1".into(),
                message: vec![1, 2, 255],
            },
        ),
        ("standbys", PeerRequest::ShardStatuses),
    ]
}

fn standings() -> Vec<ShardStatus> {
    let standing = |shard, standby: Option<&str>, replication_lag, follows| ShardStatus {
        shard,
        owner: "stoker-north-1".into(),
        fencing_token: 41,
        state: "owner".into(),
        standby: standby.map(String::from),
        replication_lag,
        replica_of_token: follows,
    };
    vec![
        standing(0, Some("stoker-2"), Some(17), None),
        standing(1, None, None, Some(40)),
    ]
}

#[test]
fn frames_between_controllers() {
    let mut g = Group::new("peers.txt");
    g.line("version", &peers::VERSION.to_string());
    g.line("largest", &peers::MAX_FRAME.to_string());
    g.line("most jobs", &peers::MAX_CANCELLED_JOBS.to_string());
    for (name, ask) in asks() {
        g.archive(
            &format!("ask {name}"),
            &ask,
            peers::encode,
            peers::decode_request,
        );
    }
    let task = TaskRef {
        job: "job-000412".into(),
        task: 3,
    };
    let replies = [
        ("noted", PeerResponse::Acknowledged),
        ("task", PeerResponse::StolenTask(Some(task))),
        ("no task", PeerResponse::StolenTask(None)),
        ("closed", PeerResponse::Cordoned(names())),
        (
            "cancelled",
            PeerResponse::CancellationAttestation {
                uptime_ms: 90_000,
                watermark_age_ms: u32::MAX,
                jobs: names(),
            },
        ),
        (
            "followed",
            PeerResponse::ReplicationAnswer {
                answer: vec![3, 0, 255],
            },
        ),
        (
            "standbys",
            PeerResponse::ShardStatuses {
                shards: standings(),
            },
        ),
    ];
    for (name, reply) in replies {
        let name = format!("reply {name}");
        g.archive(&name, &reply, peers::encode, peers::decode_response);
    }
    g.compare();
}

#[test]
fn messages_of_the_standby() {
    let mut g = Group::new("standby.txt");
    g.line("longest", &MAX_MESSAGE_BYTES.to_string());
    let task = |task| QueuedTask {
        job: "job-000412".into(),
        task,
    };
    let held = MachineState {
        queue: vec![task(3), task(70_000)],
        reserved_for: Some("job-000007".into()),
    };
    let decisions = [
        (
            "machine",
            Decision::MachineChanged {
                name: "n-000231".into(),
                state: held.clone(),
            },
        ),
        (
            "gone",
            Decision::MachineRemoved {
                name: "n-000000000007".into(),
            },
        ),
        (
            "claimed",
            Decision::TaskClaimed {
                task: task(4),
                attempt: 8,
                machine: "n-000231".into(),
                revision: 5000,
            },
        ),
        (
            "ended",
            Decision::AttemptEnded {
                task: task(5),
                attempt: 9,
                revision: 5001,
            },
        ),
    ];
    let tail = |decisions: Vec<Decision>| Message::LogTail {
        shard: 2,
        fencing_token: 41,
        first_sequence: 17,
        decisions,
    };
    let all = decisions.iter().map(|(_, d)| d.clone()).collect();
    let snapshot = Message::SnapshotPart {
        shard: 2,
        fencing_token: 41,
        next_sequence: 18,
        last_decided_revision: 5001,
        part: 3,
        is_last: true,
        machines: vec![
            ("n-000231".into(), held),
            ("n-000000000007".into(), MachineState::default()),
        ],
    };
    let mut messages = vec![("tail", tail(all)), ("snapshot", snapshot)];
    messages.extend(decisions.map(|(name, d)| (name, tail(vec![d]))));
    for (name, message) in messages {
        g.archive(name, &message, Message::encode, Message::decode);
    }
    let answers = [
        ("next", FollowerResponse::NextSequence(19)),
        ("next part", FollowerResponse::NextPart(4)),
        ("needs snapshot", FollowerResponse::NeedsSnapshot),
        ("outranked", FollowerResponse::StaleFencingToken(42)),
    ];
    for (name, answer) in answers {
        g.archive(
            name,
            &answer,
            FollowerResponse::encode,
            FollowerResponse::decode,
        );
    }
    g.compare();
}

/// A submission as the users' door reads it, written as it is stored and forwarded.
fn submission(body: &[u8]) -> Option<Vec<u8>> {
    users::parse_job(body).map(|spec| rmp_serde::to_vec_named(&spec).expect("a description"))
}

#[test]
fn bodies_of_users() {
    let mut g = Group::new("users.txt");
    g.read_by("job", &described(), submission);
    g.keys_read_by("job", &described(), submission);
    let twice = json!({"awaits": ["job-3", "job-3"]});
    g.read_by("job twice awaited", &with(described(), twice), submission);
    let enums = [
        (
            "shape",
            vec!["sweep", "group", "service", "array", "gang", "Service"],
        ),
        (
            "rank",
            vec!["prod", "urgent", "normal", "idle", "high", "low"],
        ),
    ];
    for (key, words) in enums {
        for word in words {
            let job = with(described(), json!({ key: word }));
            g.read_by(&format!("job {key} {word}"), &job, submission);
        }
    }
    let list = Value::Array(
        described()
            .as_object()
            .expect("a map")
            .values()
            .cloned()
            .collect(),
    );
    g.read_by("job as a list", &list, submission);
    let status = json!({"uid": "job-000412", "status": "running", "done": 3, "running": 200});
    g.all_keys::<users::JobStatus>("status", &status);
    for word in ["o", "d", "c"] {
        for (what, p) in [("", json!([])), (" placed", json!([[2, 7, "n-1", 1, 0]]))] {
            let mut c = cluster();
            let rec = json!({"j": described(), "s": word, "t": 1, "n": 9, "d": [[0, 1]], "p": p});
            c.put_job("job-000412", 5, &read(rec));
            let (_, job) = c.job("job-000412").expect("known");
            let (state, done, running) = ClusterState::status(job);
            g.line(
                &format!("state {word}{what}"),
                &format!("{state} {done} {running}"),
            );
        }
    }
    let new = pointhook::coordination::job_api::accepted(&cluster(), "job-000412", 5);
    g.line("accepted", &format!("{} {}", new.status, hex(&new.body)));
    g.compare();
}

#[test]
fn bodies_of_workers() {
    let mut g = Group::new("workers.txt");
    let task = json!({"piece": "job-000412/3", "try": 7, "status": "exited", "cause": "done",
        "stored": true});
    let report = json!({
        "host": "n-000231", "endpoint": "10.1.0.232:9000", "rig": "g8", "yard": "a",
        "loaners": true, "shift": 3, "tally": 70_000, "baton": 41, "warning_s": 30.5,
        "pieces": [task, {"piece": "job-1/0", "try": 1, "status": "running"}],
    });
    g.all_keys::<workers::Heartbeat>("report", &report);
    g.all_keys::<workers::TaskStatus>("task", &task);
    for word in ["pulling", "gathering", "running", "flushing", "exited", "x"] {
        let task = with(task.clone(), json!({"status": word}));
        g.read_by(
            &format!("task status {word}"),
            &task,
            rewritten::<workers::TaskStatus>,
        );
    }
    let causes = [
        "done",
        "halted",
        "mates_gone",
        "alone",
        "error",
        "full",
        "busy",
        "unknown",
    ];
    for word in causes.into_iter().chain(["some new cause"]) {
        // An unknown cause is read, but never written.
        let task = with(task.clone(), json!({"cause": word}));
        let bytes = rewritten::<workers::TaskStatus>(&packed(&task)).expect(word);
        g.line(&format!("task cause {word}"), &hex(&bytes));
    }
    let orders = [
        json!({"verb": "start", "piece": "job-1/0", "try": 1}),
        json!({"verb": "stop", "piece": "job-1/0", "try": 1, "wind_down_s": 4.5}),
        json!({"verb": "reap", "piece": "job-1/0", "try": 1}),
    ];
    for order in &orders {
        let verb = order["verb"].as_str().expect("a word");
        g.all_keys::<workers::Command>(verb, order);
    }
    let other = json!({"verb": "forget", "piece": "job-1/0", "try": 1});
    g.read_by("another verb", &other, rewritten::<workers::Command>);
    g.all_keys::<workers::HeartbeatResponse>("answer", &json!({"baton": 41, "orders": orders}));
    let commands = json!({"baton": 41, "shift": 3, "orders": orders});
    g.all_keys::<workers::DirectCommands>("commands", &commands);
    g.all_keys::<workers::NotOwner>("elsewhere", &json!({"foreman": "stoker-2"}));
    g.compare();
}

#[test]
fn bodies_of_the_cloud_and_the_state_service() {
    let mut g = Group::new("outside.txt");
    g.all_keys::<cloud::MachineTypeCatalog>("flavors", &offered());
    g.all_keys::<cloud::CloudMachineType>("flavor", &offered()["rigs"][0]);
    let rent = json!({"booking": "b-1", "rig": "g8", "yard": "a", "loaners": true, "count": 12});
    g.all_keys::<cloud::ProvisioningRequest>("rent", &rent);
    g.all_keys::<cloud::MachineNames>("hosts", &json!({"hosts": ["n-1", "n-2"]}));
    let host = json!({"uid": "n-1", "endpoint": "10.1.0.2:9000", "rig": "g8", "yard": "a",
        "loaners": false, "status": "booting", "held_s": 12.5});
    g.all_keys::<cloud::ListedMachine>("listed", &host);
    g.all_keys::<cloud::MachineListPage>("list", &json!({"hosts": [host], "more": true}));
    let txn = json!({
        "when": [{"key": "ph/a", "stamp": 0}, {"key": "ph/b", "stamp": 7}],
        "writes": [{"set": "ph/a", "v": {"x": [1, 2.5, "y", null, true]}},
            {"set": "ph/c", "v": 1, "hold": 99}, {"remove": "ph/b"}],
    });
    g.all_keys::<kv_protocol::Transaction>("commit", &txn);
    g.all_keys::<kv_protocol::Condition>("condition", &txn["when"][1]);
    for (i, name) in ["set", "set with a lease", "remove"].iter().enumerate() {
        g.all_keys::<kv_protocol::Write>(name, &txn["writes"][i]);
    }
    g.all_keys::<kv_protocol::Committed>("committed", &json!({"epoch": 8, "failed": ["ph/a"]}));
    let entry = json!({"key": "ph/a", "v": {"x": 1}, "stamp": 7});
    g.all_keys::<kv_protocol::Entry>("entry", &entry);
    let page = json!({"entries": [entry], "more": true, "epoch": 8});
    g.all_keys::<kv_protocol::Page>("page", &page);
    let put = json!({"set": "ph/a", "v": {"x": 1}, "stamp": 7});
    g.all_keys::<kv_protocol::Event>("put", &put);
    g.all_keys::<kv_protocol::Event>("deletion", &json!({"remove": "ph/a", "stamp": 8}));
    g.all_keys::<kv_protocol::Changes>("changes", &json!({"epoch": 8, "log": [put]}));
    g.all_keys::<kv_protocol::Lease>("lease", &json!({"hold": 99}));
    g.all_keys::<kv_protocol::LeaseRequest>("lease request", &json!({"life_ms": 4000}));
    g.compare();
}

/// What a job's description, an answer and records mean: `tests/version_compatibility.rs` says it
/// for the records; this one for the bodies.
#[test]
fn wire_names_reach_their_fields() {
    let s: users::JobSpec = read(described());
    assert_eq!(
        (s.vcpus, s.gpus, s.mem_gb, s.image_gb),
        (8.0, 1.5, 64.25, 6.2)
    );
    assert_eq!(
        (s.estimated_run_s, s.checkpoint_s, s.checkpoint_grace_s),
        (240.0, 30.0, 4.0)
    );
    assert_eq!(
        (s.one_zone, s.spread, s.spot, s.tasks),
        (true, false, true, 4)
    );
    assert_eq!(
        (s.id.as_str(), s.class.as_str(), s.team.as_str()),
        ("job-000412", "train", "vision")
    );
    assert_eq!((s.image.as_str(), s.zone.as_deref()), ("img-07", Some("a")));
    assert_eq!(s.types, Some(vec!["g8".to_string(), "g4".to_string()]));
    assert_eq!((s.deadline_s, s.dependencies.len()), (Some(900.0), 2));
    let r: workers::Heartbeat = read(json!({
        "host": "n-1", "endpoint": "e", "rig": "g8", "yard": "a", "loaners": true, "shift": 3,
        "tally": 4, "baton": 41, "warning_s": 30.5,
        "pieces": [{"piece": "job-1/0", "try": 7, "status": "exited", "cause": "mates_gone", "stored": true}],
    }));
    assert_eq!((r.machine.as_str(), r.addr.as_str()), ("n-1", "e"));
    assert_eq!(
        (r.machine_type.as_str(), r.zone.as_str(), r.spot),
        ("g8", "a", true)
    );
    assert_eq!(
        (
            r.agent_epoch,
            r.sequence,
            r.fencing_token,
            r.preemption_notice_s
        ),
        (AgentEpoch(3), 4, FencingToken(41), Some(30.5))
    );
    let t = &r.tasks[0];
    assert_eq!(
        (t.task.as_str(), t.attempt, t.checkpointed),
        ("job-1/0", 7, Some(true))
    );
    assert!(
        t.state == workers::TaskState::Exited
            && t.exit_reason == Some(workers::ExitReason::GangMemberLost)
    );
    let c: workers::DirectCommands = read(json!({"baton": 41, "shift": 3, "orders": [
        {"verb": "reap", "piece": "job-1/0", "try": 1}]}));
    assert_eq!(
        (c.fencing_token, c.agent_epoch),
        (FencingToken(41), AgentEpoch(3))
    );
    assert!(matches!(
        c.commands[0],
        workers::Command::AcknowledgeExit { attempt: 1, .. }
    ));
    let o: workers::Command = read(json!({"verb": "start", "piece": "job-1/0", "try": 1}));
    assert!(matches!(o, workers::Command::Start { attempt: 1, .. }));
    let e: workers::NotOwner = read(json!({"foreman": "x"}));
    assert_eq!(e.owner.as_deref(), Some("x"));
}

/// The same for the bodies of the cloud and the state service.
#[test]
fn wire_names_of_outside_services_reach_their_fields() {
    let f = &read::<cloud::MachineTypeCatalog>(offered()).types[0];
    assert_eq!(
        (f.name.as_str(), f.cache_gb, f.pull_gb_per_s),
        ("g8", 400.5, 0.5)
    );
    assert_eq!((f.vcpus, f.gpus, f.mem_gb), (96.0, 8.0, 768.0));
    assert_eq!(
        (f.price, f.spot_price, f.boot_s, f.zones.len()),
        (21.5, 7.25, 95.0, 2)
    );
    let l: cloud::ListedMachine =
        read(json!({"uid": "n", "endpoint": "e", "rig": "r", "yard": "y",
        "loaners": true, "status": "s", "held_s": 2.5}));
    assert_eq!(
        (l.name.as_str(), l.addr.as_str(), l.machine_type.as_str()),
        ("n", "e", "r")
    );
    assert_eq!(
        (l.zone.as_str(), l.spot, l.status.as_str(), l.age_s),
        ("y", true, "s", 2.5)
    );
    let b: cloud::ProvisioningRequest =
        read(json!({"booking": "b", "rig": "r", "yard": "y", "loaners": true, "count": 12}));
    assert_eq!((b.request_id.as_str(), b.machine_type.as_str()), ("b", "r"));
    assert_eq!((b.zone.as_str(), b.spot, b.count), ("y", true, 12));
    let p: kv_protocol::Page =
        read(json!({"entries": [{"key": "k", "v": 1, "stamp": 7}], "more": true, "epoch": 8}));
    assert_eq!((p.revision, p.more, p.entries[0].version), (8, true, 7));
    let w: kv_protocol::Changes = read(json!({"epoch": 8, "log": [{"remove": "k", "stamp": 7}]}));
    assert_eq!((w.revision, w.events[0].version), (8, 7));
    assert!(w.events[0].remove.as_deref() == Some("k") && w.events[0].set.is_none());
    assert_eq!(read::<kv_protocol::Lease>(json!({"hold": 9})).lease, 9);
    let n: ControllerRecord = read(json!({"i": 7, "v": 2, "w": 1}));
    assert_eq!(
        (n.incarnation, n.record_format, n.standby_version),
        (Incarnation(7), 2, 1)
    );
}

/// Words read back whichever value they stand for, so their order says which it is.
#[test]
fn words_of_values() {
    use pointhook::state::job::JobState;
    use standby::failover::FailoverState;
    use standby::ids::{FencingToken, Revision};
    use users::{JobKind, Priority};
    use workers::{ExitReason, TaskState};
    let mut g = Group::new("words.txt");
    let shapes = [JobKind::Array, JobKind::Gang, JobKind::Service];
    g.line("shape", &json!(shapes).to_string());
    let ranks = [
        Priority::Production,
        Priority::High,
        Priority::Normal,
        Priority::Low,
    ];
    assert!(ranks.is_sorted());
    g.line("rank", &json!(ranks).to_string());
    let states = [JobState::Open, JobState::Done, JobState::Cancelled];
    g.line("job", &json!(states).to_string());
    let (fetching, waiting) = (TaskState::PullingImage, TaskState::AwaitingGang);
    let rest = [
        TaskState::Running,
        TaskState::Checkpointing,
        TaskState::Exited,
    ];
    g.line("task", &json!([fetching, waiting, rest]).to_string());
    let ends = [
        ExitReason::Done,
        ExitReason::Stopped,
        ExitReason::GangMemberLost,
        ExitReason::GangTimeout,
        ExitReason::Error,
    ];
    let refusals = [
        ExitReason::InsufficientResources,
        ExitReason::OtherAttemptPresent,
        ExitReason::UnknownTask,
    ];
    g.line("end", &json!([ends, refusals]).to_string());
    assert!(read::<ExitReason>(json!("some new cause")) == ExitReason::Other);
    let calm = [
        FailoverState::Idle,
        FailoverState::Following,
        FailoverState::Suspecting,
    ];
    let (fencing_token, fence_revision) = (FencingToken(41), Revision(5));
    let owning = [
        FailoverState::CatchingUp {
            fencing_token,
            fence_revision,
        },
        FailoverState::Active { fencing_token },
    ];
    let moving = [
        FailoverState::Fencing,
        owning[0],
        owning[1],
        FailoverState::SteppedDown,
    ];
    let names = [
        calm.map(FailoverState::name).to_vec(),
        moving.map(FailoverState::name).to_vec(),
    ];
    g.line("takeover", &json!(names).to_string());
    g.compare();
}

/// A request to a server of the program, and the answer as it comes over the wire but for the date.
fn exchanged(addr: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let end = answer
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .expect("a head");
    let head = String::from_utf8_lossy(&answer[..end]);
    let mut lines: Vec<&str> = head.lines().filter(|l| !l.starts_with("date:")).collect();
    lines[1..].sort_unstable();
    format!("{} | {}", lines.join(" | "), hex(&answer[end + 4..]))
}

#[test]
fn answers_over_the_wire() {
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let listener = http::listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let addr = listener.get_ref().local_addr().expect("an address");
        tell.send(addr).expect("a test");
        let ex = Rc::new(async_executor::LocalExecutor::new());
        let answer = |incoming: http::Incoming| async move {
            match incoming.path.as_str() {
                "/later" => Answer::later(1),
                "/status" => Answer::of(201, &json!({"uid": "job-1"})),
                path => Answer::bare(path[1..].parse().expect("a status")),
            }
        };
        let serving = http::serve(ex.clone(), listener, 8, answer);
        async_io::block_on(ex.run(serving));
    });
    let addr = told.recv().expect("a server");
    let mut g = Group::new("http.txt");
    g.line("largest body", &http::MAX_BODY.to_string());
    for path in [
        "/later", "/status", "/200", "/400", "/404", "/405", "/421", "/422", "/503",
    ] {
        g.line(path, &exchanged(addr, path));
    }
    g.compare();
}

/// Runs the program to its end.
fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pointhook"));
    command.args(args).output().expect("the program runs")
}

fn code(output: &Output) -> String {
    output.status.code().expect("an exit code").to_string()
}

#[test]
fn json_that_the_program_prints() {
    let mut g = Group::new("printed.txt");
    let schema = run(&["schema"]);
    g.line(
        "schema",
        &json!(String::from_utf8_lossy(&schema.stdout)).to_string(),
    );
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let served = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = [0; 4];
        stream.read_exact(&mut head).expect("a head");
        let mut rest = vec![0; u32::from_be_bytes(head) as usize];
        stream.read_exact(&mut rest).expect("a frame");
        let body = peers::encode(&PeerResponse::ShardStatuses {
            shards: standings(),
        });
        let body = body.expect("a reply");
        let mut frame = (body.len() as u32 + 1).to_be_bytes().to_vec();
        frame.push(3);
        frame.extend(body);
        stream.write_all(&frame).expect("sent");
        [head.to_vec(), rest].concat()
    });
    let seen = run(&["observe", "standby", "--server", &addr, "--json"]);
    // Ends the wait for a request if the program has sent none.
    drop(TcpStream::connect(&addr));
    g.line(
        "observe standby",
        &json!(String::from_utf8_lossy(&seen.stdout)).to_string(),
    );
    g.line(
        "observe standby, frame sent",
        &hex(&served.join().expect("asked")),
    );
    g.line("observe standby, exit code", &code(&seen));
    g.compare();
}

const PLATFORM: &str = r#"
node = "stoker-1"
domain = "a"
bind = "127.0.0.1:1001"
cluster_listen = "127.0.0.1:1002"
siblings = [{node = "stoker-2", domain = "b", addr = "127.0.0.1:1003"}]
outside = {cloud = "127.0.0.1:1004", state = "127.0.0.1:1005"}
[settings]
zones = ["a", "b"]
teams = [{name = "vision", cpus = 1.5, cpus_max = 2.5, gpus = 3.5, gpus_max = 4.5}]
objectives = [{kind = "wait", class = "train", within_s = 60.5}]
workers = {report_s = 1.5, lease_s = 12.5, gang_wait_s = 13.5, gang_peer_s = 4.5, cancel_s = 60.5}
state = {rps = 101.0, write_rps = 102.0, value_kb = 103.0, txn_ops = 104, next = {write_rps = 51.0, value_kb = 52.0, txn_ops = 53}}
cloud = {rps = 5.5, list_lag_s = 6.5}
machine_limits = {max_connections = 900}
"#;

const OPERATOR: &str = "polls = 11\nqueue_cap = 12\ngang_hold_s = 13.5\nsteal_after_s = 14.5\n\
    idle_return_s = 15.5\nspot_patience_s = 16.5\nheadroom = 17.5\nheadroom_ordinary = 18.5\n\
    shards_per_zone = 19\n";

const FEATURES: &str = "[standby]\nenabled = false\nprefer_other_zone = true\nsettle_ms = 1234\n";

#[test]
fn keys_of_settings_files() {
    let mut g = Group::new("settings.txt");
    settings_keys(&mut g, "platform", PLATFORM, Platform::load);
    settings_keys(&mut g, "operator", OPERATOR, Operator::load);
    settings_keys(&mut g, "features", FEATURES, Features::load);
    g.compare();
}

#[test]
fn settings_files_say_what_they_mean() {
    let p = Platform::load(&file("whole.toml", PLATFORM)).expect("good");
    assert_eq!((p.name.as_str(), p.zone.as_str()), ("stoker-1", "a"));
    let ports = [
        p.bind,
        p.cluster_listen,
        p.peers[0].addr,
        p.services.cloud,
        p.services.kv,
    ];
    assert_eq!(ports.map(|a| a.port()), [1001, 1002, 1003, 1004, 1005]);
    let sibling = &p.peers[0];
    assert_eq!(
        (sibling.name.as_str(), sibling.zone.as_str()),
        ("stoker-2", "b")
    );
    let s = &p.settings;
    assert_eq!(s.zones, ["a", "b"]);
    let t = &s.teams[0];
    assert_eq!(
        (t.cpus, t.cpus_max, t.gpus, t.gpus_max),
        (1.5, 2.5, 3.5, 4.5)
    );
    let o = &s.objectives[0];
    assert_eq!(
        (o.kind.as_str(), o.class.as_deref(), o.within_s),
        ("wait", Some("train"), Some(60.5))
    );
    let w = &s.workers;
    assert_eq!((w.heartbeat_s, w.lease_s, w.gang_wait_s), (1.5, 12.5, 13.5));
    assert_eq!(
        (w.gang_peer_s, w.cancel_s, t.name.as_str()),
        (4.5, 60.5, "vision")
    );
    let x = &s.kv;
    assert_eq!(
        (x.rps, x.write_rps, x.value_kb, x.txn_ops),
        (101.0, 102.0, 103.0, 104)
    );
    let n = x.next.as_ref().expect("limits to come");
    assert_eq!(
        (n.write_rps, n.value_kb, n.txn_ops),
        (Some(51.0), Some(52.0), Some(53))
    );
    assert_eq!(
        (s.cloud.rps, s.cloud.list_lag_s, s.process.max_connections),
        (5.5, 6.5, 900)
    );
    let o = Operator::load(&file("operators.toml", OPERATOR)).expect("good");
    assert_eq!((o.polls, o.queue_cap, o.shards_per_zone), (11, 12, 19));
    assert_eq!(
        (
            o.gang_reservation_after_s,
            o.steal_after_s,
            o.scale_in_after_idle_s
        ),
        (13.5, 14.5, 15.5)
    );
    assert_eq!(
        (
            o.spot_patience_s,
            o.capacity_buffer_spot,
            o.capacity_buffer_on_demand
        ),
        (16.5, 17.5, 18.5)
    );
    let o = Operator::load(&file("operators.toml", "")).expect("good");
    assert_eq!((o.polls, o.queue_cap, o.shards_per_zone), (5, 2, 2));
    assert_eq!(
        (
            o.gang_reservation_after_s,
            o.steal_after_s,
            o.scale_in_after_idle_s
        ),
        (10.0, 2.0, 10.0)
    );
    assert_eq!(
        (
            o.spot_patience_s,
            o.capacity_buffer_spot,
            o.capacity_buffer_on_demand
        ),
        (45.0, 1.0, 1.2)
    );
    let f = Features::load(&file("features-whole.toml", FEATURES)).expect("good");
    let f = f.standby.expect("a table");
    assert_eq!(
        (f.enabled, f.prefer_other_zone, f.settle_ms),
        (false, true, 1234)
    );
}

/// Command lines: `GOOD`, `OP`, `FEAT` and `BAD` stand for files, `ADDR` for an address at which
/// nobody listens.
const LINES: &[&str] = &[
    "--help",
    "--version",
    "-V",
    "check --help",
    "schema",
    "schema extra",
    "",
    "serve",
    "--config",
    "--config BAD",
    "--config /no/such/file",
    "--confix BAD",
    "--config GOOD --operator BAD",
    "--config GOOD --operatox BAD",
    "--config GOOD --features BAD",
    "--config GOOD --featurex BAD",
    "--config GOOD --operator OP --features FEAT",
    "check",
    "check --config GOOD",
    "check --config GOOD --operator OP --features FEAT",
    "check --config BAD",
    "check --config GOOD --operator BAD",
    "check --config GOOD --features BAD",
    "check --confix GOOD",
    "check --config GOOD --operatox OP",
    "check --config GOOD --featurex FEAT",
    "check GOOD",
    "--config GOOD check",
    "observe",
    "observe standby",
    "observe standbys",
    "observe standby --server ADDR",
    "observe standby --server ADDR --json",
    "observe standby --server ADDR --jsox",
    "observe standby --server x",
    "observe standby ADDR",
    "job",
    "job submit --server ADDR JOB",
    "job submit --server ADDR BAD",
    "job submit --server ADDR /no/such/file",
    "job submit --server ADDR",
    "job submit JOB",
    "job show --server ADDR job-1",
    "job show --server ADDR",
    "job show job-1",
    "job cancel --server ADDR job-1",
    "job cancel --server ADDR",
    "job withdraw --server ADDR job-1",
    "job abort --server ADDR job-1",
];

/// A description of a job as people write it.
fn job_file() -> String {
    toml::to_string(&described()).expect("TOML")
}

#[test]
fn commands_options_and_exit_codes() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("an address").to_string();
    let nobody = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = nobody.local_addr().expect("an address").to_string();
    drop(nobody);
    // With its address taken a controller that is started ends at once.
    let good = file("good.toml", &PLATFORM.replace("127.0.0.1:1001", &at));
    let files = [
        ("GOOD", good),
        ("OP", file("op.toml", OPERATOR)),
        ("FEAT", file("feat.toml", FEATURES)),
        ("JOB", file("job.toml", &job_file())),
        ("BAD", file("bad.toml", "nonsense = 1\n")),
    ];
    let mut g = Group::new("commands.txt");
    for line in LINES {
        let word = |w: &str| match files.iter().find(|(name, _)| *name == w) {
            Some((_, path)) => path.display().to_string(),
            None if w == "ADDR" => addr.clone(),
            None => w.to_string(),
        };
        let args: Vec<String> = line.split_whitespace().map(word).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        g.line(&format!("pointhook {line}"), &code(&run(&args)));
    }
    g.compare();
}

/// Takes one request, answers it, and tells the request: its first line, type and body.
fn one_request(listener: &TcpListener, status: u16, body: &[u8]) -> String {
    let (mut stream, _) = listener.accept().expect("a connection");
    let (mut got, mut buf) = (Vec::new(), [0; 4096]);
    loop {
        let n = stream.read(&mut buf).expect("a request");
        assert!(n > 0, "the program asked for nothing");
        got.extend_from_slice(&buf[..n]);
        let Some(end) = got.windows(4).position(|w| w == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&got[..end]).to_string();
        let field = |name: &str| {
            let line = head.lines().find_map(|l| l.strip_prefix(name));
            line.unwrap_or_default().trim().to_string()
        };
        let len: usize = field("content-length:").parse().unwrap_or(0);
        if got.len() < end + 4 + len {
            continue;
        }
        let answer = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream
            .write_all(&[answer.as_bytes(), body].concat())
            .expect("sent");
        let first = head.lines().next().unwrap_or_default();
        return format!(
            "{first} | {} | {}",
            field("content-type:"),
            hex(&got[end + 4..])
        );
    }
}

#[test]
fn requests_and_exit_codes_of_job_commands() {
    let mut g = Group::new("job_commands.txt");
    let job = file("submitted.toml", &job_file()).display().to_string();
    let body = packed(&json!({"uid": "job-7", "status": "running", "done": 1, "running": 2}));
    let mut exchange = |action: &str, what: &str, status: u16| {
        let name = format!("job {action} {status}");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address").to_string();
        std::thread::scope(|s| {
            let asked = s.spawn(|| one_request(&listener, status, &body));
            let output = run(&["job", action, "--server", &addr, what]);
            // Ends the wait for a request if the program has sent none.
            drop(TcpStream::connect(&addr));
            g.line(&name, &code(&output));
            g.line(&format!("{name}, request"), &asked.join().expect("asked"));
        });
    };
    exchange("submit", &job, 201);
    exchange("cancel", "job-7", 200);
    exchange("withdraw", "job-7", 200);
    for status in [200, 400, 404, 422, 429, 500, 503] {
        exchange("show", "job-7", status);
    }
    g.compare();
}
