//! Decisions on placements, as pure functions of the view.
//!
//! A pass first settles what reports prove, then claims waiting tasks for
//! machines with free room. Its result is one transaction, conditional on
//! every job record it changes and on every shard record it rests on.

use crate::bookkeeping::cluster_state::{ClusterState, TeamRecord};
use crate::bookkeeping::job::{Job, Placement};
use crate::bookkeeping::names::{Index, JobIx, ShardIx, TeamIx};
use crate::bookkeeping::units::Ms;
use crate::protocol::state::Limits;
use standby::ids::{ShardId, Token};
use standby::permit::{Permit, Permits};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod claims;
mod evidence;
mod gangs;
mod order;
mod orders;
mod preempt;
mod room;
mod shares;

pub use claims::*;
pub use evidence::*;
pub use gangs::*;
pub use order::*;
pub use orders::*;
pub use preempt::*;
pub use room::*;
pub use shares::*;

/// What a controller decides by.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// This node.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Silence after which a machine gets nothing new, ms.
    pub silent_ms: u64,
    /// Queue cap.
    pub queue_cap: usize,
    /// Wait after which a queued task is free for all, ms.
    pub steal_ms: u64,
    /// Wait after which machines are kept free for a gang, ms.
    pub gang_hold_ms: u64,
    /// Wait after which work for spot machines takes empty ordinary ones, ms.
    pub spot_patience_ms: u64,
    /// Part of the spot work expected during a boot that has room kept for it.
    pub headroom: f64,
    /// The same for other work.
    pub headroom_ordinary: f64,
    /// Silence after which a worker that only this owner answered has killed its tasks, ms.
    pub dead_ms: u64,
    /// Age of the knowledge of cancellations from which on no lease of a machine with tasks is
    /// renewed, ms.
    pub renew_ms: u64,
    /// Time in which a cancelled job's tasks have to be gone, ms.
    pub cancel_ms: u64,
    /// Times in which jobs of a class are expected to finish, ms, the shortest first.
    pub finish_within: HashMap<String, Vec<u64>>,
    /// Limits of the state service now, as the settings say.
    pub limits_now: Limits,
    /// Limits that come without notice.
    pub limits_next: Limits,
    /// Limits that its refusals have shown.
    pub limits_seen: Cell<Limits>,
}

/// Age of the knowledge of cancellations up to which tasks are started: above the wait of a watch.
const START_MS: u64 = 6500;

/// Most bytes of records in a transaction.
const TXN_BYTES: usize = 48 * 1024;

/// Machines looked at when there are more: a sample in place of a full search.
pub const SAMPLE: usize = 64;

impl SchedulerConfig {
    /// Limits that hold for what is written.
    ///
    /// Once every node knows how to keep to those that come, nothing is written any more that
    /// only today's allow: what is stored and too large can't be written back later.
    pub fn limits(&self, cluster: &ClusterState) -> Limits {
        let now = self.limits_now.least(self.limits_seen.get());
        if cluster.second_form {
            now.least(self.limits_next)
        } else {
            now
        }
    }
    /// True if this incarnation owns the shard, as far as is known.
    pub fn owns(&self, cluster: &ClusterState, shard: ShardIx) -> bool {
        let r = &cluster.shards[shard.at()].rec;
        r.owner == self.node && r.incarnation == self.incarnation
    }
    /// The permit to decide for a shard, if this incarnation owns it under the permit's token.
    pub fn permit<'p>(
        &self,
        cluster: &ClusterState,
        permits: &'p Permits,
        shard: ShardIx,
    ) -> Option<&'p Permit> {
        let token = Token(cluster.shards[shard.at()].rec.token);
        let permit = permits.get(ShardId(shard.0))?;
        (self.owns(cluster, shard) && permit.token() == token).then_some(permit)
    }
    /// The permits of all shards, by index: for loops over machines and placements.
    pub fn permitted<'p>(
        &self,
        cluster: &ClusterState,
        permits: &'p Permits,
    ) -> Vec<Option<&'p Permit>> {
        let shards = (0..cluster.shards.len()).map(ShardIx::new);
        shards.map(|s| self.permit(cluster, permits, s)).collect()
    }
    /// True if this incarnation owns a shard, for all shards by index.
    pub fn owned(&self, cluster: &ClusterState) -> Vec<bool> {
        let shards = (0..cluster.shards.len()).map(ShardIx::new);
        shards.map(|s| self.owns(cluster, s)).collect()
    }
    /// True if an owner may renew the leases of machines with tasks: a task whose cancellation it
    /// has not heard of by then would outlive the time for cancellations.
    ///
    /// An owner that reaches neither the state service nor its peers may have missed some. Its
    /// answer gives a worker one more lease, so it gives the last one while enough time is left.
    pub fn may_renew(&self, cluster: &ClusterState, now: Ms) -> bool {
        let age = cluster.knowledge.age_ms(now);
        age.is_some_and(|age| age <= self.renew_ms)
    }
    /// True if tasks may be started: their jobs' records, read a moment ago, may be out of date,
    /// but not by more than it takes to hear of a cancellation.
    pub fn may_start(&self, cluster: &ClusterState, now: Ms) -> bool {
        let age = cluster.knowledge.age_ms(now);
        age.is_some_and(|age| age <= START_MS.min(self.renew_ms))
    }
}

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
    fn rest_on(&mut self, permit: &Permit) {
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
    fn has_room(&self, cluster: &ClusterState, config: &SchedulerConfig, more: usize) -> bool {
        let changes = self.jobs.len() + self.teams.len() + self.parts.len();
        changes + more <= config.limits(cluster).txn_ops && self.bytes < TXN_BYTES
    }
    /// Notes that a part of a job's record changes; false if the transaction is full.
    fn touch(
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
    fn edit(
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
