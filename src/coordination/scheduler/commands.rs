//! Commands to a worker in response to its newest heartbeat.
//!
//! The handler of heartbeats calls [`heartbeat_commands`] for machines that this controller owns under a
//! permit. The invariants: an exit is acknowledged only once the job's record no longer has the
//! placement, and nothing is started that the record does not place there.

use crate::coordination::reconciliation::{
    is_abandoned, is_unwanted, retry_gang_wait, start_in_flight, unacknowledged_start,
};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{Command, ExitReason, TaskState};
use crate::state::cluster_state::ClusterState;
use crate::state::job::Spec;
use crate::state::machine::{Machine, ObservedTask, TaskAttempt};
use crate::state::names::{Index, MachineIndex};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;
use standby::permit::Permits;

/// Time beyond a job's checkpoint grace that a task to be stopped gets, s.
const CHECKPOINT_GRACE_MARGIN_S: f64 = 1.0;

/// Commands for a machine in response to its newest heartbeat. Notes the starts that it sends.
pub fn heartbeat_commands(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    machine_index: MachineIndex,
    now: MonotonicMillis,
) -> Vec<Command> {
    let Some(machine) = cluster.machine(machine_index) else {
        return Vec::new();
    };
    let Some(permit) = config.permit(cluster, permits, machine.shard) else {
        return Vec::new();
    };
    let mut response = ResponseBuilder {
        cluster,
        machine,
        placed: cluster.placed_on(machine_index),
        fencing_token: permit.fencing_token(),
        may_start: config.may_start(cluster, now),
        commands: Vec::new(),
        started: Vec::new(),
    };
    for task in &machine.heartbeat.tasks {
        response.respond_to_task(task);
    }
    response.start_missing(machine_index);
    let (commands, started) = (response.commands, response.started);
    if let Some(machine) = cluster.machine_mut(machine_index) {
        let answered = machine.heartbeat.version;
        let sent = started.into_iter().map(|attempt| (attempt, answered));
        machine.starts.sent.extend(sent);
    }
    commands
}

/// Collects the commands that the tasks of a heartbeat call for.
struct ResponseBuilder<'a> {
    cluster: &'a ClusterState,
    machine: &'a Machine,
    /// Attempts that the records place on the machine.
    placed: &'a [TaskAttempt],
    fencing_token: FencingToken,
    may_start: bool,
    commands: Vec<Command>,
    /// Attempts that the commands start.
    started: Vec<TaskAttempt>,
}

impl ResponseBuilder<'_> {
    fn respond_to_task(&mut self, task: &ObservedTask) {
        let placed = task
            .task_attempt()
            .filter(|attempt| self.placed.contains(attempt));
        match (task.state, placed) {
            (TaskState::Exited, None) => self.acknowledge_exit(task),
            (TaskState::Exited, Some(attempt)) => self.retry_gang_task(task, attempt),
            (_, None) => self.commands.push(stop(task, 0.0)),
            (_, Some(attempt)) => self.stop_unwanted(task, attempt),
        }
    }

    /// Acknowledges an exit that the record has: the worker keeps it until then.
    ///
    /// Not while a start may run late or be repeated: the worker would take it for a new one,
    /// although the task may be on another machine by then. An exit as done does no harm, since
    /// all that a repeated start does is to show it once more.
    fn acknowledge_exit(&mut self, task: &ObservedTask) {
        let may_run_again = task.task_attempt().is_some_and(|attempt| {
            unacknowledged_start(self.machine, self.fencing_token, attempt)
                || start_in_flight(self.machine, self.fencing_token, attempt)
                    && task.exit_reason != Some(ExitReason::Done)
        });
        if !may_run_again {
            self.commands.push(acknowledge(task));
        }
    }

    /// Starts a gang task again that timed out waiting for the rest of its gang.
    fn retry_gang_task(&mut self, task: &ObservedTask, attempt: TaskAttempt) {
        let job = &self.cluster.jobs[attempt.job.at()];
        if self.may_start
            && retry_gang_wait(job, self.machine, attempt)
            && !unacknowledged_start(self.machine, self.fencing_token, attempt)
        {
            self.commands.push(acknowledge(task));
            self.commands.push(start(self.cluster, attempt));
            self.started.push(attempt);
        }
    }

    /// Starts what the records place on the machine and its heartbeat lacks.
    fn start_missing(&mut self, machine_index: MachineIndex) {
        if !self.may_start {
            return;
        }
        for attempt in missing_starts(self.cluster, machine_index, self.machine) {
            self.commands.push(start(self.cluster, attempt));
            self.started.push(attempt);
        }
    }

    /// Stops a task that must not run any more, with the time that its job needs to checkpoint.
    fn stop_unwanted(&mut self, task: &ObservedTask, attempt: TaskAttempt) {
        let job = &self.cluster.jobs[attempt.job.at()];
        if !is_unwanted(job, self.machine, attempt) {
            return;
        }
        let stopping = self.machine.decisions.stopping.get(&attempt);
        let grace_s = stopping
            .copied()
            .filter(|_| job.is_open())
            .unwrap_or_default();
        // One that is checkpointing has been told already, unless the time for it is over.
        if task.state != TaskState::Checkpointing || grace_s == 0.0 {
            self.commands.push(stop(task, grace_s));
        }
    }
}

fn acknowledge(task: &ObservedTask) -> Command {
    Command::AcknowledgeExit {
        task: task.name.to_string(),
        attempt: task.attempt,
    }
}

fn stop(task: &ObservedTask, grace_s: f64) -> Command {
    Command::Stop {
        task: task.name.to_string(),
        attempt: task.attempt,
        grace_s,
    }
}

/// The command that starts an attempt.
pub(super) fn start(cluster: &ClusterState, attempt: TaskAttempt) -> Command {
    Command::Start {
        task: format!("{}/{}", cluster.jobs[attempt.job.at()].id, attempt.task),
        attempt: attempt.attempt,
    }
}

/// Placements on a machine whose start it has not shown yet.
pub(super) fn missing_starts(
    cluster: &ClusterState,
    machine_index: MachineIndex,
    machine: &Machine,
) -> Vec<TaskAttempt> {
    let placed = cluster.placed_on(machine_index).iter().copied();
    placed
        .filter(|attempt| {
            let job = &cluster.jobs[attempt.job.at()];
            machine.observed(*attempt).is_none()
                && !is_unwanted(job, machine, *attempt)
                && !is_abandoned(machine, *attempt)
        })
        .collect()
}

/// Time that a task of a job gets to checkpoint before it is killed, s.
pub(super) fn stop_grace_s(spec: &Spec) -> f64 {
    spec.wire.checkpoint_grace_s + CHECKPOINT_GRACE_MARGIN_S
}

/// Attempts that should leave a machine with a preemption deadline, with the time to checkpoint.
pub fn checkpoint_before_preemption(
    cluster: &ClusterState,
    machine_index: MachineIndex,
) -> Vec<(TaskAttempt, f64)> {
    let machine = cluster.machine(machine_index);
    let Some(machine) = machine.filter(|machine| machine.heartbeat.preemption_deadline.is_some())
    else {
        return Vec::new();
    };
    let leaving = machine.heartbeat.tasks.iter().filter_map(|task| {
        let attempt = task.task_attempt()?;
        let spec = cluster.jobs[attempt.job.at()].spec.as_ref()?;
        let checkpoints = spec.wire.checkpoint_s > 0.0 && task.state == TaskState::Running;
        let loses_nothing =
            spec.wire.kind == JobKind::Service || task.state == TaskState::PullingImage;
        (checkpoints || loses_nothing).then(|| (attempt, stop_grace_s(spec)))
    });
    leaving.collect()
}
