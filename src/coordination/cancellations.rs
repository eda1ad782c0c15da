//! Cancellations: telling the other controllers, and stopping tasks whose owner does not.

use crate::coordination::controller::{Node, NotificationState, Peer};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::worker_connectivity;
use crate::protocol::peers::{Ask, Reply, MAX_JOBS};
use crate::protocol::workers::{Commands, Order, Report, TaskState};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Attempt;
use crate::state::names::{Index, MachineIx};
use crate::state::units::Ms;
use crate::transport::TransportError;
use std::collections::HashMap;
use std::rc::Rc;

/// Time between two rounds.
const BEAT_MS: u64 = 1000;
/// Time that a peer has to answer.
const PEER_MS: u64 = 900;
/// Longest time for which a peer that closes the connection is left alone.
const LONGEST_MS: u64 = 8000;
/// Part of the time for cancellations after which others than the owner stop tasks as well.
const DIRECT_PART: u64 = 4;
/// Least time between two attempts at one machine.
const AGAIN_MS: u64 = 3000;

/// Duty: exchanges cancellations with all peers, and sees to tasks that are left of them.
pub async fn run(node: Rc<Node>) {
    let mut leftovers = Leftovers::default();
    loop {
        node.beat(BEAT_MS, None).await;
        tell(&node);
        let due = leftovers.due(&node.cluster.borrow(), &node.config, node.now());
        for stop in due {
            if !node.spawn_direct(end(node.clone(), stop)) {
                break;
            }
        }
    }
}

/// Tells all peers of the cancellations known here, and learns of theirs.
///
/// Called at once when one is confirmed. Peers that can't be reached are told by the next round,
/// for as long as tasks of the job may be left.
pub fn tell(node: &Rc<Node>) {
    for (at, peer) in node.peers.iter().enumerate() {
        if node.now() < peer.untold.get().0 {
            continue;
        }
        if peer.telling.get() != NotificationState::Idle {
            peer.telling.set(NotificationState::More);
            continue;
        }
        peer.telling.set(NotificationState::Busy);
        let node = node.clone();
        let ex = node.ex.clone();
        let exchanges = async move {
            let peer = &node.peers[at];
            while exchange(&node, at, peer).await
                && peer.telling.replace(NotificationState::Busy) == NotificationState::More
            {
            }
            peer.telling.set(NotificationState::Idle);
        };
        ex.spawn(exchanges).detach();
    }
}

/// One question to a peer; false if it did not answer.
async fn exchange(node: &Rc<Node>, at: usize, peer: &Peer) -> bool {
    let asked = node.now();
    let jobs = names(&node.cluster.borrow());
    let reply = peer.teller.ask(&Ask::Cancelled { jobs }, PEER_MS).await;
    let reply = match reply {
        Ok(reply) => reply,
        Err(e) => {
            // One that closes the connection may be of a version that does not know the question,
            // and complains of it in its log.
            let closed = matches!(e, TransportError::Broken(_));
            let wait = peer.untold.get().1;
            let wait = if closed {
                (wait * 2).clamp(1000, LONGEST_MS)
            } else {
                0
            };
            peer.untold.set((node.now().plus(wait), wait));
            return false;
        }
    };
    peer.untold.set((Ms(0), 0));
    let news = take(
        &mut node.cluster.borrow_mut(),
        at,
        asked,
        node.now(),
        &reply,
    );
    note(node, &news);
    true
}

/// Answers a peer that tells of cancellations.
pub fn answer(node: &Rc<Node>, jobs: &[String]) -> Reply {
    let news = learn(&mut node.cluster.borrow_mut(), jobs);
    note(node, &news);
    let now = node.now();
    tells(&node.cluster.borrow(), now, now.0)
}

fn note(node: &Rc<Node>, news: &[&String]) {
    for id in news {
        log::info!("job {id} is cancelled, as a peer tells");
    }
    if !news.is_empty() {
        node.plan.notify();
    }
}

/// The cancelled jobs that a frame tells of.
pub fn names(cluster: &ClusterState) -> Vec<String> {
    let mut jobs = cluster.cancelled_names();
    jobs.truncate(MAX_JOBS);
    jobs
}

/// Takes the news that these jobs are cancelled; those that were new.
pub fn learn<'a>(cluster: &mut ClusterState, jobs: &'a [String]) -> Vec<&'a String> {
    jobs.iter()
        .filter(|id| cluster.learn_cancelled(id))
        .collect()
}

/// What a process that has run for `up_ms` tells a peer that asks.
pub fn tells(cluster: &ClusterState, now: Ms, up_ms: u64) -> Reply {
    let short = |ms: u64| ms.min(u64::from(u32::MAX)) as u32;
    Reply::Cancelled {
        up_ms: short(up_ms),
        age_ms: cluster.knowledge.age_ms(now).map_or(u32::MAX, short),
        jobs: names(cluster),
    }
}

/// Takes what a peer answered that was asked at `asked`; the jobs that were new.
pub fn take<'a>(
    cluster: &mut ClusterState,
    peer: usize,
    asked: Ms,
    now: Ms,
    reply: &'a Reply,
) -> Vec<&'a String> {
    let Reply::Cancelled {
        up_ms,
        age_ms,
        jobs,
    } = reply
    else {
        return Vec::new();
    };
    let news = learn(cluster, jobs);
    // A list that was cut does not hold all that the peer knows.
    if jobs.len() < MAX_JOBS {
        let age = (*age_ms != u32::MAX).then_some(u64::from(*age_ms));
        let up_ms = u64::from(*up_ms);
        cluster.knowledge.told(peer, asked, now, up_ms, age);
    }
    news
}

/// A task of a cancelled job, to be ended by a direct command.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Leftover {
    /// Its machine's worker.
    pub addr: String,
    /// The tasks, as workers name them, with their attempts.
    pub tasks: Vec<(String, u64)>,
}

/// What is left of cancelled jobs, and since when that is known.
#[derive(Default)]
pub struct Leftovers {
    since: HashMap<Attempt, Ms>,
    tried: HashMap<MachineIx, Ms>,
}

impl Leftovers {
    /// Tasks of cancelled jobs that have been left for long, by machine: those that nobody has
    /// tried lately.
    ///
    /// Their owner stops them in its next answer. One that does not know of the cancellation, or
    /// whose answers don't arrive, does not; and to stop a cancelled task can never be wrong,
    /// whoever does it. A stop that comes before its start does nothing, so it is repeated until
    /// the placement is gone, which is for the owner alone to prove.
    pub fn due(
        &mut self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        now: Ms,
    ) -> Vec<Leftover> {
        let mut left: HashMap<Attempt, Ms> = HashMap::new();
        let mut due: Vec<(Ms, MachineIx, Attempt)> = Vec::new();
        for (ix, job) in cluster.cancelled() {
            for p in &job.placements {
                let a = (ix, p.task, p.attempt);
                let since = self.since.get(&a).copied().unwrap_or(now);
                left.insert(a, since);
                if now.since(since) >= config.cancel_ms / DIRECT_PART {
                    due.push((since, p.machine, a));
                }
            }
        }
        self.since = left;
        self.tried.retain(|_, t| now.since(*t) < AGAIN_MS);
        due.retain(|(_, mix, _)| !self.tried.contains_key(mix));
        // The oldest first, whatever finds no connection now comes next time.
        due.sort_unstable();
        let mut out: Vec<(MachineIx, Leftover)> = Vec::new();
        for (_, mix, a) in due {
            let Some(m) = cluster.machine(mix).filter(|m| !m.addr.is_empty()) else {
                continue;
            };
            let task = (format!("{}/{}", cluster.jobs[a.0.at()].id, a.1), a.2);
            if let Some((_, l)) = out.iter_mut().find(|(x, _)| *x == mix) {
                l.tasks.push(task);
            } else if out.len() < AT_A_TIME {
                let (addr, tasks) = (m.addr.clone(), vec![task]);
                out.push((mix, Leftover { addr, tasks }));
            }
        }
        self.tried.extend(out.iter().map(|(mix, _)| (*mix, now)));
        out.into_iter().map(|(_, l)| l).collect()
    }
}

/// Machines that are asked in one round.
const AT_A_TIME: usize = 32;

/// The stops for what a worker's status shows of these tasks; `None` if it shows none running.
///
/// Token and session are the worker's own: nobody's right to command it changes by that.
pub fn stops(r: &Report, tasks: &[(String, u64)]) -> Option<Commands> {
    let here = |(piece, attempt): &&(String, u64)| {
        let mut shown = r.tasks.iter().filter(|t| t.state != TaskState::Exited);
        shown.any(|t| (&t.task, t.attempt) == (piece, *attempt))
    };
    let stop = |(piece, attempt): &(String, u64)| Order::Stop {
        piece: piece.clone(),
        attempt: *attempt,
        grace_s: 0.0,
    };
    let orders: Vec<Order> = tasks.iter().filter(here).map(stop).collect();
    (!orders.is_empty()).then_some(Commands {
        token: r.token,
        session: r.session,
        orders,
    })
}

async fn end(node: Rc<Node>, left: Leftover) {
    let Some((f, client)) = worker_connectivity::status(&left.addr).await else {
        return;
    };
    node.heard_worker();
    let Ok(r) = rmp_serde::from_slice::<Report>(&f.body) else {
        return;
    };
    let Some(commands) = stops(&r, &left.tasks) else {
        return;
    };
    log::info!("{}: stops {:?}, cancelled and left", left.addr, left.tasks);
    worker_connectivity::command(&client, &commands).await;
}
