//! The handler of requests from peers.
//!
//! `cli` passes each decoded request to [`handle`], which dispatches it to the responsible module.
//! Invariant: no handler blocks or awaits, so requests are handled one after the other.

use super::{gang_reservations, machine_changes, status_updates};
use crate::coordination::controller::Controller;
use crate::coordination::scheduler::queues::{self, QueueEnd};
use crate::coordination::scheduler::work_stealing;
use crate::coordination::{cancellations, replication};
use crate::protocol::peers::{MachineStatus, PeerRequest, PeerResponse, TaskRef};
use std::rc::Rc;

/// Handles a peer's request, and records its duration in the metrics.
pub fn handle(controller: &Rc<Controller>, request: PeerRequest) -> PeerResponse {
    let name = match request {
        PeerRequest::Status { .. } => "status updates of peers",
        PeerRequest::StealWork { .. } => "work stealing by peers",
        _ => "other requests of peers",
    };
    controller
        .metrics
        .time(name, || respond(controller, request))
}

fn respond(controller: &Rc<Controller>, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Status {
            sender,
            kv_reachable,
            workers_reachable,
            machines,
        } => {
            record_peer_health(controller, &sender, kv_reachable, workers_reachable);
            apply_status(controller, &sender, machines)
        }
        PeerRequest::EnqueueTasks { tasks } => enqueue_tasks(controller, &tasks),
        PeerRequest::StealWork {
            idle_machine,
            machines,
        } => hand_over_task(controller, &idle_machine, &machines),
        PeerRequest::ReserveMachines { job, machines } => {
            gang_reservations::record_reservation(controller, &job, &machines);
            PeerResponse::Acknowledged
        }
        PeerRequest::Cordon { machines } => {
            PeerResponse::Cordoned(machine_changes::cordon(controller, &machines))
        }
        PeerRequest::MachinesDeleted { machines } => {
            machine_changes::mark_machines_deleted(controller, &machines);
            PeerResponse::Acknowledged
        }
        PeerRequest::CancelledJobs { jobs } => {
            cancellations::handle_cancelled_jobs(controller, &jobs)
        }
        PeerRequest::Replicate { sender, message } => {
            replication::handle_message(controller, &sender, &message)
        }
        PeerRequest::ShardStatuses => PeerResponse::ShardStatuses {
            shards: replication::shard_statuses(controller),
        },
    }
}

/// Records a peer's report on its own health. Shard ownership depends on whether workers reach the
/// peer, so a change of that value wakes the membership task immediately.
fn record_peer_health(
    controller: &Controller,
    sender: &str,
    kv_reachable: bool,
    workers_reachable: bool,
) {
    let Some(peer) = controller.peer(sender) else {
        return;
    };
    if peer.record_status(controller.now(), kv_reachable, workers_reachable) {
        controller.membership.notify();
    }
}

fn apply_status(
    controller: &Controller,
    sender: &str,
    machines: Vec<MachineStatus>,
) -> PeerResponse {
    status_updates::apply_machine_statuses(
        &mut controller.cluster.borrow_mut(),
        &controller.config,
        sender,
        machines,
        controller.now(),
    );
    PeerResponse::Acknowledged
}

/// Adds tasks to the queues of the machines that a peer has chosen for them.
fn enqueue_tasks(controller: &Controller, tasks: &[(String, TaskRef)]) -> PeerResponse {
    for (machine, task) in tasks {
        let machine_index = controller.cluster.borrow().machine_names.find(machine);
        if let Some(machine_index) = machine_index {
            queues::enqueue(controller, machine_index, task, QueueEnd::Back);
        }
    }
    controller.scheduling.notify();
    PeerResponse::Acknowledged
}

/// Hands the first task in these machines' queues that fits an idle machine over to that machine.
fn hand_over_task(controller: &Controller, idle: &str, machines: &[String]) -> PeerResponse {
    let (idle, machines) = {
        let cluster = controller.cluster.borrow();
        let names = &cluster.machine_names;
        let machines: Vec<_> = machines.iter().filter_map(|m| names.find(m)).collect();
        (names.find(idle), machines)
    };
    let task = idle.and_then(|idle| {
        let mut machines = machines.into_iter();
        machines.find_map(|machine| work_stealing::hand_over(controller, machine, idle))
    });
    PeerResponse::StolenTask(task)
}
