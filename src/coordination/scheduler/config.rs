//! Parameters of scheduling decisions.

use crate::protocol::kv::Limits;
use crate::state::cluster_state::ClusterState;
use crate::state::units::Incarnation;
use std::cell::Cell;
use std::collections::HashMap;

/// What a controller decides by.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Name of this controller.
    pub controller_name: String,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Silence after which a machine gets nothing new, ms.
    pub unresponsive_ms: u64,
    /// Most tasks that wait in a machine's queue.
    pub queue_cap: usize,
    /// Wait after which a queued task may be claimed for any machine, ms.
    pub steal_after_ms: u64,
    /// Wait after which machines are reserved for a gang, ms.
    pub gang_reservation_after_ms: u64,
    /// Wait after which work for spot machines takes empty on-demand ones, ms.
    pub spot_patience_ms: u64,
    /// Part of the spot work expected during a boot that a capacity buffer is kept for.
    pub capacity_buffer_spot: f64,
    /// The same for work that must not run on spot machines.
    pub capacity_buffer_on_demand: f64,
    /// Silence after which a worker that only this owner responded to has killed its tasks, ms.
    pub lease_expiry_ms: u64,
    /// Age of the cancellation watermark from which on no lease of a machine with tasks is
    /// renewed, ms.
    pub max_watermark_age_ms: u64,
    /// Time in which a cancelled job's tasks have to be stopped, ms.
    pub cancel_ms: u64,
    /// Times in which jobs of a class are expected to finish, ms, the shortest first.
    pub completion_targets: HashMap<String, Vec<u64>>,
    /// Limits of the key-value store now, as the settings say.
    pub limits_now: Limits,
    /// Limits that come without notice.
    pub limits_next: Limits,
    /// Limits that its refusals have shown.
    pub limits_observed: Cell<Limits>,
}

impl SchedulerConfig {
    /// Limits that hold for what is written.
    ///
    /// Once every controller knows how to keep to those that come, nothing is written any more
    /// that only today's allow: what is stored and too large can't be written back later.
    pub fn limits(&self, cluster: &ClusterState) -> Limits {
        let now = self.limits_now.min(self.limits_observed.get());
        if cluster.record_format_v2 {
            now.min(self.limits_next)
        } else {
            now
        }
    }
}
