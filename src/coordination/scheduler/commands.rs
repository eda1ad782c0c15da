//! Commands: the starts, stops and acknowledgements of exits that a worker receives in response to
//! its newest heartbeat.
//!
//! The handler of heartbeats calls [`heartbeat_commands`] for machines that this controller owns
//! under a permit. Invariants: an exit is acknowledged only after the placement has been removed
//! from the job's record, and only attempts that the record places on the machine are started.

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

/// Time added to a job's checkpoint grace period in the stop commands for its tasks, s.
const CHECKPOINT_GRACE_MARGIN_S: f64 = 1.0;

/// Commands for a machine in response to its newest heartbeat. Records the start commands in
/// `StartTracking::sent` of the machine.
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

/// Collects the commands of one response from the tasks in the heartbeat and the placements.
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
            (_, None) => self.commands.push(stop_command(task, 0.0)),
            (_, Some(attempt)) => self.stop_unwanted(task, attempt),
        }
    }

    /// Acknowledges an exit that the job's record reflects; the worker reports it until then.
    ///
    /// The exit is not acknowledged while a direct start of the attempt may still be delivered,
    /// late or twice: a worker forgets an attempt whose exit is acknowledged, so it would run the
    /// attempt again, although the task may be on another machine by then. A repeated start of an
    /// attempt that exited as done is harmless, since its only effect is that the worker reports
    /// the attempt once more.
    fn acknowledge_exit(&mut self, task: &ObservedTask) {
        let may_run_again = task.task_attempt().is_some_and(|attempt| {
            unacknowledged_start(self.machine, self.fencing_token, attempt)
                || start_in_flight(self.machine, self.fencing_token, attempt)
                    && task.exit_reason != Some(ExitReason::Done)
        });
        if !may_run_again {
            self.commands.push(acknowledge_command(task));
        }
    }

    /// Restarts a gang task that timed out while it waited for the other tasks of its gang.
    fn retry_gang_task(&mut self, task: &ObservedTask, attempt: TaskAttempt) {
        let job = &self.cluster.jobs[attempt.job.at()];
        if self.may_start
            && retry_gang_wait(job, self.machine, attempt)
            && !unacknowledged_start(self.machine, self.fencing_token, attempt)
        {
            self.commands.push(acknowledge_command(task));
            self.commands.push(start_command(self.cluster, attempt));
            self.started.push(attempt);
        }
    }

    /// Starts the attempts that the records place on the machine but that are missing from its
    /// heartbeat.
    fn start_missing(&mut self, machine_index: MachineIndex) {
        if !self.may_start {
            return;
        }
        for attempt in missing_starts(self.cluster, machine_index, self.machine) {
            self.commands.push(start_command(self.cluster, attempt));
            self.started.push(attempt);
        }
    }

    /// Stops a task that should no longer run. A task of an open job that the owner has decided to
    /// stop gets its checkpoint grace period; all other tasks get no grace period.
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
        // A checkpointing task has already received its stop command; another one is sent only to
        // end the grace period.
        if task.state != TaskState::Checkpointing || grace_s == 0.0 {
            self.commands.push(stop_command(task, grace_s));
        }
    }
}

fn acknowledge_command(task: &ObservedTask) -> Command {
    Command::AcknowledgeExit {
        task: task.name.to_string(),
        attempt: task.attempt,
    }
}

fn stop_command(task: &ObservedTask, grace_s: f64) -> Command {
    Command::Stop {
        task: task.name.to_string(),
        attempt: task.attempt,
        grace_s,
    }
}

/// The command that starts an attempt.
pub(super) fn start_command(cluster: &ClusterState, attempt: TaskAttempt) -> Command {
    Command::Start {
        task: format!("{}/{}", cluster.jobs[attempt.job.at()].id, attempt.task),
        attempt: attempt.attempt,
    }
}

/// Attempts that are placed on a machine, are missing from its newest message and should be
/// started.
pub(super) fn missing_starts(
    cluster: &ClusterState,
    machine_index: MachineIndex,
    machine: &Machine,
) -> Vec<TaskAttempt> {
    let placed = cluster.placed_on(machine_index).iter().copied();
    placed
        .filter(|attempt| {
            let job = &cluster.jobs[attempt.job.at()];
            // A staged gang may never be completed, and half a gang must not run.
            !job.is_staged()
                && machine.observed(*attempt).is_none()
                && !is_unwanted(job, machine, *attempt)
                && !is_abandoned(machine, *attempt)
        })
        .collect()
}

/// Time that a task of a job gets to write a checkpoint before it is killed, s.
pub(super) fn stop_grace_s(spec: &Spec) -> f64 {
    spec.submitted.checkpoint_grace_s + CHECKPOINT_GRACE_MARGIN_S
}

/// Attempts that should be stopped on a machine that the cloud is about to preempt, each with the
/// time to write a checkpoint, s. These are running tasks that write checkpoints, and tasks that
/// lose no progress: tasks of services and tasks that are still pulling their image.
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
        let checkpoints = spec.submitted.checkpoint_s > 0.0 && task.state == TaskState::Running;
        let loses_nothing =
            spec.submitted.kind == JobKind::Service || task.state == TaskState::PullingImage;
        (checkpoints || loses_nothing).then(|| (attempt, stop_grace_s(spec)))
    });
    leaving.collect()
}
