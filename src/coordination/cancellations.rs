//! Cancellations: telling the other controllers, and stopping tasks whose owner does not.

use crate::coordination::controller::peers::Peer;
use crate::coordination::controller::{tasks, Controller};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::worker_connectivity;
use crate::protocol::peers::{PeerRequest, PeerResponse, MAX_CANCELLED_JOBS};
use crate::protocol::workers::{Command, DirectCommands, Heartbeat, TaskState};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::TaskAttempt;
use crate::state::names::{Index, MachineIndex};
use crate::state::units::MonotonicMillis;
use crate::transport::TransportError;
use std::collections::HashMap;
use std::rc::Rc;

/// Time between two rounds.
const TICK_MS: u64 = 1000;
/// Time that a peer has to answer.
const PEER_MS: u64 = 900;
/// Part of the time for cancellations after which others than the owner stop tasks as well.
const DIRECT_PART: u64 = 4;
/// Least time between two attempts at one machine.
const AGAIN_MS: u64 = 3000;

/// Duty: exchanges cancellations with all peers, and sees to tasks that are left of them.
pub async fn run(controller: Rc<Controller>) {
    let mut leftovers = CancelledTaskSweeper::default();
    loop {
        controller.tick(TICK_MS, None).await;
        tell(&controller);
        let due = leftovers.due(
            &controller.cluster.borrow(),
            &controller.config,
            controller.now(),
        );
        for stop in due {
            if !tasks::spawn_with_worker_connection(&controller, end(controller.clone(), stop)) {
                break;
            }
        }
    }
}

/// Tells all peers of the cancellations known here, and learns of theirs.
///
/// Called at once when one is confirmed. Peers that can't be reached are told by the next round,
/// for as long as tasks of the job may be left.
pub fn tell(controller: &Rc<Controller>) {
    for (at, peer) in controller.peers.iter().enumerate() {
        if !peer.begin_cancellation_broadcast(controller.now()) {
            continue;
        }
        let controller = controller.clone();
        let ex = controller.executor.clone();
        let exchanges = async move {
            let peer = &controller.peers[at];
            while exchange(&controller, at, peer).await && peer.continue_cancellation_broadcast() {}
            peer.end_cancellation_broadcast();
        };
        ex.spawn(exchanges).detach();
    }
}

/// One question to a peer; false if it did not answer.
async fn exchange(controller: &Rc<Controller>, at: usize, peer: &Peer) -> bool {
    let asked = controller.now();
    let jobs = names(&controller.cluster.borrow());
    let reply = peer
        .cancellations_client
        .ask(&PeerRequest::CancelledJobs { jobs }, PEER_MS)
        .await;
    let reply = match reply {
        Ok(reply) => reply,
        Err(e) => {
            let connection_closed = matches!(e, TransportError::Broken { .. });
            peer.record_cancellation_failure(controller.now(), connection_closed);
            return false;
        }
    };
    peer.record_cancellation_answer();
    let news = take(
        &mut controller.cluster.borrow_mut(),
        at,
        asked,
        controller.now(),
        &reply,
    );
    note(controller, &news);
    true
}

/// Answers a peer that tells of cancellations.
pub fn handle_cancelled_jobs(controller: &Rc<Controller>, jobs: &[String]) -> PeerResponse {
    let news = learn(&mut controller.cluster.borrow_mut(), jobs);
    note(controller, &news);
    let now = controller.now();
    tells(&controller.cluster.borrow(), now, now.0)
}

fn note(controller: &Rc<Controller>, news: &[&String]) {
    for id in news {
        log::info!("job {id} is cancelled, as a peer tells");
    }
    if !news.is_empty() {
        controller.scheduling.notify();
    }
}

/// The cancelled jobs that a frame tells of.
pub fn names(cluster: &ClusterState) -> Vec<String> {
    let mut jobs = cluster.cancelled_names();
    jobs.truncate(MAX_CANCELLED_JOBS);
    jobs
}

/// Takes the news that these jobs are cancelled; those that were new.
pub fn learn<'a>(cluster: &mut ClusterState, jobs: &'a [String]) -> Vec<&'a String> {
    jobs.iter()
        .filter(|id| cluster.learn_cancelled(id))
        .collect()
}

/// What a process that has run for `up_ms` tells a peer that asks.
pub fn tells(cluster: &ClusterState, now: MonotonicMillis, up_ms: u64) -> PeerResponse {
    let short = |ms: u64| ms.min(u64::from(u32::MAX)) as u32;
    PeerResponse::CancellationAttestation {
        uptime_ms: short(up_ms),
        watermark_age_ms: cluster
            .cancellation_watermark
            .age_ms(now)
            .map_or(u32::MAX, short),
        jobs: names(cluster),
    }
}

/// Takes what a peer answered that was asked at `asked`; the jobs that were new.
pub fn take<'a>(
    cluster: &mut ClusterState,
    peer: usize,
    asked: MonotonicMillis,
    now: MonotonicMillis,
    reply: &'a PeerResponse,
) -> Vec<&'a String> {
    let PeerResponse::CancellationAttestation {
        uptime_ms: up_ms,
        watermark_age_ms: age_ms,
        jobs,
    } = reply
    else {
        return Vec::new();
    };
    let news = learn(cluster, jobs);
    // A list that was cut does not hold all that the peer knows.
    if jobs.len() < MAX_CANCELLED_JOBS {
        let age = (*age_ms != u32::MAX).then_some(u64::from(*age_ms));
        let up_ms = u64::from(*up_ms);
        cluster
            .cancellation_watermark
            .record_attestation(peer, asked, now, up_ms, age);
    }
    news
}

/// A task of a cancelled job, to be ended by a direct command.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CancelledTasks {
    /// Its machine's worker.
    pub addr: String,
    /// The tasks, as workers name them, with their attempts.
    pub tasks: Vec<(String, u64)>,
}

/// What is left of cancelled jobs, and since when that is known.
#[derive(Default)]
pub struct CancelledTaskSweeper {
    first_seen: HashMap<TaskAttempt, MonotonicMillis>,
    last_attempt: HashMap<MachineIndex, MonotonicMillis>,
}

impl CancelledTaskSweeper {
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
        now: MonotonicMillis,
    ) -> Vec<CancelledTasks> {
        let mut left: HashMap<TaskAttempt, MonotonicMillis> = HashMap::new();
        let mut due: Vec<(MonotonicMillis, MachineIndex, TaskAttempt)> = Vec::new();
        for (ix, job) in cluster.cancelled() {
            for p in &job.placements {
                let a = TaskAttempt::new(ix, p.task, p.attempt);
                let since = self.first_seen.get(&a).copied().unwrap_or(now);
                left.insert(a, since);
                if now.since(since) >= config.cancel_ms / DIRECT_PART {
                    due.push((since, p.machine, a));
                }
            }
        }
        self.first_seen = left;
        self.last_attempt.retain(|_, t| now.since(*t) < AGAIN_MS);
        due.retain(|(_, machine_index, _)| !self.last_attempt.contains_key(machine_index));
        // The oldest first, whatever finds no connection now comes next time.
        due.sort_unstable();
        let mut out: Vec<(MachineIndex, CancelledTasks)> = Vec::new();
        for (_, machine_index, a) in due {
            let Some(m) = cluster
                .machine(machine_index)
                .filter(|m| !m.addr.is_empty())
            else {
                continue;
            };
            let task = (
                format!("{}/{}", cluster.jobs[a.job.at()].id, a.task),
                a.attempt,
            );
            if let Some((_, l)) = out.iter_mut().find(|(x, _)| *x == machine_index) {
                l.tasks.push(task);
            } else if out.len() < AT_A_TIME {
                let (addr, tasks) = (m.addr.clone(), vec![task]);
                out.push((machine_index, CancelledTasks { addr, tasks }));
            }
        }
        self.last_attempt
            .extend(out.iter().map(|(machine_index, _)| (*machine_index, now)));
        out.into_iter().map(|(_, l)| l).collect()
    }
}

/// Machines that are asked in one round.
const AT_A_TIME: usize = 32;

/// The stops for what a worker's status shows of these tasks; `None` if it shows none running.
///
/// Token and session are the worker's own: nobody's right to command it changes by that.
pub fn stops(r: &Heartbeat, tasks: &[(String, u64)]) -> Option<DirectCommands> {
    let here = |(piece, attempt): &&(String, u64)| {
        let mut shown = r.tasks.iter().filter(|t| t.state != TaskState::Exited);
        shown.any(|t| (&t.task, t.attempt) == (piece, *attempt))
    };
    let stop = |(piece, attempt): &(String, u64)| Command::Stop {
        task: piece.clone(),
        attempt: *attempt,
        grace_s: 0.0,
    };
    let orders: Vec<Command> = tasks.iter().filter(here).map(stop).collect();
    (!orders.is_empty()).then_some(DirectCommands {
        fencing_token: r.fencing_token,
        agent_epoch: r.agent_epoch,
        commands: orders,
    })
}

async fn end(controller: Rc<Controller>, left: CancelledTasks) {
    let Some((f, client)) = worker_connectivity::status(&left.addr).await else {
        return;
    };
    controller.record_worker_contact();
    let Ok(r) = rmp_serde::from_slice::<Heartbeat>(&f.body) else {
        return;
    };
    let Some(commands) = stops(&r, &left.tasks) else {
        return;
    };
    log::info!("{}: stops {:?}, cancelled and left", left.addr, left.tasks);
    worker_connectivity::command(&client, &commands).await;
}
