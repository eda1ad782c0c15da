//! Responses to accepted heartbeats: lease renewal or refusal, and commands.
//!
//! Called by the handler after the wait for the planner. Invariant: no response renews the lease of
//! a machine with tasks while this controller's knowledge of cancellations is too old.

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
/// `None` means refusal: the machine was deleted or ownership was lost during the wait for the
/// planner, or this controller's knowledge of cancellations is too old.
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
    if must_refuse_renewal(cluster, config, accepted, now) {
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

/// True if this controller still owns the shard under the fencing token with which the heartbeat
/// was accepted; `None` if the machine has been deleted since.
fn still_owned(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    accepted: &AcceptedHeartbeat,
) -> Option<bool> {
    let shard = cluster.machine(accepted.machine)?.shard;
    let fencing_token = cluster.shards[shard.at()].record.fencing_token;
    Some(config.owns(cluster, shard) && fencing_token == accepted.fencing_token)
}

/// True if the lease must not be renewed: the machine has tasks, and this controller may not know
/// of cancellations that must be carried out by now, see [`SchedulerConfig::may_renew`].
///
/// A machine without tasks always gets a renewal: it runs nothing that could be cancelled.
fn must_refuse_renewal(
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

/// Records that the renewal of a machine's lease is refused.
///
/// The refusal ends the agent epoch. `responding_since` is reset so that this is not mistaken for
/// lost responses, which would make the machine count as unreachable.
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

/// The commands of the response. A stale heartbeat gets none: the worker already waits for the
/// response to a newer one, so commands in this response would be lost.
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
