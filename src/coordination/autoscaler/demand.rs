//! What is to be rented: pure functions of the view.

use super::MAX_CONCURRENT_REQUESTS;
use crate::coordination::scheduler::bin_packing;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::quota;
use crate::protocol::cloud::ListedMachine;
use crate::protocol::users::Priority;
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::names::{Index, JobIndex, MachineIndex, MachineTypeIndex, TeamIndex, ZoneIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis, QuotaUsage, Resources};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

/// Time over which arrivals are counted.
const ARRIVALS_MS: u64 = 150_000;

/// Jobs that came this soon after the first are the backlog of the opening.
const BACKLOG_MS: u64 = 10_000;

/// Boot times after which a machine is no longer counted on.
const OVERDUE: f64 = 1.7;

/// Tasks of a class that are expected at most; a large fleet has room for a quarter of its
/// machines if that is more.
const MOST_EXPECTED: u32 = 256;

/// Most machines in one request, by the cloud's protocol.
const MOST_AT_ONCE: u32 = 50;

/// A kind of machine that can be rented.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct Pool {
    /// Type.
    pub machine_type: MachineTypeIndex,
    /// Zone.
    pub zone: ZoneIndex,
    /// Spot.
    pub spot: bool,
}

/// A machine that is on its way or there, as the renting duty counts it.
#[derive(Clone, Debug)]
pub struct Supply {
    /// What it is.
    pub pool: Pool,
    /// Room that waiting tasks may use.
    pub free: Resources,
    /// Zone limits and the like are those of a machine of this index, if it is up.
    pub machine: Option<MachineIndex>,
}

/// What needs room: tasks of a job that waits, or of one that is expected (no index).
struct Demand {
    ix: Option<JobIndex>,
    spec: Rc<Spec>,
    tasks: u32,
}

/// How many of each job's waiting tasks its team's limit lets run now.
fn demands(cluster: &ClusterState, now: MonotonicMillis, wall_ms: u64) -> Vec<Demand> {
    let mut remaining: Vec<QuotaUsage> = Vec::new();
    for (t, l) in cluster.team_limits.iter().enumerate() {
        let used = quota::used_by_team(cluster, &DraftTransaction::default(), TeamIndex::new(t));
        let left = |most: i64, used: i64| if most == 0 { i64::MAX } else { most - used };
        remaining.push(QuotaUsage {
            cpu_milli: left(l.limit.cpu_milli, used.cpu_milli),
            gpu_milli: left(l.limit.gpu_milli, used.gpu_milli),
        });
    }
    let mut jobs: Vec<(JobIndex, &Job)> = cluster
        .active_jobs()
        .filter(|(_, j)| j.waiting_count() > 0)
        .filter(|(ix, _)| {
            cluster
                .failures
                .get(ix)
                .is_none_or(|failures| !failures.is_backed_off(now))
        })
        .collect();
    jobs.sort_by_key(|(ix, j)| {
        (
            j.dependency_state.priority,
            j.dependency_state.eligible_since,
            *ix,
        )
    });
    let mut out = Vec::new();
    // Teams one of whose gangs waits for the rest of the limit.
    let mut claimed: HashSet<TeamIndex> = HashSet::new();
    for (ix, j) in jobs {
        let Some(s) = &j.spec else { continue };
        if claimed.contains(&s.team) && !quota::reservation_expired(j, wall_ms) {
            continue;
        }
        let left = &mut remaining[s.team.at()];
        let before = *left;
        let mut tasks = 0;
        while tasks < j.waiting_count() && tasks < 200 && s.need.quota().within(*left) {
            *left = left.minus(s.need.quota());
            tasks += 1;
        }
        if s.is_wide_gang() && tasks < s.tasks() {
            // It waits for its team's limit; younger work of the team does not overtake it.
            *left = before;
            if quota::fits_beside_services(cluster, s) {
                claimed.insert(s.team);
            }
            continue;
        }
        if tasks > 0 {
            out.push(Demand {
                ix: Some(ix),
                spec: s.clone(),
                tasks,
            });
        }
    }
    out
}

/// Room for jobs that are likely to come while a machine boots, by what came lately.
fn expected(cluster: &ClusterState, config: &SchedulerConfig, wall_ms: u64) -> Vec<Demand> {
    let mut classes: BTreeMap<&str, (u32, Rc<Spec>)> = BTreeMap::new();
    let Some(first) = cluster.first_submission else {
        return Vec::new();
    };
    // What is there when the service opens is a backlog, not a rate.
    let from = wall_ms.saturating_sub(ARRIVALS_MS).max(first + BACKLOG_MS);
    let span = wall_ms.saturating_sub(from).max(60_000);
    let recent = cluster.recent_submissions.iter();
    for submission in recent.filter(|s| s.submitted_at >= from) {
        let spec = &submission.spec;
        let class = classes
            .entry(spec.wire.class.as_str())
            .or_insert((0, spec.clone()));
        *class = (class.0 + spec.tasks(), spec.clone());
    }
    let boot_ms = cluster
        .machine_types
        .values()
        .map(|r| millis_from_seconds(r.description.boot_s))
        .max()
        .unwrap_or(0);
    let machines = cluster.all_machines().count();
    let most = u32::try_from(machines / 4).map_or(u32::MAX, |quarter| quarter.max(MOST_EXPECTED));
    let mut out = Vec::new();
    for (tasks, spec) in classes.into_values() {
        let part = if spec.wire.spot {
            config.capacity_buffer_spot
        } else {
            config.capacity_buffer_on_demand
        };
        let per_boot = f64::from(tasks) * boot_ms as f64 / span as f64;
        let tasks = (per_boot * part).round() as u32;
        if tasks > 0 {
            out.push(Demand {
                ix: None,
                spec,
                tasks: tasks.min(most),
            });
        }
    }
    out
}

/// What to rent, and which machines are needed.
#[derive(Default)]
pub struct ScaleOutPlan {
    /// Machines to rent, per pool.
    pub machines_to_rent: BTreeMap<Pool, u32>,
    /// Machines that waiting or expected tasks need.
    pub needed_machines: HashSet<MachineIndex>,
}

/// What to rent so that waiting and expected tasks find room.
pub fn plan_scale_out(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    supply: &mut Vec<Supply>,
    blocked: &HashSet<Pool>,
    now: MonotonicMillis,
    wall_ms: u64,
) -> ScaleOutPlan {
    let mut out = ScaleOutPlan::default();
    let spares = expected(cluster, config, wall_ms);
    for demand in demands(cluster, now, wall_ms).into_iter().chain(spares) {
        let mut fit = DemandPlacement::new(cluster, config, &demand, wall_ms);
        fit.choose_zone(supply, blocked);
        fit.place(supply, blocked, &mut out);
    }
    out
}

/// Where the tasks of one demand may go, given those that are placed already.
struct DemandPlacement<'a> {
    cluster: &'a ClusterState,
    config: &'a SchedulerConfig,
    demand: &'a Demand,
    job: Option<(JobIndex, &'a Job)>,
    rank: Priority,
    waited_ms: u64,
    /// Tasks by zone, those that run included.
    per_zone: HashMap<ZoneIndex, u32>,
    /// The only zone in which a gang of one zone can be complete.
    only: Option<ZoneIndex>,
}

impl<'a> DemandPlacement<'a> {
    fn new(
        cluster: &'a ClusterState,
        config: &'a SchedulerConfig,
        demand: &'a Demand,
        wall_ms: u64,
    ) -> DemandPlacement<'a> {
        let job = demand.ix.map(|ix| (ix, &cluster.jobs[ix.at()]));
        let mut per_zone: HashMap<ZoneIndex, u32> = HashMap::new();
        for p in job.iter().flat_map(|(_, j)| &j.placements) {
            if let Some(zone) = cluster.shard_zone(p.shard) {
                *per_zone.entry(zone).or_default() += 1;
            }
        }
        let since = job.map(|(_, j)| j.dependency_state.eligible_since);
        DemandPlacement {
            cluster,
            config,
            demand,
            job,
            rank: job.map_or(demand.spec.priority(), |(_, j)| j.dependency_state.priority),
            waited_ms: since.map_or(0, |since| wall_ms.saturating_sub(since)),
            per_zone,
            only: None,
        }
    }

    /// True if all tasks have to be in one zone. Expected jobs are many: what binds the tasks of
    /// one to a zone does not bind theirs.
    fn one_zone(&self) -> bool {
        self.demand.spec.wire.one_zone && self.job.is_some()
    }

    /// For a gang that must be in one zone: where it can be complete, with the most room now.
    fn choose_zone(&mut self, supply: &[Supply], blocked: &HashSet<Pool>) {
        let spec = &self.demand.spec;
        if self.one_zone() && spec.is_wide_gang() {
            let open = |p: &Pool| self.allows_kind(p) && !blocked.contains(p);
            self.only = gang_zone(self.cluster, supply, spec, open);
        }
    }

    /// Places all tasks, on what is there or on what is to be rented.
    fn place(&mut self, supply: &mut Vec<Supply>, blocked: &HashSet<Pool>, out: &mut ScaleOutPlan) {
        let need = self.demand.spec.need;
        let mut next = 0;
        for _ in 0..self.demand.tasks {
            // Room, zones and kinds only get fewer while one job's tasks are placed: what did not
            // suit one task suits none of the next.
            while supply.get(next).is_some_and(|s| !self.suits(s)) {
                next += 1;
            }
            if let Some(s) = supply.get_mut(next) {
                s.free = s.free.minus(need);
                *self.per_zone.entry(s.pool.zone).or_default() += 1;
                out.needed_machines.extend(s.machine);
                continue;
            }
            let Some((pool, room)) = self.pool_to_rent(blocked) else {
                return;
            };
            *out.machines_to_rent.entry(pool).or_default() += 1;
            *self.per_zone.entry(pool.zone).or_default() += 1;
            supply.push(Supply {
                pool,
                free: room.minus(need),
                machine: None,
            });
        }
    }

    /// The cheapest pool for the next task, and the room of a machine of it.
    fn pool_to_rent(&self, blocked: &HashSet<Pool>) -> Option<(Pool, Resources)> {
        let open = |p: &Pool| {
            self.allows(p)
                && !blocked.contains(p)
                && !self.reserved_for_on_demand(p, true)
                && !self.is_dear(p)
        };
        let need = &self.demand.spec.need;
        let pool = cheapest(self.cluster, need, self.demand.tasks, open)?;
        let machine_type = self.cluster.machine_types.get(&pool.machine_type)?;
        Some((pool, machine_type.capacity))
    }

    /// True if the next task may go to this machine.
    fn suits(&self, s: &Supply) -> bool {
        let spec = &self.demand.spec;
        let is_whole = whole(self.cluster, s);
        let machine = s.machine.and_then(|m| Some((m, self.cluster.machine(m)?)));
        spec.need.fits(s.free)
            && self.allows(&s.pool)
            && !(self.is_dear(&s.pool) && is_whole)
            && !self.reserved_for_on_demand(&s.pool, is_whole)
            && machine
                .zip(self.job)
                .is_none_or(|((machine_index, m), (ix, job))| {
                    bin_packing::allowed(self.cluster, job, ix, spec, machine_index, m)
                })
    }

    /// True if the job allows machines of this pool beside its other tasks.
    fn allows(&self, p: &Pool) -> bool {
        self.allows_kind(p)
            && self.allows_zone(p.zone)
            && self.only.is_none_or(|zone| zone == p.zone)
    }

    fn allows_kind(&self, p: &Pool) -> bool {
        let spec = &self.demand.spec;
        let types = spec.machine_types.as_ref();
        types.is_none_or(|types| types.contains(&p.machine_type))
            && spec.zone.is_none_or(|zone| zone == p.zone)
            && (spec.wire.spot || !p.spot)
    }

    fn allows_zone(&self, zone: ZoneIndex) -> bool {
        let cap = match self.job {
            Some(_) => self.demand.spec.zone_cap(),
            None => u32::MAX,
        };
        let here = self.per_zone.get(&zone).copied().unwrap_or(0);
        here < cap && (!self.one_zone() || self.per_zone.keys().all(|z| *z == zone))
    }

    /// True for ordinary machines that the job leaves to others for now.
    fn reserved_for_on_demand(&self, p: &Pool, empty: bool) -> bool {
        bin_packing::reserved_for_on_demand(
            self.cluster,
            self.config,
            &self.demand.spec,
            self.rank,
            self.waited_ms,
            (p.machine_type, p.spot),
            empty,
        )
    }

    /// True for the high price: room for what may come is kept at the low one only, if it may be
    /// had there.
    fn is_dear(&self, p: &Pool) -> bool {
        self.job.is_none() && self.demand.spec.wire.spot && !p.spot
    }
}

/// The zone for a gang that must be in one.
fn gang_zone(
    cluster: &ClusterState,
    supply: &[Supply],
    spec: &Spec,
    open: impl Fn(&Pool) -> bool,
) -> Option<ZoneIndex> {
    let zones = (0..cluster.zone_names.len()).map(ZoneIndex::new);
    zones
        .filter(|z| spec.zone.is_none_or(|only| only == *z))
        .max_by_key(|z| {
            let fit: u32 = supply
                .iter()
                .filter(|s| {
                    s.pool.zone == *z && (spec.wire.spot || !s.pool.spot) && spec.need.fits(s.free)
                })
                .count() as u32;
            let more = cluster.machine_types.keys().any(|machine_type| {
                [false, true].into_iter().any(|spot| {
                    open(&Pool {
                        machine_type: *machine_type,
                        zone: *z,
                        spot,
                    })
                })
            });
            (fit >= spec.tasks() || more, fit)
        })
}

fn whole(cluster: &ClusterState, s: &Supply) -> bool {
    cluster
        .machine_types
        .get(&s.pool.machine_type)
        .is_some_and(|r| r.capacity == s.free)
}

/// The pool with the least cost for a task; boot time counts a little.
fn cheapest(
    cluster: &ClusterState,
    need: &Resources,
    tasks: u32,
    ok: impl Fn(&Pool) -> bool,
) -> Option<Pool> {
    let mut best: Option<(f64, Pool)> = None;
    let mut machine_types: Vec<_> = cluster.machine_types.iter().collect();
    machine_types.sort_by_key(|(ix, _)| **ix);
    for (ix, machine_type) in machine_types {
        if !need.fits(machine_type.capacity) {
            continue;
        }
        let mut fit = 0u32;
        let mut left = machine_type.capacity;
        while fit < tasks.max(1) && need.fits(left) && fit < 64 {
            left = left.minus(*need);
            fit += 1;
        }
        // What a task leaves free is used by others more often than not.
        let share = need.share_of(machine_type.capacity) * f64::from(fit);
        let used = share.clamp(0.5, 1.0) * 0.5 + share.min(1.0) * 0.5;
        for zone in &machine_type.description.zones {
            let Some(zone) = cluster.zone_names.find(zone) else {
                continue;
            };
            for spot in [false, true] {
                let pool = Pool {
                    machine_type: *ix,
                    zone,
                    spot,
                };
                if !ok(&pool) {
                    continue;
                }
                let price = if spot {
                    machine_type.description.spot_price
                } else {
                    machine_type.description.price
                };
                let cost = price * used / f64::from(fit.max(1))
                    * (1.0 + machine_type.description.boot_s / 300.0);
                // Equal pools share the load between zones.
                let cost = cost * (1.0 + fastrand::f64() * 0.02);
                if best.as_ref().is_none_or(|(c, _)| cost < *c) {
                    best = Some((cost, pool));
                }
            }
        }
    }
    best.map(|(_, p)| p)
}

/// Everything rented, as supply for what waits.
pub fn supply(
    cluster: &ClusterState,
    list: &HashMap<String, ListedMachine>,
    silent_ms: u64,
    now: MonotonicMillis,
) -> Vec<Supply> {
    let free = bin_packing::free_capacity(cluster, &DraftTransaction::default());
    let booked: HashSet<&str> = cluster
        .provisioning_requests
        .values()
        .flat_map(|b| b.record.machines.iter().map(String::as_str))
        .collect();
    let mut out = Vec::new();
    for (machine_index, m) in cluster.all_machines() {
        let name = &*m.name;
        let listed = list.get(name);
        let up = m.is_schedulable(now, silent_ms);
        // One that is long overdue may never come up: what waits is not to wait for it.
        let boot_ms = cluster
            .machine_types
            .get(&m.machine_type)
            .map_or(0, |r| millis_from_seconds(r.description.boot_s * OVERDUE));
        let coming = m.last_heartbeat.is_none()
            && now.since(m.discovered_at) < boot_ms
            && !m.is_cordoned()
            && (booked.contains(name) || listed.is_some_and(|h| h.status != "failed"));
        if !up && !coming {
            continue;
        }
        if let Some(free) = free.get(machine_index) {
            out.push(Supply {
                pool: Pool {
                    machine_type: m.machine_type,
                    zone: m.zone,
                    spot: m.spot,
                },
                free,
                machine: Some(machine_index),
            });
        }
    }
    // Bookings without an answer may have rented what they ask for.
    for b in cluster
        .provisioning_requests
        .values()
        .filter(|b| b.record.machines.is_empty())
    {
        let (Some(machine_type), Some(zone)) = (
            cluster.machine_type_names.find(&b.record.machine_type),
            cluster.zone_names.find(&b.record.zone),
        ) else {
            continue;
        };
        let Some(r) = cluster.machine_types.get(&machine_type) else {
            continue;
        };
        for _ in 0..b.record.count {
            out.push(Supply {
                pool: Pool {
                    machine_type,
                    zone,
                    spot: b.record.spot,
                },
                free: r.capacity,
                machine: None,
            });
        }
    }
    // Spot first, as the planner does; the fullest first, so that others empty out.
    out.sort_by_key(|s| (!s.pool.spot, s.free.gpu, s.free.cpu));
    out
}

/// Requests for what is to be rented, of the size the cloud takes, the pools in turn.
pub fn requests(rent: BTreeMap<Pool, u32>) -> Vec<(Pool, u32)> {
    let mut left = rent;
    let mut out = Vec::new();
    while !left.is_empty() && out.len() < MAX_CONCURRENT_REQUESTS {
        for (pool, n) in &mut left {
            let part = (*n).min(MOST_AT_ONCE);
            out.push((*pool, part));
            *n -= part;
        }
        left.retain(|_, n| *n > 0);
    }
    out.truncate(MAX_CONCURRENT_REQUESTS);
    out
}
