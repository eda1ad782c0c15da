//! Orders to workers.

use crate::coordination::reconciliation::{
    given_up, may_start_late, unanswered_start, unwanted, waits_again,
};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::users::Shape;
use crate::protocol::workers::{Order, TaskState, Why};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::{Attempt, LateStart, Machine};
use crate::state::names::{Index, MachineIx};
use crate::state::units::Ms;
use standby::permit::Permits;

/// Orders for a machine in answer to its newest report. Notes the starts it sends.
pub fn orders(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    mix: MachineIx,
    now: Ms,
) -> Vec<Order> {
    let Some(m) = cluster.machine(mix) else {
        return Vec::new();
    };
    let Some(permit) = config.permit(cluster, permits, m.shard) else {
        return Vec::new();
    };
    let token = permit.token().0;
    let starts = config.may_start(cluster, now);
    let mut out = Vec::new();
    let mut again = Vec::new();
    for s in &m.tasks {
        let (piece, attempt) = (s.name.to_string(), s.attempt);
        let known = s.job.map(|j| (j, &cluster.jobs[j.at()]));
        let here = cluster.placed_on(mix);
        let placed = s.attempt_of().is_some_and(|a| here.contains(&a));
        match (s.state, placed) {
            // An exit is forgotten only after the record has it: the worker keeps it until then.
            (TaskState::Exited, false) => {
                // Nor while a start may run late or be repeated: the worker would take it for a
                // new one, although the task may be on another machine by then. One that is
                // done does no harm, since all it does is to tell so once more.
                let late = s.attempt_of().is_some_and(|a| {
                    unanswered_start(m, token, a)
                        || may_start_late(m, token, a) && s.why != Some(Why::Done)
                });
                if !late {
                    out.push(Order::Forget { piece, attempt });
                }
            }
            (TaskState::Exited, true) => {
                let Some((ix, job)) = known else { continue };
                let a = (ix, s.task, attempt);
                if starts && waits_again(job, m, a) && !unanswered_start(m, token, a) {
                    out.push(Order::Forget { piece, attempt });
                    out.push(start(cluster, a));
                    again.push(a);
                }
            }
            (_, false) => out.push(Order::Stop {
                piece,
                attempt,
                grace_s: 0.0,
            }),
            (state, true) => {
                let Some((ix, job)) = known else { continue };
                let a = (ix, s.task, attempt);
                if !unwanted(job, m, a) {
                    continue;
                }
                let grace_s = if job.open() {
                    m.stopping.get(&a).copied().unwrap_or(0.0)
                } else {
                    0.0
                };
                if state != TaskState::Saving || grace_s == 0.0 {
                    out.push(Order::Stop {
                        piece,
                        attempt,
                        grace_s,
                    });
                }
            }
        }
    }
    let reported = m.reported;
    let missing = match starts {
        true => missing_starts(cluster, mix, m),
        false => Vec::new(),
    };
    out.extend(missing.iter().map(|a| start(cluster, *a)));
    for a in missing.into_iter().chain(again) {
        if let Some(m) = cluster.machine_mut(mix) {
            m.start_sent.insert(a, reported);
        }
    }
    out
}

fn start(cluster: &ClusterState, a: Attempt) -> Order {
    Order::Start {
        piece: format!("{}/{}", cluster.jobs[a.0.at()].id, a.1),
        attempt: a.2,
    }
}

/// Placements on a machine whose start it has not shown yet.
fn missing_starts(cluster: &ClusterState, mix: MachineIx, m: &Machine) -> Vec<Attempt> {
    let here = cluster.placed_on(mix).iter().copied();
    here.filter(|a| {
        let job = &cluster.jobs[a.0.at()];
        m.seen(*a).is_none() && !unwanted(job, m, *a) && !given_up(m, *a)
    })
    .collect()
}

/// Direct starts for a machine, whose next report may be seconds away.
#[derive(Debug)]
pub struct Push {
    /// Machine.
    pub machine: MachineIx,
    /// Its worker.
    pub addr: String,
    /// Token and session that the orders are bound to.
    pub token: u64,
    /// Session.
    pub session: u64,
    /// Attempts to start.
    pub attempts: Vec<Attempt>,
    /// The orders.
    pub orders: Vec<Order>,
}

/// Starts that no order has gone out for yet, on machines that no report is being answered to.
/// They are noted as possibly late until the worker has answered. `place` tells whether there
/// is a connection left for one more.
pub fn pushes(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    now: Ms,
    mut place: impl FnMut() -> bool,
) -> Vec<Push> {
    let mut out = Vec::new();
    if !config.may_start(cluster, now) {
        return out;
    }
    let permitted = config.permitted(cluster, permits);
    for i in 0..cluster.machines.len() {
        let mix = MachineIx::new(i);
        let Some(m) = cluster.machine(mix) else {
            continue;
        };
        let Some(permit) = permitted[m.shard.at()] else {
            continue;
        };
        let token = permit.token().0;
        let ready = m.takes(now, config.silent_ms)
            && m.answering == 0
            && m.token == token
            && m.stamp.0 > 0
            && !m.addr.is_empty();
        if !ready {
            continue;
        }
        let (addr, session) = (m.addr.clone(), m.stamp.0);
        let late = LateStart {
            token,
            session,
            sent: now,
            answered: false,
        };
        let attempts: Vec<Attempt> = missing_starts(cluster, mix, m)
            .into_iter()
            .filter(|a| !m.start_sent.contains_key(a) && !m.late_starts.contains_key(a))
            .collect();
        if attempts.is_empty() {
            continue;
        }
        if !place() {
            break;
        }
        let orders = attempts.iter().map(|a| start(cluster, *a)).collect();
        if let Some(m) = cluster.machine_mut(mix) {
            m.late_starts.extend(attempts.iter().map(|a| (*a, late)));
        }
        out.push(Push {
            machine: mix,
            addr,
            token,
            session,
            attempts,
            orders,
        });
    }
    out
}

/// How direct starts went.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Pushed {
    /// They were executed.
    Executed,
    /// They never left, or the worker refused them.
    Refused,
    /// There was no answer: they may run at any time until the token has risen.
    Unknown,
}

/// Notes how direct starts went.
pub fn note_pushed(cluster: &mut ClusterState, p: &Push, how: Pushed) {
    let Some(m) = cluster.machine_mut(p.machine) else {
        return;
    };
    for a in &p.attempts {
        match (how, m.late_starts.get_mut(a)) {
            (Pushed::Unknown, _) | (_, None) => {}
            (Pushed::Executed, Some(l)) => l.answered = true,
            (Pushed::Refused, Some(_)) => {
                m.late_starts.remove(a);
            }
        }
    }
}

/// Attempts that should leave a machine that goes, with the time to save.
pub fn on_notice(cluster: &ClusterState, mix: MachineIx) -> Vec<(Attempt, f64)> {
    let Some(m) = cluster.machine(mix).filter(|m| m.leaves.is_some()) else {
        return Vec::new();
    };
    m.tasks
        .iter()
        .filter_map(|t| {
            let ix = t.job?;
            let s = cluster.jobs[ix.at()].spec.as_ref()?;
            let saves = s.wire.checkpoint_s > 0.0 && t.state == TaskState::Running;
            let moves = s.wire.shape == Shape::Service || t.state == TaskState::Fetching;
            (saves || moves).then_some(((ix, t.task, t.attempt), s.wire.save_s + 1.0))
        })
        .collect()
}
