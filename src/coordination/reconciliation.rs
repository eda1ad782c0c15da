//! What reports and deletions prove of placements.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{ExitReason, TaskState};
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, JobState};
use crate::state::machine::{Machine, ObservedTask, TaskAttempt};
use crate::state::names::{Index, JobIndex, MachineIndex};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;
use standby::permit::Permits;

/// True if a gang has lost some of its tasks and the rest has to go.
pub fn is_broken_gang(job: &Job) -> bool {
    let Some(s) = &job.spec else { return false };
    s.is_wide_gang()
        && job.is_open()
        && !job.placements.is_empty()
        && (job.placements.len() as u32) < s.tasks()
}

/// True if the placement must not run any more.
pub fn is_unwanted(job: &Job, m: &Machine, a: TaskAttempt) -> bool {
    !job.is_open() || job.done.has(a.task) || m.stopping.contains_key(&a) || is_broken_gang(job)
}

/// True if the newest report proves that the attempt is not there and can't begin later.
///
/// A start in a report's answer can't run late: a report newer than the one it answered
/// shows its effect or its loss. Answers to direct commands prove no absence, since such
/// an answer may still be on its way to the worker. A direct start without an answer may
/// run at any time until the token is raised or the session ends. A report under the
/// owner's own token shuts out every older owner's orders.
pub fn proven_absent(m: &Machine, token: FencingToken, a: TaskAttempt) -> bool {
    m.last_heartbeat.is_some()
        && m.fencing_token == token
        && token.is_issued()
        && m.observed(a).is_none()
        && m.start_sent
            .get(&a)
            .is_none_or(|sent| *sent < m.heartbeat_version)
        && !start_in_flight(m, token, a)
}

/// True if an attempt that is not there should not be started there any more: it was there
/// and is lost, or nothing reaches the machine.
pub(crate) fn is_abandoned(m: &Machine, a: TaskAttempt) -> bool {
    m.observed_attempts.contains(&a) || m.unreachable_since.is_some()
}

/// Notes that the placements which a draft removes are given up: call it before the draft is
/// sent.
///
/// What proves an attempt gone holds for as long as no start for it goes out. While the
/// transaction is on its way, which may take seconds, the machine may report again, lacking the
/// attempt: to start it then would have it there when the record says that it is not.
pub fn mark_abandoned(cluster: &mut ClusterState, draft: &DraftTransaction) {
    let mut gone: Vec<(MachineIndex, TaskAttempt)> = Vec::new();
    for (ix, job) in &draft.jobs {
        let before = cluster.jobs[ix.at()].placements.iter();
        let removed = before.filter(|p| !job.placements.contains(p));
        gone.extend(removed.map(|p| (p.machine, TaskAttempt::new(*ix, p.task, p.attempt))));
    }
    for (machine_index, a) in gone {
        if let Some(m) = cluster.machine_mut(machine_index) {
            m.observed_attempts.insert(a);
        }
    }
}

/// How often a gang's task whose wait ran out is started again in its place.
const MAX_GANG_WAIT_RETRIES: u8 = 3;

/// True if a gang's task that gave up waiting should wait once more, under the same attempt.
///
/// Its mates may still fetch an image for longer than the workers' wait. A whole new attempt
/// would fetch it anew elsewhere and run out of time there in the same way, for ever.
pub fn retry_gang_wait(job: &Job, m: &Machine, a: TaskAttempt) -> bool {
    let alone = m
        .observed(a)
        .is_some_and(|s| s.exit_reason == Some(ExitReason::GangTimeout));
    let often = m.gang_timeouts.get(&a).copied().unwrap_or(0);
    alone
        && often <= MAX_GANG_WAIT_RETRIES
        && m.preemption_deadline.is_none()
        && !is_unwanted(job, m, a)
}

/// True if an attempt whose wait ran out, as the newest report under the owner's token shows, has
/// ended for good.
///
/// Its owner may start it again under its number. The order for that may be in the answer to the
/// very report that shows its end, on its way still when the rest of the gang is lost.
pub fn ended_by_gang_timeout(m: &Machine, token: FencingToken, a: TaskAttempt) -> bool {
    let again = m
        .start_sent
        .get(&a)
        .is_some_and(|sent| *sent >= m.heartbeat_version);
    !again && !unacknowledged_start(m, token, a)
}

/// True if the worker's lease has run out under this owner.
///
/// It has accepted this owner's token, so no older owner's answer renews its lease, and a
/// younger owner would make the transaction fail that rests on this. Its tasks are dead and
/// whatever was sent to its session runs no more. For a new owner time alone proves nothing.
pub fn lease_expired(m: &Machine, token: FencingToken, dead_ms: u64, now: MonotonicMillis) -> bool {
    // A report that an answer to a direct command has overtaken shows nothing new, but its
    // answer renews the lease all the same.
    let renewed = m.last_heartbeat.max(m.last_response);
    token.is_issued() && m.fencing_token == token && renewed.is_some_and(|h| now.since(h) > dead_ms)
}

/// True if a direct start may still take effect, late or once more.
///
/// One that was answered may be repeated on its way. As long as the worker still shows the
/// attempt that changes nothing, and so such an exit is kept until the token has risen.
pub fn start_in_flight(m: &Machine, token: FencingToken, a: TaskAttempt) -> bool {
    m.in_flight_starts
        .get(&a)
        .is_some_and(|l| l.fencing_token >= token && l.agent_epoch == m.message_version.agent_epoch)
}

/// True if a direct start that was not answered may still take effect.
pub fn unacknowledged_start(m: &Machine, token: FencingToken, a: TaskAttempt) -> bool {
    let open = m.in_flight_starts.get(&a).is_some_and(|l| !l.acknowledged);
    open && start_in_flight(m, token, a)
}

/// True if a task's end may be written a little later, with others of its job: it is done, its
/// job is an array that goes on, and its room counts as free already.
fn deferred(cluster: &ClusterState, job: &Job, ix: JobIndex, m: &Machine, a: TaskAttempt) -> bool {
    let array = job.spec.as_ref().filter(|s| s.wire.kind == JobKind::Array);
    let done = |m: &Machine, a| m.observed(a).is_some_and(ObservedTask::is_done);
    let Some(spec) = array.filter(|_| job.is_open() && done(m, a)) else {
        return false;
    };
    let over = job.placements.iter().filter(|p| {
        let a = TaskAttempt::new(ix, p.task, p.attempt);
        !job.done.has(p.task) && cluster.machine(p.machine).is_some_and(|m| done(m, a))
    });
    job.done.count() as usize + over.count() < spec.tasks() as usize
}

/// Writes down jobs that are cancelled with one that they need, a few at a time: they are so for
/// every node without being written, and a large graph should cost no burst of changes.
fn write_cascades(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    draft: &mut DraftTransaction,
) {
    let own = cluster
        .dependency_graph
        .unwritten
        .iter()
        .filter(|ix| permits_gang(cluster, config, permits, &cluster.jobs[ix.at()]));
    let some: Vec<JobIndex> = own.take(draft.cascade_budget).copied().collect();
    for ix in some {
        let _ = draft.edit(cluster, config, ix);
    }
}

/// Moves placements of records that are too large for the limits to come into parts, a record
/// in a pass. What is caught too large could not even be written back smaller.
fn move_to_overflow(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    draft: &mut DraftTransaction,
) {
    let limits = config.limits(cluster);
    if !cluster.record_format_v2 {
        return;
    }
    let large = cluster.active_jobs().find(|(ix, job)| {
        job.record_bytes() > limits.value_bytes
            && job.placements.iter().any(|p| p.overflow_index == 0)
            && permits_gang(cluster, config, permits, job)
            && !draft.jobs.contains_key(ix)
    });
    let Some((ix, job)) = large else { return };
    let mut job = job.clone();
    while job.record_bytes() > limits.value_bytes {
        let Some(at) = job.placements.iter().position(|p| p.overflow_index == 0) else {
            break;
        };
        let mut p = job.placements.remove(at);
        let part = job.overflow_indices_for(1, limits.value_bytes, true);
        p.overflow_index = part.map_or(0, |p| p[0]);
        let moved =
            p.overflow_index > 0 && draft.include_overflow(cluster, config, ix, p.overflow_index);
        if !moved {
            p.overflow_index = 0;
            job.placements.push(p);
            break;
        }
        job.placements.push(p);
    }
    if let Some(j) = draft.edit(cluster, config, ix) {
        *j = job;
    }
}

/// True if this node may decide for the shard that a job's name maps to.
pub(crate) fn permits_gang(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    job: &Job,
) -> bool {
    let shard = cluster.planning_shard(&job.id);
    config.permit(cluster, permits, shard).is_some()
}

/// Takes what reports and deletions prove into the draft.
pub fn reconcile(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    draft: &mut DraftTransaction,
    now: MonotonicMillis,
) {
    let permitted = config.permitted(cluster, permits);
    move_to_overflow(cluster, config, permits, draft);
    for team in &cluster.teams_with_unknown_outcome {
        // The same for shares: writing them once more shuts the late transaction out.
        if draft.has_room(cluster, config, 1) {
            let rec = cluster.team_quotas[team.at()].record.clone();
            draft.team_quotas.insert(*team, rec);
        }
    }
    write_cascades(cluster, config, permits, draft);
    for (ix, job) in cluster.active_jobs() {
        if cluster.jobs_with_unknown_outcome.contains(&ix) {
            // A write with an unknown outcome may still be applied: writing the
            // record once more, whatever it says, shuts the late one out.
            let _ = draft.edit(cluster, config, ix);
        }
        for p in &job.placements {
            if cluster.is_deleted(p.machine) {
                // Deletion is proof for everyone, whoever owns the shard.
                if draft.include_overflow(cluster, config, ix, p.overflow_index) {
                    if let Some(j) = draft.edit(cluster, config, ix) {
                        j.remove_placement(p.task, p.attempt);
                    }
                }
                continue;
            }
            let permit = permitted.get(p.shard.at()).copied().flatten();
            let (Some(m), Some(permit)) = (cluster.machine(p.machine), permit) else {
                continue;
            };
            let a = TaskAttempt::new(ix, p.task, p.attempt);
            let token = cluster.shards[m.shard.at()].record.fencing_token;
            // Only under the own token: an owner that was away may remember an end of an earlier
            // session, after which another owner has started the same attempt once more; and a
            // copy of an old report may show an end that is long past to a new owner.
            let exit = m.observed(a).filter(|_| m.fencing_token == token);
            let exit = exit.filter(|s| s.state == TaskState::Exited);
            let exit = exit.filter(|_| !retry_gang_wait(job, m, a));
            let exit = exit.filter(|s| {
                s.exit_reason != Some(ExitReason::GangTimeout) || ended_by_gang_timeout(m, token, a)
            });
            let absent =
                proven_absent(m, token, a) && (is_unwanted(job, m, a) || is_abandoned(m, a));
            let lost =
                exit.is_none() && (absent || lease_expired(m, token, config.lease_expiry_ms, now));
            if exit.is_none() && !lost
                || draft.batch_array_updates && deferred(cluster, job, ix, m, a)
            {
                continue;
            }
            if !draft.include_overflow(cluster, config, ix, p.overflow_index) {
                continue;
            }
            let wall_ms = draft.wall_ms;
            let Some(j) = draft.edit(cluster, config, ix) else {
                continue;
            };
            if exit.is_some_and(|s| s.exit_reason == Some(ExitReason::Done)) && j.is_open() {
                j.complete_task(p.task);
                if j.state == JobState::Done && j.finished_at == 0 {
                    j.finished_at = wall_ms;
                }
            }
            j.remove_placement(p.task, p.attempt);
            draft.require_ownership(permit);
        }
    }
}
