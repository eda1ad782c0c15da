//! Bodies of HTTP requests and responses and the values in them, compared byte by byte with golden
//! files; see `tests/support/golden.rs`.
//!
//! Bodies are given as JSON with the names of the protocol, so that these tests name few fields of
//! the program; [`wire_names_map_to_their_fields`] checks which name belongs to which field.

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
use support::golden::{hex, reserialized, to_message_pack, Group};
use support::golden_samples::{cluster, full_job_spec, machine_type_catalog, read, with};

mod support {
    pub mod golden;
    pub mod golden_samples;
}

/// Parses a submission as the job API does, and encodes it as it is stored and forwarded.
fn submission(body: &[u8]) -> Option<Vec<u8>> {
    users::parse_job(body).map(|spec| rmp_serde::to_vec_named(&spec).expect("a description"))
}

#[test]
fn bodies_of_users() {
    let mut group = Group::new("users.txt");
    group.message_read_by("job", &full_job_spec(), submission);
    group.variations_read_by("job", &full_job_spec(), submission);
    let twice = json!({"awaits": ["job-3", "job-3"]});
    group.message_read_by(
        "job twice awaited",
        &with(full_job_spec(), twice),
        submission,
    );
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
            let job = with(full_job_spec(), json!({ key: word }));
            group.message_read_by(&format!("job {key} {word}"), &job, submission);
        }
    }
    let as_list = Value::Array(
        full_job_spec()
            .as_object()
            .expect("a map")
            .values()
            .cloned()
            .collect(),
    );
    group.message_read_by("job as a list", &as_list, submission);
    let status = json!({"uid": "job-000412", "status": "running", "done": 3, "running": 200});
    group.all_keys::<users::JobStatus>("status", &status);
    for word in ["o", "d", "c"] {
        for (suffix, placed) in [("", json!([])), (" placed", json!([[2, 7, "n-1", 1, 0]]))] {
            let mut cluster = cluster();
            let record = json!({"j": full_job_spec(), "s": word, "t": 1, "n": 9, "d": [[0, 1]],
                "p": placed});
            cluster.put_job("job-000412", 5, &read(record));
            let (_, job) = cluster.job("job-000412").expect("known");
            let (state, done, running) = ClusterState::job_status(job);
            group.line(
                &format!("state {word}{suffix}"),
                &format!("{state} {done} {running}"),
            );
        }
    }
    let accepted = pointhook::coordination::job_api::accepted(&cluster(), "job-000412", 5);
    group.line(
        "accepted",
        &format!("{} {}", accepted.status, hex(&accepted.body)),
    );
    group.compare();
}

#[test]
fn bodies_of_workers() {
    let mut group = Group::new("workers.txt");
    let task = json!({"piece": "job-000412/3", "try": 7, "status": "exited", "cause": "done",
        "stored": true});
    let heartbeat = json!({
        "host": "n-000231", "endpoint": "10.1.0.232:9000", "rig": "g8", "yard": "a",
        "loaners": true, "shift": 3, "tally": 70_000, "baton": 41, "warning_s": 30.5,
        "pieces": [task, {"piece": "job-1/0", "try": 1, "status": "running"}],
    });
    group.all_keys::<workers::Heartbeat>("report", &heartbeat);
    group.all_keys::<workers::TaskStatus>("task", &task);
    for word in ["pulling", "gathering", "running", "flushing", "exited", "x"] {
        let task = with(task.clone(), json!({"status": word}));
        group.message_read_by(
            &format!("task status {word}"),
            &task,
            reserialized::<workers::TaskStatus>,
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
        // An unknown cause is accepted when read, but is never written.
        let task = with(task.clone(), json!({"cause": word}));
        let bytes = reserialized::<workers::TaskStatus>(&to_message_pack(&task)).expect(word);
        group.line(&format!("task cause {word}"), &hex(&bytes));
    }
    let commands = [
        json!({"verb": "start", "piece": "job-1/0", "try": 1}),
        json!({"verb": "stop", "piece": "job-1/0", "try": 1, "wind_down_s": 4.5}),
        json!({"verb": "reap", "piece": "job-1/0", "try": 1}),
    ];
    for command in &commands {
        let verb = command["verb"].as_str().expect("a verb");
        group.all_keys::<workers::Command>(verb, command);
    }
    let unknown = json!({"verb": "forget", "piece": "job-1/0", "try": 1});
    group.message_read_by("another verb", &unknown, reserialized::<workers::Command>);
    group.all_keys::<workers::HeartbeatResponse>(
        "answer",
        &json!({"baton": 41, "orders": commands}),
    );
    let direct = json!({"baton": 41, "shift": 3, "orders": commands});
    group.all_keys::<workers::DirectCommands>("commands", &direct);
    group.all_keys::<workers::NotOwner>("elsewhere", &json!({"foreman": "stoker-2"}));
    group.compare();
}

#[test]
fn bodies_of_the_cloud_and_the_key_value_store() {
    let mut group = Group::new("outside.txt");
    group.all_keys::<cloud::MachineTypeCatalog>("flavors", &machine_type_catalog());
    group.all_keys::<cloud::CloudMachineType>("flavor", &machine_type_catalog()["rigs"][0]);
    let request = json!({"booking": "b-1", "rig": "g8", "yard": "a", "loaners": true, "count": 12});
    group.all_keys::<cloud::ProvisioningRequest>("rent", &request);
    group.all_keys::<cloud::MachineNames>("hosts", &json!({"hosts": ["n-1", "n-2"]}));
    let listed = json!({"uid": "n-1", "endpoint": "10.1.0.2:9000", "rig": "g8", "yard": "a",
        "loaners": false, "status": "booting", "held_s": 12.5});
    group.all_keys::<cloud::ListedMachine>("listed", &listed);
    group.all_keys::<cloud::MachineListPage>("list", &json!({"hosts": [listed], "more": true}));
    let transaction = json!({
        "when": [{"key": "ph/a", "stamp": 0}, {"key": "ph/b", "stamp": 7}],
        "writes": [{"set": "ph/a", "v": {"x": [1, 2.5, "y", null, true]}},
            {"set": "ph/c", "v": 1, "hold": 99}, {"remove": "ph/b"}],
    });
    group.all_keys::<kv_protocol::Transaction>("commit", &transaction);
    group.all_keys::<kv_protocol::Condition>("condition", &transaction["when"][1]);
    for (index, name) in ["set", "set with a lease", "remove"].iter().enumerate() {
        group.all_keys::<kv_protocol::Write>(name, &transaction["writes"][index]);
    }
    group.all_keys::<kv_protocol::CommitResponse>(
        "committed",
        &json!({"epoch": 8, "failed": ["ph/a"]}),
    );
    let entry = json!({"key": "ph/a", "v": {"x": 1}, "stamp": 7});
    group.all_keys::<kv_protocol::Entry>("entry", &entry);
    let page = json!({"entries": [entry], "more": true, "epoch": 8});
    group.all_keys::<kv_protocol::Page>("page", &page);
    let put = json!({"set": "ph/a", "v": {"x": 1}, "stamp": 7});
    group.all_keys::<kv_protocol::Event>("put", &put);
    group.all_keys::<kv_protocol::Event>("deletion", &json!({"remove": "ph/a", "stamp": 8}));
    group.all_keys::<kv_protocol::Changes>("changes", &json!({"epoch": 8, "log": [put]}));
    group.all_keys::<kv_protocol::Lease>("lease", &json!({"hold": 99}));
    group.all_keys::<kv_protocol::LeaseRequest>("lease request", &json!({"life_ms": 4000}));
    group.compare();
}

fn check_names_of_a_job_description() {
    let spec: users::JobSpec = read(full_job_spec());
    assert_eq!(
        (spec.vcpus, spec.gpus, spec.mem_gb, spec.image_gb),
        (8.0, 1.5, 64.25, 6.2)
    );
    assert_eq!(
        (
            spec.estimated_run_s,
            spec.checkpoint_s,
            spec.checkpoint_grace_s
        ),
        (240.0, 30.0, 4.0)
    );
    assert_eq!(
        (spec.one_zone, spec.spread, spec.spot, spec.tasks),
        (true, false, true, 4)
    );
    assert_eq!(
        (spec.id.as_str(), spec.class.as_str(), spec.team.as_str()),
        ("job-000412", "train", "vision")
    );
    assert_eq!(
        (spec.image.as_str(), spec.zone.as_deref()),
        ("img-07", Some("a"))
    );
    assert_eq!(spec.types, Some(vec!["g8".to_string(), "g4".to_string()]));
    assert_eq!((spec.deadline_s, spec.dependencies.len()), (Some(900.0), 2));
}

fn check_names_of_a_heartbeat() {
    let heartbeat: workers::Heartbeat = read(json!({
        "host": "n-1", "endpoint": "e", "rig": "g8", "yard": "a", "loaners": true, "shift": 3,
        "tally": 4, "baton": 41, "warning_s": 30.5,
        "pieces": [{"piece": "job-1/0", "try": 7, "status": "exited", "cause": "mates_gone", "stored": true}],
    }));
    assert_eq!(
        (heartbeat.machine.as_str(), heartbeat.addr.as_str()),
        ("n-1", "e")
    );
    assert_eq!(
        (
            heartbeat.machine_type.as_str(),
            heartbeat.zone.as_str(),
            heartbeat.spot
        ),
        ("g8", "a", true)
    );
    assert_eq!(
        (
            heartbeat.agent_epoch,
            heartbeat.sequence,
            heartbeat.fencing_token,
            heartbeat.preemption_notice_s
        ),
        (AgentEpoch(3), 4, FencingToken(41), Some(30.5))
    );
    let task = &heartbeat.tasks[0];
    assert_eq!(
        (task.task.as_str(), task.attempt, task.checkpointed),
        ("job-1/0", 7, Some(true))
    );
    assert!(
        task.state == workers::TaskState::Exited
            && task.exit_reason == Some(workers::ExitReason::GangMemberLost)
    );
}

fn check_names_of_commands() {
    let direct: workers::DirectCommands = read(json!({"baton": 41, "shift": 3, "orders": [
        {"verb": "reap", "piece": "job-1/0", "try": 1}]}));
    assert_eq!(
        (direct.fencing_token, direct.agent_epoch),
        (FencingToken(41), AgentEpoch(3))
    );
    assert!(matches!(
        direct.commands[0],
        workers::Command::AcknowledgeExit { attempt: 1, .. }
    ));
    let start: workers::Command = read(json!({"verb": "start", "piece": "job-1/0", "try": 1}));
    assert!(matches!(start, workers::Command::Start { attempt: 1, .. }));
    let not_owner: workers::NotOwner = read(json!({"foreman": "x"}));
    assert_eq!(not_owner.owner.as_deref(), Some("x"));
}

/// Checks which field each wire name belongs to in bodies of users and workers;
/// `tests/version_compatibility.rs` checks the same for records.
#[test]
fn wire_names_map_to_their_fields() {
    check_names_of_a_job_description();
    check_names_of_a_heartbeat();
    check_names_of_commands();
}

fn check_names_of_the_cloud() {
    let machine_type = &read::<cloud::MachineTypeCatalog>(machine_type_catalog()).types[0];
    assert_eq!(
        (
            machine_type.name.as_str(),
            machine_type.cache_gb,
            machine_type.pull_gb_per_s
        ),
        ("g8", 400.5, 0.5)
    );
    assert_eq!(
        (machine_type.vcpus, machine_type.gpus, machine_type.mem_gb),
        (96.0, 8.0, 768.0)
    );
    assert_eq!(
        (
            machine_type.price,
            machine_type.spot_price,
            machine_type.boot_s,
            machine_type.zones.len()
        ),
        (21.5, 7.25, 95.0, 2)
    );
    let listed: cloud::ListedMachine =
        read(json!({"uid": "n", "endpoint": "e", "rig": "r", "yard": "y",
        "loaners": true, "status": "s", "held_s": 2.5}));
    assert_eq!(
        (
            listed.name.as_str(),
            listed.addr.as_str(),
            listed.machine_type.as_str()
        ),
        ("n", "e", "r")
    );
    assert_eq!(
        (
            listed.zone.as_str(),
            listed.spot,
            listed.status.as_str(),
            listed.age_s
        ),
        ("y", true, "s", 2.5)
    );
    let request: cloud::ProvisioningRequest =
        read(json!({"booking": "b", "rig": "r", "yard": "y", "loaners": true, "count": 12}));
    assert_eq!(
        (request.request_id.as_str(), request.machine_type.as_str()),
        ("b", "r")
    );
    assert_eq!(
        (request.zone.as_str(), request.spot, request.count),
        ("y", true, 12)
    );
}

fn check_names_of_the_key_value_store() {
    let page: kv_protocol::Page =
        read(json!({"entries": [{"key": "k", "v": 1, "stamp": 7}], "more": true, "epoch": 8}));
    assert_eq!(
        (page.revision, page.more, page.entries[0].version),
        (8, true, 7)
    );
    let changes: kv_protocol::Changes =
        read(json!({"epoch": 8, "log": [{"remove": "k", "stamp": 7}]}));
    assert_eq!((changes.revision, changes.events[0].version), (8, 7));
    assert!(changes.events[0].remove.as_deref() == Some("k") && changes.events[0].set.is_none());
    assert_eq!(read::<kv_protocol::Lease>(json!({"hold": 9})).lease, 9);
}

fn check_names_of_a_controller_record() {
    let controller: ControllerRecord = read(json!({"i": 7, "v": 2, "w": 1}));
    assert_eq!(
        (
            controller.incarnation,
            controller.record_format,
            controller.standby_version
        ),
        (Incarnation(7), 2, 1)
    );
}

/// Checks which field each wire name belongs to in bodies of the cloud and the key-value store, and
/// in a controller's record.
#[test]
fn wire_names_of_external_services_map_to_their_fields() {
    check_names_of_the_cloud();
    check_names_of_the_key_value_store();
    check_names_of_a_controller_record();
}

fn add_failover_states(group: &mut Group) {
    use standby::failover::FailoverState;
    use standby::ids::{FencingToken, Revision};
    let without_ownership = [
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
        without_ownership.map(FailoverState::name).to_vec(),
        moving.map(FailoverState::name).to_vec(),
    ];
    group.line("takeover", &json!(names).to_string());
}

/// Checks which variant of an enum each value on the wire stands for. Writing a value and reading
/// it back does not show that, so the golden file lists the values in the order of the variants.
#[test]
fn wire_values_of_enums() {
    use pointhook::state::job::JobState;
    use users::{JobKind, Priority};
    use workers::{ExitReason, TaskState};
    let mut group = Group::new("words.txt");
    let kinds = [JobKind::Array, JobKind::Gang, JobKind::Service];
    group.line("shape", &json!(kinds).to_string());
    let priorities = [
        Priority::Production,
        Priority::High,
        Priority::Normal,
        Priority::Low,
    ];
    assert!(priorities.is_sorted());
    group.line("rank", &json!(priorities).to_string());
    let states = [JobState::Open, JobState::Done, JobState::Cancelled];
    group.line("job", &json!(states).to_string());
    let (pulling, awaiting) = (TaskState::PullingImage, TaskState::AwaitingGang);
    let rest = [
        TaskState::Running,
        TaskState::Checkpointing,
        TaskState::Exited,
    ];
    group.line("task", &json!([pulling, awaiting, rest]).to_string());
    let exits = [
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
    group.line("end", &json!([exits, refusals]).to_string());
    assert!(read::<ExitReason>(json!("some new cause")) == ExitReason::Other);
    add_failover_states(&mut group);
    group.compare();
}

/// Sends a request to an HTTP server of the program; returns the response as received, without the
/// `date` header.
fn exchange(addr: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("sent");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("a response");
    let end = response
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .expect("a head");
    let head = String::from_utf8_lossy(&response[..end]);
    let mut lines: Vec<&str> = head.lines().filter(|l| !l.starts_with("date:")).collect();
    lines[1..].sort_unstable();
    format!("{} | {}", lines.join(" | "), hex(&response[end + 4..]))
}

#[test]
fn http_responses_as_received() {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let listener = http::listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let addr = listener.get_ref().local_addr().expect("an address");
        sender.send(addr).expect("the test waits for the address");
        let executor = Rc::new(async_executor::LocalExecutor::new());
        let answer = |incoming: http::ServerRequest| async move {
            match incoming.path.as_str() {
                "/later" => ServerResponse::unavailable(1),
                "/status" => ServerResponse::with_body(201, &json!({"uid": "job-1"})),
                path => ServerResponse::empty(path[1..].parse().expect("a status")),
            }
        };
        let serving = http::serve(executor.clone(), listener, 8, answer);
        async_io::block_on(executor.run(serving));
    });
    let addr = receiver.recv().expect("a server");
    let mut group = Group::new("http.txt");
    group.line("largest body", &http::MAX_BODY_BYTES.to_string());
    for path in [
        "/later", "/status", "/200", "/400", "/404", "/405", "/421", "/422", "/503",
    ] {
        group.line(path, &exchange(addr, path));
    }
    group.compare();
}
