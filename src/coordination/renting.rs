//! Renting and returning machines: one duty with one fenced owner.

use super::node::{wall_ms, Node, Outside};
use super::pace::Pace;
use super::plan::{self, Draft, Rules};
use super::siblings;
use super::store::{set, Outcome};
use crate::bookkeeping::fleet::Machine;
use crate::bookkeeping::job::{Job, Spec};
use crate::bookkeeping::names::{Index, JobIx, MachineIx, RigIx, TeamIx, ZoneIx};
use crate::bookkeeping::units::{ms_of, Ms, Res};
use crate::bookkeeping::view::{BookingRecord, View, ROOT};
use crate::protocol::cloud::{Booking, Flavors, HostList, Hosts, Listed};
use crate::protocol::peers::{Ask, Reply};
use crate::protocol::state::{Condition, Transaction, Write};
use http_types::Method;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

const TICK_MS: u64 = 250;
const CALL_MS: u64 = 3000;
/// Most machines in one request, by the cloud's protocol.
const MOST_AT_ONCE: u32 = 50;
/// Part of the cloud's limit that reading the machine list may take.
const LIST_PART: f64 = 0.4;
/// Age at which a list that is read page by page is begun anew.
const STALE_MS: u64 = 15_000;
/// Time over which arrivals are counted.
const ARRIVALS_MS: u64 = 150_000;
/// Jobs that came this soon after the first are the backlog of the opening.
const BACKLOG_MS: u64 = 10_000;
/// Boot times after which a machine is no longer counted on.
const OVERDUE: f64 = 1.7;
/// Boot times after which a machine that boots is returned.
const STUCK: f64 = 2.5;
/// Most requests side by side.
const AT_ONCE: usize = 4;
/// Most machines in one return, by the cloud's protocol.
const RETURNS: usize = 100;

/// A kind of machine that can be rented.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct Pool {
    /// Type.
    pub rig: RigIx,
    /// Zone.
    pub zone: ZoneIx,
    /// Spot.
    pub spot: bool,
}

/// A machine that is on its way or there, as the renting duty counts it.
#[derive(Clone, Debug)]
pub struct Supply {
    /// What it is.
    pub pool: Pool,
    /// Room that waiting tasks may use.
    pub free: Res,
    /// Zone limits and the like are those of a machine of this index, if it is up.
    pub machine: Option<MachineIx>,
}

/// What needs room: tasks of a job that waits, or of one that is expected (no index).
struct Demand {
    ix: Option<JobIx>,
    spec: Rc<Spec>,
    tasks: u32,
}

/// How many of each job's waiting tasks its team's limit lets run now.
fn demands(view: &View, now: Ms) -> Vec<Demand> {
    let mut room: Vec<(i64, i64)> = Vec::new();
    for (t, l) in view.team_limits.iter().enumerate() {
        let used = plan::used_by_team(view, &Draft::default(), TeamIx::new(t));
        let left = |most: i64, used: i64| if most == 0 { i64::MAX } else { most - used };
        room.push((left(l.most.0, used.0), left(l.most.1, used.1)));
    }
    let mut jobs: Vec<(JobIx, &Job)> = view
        .active_jobs()
        .filter(|(_, j)| j.waiting_count() > 0)
        .filter(|(ix, _)| view.failures.get(ix).is_none_or(|(_, until)| now >= *until))
        .collect();
    jobs.sort_by_key(|(ix, j)| (j.spec.as_ref().map(|s| s.rank()), j.submitted, *ix));
    let mut out = Vec::new();
    for (ix, j) in jobs {
        let Some(s) = &j.spec else { continue };
        let r = &mut room[s.team.at()];
        let mut tasks = 0;
        while tasks < j.waiting_count() && tasks < 200 && s.need.cpu <= r.0 && s.need.gpu <= r.1 {
            *r = (
                r.0.saturating_sub(s.need.cpu),
                r.1.saturating_sub(s.need.gpu),
            );
            tasks += 1;
        }
        if s.is_wide_gang() && tasks < s.tasks() {
            // It waits for its team's limit; younger work of the team does not overtake it.
            *r = (0, 0);
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
fn expected(view: &View, rules: &Rules, wall_ms: u64) -> Vec<Demand> {
    let mut classes: BTreeMap<&str, (u32, Rc<Spec>)> = BTreeMap::new();
    let Some(first) = view.opened else {
        return Vec::new();
    };
    // What is there when the service opens is a backlog, not a rate.
    let from = wall_ms.saturating_sub(ARRIVALS_MS).max(first + BACKLOG_MS);
    let span = wall_ms.saturating_sub(from).max(60_000);
    for (_, spec) in view.arrivals.iter().filter(|(at, _)| *at >= from) {
        let class = classes
            .entry(spec.wire.class.as_str())
            .or_insert((0, spec.clone()));
        *class = (class.0 + spec.tasks(), spec.clone());
    }
    let boot_ms = view
        .rigs
        .values()
        .map(|r| ms_of(r.flavor.boot_s))
        .max()
        .unwrap_or(0);
    let mut out = Vec::new();
    for (tasks, spec) in classes.into_values() {
        let part = if spec.wire.spot {
            rules.headroom
        } else {
            rules.headroom_ordinary
        };
        let per_boot = f64::from(tasks) * boot_ms as f64 / span as f64;
        let tasks = (per_boot * part).round() as u32;
        if tasks > 0 {
            out.push(Demand {
                ix: None,
                spec,
                tasks: tasks.min(256),
            });
        }
    }
    out
}

/// What to rent, and which machines are needed.
#[derive(Default)]
pub struct Wanted {
    /// Machines to rent, per pool.
    pub rent: BTreeMap<Pool, u32>,
    /// Machines that waiting or expected tasks need.
    pub needed: HashSet<MachineIx>,
}

/// What to rent so that waiting and expected tasks find room.
pub fn wanted(
    view: &View,
    rules: &Rules,
    supply: &mut Vec<Supply>,
    blocked: &HashSet<Pool>,
    now: Ms,
    wall_ms: u64,
) -> Wanted {
    let mut out = Wanted::default();
    let spares = expected(view, rules, wall_ms);
    for d in demands(view, now).into_iter().chain(spares) {
        let spec = &d.spec;
        let job = d.ix.map(|ix| (ix, &view.jobs[ix.at()]));
        let mut per_zone: HashMap<ZoneIx, u32> = HashMap::new();
        for p in job.iter().flat_map(|(_, j)| &j.placements) {
            if let Some(z) = view.shard_zone(p.shard) {
                *per_zone.entry(z).or_default() += 1;
            }
        }
        // Expected jobs are many: what binds the tasks of one to a zone does not bind theirs.
        let one_zone = spec.wire.one_zone && job.is_some();
        let cap = if job.is_some() {
            spec.zone_cap()
        } else {
            u32::MAX
        };
        let kind_ok = |p: &Pool| {
            spec.rigs.as_ref().is_none_or(|r| r.contains(&p.rig))
                && spec.zone.is_none_or(|z| z == p.zone)
                && (spec.wire.spot || !p.spot)
        };
        let waited = job.map_or(0, |(_, j)| wall_ms.saturating_sub(j.submitted));
        let alone = |p: &Pool, empty: bool| {
            plan::leaves_alone(view, rules, spec, waited, (p.rig, p.spot), empty)
        };
        // Room for what may come is kept at the low price only, if it may be had there.
        let dear = |p: &Pool| job.is_none() && spec.wire.spot && !p.spot;
        let zone_ok = |per: &HashMap<ZoneIx, u32>, z: ZoneIx| {
            per.get(&z).copied().unwrap_or(0) < cap && (!one_zone || per.keys().all(|k| *k == z))
        };
        // A gang that must be in one zone: where it can be complete, with the most room now.
        let only = (one_zone && spec.is_wide_gang())
            .then(|| gang_zone(view, supply, spec, |p| kind_ok(p) && !blocked.contains(p)))
            .flatten();
        let mut next = 0;
        for _ in 0..d.tasks {
            let ok = |p: &Pool, per: &HashMap<ZoneIx, u32>| {
                kind_ok(p) && zone_ok(per, p.zone) && only.is_none_or(|z| z == p.zone)
            };
            // Room, zones and kinds only get fewer while one job's tasks are placed: what
            // did not suit one task suits none of the next.
            let found = loop {
                let Some(s) = supply.get(next) else {
                    break None;
                };
                let here = s.machine.and_then(|m| Some((m, view.machine(m)?)));
                let good = spec.need.fits(s.free)
                    && ok(&s.pool, &per_zone)
                    && !(dear(&s.pool) && whole(view, s))
                    && !alone(&s.pool, whole(view, s))
                    && here
                        .zip(job)
                        .is_none_or(|((mix, m), (ix, j))| plan::allowed(view, j, ix, spec, mix, m));
                if good {
                    break supply.get_mut(next);
                }
                next += 1;
            };
            if let Some(s) = found {
                s.free = s.free.minus(spec.need);
                *per_zone.entry(s.pool.zone).or_default() += 1;
                out.needed.extend(s.machine);
                continue;
            }
            let Some(pool) = cheapest(view, &spec.need, d.tasks, |p| {
                ok(p, &per_zone) && !blocked.contains(p) && !alone(p, true) && !dear(p)
            }) else {
                break;
            };
            let Some(rig) = view.rigs.get(&pool.rig) else {
                break;
            };
            *out.rent.entry(pool).or_default() += 1;
            *per_zone.entry(pool.zone).or_default() += 1;
            supply.push(Supply {
                pool,
                free: rig.room.minus(spec.need),
                machine: None,
            });
        }
    }
    out
}

/// The zone for a gang that must be in one.
fn gang_zone(
    view: &View,
    supply: &[Supply],
    spec: &Spec,
    open: impl Fn(&Pool) -> bool,
) -> Option<ZoneIx> {
    let zones = (0..view.zone_names.len()).map(ZoneIx::new);
    zones
        .filter(|z| spec.zone.is_none_or(|only| only == *z))
        .max_by_key(|z| {
            let fit: u32 = supply
                .iter()
                .filter(|s| {
                    s.pool.zone == *z && (spec.wire.spot || !s.pool.spot) && spec.need.fits(s.free)
                })
                .count() as u32;
            let more = view.rigs.keys().any(|rig| {
                [false, true].into_iter().any(|spot| {
                    open(&Pool {
                        rig: *rig,
                        zone: *z,
                        spot,
                    })
                })
            });
            (fit >= spec.tasks() || more, fit)
        })
}

fn whole(view: &View, s: &Supply) -> bool {
    view.rigs.get(&s.pool.rig).is_some_and(|r| r.room == s.free)
}

/// The pool with the least cost for a task; boot time counts a little.
fn cheapest(view: &View, need: &Res, tasks: u32, ok: impl Fn(&Pool) -> bool) -> Option<Pool> {
    let mut best: Option<(f64, Pool)> = None;
    let mut rigs: Vec<_> = view.rigs.iter().collect();
    rigs.sort_by_key(|(ix, _)| **ix);
    for (ix, rig) in rigs {
        if !need.fits(rig.room) {
            continue;
        }
        let mut fit = 0u32;
        let mut left = rig.room;
        while fit < tasks.max(1) && need.fits(left) && fit < 64 {
            left = left.minus(*need);
            fit += 1;
        }
        // What a task leaves free is used by others more often than not.
        let share = need.share_of(rig.room) * f64::from(fit);
        let used = share.clamp(0.5, 1.0) * 0.5 + share.min(1.0) * 0.5;
        for zone in &rig.flavor.zones {
            let Some(zone) = view.zone_names.find(zone) else {
                continue;
            };
            for spot in [false, true] {
                let pool = Pool {
                    rig: *ix,
                    zone,
                    spot,
                };
                if !ok(&pool) {
                    continue;
                }
                let price = if spot {
                    rig.flavor.spot_price
                } else {
                    rig.flavor.price
                };
                let cost = price * used / f64::from(fit.max(1)) * (1.0 + rig.flavor.boot_s / 300.0);
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

/// What the duty remembers between turns; lost at a change of owner, which only costs time.
struct Desk {
    pace: Pace,
    pages: Pages,
    listed: HashMap<String, Listed>,
    listed_at: Option<Ms>,
    list_due: Ms,
    backoff: HashMap<Pool, (Ms, u64)>,
    counter: u64,
    released: HashMap<String, Ms>,
    booked_at: HashMap<String, Ms>,
    owner_since: Option<Ms>,
    token: u64,
    needed: HashSet<MachineIx>,
}

impl Desk {
    fn new(rps: f64, token: u64, owner_since: Option<Ms>) -> Desk {
        Desk {
            pace: Pace::new(rps),
            pages: Pages::default(),
            listed: HashMap::new(),
            listed_at: None,
            list_due: Ms(0),
            backoff: HashMap::new(),
            counter: 0,
            released: HashMap::new(),
            booked_at: HashMap::new(),
            owner_since,
            token,
            needed: HashSet::new(),
        }
    }
}

/// Duty: rents and returns machines while this node owns the renting shard.
pub async fn run(node: Rc<Node>) {
    let rps = node.platform.settings.cloud.rps;
    let mut desk = Desk::new(rps, 0, None);
    loop {
        node.pause(TICK_MS).await;
        if !node.view.borrow().loaded {
            continue;
        }
        learn_flavors(&node).await;
        let token = {
            let view = node.view.borrow();
            let shard = view.renting();
            node.rules
                .owns(&view, shard)
                .then(|| view.shards[shard.at()].rec.token)
        };
        let Some(token) = token else {
            desk.owner_since = None;
            continue;
        };
        let now = node.now();
        if desk.owner_since.is_none() || desk.token != token {
            desk = Desk::new(rps, token, Some(now));
        }
        turn(&node, &mut desk).await;
    }
}

/// Machine types: from the state service, or from the cloud, then shared through the state service.
async fn learn_flavors(node: &Rc<Node>) {
    let (known, version) = {
        let view = node.view.borrow();
        (!view.rigs.is_empty(), view.flavors_version)
    };
    if known && version > 0 {
        return;
    }
    let Ok(f) = node
        .cloud
        .call(Method::Get, "/flavors", Vec::new(), CALL_MS)
        .await
    else {
        node.cloud.reset();
        return;
    };
    let Ok(flavors) = rmp_serde::from_slice::<Flavors>(&f.body) else {
        return;
    };
    if f.status != 200 || flavors.types.is_empty() {
        return;
    }
    node.view.borrow_mut().set_flavors(&flavors);
    let key = format!("{ROOT}flavors/all");
    let txn = Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version: 0,
        }],
        writes: set(key, &flavors, None).into_iter().collect(),
    };
    if let Outcome::Done(r) = node.commit(&txn).await {
        node.view.borrow_mut().flavors_version = r;
    } else {
        node.refreshed(1500).await;
    }
}

async fn turn(node: &Rc<Node>, desk: &mut Desk) {
    if !node.store_ok() {
        // Whether the duty is still ours can't be known, and nothing could be recorded.
        return;
    }
    let s = &node.platform.settings;
    let lag_ms = ms_of(s.cloud.list_lag_s);
    let now = node.now();
    if now >= desk.list_due {
        read_list(node, desk).await;
    }
    repeat_bookings(node, desk).await;
    clear_bookings(node, desk, lag_ms).await;
    rent(node, desk).await;
    release(node, desk).await;
}

/// Time from one list of machines to the next: a large one takes no more than its part of the
/// cloud's limit, so that renting and returning have the rest.
pub fn list_every_ms(rps: f64, pages: usize) -> u64 {
    let least = ((4000.0 / rps) as u64).clamp(1500, 4000);
    least.max((pages as f64 * 1000.0 / (rps * LIST_PART)) as u64)
}

/// A machine list that is read page by page. What was read stays when a page is refused, and
/// the next turn goes on from there.
#[derive(Default)]
pub struct Pages {
    list: Vec<Listed>,
    since: Option<Ms>,
}

impl Pages {
    /// The name after which the next page begins; a list that took too long is begun anew.
    pub fn next(&mut self, now: Ms) -> &str {
        if self.since.is_some_and(|t| now.since(t) >= STALE_MS) {
            *self = Pages::default();
        }
        self.since.get_or_insert(now);
        self.list.last().map_or("", |h| h.name.as_str())
    }
    /// Takes a page; the whole list if it was the last.
    pub fn take(&mut self, page: HostList) -> Option<Vec<Listed>> {
        let more = page.more && !page.hosts.is_empty();
        self.list.extend(page.hosts);
        (!more).then(|| std::mem::take(self).list)
    }
}

/// Reads pages of the machine list as far as the cloud's limit lets it.
async fn read_list(node: &Rc<Node>, desk: &mut Desk) {
    let list = loop {
        let now = node.now();
        if !desk.pace.take(now, 0.0) {
            return;
        }
        let Some(page) = read_page(node, desk.pages.next(now)).await else {
            desk.list_due = node.now().plus(500);
            return;
        };
        if let Some(list) = desk.pages.take(page) {
            break list;
        }
    };
    let now = node.now();
    let pages = list.len() / PAGE + 1;
    desk.list_due = now.plus(list_every_ms(node.platform.settings.cloud.rps, pages));
    desk.listed_at = Some(now);
    let mut view = node.view.borrow_mut();
    for h in &list {
        if let Some(mix) = view.learn_machine(&h.name, &h.rig, &h.zone, h.spot, now) {
            if let Some(m) = view.machine_mut(mix).filter(|m| m.addr.is_empty()) {
                m.addr.clone_from(&h.addr);
            }
        }
    }
    desk.listed = list.into_iter().map(|h| (h.name.clone(), h)).collect();
    desk.released
        .retain(|n, t| desk.listed.contains_key(n) || now.since(*t) < STALE_MS);
}

/// Machines in a page of the list, by the cloud's protocol at most.
const PAGE: usize = 500;

async fn read_page(node: &Rc<Node>, from: &str) -> Option<HostList> {
    let path = format!("/hosts?from={from}&most={PAGE}");
    let answer = node.cloud.call(Method::Get, &path, Vec::new(), CALL_MS);
    match answer.await {
        Ok(f) if f.status == 200 => {
            node.note_served(Outside::Cloud, true);
            rmp_serde::from_slice(&f.body).ok()
        }
        Ok(f) => {
            log::debug!("machine list refused with {}", f.status);
            // 429 is our own haste, not the cloud's trouble.
            node.note_served(Outside::Cloud, f.status == 429);
            None
        }
        Err(e) => {
            log::debug!("machine list: {e}");
            node.note_served(Outside::Cloud, false);
            node.cloud.reset();
            None
        }
    }
}

/// Asks once more for bookings without an answer: a repeated one rents nothing twice.
async fn repeat_bookings(node: &Rc<Node>, desk: &mut Desk) {
    let now = node.now();
    let open: Vec<(String, BookingRecord)> = {
        let view = node.view.borrow();
        view.bookings
            .iter()
            .filter(|(_, b)| b.rec.hosts.is_empty())
            .filter(|(n, _)| desk.booked_at.get(*n).is_none_or(|t| now.since(*t) > 2000))
            .map(|(n, b)| (n.clone(), b.rec.clone()))
            .take(AT_ONCE)
            .take_while(|_| desk.pace.take(now, 0.0))
            .collect()
    };
    book_all(node, desk, open).await;
}

/// Sends bookings side by side and notes together what came of them.
async fn book_all(node: &Rc<Node>, desk: &mut Desk, list: Vec<(String, BookingRecord)>) {
    let mut running = Vec::new();
    for (name, rec) in list {
        desk.booked_at.insert(name.clone(), node.now());
        let n = node.clone();
        running.push(node.ex.spawn(async move {
            let answer = book(&n, &name, &rec).await;
            (name, rec, answer)
        }));
    }
    let mut notes: Vec<(String, Option<BookingRecord>)> = Vec::new();
    for task in running {
        let (name, rec, answer) = task.await;
        notes.extend(note_booking(node, desk, &name, rec, answer).map(|r| (name, r)));
    }
    store_bookings(node, &notes).await;
}

/// Sends a booking; status and machines.
async fn book(node: &Rc<Node>, name: &str, rec: &BookingRecord) -> Option<(u16, Option<Hosts>)> {
    let request = Booking {
        request: name.to_string(),
        rig: rec.rig.clone(),
        zone: rec.zone.clone(),
        spot: rec.spot,
        count: rec.count,
    };
    let body = rmp_serde::to_vec_named(&request).ok()?;
    match node.cloud.call(Method::Post, "/hosts", body, CALL_MS).await {
        Ok(f) => Some((f.status, rmp_serde::from_slice::<Hosts>(&f.body).ok())),
        Err(e) => {
            log::warn!("booking {name}: {e}; it will be repeated");
            node.cloud.reset();
            None
        }
    }
}

/// What the record of a booking shall be after an answer; the outer `None` leaves it as it is.
fn note_booking(
    node: &Rc<Node>,
    desk: &mut Desk,
    name: &str,
    mut rec: BookingRecord,
    answer: Option<(u16, Option<Hosts>)>,
) -> Option<Option<BookingRecord>> {
    let now = node.now();
    let mut view = node.view.borrow_mut();
    let pool = Pool {
        rig: view.rig_names.intern(&rec.rig),
        zone: view.zone_names.find(&rec.zone)?,
        spot: rec.spot,
    };
    match answer? {
        (200, Some(h)) => {
            log::info!(
                "rented {} of {} {} in {} (spot: {})",
                h.hosts.len(),
                rec.count,
                rec.rig,
                rec.zone,
                rec.spot
            );
            if (h.hosts.len() as u32) < rec.count {
                back_off(desk, pool, now);
            } else {
                desk.backoff.remove(&pool);
            }
            for n in &h.hosts {
                view.learn_machine(n, &rec.rig, &rec.zone, rec.spot, now);
            }
            rec.hosts = h.hosts;
            Some((!rec.hosts.is_empty()).then_some(rec))
        }
        (503, _) => {
            log::info!("no {} in {} (spot: {})", rec.rig, rec.zone, rec.spot);
            back_off(desk, pool, now);
            Some(None)
        }
        (429, _) => None,
        (s, _) => {
            log::warn!("booking {name} answered with {s}");
            Some(None)
        }
    }
}

fn back_off(desk: &mut Desk, pool: Pool, now: Ms) {
    let entry = desk.backoff.entry(pool).or_insert((now, 3000));
    entry.1 = (entry.1 * 2).min(20_000);
    entry.0 = now.plus(entry.1);
}

/// Writes or removes bookings, as long as this node owns the duty.
async fn store_bookings(node: &Rc<Node>, list: &[(String, Option<BookingRecord>)]) -> bool {
    let mut all = true;
    for part in list.chunks(node.rules.txn_ops) {
        let txn = {
            let view = node.view.borrow();
            let shard = view.renting();
            let write = |(name, rec): &(String, Option<BookingRecord>)| {
                let key = format!("{ROOT}book/{name}");
                match rec {
                    Some(r) => set(key, r, None),
                    None => Some(Write::Remove { remove: key }),
                }
            };
            Transaction {
                conditions: vec![Condition {
                    key: view.shard_key(shard),
                    version: view.shards[shard.at()].version,
                }],
                writes: part.iter().filter_map(write).collect(),
            }
        };
        all &= matches!(node.commit(&txn).await, Outcome::Done(_));
    }
    // The next step depends on what the records say.
    list.is_empty() || node.refreshed(1500).await && all
}

/// Removes bookings whose machines are all in the list, or should long be.
async fn clear_bookings(node: &Rc<Node>, desk: &mut Desk, lag_ms: u64) {
    let now = node.now();
    let old: Vec<String> = {
        let view = node.view.borrow();
        view.bookings
            .iter()
            .filter(|(n, b)| {
                let at = *desk.booked_at.entry((*n).clone()).or_insert(now);
                let listed = b.rec.hosts.iter().all(|h| desk.listed.contains_key(h));
                !b.rec.hosts.is_empty()
                    && now.since(at) > lag_ms * 2
                    && (listed || now.since(at) > lag_ms * 4 + 10_000)
            })
            .map(|(n, _)| n.clone())
            .take(node.rules.txn_ops)
            .collect()
    };
    let removed: Vec<_> = old.into_iter().map(|n| (n, None)).collect();
    store_bookings(node, &removed).await;
    for (n, _) in removed {
        desk.booked_at.remove(&n);
    }
}

/// How long a machine may be silent before it is returned.
pub struct Silence {
    /// One that has shown its owner's token.
    pub sure_ms: u64,
    /// The workers' lease.
    pub lease_ms: u64,
}

/// Fewest machines of a zone of which a part can tell of a cut.
const ZONE_LEAST: u32 = 12;
/// A zone in which more than one in so many machines is silent is likely cut off.
const ZONE_PART: u32 = 3;

/// Zones of which so many machines are silent at once that the zone and not they will have
/// failed, from the number of machines and of silent ones by zone.
pub fn cut_zones(counts: &HashMap<ZoneIx, (u32, u32)>) -> HashSet<ZoneIx> {
    let cut = |(all, silent): &(u32, u32)| *all >= ZONE_LEAST && silent * ZONE_PART > *all;
    let zones = counts.iter().filter(|(_, c)| cut(c));
    zones.map(|(z, _)| *z).collect()
}

impl Silence {
    /// How much longer machines of a zone that is likely cut off are waited for. Inside they go
    /// on, answered by the nodes there, and what runs on them would be lost by returning them.
    pub fn of_cut_zone(&self) -> u64 {
        self.lease_ms * 2
    }
    fn unsure(&self) -> u64 {
        self.sure_ms + self.lease_ms / 2
    }
    /// The limit of a machine. After a change of owner it may still talk to the old one, who
    /// does not know: until the new token has reached it, its silence here proves little.
    pub fn of(&self, view: &View, rules: &Rules, m: &Machine) -> u64 {
        let token = view.shards[m.shard.at()].rec.token;
        let sure = if rules.owns(view, m.shard) {
            m.token == token
        } else {
            m.sure
        };
        match m.heard {
            None => self.lease_ms + 20_000,
            Some(_) if sure => self.sure_ms,
            Some(_) => self.unsure(),
        }
    }
}

/// Machines to be released now, with the reason.
fn to_release(node: &Node, desk: &Desk, now: Ms) -> (Vec<(String, &'static str)>, Vec<String>) {
    let s = &node.platform.settings;
    let view = node.view.borrow();
    let lease_ms = ms_of(s.workers.lease_s);
    let limits = Silence {
        sure_ms: ms_of(s.workers.report_s * 4.0) + 4000,
        lease_ms,
    };
    let idle_ms = ms_of(node.operator.idle_return_s);
    // By how long its owner, who must have told lately, has waited for it for too long.
    let overdue = |m: &Machine| {
        let owner_here = node.rules.owns(&view, m.shard);
        let peer = view.live_owner(m.shard).and_then(|o| node.peer(o));
        let told = peer.is_some_and(|p| p.heard.get().is_some_and(|t| now.since(t) < 3000));
        let base = if owner_here {
            node.listened_since(m.shard)
        } else {
            desk.owner_since.max(node.woke.get())
        };
        let waited = siblings::silence(m.heard, m.known, base, now);
        let over = waited.checked_sub(limits.of(&view, &node.rules, m))?;
        (owner_here || told).then_some(over)
    };
    let mut by_zone: HashMap<ZoneIx, (u32, u32)> = HashMap::new();
    for (_, m) in view.all_machines().filter(|(_, m)| m.heard.is_some()) {
        let (all, silent) = by_zone.entry(m.zone).or_default();
        *all += 1;
        *silent += u32::from(m.heard.is_some_and(|h| now.since(h) > node.rules.silent_ms));
    }
    let cut = cut_zones(&by_zone);
    let silent = |m: &Machine| {
        let more = if cut.contains(&m.zone) {
            limits.of_cut_zone()
        } else {
            0
        };
        overdue(m).is_some_and(|over| over > more)
    };
    let asked = |n: &str, ms: u64| desk.released.get(n).is_some_and(|t| now.since(*t) < ms);
    let mut dead = Vec::new();
    let mut idle = Vec::new();
    for h in desk.listed.values() {
        if asked(&h.name, 5000) {
            continue;
        }
        let mix = view.machine_names.find(&h.name);
        let m: Option<&Machine> = mix.and_then(|m| view.machine(m));
        // A list may show a deleted machine for some time.
        let (Some(mix), Some(m)) = (mix, m) else {
            continue;
        };
        let boot = view.rigs.get(&m.rig).map_or(60.0, |r| r.flavor.boot_s);
        if h.status == "failed" {
            dead.push((h.name.clone(), "failed"));
        } else if m.sick {
            dead.push((h.name.clone(), "faulty"));
        } else if m.heard.is_none() && h.status == "booting" {
            if h.age_s > boot * STUCK + 10.0 {
                dead.push((h.name.clone(), "did not come up"));
            }
        } else if silent(m) {
            dead.push((h.name.clone(), "silent"));
        } else if m.closed && view.placed_on(mix).is_empty() {
            // It takes nothing any more, whatever became of its first release.
            idle.push(h.name.clone());
        } else if view.placed_on(mix).is_empty()
            && m.heard.is_some()
            && !desk.needed.contains(&mix)
            && m.idle_since.is_some_and(|t| now.since(t) > idle_ms)
            && m.held.is_none_or(|(_, until)| now > until)
        {
            idle.push(h.name.clone());
        }
    }
    let unheard = |mix: MachineIx| match view.machine(mix) {
        Some(m) => silent(m),
        // Nobody has told of it since this duty began here.
        None => desk
            .owner_since
            .is_some_and(|t| now.since(t) > limits.unsure()),
    };
    let lost = lost(&view, &desk.listed, unheard).into_iter();
    dead.extend(lost.filter(|n| !asked(n, 5000)).map(|n| (n, "lost")));
    dead.sort();
    idle.sort();
    (dead, idle)
}

/// Machines with placements that are not in the list and silent.
///
/// The cloud took them while no owner lived that had heard them: nothing else proves their
/// tasks gone, and their jobs would wait for ever. Deleting an unknown name is answered too.
pub fn lost(
    view: &View,
    listed: &HashMap<String, Listed>,
    silent: impl Fn(MachineIx) -> bool,
) -> Vec<String> {
    let names = &view.machine_names;
    view.occupied()
        .filter(|m| !view.is_gone(*m) && !listed.contains_key(&**names.name(*m)) && silent(*m))
        .map(|m| names.name(m).to_string())
        .collect()
}

fn note_idle(node: &Node, now: Ms) {
    let mut view = node.view.borrow_mut();
    for mix in (0..view.machines.len()).map(MachineIx::new) {
        let placed = !view.placed_on(mix).is_empty();
        let Some(m) = view.machine_mut(mix) else {
            continue;
        };
        let busy = placed || !m.queue.is_empty() || m.queued_elsewhere > 0;
        m.idle_since = match (busy, m.heard) {
            (false, Some(_)) => m.idle_since.or(Some(now)),
            _ => None,
        };
    }
}

async fn release(node: &Rc<Node>, desk: &mut Desk) {
    let now = node.now();
    note_idle(node, now);
    // Just after a change of owner little is known yet.
    if desk.owner_since.is_none_or(|t| now.since(t) < 3000) {
        return;
    }
    let (dead, idle) = to_release(node, desk, now);
    if dead.is_empty() && idle.is_empty() {
        return;
    }
    // Nothing fences a release but this: an owner that was cut off from the state service
    // would go on returning machines that others have long put to use.
    let still = node.refreshed(1500).await && {
        let view = node.view.borrow();
        node.rules.owns(&view, view.renting())
    };
    if !still {
        log::debug!("nothing is returned: not surely in charge");
        return;
    }
    let closed = close_idle(node, &idle).await;
    let closed = closed.into_iter().map(|n| (n, "idle"));
    let returned: Vec<(String, &str)> = dead.into_iter().chain(closed).take(RETURNS).collect();
    let names: Vec<String> = returned.iter().map(|(n, _)| n.clone()).collect();
    if names.is_empty() || !desk.pace.take(node.now(), 0.0) {
        return;
    }
    for (n, why) in &returned {
        log::info!("machine {n} is to be returned: {why}");
    }
    let Ok(body) = rmp_serde::to_vec_named(&Hosts {
        hosts: names.clone(),
    }) else {
        return;
    };
    let answer = node
        .cloud
        .call(Method::Post, "/hosts/release", body, CALL_MS)
        .await;
    for n in &names {
        desk.released.insert(n.clone(), node.now());
    }
    match answer {
        Ok(f) if f.status == 200 => {
            // The only proof there is for a machine that does not talk any more.
            siblings::gone(node, &names);
            for p in &node.peers {
                let ask = Ask::Gone {
                    machines: names.clone(),
                };
                let _ = p.client.ask(&ask, 500).await;
            }
        }
        Ok(f) => log::warn!("release refused with {}", f.status),
        Err(e) => {
            log::warn!("release: {e}");
            node.cloud.reset();
        }
    }
}

/// Has owners close idle machines, so that nothing new goes there; returns the closed ones.
async fn close_idle(node: &Rc<Node>, idle: &[String]) -> Vec<String> {
    let mut by_owner: HashMap<String, Vec<String>> = HashMap::new();
    {
        let view = node.view.borrow();
        for n in idle {
            let m = view.machine_names.find(n).and_then(|m| view.machine(m));
            if let Some(m) = m {
                let owner = view.shards[m.shard.at()].rec.owner.clone();
                by_owner.entry(owner).or_default().push(n.clone());
            }
        }
    }
    let mut out = Vec::new();
    for (owner, machines) in by_owner {
        if owner == node.rules.node {
            out.extend(siblings::close(node, &machines));
        } else if let Some(p) = node.peer(&owner) {
            if let Ok(Reply::Closed(c)) = p.client.ask(&Ask::Close { machines }, 800).await {
                out.extend(c);
            }
        }
    }
    out
}

/// Everything rented, as supply for what waits.
pub fn supply(view: &View, list: &HashMap<String, Listed>, silent_ms: u64, now: Ms) -> Vec<Supply> {
    let free = plan::free_room(view, &Draft::default());
    let booked: HashSet<&str> = view
        .bookings
        .values()
        .flat_map(|b| b.rec.hosts.iter().map(String::as_str))
        .collect();
    let mut out = Vec::new();
    for (mix, m) in view.all_machines() {
        let name = &*m.name;
        let listed = list.get(name);
        let up = m.takes(now, silent_ms);
        // One that is long overdue may never come up: what waits is not to wait for it.
        let boot_ms = view
            .rigs
            .get(&m.rig)
            .map_or(0, |r| ms_of(r.flavor.boot_s * OVERDUE));
        let coming = m.heard.is_none()
            && now.since(m.known) < boot_ms
            && !m.closed
            && (booked.contains(name) || listed.is_some_and(|h| h.status != "failed"));
        if !up && !coming {
            continue;
        }
        if let Some(free) = free.get(mix) {
            out.push(Supply {
                pool: Pool {
                    rig: m.rig,
                    zone: m.zone,
                    spot: m.spot,
                },
                free,
                machine: Some(mix),
            });
        }
    }
    // Bookings without an answer may have rented what they ask for.
    for b in view.bookings.values().filter(|b| b.rec.hosts.is_empty()) {
        let (Some(rig), Some(zone)) = (
            view.rig_names.find(&b.rec.rig),
            view.zone_names.find(&b.rec.zone),
        ) else {
            continue;
        };
        let Some(r) = view.rigs.get(&rig) else {
            continue;
        };
        for _ in 0..b.rec.count {
            out.push(Supply {
                pool: Pool {
                    rig,
                    zone,
                    spot: b.rec.spot,
                },
                free: r.room,
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
    while !left.is_empty() && out.len() < AT_ONCE {
        for (pool, n) in &mut left {
            let part = (*n).min(MOST_AT_ONCE);
            out.push((*pool, part));
            *n -= part;
        }
        left.retain(|_, n| *n > 0);
    }
    out.truncate(AT_ONCE);
    out
}

async fn rent(node: &Rc<Node>, desk: &mut Desk) {
    let now = node.now();
    // Without a list of this owner's time, what is rented already is not known.
    if desk.listed_at.is_none() {
        return;
    }
    let blocked: HashSet<Pool> = desk
        .backoff
        .iter()
        .filter(|(_, (until, _))| now < *until)
        .map(|(p, _)| *p)
        .collect();
    let plan = {
        let view = node.view.borrow();
        let mut have = supply(&view, &desk.listed, node.rules.silent_ms, now);
        wanted(&view, &node.rules, &mut have, &blocked, now, wall_ms())
    };
    let mut list = Vec::new();
    desk.needed = plan.needed;
    for (pool, count) in requests(plan.rent) {
        // One request is left for returns: those who wait for a machine to be proven gone wait
        // as long as those who need a new one.
        if !desk.pace.take(node.now(), 1.0) {
            break;
        }
        desk.counter += 1;
        let view = node.view.borrow();
        let rec = BookingRecord {
            rig: view.rig_names.name(pool.rig).to_string(),
            zone: view.zone_names.name(pool.zone).to_string(),
            spot: pool.spot,
            count,
            hosts: Vec::new(),
        };
        // The token is of this owner alone, so no name is ever used twice.
        list.push((format!("b-{}-{}", desk.token, desk.counter), rec));
    }
    // The intent is on record before the request: whoever takes over asks again.
    let intents: Vec<_> = list
        .iter()
        .map(|(n, r)| (n.clone(), Some(r.clone())))
        .collect();
    if !list.is_empty() && store_bookings(node, &intents).await {
        book_all(node, desk, list).await;
    }
}
