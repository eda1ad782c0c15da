//! Workers' reports.

use crate::coordination::controller::Controller;
use crate::coordination::scheduler::commands;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::workers::{
    split_task, ExitReason, Heartbeat, HeartbeatResponse, HeartbeatVersion, NotOwner, TaskState,
    TaskStatus,
};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::{Machine, ObservedTask, TaskAttempt};
use crate::state::names::{Index, JobIndex, MachineIndex, ShardIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use crate::transport::http::Answer;
use standby::failover::Refusal;
use standby::ids::FencingToken;
use standby::permit::Permits;
use std::rc::Rc;

/// Time that an answer gives the planner to settle and claim first.
const PLAN_MS: u64 = 400;
/// Different jobs that may fail on a machine before it counts as faulty.
const FAILED_JOBS_BEFORE_QUARANTINE: usize = 2;
/// Different machines on which a job may fail before it is backed off.
const BAD_JOB_MACHINES: usize = 3;
/// First wait of a job that is backed off; it doubles with each further machine.
const BACK_OFF_MS: u64 = 5000;

fn elsewhere(report_to: Option<String>) -> Answer {
    Answer::of(421, &NotOwner { owner: report_to })
}

/// Answers a report.
pub async fn handle(controller: &Rc<Controller>, body: Option<Vec<u8>>) -> Answer {
    let parsed = body.as_deref().map(rmp_serde::from_slice::<Heartbeat>);
    let Some(Ok(report)) = parsed else {
        controller.warn_rate_limited("unreadable report ignored");
        return Answer::bare(400);
    };
    controller.record_worker_contact();
    if !controller.cluster.borrow().loaded {
        return Answer::later(1);
    }
    let lease_ms = millis_from_seconds(controller.platform.settings.workers.lease_s);
    let received = {
        let mut cluster = controller.cluster.borrow_mut();
        receive(
            &mut cluster,
            &controller.config,
            &report,
            lease_ms,
            controller.now(),
        )
    };
    let (machine_index, token, taken) = match received {
        HeartbeatOutcome::NotOwner(owner) => return elsewhere(owner),
        HeartbeatOutcome::StaleFencingToken(shard, seen) => {
            controller.token_refused(shard, Refusal::Worker { seen });
            return elsewhere(None);
        }
        HeartbeatOutcome::Accepted(machine_index, token, taken) => (machine_index, token, taken),
    };
    if taken == HeartbeatChange::Changed {
        let answering = |by: i32| {
            if let Some(m) = controller.cluster.borrow_mut().machine_mut(machine_index) {
                m.responses_in_progress = m.responses_in_progress.saturating_add_signed(by);
            }
        };
        answering(1);
        controller.scheduling.request_round(PLAN_MS).await;
        answering(-1);
    }
    let permits = controller.permits();
    let mut cluster = controller.cluster.borrow_mut();
    let now = controller.now();
    match reply(
        &mut cluster,
        &controller.config,
        &permits,
        &report,
        (machine_index, token, taken),
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
    report: &Heartbeat,
    machine_index: MachineIndex,
    now: MonotonicMillis,
) -> bool {
    let runs = report.tasks.iter().any(|t| t.state != TaskState::Exited);
    (runs || !cluster.placed_on(machine_index).is_empty()) && !config.may_renew(cluster, now)
}

/// What becomes of a report.
#[derive(Debug)]
pub enum HeartbeatOutcome {
    /// It is for another node, which is named if it is known.
    NotOwner(Option<String>),
    /// Its worker has seen a higher token than the own one: someone else commands its shard.
    StaleFencingToken(ShardIndex, FencingToken),
    /// It was taken: machine, own token, and what it brought.
    Accepted(MachineIndex, FencingToken, HeartbeatChange),
}

/// Takes a report if its machine is this node's.
pub fn receive(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    report: &Heartbeat,
    lease_ms: u64,
    now: MonotonicMillis,
) -> HeartbeatOutcome {
    let learnt = cluster.learn_machine(
        &report.machine,
        &report.machine_type,
        &report.zone,
        report.spot,
        now,
    );
    let Some((machine_index, shard)) = learnt
        .and_then(|machine_index| Some((machine_index, cluster.machine(machine_index)?.shard)))
    else {
        return HeartbeatOutcome::NotOwner(None);
    };
    if !config.owns(cluster, shard) {
        let owner = cluster.live_owner(shard).map(str::to_string);
        return HeartbeatOutcome::NotOwner(owner.filter(|o| *o != config.controller_name));
    }
    let token = cluster.shards[shard.at()].record.fencing_token;
    if report.fencing_token > token {
        // Someone else commands this machine: stand down.
        log::info!(
            "{}: token {} is above ours, {token}",
            report.machine,
            report.fencing_token
        );
        return HeartbeatOutcome::StaleFencingToken(shard, report.fencing_token);
    }
    let taken = take(cluster, machine_index, report, now, Some((token, lease_ms)));
    HeartbeatOutcome::Accepted(machine_index, token, taken)
}

/// The answer to a taken report; `None` if ownership went while the planner was waited for, or
/// if too little is known of cancellations to renew the lease.
pub fn reply(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    report: &Heartbeat,
    (machine_index, token, taken): (MachineIndex, FencingToken, HeartbeatChange),
    now: MonotonicMillis,
) -> Option<HeartbeatResponse> {
    let m = cluster.machine(machine_index)?;
    if !config.owns(cluster, m.shard) || cluster.shards[m.shard.at()].record.fencing_token != token
    {
        return None;
    }
    let outdated = outdated(cluster, config, report, machine_index, now);
    let m = cluster.machine_mut(machine_index)?;
    if outdated {
        // The session will end for that, and not because nothing reaches the machine.
        m.responding_since = Some(now);
        log::info!("{}: no answer, cancellations may have been missed", m.name);
        return None;
    }
    m.last_response = Some(now);
    let m = &*m;
    // A late copy is not what its worker waits for: no order in this answer would arrive.
    let newest = taken != HeartbeatChange::Stale && m.message_version == report.version();
    let orders = if newest {
        commands::heartbeat_commands(cluster, config, permits, machine_index, now)
    } else {
        Vec::new()
    };
    Some(HeartbeatResponse {
        fencing_token: token,
        commands: orders,
    })
}

/// What a report brought.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum HeartbeatChange {
    /// It is no newer than what is known: a late copy, or overtaken.
    Stale,
    /// It is newer, and shows what was known.
    Unchanged,
    /// It shows something that the planner should look at before the answer.
    Changed,
}

/// The tasks of a report, names resolved.
fn seen_tasks(cluster: &ClusterState, r: &Heartbeat) -> Vec<ObservedTask> {
    let seen = |t: &TaskStatus| {
        let (job, task) = split_task(&t.task)?;
        Some(ObservedTask {
            job: cluster.job(job).map(|(ix, _)| ix),
            name: t.task.as_str().into(),
            task,
            attempt: t.attempt,
            state: t.state,
            exit_reason: t.exit_reason,
        })
    };
    r.tasks.iter().filter_map(seen).collect()
}

/// True if a report shows something else than the one before it.
fn has_news(m: &Machine, r: &Heartbeat, tasks: &[ObservedTask]) -> bool {
    m.message_version.agent_epoch != r.agent_epoch
        || m.fencing_token != r.fencing_token
        || m.preemption_deadline.is_some() != r.preemption_notice_s.is_some()
        || m.tasks.len() != tasks.len()
        || tasks.iter().zip(&m.tasks).any(|(a, b)| !a.same_state_as(b))
}

/// Notes tasks that have exited since the last report; the jobs of those that failed.
fn note_exits(m: &mut Machine, tasks: &[ObservedTask]) -> Vec<JobIndex> {
    let mut failed = Vec::new();
    for s in tasks.iter().filter(|s| s.state == TaskState::Exited) {
        let attempt = s.task_attempt();
        let before = attempt.and_then(|a| m.observed(a)).map(|o| o.state);
        if before == Some(TaskState::Exited) {
            continue;
        }
        let why = s.exit_reason.unwrap_or(ExitReason::Other);
        if why != ExitReason::Done {
            let (name, attempt) = (&s.name, s.attempt);
            log::debug!("{name} attempt {attempt} exited on {}: {why:?}", m.name);
        }
        // What is no job's task, or of an unknown job, says nothing of the machine.
        let Some(attempt) = attempt else { continue };
        match why {
            ExitReason::Done => m.failed_jobs.clear(),
            ExitReason::Error => failed.push(attempt.job),
            ExitReason::GangTimeout => *m.gang_timeouts.entry(attempt).or_default() += 1,
            _ => {}
        }
    }
    failed
}

/// Notes what a message says of the machine; `token`: the owner's, if the message is a report.
fn note_message(
    m: &mut Machine,
    r: &Heartbeat,
    tasks: Vec<ObservedTask>,
    now: MonotonicMillis,
    token: Option<FencingToken>,
) {
    m.addr.clone_from(&r.addr);
    m.message_version = r.version();
    if let Some(token) = token {
        m.heartbeat_version = m.message_version;
        m.fencing_token = r.fencing_token;
        if r.fencing_token == token {
            m.last_heartbeat = Some(now);
            m.cordoned_by_owner = false;
        }
    }
    m.spot = r.spot;
    if let Some(notice_s) = r
        .preemption_notice_s
        .filter(|_| m.preemption_deadline.is_none())
    {
        log::info!("machine {} is taken in {notice_s:.0} s", m.name);
    }
    m.preemption_deadline = r
        .preemption_notice_s
        .map(|s| now.plus(millis_from_seconds(s)));
    m.tasks = tasks;
    let shown: Vec<TaskAttempt> = m
        .tasks
        .iter()
        .filter_map(ObservedTask::task_attempt)
        .collect();
    m.observed_attempts.extend(shown);
}

/// Drops direct starts that can't run any more: token or session has changed, or the start was
/// executed and nothing of it is left.
fn drop_late_starts(m: &mut Machine, r: &Heartbeat, placed: &[TaskAttempt]) {
    let shown = &m.tasks;
    m.in_flight_starts.retain(|a, l| {
        let here = || placed.contains(a) || shown.iter().any(|s| s.task_attempt() == Some(*a));
        l.fencing_token >= r.fencing_token
            && l.agent_epoch == r.agent_epoch
            && (!l.acknowledged || here())
    });
}

/// Notes failures of these jobs on a machine, which counts as faulty after several.
fn note_sick(m: &mut Machine, failed: &[JobIndex]) {
    m.failed_jobs.extend(failed);
    if m.failed_jobs.len() >= FAILED_JOBS_BEFORE_QUARANTINE && !m.quarantined {
        let name = &m.name;
        log::warn!("machine {name} fails tasks of different jobs, it gets nothing more");
        m.quarantined = true;
    }
}

/// Notes that a job failed on a machine. One that fails everywhere is backed off: neither
/// machines nor other jobs should suffer from it.
fn note_failure(
    cluster: &mut ClusterState,
    ix: JobIndex,
    machine_index: MachineIndex,
    now: MonotonicMillis,
) {
    let failures = cluster.failures.entry(ix).or_default();
    failures.machines.insert(machine_index);
    let on = failures.machines.len();
    if on < BAD_JOB_MACHINES {
        return;
    }
    let wait = BACK_OFF_MS << (on - BAD_JOB_MACHINES).min(4);
    failures.retry_at = now.plus(wait);
    failures.machines.clear();
    let id = &cluster.jobs[ix.at()].id;
    log::warn!("job {id} fails on different machines, next try in {wait} ms");
}

/// Takes a report, or the same in a worker's answer to direct commands, into the view.
///
/// `under`: for a report, the owner's token and the workers' lease.
pub fn take(
    cluster: &mut ClusterState,
    machine_index: MachineIndex,
    r: &Heartbeat,
    now: MonotonicMillis,
    under: Option<(FencingToken, u64)>,
) -> HeartbeatChange {
    let tasks = seen_tasks(cluster, r);
    let placed = cluster.placed_on(machine_index).to_vec();
    let Some(m) = cluster.machine_mut(machine_index) else {
        return HeartbeatChange::Stale;
    };
    if r.version() <= m.message_version {
        return HeartbeatChange::Stale;
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
        note_failure(cluster, ix, machine_index, now);
    }
    for (a, grace) in commands::checkpoint_before_preemption(cluster, machine_index) {
        if let Some(m) = cluster.machine_mut(machine_index) {
            m.stopping.entry(a).or_insert(grace);
        }
    }
    prune(cluster, machine_index, &placed);
    cluster.recompute_free_capacity(machine_index);
    if news {
        HeartbeatChange::Changed
    } else {
        HeartbeatChange::Unchanged
    }
}

/// Reports in a row without a start that an answer held, after which nothing reaches a machine.
const MAX_UNOBSERVED_STARTS: u8 = 3;

/// Judges whether what this owner answers reaches the worker.
///
/// Two signs that it does not: a session that ended although its reports were answered all
/// along, and starts in answers that later reports do not show. Such a machine is no room,
/// and its tasks would wait there for ever. One that shows an order's effect is reached again.
fn listen(
    m: &mut Machine,
    r: &Heartbeat,
    tasks: &[ObservedTask],
    placed: &[TaskAttempt],
    now: MonotonicMillis,
    token: FencingToken,
    lease_ms: u64,
) {
    let answered = m.fencing_token == token
        && m.last_heartbeat
            .is_some_and(|h| now.since(h) < lease_ms / 2);
    let stamp = r.version();
    if r.agent_epoch > m.message_version.agent_epoch && m.message_version.agent_epoch.is_known() {
        m.unobserved_starts = 0;
        if answered && m.responding_since.is_some_and(|s| now.since(s) > lease_ms) {
            log::warn!(
                "machine {}: its session ended while it was answered",
                m.name
            );
            m.unreachable_since = m.unreachable_since.or(Some(now));
        }
        m.responding_since = Some(now);
        return;
    }
    if !answered {
        m.responding_since = Some(now);
    }
    let shows = |a: &TaskAttempt| tasks.iter().any(|s| s.task_attempt() == Some(*a));
    let waited = |(a, sent): (&TaskAttempt, &HeartbeatVersion)| *sent < stamp && placed.contains(a);
    let mut pending = m.start_sent.iter().filter(|x| waited(*x)).peekable();
    if pending.peek().is_none() {
        m.unobserved_starts = 0;
    } else if pending.any(|(a, _)| shows(a)) {
        m.mark_reachable(now);
    } else {
        m.unobserved_starts = m.unobserved_starts.saturating_add(1);
        if m.unobserved_starts >= MAX_UNOBSERVED_STARTS && m.unreachable_since.is_none() {
            log::warn!(
                "machine {} shows nothing of {} starts",
                m.name,
                m.unobserved_starts
            );
            m.unreachable_since = Some(now);
        }
    }
}

/// Drops what is remembered of attempts that have no placement here any more.
fn prune(cluster: &mut ClusterState, machine_index: MachineIndex, placed: &[TaskAttempt]) {
    if let Some(m) = cluster.machine_mut(machine_index) {
        // Late starts stay: they outlive their placement.
        m.start_sent.retain(|a, _| placed.contains(a));
        m.observed_attempts.retain(|a| placed.contains(a));
        m.gang_timeouts.retain(|a, _| placed.contains(a));
        m.stopping.retain(|a, _| placed.contains(a));
    }
}
