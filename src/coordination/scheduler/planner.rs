//! The planning duty: passes, their commits, and the pull between controllers.

use crate::coordination::controller::{wall_ms, Controller, Direct};
use crate::coordination::kv::CommitOutcome;
use crate::coordination::reconciliation;
use crate::coordination::replication;
use crate::coordination::scheduler::bin_packing;
use crate::coordination::scheduler::claims;
use crate::coordination::scheduler::commands;
use crate::coordination::scheduler::commands::{DirectStart, DirectStartOutcome};
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::preemption;
use crate::coordination::scheduler::quota;
use crate::protocol::peers::{PeerRequest, PeerResponse, TaskRef};
use crate::protocol::workers::{DirectCommands, Heartbeat, HeartbeatVersion};
use crate::state::job::Placement;
use crate::state::machine::Machine;
use crate::state::names::{Index, JobIndex, MachineIndex, ShardIndex};
use crate::state::units::MonotonicMillis;
use crate::transport::http::{jittered, Client};
use crate::transport::{pause, TransportError};
use http_types::Method;
use standby::failover::Refusal;
use standby::ids::Revision;
use std::collections::HashMap;
use std::rc::Rc;

/// Passes in a row before others get a turn.
const MAX_PASSES: usize = 12;
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
    at: MonotonicMillis,
    a_second: f64,
    gathered: MonotonicMillis,
    window_ms: u64,
}

/// Part of the limit on changes from which on they are gathered.
const SPARE_PART: f64 = 0.5;
/// Longest time that ends and claims of arrays are gathered. A job's end is written at once by
/// the node that sees it whole, and no later than this by others.
const BATCH_WINDOW_MS: f64 = 1000.0;

impl Changes {
    /// True if arrays' small news should wait for more of it; `total` counts all changes seen.
    pub fn defer(&mut self, now: MonotonicMillis, total: u64, limit: f64) -> bool {
        let span = now.since(self.at);
        if span >= 1000 {
            let rate = total.saturating_sub(self.seen) as f64 * 1000.0 / span as f64;
            // Smoothed over a few seconds.
            self.a_second += (rate - self.a_second) * 0.4;
            self.seen = total;
            self.at = now;
            let part = self.a_second / limit.max(0.1);
            let full = (part - SPARE_PART) / (0.9 - SPARE_PART);
            self.window_ms = (full.clamp(0.0, 1.0) * BATCH_WINDOW_MS) as u64;
        }
        if now.since(self.gathered) < self.window_ms {
            return true;
        }
        self.gathered = now;
        false
    }
    /// How long the planner may sleep.
    pub fn wait_ms(&self, now: MonotonicMillis) -> u64 {
        match self.window_ms {
            0 => IDLE_MS,
            w => w
                .saturating_sub(now.since(self.gathered))
                .clamp(20, IDLE_MS),
        }
    }
}

/// Jobs cancelled with others that are written down at a time, and the time between.
const CASCADES_PER_PASS: usize = 2;
const CASCADE_INTERVAL_MS: u64 = 1000;

/// Longest sleep of the planner.
const IDLE_MS: u64 = 700;

/// Time between two lowerings of unused shares.
const QUOTA_LOWERING_INTERVAL_MS: u64 = 2000;

/// When the parts of a pass that are not made each time were made last.
#[derive(Default)]
struct PeriodicSteps {
    lowered: MonotonicMillis,
    cascaded: MonotonicMillis,
}

/// Duty: plans whenever something changed, and now and then.
pub async fn run(controller: Rc<Controller>) {
    let mut occasional = PeriodicSteps::default();
    let mut last_poll: HashMap<MachineIndex, HeartbeatVersion> = HashMap::new();
    let mut changes = Changes::default();
    loop {
        controller
            .scheduling
            .notified(changes.wait_ms(controller.now()))
            .await;
        if !controller.cluster.borrow().loaded {
            continue;
        }
        let waiters = controller.scheduling.take_waiters();
        let limit = controller
            .config
            .limits(&controller.cluster.borrow())
            .write_rps;
        let defer = changes.defer(controller.now(), controller.cluster.borrow().changes, limit);
        let lowered_before = occasional.lowered;
        let mut idle = Vec::new();
        for _ in 0..MAX_PASSES {
            let draft;
            (draft, idle) = draft_pass(&controller, defer, &mut occasional);
            if draft.is_empty() || !commit_pass(&controller, &draft).await {
                break;
            }
        }
        for w in waiters {
            let _ = w.try_send(true);
        }
        if occasional.lowered != lowered_before {
            last_poll.retain(|m, _| controller.cluster.borrow().machine(*m).is_some());
        }
        controller
            .metrics
            .time("- pushes", || send_direct_starts(&controller));
        controller
            .metrics
            .time("- pulls", || pull(&controller, &idle, &mut last_poll));
    }
}

/// What one pass changes, and the machines that found nothing in it.
fn draft_pass(
    controller: &Controller,
    defer: bool,
    occasional: &mut PeriodicSteps,
) -> (DraftTransaction, Vec<MachineIndex>) {
    let now = controller.now();
    let permits = controller.permits();
    let cluster = controller.cluster.borrow();
    let (config, metrics) = (&controller.config, &controller.metrics);
    let mut draft = DraftTransaction::batching(defer, wall_ms());
    if now.since(occasional.cascaded) >= CASCADE_INTERVAL_MS {
        occasional.cascaded = now;
        draft.cascade_budget = CASCADES_PER_PASS;
    }
    metrics.time("- settle", || {
        reconciliation::reconcile(&cluster, config, &permits, &mut draft, now);
    });
    let idle = metrics.time("- claim", || {
        claims::claim(&cluster, config, &permits, &mut draft, now, wall_ms())
    });
    if now.since(occasional.lowered) > QUOTA_LOWERING_INTERVAL_MS {
        quota::lower_unused_quota(&cluster, config, &permits, &mut draft);
        occasional.lowered = now;
    }
    (draft, idle)
}

/// Commits what a pass changes; true if another pass should follow at once.
async fn commit_pass(controller: &Rc<Controller>, draft: &DraftTransaction) -> bool {
    let told = describe_claims(controller, draft);
    let ended = replication::ended_attempts(controller, draft);
    let (jobs, claims) = (draft.jobs.len(), draft.claims.len());
    match controller.commit_draft(draft).await {
        CommitOutcome::Committed(revision) => {
            log::debug!("committed at {revision}: {jobs} jobs, {claims} claims");
            replication::publish_committed(controller, draft, ended, Revision(revision));
            for line in told {
                log::debug!("{line}");
            }
            // What was ready is done; the next pass is for what comes next.
            draft.truncated
        }
        CommitOutcome::Conflict(keys) => {
            log::debug!("conflict on {keys:?}");
            report_stale_tokens(controller, draft, &keys);
            controller.refresh(1500).await;
            true
        }
        CommitOutcome::Refused(status) => {
            log::debug!("state service refused with {status}");
            pause(jittered(150)).await;
            false
        }
        CommitOutcome::Unknown => {
            log::warn!("no answer to a transaction on {jobs} jobs, reading before going on");
            controller.refresh(1500).await;
            false
        }
    }
}

/// Shards whose record has another version than the draft rests on: their tokens are refused.
fn report_stale_tokens(controller: &Controller, draft: &DraftTransaction, keys: &[String]) {
    for (shard, token) in draft.shards() {
        let key = controller.cluster.borrow().shard_key(*shard);
        if keys.contains(&key) {
            controller.token_refused(
                *shard,
                Refusal::KeyValueStore {
                    fencing_token: *token,
                },
            );
        }
    }
}

/// Which tasks a draft claims, for which machine, and how long after their job came.
fn describe_claims(controller: &Controller, draft: &DraftTransaction) -> Vec<String> {
    if !log::log_enabled!(log::Level::Debug) {
        return Vec::new();
    }
    let cluster = controller.cluster.borrow();
    let line = |(ix, p): &(JobIndex, Placement)| {
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
            wall_ms().saturating_sub(job.dependency_state.eligible_since)
        ))
    };
    draft.claims.iter().filter_map(line).collect()
}

/// Sends starts that can't wait for the next report.
fn send_direct_starts(controller: &Rc<Controller>) {
    let mut slots: Vec<Direct> = Vec::new();
    // What finds no place goes out with the answer to the machine's next report.
    let mut place = || {
        controller
            .acquire_worker_connection()
            .map(|slot| slots.push(slot))
            .is_some()
    };
    let permits = controller.permits();
    let direct_starts = commands::direct_starts(
        &mut controller.cluster.borrow_mut(),
        &controller.config,
        &permits,
        controller.now(),
        &mut place,
    );
    for (p, slot) in direct_starts.into_iter().zip(slots) {
        let push = push(controller.clone(), p);
        controller
            .executor
            .spawn(async move {
                push.await;
                drop(slot);
            })
            .detach();
    }
}

async fn push(controller: Rc<Controller>, p: DirectStart) {
    let Ok(addr) = p.addr.parse() else { return };
    let commands = DirectCommands {
        fencing_token: p.fencing_token,
        agent_epoch: p.agent_epoch,
        commands: p.commands.clone(),
    };
    let Ok(body) = rmp_serde::to_vec_named(&commands) else {
        return;
    };
    let client = Client::new(addr);
    let sent = client
        .call(Method::Post, "/commands", body, WORKER_MS)
        .await;
    let unsent = matches!(sent, Err(TransportError::Connect { .. }));
    let answer = sent.ok().filter(|f| matches!(f.status, 200 | 409));
    let how = match &answer {
        Some(f) if f.status == 200 => DirectStartOutcome::Executed,
        Some(_) => DirectStartOutcome::Refused,
        None if unsent => DirectStartOutcome::Refused,
        None => DirectStartOutcome::Unknown,
    };
    if how == DirectStartOutcome::Unknown {
        // It may run minutes later: the token of this shard has to be raised.
        log::info!("no answer to direct starts at {}", p.addr);
    }
    if answer.is_some() {
        controller.record_worker_contact();
    }
    let mut cluster = controller.cluster.borrow_mut();
    commands::record_direct_start_outcome(&mut cluster, &p, how);
    let report = answer.and_then(|f| rmp_serde::from_slice::<Heartbeat>(&f.body).ok());
    if let Some(r) = report {
        crate::coordination::heartbeats::take(&mut cluster, p.machine, &r, controller.now(), None);
    }
}

/// Idle machines poll a few random others, once for each of their reports.
fn pull(
    controller: &Rc<Controller>,
    idle: &[MachineIndex],
    last: &mut HashMap<MachineIndex, HeartbeatVersion>,
) {
    // Machines with queues, looked up once for all that poll now.
    let mut queues: Option<Vec<(MachineIndex, usize)>> = None;
    for machine_index in idle {
        let (stamp, chosen) = {
            let cluster = controller.cluster.borrow();
            let Some(m) = cluster.machine(*machine_index) else {
                continue;
            };
            if last.get(machine_index) == Some(&m.message_version) {
                continue;
            }
            let queues = queues.get_or_insert_with(|| {
                let waits = |o: &Machine| !o.queue.is_empty() || o.owner_queue_length > 0;
                let with = cluster.all_machines().filter(|(_, o)| waits(o));
                with.map(|(ix, o)| (ix, o.shard.at())).collect()
            });
            let others = queues.iter().copied().filter(|(ix, _)| ix != machine_index);
            (
                m.message_version,
                fastrand::choose_multiple(others, controller.operator.polls),
            )
        };
        last.insert(*machine_index, stamp);
        let mut remote: HashMap<String, Vec<String>> = HashMap::new();
        let mut found = false;
        for (other, shard) in chosen {
            let owner = controller.cluster.borrow().shards[shard]
                .record
                .owner
                .clone();
            if owner == controller.config.controller_name {
                found = found || hand_over(controller, other, *machine_index, true).is_some();
            } else {
                let name = controller
                    .cluster
                    .borrow()
                    .machine_names
                    .name(other)
                    .to_string();
                remote.entry(owner).or_default().push(name);
            }
            if found {
                break;
            }
        }
        if found {
            controller.scheduling.notify();
            continue;
        }
        for (owner, machines) in remote {
            let (controller, machine_index) = (controller.clone(), *machine_index);
            controller
                .executor
                .clone()
                .spawn(poll_peer(controller, owner, machines, machine_index))
                .detach();
        }
    }
}

async fn poll_peer(
    controller: Rc<Controller>,
    owner: String,
    machines: Vec<String>,
    machine_index: MachineIndex,
) {
    let idle = controller
        .cluster
        .borrow()
        .machine_names
        .name(machine_index)
        .to_string();
    let Some(peer) = controller.peer(&owner) else {
        return;
    };
    if let Ok(PeerResponse::StolenTask(Some(t))) = peer
        .client
        .ask(
            &PeerRequest::StealWork {
                idle_machine: idle,
                machines,
            },
            PEER_MS,
        )
        .await
    {
        if enqueue(&controller, machine_index, &t, true) {
            controller.scheduling.notify();
        }
    }
}

/// Takes the first head of `other`'s queue that fits the idle machine. The giver
/// drops it from its queue; should it be lost on the way, it is unbound again, since
/// the job's record alone says what has been started.
pub fn hand_over(
    controller: &Controller,
    other: MachineIndex,
    idle: MachineIndex,
    local: bool,
) -> Option<TaskRef> {
    let now = controller.now();
    let permits = controller.permits();
    let found = {
        let cluster = controller.cluster.borrow();
        let giver = cluster.machine(other)?.shard;
        controller.config.permit(&cluster, &permits, giver)?;
        let m = cluster.machine(idle)?;
        let room = cluster.free_on(idle)?;
        let queue = &cluster.machine(other)?.queue;
        queue.iter().position(|(ix, task, _)| {
            let j = &cluster.jobs[ix.at()];
            j.is_waiting(*task)
                && j.spec.as_ref().is_some_and(|s| {
                    s.need.fits(room) && bin_packing::allowed(&cluster, j, *ix, s, idle, m)
                })
        })?
    };
    let mut cluster = controller.cluster.borrow_mut();
    let (ix, task, _) = cluster.machine_mut(other)?.queue.remove(found)?;
    if local {
        cluster.machine_mut(idle)?.queue.push_front((ix, task, now));
    }
    let job = cluster.jobs[ix.at()].id.to_string();
    Some(TaskRef { job, task })
}

/// Puts a task into an owned machine's queue; false if it does not wait or the queue is full.
pub fn enqueue(
    controller: &Controller,
    machine_index: MachineIndex,
    t: &TaskRef,
    front: bool,
) -> bool {
    let now = controller.now();
    let mut cluster = controller.cluster.borrow_mut();
    let Some((ix, job)) = cluster.job(&t.job) else {
        return false;
    };
    if !job.is_waiting(t.task) {
        return false;
    }
    // A free machine may take a few tasks at once; the cap is for those that wait.
    let cap = controller.operator.queue_cap.max(8);
    let Some(m) = cluster.machine_mut(machine_index) else {
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
const TASKS_PER_BIND: usize = 500;

/// What tells an owner of tasks bound to its machines, in as many frames as it takes.
pub fn bind_requests(tasks: &[(String, TaskRef)]) -> Vec<PeerRequest> {
    let frame = |tasks: &[(String, TaskRef)]| PeerRequest::Bind {
        tasks: tasks.to_vec(),
    };
    tasks.chunks(TASKS_PER_BIND).map(frame).collect()
}

/// Binds the tasks of a job just accepted here to machines, wherever their queues are.
pub fn bind_job(controller: &Rc<Controller>, ix: JobIndex) {
    let bound = claims::bind(
        &controller.cluster.borrow(),
        &controller.config,
        ix,
        controller.now(),
        wall_ms(),
    );
    let mut remote: HashMap<String, Vec<(String, TaskRef)>> = HashMap::new();
    for (task, machine_index) in bound {
        let (job, owner, name) = {
            let cluster = controller.cluster.borrow();
            let Some(m) = cluster.machine(machine_index) else {
                continue;
            };
            let owner = cluster.shards[m.shard.at()].record.owner.clone();
            (
                cluster.jobs[ix.at()].id.to_string(),
                owner,
                m.name.to_string(),
            )
        };
        let t = TaskRef { job, task };
        if owner == controller.config.controller_name {
            enqueue(controller, machine_index, &t, false);
        } else {
            remote.entry(owner).or_default().push((name, t));
        }
    }
    controller.scheduling.notify();
    for (owner, tasks) in remote {
        let controller = controller.clone();
        controller
            .executor
            .clone()
            .spawn(async move {
                let Some(peer) = controller.peer(&owner) else {
                    return;
                };
                for ask in bind_requests(&tasks) {
                    if peer.client.ask(&ask, PEER_MS).await.is_err() {
                        break;
                    }
                }
            })
            .detach();
    }
}

/// Time a shard has for its turn at preemption.
const PREEMPTION_TURN_MS: u64 = 2000;

/// Marks work to be stopped for work of a higher priority.
pub fn preempt_for_waiting(controller: &Controller) {
    let (now, wall) = (controller.now(), wall_ms());
    let permits = controller.permits();
    let mut cluster = controller.cluster.borrow_mut();
    let turn = ShardIndex::new((wall / PREEMPTION_TURN_MS) as usize % (cluster.shards.len() - 1));
    for (machine_index, a, grace) in
        preemption::preempt(&cluster, &controller.config, &permits, turn, now, wall)
    {
        log::info!(
            "{}/{} on {} makes room for work of a higher priority",
            cluster.jobs[a.job.at()].id,
            a.task,
            cluster.machine_names.name(machine_index)
        );
        if let Some(m) = cluster.machine_mut(machine_index) {
            m.stopping.insert(a, grace);
        }
    }
}

/// Drops queue entries that no longer wait.
pub fn prune_queues(controller: &Controller) {
    let mut cluster = controller.cluster.borrow_mut();
    let cluster = &mut *cluster;
    for m in cluster.machines.iter_mut().flatten() {
        m.queue
            .retain(|(ix, t, _)| cluster.jobs[ix.at()].is_waiting(*t));
    }
}
