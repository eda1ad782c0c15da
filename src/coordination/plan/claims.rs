//! Claims of waiting tasks, and binding them to queues.

use super::*;
use crate::bookkeeping::fleet::Machine;
use crate::bookkeeping::job::{Job, Placement, Spec};
use crate::bookkeeping::names::{Index, JobIx, MachineIx, ShardIx, ZoneIx};
use crate::bookkeeping::units::{Ms, Res};
use crate::bookkeeping::view::View;
use crate::protocol::users::{Rank, Shape};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};

/// True for tasks that are claimed many at a time while changes are scarce.
fn deferrable(spec: &Spec, rank: Rank) -> bool {
    spec.wire.shape == Shape::Array && rank > Rank::High
}

/// Claims waiting tasks for owned machines with free room; returns machines that found nothing.
pub fn claim(
    view: &View,
    rules: &Rules,
    draft: &mut Draft,
    now: Ms,
    wall_ms: u64,
) -> Vec<MachineIx> {
    let mut free = free_room(view, draft);
    claim_gangs(view, rules, draft, &mut free, now);
    let mut jobs = waiting_jobs(view, rules, draft, now, wall_ms);
    if draft.defer {
        jobs.retain(|w| !deferrable(&w.spec, w.rank));
    }
    let Some(least) = least_need(jobs.iter().map(|w| &*w.spec)) else {
        return Vec::new();
    };
    let own = rules.owned(view);
    // Machines without room for any of it are most of a busy fleet.
    let machines: Vec<(MachineIx, &Machine)> = view
        .all_machines()
        .filter(|(mix, m)| {
            free.get(*mix).is_some_and(|f| least.fits(f))
                && own[m.shard.at()]
                && m.takes(now, rules.silent_ms)
        })
        .collect();
    if machines.is_empty() {
        return Vec::new();
    }
    let mut bound: HashSet<(JobIx, u32)> = HashSet::new();
    for (_, m) in view.all_machines() {
        let fresh = m.queue.iter().filter(|q| now.since(q.2) < rules.steal_ms);
        bound.extend(fresh.map(|q| (q.0, q.1)));
    }
    let fits = |job: &Job, room: Res, ix: JobIx, s: &Spec, mix: MachineIx, m: &Machine| {
        let held = m.held.is_some_and(|(_, until)| now < until);
        s.need.fits(room)
            && (!held || job.around.rank == Rank::Production)
            && allowed(view, job, ix, s, mix, m)
            && !leaves_alone(
                view,
                rules,
                s,
                job.around.rank,
                wall_ms.saturating_sub(job.around.since),
                (m.rig, m.spot),
                is_empty(view, m, room),
            )
    };
    let claimants = claimants(view, rules, now, wall_ms);
    let mut pulled: HashSet<MachineIx> = HashSet::new();
    let ranks: BTreeSet<Rank> = jobs.iter().map(|w| w.rank).collect();
    for rank in ranks {
        // Each machine's own queue, first in first out among those of one priority.
        for (mix, m) in &machines {
            for (ix, task, since) in &m.queue {
                // What has waited here for long is unbound again, and served in that order.
                if now.since(*since) >= rules.steal_ms {
                    continue;
                }
                let job = draft.job(view, *ix);
                let Some(s) = job.spec.clone().filter(|_| job.around.rank == rank) else {
                    continue;
                };
                let room = free.get(*mix).unwrap_or_default();
                if draft.defer && deferrable(&s, rank)
                    || !job.waits(*task)
                    || backed_off(view, *ix, now)
                    || crowds_out(view, draft, &claimants, job, &s, wall_ms)
                    || !fits(job, room, *ix, &s, *mix, m)
                {
                    continue;
                }
                if place(view, rules, draft, *ix, &s, &[(*task, *mix, m)], m.shard) {
                    free.take(*mix, s.need);
                    pulled.insert(*mix);
                }
            }
        }
        // Then the oldest jobs' next unbound tasks, each by the machine that suits it best.
        for w in jobs.iter().filter(|w| w.rank == rank) {
            // Machines by how well they suit. What a task takes changes its machine alone, and
            // placements only ever rule more out, so each is looked at once and once a task.
            let ranked = |draft: &Draft, free: &Room, n: usize| {
                let (mix, m) = &machines[n];
                let room = free.get(*mix)?;
                fits(draft.job(view, w.ix), room, w.ix, &w.spec, *mix, m)
                    .then(|| Reverse((misfit(view, &w.spec, m, room), *mix, n)))
            };
            let mut best: BinaryHeap<_> = (0..machines.len())
                .filter_map(|n| ranked(draft, &free, n))
                .collect();
            if best.is_empty() {
                continue;
            }
            let tasks: Vec<u32> = draft
                .job(view, w.ix)
                .waiting()
                .filter(|t| !bound.contains(&(w.ix, *t)))
                .take(machines.len() * 8)
                .collect();
            for task in tasks {
                let job = draft.job(view, w.ix);
                if crowds_out(view, draft, &claimants, job, &w.spec, wall_ms) {
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
                if !place(view, rules, draft, w.ix, &w.spec, &on, on[0].2.shard) {
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
    view: &View,
    rules: &Rules,
    draft: &mut Draft,
    ix: JobIx,
    n: usize,
) -> Option<Vec<u16>> {
    let value_bytes = rules.limits(view).value_bytes;
    let job = draft.job(view, ix);
    let parts = job.parts_for(n, value_bytes, view.second_form)?;
    let fresh = usize::from(!draft.jobs.contains_key(&ix));
    let mut new: Vec<u16> = parts.iter().copied().filter(|p| *p > 0).collect();
    new.dedup();
    new.retain(|p| !draft.parts.contains(&(ix, *p)));
    if !draft.has_room(view, rules, new.len() + fresh) {
        draft.cut = true;
        return None;
    }
    draft.parts.extend(new.into_iter().map(|p| (ix, p)));
    Some(parts)
}

/// Drafts placements of one attempt; false if the transaction is full or the limit is reached.
pub(super) fn place(
    view: &View,
    rules: &Rules,
    draft: &mut Draft,
    ix: JobIx,
    spec: &Spec,
    on: &[(u32, MachineIx, &Machine)],
    payer: ShardIx,
) -> bool {
    if !pay(
        view,
        rules,
        draft,
        spec.team,
        payer,
        spec.need,
        on.len() as u32,
    ) {
        return false;
    }
    let Some(parts) = parts_for(view, rules, draft, ix, on.len()) else {
        return false;
    };
    let Some(job) = draft.edit(view, rules, ix) else {
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
pub fn bind(view: &View, rules: &Rules, ix: JobIx, now: Ms, wall_ms: u64) -> Vec<(u32, MachineIx)> {
    let job = &view.jobs[ix.at()];
    let Some(spec) = job.spec.clone().filter(|s| !s.is_wide_gang()) else {
        return Vec::new();
    };
    let mut free = free_room(view, &Draft::default());
    for (mix, m) in view.all_machines() {
        for (j, t, _) in &m.queue {
            let q = &view.jobs[j.at()];
            if let (true, Some(s)) = (q.waits(*t), &q.spec) {
                free.take(mix, s.need);
            }
        }
    }
    let candidates = view.all_machines().filter(|(mix, m)| {
        m.takes(now, rules.silent_ms) && m.held.is_none() && allowed(view, job, ix, &spec, *mix, m)
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
        if let Some(z) = view.shard_zone(p.shard) {
            *per_zone.entry(z).or_default() += 1;
        }
    }
    let waited = wall_ms.saturating_sub(job.around.since);
    let mut out = Vec::new();
    for task in job.waiting() {
        let zone_ok = |m: &Machine| per_zone.get(&m.zone).copied().unwrap_or(0) < spec.zone_cap();
        let fitting = machines
            .iter()
            .filter_map(|(mix, m)| {
                let room = free.get(*mix)?;
                let alone = leaves_alone(
                    view,
                    rules,
                    &spec,
                    job.around.rank,
                    waited,
                    (m.rig, m.spot),
                    is_empty(view, m, room),
                );
                let good = zone_ok(m) && spec.need.fits(room) && !alone;
                good.then(|| (misfit(view, &spec, m, room), (*mix, *m)))
            })
            .min_by_key(|(cost, (mix, _))| (*cost, *mix))
            .map(|(_, chosen)| chosen);
        let chosen = fitting.or_else(|| {
            machines
                .iter()
                .copied()
                .filter(|(mix, m)| zone_ok(m) && queued[mix] < rules.queue_cap)
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
