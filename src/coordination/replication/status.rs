//! Status of all shards and of the replication to their standbys, for operators.

use crate::coordination::controller::Controller;
use crate::coordination::failover;
use crate::protocol::peers::ShardStatus;
use crate::state::names::{Index, ShardIndex};

/// The status of all shards in the view of this controller.
pub fn shard_statuses(controller: &Controller) -> Vec<ShardStatus> {
    failover::observe_shards(controller);
    let shards = controller.cluster.borrow().shards.len();
    (0..shards)
        .map(|at| shard_status(controller, ShardIndex::new(at)))
        .collect()
}

fn shard_status(controller: &Controller, shard: ShardIndex) -> ShardStatus {
    let cluster = controller.cluster.borrow();
    let replication = controller.replication.borrow();
    let record = &cluster.shards[shard.at()].record;
    let failover_state = controller.failovers.borrow().state(shard.into());
    let stream = replication.outgoing.get(&shard);
    let follower = replication.followers.get(&shard);
    let complete = follower.filter(|follower| follower.replica_state().is_some());
    ShardStatus {
        shard: shard.0,
        owner: record.owner.clone(),
        fencing_token: record.fencing_token.0,
        state: failover_state.name().to_string(),
        standby: controller.standby_of.borrow().get(&shard).cloned(),
        replication_lag: stream.and_then(|stream| stream.publisher.lag()),
        replica_of_token: complete.map(|follower| follower.fencing_token().0),
    }
}
