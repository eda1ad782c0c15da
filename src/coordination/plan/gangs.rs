//! Gangs of more than one task, which skip the queues.

use super::*;
use crate::bookkeeping::fleet::Machine;
use crate::bookkeeping::job::{Job, Spec};
use crate::bookkeeping::names::{Index, JobIx, MachineIx, ZoneIx};
use crate::bookkeeping::units::{Ms, Res};
use crate::bookkeeping::view::View;
use crate::protocol::users::Rank;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Wide gangs that wait, oldest of the highest priority first.
pub fn waiting_gangs(view: &View, now: Ms) -> Vec<JobIx> {
    let mut out: Vec<(Rank, u64, JobIx)> = view
        .active_jobs()
        .filter(|(ix, j)| j.open() && j.placements.is_empty() && !backed_off(view, *ix, now))
        .filter_map(|(ix, j)| {
            let s = j.spec.as_ref().filter(|s| s.is_wide_gang())?;
            Some((s.rank(), j.submitted, ix))
        })
        .collect();
    out.sort();
    out.into_iter().map(|(_, _, ix)| ix).collect()
}

/// Machines of one zone (or all) for a gang: as many as it has tasks, or `None`.
fn gather<'a>(
    view: &'a View,
    ix: JobIx,
    job: &Job,
    spec: &Spec,
    free: &Room,
    usable: impl Fn(&Machine) -> bool,
) -> Option<Vec<(MachineIx, &'a Machine)>> {
    let mut zones: BTreeMap<ZoneIx, Vec<(MachineIx, &Machine)>> = BTreeMap::new();
    for (mix, m) in view.all_machines() {
        let mut room = free.get(mix).unwrap_or_default();
        if !spec.need.fits(room) || !usable(m) || !allowed(view, job, ix, spec, mix, m) {
            continue;
        }
        let zone = if spec.wire.one_zone {
            m.zone
        } else {
            ZoneIx(0)
        };
        let slots = zones.entry(zone).or_default();
        while spec.need.fits(room) {
            slots.push((mix, m));
            room = room.minus(spec.need);
            if spec.need == Res::default() {
                break;
            }
        }
    }
    let n = spec.tasks() as usize;
    let mut best: Option<(u64, Vec<(MachineIx, &Machine)>)> = None;
    for mut slots in zones.into_values() {
        // A gang begins with the last of its fetches.
        slots.sort_by_key(|(mix, m)| (fetch_ms(view, spec, m), !m.spot, *mix));
        if spec.wire.spread {
            let cap = spec.zone_cap();
            let mut per: HashMap<ZoneIx, u32> = HashMap::new();
            slots.retain(|(_, m)| {
                let c = per.entry(m.zone).or_default();
                *c += 1;
                *c <= cap
            });
        }
        if slots.len() < n {
            continue;
        }
        slots.truncate(n);
        let last = slots.iter().map(|(_, m)| fetch_ms(view, spec, m)).max();
        let last = last.unwrap_or(0);
        if best.as_ref().is_none_or(|(l, _)| last < *l) {
            best = Some((last, slots));
        }
    }
    best.map(|(_, s)| s)
}

/// Places gangs whose shard this node owns, all tasks in one claim.
pub(super) fn claim_gangs(view: &View, rules: &Rules, draft: &mut Draft, free: &mut Room, now: Ms) {
    for ix in waiting_gangs(view, now) {
        let job = view.jobs[ix.at()].clone();
        let Some(spec) = job.spec.clone() else {
            continue;
        };
        let payer = view.gang_shard(&job.id);
        let size = job.size() + 44 * spec.tasks() as usize;
        if !rules.owns(view, payer) || size > rules.value_bytes {
            continue;
        }
        let usable = |m: &Machine| {
            let others = m.held.is_some_and(|(j, until)| j != ix && now < until);
            m.takes(now, rules.silent_ms) && !others
        };
        let Some(slots) = gather(view, ix, &job, &spec, free, usable) else {
            continue;
        };
        let on: Vec<_> = (0..spec.tasks())
            .zip(&slots)
            .map(|(t, (mix, m))| (t, *mix, *m))
            .collect();
        if place(view, rules, draft, ix, &spec, &on, payer) {
            for (mix, _) in slots {
                free.take(mix, spec.need);
            }
        }
    }
}

/// Machines to be kept free for gangs that wait too long.
///
/// All nodes see the same order of gangs, and a machine is kept for the first
/// that wants it: two gangs never hold halves of what either needs.
pub fn gang_holds(
    view: &View,
    rules: &Rules,
    now: Ms,
    wall_ms: u64,
) -> Vec<(JobIx, Vec<MachineIx>)> {
    let mut taken: HashSet<MachineIx> = HashSet::new();
    let mut out = Vec::new();
    let full = |m: &Machine| view.rigs.get(&m.rig).map(|r| r.room);
    let free = free_room(view, &Draft::default());
    for ix in waiting_gangs(view, now) {
        let job = &view.jobs[ix.at()];
        let Some(spec) = &job.spec else { continue };
        if wall_ms.saturating_sub(job.submitted) < rules.gang_hold_ms {
            continue;
        }
        // Machines that are nearly free come first: without their present load.
        let mut best: Option<Vec<MachineIx>> = None;
        let mut best_load = i64::MAX;
        for z in 0..view.zone_names.len() {
            let z = ZoneIx::new(z);
            let mut c: Vec<(i64, MachineIx)> = view
                .all_machines()
                .filter(|(mix, m)| {
                    (!spec.wire.one_zone || m.zone == z)
                        && !taken.contains(mix)
                        && m.takes(now, rules.silent_ms)
                        && allowed(view, job, ix, spec, *mix, m)
                })
                .filter_map(|(mix, m)| {
                    let whole = full(m).filter(|r| spec.need.fits(*r))?;
                    let load = whole.minus(free.get(mix).unwrap_or_default());
                    Some((load.gpu + load.cpu, mix))
                })
                .collect();
            c.sort();
            c.truncate(spec.tasks() as usize);
            if c.len() < spec.tasks() as usize {
                continue;
            }
            let load: i64 = c.iter().map(|x| x.0).sum();
            if load < best_load {
                best_load = load;
                best = Some(c.into_iter().map(|x| x.1).collect());
            }
        }
        if let Some(b) = best {
            taken.extend(&b);
            if rules.owns(view, view.gang_shard(&job.id)) {
                out.push((ix, b));
            }
        }
    }
    out
}
