//! Tests of the stream between an owner and its standby: loss, duplicates, reordering, stale
//! tokens, a standby that lags behind, and malformed messages.

use standby::follower::Follower;
use standby::ids::{FencingToken, Revision, ShardId};
use standby::message::{
    Decision, FollowerResponse, MachineState, Message, QueuedTask, MAX_MESSAGE_BYTES,
};
use standby::publisher::{Publisher, StreamLimits};

/// Number of cases of each property test; the seeds are fixed, so that a failure is reproducible.
const CASES: u64 = 300;

const SHARD: ShardId = ShardId(0);
/// Limits that are so small that a test reaches them with few decisions.
const SMALL_LIMITS: StreamLimits = StreamLimits {
    log_tail: 16,
    message_bytes: 600,
};

fn machine(name: usize, queued: usize) -> Decision {
    let task = |task| QueuedTask {
        job: "job-000001".into(),
        task: task as u32,
    };
    Decision::MachineChanged {
        name: format!("n-{name:06}"),
        state: MachineState {
            queue: (0..queued).map(task).collect(),
            reserved_for: (queued == 3).then(|| "job-000002".into()),
        },
    }
}

fn claimed(revision: u64) -> Decision {
    Decision::TaskClaimed {
        task: QueuedTask {
            job: "job-000001".into(),
            task: 0,
        },
        attempt: 1,
        machine: "n-000001".into(),
        revision,
    }
}

fn random_decision(rng: &mut fastrand::Rng) -> Decision {
    match rng.u8(..8) {
        0 => Decision::MachineRemoved {
            name: format!("n-{:06}", rng.usize(..12)),
        },
        1 => claimed(rng.u64(..1000)),
        _ => machine(rng.usize(..12), rng.usize(..4)),
    }
}

/// Delivers messages and responses until the publisher has nothing left to send.
fn synchronize(publisher: &mut Publisher, follower: &mut Follower) {
    for _ in 0..1000 {
        let Some(message) = publisher.next_message() else {
            return;
        };
        publisher.receive_response(follower.receive(&message, FencingToken(0)));
    }
    panic!("the publisher still has messages to send after 1000 of them");
}

#[test]
fn a_new_standby_gets_a_snapshot_in_parts_and_then_the_tail() {
    let mut publisher = Publisher::new(SHARD, FencingToken(1), SMALL_LIMITS);
    let mut follower = Follower::default();
    for i in 0..50 {
        publisher.publish(machine(i, i % 4));
    }
    publisher.publish(claimed(77));
    let first = publisher.next_message().unwrap();
    assert!(matches!(
        &first,
        Message::SnapshotPart {
            part: 0,
            is_last: false,
            ..
        }
    ));
    // The owner continues to decide while the parts of the snapshot are in flight.
    publisher.publish(machine(3, 2));
    publisher.receive_response(follower.receive(&first, FencingToken(0)));
    synchronize(&mut publisher, &mut follower);
    assert_eq!(publisher.lag(), Some(0));
    assert_eq!(follower.replica_state(), Some(publisher.replica_state()));
    assert_eq!(
        follower.replica_state().unwrap().last_decided_revision(),
        Revision(77)
    );
    publisher.publish(machine(99, 1));
    let next = publisher.next_message().unwrap();
    assert!(matches!(&next, Message::LogTail { decisions, .. } if decisions.len() == 1));
}

#[test]
fn a_standby_that_is_behind_by_more_than_the_tail_gets_a_snapshot() {
    for lag in [
        1,
        SMALL_LIMITS.log_tail,
        SMALL_LIMITS.log_tail + 1,
        20 * SMALL_LIMITS.log_tail,
    ] {
        let mut publisher = Publisher::new(SHARD, FencingToken(1), SMALL_LIMITS);
        let mut follower = Follower::default();
        synchronize(&mut publisher, &mut follower);
        for i in 0..lag {
            publisher.publish(machine(i % 30, i % 4));
        }
        let message = publisher.next_message().unwrap();
        let snapshot = matches!(message, Message::SnapshotPart { .. });
        assert_eq!(snapshot, lag > SMALL_LIMITS.log_tail, "{lag}");
        publisher.receive_response(follower.receive(&message, FencingToken(0)));
        synchronize(&mut publisher, &mut follower);
        assert_eq!(follower.replica_state(), Some(publisher.replica_state()));
    }
}

#[test]
fn nothing_accumulates_for_a_standby_that_does_not_answer() {
    let mut publisher = Publisher::new(SHARD, FencingToken(1), SMALL_LIMITS);
    assert!(publisher.next_message().is_some());
    for i in 0..10_000 {
        publisher.publish(machine(i % 30, i % 4));
        assert!(publisher.next_message().is_none());
    }
    publisher.response_lost();
    let mut follower = Follower::default();
    synchronize(&mut publisher, &mut follower);
    assert_eq!(follower.replica_state(), Some(publisher.replica_state()));
}

#[test]
fn messages_of_an_older_owner_are_refused_and_stop_its_stream() {
    let (mut old, mut new) = (
        Publisher::new(SHARD, FencingToken(4), SMALL_LIMITS),
        Publisher::new(SHARD, FencingToken(5), SMALL_LIMITS),
    );
    let mut follower = Follower::default();
    old.publish(machine(1, 1));
    synchronize(&mut old, &mut follower);
    new.publish(machine(2, 1));
    synchronize(&mut new, &mut follower);
    assert_eq!(follower.replica_state(), Some(new.replica_state()));
    old.publish(machine(3, 1));
    synchronize(&mut old, &mut follower);
    assert!(old.is_superseded());
    assert_eq!(
        (follower.fencing_token(), follower.anomalies().stale),
        (FencingToken(5), 1)
    );
    assert_eq!(follower.replica_state(), Some(new.replica_state()));
    // The standby may learn of a failover from the records before the new owner's first message.
    assert_eq!(
        follower.receive(
            &Message::LogTail {
                shard: 0,
                fencing_token: 5,
                first_sequence: 0,
                decisions: Vec::new()
            },
            FencingToken(6)
        ),
        FollowerResponse::StaleFencingToken(6)
    );
}

#[test]
fn gaps_are_detected_and_a_late_snapshot_reverts_nothing() {
    let mut publisher = Publisher::new(SHARD, FencingToken(1), SMALL_LIMITS);
    let mut follower = Follower::default();
    publisher.publish(machine(1, 1));
    let late = publisher.next_message().unwrap();
    publisher.receive_response(follower.receive(&late, FencingToken(0)));
    publisher.publish(machine(1, 2));
    synchronize(&mut publisher, &mut follower);
    assert_eq!(
        follower.receive(&late, FencingToken(0)),
        FollowerResponse::NextSequence(2)
    );
    assert_eq!(follower.replica_state(), Some(publisher.replica_state()));
    let ahead = Message::LogTail {
        shard: 0,
        fencing_token: 1,
        first_sequence: 3,
        decisions: vec![machine(9, 1)],
    };
    assert_eq!(
        follower.receive(&ahead, FencingToken(0)),
        FollowerResponse::NeedsSnapshot
    );
    assert_eq!(follower.anomalies().gaps, 1);
    assert_eq!(follower.replica_state(), Some(publisher.replica_state()));
}

#[test]
fn a_follower_reaches_the_owners_state_over_a_lossy_stream() {
    for seed in 0..CASES {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut publisher = Publisher::new(SHARD, FencingToken(1), SMALL_LIMITS);
        let mut follower = Follower::default();
        let mut sent: Vec<Message> = Vec::new();
        for _ in 0..200 {
            publisher.publish(random_decision(&mut rng));
            if let Some(message) = publisher.next_message() {
                sent.push(message.clone());
                match rng.u8(..5) {
                    // The message is lost.
                    0 => publisher.response_lost(),
                    // The response is lost.
                    1 => {
                        follower.receive(&message, FencingToken(0));
                        publisher.response_lost();
                    }
                    _ => publisher.receive_response(follower.receive(&message, FencingToken(0))),
                }
            }
            // An earlier message is delivered again, after newer ones.
            if rng.u8(..4) == 0 {
                let index = rng.usize(..sent.len().max(1));
                if let Some(earlier) = sent.get(index) {
                    follower.receive(earlier, FencingToken(0));
                }
            }
        }
        synchronize(&mut publisher, &mut follower);
        assert_eq!(
            follower.replica_state(),
            Some(publisher.replica_state()),
            "seed {seed}"
        );
    }
}

#[test]
fn arbitrary_bytes_never_stop_the_follower() {
    for seed in 0..CASES {
        arbtest::arbtest(|u| {
            let bytes: Vec<u8> = u.arbitrary()?;
            if let Some(message) = Message::decode(&bytes) {
                Follower::default().receive(&message, FencingToken(0));
            }
            let _ = FollowerResponse::decode(&bytes);
            Ok(())
        })
        .seed(seed << 32 | 0x40)
        .run();
    }
    assert_eq!(Message::decode(&vec![0; MAX_MESSAGE_BYTES + 1]), None);
}

#[test]
fn damaged_messages_never_stop_the_follower() {
    let message = Message::LogTail {
        shard: 1,
        fencing_token: 2,
        first_sequence: 0,
        decisions: (0..20).map(|i| machine(i, i % 4)).collect(),
    };
    let good = message.encode().unwrap();
    assert_eq!(Message::decode(&good), Some(message));
    for cut_length in 0..good.len() {
        assert_ne!(
            Message::decode(&good[..cut_length]).map(|m| m.encode()),
            Some(Some(good.clone()))
        );
    }
    let mut decoded = 0;
    for seed in 0..CASES {
        arbtest::arbtest(|u| {
            let mut bytes = good.clone();
            for _ in 0..u.int_in_range(1..=8)? {
                let position = u.choose_index(bytes.len())?;
                bytes[position] = u.arbitrary()?;
            }
            if let Some(message) = Message::decode(&bytes) {
                decoded += 1;
                let mut follower = Follower::default();
                follower.receive(&message, FencingToken(0));
            }
            Ok(())
        })
        .seed(seed << 32 | 0x400)
        .run();
    }
    assert!(
        decoded > 0,
        "no damaged message could be decoded, so the follower was not tested"
    );
}

#[test]
fn a_full_snapshot_part_stays_below_the_maximum_message_size() {
    let limits = StreamLimits::default();
    let mut publisher = Publisher::new(SHARD, FencingToken(1), limits);
    for i in 0..4000 {
        publisher.publish(machine(i, 8));
    }
    let mut follower = Follower::default();
    let mut parts = 0;
    while let Some(message) = publisher.next_message() {
        let size = message.encode().unwrap().len();
        assert!(size <= MAX_MESSAGE_BYTES, "{size}");
        publisher.receive_response(follower.receive(&message, FencingToken(0)));
        parts += 1;
    }
    assert!(parts > 10);
    assert_eq!(
        follower.replica_state().map(|s| s.machines().count()),
        Some(4000)
    );
}

/// All parts of a snapshot of `machines` machines.
fn snapshot_parts(machines: usize) -> Vec<Message> {
    let mut publisher = Publisher::new(SHARD, FencingToken(1), SMALL_LIMITS);
    for i in 0..machines {
        publisher.publish(machine(i, i % 4));
    }
    let mut follower = Follower::default();
    let mut parts = Vec::new();
    while let Some(message) = publisher.next_message() {
        publisher.receive_response(follower.receive(&message, FencingToken(0)));
        parts.push(message);
    }
    parts
}

#[test]
fn a_snapshot_is_applied_only_with_all_its_parts_in_order() {
    let of_50 = snapshot_parts(50);
    let of_60 = snapshot_parts(60);
    assert!(of_50.len() > 3);
    for unexpected in [&of_50[2], &of_50[0].clone(), &of_60[1]] {
        let mut follower = Follower::default();
        assert_eq!(
            follower.receive(&of_50[0], FencingToken(0)),
            FollowerResponse::NextPart(1)
        );
        let response = follower.receive(unexpected, FencingToken(0));
        // The first part starts a new snapshot; any other unexpected part is refused.
        match unexpected {
            Message::SnapshotPart { part: 0, .. } => {
                assert_eq!(response, FollowerResponse::NextPart(1))
            }
            _ => assert_eq!(response, FollowerResponse::NeedsSnapshot),
        }
        assert_eq!(follower.replica_state(), None);
    }
    let mut follower = Follower::default();
    assert_eq!(
        follower.receive(&of_50[1], FencingToken(0)),
        FollowerResponse::NeedsSnapshot
    );
    for part in &of_50 {
        follower.receive(part, FencingToken(0));
    }
    assert_eq!(
        follower.replica_state().map(|s| s.machines().count()),
        Some(50)
    );
}
