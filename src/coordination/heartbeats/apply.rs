//! Applies worker statuses to the cluster state.
//!
//! Called by `receive` for heartbeats, and by the planner for the status in a worker's response to
//! direct commands. Invariant: a worker's message is applied only if it is newer than all that
//! were applied before, so a delayed or duplicate message changes nothing.

use super::quarantine::{record_failed_jobs, record_failed_machine};
use super::reachability::{update_reachability, IncomingHeartbeat};
use crate::coordination::scheduler::commands;
use crate::protocol::workers::{parse_task_name, ExitReason, Heartbeat, TaskState, TaskStatus};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::{Machine, ObservedTask, TaskAttempt};
use crate::state::names::{JobIndex, MachineIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use standby::ids::FencingToken;

/// The kind of message that contained a worker's status.
#[derive(Clone, Copy, Debug)]
pub enum StatusSource {
    /// A heartbeat to the owner of the machine's shard.
    Heartbeat {
        /// The owner's fencing token.
        owner_token: FencingToken,
        /// Duration of a worker's lease.
        lease_ms: u64,
    },
    /// The response to direct commands. The response proves that the listed tasks are present, but
    /// does not count as a heartbeat: the worker has not requested a renewal of its lease.
    CommandResponse,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum HeartbeatChange {
    /// Nothing: the heartbeat is a duplicate, or a newer message arrived before it.
    Stale,
    /// Nothing that the planner acts on: the heartbeat is newer than the previous message, but
    /// shows the same agent epoch, fencing token, presence of a preemption notice, and task states.
    Unchanged,
    /// Something that the planner should consider before the response is sent.
    Changed,
}

/// Applies a worker's status to the cluster state.
pub fn apply(
    cluster: &mut ClusterState,
    machine_index: MachineIndex,
    heartbeat: &Heartbeat,
    now: MonotonicMillis,
    source: StatusSource,
) -> HeartbeatChange {
    let tasks = resolve_tasks(cluster, heartbeat);
    let placed = cluster.placed_on(machine_index).to_vec();
    let Some(machine) = cluster.machine_mut(machine_index) else {
        return HeartbeatChange::Stale;
    };
    if heartbeat.version() <= machine.heartbeat.message_version {
        return HeartbeatChange::Stale;
    }
    let change = compare(machine, heartbeat, &tasks);
    if let StatusSource::Heartbeat {
        owner_token,
        lease_ms,
    } = source
    {
        let incoming = IncomingHeartbeat {
            heartbeat,
            tasks: &tasks,
            placed: &placed,
            owner_token,
            lease_ms,
            now,
        };
        update_reachability(machine, &incoming);
        record_last_heartbeat(machine, heartbeat, owner_token, now);
    }
    let failed_jobs = record_exits(machine, &tasks);
    record_status(machine, heartbeat, tasks, now);
    drop_settled_in_flight_starts(machine, heartbeat, &placed);
    record_failed_jobs(machine, &failed_jobs);
    for job in failed_jobs {
        record_failed_machine(cluster, job, machine_index, now);
    }
    stop_before_preemption(cluster, machine_index);
    forget_unplaced_attempts(cluster, machine_index, &placed);
    cluster.recompute_free_capacity(machine_index);
    change
}

/// The tasks of a heartbeat with their names resolved; entries with a malformed name are skipped.
fn resolve_tasks(cluster: &ClusterState, heartbeat: &Heartbeat) -> Vec<ObservedTask> {
    let resolve = |status: &TaskStatus| {
        let (job, task) = parse_task_name(&status.task)?;
        Some(ObservedTask {
            job: cluster.job(job).map(|(job_index, _)| job_index),
            name: status.task.as_str().into(),
            task,
            attempt: status.attempt,
            state: status.state,
            exit_reason: status.exit_reason,
        })
    };
    heartbeat.tasks.iter().filter_map(resolve).collect()
}

/// Whether a newer heartbeat differs from the worker's previous message.
fn compare(machine: &Machine, heartbeat: &Heartbeat, tasks: &[ObservedTask]) -> HeartbeatChange {
    let changed = machine.heartbeat.message_version.agent_epoch != heartbeat.agent_epoch
        || machine.heartbeat.fencing_token != heartbeat.fencing_token
        || machine.heartbeat.preemption_deadline.is_some()
            != heartbeat.preemption_notice_s.is_some()
        || machine.heartbeat.tasks.len() != tasks.len()
        || tasks
            .iter()
            .zip(&machine.heartbeat.tasks)
            .any(|(new, old)| !new.same_state_as(old));
    if changed {
        HeartbeatChange::Changed
    } else {
        HeartbeatChange::Unchanged
    }
}

/// Records the version and fencing token of a heartbeat. The heartbeat proves that the machine is
/// alive only if it shows the owner's token: a heartbeat with an older token may be a delayed
/// duplicate from a machine that no longer exists.
fn record_last_heartbeat(
    machine: &mut Machine,
    heartbeat: &Heartbeat,
    owner_token: FencingToken,
    now: MonotonicMillis,
) {
    machine.heartbeat.version = heartbeat.version();
    machine.heartbeat.fencing_token = heartbeat.fencing_token;
    if heartbeat.fencing_token == owner_token {
        machine.heartbeat.last_seen = Some(now);
        machine.owner_status.cordoned = false;
    }
}

/// Records tasks that have exited since the worker's previous message; returns the jobs of those
/// that failed.
fn record_exits(machine: &mut Machine, tasks: &[ObservedTask]) -> Vec<JobIndex> {
    let mut failed_jobs = Vec::new();
    for task in tasks.iter().filter(|task| task.state == TaskState::Exited) {
        if has_exited_before(machine, task) {
            continue;
        }
        let exit_reason = task.exit_reason.unwrap_or(ExitReason::Other);
        log_exit(machine, task, exit_reason);
        // The exit of a task of an unknown job is no evidence about the machine's health.
        let Some(attempt) = task.task_attempt() else {
            continue;
        };
        match exit_reason {
            ExitReason::Done => machine.health.failed_jobs.clear(),
            ExitReason::Error => failed_jobs.push(attempt.job),
            ExitReason::GangTimeout => {
                *machine.starts.gang_timeouts.entry(attempt).or_default() += 1
            }
            _ => {}
        }
    }
    failed_jobs
}

fn has_exited_before(machine: &Machine, task: &ObservedTask) -> bool {
    let before = task.task_attempt().and_then(|a| machine.observed(a));
    before.is_some_and(|before| before.state == TaskState::Exited)
}

fn log_exit(machine: &Machine, task: &ObservedTask, exit_reason: ExitReason) {
    if exit_reason != ExitReason::Done {
        log::debug!(
            "task exited: task={} attempt={} machine={} exit_reason={exit_reason:?}",
            task.name,
            task.attempt,
            machine.name
        );
    }
}

/// Records the machine's address, spot flag, preemption notice and tasks from a worker's message.
fn record_status(
    machine: &mut Machine,
    heartbeat: &Heartbeat,
    tasks: Vec<ObservedTask>,
    now: MonotonicMillis,
) {
    machine.addr.clone_from(&heartbeat.addr);
    if heartbeat.agent_epoch > machine.heartbeat.message_version.agent_epoch {
        machine.heartbeat.agent_epoch_seen_at = Some(now);
    }
    machine.heartbeat.message_version = heartbeat.version();
    machine.heartbeat.message_received_at = Some(now);
    machine.spot = heartbeat.spot;
    record_preemption_notice(machine, heartbeat.preemption_notice_s, now);
    machine.heartbeat.tasks = tasks;
    let attempts = machine
        .heartbeat
        .tasks
        .iter()
        .filter_map(ObservedTask::task_attempt);
    machine.starts.observed_or_abandoned.extend(attempts);
}

fn record_preemption_notice(machine: &mut Machine, notice_s: Option<f64>, now: MonotonicMillis) {
    if let (Some(notice_s), None) = (notice_s, machine.heartbeat.preemption_deadline) {
        log::info!(
            "preemption notice received: machine={} notice_s={notice_s:.0}",
            machine.name
        );
    }
    machine.heartbeat.preemption_deadline = notice_s.map(|s| now.plus(millis_from_seconds(s)));
}

/// Drops in-flight direct starts that can't take effect any more: the fencing token or the agent
/// epoch has changed, or the start was acknowledged and its attempt is neither placed on the
/// machine nor shown by the worker.
fn drop_settled_in_flight_starts(
    machine: &mut Machine,
    heartbeat: &Heartbeat,
    placed: &[TaskAttempt],
) {
    let shown = &machine.heartbeat.tasks;
    machine.starts.in_flight.retain(|attempt, start| {
        let is_shown = || shown.iter().any(|t| t.task_attempt() == Some(*attempt));
        let is_left = || placed.contains(attempt) || is_shown();
        start.fencing_token >= heartbeat.fencing_token
            && start.agent_epoch == heartbeat.agent_epoch
            && (!start.acknowledged || is_left())
    });
}

/// Decides which tasks to stop before the cloud preempts the machine, so that they checkpoint or
/// run elsewhere.
fn stop_before_preemption(cluster: &mut ClusterState, machine_index: MachineIndex) {
    let stops = commands::checkpoint_before_preemption(cluster, machine_index);
    let Some(machine) = cluster.machine_mut(machine_index) else {
        return;
    };
    for (attempt, grace_s) in stops {
        machine.decisions.stopping.entry(attempt).or_insert(grace_s);
    }
}

/// Drops the tracking data of attempts that are no longer placed on the machine. In-flight direct
/// starts are kept, since they may take effect after their placement has been removed.
fn forget_unplaced_attempts(
    cluster: &mut ClusterState,
    machine_index: MachineIndex,
    placed: &[TaskAttempt],
) {
    let Some(machine) = cluster.machine_mut(machine_index) else {
        return;
    };
    machine.starts.retain_placed(placed);
    machine.decisions.stopping.retain(|a, _| placed.contains(a));
}
