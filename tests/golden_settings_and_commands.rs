//! Settings files, the command line and printed JSON to the letter, see
//! `tests/support/golden.rs`.

use pointhook::features::Features;
use pointhook::protocol::peers::{self, PeerResponse};
use pointhook::settings::{Operator, Platform};
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
            shards: shard_statuses(),
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

/// The controller's name, zone, addresses and peers.
fn platform_of_its_own(p: &Platform) {
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
}

/// What all controllers of a platform share.
fn platform_in_common(p: &Platform) {
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
}

fn operator_in_full() {
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
}

fn operator_without_keys() {
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
}

fn features_in_full() {
    let f = Features::load(&file("features-whole.toml", FEATURES)).expect("good");
    let f = f.standby.expect("a table");
    assert_eq!(
        (f.enabled, f.prefer_other_zone, f.settle_ms),
        (false, true, 1234)
    );
}

#[test]
fn settings_files_say_what_they_mean() {
    let p = Platform::load(&file("whole.toml", PLATFORM)).expect("good");
    platform_of_its_own(&p);
    platform_in_common(&p);
    operator_in_full();
    operator_without_keys();
    features_in_full();
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
    toml::to_string(&full_job_spec()).expect("TOML")
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
    let body =
        to_message_pack(&json!({"uid": "job-7", "status": "running", "done": 1, "running": 2}));
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
