//! Assigns demand to supply, and plans new machines for tasks that find no capacity.
//!
//! `provisioning` runs one [`ScaleOutPlanner`] per round. Pure functions of the cluster state,
//! except for the random choice between pools of equal cost.
//!
//! Invariant: a task is assigned only to a machine on which the scheduler would start it, by the
//! same rules for zones, machine types and reservations. A machine that the scheduler would not use
//! is not requested.

use super::demand::{self, Demand};
use super::supply::{Pool, Supply};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::placement_rules::{
    is_allowed, should_wait_for_spot, JobRef, MachineRef, OfferedMachine, TasksByZone, WaitingTask,
};
use crate::protocol::users::Priority;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::machine::MachineType;
use crate::state::names::{Index, JobIndex, MachineIndex, MachineTypeIndex, ZoneIndex};
use crate::state::units::{MonotonicMillis, Resources};
use std::collections::{BTreeMap, HashSet};

/// Maximum number of tasks among which the cost of one machine is divided.
const MAX_TASKS_PER_MACHINE: u32 = 64;

/// Boot time that doubles the cost by which the pools are compared, s.
const BOOT_S_THAT_DOUBLES_COST: f64 = 300.0;

/// Maximum random increase of a cost, as a fraction of the cost. The increase spreads requests over
/// zones whose pools cost the same.
const COST_JITTER: f64 = 0.02;

/// The result of planning: machines to request, and existing machines to keep.
#[derive(Default)]
pub struct ScaleOutPlan {
    /// Number of machines to request from each pool.
    pub machines_to_request: BTreeMap<Pool, u32>,
    /// Existing machines that waiting or expected tasks are assigned to; scale-in must keep them.
    pub needed_machines: HashSet<MachineIndex>,
}

/// Plans which machines to request; holds the input of one plan.
pub struct ScaleOutPlanner<'a> {
    /// The cached cluster state of this controller.
    pub cluster: &'a ClusterState,
    /// Scheduling parameters, the same as the scheduler's.
    pub config: &'a SchedulerConfig,
    /// Pools that recently had fewer machines than requested; no machine is requested from them.
    pub backed_off: &'a HashSet<Pool>,
    /// Current monotonic time, against which job failure backoffs are checked.
    pub now: MonotonicMillis,
    /// Current wall-clock time, ms since the Unix epoch.
    pub wall_ms: u64,
}

impl ScaleOutPlanner<'_> {
    /// Plans machines so that all waiting and expected tasks find capacity, waiting tasks first.
    /// Reduces `supply` by the assigned tasks, and adds the planned machines to it.
    pub fn plan(&self, supply: &mut Vec<Supply>) -> ScaleOutPlan {
        let mut plan = ScaleOutPlan::default();
        let expected = demand::expected(self.cluster, self.config, self.wall_ms);
        let waiting = demand::waiting(self.cluster, self.now, self.wall_ms);
        for demand in waiting.into_iter().chain(expected) {
            let mut placement = DemandPlacement::new(self, &demand);
            placement.choose_zone(supply);
            placement.place(supply, &mut plan);
        }
        plan
    }
}

/// Assigns the tasks of one demand to machines, within the job's placement rules.
struct DemandPlacement<'a> {
    cluster: &'a ClusterState,
    config: &'a SchedulerConfig,
    backed_off: &'a HashSet<Pool>,
    demand: &'a Demand,
    job: Option<(JobIndex, &'a Job)>,
    priority: Priority,
    waited_ms: u64,
    /// The job's tasks in each zone: placed tasks and tasks assigned by this plan.
    tasks_by_zone: TasksByZone,
    /// The zone chosen for a one-zone gang; `None` for all other demand.
    gang_zone: Option<ZoneIndex>,
}

impl<'a> DemandPlacement<'a> {
    fn new(planner: &ScaleOutPlanner<'a>, demand: &'a Demand) -> DemandPlacement<'a> {
        let cluster = planner.cluster;
        let job = demand.job.map(|index| (index, &cluster.jobs[index.at()]));
        let tasks_by_zone = job.map(|(_, job)| TasksByZone::of_placements(cluster, job));
        let dependency_state = job.map(|(_, job)| &job.dependency_state);
        DemandPlacement {
            cluster,
            config: planner.config,
            backed_off: planner.backed_off,
            demand,
            job,
            priority: dependency_state.map_or(demand.spec.priority(), |d| d.priority),
            waited_ms: job.map_or(0, |(_, job)| job.waited_ms(planner.wall_ms)),
            tasks_by_zone: tasks_by_zone.unwrap_or_default(),
            gang_zone: None,
        }
    }

    /// True if all tasks have to be in one zone. Expected tasks belong to many jobs, so the rule
    /// does not apply to them.
    fn one_zone(&self) -> bool {
        self.demand.spec.submitted.one_zone && self.job.is_some()
    }

    /// Chooses the zone of a one-zone gang; does nothing for other jobs.
    ///
    /// Zones in which the whole gang fits, or in which machines for the gang can be requested, are
    /// preferred; among them the zone with the most machines that have free capacity for a task
    /// now.
    fn choose_zone(&mut self, supply: &[Supply]) {
        let spec = &self.demand.spec;
        if !self.one_zone() || !spec.is_wide_gang() {
            return;
        }
        let zones = (0..self.cluster.zone_names.len()).map(ZoneIndex::new);
        self.gang_zone = zones
            .filter(|zone| spec.zone.is_none_or(|only| only == *zone))
            // The tasks of a staged gang that are placed already determine its zone.
            .filter(|zone| self.tasks_by_zone.are_all_in(*zone))
            .max_by_key(|zone| {
                let fitting = machines_that_fit(spec, supply, *zone);
                let complete = fitting >= self.demand.tasks || self.can_request_in(*zone);
                (complete, fitting)
            });
    }

    /// True if machines that the job may use can be requested in this zone.
    fn can_request_in(&self, zone: ZoneIndex) -> bool {
        self.cluster.machine_types.keys().any(|machine_type| {
            [false, true].into_iter().any(|spot| {
                let pool = Pool {
                    machine_type: *machine_type,
                    zone,
                    spot,
                };
                self.allows_kind(&pool) && !self.backed_off.contains(&pool)
            })
        })
    }

    /// Assigns the demand's tasks to supply, or to machines to be requested, until all are assigned
    /// or no pool is left for the next task.
    fn place(&mut self, supply: &mut Vec<Supply>, plan: &mut ScaleOutPlan) {
        let need = self.demand.spec.need;
        let mut supply_index = 0;
        for _ in 0..self.demand.tasks {
            // While the tasks of one demand are assigned, free capacity and allowed zones only
            // shrink: a machine that did not suit one task suits none of the following ones.
            while supply.get(supply_index).is_some_and(|s| !self.suits(s)) {
                supply_index += 1;
            }
            if let Some(machine) = supply.get_mut(supply_index) {
                machine.free = machine.free.minus(need);
                self.tasks_by_zone.add(machine.pool.zone);
                plan.needed_machines.extend(machine.machine);
                continue;
            }
            let Some((pool, capacity)) = self.pool_to_request() else {
                return;
            };
            *plan.machines_to_request.entry(pool).or_default() += 1;
            self.tasks_by_zone.add(pool.zone);
            supply.push(Supply {
                pool,
                free: capacity.minus(need),
                machine: None,
            });
        }
    }

    /// The cheapest pool from which a machine may be requested for the next task, and the capacity
    /// of one of its machines.
    fn pool_to_request(&self) -> Option<(Pool, Resources)> {
        let is_eligible = |pool: &Pool| {
            self.allows(pool)
                && !self.backed_off.contains(pool)
                && !self.should_wait_for_spot(pool, true)
                && !self.too_expensive_for_expected_tasks(pool)
        };
        let need = self.demand.spec.need;
        let pool = cheapest_pool(self.cluster, need, self.demand.tasks, is_eligible)?;
        let machine_type = self.cluster.machine_types.get(&pool.machine_type)?;
        Some((pool, machine_type.capacity))
    }

    /// True if the next task may be assigned to this machine.
    fn suits(&self, supply: &Supply) -> bool {
        let empty = is_empty(self.cluster, supply);
        self.demand.spec.need.fits(supply.free)
            && self.allows(&supply.pool)
            && !(self.too_expensive_for_expected_tasks(&supply.pool) && empty)
            && !self.should_wait_for_spot(&supply.pool, empty)
            && self.scheduler_allows(supply)
    }

    /// True unless the scheduler's placement rules exclude this machine, for example because the
    /// job failed on it.
    fn scheduler_allows(&self, supply: &Supply) -> bool {
        let machine_index = supply.machine;
        let machine = machine_index.and_then(|index| Some((index, self.cluster.machine(index)?)));
        let (Some(machine), Some((index, job))) = (machine, self.job) else {
            return true;
        };
        let spec = &self.demand.spec;
        let job = JobRef { index, job, spec };
        is_allowed(self.cluster, job, MachineRef::from(machine))
    }

    /// True if the job allows machines of this pool, given the zones of its other tasks.
    fn allows(&self, pool: &Pool) -> bool {
        self.allows_kind(pool)
            && self.allows_zone(pool.zone)
            && self.gang_zone.is_none_or(|zone| zone == pool.zone)
    }

    fn allows_kind(&self, pool: &Pool) -> bool {
        let spec = &self.demand.spec;
        let types = spec.machine_types.as_ref();
        types.is_none_or(|types| types.contains(&pool.machine_type))
            && spec.zone.is_none_or(|zone| zone == pool.zone)
            && (spec.submitted.spot || !pool.spot)
    }

    fn allows_zone(&self, zone: ZoneIndex) -> bool {
        let cap = match self.job {
            Some(_) => self.demand.spec.max_tasks_per_zone(),
            None => u32::MAX,
        };
        let tasks_in_zone = self.tasks_by_zone.count(zone);
        tasks_in_zone < cap && (!self.one_zone() || self.tasks_by_zone.are_all_in(zone))
    }

    /// True if the scheduler would not place the tasks on this machine yet, because they may run on
    /// spot machines and an empty on-demand machine is left to other jobs for a while.
    fn should_wait_for_spot(&self, pool: &Pool, empty: bool) -> bool {
        let task = WaitingTask {
            spec: &self.demand.spec,
            priority: self.priority,
            waited_ms: self.waited_ms,
        };
        let offered = OfferedMachine {
            machine_type: pool.machine_type,
            spot: pool.spot,
            is_empty: empty,
        };
        should_wait_for_spot(self.cluster, self.config, task, offered)
    }

    /// True for on-demand pools if the tasks are only expected and may run on spot machines:
    /// capacity for such tasks is held at the spot price only.
    fn too_expensive_for_expected_tasks(&self, pool: &Pool) -> bool {
        self.job.is_none() && self.demand.spec.submitted.spot && !pool.spot
    }
}

/// The number of machines in a zone that have free capacity for one task of the job.
fn machines_that_fit(spec: &Spec, supply: &[Supply], zone: ZoneIndex) -> u32 {
    let fits = |machine: &&Supply| {
        machine.pool.zone == zone
            && (spec.submitted.spot || !machine.pool.spot)
            && spec.need.fits(machine.free)
    };
    supply.iter().filter(fits).count() as u32
}

/// True if the machine's whole capacity is free.
fn is_empty(cluster: &ClusterState, supply: &Supply) -> bool {
    let machine_type = cluster.machine_types.get(&supply.pool.machine_type);
    machine_type.is_some_and(|machine_type| machine_type.capacity == supply.free)
}

/// The eligible pool with the lowest cost per task.
fn cheapest_pool(
    cluster: &ClusterState,
    need: Resources,
    tasks: u32,
    is_eligible: impl Fn(&Pool) -> bool,
) -> Option<Pool> {
    let mut machine_types: Vec<_> = cluster.machine_types.iter().collect();
    machine_types.sort_by_key(|(index, _)| **index);
    let mut cheapest: Option<(f64, Pool)> = None;
    for (index, machine_type) in machine_types {
        if !need.fits(machine_type.capacity) {
            continue;
        }
        let fitting = tasks_that_fit(machine_type.capacity, need, tasks);
        for pool in pools(cluster, *index, machine_type).filter(&is_eligible) {
            let cost = cost_per_task(machine_type, pool.spot, need, fitting)
                * (1.0 + fastrand::f64() * COST_JITTER);
            if cheapest.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                cheapest = Some((cost, pool));
            }
        }
    }
    cheapest.map(|(_, pool)| pool)
}

/// The spot and on-demand pools of a machine type in each zone that offers it.
fn pools<'a>(
    cluster: &'a ClusterState,
    index: MachineTypeIndex,
    machine_type: &'a MachineType,
) -> impl Iterator<Item = Pool> + 'a {
    let zones = machine_type.description.zones.iter();
    zones
        .filter_map(|zone| cluster.zone_names.find(zone))
        .flat_map(move |zone| {
            [false, true].map(|spot| Pool {
                machine_type: index,
                zone,
                spot,
            })
        })
}

/// Hourly cost of one task on a machine that holds `fitting` of them, with a surcharge for the
/// boot time.
fn cost_per_task(machine_type: &MachineType, spot: bool, need: Resources, fitting: u32) -> f64 {
    let description = &machine_type.description;
    // Capacity that these tasks leave free is usually used by other tasks, so only a part of it is
    // charged to them.
    let share = need.share_of(machine_type.capacity) * f64::from(fitting);
    let charged_share = share.clamp(0.5, 1.0) * 0.5 + share.min(1.0) * 0.5;
    let price = if spot {
        description.spot_price
    } else {
        description.price
    };
    price * charged_share / f64::from(fitting.max(1))
        * (1.0 + description.boot_s / BOOT_S_THAT_DOUBLES_COST)
}

/// The number of these tasks that fit on an empty machine, between 0 and
/// [`MAX_TASKS_PER_MACHINE`].
fn tasks_that_fit(capacity: Resources, need: Resources, tasks: u32) -> u32 {
    let max_tasks = tasks.clamp(1, MAX_TASKS_PER_MACHINE);
    let mut free = capacity;
    let mut fitting = 0;
    while fitting < max_tasks && need.fits(free) {
        free = free.minus(need);
        fitting += 1;
    }
    fitting
}
