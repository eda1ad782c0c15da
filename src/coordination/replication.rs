//! Streams between owners of shards and their standbys.
//!
//! What an owner knows beyond the records, its queues and the machines it keeps free for gangs, is
//! told to the standby of each shard, so that a takeover goes on with it. It is a hint like the
//! queues themselves: nothing starts or ends by it, and a takeover without it is as safe.

use crate::coordination::controller::Node;
use crate::coordination::peer_messages::HOLD_MS;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::protocol::peers::{Ask, Reply, ShardStanding};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, ShardIx};
use crate::state::units::Ms;
use standby::follower::Follower;
use standby::ids::ShardId;
use standby::message::{Answer, Decision, MachineState, Message, QueuedTask};
use standby::permit::Permits;
use standby::publisher::{Publisher, StreamLimits};
use standby::replica_state::Shadow;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// Time between two looks at what is new.
const STREAM_MS: u64 = 500;
/// Turns between two lines in the log.
const SURVEY_TURNS: u64 = 30;
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
    not_before: Ms,
}

/// Streams to and from standbys, by shard.
#[derive(Default)]
pub struct Replication {
    published: BTreeMap<ShardIx, Stream>,
    followed: BTreeMap<ShardIx, Follower>,
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
            permit.is_some_and(|p| p.token().0 == stream.publisher.token())
        });
    }

    /// One line on all streams of this node, and a new count.
    fn line(&mut self) -> String {
        let lag = |(shard, stream): (&ShardIx, &Stream)| {
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
    fn stream(&mut self, shard: ShardIx, token: u64, to: &str) -> &mut Stream {
        let stream = self.published.entry(shard).or_insert_with(|| Stream {
            publisher: Publisher::new(shard.0, token, StreamLimits::default()),
            to: to.to_string(),
            busy: false,
            not_before: Ms(0),
        });
        if stream.to != to {
            stream.to = to.to_string();
            stream.publisher.follow_anew();
            stream.not_before = Ms(0);
        }
        stream
    }
}

/// Duty: tells standbys what is new.
pub async fn run(node: Rc<Node>) {
    for turn in 1u64.. {
        node.beat(STREAM_MS, None).await;
        if turn.is_multiple_of(SURVEY_TURNS) {
            log::debug!("streams: {}", node.replication.borrow_mut().line());
        }
        if !node.cluster.borrow().loaded {
            continue;
        }
        for shard in publish(&node) {
            node.ex.clone().spawn(send(node.clone(), shard)).detach();
        }
    }
}

/// Publishes what has changed of all owned shards; the shards with something to send.
fn publish(node: &Node) -> Vec<ShardIx> {
    let permits = node.permits();
    let cluster = node.cluster.borrow();
    let standby_of = node.standby_of.borrow();
    let mut replication = node.replication.borrow_mut();
    replication.retain_owned(&cluster, &node.config, &permits);
    let now = node.now();
    let mut ready = Vec::new();
    for (shard, name) in standby_of.iter() {
        let Some(permit) = node.config.permit(&cluster, &permits, *shard) else {
            continue;
        };
        let stream = replication.stream(*shard, permit.token().0, name);
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
pub fn publish_changes(cluster: &ClusterState, shard: ShardIx, now: Ms, publisher: &mut Publisher) {
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

fn held_for<'a>(cluster: &'a ClusterState, machine: &Machine, now: Ms) -> Option<&'a str> {
    let (gang, until) = machine.held?;
    (now < until).then(|| &*cluster.jobs[gang.at()].id)
}

fn state_of(cluster: &ClusterState, machine: &Machine, now: Ms) -> MachineState {
    let queued = |(job, task, _): &(_, u32, Ms)| QueuedTask {
        job: cluster.jobs[Index::at(*job)].id.to_string(),
        task: *task,
    };
    MachineState {
        queue: machine.queue.iter().map(queued).collect(),
        held_for: held_for(cluster, machine, now).map(str::to_string),
    }
}

/// True if a published state is the machine's now; nothing is copied for that.
fn is_state_of(cluster: &ClusterState, machine: &Machine, now: Ms, state: &MachineState) -> bool {
    let same = |(queued, (job, task, _)): (&QueuedTask, &(_, u32, Ms))| {
        queued.task == *task && *queued.job == *cluster.jobs[Index::at(*job)].id
    };
    state.held_for.as_deref() == held_for(cluster, machine, now)
        && state.queue.len() == machine.queue.len()
        && state.queue.iter().zip(&machine.queue).all(same)
}

/// Sends what a stream has, message by message, as long as they are answered.
async fn send(node: Rc<Node>, shard: ShardIx) {
    for _ in 0..MESSAGES {
        let next = {
            let mut replication = node.replication.borrow_mut();
            let stream = replication.published.get_mut(&shard);
            stream.and_then(|s| Some((s.publisher.next_message()?, s.to.clone())))
        };
        let Some((message, to)) = next else { break };
        let answer = deliver(&node, &message, &to).await;
        let mut replication = node.replication.borrow_mut();
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
                stream.not_before = node.now().plus(AGAIN_MS);
                break;
            }
        }
    }
    let mut replication = node.replication.borrow_mut();
    if let Some(stream) = replication.published.get_mut(&shard) {
        stream.busy = false;
    }
}

async fn deliver(node: &Node, message: &Message, to: &str) -> Option<Answer> {
    let message = message.encode()?;
    {
        let mut replication = node.replication.borrow_mut();
        replication.messages += 1;
        replication.bytes += message.len() as u64;
    }
    let ask = Ask::Follow {
        node: node.config.node.clone(),
        message,
    };
    match node.peer(to)?.streams.ask(&ask, ANSWER_MS).await {
        Ok(Reply::Followed { answer }) => Answer::decode(&answer),
        _ => None,
    }
}

/// Answers an owner whose shard this node follows.
pub fn answer(node: &Node, from: &str, message: &[u8]) -> Reply {
    let answer = Message::decode(message)
        .and_then(|message| take(node, &message))
        .and_then(|answer| answer.encode());
    if answer.is_none() {
        node.complain(&format!("unreadable message of {from} for its standby"));
    }
    let answer = answer.unwrap_or_default();
    Reply::Followed { answer }
}

fn take(node: &Node, message: &Message) -> Option<Answer> {
    let (shard, _) = message.origin();
    let shard = ShardIx(shard);
    let recorded = {
        let cluster = node.cluster.borrow();
        cluster.shards.get(shard.at())?.rec.token
    };
    let mut replication = node.replication.borrow_mut();
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
pub fn standing(node: &Node) -> Vec<ShardStanding> {
    node.observe_shards();
    let cluster = node.cluster.borrow();
    let standby_of = node.standby_of.borrow();
    let takeovers = node.takeovers.borrow();
    let replication = node.replication.borrow();
    let standing = |shard: ShardIx| {
        let record = &cluster.shards[shard.at()].rec;
        let stream = replication.published.get(&shard);
        let follower = replication.followed.get(&shard);
        let complete = follower.filter(|f| f.shadow().is_some());
        ShardStanding {
            shard: shard.0,
            owner: record.owner.clone(),
            token: record.token,
            state: takeovers.state(ShardId(shard.0)).name().to_string(),
            standby: standby_of.get(&shard).cloned(),
            behind: stream.and_then(|s| s.publisher.lag()),
            follows: complete.map(Follower::token),
        }
    };
    let shards = (0..cluster.shards.len()).map(ShardIx::new);
    shards.map(standing).collect()
}

/// Attempts that a draft removes from the records, by the shard of their machine.
pub fn ended(node: &Node, draft: &DraftTransaction) -> Vec<(ShardIx, QueuedTask, u64)> {
    if node.features.standby().is_none() {
        return Vec::new();
    }
    let cluster = node.cluster.borrow();
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
    node: &Node,
    draft: &DraftTransaction,
    ended: Vec<(ShardIx, QueuedTask, u64)>,
    revision: u64,
) {
    let mut replication = node.replication.borrow_mut();
    if replication.published.is_empty() {
        return;
    }
    let cluster = node.cluster.borrow();
    let mut publish = |shard: ShardIx, decision| {
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
pub fn restore(node: &Node, shard: ShardIx) {
    let follower = node.replication.borrow_mut().followed.remove(&shard);
    let Some(follower) = follower else { return };
    let mut cluster = node.cluster.borrow_mut();
    // Only the state of the owner just before: an older one's queues have long been served.
    let token = cluster.shards[shard.at()].rec.token;
    let Some(shadow) = follower.shadow().filter(|_| follower.token() + 1 == token) else {
        return;
    };
    let restored = restore_shadow(&mut cluster, shard, shadow, node.now());
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
pub fn restore_shadow(
    cluster: &mut ClusterState,
    shard: ShardIx,
    shadow: &Shadow,
    now: Ms,
) -> Restored {
    let mut restored = Restored::default();
    for (name, state) in shadow.machines() {
        let Some(mix) = cluster.machine_names.find(name) else {
            continue;
        };
        let waits = |t: &&QueuedTask| cluster.job(&t.job).is_some_and(|(_, j)| j.waits(t.task));
        let queue: Vec<_> = state
            .queue
            .iter()
            .filter(waits)
            .filter_map(|t| Some((cluster.job(&t.job)?.0, t.task, now)))
            .collect();
        let gang = state.held_for.as_ref().and_then(|id| cluster.job(id));
        let gang = gang.filter(|(_, job)| job.runnable()).map(|(ix, _)| ix);
        let Some(machine) = cluster.machine_mut(mix).filter(|m| m.shard == shard) else {
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
            machine.held = Some((gang, now.plus(HOLD_MS)));
            restored.held += 1;
        }
    }
    restored
}
