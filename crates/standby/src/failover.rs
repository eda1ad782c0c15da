//! Failover of a shard as an explicit state machine.
//!
//! ```text
//! Idle <-> Following -> Suspecting -> Fencing -> CatchingUp -> Active
//!              ^                                     |           |
//!              +---------- SteppedDown <-------------+-----------+
//! ```
//!
//! In the state *fencing*, the controller raises the shard's fencing token by a transaction in the
//! key-value store. The revision of that transaction is the fence. Every claim of an older owner is
//! conditional on the shard's record, so a claim that is not committed before the fence can't be
//! committed after it. *Catching up* ends when the controller has read all records up to the fence.
//! Only then is a permit issued.

use crate::ids::{FencingToken, Millis, Revision, ShardId};
use crate::permit::{Permit, Permits};

/// Owner of a shard according to the records in the key-value store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Owner {
    /// The shard has never had an owner.
    Nobody,
    /// This controller process owns the shard.
    ThisController {
        /// Fencing token under which this controller owns the shard.
        fencing_token: FencingToken,
        /// Revision at which the fencing token was committed.
        fence_revision: Revision,
    },
    /// Another process owns the shard; it may be an earlier one of this controller.
    OtherController {
        /// Whether the owner's membership key still exists.
        lease_alive: bool,
        /// Whether the owner's last status update is overdue.
        silent: bool,
        /// When the owner's last status update was received; `None` if there was none.
        last_contact: Option<Millis>,
    },
}

/// A controller's view of a shard at one moment.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Observation {
    /// Owner of the shard.
    pub owner: Owner,
    /// Whether this controller is the standby of the shard.
    pub is_standby: bool,
    /// Revision up to which this controller has read all records.
    pub known_revision: Revision,
}

/// A refusal of this controller's fencing token: who refused the token, and why.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// The key-value store refused a transaction, because the shard's record has another version
    /// than the transaction was conditional on.
    KeyValueStore {
        /// Fencing token of the permit under which the transaction was prepared.
        fencing_token: FencingToken,
    },
    /// A worker refused a message, because it has seen a higher fencing token than this
    /// controller's.
    Worker {
        /// Fencing token that the worker has seen.
        seen: FencingToken,
    },
}

/// Formats the refusal as fields of a log line.
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
    /// The controller is neither the owner nor the standby.
    Idle,
    /// The controller is the standby of an owner that is alive.
    Following,
    /// The controller is the standby of an owner that is silent or whose lease has expired.
    Suspecting,
    /// The transaction that raises the fencing token has been sent, and its outcome is unknown.
    Fencing,
    /// The controller is the owner and has not yet read all records up to the fence.
    CatchingUp {
        /// Fencing token of this controller.
        fencing_token: FencingToken,
        /// Revision up to which all records have to be read.
        fence_revision: Revision,
    },
    /// The controller is the owner and holds a permit.
    Active {
        /// Fencing token of this controller.
        fencing_token: FencingToken,
    },
    /// The controller was the owner and may no longer decide: it was replaced, or its fencing token
    /// was refused.
    SteppedDown,
}

impl FailoverState {
    /// Name of the state in logs and for operators' tools, which match it: it must not change.
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

/// A change of a shard's failover state, for logs and measurements.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Transition {
    /// Shard whose state has changed.
    pub shard: ShardId,
    /// State before the change.
    pub from: FailoverState,
    /// State after the change.
    pub to: FailoverState,
    /// Time since the former owner's last status update, ms; `None` if none was received here.
    pub since_last_contact_ms: Option<u64>,
}

/// Failovers of all shards on one controller, and the permits that they issue.
#[derive(Debug)]
pub struct Failovers {
    by_shard: Vec<Failover>,
    permits: Permits,
}

impl Failovers {
    /// The failovers of `shards` shards on a controller that owns none of them yet.
    pub fn new(shards: usize) -> Failovers {
        Failovers {
            by_shard: (0..shards)
                .map(|index| Failover::new(ShardId(index as u32)))
                .collect(),
            permits: Permits::none(shards),
        }
    }

    /// Permits that the controller holds now.
    pub fn permits(&self) -> &Permits {
        &self.permits
    }

    /// State of a shard's failover; [`FailoverState::Idle`] for an unknown shard.
    pub fn state(&self, shard: ShardId) -> FailoverState {
        self.by_shard
            .get(shard.0 as usize)
            .map_or(FailoverState::Idle, |failover| failover.state)
    }

    /// Applies an observation of a shard, and returns the resulting changes of state in order.
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
        // Transitions are made until the state agrees with the observation. No observation enters a
        // state twice, so the number of states bounds the number of transitions.
        while let Some(next) = failover.next_state(observation) {
            transitions.push(failover.enter(next, now));
            match next {
                FailoverState::Active { fencing_token } => {
                    let fence_revision = fence_revision_of(observation.owner);
                    let permit = Permit::issue(shard, fencing_token, fence_revision);
                    self.permits.insert(permit);
                }
                _ => self.permits.withdraw(shard),
            }
        }
        transitions
    }

    /// Records that the transaction that raises a shard's fencing token is about to be sent.
    /// Returns `None` if that changes no state: the controller is active or fencing already.
    pub fn fence_sent(&mut self, shard: ShardId, now: Millis) -> Option<Transition> {
        let failover = self.by_shard.get_mut(shard.0 as usize)?;
        let may_fence = !matches!(
            failover.state,
            FailoverState::Active { .. } | FailoverState::Fencing
        );
        may_fence.then(|| failover.enter(FailoverState::Fencing, now))
    }

    /// Records that the transaction that raises a shard's fencing token was refused or lost to a
    /// conflicting one. The next observation determines the state. Must not be called for a
    /// transaction that was not answered, which may still be applied.
    pub fn fence_refused(&mut self, shard: ShardId, now: Millis) -> Option<Transition> {
        let failover = self.by_shard.get_mut(shard.0 as usize)?;
        let fencing = failover.state == FailoverState::Fencing;
        fencing.then(|| failover.enter(FailoverState::Suspecting, now))
    }

    /// Withdraws a shard's permit because a fencing token of this controller was refused, even if
    /// the records read so far still name this controller as the owner. `None` if the refusal does
    /// not count, so that no state changes.
    ///
    /// `known_revision` is the revision up to which the records have been read.
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
        failover.unresolved_refusal = Some(UnresolvedRefusal {
            fencing_token,
            known_revision,
        });
        self.permits.withdraw(shard);
        Some(failover.enter(FailoverState::SteppedDown, now))
    }
}

fn fence_revision_of(owner: Owner) -> Revision {
    match owner {
        Owner::ThisController { fence_revision, .. } => fence_revision,
        Owner::Nobody | Owner::OtherController { .. } => Revision::default(),
    }
}

/// A refusal of a fencing token after which no permit is issued until newer records are read.
#[derive(Clone, Copy, Debug)]
struct UnresolvedRefusal {
    /// Fencing token of this controller that was refused.
    fencing_token: FencingToken,
    /// Revision up to which records had been read at the time of the refusal.
    known_revision: Revision,
}

impl UnresolvedRefusal {
    /// True if the refusal no longer applies: this controller owns the shard under a newer fencing
    /// token, or records that are newer than the refusal still name it as the owner.
    fn is_resolved_by(self, fencing_token: FencingToken, known_revision: Revision) -> bool {
        fencing_token > self.fencing_token || known_revision > self.known_revision
    }
}

/// Failover of one shard.
#[derive(Debug)]
struct Failover {
    shard: ShardId,
    state: FailoverState,
    /// When the last status update of the current or former owner was received.
    last_contact: Option<Millis>,
    unresolved_refusal: Option<UnresolvedRefusal>,
    /// Highest fencing token that a worker has reported in refusing a lower one.
    highest_seen_by_workers: FencingToken,
}

impl Failover {
    fn new(shard: ShardId) -> Failover {
        Failover {
            shard,
            state: FailoverState::Idle,
            last_contact: None,
            unresolved_refusal: None,
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

    /// True if a refusal has to be acted on: it concerns the current fencing token of this
    /// controller, and a worker's refusal shows a higher token than any worker before.
    fn is_refusal_credible(&mut self, own_token: FencingToken, refusal: Refusal) -> bool {
        match refusal {
            // The refusal may arrive after this controller has raised its own token. The current
            // token was not refused then. If this controller stepped down nevertheless, it would
            // wait for a newer record, which might never be written.
            Refusal::KeyValueStore { fencing_token } => fencing_token == own_token,
            // A worker that keeps reporting a token that no record holds is faulty, and must not
            // stop its whole shard repeatedly.
            Refusal::Worker { seen } => {
                let is_new = seen > own_token.max(self.highest_seen_by_workers);
                if is_new {
                    self.highest_seen_by_workers = seen;
                }
                is_new
            }
        }
    }

    /// The state that follows from an observation; `None` if that is the current state.
    fn next_state(&mut self, observation: Observation) -> Option<FailoverState> {
        let wanted = match observation.owner {
            Owner::ThisController {
                fencing_token,
                fence_revision,
            } => self.state_as_owner(fencing_token, fence_revision, observation.known_revision),
            Owner::Nobody => self.state_as_non_owner(observation.is_standby, false),
            Owner::OtherController {
                lease_alive,
                silent,
                ..
            } => self.state_as_non_owner(observation.is_standby, lease_alive && !silent),
        };
        (wanted != self.state).then_some(wanted)
    }

    fn state_as_owner(
        &mut self,
        fencing_token: FencingToken,
        fence_revision: Revision,
        known_revision: Revision,
    ) -> FailoverState {
        if let Some(refusal) = self.unresolved_refusal {
            if !refusal.is_resolved_by(fencing_token, known_revision) {
                return FailoverState::SteppedDown;
            }
            self.unresolved_refusal = None;
        }
        // Before the fence, an older owner may have committed changes that have not been read here.
        // A start decided without them could repeat an attempt that has ended or runs elsewhere.
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

    fn state_as_non_owner(&mut self, is_standby: bool, owner_is_alive: bool) -> FailoverState {
        self.unresolved_refusal = None;
        match (self.state, is_standby, owner_is_alive) {
            // A former owner steps down first, and becomes idle or follows on the next transition.
            (FailoverState::Active { .. } | FailoverState::CatchingUp { .. }, ..) => {
                FailoverState::SteppedDown
            }
            (_, false, _) => FailoverState::Idle,
            (_, true, true) => FailoverState::Following,
            // The state stays until the records show the outcome of the transaction that raises the
            // fencing token.
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
