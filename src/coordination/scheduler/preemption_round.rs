//! Preemption rounds: marks the victims that `preemption` selects, so that they are stopped. The
//! status broadcast task runs one round a second.

use crate::coordination::controller::Controller;
use crate::coordination::scheduler::planner::with_pass;
use crate::coordination::scheduler::preemption;
use crate::state::names::{Index, ShardIndex};

/// Duration of a shard's turn to preempt, ms; the turns follow the wall clock.
const SHARD_TURN_MS: u64 = 2000;

/// Marks tasks to be stopped for tasks of a higher priority, on machines of the shard whose turn
/// it is.
pub fn preempt_for_waiting(controller: &Controller) {
    let victims = with_pass(controller, |pass| {
        // The last shard is the autoscaler's and has no machines.
        let shards = pass.cluster.shards.len() - 1;
        let turn = (pass.wall_ms / SHARD_TURN_MS) as usize % shards;
        preemption::select_victims(pass, ShardIndex::new(turn))
    });
    let mut cluster = controller.cluster.borrow_mut();
    for victim in victims {
        log::info!(
            "task preempted for a higher priority: job={} task={} machine={}",
            cluster.jobs[victim.attempt.job.at()].id,
            victim.attempt.task,
            cluster.machine_names.name(victim.machine)
        );
        if let Some(machine) = cluster.machine_mut(victim.machine) {
            machine
                .decisions
                .stopping
                .insert(victim.attempt, victim.grace_s);
        }
    }
}
