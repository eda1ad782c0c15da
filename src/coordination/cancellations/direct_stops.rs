//! Direct stops: tasks of cancelled jobs that are left for long are stopped at their workers.
//!
//! A task's owner stops it in its next response to a heartbeat. An owner that does not know of the
//! cancellation, or whose responses don't arrive, does not. So every controller that knows of it
//! asks the worker for its status and stops what is left, under the fencing token and agent epoch
//! that the worker itself shows: nobody's right to command it changes by that.
//!
//! `stop_due_tasks` is called by each round of the background task.

use crate::coordination::controller::{tasks, Controller};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::worker_connectivity::direct_commands;
use crate::protocol::workers::{Command, DirectCommands, Heartbeat, TaskState};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::TaskAttempt;
use crate::state::names::{Index, MachineIndex};
use crate::state::units::MonotonicMillis;
use std::collections::HashMap;
use std::rc::Rc;

/// The part of the time for cancellations after which others than the owner stop tasks as well:
/// one over this.
const DIRECT_STOP_FRACTION: u64 = 4;
/// Least time between two attempts at one machine.
const RETRY_INTERVAL_MS: u64 = 3000;
/// Most machines in one round.
const MACHINES_PER_ROUND: usize = 32;

/// Tasks of cancelled jobs on one machine, to be stopped by direct commands.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CancelledTasks {
    /// Address of the machine's worker.
    pub addr: String,
    /// The tasks, as workers name them, with their attempts.
    pub tasks: Vec<(String, u64)>,
}

/// What is left of cancelled jobs, since when that is known, and which machines were tried lately.
#[derive(Default)]
pub struct CancelledTaskSweeper {
    first_seen: HashMap<TaskAttempt, MonotonicMillis>,
    last_attempt: HashMap<MachineIndex, MonotonicMillis>,
}

/// An attempt that is due to be stopped. In the order of these fields: the oldest first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueAttempt {
    first_seen: MonotonicMillis,
    machine: MachineIndex,
    attempt: TaskAttempt,
}

/// Stops what is due, as far as there are connections to workers left. What finds none is the
/// first of a later round.
pub(super) fn stop_due_tasks(controller: &Rc<Controller>, sweeper: &mut CancelledTaskSweeper) {
    let due = sweeper.due(
        &controller.cluster.borrow(),
        &controller.config,
        controller.now(),
    );
    for cancelled in due {
        let stop = stop_directly(controller.clone(), cancelled);
        if !tasks::spawn_with_worker_connection(controller, stop) {
            break;
        }
    }
}

impl CancelledTaskSweeper {
    /// Tasks of cancelled jobs that have been left for long, by machine, on machines that were not
    /// tried lately; these then count as tried.
    ///
    /// A stop that arrives before its start does nothing, so it is repeated until the placement is
    /// gone, which is for the owner alone to prove.
    pub fn due(
        &mut self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        now: MonotonicMillis,
    ) -> Vec<CancelledTasks> {
        self.note_cancelled_attempts(cluster, now);
        self.last_attempt
            .retain(|_, tried_at| now.since(*tried_at) < RETRY_INTERVAL_MS);
        let due = self.due_attempts(cluster, config, now);
        let by_machine = group_by_machine(cluster, due);
        let tried = by_machine.iter().map(|(machine, _)| (*machine, now));
        self.last_attempt.extend(tried);
        by_machine.into_iter().map(|(_, tasks)| tasks).collect()
    }

    /// Notes since when each placement of a cancelled job is known, and forgets those that are gone.
    fn note_cancelled_attempts(&mut self, cluster: &ClusterState, now: MonotonicMillis) {
        let left = cancelled_attempts(cluster).map(|(_, attempt)| {
            let first_seen = self.first_seen.get(&attempt).copied().unwrap_or(now);
            (attempt, first_seen)
        });
        self.first_seen = left.collect();
    }

    /// Attempts that have been left for long on machines that were not tried lately.
    fn due_attempts(
        &self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        now: MonotonicMillis,
    ) -> Vec<DueAttempt> {
        let wait_ms = config.cancel_ms / DIRECT_STOP_FRACTION;
        let mut due: Vec<DueAttempt> = cancelled_attempts(cluster)
            .filter(|(machine, _)| !self.last_attempt.contains_key(machine))
            .filter_map(|(machine, attempt)| {
                let first_seen = *self.first_seen.get(&attempt)?;
                (now.since(first_seen) >= wait_ms).then_some(DueAttempt {
                    first_seen,
                    machine,
                    attempt,
                })
            })
            .collect();
        due.sort_unstable();
        due
    }
}

/// All placements of cancelled jobs.
fn cancelled_attempts(
    cluster: &ClusterState,
) -> impl Iterator<Item = (MachineIndex, TaskAttempt)> + '_ {
    cluster.cancelled().flat_map(|(job_index, job)| {
        job.placements.iter().map(move |placement| {
            let attempt = TaskAttempt::new(job_index, placement.task, placement.attempt);
            (placement.machine, attempt)
        })
    })
}

/// Groups attempts by machine, in the order of the first of each machine. Machines whose address
/// is unknown can't be tried.
fn group_by_machine(
    cluster: &ClusterState,
    due: Vec<DueAttempt>,
) -> Vec<(MachineIndex, CancelledTasks)> {
    let mut by_machine: Vec<(MachineIndex, CancelledTasks)> = Vec::new();
    for DueAttempt {
        machine, attempt, ..
    } in due
    {
        let Some(addr) = known_address(cluster, machine) else {
            continue;
        };
        let job = &cluster.jobs[attempt.job.at()].id;
        let task = (format!("{job}/{}", attempt.task), attempt.attempt);
        if let Some((_, group)) = by_machine.iter_mut().find(|(m, _)| *m == machine) {
            group.tasks.push(task);
        } else if by_machine.len() < MACHINES_PER_ROUND {
            let group = CancelledTasks {
                addr: addr.to_string(),
                tasks: vec![task],
            };
            by_machine.push((machine, group));
        }
    }
    by_machine
}

fn known_address(cluster: &ClusterState, machine: MachineIndex) -> Option<&str> {
    let addr = &cluster.machine(machine)?.addr;
    (!addr.is_empty()).then_some(addr)
}

/// The stops for those of these tasks that a worker's status shows; `None` if none of them runs.
pub fn stop_commands(status: &Heartbeat, tasks: &[(String, u64)]) -> Option<DirectCommands> {
    let is_shown = |(task, attempt): &&(String, u64)| {
        let mut left = status.tasks.iter().filter(|t| t.state != TaskState::Exited);
        left.any(|shown| shown.task == *task && shown.attempt == *attempt)
    };
    let stop = |(task, attempt): &(String, u64)| Command::Stop {
        task: task.clone(),
        attempt: *attempt,
        grace_s: 0.0,
    };
    let commands: Vec<Command> = tasks.iter().filter(is_shown).map(stop).collect();
    (!commands.is_empty()).then_some(DirectCommands {
        fencing_token: status.fencing_token,
        agent_epoch: status.agent_epoch,
        commands,
    })
}

/// Asks a worker for its status, and stops what it shows of these tasks.
async fn stop_directly(controller: Rc<Controller>, cancelled: CancelledTasks) {
    let Some(worker) = direct_commands::fetch_status(&cancelled.addr).await else {
        return;
    };
    controller.record_worker_contact();
    let Some(status) = worker.status() else {
        return;
    };
    let Some(commands) = stop_commands(&status, &cancelled.tasks) else {
        return;
    };
    log::info!(
        "cancelled tasks stopped directly: machine={} address={} tasks={:?}",
        status.machine,
        cancelled.addr,
        cancelled.tasks
    );
    worker.send(&commands).await;
}
