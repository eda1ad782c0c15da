//! The draft of one transaction: what a scheduling pass changes, and what that rests on.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::{ClusterState, TeamRecord};
use crate::state::job::{Job, Placement};
use crate::state::names::{Index, JobIndex, ShardIndex, TeamIndex};
use standby::ids::FencingToken;
use standby::permit::Permit;
use std::collections::{BTreeMap, BTreeSet};

/// Most bytes of records in a transaction.
const TXN_BYTES: usize = 48 * 1024;

/// Changes to be committed together.
#[derive(Default, Debug)]
pub struct DraftTransaction {
    /// Jobs as they shall be.
    pub jobs: BTreeMap<JobIndex, Job>,
    /// Shards whose ownership the changes rest on, with the tokens of the permits.
    shards: BTreeMap<ShardIndex, FencingToken>,
    /// Teams' shares as they shall be.
    pub team_quotas: BTreeMap<TeamIndex, TeamRecord>,
    /// New placements.
    pub claims: Vec<(JobIndex, Placement)>,
    /// Leave small news of arrays for later, when more of it is written at once.
    pub batch_array_updates: bool,
    /// Parts of jobs' records that change with them.
    pub overflow_records: BTreeSet<(JobIndex, u16)>,
    /// Jobs cancelled with others that this pass may write down.
    pub cascade_budget: usize,
    /// Time of day of this pass, ms; 0: not known.
    pub wall_ms: u64,
    /// Something was left out for which the transaction or a team's share had no room.
    pub truncated: bool,
    bytes: usize,
}

impl DraftTransaction {
    /// A draft that may leave arrays' small news for later.
    pub fn batching(defer: bool, wall_ms: u64) -> DraftTransaction {
        DraftTransaction {
            batch_array_updates: defer,
            wall_ms,
            ..DraftTransaction::default()
        }
    }
    /// Notes that the changes rest on the ownership that a permit stands for.
    pub(crate) fn require_ownership(&mut self, permit: &Permit) {
        self.shards
            .insert(permit.shard().into(), permit.fencing_token());
    }
    /// Shards whose ownership the changes rest on, with the tokens of the permits.
    pub fn shards(&self) -> &BTreeMap<ShardIndex, FencingToken> {
        &self.shards
    }
    /// True if nothing changes.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.team_quotas.is_empty()
    }
    /// True if `more` changed keys still go into the transaction.
    pub(crate) fn has_room(
        &self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        more: usize,
    ) -> bool {
        let changes = self.jobs.len() + self.team_quotas.len() + self.overflow_records.len();
        changes + more <= config.limits(cluster).txn_ops && self.bytes < TXN_BYTES
    }
    /// Notes that a part of a job's record changes; false if the transaction is full.
    pub(crate) fn include_overflow(
        &mut self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        ix: JobIndex,
        part: u16,
    ) -> bool {
        if part == 0 || self.overflow_records.contains(&(ix, part)) {
            return true;
        }
        if !self.has_room(cluster, config, 1) {
            self.truncated = true;
            return false;
        }
        self.overflow_records.insert((ix, part))
    }
    /// The job as drafted so far.
    pub fn job<'a>(&'a self, cluster: &'a ClusterState, ix: JobIndex) -> &'a Job {
        self.jobs.get(&ix).unwrap_or(&cluster.jobs[ix.at()])
    }
    /// The job, to change it; `None` if the transaction is full.
    pub(crate) fn edit(
        &mut self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        ix: JobIndex,
    ) -> Option<&mut Job> {
        if !self.jobs.contains_key(&ix) {
            if !self.has_room(cluster, config, 1) {
                self.truncated = true;
                return None;
            }
            let job = cluster.jobs[ix.at()].clone();
            self.bytes += job.record_bytes();
            self.jobs.insert(ix, job);
        }
        self.jobs.get_mut(&ix)
    }
}
