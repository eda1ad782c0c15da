//! Limits on how long a machine may send no heartbeat before it is presumed failed, and detection
//! of zones whose machines are silent because the zone is partitioned from the network.
//!
//! Used by `scale_in_plan`.
//!
//! Invariant: the limit is longer for a machine that may still send heartbeats to a previous owner,
//! and for a machine in a zone that is likely partitioned, than for any other machine that has sent
//! a heartbeat under its current owner's fencing token.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, ZoneIndex};
use crate::state::units::MonotonicMillis;
use std::collections::{HashMap, HashSet};

/// Minimum number of machines in a zone for their silence to be evidence of a partition.
const MIN_MACHINES_OF_PARTITIONED_ZONE: u32 = 12;
/// A zone is presumed partitioned if more than 1/`SILENT_MACHINES_DIVISOR` of its machines are
/// silent.
const SILENT_MACHINES_DIVISOR: u32 = 3;
/// Time, in addition to the lease, within which a machine must send its first heartbeat, ms.
const FIRST_HEARTBEAT_GRACE_MS: u64 = 20_000;

/// Limits on how long a machine may send no heartbeat before it is deleted.
pub struct SilenceLimits {
    /// Limit for a machine whose newest heartbeat has its current owner's fencing token, ms.
    pub confirmed_ms: u64,
    /// Duration of a worker's lease, ms; the other limits are derived from it.
    pub lease_ms: u64,
}

impl SilenceLimits {
    /// Time by which the limit is extended for machines in a zone that is likely partitioned, ms.
    /// Such machines keep running, served by the controllers in their zone, and deleting them would
    /// lose the tasks that run on them.
    pub fn partition_allowance_ms(&self) -> u64 {
        self.lease_ms * 2
    }

    /// Limit for a machine that may still send heartbeats to a previous owner, ms.
    pub(super) fn unconfirmed_ms(&self) -> u64 {
        self.confirmed_ms + self.lease_ms / 2
    }

    /// Limit for one machine, ms. After a change of owner, the machine may still send heartbeats to
    /// the previous owner, which has not yet learned of the change. Until the machine has the new
    /// fencing token, its silence towards the new owner proves little, so its limit is longer.
    pub fn limit_ms(
        &self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        machine: &Machine,
    ) -> u64 {
        let token = cluster.shards[machine.shard.at()].record.fencing_token;
        let confirmed = if config.owns(cluster, machine.shard) {
            machine.heartbeat.fencing_token == token
        } else {
            machine.owner_status.fencing_token_confirmed
        };
        match machine.heartbeat.last_seen {
            None => self.lease_ms + FIRST_HEARTBEAT_GRACE_MS,
            Some(_) if confirmed => self.confirmed_ms,
            Some(_) => self.unconfirmed_ms(),
        }
    }
}

/// Counts of a zone's machines; only machines that have ever sent a heartbeat are counted.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct ZoneMachineCounts {
    /// Machines that have ever sent a heartbeat.
    pub total: u32,
    /// Machines that have sent heartbeats before, but none recently.
    pub silent: u32,
}

/// Zones in which so many machines are silent at once that a failure of the zone's network is more
/// likely than failures of the machines.
pub fn partitioned_zones(counts: &HashMap<ZoneIndex, ZoneMachineCounts>) -> HashSet<ZoneIndex> {
    let is_partitioned = |counts: &ZoneMachineCounts| {
        counts.total >= MIN_MACHINES_OF_PARTITIONED_ZONE
            && counts.silent * SILENT_MACHINES_DIVISOR > counts.total
    };
    let zones = counts.iter().filter(|(_, counts)| is_partitioned(counts));
    zones.map(|(zone, _)| *zone).collect()
}

/// Counts the machines of each zone that have ever sent a heartbeat, and those of them from which
/// none has arrived for longer than `unresponsive_ms`.
pub(super) fn machine_counts_by_zone(
    cluster: &ClusterState,
    unresponsive_ms: u64,
    now: MonotonicMillis,
) -> HashMap<ZoneIndex, ZoneMachineCounts> {
    let mut counts: HashMap<ZoneIndex, ZoneMachineCounts> = HashMap::new();
    for (_, machine) in cluster.all_machines() {
        let Some(last_heartbeat) = machine.heartbeat.last_seen else {
            continue;
        };
        let zone = counts.entry(machine.zone).or_default();
        zone.total += 1;
        zone.silent += u32::from(now.since(last_heartbeat) > unresponsive_ms);
    }
    counts
}
