//! Decisions on placements, as pure functions of the view.
//!
//! A pass first settles what reports prove, then claims waiting tasks for
//! machines with free room. Its result is one transaction, conditional on
//! every job record it changes and on every shard record it rests on.

use crate::bookkeeping::fleet::{Attempt, LateStart, Machine};
use crate::bookkeeping::job::{Job, Placement, Spec};
use crate::bookkeeping::names::{Index, JobIx, MachineIx, RigIx, ShardIx, TeamIx, ZoneIx};
use crate::bookkeeping::units::{ms_of, Ms, Res};
use crate::bookkeeping::view::{TeamRecord, View};
use crate::protocol::users::{Rank, Shape};
use crate::protocol::workers::{Order, TaskState, Why};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// What a controller decides by.
#[derive(Clone, Debug)]
pub struct Rules {
    /// This node.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Silence after which a machine gets nothing new, ms.
    pub silent_ms: u64,
    /// Queue cap.
    pub queue_cap: usize,
    /// Wait after which a queued task is free for all, ms.
    pub steal_ms: u64,
    /// Wait after which machines are kept free for a gang, ms.
    pub gang_hold_ms: u64,
    /// Wait after which work for spot machines takes empty ordinary ones, ms.
    pub spot_patience_ms: u64,
    /// Part of the spot work expected during a boot that has room kept for it.
    pub headroom: f64,
    /// The same for other work.
    pub headroom_ordinary: f64,
    /// Silence after which a worker that only this owner answered has killed its tasks, ms.
    pub dead_ms: u64,
    /// Time in which jobs of a class are expected to finish, ms.
    pub finish_within: HashMap<String, u64>,
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// Size of a record.
    pub value_bytes: usize,
}

/// Most bytes of records in a transaction.
const TXN_BYTES: usize = 48 * 1024;
/// Machines looked at when there are more: a sample in place of a full search.
pub const SAMPLE: usize = 64;

impl Rules {
    /// True if this incarnation owns the shard, as far as is known.
    pub fn owns(&self, view: &View, shard: ShardIx) -> bool {
        let r = &view.shards[shard.at()].rec;
        r.owner == self.node && r.incarnation == self.incarnation
    }
}

/// Changes to be committed together.
#[derive(Default, Debug)]
pub struct Draft {
    /// Jobs as they shall be.
    pub jobs: BTreeMap<JobIx, Job>,
    /// Shards whose ownership the changes rest on.
    pub shards: BTreeSet<ShardIx>,
    /// Teams' shares as they shall be.
    pub teams: BTreeMap<TeamIx, TeamRecord>,
    /// New placements.
    pub claims: Vec<(JobIx, Placement)>,
    bytes: usize,
}

impl Draft {
    /// True if nothing changes.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.teams.is_empty()
    }
    /// True if `more` changed keys still go into the transaction.
    fn has_room(&self, rules: &Rules, more: usize) -> bool {
        self.jobs.len() + self.teams.len() + more <= rules.txn_ops && self.bytes < TXN_BYTES
    }
    /// The job as drafted so far.
    pub fn job<'a>(&'a self, view: &'a View, ix: JobIx) -> &'a Job {
        self.jobs.get(&ix).unwrap_or(&view.jobs[ix.at()])
    }
    /// The job, to change it; `None` if the transaction is full.
    fn edit(&mut self, view: &View, rules: &Rules, ix: JobIx) -> Option<&mut Job> {
        if !self.jobs.contains_key(&ix) {
            if !self.has_room(rules, 1) {
                return None;
            }
            let job = view.jobs[ix.at()].clone();
            self.bytes += job.size();
            self.jobs.insert(ix, job);
        }
        self.jobs.get_mut(&ix)
    }
}

/// True if a gang has lost some of its tasks and the rest has to go.
pub fn broken_gang(job: &Job) -> bool {
    let Some(s) = &job.spec else { return false };
    s.is_wide_gang()
        && job.open()
        && !job.placements.is_empty()
        && (job.placements.len() as u32) < s.tasks()
}

/// True if the placement must not run any more.
pub fn unwanted(job: &Job, m: &Machine, a: Attempt) -> bool {
    !job.open() || job.done.has(a.1) || m.stopping.contains_key(&a) || broken_gang(job)
}

/// True if the newest report proves that the attempt is not there and can't begin later.
///
/// A start in a report's answer can't run late: a report newer than the one it answered
/// shows its effect or its loss. Answers to direct commands prove no absence, since such
/// an answer may still be on its way to the worker. A direct start without an answer may
/// run at any time until the token is raised or the session ends. A report under the
/// owner's own token shuts out every older owner's orders.
pub fn proven_absent(m: &Machine, token: u64, a: Attempt) -> bool {
    m.heard.is_some()
        && m.token == token
        && token > 0
        && m.seen(a).is_none()
        && m.start_sent.get(&a).is_none_or(|sent| *sent < m.reported)
        && !may_start_late(m, token, a)
}

/// True if an attempt that is not there should not be started there any more: it was there
/// and is lost, or nothing reaches the machine.
fn given_up(m: &Machine, a: Attempt) -> bool {
    m.shown.contains(&a) || m.deaf.is_some()
}

/// How often a gang's task whose wait ran out is started again in its place.
const WAITS: u8 = 3;

/// True if a gang's task that gave up waiting should wait once more, under the same attempt.
///
/// Its mates may still fetch an image for longer than the workers' wait. A whole new attempt
/// would fetch it anew elsewhere and run out of time there in the same way, for ever.
pub fn waits_again(job: &Job, m: &Machine, a: Attempt) -> bool {
    let alone = m.seen(a).is_some_and(|s| s.why == Some(Why::Alone));
    let often = m.alone.get(&a).copied().unwrap_or(0);
    alone && often <= WAITS && m.leaves.is_none() && !unwanted(job, m, a)
}

/// True if the worker's lease has run out under this owner.
///
/// It has accepted this owner's token, so no older owner's answer renews its lease, and a
/// younger owner would make the transaction fail that rests on this. Its tasks are dead and
/// whatever was sent to its session runs no more. For a new owner time alone proves nothing.
pub fn lease_over(m: &Machine, token: u64, dead_ms: u64, now: Ms) -> bool {
    token > 0 && m.token == token && m.heard.is_some_and(|h| now.since(h) > dead_ms)
}

/// True if a direct start that was not answered may still take effect.
pub fn may_start_late(m: &Machine, token: u64, a: Attempt) -> bool {
    m.late_starts
        .get(&a)
        .is_some_and(|l| l.token >= token && l.session == m.stamp.0)
}

/// Takes what reports and deletions prove into the draft.
pub fn settle(view: &View, rules: &Rules, draft: &mut Draft, now: Ms) {
    for (ix, job) in view.active_jobs() {
        if view.suspects.contains(&ix) {
            // A write with an unknown outcome may still be applied: writing the
            // record once more, whatever it says, shuts the late one out.
            let _ = draft.edit(view, rules, ix);
        }
        for p in &job.placements {
            if view.is_gone(p.machine) {
                // Deletion is proof for everyone, whoever owns the shard.
                if let Some(j) = draft.edit(view, rules, ix) {
                    j.remove(p.task, p.attempt);
                }
                continue;
            }
            let owned = |m: &&Machine| rules.owns(view, m.shard);
            let Some(m) = view.machine(p.machine).filter(owned) else {
                continue;
            };
            let a = (ix, p.task, p.attempt);
            let token = view.shards[m.shard.at()].rec.token;
            let exit = m.seen(a).filter(|s| s.state == TaskState::Exited);
            let exit = exit.filter(|_| !waits_again(job, m, a));
            let absent = proven_absent(m, token, a) && (unwanted(job, m, a) || given_up(m, a));
            let lost = exit.is_none() && (absent || lease_over(m, token, rules.dead_ms, now));
            if exit.is_none() && !lost {
                continue;
            }
            let Some(j) = draft.edit(view, rules, ix) else {
                continue;
            };
            if exit.is_some_and(|s| s.why == Some(Why::Done)) && j.open() {
                j.finish(p.task);
            }
            j.remove(p.task, p.attempt);
            draft.shards.insert(m.shard);
        }
    }
}

/// Free room by machine, drafted changes included.
#[derive(Clone, Debug)]
pub struct Room(Vec<Option<Res>>);

impl Room {
    /// What is free on a machine.
    pub fn get(&self, m: MachineIx) -> Option<Res> {
        self.0.get(m.at()).copied().flatten()
    }
    /// Takes some of it; parts may become negative.
    pub fn take(&mut self, m: MachineIx, need: Res) {
        self.change(m, |f| f.minus(need));
    }
    /// Gives some back.
    pub fn give(&mut self, m: MachineIx, need: Res) {
        self.change(m, |f| f.plus(need));
    }
    fn change(&mut self, m: MachineIx, by: impl FnOnce(Res) -> Res) {
        if let Some(Some(f)) = self.0.get_mut(m.at()) {
            *f = by(*f);
        }
    }
}

/// Free room of machines, after placements and whatever else was reported.
pub fn free_room(view: &View, draft: &Draft) -> Room {
    let mut free = Room(view.room().to_vec());
    for (ix, job) in &draft.jobs {
        let old = &view.jobs[ix.at()];
        let Some(s) = &job.spec else { continue };
        for p in job
            .placements
            .iter()
            .filter(|p| !old.placements.contains(p))
        {
            free.take(p.machine, s.need);
        }
        for p in old
            .placements
            .iter()
            .filter(|p| !job.placements.contains(p))
        {
            // What a report still shows takes its room until it has exited.
            let a = (*ix, p.task, p.attempt);
            let there = view.machine(p.machine).and_then(|m| m.seen(a));
            if there.is_none_or(|t| t.state == TaskState::Exited) {
                free.give(p.machine, s.need);
            }
        }
    }
    free
}

/// True if the job may have a task on this machine, room aside, given its other placements.
pub fn allowed(
    view: &View,
    job: &Job,
    ix: JobIx,
    spec: &Spec,
    mix: MachineIx,
    m: &Machine,
) -> bool {
    let kind = spec.rigs.as_ref().is_none_or(|r| r.contains(&m.rig))
        && spec.zone.is_none_or(|z| z == m.zone)
        && (spec.wire.spot || !m.spot);
    let failed_here = view
        .failures
        .get(&ix)
        .is_some_and(|(on, _)| on.contains(&mix));
    kind && !failed_here && zone_allowed(view, job, spec, m.zone)
}

/// Zone rules against all placements of the record, old attempts counted until proven gone.
fn zone_allowed(view: &View, job: &Job, spec: &Spec, zone: ZoneIx) -> bool {
    let zones = || {
        job.placements
            .iter()
            .filter_map(|p| view.shard_zone(p.shard))
    };
    (!spec.wire.one_zone || zones().all(|z| z == zone))
        && (zones().filter(|z| *z == zone).count() as u32) < spec.zone_cap()
}

fn backed_off(view: &View, ix: JobIx, now: Ms) -> bool {
    view.suspects.contains(&ix)
        || view
            .failures
            .get(&ix)
            .is_some_and(|(_, until)| now < *until)
}

/// What placements of a team use, whoever pays.
pub fn used_by_team(view: &View, draft: &Draft, team: TeamIx) -> (i64, i64) {
    let mut used = view.used(team);
    for (ix, job) in &draft.jobs {
        if let Some(s) = job.spec.as_ref().filter(|s| s.team == team) {
            let n = job.placements.len() as i64 - view.jobs[ix.at()].placements.len() as i64;
            used = (used.0 + n * s.need.cpu, used.1 + n * s.need.gpu);
        }
    }
    used
}

/// A gang that has waited for its share of its team's limit.
struct Claimant {
    team: TeamIx,
    order: (Rank, u64),
    all: Res,
}

/// Gangs for whose sake younger work of their team takes no more of its limit.
///
/// Small tasks use every bit of a limit as it comes free, so a gang that needs much at once
/// would wait for as long as any come.
fn claimants(view: &View, rules: &Rules, now: Ms, wall_ms: u64) -> Vec<Claimant> {
    let mut out: Vec<Claimant> = Vec::new();
    for ix in waiting_gangs(view, now) {
        let job = &view.jobs[ix.at()];
        let Some(s) = &job.spec else { continue };
        let first = out.iter().all(|c| c.team != s.team);
        let waited = wall_ms.saturating_sub(job.submitted) >= rules.gang_hold_ms;
        if first && waited && !view.team_limits[s.team.at()].unlimited() {
            out.push(Claimant {
                team: s.team,
                order: (s.rank(), job.submitted),
                all: s.need.times(s.tasks()),
            });
        }
    }
    out
}

/// True if a task would take what an older gang of its team waits for.
fn crowds_out(view: &View, draft: &Draft, claimants: &[Claimant], job: &Job, s: &Spec) -> bool {
    let Some(c) = claimants.iter().find(|c| c.team == s.team) else {
        return false;
    };
    if (s.rank(), job.submitted) < c.order {
        return false;
    }
    let used = used_by_team(view, draft, s.team);
    let all = c.all.plus(s.need);
    !view.team_limits[s.team.at()].allows((used.0 + all.cpu, used.1 + all.gpu))
}

/// Makes room in the payer's share of the team's limit, raising the share if the limit allows.
fn pay(
    view: &View,
    rules: &Rules,
    draft: &mut Draft,
    team: TeamIx,
    payer: ShardIx,
    need: Res,
    n: u32,
) -> bool {
    let limits = &view.team_limits[team.at()];
    if limits.unlimited() {
        return true;
    }
    // A claim of unknown outcome may still take what looks free.
    let doubtful = view.suspects.iter().any(|j| {
        view.jobs[j.at()]
            .spec
            .as_ref()
            .is_some_and(|s| s.team == team)
    });
    if doubtful {
        return false;
    }
    let mut used = view.paid(team, payer);
    for (ix, j) in &draft.jobs {
        let Some(s) = j.spec.as_ref().filter(|s| s.team == team) else {
            continue;
        };
        let count = |j: &Job| j.placements.iter().filter(|p| p.payer == payer).count() as i64;
        // Only what the draft adds counts: what it frees is free once committed.
        let added = (count(j) - count(&view.jobs[ix.at()])).max(0);
        used.0 += added * s.need.cpu;
        used.1 += added * s.need.gpu;
    }
    let all = need.times(n);
    let wanted = (used.0 + all.cpu, used.1 + all.gpu);
    let record = draft.teams.get(&team).unwrap_or(&view.teams[team.at()].rec);
    let share = record.share(payer);
    if wanted.0 <= share.0 && wanted.1 <= share.1 {
        return true;
    }
    let mut raised = record.clone();
    raised.set(payer, (share.0.max(wanted.0), share.1.max(wanted.1)));
    let fresh = usize::from(!draft.teams.contains_key(&team));
    if !limits.allows(raised.total()) || !draft.has_room(rules, fresh + 1) {
        return false;
    }
    draft.teams.insert(team, raised);
    true
}

/// Lowers shares of owned shards that are not used while work of the team waits.
pub fn lower_shares(view: &View, rules: &Rules, draft: &mut Draft) {
    for (t, limits) in view.team_limits.iter().enumerate() {
        let team = TeamIx::new(t);
        if limits.unlimited() || draft.teams.contains_key(&team) || !draft.has_room(rules, 1) {
            continue;
        }
        let of_team = |j: &Job| j.spec.as_ref().is_some_and(|s| s.team == team);
        let waits = view
            .active_jobs()
            .any(|(_, j)| of_team(j) && j.waiting_count() > 0);
        let doubtful = view.suspects.iter().any(|j| of_team(&view.jobs[j.at()]));
        // A draft that changes one of its jobs has its say first.
        if !waits || doubtful || draft.jobs.values().any(of_team) {
            continue;
        }
        let mut rec = view.teams[t].rec.clone();
        for s in (0..view.shards.len()).map(ShardIx::new) {
            let (share, used) = (rec.share(s), view.paid(team, s));
            if rules.owns(view, s) && share != used {
                rec.set(s, used);
                draft.shards.insert(s);
            }
        }
        if rec != view.teams[t].rec {
            draft.teams.insert(team, rec);
        }
    }
}

/// A waiting job, in the order of service.
pub struct Waiting {
    /// Job.
    pub ix: JobIx,
    rank: Rank,
    spec: Rc<Spec>,
}

/// One in so many seconds belongs to what is late.
const LATE_TURNS: u64 = 5;

/// How far the order of service puts a job back within its priority.
///
/// One that has missed what is expected of it, or will whatever happens now, goes behind those
/// that can still make it: when more is asked than can be done, someone is late, and it is
/// better the same ones. Two bounds keep that from starving it, whatever younger work comes:
/// once it has waited two and a half times the time allowed its first task goes before all,
/// and in one second of five all late work does, the oldest first.
pub fn put_back(rules: &Rules, job: &Job, spec: &Spec, wall_ms: u64) -> u8 {
    let due = spec.wire.deadline_s.map(ms_of);
    let Some(due) = due.or_else(|| rules.finish_within.get(&spec.wire.class).copied()) else {
        return 1;
    };
    let age = wall_ms.saturating_sub(job.submitted);
    if age + ms_of(spec.wire.estimate_s) <= due {
        return 1;
    }
    let begun = !job.placements.is_empty() || job.done.count() > 0;
    let aged = age >= due * 5 / 2 || age >= BEGIN_MS;
    let turn = (wall_ms / 1000) % LATE_TURNS == 0;
    if turn || aged && !begun {
        0
    } else {
        2
    }
}

/// Age at which any job's first task goes before others of its priority.
const BEGIN_MS: u64 = 120_000;

/// Among work that can still make what is expected of it, the smaller goes first, in steps of
/// two: when not all can be in time, more jobs are.
fn size_step(rules: &Rules, job: &Job, spec: &Spec, back: u8) -> u32 {
    let within = rules.finish_within.contains_key(&spec.wire.class);
    let expected = spec.wire.deadline_s.is_some() || within;
    if back != 1 || !expected {
        return 0;
    }
    job.waiting_count().max(1).ilog2()
}

/// Jobs with waiting tasks in the order of service, wide gangs apart.
pub fn waiting_jobs(
    view: &View,
    rules: &Rules,
    draft: &Draft,
    now: Ms,
    wall_ms: u64,
) -> Vec<Waiting> {
    let mut out: Vec<(Rank, u8, u32, u64, Waiting)> = view
        .active_jobs()
        .filter(|(ix, _)| !backed_off(view, *ix, now))
        .filter_map(|(ix, _)| {
            let j = draft.job(view, ix);
            let spec = j.spec.clone()?;
            (j.waiting_count() > 0 && !spec.is_wide_gang()).then(|| {
                let rank = spec.rank();
                let back = put_back(rules, j, &spec, wall_ms);
                let size = size_step(rules, j, &spec, back);
                (rank, back, size, j.submitted, Waiting { ix, rank, spec })
            })
        })
        .collect();
    out.sort_by_key(|(r, back, size, at, w)| (*r, *back, *size, *at, w.ix));
    out.into_iter().map(|(.., w)| w).collect()
}

/// Time a machine needs for a task's image.
fn fetch_ms(view: &View, spec: &Spec, m: &Machine) -> u64 {
    if m.has_image(spec.image) {
        return 0;
    }
    let rate = view.rigs.get(&m.rig).map(|r| r.flavor.fetch_gb_per_s);
    ms_of(spec.wire.image_gb / rate.unwrap_or(0.0).max(0.01))
}

/// How well a machine suits a task; less is better, in seconds of waiting.
///
/// Fetching an image is time lost. Room that nothing else can use once the task is
/// there is lost too, and spot machines are for the work that may run on them.
pub fn misfit(view: &View, spec: &Spec, m: &Machine, free: Res) -> i64 {
    let Some(rig) = view.rigs.get(&m.rig) else {
        return i64::MAX;
    };
    let fetch = fetch_ms(view, spec, m) as f64 / 1000.0;
    let whole = rig.room;
    let left = free.minus(spec.need);
    let part = |a: i64, b: i64| if b > 0 { a as f64 / b as f64 } else { 0.0 };
    let parts = [
        part(left.cpu, whole.cpu),
        part(left.gpu, whole.gpu),
        part(left.mem, whole.mem),
    ];
    let most = parts.iter().copied().fold(0.0, f64::max);
    let least = parts.iter().copied().fold(1.0, f64::min);
    let stranded = (most - least) * 20.0;
    let kind = if spec.wire.spot && !m.spot { 10.0 } else { 0.0 };
    // The fuller one first, so that others stay empty for large tasks or go back.
    let spare = least * 3.0;
    ((fetch + stranded + kind + spare) * 1000.0) as i64
}

fn is_empty(view: &View, m: &Machine, free: Res) -> bool {
    view.rigs.get(&m.rig).is_some_and(|r| r.room == free)
}

/// True if a task that may run on spot machines should leave this one alone for now: an
/// empty ordinary machine is what work that may not use spot machines waits for.
///
/// The dearer ordinary machines of that type are, the longer: at four times the spot price the
/// whole of the operators' patience, at twice the price or less none.
pub fn leaves_alone(
    view: &View,
    rules: &Rules,
    spec: &Spec,
    waited_ms: u64,
    on: (RigIx, bool),
    empty: bool,
) -> bool {
    let (rig, spot) = on;
    if !spec.wire.spot || spot || !empty || spec.rank() <= Rank::High {
        return false;
    }
    let ratio = view
        .rigs
        .get(&rig)
        .map_or(4.0, |r| r.flavor.price / r.flavor.spot_price.max(0.001));
    let part = ((ratio - 2.0) / 2.0).clamp(0.0, 1.0);
    (waited_ms as f64) < rules.spot_patience_ms as f64 * part
}

/// True if a machine with this much room may still have a use.
fn has_any(free: Res) -> bool {
    free.cpu > 0 && free.mem > 0
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
    let jobs = waiting_jobs(view, rules, draft, now, wall_ms);
    // Full machines are most of a busy fleet, and nothing can be claimed for them.
    let machines: Vec<(MachineIx, &Machine)> = view
        .all_machines()
        .filter(|(mix, m)| {
            free.get(*mix).is_some_and(has_any)
                && rules.owns(view, m.shard)
                && m.takes(now, rules.silent_ms)
        })
        .collect();
    if jobs.is_empty() || machines.is_empty() {
        return Vec::new();
    }
    let mut bound: HashSet<(JobIx, u32)> = HashSet::new();
    for (_, m) in view.all_machines() {
        let fresh = m.queue.iter().filter(|q| now.since(q.2) < rules.steal_ms);
        bound.extend(fresh.map(|q| (q.0, q.1)));
    }
    let fits = |d: &Draft, room: Res, ix: JobIx, s: &Spec, mix: MachineIx, m: &Machine| {
        let job = d.job(view, ix);
        let held = m.held.is_some_and(|(_, until)| now < until);
        (!held || s.rank() == Rank::Production)
            && s.need.fits(room)
            && job.size() + 44 < rules.value_bytes
            && allowed(view, job, ix, s, mix, m)
            && !leaves_alone(
                view,
                rules,
                s,
                wall_ms.saturating_sub(job.submitted),
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
                let Some(s) = job.spec.clone().filter(|s| s.rank() == rank) else {
                    continue;
                };
                let room = free.get(*mix).unwrap_or_default();
                if !job.waits(*task)
                    || backed_off(view, *ix, now)
                    || crowds_out(view, draft, &claimants, job, &s)
                    || !fits(draft, room, *ix, &s, *mix, m)
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
            let tasks: Vec<u32> = draft
                .job(view, w.ix)
                .waiting()
                .filter(|t| !bound.contains(&(w.ix, *t)))
                .take(machines.len() * 8)
                .collect();
            for task in tasks {
                if crowds_out(view, draft, &claimants, draft.job(view, w.ix), &w.spec) {
                    break;
                }
                let best = machines
                    .iter()
                    .filter_map(|(mix, m)| {
                        let room = free.get(*mix)?;
                        fits(draft, room, w.ix, &w.spec, *mix, m)
                            .then(|| (misfit(view, &w.spec, m, room), *mix, *m))
                    })
                    .min_by_key(|(cost, mix, _)| (*cost, *mix));
                let Some((_, mix, m)) = best else { break };
                if !place(
                    view,
                    rules,
                    draft,
                    w.ix,
                    &w.spec,
                    &[(task, mix, m)],
                    m.shard,
                ) {
                    break;
                }
                free.take(mix, w.spec.need);
                pulled.insert(mix);
            }
        }
    }
    let has_room = |mix: &MachineIx| free.get(*mix).is_some_and(has_any);
    machines
        .iter()
        .map(|(mix, _)| *mix)
        .filter(|mix| !pulled.contains(mix) && has_room(mix))
        .collect()
}

/// Drafts placements of one attempt; false if the transaction is full or the limit is reached.
fn place(
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
    let Some(job) = draft.edit(view, rules, ix) else {
        return false;
    };
    let attempt = job.next_attempt;
    job.next_attempt += 1;
    let placements = on.iter().map(|(task, machine, m)| Placement {
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
fn claim_gangs(view: &View, rules: &Rules, draft: &mut Draft, free: &mut Room, now: Ms) {
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
    let waited = wall_ms.saturating_sub(job.submitted);
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

/// Attempts to be stopped on machines of one shard, to make room for work of a higher
/// priority that finds none anywhere.
///
/// The shards take turns, so that no two owners stop work for the same task.
pub fn preempt(
    view: &View,
    rules: &Rules,
    turn: ShardIx,
    now: Ms,
    wall_ms: u64,
) -> Vec<(MachineIx, Attempt, f64)> {
    let mut out = Vec::new();
    if !rules.owns(view, turn) {
        return out;
    }
    let mut free = free_room(view, &Draft::default());
    for (mix, m) in view.all_machines() {
        // What is being stopped is room already.
        for a in m.stopping.keys() {
            let spec = view.jobs[a.0.at()].spec.as_ref();
            if let (Some(s), Some(_)) = (spec, m.seen(*a)) {
                free.give(mix, s.need);
            }
        }
    }
    for w in waiting_jobs(view, rules, &Draft::default(), now, wall_ms) {
        let job = &view.jobs[w.ix.at()];
        let patience = match w.rank {
            Rank::Production => 1500,
            Rank::High => 4000,
            _ => continue,
        };
        let limits = &view.team_limits[w.spec.team.at()];
        let used = used_by_team(view, &Draft::default(), w.spec.team);
        let fits_limit = limits.allows((used.0 + w.spec.need.cpu, used.1 + w.spec.need.gpu));
        if wall_ms.saturating_sub(job.submitted) < patience || !fits_limit || out.len() >= 8 {
            continue;
        }
        let good = |mix: MachineIx, m: &Machine| {
            m.takes(now, rules.silent_ms) && allowed(view, job, w.ix, &w.spec, mix, m)
        };
        let room = view
            .all_machines()
            .find(|(mix, m)| free.get(*mix).is_some_and(|f| w.spec.need.fits(f)) && good(*mix, m));
        if let Some((mix, _)) = room {
            free.take(mix, w.spec.need);
            continue;
        }
        let mut best: Option<(usize, MachineIx, Vec<Victim>)> = None;
        for (mix, m) in view.all_machines() {
            if m.shard != turn || !good(mix, m) {
                continue;
            }
            let mut left = free.get(mix).unwrap_or_default();
            let mut victims = Vec::new();
            for t in victims_on(view, m, w.rank) {
                if w.spec.need.fits(left) {
                    break;
                }
                if let Some(s) = &view.jobs[t.0.at()].spec {
                    left = left.plus(s.need);
                    victims.push((t, s.need));
                }
            }
            let better = best.as_ref().is_none_or(|(n, ..)| victims.len() < *n);
            if w.spec.need.fits(left) && better {
                best = Some((victims.len(), mix, victims));
            }
        }
        if let Some((_, mix, victims)) = best {
            free.take(mix, w.spec.need);
            for (_, need) in &victims {
                free.give(mix, *need);
            }
            out.extend(victims.into_iter().map(|(a, _)| {
                let grace = view.jobs[a.0.at()]
                    .spec
                    .as_ref()
                    .map_or(0.0, |s| s.wire.save_s + 1.0);
                (mix, a, grace)
            }));
        }
    }
    out
}

/// An attempt to be stopped and the room that it gives.
type Victim = (Attempt, Res);

/// Tasks of a lower priority on a machine, the cheapest to stop first: those that still
/// fetch, then those that save. Others lose their work and are left alone, but for replicas.
fn victims_on(view: &View, m: &Machine, rank: Rank) -> Vec<Attempt> {
    let mut out: Vec<(u8, Rank, Attempt)> = m
        .tasks
        .iter()
        .filter_map(|t| {
            let ix = t.job?;
            let a = (ix, t.task, t.attempt);
            let s = view.jobs[ix.at()].spec.as_ref()?;
            let cost = match t.state {
                TaskState::Fetching => 0,
                TaskState::Running if s.wire.checkpoint_s > 0.0 => 1,
                TaskState::Running if rank == Rank::Production => 2,
                _ => return None,
            };
            let may = s.rank() > rank && !s.is_wide_gang() && !m.stopping.contains_key(&a);
            may.then_some((cost, s.rank(), a))
        })
        .collect();
    out.sort_by_key(|(cost, r, a)| (*cost, std::cmp::Reverse(*r), *a));
    out.into_iter().map(|x| x.2).collect()
}

/// Orders for a machine in answer to its newest report. Notes the starts it sends.
pub fn orders(view: &mut View, rules: &Rules, mix: MachineIx) -> Vec<Order> {
    let Some(m) = view.machine(mix) else {
        return Vec::new();
    };
    if !rules.owns(view, m.shard) {
        return Vec::new();
    }
    let token = view.shards[m.shard.at()].rec.token;
    let mut out = Vec::new();
    let mut again = Vec::new();
    for s in &m.tasks {
        let (piece, attempt) = (s.name.to_string(), s.attempt);
        let known = s.job.map(|j| (j, &view.jobs[j.at()]));
        let here = view.placed_on(mix);
        let placed = s.job.is_some_and(|j| here.contains(&(j, s.task, attempt)));
        match (s.state, placed) {
            // An exit is forgotten only after the record has it: the worker keeps it until then.
            (TaskState::Exited, false) => {
                // Nor while a start may run late: the worker would take it for a new one.
                let late = s
                    .job
                    .is_some_and(|j| may_start_late(m, token, (j, s.task, attempt)));
                if !late {
                    out.push(Order::Forget { piece, attempt });
                }
            }
            (TaskState::Exited, true) => {
                let Some((ix, job)) = known else { continue };
                let a = (ix, s.task, attempt);
                if waits_again(job, m, a) && !may_start_late(m, token, a) {
                    out.push(Order::Forget { piece, attempt });
                    out.push(start(view, a));
                    again.push(a);
                }
            }
            (_, false) => out.push(Order::Stop {
                piece,
                attempt,
                grace_s: 0.0,
            }),
            (state, true) => {
                let Some((ix, job)) = known else { continue };
                let a = (ix, s.task, attempt);
                if !unwanted(job, m, a) {
                    continue;
                }
                let grace_s = if job.open() {
                    m.stopping.get(&a).copied().unwrap_or(0.0)
                } else {
                    0.0
                };
                if state != TaskState::Saving || grace_s == 0.0 {
                    out.push(Order::Stop {
                        piece,
                        attempt,
                        grace_s,
                    });
                }
            }
        }
    }
    let reported = m.reported;
    let missing = missing_starts(view, mix, m);
    out.extend(missing.iter().map(|a| start(view, *a)));
    for a in missing.into_iter().chain(again) {
        if let Some(m) = view.machine_mut(mix) {
            m.start_sent.insert(a, reported);
        }
    }
    out
}

fn start(view: &View, a: Attempt) -> Order {
    Order::Start {
        piece: format!("{}/{}", view.jobs[a.0.at()].id, a.1),
        attempt: a.2,
    }
}

/// Placements on a machine whose start it has not shown yet.
fn missing_starts(view: &View, mix: MachineIx, m: &Machine) -> Vec<Attempt> {
    let here = view.placed_on(mix).iter().copied();
    here.filter(|a| {
        let job = &view.jobs[a.0.at()];
        m.seen(*a).is_none() && !unwanted(job, m, *a) && !given_up(m, *a)
    })
    .collect()
}

/// Direct starts for a machine, whose next report may be seconds away.
#[derive(Debug)]
pub struct Push {
    /// Machine.
    pub machine: MachineIx,
    /// Its worker.
    pub addr: String,
    /// Token and session that the orders are bound to.
    pub token: u64,
    /// Session.
    pub session: u64,
    /// Attempts to start.
    pub attempts: Vec<Attempt>,
    /// The orders.
    pub orders: Vec<Order>,
}

/// Starts that no order has gone out for yet, on machines that no report is being answered to.
/// They are noted as possibly late until the worker has answered.
pub fn pushes(view: &mut View, rules: &Rules, now: Ms) -> Vec<Push> {
    let mut out = Vec::new();
    for i in 0..view.machines.len() {
        let mix = MachineIx::new(i);
        let Some(m) = view.machine(mix) else { continue };
        let token = view.shards[m.shard.at()].rec.token;
        let ready = rules.owns(view, m.shard)
            && m.takes(now, rules.silent_ms)
            && m.answering == 0
            && m.token == token
            && m.stamp.0 > 0
            && !m.addr.is_empty();
        if !ready {
            continue;
        }
        let (addr, session) = (m.addr.clone(), m.stamp.0);
        let late = LateStart {
            token,
            session,
            sent: now,
        };
        let attempts: Vec<Attempt> = missing_starts(view, mix, m)
            .into_iter()
            .filter(|a| !m.start_sent.contains_key(a) && !m.late_starts.contains_key(a))
            .collect();
        if attempts.is_empty() {
            continue;
        }
        let orders = attempts.iter().map(|a| start(view, *a)).collect();
        if let Some(m) = view.machine_mut(mix) {
            m.late_starts.extend(attempts.iter().map(|a| (*a, late)));
        }
        out.push(Push {
            machine: mix,
            addr,
            token,
            session,
            attempts,
            orders,
        });
    }
    out
}

/// Attempts that should leave a machine that goes, with the time to save.
pub fn on_notice(view: &View, mix: MachineIx) -> Vec<(Attempt, f64)> {
    let Some(m) = view.machine(mix).filter(|m| m.leaves.is_some()) else {
        return Vec::new();
    };
    m.tasks
        .iter()
        .filter_map(|t| {
            let ix = t.job?;
            let s = view.jobs[ix.at()].spec.as_ref()?;
            let saves = s.wire.checkpoint_s > 0.0 && t.state == TaskState::Running;
            let moves = s.wire.shape == Shape::Service || t.state == TaskState::Fetching;
            (saves || moves).then_some(((ix, t.task, t.attempt), s.wire.save_s + 1.0))
        })
        .collect()
}
