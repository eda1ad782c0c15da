//! The cached cluster state: what one controller knows of jobs, machines, teams and shards. Its
//! methods are split into modules by concern, see [`crate::state`].

use super::cancellation_watermark::CancellationWatermark;
use super::dependency_graph::DependencyGraph;
use super::job::{Job, Spec};
use super::machine::{Machine, MachineType};
use super::names::{
    ImageIndex, Index, Interner, JobIndex, MachineIndex, MachineTypeIndex, ShardIndex, TeamIndex,
    ZoneIndex,
};
pub use super::records::{
    ControllerRecord, OverflowRecord, ProvisioningRecord, ShardRecord, TeamLimits, TeamRecord,
    Versioned, KEY_PREFIX,
};
use super::resource_totals::ResourceTotals;
use super::units::MonotonicMillis;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// Maximum number of unreadable records that are logged, each once; further ones are not logged.
const MAX_UNREADABLE_RECORDS: usize = 1000;

/// The cached cluster state of one controller.
#[derive(Default)]
pub struct ClusterState {
    /// Revision of the key-value store up to which all changes are applied here.
    pub revision: u64,
    /// Number of changes applied from watches, including those that this controller made itself.
    pub changes: u64,
    /// True once a full read of the records has completed.
    pub loaded: bool,
    /// Interned job ids.
    pub job_names: Interner<JobIndex>,
    /// Jobs by index.
    pub jobs: Vec<Job>,
    /// Indices of the jobs that are not settled.
    pub active: BTreeSet<JobIndex>,
    /// Interned machine names.
    pub machine_names: Interner<MachineIndex>,
    /// Machines by index; `None` if only the name is known or the cloud has deleted the machine.
    pub machines: Vec<Option<Machine>>,
    /// Interned names of machine types.
    pub machine_type_names: Interner<MachineTypeIndex>,
    /// Machine types by index, as far as the cloud has described them.
    pub machine_types: HashMap<MachineTypeIndex, MachineType>,
    /// Interned zone names, in alphabetical order.
    pub zone_names: Interner<ZoneIndex>,
    /// Interned image names.
    pub image_names: Interner<ImageIndex>,
    /// Interned team names, in the order of the settings.
    pub team_names: Interner<TeamIndex>,
    /// Quota limits by team index, from the settings.
    pub team_limits: Vec<TeamLimits>,
    /// Records of the teams' quota shares, by team index.
    pub team_quotas: Vec<Versioned<TeamRecord>>,
    /// Controllers that are alive, by name.
    pub controllers: BTreeMap<String, Versioned<ControllerRecord>>,
    /// Ownership records by shard; the last one is the autoscaler's.
    pub shards: Vec<Versioned<ShardRecord>>,
    /// Provisioning requests that are not fulfilled yet, by key.
    pub provisioning_requests: BTreeMap<String, Versioned<ProvisioningRecord>>,
    /// Jobs whose last transaction has an unknown outcome.
    pub jobs_with_unknown_outcome: HashSet<JobIndex>,
    /// Teams whose last transaction has an unknown outcome.
    pub teams_with_unknown_outcome: HashSet<TeamIndex>,
    /// The time up to which all confirmed cancellations are known here.
    pub cancellation_watermark: CancellationWatermark,
    /// True once records may be written in format 2, because every controller can read it.
    pub record_format_v2: bool,
    /// Dependencies between the jobs that are known.
    pub dependency_graph: DependencyGraph,
    /// Versions of the overflow records, by job and overflow index.
    pub(super) overflow_versions: BTreeMap<(JobIndex, u16), u64>,
    /// Ids of jobs whose cancellation is known from peers only: no record read here shows it yet.
    pub(super) cancelled_by_peers: HashSet<Rc<str>>,
    /// Failures of active jobs; a job without failures has no entry.
    pub failures: HashMap<JobIndex, JobFailures>,
    /// Recently submitted jobs, oldest first.
    pub recent_submissions: VecDeque<Submission>,
    /// Wall-clock time of the earliest known submission, ms.
    pub first_submission: Option<u64>,
    /// Number of shards of each zone, from the operator settings.
    pub shards_per_zone: usize,
    /// Version of the record of machine types that was last read; 0: none was read.
    pub machine_types_version: u64,
    /// By machine index: true if the cloud has deleted the machine.
    pub(super) deleted_machines: Vec<bool>,
    /// Sums over placements and observed tasks, updated with every change of either.
    pub(super) totals: ResourceTotals,
    /// Keys of unreadable records that have been logged.
    unreadable_records: HashSet<String>,
}

/// Machines on which a job's tasks failed, and the job's back-off.
#[derive(Clone, Debug, Default)]
pub struct JobFailures {
    /// Machines on which tasks of the job failed since its last back-off began.
    pub machines: HashSet<MachineIndex>,
    /// No task of the job is placed before this time.
    pub retry_at: MonotonicMillis,
}

impl JobFailures {
    /// True while the job is backed off.
    pub fn is_backed_off(&self, now: MonotonicMillis) -> bool {
        now < self.retry_at
    }
}

/// A recently submitted job.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Wall-clock time of the submission, ms.
    pub submitted_at: u64,
    /// Description of the job.
    pub spec: Rc<Spec>,
}

/// FNV-1a hash of a text. It must never change, because the mapping of machines to shards must be
/// the same in every process and version.
fn stable_hash(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

impl ClusterState {
    /// The state before anything is read, for a deployment with these zones and teams.
    pub fn new(
        zones: &[String],
        teams: &[crate::settings::Team],
        shards_per_zone: usize,
    ) -> ClusterState {
        let mut cluster = ClusterState {
            shards_per_zone,
            ..ClusterState::default()
        };
        let mut zones = zones.to_vec();
        zones.sort();
        for zone in &zones {
            cluster.zone_names.intern(zone);
        }
        for team in teams {
            cluster.team_names.intern(&team.name);
            cluster.team_limits.push(TeamLimits::from_settings(team));
            cluster.team_quotas.push(Versioned::default());
        }
        let shard_count = zones.len() * shards_per_zone + 1;
        cluster.shards = vec![Versioned::default(); shard_count];
        cluster
    }

    /// The autoscaler's shard, which has no machines.
    pub fn autoscaler_shard(&self) -> ShardIndex {
        ShardIndex(self.shards.len() as u32 - 1)
    }

    /// A shard's zone; `None` for the autoscaler's shard.
    pub fn shard_zone(&self, shard: ShardIndex) -> Option<ZoneIndex> {
        let zone = ZoneIndex::new(shard.at() / self.shards_per_zone);
        (shard != self.autoscaler_shard()).then_some(zone)
    }

    /// The shard of a machine, which is the same in every controller and never changes.
    pub fn shard_of(&self, zone: ZoneIndex, machine: &str) -> ShardIndex {
        let shard_in_zone = stable_hash(machine) % self.shards_per_zone as u64;
        ShardIndex((zone.at() * self.shards_per_zone) as u32 + shard_in_zone as u32)
    }

    /// The shard whose owner places the gang with this job id.
    pub fn planning_shard(&self, id: &str) -> ShardIndex {
        let machine_shards = self.shards.len() as u64 - 1;
        ShardIndex((stable_hash(id) % machine_shards) as u32)
    }

    /// Key of a shard's ownership record: `ph/shard/<index>`.
    pub fn shard_key(&self, shard: ShardIndex) -> String {
        format!("{KEY_PREFIX}shard/{}", shard.0)
    }

    /// Key of the record of a team's quota shares: `ph/team/<team>`.
    pub fn team_key(&self, team: TeamIndex) -> String {
        format!("{KEY_PREFIX}team/{}", self.team_names.name(team))
    }

    /// Name of a shard's owner; `None` if the incarnation that acquired the shard is not alive.
    pub fn live_owner(&self, shard: ShardIndex) -> Option<&str> {
        let ownership = &self.shards[shard.at()].record;
        let controller = self.controllers.get(&ownership.owner)?;
        (controller.record.incarnation == ownership.incarnation).then_some(ownership.owner.as_str())
    }

    pub(super) fn log_unreadable(&mut self, key: &str, error: &str) {
        if self.unreadable_records.len() < MAX_UNREADABLE_RECORDS
            && self.unreadable_records.insert(key.to_string())
        {
            log::error!("unreadable record ignored: key={key} error={error}");
        }
    }
}
