//! The draft of one transaction: what a scheduling pass changes, and what that rests on.
//!
//! The steps of a pass edit the draft one after another; the key-value store's module turns it
//! into a compare-and-swap transaction. A draft never grows beyond what one transaction holds:
//! what does not fit is left out and `truncated` is set.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::{ClusterState, TeamRecord};
use crate::state::job::{Job, Placement};
use crate::state::names::{Index, JobIndex, ShardIndex, TeamIndex};
use standby::ids::FencingToken;
use standby::permit::Permit;
use std::collections::{BTreeMap, BTreeSet};

/// Most bytes of records in a transaction.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// A new placement.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Claim {
    /// Its job.
    pub job: JobIndex,
    /// The placement.
    pub placement: Placement,
}

/// Changes to be committed together.
#[derive(Default, Debug)]
pub struct DraftTransaction {
    /// Jobs as they shall be.
    pub jobs: BTreeMap<JobIndex, Job>,
    /// Shards whose ownership the changes rest on, with the fencing tokens of the permits.
    shards: BTreeMap<ShardIndex, FencingToken>,
    /// Teams' quota shares as they shall be.
    pub team_quotas: BTreeMap<TeamIndex, TeamRecord>,
    /// New placements.
    pub claims: Vec<Claim>,
    /// Leave small updates of arrays for later, when more of them are written at once.
    pub batch_array_updates: bool,
    /// Overflow records of jobs that change with them.
    pub overflow_records: BTreeSet<(JobIndex, u16)>,
    /// How many jobs cancelled with a dependency this pass may write down.
    pub cascade_budget: usize,
    /// Something was left out because the transaction or a team's quota share was full.
    pub truncated: bool,
    bytes: usize,
}

impl DraftTransaction {
    /// A draft that may leave small updates of arrays for later.
    pub fn batching(batch_array_updates: bool) -> DraftTransaction {
        DraftTransaction {
            batch_array_updates,
            ..DraftTransaction::default()
        }
    }
    /// Notes that the changes rest on the ownership that a permit stands for.
    pub(crate) fn require_ownership(&mut self, permit: &Permit) {
        self.shards
            .insert(permit.shard().into(), permit.fencing_token());
    }
    /// Shards whose ownership the changes rest on, with the fencing tokens of the permits.
    pub fn shards(&self) -> &BTreeMap<ShardIndex, FencingToken> {
        &self.shards
    }
    /// True if nothing changes.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.team_quotas.is_empty()
    }
    /// True if this many more changed keys still go into the transaction.
    pub(crate) fn has_capacity_for(
        &self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        additional_keys: usize,
    ) -> bool {
        let keys = self.jobs.len() + self.team_quotas.len() + self.overflow_records.len();
        keys + additional_keys <= config.limits(cluster).txn_ops
            && self.bytes < MAX_TRANSACTION_BYTES
    }
    /// Notes that an overflow record of a job changes; false if the transaction is full.
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
        self.overflow_records.insert(record)
    }
    /// The job as drafted so far.
    pub fn job<'a>(&'a self, cluster: &'a ClusterState, job_index: JobIndex) -> &'a Job {
        self.jobs
            .get(&job_index)
            .unwrap_or(&cluster.jobs[job_index.at()])
    }
    /// The job, to change it; `None` if the transaction is full.
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
