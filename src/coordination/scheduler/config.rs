//! Parameters of scheduling decisions, and what this controller may decide.

use crate::protocol::kv::Limits;
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::{Incarnation, MonotonicMillis};
use standby::permit::{Permit, Permits};
use std::cell::Cell;
use std::collections::HashMap;

/// What a controller decides by.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// This node.
    pub controller_name: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Silence after which a machine gets nothing new, ms.
    pub unresponsive_ms: u64,
    /// Queue cap.
    pub queue_cap: usize,
    /// Wait after which a queued task is free for all, ms.
    pub steal_after_ms: u64,
    /// Wait after which machines are kept free for a gang, ms.
    pub gang_reservation_after_ms: u64,
    /// Wait after which work for spot machines takes empty ordinary ones, ms.
    pub spot_patience_ms: u64,
    /// Part of the spot work expected during a boot that has room kept for it.
    pub capacity_buffer_spot: f64,
    /// The same for other work.
    pub capacity_buffer_on_demand: f64,
    /// Silence after which a worker that only this owner answered has killed its tasks, ms.
    pub lease_expiry_ms: u64,
    /// Age of the knowledge of cancellations from which on no lease of a machine with tasks is
    /// renewed, ms.
    pub max_watermark_age_ms: u64,
    /// Time in which a cancelled job's tasks have to be gone, ms.
    pub cancel_ms: u64,
    /// Times in which jobs of a class are expected to finish, ms, the shortest first.
    pub completion_targets: HashMap<String, Vec<u64>>,
    /// Limits of the state service now, as the settings say.
    pub limits_now: Limits,
    /// Limits that come without notice.
    pub limits_next: Limits,
    /// Limits that its refusals have shown.
    pub limits_observed: Cell<Limits>,
}

/// Age of the knowledge of cancellations up to which tasks are started: above the wait of a watch.
const START_MS: u64 = 6500;

impl SchedulerConfig {
    /// Limits that hold for what is written.
    ///
    /// Once every node knows how to keep to those that come, nothing is written any more that
    /// only today's allow: what is stored and too large can't be written back later.
    pub fn limits(&self, cluster: &ClusterState) -> Limits {
        let now = self.limits_now.least(self.limits_observed.get());
        if cluster.record_format_v2 {
            now.least(self.limits_next)
        } else {
            now
        }
    }
    /// True if this incarnation owns the shard, as far as is known.
    pub fn owns(&self, cluster: &ClusterState, shard: ShardIndex) -> bool {
        let r = &cluster.shards[shard.at()].record;
        r.owner == self.controller_name && r.incarnation == self.incarnation
    }
    /// The permit to decide for a shard, if this incarnation owns it under the permit's token.
    pub fn permit<'p>(
        &self,
        cluster: &ClusterState,
        permits: &'p Permits,
        shard: ShardIndex,
    ) -> Option<&'p Permit> {
        let token = cluster.shards[shard.at()].record.fencing_token;
        let permit = permits.get(shard.into())?;
        (self.owns(cluster, shard) && permit.fencing_token() == token).then_some(permit)
    }
    /// The permits of all shards, by index: for loops over machines and placements.
    pub fn permitted<'p>(
        &self,
        cluster: &ClusterState,
        permits: &'p Permits,
    ) -> Vec<Option<&'p Permit>> {
        let shards = (0..cluster.shards.len()).map(ShardIndex::new);
        shards.map(|s| self.permit(cluster, permits, s)).collect()
    }
    /// True if this incarnation owns a shard, for all shards by index.
    pub fn owned(&self, cluster: &ClusterState) -> Vec<bool> {
        let shards = (0..cluster.shards.len()).map(ShardIndex::new);
        shards.map(|s| self.owns(cluster, s)).collect()
    }
    /// True if an owner may renew the leases of machines with tasks: a task whose cancellation it
    /// has not heard of by then would outlive the time for cancellations.
    ///
    /// An owner that reaches neither the state service nor its peers may have missed some. Its
    /// answer gives a worker one more lease, so it gives the last one while enough time is left.
    pub fn may_renew(&self, cluster: &ClusterState, now: MonotonicMillis) -> bool {
        let age = cluster.cancellation_watermark.age_ms(now);
        age.is_some_and(|age| age <= self.max_watermark_age_ms)
    }
    /// True if tasks may be started: their jobs' records, read a moment ago, may be out of date,
    /// but not by more than it takes to hear of a cancellation.
    pub fn may_start(&self, cluster: &ClusterState, now: MonotonicMillis) -> bool {
        let age = cluster.cancellation_watermark.age_ms(now);
        age.is_some_and(|age| age <= START_MS.min(self.max_watermark_age_ms))
    }
}
