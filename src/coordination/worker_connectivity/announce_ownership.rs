//! Announcement of ownership: a new owner sends its fencing token to the workers of its shards.
//!
//! Without the announcement, these workers would continue to send heartbeats to a controller that
//! has lost its shards without noticing, for example because the key-value store refuses only that
//! controller. The token is sent in a direct command message with an empty command list. A worker
//! that has seen it refuses messages with a lower token.
//!
//! Called by each round of `worker_connectivity::run`.

use super::direct_commands::fetch_status;
use crate::coordination::controller::{tasks, Controller};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::workers::DirectCommands;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, MachineIndex, ShardIndex};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;
use std::collections::HashMap;
use std::rc::Rc;

/// Time after the acquisition of a shard during which its fencing token is announced.
const ANNOUNCE_FOR_MS: u64 = 60_000;
/// Minimum time between two announcements to the same machine.
const RETRY_INTERVAL_MS: u64 = 3000;

/// When each machine was last sent an announcement.
pub type LastAnnouncements = HashMap<MachineIndex, MonotonicMillis>;

/// Announces ownership, and records when each machine was last sent an announcement.
#[derive(Default)]
pub(super) struct OwnershipAnnouncer {
    last_announcements: LastAnnouncements,
}

/// A machine that has not shown its owner's fencing token.
#[derive(Clone, Debug)]
pub struct StaleTokenMachine {
    /// Index of the machine.
    pub machine: MachineIndex,
    /// Address of the machine's worker.
    pub addr: String,
    /// The owner's fencing token, to be announced.
    pub fencing_token: FencingToken,
}

impl OwnershipAnnouncer {
    /// Announces the fencing tokens of recently acquired shards, to as many machines as connections
    /// are available.
    pub(super) fn announce(&mut self, controller: &Rc<Controller>, now: MonotonicMillis) {
        let due = machines_with_stale_token(
            &controller.cluster.borrow(),
            &controller.config,
            &mut self.last_announcements,
            now,
            |shard| is_announcing(controller, shard, now),
        );
        for stale in due {
            let machine = stale.machine;
            if !tasks::spawn_with_worker_connection(controller, raise_token(stale)) {
                break;
            }
            self.last_announcements.insert(machine, now);
        }
    }
}

/// True while a shard's fencing token should be announced: the shard was acquired long enough ago
/// that its workers should have found the owner by themselves, but less than [`ANNOUNCE_FOR_MS`]
/// ago.
fn is_announcing(controller: &Controller, shard: ShardIndex, now: MonotonicMillis) -> bool {
    let owned_since = controller.owned_since.borrow().get(&shard).copied();
    let owned_ms = owned_since.map(|since| now.since(since));
    let find_owner_ms = controller.config.unresponsive_ms / 2;
    owned_ms.is_some_and(|ms| ms > find_owner_ms && ms < ANNOUNCE_FOR_MS)
}

/// Machines of owned shards that have not shown their owner's fencing token.
///
/// Machines that were tried least recently come first, so that dozens of unreachable machines do
/// not delay the others. Removes the entries in `last_announcements` of machines that have shown
/// the token since.
pub fn machines_with_stale_token(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    last_announcements: &mut LastAnnouncements,
    now: MonotonicMillis,
    is_announcing: impl Fn(ShardIndex) -> bool,
) -> Vec<StaleTokenMachine> {
    let announcing: Vec<bool> = config
        .ownership_by_shard(cluster)
        .into_iter()
        .enumerate()
        .map(|(shard, owned)| owned && is_announcing(ShardIndex::new(shard)))
        .collect();
    let owner_token = |m: &Machine| cluster.shards[m.shard.at()].record.fencing_token;
    let is_stale =
        |m: &Machine| announcing[m.shard.at()] && m.heartbeat.fencing_token < owner_token(m);
    last_announcements.retain(|machine, _| cluster.machine(*machine).is_some_and(is_stale));
    let mut due: Vec<(Option<MonotonicMillis>, MachineIndex, &Machine)> = cluster
        .all_machines()
        .filter(|(_, m)| is_stale(m) && !m.addr.is_empty())
        .map(|(machine, m)| (last_announcements.get(&machine).copied(), machine, m))
        .filter(|(tried_at, ..)| tried_at.is_none_or(|t| now.since(t) >= RETRY_INTERVAL_MS))
        .collect();
    due.sort_by_key(|(tried_at, machine, _)| (*tried_at, *machine));
    due.into_iter()
        .map(|(_, machine, m)| StaleTokenMachine {
            machine,
            addr: m.addr.clone(),
            fencing_token: owner_token(m),
        })
        .collect()
}

/// Sends the owner's fencing token to a worker that has seen only a lower one.
///
/// The worker's response is not used as evidence about its tasks: a response to an earlier
/// heartbeat, with commands, may still be on its way to the worker.
async fn raise_token(stale: StaleTokenMachine) {
    let Some(worker) = fetch_status(&stale.addr).await else {
        return;
    };
    let Some(status) = worker.status() else {
        return;
    };
    if status.fencing_token >= stale.fencing_token {
        return;
    }
    let announcement = DirectCommands {
        fencing_token: stale.fencing_token,
        agent_epoch: status.agent_epoch,
        commands: Vec::new(),
    };
    worker.send(&announcement).await;
}
