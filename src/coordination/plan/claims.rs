//! Claims of waiting tasks, and binding them to queues.

use super::gangs::claim_gangs;
use super::order::{backed_off, waiting_jobs};
use super::room::{allowed, free_room, is_empty, leaves_alone, misfit, smallest_need, Room};
use super::shares::{claimants, crowds_out, pay};
use super::{DraftTransaction, SchedulerConfig, SAMPLE};
use crate::bookkeeping::cluster_state::ClusterState;
use crate::bookkeeping::fleet::Machine;
use crate::bookkeeping::job::{Job, Placement, Spec};
use crate::bookkeeping::names::{Index, JobIx, MachineIx, ShardIx, ZoneIx};
use crate::bookkeeping::units::{Ms, Resources};
use crate::protocol::users::{Rank, Shape};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};

/// True for tasks that are claimed many at a time while changes are scarce.
fn deferrable(spec: &Spec, rank: Rank) -> bool {
    spec.wire.shape == Shape::Array && rank > Rank::High
}

/// Claims waiting tasks for owned machines with free room; returns machines that found nothing.
pub fn claim(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    draft: &mut DraftTransaction,
    now: Ms,
    wall_ms: u64,
) -> Vec<MachineIx> {
    let mut free = free_room(cluster, draft);
    claim_gangs(cluster, config, draft, &mut free, now);
    let mut jobs = waiting_jobs(cluster, config, draft, now, wall_ms);
    if draft.defer {
        jobs.retain(|w| !deferrable(&w.spec, w.rank));
    }
    let Some(least) = smallest_need(jobs.iter().map(|w| &*w.spec)) else {
        return Vec::new();
    };
    let own = config.owned(cluster);
    // Machines without room for any of it are most of a busy fleet.
    let machines: Vec<(MachineIx, &Machine)> = cluster
        .all_machines()
        .filter(|(mix, m)| {
            free.get(*mix).is_some_and(|f| least.fits(f))
                && own[m.shard.at()]
                && m.takes(now, config.silent_ms)
        })
        .collect();
    if machines.is_empty() {
        return Vec::new();
    }
    let mut bound: HashSet<(JobIx, u32)> = HashSet::new();
    for (_, m) in cluster.all_machines() {
        let fresh = m.queue.iter().filter(|q| now.since(q.2) < config.steal_ms);
        bound.extend(fresh.map(|q| (q.0, q.1)));
    }
    let fits = |job: &Job, room: Resources, ix: JobIx, s: &Spec, mix: MachineIx, m: &Machine| {
        let held = m.held.is_some_and(|(_, until)| now < until);
        s.need.fits(room)
            && (!held || job.dependency_state.rank == Rank::Production)
            && allowed(cluster, job, ix, s, mix, m)
            && !leaves_alone(
                cluster,
                config,
                s,
                job.dependency_state.rank,
                wall_ms.saturating_sub(job.dependency_state.since),
                (m.machine_type, m.spot),
                is_empty(cluster, m, room),
            )
    };
    let claimants = claimants(cluster, config, now, wall_ms);
    let mut pulled: HashSet<MachineIx> = HashSet::new();
    let ranks: BTreeSet<Rank> = jobs.iter().map(|w| w.rank).collect();
    for rank in ranks {
        // Each machine's own queue, first in first out among those of one priority.
        for (mix, m) in &machines {
            for (ix, task, since) in &m.queue {
                // What has waited here for long is unbound again, and served in that order.
                if now.since(*since) >= config.steal_ms {
                    continue;
                }
                let job = draft.job(cluster, *ix);
                let Some(s) = job
                    .spec
                    .clone()
                    .filter(|_| job.dependency_state.rank == rank)
                else {
                    continue;
                };
                let room = free.get(*mix).unwrap_or_default();
                if draft.defer && deferrable(&s, rank)
                    || !job.waits(*task)
                    || backed_off(cluster, *ix, now)
                    || crowds_out(cluster, draft, &claimants, job, &s, wall_ms)
                    || !fits(job, room, *ix, &s, *mix, m)
                {
                    continue;
                }
                if place(
                    cluster,
                    config,
                    draft,
                    *ix,
                    &s,
                    &[(*task, *mix, m)],
                    m.shard,
                ) {
                    free.take(*mix, s.need);
                    pulled.insert(*mix);
                }
            }
        }
        // Then the oldest jobs' next unbound tasks, each by the machine that suits it best.
        for w in jobs.iter().filter(|w| w.rank == rank) {
            // Machines by how well they suit. What a task takes changes its machine alone, and
            // placements only ever rule more out, so each is looked at once and once a task.
            let ranked = |draft: &DraftTransaction, free: &Room, n: usize| {
                let (mix, m) = &machines[n];
                let room = free.get(*mix)?;
                fits(draft.job(cluster, w.ix), room, w.ix, &w.spec, *mix, m)
                    .then(|| Reverse((misfit(cluster, &w.spec, m, room), *mix, n)))
            };
            let mut best: BinaryHeap<_> = (0..machines.len())
                .filter_map(|n| ranked(draft, &free, n))
                .collect();
            if best.is_empty() {
                continue;
            }
            let tasks: Vec<u32> = draft
                .job(cluster, w.ix)
                .waiting()
                .filter(|t| !bound.contains(&(w.ix, *t)))
                .take(machines.len() * 8)
                .collect();
            for task in tasks {
                let job = draft.job(cluster, w.ix);
                if crowds_out(cluster, draft, &claimants, job, &w.spec, wall_ms) {
                    break;
                }
                let found = loop {
                    match best.pop() {
                        Some(Reverse((.., n))) if ranked(draft, &free, n).is_none() => {}
                        other => break other,
                    }
                };
                let Some(Reverse((_, mix, n))) = found else {
                    break;
                };
                let on = [(task, mix, machines[n].1)];
                if !place(cluster, config, draft, w.ix, &w.spec, &on, on[0].2.shard) {
                    break;
                }
                free.take(mix, w.spec.need);
                pulled.insert(mix);
                best.extend(ranked(draft, &free, n));
            }
        }
    }
    let has_room = |mix: &MachineIx| free.get(*mix).is_some_and(|f| least.fits(f));
    machines
        .iter()
        .map(|(mix, _)| *mix)
        .filter(|mix| !pulled.contains(mix) && has_room(mix))
        .collect()
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
pub(super) fn place(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    draft: &mut DraftTransaction,
    ix: JobIx,
    spec: &Spec,
    on: &[(u32, MachineIx, &Machine)],
    payer: ShardIx,
) -> bool {
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
    draft.shards.insert(payer);
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
