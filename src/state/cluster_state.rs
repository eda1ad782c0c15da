//! The cached view: everything a controller knows. Pure, no I/O.

use super::cancellation_watermark::CancellationWatermark;
use super::dependency_graph::Graph;
use super::job::{Job, JobRecord, JobState, Placement, Spec, StoredPlacement};
use super::machine::{Machine, MachineType, ObservedTask, TaskAttempt};
use super::names::{
    ImageIndex, Index, Interner, JobIndex, MachineIndex, MachineTypeIndex, ShardIndex, TeamIndex,
    ZoneIndex,
};
pub use super::records::{
    ControllerRecord, OverflowRecord, ProvisioningRecord, ShardRecord, TeamLimits, TeamRecord,
    Versioned, ROOT,
};
use super::resource_totals::ResourceTotals;
use super::units::{MonotonicMillis, QuotaUsage, Resources};
use crate::protocol::cloud::MachineTypeCatalog;
use crate::protocol::users::{JobKind, JobSpec};
use crate::protocol::workers::TaskState;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// Arrivals remembered for the rate of each class: 50 a second over the time that counts.
const MAX_ARRIVALS: usize = 8192;

/// Everything a controller knows.
#[derive(Default)]
pub struct ClusterState {
    /// Revision up to which all changes are in here.
    pub revision: u64,
    /// Changes seen, of all nodes.
    pub changes: u64,
    /// True once the records were read.
    pub loaded: bool,
    /// Job names.
    pub job_names: Interner<JobIndex>,
    /// Jobs by index.
    pub jobs: Vec<Job>,
    /// Jobs that are not settled.
    pub active: BTreeMap<u32, ()>,
    /// Machine names.
    pub machine_names: Interner<MachineIndex>,
    /// Machines by index; `None` if only the name is known.
    pub machines: Vec<Option<Machine>>,
    /// Types.
    pub machine_type_names: Interner<MachineTypeIndex>,
    /// Types by index, as far as the cloud has described them.
    pub machine_types: HashMap<MachineTypeIndex, MachineType>,
    /// Zones.
    pub zone_names: Interner<ZoneIndex>,
    /// Images.
    pub image_names: Interner<ImageIndex>,
    /// Teams.
    pub team_names: Interner<TeamIndex>,
    /// Their limits.
    pub team_limits: Vec<TeamLimits>,
    /// Their shares.
    pub team_quotas: Vec<Versioned<TeamRecord>>,
    /// Live nodes.
    pub controllers: BTreeMap<String, Versioned<ControllerRecord>>,
    /// Shards; the last one is the renting duty.
    pub shards: Vec<Versioned<ShardRecord>>,
    /// Open bookings.
    pub provisioning_requests: BTreeMap<String, Versioned<ProvisioningRecord>>,
    /// Jobs whose last transaction has an unknown outcome.
    pub jobs_with_unknown_outcome: HashSet<JobIndex>,
    /// Teams whose last transaction has an unknown outcome.
    pub teams_with_unknown_outcome: HashSet<TeamIndex>,
    /// Up to when all confirmed cancellations are known here.
    pub cancellation_watermark: CancellationWatermark,
    /// The second form of records has begun: every node knows it.
    pub record_format_v2: bool,
    /// Dependencies between jobs.
    pub dependency_graph: Graph,
    /// Versions of the parts of jobs' records.
    pub(super) overflow_versions: BTreeMap<(JobIndex, u16), u64>,
    /// Jobs that others told are cancelled, until a record says so.
    pub(super) cancelled_by_peers: HashSet<Rc<str>>,
    /// Per job: machines on which it failed, and the earliest next try.
    pub failures: HashMap<JobIndex, (HashSet<MachineIndex>, MonotonicMillis)>,
    /// Jobs that came lately: time of day, ms, and description.
    pub recent_submissions: VecDeque<(u64, Rc<Spec>)>,
    /// Time of day of the first job known.
    pub first_submission: Option<u64>,
    /// Shards per zone.
    pub shards_per_zone: usize,
    /// This process' machine types were read from the state service.
    pub machine_types_version: u64,
    /// Machines that the cloud has deleted, by index.
    deleted: Vec<bool>,
    /// Sums over records and reports, kept current by every change of either.
    totals: ResourceTotals,
    /// Bad records already complained about.
    unreadable_records: HashSet<String>,
}

fn stable_hash(text: &str) -> u64 {
    // FNV-1a: the mapping of machines to shards must be the same in every process and version.
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Size of a description in a record, as the state service counts it.
fn stored_bytes(wire: &JobSpec) -> usize {
    let bytes = rmp_serde::to_vec_named(wire).unwrap_or_default();
    let value = rmpv::decode::read_value(&mut bytes.as_slice());
    value.map_or(0, |v| v.to_string().len())
}

impl ClusterState {
    /// An empty view for a deployment.
    pub fn new(
        zones: &[String],
        teams: &[crate::settings::Team],
        shards_per_zone: usize,
    ) -> ClusterState {
        let mut v = ClusterState {
            shards_per_zone,
            ..ClusterState::default()
        };
        let mut zones = zones.to_vec();
        zones.sort();
        for z in &zones {
            v.zone_names.intern(z);
        }
        let milli = |x: f64| (x * 1000.0).round().max(0.0) as i64;
        let quota = |cpus: f64, gpus: f64| QuotaUsage {
            cpu_milli: milli(cpus),
            gpu_milli: milli(gpus),
        };
        for t in teams {
            v.team_names.intern(&t.name);
            v.team_limits.push(TeamLimits {
                guaranteed: quota(t.cpus, t.gpus),
                limit: quota(t.cpus_max, t.gpus_max),
            });
            v.team_quotas.push(Versioned::default());
        }
        v.shards = vec![Versioned::default(); zones.len() * shards_per_zone + 1];
        v
    }

    /// The renting duty's shard.
    pub fn autoscaler_shard(&self) -> ShardIndex {
        ShardIndex(self.shards.len() as u32 - 1)
    }
    /// A shard's zone; `None` for renting.
    pub fn shard_zone(&self, s: ShardIndex) -> Option<ZoneIndex> {
        (s != self.autoscaler_shard()).then(|| ZoneIndex((s.at() / self.shards_per_zone) as u32))
    }
    /// The shard of a machine, the same everywhere and for good.
    pub fn shard_of(&self, zone: ZoneIndex, machine: &str) -> ShardIndex {
        let k = stable_hash(machine) % self.shards_per_zone as u64;
        ShardIndex((zone.at() * self.shards_per_zone) as u32 + k as u32)
    }
    /// The shard that plans a gang.
    pub fn planning_shard(&self, id: &str) -> ShardIndex {
        ShardIndex((stable_hash(id) % (self.shards.len() as u64 - 1)) as u32)
    }
    /// Key of a shard.
    pub fn shard_key(&self, s: ShardIndex) -> String {
        format!("{ROOT}shard/{}", s.0)
    }
    /// Key of a team.
    pub fn team_key(&self, t: TeamIndex) -> String {
        format!("{ROOT}team/{}", self.team_names.name(t))
    }
    /// Key of a job.
    pub fn job_key(id: &str) -> String {
        format!("{ROOT}job/{id}")
    }
    /// The owner of a shard if its incarnation is alive.
    pub fn live_owner(&self, s: ShardIndex) -> Option<&str> {
        let r = &self.shards[s.at()].record;
        let n = self.controllers.get(&r.owner)?;
        (n.record.incarnation == r.incarnation).then_some(r.owner.as_str())
    }

    /// Machine by index.
    pub fn machine(&self, ix: MachineIndex) -> Option<&Machine> {
        self.machines.get(ix.at())?.as_ref()
    }
    /// Machine by index, to change it.
    pub fn machine_mut(&mut self, ix: MachineIndex) -> Option<&mut Machine> {
        self.machines.get_mut(ix.at())?.as_mut()
    }
    /// All machines with their index.
    pub fn all_machines(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.machines
            .iter()
            .enumerate()
            .filter_map(|(i, m)| Some((MachineIndex(i as u32), m.as_ref()?)))
    }
    /// Index of a machine's name.
    pub fn intern_machine(&mut self, name: &str) -> MachineIndex {
        let ix = self.machine_names.intern(name);
        if self.machines.len() <= ix.at() {
            self.machines.resize(ix.at() + 1, None);
        }
        ix
    }
    /// Adds a machine if it is new; `None` for a zone nobody knows, or if the cloud has deleted
    /// it: late lists, reports and news bring none back.
    pub fn learn_machine(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        now: MonotonicMillis,
    ) -> Option<MachineIndex> {
        let zone = self.zone_names.find(zone)?;
        let ix = self.intern_machine(name);
        if self.is_deleted(ix) {
            return None;
        }
        if self.machines[ix.at()].is_none() {
            let machine_type = self.machine_type_names.intern(machine_type);
            let shard = self.shard_of(zone, name);
            let name = self.machine_names.name(ix).clone();
            self.machines[ix.at()] = Some(Machine::new(name, machine_type, zone, spot, shard, now));
            self.recompute_free_capacity(ix);
        }
        Some(ix)
    }

    /// Job by id.
    pub fn job(&self, id: &str) -> Option<(JobIndex, &Job)> {
        let ix = self.job_names.find(id)?;
        Some((ix, self.jobs.get(ix.at())?))
    }
    /// Jobs that are not settled.
    pub fn active_jobs(&self) -> impl Iterator<Item = (JobIndex, &Job)> {
        self.active
            .keys()
            .map(|k| (JobIndex(*k), &self.jobs[*k as usize]))
    }

    /// Interns a description; `None` if its team or zone is unknown.
    pub fn intern_spec(&mut self, wire: &JobSpec) -> Option<Spec> {
        let zone = match &wire.zone {
            Some(z) => Some(self.zone_names.find(z)?),
            None => None,
        };
        Some(Spec {
            team: self.team_names.find(&wire.team)?,
            need: Resources::new(wire.vcpus, wire.gpus, wire.mem_gb),
            machine_types: wire.types.as_ref().map(|t| {
                t.iter()
                    .map(|t| self.machine_type_names.intern(t))
                    .collect()
            }),
            zone,
            image: self.image_names.intern(&wire.image),
            record_bytes: stored_bytes(wire),
            wire: wire.clone(),
        })
    }

    /// True if the job can ever run, as far as the machine types say.
    pub fn can_run(&self, spec: &Spec) -> bool {
        let fits = self.machine_types.iter().any(|(ix, machine_type)| {
            spec.machine_types.as_ref().is_none_or(|r| r.contains(ix))
                && spec.need.fits(machine_type.capacity)
                && machine_type.description.zones.iter().any(|z| {
                    let z = self.zone_names.find(z);
                    z.is_some() && (spec.zone.is_none() || spec.zone == z)
                })
        });
        let tasks = match spec.wire.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => spec.tasks(),
        };
        let all = spec.need.times(tasks);
        fits && self.team_limits[spec.team.at()].allows(all.quota())
    }

    /// What the placements paid by a shard use of a team's limit.
    pub fn quota_used_by_shard(&self, team: TeamIndex, charged_shard: ShardIndex) -> QuotaUsage {
        self.totals.quota_used_by_shard(team, charged_shard)
    }
    /// What a team's placements use, whoever pays.
    pub fn quota_used(&self, team: TeamIndex) -> QuotaUsage {
        self.totals.quota_used(team)
    }
    /// Attempts placed on a machine.
    pub fn placed_on(&self, m: MachineIndex) -> &[TaskAttempt] {
        self.totals.placed_on(m)
    }
    /// Machines with placements, known or not.
    pub fn occupied(&self) -> impl Iterator<Item = MachineIndex> + '_ {
        self.totals.occupied()
    }
    /// True if the cloud has deleted the machine.
    pub fn is_deleted(&self, m: MachineIndex) -> bool {
        self.deleted.get(m.at()).copied().unwrap_or(false)
    }
    /// Notes that the cloud has deleted a machine, which may be known by name only.
    pub fn mark_deleted(&mut self, machine_index: MachineIndex) {
        if self.deleted.len() <= machine_index.at() {
            self.deleted.resize(machine_index.at() + 1, false);
        }
        self.deleted[machine_index.at()] = true;
        // Nothing of it is of use any more, and fleets change machines all day.
        if let Some(m) = self.machines.get_mut(machine_index.at()) {
            *m = None;
        }
        self.recompute_free_capacity(machine_index);
    }
    /// Free room of a machine; `None` if it or its type is unknown.
    pub fn free_on(&self, m: MachineIndex) -> Option<Resources> {
        self.free_capacity().get(m.at()).copied().flatten()
    }
    /// Room by machine after placements and whatever else was reported.
    pub fn free_capacity(&self) -> &[Option<Resources>] {
        self.totals.free_capacity()
    }

    /// Counts anew what is free on a machine: after each change of its tasks or placements.
    pub fn recompute_free_capacity(&mut self, machine_index: MachineIndex) {
        let free = self.machine(machine_index).and_then(|m| {
            let mut free = self.machine_types.get(&m.machine_type)?.capacity;
            let placed = self.placed_on(machine_index);
            let need = |ix: JobIndex| {
                let job = self.jobs.get(ix.at()).filter(|j| !j.is_settled())?;
                Some(job.spec.as_ref()?.need)
            };
            // The record of a completed task may follow a little later.
            let there = |a: &&TaskAttempt| !m.observed(**a).is_some_and(ObservedTask::is_done);
            for n in placed.iter().filter(there).filter_map(|a| need(a.job)) {
                free = free.minus(n);
            }
            for t in m.tasks.iter().filter(|t| t.state != TaskState::Exited) {
                let extra = t
                    .job
                    .filter(|j| !placed.contains(&TaskAttempt::new(*j, t.task, t.attempt)));
                if let Some(n) = extra.and_then(need) {
                    free = free.minus(n);
                }
            }
            Some(free)
        });
        self.totals.set_free_capacity(machine_index, free);
    }

    /// Takes over a list of machine types.
    pub fn set_machine_types(&mut self, flavors: &MachineTypeCatalog) {
        for f in &flavors.types {
            let ix = self.machine_type_names.intern(&f.name);
            let machine_type = MachineType {
                capacity: Resources::new(f.vcpus, f.gpus, f.mem_gb),
                description: f.clone(),
            };
            self.machine_types.insert(ix, machine_type);
        }
        for i in 0..self.machines.len() {
            self.recompute_free_capacity(MachineIndex::new(i));
        }
    }

    /// A job's record, to be stored.
    pub fn record(&self, job: &Job) -> JobRecord {
        JobRecord {
            spec: job
                .spec
                .as_ref()
                .filter(|_| !job.is_settled())
                .map(|s| s.wire.clone()),
            state: job.state,
            submitted_at: job.submitted_at,
            done: job.done.clone(),
            placements: self.stored_overflow(job, 0),
            next_attempt: job.next_attempt,
            finished_at: job.finished_at,
        }
    }

    /// Key of a part of a job's record.
    pub fn overflow_key(id: &str, part: u16) -> String {
        format!("{ROOT}more/{id}.{part}")
    }

    /// The placements in one part of a job's record, to be stored.
    pub fn stored_overflow(&self, job: &Job, part: u16) -> Vec<StoredPlacement> {
        let own = job.placements.iter().filter(|p| p.overflow_index == part);
        let stored = |p: &Placement| {
            let machine = self.machine_names.name(p.machine).to_string();
            (p.task, p.attempt, machine, p.shard.0, p.charged_shard.0)
        };
        own.map(stored).collect()
    }

    /// Parts other than the record itself that differ from what is known of the job.
    pub fn changed_overflows(&self, ix: JobIndex, job: &Job) -> Vec<u16> {
        let old = &self.jobs[ix.at()];
        let mut parts: Vec<u16> = old.placements.iter().map(|p| p.overflow_index).collect();
        parts.extend(job.placements.iter().map(|p| p.overflow_index));
        parts.sort_unstable();
        parts.dedup();
        parts.retain(|n| *n > 0 && self.stored_overflow(old, *n) != self.stored_overflow(job, *n));
        parts
    }

    fn placements(&mut self, stored: &[StoredPlacement], part: u16) -> Vec<Placement> {
        let of =
            |v: &mut Self, (task, attempt, machine, shard, payer): &StoredPlacement| Placement {
                task: *task,
                attempt: *attempt,
                machine: v.intern_machine(machine),
                shard: ShardIndex(*shard),
                charged_shard: ShardIndex(*payer),
                overflow_index: part,
            };
        stored.iter().map(|p| of(self, p)).collect()
    }

    /// Puts a part of a job's record of this version into the view; older versions change
    /// nothing. An empty one is gone.
    pub fn put_overflow(&mut self, id: &str, part: u16, version: u64, stored: &[StoredPlacement]) {
        let Some(ix) = self
            .job_names
            .find(id)
            .filter(|ix| ix.at() < self.jobs.len())
        else {
            return;
        };
        let known = self
            .overflow_versions
            .get(&(ix, part))
            .copied()
            .unwrap_or(0);
        if part == 0 || known >= version {
            return;
        }
        self.overflow_versions.insert((ix, part), version);
        let fresh = self.placements(stored, part);
        let mut job = self.jobs[ix.at()].clone();
        job.placements.retain(|p| p.overflow_index != part);
        job.placements.extend(fresh);
        self.note_images(&job);
        self.store_job(ix, job);
    }

    fn note_images(&mut self, job: &Job) {
        let Some(s) = &job.spec else { return };
        for p in &job.placements {
            let cache = self.machine(p.machine).map(|m| m.machine_type);
            let cache = cache
                .and_then(|r| self.machine_types.get(&r))
                .map_or(f64::MAX, |r| r.description.cache_gb);
            if let Some(m) = self.machine_mut(p.machine) {
                m.use_image(s.image, s.wire.image_gb, cache);
            }
        }
    }

    pub(super) fn warn_unreadable(&mut self, key: &str, what: &str) {
        if self.unreadable_records.len() < 1000 && self.unreadable_records.insert(key.to_string()) {
            log::error!("record {key} is unreadable and ignored: {what}");
        }
    }

    /// Puts a job of this version into the view. Older versions change nothing.
    pub fn put_job(&mut self, id: &str, version: u64, rec: &JobRecord) {
        let ix = self.job_names.intern(id);
        if self.jobs.get(ix.at()).is_some_and(|j| j.version >= version) {
            return;
        }
        let old = self.jobs.get(ix.at()).and_then(|j| j.spec.clone());
        let spec = match (&rec.spec, old) {
            (None, _) => None,
            (Some(_), Some(old)) => Some(old),
            (Some(wire), None) => match self.intern_spec(wire) {
                Some(s) => Some(Rc::new(s)),
                None => {
                    self.warn_unreadable(id, "unknown team or zone");
                    None
                }
            },
        };
        if ix.at() == self.jobs.len() {
            self.first_submission = Some(
                self.first_submission
                    .map_or(rec.submitted_at, |o| o.min(rec.submitted_at)),
            );
            self.recent_submissions
                .extend(spec.iter().map(|s| (rec.submitted_at, s.clone())));
            while self.recent_submissions.len() > MAX_ARRIVALS {
                self.recent_submissions.pop_front();
            }
        }
        let mut placements = self.placements(&rec.placements, 0);
        if let Some(old) = self.jobs.get(ix.at()) {
            placements.extend(old.placements.iter().filter(|p| p.overflow_index > 0));
        }
        let id = self.job_names.name(ix).clone();
        if rec.state != JobState::Open {
            self.cancelled_by_peers.remove(&id);
        }
        let (dependency_state, cancelled) =
            self.dependency_state(&id, rec.submitted_at, spec.as_deref());
        // Cancelled is final: an older record, by whatever way it comes, takes nothing back. And
        // whoever knows that one it needs is cancelled knows that it is.
        let state = match rec.state {
            JobState::Open if cancelled || self.cancelled_by_peers.contains(&id) => {
                JobState::Cancelled
            }
            state => state,
        };
        let job = Job {
            id,
            version,
            state,
            submitted_at: rec.submitted_at,
            spec,
            done: rec.done.clone(),
            placements,
            next_attempt: rec.next_attempt,
            finished_at: rec.finished_at,
            dependency_state,
        };
        if rec.state == JobState::Open && cancelled {
            self.dependency_graph.unwritten.insert(ix);
        } else {
            self.dependency_graph.unwritten.remove(&ix);
        }
        self.note_images(&job);
        self.enter(ix, &job);
        // Only a newer record tells what came of a transaction without an answer.
        self.jobs_with_unknown_outcome.remove(&ix);
        self.store_job(ix, job);
        self.look_around();
    }

    pub(super) fn store_job(&mut self, ix: JobIndex, job: Job) {
        if job.is_settled() {
            self.active.remove(&ix.0);
            self.failures.remove(&ix);
        } else {
            self.active.insert(ix.0, ());
        }
        let mut touched: Vec<MachineIndex> = job.placements.iter().map(|p| p.machine).collect();
        if let Some(old) = self.jobs.get(ix.at()) {
            touched.extend(old.placements.iter().map(|p| p.machine));
            self.totals.remove(ix, old);
        }
        self.totals.add(ix, &job);
        // Once nothing of it is left its record has no description any more.
        let spec = self.jobs.get(ix.at()).and_then(|old| old.spec.clone());
        let over = (!job.is_open()).then(|| (job.id.clone(), spec));
        if ix.at() == self.jobs.len() {
            self.jobs.push(job);
        } else if let Some(slot) = self.jobs.get_mut(ix.at()) {
            *slot = job;
        }
        if let Some((id, spec)) = over {
            self.dependency_graph.over(&id);
            // What it needed is needed by one less.
            self.look_at_needs(spec.as_deref());
        }
        touched.sort_unstable();
        touched.dedup();
        for m in touched {
            self.recompute_free_capacity(m);
        }
    }

    /// Status word, done and placed tasks for users.
    pub fn status(job: &Job) -> (&'static str, u32, u32) {
        let running = job
            .placements
            .iter()
            .filter(|p| !job.done.has(p.task))
            .count() as u32;
        let done = job.done.count();
        match job.state {
            JobState::Done => ("done", done, 0),
            JobState::Cancelled => ("aborted", done, 0),
            JobState::Open if running > 0 => ("running", done, running),
            JobState::Open => ("pending", done, 0),
        }
    }
}
