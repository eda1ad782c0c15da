//! Workers' reports.

use super::node::Node;
use super::plan;
use crate::bookkeeping::fleet::{Attempt, Seen};
use crate::bookkeeping::names::{Index, JobIx, MachineIx};
use crate::bookkeeping::units::{ms_of, Ms};
use crate::bookkeeping::view::View;
use crate::protocol::workers::{split_task, Elsewhere, Report, ReportAnswer, TaskState, Why};
use crate::transport::http::Answer;
use std::rc::Rc;

/// Time that an answer gives the planner to settle and claim first.
const PLAN_MS: u64 = 400;
/// Different jobs that may fail on a machine before it counts as faulty.
const SICK_JOBS: usize = 2;
/// Different machines on which a job may fail before it is backed off.
const BAD_JOB_MACHINES: usize = 3;

fn elsewhere(report_to: Option<String>) -> Answer {
    Answer::of(421, &Elsewhere { report_to })
}

/// Answers a report.
pub async fn handle(node: &Rc<Node>, body: Option<Vec<u8>>) -> Answer {
    let parsed = body.as_deref().map(rmp_serde::from_slice::<Report>);
    let Some(Ok(report)) = parsed else {
        log::warn!("unreadable report ignored");
        return Answer::bare(400);
    };
    if !node.view.borrow().loaded {
        return Answer::later(1);
    }
    let now = node.now();
    let (mix, token, changed) = {
        let mut view = node.view.borrow_mut();
        let view = &mut *view;
        let learnt =
            view.learn_machine(&report.machine, &report.rig, &report.zone, report.spot, now);
        let Some(mix) = learnt else {
            return elsewhere(None);
        };
        let Some(shard) = view.machine(mix).map(|m| m.shard) else {
            return elsewhere(None);
        };
        if !node.rules.owns(view, shard) {
            let owner = view.live_owner(shard).map(str::to_string);
            return elsewhere(owner.filter(|o| *o != node.rules.node));
        }
        let token = view.shards[shard.at()].rec.token;
        if report.token > token {
            // Someone else commands this machine: stand down.
            log::info!(
                "{}: token {} is above ours, {token}",
                report.machine,
                report.token
            );
            return elsewhere(None);
        }
        (mix, token, take(view, mix, &report, now, true))
    };
    if changed {
        let answering = |by: i32| {
            if let Some(m) = node.view.borrow_mut().machine_mut(mix) {
                m.answering = m.answering.saturating_add_signed(by);
            }
        };
        answering(1);
        node.plan.turn(PLAN_MS).await;
        answering(-1);
    }
    let mut view = node.view.borrow_mut();
    // Ownership may have gone while the planner was waited for.
    let still = view.machine(mix).is_some_and(|m| {
        node.rules.owns(&view, m.shard) && view.shards[m.shard.at()].rec.token == token
    });
    if !still {
        return elsewhere(None);
    }
    let newest = view
        .machine(mix)
        .is_some_and(|m| m.stamp == (report.session, report.seq));
    let orders = if newest {
        plan::orders(&mut view, &node.rules, mix)
    } else {
        Vec::new()
    };
    Answer::of(200, &ReportAnswer { token, orders })
}

/// Takes a report, or the same in a worker's answer to direct commands, into the view;
/// true if the planner should look at it before the answer.
pub fn take(view: &mut View, mix: MachineIx, r: &Report, now: Ms, is_report: bool) -> bool {
    let tasks: Vec<Seen> = r
        .tasks
        .iter()
        .filter_map(|t| {
            let (job, task) = split_task(&t.task)?;
            Some(Seen {
                job: view.job(job).map(|(ix, _)| ix),
                name: t.task.as_str().into(),
                task,
                attempt: t.attempt,
                state: t.state,
                why: t.why,
            })
        })
        .collect();
    let mut failed: Vec<JobIx> = Vec::new();
    {
        let Some(m) = view.machine_mut(mix) else {
            return false;
        };
        if (r.session, r.seq) <= m.stamp {
            return false;
        }
        let fresh_exit = |m: &crate::bookkeeping::fleet::Machine, s: &Seen, why: Why| {
            s.state == TaskState::Exited
                && s.why == Some(why)
                && s.job.is_some_and(|j| {
                    m.seen((j, s.task, s.attempt))
                        .is_none_or(|o| o.state != TaskState::Exited)
                })
        };
        for s in &tasks {
            if fresh_exit(m, s, Why::Done) {
                m.failed_jobs.clear();
            }
            if fresh_exit(m, s, Why::Error) {
                failed.extend(s.job);
            }
            let known = s
                .job
                .and_then(|j| m.seen((j, s.task, s.attempt)))
                .map(|o| o.state);
            if s.state == TaskState::Exited
                && s.why != Some(Why::Done)
                && known != Some(TaskState::Exited)
            {
                let why = s.why.unwrap_or(Why::Other);
                log::debug!(
                    "{} attempt {} exited on {}: {why:?}",
                    s.name,
                    s.attempt,
                    m.name
                );
            }
        }
        m.addr.clone_from(&r.addr);
        m.stamp = (r.session, r.seq);
        if is_report {
            m.reported = m.stamp;
            m.token = r.token;
            m.heard = Some(now);
        }
        m.spot = r.spot;
        if m.leaves.is_none() && r.notice_s.is_some() {
            log::info!(
                "machine {} is taken in {:.0} s",
                m.name,
                r.notice_s.unwrap_or(0.0)
            );
        }
        m.leaves = r.notice_s.map(|s| now.plus(ms_of(s)));
        m.tasks = tasks;
        let shown: Vec<Attempt> = m
            .tasks
            .iter()
            .filter_map(|s| Some((s.job?, s.task, s.attempt)))
            .collect();
        m.shown.extend(shown);
        let (token, session) = (r.token, r.session);
        m.late_starts
            .retain(|_, l| l.token >= token && l.session == session);
        m.failed_jobs.extend(&failed);
        if m.failed_jobs.len() >= SICK_JOBS && !m.sick {
            log::warn!(
                "machine {} fails tasks of different jobs, it gets nothing more",
                m.name
            );
            m.sick = true;
        }
    }
    for ix in failed {
        let entry = view.failures.entry(ix).or_default();
        entry.0.insert(mix);
        let on = entry.0.len();
        if on >= BAD_JOB_MACHINES {
            // It fails everywhere: neither machines nor other jobs should suffer from it.
            let wait = 5000u64 << (on - BAD_JOB_MACHINES).min(4);
            entry.1 = now.plus(wait);
            entry.0.clear();
            log::warn!(
                "job {} fails on different machines, next try in {wait} ms",
                view.jobs[ix.at()].id
            );
        }
    }
    for (a, grace) in plan::on_notice(view, mix) {
        if let Some(m) = view.machine_mut(mix) {
            m.stopping.entry(a).or_insert(grace);
        }
    }
    prune(view, mix);
    view.recount(mix);
    true
}

/// Drops what is remembered of attempts that have no placement here any more.
fn prune(view: &mut View, mix: MachineIx) {
    let placed = view.placed_on(mix).to_vec();
    if let Some(m) = view.machine_mut(mix) {
        // Late starts stay: they outlive their placement.
        m.start_sent.retain(|a, _| placed.contains(a));
        m.shown.retain(|a| placed.contains(a));
        m.stopping.retain(|a, _| placed.contains(a));
    }
}
