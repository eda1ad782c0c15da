//! Supply of machines: capacity that is available to waiting tasks, on machines that are running,
//! booting or requested.
//!
//! Pure functions of the cluster state, called by `provisioning` before each plan.
//!
//! Invariant: requested machines are counted until the request is answered, so that no machine is
//! requested twice for the same tasks.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::free_capacity::free_capacity;
use crate::protocol::cloud::ListedMachine;
use crate::state::cluster_state::{ClusterState, ProvisioningRecord};
use crate::state::machine::Machine;
use crate::state::names::{MachineIndex, MachineTypeIndex, ZoneIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis, Resources};
use std::collections::{HashMap, HashSet};

/// Multiple of its type's usual boot time after which a booting machine is no longer counted.
const OVERDUE_BOOT_FACTOR: f64 = 1.7;

/// A kind of machine that the cloud offers: one type in one zone, either spot or on-demand.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct Pool {
    /// Machine type.
    pub machine_type: MachineTypeIndex,
    /// Zone.
    pub zone: ZoneIndex,
    /// True for spot machines, false for on-demand machines.
    pub spot: bool,
}

/// The capacity of one machine that is running, booting or requested.
#[derive(Clone, Debug)]
pub struct Supply {
    /// Pool that the machine belongs to.
    pub pool: Pool,
    /// Capacity that no task uses; a planner reduces it as it places tasks on the machine.
    pub free: Resources,
    /// The machine's index; `None` until the cloud has answered the request for it.
    pub machine: Option<MachineIndex>,
}

/// The capacity of all machines that are running, booting or requested, in the order in which the
/// scale-out planner uses them.
pub fn supply(
    cluster: &ClusterState,
    listed: &HashMap<String, ListedMachine>,
    unresponsive_ms: u64,
    now: MonotonicMillis,
) -> Vec<Supply> {
    let mut machines = named_machines(cluster, listed, unresponsive_ms, now);
    machines.extend(unanswered_requests(cluster));
    // Spot machines are used first, as in the scheduler. Within each kind, machines with less free
    // capacity are used first, so that other machines become idle.
    machines.sort_by_key(|s| (!s.pool.spot, s.free.gpu, s.free.cpu));
    machines
}

/// The capacity of running and booting machines whose names the cloud has returned.
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
    // The machine list lags: it may not contain a machine that was just provisioned.
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

/// True if a machine is not cordoned, has sent no heartbeat yet and its boot is not overdue. An
/// overdue machine may never come up, so waiting tasks must not be planned for it.
fn is_booting(cluster: &ClusterState, machine: &Machine, now: MonotonicMillis) -> bool {
    let machine_type = cluster.machine_types.get(&machine.machine_type);
    let overdue_ms = machine_type.map_or(0, |machine_type| {
        millis_from_seconds(machine_type.description.boot_s * OVERDUE_BOOT_FACTOR)
    });
    machine.heartbeat.last_seen.is_none()
        && now.since(machine.discovered_at) < overdue_ms
        && !machine.is_cordoned()
}

/// The machines of unanswered requests. The cloud may have provisioned all of them.
fn unanswered_requests(cluster: &ClusterState) -> impl Iterator<Item = Supply> + '_ {
    cluster
        .provisioning_requests
        .values()
        .map(|request| &request.record)
        .filter(|record| record.machines.is_empty())
        .filter_map(|record| Some((record.count, requested_machine(cluster, record)?)))
        .flat_map(|(count, machine)| (0..count).map(move |_| machine.clone()))
}

/// An empty machine as requested; `None` if its type or zone is unknown to this controller.
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
