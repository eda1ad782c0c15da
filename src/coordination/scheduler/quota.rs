//! Teams' limits and the shards' shares of them.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::gangs::waiting_gangs;
use crate::protocol::users::{JobKind, Priority};
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::names::{Index, ShardIndex, TeamIndex};
use crate::state::units::{MonotonicMillis, QuotaUsage, Resources};
use standby::permit::Permits;

/// What placements of a team use, whoever pays.
pub fn used_by_team(
    cluster: &ClusterState,
    draft: &DraftTransaction,
    team: TeamIndex,
) -> QuotaUsage {
    let mut used = cluster.quota_used(team);
    for (ix, job) in &draft.jobs {
        if let Some(s) = job.spec.as_ref().filter(|s| s.team == team) {
            let n = job.placements.len() as i64 - cluster.jobs[ix.at()].placements.len() as i64;
            used = used.plus(s.need.quota().times(n));
        }
    }
    used
}

/// What services of a team use of its limit, which comes free only when their users cancel them.
fn used_by_services(cluster: &ClusterState, team: TeamIndex) -> QuotaUsage {
    let jobs = cluster.active_jobs().filter_map(|(_, job)| {
        let spec = job.spec.as_ref()?;
        let counts = spec.team == team && spec.wire.kind == JobKind::Service && job.is_open();
        counts.then(|| spec.need.times(job.placements.len() as u32))
    });
    jobs.fold(QuotaUsage::default(), |sum, used| sum.plus(used.quota()))
}

/// True if all of a gang fits into its team's limit once the team's other work but services has
/// ended. One that does not fit waits for a user, and nothing else may wait for it meanwhile.
pub(crate) fn fits_beside_services(cluster: &ClusterState, gang: &Spec) -> bool {
    let services = used_by_services(cluster, gang.team);
    let all = gang.need.times(gang.tasks());
    cluster.team_limits[gang.team.at()].allows(services.plus(all.quota()))
}

/// Wait after which a job leaves none of its team's limit to gangs any more: work that could run
/// may not wait for 90 s.
const LONGEST_GANG_RESERVATION_MS: u64 = 75_000;

/// True if a job has waited long enough to take room that a gang of its team waits for.
pub(crate) fn reservation_expired(job: &Job, wall_ms: u64) -> bool {
    wall_ms.saturating_sub(job.dependency_state.eligible_since) >= LONGEST_GANG_RESERVATION_MS
}

/// A gang that has waited for its share of its team's limit.
pub(crate) struct StarvedGang {
    team: TeamIndex,
    priority_and_age: (Priority, u64),
    demand: Resources,
}

/// Gangs for whose sake younger work of their team takes no more of its limit.
///
/// Small tasks use every bit of a limit as it comes free, so a gang that needs much at once
/// would wait for as long as any come.
pub(crate) fn starved_gangs(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    now: MonotonicMillis,
    wall_ms: u64,
) -> Vec<StarvedGang> {
    let mut out: Vec<StarvedGang> = Vec::new();
    for ix in waiting_gangs(cluster, now) {
        let job = &cluster.jobs[ix.at()];
        let Some(s) = &job.spec else { continue };
        let first = out.iter().all(|c| c.team != s.team);
        let waited = wall_ms.saturating_sub(job.dependency_state.eligible_since)
            >= config.gang_reservation_after_ms;
        let limited = !cluster.team_limits[s.team.at()].unlimited();
        if first && waited && limited && fits_beside_services(cluster, s) {
            out.push(StarvedGang {
                team: s.team,
                priority_and_age: (
                    job.dependency_state.priority,
                    job.dependency_state.eligible_since,
                ),
                demand: s.need.times(s.tasks()),
            });
        }
    }
    out
}

/// True if a task would take what an older gang of its team waits for.
pub(crate) fn would_starve_gang(
    cluster: &ClusterState,
    draft: &DraftTransaction,
    starved_gangs: &[StarvedGang],
    job: &Job,
    s: &Spec,
    wall_ms: u64,
) -> bool {
    let Some(c) = starved_gangs.iter().find(|c| c.team == s.team) else {
        return false;
    };
    if (
        job.dependency_state.priority,
        job.dependency_state.eligible_since,
    ) < c.priority_and_age
        || reservation_expired(job, wall_ms)
    {
        return false;
    }
    let used = used_by_team(cluster, draft, s.team);
    let all = c.demand.plus(s.need);
    !cluster.team_limits[s.team.at()].allows(used.plus(all.quota()))
}

/// Makes room in the payer's share of the team's limit, raising the share if the limit allows.
pub(crate) fn pay(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    draft: &mut DraftTransaction,
    team: TeamIndex,
    payer: ShardIndex,
    need: Resources,
    n: u32,
) -> bool {
    let limits = &cluster.team_limits[team.at()];
    if limits.unlimited() {
        return true;
    }
    // A claim of unknown outcome may still take what looks free, and a share that is lowered by
    // one may be less than it looks: what fits into a share is claimed without its record.
    let doubtful = cluster.teams_with_unknown_outcome.contains(&team)
        || cluster.jobs_with_unknown_outcome.iter().any(|j| {
            cluster.jobs[j.at()]
                .spec
                .as_ref()
                .is_some_and(|s| s.team == team)
        });
    if doubtful {
        return false;
    }
    let mut used = cluster.quota_used_by_shard(team, payer);
    for (ix, j) in &draft.jobs {
        let Some(s) = j.spec.as_ref().filter(|s| s.team == team) else {
            continue;
        };
        let count = |j: &Job| {
            j.placements
                .iter()
                .filter(|p| p.charged_shard == payer)
                .count() as i64
        };
        // Only what the draft adds counts: what it frees is free once committed.
        let added = (count(j) - count(&cluster.jobs[ix.at()])).max(0);
        used = used.plus(s.need.quota().times(added));
    }
    let all = need.times(n);
    let wanted = used.plus(all.quota());
    let record = draft
        .team_quotas
        .get(&team)
        .unwrap_or(&cluster.team_quotas[team.at()].record);
    let share = record.share(payer);
    if wanted.within(share) {
        return true;
    }
    let mut raised = record.clone();
    raised.set(payer, share.max(wanted));
    let fresh = usize::from(!draft.team_quotas.contains_key(&team));
    if !limits.allows(raised.total()) || !draft.has_room(cluster, config, fresh + 1) {
        // What this draft frees is free for others once it is committed.
        draft.truncated = true;
        return false;
    }
    draft.team_quotas.insert(team, raised);
    true
}

/// Lowers shares of owned shards that are not used while work of the team waits.
pub fn lower_unused_quota(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    draft: &mut DraftTransaction,
) {
    let permitted = config.permitted(cluster, permits);
    for (t, limits) in cluster.team_limits.iter().enumerate() {
        let team = TeamIndex::new(t);
        if limits.unlimited()
            || draft.team_quotas.contains_key(&team)
            || !draft.has_room(cluster, config, 1)
        {
            continue;
        }
        let of_team = |j: &Job| j.spec.as_ref().is_some_and(|s| s.team == team);
        let waits = cluster
            .active_jobs()
            .any(|(_, j)| of_team(j) && j.waiting_count() > 0);
        let doubtful = cluster
            .jobs_with_unknown_outcome
            .iter()
            .any(|j| of_team(&cluster.jobs[j.at()]));
        // A draft that changes one of its jobs has its say first.
        if !waits || doubtful || draft.jobs.values().any(of_team) {
            continue;
        }
        let mut rec = cluster.team_quotas[t].record.clone();
        for s in (0..cluster.shards.len()).map(ShardIndex::new) {
            let (share, used) = (rec.share(s), cluster.quota_used_by_shard(team, s));
            if let Some(permit) = permitted[s.at()].filter(|_| share != used) {
                rec.set(s, used);
                draft.require_ownership(permit);
            }
        }
        if rec != cluster.team_quotas[t].record {
            draft.team_quotas.insert(team, rec);
        }
    }
}
