//! What heartbeats, fencing tokens and time prove of an attempt. Pure functions of one machine.

use crate::state::machine::{Machine, TaskAttempt};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;

/// True if the newest heartbeat proves that the attempt is not there and can't begin later.
///
/// A start in the response to a heartbeat can't run late: a heartbeat newer than the one it
/// responds to shows its effect or its loss. Responses to direct commands prove no absence, since
/// such a response may still be on its way to the worker. A direct start without a response may
/// run at any time until the fencing token is raised or the agent epoch ends. A heartbeat under
/// the owner's own token shuts out the commands of every older owner.
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

/// True if the worker's lease has expired under this owner.
///
/// The worker has accepted this owner's fencing token, so no response of an older owner renews
/// its lease, and a younger owner would make the transaction fail that rests on this. Its tasks
/// are dead, and whatever was sent to its agent epoch runs no more. For a new owner time alone
/// proves nothing.
pub fn lease_expired(
    machine: &Machine,
    fencing_token: FencingToken,
    lease_expiry_ms: u64,
    now: MonotonicMillis,
) -> bool {
    // A heartbeat that a response to a direct command has overtaken shows nothing new, but the
    // response to it renews the lease all the same.
    let renewed_at = machine
        .heartbeat
        .last_seen
        .max(machine.heartbeat.last_answered);
    fencing_token.is_issued()
        && machine.heartbeat.fencing_token == fencing_token
        && renewed_at.is_some_and(|at| now.since(at) > lease_expiry_ms)
}

/// True if a direct start may still take effect, late or once more.
///
/// One that was acknowledged may be repeated on its way. As long as the worker still shows the
/// attempt that changes nothing, and so such an exit is kept until the fencing token has risen.
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
