//! Acceptance of heartbeats: the ownership and fencing checks.
//!
//! Called by the handler for each heartbeat. Invariant: a heartbeat is applied to the cluster state
//! only if this controller owns the machine's shard and the worker's fencing token does not exceed
//! the owner's.

use super::apply::{apply, HeartbeatChange, StatusSource};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::workers::Heartbeat;
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, MachineIndex, ShardIndex};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;

/// A heartbeat that has been recorded, with the values that its response depends on.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedHeartbeat<'h> {
    /// The heartbeat as decoded.
    pub heartbeat: &'h Heartbeat,
    /// The machine that sent the heartbeat.
    pub machine: MachineIndex,
    /// The owner's fencing token at the time of acceptance.
    pub fencing_token: FencingToken,
    /// What the heartbeat changed in the cluster state.
    pub change: HeartbeatChange,
}

/// Result of the ownership and fencing checks.
#[derive(Debug)]
pub enum HeartbeatOutcome<'h> {
    /// Another controller owns the machine's shard.
    NotOwner {
        /// The live owner, if it is known and is not this controller.
        owner: Option<String>,
    },
    /// The worker has seen a higher fencing token than this controller's: another controller owns
    /// the shard now.
    StaleFencingToken {
        /// The shard of the machine.
        shard: ShardIndex,
        /// The token that the worker has seen.
        seen: FencingToken,
    },
    /// This controller owns the shard, and the heartbeat was recorded.
    Accepted(AcceptedHeartbeat<'h>),
}

/// Records a heartbeat if this controller owns the machine that sent it.
pub fn receive<'h>(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    heartbeat: &'h Heartbeat,
    lease_ms: u64,
    now: MonotonicMillis,
) -> HeartbeatOutcome<'h> {
    let Some((machine, shard)) = resolve_machine(cluster, heartbeat, now) else {
        return HeartbeatOutcome::NotOwner { owner: None };
    };
    if !config.owns(cluster, shard) {
        let owner = other_live_owner(cluster, config, shard);
        return HeartbeatOutcome::NotOwner { owner };
    }
    let fencing_token = cluster.shards[shard.at()].record.fencing_token;
    let seen = heartbeat.fencing_token;
    if seen > fencing_token {
        log::info!(
            "heartbeat refused, worker has seen a higher fencing token: machine={} \
             fencing_token={seen} own_fencing_token={fencing_token}",
            heartbeat.machine
        );
        return HeartbeatOutcome::StaleFencingToken { shard, seen };
    }
    let source = StatusSource::Heartbeat {
        owner_token: fencing_token,
        lease_ms,
    };
    HeartbeatOutcome::Accepted(AcceptedHeartbeat {
        heartbeat,
        machine,
        fencing_token,
        change: apply(cluster, machine, heartbeat, now, source),
    })
}

/// The machine and its shard; `None` for a deleted machine or an unknown zone.
fn resolve_machine(
    cluster: &mut ClusterState,
    heartbeat: &Heartbeat,
    now: MonotonicMillis,
) -> Option<(MachineIndex, ShardIndex)> {
    let machine = cluster.learn_machine(
        &heartbeat.machine,
        &heartbeat.machine_type,
        &heartbeat.zone,
        heartbeat.spot,
        now,
    )?;
    Some((machine, cluster.machine(machine)?.shard))
}

/// The live owner of a shard, to which a worker is redirected; `None` if none is known, or if the
/// record names an earlier incarnation of this controller.
fn other_live_owner(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    shard: ShardIndex,
) -> Option<String> {
    let owner = cluster.live_owner(shard)?;
    (owner != config.controller_name).then(|| owner.to_string())
}
