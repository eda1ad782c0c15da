//! The standby of each shard in the view of this controller.

use crate::coordination::controller::Controller;
use crate::state::names::{Index, ShardIndex};
use std::collections::HashMap;

/// Replaces the standbys of all shards, and logs the changes for shards that this controller owns.
pub(in crate::coordination) fn record_standbys(
    controller: &Controller,
    standbys: HashMap<ShardIndex, String>,
) {
    let previous = controller.standby_of.replace(standbys);
    let current = controller.standby_of.borrow();
    let cluster = controller.cluster.borrow();
    for shard in (0..cluster.shards.len()).map(ShardIndex::new) {
        let changed = previous.get(&shard) != current.get(&shard);
        if changed && controller.config.owns(&cluster, shard) {
            log::info!(
                "standby changed: shard={} standby={} previous_standby={}",
                shard.0,
                name_or_none(&current, shard),
                name_or_none(&previous, shard)
            );
        }
    }
}

fn name_or_none(standbys: &HashMap<ShardIndex, String>, shard: ShardIndex) -> &str {
    standbys.get(&shard).map_or("none", String::as_str)
}
