//! Gang tasks that exit because their worker stopped waiting for the rest of the gang.

use super::proofs::unacknowledged_start;
use super::unwanted_attempts::is_unwanted;
use crate::protocol::workers::ExitReason;
use crate::state::job::Job;
use crate::state::machine::{Machine, TaskAttempt};
use standby::ids::FencingToken;

/// How often a gang task that timed out waiting is started again in its place.
const MAX_GANG_WAIT_RETRIES: u8 = 3;

/// True if a gang task that timed out should wait once more, under the same attempt.
///
/// The rest of its gang may still pull an image for longer than the workers' wait. A whole new
/// attempt would pull it anew elsewhere and time out there in the same way, for ever.
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

/// True if an attempt that timed out, as the newest heartbeat under the owner's fencing token
/// shows, has ended for good.
///
/// Its owner may start it again under its number. The command for that may be in the response to
/// the very heartbeat that shows its end, still on its way when the rest of the gang is lost.
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
