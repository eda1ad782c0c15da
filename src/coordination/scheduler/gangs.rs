//! Gangs of more than one task, which skip the queues.

use crate::coordination::scheduler::bin_packing::{
    allowed, image_pull_ms, smallest_need, FreeCapacity,
};
use crate::coordination::scheduler::claims::place;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::job_order::is_backed_off;
use crate::coordination::scheduler::quota::fits_beside_services;
use crate::protocol::users::Priority;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::machine::Machine;
use crate::state::names::{Index, JobIndex, MachineIndex, ZoneIndex};
use crate::state::units::{MonotonicMillis, Resources};
use standby::permit::{Permit, Permits};
use std::collections::{BTreeMap, HashMap};

/// Wide gangs that wait, oldest of the highest priority first.
pub fn waiting_gangs(cluster: &ClusterState, now: MonotonicMillis) -> Vec<JobIndex> {
    let mut out: Vec<(Priority, u64, JobIndex)> = cluster
        .active_jobs()
        .filter(|(ix, j)| {
            j.is_runnable() && j.placements.is_empty() && !is_backed_off(cluster, *ix, now)
        })
        .filter_map(|(ix, j)| {
            j.spec.as_ref().filter(|s| s.is_wide_gang())?;
            Some((
                j.dependency_state.priority,
                j.dependency_state.eligible_since,
                ix,
            ))
        })
        .collect();
    out.sort();
    out.into_iter().map(|(_, _, ix)| ix).collect()
}

/// Machines of one zone (or all) for a gang: as many as it has tasks, or `None`.
fn select_gang_machines<'a>(
    cluster: &'a ClusterState,
    ix: JobIndex,
    job: &Job,
    spec: &Spec,
    free: &FreeCapacity,
    machines: &[(MachineIndex, &'a Machine)],
    usable: impl Fn(&Machine) -> bool,
) -> Option<Vec<(MachineIndex, &'a Machine)>> {
    let mut zones: BTreeMap<ZoneIndex, Vec<(MachineIndex, &Machine)>> = BTreeMap::new();
    for (machine_index, m) in machines.iter().copied() {
        let mut room = free.get(machine_index).unwrap_or_default();
        if !spec.need.fits(room) || !usable(m) || !allowed(cluster, job, ix, spec, machine_index, m)
        {
            continue;
        }
        let zone = if spec.wire.one_zone {
            m.zone
        } else {
            ZoneIndex(0)
        };
        let slots = zones.entry(zone).or_default();
        while spec.need.fits(room) {
            slots.push((machine_index, m));
            room = room.minus(spec.need);
            if spec.need == Resources::default() {
                break;
            }
        }
    }
    let n = spec.tasks() as usize;
    let mut best: Option<(u64, Vec<(MachineIndex, &Machine)>)> = None;
    for mut slots in zones.into_values() {
        // A gang begins with the last of its fetches.
        slots.sort_by_key(|(machine_index, m)| {
            (image_pull_ms(cluster, spec, m), !m.spot, *machine_index)
        });
        if spec.wire.spread {
            let cap = spec.zone_cap();
            let mut per: HashMap<ZoneIndex, u32> = HashMap::new();
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
        let last = slots
            .iter()
            .map(|(_, m)| image_pull_ms(cluster, spec, m))
            .max();
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
    free: &mut FreeCapacity,
    now: MonotonicMillis,
) {
    let own: Vec<(JobIndex, &Job, &Spec, &Permit)> = waiting_gangs(cluster, now)
        .into_iter()
        .filter_map(|ix| {
            let job = &cluster.jobs[ix.at()];
            let payer = config.permit(cluster, permits, cluster.planning_shard(&job.id))?;
            Some((ix, job, job.spec.as_deref()?, payer))
        })
        .collect();
    let Some(least) = smallest_need(own.iter().map(|(_, _, s, _)| *s)) else {
        return;
    };
    let machines: Vec<(MachineIndex, &Machine)> = cluster
        .all_machines()
        .filter(|(machine_index, m)| {
            free.get(*machine_index).is_some_and(|f| least.fits(f))
                && m.is_schedulable(now, config.unresponsive_ms)
        })
        .collect();
    for (ix, job, spec, payer) in own {
        let usable = |m: &Machine| {
            !m.reservation
                .is_some_and(|(j, until)| j != ix && now < until)
        };
        let Some(slots) = select_gang_machines(cluster, ix, job, spec, free, &machines, usable)
        else {
            continue;
        };
        let on: Vec<_> = (0..spec.tasks())
            .zip(&slots)
            .map(|(t, (machine_index, m))| (t, *machine_index, *m))
            .collect();
        if place(cluster, config, draft, ix, spec, &on, payer) {
            for (machine_index, _) in slots {
                free.take(machine_index, spec.need);
            }
        }
    }
}

/// Machines to be kept free for gangs that wait too long.
///
/// All nodes see the same order of gangs, and a machine is kept for the first
/// that wants it: two gangs never hold halves of what either needs.
pub fn gang_reservations(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    now: MonotonicMillis,
    wall_ms: u64,
) -> Vec<(JobIndex, Vec<MachineIndex>)> {
    // A gang that its team's services keep out of the limit would keep machines free for nothing.
    let long = |ix: &JobIndex| {
        let job = &cluster.jobs[ix.at()];
        let waited_ms = wall_ms.saturating_sub(job.dependency_state.eligible_since);
        let fits = job
            .spec
            .as_ref()
            .is_some_and(|s| fits_beside_services(cluster, s));
        waited_ms >= config.gang_reservation_after_ms && fits
    };
    let gangs: Vec<JobIndex> = waiting_gangs(cluster, now)
        .into_iter()
        .filter(long)
        .collect();
    if gangs.is_empty() {
        return Vec::new();
    }
    // Machines that are nearly free come first: without their present load. The order is the
    // same for all gangs, so it is made once.
    let mut machines: Vec<(i64, MachineIndex, &Machine, Resources)> = cluster
        .all_machines()
        .filter(|(_, m)| m.is_schedulable(now, config.unresponsive_ms))
        .filter_map(|(machine_index, m)| {
            let whole = cluster.machine_types.get(&m.machine_type)?.capacity;
            let load = whole.minus(cluster.free_on(machine_index).unwrap_or_default());
            Some((load.gpu + load.cpu, machine_index, m, whole))
        })
        .collect();
    machines.sort_unstable_by_key(|(load, machine_index, ..)| (*load, *machine_index));
    let mut out = Vec::new();
    for ix in gangs {
        let job = &cluster.jobs[ix.at()];
        let Some(spec) = &job.spec else { continue };
        let n = spec.tasks() as usize;
        let mut best: Option<(i64, Vec<MachineIndex>)> = None;
        for z in 0..cluster.zone_names.len() {
            let z = ZoneIndex::new(z);
            let chosen: Vec<(i64, MachineIndex)> = machines
                .iter()
                .filter(|(_, machine_index, m, whole)| {
                    (!spec.wire.one_zone || m.zone == z)
                        && spec.need.fits(*whole)
                        && allowed(cluster, job, ix, spec, *machine_index, m)
                })
                .map(|(load, machine_index, ..)| (*load, *machine_index))
                .take(n)
                .collect();
            let load: i64 = chosen.iter().map(|x| x.0).sum();
            if chosen.len() == n && best.as_ref().is_none_or(|(b, _)| load < *b) {
                best = Some((load, chosen.into_iter().map(|x| x.1).collect()));
            }
        }
        if let Some((_, b)) = best {
            machines.retain(|(_, machine_index, ..)| !b.contains(machine_index));
            if config.owns(cluster, cluster.planning_shard(&job.id)) {
                out.push((ix, b));
            }
        }
    }
    out
}
