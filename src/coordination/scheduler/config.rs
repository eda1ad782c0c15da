//! Scheduler configuration: the parameters of all scheduling decisions.

use crate::protocol::kv::Limits;
use crate::state::cluster_state::ClusterState;
use crate::state::units::Incarnation;
use std::cell::Cell;
use std::collections::HashMap;

/// Parameters of a controller's scheduling decisions.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Name of this controller.
    pub controller_name: String,
    /// Incarnation of this controller's process.
    pub incarnation: Incarnation,
    /// Time since the last heartbeat after which a machine gets no new tasks, ms.
    pub unresponsive_ms: u64,
    /// Queue length at which no further task is bound to a machine without free capacity.
    pub queue_cap: usize,
    /// Time in a queue after which a task may be claimed for any machine, ms.
    pub steal_after_ms: u64,
    /// Waiting time after which machines are reserved for a gang, ms.
    pub gang_reservation_after_ms: u64,
    /// Waiting time after which a task that may run on spot machines may use an empty on-demand
    /// machine, ms. This time applies in full to machine types whose on-demand price is at least
    /// four times the spot price.
    pub spot_patience_ms: u64,
    /// Capacity to keep free for tasks that may run on spot machines, as a factor of the tasks
    /// expected while a machine boots.
    pub capacity_buffer_spot: f64,
    /// The same factor for tasks that must not run on spot machines.
    pub capacity_buffer_on_demand: f64,
    /// Time without a heartbeat or response after which a worker has killed its tasks, ms. This
    /// proves the tasks dead only if the worker has accepted this owner's fencing token, so that no
    /// previous owner renews the worker's lease.
    pub lease_expiry_ms: u64,
    /// Maximum age of the cancellation watermark at which the lease of a machine with tasks is
    /// still renewed, ms.
    pub max_watermark_age_ms: u64,
    /// Time within which all tasks of a cancelled job have to be stopped, ms.
    pub cancel_ms: u64,
    /// Completion targets by job class: times within which a job should finish, ms, ascending.
    pub completion_targets: HashMap<String, Vec<u64>>,
    /// Limits of the key-value store that are in force now according to the settings.
    pub limits_now: Limits,
    /// Limits of the key-value store that may take effect at any time, without notice; unlimited
    /// where the settings announce none.
    pub limits_next: Limits,
    /// Limits derived from transactions that the key-value store has refused; unlimited until a
    /// transaction is refused for its size.
    pub limits_observed: Cell<Limits>,
}

impl SchedulerConfig {
    /// The limits that all writes keep to.
    ///
    /// Once every controller can read record format 2, which fits records into smaller limits, the
    /// announced limits are kept as well: a stored record that exceeds them could not be written
    /// back after they take effect.
    pub fn limits(&self, cluster: &ClusterState) -> Limits {
        let now = self.limits_now.min(self.limits_observed.get());
        if cluster.record_format_v2 {
            now.min(self.limits_next)
        } else {
            now
        }
    }
}
