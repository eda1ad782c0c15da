//! Status updates: the state of machines that each owner broadcasts to its peers.
//!
//! `cli` starts the background task [`run`]; `requests` calls [`apply_machine_statuses`] for each
//! update of a peer; the autoscaler calls [`silence_ms`].
//!
//! Invariant: a machine's state is accepted only from the owner of its shard, and never replaces
//! this controller's own observations of the machines that it owns.

use super::{gang_reservations, utilization_log};
use crate::coordination::controller::Controller;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::preemption_round::preempt_for_waiting;
use crate::coordination::scheduler::queues;
use crate::protocol::peers::{MachineStatus, PeerRequest};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::MonotonicMillis;
use crate::transport::TransportError;
use std::rc::Rc;

/// Time between two broadcasts.
const STATUS_INTERVAL_MS: u64 = 1000;
/// Maximum number of machines in one frame of a status update. A single frame for a large fleet
/// would exceed the frame limit and be refused.
const MACHINES_PER_STATUS: usize = 128;
/// Rounds between two log lines on utilization.
const UTILIZATION_LOG_ROUNDS: u64 = 15;
/// Rounds between two log lines with the counts of events.
const EVENT_LOG_ROUNDS: u64 = 60;

/// Background task: updates queues, gang reservations and preemptions, and broadcasts the status.
pub async fn run(controller: Rc<Controller>) {
    for round in 0u64.. {
        controller.tick(STATUS_INTERVAL_MS, None).await;
        if round.is_multiple_of(UTILIZATION_LOG_ROUNDS) {
            utilization_log::write(&controller);
        }
        if round.is_multiple_of(EVENT_LOG_ROUNDS) {
            utilization_log::write_event_counts(&controller);
        }
        queues::prune_queues(&controller);
        gang_reservations::reserve_for_gangs(&controller);
        preempt_for_waiting(&controller);
        broadcast_status(&controller);
    }
}

/// Sends the state of this controller's machines to all peers, in a separate async task for each
/// peer, so that a peer that hangs does not delay the others.
fn broadcast_status(controller: &Rc<Controller>) {
    let requests: Rc<[PeerRequest]> = current_status(controller).into();
    for peer in 0..controller.peers.len() {
        let update = send_status(controller.clone(), peer, requests.clone());
        controller.executor.spawn(update).detach();
    }
}

fn current_status(controller: &Controller) -> Vec<PeerRequest> {
    let machines = own_machine_statuses(
        &controller.cluster.borrow(),
        &controller.config,
        controller.now(),
        |shard| controller.observing_since(shard),
    );
    let sender = SenderStatus {
        name: &controller.config.controller_name,
        kv_reachable: controller.kv.is_reachable(),
        workers_reachable: controller.workers_reachable(),
    };
    status_requests(&sender, &machines)
}

/// Sends the frames of one status update to one peer, and stops at the first that fails.
async fn send_status(controller: Rc<Controller>, peer: usize, requests: Rc<[PeerRequest]>) {
    let peer = &controller.peers[peer];
    for request in requests.iter() {
        let response = peer.client.call(request, STATUS_INTERVAL_MS).await;
        let refused = response
            .as_ref()
            .is_err_and(TransportError::is_connection_refused);
        peer.record_connection_refused(refused);
        if response.is_err() {
            break;
        }
    }
}

/// The status of all machines whose shards this controller owns.
///
/// `observing_since` returns the time since which this controller could have received heartbeats
/// from the machines of a shard.
pub fn own_machine_statuses(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    now: MonotonicMillis,
    observing_since: impl Fn(ShardIndex) -> Option<MonotonicMillis>,
) -> Vec<MachineStatus> {
    let owned = config.ownership_by_shard(cluster);
    cluster
        .all_machines()
        .filter(|(_, machine)| owned[machine.shard.at()])
        .map(|(_, machine)| machine_status(cluster, machine, observing_since(machine.shard), now))
        .collect()
}

fn machine_status(
    cluster: &ClusterState,
    machine: &Machine,
    observing_since: Option<MonotonicMillis>,
    now: MonotonicMillis,
) -> MachineStatus {
    let owner_token = cluster.shards[machine.shard.at()].record.fencing_token;
    let silent_ms = silence_ms(
        machine.heartbeat.last_seen,
        machine.discovered_at,
        observing_since,
        now,
    );
    MachineStatus {
        name: machine.name.to_string(),
        addr: machine.addr.clone(),
        machine_type: cluster
            .machine_type_names
            .name(machine.machine_type)
            .to_string(),
        zone: cluster.zone_names.name(machine.zone).to_string(),
        spot: machine.spot,
        silent_ms,
        has_sent_heartbeat: machine.heartbeat.last_seen.is_some(),
        fencing_token_confirmed: machine.heartbeat.fencing_token == owner_token,
        queue_length: machine.queue.len().min(usize::from(u8::MAX)) as u8,
        cordoned: machine.decisions.cordoned
            || machine.heartbeat.preemption_deadline.is_some()
            || machine.health.unreachable_since.is_some(),
        quarantined: machine.health.quarantined,
    }
}

/// Time for which an owner has received no heartbeat from a machine, in milliseconds.
///
/// The time counts from the last heartbeat, or from `observing_since` if the owner could receive
/// the machine's heartbeats only after that.
pub fn silence_ms(
    last_heartbeat: Option<MonotonicMillis>,
    discovered_at: MonotonicMillis,
    observing_since: Option<MonotonicMillis>,
    now: MonotonicMillis,
) -> u64 {
    let heard = last_heartbeat.unwrap_or(discovered_at);
    let observing = observing_since.unwrap_or(discovered_at);
    now.since(heard.max(observing))
}

/// The sender's own health in a status update.
#[derive(Clone, Copy, Debug)]
pub struct SenderStatus<'a> {
    /// Name of the controller.
    pub name: &'a str,
    /// Whether the controller reaches the key-value store.
    pub kv_reachable: bool,
    /// Whether workers reach the controller.
    pub workers_reachable: bool,
}

/// The requests of a status update, split into frames. There is at least one, so that a controller
/// without machines still shows that it is alive.
pub fn status_requests(sender: &SenderStatus, machines: &[MachineStatus]) -> Vec<PeerRequest> {
    let request = |machines: &[MachineStatus]| PeerRequest::Status {
        sender: sender.name.to_string(),
        kv_reachable: sender.kv_reachable,
        workers_reachable: sender.workers_reachable,
        machines: machines.to_vec(),
    };
    if machines.is_empty() {
        return vec![request(&[])];
    }
    machines.chunks(MACHINES_PER_STATUS).map(request).collect()
}

/// Applies a peer's status update.
///
/// Machines are updated only if the sender owns their shard. A controller that has lost its shards
/// without noticing continues to send updates. It reports the machines as silent, since they send
/// their heartbeats to the new owner; applying these updates would get the machines deleted.
pub fn apply_machine_statuses(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    sender: &str,
    statuses: Vec<MachineStatus>,
    now: MonotonicMillis,
) {
    for status in statuses {
        let learned = cluster.learn_machine(
            &status.name,
            &status.machine_type,
            &status.zone,
            status.spot,
            now,
        );
        let Some(machine_index) = learned else {
            continue;
        };
        let from_owner = cluster
            .machine(machine_index)
            .is_some_and(|machine| is_other_owner(cluster, config, machine.shard, sender));
        if !from_owner {
            continue;
        }
        if let Some(machine) = cluster.machine_mut(machine_index) {
            apply_machine_status(machine, status, now);
        }
    }
}

/// True if the sender, and not this controller, owns the shard.
fn is_other_owner(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    shard: ShardIndex,
    sender: &str,
) -> bool {
    cluster.shards[shard.at()].record.owner == sender && !config.owns(cluster, shard)
}

fn apply_machine_status(machine: &mut Machine, status: MachineStatus, now: MonotonicMillis) {
    machine.addr = status.addr;
    // For a booting machine, which has sent no heartbeat yet, `silent_ms` is only the time for
    // which its owner has waited.
    if status.has_sent_heartbeat {
        let last_heartbeat = now.0.saturating_sub(status.silent_ms);
        machine.heartbeat.last_seen = Some(MonotonicMillis(last_heartbeat));
    }
    machine.owner_status.fencing_token_confirmed = status.fencing_token_confirmed;
    machine.owner_status.queue_length = status.queue_length;
    machine.owner_status.cordoned = status.cordoned;
    machine.health.quarantined = status.quarantined;
}
