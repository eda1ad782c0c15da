//! Reaching workers directly: showing tokens, asking whether they hear this node, and it them.

use crate::coordination::controller::{tasks, Controller};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::workers::{DirectCommands, Heartbeat};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, MachineIndex, ShardIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use crate::transport::http::{Client, ClientResponse};
use http_types::Method;
use standby::ids::FencingToken;
use std::collections::HashMap;
use std::rc::Rc;

/// Time between two rounds.
const ANNOUNCE_INTERVAL_MS: u64 = 1000;

/// Duty: shows a new owner's token to machines that still talk to an older owner.
///
/// Without it they would stay with a node that lost its shards unnoticed, for example
/// because the state service refuses that node alone.
pub async fn announce_ownership(controller: Rc<Controller>) {
    let lease_ms = millis_from_seconds(controller.platform.settings.workers.lease_s);
    let mut tried = HashMap::new();
    loop {
        controller.tick(ANNOUNCE_INTERVAL_MS, None).await;
        let now = controller.now();
        let quiet = controller.config.unresponsive_ms;
        let own = |s: ShardIndex| {
            let for_ms = now.since(controller.owned_since.borrow().get(&s).copied()?);
            (for_ms > quiet / 2 && for_ms < ANNOUNCE_FOR_MS).then_some(())
        };
        let targets = machines_with_stale_token(
            &controller.cluster.borrow(),
            &controller.config,
            &mut tried,
            now,
            own,
        );
        for (machine_index, addr, token) in targets {
            if !tasks::spawn_with_worker_connection(&controller, raise_token(addr, token)) {
                break;
            }
            tried.insert(machine_index, now);
        }
        probe_workers(&controller);
        let deaf = unreachable_machines(
            &mut controller.cluster.borrow_mut(),
            &controller.config,
            lease_ms,
            now,
        );
        for (machine_index, addr) in deaf {
            if !tasks::spawn_with_worker_connection(
                &controller,
                probe(controller.clone(), machine_index, addr),
            ) {
                break;
            }
        }
    }
}

/// Asks a few workers for an answer if none has been heard for a while.
fn probe_workers(controller: &Rc<Controller>) {
    let now = controller.now();
    if !controller.worker_probe_needed(now) {
        return;
    }
    let addrs: Vec<String> = {
        let cluster = controller.cluster.borrow();
        let up = cluster
            .all_machines()
            .filter(|(_, m)| !m.addr.is_empty() && m.last_heartbeat.is_some());
        let some = fastrand::choose_multiple(up, WORKERS_PER_PROBE);
        some.into_iter().map(|(_, m)| m.addr.clone()).collect()
    };
    for addr in addrs {
        let asker = controller.clone();
        let ask = async move {
            if status(&addr).await.is_some() {
                asker.record_worker_contact();
            }
        };
        if !tasks::spawn_with_worker_connection(controller, ask) {
            return;
        }
    }
}

/// Workers that are asked at a time.
const WORKERS_PER_PROBE: usize = 4;
/// Time a worker has to answer.
const PROBE_MS: u64 = 1500;

/// For how long after a take-over the token is shown to machines.
const ANNOUNCE_FOR_MS: u64 = 60_000;
/// Least time between two attempts to show one machine the token.
const ANNOUNCE_AGAIN_MS: u64 = 3000;

/// Owned machines that have not shown their owner's token, those first that were tried least
/// lately: dozens of unreachable ones hold back none of the rest.
pub fn machines_with_stale_token(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    tried: &mut HashMap<MachineIndex, MonotonicMillis>,
    now: MonotonicMillis,
    own: impl Fn(ShardIndex) -> Option<()>,
) -> Vec<(MachineIndex, String, FencingToken)> {
    let due: Vec<bool> = config
        .owned(cluster)
        .into_iter()
        .enumerate()
        .map(|(s, owned)| owned && own(ShardIndex::new(s)).is_some())
        .collect();
    let token = |m: &Machine| cluster.shards[m.shard.at()].record.fencing_token;
    tried.retain(|machine_index, _| {
        cluster
            .machine(*machine_index)
            .is_some_and(|m| due[m.shard.at()] && m.fencing_token < token(m))
    });
    let mut out: Vec<(Option<MonotonicMillis>, MachineIndex, &Machine)> = cluster
        .all_machines()
        .filter(|(_, m)| due[m.shard.at()] && m.fencing_token < token(m) && !m.addr.is_empty())
        .map(|(machine_index, m)| (tried.get(&machine_index).copied(), machine_index, m))
        .filter(|(last, ..)| last.is_none_or(|t| now.since(t) >= ANNOUNCE_AGAIN_MS))
        .collect();
    out.sort_by_key(|(last, machine_index, _)| (*last, *machine_index));
    out.into_iter()
        .map(|(_, machine_index, m)| (machine_index, m.addr.clone(), token(m)))
        .collect()
}

/// Owned machines that seem to hear nothing, to be asked whether they do after all. One that
/// stays so for a lease counts as faulty, and so is returned.
pub fn unreachable_machines(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    lease_ms: u64,
    now: MonotonicMillis,
) -> Vec<(MachineIndex, String)> {
    let mut out = Vec::new();
    for machine_index in (0..cluster.machines.len()).map(MachineIndex::new) {
        let owned = cluster
            .machine(machine_index)
            .is_some_and(|m| config.owns(cluster, m.shard));
        let Some(m) = cluster.machine_mut(machine_index).filter(|_| owned) else {
            continue;
        };
        let Some(since) = m.unreachable_since else {
            continue;
        };
        if now.since(since) > lease_ms && !m.quarantined {
            log::warn!("machine {} hears nothing, it is to be returned", m.name);
            m.quarantined = true;
        }
        if !m.quarantined {
            out.push((machine_index, m.addr.clone()));
        }
    }
    out
}

/// Asks a worker for its status; its answer, whatever it is, and the client that got it.
pub(crate) async fn status(addr: &str) -> Option<(ClientResponse, Client)> {
    let client = Client::new(addr.parse().ok()?);
    let answer = client.call(Method::Get, "/status", Vec::new(), PROBE_MS);
    let answer = answer.await.ok()?;
    Some((answer, client))
}

async fn probe(controller: Rc<Controller>, machine_index: MachineIndex, addr: String) {
    if status(&addr).await.is_none_or(|(f, _)| f.status != 200) {
        return;
    }
    if let Some(m) = controller.cluster.borrow_mut().machine_mut(machine_index) {
        log::info!("machine {} is reached again", m.name);
        m.mark_reachable(controller.now());
    }
}

/// Raises the token a worker has seen. What it answers is no evidence: an answer to an
/// earlier report may still be on its way.
async fn raise_token(addr: String, token: FencingToken) {
    let Some((f, client)) = status(&addr).await else {
        return;
    };
    let Ok(r) = rmp_serde::from_slice::<Heartbeat>(&f.body) else {
        return;
    };
    if r.fencing_token >= token {
        return;
    }
    let commands = DirectCommands {
        fencing_token: token,
        agent_epoch: r.agent_epoch,
        commands: Vec::new(),
    };
    command(&client, &commands).await;
}

/// Sends direct commands; what is answered proves nothing and is dropped.
pub(crate) async fn command(client: &Client, commands: &DirectCommands) {
    if let Ok(body) = rmp_serde::to_vec_named(commands) {
        let _ = client.call(Method::Post, "/commands", body, PROBE_MS).await;
    }
}
