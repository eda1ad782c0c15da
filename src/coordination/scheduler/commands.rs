//! Orders to workers.

use crate::coordination::reconciliation::{
    is_abandoned, is_unwanted, retry_gang_wait, start_in_flight, unacknowledged_start,
};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{AgentEpoch, Command, ExitReason, TaskState};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::{InFlightStart, Machine, TaskAttempt};
use crate::state::names::{Index, MachineIndex};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;
use standby::permit::Permits;

/// Orders for a machine in answer to its newest report. Notes the starts it sends.
pub fn orders(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    machine_index: MachineIndex,
    now: MonotonicMillis,
) -> Vec<Command> {
    let Some(m) = cluster.machine(machine_index) else {
        return Vec::new();
    };
    let Some(permit) = config.permit(cluster, permits, m.shard) else {
        return Vec::new();
    };
    let token = permit.fencing_token();
    let starts = config.may_start(cluster, now);
    let mut out = Vec::new();
    let mut again = Vec::new();
    for s in &m.tasks {
        let (piece, attempt) = (s.name.to_string(), s.attempt);
        let known = s.job.map(|j| (j, &cluster.jobs[j.at()]));
        let here = cluster.placed_on(machine_index);
        let placed = s.task_attempt().is_some_and(|a| here.contains(&a));
        match (s.state, placed) {
            // An exit is forgotten only after the record has it: the worker keeps it until then.
            (TaskState::Exited, false) => {
                // Nor while a start may run late or be repeated: the worker would take it for a
                // new one, although the task may be on another machine by then. One that is
                // done does no harm, since all it does is to tell so once more.
                let late = s.task_attempt().is_some_and(|a| {
                    unacknowledged_start(m, token, a)
                        || start_in_flight(m, token, a) && s.exit_reason != Some(ExitReason::Done)
                });
                if !late {
                    out.push(Command::AcknowledgeExit {
                        task: piece,
                        attempt,
                    });
                }
            }
            (TaskState::Exited, true) => {
                let Some((ix, job)) = known else { continue };
                let a = TaskAttempt::new(ix, s.task, attempt);
                if starts && retry_gang_wait(job, m, a) && !unacknowledged_start(m, token, a) {
                    out.push(Command::AcknowledgeExit {
                        task: piece,
                        attempt,
                    });
                    out.push(start(cluster, a));
                    again.push(a);
                }
            }
            (_, false) => out.push(Command::Stop {
                task: piece,
                attempt,
                grace_s: 0.0,
            }),
            (state, true) => {
                let Some((ix, job)) = known else { continue };
                let a = TaskAttempt::new(ix, s.task, attempt);
                if !is_unwanted(job, m, a) {
                    continue;
                }
                let grace_s = if job.is_open() {
                    m.stopping.get(&a).copied().unwrap_or(0.0)
                } else {
                    0.0
                };
                if state != TaskState::Checkpointing || grace_s == 0.0 {
                    out.push(Command::Stop {
                        task: piece,
                        attempt,
                        grace_s,
                    });
                }
            }
        }
    }
    let reported = m.heartbeat_version;
    let missing = match starts {
        true => missing_starts(cluster, machine_index, m),
        false => Vec::new(),
    };
    out.extend(missing.iter().map(|a| start(cluster, *a)));
    for a in missing.into_iter().chain(again) {
        if let Some(m) = cluster.machine_mut(machine_index) {
            m.start_sent.insert(a, reported);
        }
    }
    out
}

fn start(cluster: &ClusterState, a: TaskAttempt) -> Command {
    Command::Start {
        task: format!("{}/{}", cluster.jobs[a.job.at()].id, a.task),
        attempt: a.attempt,
    }
}

/// Placements on a machine whose start it has not shown yet.
fn missing_starts(
    cluster: &ClusterState,
    machine_index: MachineIndex,
    m: &Machine,
) -> Vec<TaskAttempt> {
    let here = cluster.placed_on(machine_index).iter().copied();
    here.filter(|a| {
        let job = &cluster.jobs[a.job.at()];
        m.observed(*a).is_none() && !is_unwanted(job, m, *a) && !is_abandoned(m, *a)
    })
    .collect()
}

/// Direct starts for a machine, whose next report may be seconds away.
#[derive(Debug)]
pub struct DirectStart {
    /// Machine.
    pub machine: MachineIndex,
    /// Its worker.
    pub addr: String,
    /// Token and session that the orders are bound to.
    pub fencing_token: FencingToken,
    /// Session.
    pub agent_epoch: AgentEpoch,
    /// Attempts to start.
    pub attempts: Vec<TaskAttempt>,
    /// The orders.
    pub commands: Vec<Command>,
}

/// Starts that no order has gone out for yet, on machines that no report is being answered to.
/// They are noted as possibly late until the worker has answered. `place` tells whether there
/// is a connection left for one more.
pub fn direct_starts(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    now: MonotonicMillis,
    mut place: impl FnMut() -> bool,
) -> Vec<DirectStart> {
    let mut out = Vec::new();
    if !config.may_start(cluster, now) {
        return out;
    }
    let permitted = config.permitted(cluster, permits);
    for i in 0..cluster.machines.len() {
        let machine_index = MachineIndex::new(i);
        let Some(m) = cluster.machine(machine_index) else {
            continue;
        };
        let Some(permit) = permitted[m.shard.at()] else {
            continue;
        };
        let token = permit.fencing_token();
        let ready = m.is_schedulable(now, config.unresponsive_ms)
            && m.responses_in_progress == 0
            && m.fencing_token == token
            && m.message_version.agent_epoch.is_known()
            && !m.addr.is_empty();
        if !ready {
            continue;
        }
        let (addr, session) = (m.addr.clone(), m.message_version.agent_epoch);
        let late = InFlightStart {
            fencing_token: token,
            agent_epoch: session,
            sent_at: now,
            acknowledged: false,
        };
        let attempts: Vec<TaskAttempt> = missing_starts(cluster, machine_index, m)
            .into_iter()
            .filter(|a| !m.start_sent.contains_key(a) && !m.in_flight_starts.contains_key(a))
            .collect();
        if attempts.is_empty() {
            continue;
        }
        if !place() {
            break;
        }
        let orders = attempts.iter().map(|a| start(cluster, *a)).collect();
        if let Some(m) = cluster.machine_mut(machine_index) {
            m.in_flight_starts
                .extend(attempts.iter().map(|a| (*a, late)));
        }
        out.push(DirectStart {
            machine: machine_index,
            addr,
            fencing_token: token,
            agent_epoch: session,
            attempts,
            commands: orders,
        });
    }
    out
}

/// How direct starts went.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DirectStartOutcome {
    /// They were executed.
    Executed,
    /// They never left, or the worker refused them.
    Refused,
    /// There was no answer: they may run at any time until the token has risen.
    Unknown,
}

/// Notes how direct starts went.
pub fn record_direct_start_outcome(
    cluster: &mut ClusterState,
    p: &DirectStart,
    how: DirectStartOutcome,
) {
    let Some(m) = cluster.machine_mut(p.machine) else {
        return;
    };
    for a in &p.attempts {
        match (how, m.in_flight_starts.get_mut(a)) {
            (DirectStartOutcome::Unknown, _) | (_, None) => {}
            (DirectStartOutcome::Executed, Some(l)) => l.acknowledged = true,
            (DirectStartOutcome::Refused, Some(_)) => {
                m.in_flight_starts.remove(a);
            }
        }
    }
}

/// Attempts that should leave a machine that goes, with the time to save.
pub fn checkpoint_before_preemption(
    cluster: &ClusterState,
    machine_index: MachineIndex,
) -> Vec<(TaskAttempt, f64)> {
    let Some(m) = cluster
        .machine(machine_index)
        .filter(|m| m.preemption_deadline.is_some())
    else {
        return Vec::new();
    };
    m.tasks
        .iter()
        .filter_map(|t| {
            let ix = t.job?;
            let s = cluster.jobs[ix.at()].spec.as_ref()?;
            let saves = s.wire.checkpoint_s > 0.0 && t.state == TaskState::Running;
            let moves = s.wire.kind == JobKind::Service || t.state == TaskState::PullingImage;
            (saves || moves).then_some((
                TaskAttempt::new(ix, t.task, t.attempt),
                s.wire.checkpoint_grace_s + 1.0,
            ))
        })
        .collect()
}
