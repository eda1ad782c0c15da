//! What a controller knows of membership beside the records: since when it has seen others and
//! owned shards, and which controllers workers reach.

use crate::coordination::controller::peers::Peer;
use crate::coordination::controller::Controller;
use crate::state::cluster_state::{ClusterState, ControllerRecord, Versioned};
use crate::state::names::{Index, ShardIndex, ZoneIndex};
use crate::state::units::{Incarnation, MonotonicMillis};
use std::collections::{BTreeMap, HashMap, HashSet};

/// What a controller knows beside the records when it decides on shards.
#[derive(Default)]
pub struct MembershipView {
    /// Since when each incarnation has been seen.
    pub first_seen: HashMap<(String, Incarnation), MonotonicMillis>,
    /// Controllers that no worker reaches.
    pub unreachable_from_workers: HashSet<String>,
    /// Since when this controller has each of its shards.
    pub owned_since: HashMap<ShardIndex, MonotonicMillis>,
    /// Since when a shard has no living owner.
    pub ownerless_since: HashMap<ShardIndex, MonotonicMillis>,
    /// How standbys are chosen; `None`: shards without a living owner go to their preferred owner.
    pub standby: Option<StandbyRule>,
}

/// How the standby of a shard is chosen.
#[derive(Clone, Debug)]
pub struct StandbyRule {
    /// Zone of each controller.
    pub zones: BTreeMap<String, ZoneIndex>,
    /// Controllers of other zones than the shard's first.
    pub prefer_other_zone: bool,
    /// Time for which a controller must have been there, ms.
    pub settle_ms: u64,
}

impl MembershipView {
    /// Notes which incarnations have come and gone, and which shards have lost their owner.
    pub(super) fn update(&mut self, cluster: &ClusterState, now: MonotonicMillis) {
        self.update_first_seen(cluster, now);
        self.update_ownerless_since(cluster, now);
    }

    fn update_first_seen(&mut self, cluster: &ClusterState, now: MonotonicMillis) {
        self.first_seen.retain(|(name, incarnation), _| {
            let controller = cluster.controllers.get(name);
            controller.is_some_and(|c| c.record.incarnation == *incarnation)
        });
        for (name, controller) in &cluster.controllers {
            let incarnation = (name.clone(), controller.record.incarnation);
            self.first_seen.entry(incarnation).or_insert(now);
        }
    }

    fn update_ownerless_since(&mut self, cluster: &ClusterState, now: MonotonicMillis) {
        for shard in (0..cluster.shards.len()).map(ShardIndex::new) {
            if cluster.live_owner(shard).is_some() {
                self.ownerless_since.remove(&shard);
            } else {
                self.ownerless_since.entry(shard).or_insert(now);
            }
        }
    }

    /// True if this incarnation of a controller has been seen for a while.
    pub(super) fn has_been_seen_for(
        &self,
        ms: u64,
        name: &str,
        controller: &Versioned<ControllerRecord>,
        now: MonotonicMillis,
    ) -> bool {
        let incarnation = (name.to_string(), controller.record.incarnation);
        self.first_seen
            .get(&incarnation)
            .is_some_and(|first_seen| now.since(*first_seen) >= ms)
    }
}

/// Controllers that no worker reaches, this one among them, as far as their status is recent.
pub(super) fn unreachable_from_workers(controller: &Controller) -> HashSet<String> {
    let now = controller.now();
    let has_recent_status = |peer: &&Peer| peer.heard_recently(now);
    let mut unreachable: HashSet<String> = controller
        .peers
        .iter()
        .filter(has_recent_status)
        .filter(|peer| !peer.workers_reachable())
        .map(|peer| peer.name.clone())
        .collect();
    if !controller.workers_reachable() {
        unreachable.insert(controller.config.controller_name.clone());
    }
    unreachable
}

/// Notes since when this controller has its shards.
pub(super) fn record_owned_shards(controller: &Controller) {
    let now = controller.now();
    let cluster = controller.cluster.borrow();
    let mut owned_since = controller.owned_since.borrow_mut();
    for shard in (0..cluster.shards.len()).map(ShardIndex::new) {
        if !controller.config.owns(&cluster, shard) {
            owned_since.remove(&shard);
            continue;
        }
        owned_since.entry(shard).or_insert_with(|| {
            log::info!(
                "shard ownership acquired: shard={} fencing_token={}",
                shard.0,
                cluster.shards[shard.at()].record.fencing_token
            );
            if shard == cluster.autoscaler_shard() {
                controller.autoscaling.notify();
            }
            now
        });
    }
}
