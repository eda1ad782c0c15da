//! Conversion of drafts into compare-and-swap transactions, and the effect of their outcomes on the
//! cached state.
//!
//! Invariant: a transaction is conditional on the version of every record that it changes or
//! depends on, so the store rejects a decision based on stale records as a whole.

use crate::coordination::controller::Controller;
use crate::coordination::kv::client::{adapt_limits, CommitOutcome};
use crate::coordination::reconciliation;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::protocol::kv::{Condition, Transaction, Write};
use crate::state::cluster_state::ClusterState;
use crate::state::job::Job;
use crate::state::names::{Index, JobIndex};
use crate::state::records::OverflowRecord;

/// Commits a draft and applies the outcome to the cached state.
pub async fn commit_draft(controller: &Controller, draft: &DraftTransaction) -> CommitOutcome {
    reconciliation::mark_abandoned(&mut controller.cluster.borrow_mut(), draft);
    let transaction = transaction(&controller.cluster.borrow(), draft);
    let outcome = controller.kv.commit(&transaction).await;
    if outcome == CommitOutcome::REFUSED_AS_INVALID {
        adapt_limits(&controller.config, &transaction);
    }
    apply_outcome(&mut controller.cluster.borrow_mut(), draft, &outcome);
    outcome
}

/// The transaction of a draft, conditional on the versions of all records that it changes or
/// depends on.
pub fn transaction(cluster: &ClusterState, draft: &DraftTransaction) -> Transaction {
    let mut writes = Vec::new();
    for (job_index, job) in &draft.jobs {
        writes.extend(job_writes(cluster, *job_index, job));
    }
    for (team, record) in &draft.team_quotas {
        writes.extend(set(cluster.team_key(*team), record, None));
    }
    Transaction {
        conditions: conditions(cluster, draft),
        writes,
    }
}

fn conditions(cluster: &ClusterState, draft: &DraftTransaction) -> Vec<Condition> {
    let mut conditions = Vec::new();
    let mut require = |key: String, version| conditions.push(Condition { key, version });
    for job_index in draft.jobs.keys() {
        let job = &cluster.jobs[job_index.at()];
        require(ClusterState::job_key(&job.id), job.version);
    }
    for shard in draft.shards().keys() {
        require(
            cluster.shard_key(*shard),
            cluster.shards[shard.at()].version,
        );
    }
    for team in draft.team_quotas.keys() {
        require(
            cluster.team_key(*team),
            cluster.team_quotas[team.at()].version,
        );
    }
    conditions
}

/// Writes of the job's record and of the overflow records that change with it.
///
/// Overflow records have no conditions of their own. They change only together with the job's
/// record, whose version covers them all.
fn job_writes(cluster: &ClusterState, job_index: JobIndex, job: &Job) -> Vec<Write> {
    let record = cluster.job_record(job);
    let mut writes = Vec::new();
    writes.extend(set(ClusterState::job_key(&job.id), &record, None));
    for overflow_index in cluster.changed_overflows(job_index, job) {
        let key = ClusterState::overflow_key(&job.id, overflow_index);
        let placements = cluster.stored_placements(job, overflow_index);
        if placements.is_empty() {
            writes.push(Write::Remove { remove: key });
        } else {
            writes.extend(set(key, &OverflowRecord { placements }, None));
        }
    }
    writes
}

/// Applies the outcome of a draft to the cached state.
pub fn apply_outcome(
    cluster: &mut ClusterState,
    draft: &DraftTransaction,
    outcome: &CommitOutcome,
) {
    match outcome {
        CommitOutcome::Committed(revision) => apply_committed(cluster, draft, *revision),
        CommitOutcome::Unknown => mark_unknown_outcome(cluster, draft),
        CommitOutcome::Conflict(_) | CommitOutcome::Refused(_) => {}
    }
}

fn apply_committed(cluster: &mut ClusterState, draft: &DraftTransaction, revision: u64) {
    for (job_index, job) in &draft.jobs {
        let record = cluster.job_record(job);
        let overflows: Vec<_> = cluster
            .changed_overflows(*job_index, job)
            .into_iter()
            .map(|overflow_index| {
                (
                    overflow_index,
                    cluster.stored_placements(job, overflow_index),
                )
            })
            .collect();
        cluster.put_job(&job.id, revision, &record);
        for (overflow_index, placements) in overflows {
            cluster.put_overflow(&job.id, overflow_index, revision, &placements);
        }
    }
    for (team, record) in &draft.team_quotas {
        cluster.put_team(*team, revision, record.clone());
    }
}

/// Marks the jobs and teams of a transaction with an unknown outcome.
///
/// The transaction may still be applied until its records have other versions. Until then, nothing
/// else is decided for these jobs and teams.
fn mark_unknown_outcome(cluster: &mut ClusterState, draft: &DraftTransaction) {
    let unchanged: Vec<JobIndex> = draft
        .jobs
        .iter()
        .filter(|(job_index, job)| cluster.jobs[job_index.at()].version == job.version)
        .map(|(job_index, _)| *job_index)
        .collect();
    cluster.jobs_with_unknown_outcome.extend(unchanged);
    cluster
        .teams_with_unknown_outcome
        .extend(draft.team_quotas.keys());
}

/// A write that sets a key to a value; `None` if the value can't be serialized.
pub fn set<T: serde::Serialize>(key: String, value: &T, lease: Option<u64>) -> Option<Write> {
    // Serializes to bytes first, so that the value has the same named maps that a read returns.
    let bytes = rmp_serde::to_vec_named(value).ok()?;
    let stored = rmp_serde::from_slice(&bytes).ok()?;
    Some(Write::Set {
        set: key,
        v: stored,
        lease,
    })
}
