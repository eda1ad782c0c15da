//! How an attempt ended, as data: the proof, and the event from which the proof counts.

use crate::protocol::workers::{AgentEpoch, ExitReason};
use crate::state::machine::TaskAttempt;
use crate::state::names::MachineIndex;
use standby::ids::FencingToken;

/// The proof on which a placement may be removed from its job's record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PlacementEnd {
    /// A heartbeat under the owner's fencing token shows the exit, with its reason.
    Exited(Option<ExitReason>),
    /// The attempt does not run on the machine, can't start there later and won't be restarted
    /// there.
    ProvenAbsent,
    /// The worker's lease has expired, so the worker has killed its tasks.
    LeaseExpired,
    /// The cloud has deleted the machine.
    MachineDeleted,
}

impl PlacementEnd {
    /// True if the task has completed its work.
    pub fn is_done(self) -> bool {
        self == PlacementEnd::Exited(Some(ExitReason::Done))
    }
}

/// The kind of event that a proof counts from.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum ProofEvent {
    /// A heartbeat arrived.
    Heartbeat,
    /// A heartbeat or the response to direct commands arrived.
    WorkerMessage,
    /// A heartbeat was answered, which renews the worker's lease.
    HeartbeatAnswered,
    /// The first message of the worker's agent epoch arrived: its lease began no later.
    AgentEpochSeen,
    /// The cloud confirmed the machine's deletion.
    MachineDeleted,
}

/// The event that a proof counts from, and the rights under which the owner used it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Evidence {
    /// What happened.
    pub event: ProofEvent,
    /// Time from the event to the decision, ms; `None` if the time of the event is not known.
    pub age_ms: Option<u64>,
    /// Agent epoch of the worker's newest message; `None` for a deleted machine.
    pub agent_epoch: Option<AgentEpoch>,
    /// The owner's fencing token; `None` for a deleted machine.
    pub fencing_token: Option<FencingToken>,
}

/// An attempt that a draft removes from its job's record, so that its task may start elsewhere.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AttemptEnd {
    /// The attempt.
    pub attempt: TaskAttempt,
    /// Machine that the attempt was placed on.
    pub machine: MachineIndex,
    /// The proof that it has ended.
    pub proof: PlacementEnd,
    /// What the proof counts from.
    pub evidence: Evidence,
}

impl Evidence {
    /// The evidence of the deletion of a machine, of which only the name is kept.
    pub fn of_deletion() -> Evidence {
        Evidence {
            event: ProofEvent::MachineDeleted,
            age_ms: None,
            agent_epoch: None,
            fencing_token: None,
        }
    }
}
