//! Probes of workers: whether any worker reaches this controller, and whether machines marked as
//! unreachable can be reached again.
//!
//! Called by each round of `worker_connectivity::run`. `heartbeats::reachability` marks machines as
//! unreachable. Invariant: an unreachable machine gets no tasks. It is either reached again or,
//! after the duration of a lease, quarantined, so that the autoscaler deletes it.

use super::direct_commands::fetch_status;
use crate::coordination::controller::{tasks, Controller};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, MachineIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use std::rc::Rc;

/// Maximum number of workers to probe per round while no worker has contacted this controller
/// recently.
const WORKERS_PER_PROBE: usize = 4;

/// An unreachable machine whose status is to be queried.
#[derive(Clone, Debug)]
pub struct ProbeTarget {
    /// Index of the machine.
    pub machine: MachineIndex,
    /// Address of the machine's worker; empty if unknown.
    pub addr: String,
}

/// Probes a few workers if none has contacted this controller recently. A controller that gets no
/// response is cut off from its workers, and hands its shards over.
pub(super) fn probe_any_workers(controller: &Rc<Controller>) {
    let now = controller.now();
    if !controller.worker_probe_needed(now) {
        return;
    }
    for addr in random_worker_addresses(&controller.cluster.borrow()) {
        let probe = probe_worker(controller.clone(), addr);
        if !tasks::spawn_with_worker_connection(controller, probe) {
            return;
        }
    }
}

fn random_worker_addresses(cluster: &ClusterState) -> Vec<String> {
    let heard = cluster
        .all_machines()
        .filter(|(_, m)| !m.addr.is_empty() && m.heartbeat.last_seen.is_some());
    let chosen = fastrand::choose_multiple(heard, WORKERS_PER_PROBE);
    chosen.into_iter().map(|(_, m)| m.addr.clone()).collect()
}

async fn probe_worker(controller: Rc<Controller>, addr: String) {
    if fetch_status(&addr).await.is_some() {
        controller.record_worker_contact();
    }
}

/// Queries the status of the unreachable machines of owned shards.
pub(super) fn probe_unreachable_machines(controller: &Rc<Controller>, now: MonotonicMillis) {
    let lease_ms = millis_from_seconds(controller.platform.settings.workers.lease_s);
    let targets = unreachable_machines(
        &mut controller.cluster.borrow_mut(),
        &controller.config,
        lease_ms,
        now,
    );
    for target in targets {
        let probe = probe_machine(controller.clone(), target);
        if !tasks::spawn_with_worker_connection(controller, probe) {
            break;
        }
    }
}

/// Unreachable machines of owned shards, to be probed. Those that have been unreachable for longer
/// than a lease are quarantined instead, so that the autoscaler deletes them.
pub fn unreachable_machines(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    lease_ms: u64,
    now: MonotonicMillis,
) -> Vec<ProbeTarget> {
    let owned = config.ownership_by_shard(cluster);
    let mut targets = Vec::new();
    for machine_index in (0..cluster.machines.len()).map(MachineIndex::new) {
        let Some(machine) = cluster.machine_mut(machine_index) else {
            continue;
        };
        if !owned[machine.shard.at()] || machine.health.unreachable_since.is_none() {
            continue;
        }
        quarantine_if_unreachable_too_long(machine, lease_ms, now);
        if !machine.health.quarantined {
            targets.push(ProbeTarget {
                machine: machine_index,
                addr: machine.addr.clone(),
            });
        }
    }
    targets
}

fn quarantine_if_unreachable_too_long(machine: &mut Machine, limit_ms: u64, now: MonotonicMillis) {
    let unreachable_ms = machine.health.unreachable_since.map_or(0, |t| now.since(t));
    if unreachable_ms > limit_ms && !machine.health.quarantined {
        log::warn!(
            "machine quarantined after being unreachable: machine={} elapsed_ms={unreachable_ms}",
            machine.name
        );
        machine.health.quarantined = true;
    }
}

/// Probes an unreachable machine, and marks it as reachable if it responds with success.
async fn probe_machine(controller: Rc<Controller>, target: ProbeTarget) {
    let worker = fetch_status(&target.addr).await;
    if !worker.is_some_and(|worker| worker.is_ok()) {
        return;
    }
    let mut cluster = controller.cluster.borrow_mut();
    if let Some(machine) = cluster.machine_mut(target.machine) {
        log::info!("machine reachable again: machine={}", machine.name);
        machine.health.mark_reachable(controller.now());
    }
}
