//! The owner's end of the stream to a standby.
//!
//! Decisions get sequence numbers, and the latest ones are kept in a bounded log tail. A standby
//! that needs older ones gets a snapshot, so a slow standby never delays the owner. At most one
//! message is in flight, so no messages queue up between owner and standby.

use crate::ids::{FencingToken, ShardId};
use crate::message::{Decision, FollowerResponse, MachineState, Message, StreamOrigin};
use crate::replica_state::ReplicaState;
use std::collections::VecDeque;

/// Limits on the memory and the messages of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StreamLimits {
    /// Maximum number of decisions in the log tail.
    pub log_tail: usize,
    /// Maximum size of a message in bytes, as estimated by [`estimated_size`] and
    /// [`estimated_machine_size`]. A message with a single entry may be larger.
    pub message_bytes: usize,
}

impl Default for StreamLimits {
    fn default() -> Self {
        StreamLimits {
            log_tail: 4096,
            message_bytes: 32 * 1024,
        }
    }
}

/// How much of the state the standby has acknowledged.
#[derive(Clone, Debug)]
enum Progress {
    /// The standby can't continue from the log tail and needs a snapshot.
    NeedsSnapshot,
    /// The standby is receiving the parts of a snapshot.
    ReceivingSnapshot(SnapshotTransfer),
    /// The standby has all decisions before `next_sequence`.
    Following { next_sequence: u64 },
}

/// A snapshot that is being sent.
#[derive(Clone, Debug)]
struct SnapshotTransfer {
    state: ReplicaState,
    /// Sequence number of the first decision that is not in the snapshot.
    next_sequence: u64,
    /// Number of the part that is in flight or is sent next.
    part: u32,
    /// Name of the last machine in the acknowledged parts; `None` before the first one.
    acknowledged_up_to: Option<String>,
    in_flight: Option<PartInFlight>,
}

/// The part of a snapshot that was sent and is not acknowledged.
#[derive(Clone, Debug)]
struct PartInFlight {
    /// Name of the last machine in the part; `None` if the part holds none.
    last_machine: Option<String>,
    is_last: bool,
}

/// The owner's end of a stream.
#[derive(Debug)]
pub struct Publisher {
    origin: StreamOrigin,
    limits: StreamLimits,
    state: ReplicaState,
    log_tail: VecDeque<Decision>,
    /// Sequence number of the first decision in the log tail.
    first_sequence: u64,
    progress: Progress,
    awaiting_response: bool,
    superseded: bool,
}

impl Publisher {
    /// A stream to a standby that has received nothing yet.
    pub fn new(shard: ShardId, fencing_token: FencingToken, limits: StreamLimits) -> Publisher {
        Publisher {
            origin: StreamOrigin {
                shard,
                fencing_token,
            },
            limits,
            state: ReplicaState::default(),
            log_tail: VecDeque::new(),
            first_sequence: 0,
            progress: Progress::NeedsSnapshot,
            awaiting_response: false,
            superseded: false,
        }
    }

    /// Fencing token under which the published decisions are made.
    pub fn fencing_token(&self) -> FencingToken {
        self.origin.fencing_token
    }

    /// State of the shard after all published decisions.
    pub fn replica_state(&self) -> &ReplicaState {
        &self.state
    }

    /// True if the standby has answered with a higher fencing token, so that this owner has been
    /// replaced.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Number of decisions that the standby has not acknowledged; `None` while it needs a snapshot
    /// or is receiving one.
    pub fn lag(&self) -> Option<u64> {
        match &self.progress {
            Progress::Following { next_sequence } => Some(self.next_sequence() - next_sequence),
            Progress::NeedsSnapshot | Progress::ReceivingSnapshot(_) => None,
        }
    }

    /// Sequence number of the next decision.
    fn next_sequence(&self) -> u64 {
        self.first_sequence + self.log_tail.len() as u64
    }

    /// Applies a decision to the state and appends it to the log tail, which drops its oldest
    /// decision when it is full.
    pub fn publish(&mut self, decision: Decision) {
        self.state.apply(&decision);
        self.log_tail.push_back(decision);
        if self.log_tail.len() > self.limits.log_tail {
            self.log_tail.pop_front();
            self.first_sequence += 1;
        }
    }

    /// The next message to send; `None` while a message is in flight, or if there is nothing to
    /// send or a newer owner is known.
    pub fn next_message(&mut self) -> Option<Message> {
        if self.awaiting_response || self.superseded {
            return None;
        }
        if let Progress::Following { next_sequence } = self.progress {
            if next_sequence >= self.first_sequence {
                let message = self.log_tail_from(next_sequence)?;
                self.awaiting_response = true;
                return Some(message);
            }
            self.progress = Progress::NeedsSnapshot;
        }
        if let Progress::NeedsSnapshot = self.progress {
            self.progress = Progress::ReceivingSnapshot(self.begin_snapshot());
        }
        let Progress::ReceivingSnapshot(snapshot) = &mut self.progress else {
            return None;
        };
        self.awaiting_response = true;
        Some(snapshot.next_message(self.origin, self.limits.message_bytes))
    }

    fn begin_snapshot(&self) -> SnapshotTransfer {
        SnapshotTransfer {
            state: self.state.clone(),
            next_sequence: self.next_sequence(),
            part: 0,
            acknowledged_up_to: None,
            in_flight: None,
        }
    }

    fn log_tail_from(&self, next_sequence: u64) -> Option<Message> {
        let skipped = usize::try_from(next_sequence - self.first_sequence).ok()?;
        let mut bytes_left = self.limits.message_bytes;
        let mut decisions = Vec::new();
        for decision in self.log_tail.iter().skip(skipped) {
            let size = estimated_size(decision);
            if !decisions.is_empty() && size > bytes_left {
                break;
            }
            bytes_left = bytes_left.saturating_sub(size);
            decisions.push(decision.clone());
        }
        (!decisions.is_empty()).then_some(Message::LogTail {
            shard: self.origin.shard.0,
            fencing_token: self.origin.fencing_token.0,
            first_sequence: next_sequence,
            decisions,
        })
    }

    /// Records that the message in flight was not answered. Its contents are sent again; the
    /// standby detects duplicates.
    pub fn response_lost(&mut self) {
        self.awaiting_response = false;
    }

    /// Applies the standby's response to the message in flight. The response is ignored if no
    /// message is in flight.
    pub fn receive_response(&mut self, response: FollowerResponse) {
        if !std::mem::take(&mut self.awaiting_response) {
            return;
        }
        // A response that doesn't match the message in flight means that the standby has lost its
        // state.
        if !self.apply_response(response) {
            self.progress = Progress::NeedsSnapshot;
        }
    }

    /// Updates the progress; false if the response doesn't match the message in flight.
    fn apply_response(&mut self, response: FollowerResponse) -> bool {
        let end = self.next_sequence();
        match (response, &mut self.progress) {
            (FollowerResponse::StaleFencingToken(highest), _) => {
                self.superseded = FencingToken(highest) > self.origin.fencing_token;
                self.superseded
            }
            (FollowerResponse::NextSequence(wanted), Progress::Following { next_sequence }) => {
                let possible = *next_sequence..=end;
                *next_sequence = wanted;
                possible.contains(&wanted)
            }
            (FollowerResponse::NextSequence(wanted), Progress::ReceivingSnapshot(snapshot)) => {
                // The snapshot is complete, or the standby already had all decisions in it, from
                // messages that were sent before the owner began the snapshot.
                let possible = snapshot.next_sequence..=end;
                self.progress = Progress::Following {
                    next_sequence: wanted,
                };
                possible.contains(&wanted)
            }
            (FollowerResponse::NextPart(part), Progress::ReceivingSnapshot(snapshot)) => {
                snapshot.acknowledge_and_advance(part)
            }
            (FollowerResponse::NextPart(_) | FollowerResponse::NeedsSnapshot, _)
            | (_, Progress::NeedsSnapshot) => false,
        }
    }

    /// Makes the next message start a new snapshot, for another standby or for one that has lost
    /// its state.
    pub fn restart_with_snapshot(&mut self) {
        self.progress = Progress::NeedsSnapshot;
        self.awaiting_response = false;
    }
}

impl SnapshotTransfer {
    fn next_message(&mut self, origin: StreamOrigin, message_bytes: usize) -> Message {
        let mut bytes_left = message_bytes;
        let mut machines = Vec::new();
        let mut rest = self
            .state
            .machines_after(self.acknowledged_up_to.as_deref())
            .peekable();
        while let Some((name, state)) = rest.peek() {
            let size = estimated_machine_size(name, state);
            if !machines.is_empty() && size > bytes_left {
                break;
            }
            bytes_left = bytes_left.saturating_sub(size);
            machines.push(((*name).clone(), (*state).clone()));
            rest.next();
        }
        let is_last = rest.peek().is_none();
        drop(rest);
        self.in_flight = Some(PartInFlight {
            last_machine: machines.last().map(|(name, _)| name.clone()),
            is_last,
        });
        Message::SnapshotPart {
            shard: origin.shard.0,
            fencing_token: origin.fencing_token.0,
            next_sequence: self.next_sequence,
            last_decided_revision: self.state.last_decided_revision().0,
            part: self.part,
            is_last,
            machines,
        }
    }

    /// Records that the standby has the part in flight and expects part `wanted` next; false if
    /// that is not the part that follows.
    fn acknowledge_and_advance(&mut self, wanted: u32) -> bool {
        let Some(PartInFlight {
            last_machine: Some(last_machine),
            is_last: false,
        }) = self.in_flight.take()
        else {
            return false;
        };
        if wanted != self.part + 1 {
            return false;
        }
        self.part = wanted;
        self.acknowledged_up_to = Some(last_machine);
        true
    }
}

/// Estimated size of a machine or decision in a message without its strings, bytes.
const ENTRY_BYTES: usize = 64;
/// Estimated size of a queued task without its job's id, bytes.
const QUEUED_TASK_BYTES: usize = ENTRY_BYTES / 4;

/// Estimated size of a machine's name and state in a message, bytes.
pub fn estimated_machine_size(name: &str, state: &MachineState) -> usize {
    let queue: usize = state
        .queue
        .iter()
        .map(|queued| QUEUED_TASK_BYTES + queued.job.len())
        .sum();
    let reservation = state.reserved_for.as_ref().map_or(0, String::len);
    ENTRY_BYTES + name.len() + queue + reservation
}

/// Estimated size of a decision in a message, bytes.
pub fn estimated_size(decision: &Decision) -> usize {
    match decision {
        Decision::MachineChanged { name, state } => {
            ENTRY_BYTES + estimated_machine_size(name, state)
        }
        Decision::MachineRemoved { name } => ENTRY_BYTES * 2 + name.len(),
        Decision::TaskClaimed { task, machine, .. } => {
            ENTRY_BYTES * 2 + task.job.len() + machine.len()
        }
        Decision::AttemptEnded { task, .. } => ENTRY_BYTES * 2 + task.job.len(),
    }
}
