//! Bodies of requests and answers and the words in them to the letter, see
//! `tests/support/golden.rs`.
//!
//! Bodies are given as JSON with the names of the protocol, so that these tests too name few
//! fields; [`wire_names_reach_their_fields`] says once which name belongs to which field.

use pointhook::protocol::kv as kv_protocol;
use pointhook::protocol::workers::AgentEpoch;
use pointhook::protocol::workers::FencingToken;
use pointhook::protocol::{cloud, users, workers};
use pointhook::state::cluster_state::ClusterState;
use pointhook::state::records::ControllerRecord;
use pointhook::state::units::Incarnation;
use pointhook::transport::http::{self, ServerResponse};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use support::golden::{hex, packed, rewritten, Group};
use support::golden_samples::{cluster, described, offered, read, with};

mod support {
    pub mod golden;
    pub mod golden_samples;
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

fn names_of_a_description() {
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
}

fn names_of_a_heartbeat() {
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
}

fn names_of_commands() {
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

/// What a job's description, an answer and records mean: `tests/version_compatibility.rs` says it
/// for the records; this one for the bodies.
#[test]
fn wire_names_reach_their_fields() {
    names_of_a_description();
    names_of_a_heartbeat();
    names_of_commands();
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

fn words_of_takeovers(g: &mut Group) {
    use standby::failover::FailoverState;
    use standby::ids::{FencingToken, Revision};
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
}

/// Words read back whichever value they stand for, so their order says which it is.
#[test]
fn words_of_values() {
    use pointhook::state::job::JobState;
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
    words_of_takeovers(&mut g);
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
        let answer = |incoming: http::ServerRequest| async move {
            match incoming.path.as_str() {
                "/later" => ServerResponse::unavailable(1),
                "/status" => ServerResponse::with_body(201, &json!({"uid": "job-1"})),
                path => ServerResponse::empty(path[1..].parse().expect("a status")),
            }
        };
        let serving = http::serve(ex.clone(), listener, 8, answer);
        async_io::block_on(ex.run(serving));
    });
    let addr = told.recv().expect("a server");
    let mut g = Group::new("http.txt");
    g.line("largest body", &http::MAX_BODY_BYTES.to_string());
    for path in [
        "/later", "/status", "/200", "/400", "/404", "/405", "/421", "/422", "/503",
    ] {
        g.line(path, &exchanged(addr, path));
    }
    g.compare();
}
