//! Responses to accepted heartbeats: lease renewal or refusal, and the commands handed out.
//!
//! Called by the handler once the planner has had its moment. Invariant: no response renews the
//! lease of a machine with tasks while cancellations of them may have been missed for too long.

use super::apply::HeartbeatChange;
use super::receive::AcceptedHeartbeat;
use crate::coordination::scheduler::commands;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::workers::{Command, Heartbeat, HeartbeatResponse, TaskState};
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, MachineIndex};
use crate::state::units::MonotonicMillis;
use standby::permit::Permits;

/// The response that renews the worker's lease.
///
/// `None` refuses it: ownership was lost while the planner was waited for, or too little is known
/// of recent cancellations.
pub fn respond(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    accepted: &AcceptedHeartbeat,
    now: MonotonicMillis,
) -> Option<HeartbeatResponse> {
    if !still_owned(cluster, config, accepted)? {
        return None;
    }
    if lease_must_lapse(cluster, config, accepted, now) {
        record_refusal(cluster, accepted.machine, now);
        return None;
    }
    cluster
        .machine_mut(accepted.machine)?
        .heartbeat
        .last_answered = Some(now);
    Some(HeartbeatResponse {
        fencing_token: accepted.fencing_token,
        commands: commands_for(cluster, config, permits, accepted, now),
    })
}

/// True if the shard is still owned under the token of acceptance; `None` if the machine has been
/// deleted since.
fn still_owned(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    accepted: &AcceptedHeartbeat,
) -> Option<bool> {
    let shard = cluster.machine(accepted.machine)?.shard;
    let fencing_token = cluster.shards[shard.at()].record.fencing_token;
    Some(config.owns(cluster, shard) && fencing_token == accepted.fencing_token)
}

/// True if a response would renew the lease of a machine with tasks although some of them may
/// have been cancelled too long ago, see [`SchedulerConfig::may_renew`].
///
/// A machine without tasks is always answered: nothing on it can outlive its cancellation.
fn lease_must_lapse(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    accepted: &AcceptedHeartbeat,
    now: MonotonicMillis,
) -> bool {
    let has_tasks =
        runs_tasks(accepted.heartbeat) || !cluster.placed_on(accepted.machine).is_empty();
    has_tasks && !config.may_renew(cluster, now)
}

fn runs_tasks(heartbeat: &Heartbeat) -> bool {
    let mut states = heartbeat.tasks.iter().map(|task| task.state);
    states.any(|state| state != TaskState::Exited)
}

/// The agent's epoch will end by this refusal, and not because nothing reaches the machine: the
/// time for which its heartbeats have been answered begins anew.
fn record_refusal(cluster: &mut ClusterState, machine: MachineIndex, now: MonotonicMillis) {
    let Some(machine) = cluster.machine_mut(machine) else {
        return;
    };
    machine.health.responding_since = Some(now);
    log::info!(
        "lease renewal refused, cancellations may have been missed: machine={}",
        machine.name
    );
}

/// The commands of the response. A late copy of a heartbeat gets none: its worker waits for the
/// response to a newer one, and commands in this response would never arrive.
fn commands_for(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    accepted: &AcceptedHeartbeat,
    now: MonotonicMillis,
) -> Vec<Command> {
    let newest = cluster
        .machine(accepted.machine)
        .is_some_and(|machine| machine.heartbeat.message_version == accepted.heartbeat.version());
    if accepted.change == HeartbeatChange::Stale || !newest {
        return Vec::new();
    }
    commands::heartbeat_commands(cluster, config, permits, accepted.machine, now)
}
