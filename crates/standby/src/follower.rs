//! The standby's end of the stream from a shard's owner. It detects lost, duplicated, reordered and
//! stale messages.

use crate::ids::{FencingToken, Revision};
use crate::message::{Decision, FollowerResponse, MachineState, Message};
use crate::replica_state::ReplicaState;

/// Counts of duplicated, missing and stale messages of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct StreamAnomalies {
    /// Number of received decisions and parts of snapshots that the standby already had.
    pub duplicates: u64,
    /// Number of messages that could not be applied because an earlier message was missing.
    pub gaps: u64,
    /// Number of messages whose sender is no longer the owner: its fencing token is too low.
    pub stale: u64,
}

/// The complete state of the owner as of a sequence number.
#[derive(Clone, Debug)]
struct Replica {
    state: ReplicaState,
    /// Sequence number of the next decision to apply.
    next_sequence: u64,
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
struct IncompleteSnapshot {
    state: ReplicaState,
    /// Sequence number of the first decision that is not in the snapshot.
    next_sequence: u64,
    /// Number of the next part to receive.
    next_part: u32,
}

/// Contents of a [`Message::SnapshotPart`].
struct SnapshotPart<'a> {
    next_sequence: u64,
    last_decided_revision: Revision,
    part: u32,
    is_last: bool,
    machines: &'a [(String, MachineState)],
}

/// The standby's end of a stream.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    fencing_token: FencingToken,
    replica: Option<Replica>,
    snapshot: Option<IncompleteSnapshot>,
    anomalies: StreamAnomalies,
}

impl Follower {
    /// Fencing token of the owner that the standby follows; 0 before the first message.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// The owner's state after all decisions received; `None` until a snapshot is complete.
    pub fn replica_state(&self) -> Option<&ReplicaState> {
        self.replica.as_ref().map(|replica| &replica.state)
    }

    /// Counts of anomalies since the follower was created.
    pub fn anomalies(&self) -> StreamAnomalies {
        self.anomalies
    }

    /// Applies a message of an owner and returns the response to it. `recorded_token` is the
    /// shard's fencing token according to the records.
    pub fn receive(&mut self, message: &Message, recorded_token: FencingToken) -> FollowerResponse {
        let sender_token = message.origin().fencing_token;
        let highest_token = self.fencing_token.max(recorded_token);
        if sender_token < highest_token {
            self.anomalies.stale += 1;
            return FollowerResponse::StaleFencingToken(highest_token.0);
        }
        if sender_token > self.fencing_token {
            self.follow_new_owner(sender_token);
        }
        match message {
            Message::LogTail {
                first_sequence,
                decisions,
                ..
            } => self.receive_log_tail(*first_sequence, decisions),
            Message::SnapshotPart {
                next_sequence,
                last_decided_revision,
                part,
                is_last,
                machines,
                ..
            } => self.receive_snapshot_part(SnapshotPart {
                next_sequence: *next_sequence,
                last_decided_revision: Revision(*last_decided_revision),
                part: *part,
                is_last: *is_last,
                machines,
            }),
        }
    }

    /// Discards the former owner's state and follows the owner with `fencing_token`, which sends a
    /// snapshot of its own state.
    fn follow_new_owner(&mut self, fencing_token: FencingToken) {
        *self = Follower {
            fencing_token,
            anomalies: self.anomalies,
            ..Follower::default()
        };
    }

    fn receive_log_tail(
        &mut self,
        first_sequence: u64,
        decisions: &[Decision],
    ) -> FollowerResponse {
        let Some(replica) = &mut self.replica else {
            return self.report_gap();
        };
        if first_sequence > replica.next_sequence {
            return self.report_gap();
        }
        // A message that was sent again starts with decisions that have been applied already.
        let applied = (replica.next_sequence - first_sequence).min(decisions.len() as u64);
        for decision in decisions.iter().skip(applied as usize) {
            replica.state.apply(decision);
            replica.next_sequence += 1;
        }
        self.anomalies.duplicates += applied;
        FollowerResponse::NextSequence(replica.next_sequence)
    }

    fn receive_snapshot_part(&mut self, received: SnapshotPart) -> FollowerResponse {
        // A late snapshot must not revert newer decisions.
        if let Some(replica) = &self.replica {
            if replica.next_sequence >= received.next_sequence {
                self.anomalies.duplicates += 1;
                return FollowerResponse::NextSequence(replica.next_sequence);
            }
        }
        let Some(mut snapshot) = self.snapshot_continued_by(&received) else {
            return self.report_gap();
        };
        for (name, state) in received.machines {
            snapshot.state.put_machine(name, state);
        }
        snapshot
            .state
            .record_decided_revision(received.last_decided_revision);
        if received.is_last {
            self.replica = Some(Replica {
                state: snapshot.state,
                next_sequence: received.next_sequence,
            });
            return FollowerResponse::NextSequence(received.next_sequence);
        }
        snapshot.next_part = received.part.saturating_add(1);
        let wanted = snapshot.next_part;
        self.snapshot = Some(snapshot);
        FollowerResponse::NextPart(wanted)
    }

    /// The snapshot that a received part belongs to: a new one for part 0, else the snapshot that
    /// is being received. `None` if earlier parts are missing.
    fn snapshot_continued_by(&mut self, received: &SnapshotPart) -> Option<IncompleteSnapshot> {
        if received.part == 0 {
            self.replica = None;
            return Some(IncompleteSnapshot {
                state: ReplicaState::default(),
                next_sequence: received.next_sequence,
                next_part: 0,
            });
        }
        let snapshot = self.snapshot.take()?;
        let continues =
            snapshot.next_sequence == received.next_sequence && snapshot.next_part == received.part;
        continues.then_some(snapshot)
    }

    fn report_gap(&mut self) -> FollowerResponse {
        self.anomalies.gaps += 1;
        self.snapshot = None;
        FollowerResponse::NeedsSnapshot
    }
}
