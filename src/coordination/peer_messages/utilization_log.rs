//! Debug log lines on the utilization of this controller's machines by type, and on waiting work.
//!
//! Called by `status_updates` every few rounds. This module only reads the cluster state.

use crate::coordination::controller::Controller;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::MachineType;
use crate::state::names::MachineTypeIndex;
use crate::state::units::Resources;
use std::collections::BTreeMap;

/// Utilization of the machines of one type.
#[derive(Default)]
struct Utilization {
    machines: usize,
    empty_machines: usize,
    tasks: usize,
    free: Resources,
}

/// Waiting jobs and tasks of one class.
#[derive(Default)]
struct WaitingWork {
    jobs: u32,
    tasks: u32,
}

/// Writes the log lines on utilization, waiting work and poll durations.
pub(super) fn write(controller: &Controller) {
    if log::log_enabled!(log::Level::Debug) {
        log_utilization(controller);
        log_waiting_work(&controller.cluster.borrow());
    }
    if let Some(summary) = controller.metrics.take_summary() {
        log::debug!("time taken by background tasks: {summary}");
    }
}

/// Writes the log line with the counts of events since the last such line.
pub(super) fn write_event_counts(controller: &Controller) {
    if let Some(summary) = controller.events.take_summary() {
        log::info!("events counted: {summary}");
    }
}

fn log_utilization(controller: &Controller) {
    let cluster = controller.cluster.borrow();
    for (index, machine_type) in &cluster.machine_types {
        let used = utilization(controller, &cluster, *index, machine_type);
        log::debug!(
            "utilization: machine_type={} machines={} empty_machines={} tasks={} free_cpus={} \
             free_gpus={} free_memory_gb={}",
            machine_type.description.name,
            used.machines,
            used.empty_machines,
            used.tasks,
            used.free.cpu / 1000,
            used.free.gpu / 1000,
            used.free.mem / 1000
        );
    }
}

/// Sums up this controller's schedulable machines of a type.
fn utilization(
    controller: &Controller,
    cluster: &ClusterState,
    index: MachineTypeIndex,
    machine_type: &MachineType,
) -> Utilization {
    let config = &controller.config;
    let mut sum = Utilization::default();
    for (machine_index, machine) in cluster.all_machines() {
        let own = machine.machine_type == index && config.owns(cluster, machine.shard);
        if !own || !machine.is_schedulable(controller.now(), config.unresponsive_ms) {
            continue;
        }
        let free = cluster.free_on(machine_index).unwrap_or_default();
        sum.machines += 1;
        sum.empty_machines += usize::from(free == machine_type.capacity);
        sum.tasks += cluster.placed_on(machine_index).len();
        sum.free = sum.free.plus(free);
    }
    sum
}

fn log_waiting_work(cluster: &ClusterState) {
    let mut by_class: BTreeMap<&str, WaitingWork> = BTreeMap::new();
    for (_, job) in cluster.active_jobs() {
        let (tasks, Some(spec)) = (job.waiting_count(), &job.spec) else {
            continue;
        };
        if tasks > 0 {
            let waiting = by_class.entry(&spec.submitted.class).or_default();
            waiting.jobs += 1;
            waiting.tasks += tasks;
        }
    }
    for (class, waiting) in by_class {
        log::debug!(
            "work waiting: class={class} jobs={} tasks={}",
            waiting.jobs,
            waiting.tasks
        );
    }
}
