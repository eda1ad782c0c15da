//! Takeover of a shard as an explicit state machine.
//!
//! ```text
//! Idle <-> Following -> Suspecting -> Fencing -> CatchingUp -> Active
//!              ^                                     |           |
//!              +---------- SteppedDown <-------------+-----------+
//! ```
//!
//! *Fencing* raises the shard's token in the state service. The revision of that transaction is
//! the fence: every claim of an older owner is conditional on the shard's record, so none that
//! is not recorded by then can be recorded later. *Catching up* ends when all records are known
//! as of a revision that is not below the fence. Only then is a permit issued.

use crate::ids::{FencingToken, Millis, Revision, ShardId};
use crate::permit::{Permit, Permits};

/// Who owns a shard, by the records.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Owner {
    /// Nobody ever did.
    Nobody,
    /// This process, under a token that was recorded at the fence.
    Me {
        /// Token.
        token: FencingToken,
        /// Revision at which it was recorded.
        fence: Revision,
    },
    /// Another process.
    Other {
        /// Its membership key is there.
        alive: bool,
        /// It has not been heard for a while.
        silent: bool,
        /// When it was last heard.
        heard: Option<Millis>,
    },
}

/// What a controller sees of a shard at one moment.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Observation {
    /// Who owns it.
    pub owner: Owner,
    /// This controller is its standby.
    pub standby: bool,
    /// All records are known as of this revision.
    pub known: Revision,
}

/// Why a token was refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// The state service has another version of the shard's record than a transaction rested on.
    StateService {
        /// Token of the permit that the transaction rested on.
        token: FencingToken,
    },
    /// A worker has seen a higher token.
    Worker {
        /// Token that the worker has seen.
        seen: FencingToken,
    },
}

/// State of a shard's takeover on one controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    /// Neither owner nor standby.
    Idle,
    /// Standby of a living owner.
    Following,
    /// Standby of an owner that is silent or whose membership has ended.
    Suspecting,
    /// The transaction that raises the token is on its way, or its answer is unknown.
    Fencing,
    /// Owner whose records are not yet known as of the fence.
    CatchingUp {
        /// Own token.
        token: FencingToken,
        /// Revision that has to be known.
        fence: Revision,
    },
    /// Owner with a permit.
    Active {
        /// Own token.
        token: FencingToken,
    },
    /// Former owner that has found out.
    SteppedDown,
}

impl State {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            State::Idle => "idle",
            State::Following => "following",
            State::Suspecting => "suspecting",
            State::Fencing => "fencing",
            State::CatchingUp { .. } => "catching up",
            State::Active { .. } => "active",
            State::SteppedDown => "stepped down",
        }
    }
}

/// A change of state, for logs and measurements.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Transition {
    /// Shard.
    pub shard: ShardId,
    /// State before.
    pub from: State,
    /// State now.
    pub to: State,
    /// Time since the former owner last showed a sign of life, ms; `None` if it never did here.
    pub since_sign_of_life: Option<u64>,
}

/// Takeovers of all shards on one controller, and the permits that they issue.
#[derive(Debug)]
pub struct Failovers {
    shards: Vec<Failover>,
    permits: Permits,
}

impl Failovers {
    /// A controller that owns nothing.
    pub fn new(shards: usize) -> Failovers {
        let takeover = |at: usize| Failover::new(ShardId(at as u32));
        Failovers {
            shards: (0..shards).map(takeover).collect(),
            permits: Permits::none(shards),
        }
    }

    /// The permits held now.
    pub fn permits(&self) -> &Permits {
        &self.permits
    }

    /// State of a shard.
    pub fn state(&self, shard: ShardId) -> State {
        let takeover = self.shards.get(shard.0 as usize);
        takeover.map_or(State::Idle, |t| t.state)
    }

    /// Takes what is seen of a shard; the changes of state that follow from it.
    pub fn observe(&mut self, shard: ShardId, seen: Observation, now: Millis) -> Vec<Transition> {
        let mut out = Vec::new();
        let Some(takeover) = self.shards.get_mut(shard.0 as usize) else {
            return out;
        };
        if let Owner::Other { heard, .. } = seen.owner {
            takeover.last_sign_of_life = heard;
        }
        // A state leads to the next until the observation asks for no other; each observation
        // passes a state once at most, so the states bound the number of steps.
        while let Some(next) = takeover.next(seen) {
            out.push(takeover.enter(next, now));
            match next {
                State::Active { token } => {
                    let fence = fence_of(seen.owner);
                    self.permits.put(Permit::issue(shard, token, fence));
                }
                _ => self.permits.withdraw(shard),
            }
        }
        out
    }

    /// The transaction that raises a shard's token is about to be sent.
    pub fn fence_sent(&mut self, shard: ShardId, now: Millis) -> Option<Transition> {
        let takeover = self.shards.get_mut(shard.0 as usize)?;
        let may_fence = !matches!(takeover.state, State::Active { .. } | State::Fencing);
        may_fence.then(|| takeover.enter(State::Fencing, now))
    }

    /// The transaction was refused or lost against another: what is observed next decides. An
    /// answer that never came is no refusal.
    pub fn fence_refused(&mut self, shard: ShardId, now: Millis) -> Option<Transition> {
        let takeover = self.shards.get_mut(shard.0 as usize)?;
        let fencing = takeover.state == State::Fencing;
        fencing.then(|| takeover.enter(State::Suspecting, now))
    }

    /// A token of this controller was refused: the permit goes at once, whatever the records known
    /// here still say. `known` is the revision as of which they are known.
    pub fn refused(
        &mut self,
        shard: ShardId,
        refusal: Refusal,
        known: Revision,
        now: Millis,
    ) -> Option<Transition> {
        let takeover = self.shards.get_mut(shard.0 as usize)?;
        let token = takeover.owned_token()?;
        match refusal {
            // Its answer came after the token was raised here: that of now was not refused, and
            // nothing newer might ever be recorded that could explain it.
            Refusal::StateService { token: refused } if refused != token => return None,
            Refusal::StateService { .. } => {}
            // A worker that goes on showing a token which the records don't know is at fault
            // itself, and must not stop its whole shard again and again.
            Refusal::Worker { seen } if seen <= token.max(takeover.highest_seen) => return None,
            Refusal::Worker { seen } => takeover.highest_seen = seen,
        }
        takeover.refused = Some(Refused { token, known });
        self.permits.withdraw(shard);
        Some(takeover.enter(State::SteppedDown, now))
    }
}

fn fence_of(owner: Owner) -> Revision {
    match owner {
        Owner::Me { fence, .. } => fence,
        Owner::Nobody | Owner::Other { .. } => Revision::default(),
    }
}

/// A refusal that has to be explained by newer records before a permit is issued again.
#[derive(Clone, Copy, Debug)]
struct Refused {
    /// Own token that was refused.
    token: FencingToken,
    /// Records were known as of this revision then.
    known: Revision,
}

impl Refused {
    /// True if what is known now leaves the refusal behind: a new token, or records that are
    /// newer than the refusal and still name this owner.
    fn is_explained(self, token: FencingToken, known: Revision) -> bool {
        token > self.token || known > self.known
    }
}

/// Takeover of one shard.
#[derive(Debug)]
struct Failover {
    shard: ShardId,
    state: State,
    last_sign_of_life: Option<Millis>,
    refused: Option<Refused>,
    /// Highest foreign token that a worker has shown.
    highest_seen: FencingToken,
}

impl Failover {
    fn new(shard: ShardId) -> Failover {
        Failover {
            shard,
            state: State::Idle,
            last_sign_of_life: None,
            refused: None,
            highest_seen: FencingToken::default(),
        }
    }

    fn owned_token(&self) -> Option<FencingToken> {
        match self.state {
            State::Active { token } | State::CatchingUp { token, .. } => Some(token),
            _ => None,
        }
    }

    /// The state that what is seen asks for; `None` if it is the present one.
    fn next(&mut self, seen: Observation) -> Option<State> {
        let wanted = match seen.owner {
            Owner::Me { token, fence } => self.as_owner(token, fence, seen.known),
            Owner::Nobody => self.as_other(seen.standby, false),
            Owner::Other { alive, silent, .. } => self.as_other(seen.standby, alive && !silent),
        };
        (wanted != self.state).then_some(wanted)
    }

    fn as_owner(&mut self, token: FencingToken, fence: Revision, known: Revision) -> State {
        if let Some(refused) = self.refused {
            if !refused.is_explained(token, known) {
                return State::SteppedDown;
            }
            self.refused = None;
        }
        // Below the fence an older owner may have recorded what is not known here: a start from
        // such a view could repeat what has long ended, or is elsewhere.
        let caught_up = known >= fence;
        match self.state {
            State::Active { token: held } if held == token => State::Active { token },
            State::CatchingUp { token: held, .. } if held == token && caught_up => {
                State::Active { token }
            }
            _ => State::CatchingUp { token, fence },
        }
    }

    fn as_other(&mut self, standby: bool, lives: bool) -> State {
        self.refused = None;
        match (self.state, standby, lives) {
            // Who owned it a moment ago says so once, and follows from the next look on.
            (State::Active { .. } | State::CatchingUp { .. }, ..) => State::SteppedDown,
            (_, false, _) => State::Idle,
            (_, true, true) => State::Following,
            // While the answer is open nothing else is tried: the records will tell.
            (State::Fencing, true, false) => State::Fencing,
            (_, true, false) => State::Suspecting,
        }
    }

    fn enter(&mut self, state: State, now: Millis) -> Transition {
        let from = std::mem::replace(&mut self.state, state);
        Transition {
            shard: self.shard,
            from,
            to: state,
            since_sign_of_life: self.last_sign_of_life.map(|t| now.since(t)),
        }
    }
}
