//! Records of provisioning requests in the key-value store: their updates, and their removal once
//! the machines are in the cloud's list.
//!
//! Each round of the autoscaler calls [`remove_completed`]; `provisioning` commits its updates with
//! [`commit_updates`]. Invariant: an update is committed only under the fencing token of the
//! autoscaler's shard.

use super::state::AutoscalerState;
use crate::coordination::controller::Controller;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_TIMEOUT_MS;
use crate::coordination::kv::transactions::set;
use crate::protocol::kv::{Condition, Transaction, Write};
use crate::state::cluster_state::{ClusterState, ProvisioningRecord, KEY_PREFIX};
use crate::state::names::Index;
use std::rc::Rc;

/// Time, in addition to four times the list's lag, after which a record is removed although some of
/// its machines are not in the list, ms.
const MISSING_MACHINES_GRACE_MS: u64 = 10_000;

/// A change to the record of a provisioning request.
pub(super) enum RecordUpdate {
    Put(ProvisioningRecord),
    Remove,
}

/// A record update with the name of its request.
pub(super) struct NamedUpdate {
    pub(super) request_id: String,
    pub(super) update: RecordUpdate,
}

/// Commits record updates on the condition that the autoscaler's shard record is unchanged. True if
/// all were committed and then read back into the cluster state.
pub(super) async fn commit_updates(controller: &Controller, updates: &[NamedUpdate]) -> bool {
    if updates.is_empty() {
        return true;
    }
    let txn_ops = controller
        .config
        .limits(&controller.cluster.borrow())
        .txn_ops;
    let mut all_committed = true;
    for chunk in updates.chunks(txn_ops) {
        let txn = updates_transaction(&controller.cluster.borrow(), chunk);
        let outcome = controller.kv.commit(&txn).await;
        all_committed &= matches!(outcome, CommitOutcome::Committed(_));
    }
    // The next step of the round reads the records from the cluster state.
    controller.refresh(REFRESH_TIMEOUT_MS).await && all_committed
}

/// Record updates as a transaction that fails if the autoscaler's shard has a new owner.
fn updates_transaction(cluster: &ClusterState, updates: &[NamedUpdate]) -> Transaction {
    let shard = cluster.autoscaler_shard();
    let write = |named: &NamedUpdate| {
        let key = format!("{KEY_PREFIX}book/{}", named.request_id);
        match &named.update {
            RecordUpdate::Put(record) => set(key, record, None),
            RecordUpdate::Remove => Some(Write::Remove { remove: key }),
        }
    };
    Transaction {
        conditions: vec![Condition {
            key: cluster.shard_key(shard),
            version: cluster.shards[shard.at()].version,
        }],
        writes: updates.iter().filter_map(write).collect(),
    }
}

/// Removes the records of requests whose machines are all in the cloud's list or have been missing
/// from it for too long.
pub(super) async fn remove_completed(
    controller: &Rc<Controller>,
    state: &mut AutoscalerState,
    list_lag_ms: u64,
) {
    let completed = completed_requests(controller, state, list_lag_ms);
    let updates: Vec<NamedUpdate> = completed
        .into_iter()
        .map(|request_id| NamedUpdate {
            request_id,
            update: RecordUpdate::Remove,
        })
        .collect();
    commit_updates(controller, &updates).await;
    for NamedUpdate { request_id, .. } in updates {
        state.requested_at.remove(&request_id);
    }
}

fn completed_requests(
    controller: &Controller,
    state: &mut AutoscalerState,
    list_lag_ms: u64,
) -> Vec<String> {
    let now = controller.now();
    let cluster = controller.cluster.borrow();
    let AutoscalerState {
        requested_at,
        listed,
        ..
    } = state;
    cluster
        .provisioning_requests
        .iter()
        .filter(|(id, request)| {
            // The age of a previous owner's request counts from when this owner first sees it.
            let at = *requested_at.entry((*id).clone()).or_insert(now);
            let elapsed_ms = now.since(at);
            let machines = &request.record.machines;
            let all_listed = machines.iter().all(|name| listed.contains_key(name));
            !machines.is_empty()
                && elapsed_ms > list_lag_ms * 2
                && (all_listed || elapsed_ms > list_lag_ms * 4 + MISSING_MACHINES_GRACE_MS)
        })
        .map(|(id, _)| id.clone())
        .take(controller.config.limits(&cluster).txn_ops)
        .collect()
}
