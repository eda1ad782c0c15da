//! Quotas: team limits, and the shares of a limit that shards hold.
//!
//! A claim that fits into the share of the charged shard does not touch the team's record. A claim
//! that does not fit raises the share in the same transaction, if the team's limit allows it.
//! Invariant: the shares in a team's record never add up to more than the team's limit, and no
//! shard uses more than its share.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::pass::PassContext;
use crate::state::cluster_state::{ClusterState, TeamRecord};
use crate::state::job::Job;
use crate::state::names::{Index, ShardIndex, TeamIndex};
use crate::state::units::QuotaUsage;
use standby::permit::Permit;

/// Quota that all placements of a team use, including the drafted ones, summed over all charged
/// shards.
pub fn used_by_team(
    cluster: &ClusterState,
    draft: &DraftTransaction,
    team: TeamIndex,
) -> QuotaUsage {
    let mut used = cluster.quota_used(team);
    for (job_index, job) in &draft.jobs {
        if let Some(spec) = job.spec.as_ref().filter(|spec| spec.team == team) {
            let stored = &cluster.jobs[job_index.at()];
            let added = i64::from(job.charged_tasks()) - i64::from(stored.charged_tasks());
            used = used.plus(spec.need.quota().times(added));
        }
    }
    used
}

/// A quota usage to charge to one shard's share of a team's limit.
pub(super) struct QuotaCharge {
    pub(super) team: TeamIndex,
    pub(super) charged_shard: ShardIndex,
    pub(super) usage: QuotaUsage,
}

/// Checks that the charged shard's share of the team's limit covers the usage, and drafts a raised
/// share if needed. False if the limit or the transaction does not allow it.
pub(super) fn charge(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    quota_charge: &QuotaCharge,
) -> bool {
    if pass.cluster.team_limits[quota_charge.team.at()].unlimited() {
        return true;
    }
    // A transaction with unknown outcome may still be applied. Such a transaction may claim quota
    // that looks free here, or lower a share. A claim within a share is not conditional on the
    // team's record, so it would not conflict with that transaction.
    let team = quota_charge.team;
    if pass.cluster.teams_with_unknown_outcome.contains(&team)
        || has_job_with_unknown_outcome(pass.cluster, team)
    {
        return false;
    }
    let used = used_by_shard(pass.cluster, draft, team, quota_charge.charged_shard);
    let wanted = used.plus(quota_charge.usage);
    let stored = &pass.cluster.team_quotas[team.at()].record;
    let record = draft.team_quotas.get(&team).unwrap_or(stored);
    if wanted.within(record.share(quota_charge.charged_shard)) {
        return true;
    }
    let raised = with_raised_share(record, quota_charge.charged_shard, wanted);
    draft_raised_shares(pass, draft, team, raised)
}

/// True if a write of one of the team's job records may still be applied.
fn has_job_with_unknown_outcome(cluster: &ClusterState, team: TeamIndex) -> bool {
    let mut jobs = cluster.jobs_with_unknown_outcome.iter();
    jobs.any(|job_index| is_of_team(&cluster.jobs[job_index.at()], team))
}

fn is_of_team(job: &Job, team: TeamIndex) -> bool {
    job.spec.as_ref().is_some_and(|spec| spec.team == team)
}

/// Quota of a team that is charged to a shard, plus what the draft adds. Quota that the draft
/// releases still counts, since it is free only after the commit.
fn used_by_shard(
    cluster: &ClusterState,
    draft: &DraftTransaction,
    team: TeamIndex,
    charged_shard: ShardIndex,
) -> QuotaUsage {
    let mut used = cluster.quota_used_by_shard(team, charged_shard);
    for (job_index, job) in &draft.jobs {
        let Some(spec) = job.spec.as_ref().filter(|spec| spec.team == team) else {
            continue;
        };
        let stored = &cluster.jobs[job_index.at()];
        let before = stored.tasks_charged_to(charged_shard);
        let added = job.tasks_charged_to(charged_shard).saturating_sub(before);
        used = used.plus(spec.need.quota().times(i64::from(added)));
    }
    used
}

fn with_raised_share(record: &TeamRecord, shard: ShardIndex, wanted: QuotaUsage) -> TeamRecord {
    let mut raised = record.clone();
    raised.set(shard, record.share(shard).max(wanted));
    raised
}

/// Drafts a team's record with a raised share; false if the limit or the transaction does not
/// allow it.
fn draft_raised_shares(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    team: TeamIndex,
    raised: TeamRecord,
) -> bool {
    let limit = &pass.cluster.team_limits[team.at()];
    let team_record = usize::from(!draft.team_quotas.contains_key(&team));
    // One more key for the record of the job that is placed.
    let keys = team_record + 1;
    if !limit.allows(raised.total()) || !draft.has_capacity_for(pass.cluster, pass.config, keys) {
        // Quota released by this draft is available only after the commit: request another pass.
        draft.truncated = true;
        return false;
    }
    draft.team_quotas.insert(team, raised);
    true
}

/// Lowers the quota shares of owned shards to their usage, for each limited team that has waiting
/// tasks.
pub fn lower_unused_quota(pass: &PassContext, draft: &mut DraftTransaction) {
    let permits = pass.permits_by_shard();
    for position in 0..pass.cluster.team_limits.len() {
        let team = TeamIndex::new(position);
        if may_lower_shares(pass, draft, team) {
            lower_shares_of_team(pass, draft, &permits, team);
        }
    }
}

/// True if a limited team has waiting tasks and no draft or transaction with unknown outcome
/// changes the team's shares or their usage.
fn may_lower_shares(pass: &PassContext, draft: &DraftTransaction, team: TeamIndex) -> bool {
    let cluster = pass.cluster;
    if cluster.team_limits[team.at()].unlimited()
        || draft.team_quotas.contains_key(&team)
        || !draft.has_capacity_for(cluster, pass.config, 1)
    {
        return false;
    }
    let waits = |job: &Job| is_of_team(job, team) && job.waiting_count() > 0;
    cluster.active_jobs().any(|(_, job)| waits(job))
        && !has_job_with_unknown_outcome(cluster, team)
        && !draft.jobs.values().any(|job| is_of_team(job, team))
}

fn lower_shares_of_team(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    permits: &[Option<&Permit>],
    team: TeamIndex,
) {
    let stored = &pass.cluster.team_quotas[team.at()].record;
    let mut lowered = stored.clone();
    for (position, permit) in permits.iter().enumerate() {
        let Some(permit) = permit else { continue };
        let shard = ShardIndex::new(position);
        let used = pass.cluster.quota_used_by_shard(team, shard);
        if lowered.share(shard) != used {
            lowered.set(shard, used);
            draft.require_ownership(permit);
        }
    }
    if lowered != *stored {
        draft.team_quotas.insert(team, lowered);
    }
}
