//! Gang reservations: decides which machines are kept free for gangs that have waited for a long
//! time.
//!
//! This module only decides; the status broadcast task carries out the reservations. All
//! controllers derive the same order of gangs, and a machine is reserved for the first gang that
//! can use it. So two gangs never deadlock with each holding a part of what both need.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::job_order::waiting_gangs;
use crate::coordination::scheduler::placement_rules::{is_allowed, JobRef, MachineRef};
use crate::coordination::scheduler::starved_gangs::fits_beside_services;
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, JobIndex, MachineIndex, ZoneIndex};
use crate::state::units::{MonotonicMillis, Resources};

/// The machines to reserve for one gang.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct GangReservation {
    /// The gang.
    pub job: JobIndex,
    /// One machine per waiting task of the gang.
    pub machines: Vec<MachineIndex>,
}

/// Decides the reservations for the gangs that have waited for at least
/// `gang_reservation_after_ms` and whose planning shard this controller owns.
pub fn gang_reservations(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    now: MonotonicMillis,
    wall_ms: u64,
) -> Vec<GangReservation> {
    let gangs = gangs_to_reserve_for(cluster, config, now, wall_ms);
    if gangs.is_empty() {
        return Vec::new();
    }
    let mut machines = machines_by_load(cluster, config, now);
    let mut reservations = Vec::new();
    for job_index in gangs {
        let job = &cluster.jobs[job_index.at()];
        let Some(spec) = &job.spec else { continue };
        let gang = JobRef {
            index: job_index,
            job,
            spec,
        };
        let Some(chosen) = least_loaded_machines(cluster, gang, &machines) else {
            continue;
        };
        // The chosen machines are excluded for all later gangs, even if another controller makes
        // this reservation.
        machines.retain(|loaded| !chosen.contains(&loaded.candidate.index));
        if config.owns(cluster, cluster.planning_shard(&job.id)) {
            reservations.push(GangReservation {
                job: job_index,
                machines: chosen,
            });
        }
    }
    reservations
}

/// Gangs that have waited for at least `gang_reservation_after_ms`: by priority, then the oldest
/// first.
///
/// Gangs that can't fit into their team's limit because of the team's running services are left
/// out: machines reserved for them would stay unused.
fn gangs_to_reserve_for(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    now: MonotonicMillis,
    wall_ms: u64,
) -> Vec<JobIndex> {
    let mut gangs = waiting_gangs(cluster, now);
    gangs.retain(|job_index| {
        let job = &cluster.jobs[job_index.at()];
        let spec = job.spec.as_ref();
        job.waited_ms(wall_ms) >= config.gang_reservation_after_ms
            && spec.is_some_and(|spec| fits_beside_services(cluster, spec))
    });
    gangs
}

/// A machine with its load, the sum of the CPU and GPU thousandths in use, and its total capacity.
struct LoadedMachine<'a> {
    candidate: MachineRef<'a>,
    load: i64,
    capacity: Resources,
}

/// All schedulable machines, the least loaded first. The order is the same for all gangs, so the
/// list is sorted once.
fn machines_by_load<'a>(
    cluster: &'a ClusterState,
    config: &SchedulerConfig,
    now: MonotonicMillis,
) -> Vec<LoadedMachine<'a>> {
    let mut machines: Vec<LoadedMachine> = cluster
        .all_machines()
        .map(MachineRef::from)
        .filter(|candidate| {
            candidate
                .machine
                .is_schedulable(now, config.unresponsive_ms)
        })
        .filter_map(|candidate| {
            let machine_type = cluster.machine_types.get(&candidate.machine.machine_type)?;
            let capacity = machine_type.capacity;
            let used = capacity.minus(cluster.free_on(candidate.index).unwrap_or_default());
            let load = used.gpu + used.cpu;
            Some(LoadedMachine {
                candidate,
                load,
                capacity,
            })
        })
        .collect();
    machines.sort_unstable_by_key(|loaded| (loaded.load, loaded.candidate.index));
    machines
}

/// Selects one machine per waiting task of a gang, the least loaded first. If the gang must run in
/// one zone, the zone with the lowest total load of its selection is chosen. `None` if there are
/// too few machines.
fn least_loaded_machines(
    cluster: &ClusterState,
    gang: JobRef,
    machines: &[LoadedMachine],
) -> Option<Vec<MachineIndex>> {
    let zones = cluster.zone_names.len();
    // If the gang may span zones, every zone gives the same selection: one zone is enough.
    let zones = if gang.spec.submitted.one_zone {
        zones
    } else {
        zones.min(1)
    };
    let choices = (0..zones).filter_map(|zone| {
        let zone = ZoneIndex::new(zone);
        least_loaded_in_zone(cluster, gang, machines, zone)
    });
    let best = choices.min_by_key(|(load, _)| *load);
    best.map(|(_, chosen)| chosen)
}

fn least_loaded_in_zone(
    cluster: &ClusterState,
    gang: JobRef,
    machines: &[LoadedMachine],
    zone: ZoneIndex,
) -> Option<(i64, Vec<MachineIndex>)> {
    let tasks = gang.job.waiting_count() as usize;
    let usable = machines.iter().filter(|loaded| {
        (!gang.spec.submitted.one_zone || loaded.candidate.machine.zone == zone)
            && gang.spec.need.fits(loaded.capacity)
            && is_allowed(cluster, gang, loaded.candidate)
    });
    let (loads, chosen): (Vec<i64>, Vec<MachineIndex>) = usable
        .map(|loaded| (loaded.load, loaded.candidate.index))
        .take(tasks)
        .unzip();
    (chosen.len() == tasks).then(|| (loads.iter().sum(), chosen))
}
