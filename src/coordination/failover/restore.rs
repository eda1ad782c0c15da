//! Restores the former owner's queues and reservations after a failover.

use crate::coordination::controller::Controller;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::{self, GANG_RESERVATION_MS};
use crate::state::names::{Index, JobIndex, ShardIndex};
use crate::state::units::MonotonicMillis;
use standby::message::{MachineState, QueuedTask};
use standby::replica_state::ReplicaState;

/// Counts of what was restored after a failover.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Restored {
    /// Number of tasks added to queues.
    pub queued_tasks: usize,
    /// Number of machines reserved for gangs.
    pub reservations: usize,
}

/// Restores the state that the former owner of a shard streamed, once this controller holds the
/// permit for the shard.
pub fn restore(controller: &Controller, shard: ShardIndex) {
    let follower = controller.replication.borrow_mut().followers.remove(&shard);
    let Some(follower) = follower else {
        return;
    };
    let mut cluster = controller.cluster.borrow_mut();
    // Only the state of the immediately preceding owner is of use: the queues of an older one are
    // outdated.
    let own_token = cluster.shards[shard.at()].record.fencing_token;
    if follower.fencing_token().next() != own_token {
        return;
    }
    let Some(replica) = follower.replica_state() else {
        return;
    };
    let restored = restore_replica(&mut cluster, shard, replica, controller.now());
    log::info!(
        "replica restored: shard={} fencing_token={own_token} replica_of_token={} queued_tasks={} \
         reservations={} last_decided_revision={}",
        shard.0,
        follower.fencing_token(),
        restored.queued_tasks,
        restored.reservations,
        replica.last_decided_revision()
    );
}

/// Restores a former owner's queues and reservations, except tasks that no longer wait, gangs that
/// can't run, and machines that are unknown or belong to another shard.
pub fn restore_replica(
    cluster: &mut ClusterState,
    shard: ShardIndex,
    replica: &ReplicaState,
    now: MonotonicMillis,
) -> Restored {
    let mut restored = Restored::default();
    for (name, state) in replica.machines() {
        let waiting = waiting_tasks(cluster, &state.queue);
        let gang = runnable_gang(cluster, state);
        let Some(machine_index) = cluster.machine_names.find(name) else {
            continue;
        };
        let Some(machine) = cluster
            .machine_mut(machine_index)
            .filter(|machine| machine.shard == shard)
        else {
            continue;
        };
        for (job, task) in waiting {
            if !machine.has_queued(job, task) {
                let queued = machine::QueuedTask::new(job, task, now);
                machine.queue.push_back(queued);
                restored.queued_tasks += 1;
            }
        }
        if let Some(gang) = gang {
            machine.reserve_for(gang, now.plus(GANG_RESERVATION_MS));
            restored.reservations += 1;
        }
    }
    restored
}

/// The tasks of a queue that still wait according to the records.
fn waiting_tasks(cluster: &ClusterState, queue: &[QueuedTask]) -> Vec<(JobIndex, u32)> {
    let still_waits = |queued: &QueuedTask| {
        let (job_index, job) = cluster.job(&queued.job)?;
        job.is_waiting(queued.task)
            .then_some((job_index, queued.task))
    };
    queue.iter().filter_map(still_waits).collect()
}

/// The gang that a machine was reserved for; `None` if there was none or it can't run any more.
fn runnable_gang(cluster: &ClusterState, state: &MachineState) -> Option<JobIndex> {
    let (gang, job) = cluster.job(state.reserved_for.as_ref()?)?;
    job.is_runnable().then_some(gang)
}
