//! Failover of a shard as an explicit state machine.
//!
//! ```text
//! Idle <-> Following -> Suspecting -> Fencing -> CatchingUp -> Active
//!              ^                                     |           |
//!              +---------- SteppedDown <-------------+-----------+
//! ```
//!
//! *Fencing* raises the shard's fencing token in the key-value store. The revision of that
//! transaction is the fence: every claim of an older owner is conditional on the shard's record, so
//! none that is not recorded by then can be recorded later. *Catching up* ends when all records are
//! known as of a revision that is not below the fence. Only then is a permit issued.

use crate::ids::{FencingToken, Millis, Revision, ShardId};
use crate::permit::{Permit, Permits};

/// Who owns a shard, by the records.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Owner {
    /// Nobody ever did.
    Nobody,
    /// This process, under a fencing token that was recorded at the fence.
    ThisController {
        /// Fencing token.
        fencing_token: FencingToken,
        /// Revision at which it was recorded.
        fence_revision: Revision,
    },
    /// Another process.
    OtherController {
        /// Its membership key is there.
        lease_alive: bool,
        /// It has sent no status update for a while.
        silent: bool,
        /// When its last status update came.
        last_contact: Option<Millis>,
    },
}

/// What a controller sees of a shard at one moment.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Observation {
    /// Who owns it.
    pub owner: Owner,
    /// This controller is its standby.
    pub is_standby: bool,
    /// All records are known as of this revision.
    pub known_revision: Revision,
}

/// Who refused a fencing token, and on what grounds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// The key-value store has another version of the shard's record than a transaction rested on.
    KeyValueStore {
        /// Fencing token of the permit that the transaction rested on.
        fencing_token: FencingToken,
    },
    /// A worker has seen a higher fencing token.
    Worker {
        /// Fencing token that the worker has seen.
        seen: FencingToken,
    },
}

/// For logs.
impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::KeyValueStore { fencing_token } => {
                write!(f, "refused_by=kv fencing_token={fencing_token}")
            }
            Refusal::Worker { seen } => write!(f, "refused_by=worker seen_fencing_token={seen}"),
        }
    }
}

/// State of a shard's failover on one controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FailoverState {
    /// Neither owner nor standby.
    Idle,
    /// Standby of a living owner.
    Following,
    /// Standby of an owner that is silent or whose membership has ended.
    Suspecting,
    /// The transaction that raises the fencing token is on its way, or its outcome is unknown.
    Fencing,
    /// Owner whose records are not yet known as of the fence.
    CatchingUp {
        /// Own fencing token.
        fencing_token: FencingToken,
        /// Revision that has to be known.
        fence_revision: Revision,
    },
    /// Owner with a permit.
    Active {
        /// Own fencing token.
        fencing_token: FencingToken,
    },
    /// Former owner that has found out.
    SteppedDown,
}

impl FailoverState {
    /// Name for logs and for operators' tools, which read it: it never changes.
    pub fn name(self) -> &'static str {
        match self {
            FailoverState::Idle => "idle",
            FailoverState::Following => "following",
            FailoverState::Suspecting => "suspecting",
            FailoverState::Fencing => "fencing",
            FailoverState::CatchingUp { .. } => "catching up",
            FailoverState::Active { .. } => "active",
            FailoverState::SteppedDown => "stepped down",
        }
    }
}

/// A change of state, for logs and measurements.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Transition {
    /// Shard.
    pub shard: ShardId,
    /// State before.
    pub from: FailoverState,
    /// State now.
    pub to: FailoverState,
    /// Time since the former owner's last sign of life, ms; `None` if it never gave one here.
    pub since_last_contact_ms: Option<u64>,
}

/// Failovers of all shards on one controller, and the permits that they issue.
#[derive(Debug)]
pub struct Failovers {
    by_shard: Vec<Failover>,
    permits: Permits,
}

impl Failovers {
    /// A controller that owns nothing.
    pub fn new(shards: usize) -> Failovers {
        Failovers {
            by_shard: (0..shards)
                .map(|at| Failover::new(ShardId(at as u32)))
                .collect(),
            permits: Permits::none(shards),
        }
    }

    /// The permits held now.
    pub fn permits(&self) -> &Permits {
        &self.permits
    }

    /// State of a shard.
    pub fn state(&self, shard: ShardId) -> FailoverState {
        self.by_shard
            .get(shard.0 as usize)
            .map_or(FailoverState::Idle, |failover| failover.state)
    }

    /// Applies what is seen of a shard; the changes of state that follow from it.
    pub fn observe(
        &mut self,
        shard: ShardId,
        observation: Observation,
        now: Millis,
    ) -> Vec<Transition> {
        let mut transitions = Vec::new();
        let Some(failover) = self.by_shard.get_mut(shard.0 as usize) else {
            return transitions;
        };
        if let Owner::OtherController { last_contact, .. } = observation.owner {
            failover.last_contact = last_contact;
        }
        // A state leads to the next until the observation asks for no other; each observation
        // passes a state once at most, so the states bound the number of steps.
        while let Some(next) = failover.next_state(observation) {
            transitions.push(failover.enter(next, now));
            match next {
                FailoverState::Active { fencing_token } => {
                    let fence_revision = fence_of(observation.owner);
                    let permit = Permit::issue(shard, fencing_token, fence_revision);
                    self.permits.insert(permit);
                }
                _ => self.permits.withdraw(shard),
            }
        }
        transitions
    }

    /// The transaction that raises a shard's fencing token is about to be sent.
    pub fn fence_sent(&mut self, shard: ShardId, now: Millis) -> Option<Transition> {
        let failover = self.by_shard.get_mut(shard.0 as usize)?;
        let may_fence = !matches!(
            failover.state,
            FailoverState::Active { .. } | FailoverState::Fencing
        );
        may_fence.then(|| failover.enter(FailoverState::Fencing, now))
    }

    /// The transaction was refused or lost against another: what is observed next decides. An
    /// answer that never came is no refusal.
    pub fn fence_refused(&mut self, shard: ShardId, now: Millis) -> Option<Transition> {
        let failover = self.by_shard.get_mut(shard.0 as usize)?;
        let fencing = failover.state == FailoverState::Fencing;
        fencing.then(|| failover.enter(FailoverState::Suspecting, now))
    }

    /// A fencing token of this controller was refused: the permit goes at once, whatever the
    /// records known here still say. `known_revision` is the revision as of which they are known.
    pub fn token_refused(
        &mut self,
        shard: ShardId,
        refusal: Refusal,
        known_revision: Revision,
        now: Millis,
    ) -> Option<Transition> {
        let failover = self.by_shard.get_mut(shard.0 as usize)?;
        let fencing_token = failover.owned_token()?;
        if !failover.is_refusal_credible(fencing_token, refusal) {
            return None;
        }
        failover.unexplained_refusal = Some(UnexplainedRefusal {
            fencing_token,
            known_revision,
        });
        self.permits.withdraw(shard);
        Some(failover.enter(FailoverState::SteppedDown, now))
    }
}

fn fence_of(owner: Owner) -> Revision {
    match owner {
        Owner::ThisController { fence_revision, .. } => fence_revision,
        Owner::Nobody | Owner::OtherController { .. } => Revision::default(),
    }
}

/// A refusal that has to be explained by newer records before a permit is issued again.
#[derive(Clone, Copy, Debug)]
struct UnexplainedRefusal {
    /// Own fencing token that was refused.
    fencing_token: FencingToken,
    /// Records were known as of this revision then.
    known_revision: Revision,
}

impl UnexplainedRefusal {
    /// True if what is known now leaves the refusal behind: a new fencing token, or records that
    /// are newer than the refusal and still name this owner.
    fn is_explained_by(self, fencing_token: FencingToken, known_revision: Revision) -> bool {
        fencing_token > self.fencing_token || known_revision > self.known_revision
    }
}

/// Failover of one shard.
#[derive(Debug)]
struct Failover {
    shard: ShardId,
    state: FailoverState,
    /// Last sign of life of the former owner.
    last_contact: Option<Millis>,
    unexplained_refusal: Option<UnexplainedRefusal>,
    /// Highest foreign fencing token that a worker has shown.
    highest_seen_by_workers: FencingToken,
}

impl Failover {
    fn new(shard: ShardId) -> Failover {
        Failover {
            shard,
            state: FailoverState::Idle,
            last_contact: None,
            unexplained_refusal: None,
            highest_seen_by_workers: FencingToken::default(),
        }
    }

    fn owned_token(&self) -> Option<FencingToken> {
        match self.state {
            FailoverState::Active { fencing_token }
            | FailoverState::CatchingUp { fencing_token, .. } => Some(fencing_token),
            _ => None,
        }
    }

    /// True if a refusal concerns the own fencing token of now and has to be believed.
    fn is_refusal_credible(&mut self, own_token: FencingToken, refusal: Refusal) -> bool {
        match refusal {
            // Its answer may have come after the token was raised here: that of now was not
            // refused, and nothing newer might ever be recorded that could explain it.
            Refusal::KeyValueStore { fencing_token } => fencing_token == own_token,
            // A worker that goes on showing a token which the records don't know is at fault
            // itself, and must not stop its whole shard again and again.
            Refusal::Worker { seen } => {
                let is_new = seen > own_token.max(self.highest_seen_by_workers);
                if is_new {
                    self.highest_seen_by_workers = seen;
                }
                is_new
            }
        }
    }

    /// The state that an observation asks for; `None` if it is the present one.
    fn next_state(&mut self, observation: Observation) -> Option<FailoverState> {
        let wanted = match observation.owner {
            Owner::ThisController {
                fencing_token,
                fence_revision,
            } => self.state_as_owner(fencing_token, fence_revision, observation.known_revision),
            Owner::Nobody => self.state_as_other(observation.is_standby, false),
            Owner::OtherController {
                lease_alive,
                silent,
                ..
            } => self.state_as_other(observation.is_standby, lease_alive && !silent),
        };
        (wanted != self.state).then_some(wanted)
    }

    fn state_as_owner(
        &mut self,
        fencing_token: FencingToken,
        fence_revision: Revision,
        known_revision: Revision,
    ) -> FailoverState {
        if let Some(refusal) = self.unexplained_refusal {
            if !refusal.is_explained_by(fencing_token, known_revision) {
                return FailoverState::SteppedDown;
            }
            self.unexplained_refusal = None;
        }
        // Below the fence an older owner may have recorded what is not known here: a start from
        // such a view could repeat what has long ended, or is elsewhere.
        let caught_up = known_revision >= fence_revision;
        match self.state {
            FailoverState::Active {
                fencing_token: held,
            } if held == fencing_token => FailoverState::Active { fencing_token },
            FailoverState::CatchingUp {
                fencing_token: held,
                ..
            } if held == fencing_token && caught_up => FailoverState::Active { fencing_token },
            _ => FailoverState::CatchingUp {
                fencing_token,
                fence_revision,
            },
        }
    }

    fn state_as_other(&mut self, is_standby: bool, owner_lives: bool) -> FailoverState {
        self.unexplained_refusal = None;
        match (self.state, is_standby, owner_lives) {
            // Who owned it a moment ago says so once, and follows from the next look on.
            (FailoverState::Active { .. } | FailoverState::CatchingUp { .. }, ..) => {
                FailoverState::SteppedDown
            }
            (_, false, _) => FailoverState::Idle,
            (_, true, true) => FailoverState::Following,
            // While the outcome is unknown nothing else is tried: the records will tell.
            (FailoverState::Fencing, true, false) => FailoverState::Fencing,
            (_, true, false) => FailoverState::Suspecting,
        }
    }

    fn enter(&mut self, state: FailoverState, now: Millis) -> Transition {
        let from = std::mem::replace(&mut self.state, state);
        Transition {
            shard: self.shard,
            from,
            to: state,
            since_last_contact_ms: self.last_contact.map(|contact| now.since(contact)),
        }
    }
}
