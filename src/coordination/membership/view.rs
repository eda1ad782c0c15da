//! Observations of a controller that are not in the records: since when it has seen other
//! controllers and owned shards, and which controllers no worker reaches.

use crate::coordination::controller::peers::Peer;
use crate::coordination::controller::Controller;
use crate::state::cluster_state::{ClusterState, ControllerRecord, Versioned};
use crate::state::names::{Index, ShardIndex, ZoneIndex};
use crate::state::units::{Incarnation, MonotonicMillis};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Observations of a controller that its decisions on the ownership of shards need in addition to
/// the records.
#[derive(Default)]
pub struct MembershipView {
    /// When this controller first saw each live process of a controller, by name and incarnation.
    pub first_seen: HashMap<(String, Incarnation), MonotonicMillis>,
    /// Names of controllers that no worker reaches.
    pub unreachable_from_workers: HashSet<String>,
    /// When this controller acquired each of the shards that it owns.
    pub owned_since: HashMap<ShardIndex, MonotonicMillis>,
    /// When this controller first saw each shard without a live owner.
    pub ownerless_since: HashMap<ShardIndex, MonotonicMillis>,
    /// Rule by which standbys are chosen. If `None`, there are no standbys, and shards without a
    /// live owner go to their preferred owners.
    pub standby: Option<StandbyRule>,
}

/// Rule by which the standby of a shard is chosen.
#[derive(Clone, Debug)]
pub struct StandbyRule {
    /// Zone of each controller whose zone is one of the settings' zones.
    pub zones: BTreeMap<String, ZoneIndex>,
    /// Whether controllers outside of the shard's zone are preferred to those inside it.
    pub prefer_other_zone: bool,
    /// Time for which a controller must have been alive to be eligible, ms.
    pub settle_ms: u64,
}

impl MembershipView {
    /// Updates which processes are alive and which shards have no live owner.
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
            let process = (name.clone(), controller.record.incarnation);
            self.first_seen.entry(process).or_insert(now);
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

    /// True if the current process of a controller was first seen at least `ms` ago.
    pub(super) fn has_been_seen_for(
        &self,
        ms: u64,
        name: &str,
        controller: &Versioned<ControllerRecord>,
        now: MonotonicMillis,
    ) -> bool {
        let process = (name.to_string(), controller.record.incarnation);
        self.first_seen
            .get(&process)
            .is_some_and(|first_seen| now.since(*first_seen) >= ms)
    }
}

/// Names of controllers that no worker reaches, possibly this one included. Peers without a recent
/// status update are left out.
pub(super) fn unreachable_from_workers(controller: &Controller) -> HashSet<String> {
    let now = controller.now();
    let has_recent_status = |peer: &&Peer| peer.has_recent_status(now);
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

/// Records when this controller acquired its shards, and removes those that it no longer owns.
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
