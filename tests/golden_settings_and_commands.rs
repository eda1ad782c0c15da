//! Golden tests of the keys of settings files, the command line and printed JSON; see
//! `tests/support/golden.rs`.

use pointhook::features::Features;
use pointhook::protocol::peers::{self, PeerResponse};
use pointhook::settings::{OperatorSettings, PlatformSettings};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output};
use support::golden::{file, hex, settings_keys, to_message_pack, Group};
use support::golden_samples::{full_job_spec, shard_statuses};

mod support {
    pub mod golden;
    pub mod golden_samples;
}

/// Runs the program with these arguments until it exits.
fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pointhook"));
    command.args(args).output().expect("the program runs")
}

fn exit_code(output: &Output) -> String {
    output.status.code().expect("an exit code").to_string()
}

#[test]
fn json_that_the_program_prints() {
    let mut golden = Group::new("printed.txt");
    let schema = run(&["schema"]);
    golden.line(
        "schema",
        &json!(String::from_utf8_lossy(&schema.stdout)).to_string(),
    );
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut length = [0; 4];
        stream.read_exact(&mut length).expect("a frame length");
        let mut request = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut request).expect("a frame");
        let body = peers::encode(&PeerResponse::ShardStatuses {
            shards: shard_statuses(),
        });
        let body = body.expect("an encoded response");
        let mut frame = (body.len() as u32 + 1).to_be_bytes().to_vec();
        frame.push(3);
        frame.extend(body);
        stream.write_all(&frame).expect("a sent response");
        [length.to_vec(), request].concat()
    });
    let output = run(&["observe", "standby", "--server", &address, "--json"]);
    // If the program sent no request, this connection ends the server's wait for one.
    drop(TcpStream::connect(&address));
    golden.line(
        "observe standby",
        &json!(String::from_utf8_lossy(&output.stdout)).to_string(),
    );
    golden.line(
        "observe standby, frame sent",
        &hex(&server.join().expect("a received request")),
    );
    golden.line("observe standby, exit code", &exit_code(&output));
    golden.compare();
}

const PLATFORM: &str = r#"
node = "controller-1"
domain = "a"
bind = "127.0.0.1:1001"
cluster_listen = "127.0.0.1:1002"
siblings = [{node = "controller-2", domain = "b", addr = "127.0.0.1:1003"}]
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
    let mut golden = Group::new("settings.txt");
    settings_keys(&mut golden, "platform", PLATFORM, PlatformSettings::load);
    settings_keys(&mut golden, "operator", OPERATOR, OperatorSettings::load);
    settings_keys(&mut golden, "features", FEATURES, Features::load);
    golden.compare();
}

/// Checks the name, zone, addresses and peers of the controller.
fn check_controller_settings(platform: &PlatformSettings) {
    assert_eq!(
        (platform.name.as_str(), platform.zone.as_str()),
        ("controller-1", "a")
    );
    let addresses = [
        platform.bind,
        platform.cluster_listen,
        platform.peers[0].addr,
        platform.services.cloud,
        platform.services.kv,
    ];
    let ports = addresses.map(|address| address.port());
    assert_eq!(ports, [1001, 1002, 1003, 1004, 1005]);
    let peer = &platform.peers[0];
    assert_eq!(
        (peer.name.as_str(), peer.zone.as_str()),
        ("controller-2", "b")
    );
}

/// Checks the settings that all controllers of a cluster share.
fn check_cluster_settings(platform: &PlatformSettings) {
    let cluster = &platform.settings;
    assert_eq!(cluster.zones, ["a", "b"]);
    let team = &cluster.teams[0];
    assert_eq!(
        (team.cpus, team.cpus_max, team.gpus, team.gpus_max),
        (1.5, 2.5, 3.5, 4.5)
    );
    let objective = &cluster.objectives[0];
    assert_eq!(
        (
            objective.kind.as_str(),
            objective.class.as_deref(),
            objective.within_s
        ),
        ("wait", Some("train"), Some(60.5))
    );
    let workers = &cluster.workers;
    assert_eq!(
        (workers.heartbeat_s, workers.lease_s, workers.gang_wait_s),
        (1.5, 12.5, 13.5)
    );
    assert_eq!(
        (workers.gang_peer_s, workers.cancel_s, team.name.as_str()),
        (4.5, 60.5, "vision")
    );
    let kv = &cluster.kv;
    assert_eq!(
        (kv.rps, kv.write_rps, kv.value_kb, kv.txn_ops),
        (101.0, 102.0, 103.0, 104)
    );
    let next = kv.next.as_ref().expect("the next limits");
    assert_eq!(
        (next.write_rps, next.value_kb, next.txn_ops),
        (Some(51.0), Some(52.0), Some(53))
    );
    let (cloud, process) = (&cluster.cloud, &cluster.process);
    assert_eq!(
        (cloud.rps, cloud.list_lag_s, process.max_connections),
        (5.5, 6.5, 900)
    );
}

/// Checks operator settings whose file sets every key.
fn check_operator_settings() {
    let operator = OperatorSettings::load(&file("operators.toml", OPERATOR)).expect("valid");
    assert_eq!(
        (operator.polls, operator.queue_cap, operator.shards_per_zone),
        (11, 12, 19)
    );
    assert_eq!(
        (
            operator.gang_reservation_after_s,
            operator.steal_after_s,
            operator.scale_in_after_idle_s
        ),
        (13.5, 14.5, 15.5)
    );
    assert_eq!(
        (
            operator.spot_patience_s,
            operator.capacity_buffer_spot,
            operator.capacity_buffer_on_demand
        ),
        (16.5, 17.5, 18.5)
    );
}

/// Checks the defaults of the operator settings.
fn check_operator_defaults() {
    let operator = OperatorSettings::load(&file("operators.toml", "")).expect("valid");
    assert_eq!(
        (operator.polls, operator.queue_cap, operator.shards_per_zone),
        (5, 2, 2)
    );
    assert_eq!(
        (
            operator.gang_reservation_after_s,
            operator.steal_after_s,
            operator.scale_in_after_idle_s
        ),
        (10.0, 2.0, 10.0)
    );
    assert_eq!(
        (
            operator.spot_patience_s,
            operator.capacity_buffer_spot,
            operator.capacity_buffer_on_demand
        ),
        (45.0, 1.0, 1.2)
    );
}

/// Checks a features file that sets every key.
fn check_features() {
    let features = Features::load(&file("features-whole.toml", FEATURES)).expect("valid");
    let standby = features.standby.expect("a table");
    assert_eq!(
        (
            standby.enabled,
            standby.prefer_other_zone,
            standby.settle_ms
        ),
        (false, true, 1234)
    );
}

#[test]
fn settings_are_loaded_from_their_keys() {
    let platform = PlatformSettings::load(&file("whole.toml", PLATFORM)).expect("valid");
    check_controller_settings(&platform);
    check_cluster_settings(&platform);
    check_operator_settings();
    check_operator_defaults();
    check_features();
}

/// Command lines. `GOOD`, `OP`, `FEAT`, `JOB` and `BAD` stand for files, `ADDR` for an address at
/// which no process listens.
const COMMAND_LINES: &[&str] = &[
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

/// A job description in TOML, as a user writes it.
fn job_description() -> String {
    toml::to_string(&full_job_spec()).expect("TOML")
}

#[test]
fn commands_options_and_exit_codes() {
    let occupied = TcpListener::bind("127.0.0.1:0").expect("a port");
    let occupied_address = occupied.local_addr().expect("an address").to_string();
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port");
    let closed_address = closed.local_addr().expect("an address").to_string();
    drop(closed);
    // A controller whose listen address is occupied exits at once.
    let platform = PLATFORM.replace("127.0.0.1:1001", &occupied_address);
    let good = file("good.toml", &platform);
    let files = [
        ("GOOD", good),
        ("OP", file("op.toml", OPERATOR)),
        ("FEAT", file("feat.toml", FEATURES)),
        ("JOB", file("job.toml", &job_description())),
        ("BAD", file("bad.toml", "nonsense = 1\n")),
    ];
    let mut golden = Group::new("commands.txt");
    for line in COMMAND_LINES {
        let argument = |word: &str| match files.iter().find(|(name, _)| *name == word) {
            Some((_, path)) => path.display().to_string(),
            None if word == "ADDR" => closed_address.clone(),
            None => word.to_string(),
        };
        let arguments: Vec<String> = line.split_whitespace().map(argument).collect();
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        golden.line(&format!("pointhook {line}"), &exit_code(&run(&arguments)));
    }
    golden.compare();
}

/// Receives one request, responds to it, and returns the request's first line, content type and
/// body.
fn serve_one_request(listener: &TcpListener, status: u16, body: &[u8]) -> String {
    let (mut stream, _) = listener.accept().expect("a connection");
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let count = stream.read(&mut buffer).expect("a request");
        assert!(count > 0, "the program sent no request");
        received.extend_from_slice(&buffer[..count]);
        let Some(head_end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&received[..head_end]).to_string();
        let header = |name: &str| {
            let value = head.lines().find_map(|line| line.strip_prefix(name));
            value.unwrap_or_default().trim().to_string()
        };
        let body_length: usize = header("content-length:").parse().unwrap_or(0);
        let body_start = head_end + 4;
        if received.len() < body_start + body_length {
            continue;
        }
        let response = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream
            .write_all(&[response.as_bytes(), body].concat())
            .expect("a sent response");
        let first_line = head.lines().next().unwrap_or_default();
        return format!(
            "{first_line} | {} | {}",
            header("content-type:"),
            hex(&received[body_start..])
        );
    }
}

#[test]
fn requests_and_exit_codes_of_job_commands() {
    let mut golden = Group::new("job_commands.txt");
    let description = file("submitted.toml", &job_description());
    let description = description.display().to_string();
    let body =
        to_message_pack(&json!({"uid": "job-7", "status": "running", "done": 1, "running": 2}));
    let mut exchange = |action: &str, job: &str, status: u16| {
        let name = format!("job {action} {status}");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        std::thread::scope(|scope| {
            let server = scope.spawn(|| serve_one_request(&listener, status, &body));
            let output = run(&["job", action, "--server", &address, job]);
            // If the program sent no request, this connection ends the server's wait for one.
            drop(TcpStream::connect(&address));
            golden.line(&name, &exit_code(&output));
            let request = server.join().expect("a received request");
            golden.line(&format!("{name}, request"), &request);
        });
    };
    exchange("submit", &description, 201);
    exchange("cancel", "job-7", 200);
    exchange("withdraw", "job-7", 200);
    for status in [200, 400, 404, 422, 429, 500, 503] {
        exchange("show", "job-7", status);
    }
    golden.compare();
}
