//! The standby's end of the stream: notices what is lost, doubled, reordered or of another token.

use crate::ids::FencingToken;
use crate::message::{Answer, Message};
use crate::replica_state::ReplicaState;

/// Messages that were not simply the next one, by what was wrong.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Irregularities {
    /// Decisions that were known already.
    pub repeated: u64,
    /// Messages after which something is missing.
    pub gaps: u64,
    /// Messages of an older owner.
    pub outdated: u64,
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
struct Receiving {
    shadow: ReplicaState,
    next: u64,
    part: u32,
}

/// The standby's end of a stream.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    token: FencingToken,
    /// Complete state, and the next decision that is wanted.
    complete: Option<(ReplicaState, u64)>,
    receiving: Option<Receiving>,
    irregularities: Irregularities,
}

impl Follower {
    /// Token of the owner that is followed.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// The owner's state without gaps; `None` before a snapshot is complete.
    pub fn shadow(&self) -> Option<&ReplicaState> {
        self.complete.as_ref().map(|(shadow, _)| shadow)
    }

    /// What was wrong with messages so far.
    pub fn irregularities(&self) -> Irregularities {
        self.irregularities
    }

    /// Takes a message of an owner; `recorded` is the highest token that is known otherwise.
    pub fn take(&mut self, message: &Message, recorded: FencingToken) -> Answer {
        let (_, token) = message.origin();
        let highest = self.token.max(recorded);
        if token < highest {
            self.irregularities.outdated += 1;
            return Answer::Outranked(highest.0);
        }
        if token > self.token {
            // Another owner starts from its own state.
            let irregularities = self.irregularities;
            *self = Follower {
                token,
                irregularities,
                ..Follower::default()
            };
        }
        match message {
            Message::Tail {
                first, decisions, ..
            } => {
                let Some((shadow, next)) = &mut self.complete else {
                    return self.gap();
                };
                if *first > *next {
                    return self.gap();
                }
                let known = (*next - first).min(decisions.len() as u64);
                for decision in decisions.iter().skip(known as usize) {
                    shadow.apply(decision);
                    *next += 1;
                }
                self.irregularities.repeated += known;
                Answer::Next(*next)
            }
            Message::Snapshot {
                next,
                decided,
                part,
                last,
                machines,
                ..
            } => {
                if let Some((_, wanted)) = self.complete.as_ref().filter(|(_, n)| n >= next) {
                    self.irregularities.repeated += 1;
                    return Answer::Next(*wanted);
                }
                let Some(mut receiving) = self.receiving(*next, *part) else {
                    return self.gap();
                };
                for (name, state) in machines {
                    receiving.shadow.put(name, state);
                }
                receiving.shadow.note_decided(*decided);
                if *last {
                    self.complete = Some((receiving.shadow, *next));
                    return Answer::Next(*next);
                }
                receiving.part = part.saturating_add(1);
                let wanted = receiving.part;
                self.receiving = Some(receiving);
                Answer::NextPart(wanted)
            }
        }
    }

    /// The snapshot that a part belongs to; `None` if parts before it are missing.
    fn receiving(&mut self, next: u64, part: u32) -> Option<Receiving> {
        if part == 0 {
            self.complete = None;
            return Some(Receiving {
                shadow: ReplicaState::default(),
                next,
                part,
            });
        }
        let receiving = self.receiving.take()?;
        (receiving.next == next && receiving.part == part).then_some(receiving)
    }

    fn gap(&mut self) -> Answer {
        self.irregularities.gaps += 1;
        self.receiving = None;
        Answer::NeedsSnapshot
    }
}
