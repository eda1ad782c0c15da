//! Places demand on supply, and plans machines for what finds no capacity.
//!
//! `provisioning` runs one [`ScaleOutPlanner`] a round. Pure functions of the cluster state, but
//! for the random choice between pools of equal cost.
//!
//! Invariant: a task is placed only where the scheduler would start it, by the same rules of
//! zones, machine types and reservations; a machine that it would not use is not requested.

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

/// Tasks on one machine that its cost is shared by at most.
const MAX_TASKS_PER_MACHINE: u32 = 64;

/// Boot time, in seconds, that makes a machine twice as dear.
const BOOT_S_THAT_DOUBLES_COST: f64 = 300.0;

/// Random part of a cost, by which equal pools share the load between zones.
const COST_JITTER: f64 = 0.02;

/// Machines to request, and machines to keep.
#[derive(Default)]
pub struct ScaleOutPlan {
    /// Machines to request, by pool.
    pub machines_to_request: BTreeMap<Pool, u32>,
    /// Machines that waiting or expected tasks need.
    pub needed_machines: HashSet<MachineIndex>,
}

/// What a plan goes by.
pub struct ScaleOutPlanner<'a> {
    /// The cluster.
    pub cluster: &'a ClusterState,
    /// The scheduler's settings.
    pub config: &'a SchedulerConfig,
    /// Pools that lately had fewer machines than were asked for.
    pub backed_off: &'a HashSet<Pool>,
    /// Now.
    pub now: MonotonicMillis,
    /// Time of day, ms.
    pub wall_ms: u64,
}

impl ScaleOutPlanner<'_> {
    /// Plans machines so that waiting and expected tasks find capacity, waiting ones first. The
    /// supply is used up as tasks are placed.
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

/// Where the tasks of one demand may go, given those that are placed already.
struct DemandPlacement<'a> {
    cluster: &'a ClusterState,
    config: &'a SchedulerConfig,
    backed_off: &'a HashSet<Pool>,
    demand: &'a Demand,
    job: Option<(JobIndex, &'a Job)>,
    priority: Priority,
    waited_ms: u64,
    /// Tasks by zone, those that run included.
    tasks_by_zone: TasksByZone,
    /// The only zone in which a gang of one zone can be complete.
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

    /// True if all tasks have to be in one zone. Expected jobs are many: what binds the tasks of
    /// one to a zone does not bind theirs.
    fn one_zone(&self) -> bool {
        self.demand.spec.wire.one_zone && self.job.is_some()
    }

    /// For a gang that must be in one zone: where it can be complete, with the most free capacity
    /// now.
    fn choose_zone(&mut self, supply: &[Supply]) {
        let spec = &self.demand.spec;
        if !self.one_zone() || !spec.is_wide_gang() {
            return;
        }
        let zones = (0..self.cluster.zone_names.len()).map(ZoneIndex::new);
        self.gang_zone = zones
            .filter(|zone| spec.zone.is_none_or(|only| only == *zone))
            .max_by_key(|zone| {
                let fitting = machines_that_fit(spec, supply, *zone);
                let complete = fitting >= spec.tasks() || self.can_request_in(*zone);
                (complete, fitting)
            });
    }

    /// True if machines for the job can be requested in this zone.
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

    /// Places all tasks, on what is there or on what is to be requested.
    fn place(&mut self, supply: &mut Vec<Supply>, plan: &mut ScaleOutPlan) {
        let need = self.demand.spec.need;
        let mut next = 0;
        for _ in 0..self.demand.tasks {
            // Capacity, zones and kinds only get fewer while one job's tasks are placed: what did
            // not suit one task suits none of the next.
            while supply.get(next).is_some_and(|s| !self.suits(s)) {
                next += 1;
            }
            if let Some(machine) = supply.get_mut(next) {
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

    /// The cheapest pool for the next task, and the capacity of a machine of it.
    fn pool_to_request(&self) -> Option<(Pool, Resources)> {
        let is_eligible = |pool: &Pool| {
            self.allows(pool)
                && !self.backed_off.contains(pool)
                && !self.reserved_for_on_demand(pool, true)
                && !self.too_dear_for_expected_tasks(pool)
        };
        let need = self.demand.spec.need;
        let pool = cheapest_pool(self.cluster, need, self.demand.tasks, is_eligible)?;
        let machine_type = self.cluster.machine_types.get(&pool.machine_type)?;
        Some((pool, machine_type.capacity))
    }

    /// True if the next task may go to this machine.
    fn suits(&self, supply: &Supply) -> bool {
        let empty = is_empty(self.cluster, supply);
        self.demand.spec.need.fits(supply.free)
            && self.allows(&supply.pool)
            && !(self.too_dear_for_expected_tasks(&supply.pool) && empty)
            && !self.reserved_for_on_demand(&supply.pool, empty)
            && self.scheduler_allows(supply)
    }

    /// True unless the scheduler would keep the job off this machine, for example because it
    /// failed there.
    fn scheduler_allows(&self, supply: &Supply) -> bool {
        let machine_index = supply.machine;
        let machine = machine_index.and_then(|index| Some((index, self.cluster.machine(index)?)));
        let (Some(on), Some((index, job))) = (machine, self.job) else {
            return true;
        };
        let spec = &self.demand.spec;
        let job = JobRef { index, job, spec };
        is_allowed(self.cluster, job, MachineRef::from(on))
    }

    /// True if the job allows machines of this pool beside its other tasks.
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
            && (spec.wire.spot || !pool.spot)
    }

    fn allows_zone(&self, zone: ZoneIndex) -> bool {
        let cap = match self.job {
            Some(_) => self.demand.spec.zone_cap(),
            None => u32::MAX,
        };
        let here = self.tasks_by_zone.count(zone);
        here < cap && (!self.one_zone() || self.tasks_by_zone.are_all_in(zone))
    }

    /// True for on-demand machines that the job leaves to others for now.
    fn reserved_for_on_demand(&self, pool: &Pool, empty: bool) -> bool {
        let work = WaitingTask {
            spec: &self.demand.spec,
            priority: self.priority,
            waited_ms: self.waited_ms,
        };
        let offered = OfferedMachine {
            machine_type: pool.machine_type,
            spot: pool.spot,
            is_empty: empty,
        };
        should_wait_for_spot(self.cluster, self.config, work, offered)
    }

    /// True for on-demand machines if the tasks are only expected and may use spot machines:
    /// capacity for what may come is kept at the low price only.
    fn too_dear_for_expected_tasks(&self, pool: &Pool) -> bool {
        self.job.is_none() && self.demand.spec.wire.spot && !pool.spot
    }
}

/// Machines of a zone with free capacity for a task.
fn machines_that_fit(spec: &Spec, supply: &[Supply], zone: ZoneIndex) -> u32 {
    let fits = |s: &&Supply| {
        s.pool.zone == zone && (spec.wire.spot || !s.pool.spot) && spec.need.fits(s.free)
    };
    supply.iter().filter(fits).count() as u32
}

/// True if nothing runs on a machine.
fn is_empty(cluster: &ClusterState, supply: &Supply) -> bool {
    let machine_type = cluster.machine_types.get(&supply.pool.machine_type);
    machine_type.is_some_and(|machine_type| machine_type.capacity == supply.free)
}

/// The pool with the least cost for a task.
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
            if cheapest.as_ref().is_none_or(|(least, _)| cost < *least) {
                cheapest = Some((cost, pool));
            }
        }
    }
    cheapest.map(|(_, pool)| pool)
}

/// The pools of a machine type, in all zones that have it.
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

/// What a task costs an hour on a machine that takes so many of them; boot time counts a little.
fn cost_per_task(machine_type: &MachineType, spot: bool, need: Resources, fitting: u32) -> f64 {
    let description = &machine_type.description;
    // What a task leaves free is used by others more often than not.
    let share = need.share_of(machine_type.capacity) * f64::from(fitting);
    let used = share.clamp(0.5, 1.0) * 0.5 + share.min(1.0) * 0.5;
    let price = if spot {
        description.spot_price
    } else {
        description.price
    };
    price * used / f64::from(fitting.max(1)) * (1.0 + description.boot_s / BOOT_S_THAT_DOUBLES_COST)
}

/// How many of these tasks an empty machine takes.
fn tasks_that_fit(capacity: Resources, need: Resources, tasks: u32) -> u32 {
    let most = tasks.clamp(1, MAX_TASKS_PER_MACHINE);
    let mut free = capacity;
    let mut fitting = 0;
    while fitting < most && need.fits(free) {
        free = free.minus(need);
        fitting += 1;
    }
    fitting
}
