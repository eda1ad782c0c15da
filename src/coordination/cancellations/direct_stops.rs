//! Direct stops: every controller may stop tasks of cancelled jobs that keep running for too long.
//!
//! Normally the owner of a machine stops such a task in its next heartbeat response. That fails if
//! the owner has not learned of the cancellation, or if its responses don't arrive. So every
//! controller that has learned of the cancellation queries the worker's status and stops the
//! remaining tasks. The stop carries the fencing token and agent epoch from the worker's own
//! status, so it does not change whose commands the worker accepts.
//!
//! Each round of the background task calls `stop_due_tasks`.

use crate::coordination::controller::{tasks, Controller};
use crate::coordination::scheduler::command_log::{self, CommandBasis, CommandPath};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::worker_connectivity::direct_commands;
use crate::protocol::workers::{Command, DirectCommands, Heartbeat, TaskState};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::TaskAttempt;
use crate::state::names::{Index, MachineIndex};
use crate::state::units::MonotonicMillis;
use std::collections::HashMap;
use std::rc::Rc;

/// A placement of a cancelled job is due for a direct stop once this controller has known of it for
/// `cancel_ms` divided by this.
const DIRECT_STOP_DIVISOR: u64 = 4;
/// Minimum time between two attempts to stop tasks on the same machine.
const RETRY_INTERVAL_MS: u64 = 3000;
/// Maximum number of machines on which one round stops tasks.
const MACHINES_PER_ROUND: usize = 32;

/// Tasks of cancelled jobs on one machine, to be stopped by direct commands.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CancelledTasks {
    /// Address of the machine's worker.
    pub addr: String,
    /// Names (`{job}/{task}`) and attempt numbers of the tasks.
    pub tasks: Vec<(String, u64)>,
}

/// Tracks since when each placement of a cancelled job has been known, and when each machine was
/// last returned as due.
#[derive(Default)]
pub struct DirectStopTracker {
    first_seen: HashMap<TaskAttempt, MonotonicMillis>,
    last_tried: HashMap<MachineIndex, MonotonicMillis>,
}

/// An attempt that is due to be stopped. Values are ordered by the time at which the attempt was
/// first seen, oldest first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueAttempt {
    first_seen: MonotonicMillis,
    machine: MachineIndex,
    attempt: TaskAttempt,
}

/// Stops due tasks while connections to workers are available; the remaining ones come first in a
/// later round.
pub(super) fn stop_due_tasks(controller: &Rc<Controller>, tracker: &mut DirectStopTracker) {
    let due = tracker.due_tasks(
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

impl DirectStopTracker {
    /// Tasks of cancelled jobs that are due for a direct stop, grouped by machine. The returned
    /// machines count as tried, and are not returned again for 3 seconds (`RETRY_INTERVAL_MS`).
    ///
    /// A stop that arrives before the start of its task has no effect, so stops are repeated until
    /// the placement is removed. Only the owner can prove that the attempt has ended.
    pub fn due_tasks(
        &mut self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        now: MonotonicMillis,
    ) -> Vec<CancelledTasks> {
        self.record_first_seen(cluster, now);
        self.last_tried
            .retain(|_, tried_at| now.since(*tried_at) < RETRY_INTERVAL_MS);
        let due = self.due_attempts(cluster, config, now);
        let by_machine = group_by_machine(cluster, due);
        let tried = by_machine.iter().map(|(machine, _)| (*machine, now));
        self.last_tried.extend(tried);
        by_machine.into_iter().map(|(_, tasks)| tasks).collect()
    }

    /// Records when each placement of a cancelled job was first seen, and forgets those that have
    /// been removed.
    fn record_first_seen(&mut self, cluster: &ClusterState, now: MonotonicMillis) {
        let remaining = cancelled_attempts(cluster).map(|(_, attempt)| {
            let first_seen = self.first_seen.get(&attempt).copied().unwrap_or(now);
            (attempt, first_seen)
        });
        self.first_seen = remaining.collect();
    }

    /// Attempts known for at least `cancel_ms` divided by [`DIRECT_STOP_DIVISOR`], on machines that
    /// were not tried within [`RETRY_INTERVAL_MS`].
    fn due_attempts(
        &self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        now: MonotonicMillis,
    ) -> Vec<DueAttempt> {
        let wait_ms = config.cancel_ms / DIRECT_STOP_DIVISOR;
        let mut due: Vec<DueAttempt> = cancelled_attempts(cluster)
            .filter(|(machine, _)| !self.last_tried.contains_key(machine))
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

/// Groups attempts by machine, in the order of each machine's first attempt. Skips machines whose
/// address is unknown, and machines beyond [`MACHINES_PER_ROUND`].
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

/// Stop commands for those of `tasks` that a worker's status shows as not exited; `None` if there
/// are none.
pub fn stop_commands(status: &Heartbeat, tasks: &[(String, u64)]) -> Option<DirectCommands> {
    let is_shown = |(task, attempt): &&(String, u64)| {
        let mut not_exited = status.tasks.iter().filter(|t| t.state != TaskState::Exited);
        not_exited.any(|shown| shown.task == *task && shown.attempt == *attempt)
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

/// Fetches a worker's status, and stops those of the cancelled tasks that have not exited.
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
    let basis = CommandBasis {
        machine: &status.machine,
        agent_epoch: commands.agent_epoch,
        fencing_token: commands.fencing_token,
        revision: controller.cluster.borrow().revision,
    };
    command_log::record(&controller, CommandPath::Direct, &basis, &commands.commands);
    worker.send(&commands).await;
}
