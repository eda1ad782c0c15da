//! Pass context: the inputs that all steps of a scheduling pass share.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::job::Job;
use crate::state::names::ShardIndex;
use crate::state::units::MonotonicMillis;
use standby::permit::{Permit, Permits};

/// The inputs of a scheduling pass. They do not change during the pass; the changes that the pass
/// makes go into its draft.
#[derive(Clone, Copy)]
pub struct PassContext<'a> {
    /// The cached cluster state.
    pub cluster: &'a ClusterState,
    /// Parameters of scheduling decisions.
    pub config: &'a SchedulerConfig,
    /// The permits that this controller holds.
    pub permits: &'a Permits,
    /// Time of the monotonic clock.
    pub now: MonotonicMillis,
    /// Wall-clock time, ms.
    pub wall_ms: u64,
}

impl<'a> PassContext<'a> {
    /// The permit to decide for a shard; `None` if this controller does not hold it.
    pub fn permit(&self, shard: ShardIndex) -> Option<&'a Permit> {
        self.config.permit(self.cluster, self.permits, shard)
    }
    /// The permit of the job's planning shard, the shard that its id hashes to. This permit covers
    /// decisions that concern the whole job, such as the placement of a gang. `None` if this
    /// controller does not hold it.
    pub fn planning_permit(&self, job: &Job) -> Option<&'a Permit> {
        self.permit(self.cluster.planning_shard(&job.id))
    }
    /// The permits of all shards by shard index; `None` for a shard for which this controller holds
    /// no permit.
    pub fn permits_by_shard(&self) -> Vec<Option<&'a Permit>> {
        self.config.permits_by_shard(self.cluster, self.permits)
    }
}
