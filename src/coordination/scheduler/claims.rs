//! Claims of waiting tasks, and binding them to queues.

use crate::coordination::scheduler::bin_packing::{
    allowed, bin_packing_cost, free_capacity, is_empty, reserved_for_on_demand, smallest_need,
    FreeCapacity,
};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::gangs::claim_gangs;
use crate::coordination::scheduler::job_order::{is_backed_off, waiting_jobs, Waiting};
use crate::coordination::scheduler::quota::{pay, starved_gangs, would_starve_gang, StarvedGang};
use crate::protocol::users::{JobKind, Priority};
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Placement, Spec};
use crate::state::machine::Machine;
use crate::state::names::{Index, JobIndex, MachineIndex, ZoneIndex};
use crate::state::units::{MonotonicMillis, Resources};
use standby::permit::{Permit, Permits};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};

/// Machines looked at when there are more: a sample in place of a full search.
pub const SAMPLE: usize = 64;

/// True for tasks that are claimed many at a time while changes are scarce.
fn deferrable(spec: &Spec, rank: Priority) -> bool {
    spec.wire.kind == JobKind::Array && rank > Priority::High
}

/// Claims waiting tasks for owned machines with free room; returns machines that found nothing.
pub fn claim(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    draft: &mut DraftTransaction,
    now: MonotonicMillis,
    wall_ms: u64,
) -> Vec<MachineIndex> {
    let mut free = free_capacity(cluster, draft);
    claim_gangs(cluster, config, permits, draft, &mut free, now);
    let mut jobs = waiting_jobs(cluster, config, draft, now, wall_ms);
    if draft.batch_array_updates {
        jobs.retain(|w| !deferrable(&w.spec, w.priority));
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
        starved_gangs: starved_gangs(cluster, config, now, wall_ms),
        free,
        pulled: HashSet::new(),
    };
    let ranks: BTreeSet<Priority> = jobs.iter().map(|w| w.priority).collect();
    for rank in ranks {
        pass.claim_from_queues(draft, rank);
        for waiting in jobs.iter().filter(|w| w.priority == rank) {
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
    (free, least): (&FreeCapacity, Resources),
    now: MonotonicMillis,
) -> Vec<(MachineIndex, &'a Machine)> {
    let usable = |(machine_index, m): &(MachineIndex, &Machine)| {
        free.get(*machine_index).is_some_and(|f| least.fits(f))
            && permitted[m.shard.at()].is_some()
            && m.is_schedulable(now, config.unresponsive_ms)
    };
    cluster.all_machines().filter(usable).collect()
}

/// Tasks that wait in a machine's queue and are not free for all yet.
fn freshly_queued(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    now: MonotonicMillis,
) -> HashSet<(JobIndex, u32)> {
    let entries = cluster.all_machines().flat_map(|(_, m)| &m.queue);
    let fresh = entries.filter(|(_, _, since)| now.since(*since) < config.steal_after_ms);
    fresh.map(|(ix, task, _)| (*ix, *task)).collect()
}

/// A pass over the machines that have room, in which each priority is served in turn.
struct ClaimPass<'a> {
    cluster: &'a ClusterState,
    config: &'a SchedulerConfig,
    now: MonotonicMillis,
    wall_ms: u64,
    machines: Vec<(MachineIndex, &'a Machine)>,
    /// By shard: the permit to decide for it.
    permitted: Vec<Option<&'a Permit>>,
    /// Tasks left to the machines in whose queues they wait.
    queued: HashSet<(JobIndex, u32)>,
    starved_gangs: Vec<StarvedGang>,
    free: FreeCapacity,
    /// Machines for which something was claimed.
    pulled: HashSet<MachineIndex>,
}

impl ClaimPass<'_> {
    /// True if the machine may take a task of the job now.
    fn fits(
        &self,
        job: &Job,
        room: Resources,
        ix: JobIndex,
        spec: &Spec,
        (machine_index, m): (MachineIndex, &Machine),
    ) -> bool {
        let rank = job.dependency_state.priority;
        let held = m.reservation.is_some_and(|(_, until)| self.now < until);
        spec.need.fits(room)
            && (!held || rank == Priority::Production)
            && allowed(self.cluster, job, ix, spec, machine_index, m)
            && !reserved_for_on_demand(
                self.cluster,
                self.config,
                spec,
                rank,
                self.wall_ms
                    .saturating_sub(job.dependency_state.eligible_since),
                (m.machine_type, m.spot),
                is_empty(self.cluster, m, room),
            )
    }

    /// True if the job leaves its team's limit to a gang.
    fn gives_way(&self, draft: &DraftTransaction, job: &Job, spec: &Spec) -> bool {
        let starved_gangs = &self.starved_gangs;
        would_starve_gang(self.cluster, draft, starved_gangs, job, spec, self.wall_ms)
    }

    /// Each machine's own queue, first in first out among those of one priority.
    fn claim_from_queues(&mut self, draft: &mut DraftTransaction, rank: Priority) {
        for n in 0..self.machines.len() {
            let (machine_index, m) = self.machines[n];
            for (ix, task, since) in &m.queue {
                // What has waited here for long is unbound again, and served in that order.
                if self.now.since(*since) >= self.config.steal_after_ms {
                    continue;
                }
                let job = draft.job(self.cluster, *ix);
                let spec = job.spec.clone();
                let Some(spec) = spec.filter(|_| job.dependency_state.priority == rank) else {
                    continue;
                };
                let room = self.free.get(machine_index).unwrap_or_default();
                if draft.batch_array_updates && deferrable(&spec, rank)
                    || !job.is_waiting(*task)
                    || is_backed_off(self.cluster, *ix, self.now)
                    || self.gives_way(draft, job, &spec)
                    || !self.fits(job, room, *ix, &spec, (machine_index, m))
                {
                    continue;
                }
                self.place(draft, *ix, &spec, *task, (machine_index, m));
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
            .waiting_tasks()
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
    ) -> Option<Reverse<(i64, MachineIndex, usize)>> {
        let (machine_index, m) = self.machines[n];
        let room = self.free.get(machine_index)?;
        let job = draft.job(self.cluster, waiting.ix);
        self.fits(job, room, waiting.ix, &waiting.spec, (machine_index, m))
            .then(|| {
                Reverse((
                    bin_packing_cost(self.cluster, &waiting.spec, m, room),
                    machine_index,
                    n,
                ))
            })
    }

    /// Drafts one placement; false if the transaction or the team's limit has no room for it.
    fn place(
        &mut self,
        draft: &mut DraftTransaction,
        ix: JobIndex,
        spec: &Spec,
        task: u32,
        (machine_index, m): (MachineIndex, &Machine),
    ) -> bool {
        let Some(permit) = self.permitted[m.shard.at()] else {
            return false;
        };
        let on = [(task, machine_index, m)];
        let placed = place(self.cluster, self.config, draft, ix, spec, &on, permit);
        if placed {
            self.free.take(machine_index, spec.need);
            self.pulled.insert(machine_index);
        }
        placed
    }

    /// Machines that have room left and for which nothing was claimed.
    fn found_nothing(&self, least: Resources) -> Vec<MachineIndex> {
        let has_room = |machine_index: &MachineIndex| {
            self.free.get(*machine_index).is_some_and(|f| least.fits(f))
        };
        let all = self
            .machines
            .iter()
            .map(|(machine_index, _)| *machine_index);
        all.filter(|machine_index| !self.pulled.contains(machine_index) && has_room(machine_index))
            .collect()
    }
}

/// Parts of the job's record for this many more placements, all noted as changing; `None` if the
/// record can't hold them, or the transaction not all that changes.
fn parts_for(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    draft: &mut DraftTransaction,
    ix: JobIndex,
    n: usize,
) -> Option<Vec<u16>> {
    let value_bytes = config.limits(cluster).value_bytes;
    let job = draft.job(cluster, ix);
    let parts = job.overflow_indices_for(n, value_bytes, cluster.record_format_v2)?;
    let fresh = usize::from(!draft.jobs.contains_key(&ix));
    let mut new: Vec<u16> = parts.iter().copied().filter(|p| *p > 0).collect();
    new.dedup();
    new.retain(|p| !draft.overflow_records.contains(&(ix, *p)));
    if !draft.has_room(cluster, config, new.len() + fresh) {
        draft.truncated = true;
        return None;
    }
    draft
        .overflow_records
        .extend(new.into_iter().map(|p| (ix, p)));
    Some(parts)
}

/// Drafts placements of one attempt; false if the transaction is full or the limit is reached.
pub(crate) fn place(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    draft: &mut DraftTransaction,
    ix: JobIndex,
    spec: &Spec,
    on: &[(u32, MachineIndex, &Machine)],
    permit: &Permit,
) -> bool {
    let payer = permit.shard().into();
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
            overflow_index: *part,
            task: *task,
            attempt,
            machine: *machine,
            shard: m.shard,
            charged_shard: payer,
        });
    let placements: Vec<Placement> = placements.collect();
    job.placements.extend(&placements);
    draft.require_ownership(permit);
    draft.claims.extend(placements.into_iter().map(|p| (ix, p)));
    true
}

/// Binds a job's waiting tasks: the first fitting machine in the stale view, else the
/// shortest queue under the cap. Tasks that find all queues full stay unbound.
pub fn bind(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    ix: JobIndex,
    now: MonotonicMillis,
    wall_ms: u64,
) -> Vec<(u32, MachineIndex)> {
    let job = &cluster.jobs[ix.at()];
    let Some(spec) = job.spec.clone().filter(|s| !s.is_wide_gang()) else {
        return Vec::new();
    };
    let mut free = free_capacity(cluster, &DraftTransaction::default());
    for (machine_index, m) in cluster.all_machines() {
        for (j, t, _) in &m.queue {
            let q = &cluster.jobs[j.at()];
            if let (true, Some(s)) = (q.is_waiting(*t), &q.spec) {
                free.take(machine_index, s.need);
            }
        }
    }
    let candidates = cluster.all_machines().filter(|(machine_index, m)| {
        m.is_schedulable(now, config.unresponsive_ms)
            && m.reservation.is_none()
            && allowed(cluster, job, ix, &spec, *machine_index, m)
    });
    // Machines with room and the image are few: a sample of hundreds misses most of them.
    let (mut machines, mut others): (Vec<_>, Vec<_>) =
        candidates.partition(|(machine_index, m)| {
            m.has_image(spec.image) && free.get(*machine_index).is_some_and(|f| spec.need.fits(f))
        });
    for list in [&mut machines, &mut others] {
        while list.len() > SAMPLE {
            list.swap_remove(fastrand::usize(..list.len()));
        }
    }
    machines.extend(others);
    let mut queued: HashMap<MachineIndex, usize> = machines
        .iter()
        .map(|(machine_index, m)| {
            (
                *machine_index,
                m.queue.len().max(m.owner_queue_length.into()),
            )
        })
        .collect();
    let mut per_zone: HashMap<ZoneIndex, u32> = HashMap::new();
    for p in &job.placements {
        if let Some(z) = cluster.shard_zone(p.shard) {
            *per_zone.entry(z).or_default() += 1;
        }
    }
    let waited = wall_ms.saturating_sub(job.dependency_state.eligible_since);
    let mut out = Vec::new();
    for task in job.waiting_tasks() {
        let zone_ok = |m: &Machine| per_zone.get(&m.zone).copied().unwrap_or(0) < spec.zone_cap();
        let fitting = machines
            .iter()
            .filter_map(|(machine_index, m)| {
                let room = free.get(*machine_index)?;
                let alone = reserved_for_on_demand(
                    cluster,
                    config,
                    &spec,
                    job.dependency_state.priority,
                    waited,
                    (m.machine_type, m.spot),
                    is_empty(cluster, m, room),
                );
                let good = zone_ok(m) && spec.need.fits(room) && !alone;
                good.then(|| {
                    (
                        bin_packing_cost(cluster, &spec, m, room),
                        (*machine_index, *m),
                    )
                })
            })
            .min_by_key(|(cost, (machine_index, _))| (*cost, *machine_index))
            .map(|(_, chosen)| chosen);
        let chosen = fitting.or_else(|| {
            machines
                .iter()
                .copied()
                .filter(|(machine_index, m)| zone_ok(m) && queued[machine_index] < config.queue_cap)
                .min_by_key(|(machine_index, _)| queued[machine_index])
        });
        let Some((machine_index, m)) = chosen else {
            break;
        };
        free.take(machine_index, spec.need);
        *queued.entry(machine_index).or_default() += 1;
        *per_zone.entry(m.zone).or_default() += 1;
        out.push((task, machine_index));
    }
    out
}
