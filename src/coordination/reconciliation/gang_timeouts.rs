//! Gang tasks that exit because their worker timed out waiting for the rest of the gang.

use super::proofs::unacknowledged_start;
use super::unwanted_attempts::is_unwanted;
use crate::protocol::workers::ExitReason;
use crate::state::job::Job;
use crate::state::machine::{Machine, TaskAttempt};
use standby::ids::FencingToken;

/// Maximum number of restarts on the same machine of a gang task that timed out waiting.
const MAX_GANG_WAIT_RETRIES: u8 = 3;

/// True if a gang task that timed out should be restarted under the same attempt number.
///
/// Pulling an image may take the other tasks of the gang longer than a worker waits. A new attempt
/// would pull the image again on another machine and could time out there too, indefinitely.
pub fn retry_gang_wait(job: &Job, machine: &Machine, attempt: TaskAttempt) -> bool {
    let timed_out = machine
        .observed(attempt)
        .is_some_and(|task| task.exit_reason == Some(ExitReason::GangTimeout));
    let timeouts = machine
        .starts
        .gang_timeouts
        .get(&attempt)
        .copied()
        .unwrap_or(0);
    timed_out
        && timeouts <= MAX_GANG_WAIT_RETRIES
        && machine.heartbeat.preemption_deadline.is_none()
        && !is_unwanted(job, machine, attempt)
}

/// True if an attempt can't run again after it timed out waiting for its gang, as shown by the
/// newest heartbeat under the owner's fencing token.
///
/// The owner may restart it under the same attempt number. The start command may be in the
/// response to the same heartbeat that shows the exit, and still be in flight when the rest of the
/// gang is lost.
pub fn ended_by_gang_timeout(
    machine: &Machine,
    fencing_token: FencingToken,
    attempt: TaskAttempt,
) -> bool {
    let restart_sent = machine
        .starts
        .sent
        .get(&attempt)
        .is_some_and(|sent| *sent >= machine.heartbeat.version);
    !restart_sent && !unacknowledged_start(machine, fencing_token, attempt)
}
