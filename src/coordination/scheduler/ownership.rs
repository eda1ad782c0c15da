//! Ownership checks: a controller decides only for shards that it owns under a permit, and starts
//! tasks and renews leases only while its cancellation watermark is recent enough.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::MonotonicMillis;
use standby::permit::{Permit, Permits};

/// Maximum age of the cancellation watermark at which tasks are still started, ms. The maximum
/// exceeds the 5 s for which a watch request of the key-value store waits without changes.
const MAX_WATERMARK_AGE_FOR_STARTS_MS: u64 = 6500;

impl SchedulerConfig {
    /// True if this incarnation owns the shard according to the cached shard record.
    pub fn owns(&self, cluster: &ClusterState, shard: ShardIndex) -> bool {
        let record = &cluster.shards[shard.at()].record;
        record.owner == self.controller_name && record.incarnation == self.incarnation
    }
    /// The permit to decide for a shard; `None` unless this incarnation owns the shard under the
    /// permit's fencing token.
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
    /// The permits of all shards by shard index, so that loops over machines or placements look up
    /// each permit once.
    pub fn permits_by_shard<'p>(
        &self,
        cluster: &ClusterState,
        permits: &'p Permits,
    ) -> Vec<Option<&'p Permit>> {
        let shards = (0..cluster.shards.len()).map(ShardIndex::new);
        shards
            .map(|shard| self.permit(cluster, permits, shard))
            .collect()
    }
    /// Whether this incarnation owns each shard, by shard index.
    pub fn ownership_by_shard(&self, cluster: &ClusterState) -> Vec<bool> {
        let shards = (0..cluster.shards.len()).map(ShardIndex::new);
        shards.map(|shard| self.owns(cluster, shard)).collect()
    }
    /// True if this controller may renew the leases of machines with tasks.
    ///
    /// A controller that reaches neither the key-value store nor its peers may have missed
    /// cancellations, and a renewed lease lets a cancelled task run until the lease expires. So
    /// leases are renewed only while enough of `cancel_ms` remains for one more lease.
    pub fn may_renew(&self, cluster: &ClusterState, now: MonotonicMillis) -> bool {
        let age_ms = cluster.cancellation_watermark.age_ms(now);
        age_ms.is_some_and(|age| age <= self.max_watermark_age_ms)
    }
    /// True if this controller may start tasks: its view of the jobs may be stale, but it has
    /// received all cancellations up to a recent enough time.
    pub fn may_start(&self, cluster: &ClusterState, now: MonotonicMillis) -> bool {
        let max_age_ms = MAX_WATERMARK_AGE_FOR_STARTS_MS.min(self.max_watermark_age_ms);
        let age_ms = cluster.cancellation_watermark.age_ms(now);
        age_ms.is_some_and(|age| age <= max_age_ms)
    }
}
