//! Claims of waiting tasks, and binding them to queues.

use crate::coordination::scheduler::bin_packing::{
    allowed, free_room, is_empty, leaves_alone, misfit, smallest_need, Room,
};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::gangs::claim_gangs;
use crate::coordination::scheduler::job_order::{backed_off, waiting_jobs, Waiting};
use crate::coordination::scheduler::quota::{claimants, crowds_out, pay, Claimant};
use crate::protocol::users::{Rank, Shape};
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Placement, Spec};
use crate::state::machine::Machine;
use crate::state::names::{Index, JobIx, MachineIx, ShardIx, ZoneIx};
use crate::state::units::{Ms, Resources};
use standby::permit::{Permit, Permits};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};

/// Machines looked at when there are more: a sample in place of a full search.
pub const SAMPLE: usize = 64;

/// True for tasks that are claimed many at a time while changes are scarce.
fn deferrable(spec: &Spec, rank: Rank) -> bool {
    spec.wire.shape == Shape::Array && rank > Rank::High
}

/// Claims waiting tasks for owned machines with free room; returns machines that found nothing.
pub fn claim(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    draft: &mut DraftTransaction,
    now: Ms,
    wall_ms: u64,
) -> Vec<MachineIx> {
    let mut free = free_room(cluster, draft);
    claim_gangs(cluster, config, permits, draft, &mut free, now);
    let mut jobs = waiting_jobs(cluster, config, draft, now, wall_ms);
    if draft.defer {
        jobs.retain(|w| !deferrable(&w.spec, w.rank));
    }
    let Some(least) = smallest_need(jobs.iter().map(|w| &*w.spec)) else {
        return Vec::new();
    };
    let permitted = config.permitted(cluster, permits);
    let machines = machines_with_room(cluster, config, &permitted, (&free, least), now);
    if machines.is_empty() {
        return Vec::new();
    }
    let mut pass = ClaimPass {
        cluster,
        config,
        now,
        wall_ms,
        machines,
        permitted,
        queued: freshly_queued(cluster, config, now),
        claimants: claimants(cluster, config, now, wall_ms),
        free,
        pulled: HashSet::new(),
    };
    let ranks: BTreeSet<Rank> = jobs.iter().map(|w| w.rank).collect();
    for rank in ranks {
        pass.claim_from_queues(draft, rank);
        for waiting in jobs.iter().filter(|w| w.rank == rank) {
            pass.claim_for_job(draft, waiting);
        }
    }
    pass.found_nothing(least)
}

/// Owned machines with room for the least of what waits. Those without are most of a busy fleet.
fn machines_with_room<'a>(
    cluster: &'a ClusterState,
    config: &SchedulerConfig,
    permitted: &[Option<&Permit>],
    (free, least): (&Room, Resources),
    now: Ms,
) -> Vec<(MachineIx, &'a Machine)> {
    let usable = |(mix, m): &(MachineIx, &Machine)| {
        free.get(*mix).is_some_and(|f| least.fits(f))
            && permitted[m.shard.at()].is_some()
            && m.takes(now, config.silent_ms)
    };
    cluster.all_machines().filter(usable).collect()
}

/// Tasks that wait in a machine's queue and are not free for all yet.
fn freshly_queued(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    now: Ms,
) -> HashSet<(JobIx, u32)> {
    let entries = cluster.all_machines().flat_map(|(_, m)| &m.queue);
    let fresh = entries.filter(|(_, _, since)| now.since(*since) < config.steal_ms);
    fresh.map(|(ix, task, _)| (*ix, *task)).collect()
}

/// A pass over the machines that have room, in which each priority is served in turn.
struct ClaimPass<'a> {
    cluster: &'a ClusterState,
    config: &'a SchedulerConfig,
    now: Ms,
    wall_ms: u64,
    machines: Vec<(MachineIx, &'a Machine)>,
    /// By shard: the permit to decide for it.
    permitted: Vec<Option<&'a Permit>>,
    /// Tasks left to the machines in whose queues they wait.
    queued: HashSet<(JobIx, u32)>,
    claimants: Vec<Claimant>,
    free: Room,
    /// Machines for which something was claimed.
    pulled: HashSet<MachineIx>,
}

impl ClaimPass<'_> {
    /// True if the machine may take a task of the job now.
    fn fits(
        &self,
        job: &Job,
        room: Resources,
        ix: JobIx,
        spec: &Spec,
        (mix, m): (MachineIx, &Machine),
    ) -> bool {
        let rank = job.dependency_state.rank;
        let held = m.held.is_some_and(|(_, until)| self.now < until);
        spec.need.fits(room)
            && (!held || rank == Rank::Production)
            && allowed(self.cluster, job, ix, spec, mix, m)
            && !leaves_alone(
                self.cluster,
                self.config,
                spec,
                rank,
                self.wall_ms.saturating_sub(job.dependency_state.since),
                (m.machine_type, m.spot),
                is_empty(self.cluster, m, room),
            )
    }

    /// True if the job leaves its team's limit to a gang.
    fn gives_way(&self, draft: &DraftTransaction, job: &Job, spec: &Spec) -> bool {
        let claimants = &self.claimants;
        crowds_out(self.cluster, draft, claimants, job, spec, self.wall_ms)
    }

    /// Each machine's own queue, first in first out among those of one priority.
    fn claim_from_queues(&mut self, draft: &mut DraftTransaction, rank: Rank) {
        for n in 0..self.machines.len() {
            let (mix, m) = self.machines[n];
            for (ix, task, since) in &m.queue {
                // What has waited here for long is unbound again, and served in that order.
                if self.now.since(*since) >= self.config.steal_ms {
                    continue;
                }
                let job = draft.job(self.cluster, *ix);
                let spec = job.spec.clone();
                let Some(spec) = spec.filter(|_| job.dependency_state.rank == rank) else {
                    continue;
                };
                let room = self.free.get(mix).unwrap_or_default();
                if draft.defer && deferrable(&spec, rank)
                    || !job.waits(*task)
                    || backed_off(self.cluster, *ix, self.now)
                    || self.gives_way(draft, job, &spec)
                    || !self.fits(job, room, *ix, &spec, (mix, m))
                {
                    continue;
                }
                self.place(draft, *ix, &spec, *task, (mix, m));
            }
        }
    }

    /// The job's next unbound tasks, each by the machine that suits it best.
    ///
    /// What a task takes changes its machine alone, and placements only ever rule more out, so
    /// each machine is looked at once and once a task.
    fn claim_for_job(&mut self, draft: &mut DraftTransaction, waiting: &Waiting) {
        let (ix, spec) = (waiting.ix, &*waiting.spec);
        let all = 0..self.machines.len();
        let mut best: BinaryHeap<_> = all.filter_map(|n| self.ranked(draft, waiting, n)).collect();
        if best.is_empty() {
            return;
        }
        let tasks: Vec<u32> = draft
            .job(self.cluster, ix)
            .waiting()
            .filter(|t| !self.queued.contains(&(ix, *t)))
            .take(self.machines.len() * 8)
            .collect();
        for task in tasks {
            if self.gives_way(draft, draft.job(self.cluster, ix), spec) {
                return;
            }
            let found = loop {
                match best.pop() {
                    Some(Reverse((.., n))) if self.ranked(draft, waiting, n).is_none() => {}
                    other => break other,
                }
            };
            let Some(Reverse((.., n))) = found else {
                return;
            };
            if !self.place(draft, ix, spec, task, self.machines[n]) {
                return;
            }
            best.extend(self.ranked(draft, waiting, n));
        }
    }

    /// How well a machine suits the job's next task; `None` if it can't take it.
    fn ranked(
        &self,
        draft: &DraftTransaction,
        waiting: &Waiting,
        n: usize,
    ) -> Option<Reverse<(i64, MachineIx, usize)>> {
        let (mix, m) = self.machines[n];
        let room = self.free.get(mix)?;
        let job = draft.job(self.cluster, waiting.ix);
        self.fits(job, room, waiting.ix, &waiting.spec, (mix, m))
            .then(|| Reverse((misfit(self.cluster, &waiting.spec, m, room), mix, n)))
    }

    /// Drafts one placement; false if the transaction or the team's limit has no room for it.
    fn place(
        &mut self,
        draft: &mut DraftTransaction,
        ix: JobIx,
        spec: &Spec,
        task: u32,
        (mix, m): (MachineIx, &Machine),
    ) -> bool {
        let Some(permit) = self.permitted[m.shard.at()] else {
            return false;
        };
        let on = [(task, mix, m)];
        let placed = place(self.cluster, self.config, draft, ix, spec, &on, permit);
        if placed {
            self.free.take(mix, spec.need);
            self.pulled.insert(mix);
        }
        placed
    }

    /// Machines that have room left and for which nothing was claimed.
    fn found_nothing(&self, least: Resources) -> Vec<MachineIx> {
        let has_room = |mix: &MachineIx| self.free.get(*mix).is_some_and(|f| least.fits(f));
        let all = self.machines.iter().map(|(mix, _)| *mix);
        all.filter(|mix| !self.pulled.contains(mix) && has_room(mix))
            .collect()
    }
}

/// Parts of the job's record for this many more placements, all noted as changing; `None` if the
/// record can't hold them, or the transaction not all that changes.
fn parts_for(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    draft: &mut DraftTransaction,
    ix: JobIx,
    n: usize,
) -> Option<Vec<u16>> {
    let value_bytes = config.limits(cluster).value_bytes;
    let job = draft.job(cluster, ix);
    let parts = job.parts_for(n, value_bytes, cluster.second_form)?;
    let fresh = usize::from(!draft.jobs.contains_key(&ix));
    let mut new: Vec<u16> = parts.iter().copied().filter(|p| *p > 0).collect();
    new.dedup();
    new.retain(|p| !draft.parts.contains(&(ix, *p)));
    if !draft.has_room(cluster, config, new.len() + fresh) {
        draft.cut = true;
        return None;
    }
    draft.parts.extend(new.into_iter().map(|p| (ix, p)));
    Some(parts)
}

/// Drafts placements of one attempt; false if the transaction is full or the limit is reached.
pub(crate) fn place(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    draft: &mut DraftTransaction,
    ix: JobIx,
    spec: &Spec,
    on: &[(u32, MachineIx, &Machine)],
    permit: &Permit,
) -> bool {
    let payer = ShardIx(permit.shard().0);
    if !pay(
        cluster,
        config,
        draft,
        spec.team,
        payer,
        spec.need,
        on.len() as u32,
    ) {
        return false;
    }
    let Some(parts) = parts_for(cluster, config, draft, ix, on.len()) else {
        return false;
    };
    let Some(job) = draft.edit(cluster, config, ix) else {
        return false;
    };
    let attempt = job.next_attempt;
    job.next_attempt += 1;
    let placements = on
        .iter()
        .zip(&parts)
        .map(|((task, machine, m), part)| Placement {
            part: *part,
            task: *task,
            attempt,
            machine: *machine,
            shard: m.shard,
            payer,
        });
    let placements: Vec<Placement> = placements.collect();
    job.placements.extend(&placements);
    draft.rest_on(permit);
    draft.claims.extend(placements.into_iter().map(|p| (ix, p)));
    true
}

/// Binds a job's waiting tasks: the first fitting machine in the stale view, else the
/// shortest queue under the cap. Tasks that find all queues full stay unbound.
pub fn bind(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    ix: JobIx,
    now: Ms,
    wall_ms: u64,
) -> Vec<(u32, MachineIx)> {
    let job = &cluster.jobs[ix.at()];
    let Some(spec) = job.spec.clone().filter(|s| !s.is_wide_gang()) else {
        return Vec::new();
    };
    let mut free = free_room(cluster, &DraftTransaction::default());
    for (mix, m) in cluster.all_machines() {
        for (j, t, _) in &m.queue {
            let q = &cluster.jobs[j.at()];
            if let (true, Some(s)) = (q.waits(*t), &q.spec) {
                free.take(mix, s.need);
            }
        }
    }
    let candidates = cluster.all_machines().filter(|(mix, m)| {
        m.takes(now, config.silent_ms)
            && m.held.is_none()
            && allowed(cluster, job, ix, &spec, *mix, m)
    });
    // Machines with room and the image are few: a sample of hundreds misses most of them.
    let (mut machines, mut others): (Vec<_>, Vec<_>) = candidates.partition(|(mix, m)| {
        m.has_image(spec.image) && free.get(*mix).is_some_and(|f| spec.need.fits(f))
    });
    for list in [&mut machines, &mut others] {
        while list.len() > SAMPLE {
            list.swap_remove(fastrand::usize(..list.len()));
        }
    }
    machines.extend(others);
    let mut queued: HashMap<MachineIx, usize> = machines
        .iter()
        .map(|(mix, m)| (*mix, m.queue.len().max(m.queued_elsewhere.into())))
        .collect();
    let mut per_zone: HashMap<ZoneIx, u32> = HashMap::new();
    for p in &job.placements {
        if let Some(z) = cluster.shard_zone(p.shard) {
            *per_zone.entry(z).or_default() += 1;
        }
    }
    let waited = wall_ms.saturating_sub(job.dependency_state.since);
    let mut out = Vec::new();
    for task in job.waiting() {
        let zone_ok = |m: &Machine| per_zone.get(&m.zone).copied().unwrap_or(0) < spec.zone_cap();
        let fitting = machines
            .iter()
            .filter_map(|(mix, m)| {
                let room = free.get(*mix)?;
                let alone = leaves_alone(
                    cluster,
                    config,
                    &spec,
                    job.dependency_state.rank,
                    waited,
                    (m.machine_type, m.spot),
                    is_empty(cluster, m, room),
                );
                let good = zone_ok(m) && spec.need.fits(room) && !alone;
                good.then(|| (misfit(cluster, &spec, m, room), (*mix, *m)))
            })
            .min_by_key(|(cost, (mix, _))| (*cost, *mix))
            .map(|(_, chosen)| chosen);
        let chosen = fitting.or_else(|| {
            machines
                .iter()
                .copied()
                .filter(|(mix, m)| zone_ok(m) && queued[mix] < config.queue_cap)
                .min_by_key(|(mix, _)| queued[mix])
        });
        let Some((mix, m)) = chosen else { break };
        free.take(mix, spec.need);
        *queued.entry(mix).or_default() += 1;
        *per_zone.entry(m.zone).or_default() += 1;
        out.push((task, mix));
    }
    out
}
