//! Commits changes of ownership: one transaction for each, conditional on all records that the
//! decision used.

use crate::coordination::controller::Controller;
use crate::coordination::failover;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_TIMEOUT_MS;
use crate::coordination::kv::transactions::set;
use crate::protocol::kv::{Condition, Transaction};
use crate::state::cluster_state::{ClusterState, ShardRecord, KEY_PREFIX};
use crate::state::names::{Index, ShardIndex};
use standby::failover::Failovers;

/// A planned change of a shard's owner or of its fencing token alone.
#[derive(Debug, PartialEq)]
pub struct ShardMove {
    /// Shard to move.
    pub shard: ShardIndex,
    /// Name of the new owner, or of the current one if only the fencing token has to be raised.
    pub to: String,
}

/// Key of a controller's record in the key-value store.
pub(super) fn controller_key(name: &str) -> String {
    format!("{KEY_PREFIX}node/{name}")
}

/// The condition that a controller's record is unchanged, or still missing if the view has none.
pub(super) fn controller_unchanged(cluster: &ClusterState, name: &str) -> Condition {
    let controller = cluster.controllers.get(name);
    Condition {
        key: controller_key(name),
        version: controller.map_or(0, |controller| controller.version),
    }
}

/// The transaction of a move, and the shard's record that it writes; `None` if the new owner is not
/// alive. The transaction is conditional on the shard's record and on those of both owners.
pub fn move_transaction(
    cluster: &ClusterState,
    planned: &ShardMove,
) -> Option<(Transaction, ShardRecord)> {
    let shard_key = cluster.shard_key(planned.shard);
    let present = &cluster.shards[planned.shard.at()];
    let former_owner = &present.record.owner;
    let new_owner = cluster.controllers.get(&planned.to)?;
    let record = ShardRecord {
        owner: planned.to.clone(),
        incarnation: new_owner.record.incarnation,
        fencing_token: present.record.fencing_token.next(),
    };
    let mut conditions = vec![
        Condition {
            key: shard_key.clone(),
            version: present.version,
        },
        controller_unchanged(cluster, &planned.to),
    ];
    if !former_owner.is_empty() && *former_owner != planned.to {
        conditions.push(controller_unchanged(cluster, former_owner));
    }
    let writes = vec![set(shard_key, &record, None)?];
    Some((Transaction { conditions, writes }, record))
}

/// Commits moves in order. Stops at the first failure and returns false.
pub(super) async fn execute_moves(controller: &Controller, moves: Vec<ShardMove>) -> bool {
    for planned in moves {
        let transaction = move_transaction(&controller.cluster.borrow(), &planned);
        let Some((transaction, record)) = transaction else {
            continue;
        };
        if planned.to == controller.config.controller_name {
            failover::apply_fence_event(controller, planned.shard, Failovers::fence_sent);
        }
        match controller.kv.commit(&transaction).await {
            CommitOutcome::Committed(revision) => {
                apply_move(controller, &planned, revision, record);
            }
            CommitOutcome::Conflict(_) => {
                failover::apply_fence_event(controller, planned.shard, Failovers::fence_refused);
                controller.refresh(REFRESH_TIMEOUT_MS).await;
                return false;
            }
            CommitOutcome::Refused(_) => {
                failover::apply_fence_event(controller, planned.shard, Failovers::fence_refused);
                return false;
            }
            // The transaction may have been applied, or may still be applied; later reads of the
            // records show its effect.
            CommitOutcome::Unknown => return false,
        }
    }
    true
}

/// Applies a committed move to the cached state, unless that already holds a newer record.
fn apply_move(controller: &Controller, committed: &ShardMove, revision: u64, record: ShardRecord) {
    log::info!(
        "shard moved: shard={} controller={} fencing_token={}",
        committed.shard.0,
        committed.to,
        record.fencing_token
    );
    let mut cluster = controller.cluster.borrow_mut();
    let present = &mut cluster.shards[committed.shard.at()];
    if present.version < revision {
        present.version = revision;
        present.record = record;
    }
    controller.scheduling.notify();
}
