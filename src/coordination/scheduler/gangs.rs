//! Gang scheduling: gangs of more than one task are not queued; all their tasks are claimed in one
//! transaction, or, if one can't hold them, in several before any of them starts (`staging`).
//!
//! A gang is placed by the owner of the shard that the gang's id hashes to, on machines of any
//! owner. The owners of those machines learn of the placements through the watch on the key-value
//! store and start the tasks.

use crate::coordination::scheduler::bin_packing::image_pull_ms;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::free_capacity::{
    machines_with_capacity, smallest_need, FreeCapacity,
};
use crate::coordination::scheduler::job_order::waiting_gangs;
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::placement::{PlacementRequest, TaskOnMachine};
use crate::coordination::scheduler::placement_rules::{
    is_allowed, JobRef, MachineRef, TasksByZone,
};
use crate::coordination::scheduler::staging::{abandon_if_stalled, place_gang, yield_to_other};
use crate::state::names::{Index, ZoneIndex};
use crate::state::units::Resources;
use standby::permit::Permit;
use std::collections::BTreeMap;

/// A waiting gang that this controller may place.
struct OwnedGang<'a> {
    job: JobRef<'a>,
    permit: &'a Permit,
}

/// Places the gangs whose planning shard this controller owns, each with all its tasks or not at
/// all.
pub(super) fn claim_gangs(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    free: &mut FreeCapacity,
) {
    let gangs = owned_gangs(pass);
    let Some(smallest) = smallest_need(gangs.iter().map(|gang| gang.job.spec)) else {
        return;
    };
    let machines: Vec<MachineRef> = machines_with_capacity(pass, free, smallest).collect();
    for gang in gangs {
        // A staged gang of which this pass has removed a placement is no longer staged.
        if draft.jobs.contains_key(&gang.job.index) {
            continue;
        }
        let chosen = select_gang_machines(pass, gang.job, free, &machines);
        let found = chosen.is_some();
        let claimed = chosen.is_some_and(|chosen| claim_gang(pass, draft, free, &gang, &chosen));
        if gang.job.job.is_staged() && !claimed {
            abandon_if_stalled(pass, draft, gang.job);
        }
        if gang.job.job.is_staged() && !found {
            yield_to_other(pass, draft, gang.job);
        }
    }
}

/// Claims the chosen machines, one for each waiting task of the gang; false if none is claimed.
/// While the gang is recorded in part only, this pass leaves the machines of its other tasks free.
fn claim_gang(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    free: &mut FreeCapacity,
    gang: &OwnedGang,
    chosen: &[MachineRef],
) -> bool {
    let tasks: Vec<TaskOnMachine> = gang
        .job
        .job
        .waiting_tasks()
        .zip(chosen)
        .map(|(task, target)| TaskOnMachine {
            task,
            target: *target,
        })
        .collect();
    let request = PlacementRequest {
        job_index: gang.job.index,
        spec: gang.job.spec,
        tasks: &tasks,
        permit: gang.permit,
    };
    let claimed = place_gang(pass, draft, &request);
    if claimed {
        for candidate in chosen {
            free.allocate(candidate.index, gang.job.spec.need);
        }
    }
    claimed
}

fn owned_gangs<'a>(pass: &PassContext<'a>) -> Vec<OwnedGang<'a>> {
    let cluster = pass.cluster;
    let gangs = waiting_gangs(cluster, pass.now).into_iter();
    gangs
        .filter_map(|index| {
            let job = &cluster.jobs[index.at()];
            let permit = pass.planning_permit(job)?;
            let spec = job.spec.as_deref()?;
            let job = JobRef { index, job, spec };
            Some(OwnedGang { job, permit })
        })
        .collect()
}

/// Free capacity on a machine for one task of a gang.
struct Slot<'a> {
    candidate: MachineRef<'a>,
    /// Time that the machine needs to pull the gang's image, ms; 0 if it is cached.
    pull_ms: u64,
}

/// Selects a machine for each waiting task of a gang, all in one zone if the job requires it. Among
/// the zones, the zone in which the gang can start first is chosen. `None` if the gang fits nowhere.
fn select_gang_machines<'a>(
    pass: &PassContext<'a>,
    gang: JobRef,
    free: &FreeCapacity,
    machines: &[MachineRef<'a>],
) -> Option<Vec<MachineRef<'a>>> {
    let mut best: Option<(u64, Vec<Slot>)> = None;
    for slots in slots_by_zone(pass, gang, free, machines).into_values() {
        let Some(slots) = fastest_slots(pass, gang, slots) else {
            continue;
        };
        // A gang can start only when its slowest image pull is finished.
        let start_delay_ms = slots.iter().map(|slot| slot.pull_ms).max().unwrap_or(0);
        if best.as_ref().is_none_or(|(ms, _)| start_delay_ms < *ms) {
            best = Some((start_delay_ms, slots));
        }
    }
    best.map(|(_, slots)| slots.into_iter().map(|slot| slot.candidate).collect())
}

/// All slots for tasks of a gang: grouped by zone if the gang must run in one zone, else all under
/// the same key.
fn slots_by_zone<'a>(
    pass: &PassContext<'a>,
    gang: JobRef,
    free: &FreeCapacity,
    machines: &[MachineRef<'a>],
) -> BTreeMap<ZoneIndex, Vec<Slot<'a>>> {
    let need = gang.spec.need;
    let mut zones: BTreeMap<ZoneIndex, Vec<Slot>> = BTreeMap::new();
    for candidate in machines.iter().copied() {
        let mut free = free.get(candidate.index).unwrap_or_default();
        if !need.fits(free)
            || is_reserved_for_other(pass, gang, candidate)
            || !is_allowed(pass.cluster, gang, candidate)
        {
            continue;
        }
        let zone = match gang.spec.submitted.one_zone {
            true => candidate.machine.zone,
            false => ZoneIndex(0),
        };
        let pull_ms = image_pull_ms(pass.cluster, gang.spec, candidate.machine);
        let slots = zones.entry(zone).or_default();
        while need.fits(free) {
            slots.push(Slot { candidate, pull_ms });
            free = free.minus(need);
            // A task that requests no resources always fits: stop after one slot.
            if need == Resources::default() {
                break;
            }
        }
    }
    zones
}

fn is_reserved_for_other(pass: &PassContext, gang: JobRef, candidate: MachineRef) -> bool {
    let reservation = candidate.machine.decisions.reservation;
    reservation.is_some_and(|reserved| reserved.gang != gang.index && reserved.is_active(pass.now))
}

/// Selects one slot per waiting task of the gang: the shortest image pull first, then spot machines
/// before on-demand machines. `None` if there are too few slots.
fn fastest_slots<'a>(
    pass: &PassContext,
    gang: JobRef,
    mut slots: Vec<Slot<'a>>,
) -> Option<Vec<Slot<'a>>> {
    let spec = gang.spec;
    slots.sort_by_key(|slot| {
        (
            slot.pull_ms,
            !slot.candidate.machine.spot,
            slot.candidate.index,
        )
    });
    if spec.submitted.spread {
        let mut by_zone = TasksByZone::of_placements(pass.cluster, gang.job);
        slots.retain(|slot| {
            by_zone.add(slot.candidate.machine.zone);
            by_zone.count(slot.candidate.machine.zone) <= spec.max_tasks_per_zone()
        });
    }
    let tasks = gang.job.waiting_count() as usize;
    if slots.len() < tasks {
        return None;
    }
    slots.truncate(tasks);
    Some(slots)
}
