//! Observation of a shard at one moment, as input to the state machine of its failover.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::MonotonicMillis;
use standby::failover::{Observation, Owner};
use standby::ids::Revision;

/// Time without a status update after which a peer is suspected to have failed. Peers send one each
/// second.
const SILENT_AFTER_MS: u64 = 2500;

/// The inputs from which this controller observes a shard.
pub struct ShardView<'a> {
    /// Cached state of the cluster.
    pub cluster: &'a ClusterState,
    /// Configuration with the name and the incarnation of this controller.
    pub config: &'a SchedulerConfig,
    /// Observed shard.
    pub shard: ShardIndex,
    /// Whether this controller is the standby of the shard.
    pub is_standby: bool,
    /// When the owner last sent a status update; `None` if the owner is not a peer or has sent
    /// none.
    pub owner_last_contact: Option<MonotonicMillis>,
    /// Current time.
    pub now: MonotonicMillis,
}

impl ShardView<'_> {
    /// Observation of the shard for the state machine of its failover.
    pub fn observe(&self) -> Observation {
        Observation {
            owner: self.owner(),
            is_standby: self.is_standby,
            known_revision: Revision(self.cluster.revision),
        }
    }

    fn owner(&self) -> Owner {
        let shard = &self.cluster.shards[self.shard.at()];
        if self.config.owns(self.cluster, self.shard) {
            return Owner::ThisController {
                fencing_token: shard.record.fencing_token,
                fence_revision: Revision(shard.version),
            };
        }
        if shard.record.owner.is_empty() {
            return Owner::Nobody;
        }
        let last_contact = self.owner_last_contact;
        Owner::OtherController {
            lease_alive: self.cluster.live_owner(self.shard).is_some(),
            silent: last_contact.is_none_or(|at| self.now.since(at) > SILENT_AFTER_MS),
            last_contact: last_contact.map(Into::into),
        }
    }
}
