//! Which machines go back, and when.

use super::{AutoscalerState, CALL_MS};
use crate::coordination::controller::Controller;
use crate::coordination::peer_messages;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::cloud::{ListedMachine, MachineNames};
use crate::protocol::peers::{PeerRequest, PeerResponse};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, MachineIndex, ZoneIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use http_types::Method;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Boot times after which a machine that boots is returned.
const STUCK: f64 = 2.5;

/// Most machines in one return, by the cloud's protocol.
const RETURNS: usize = 100;

/// Fewest machines of a zone of which a part can tell of a cut.
const ZONE_LEAST: u32 = 12;

/// A zone in which more than one in so many machines is silent is likely cut off.
const ZONE_PART: u32 = 3;

/// How long a machine may be silent before it is returned.
pub struct Silence {
    /// One that has shown its owner's token.
    pub sure_ms: u64,
    /// The workers' lease.
    pub lease_ms: u64,
}

/// Zones of which so many machines are silent at once that the zone and not they will have
/// failed, from the number of machines and of silent ones by zone.
pub fn partitioned_zones(counts: &HashMap<ZoneIndex, (u32, u32)>) -> HashSet<ZoneIndex> {
    let cut = |(all, silent): &(u32, u32)| *all >= ZONE_LEAST && silent * ZONE_PART > *all;
    let zones = counts.iter().filter(|(_, c)| cut(c));
    zones.map(|(z, _)| *z).collect()
}

impl Silence {
    /// How much longer machines of a zone that is likely cut off are waited for. Inside they go
    /// on, answered by the nodes there, and what runs on them would be lost by returning them.
    pub fn of_cut_zone(&self) -> u64 {
        self.lease_ms * 2
    }
    fn unsure(&self) -> u64 {
        self.sure_ms + self.lease_ms / 2
    }
    /// The limit of a machine. After a change of owner it may still talk to the old one, who
    /// does not know: until the new token has reached it, its silence here proves little.
    pub fn of(&self, cluster: &ClusterState, config: &SchedulerConfig, m: &Machine) -> u64 {
        let token = cluster.shards[m.shard.at()].record.fencing_token;
        let sure = if config.owns(cluster, m.shard) {
            m.fencing_token == token
        } else {
            m.fencing_token_confirmed
        };
        match m.last_heartbeat {
            None => self.lease_ms + 20_000,
            Some(_) if sure => self.sure_ms,
            Some(_) => self.unsure(),
        }
    }
}

/// Machines to be released now, with the reason.
fn machines_to_release(
    controller: &Controller,
    duty: &AutoscalerState,
    now: MonotonicMillis,
) -> (Vec<(String, &'static str)>, Vec<String>) {
    let s = &controller.platform.settings;
    let cluster = controller.cluster.borrow();
    let lease_ms = millis_from_seconds(s.workers.lease_s);
    let limits = Silence {
        sure_ms: millis_from_seconds(s.workers.report_s * 4.0) + 4000,
        lease_ms,
    };
    let idle_ms = millis_from_seconds(controller.operator.idle_return_s);
    // By how long its owner, who must have told lately, has waited for it for too long.
    let overdue = |m: &Machine| {
        let owner_here = controller.config.owns(&cluster, m.shard);
        let peer = cluster.live_owner(m.shard).and_then(|o| controller.peer(o));
        let told = peer.is_some_and(|p| p.last_status.get().is_some_and(|t| now.since(t) < 3000));
        let base = if owner_here {
            controller.observing_since(m.shard)
        } else {
            duty.owner_since.max(controller.resumed_at.get())
        };
        let waited = peer_messages::silence(m.last_heartbeat, m.discovered_at, base, now);
        let over = waited.checked_sub(limits.of(&cluster, &controller.config, m))?;
        (owner_here || told).then_some(over)
    };
    let mut by_zone: HashMap<ZoneIndex, (u32, u32)> = HashMap::new();
    for (_, m) in cluster
        .all_machines()
        .filter(|(_, m)| m.last_heartbeat.is_some())
    {
        let (all, silent) = by_zone.entry(m.zone).or_default();
        *all += 1;
        *silent += u32::from(
            m.last_heartbeat
                .is_some_and(|h| now.since(h) > controller.config.unresponsive_ms),
        );
    }
    let cut = partitioned_zones(&by_zone);
    let silent = |m: &Machine| {
        let more = if cut.contains(&m.zone) {
            limits.of_cut_zone()
        } else {
            0
        };
        overdue(m).is_some_and(|over| over > more)
    };
    let asked = |n: &str, ms: u64| duty.released.get(n).is_some_and(|t| now.since(*t) < ms);
    let mut dead = Vec::new();
    let mut idle = Vec::new();
    for h in duty.listed.values() {
        if asked(&h.name, 5000) {
            continue;
        }
        let machine_index = cluster.machine_names.find(&h.name);
        let m: Option<&Machine> = machine_index.and_then(|m| cluster.machine(m));
        // A list may show a deleted machine for some time.
        let (Some(machine_index), Some(m)) = (machine_index, m) else {
            continue;
        };
        let boot = cluster
            .machine_types
            .get(&m.machine_type)
            .map_or(60.0, |r| r.description.boot_s);
        if h.status == "failed" {
            dead.push((h.name.clone(), "failed"));
        } else if m.quarantined {
            dead.push((h.name.clone(), "faulty"));
        } else if m.last_heartbeat.is_none() && h.status == "booting" {
            if h.age_s > boot * STUCK + 10.0 {
                dead.push((h.name.clone(), "did not come up"));
            }
        } else if silent(m) {
            dead.push((h.name.clone(), "silent"));
        } else if m.is_cordoned() && cluster.placed_on(machine_index).is_empty() {
            // It takes nothing any more, whatever became of its first release.
            idle.push(h.name.clone());
        } else if cluster.placed_on(machine_index).is_empty()
            && m.last_heartbeat.is_some()
            && !duty.needed.contains(&machine_index)
            && m.idle_since.is_some_and(|t| now.since(t) > idle_ms)
            && m.reservation.is_none_or(|(_, until)| now > until)
        {
            idle.push(h.name.clone());
        }
    }
    let unreachable = |machine_index: MachineIndex| match cluster.machine(machine_index) {
        Some(m) => silent(m),
        // Nobody has told of it since this duty began here.
        None => duty
            .owner_since
            .is_some_and(|t| now.since(t) > limits.unsure()),
    };
    let lost = lost(&cluster, &duty.listed, unreachable).into_iter();
    dead.extend(lost.filter(|n| !asked(n, 5000)).map(|n| (n, "lost")));
    dead.sort();
    idle.sort();
    (dead, idle)
}

/// Machines with placements that are not in the list and silent.
///
/// The cloud took them while no owner lived that had heard them: nothing else proves their
/// tasks gone, and their jobs would wait for ever. Deleting an unknown name is answered too.
pub fn lost(
    cluster: &ClusterState,
    listed: &HashMap<String, ListedMachine>,
    silent: impl Fn(MachineIndex) -> bool,
) -> Vec<String> {
    let names = &cluster.machine_names;
    cluster
        .occupied()
        .filter(|m| {
            !cluster.is_deleted(*m) && !listed.contains_key(&**names.name(*m)) && silent(*m)
        })
        .map(|m| names.name(m).to_string())
        .collect()
}

fn note_idle(controller: &Controller, now: MonotonicMillis) {
    let mut cluster = controller.cluster.borrow_mut();
    for machine_index in (0..cluster.machines.len()).map(MachineIndex::new) {
        let placed = !cluster.placed_on(machine_index).is_empty();
        let Some(m) = cluster.machine_mut(machine_index) else {
            continue;
        };
        let busy = placed || !m.queue.is_empty() || m.owner_queue_length > 0;
        m.idle_since = match (busy, m.last_heartbeat) {
            (false, Some(_)) => m.idle_since.or(Some(now)),
            _ => None,
        };
    }
}

pub(super) async fn release(controller: &Rc<Controller>, duty: &mut AutoscalerState) {
    let now = controller.now();
    note_idle(controller, now);
    // Just after a change of owner little is known yet.
    if duty.owner_since.is_none_or(|t| now.since(t) < 3000) {
        return;
    }
    let (dead, idle) = machines_to_release(controller, duty, now);
    duty.scale_in_pending = !dead.is_empty() || !idle.is_empty();
    if !duty.scale_in_pending {
        return;
    }
    // Nothing fences a release but this: an owner that was cut off from the state service
    // would go on returning machines that others have long put to use.
    let still = controller.refresh(1500).await && {
        let cluster = controller.cluster.borrow();
        controller.config.owns(&cluster, cluster.autoscaler_shard())
    };
    if !still {
        log::debug!("nothing is returned: not surely in charge");
        return;
    }
    let closed = close_idle(controller, &idle).await;
    let closed = closed.into_iter().map(|n| (n, "idle"));
    let returned: Vec<(String, &str)> = dead.into_iter().chain(closed).take(RETURNS).collect();
    let names: Vec<String> = returned.iter().map(|(n, _)| n.clone()).collect();
    if names.is_empty() || !duty.rate_limiter.take(controller.now(), 0.0) {
        return;
    }
    for (n, why) in &returned {
        log::info!("machine {n} is to be returned: {why}");
    }
    let Ok(body) = rmp_serde::to_vec_named(&MachineNames {
        hosts: names.clone(),
    }) else {
        return;
    };
    let answer = controller
        .cloud
        .call(Method::Post, "/hosts/release", body, CALL_MS)
        .await;
    for n in &names {
        duty.released.insert(n.clone(), controller.now());
    }
    match answer {
        Ok(f) if f.status == 200 => {
            // The only proof there is for a machine that does not talk any more.
            peer_messages::gone(controller, &names);
            for p in &controller.peers {
                let ask = PeerRequest::MachinesDeleted {
                    machines: names.clone(),
                };
                let _ = p.client.ask(&ask, 500).await;
            }
        }
        Ok(f) => log::warn!("release refused with {}", f.status),
        Err(e) => {
            log::warn!("release: {e}");
            controller.cloud.reset();
        }
    }
}

/// Has owners close idle machines, so that nothing new goes there; returns the closed ones.
async fn close_idle(controller: &Rc<Controller>, idle: &[String]) -> Vec<String> {
    let mut by_owner: HashMap<String, Vec<String>> = HashMap::new();
    {
        let cluster = controller.cluster.borrow();
        for n in idle {
            let m = cluster
                .machine_names
                .find(n)
                .and_then(|m| cluster.machine(m));
            if let Some(m) = m {
                let owner = cluster.shards[m.shard.at()].record.owner.clone();
                by_owner.entry(owner).or_default().push(n.clone());
            }
        }
    }
    let mut out = Vec::new();
    for (owner, machines) in by_owner {
        if owner == controller.config.controller_name {
            out.extend(peer_messages::close(controller, &machines));
        } else if let Some(p) = controller.peer(&owner) {
            if let Ok(PeerResponse::Cordoned(c)) =
                p.client.ask(&PeerRequest::Cordon { machines }, 800).await
            {
                out.extend(c);
            }
        }
    }
    out
}
