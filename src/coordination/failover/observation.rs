//! What a controller observes of a shard at one moment, for the state machine of its failover.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::MonotonicMillis;
use standby::failover::{Observation, Owner};
use standby::ids::Revision;

/// Silence of a peer after which it is suspected: its status updates come once a second.
const SILENT_AFTER_MS: u64 = 2500;

/// A shard in the view of this controller.
pub struct ShardView<'a> {
    /// The records.
    pub cluster: &'a ClusterState,
    /// Who this controller is.
    pub config: &'a SchedulerConfig,
    /// The shard.
    pub shard: ShardIndex,
    /// This controller is its standby.
    pub is_standby: bool,
    /// When its owner, if that is a peer, last sent a status update.
    pub owner_last_contact: Option<MonotonicMillis>,
    /// Now.
    pub now: MonotonicMillis,
}

impl ShardView<'_> {
    /// What the state machine of the shard's failover goes by.
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
