//! Gangs of more than one task, which skip the queues.

use crate::coordination::scheduler::bin_packing::{allowed, fetch_ms, smallest_need, Room};
use crate::coordination::scheduler::claims::place;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::job_order::backed_off;
use crate::coordination::scheduler::quota::fits_beside_services;
use crate::protocol::users::Rank;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::machine::Machine;
use crate::state::names::{Index, JobIx, MachineIx, ZoneIx};
use crate::state::units::{Ms, Resources};
use standby::permit::{Permit, Permits};
use std::collections::{BTreeMap, HashMap};

/// Wide gangs that wait, oldest of the highest priority first.
pub fn waiting_gangs(cluster: &ClusterState, now: Ms) -> Vec<JobIx> {
    let mut out: Vec<(Rank, u64, JobIx)> = cluster
        .active_jobs()
        .filter(|(ix, j)| j.runnable() && j.placements.is_empty() && !backed_off(cluster, *ix, now))
        .filter_map(|(ix, j)| {
            j.spec.as_ref().filter(|s| s.is_wide_gang())?;
            Some((j.dependency_state.rank, j.dependency_state.since, ix))
        })
        .collect();
    out.sort();
    out.into_iter().map(|(_, _, ix)| ix).collect()
}

/// Machines of one zone (or all) for a gang: as many as it has tasks, or `None`.
fn gather<'a>(
    cluster: &'a ClusterState,
    ix: JobIx,
    job: &Job,
    spec: &Spec,
    free: &Room,
    machines: &[(MachineIx, &'a Machine)],
    usable: impl Fn(&Machine) -> bool,
) -> Option<Vec<(MachineIx, &'a Machine)>> {
    let mut zones: BTreeMap<ZoneIx, Vec<(MachineIx, &Machine)>> = BTreeMap::new();
    for (mix, m) in machines.iter().copied() {
        let mut room = free.get(mix).unwrap_or_default();
        if !spec.need.fits(room) || !usable(m) || !allowed(cluster, job, ix, spec, mix, m) {
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
            if spec.need == Resources::default() {
                break;
            }
        }
    }
    let n = spec.tasks() as usize;
    let mut best: Option<(u64, Vec<(MachineIx, &Machine)>)> = None;
    for mut slots in zones.into_values() {
        // A gang begins with the last of its fetches.
        slots.sort_by_key(|(mix, m)| (fetch_ms(cluster, spec, m), !m.spot, *mix));
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
        let last = slots.iter().map(|(_, m)| fetch_ms(cluster, spec, m)).max();
        let last = last.unwrap_or(0);
        if best.as_ref().is_none_or(|(l, _)| last < *l) {
            best = Some((last, slots));
        }
    }
    best.map(|(_, s)| s)
}

/// Places gangs whose shard this node owns, all tasks in one claim.
pub(crate) fn claim_gangs(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    draft: &mut DraftTransaction,
    free: &mut Room,
    now: Ms,
) {
    let own: Vec<(JobIx, &Job, &Spec, &Permit)> = waiting_gangs(cluster, now)
        .into_iter()
        .filter_map(|ix| {
            let job = &cluster.jobs[ix.at()];
            let payer = config.permit(cluster, permits, cluster.gang_shard(&job.id))?;
            Some((ix, job, job.spec.as_deref()?, payer))
        })
        .collect();
    let Some(least) = smallest_need(own.iter().map(|(_, _, s, _)| *s)) else {
        return;
    };
    let machines: Vec<(MachineIx, &Machine)> = cluster
        .all_machines()
        .filter(|(mix, m)| {
            free.get(*mix).is_some_and(|f| least.fits(f)) && m.takes(now, config.silent_ms)
        })
        .collect();
    for (ix, job, spec, payer) in own {
        let usable = |m: &Machine| !m.held.is_some_and(|(j, until)| j != ix && now < until);
        let Some(slots) = gather(cluster, ix, job, spec, free, &machines, usable) else {
            continue;
        };
        let on: Vec<_> = (0..spec.tasks())
            .zip(&slots)
            .map(|(t, (mix, m))| (t, *mix, *m))
            .collect();
        if place(cluster, config, draft, ix, spec, &on, payer) {
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
    cluster: &ClusterState,
    config: &SchedulerConfig,
    now: Ms,
    wall_ms: u64,
) -> Vec<(JobIx, Vec<MachineIx>)> {
    // A gang that its team's services keep out of the limit would keep machines free for nothing.
    let long = |ix: &JobIx| {
        let job = &cluster.jobs[ix.at()];
        let waited_ms = wall_ms.saturating_sub(job.dependency_state.since);
        let fits = job
            .spec
            .as_ref()
            .is_some_and(|s| fits_beside_services(cluster, s));
        waited_ms >= config.gang_hold_ms && fits
    };
    let gangs: Vec<JobIx> = waiting_gangs(cluster, now)
        .into_iter()
        .filter(long)
        .collect();
    if gangs.is_empty() {
        return Vec::new();
    }
    // Machines that are nearly free come first: without their present load. The order is the
    // same for all gangs, so it is made once.
    let mut machines: Vec<(i64, MachineIx, &Machine, Resources)> = cluster
        .all_machines()
        .filter(|(_, m)| m.takes(now, config.silent_ms))
        .filter_map(|(mix, m)| {
            let whole = cluster.machine_types.get(&m.machine_type)?.room;
            let load = whole.minus(cluster.free_on(mix).unwrap_or_default());
            Some((load.gpu + load.cpu, mix, m, whole))
        })
        .collect();
    machines.sort_unstable_by_key(|(load, mix, ..)| (*load, *mix));
    let mut out = Vec::new();
    for ix in gangs {
        let job = &cluster.jobs[ix.at()];
        let Some(spec) = &job.spec else { continue };
        let n = spec.tasks() as usize;
        let mut best: Option<(i64, Vec<MachineIx>)> = None;
        for z in 0..cluster.zone_names.len() {
            let z = ZoneIx::new(z);
            let chosen: Vec<(i64, MachineIx)> = machines
                .iter()
                .filter(|(_, mix, m, whole)| {
                    (!spec.wire.one_zone || m.zone == z)
                        && spec.need.fits(*whole)
                        && allowed(cluster, job, ix, spec, *mix, m)
                })
                .map(|(load, mix, ..)| (*load, *mix))
                .take(n)
                .collect();
            let load: i64 = chosen.iter().map(|x| x.0).sum();
            if chosen.len() == n && best.as_ref().is_none_or(|(b, _)| load < *b) {
                best = Some((load, chosen.into_iter().map(|x| x.1).collect()));
            }
        }
        if let Some((_, b)) = best {
            machines.retain(|(_, mix, ..)| !b.contains(mix));
            if config.owns(cluster, cluster.gang_shard(&job.id)) {
                out.push((ix, b));
            }
        }
    }
    out
}
