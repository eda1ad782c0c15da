//! The planning duty: passes, their commits, and the pull between controllers.

use crate::coordination::controller::{wall_ms, Direct, Node};
use crate::coordination::kv::Outcome;
use crate::coordination::reconciliation;
use crate::coordination::replication;
use crate::coordination::scheduler::bin_packing;
use crate::coordination::scheduler::claims;
use crate::coordination::scheduler::commands;
use crate::coordination::scheduler::commands::{Push, Pushed};
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::preemption;
use crate::coordination::scheduler::quota;
use crate::protocol::peers::{Ask, Reply, TaskRef};
use crate::protocol::workers::{Commands, Report};
use crate::state::job::Placement;
use crate::state::machine::Machine;
use crate::state::names::{Index, JobIx, MachineIx, ShardIx};
use crate::state::units::Ms;
use crate::transport::http::{jittered, Client};
use crate::transport::{pause, TransportError};
use http_types::Method;
use standby::failover::Refusal;
use std::collections::HashMap;
use std::rc::Rc;

/// Passes in a row before others get a turn.
const PASSES: usize = 12;
const PEER_MS: u64 = 800;
const WORKER_MS: u64 = 2000;

/// How scarce changes are: what all nodes write, by the watch, against the limit they share.
///
/// Arrays make most of it, a claim and an end for each task. The nearer the limit, the longer
/// these are gathered, so that one change of a record tells of several; what is urgent, gangs
/// and services don't wait.
#[derive(Default)]
pub struct Changes {
    seen: u64,
    at: Ms,
    a_second: f64,
    gathered: Ms,
    window_ms: u64,
}

/// Part of the limit on changes from which on they are gathered.
const SPARE_PART: f64 = 0.5;
/// Longest time that ends and claims of arrays are gathered. A job's end is written at once by
/// the node that sees it whole, and no later than this by others.
const GATHER_MS: f64 = 1000.0;

impl Changes {
    /// True if arrays' small news should wait for more of it; `total` counts all changes seen.
    pub fn defer(&mut self, now: Ms, total: u64, limit: f64) -> bool {
        let span = now.since(self.at);
        if span >= 1000 {
            let rate = total.saturating_sub(self.seen) as f64 * 1000.0 / span as f64;
            // Smoothed over a few seconds.
            self.a_second += (rate - self.a_second) * 0.4;
            self.seen = total;
            self.at = now;
            let part = self.a_second / limit.max(0.1);
            let full = (part - SPARE_PART) / (0.9 - SPARE_PART);
            self.window_ms = (full.clamp(0.0, 1.0) * GATHER_MS) as u64;
        }
        if now.since(self.gathered) < self.window_ms {
            return true;
        }
        self.gathered = now;
        false
    }
    /// How long the planner may sleep.
    pub fn wait_ms(&self, now: Ms) -> u64 {
        match self.window_ms {
            0 => IDLE_MS,
            w => w
                .saturating_sub(now.since(self.gathered))
                .clamp(20, IDLE_MS),
        }
    }
}

/// Jobs cancelled with others that are written down at a time, and the time between.
const CASCADES: usize = 2;
const CASCADE_MS: u64 = 1000;

/// Longest sleep of the planner.
const IDLE_MS: u64 = 700;

/// Time between two lowerings of unused shares.
const LOWER_MS: u64 = 2000;

/// When the parts of a pass that are not made each time were made last.
#[derive(Default)]
struct Occasional {
    lowered: Ms,
    cascaded: Ms,
}

/// Duty: plans whenever something changed, and now and then.
pub async fn run(node: Rc<Node>) {
    let mut occasional = Occasional::default();
    let mut last_poll: HashMap<MachineIx, (u64, u64)> = HashMap::new();
    let mut changes = Changes::default();
    loop {
        node.plan.notified(changes.wait_ms(node.now())).await;
        if !node.cluster.borrow().loaded {
            continue;
        }
        let waiters = node.plan.take_waiters();
        let limit = node.config.limits(&node.cluster.borrow()).write_rps;
        let defer = changes.defer(node.now(), node.cluster.borrow().changes, limit);
        let lowered_before = occasional.lowered;
        let mut idle = Vec::new();
        for _ in 0..PASSES {
            let draft;
            (draft, idle) = draft_pass(&node, defer, &mut occasional);
            if draft.is_empty() || !commit_pass(&node, &draft).await {
                break;
            }
        }
        for w in waiters {
            let _ = w.try_send(true);
        }
        if occasional.lowered != lowered_before {
            last_poll.retain(|m, _| node.cluster.borrow().machine(*m).is_some());
        }
        node.metrics.time("- pushes", || push_starts(&node));
        node.metrics
            .time("- pulls", || pull(&node, &idle, &mut last_poll));
    }
}

/// What one pass changes, and the machines that found nothing in it.
fn draft_pass(
    node: &Node,
    defer: bool,
    occasional: &mut Occasional,
) -> (DraftTransaction, Vec<MachineIx>) {
    let now = node.now();
    let permits = node.permits();
    let cluster = node.cluster.borrow();
    let (config, metrics) = (&node.config, &node.metrics);
    let mut draft = DraftTransaction::deferring(defer, wall_ms());
    if now.since(occasional.cascaded) >= CASCADE_MS {
        occasional.cascaded = now;
        draft.cascades = CASCADES;
    }
    metrics.time("- settle", || {
        reconciliation::settle(&cluster, config, &permits, &mut draft, now);
    });
    let idle = metrics.time("- claim", || {
        claims::claim(&cluster, config, &permits, &mut draft, now, wall_ms())
    });
    if now.since(occasional.lowered) > LOWER_MS {
        quota::lower_shares(&cluster, config, &permits, &mut draft);
        occasional.lowered = now;
    }
    (draft, idle)
}

/// Commits what a pass changes; true if another pass should follow at once.
async fn commit_pass(node: &Rc<Node>, draft: &DraftTransaction) -> bool {
    let told = claims_told(node, draft);
    let ended = replication::ended(node, draft);
    let (jobs, claims) = (draft.jobs.len(), draft.claims.len());
    match node.commit_draft(draft).await {
        Outcome::Done(revision) => {
            log::debug!("committed at {revision}: {jobs} jobs, {claims} claims");
            replication::note_committed(node, draft, ended, revision);
            for line in told {
                log::debug!("{line}");
            }
            // What was ready is done; the next pass is for what comes next.
            draft.cut
        }
        Outcome::Conflict(keys) => {
            log::debug!("conflict on {keys:?}");
            note_refused_tokens(node, draft, &keys);
            node.refreshed(1500).await;
            true
        }
        Outcome::Refused(status) => {
            log::debug!("state service refused with {status}");
            pause(jittered(150)).await;
            false
        }
        Outcome::Unknown => {
            log::warn!("no answer to a transaction on {jobs} jobs, reading before going on");
            node.refreshed(1500).await;
            false
        }
    }
}

/// Shards whose record has another version than the draft rests on: their tokens are refused.
fn note_refused_tokens(node: &Node, draft: &DraftTransaction, keys: &[String]) {
    for (shard, token) in draft.shards() {
        let key = node.cluster.borrow().shard_key(*shard);
        if keys.contains(&key) {
            node.token_refused(*shard, Refusal::StateService { token: *token });
        }
    }
}

/// Which tasks a draft claims, for which machine, and how long after their job came.
fn claims_told(node: &Node, draft: &DraftTransaction) -> Vec<String> {
    if !log::log_enabled!(log::Level::Debug) {
        return Vec::new();
    }
    let cluster = node.cluster.borrow();
    let line = |(ix, p): &(JobIx, Placement)| {
        let job = &cluster.jobs[ix.at()];
        let (spec, m) = (job.spec.as_ref()?, cluster.machine(p.machine)?);
        Some(format!(
            "claim {}/{} attempt {} ({}, {} tasks) on {} ({}, spot: {}, image there: {}) after {} ms",
            job.id,
            p.task,
            p.attempt,
            spec.wire.class,
            spec.tasks(),
            m.name,
            cluster.machine_type_names.name(m.machine_type),
            m.spot,
            m.has_image(spec.image),
            wall_ms().saturating_sub(job.dependency_state.since)
        ))
    };
    draft.claims.iter().filter_map(line).collect()
}

/// Sends starts that can't wait for the next report.
fn push_starts(node: &Rc<Node>) {
    let mut slots: Vec<Direct> = Vec::new();
    // What finds no place goes out with the answer to the machine's next report.
    let mut place = || node.direct().map(|slot| slots.push(slot)).is_some();
    let permits = node.permits();
    let pushes = commands::pushes(
        &mut node.cluster.borrow_mut(),
        &node.config,
        &permits,
        node.now(),
        &mut place,
    );
    for (p, slot) in pushes.into_iter().zip(slots) {
        let push = push(node.clone(), p);
        node.ex
            .spawn(async move {
                push.await;
                drop(slot);
            })
            .detach();
    }
}

async fn push(node: Rc<Node>, p: Push) {
    let Ok(addr) = p.addr.parse() else { return };
    let commands = Commands {
        token: p.token,
        session: p.session,
        orders: p.orders.clone(),
    };
    let Ok(body) = rmp_serde::to_vec_named(&commands) else {
        return;
    };
    let client = Client::new(addr);
    let sent = client
        .call(Method::Post, "/commands", body, WORKER_MS)
        .await;
    let unsent = matches!(sent, Err(TransportError::Connect(_)));
    let answer = sent.ok().filter(|f| matches!(f.status, 200 | 409));
    let how = match &answer {
        Some(f) if f.status == 200 => Pushed::Executed,
        Some(_) => Pushed::Refused,
        None if unsent => Pushed::Refused,
        None => Pushed::Unknown,
    };
    if how == Pushed::Unknown {
        // It may run minutes later: the token of this shard has to be raised.
        log::info!("no answer to direct starts at {}", p.addr);
    }
    if answer.is_some() {
        node.heard_worker();
    }
    let mut cluster = node.cluster.borrow_mut();
    commands::note_pushed(&mut cluster, &p, how);
    let report = answer.and_then(|f| rmp_serde::from_slice::<Report>(&f.body).ok());
    if let Some(r) = report {
        crate::coordination::heartbeats::take(&mut cluster, p.machine, &r, node.now(), None);
    }
}

/// Idle machines poll a few random others, once for each of their reports.
fn pull(node: &Rc<Node>, idle: &[MachineIx], last: &mut HashMap<MachineIx, (u64, u64)>) {
    // Machines with queues, looked up once for all that poll now.
    let mut queues: Option<Vec<(MachineIx, usize)>> = None;
    for mix in idle {
        let (stamp, chosen) = {
            let cluster = node.cluster.borrow();
            let Some(m) = cluster.machine(*mix) else {
                continue;
            };
            if last.get(mix) == Some(&m.stamp) {
                continue;
            }
            let queues = queues.get_or_insert_with(|| {
                let waits = |o: &Machine| !o.queue.is_empty() || o.queued_elsewhere > 0;
                let with = cluster.all_machines().filter(|(_, o)| waits(o));
                with.map(|(ix, o)| (ix, o.shard.at())).collect()
            });
            let others = queues.iter().copied().filter(|(ix, _)| ix != mix);
            (
                m.stamp,
                fastrand::choose_multiple(others, node.operator.polls),
            )
        };
        last.insert(*mix, stamp);
        let mut remote: HashMap<String, Vec<String>> = HashMap::new();
        let mut found = false;
        for (other, shard) in chosen {
            let owner = node.cluster.borrow().shards[shard].rec.owner.clone();
            if owner == node.config.node {
                found = found || hand_over(node, other, *mix, true).is_some();
            } else {
                let name = node.cluster.borrow().machine_names.name(other).to_string();
                remote.entry(owner).or_default().push(name);
            }
            if found {
                break;
            }
        }
        if found {
            node.plan.notify();
            continue;
        }
        for (owner, machines) in remote {
            let (node, mix) = (node.clone(), *mix);
            node.ex
                .clone()
                .spawn(poll_peer(node, owner, machines, mix))
                .detach();
        }
    }
}

async fn poll_peer(node: Rc<Node>, owner: String, machines: Vec<String>, mix: MachineIx) {
    let idle = node.cluster.borrow().machine_names.name(mix).to_string();
    let Some(peer) = node.peer(&owner) else {
        return;
    };
    if let Ok(Reply::Task(Some(t))) = peer
        .client
        .ask(&Ask::Poll { idle, machines }, PEER_MS)
        .await
    {
        if enqueue(&node, mix, &t, true) {
            node.plan.notify();
        }
    }
}

/// Takes the first head of `other`'s queue that fits the idle machine. The giver
/// drops it from its queue; should it be lost on the way, it is unbound again, since
/// the job's record alone says what has been started.
pub fn hand_over(node: &Node, other: MachineIx, idle: MachineIx, local: bool) -> Option<TaskRef> {
    let now = node.now();
    let permits = node.permits();
    let found = {
        let cluster = node.cluster.borrow();
        let giver = cluster.machine(other)?.shard;
        node.config.permit(&cluster, &permits, giver)?;
        let m = cluster.machine(idle)?;
        let room = cluster.free_on(idle)?;
        let queue = &cluster.machine(other)?.queue;
        queue.iter().position(|(ix, task, _)| {
            let j = &cluster.jobs[ix.at()];
            j.waits(*task)
                && j.spec.as_ref().is_some_and(|s| {
                    s.need.fits(room) && bin_packing::allowed(&cluster, j, *ix, s, idle, m)
                })
        })?
    };
    let mut cluster = node.cluster.borrow_mut();
    let (ix, task, _) = cluster.machine_mut(other)?.queue.remove(found)?;
    if local {
        cluster.machine_mut(idle)?.queue.push_front((ix, task, now));
    }
    let job = cluster.jobs[ix.at()].id.to_string();
    Some(TaskRef { job, task })
}

/// Puts a task into an owned machine's queue; false if it does not wait or the queue is full.
pub fn enqueue(node: &Node, mix: MachineIx, t: &TaskRef, front: bool) -> bool {
    let now = node.now();
    let mut cluster = node.cluster.borrow_mut();
    let Some((ix, job)) = cluster.job(&t.job) else {
        return false;
    };
    if !job.waits(t.task) {
        return false;
    }
    // A free machine may take a few tasks at once; the cap is for those that wait.
    let cap = node.operator.queue_cap.max(8);
    let Some(m) = cluster.machine_mut(mix) else {
        return false;
    };
    if m.queue.len() >= cap || m.queue.iter().any(|q| (q.0, q.1) == (ix, t.task)) {
        return false;
    }
    if front {
        m.queue.push_front((ix, t.task, now));
    } else {
        m.queue.push_back((ix, t.task, now));
    }
    true
}

/// Tasks bound in one frame: a wide job's tasks would make a frame that is refused.
const BOUND_TASKS: usize = 500;

/// What tells an owner of tasks bound to its machines, in as many frames as it takes.
pub fn bind_frames(tasks: &[(String, TaskRef)]) -> Vec<Ask> {
    let frame = |tasks: &[(String, TaskRef)]| Ask::Bind {
        tasks: tasks.to_vec(),
    };
    tasks.chunks(BOUND_TASKS).map(frame).collect()
}

/// Binds the tasks of a job just accepted here to machines, wherever their queues are.
pub fn bind_job(node: &Rc<Node>, ix: JobIx) {
    let bound = claims::bind(
        &node.cluster.borrow(),
        &node.config,
        ix,
        node.now(),
        wall_ms(),
    );
    let mut remote: HashMap<String, Vec<(String, TaskRef)>> = HashMap::new();
    for (task, mix) in bound {
        let (job, owner, name) = {
            let cluster = node.cluster.borrow();
            let Some(m) = cluster.machine(mix) else {
                continue;
            };
            let owner = cluster.shards[m.shard.at()].rec.owner.clone();
            (
                cluster.jobs[ix.at()].id.to_string(),
                owner,
                m.name.to_string(),
            )
        };
        let t = TaskRef { job, task };
        if owner == node.config.node {
            enqueue(node, mix, &t, false);
        } else {
            remote.entry(owner).or_default().push((name, t));
        }
    }
    node.plan.notify();
    for (owner, tasks) in remote {
        let node = node.clone();
        node.ex
            .clone()
            .spawn(async move {
                let Some(peer) = node.peer(&owner) else {
                    return;
                };
                for ask in bind_frames(&tasks) {
                    if peer.client.ask(&ask, PEER_MS).await.is_err() {
                        break;
                    }
                }
            })
            .detach();
    }
}

/// Time a shard has for its turn at preemption.
const TURN_MS: u64 = 2000;

/// Marks work to be stopped for work of a higher priority.
pub fn make_room(node: &Node) {
    let (now, wall) = (node.now(), wall_ms());
    let permits = node.permits();
    let mut cluster = node.cluster.borrow_mut();
    let turn = ShardIx::new((wall / TURN_MS) as usize % (cluster.shards.len() - 1));
    for (mix, a, grace) in preemption::preempt(&cluster, &node.config, &permits, turn, now, wall) {
        log::info!(
            "{}/{} on {} makes room for work of a higher priority",
            cluster.jobs[a.0.at()].id,
            a.1,
            cluster.machine_names.name(mix)
        );
        if let Some(m) = cluster.machine_mut(mix) {
            m.stopping.insert(a, grace);
        }
    }
}

/// Drops queue entries that no longer wait.
pub fn sweep_queues(node: &Node) {
    let mut cluster = node.cluster.borrow_mut();
    let cluster = &mut *cluster;
    for m in cluster.machines.iter_mut().flatten() {
        m.queue.retain(|(ix, t, _)| cluster.jobs[ix.at()].waits(*t));
    }
}
