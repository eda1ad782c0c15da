//! What controllers tell each other.

use crate::coordination::controller::Node;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::gangs;
use crate::coordination::scheduler::planner;
use crate::coordination::{cancellations, replication};
use crate::protocol::peers::{Ask, MachineNews, Reply};
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, ShardIx};
use crate::state::units::{Ms, Resources};
use crate::transport::TransportError;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::rc::Rc;

const NEWS_MS: u64 = 1000;
/// How long machines are kept free for a gang unless that is asked again.
pub(crate) const HOLD_MS: u64 = 4000;

/// Duty: tells the others about the own machines, and holds machines for gangs.
pub async fn news(node: Rc<Node>) {
    for turn in 0u64.. {
        node.beat(NEWS_MS, None).await;
        if turn.is_multiple_of(SURVEY_TURNS) {
            survey(&node);
            if let Some(line) = node.metrics.line() {
                log::debug!("turns: {line}");
            }
        }
        planner::sweep_queues(&node);
        hold_for_gangs(&node);
        planner::make_room(&node);
        let now = node.now();
        let machines = own_news(&node.cluster.borrow(), &node.config, now, |s| {
            node.listened_since(s)
        });
        let asks: Rc<[Ask]> = tell(
            &node.config.node,
            node.store_ok(),
            node.hears_workers(),
            machines,
        )
        .into();
        for i in 0..node.peers.len() {
            let (node, asks) = (node.clone(), asks.clone());
            node.ex
                .clone()
                .spawn(async move {
                    let peer = &node.peers[i];
                    for ask in asks.iter() {
                        let told = peer.client.ask(ask, NEWS_MS).await;
                        let refused = |e: &TransportError| matches!(e, TransportError::Connect(e) if e.kind() == ErrorKind::ConnectionRefused);
                        peer.refuses.set(told.as_ref().is_err_and(refused));
                        if told.is_err() {
                            break;
                        }
                    }
                })
                .detach();
        }
    }
}

/// What an owner tells of its machines; `listened`: since when a shard's could be heard.
pub fn own_news(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    now: Ms,
    listened: impl Fn(ShardIx) -> Option<Ms>,
) -> Vec<MachineNews> {
    let own = config.owned(cluster);
    cluster
        .all_machines()
        .filter(|(_, m)| own[m.shard.at()])
        .map(|(_, m)| MachineNews {
            name: m.name.to_string(),
            addr: m.addr.clone(),
            machine_type: cluster.machine_type_names.name(m.machine_type).to_string(),
            zone: cluster.zone_names.name(m.zone).to_string(),
            spot: m.spot,
            silent_ms: silence(m.heard, m.known, listened(m.shard), now),
            heard: m.heard.is_some(),
            sure: m.token == cluster.shards[m.shard.at()].rec.token,
            queued: m.queue.len().min(255) as u8,
            closed: m.closed || m.leaves.is_some() || m.deaf.is_some(),
            sick: m.sick,
        })
        .collect()
}

/// Machines in one frame of news: a frame with all of a large fleet would be refused.
const NEWS_MACHINES: usize = 128;

/// News in as many frames as it takes, at least one.
pub fn tell(
    from: &str,
    store_ok: bool,
    hears_workers: bool,
    machines: Vec<MachineNews>,
) -> Vec<Ask> {
    let ask = |machines: &[MachineNews]| Ask::News {
        node: from.to_string(),
        store_ok,
        hears_workers,
        machines: machines.to_vec(),
    };
    if machines.is_empty() {
        return vec![ask(&[])];
    }
    machines.chunks(NEWS_MACHINES).map(ask).collect()
}

/// Turns between two surveys in the log.
const SURVEY_TURNS: u64 = 15;

/// Tells how full the own machines are, by type, and what waits.
fn survey(node: &Node) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let cluster = node.cluster.borrow();
    for (machine_type, r) in &cluster.machine_types {
        let mut sum = (0, 0, Resources::default(), 0);
        for (mix, m) in cluster.all_machines() {
            let own = m.machine_type == *machine_type && node.config.owns(&cluster, m.shard);
            if !own || !m.takes(node.now(), node.config.silent_ms) {
                continue;
            }
            let free = cluster.free_on(mix).unwrap_or_default();
            let empty = u32::from(free == r.room);
            let tasks = cluster.placed_on(mix).len();
            sum = (sum.0 + 1, sum.1 + tasks, sum.2.plus(free), sum.3 + empty);
        }
        log::debug!(
            "{}: {} up, {} of them empty, {} tasks, free: {} cpus, {} gpus, {} GB",
            r.flavor.name,
            sum.0,
            sum.3,
            sum.1,
            sum.2.cpu / 1000,
            sum.2.gpu / 1000,
            sum.2.mem / 1000
        );
    }
    let mut waiting: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for (_, j) in cluster.active_jobs() {
        let (n, Some(s)) = (j.waiting_count(), &j.spec) else {
            continue;
        };
        if n > 0 {
            let w = waiting.entry(&s.wire.class).or_default();
            *w = (w.0 + 1, w.1 + n);
        }
    }
    for (class, (jobs, tasks)) in waiting {
        log::debug!("{class}: {tasks} tasks of {jobs} jobs wait");
    }
}

/// How long an owner has waited for a machine in vain.
pub fn silence(heard: Option<Ms>, known: Ms, owned: Option<Ms>, now: Ms) -> u64 {
    let since = heard.unwrap_or(known).max(owned.unwrap_or(known));
    now.since(since)
}

fn hold_for_gangs(node: &Rc<Node>) {
    let now = node.now();
    let holds = {
        let cluster = node.cluster.borrow();
        gangs::gang_holds(
            &cluster,
            &node.config,
            now,
            crate::coordination::controller::wall_ms(),
        )
    };
    for (job, machines) in holds {
        let (id, names): (String, Vec<String>) = {
            let cluster = node.cluster.borrow();
            let names = machines
                .iter()
                .map(|m| cluster.machine_names.name(*m).to_string());
            (cluster.jobs[job.0 as usize].id.to_string(), names.collect())
        };
        hold(node, &id, &names);
        let asks: Rc<[Ask]> = hold_frames(&id, &names).into();
        for i in 0..node.peers.len() {
            let (node, asks) = (node.clone(), asks.clone());
            node.ex
                .clone()
                .spawn(async move {
                    for ask in asks.iter() {
                        if node.peers[i].client.ask(ask, NEWS_MS).await.is_err() {
                            break;
                        }
                    }
                })
                .detach();
        }
    }
}

/// Machines in one frame of a hold: a gang may need thousands.
const HELD_MACHINES: usize = 1000;

/// What asks an owner to keep machines free for a gang, in as many frames as it takes.
pub fn hold_frames(job: &str, machines: &[String]) -> Vec<Ask> {
    let frame = |machines: &[String]| Ask::Hold {
        job: job.to_string(),
        machines: machines.to_vec(),
    };
    machines.chunks(HELD_MACHINES).map(frame).collect()
}

fn hold(node: &Node, job: &str, machines: &[String]) {
    let until = node.now().plus(HOLD_MS);
    let mut cluster = node.cluster.borrow_mut();
    let Some((ix, _)) = cluster.job(job) else {
        return;
    };
    for name in machines {
        let m = cluster
            .machine_names
            .find(name)
            .and_then(|m| cluster.machine_mut(m));
        if let Some(m) = m {
            m.held = Some((ix, until));
        }
    }
}

/// Takes what a peer tells of its machines.
///
/// Only a shard's owner knows them: one that lost its shards unnoticed goes on telling of
/// machines that have long been silent to it alone, and they would be returned for that.
pub fn take_news(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    from: &str,
    machines: Vec<MachineNews>,
    now: Ms,
) {
    for n in machines {
        let Some(mix) = cluster.learn_machine(&n.name, &n.machine_type, &n.zone, n.spot, now)
        else {
            continue;
        };
        let told_by_owner = cluster.machine(mix).is_some_and(|m| {
            let owner = &cluster.shards[m.shard.at()].rec.owner;
            owner == from && !config.owns(cluster, m.shard)
        });
        let Some(m) = cluster.machine_mut(mix).filter(|_| told_by_owner) else {
            continue;
        };
        m.addr = n.addr;
        // A machine that still boots has not been heard, only waited for.
        if n.heard {
            m.heard = Some(Ms(now.0.saturating_sub(n.silent_ms)));
        }
        m.sure = n.sure;
        m.queued_elsewhere = n.queued;
        m.closed_elsewhere = n.closed;
        m.sick = n.sick;
    }
}

/// Answers a peer. Everything in here is a hint; nothing starts or ends by it.
pub fn handle(node: &Rc<Node>, ask: Ask) -> Reply {
    let name = match ask {
        Ask::News { .. } => "peer's news",
        Ask::Poll { .. } => "peer's poll",
        _ => "peer's other asks",
    };
    node.metrics.time(name, || answer(node, ask))
}

fn answer(node: &Rc<Node>, ask: Ask) -> Reply {
    let now = node.now();
    match ask {
        Ask::News {
            node: from,
            store_ok,
            hears_workers,
            machines,
        } => {
            if let Some(p) = node.peer(&from) {
                p.heard.set(Some(now));
                p.store_ok.set(store_ok);
                if p.hears_workers.replace(hears_workers) != hears_workers {
                    node.members.notify();
                }
            }
            take_news(
                &mut node.cluster.borrow_mut(),
                &node.config,
                &from,
                machines,
                now,
            );
            Reply::Noted
        }
        Ask::Bind { tasks } => {
            for (machine, t) in tasks {
                let mix = node.cluster.borrow().machine_names.find(&machine);
                if let Some(mix) = mix {
                    planner::enqueue(node, mix, &t, false);
                }
            }
            node.plan.notify();
            Reply::Noted
        }
        Ask::Poll { idle, machines } => {
            let (idle, asked) = {
                let cluster = node.cluster.borrow();
                let find = |n: &String| cluster.machine_names.find(n);
                (
                    find(&idle),
                    machines.iter().filter_map(find).collect::<Vec<_>>(),
                )
            };
            let given = idle.and_then(|i| {
                asked
                    .into_iter()
                    .find_map(|m| planner::hand_over(node, m, i, false))
            });
            Reply::Task(given)
        }
        Ask::Hold { job, machines } => {
            hold(node, &job, &machines);
            Reply::Noted
        }
        Ask::Close { machines } => Reply::Closed(close(node, &machines)),
        Ask::Gone { machines } => {
            gone(node, &machines);
            Reply::Noted
        }
        Ask::Cancelled { jobs } => cancellations::answer(node, &jobs),
        Ask::Follow {
            node: from,
            message,
        } => replication::answer(node, &from, &message),
        Ask::Standbys => Reply::Standbys {
            shards: replication::standing(node),
        },
    }
}

/// Closes owned machines without placements; returns those that are closed now.
pub fn close(node: &Node, machines: &[String]) -> Vec<String> {
    let mut cluster = node.cluster.borrow_mut();
    let mut out = Vec::new();
    for name in machines {
        let Some(mix) = cluster.machine_names.find(name) else {
            continue;
        };
        if !cluster.placed_on(mix).is_empty() {
            continue;
        }
        let config = &node.config;
        let owned = cluster
            .machine(mix)
            .is_some_and(|m| config.owns(&cluster, m.shard));
        if let (true, Some(m)) = (owned, cluster.machine_mut(mix)) {
            m.closed = true;
            m.queue.clear();
            out.push(name.clone());
        }
    }
    out
}

/// Notes machines that the cloud has deleted.
pub fn gone(node: &Node, machines: &[String]) {
    let mut cluster = node.cluster.borrow_mut();
    for name in machines {
        let mix = cluster.intern_machine(name);
        cluster.set_gone(mix);
    }
    node.plan.notify();
}
