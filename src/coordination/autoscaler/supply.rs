//! The supply: machines that waiting tasks can count on, whether they are up, boot or were
//! requested.
//!
//! `provisioning` asks for it before each plan. Pure functions of the cluster state.
//!
//! Invariant: what was requested counts until the request is answered, so that no machine is
//! requested twice for the same tasks.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::free_capacity::free_capacity;
use crate::protocol::cloud::ListedMachine;
use crate::state::cluster_state::{ClusterState, ProvisioningRecord};
use crate::state::machine::Machine;
use crate::state::names::{MachineIndex, MachineTypeIndex, ZoneIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis, Resources};
use std::collections::{HashMap, HashSet};

/// Boot times after which a machine is no longer counted on.
const OVERDUE_BOOT_TIMES: f64 = 1.7;

/// A kind of machine that the cloud offers.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct Pool {
    /// Type.
    pub machine_type: MachineTypeIndex,
    /// Zone.
    pub zone: ZoneIndex,
    /// Spot.
    pub spot: bool,
}

/// A machine that is up or on its way.
#[derive(Clone, Debug)]
pub struct Supply {
    /// What it is.
    pub pool: Pool,
    /// Capacity that waiting tasks may use.
    pub free: Resources,
    /// Its index, if the cloud has named it.
    pub machine: Option<MachineIndex>,
}

/// All machines that are up or on their way.
pub fn supply(
    cluster: &ClusterState,
    listed: &HashMap<String, ListedMachine>,
    unresponsive_ms: u64,
    now: MonotonicMillis,
) -> Vec<Supply> {
    let mut out = named_machines(cluster, listed, unresponsive_ms, now);
    out.extend(unanswered_requests(cluster));
    // Spot first, as the planner does; the fullest first, so that others empty out.
    out.sort_by_key(|s| (!s.pool.spot, s.free.gpu, s.free.cpu));
    out
}

/// Machines that the cloud has named and that are up or boot.
fn named_machines(
    cluster: &ClusterState,
    listed: &HashMap<String, ListedMachine>,
    unresponsive_ms: u64,
    now: MonotonicMillis,
) -> Vec<Supply> {
    let free = free_capacity(cluster, &DraftTransaction::default());
    let provisioned: HashSet<&str> = cluster
        .provisioning_requests
        .values()
        .flat_map(|request| request.record.machines.iter().map(String::as_str))
        .collect();
    // The list lags behind: a machine that was just provisioned may not be in it yet.
    let exists = |machine: &Machine| {
        let listed = listed.get(&*machine.name);
        provisioned.contains(&*machine.name) || listed.is_some_and(|l| !l.has_failed())
    };
    cluster
        .all_machines()
        .filter(|(_, machine)| {
            machine.is_schedulable(now, unresponsive_ms)
                || is_booting(cluster, machine, now) && exists(machine)
        })
        .filter_map(|(machine_index, machine)| {
            Some(Supply {
                pool: Pool {
                    machine_type: machine.machine_type,
                    zone: machine.zone,
                    spot: machine.spot,
                },
                free: free.get(machine_index)?,
                machine: Some(machine_index),
            })
        })
        .collect()
}

/// True if a machine has sent no heartbeat yet and is not overdue. One that is long overdue may
/// never come up: what waits is not to wait for it.
fn is_booting(cluster: &ClusterState, machine: &Machine, now: MonotonicMillis) -> bool {
    let machine_type = cluster.machine_types.get(&machine.machine_type);
    let overdue_ms = machine_type.map_or(0, |machine_type| {
        millis_from_seconds(machine_type.description.boot_s * OVERDUE_BOOT_TIMES)
    });
    machine.heartbeat.last_seen.is_none()
        && now.since(machine.discovered_at) < overdue_ms
        && !machine.is_cordoned()
}

/// Requests without an answer may have provisioned all that they ask for.
fn unanswered_requests(cluster: &ClusterState) -> impl Iterator<Item = Supply> + '_ {
    cluster
        .provisioning_requests
        .values()
        .map(|request| &request.record)
        .filter(|record| record.machines.is_empty())
        .filter_map(|record| Some((record.count, requested_machine(cluster, record)?)))
        .flat_map(|(count, machine)| (0..count).map(move |_| machine.clone()))
}

/// A machine as a request asks for it; `None` if this controller does not know the type or zone.
fn requested_machine(cluster: &ClusterState, record: &ProvisioningRecord) -> Option<Supply> {
    let machine_type = cluster.machine_type_names.find(&record.machine_type)?;
    let zone = cluster.zone_names.find(&record.zone)?;
    let capacity = cluster.machine_types.get(&machine_type)?.capacity;
    Some(Supply {
        pool: Pool {
            machine_type,
            zone,
            spot: record.spot,
        },
        free: capacity,
        machine: None,
    })
}
