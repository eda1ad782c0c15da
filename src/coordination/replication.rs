//! Streams between owners of shards and their standbys.
//!
//! What an owner knows beyond the records, its queues and the machines it keeps free for gangs, is
//! told to the standby of each shard, so that a takeover goes on with it. It is a hint like the
//! queues themselves: nothing starts or ends by it, and a takeover without it is as safe.

use crate::coordination::controller::Controller;
use crate::coordination::peer_messages::GANG_RESERVATION_MS;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::protocol::peers::{PeerRequest, PeerResponse, ShardStatus};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::MonotonicMillis;
use standby::follower::Follower;
use standby::ids::FencingToken;
use standby::ids::ShardId;
use standby::message::{Answer, Decision, MachineState, Message, QueuedTask};
use standby::permit::Permits;
use standby::publisher::{Publisher, StreamLimits};
use standby::replica_state::ReplicaState;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// Time between two looks at what is new.
const STREAM_MS: u64 = 500;
/// Turns between two lines in the log.
const UTILIZATION_LOG_ROUNDS: u64 = 30;
/// Time for an answer.
const ANSWER_MS: u64 = 2000;
/// Time after which a standby that did not answer is tried again.
const AGAIN_MS: u64 = 2000;
/// Messages to one standby in a row.
const MESSAGES: usize = 8;

/// The stream of an owned shard.
struct Stream {
    publisher: Publisher,
    /// The standby that it goes to.
    to: String,
    /// Messages are being sent right now.
    busy: bool,
    /// Nothing is sent before this: the standby did not answer.
    not_before: MonotonicMillis,
}

/// Streams to and from standbys, by shard.
#[derive(Default)]
pub struct Replication {
    published: BTreeMap<ShardIndex, Stream>,
    followed: BTreeMap<ShardIndex, Follower>,
    /// Messages sent since the last line of the log that tells them.
    messages: u64,
    /// Their bytes.
    bytes: u64,
}

impl Replication {
    /// Streams of the shards that a node may decide for; others end.
    fn retain_owned(&mut self, cluster: &ClusterState, config: &SchedulerConfig, held: &Permits) {
        self.published.retain(|shard, stream| {
            let permit = config.permit(cluster, held, *shard);
            permit.is_some_and(|p| p.token() == stream.publisher.token())
        });
    }

    /// One line on all streams of this node, and a new count.
    fn line(&mut self) -> String {
        let lag = |(shard, stream): (&ShardIndex, &Stream)| {
            let lag = stream.publisher.lag();
            let lag = lag.map_or("no snapshot yet".to_string(), |n| format!("{n} behind"));
            format!("shard {} to {}: {lag}", shard.0, stream.to)
        };
        let lags: Vec<String> = self.published.iter().map(lag).collect();
        let (messages, bytes) = (self.messages, self.bytes);
        (self.messages, self.bytes) = (0, 0);
        format!("{messages} messages, {bytes} bytes; {}", lags.join(", "))
    }

    /// The stream of a shard to a standby; one that has changed begins with a snapshot.
    fn stream(&mut self, shard: ShardIndex, token: FencingToken, to: &str) -> &mut Stream {
        let stream = self.published.entry(shard).or_insert_with(|| Stream {
            publisher: Publisher::new(shard.0, token, StreamLimits::default()),
            to: to.to_string(),
            busy: false,
            not_before: MonotonicMillis(0),
        });
        if stream.to != to {
            stream.to = to.to_string();
            stream.publisher.follow_anew();
            stream.not_before = MonotonicMillis(0);
        }
        stream
    }
}

/// Duty: tells standbys what is new.
pub async fn run(controller: Rc<Controller>) {
    for turn in 1u64.. {
        controller.tick(STREAM_MS, None).await;
        if turn.is_multiple_of(UTILIZATION_LOG_ROUNDS) {
            log::debug!("streams: {}", controller.replication.borrow_mut().line());
        }
        if !controller.cluster.borrow().loaded {
            continue;
        }
        for shard in publish(&controller) {
            controller
                .executor
                .clone()
                .spawn(send(controller.clone(), shard))
                .detach();
        }
    }
}

/// Publishes what has changed of all owned shards; the shards with something to send.
fn publish(controller: &Controller) -> Vec<ShardIndex> {
    let permits = controller.permits();
    let cluster = controller.cluster.borrow();
    let standby_of = controller.standby_of.borrow();
    let mut replication = controller.replication.borrow_mut();
    replication.retain_owned(&cluster, &controller.config, &permits);
    let now = controller.now();
    let mut ready = Vec::new();
    for (shard, name) in standby_of.iter() {
        let Some(permit) = controller.config.permit(&cluster, &permits, *shard) else {
            continue;
        };
        let stream = replication.stream(*shard, permit.token(), name);
        publish_changes(&cluster, *shard, now, &mut stream.publisher);
        let lags = stream.publisher.lag() != Some(0);
        let may_send = !stream.busy && now >= stream.not_before;
        if lags && may_send && !stream.publisher.is_outranked() {
            stream.busy = true;
            ready.push(*shard);
        }
    }
    ready
}

/// Publishes the machines of a shard that have changed since they were published last.
pub fn publish_changes(
    cluster: &ClusterState,
    shard: ShardIndex,
    now: MonotonicMillis,
    publisher: &mut Publisher,
) {
    let of_shard = || cluster.all_machines().filter(|(_, m)| m.shard == shard);
    let mut changed = Vec::new();
    let (mut present, mut added) = (0, 0);
    for (_, machine) in of_shard() {
        present += 1;
        let known = publisher.shadow().machine(&machine.name);
        if known.is_some_and(|state| is_state_of(cluster, machine, now, state)) {
            continue;
        }
        added += usize::from(known.is_none());
        let state = state_of(cluster, machine, now);
        let name = machine.name.to_string();
        changed.push(Decision::Machine { name, state });
    }
    if publisher.shadow().len() + added > present {
        let names: HashSet<&str> = of_shard().map(|(_, m)| &*m.name).collect();
        let published = publisher.shadow().machines().map(|(name, _)| name);
        let gone = published.filter(|name| !names.contains(name.as_str()));
        changed.extend(gone.map(|name| Decision::Gone { name: name.clone() }));
    }
    for decision in changed {
        publisher.publish(decision);
    }
}

fn held_for<'a>(
    cluster: &'a ClusterState,
    machine: &Machine,
    now: MonotonicMillis,
) -> Option<&'a str> {
    let (gang, until) = machine.reservation?;
    (now < until).then(|| &*cluster.jobs[gang.at()].id)
}

fn state_of(cluster: &ClusterState, machine: &Machine, now: MonotonicMillis) -> MachineState {
    let queued = |(job, task, _): &(_, u32, MonotonicMillis)| QueuedTask {
        job: cluster.jobs[Index::at(*job)].id.to_string(),
        task: *task,
    };
    MachineState {
        queue: machine.queue.iter().map(queued).collect(),
        held_for: held_for(cluster, machine, now).map(str::to_string),
    }
}

/// True if a published state is the machine's now; nothing is copied for that.
fn is_state_of(
    cluster: &ClusterState,
    machine: &Machine,
    now: MonotonicMillis,
    state: &MachineState,
) -> bool {
    let same = |(queued, (job, task, _)): (&QueuedTask, &(_, u32, MonotonicMillis))| {
        queued.task == *task && *queued.job == *cluster.jobs[Index::at(*job)].id
    };
    state.held_for.as_deref() == held_for(cluster, machine, now)
        && state.queue.len() == machine.queue.len()
        && state.queue.iter().zip(&machine.queue).all(same)
}

/// Sends what a stream has, message by message, as long as they are answered.
async fn send(controller: Rc<Controller>, shard: ShardIndex) {
    for _ in 0..MESSAGES {
        let next = {
            let mut replication = controller.replication.borrow_mut();
            let stream = replication.published.get_mut(&shard);
            stream.and_then(|s| Some((s.publisher.next_message()?, s.to.clone())))
        };
        let Some((message, to)) = next else { break };
        let answer = deliver(&controller, &message, &to).await;
        let mut replication = controller.replication.borrow_mut();
        let Some(stream) = replication.published.get_mut(&shard) else {
            break;
        };
        // The stream may have gone to another standby or another token meanwhile.
        if stream.to != to || stream.publisher.token() != message.origin().1 {
            break;
        }
        match answer {
            Some(answer) => stream.publisher.answered(answer),
            None => {
                stream.publisher.unanswered();
                stream.not_before = controller.now().plus(AGAIN_MS);
                break;
            }
        }
    }
    let mut replication = controller.replication.borrow_mut();
    if let Some(stream) = replication.published.get_mut(&shard) {
        stream.busy = false;
    }
}

async fn deliver(controller: &Controller, message: &Message, to: &str) -> Option<Answer> {
    let message = message.encode()?;
    {
        let mut replication = controller.replication.borrow_mut();
        replication.messages += 1;
        replication.bytes += message.len() as u64;
    }
    let ask = PeerRequest::Replicate {
        sender: controller.config.controller_name.clone(),
        message,
    };
    match controller
        .peer(to)?
        .replication_client
        .ask(&ask, ANSWER_MS)
        .await
    {
        Ok(PeerResponse::ReplicationAnswer { answer }) => Answer::decode(&answer),
        _ => None,
    }
}

/// Answers an owner whose shard this node follows.
pub fn answer(controller: &Controller, from: &str, message: &[u8]) -> PeerResponse {
    let answer = Message::decode(message)
        .and_then(|message| take(controller, &message))
        .and_then(|answer| answer.encode());
    if answer.is_none() {
        controller.warn_rate_limited(&format!("unreadable message of {from} for its standby"));
    }
    let answer = answer.unwrap_or_default();
    PeerResponse::ReplicationAnswer { answer }
}

fn take(controller: &Controller, message: &Message) -> Option<Answer> {
    let (shard, _) = message.origin();
    let shard = ShardIndex(shard);
    let recorded = {
        let cluster = controller.cluster.borrow();
        cluster.shards.get(shard.at())?.record.fencing_token
    };
    let mut replication = controller.replication.borrow_mut();
    let follower = replication.followed.entry(shard).or_default();
    let before = follower.irregularities();
    let answer = follower.take(message, recorded);
    if follower.irregularities() != before {
        log::debug!(
            "shard {}: irregular stream, {:?}",
            shard.0,
            follower.irregularities()
        );
    }
    Some(answer)
}

/// How all shards and their standbys stand, for operators.
pub fn standing(controller: &Controller) -> Vec<ShardStatus> {
    controller.observe_shards();
    let cluster = controller.cluster.borrow();
    let standby_of = controller.standby_of.borrow();
    let takeovers = controller.failovers.borrow();
    let replication = controller.replication.borrow();
    let standing = |shard: ShardIndex| {
        let record = &cluster.shards[shard.at()].record;
        let stream = replication.published.get(&shard);
        let follower = replication.followed.get(&shard);
        let complete = follower.filter(|f| f.shadow().is_some());
        ShardStatus {
            shard: shard.0,
            owner: record.owner.clone(),
            fencing_token: record.fencing_token.0,
            state: takeovers.state(ShardId(shard.0)).name().to_string(),
            standby: standby_of.get(&shard).cloned(),
            replication_lag: stream.and_then(|s| s.publisher.lag()),
            replica_of_token: complete.map(|follower| follower.token().0),
        }
    };
    let shards = (0..cluster.shards.len()).map(ShardIndex::new);
    shards.map(standing).collect()
}

/// Attempts that a draft removes from the records, by the shard of their machine.
pub fn ended(
    controller: &Controller,
    draft: &DraftTransaction,
) -> Vec<(ShardIndex, QueuedTask, u64)> {
    if controller.features.standby().is_none() {
        return Vec::new();
    }
    let cluster = controller.cluster.borrow();
    let mut out = Vec::new();
    for (ix, job) in &draft.jobs {
        let before = cluster.jobs[ix.at()].placements.iter();
        for p in before.filter(|p| !job.placements.contains(p)) {
            let job = job.id.to_string();
            out.push((p.shard, QueuedTask { job, task: p.task }, p.attempt));
        }
    }
    out
}

/// Publishes decisions that were recorded at a revision.
pub fn note_committed(
    controller: &Controller,
    draft: &DraftTransaction,
    ended: Vec<(ShardIndex, QueuedTask, u64)>,
    revision: u64,
) {
    let mut replication = controller.replication.borrow_mut();
    if replication.published.is_empty() {
        return;
    }
    let cluster = controller.cluster.borrow();
    let mut publish = |shard: ShardIndex, decision| {
        if let Some(stream) = replication.published.get_mut(&shard) {
            stream.publisher.publish(decision);
        }
    };
    for (shard, task, attempt) in ended {
        let ended = Decision::Ended {
            task,
            attempt,
            revision,
        };
        publish(shard, ended);
    }
    for (ix, p) in &draft.claims {
        let job = cluster.jobs[ix.at()].id.to_string();
        let claimed = Decision::Claimed {
            task: QueuedTask { job, task: p.task },
            attempt: p.attempt,
            machine: cluster.machine_names.name(p.machine).to_string(),
            revision,
        };
        publish(p.shard, claimed);
    }
}

/// Goes on with what the former owner of a shard told, once this node may decide for it.
pub fn restore(controller: &Controller, shard: ShardIndex) {
    let follower = controller.replication.borrow_mut().followed.remove(&shard);
    let Some(follower) = follower else { return };
    let mut cluster = controller.cluster.borrow_mut();
    // Only the state of the owner just before: an older one's queues have long been served.
    let token = cluster.shards[shard.at()].record.fencing_token;
    let Some(shadow) = follower
        .shadow()
        .filter(|_| follower.token().next() == token)
    else {
        return;
    };
    let restored = restore_replica(&mut cluster, shard, shadow, controller.now());
    log::info!(
        "shard {}: goes on with {} queued tasks and {} machines kept for gangs of token {}, \
         decided up to revision {}",
        shard.0,
        restored.queued,
        restored.held,
        follower.token(),
        shadow.decided()
    );
}

/// What a takeover went on with.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Restored {
    /// Tasks in queues.
    pub queued: usize,
    /// Machines kept free for gangs.
    pub held: usize,
}

/// Takes a former owner's queues and held machines over, as far as they still make sense.
pub fn restore_replica(
    cluster: &mut ClusterState,
    shard: ShardIndex,
    shadow: &ReplicaState,
    now: MonotonicMillis,
) -> Restored {
    let mut restored = Restored::default();
    for (name, state) in shadow.machines() {
        let Some(machine_index) = cluster.machine_names.find(name) else {
            continue;
        };
        let waits = |t: &&QueuedTask| {
            cluster
                .job(&t.job)
                .is_some_and(|(_, j)| j.is_waiting(t.task))
        };
        let queue: Vec<_> = state
            .queue
            .iter()
            .filter(waits)
            .filter_map(|t| Some((cluster.job(&t.job)?.0, t.task, now)))
            .collect();
        let gang = state.held_for.as_ref().and_then(|id| cluster.job(id));
        let gang = gang.filter(|(_, job)| job.is_runnable()).map(|(ix, _)| ix);
        let Some(machine) = cluster
            .machine_mut(machine_index)
            .filter(|m| m.shard == shard)
        else {
            continue;
        };
        for entry in queue {
            if !machine
                .queue
                .iter()
                .any(|q| (q.0, q.1) == (entry.0, entry.1))
            {
                machine.queue.push_back(entry);
                restored.queued += 1;
            }
        }
        if let Some(gang) = gang {
            machine.reservation = Some((gang, now.plus(GANG_RESERVATION_MS)));
            restored.held += 1;
        }
    }
    restored
}
