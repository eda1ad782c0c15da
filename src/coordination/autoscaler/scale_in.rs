//! Deletes machines that can't be used or that nothing needs.
//!
//! Each round of the autoscaler calls [`scale_in`] last.
//!
//! Invariants: no machine is deleted before a fresh read of the key-value store has confirmed that
//! this controller still owns the autoscaler's shard, and no idle machine before its owner has
//! cordoned it. The deletion of a silent machine is the only proof that its tasks have ended.

use super::scale_in_plan::{ScaleInPlanner, ScaleInReason};
use super::state::{AutoscalerState, CLOUD_TIMEOUT_MS};
use crate::coordination::controller::Controller;
use crate::coordination::kv::fresh_reads::REFRESH_MS;
use crate::coordination::peer_messages::machine_changes;
use crate::protocol::cloud::MachineNames;
use crate::protocol::peers::{PeerRequest, PeerResponse};
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, MachineIndex};
use crate::state::units::MonotonicMillis;
use http_types::Method;
use std::collections::HashMap;
use std::rc::Rc;

/// Maximum number of machines in one deletion request, set by the cloud's protocol.
const MAX_MACHINES_PER_DELETION: usize = 100;
/// Time after a change of owner during which no machine is deleted, because the new owner knows too
/// little about the machines yet.
const OWNER_WARM_UP_MS: u64 = 3000;
/// Timeout of a request to a peer to cordon machines.
const CORDON_TIMEOUT_MS: u64 = 800;
/// Timeout of the announcement of deleted machines to a peer.
const ANNOUNCE_TIMEOUT_MS: u64 = 500;

/// Deletes machines that can't be used or that nothing needs.
pub(super) async fn scale_in(controller: &Rc<Controller>, state: &mut AutoscalerState) {
    let now = controller.now();
    update_idle_since(&mut controller.cluster.borrow_mut(), now);
    if now.since(state.owner_since) < OWNER_WARM_UP_MS {
        return;
    }
    let plan = ScaleInPlanner::new(controller, &controller.cluster.borrow(), state, now).plan();
    state.scale_in_pending = !plan.is_empty();
    if !state.scale_in_pending {
        return;
    }
    if !confirm_ownership(controller).await {
        log::debug!("scale-in skipped, ownership of the autoscaler's shard not confirmed");
        return;
    }
    let cordoned = cordon_idle(controller, &plan.idle).await;
    let idle = cordoned.into_iter().map(|name| (name, ScaleInReason::Idle));
    let deletions: Vec<(String, ScaleInReason)> = plan
        .unusable
        .into_iter()
        .chain(idle)
        .take(MAX_MACHINES_PER_DELETION)
        .collect();
    if deletions.is_empty() || !state.rate_limiter.try_acquire(controller.now(), 0.0) {
        return;
    }
    delete(controller, state, deletions).await;
}

/// Updates since when each machine has been idle, with no placements and an empty queue.
fn update_idle_since(cluster: &mut ClusterState, now: MonotonicMillis) {
    for machine_index in (0..cluster.machines.len()).map(MachineIndex::new) {
        let has_placements = !cluster.placed_on(machine_index).is_empty();
        let Some(machine) = cluster.machine_mut(machine_index) else {
            continue;
        };
        let busy =
            has_placements || !machine.queue.is_empty() || machine.owner_status.queue_length > 0;
        machine.decisions.idle_since = match (busy, machine.heartbeat.last_seen) {
            (false, Some(_)) => machine.decisions.idle_since.or(Some(now)),
            _ => None,
        };
    }
}

/// True if a fresh read of the key-value store shows that this controller still owns the
/// autoscaler's shard.
///
/// This is the only fencing of deletions, because the cloud does not check fencing tokens. Without
/// it, a former owner that was disconnected from the store would go on deleting machines that other
/// controllers use by now.
async fn confirm_ownership(controller: &Controller) -> bool {
    if !controller.refresh(REFRESH_MS).await {
        return false;
    }
    let cluster = controller.cluster.borrow();
    let shard = cluster.autoscaler_shard();
    controller.config.owns(&cluster, shard)
}

/// Cordons idle machines through their owners, so that no new task starts on them. Returns the
/// machines that are now cordoned.
async fn cordon_idle(controller: &Rc<Controller>, idle: &[String]) -> Vec<String> {
    let by_owner = group_by_owner(&controller.cluster.borrow(), idle);
    let mut cordoned = Vec::new();
    for (owner, machines) in by_owner {
        if owner == controller.config.controller_name {
            cordoned.extend(machine_changes::cordon(controller, &machines));
        } else {
            cordoned.extend(ask_peer_to_cordon(controller, &owner, machines).await);
        }
    }
    cordoned
}

fn group_by_owner(cluster: &ClusterState, machines: &[String]) -> HashMap<String, Vec<String>> {
    let mut by_owner: HashMap<String, Vec<String>> = HashMap::new();
    for name in machines {
        let machine_index = cluster.machine_names.find(name);
        if let Some(machine) = machine_index.and_then(|index| cluster.machine(index)) {
            let owner = cluster.shards[machine.shard.at()].record.owner.clone();
            by_owner.entry(owner).or_default().push(name.clone());
        }
    }
    by_owner
}

/// Asks a peer to cordon machines that it owns, and returns those that it has cordoned. Without an
/// answer the result is empty, and the next round tries again.
async fn ask_peer_to_cordon(
    controller: &Controller,
    owner: &str,
    machines: Vec<String>,
) -> Vec<String> {
    let Some(peer) = controller.peer(owner) else {
        return Vec::new();
    };
    let request = PeerRequest::Cordon { machines };
    match peer.client.call(&request, CORDON_TIMEOUT_MS).await {
        Ok(PeerResponse::Cordoned(cordoned)) => cordoned,
        Ok(_) => Vec::new(),
        Err(e) => {
            log::debug!("machines not cordoned: peer={owner} error={e}");
            Vec::new()
        }
    }
}

/// Requests the deletion of machines from the cloud, and announces it to all controllers if it
/// succeeds.
async fn delete(
    controller: &Rc<Controller>,
    state: &mut AutoscalerState,
    deletions: Vec<(String, ScaleInReason)>,
) {
    for (name, reason) in &deletions {
        log::info!("machine deletion requested: machine={name} reason={reason}");
    }
    let machines: Vec<String> = deletions.into_iter().map(|(name, _)| name).collect();
    let message = MachineNames {
        machines: machines.clone(),
    };
    let body = match rmp_serde::to_vec_named(&message) {
        Ok(body) => body,
        Err(e) => {
            log::error!("machine deletion not encoded: error={e}");
            return;
        }
    };
    let answer = controller
        .cloud
        .call(Method::Post, "/hosts/release", body, CLOUD_TIMEOUT_MS)
        .await;
    for name in &machines {
        state
            .deletion_requested_at
            .insert(name.clone(), controller.now());
    }
    match answer {
        Ok(answer) if answer.status == 200 => announce_deleted(controller, machines).await,
        Ok(answer) => log::warn!("machine deletion refused: status={}", answer.status),
        Err(e) => {
            log::warn!("machine deletion unanswered: error={e}");
            controller.cloud.close_idle();
        }
    }
}

/// Marks machines as deleted on this controller and on all peers. For a silent machine this is the
/// only proof that its tasks have ended.
async fn announce_deleted(controller: &Controller, machines: Vec<String>) {
    machine_changes::mark_machines_deleted(controller, &machines);
    let announcement = PeerRequest::MachinesDeleted { machines };
    for peer in &controller.peers {
        let answer = peer.client.call(&announcement, ANNOUNCE_TIMEOUT_MS).await;
        if let Err(e) = answer {
            log::debug!(
                "deleted machines not announced: peer={} error={e}",
                peer.name
            );
        }
    }
}
