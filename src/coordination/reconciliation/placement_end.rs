//! Whether, and by which proof, a placement has ended.

use super::gang_timeouts::{ended_by_gang_timeout, retry_gang_wait};
use super::proofs::{lease_expired, proven_absent};
use super::unwanted_attempts::{is_abandoned, is_unwanted};
use crate::coordination::scheduler::pass::PassContext;
use crate::protocol::workers::{ExitReason, TaskState};
use crate::state::job::Job;
use crate::state::machine::{Machine, ObservedTask, TaskAttempt};
use standby::ids::FencingToken;

/// The proof by which a placement may leave its job's record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PlacementEnd {
    /// A heartbeat under the owner's fencing token shows the exit, with its reason.
    Exited(Option<ExitReason>),
    /// The attempt is not there, can't begin later and will not be started there again.
    ProvenAbsent,
    /// The worker's lease has expired, so it has killed its tasks.
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

/// How an attempt on an owned machine ended; `None` without proof that it did.
pub fn placement_end(
    pass: &PassContext,
    job: &Job,
    machine: &Machine,
    attempt: TaskAttempt,
    fencing_token: FencingToken,
) -> Option<PlacementEnd> {
    if let Some(task) = final_exit(job, machine, attempt, fencing_token) {
        return Some(PlacementEnd::Exited(task.exit_reason));
    }
    let not_wanted_here = is_unwanted(job, machine, attempt) || is_abandoned(machine, attempt);
    if not_wanted_here && proven_absent(machine, fencing_token, attempt) {
        return Some(PlacementEnd::ProvenAbsent);
    }
    let lease_expiry_ms = pass.config.lease_expiry_ms;
    lease_expired(machine, fencing_token, lease_expiry_ms, pass.now)
        .then_some(PlacementEnd::LeaseExpired)
}

/// The exit that the newest heartbeat shows, unless the attempt may run again.
fn final_exit<'m>(
    job: &Job,
    machine: &'m Machine,
    attempt: TaskAttempt,
    fencing_token: FencingToken,
) -> Option<&'m ObservedTask> {
    // Only under the own token: an owner that was away may remember an exit of an earlier agent
    // epoch, after which another owner has started the same attempt once more; and a copy of an
    // old heartbeat may show an exit that is long past to a new owner.
    if machine.heartbeat.fencing_token != fencing_token {
        return None;
    }
    let task = machine.observed(attempt)?;
    if task.state != TaskState::Exited || retry_gang_wait(job, machine, attempt) {
        return None;
    }
    let timed_out = task.exit_reason == Some(ExitReason::GangTimeout);
    let is_final = !timed_out || ended_by_gang_timeout(machine, fencing_token, attempt);
    is_final.then_some(task)
}
