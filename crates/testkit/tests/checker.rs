//! The checker reports each violation that is injected into a valid history, and the recorder
//! derives claims and decisions from transactions.

use pointhook::coordination::kv::set;
use pointhook::protocol::kv::{Condition, Transaction};
use pointhook::protocol::workers::FencingToken;
use pointhook::state::job::{JobRecord, StoredPlacement};
use pointhook::state::records::{ShardRecord, KEY_PREFIX};
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

/// Valid history of a job of two tasks, one of which is started again after a failover.
fn valid_history() -> Vec<Event> {
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

fn violation_kinds(events: Vec<Event>) -> Vec<ViolationKind> {
    let entry = |(at_ms, event)| Entry { at_ms, event };
    let history: Vec<Entry> = (0..).zip(events).map(entry).collect();
    check(&history).into_iter().map(|v| v.kind).collect()
}

/// Kinds of violations in the valid history after a change of its events.
fn kinds_after(change: impl FnOnce(&mut Vec<Event>)) -> Vec<ViolationKind> {
    let mut events = valid_history();
    change(&mut events);
    violation_kinds(events)
}

#[test]
fn a_valid_history_has_no_violations() {
    assert_eq!(violation_kinds(valid_history()), []);
}

#[test]
fn each_injected_violation_is_reported() {
    assert_eq!(
        kinds_after(|events| events.truncate(14)),
        [ViolationKind::NeverDone]
    );
    let reverted = answered("job-1", "pending");
    assert_eq!(
        kinds_after(|events| events.push(reverted)),
        [ViolationKind::RevertedFromDone]
    );
    let done_too_early = answered("job-1", "done");
    assert_eq!(
        kinds_after(|events| events[12] = done_too_early),
        [ViolationKind::DoneTooEarly]
    );
    let active_elsewhere = Event::TaskStarted {
        task: "job-1/1".into(),
        attempt: 3,
        machine: "m2".into(),
        other_machine: Some("m1".into()),
    };
    assert_eq!(
        kinds_after(|events| events[10] = active_elsewhere),
        [ViolationKind::ConcurrentAttempts]
    );
    let completed_again = completed("job-1/1");
    assert_eq!(
        kinds_after(|events| events.push(completed_again)),
        [ViolationKind::CompletedTwice]
    );
    for unclaimed in [
        started("job-1/1", 4, "m2"),
        started("job-1/1", 3, "m1"),
        started("job-1/0", 3, "m2"),
    ] {
        let found = kinds_after(|events| events.push(unclaimed));
        assert_eq!(found, [ViolationKind::StartedWithoutClaim]);
    }
    let unfenced = Event::TaskClaimed {
        task: "job-1/1".into(),
        attempt: 3,
        machine: "m2".into(),
        fenced: false,
    };
    assert_eq!(
        kinds_after(|events| events[9] = unfenced),
        [ViolationKind::UnfencedClaim]
    );
    assert_eq!(
        kinds_after(|events| events.push(decided(1))),
        [ViolationKind::OutdatedToken]
    );
    assert_eq!(
        kinds_after(|events| events.push(decided(3))),
        [ViolationKind::OutdatedToken]
    );
    assert_eq!(
        kinds_after(|events| events.push(owned(2))),
        [ViolationKind::TokenNotRaised]
    );
}

#[test]
fn a_cancelled_job_need_not_be_done_but_its_tasks_have_to_be_gone() {
    let cancelled = Event::JobCancelled {
        job: "job-1".into(),
    };
    let cancel_in_time = |events: &mut Vec<Event>| {
        events.truncate(11);
        events.push(cancelled);
    };
    assert_eq!(kinds_after(cancel_in_time.clone()), []);
    let still_active = Event::CancelledTaskActive {
        task: "job-1/1".into(),
        machine: "m2".into(),
        overdue_ms: 1,
    };
    let found = kinds_after(|events| {
        cancel_in_time(events);
        events.push(still_active);
    });
    assert_eq!(found, [ViolationKind::CancelledTaskActive]);
}

#[test]
fn a_task_is_overdue_once_its_job_has_been_cancelled_for_longer_than_allowed() {
    let mut recorder = Recorder::default();
    recorder.record_cancellation(1000, "job-1");
    recorder.record_cancellation(1500, "job-1");
    assert_eq!(recorder.overdue_ms("job-1/0", 6000, 5000), None);
    assert_eq!(recorder.overdue_ms("job-1/0", 6250, 5000), Some(250));
    assert_eq!(recorder.overdue_ms("job-2/0", 9000, 5000), None);
}

fn shard_key() -> String {
    format!("{KEY_PREFIX}shard/0")
}

fn transaction_setting<T: serde::Serialize>(key: String, value: &T) -> Transaction {
    Transaction {
        conditions: Vec::new(),
        writes: set(key, value, None).into_iter().collect(),
    }
}

#[test]
fn only_claims_conditional_on_the_current_shard_record_are_recorded_as_fenced() {
    let mut recorder = Recorder::default();
    let shard = ShardRecord {
        owner: "n0".into(),
        incarnation: Incarnation(1),
        fencing_token: FencingToken(7),
    };
    recorder.record_commit(&transaction_setting(shard_key(), &shard), 5, 0);
    let claim_of = |attempt: u64| {
        let record = JobRecord {
            spec: None,
            state: pointhook::state::job::JobState::Open,
            submitted_at: 0,
            done: Default::default(),
            placements: vec![StoredPlacement::from((0, attempt, "m1".to_string(), 0, 0))],
            next_attempt: attempt + 1,
            finished_at: 0,
            staged: None,
        };
        transaction_setting(format!("{KEY_PREFIX}job/job-1"), &record)
    };
    for (attempt, version, fenced) in [(1, Some(5), true), (2, Some(4), false), (3, None, false)] {
        let mut claim = claim_of(attempt);
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
