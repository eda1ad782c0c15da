//! The checker finds each fault that is planted into a good history.

use pointhook::coordination::kv::set;
use pointhook::protocol::kv::{Condition, Transaction};
use pointhook::protocol::workers::FencingToken;
use pointhook::state::job::{JobRecord, StoredPlacement};
use pointhook::state::records::{ShardRecord, ROOT};
use pointhook::state::units::Incarnation;
use testkit::checker::{check, ViolationKind};
use testkit::history::{Entry, Event, Recorder};

fn accepted(job: &str, tasks: u32) -> Event {
    Event::JobAccepted {
        job: job.into(),
        tasks,
    }
}

fn answered(job: &str, status: &str) -> Event {
    Event::JobStatusReported {
        job: job.into(),
        status: status.into(),
    }
}

fn owned(fencing_token: u64) -> Event {
    Event::ShardOwnerRecorded {
        shard: 0,
        owner: "n0".into(),
        fencing_token: FencingToken(fencing_token),
    }
}

fn decided(fencing_token: u64) -> Event {
    Event::DecisionRecorded {
        shard: 0,
        fencing_token: FencingToken(fencing_token),
    }
}

fn claimed(task: &str, attempt: u64, machine: &str) -> Event {
    Event::TaskClaimed {
        task: task.into(),
        attempt,
        machine: machine.into(),
        fenced: true,
    }
}

fn started(task: &str, attempt: u64, machine: &str) -> Event {
    Event::TaskStarted {
        task: task.into(),
        attempt,
        machine: machine.into(),
        other_machine: None,
    }
}

fn completed(task: &str) -> Event {
    Event::TaskCompleted {
        task: task.into(),
        machine: "m1".into(),
    }
}

/// A job of two tasks, one of which is started again after a failover.
fn good() -> Vec<Event> {
    vec![
        owned(1),
        accepted("job-1", 2),
        decided(1),
        claimed("job-1/0", 1, "m1"),
        claimed("job-1/1", 2, "m1"),
        started("job-1/0", 1, "m1"),
        started("job-1/1", 2, "m1"),
        owned(2),
        decided(2),
        claimed("job-1/1", 3, "m2"),
        started("job-1/1", 3, "m2"),
        completed("job-1/0"),
        answered("job-1", "running"),
        completed("job-1/1"),
        answered("job-1", "done"),
        answered("job-1", "done"),
    ]
}

fn kinds(events: Vec<Event>) -> Vec<ViolationKind> {
    let entry = |(at_ms, event)| Entry { at_ms, event };
    let history: Vec<Entry> = (0..).zip(events).map(entry).collect();
    check(&history).into_iter().map(|v| v.kind).collect()
}

/// The good history with one event changed, left out or put in.
fn with(change: impl FnOnce(&mut Vec<Event>)) -> Vec<ViolationKind> {
    let mut events = good();
    change(&mut events);
    kinds(events)
}

#[test]
fn a_valid_history_has_no_violations() {
    assert_eq!(kinds(good()), []);
}

#[test]
fn each_planted_fault_is_found() {
    assert_eq!(with(|e| e.truncate(14)), [ViolationKind::NeverDone]);
    let back = answered("job-1", "pending");
    assert_eq!(with(|e| e.push(back)), [ViolationKind::RevertedFromDone]);
    let early = answered("job-1", "done");
    assert_eq!(with(|e| e[12] = early), [ViolationKind::DoneTooEarly]);
    let elsewhere = Event::TaskStarted {
        task: "job-1/1".into(),
        attempt: 3,
        machine: "m2".into(),
        other_machine: Some("m1".into()),
    };
    assert_eq!(
        with(|e| e[10] = elsewhere),
        [ViolationKind::ConcurrentAttempts]
    );
    let again = completed("job-1/1");
    assert_eq!(with(|e| e.push(again)), [ViolationKind::CompletedTwice]);
    for unclaimed in [
        started("job-1/1", 4, "m2"),
        started("job-1/1", 3, "m1"),
        started("job-1/0", 3, "m2"),
    ] {
        let found = with(|e| e.push(unclaimed));
        assert_eq!(found, [ViolationKind::StartedWithoutClaim]);
    }
    let unfenced = Event::TaskClaimed {
        task: "job-1/1".into(),
        attempt: 3,
        machine: "m2".into(),
        fenced: false,
    };
    assert_eq!(with(|e| e[9] = unfenced), [ViolationKind::UnfencedClaim]);
    assert_eq!(with(|e| e.push(decided(1))), [ViolationKind::OutdatedToken]);
    assert_eq!(with(|e| e.push(decided(3))), [ViolationKind::OutdatedToken]);
    assert_eq!(with(|e| e.push(owned(2))), [ViolationKind::TokenNotRaised]);
}

fn shard_key() -> String {
    format!("{ROOT}shard/0")
}

fn written<T: serde::Serialize>(key: String, value: &T) -> Transaction {
    Transaction {
        conditions: Vec::new(),
        writes: set(key, value, None).into_iter().collect(),
    }
}

#[test]
fn the_recorder_tells_claims_that_rest_on_the_shards_record_from_others() {
    let mut recorder = Recorder::default();
    let shard = ShardRecord {
        owner: "n0".into(),
        incarnation: Incarnation(1),
        fencing_token: FencingToken(7),
    };
    recorder.record_commit(&written(shard_key(), &shard), 5, 0);
    let record = |attempt: u64| {
        let record = JobRecord {
            spec: None,
            state: pointhook::state::job::JobState::Open,
            submitted_at: 0,
            done: Default::default(),
            placements: vec![StoredPlacement::from((0, attempt, "m1".to_string(), 0, 0))],
            next_attempt: attempt + 1,
            finished_at: 0,
        };
        written(format!("{ROOT}job/job-1"), &record)
    };
    for (attempt, version, fenced) in [(1, Some(5), true), (2, Some(4), false), (3, None, false)] {
        let mut claim = record(attempt);
        let key = shard_key();
        claim
            .conditions
            .extend(version.map(|version| Condition { key, version }));
        recorder.record_commit(&claim, 10 + attempt, 0);
        let claims = recorder.entries().iter().rev();
        let last = claims
            .filter_map(|e| match &e.event {
                Event::TaskClaimed {
                    attempt, fenced, ..
                } => Some((*attempt, *fenced)),
                _ => None,
            })
            .next();
        assert_eq!(last, Some((attempt, fenced)));
    }
    let decided = Event::DecisionRecorded {
        shard: 0,
        fencing_token: FencingToken(7),
    };
    let decisions = recorder.entries().iter().filter(|e| e.event == decided);
    assert_eq!(decisions.count(), 1);
}
