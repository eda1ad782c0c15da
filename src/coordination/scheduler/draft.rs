//! The draft of one transaction: what a scheduling pass changes, and what that rests on.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::{ClusterState, TeamRecord};
use crate::state::job::{Job, Placement};
use crate::state::names::{Index, JobIx, ShardIx, TeamIx};
use standby::ids::Token;
use standby::permit::Permit;
use std::collections::{BTreeMap, BTreeSet};

/// Most bytes of records in a transaction.
const TXN_BYTES: usize = 48 * 1024;

/// Changes to be committed together.
#[derive(Default, Debug)]
pub struct DraftTransaction {
    /// Jobs as they shall be.
    pub jobs: BTreeMap<JobIx, Job>,
    /// Shards whose ownership the changes rest on, with the tokens of the permits.
    shards: BTreeMap<ShardIx, Token>,
    /// Teams' shares as they shall be.
    pub teams: BTreeMap<TeamIx, TeamRecord>,
    /// New placements.
    pub claims: Vec<(JobIx, Placement)>,
    /// Leave small news of arrays for later, when more of it is written at once.
    pub defer: bool,
    /// Parts of jobs' records that change with them.
    pub parts: BTreeSet<(JobIx, u16)>,
    /// Jobs cancelled with others that this pass may write down.
    pub cascades: usize,
    /// Time of day of this pass, ms; 0: not known.
    pub wall_ms: u64,
    /// Something was left out for which the transaction or a team's share had no room.
    pub cut: bool,
    bytes: usize,
}

impl DraftTransaction {
    /// A draft that may leave arrays' small news for later.
    pub fn deferring(defer: bool, wall_ms: u64) -> DraftTransaction {
        DraftTransaction {
            defer,
            wall_ms,
            ..DraftTransaction::default()
        }
    }
    /// Notes that the changes rest on the ownership that a permit stands for.
    pub(crate) fn rest_on(&mut self, permit: &Permit) {
        self.shards
            .insert(ShardIx(permit.shard().0), permit.token());
    }
    /// Shards whose ownership the changes rest on, with the tokens of the permits.
    pub fn shards(&self) -> &BTreeMap<ShardIx, Token> {
        &self.shards
    }
    /// True if nothing changes.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.teams.is_empty()
    }
    /// True if `more` changed keys still go into the transaction.
    pub(crate) fn has_room(
        &self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        more: usize,
    ) -> bool {
        let changes = self.jobs.len() + self.teams.len() + self.parts.len();
        changes + more <= config.limits(cluster).txn_ops && self.bytes < TXN_BYTES
    }
    /// Notes that a part of a job's record changes; false if the transaction is full.
    pub(crate) fn touch(
        &mut self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        ix: JobIx,
        part: u16,
    ) -> bool {
        if part == 0 || self.parts.contains(&(ix, part)) {
            return true;
        }
        if !self.has_room(cluster, config, 1) {
            self.cut = true;
            return false;
        }
        self.parts.insert((ix, part))
    }
    /// The job as drafted so far.
    pub fn job<'a>(&'a self, cluster: &'a ClusterState, ix: JobIx) -> &'a Job {
        self.jobs.get(&ix).unwrap_or(&cluster.jobs[ix.at()])
    }
    /// The job, to change it; `None` if the transaction is full.
    pub(crate) fn edit(
        &mut self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        ix: JobIx,
    ) -> Option<&mut Job> {
        if !self.jobs.contains_key(&ix) {
            if !self.has_room(cluster, config, 1) {
                self.cut = true;
                return None;
            }
            let job = cluster.jobs[ix.at()].clone();
            self.bytes += job.size();
            self.jobs.insert(ix, job);
        }
        self.jobs.get_mut(&ix)
    }
}
