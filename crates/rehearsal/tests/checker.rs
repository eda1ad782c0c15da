//! The checker finds each fault that is planted into a good history.

use pointhook::bookkeeping::job::JobRecord;
use pointhook::bookkeeping::records::{ShardRecord, ROOT};
use pointhook::coordination::store::set;
use pointhook::protocol::state::{Condition, Transaction};
use rehearsal::checker::{check, Violation};
use rehearsal::history::{Entry, Event, Recorder};

fn accepted(job: &str, tasks: u32) -> Event {
    Event::Accepted {
        job: job.into(),
        tasks,
    }
}

fn answered(job: &str, status: &str) -> Event {
    Event::Answered {
        job: job.into(),
        status: status.into(),
    }
}

fn owned(token: u64) -> Event {
    Event::Owned {
        shard: 0,
        owner: "n0".into(),
        token,
    }
}

fn decided(token: u64) -> Event {
    Event::Decided { shard: 0, token }
}

fn claimed(task: &str, attempt: u64, machine: &str) -> Event {
    Event::Claimed {
        task: task.into(),
        attempt,
        machine: machine.into(),
        fenced: true,
    }
}

fn started(task: &str, attempt: u64, machine: &str) -> Event {
    Event::Started {
        task: task.into(),
        attempt,
        machine: machine.into(),
        also_on: None,
    }
}

fn completed(task: &str) -> Event {
    Event::Completed {
        task: task.into(),
        machine: "m1".into(),
    }
}

/// A job of two tasks, one of which is started anew after a takeover.
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

fn violations(events: Vec<Event>) -> Vec<Violation> {
    let entry = |(at_ms, event)| Entry { at_ms, event };
    let history: Vec<Entry> = (0..).zip(events).map(entry).collect();
    check(&history)
}

/// The good history with one event changed, left out or put in.
fn with(change: impl FnOnce(&mut Vec<Event>)) -> Vec<Violation> {
    let mut events = good();
    change(&mut events);
    violations(events)
}

#[test]
fn a_good_history_has_no_violations() {
    assert_eq!(violations(good()), []);
}

#[test]
fn each_planted_fault_is_found() {
    let (job, task) = ("job-1".to_string(), "job-1/1".to_string());
    let unfinished = Violation::Unfinished { job: job.clone() };
    assert_eq!(with(|e| e.truncate(14)), [unfinished]);
    let status = "pending".to_string();
    let back = Violation::WentBack {
        job: job.clone(),
        status,
    };
    assert_eq!(with(|e| e.push(answered("job-1", "pending"))), [back]);
    let early = Violation::DoneTooEarly {
        job,
        completed: 1,
        tasks: 2,
    };
    assert_eq!(with(|e| e[12] = answered("job-1", "done")), [early]);
    let twice = Violation::RunsTwice {
        task: task.clone(),
        machine: "m2".into(),
        other: "m1".into(),
    };
    let run_twice = |e: &mut Vec<Event>| {
        if let Event::Started { also_on, .. } = &mut e[10] {
            *also_on = Some("m1".into());
        }
    };
    assert_eq!(with(run_twice), [twice]);
    let again = Violation::CompletedTwice {
        task: task.clone(),
        times: 2,
    };
    assert_eq!(with(|e| e.push(completed("job-1/1"))), [again]);
    let unclaimed = Violation::StartedWithoutClaim {
        task: task.clone(),
        attempt: 4,
        machine: "m2".into(),
    };
    assert_eq!(with(|e| e.push(started("job-1/1", 4, "m2"))), [unclaimed]);
    let unfenced = Violation::ClaimWithoutFence { task, attempt: 3 };
    let lift_fence = |e: &mut Vec<Event>| {
        if let Event::Claimed { fenced, .. } = &mut e[9] {
            *fenced = false;
        }
    };
    assert_eq!(with(lift_fence), [unfenced]);
    let outdated = Violation::OutdatedToken {
        shard: 0,
        token: 1,
        recorded: 2,
    };
    assert_eq!(with(|e| e.push(decided(1))), [outdated]);
    let not_raised = Violation::TokenNotRaised {
        shard: 0,
        before: 2,
        after: 2,
    };
    assert_eq!(with(|e| e.push(owned(2))), [not_raised]);
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
        incarnation: 1,
        token: 7,
    };
    recorder.committed(&written(shard_key(), &shard), 5, 0);
    let record = |attempt: u64| {
        let record = JobRecord {
            spec: None,
            state: pointhook::bookkeeping::job::JobState::Open,
            submitted: 0,
            done: Default::default(),
            placements: vec![(0, attempt, "m1".into(), 0, 0)],
            next_attempt: attempt + 1,
            finished: 0,
        };
        written(format!("{ROOT}job/job-1"), &record)
    };
    for (attempt, version, fenced) in [(1, Some(5), true), (2, Some(4), false), (3, None, false)] {
        let mut claim = record(attempt);
        let key = shard_key();
        claim
            .conditions
            .extend(version.map(|version| Condition { key, version }));
        recorder.committed(&claim, 10 + attempt, 0);
        let claims = recorder.entries().iter().rev();
        let last = claims
            .filter_map(|e| match &e.event {
                Event::Claimed {
                    attempt, fenced, ..
                } => Some((*attempt, *fenced)),
                _ => None,
            })
            .next();
        assert_eq!(last, Some((attempt, fenced)));
    }
    let decided = Event::Decided { shard: 0, token: 7 };
    let decisions = recorder.entries().iter().filter(|e| e.event == decided);
    assert_eq!(decisions.count(), 1);
}
