//! Machine queues: adds tasks to the queues of owned machines, sends tasks to the owners of other
//! machines, and removes stale entries.
//!
//! The handler of submissions calls [`bind_job`], the handlers of peer messages and work stealing
//! call [`enqueue`], and the status broadcast task calls [`prune_queues`]. Queues are only hints: a
//! lost, duplicate or stale entry is harmless, because a claim is conditional on the job's record.

use crate::coordination::controller::clock::wall_ms;
use crate::coordination::controller::Controller;
use crate::coordination::scheduler::binding::{self, QueueBinding};
use crate::protocol::peers::{PeerRequest, TaskRef};
use crate::state::machine::QueuedTask;
use crate::state::names::{Index, JobIndex, MachineIndex};
use std::collections::HashMap;
use std::rc::Rc;

/// Timeout of a request to a peer that concerns queues, ms.
pub(super) const PEER_TIMEOUT_MS: u64 = 800;

/// Lower bound of the queue cap: a free machine may start several tasks at once, while the
/// operators' `queue_cap` is meant for tasks that have to wait.
const MIN_QUEUE_CAP: usize = 8;

/// Maximum number of tasks in one `EnqueueTasks` frame: a frame with all tasks of a wide job would
/// exceed the frame size limit and be refused.
const MAX_TASKS_PER_REQUEST: usize = 500;

/// The end of a queue at which a task is inserted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QueueEnd {
    /// Before all other tasks: for a stolen task, since the machine is free now.
    Front,
    /// After all other tasks.
    Back,
}

/// Adds a task to the queue of an owned machine. False if the job or the machine is unknown, the
/// task is not waiting or already in the queue, or the queue is full.
pub fn enqueue(
    controller: &Controller,
    machine_index: MachineIndex,
    task: &TaskRef,
    end: QueueEnd,
) -> bool {
    let now = controller.now();
    let mut cluster = controller.cluster.borrow_mut();
    let Some((job_index, job)) = cluster.job(&task.job) else {
        return false;
    };
    if !job.is_waiting(task.task) {
        return false;
    }
    let cap = controller.operator.queue_cap.max(MIN_QUEUE_CAP);
    let Some(machine) = cluster.machine_mut(machine_index) else {
        return false;
    };
    if machine.queue.len() >= cap || machine.has_queued(job_index, task.task) {
        return false;
    }
    let entry = QueuedTask::new(job_index, task.task, now);
    match end {
        QueueEnd::Front => machine.queue.push_front(entry),
        QueueEnd::Back => machine.queue.push_back(entry),
    }
    true
}

/// The requests that send bound tasks to the owner of their machines, split by the frame size.
pub fn bind_requests(tasks: &[(String, TaskRef)]) -> Vec<PeerRequest> {
    let request = |tasks: &[(String, TaskRef)]| PeerRequest::EnqueueTasks {
        tasks: tasks.to_vec(),
    };
    tasks.chunks(MAX_TASKS_PER_REQUEST).map(request).collect()
}

/// Binds the tasks of a job that this controller has just accepted: adds them to the queues of its
/// own machines, or sends them to the owners of the chosen machines.
pub fn bind_job(controller: &Rc<Controller>, job_index: JobIndex) {
    let bound = binding::bind(
        &controller.cluster.borrow(),
        &controller.config,
        job_index,
        controller.now(),
        wall_ms(),
    );
    let mut by_owner: HashMap<String, Vec<(String, TaskRef)>> = HashMap::new();
    for binding in bound {
        let Some(target) = bind_target(controller, job_index, binding) else {
            continue;
        };
        if target.owner == controller.config.controller_name {
            enqueue(controller, binding.machine, &target.task, QueueEnd::Back);
        } else {
            let tasks = by_owner.entry(target.owner).or_default();
            tasks.push((target.machine, target.task));
        }
    }
    controller.scheduling.notify();
    for (owner, tasks) in by_owner {
        let request = send_bind_requests(controller.clone(), owner, tasks);
        controller.executor.spawn(request).detach();
    }
}

/// A task, the machine that it is bound to and the owner of that machine, by name.
struct BindTarget {
    owner: String,
    machine: String,
    task: TaskRef,
}

fn bind_target(
    controller: &Controller,
    job_index: JobIndex,
    binding: QueueBinding,
) -> Option<BindTarget> {
    let cluster = controller.cluster.borrow();
    let machine = cluster.machine(binding.machine)?;
    let job = cluster.jobs[job_index.at()].id.to_string();
    Some(BindTarget {
        owner: cluster.shards[machine.shard.at()].record.owner.clone(),
        machine: machine.name.to_string(),
        task: TaskRef {
            job,
            task: binding.task,
        },
    })
}

async fn send_bind_requests(
    controller: Rc<Controller>,
    owner: String,
    tasks: Vec<(String, TaskRef)>,
) {
    let Some(peer) = controller.peer(&owner) else {
        return;
    };
    for request in bind_requests(&tasks) {
        if peer.client.call(&request, PEER_TIMEOUT_MS).await.is_err() {
            break;
        }
    }
}

/// Removes the queue entries whose tasks no longer wait for a placement.
pub fn prune_queues(controller: &Controller) {
    let mut cluster = controller.cluster.borrow_mut();
    let cluster = &mut *cluster;
    for machine in cluster.machines.iter_mut().flatten() {
        machine
            .queue
            .retain(|queued| cluster.jobs[queued.job.at()].is_waiting(queued.task));
    }
}
