//! What this controller may decide: for shards that it owns under a permit, and as long as it
//! hears of cancellations.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::MonotonicMillis;
use standby::permit::{Permit, Permits};

/// Age of the cancellation watermark up to which tasks are started: above the wait of a watch.
const MAX_WATERMARK_AGE_FOR_STARTS_MS: u64 = 6500;

impl SchedulerConfig {
    /// True if this incarnation owns the shard, as far as is known.
    pub fn owns(&self, cluster: &ClusterState, shard: ShardIndex) -> bool {
        let record = &cluster.shards[shard.at()].record;
        record.owner == self.controller_name && record.incarnation == self.incarnation
    }
    /// The permit to decide for a shard, if this incarnation owns it under the permit's fencing
    /// token.
    pub fn permit<'p>(
        &self,
        cluster: &ClusterState,
        permits: &'p Permits,
        shard: ShardIndex,
    ) -> Option<&'p Permit> {
        let fencing_token = cluster.shards[shard.at()].record.fencing_token;
        let permit = permits.get(shard.into())?;
        (self.owns(cluster, shard) && permit.fencing_token() == fencing_token).then_some(permit)
    }
    /// The permits of all shards, by index: for loops over machines and placements.
    pub fn permitted<'p>(
        &self,
        cluster: &ClusterState,
        permits: &'p Permits,
    ) -> Vec<Option<&'p Permit>> {
        let shards = (0..cluster.shards.len()).map(ShardIndex::new);
        shards
            .map(|shard| self.permit(cluster, permits, shard))
            .collect()
    }
    /// True if this incarnation owns a shard, for all shards by index.
    pub fn owned(&self, cluster: &ClusterState) -> Vec<bool> {
        let shards = (0..cluster.shards.len()).map(ShardIndex::new);
        shards.map(|shard| self.owns(cluster, shard)).collect()
    }
    /// True if an owner may renew the leases of machines with tasks: a task whose cancellation it
    /// has not heard of by then would outlive the time for cancellations.
    ///
    /// An owner that reaches neither the key-value store nor its peers may have missed some. Its
    /// response gives a worker one more lease, so it gives the last one while enough time is left.
    pub fn may_renew(&self, cluster: &ClusterState, now: MonotonicMillis) -> bool {
        let age_ms = cluster.cancellation_watermark.age_ms(now);
        age_ms.is_some_and(|age| age <= self.max_watermark_age_ms)
    }
    /// True if tasks may be started: their jobs' records, read a moment ago, may be out of date,
    /// but not by more than it takes to hear of a cancellation.
    pub fn may_start(&self, cluster: &ClusterState, now: MonotonicMillis) -> bool {
        let max_age_ms = MAX_WATERMARK_AGE_FOR_STARTS_MS.min(self.max_watermark_age_ms);
        let age_ms = cluster.cancellation_watermark.age_ms(now);
        age_ms.is_some_and(|age| age <= max_age_ms)
    }
}
