//! Workers' reports.

use crate::coordination::controller::Node;
use crate::coordination::scheduler::commands;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::workers::{
    split_task, Elsewhere, Report, ReportAnswer, TaskReport, TaskState, Why,
};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::{Attempt, Machine, Seen, Stamp};
use crate::state::names::{Index, JobIx, MachineIx, ShardIx};
use crate::state::units::{ms_of, Ms};
use crate::transport::http::Answer;
use standby::failover::Refusal;
use standby::ids::Token;
use standby::permit::Permits;
use std::rc::Rc;

/// Time that an answer gives the planner to settle and claim first.
const PLAN_MS: u64 = 400;
/// Different jobs that may fail on a machine before it counts as faulty.
const SICK_JOBS: usize = 2;
/// Different machines on which a job may fail before it is backed off.
const BAD_JOB_MACHINES: usize = 3;
/// First wait of a job that is backed off; it doubles with each further machine.
const BACK_OFF_MS: u64 = 5000;

fn elsewhere(report_to: Option<String>) -> Answer {
    Answer::of(421, &Elsewhere { report_to })
}

/// Answers a report.
pub async fn handle(node: &Rc<Node>, body: Option<Vec<u8>>) -> Answer {
    let parsed = body.as_deref().map(rmp_serde::from_slice::<Report>);
    let Some(Ok(report)) = parsed else {
        node.complain("unreadable report ignored");
        return Answer::bare(400);
    };
    node.heard_worker();
    if !node.cluster.borrow().loaded {
        return Answer::later(1);
    }
    let lease_ms = ms_of(node.platform.settings.workers.lease_s);
    let received = {
        let mut cluster = node.cluster.borrow_mut();
        receive(&mut cluster, &node.config, &report, lease_ms, node.now())
    };
    let (mix, token, taken) = match received {
        Received::Elsewhere(owner) => return elsewhere(owner),
        Received::Outranked(shard, seen) => {
            node.token_refused(shard, Refusal::Worker { seen: Token(seen) });
            return elsewhere(None);
        }
        Received::Taken(mix, token, taken) => (mix, token, taken),
    };
    if taken == Taken::News {
        let answering = |by: i32| {
            if let Some(m) = node.cluster.borrow_mut().machine_mut(mix) {
                m.answering = m.answering.saturating_add_signed(by);
            }
        };
        answering(1);
        node.plan.turn(PLAN_MS).await;
        answering(-1);
    }
    let permits = node.permits();
    let mut cluster = node.cluster.borrow_mut();
    let now = node.now();
    match reply(
        &mut cluster,
        &node.config,
        &permits,
        &report,
        (mix, token, taken),
        now,
    ) {
        Some(answer) => Answer::of(200, &answer),
        None => elsewhere(None),
    }
}

/// True if this answer would renew the lease of a machine with tasks although some of them may
/// have been cancelled too long ago, see [`SchedulerConfig::may_renew`]. One without tasks loses nothing.
fn outdated(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    report: &Report,
    mix: MachineIx,
    now: Ms,
) -> bool {
    let runs = report.tasks.iter().any(|t| t.state != TaskState::Exited);
    (runs || !cluster.placed_on(mix).is_empty()) && !config.may_renew(cluster, now)
}

/// What becomes of a report.
#[derive(Debug)]
pub enum Received {
    /// It is for another node, which is named if it is known.
    Elsewhere(Option<String>),
    /// Its worker has seen a higher token than the own one: someone else commands its shard.
    Outranked(ShardIx, u64),
    /// It was taken: machine, own token, and what it brought.
    Taken(MachineIx, u64, Taken),
}

/// Takes a report if its machine is this node's.
pub fn receive(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    report: &Report,
    lease_ms: u64,
    now: Ms,
) -> Received {
    let learnt = cluster.learn_machine(
        &report.machine,
        &report.machine_type,
        &report.zone,
        report.spot,
        now,
    );
    let Some((mix, shard)) = learnt.and_then(|mix| Some((mix, cluster.machine(mix)?.shard))) else {
        return Received::Elsewhere(None);
    };
    if !config.owns(cluster, shard) {
        let owner = cluster.live_owner(shard).map(str::to_string);
        return Received::Elsewhere(owner.filter(|o| *o != config.node));
    }
    let token = cluster.shards[shard.at()].rec.token;
    if report.token > token {
        // Someone else commands this machine: stand down.
        log::info!(
            "{}: token {} is above ours, {token}",
            report.machine,
            report.token
        );
        return Received::Outranked(shard, report.token);
    }
    let taken = take(cluster, mix, report, now, Some((token, lease_ms)));
    Received::Taken(mix, token, taken)
}

/// The answer to a taken report; `None` if ownership went while the planner was waited for, or
/// if too little is known of cancellations to renew the lease.
pub fn reply(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    report: &Report,
    (mix, token, taken): (MachineIx, u64, Taken),
    now: Ms,
) -> Option<ReportAnswer> {
    let m = cluster.machine(mix)?;
    if !config.owns(cluster, m.shard) || cluster.shards[m.shard.at()].rec.token != token {
        return None;
    }
    let outdated = outdated(cluster, config, report, mix, now);
    let m = cluster.machine_mut(mix)?;
    if outdated {
        // The session will end for that, and not because nothing reaches the machine.
        m.answered_since = Some(now);
        log::info!("{}: no answer, cancellations may have been missed", m.name);
        return None;
    }
    m.answered = Some(now);
    let m = &*m;
    // A late copy is not what its worker waits for: no order in this answer would arrive.
    let newest = taken != Taken::Old && m.stamp == (report.session, report.seq);
    let orders = if newest {
        commands::orders(cluster, config, permits, mix, now)
    } else {
        Vec::new()
    };
    Some(ReportAnswer { token, orders })
}

/// What a report brought.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Taken {
    /// It is no newer than what is known: a late copy, or overtaken.
    Old,
    /// It is newer, and shows what was known.
    Same,
    /// It shows something that the planner should look at before the answer.
    News,
}

/// The tasks of a report, names resolved.
fn seen_tasks(cluster: &ClusterState, r: &Report) -> Vec<Seen> {
    let seen = |t: &TaskReport| {
        let (job, task) = split_task(&t.task)?;
        Some(Seen {
            job: cluster.job(job).map(|(ix, _)| ix),
            name: t.task.as_str().into(),
            task,
            attempt: t.attempt,
            state: t.state,
            why: t.why,
        })
    };
    r.tasks.iter().filter_map(seen).collect()
}

/// True if a report shows something else than the one before it.
fn has_news(m: &Machine, r: &Report, tasks: &[Seen]) -> bool {
    m.stamp.0 != r.session
        || m.token != r.token
        || m.leaves.is_some() != r.notice_s.is_some()
        || m.tasks.len() != tasks.len()
        || tasks.iter().zip(&m.tasks).any(|(a, b)| !a.same(b))
}

/// Notes tasks that have exited since the last report; the jobs of those that failed.
fn note_exits(m: &mut Machine, tasks: &[Seen]) -> Vec<JobIx> {
    let mut failed = Vec::new();
    for s in tasks.iter().filter(|s| s.state == TaskState::Exited) {
        let attempt = s.attempt_of();
        let before = attempt.and_then(|a| m.seen(a)).map(|o| o.state);
        if before == Some(TaskState::Exited) {
            continue;
        }
        let why = s.why.unwrap_or(Why::Other);
        if why != Why::Done {
            let (name, attempt) = (&s.name, s.attempt);
            log::debug!("{name} attempt {attempt} exited on {}: {why:?}", m.name);
        }
        // What is no job's task, or of an unknown job, says nothing of the machine.
        let Some(attempt) = attempt else { continue };
        match why {
            Why::Done => m.failed_jobs.clear(),
            Why::Error => failed.push(attempt.0),
            Why::Alone => *m.alone.entry(attempt).or_default() += 1,
            _ => {}
        }
    }
    failed
}

/// Notes what a message says of the machine; `token`: the owner's, if the message is a report.
fn note_message(m: &mut Machine, r: &Report, tasks: Vec<Seen>, now: Ms, token: Option<u64>) {
    m.addr.clone_from(&r.addr);
    m.stamp = (r.session, r.seq);
    if let Some(token) = token {
        m.reported = m.stamp;
        m.token = r.token;
        if r.token == token {
            m.heard = Some(now);
            m.closed_elsewhere = false;
        }
    }
    m.spot = r.spot;
    if let Some(notice_s) = r.notice_s.filter(|_| m.leaves.is_none()) {
        log::info!("machine {} is taken in {notice_s:.0} s", m.name);
    }
    m.leaves = r.notice_s.map(|s| now.plus(ms_of(s)));
    m.tasks = tasks;
    let shown: Vec<Attempt> = m.tasks.iter().filter_map(Seen::attempt_of).collect();
    m.shown.extend(shown);
}

/// Drops direct starts that can't run any more: token or session has changed, or the start was
/// executed and nothing of it is left.
fn drop_late_starts(m: &mut Machine, r: &Report, placed: &[Attempt]) {
    let shown = &m.tasks;
    m.late_starts.retain(|a, l| {
        let here = || placed.contains(a) || shown.iter().any(|s| s.attempt_of() == Some(*a));
        l.token >= r.token && l.session == r.session && (!l.answered || here())
    });
}

/// Notes failures of these jobs on a machine, which counts as faulty after several.
fn note_sick(m: &mut Machine, failed: &[JobIx]) {
    m.failed_jobs.extend(failed);
    if m.failed_jobs.len() >= SICK_JOBS && !m.sick {
        let name = &m.name;
        log::warn!("machine {name} fails tasks of different jobs, it gets nothing more");
        m.sick = true;
    }
}

/// Notes that a job failed on a machine. One that fails everywhere is backed off: neither
/// machines nor other jobs should suffer from it.
fn note_failure(cluster: &mut ClusterState, ix: JobIx, mix: MachineIx, now: Ms) {
    let entry = cluster.failures.entry(ix).or_default();
    entry.0.insert(mix);
    let on = entry.0.len();
    if on < BAD_JOB_MACHINES {
        return;
    }
    let wait = BACK_OFF_MS << (on - BAD_JOB_MACHINES).min(4);
    entry.1 = now.plus(wait);
    entry.0.clear();
    let id = &cluster.jobs[ix.at()].id;
    log::warn!("job {id} fails on different machines, next try in {wait} ms");
}

/// Takes a report, or the same in a worker's answer to direct commands, into the view.
///
/// `under`: for a report, the owner's token and the workers' lease.
pub fn take(
    cluster: &mut ClusterState,
    mix: MachineIx,
    r: &Report,
    now: Ms,
    under: Option<(u64, u64)>,
) -> Taken {
    let tasks = seen_tasks(cluster, r);
    let placed = cluster.placed_on(mix).to_vec();
    let Some(m) = cluster.machine_mut(mix) else {
        return Taken::Old;
    };
    if (r.session, r.seq) <= m.stamp {
        return Taken::Old;
    }
    let news = has_news(m, r, &tasks);
    if let Some((token, lease_ms)) = under {
        listen(m, r, &tasks, &placed, now, token, lease_ms);
    }
    let failed = note_exits(m, &tasks);
    note_message(m, r, tasks, now, under.map(|(token, _)| token));
    drop_late_starts(m, r, &placed);
    note_sick(m, &failed);
    for ix in failed {
        note_failure(cluster, ix, mix, now);
    }
    for (a, grace) in commands::on_notice(cluster, mix) {
        if let Some(m) = cluster.machine_mut(mix) {
            m.stopping.entry(a).or_insert(grace);
        }
    }
    prune(cluster, mix, &placed);
    cluster.recount(mix);
    if news {
        Taken::News
    } else {
        Taken::Same
    }
}

/// Reports in a row without a start that an answer held, after which nothing reaches a machine.
const MISSES: u8 = 3;

/// Judges whether what this owner answers reaches the worker.
///
/// Two signs that it does not: a session that ended although its reports were answered all
/// along, and starts in answers that later reports do not show. Such a machine is no room,
/// and its tasks would wait there for ever. One that shows an order's effect is reached again.
fn listen(
    m: &mut Machine,
    r: &Report,
    tasks: &[Seen],
    placed: &[Attempt],
    now: Ms,
    token: u64,
    lease_ms: u64,
) {
    let answered = m.token == token && m.heard.is_some_and(|h| now.since(h) < lease_ms / 2);
    let stamp = (r.session, r.seq);
    if r.session > m.stamp.0 && m.stamp.0 > 0 {
        m.misses = 0;
        if answered && m.answered_since.is_some_and(|s| now.since(s) > lease_ms) {
            log::warn!(
                "machine {}: its session ended while it was answered",
                m.name
            );
            m.deaf = m.deaf.or(Some(now));
        }
        m.answered_since = Some(now);
        return;
    }
    if !answered {
        m.answered_since = Some(now);
    }
    let shows = |a: &Attempt| tasks.iter().any(|s| s.attempt_of() == Some(*a));
    let waited = |(a, sent): (&Attempt, &Stamp)| *sent < stamp && placed.contains(a);
    let mut pending = m.start_sent.iter().filter(|x| waited(*x)).peekable();
    if pending.peek().is_none() {
        m.misses = 0;
    } else if pending.any(|(a, _)| shows(a)) {
        m.reached(now);
    } else {
        m.misses = m.misses.saturating_add(1);
        if m.misses >= MISSES && m.deaf.is_none() {
            log::warn!("machine {} shows nothing of {} starts", m.name, m.misses);
            m.deaf = Some(now);
        }
    }
}

/// Drops what is remembered of attempts that have no placement here any more.
fn prune(cluster: &mut ClusterState, mix: MachineIx, placed: &[Attempt]) {
    if let Some(m) = cluster.machine_mut(mix) {
        // Late starts stay: they outlive their placement.
        m.start_sent.retain(|a, _| placed.contains(a));
        m.shown.retain(|a| placed.contains(a));
        m.alone.retain(|a, _| placed.contains(a));
        m.stopping.retain(|a, _| placed.contains(a));
    }
}
