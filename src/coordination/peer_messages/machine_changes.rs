//! Machines that the autoscaler removes: cordoned first, deleted later.
//!
//! Called by the autoscaler on the controller that runs it, and by `requests` on that controller's
//! peers. Invariant: a machine is cordoned for deletion only by its owner, and only while nothing
//! is placed on it.

use crate::coordination::controller::Controller;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::names::MachineIndex;

/// Cordons those of the machines that this controller owns and that have no placements; returns
/// their names.
pub fn cordon(controller: &Controller, machines: &[String]) -> Vec<String> {
    let mut cluster = controller.cluster.borrow_mut();
    let mut cordoned = Vec::new();
    for name in machines {
        let Some(machine_index) = cluster.machine_names.find(name) else {
            continue;
        };
        if !may_cordon(&cluster, &controller.config, machine_index) {
            continue;
        }
        if let Some(machine) = cluster.machine_mut(machine_index) {
            machine.cordon();
            cordoned.push(name.clone());
        }
    }
    cordoned
}

/// True if this controller owns the machine and nothing is placed on it.
fn may_cordon(cluster: &ClusterState, config: &SchedulerConfig, machine: MachineIndex) -> bool {
    let owned = cluster
        .machine(machine)
        .is_some_and(|m| config.owns(cluster, m.shard));
    owned && cluster.placed_on(machine).is_empty()
}

/// Records that the cloud has deleted these machines, which proves that no task runs on them.
pub fn mark_machines_deleted(controller: &Controller, machines: &[String]) {
    let mut cluster = controller.cluster.borrow_mut();
    for name in machines {
        let machine_index = cluster.intern_machine(name);
        cluster.mark_deleted(machine_index);
    }
    controller.scheduling.notify();
}
