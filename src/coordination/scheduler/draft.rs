//! Draft transactions: the changes of one scheduling pass and the ownership that they depend on.
//!
//! The steps of a pass edit the draft one after another; `coordination::kv` converts it into a
//! compare-and-swap transaction. A draft never exceeds the limits of one transaction: changes that
//! do not fit are left out, and `truncated` is set.

use crate::coordination::reconciliation::attempt_end::AttemptEnd;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::{ClusterState, TeamRecord};
use crate::state::job::{Job, Placement, PLACEMENT_BYTES};
use crate::state::names::{Index, JobIndex, ShardIndex, TeamIndex};
use standby::ids::FencingToken;
use standby::permit::Permit;
use std::collections::{BTreeMap, BTreeSet};

/// Total size of the drafted records of jobs at which no further record is added, bytes. The
/// key-value store accepts 64 KiB; the rest is left for the last record, keys and conditions.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// A placement that a draft adds to a job.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Claim {
    /// Job of the placed task.
    pub job: JobIndex,
    /// The new placement.
    pub placement: Placement,
}

/// Changes to be committed together.
#[derive(Default, Debug)]
pub struct DraftTransaction {
    /// Changed jobs in their new state.
    pub jobs: BTreeMap<JobIndex, Job>,
    /// Shards that this controller must still own at the commit, with the fencing tokens of the
    /// permits.
    shards: BTreeMap<ShardIndex, FencingToken>,
    /// Changed records of team quotas in their new state.
    pub team_quotas: BTreeMap<TeamIndex, TeamRecord>,
    /// Placements that the draft adds.
    pub claims: Vec<Claim>,
    /// Attempts whose placements the draft removes and whose tasks may start elsewhere.
    pub ended: Vec<AttemptEnd>,
    /// True if this pass should leave small updates of array jobs for a later batch.
    pub batch_array_updates: bool,
    /// Overflow records that change together with their jobs, by job and overflow index.
    pub overflow_records: BTreeSet<(JobIndex, u16)>,
    /// Maximum number of jobs that this pass may write as cancelled because a dependency was
    /// cancelled.
    pub cascade_budget: usize,
    /// True if a change was left out because the transaction was full or a team's limit was
    /// reached.
    pub truncated: bool,
    /// Estimated size of the changed records of jobs, bytes.
    bytes: usize,
}

impl DraftTransaction {
    /// An empty draft; `batch_array_updates` leaves small updates of array jobs for a later batch.
    pub fn batching(batch_array_updates: bool) -> DraftTransaction {
        DraftTransaction {
            batch_array_updates,
            ..DraftTransaction::default()
        }
    }
    /// Makes the transaction conditional on the ownership of the permit's shard.
    pub(crate) fn require_ownership(&mut self, permit: &Permit) {
        self.shards
            .insert(permit.shard().into(), permit.fencing_token());
    }
    /// Shards that this controller must still own at the commit, with the fencing tokens of the
    /// permits.
    pub fn shards(&self) -> &BTreeMap<ShardIndex, FencingToken> {
        &self.shards
    }
    /// True if the draft changes neither jobs nor team quotas.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.team_quotas.is_empty()
    }
    /// True if the transaction has space for this many more changed keys.
    pub(crate) fn has_capacity_for(
        &self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        additional_keys: usize,
    ) -> bool {
        additional_keys <= self.remaining_keys(cluster, config) && self.remaining_bytes() > 0
    }
    /// Number of further keys that the transaction has space for.
    pub(super) fn remaining_keys(&self, cluster: &ClusterState, config: &SchedulerConfig) -> usize {
        let keys = self.jobs.len() + self.team_quotas.len() + self.overflow_records.len();
        config.limits(cluster).txn_ops.saturating_sub(keys)
    }
    /// Number of further bytes that the transaction has space for.
    pub(super) fn remaining_bytes(&self) -> usize {
        MAX_TRANSACTION_BYTES.saturating_sub(self.bytes)
    }
    /// Adds a placement to a job of the draft; its overflow record must be in the draft as well.
    pub(super) fn add_placement(&mut self, job: JobIndex, placement: Placement) {
        if let Some(drafted) = self.jobs.get_mut(&job) {
            drafted.placements.push(placement);
            self.bytes += PLACEMENT_BYTES;
            self.claims.push(Claim { job, placement });
        }
    }
    /// Adds an overflow record of a job to the changed records. For index 0, the job's own record,
    /// nothing is added.
    pub(super) fn add_overflow(
        &mut self,
        cluster: &ClusterState,
        job_index: JobIndex,
        overflow_index: u16,
    ) {
        let record = (job_index, overflow_index);
        if overflow_index > 0 && !self.overflow_records.contains(&record) {
            self.bytes += self.job(cluster, job_index).overflow_bytes(overflow_index);
            self.overflow_records.insert(record);
        }
    }
    /// Adds an overflow record like [`DraftTransaction::add_overflow`]; false if the transaction is
    /// full.
    pub(crate) fn include_overflow(
        &mut self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        job_index: JobIndex,
        overflow_index: u16,
    ) -> bool {
        let record = (job_index, overflow_index);
        if overflow_index == 0 || self.overflow_records.contains(&record) {
            return true;
        }
        if !self.has_capacity_for(cluster, config, 1) {
            self.truncated = true;
            return false;
        }
        self.add_overflow(cluster, job_index, overflow_index);
        true
    }
    /// The job, including the changes drafted so far.
    pub fn job<'a>(&'a self, cluster: &'a ClusterState, job_index: JobIndex) -> &'a Job {
        self.jobs
            .get(&job_index)
            .unwrap_or(&cluster.jobs[job_index.at()])
    }
    /// The job for editing, added to the draft if necessary; `None` if the transaction is full.
    pub(crate) fn edit(
        &mut self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        job_index: JobIndex,
    ) -> Option<&mut Job> {
        if !self.jobs.contains_key(&job_index) {
            if !self.has_capacity_for(cluster, config, 1) {
                self.truncated = true;
                return None;
            }
            let job = cluster.jobs[job_index.at()].clone();
            self.bytes += job.record_bytes();
            self.jobs.insert(job_index, job);
        }
        self.jobs.get_mut(&job_index)
    }
}
