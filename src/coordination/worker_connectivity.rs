//! Reaching workers directly: showing tokens, asking whether they hear this node, and it them.

use crate::coordination::controller::Node;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::workers::{Commands, Report};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, MachineIx, ShardIx};
use crate::state::units::{ms_of, Ms};
use crate::transport::http::{Client, Fetched};
use http_types::Method;
use std::collections::HashMap;
use std::rc::Rc;

/// Time between two rounds.
const POKE_MS: u64 = 1000;

/// Duty: shows a new owner's token to machines that still talk to an older owner.
///
/// Without it they would stay with a node that lost its shards unnoticed, for example
/// because the state service refuses that node alone.
pub async fn poke(node: Rc<Node>) {
    let lease_ms = ms_of(node.platform.settings.workers.lease_s);
    let mut tried = HashMap::new();
    loop {
        node.beat(POKE_MS, None).await;
        let now = node.now();
        let quiet = node.config.silent_ms;
        let own = |s: ShardIx| {
            let for_ms = now.since(node.owned_since.borrow().get(&s).copied()?);
            (for_ms > quiet / 2 && for_ms < POKED_MS).then_some(())
        };
        let targets = behind(&node.cluster.borrow(), &node.config, &mut tried, now, own);
        for (mix, addr, token) in targets {
            if !node.spawn_direct(raise_token(addr, token)) {
                break;
            }
            tried.insert(mix, now);
        }
        listen_out(&node);
        let deaf = unheard(&mut node.cluster.borrow_mut(), &node.config, lease_ms, now);
        for (mix, addr) in deaf {
            if !node.spawn_direct(probe(node.clone(), mix, addr)) {
                break;
            }
        }
    }
}

/// Asks a few workers for an answer if none has been heard for a while.
fn listen_out(node: &Rc<Node>) {
    let now = node.now();
    if !node.worker_contact.get().doubts(now) {
        return;
    }
    let addrs: Vec<String> = {
        let cluster = node.cluster.borrow();
        let up = cluster
            .all_machines()
            .filter(|(_, m)| !m.addr.is_empty() && m.heard.is_some());
        let some = fastrand::choose_multiple(up, LISTEN_TO);
        some.into_iter().map(|(_, m)| m.addr.clone()).collect()
    };
    for addr in addrs {
        let asker = node.clone();
        let ask = async move {
            if status(&addr).await.is_some() {
                asker.heard_worker();
            }
        };
        if !node.spawn_direct(ask) {
            return;
        }
    }
}

/// Workers that are asked at a time.
const LISTEN_TO: usize = 4;
/// Time a worker has to answer.
const PROBE_MS: u64 = 1500;

/// For how long after a take-over the token is shown to machines.
const POKED_MS: u64 = 60_000;
/// Least time between two attempts to show one machine the token.
const POKE_AGAIN_MS: u64 = 3000;

/// Owned machines that have not shown their owner's token, those first that were tried least
/// lately: dozens of unreachable ones hold back none of the rest.
pub fn behind(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    tried: &mut HashMap<MachineIx, Ms>,
    now: Ms,
    own: impl Fn(ShardIx) -> Option<()>,
) -> Vec<(MachineIx, String, u64)> {
    let due: Vec<bool> = config
        .owned(cluster)
        .into_iter()
        .enumerate()
        .map(|(s, owned)| owned && own(ShardIx::new(s)).is_some())
        .collect();
    let token = |m: &Machine| cluster.shards[m.shard.at()].rec.token;
    tried.retain(|mix, _| {
        cluster
            .machine(*mix)
            .is_some_and(|m| due[m.shard.at()] && m.token < token(m))
    });
    let mut out: Vec<(Option<Ms>, MachineIx, &Machine)> = cluster
        .all_machines()
        .filter(|(_, m)| due[m.shard.at()] && m.token < token(m) && !m.addr.is_empty())
        .map(|(mix, m)| (tried.get(&mix).copied(), mix, m))
        .filter(|(last, ..)| last.is_none_or(|t| now.since(t) >= POKE_AGAIN_MS))
        .collect();
    out.sort_by_key(|(last, mix, _)| (*last, *mix));
    out.into_iter()
        .map(|(_, mix, m)| (mix, m.addr.clone(), token(m)))
        .collect()
}

/// Owned machines that seem to hear nothing, to be asked whether they do after all. One that
/// stays so for a lease counts as faulty, and so is returned.
pub fn unheard(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    lease_ms: u64,
    now: Ms,
) -> Vec<(MachineIx, String)> {
    let mut out = Vec::new();
    for mix in (0..cluster.machines.len()).map(MachineIx::new) {
        let owned = cluster
            .machine(mix)
            .is_some_and(|m| config.owns(cluster, m.shard));
        let Some(m) = cluster.machine_mut(mix).filter(|_| owned) else {
            continue;
        };
        let Some(since) = m.deaf else { continue };
        if now.since(since) > lease_ms && !m.sick {
            log::warn!("machine {} hears nothing, it is to be returned", m.name);
            m.sick = true;
        }
        if !m.sick {
            out.push((mix, m.addr.clone()));
        }
    }
    out
}

/// Asks a worker for its status; its answer, whatever it is, and the client that got it.
pub(crate) async fn status(addr: &str) -> Option<(Fetched, Client)> {
    let client = Client::new(addr.parse().ok()?);
    let answer = client.call(Method::Get, "/status", Vec::new(), PROBE_MS);
    let answer = answer.await.ok()?;
    Some((answer, client))
}

async fn probe(node: Rc<Node>, mix: MachineIx, addr: String) {
    if status(&addr).await.is_none_or(|(f, _)| f.status != 200) {
        return;
    }
    if let Some(m) = node.cluster.borrow_mut().machine_mut(mix) {
        log::info!("machine {} is reached again", m.name);
        m.reached(node.now());
    }
}

/// Raises the token a worker has seen. What it answers is no evidence: an answer to an
/// earlier report may still be on its way.
async fn raise_token(addr: String, token: u64) {
    let Some((f, client)) = status(&addr).await else {
        return;
    };
    let Ok(r) = rmp_serde::from_slice::<Report>(&f.body) else {
        return;
    };
    if r.token >= token {
        return;
    }
    let commands = Commands {
        token,
        session: r.session,
        orders: Vec::new(),
    };
    command(&client, &commands).await;
}

/// Sends direct commands; what is answered proves nothing and is dropped.
pub(crate) async fn command(client: &Client, commands: &Commands) {
    if let Ok(body) = rmp_serde::to_vec_named(commands) {
        let _ = client.call(Method::Post, "/commands", body, PROBE_MS).await;
    }
}
