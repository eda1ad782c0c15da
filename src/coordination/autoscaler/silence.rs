//! How long a machine may be silent before it is taken for failed, and whether its zone is
//! partitioned instead.
//!
//! `scale_in_plan` goes by it.
//!
//! Invariant: a machine that may still talk to an older owner, or whose zone is likely
//! partitioned, has more time than one that its owner has surely lost.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, ZoneIndex};
use crate::state::units::MonotonicMillis;
use std::collections::{HashMap, HashSet};

/// Fewest machines of a zone of which a part can tell of a partition.
const MIN_MACHINES_OF_PARTITIONED_ZONE: u32 = 12;
/// A zone in which more than one in so many machines is silent is likely partitioned.
const PARTITIONED_ZONE_PART: u32 = 3;
/// Time in which a machine has to send its first heartbeat, beside the lease.
const FIRST_HEARTBEAT_MS: u64 = 20_000;

/// How long a machine may be silent before it is deleted.
pub struct SilenceLimits {
    /// For one that has shown its owner's fencing token.
    pub confirmed_ms: u64,
    /// The workers' lease.
    pub lease_ms: u64,
}

impl SilenceLimits {
    /// How much longer machines of a zone that is likely partitioned are waited for. Inside they
    /// go on, answered by the controllers there, and what runs on them would be lost with them.
    pub fn partition_allowance_ms(&self) -> u64 {
        self.lease_ms * 2
    }

    /// For a machine that may still talk to an older owner.
    pub(super) fn unconfirmed_ms(&self) -> u64 {
        self.confirmed_ms + self.lease_ms / 2
    }

    /// The limit of a machine. After a change of owner it may still talk to the old one, who
    /// does not know: until the new token has reached it, its silence here proves little.
    pub fn of(&self, cluster: &ClusterState, config: &SchedulerConfig, machine: &Machine) -> u64 {
        let token = cluster.shards[machine.shard.at()].record.fencing_token;
        let confirmed = if config.owns(cluster, machine.shard) {
            machine.heartbeat.fencing_token == token
        } else {
            machine.owner_status.fencing_token_confirmed
        };
        match machine.heartbeat.last_seen {
            None => self.lease_ms + FIRST_HEARTBEAT_MS,
            Some(_) if confirmed => self.confirmed_ms,
            Some(_) => self.unconfirmed_ms(),
        }
    }
}

/// Machines of a zone that have ever sent a heartbeat.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct ZoneMachineCounts {
    /// All of them.
    pub total: u32,
    /// Those that are silent now.
    pub silent: u32,
}

/// Zones of which so many machines are silent at once that the zone's network and not they will
/// have failed.
pub fn partitioned_zones(counts: &HashMap<ZoneIndex, ZoneMachineCounts>) -> HashSet<ZoneIndex> {
    let is_partitioned = |counts: &ZoneMachineCounts| {
        counts.total >= MIN_MACHINES_OF_PARTITIONED_ZONE
            && counts.silent * PARTITIONED_ZONE_PART > counts.total
    };
    let zones = counts.iter().filter(|(_, counts)| is_partitioned(counts));
    zones.map(|(zone, _)| *zone).collect()
}

/// How many machines of each zone have ever sent a heartbeat, and how many are silent now.
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
