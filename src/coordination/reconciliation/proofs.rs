//! What heartbeats, fencing tokens and elapsed time prove about an attempt. All functions here are
//! pure functions of the state of one machine.

use super::attempt_end::ProofEvent;
use crate::state::machine::{Machine, TaskAttempt};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;

/// True if the newest heartbeat proves that the attempt does not run and can't start later.
///
/// A start command in a heartbeat response can't take effect late: any heartbeat newer than the one
/// responded to shows that the start was executed or lost. The status in the response to a direct
/// command proves no absence, since the response to an earlier heartbeat, with a start command, may
/// still be on its way to the worker. A direct start without a response may be executed at any
/// time until the fencing token is raised or the agent epoch ends. Once a heartbeat shows the
/// owner's own token, the worker refuses the commands of every older owner.
pub fn proven_absent(machine: &Machine, fencing_token: FencingToken, attempt: TaskAttempt) -> bool {
    machine.heartbeat.last_seen.is_some()
        && machine.heartbeat.fencing_token == fencing_token
        && fencing_token.is_issued()
        && machine.observed(attempt).is_none()
        && machine
            .starts
            .sent
            .get(&attempt)
            .is_none_or(|sent| *sent < machine.heartbeat.version)
        && !start_in_flight(machine, fencing_token, attempt)
}

/// True if the worker's lease in its newest known agent epoch has expired under this owner.
///
/// Starts are addressed to known epochs only, so none can run in a later one. The worker has
/// accepted this owner's fencing token, so no response of an older owner renews its lease; and if
/// there is a newer owner, a transaction based on this proof fails. After expiry the worker's tasks
/// are dead, and no command sent to its agent epoch takes effect. For a new owner, whose token the
/// worker has not accepted, elapsed time proves nothing.
pub fn lease_expired(
    machine: &Machine,
    fencing_token: FencingToken,
    lease_expiry_ms: u64,
    now: MonotonicMillis,
) -> bool {
    fencing_token.is_issued()
        && machine.heartbeat.fencing_token == fencing_token
        && latest_lease_event(machine).is_some_and(|lease| now.since(lease.at) > lease_expiry_ms)
}

/// An event after which the worker may hold its lease for its full duration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct LeaseEvent {
    /// When the event happened.
    pub at: MonotonicMillis,
    /// What happened.
    pub event: ProofEvent,
}

/// The latest event from which the worker's lease may run.
pub fn latest_lease_event(machine: &Machine) -> Option<LeaseEvent> {
    let heartbeat = &machine.heartbeat;
    // A heartbeat may arrive after the response to a newer direct command. It then changes no
    // state, but the response to it still renews the lease.
    let events = [
        (ProofEvent::Heartbeat, heartbeat.last_seen),
        (ProofEvent::HeartbeatAnswered, heartbeat.last_answered),
        // A restarted worker has a full lease from then on, although no heartbeat was answered.
        (ProofEvent::AgentEpochSeen, heartbeat.agent_epoch_seen_at),
    ];
    let known = events.into_iter().filter_map(|(event, at)| {
        let at = at?;
        Some(LeaseEvent { at, event })
    });
    known.max()
}

/// True if a direct start may still take effect, late or a second time.
///
/// The network may also duplicate a start that was acknowledged. A duplicate has no effect while
/// the worker still lists the attempt. Acknowledging an exit removes it from that list, so an exit
/// other than done is acknowledged only once the fencing token has been raised or the agent epoch
/// has ended.
pub fn start_in_flight(
    machine: &Machine,
    fencing_token: FencingToken,
    attempt: TaskAttempt,
) -> bool {
    machine.starts.in_flight.get(&attempt).is_some_and(|start| {
        start.fencing_token >= fencing_token
            && start.agent_epoch == machine.heartbeat.message_version.agent_epoch
    })
}

/// True if a direct start that was not acknowledged may still take effect.
pub fn unacknowledged_start(
    machine: &Machine,
    fencing_token: FencingToken,
    attempt: TaskAttempt,
) -> bool {
    let sent = machine.starts.in_flight.get(&attempt);
    sent.is_some_and(|start| !start.acknowledged)
        && start_in_flight(machine, fencing_token, attempt)
}
