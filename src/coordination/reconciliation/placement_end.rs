//! Decides whether a placement has ended, and by which proof.

use super::attempt_end::{Evidence, PlacementEnd, ProofEvent};
use super::gang_timeouts::{ended_by_gang_timeout, retry_gang_wait};
use super::proofs::{latest_lease_event, lease_expired, proven_absent};
use super::unwanted_attempts::{is_abandoned, is_unwanted};
use crate::coordination::scheduler::pass::PassContext;
use crate::protocol::workers::{ExitReason, TaskState};
use crate::state::job::Job;
use crate::state::machine::{Machine, ObservedTask, TaskAttempt};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;

/// Time without a step after which the owners of its machines end the staging of a gang, ms: its
/// planner, which gives it up much earlier, may be gone or run an earlier version.
const ORPHANED_STAGING_MS: u64 = 30_000;

/// How an attempt on an owned machine ended; `None` without proof that it has ended.
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
    let given_up = job.is_staging_stalled(pass.wall_ms, ORPHANED_STAGING_MS);
    let not_wanted_here =
        given_up || is_unwanted(job, machine, attempt) || is_abandoned(machine, attempt);
    if not_wanted_here && proven_absent(machine, fencing_token, attempt) {
        return Some(PlacementEnd::ProvenAbsent);
    }
    let lease_expiry_ms = pass.config.lease_expiry_ms;
    lease_expired(machine, fencing_token, lease_expiry_ms, pass.now)
        .then_some(PlacementEnd::LeaseExpired)
}

/// The exited task that the newest heartbeat shows, unless the attempt may run again.
fn final_exit<'m>(
    job: &Job,
    machine: &'m Machine,
    attempt: TaskAttempt,
    fencing_token: FencingToken,
) -> Option<&'m ObservedTask> {
    // Exits count only under the owner's current fencing token, for two reasons. A controller that
    // owns the shard again may remember an exit of an earlier agent epoch, while another owner has
    // restarted the same attempt since. And a delayed duplicate of an old heartbeat may show a new
    // owner an exit that is outdated.
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

/// The event that a proof about an attempt on an owned machine counts from.
pub(super) fn evidence(
    proof: PlacementEnd,
    machine: &Machine,
    fencing_token: FencingToken,
    now: MonotonicMillis,
) -> Evidence {
    let heartbeat = &machine.heartbeat;
    let lease = latest_lease_event(machine);
    let (event, at) = match proof {
        PlacementEnd::Exited(_) => (ProofEvent::WorkerMessage, heartbeat.message_received_at),
        PlacementEnd::ProvenAbsent => (ProofEvent::Heartbeat, heartbeat.last_seen),
        PlacementEnd::LeaseExpired => (
            lease.map_or(ProofEvent::Heartbeat, |lease| lease.event),
            lease.map(|lease| lease.at),
        ),
        PlacementEnd::MachineDeleted => (ProofEvent::MachineDeleted, None),
    };
    Evidence {
        event,
        age_ms: at.map(|at| now.since(at)),
        agent_epoch: Some(heartbeat.message_version.agent_epoch),
        fencing_token: Some(fencing_token),
    }
}
