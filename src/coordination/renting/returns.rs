//! Which machines go back, and when.

use super::{Desk, CALL_MS};
use crate::bookkeeping::fleet::Machine;
use crate::bookkeeping::names::{Index, MachineIx, ZoneIx};
use crate::bookkeeping::units::{ms_of, Ms};
use crate::bookkeeping::view::View;
use crate::coordination::node::Node;
use crate::coordination::plan::Rules;
use crate::coordination::siblings;
use crate::protocol::cloud::{Hosts, Listed};
use crate::protocol::peers::{Ask, Reply};
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
pub fn cut_zones(counts: &HashMap<ZoneIx, (u32, u32)>) -> HashSet<ZoneIx> {
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
    pub fn of(&self, view: &View, rules: &Rules, m: &Machine) -> u64 {
        let token = view.shards[m.shard.at()].rec.token;
        let sure = if rules.owns(view, m.shard) {
            m.token == token
        } else {
            m.sure
        };
        match m.heard {
            None => self.lease_ms + 20_000,
            Some(_) if sure => self.sure_ms,
            Some(_) => self.unsure(),
        }
    }
}

/// Machines to be released now, with the reason.
fn to_release(node: &Node, desk: &Desk, now: Ms) -> (Vec<(String, &'static str)>, Vec<String>) {
    let s = &node.platform.settings;
    let view = node.view.borrow();
    let lease_ms = ms_of(s.workers.lease_s);
    let limits = Silence {
        sure_ms: ms_of(s.workers.report_s * 4.0) + 4000,
        lease_ms,
    };
    let idle_ms = ms_of(node.operator.idle_return_s);
    // By how long its owner, who must have told lately, has waited for it for too long.
    let overdue = |m: &Machine| {
        let owner_here = node.rules.owns(&view, m.shard);
        let peer = view.live_owner(m.shard).and_then(|o| node.peer(o));
        let told = peer.is_some_and(|p| p.heard.get().is_some_and(|t| now.since(t) < 3000));
        let base = if owner_here {
            node.listened_since(m.shard)
        } else {
            desk.owner_since.max(node.woke.get())
        };
        let waited = siblings::silence(m.heard, m.known, base, now);
        let over = waited.checked_sub(limits.of(&view, &node.rules, m))?;
        (owner_here || told).then_some(over)
    };
    let mut by_zone: HashMap<ZoneIx, (u32, u32)> = HashMap::new();
    for (_, m) in view.all_machines().filter(|(_, m)| m.heard.is_some()) {
        let (all, silent) = by_zone.entry(m.zone).or_default();
        *all += 1;
        *silent += u32::from(m.heard.is_some_and(|h| now.since(h) > node.rules.silent_ms));
    }
    let cut = cut_zones(&by_zone);
    let silent = |m: &Machine| {
        let more = if cut.contains(&m.zone) {
            limits.of_cut_zone()
        } else {
            0
        };
        overdue(m).is_some_and(|over| over > more)
    };
    let asked = |n: &str, ms: u64| desk.released.get(n).is_some_and(|t| now.since(*t) < ms);
    let mut dead = Vec::new();
    let mut idle = Vec::new();
    for h in desk.listed.values() {
        if asked(&h.name, 5000) {
            continue;
        }
        let mix = view.machine_names.find(&h.name);
        let m: Option<&Machine> = mix.and_then(|m| view.machine(m));
        // A list may show a deleted machine for some time.
        let (Some(mix), Some(m)) = (mix, m) else {
            continue;
        };
        let boot = view.rigs.get(&m.rig).map_or(60.0, |r| r.flavor.boot_s);
        if h.status == "failed" {
            dead.push((h.name.clone(), "failed"));
        } else if m.sick {
            dead.push((h.name.clone(), "faulty"));
        } else if m.heard.is_none() && h.status == "booting" {
            if h.age_s > boot * STUCK + 10.0 {
                dead.push((h.name.clone(), "did not come up"));
            }
        } else if silent(m) {
            dead.push((h.name.clone(), "silent"));
        } else if m.is_closed() && view.placed_on(mix).is_empty() {
            // It takes nothing any more, whatever became of its first release.
            idle.push(h.name.clone());
        } else if view.placed_on(mix).is_empty()
            && m.heard.is_some()
            && !desk.needed.contains(&mix)
            && m.idle_since.is_some_and(|t| now.since(t) > idle_ms)
            && m.held.is_none_or(|(_, until)| now > until)
        {
            idle.push(h.name.clone());
        }
    }
    let unheard = |mix: MachineIx| match view.machine(mix) {
        Some(m) => silent(m),
        // Nobody has told of it since this duty began here.
        None => desk
            .owner_since
            .is_some_and(|t| now.since(t) > limits.unsure()),
    };
    let lost = lost(&view, &desk.listed, unheard).into_iter();
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
    view: &View,
    listed: &HashMap<String, Listed>,
    silent: impl Fn(MachineIx) -> bool,
) -> Vec<String> {
    let names = &view.machine_names;
    view.occupied()
        .filter(|m| !view.is_gone(*m) && !listed.contains_key(&**names.name(*m)) && silent(*m))
        .map(|m| names.name(m).to_string())
        .collect()
}

fn note_idle(node: &Node, now: Ms) {
    let mut view = node.view.borrow_mut();
    for mix in (0..view.machines.len()).map(MachineIx::new) {
        let placed = !view.placed_on(mix).is_empty();
        let Some(m) = view.machine_mut(mix) else {
            continue;
        };
        let busy = placed || !m.queue.is_empty() || m.queued_elsewhere > 0;
        m.idle_since = match (busy, m.heard) {
            (false, Some(_)) => m.idle_since.or(Some(now)),
            _ => None,
        };
    }
}

pub(super) async fn release(node: &Rc<Node>, desk: &mut Desk) {
    let now = node.now();
    note_idle(node, now);
    // Just after a change of owner little is known yet.
    if desk.owner_since.is_none_or(|t| now.since(t) < 3000) {
        return;
    }
    let (dead, idle) = to_release(node, desk, now);
    desk.returns_due = !dead.is_empty() || !idle.is_empty();
    if !desk.returns_due {
        return;
    }
    // Nothing fences a release but this: an owner that was cut off from the state service
    // would go on returning machines that others have long put to use.
    let still = node.refreshed(1500).await && {
        let view = node.view.borrow();
        node.rules.owns(&view, view.renting())
    };
    if !still {
        log::debug!("nothing is returned: not surely in charge");
        return;
    }
    let closed = close_idle(node, &idle).await;
    let closed = closed.into_iter().map(|n| (n, "idle"));
    let returned: Vec<(String, &str)> = dead.into_iter().chain(closed).take(RETURNS).collect();
    let names: Vec<String> = returned.iter().map(|(n, _)| n.clone()).collect();
    if names.is_empty() || !desk.pace.take(node.now(), 0.0) {
        return;
    }
    for (n, why) in &returned {
        log::info!("machine {n} is to be returned: {why}");
    }
    let Ok(body) = rmp_serde::to_vec_named(&Hosts {
        hosts: names.clone(),
    }) else {
        return;
    };
    let answer = node
        .cloud
        .call(Method::Post, "/hosts/release", body, CALL_MS)
        .await;
    for n in &names {
        desk.released.insert(n.clone(), node.now());
    }
    match answer {
        Ok(f) if f.status == 200 => {
            // The only proof there is for a machine that does not talk any more.
            siblings::gone(node, &names);
            for p in &node.peers {
                let ask = Ask::Gone {
                    machines: names.clone(),
                };
                let _ = p.client.ask(&ask, 500).await;
            }
        }
        Ok(f) => log::warn!("release refused with {}", f.status),
        Err(e) => {
            log::warn!("release: {e}");
            node.cloud.reset();
        }
    }
}

/// Has owners close idle machines, so that nothing new goes there; returns the closed ones.
async fn close_idle(node: &Rc<Node>, idle: &[String]) -> Vec<String> {
    let mut by_owner: HashMap<String, Vec<String>> = HashMap::new();
    {
        let view = node.view.borrow();
        for n in idle {
            let m = view.machine_names.find(n).and_then(|m| view.machine(m));
            if let Some(m) = m {
                let owner = view.shards[m.shard.at()].rec.owner.clone();
                by_owner.entry(owner).or_default().push(n.clone());
            }
        }
    }
    let mut out = Vec::new();
    for (owner, machines) in by_owner {
        if owner == node.rules.node {
            out.extend(siblings::close(node, &machines));
        } else if let Some(p) = node.peer(&owner) {
            if let Ok(Reply::Closed(c)) = p.client.ask(&Ask::Close { machines }, 800).await {
                out.extend(c);
            }
        }
    }
    out
}
