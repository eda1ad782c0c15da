//! The owner's end of the stream to a standby.
//!
//! Decisions get sequence numbers and stay in a bounded tail until the standby has them. One that
//! falls behind the tail gets a snapshot: it never slows the owner. At most one message is on its
//! way, so nothing accumulates between the two.

use crate::ids::FencingToken;
use crate::message::{Answer, Decision, MachineState, Message};
use crate::replica_state::ReplicaState;
use std::collections::VecDeque;

/// Bounds of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StreamLimits {
    /// Decisions kept for a standby that is behind.
    pub tail: usize,
    /// Size of a message, as reckoned by [`size_of`] and [`size_of_machine`].
    pub message_bytes: usize,
}

impl Default for StreamLimits {
    fn default() -> Self {
        StreamLimits {
            tail: 4096,
            message_bytes: 32 * 1024,
        }
    }
}

/// What the standby has.
#[derive(Clone, Debug)]
enum Progress {
    /// Nothing: a snapshot comes first.
    Behind,
    /// Parts of a snapshot.
    Loading(Loading),
    /// All decisions before this one.
    Following { next: u64 },
}

/// A snapshot that is being sent.
#[derive(Clone, Debug)]
struct Loading {
    shadow: ReplicaState,
    next: u64,
    part: u32,
    /// Last machine of the parts that were taken.
    taken: Option<String>,
    /// Last machine of the part that was sent, and whether that is the last part.
    sent: Option<(Option<String>, bool)>,
}

/// The owner's end of a stream.
#[derive(Debug)]
pub struct Publisher {
    shard: u32,
    token: FencingToken,
    limits: StreamLimits,
    shadow: ReplicaState,
    tail: VecDeque<Decision>,
    /// Sequence number of the first decision in the tail.
    first: u64,
    progress: Progress,
    waiting: bool,
    outranked: bool,
}

impl Publisher {
    /// A stream to a standby that has nothing yet.
    pub fn new(shard: u32, token: FencingToken, limits: StreamLimits) -> Publisher {
        Publisher {
            shard,
            token,
            limits,
            shadow: ReplicaState::default(),
            tail: VecDeque::new(),
            first: 0,
            progress: Progress::Behind,
            waiting: false,
            outranked: false,
        }
    }

    /// Token under which decisions are made.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// State with all decisions in it.
    pub fn shadow(&self) -> &ReplicaState {
        &self.shadow
    }

    /// True if the standby has told of a higher token.
    pub fn is_outranked(&self) -> bool {
        self.outranked
    }

    /// Decisions that the standby does not have yet; `None` while it lacks a snapshot.
    pub fn lag(&self) -> Option<u64> {
        match &self.progress {
            Progress::Following { next } => Some(self.next() - next),
            Progress::Behind | Progress::Loading(_) => None,
        }
    }

    /// Sequence number of the next decision.
    fn next(&self) -> u64 {
        self.first + self.tail.len() as u64
    }

    /// Takes a decision.
    pub fn publish(&mut self, decision: Decision) {
        self.shadow.apply(&decision);
        self.tail.push_back(decision);
        if self.tail.len() > self.limits.tail {
            self.tail.pop_front();
            self.first += 1;
        }
    }

    /// The message to send next; `None` while one is on its way or nothing is to be told.
    pub fn next_message(&mut self) -> Option<Message> {
        if self.waiting || self.outranked {
            return None;
        }
        if let Progress::Following { next } = self.progress {
            if next >= self.first {
                let message = self.tail_from(next)?;
                self.waiting = true;
                return Some(message);
            }
            self.progress = Progress::Behind;
        }
        if let Progress::Behind = self.progress {
            self.progress = Progress::Loading(Loading {
                shadow: self.shadow.clone(),
                next: self.next(),
                part: 0,
                taken: None,
                sent: None,
            });
        }
        let Progress::Loading(loading) = &mut self.progress else {
            return None;
        };
        self.waiting = true;
        Some(loading.part(self.shard, self.token.0, self.limits.message_bytes))
    }

    fn tail_from(&self, next: u64) -> Option<Message> {
        let skipped = usize::try_from(next - self.first).ok()?;
        let mut left = self.limits.message_bytes;
        let mut decisions = Vec::new();
        for decision in self.tail.iter().skip(skipped) {
            let size = size_of(decision);
            if !decisions.is_empty() && size > left {
                break;
            }
            left = left.saturating_sub(size);
            decisions.push(decision.clone());
        }
        (!decisions.is_empty()).then_some(Message::Tail {
            shard: self.shard,
            token: self.token.0,
            first: next,
            decisions,
        })
    }

    /// The message on its way was not answered: it is sent once more, which the standby notices.
    pub fn unanswered(&mut self) {
        self.waiting = false;
    }

    /// Takes the standby's answer to the message on its way.
    pub fn answered(&mut self, answer: Answer) {
        if !std::mem::take(&mut self.waiting) {
            return;
        }
        let end = self.next();
        let accepted = match (answer, &mut self.progress) {
            (Answer::Outranked(token), _) => {
                self.outranked = FencingToken(token) > self.token;
                self.outranked
            }
            (Answer::Next(wanted), Progress::Following { next }) => {
                let known = *next..=end;
                *next = wanted;
                known.contains(&wanted)
            }
            (Answer::Next(wanted), Progress::Loading(loading)) => {
                // It may have more than the snapshot, from before its owner began it.
                let known = loading.next..=end;
                self.progress = Progress::Following { next: wanted };
                known.contains(&wanted)
            }
            (Answer::NextPart(part), Progress::Loading(loading)) => loading.advance(part),
            (Answer::NextPart(_) | Answer::NeedsSnapshot, _) | (_, Progress::Behind) => false,
        };
        if !accepted {
            self.progress = Progress::Behind;
        }
    }

    /// Another standby follows from now on, or the same one anew.
    pub fn follow_anew(&mut self) {
        self.progress = Progress::Behind;
        self.waiting = false;
    }
}

impl Loading {
    fn part(&mut self, shard: u32, token: u64, bytes: usize) -> Message {
        let mut left = bytes;
        let mut machines = Vec::new();
        let mut rest = self.shadow.machines_after(self.taken.as_deref()).peekable();
        while let Some((name, state)) = rest.peek() {
            let size = size_of_machine(name, state);
            if !machines.is_empty() && size > left {
                break;
            }
            left = left.saturating_sub(size);
            machines.push(((*name).clone(), (*state).clone()));
            rest.next();
        }
        let last = rest.peek().is_none();
        drop(rest);
        let end = machines.last().map(|(name, _)| name.clone());
        self.sent = Some((end, last));
        Message::Snapshot {
            shard,
            token,
            next: self.next,
            decided: self.shadow.decided(),
            part: self.part,
            last,
            machines,
        }
    }

    /// The standby has the part that was sent and wants this one; false if that is another.
    fn advance(&mut self, wanted: u32) -> bool {
        let Some((Some(end), false)) = self.sent.take() else {
            return false;
        };
        if wanted != self.part + 1 {
            return false;
        }
        self.part = wanted;
        self.taken = Some(end);
        true
    }
}

/// Size of an entry beside its texts.
const ENTRY_BYTES: usize = 64;

fn size_of_task(job: &str) -> usize {
    ENTRY_BYTES / 4 + job.len()
}

/// Reckoned size of a machine's state in a message.
pub fn size_of_machine(name: &str, state: &MachineState) -> usize {
    let queue: usize = state.queue.iter().map(|t| size_of_task(&t.job)).sum();
    let held = state.held_for.as_ref().map_or(0, String::len);
    ENTRY_BYTES + name.len() + queue + held
}

/// Reckoned size of a decision in a message.
pub fn size_of(decision: &Decision) -> usize {
    match decision {
        Decision::Machine { name, state } => ENTRY_BYTES + size_of_machine(name, state),
        Decision::Gone { name } => ENTRY_BYTES * 2 + name.len(),
        Decision::Claimed { task, machine, .. } => ENTRY_BYTES * 2 + task.job.len() + machine.len(),
        Decision::Ended { task, .. } => ENTRY_BYTES * 2 + task.job.len(),
    }
}
