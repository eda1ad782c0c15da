//! Work stealing: moves queued tasks to idle machines. For an idle machine, the controller polls a
//! few random machines with queues and takes the first queued task that fits.
//!
//! The planner calls `WorkStealing::steal` with the machines for which its last pass claimed
//! nothing. The handler of peer messages calls [`hand_over`] when another controller polls.
//! Queues are only hints: a task that is lost in transit is simply unbound again, because only the
//! job's record determines which tasks have been started.

use crate::coordination::controller::Controller;
use crate::coordination::failover;
use crate::coordination::scheduler::placement_rules::{is_allowed, JobRef, MachineRef};
use crate::coordination::scheduler::queues::{enqueue, QueueEnd, PEER_TIMEOUT_MS};
use crate::protocol::peers::{PeerRequest, PeerResponse, TaskRef};
use crate::protocol::workers::HeartbeatVersion;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::{Machine, QueuedTask};
use crate::state::names::{Index, JobIndex, MachineIndex, ShardIndex};
use std::collections::HashMap;
use std::rc::Rc;

/// A machine with tasks in its queue, and its shard.
#[derive(Clone, Copy)]
struct MachineWithQueue {
    machine_index: MachineIndex,
    shard: ShardIndex,
}

/// State of work stealing: the last message of each idle machine for which other machines were
/// polled. A machine polls at most once per message.
#[derive(Default)]
pub(super) struct WorkStealing {
    last_poll: HashMap<MachineIndex, HeartbeatVersion>,
}

impl WorkStealing {
    /// Drops the entries of machines that no longer exist.
    pub(super) fn forget_deleted_machines(&mut self, cluster: &ClusterState) {
        self.last_poll
            .retain(|machine_index, _| cluster.machine(*machine_index).is_some());
    }

    /// Polls a few random machines with queues on behalf of each idle machine, at most once per
    /// message of the idle machine.
    pub(super) fn steal(&mut self, controller: &Rc<Controller>, idle: &[MachineIndex]) {
        // Machines with queues, computed at most once per call.
        let mut queues: Option<Vec<MachineWithQueue>> = None;
        for machine_index in idle.iter().copied() {
            if let Some(polled) = self.choose_polled(controller, machine_index, &mut queues) {
                poll(controller, machine_index, polled);
            }
        }
    }

    /// Chooses the machines to poll for an idle machine; `None` if it has polled since its last
    /// message.
    fn choose_polled(
        &mut self,
        controller: &Controller,
        idle: MachineIndex,
        queues: &mut Option<Vec<MachineWithQueue>>,
    ) -> Option<Vec<MachineWithQueue>> {
        let cluster = controller.cluster.borrow();
        let version = cluster.machine(idle)?.heartbeat.message_version;
        if self.last_poll.get(&idle) == Some(&version) {
            return None;
        }
        let queues = queues.get_or_insert_with(|| machines_with_queues(&cluster));
        let others = queues.iter().copied().filter(|q| q.machine_index != idle);
        let polled = fastrand::choose_multiple(others, controller.operator.polls);
        self.last_poll.insert(idle, version);
        Some(polled)
    }
}

fn machines_with_queues(cluster: &ClusterState) -> Vec<MachineWithQueue> {
    let has_queue =
        |machine: &Machine| !machine.queue.is_empty() || machine.owner_status.queue_length > 0;
    cluster
        .all_machines()
        .filter(|(_, machine)| has_queue(machine))
        .map(|(machine_index, machine)| MachineWithQueue {
            machine_index,
            shard: machine.shard,
        })
        .collect()
}

/// Steals a task for an idle machine: from the queue of a polled machine of this controller if one
/// fits, else by requests to the owners of the other polled machines.
fn poll(controller: &Rc<Controller>, idle: MachineIndex, polled: Vec<MachineWithQueue>) {
    let mut by_owner: HashMap<String, Vec<String>> = HashMap::new();
    for MachineWithQueue {
        machine_index,
        shard,
    } in polled
    {
        let owner = {
            let cluster = controller.cluster.borrow();
            cluster.shards[shard.at()].record.owner.clone()
        };
        if owner == controller.config.controller_name {
            if steal_locally(controller, machine_index, idle) {
                controller.scheduling.notify();
                return;
            }
        } else {
            let machine = machine_name(controller, machine_index);
            by_owner.entry(owner).or_default().push(machine);
        }
    }
    for (owner, machines) in by_owner {
        let request = poll_peer(controller.clone(), owner, machines, idle);
        controller.executor.spawn(request).detach();
    }
}

async fn poll_peer(
    controller: Rc<Controller>,
    owner: String,
    machines: Vec<String>,
    idle: MachineIndex,
) {
    let idle_machine = machine_name(&controller, idle);
    let Some(peer) = controller.peer(&owner) else {
        return;
    };
    let request = PeerRequest::StealWork {
        idle_machine,
        machines,
    };
    let response = peer.client.call(&request, PEER_TIMEOUT_MS).await;
    if let Ok(PeerResponse::StolenTask(Some(task))) = response {
        if enqueue(&controller, idle, &task, QueueEnd::Front) {
            controller.scheduling.notify();
        }
    }
}

fn machine_name(controller: &Controller, machine_index: MachineIndex) -> String {
    let cluster = controller.cluster.borrow();
    cluster.machine_names.name(machine_index).to_string()
}

/// Removes the first queued task of an owned machine that fits an idle machine of another
/// controller, and returns it.
pub fn hand_over(
    controller: &Controller,
    source: MachineIndex,
    idle: MachineIndex,
) -> Option<TaskRef> {
    let (job_index, task) = remove_first_fitting(controller, source, idle)?;
    let cluster = controller.cluster.borrow();
    let job = cluster.jobs[job_index.at()].id.to_string();
    Some(TaskRef { job, task })
}

/// Moves the first queued task that fits from one owned machine to the front of another's queue;
/// false if none fits.
fn steal_locally(controller: &Controller, source: MachineIndex, idle: MachineIndex) -> bool {
    let Some((job_index, task)) = remove_first_fitting(controller, source, idle) else {
        return false;
    };
    let now = controller.now();
    let mut cluster = controller.cluster.borrow_mut();
    let Some(machine) = cluster.machine_mut(idle) else {
        return false;
    };
    let queued = QueuedTask::new(job_index, task, now);
    machine.queue.push_front(queued);
    true
}

/// Removes the first task that fits the idle machine from the queue of an owned machine.
fn remove_first_fitting(
    controller: &Controller,
    source: MachineIndex,
    idle: MachineIndex,
) -> Option<(JobIndex, u32)> {
    let position = first_fitting(controller, source, idle)?;
    let mut cluster = controller.cluster.borrow_mut();
    let taken = cluster.machine_mut(source)?.queue.remove(position)?;
    Some((taken.job, taken.task))
}

fn first_fitting(
    controller: &Controller,
    source: MachineIndex,
    idle: MachineIndex,
) -> Option<usize> {
    let permits = failover::permits(controller);
    let cluster = controller.cluster.borrow();
    let source = cluster.machine(source)?;
    controller.config.permit(&cluster, &permits, source.shard)?;
    let target = MachineRef {
        index: idle,
        machine: cluster.machine(idle)?,
    };
    let free = cluster.free_on(idle)?;
    source.queue.iter().position(|queued| {
        let index = queued.job;
        let job = &cluster.jobs[index.at()];
        let Some(spec) = job.spec.as_ref().filter(|_| job.is_waiting(queued.task)) else {
            return false;
        };
        spec.need.fits(free) && is_allowed(&cluster, JobRef { index, job, spec }, target)
    })
}
