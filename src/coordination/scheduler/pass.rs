//! What every step of a scheduling pass looks at.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::job::Job;
use crate::state::names::ShardIndex;
use crate::state::units::MonotonicMillis;
use standby::permit::{Permit, Permits};

/// The inputs of a scheduling pass. None of them changes during the pass: what the pass changes
/// goes into its draft.
#[derive(Clone, Copy)]
pub struct PassContext<'a> {
    /// The cached cluster state.
    pub cluster: &'a ClusterState,
    /// Parameters of the decisions.
    pub config: &'a SchedulerConfig,
    /// The permits that this controller holds.
    pub permits: &'a Permits,
    /// Time of the steady clock.
    pub now: MonotonicMillis,
    /// Time of day, ms.
    pub wall_ms: u64,
}

impl<'a> PassContext<'a> {
    /// The permit to decide for a shard, if this controller holds it.
    pub fn permit(&self, shard: ShardIndex) -> Option<&'a Permit> {
        self.config.permit(self.cluster, self.permits, shard)
    }
    /// The permit to decide for what a job has beside its machines: the one of the shard that its
    /// name maps to.
    pub fn planning_permit(&self, job: &Job) -> Option<&'a Permit> {
        self.permit(self.cluster.planning_shard(&job.id))
    }
    /// The permits of all shards, by index: for loops over machines and placements.
    pub fn permits_by_shard(&self) -> Vec<Option<&'a Permit>> {
        self.config.permitted(self.cluster, self.permits)
    }
}
