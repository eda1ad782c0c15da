//! Frames between controllers and replication messages, compared byte by byte with golden files;
//! see `tests/support/golden.rs`.

use pointhook::protocol::peers::{self, MachineStatus, PeerRequest, PeerResponse, TaskRef};
use standby::message::{
    Decision, FollowerResponse, MachineState, Message, QueuedTask, MAX_MESSAGE_BYTES,
};
use support::golden::Group;
use support::golden_samples::shard_statuses;

mod support {
    pub mod golden;
    pub mod golden_samples;
}

/// Two names that are short enough for an archive to store them inline, and one that is not.
fn names() -> Vec<String> {
    vec!["n-000231".into(), "n-7".into(), "n-000000000007".into()]
}

/// A status in which half of the flags are `flag` and the other half are its opposite.
fn machine_status(name: &str, flag: bool) -> MachineStatus {
    MachineStatus {
        name: name.into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: flag,
        silent_ms: 1500,
        has_sent_heartbeat: !flag,
        fencing_token_confirmed: flag,
        queue_length: 2,
        cordoned: !flag,
        quarantined: flag,
    }
}

fn task_ref(job: &str, task: u32) -> TaskRef {
    TaskRef {
        job: job.into(),
        task,
    }
}

/// Status updates of a controller about itself and its machines.
fn status_updates() -> Vec<(&'static str, PeerRequest)> {
    vec![
        (
            "news",
            PeerRequest::Status {
                sender: "stoker-north-1".into(),
                kv_reachable: true,
                workers_reachable: false,
                machines: vec![
                    machine_status("n-000231", true),
                    machine_status("n-000000000007", false),
                ],
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
    ]
}

/// All other requests between controllers.
fn other_requests() -> Vec<(&'static str, PeerRequest)> {
    vec![
        (
            "bind",
            PeerRequest::EnqueueTasks {
                tasks: vec![
                    ("n-000231".into(), task_ref("job-000412", 3)),
                    ("n-000000000007".into(), task_ref("job-1", 70_000)),
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

#[test]
fn frames_between_controllers() {
    let mut group = Group::new("peers.txt");
    group.line("version", &peers::VERSION.to_string());
    group.line("largest", &peers::MAX_FRAME.to_string());
    group.line("most jobs", &peers::MAX_CANCELLED_JOBS.to_string());
    for (name, request) in status_updates().into_iter().chain(other_requests()) {
        group.archive(
            &format!("ask {name}"),
            &request,
            peers::encode,
            peers::decode_request,
        );
    }
    let task = TaskRef {
        job: "job-000412".into(),
        task: 3,
    };
    let responses = [
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
                shards: shard_statuses(),
            },
        ),
    ];
    for (name, response) in responses {
        let name = format!("reply {name}");
        group.archive(&name, &response, peers::encode, peers::decode_response);
    }
    group.compare();
}

fn queued(task: u32) -> QueuedTask {
    QueuedTask {
        job: "job-000412".into(),
        task,
    }
}

/// A machine with queued tasks that is reserved for a job.
fn reserved_machine() -> MachineState {
    MachineState {
        queue: vec![queued(3), queued(70_000)],
        reserved_for: Some("job-000007".into()),
    }
}

/// A decision of each kind.
fn decisions() -> [(&'static str, Decision); 4] {
    [
        (
            "machine",
            Decision::MachineChanged {
                name: "n-000231".into(),
                state: reserved_machine(),
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
                task: queued(4),
                attempt: 8,
                machine: "n-000231".into(),
                revision: 5000,
            },
        ),
        (
            "ended",
            Decision::AttemptEnded {
                task: queued(5),
                attempt: 9,
                revision: 5001,
            },
        ),
    ]
}

fn log_tail(decisions: Vec<Decision>) -> Message {
    Message::LogTail {
        shard: 2,
        fencing_token: 41,
        first_sequence: 17,
        decisions,
    }
}

fn snapshot_part() -> Message {
    Message::SnapshotPart {
        shard: 2,
        fencing_token: 41,
        next_sequence: 18,
        last_decided_revision: 5001,
        part: 3,
        is_last: true,
        machines: vec![
            ("n-000231".into(), reserved_machine()),
            ("n-000000000007".into(), MachineState::default()),
        ],
    }
}

#[test]
fn replication_messages() {
    let mut group = Group::new("standby.txt");
    group.line("longest", &MAX_MESSAGE_BYTES.to_string());
    let decisions = decisions();
    let all = decisions
        .iter()
        .map(|(_, decision)| decision.clone())
        .collect();
    let mut messages = vec![("tail", log_tail(all)), ("snapshot", snapshot_part())];
    messages.extend(decisions.map(|(name, decision)| (name, log_tail(vec![decision]))));
    for (name, message) in messages {
        group.archive(name, &message, Message::encode, Message::decode);
    }
    let answers = [
        ("next", FollowerResponse::NextSequence(19)),
        ("next part", FollowerResponse::NextPart(4)),
        ("needs snapshot", FollowerResponse::NeedsSnapshot),
        ("outranked", FollowerResponse::StaleFencingToken(42)),
    ];
    for (name, answer) in answers {
        group.archive(
            name,
            &answer,
            FollowerResponse::encode,
            FollowerResponse::decode,
        );
    }
    group.compare();
}
