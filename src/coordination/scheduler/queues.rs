//! The queues of machines: how tasks get into them, here or at the machine's owner, and which
//! entries go.
//!
//! The handler of submissions calls [`bind_job`], the handlers of peer messages and work stealing
//! call [`enqueue`], the status round calls [`prune_queues`]. Queues are hints: an entry that is
//! lost, doubled or stale breaks nothing, because a claim is conditional on the job's record.

use crate::coordination::controller::clock::wall_ms;
use crate::coordination::controller::Controller;
use crate::coordination::scheduler::binding::{self, QueueBinding};
use crate::protocol::peers::{PeerRequest, TaskRef};
use crate::state::machine::QueuedTask;
use crate::state::names::{Index, JobIndex, MachineIndex};
use std::collections::HashMap;
use std::rc::Rc;

/// Longest wait for a peer's response about queues.
pub(super) const PEER_TIMEOUT_MS: u64 = 800;

/// Least cap of a queue: a free machine may take a few tasks at once, the operators' cap is for
/// those that wait.
const MIN_QUEUE_CAP: usize = 8;

/// Most tasks bound in one frame: a wide job's tasks would make a frame that is refused.
const TASKS_PER_BIND: usize = 500;

/// Where a task enters a queue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QueueEnd {
    /// Before all others: the task was stolen for a machine that is free now.
    Front,
    /// Behind all others.
    Back,
}

/// Puts a task into an owned machine's queue; false if it does not wait or the queue is full.
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

/// The requests that tell an owner of tasks bound to its machines, as many as it takes.
pub fn bind_requests(tasks: &[(String, TaskRef)]) -> Vec<PeerRequest> {
    let request = |tasks: &[(String, TaskRef)]| PeerRequest::EnqueueTasks {
        tasks: tasks.to_vec(),
    };
    tasks.chunks(TASKS_PER_BIND).map(request).collect()
}

/// Binds the tasks of a job just accepted here to machines, wherever their queues are.
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
        let request = send_binds(controller.clone(), owner, tasks);
        controller.executor.spawn(request).detach();
    }
}

/// A task, the machine that it is bound to, and that machine's owner, by their names.
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

async fn send_binds(controller: Rc<Controller>, owner: String, tasks: Vec<(String, TaskRef)>) {
    let Some(peer) = controller.peer(&owner) else {
        return;
    };
    for request in bind_requests(&tasks) {
        if peer.client.call(&request, PEER_TIMEOUT_MS).await.is_err() {
            break;
        }
    }
}

/// Drops queue entries that no longer wait.
pub fn prune_queues(controller: &Controller) {
    let mut cluster = controller.cluster.borrow_mut();
    let cluster = &mut *cluster;
    for machine in cluster.machines.iter_mut().flatten() {
        machine
            .queue
            .retain(|queued| cluster.jobs[queued.job.at()].is_waiting(queued.task));
    }
}
