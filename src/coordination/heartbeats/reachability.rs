//! Detects machines whose workers do not receive the responses to their heartbeats.
//!
//! A heartbeat that arrives proves only that messages from the worker get through. A machine whose
//! responses are lost would be assigned tasks indefinitely without running any, so `apply` calls
//! this module for each heartbeat before it is recorded. `worker_connectivity` probes machines that
//! are found unreachable.

use crate::protocol::workers::{Heartbeat, HeartbeatVersion};
use crate::state::machine::{Machine, ObservedTask, TaskAttempt};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;

/// Number of consecutive heartbeats that lack all starts sent in earlier responses, at which the
/// machine counts as unreachable.
const MAX_UNOBSERVED_STARTS: u8 = 3;

/// A heartbeat that is about to be recorded, with the values needed to detect lost responses.
pub(super) struct IncomingHeartbeat<'a> {
    /// The heartbeat as decoded.
    pub(super) heartbeat: &'a Heartbeat,
    /// The tasks of the heartbeat, with names resolved.
    pub(super) tasks: &'a [ObservedTask],
    /// Attempts that the job records place on the machine.
    pub(super) placed: &'a [TaskAttempt],
    /// The owner's fencing token.
    pub(super) owner_token: FencingToken,
    /// Duration of a worker's lease, ms.
    pub(super) lease_ms: u64,
    /// When the heartbeat arrived.
    pub(super) now: MonotonicMillis,
}

/// Updates whether the machine is reachable; `machine` still has the state from before this
/// heartbeat.
///
/// Two signs show that a machine is unreachable: an agent epoch that ended although its heartbeats
/// were answered without a gap, and starts in responses that later heartbeats do not show. A
/// machine that shows the effect of a command is reachable again.
pub(super) fn update_reachability(machine: &mut Machine, incoming: &IncomingHeartbeat) {
    let answered = incoming.continues_answered(machine);
    if incoming.begins_new_epoch(machine) {
        check_ended_epoch(machine, incoming, answered);
        return;
    }
    if !answered {
        machine.health.responding_since = Some(incoming.now);
    }
    check_sent_starts(machine, incoming);
}

impl IncomingHeartbeat<'_> {
    /// True if the previous heartbeat was accepted under the same token less than half a lease ago,
    /// so that this controller has answered the worker without a gap.
    fn continues_answered(&self, machine: &Machine) -> bool {
        machine.heartbeat.fencing_token == self.owner_token
            && machine
                .heartbeat
                .last_seen
                .is_some_and(|previous| self.now.since(previous) < self.lease_ms / 2)
    }

    fn begins_new_epoch(&self, machine: &Machine) -> bool {
        let previous = machine.heartbeat.message_version.agent_epoch;
        previous.is_known() && self.heartbeat.agent_epoch > previous
    }

    fn shows(&self, attempt: &TaskAttempt) -> bool {
        let mut attempts = self.tasks.iter().map(ObservedTask::task_attempt);
        attempts.any(|shown| shown == Some(*attempt))
    }

    /// True if this heartbeat should show the attempt of a start command: it is newer than the one
    /// whose response contained the command, and the attempt is still placed on the machine.
    fn should_show(&self, attempt: &TaskAttempt, sent: HeartbeatVersion) -> bool {
        sent < self.heartbeat.version() && self.placed.contains(attempt)
    }
}

/// Marks the machine unreachable if its agent epoch ended although its heartbeats were answered.
///
/// An epoch ends when the worker's lease expires. If this controller answered the worker for longer
/// than a lease, the responses did not arrive.
fn check_ended_epoch(machine: &mut Machine, incoming: &IncomingHeartbeat, answered: bool) {
    machine.health.unobserved_starts = 0;
    let answered_for_a_lease = machine
        .health
        .responding_since
        .is_some_and(|since| incoming.now.since(since) > incoming.lease_ms);
    if answered && answered_for_a_lease {
        log::warn!(
            "machine unreachable, agent epoch ended while heartbeats were answered: machine={}",
            machine.name
        );
        machine.health.mark_unreachable(incoming.now);
    }
    machine.health.responding_since = Some(incoming.now);
}

/// Compares the starts sent in earlier responses with the tasks that the heartbeat shows.
fn check_sent_starts(machine: &mut Machine, incoming: &IncomingHeartbeat) {
    let mut expected = machine
        .starts
        .sent
        .iter()
        .filter(|(attempt, sent)| incoming.should_show(attempt, **sent))
        .map(|(attempt, _)| attempt)
        .peekable();
    if expected.peek().is_none() {
        machine.health.unobserved_starts = 0;
        return;
    }
    if expected.any(|attempt| incoming.shows(attempt)) {
        machine.health.mark_reachable(incoming.now);
        return;
    }
    machine.health.unobserved_starts = machine.health.unobserved_starts.saturating_add(1);
    if machine.health.unobserved_starts >= MAX_UNOBSERVED_STARTS && !machine.health.is_unreachable()
    {
        log::warn!(
            "machine unreachable, heartbeats show no start sent to it: machine={} heartbeats={}",
            machine.name,
            machine.health.unobserved_starts
        );
        machine.health.mark_unreachable(incoming.now);
    }
}
