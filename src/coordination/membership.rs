//! Membership: the node's leased key, and who owns which shard.

use crate::coordination::controller::{ExternalService, Node, Peer};
use crate::coordination::failover::{self, standbys};
use crate::coordination::kv::{set, Outcome};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::kv::{Condition, Lease, LeaseRequest, Transaction};
use crate::state::cluster_state::{ClusterState, NodeRecord, ShardRecord, Versioned, ROOT};
use crate::state::machine::LateStart;
use crate::state::names::{Index, ShardIx, ZoneIx};
use crate::state::records::{SECOND_FORM, STANDBY_VERSION};
use crate::state::units::{ms_of, Ms};
use http_types::Method;
use standby::failover::{Takeovers, Transition};
use standby::ids::{Millis, ShardId};
use standby::role::{self, Candidate, ZonePreference};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

/// Longest time between two looks; news of nodes and shards ring.
const BEAT_MS: u64 = 1000;
/// Time after which a move that failed is tried again.
const AGAIN_MS: u64 = 300;
/// Age at which the lease is renewed: a little under a beat, so that none is missed.
const RENEW_MS: u64 = 900;
/// A node must have been there this long before it is handed shards of a living one.
const SETTLED_MS: u64 = 2500;

/// The node that should own a shard: live ones in its zone first, the work spread evenly.
pub fn wanted_owner<'a>(
    cluster: &ClusterState,
    zones: &BTreeMap<String, ZoneIx>,
    live: &[&'a str],
    shard: ShardIx,
) -> Option<&'a str> {
    let candidate = |name: &&'a str| Candidate {
        name,
        zone: zones.get(*name).map(|zone| zone.0),
        settled: true,
        reaches_workers: true,
    };
    let candidates: Vec<Candidate> = live.iter().map(candidate).collect();
    let zone = cluster.shard_zone(shard);
    let preference = zone.map_or(ZonePreference::Any, |zone| ZonePreference::Inside(zone.0));
    role::pick(&candidates, preference, turn(cluster, shard))
}

/// Spreads the shards of a zone over equally good nodes.
fn turn(cluster: &ClusterState, shard: ShardIx) -> usize {
    shard.at() % cluster.shards_per_zone.max(1)
}

/// Least time between rises of tokens for late starts.
const RAISE_MS: u64 = 5000;
/// Age at which a direct start without an answer counts as late.
const LATE_MS: u64 = 2500;

/// Direct starts of a machine that are kept in mind at most before the token rises.
const KEPT_EXITS: usize = 200;

/// A change of owner to be tried.
#[derive(Debug, PartialEq)]
pub struct Move {
    /// Shard.
    pub shard: ShardIx,
    /// New owner.
    pub to: String,
}

/// What a node knows beside the records when it decides on shards.
#[derive(Default)]
pub struct Known {
    /// Since when each incarnation has been seen.
    pub seen: HashMap<(String, u64), Ms>,
    /// Nodes that no worker reaches.
    pub deaf: HashSet<String>,
    /// Since when this node has each of its shards.
    pub owned: HashMap<ShardIx, Ms>,
    /// Since when a shard has no living owner.
    pub ownerless: HashMap<ShardIx, Ms>,
    /// How standbys are chosen; `None`: shards without a living owner go to whoever should have
    /// them.
    pub standby: Option<StandbyRule>,
}

/// How the standby of a shard is chosen.
#[derive(Clone, Debug)]
pub struct StandbyRule {
    /// Zone of each node.
    pub zones: BTreeMap<String, ZoneIx>,
    /// Nodes of other zones than the owner's first.
    pub prefer_other_zone: bool,
    /// Time for which a node must have been there, ms.
    pub settle_ms: u64,
}

/// A shard that its standby has not taken over after this time goes to whoever should have it:
/// nodes whose settings or views differ could otherwise leave it to each other.
const ABANDONED_MS: u64 = 2500;

/// The standby of a shard: a live node other than its owner that knows the feature.
pub fn standby_of<'a>(
    cluster: &'a ClusterState,
    known: &Known,
    shard: ShardIx,
    now: Ms,
) -> Option<&'a str> {
    let rule = known.standby.as_ref()?;
    let owner = cluster.shards[shard.at()].rec.owner.as_str();
    let candidate = |(name, node): (&'a String, &Versioned<NodeRecord>)| Candidate {
        name: name.as_str(),
        zone: rule.zones.get(name).map(|zone| zone.0),
        settled: is_settled(known, rule, name, node, now),
        reaches_workers: !known.deaf.contains(name),
    };
    let able = |(_, node): &(&String, &Versioned<NodeRecord>)| node.rec.standby > 0;
    let candidates: Vec<Candidate> = cluster.nodes.iter().filter(able).map(candidate).collect();
    let zone = cluster.shard_zone(shard).map(|zone| zone.0);
    let preference = match (zone, rule.prefer_other_zone) {
        (None, _) => ZonePreference::Any,
        (Some(zone), true) => ZonePreference::Outside(zone),
        (Some(zone), false) => ZonePreference::Inside(zone),
    };
    role::standby_of(owner, &candidates, preference, turn(cluster, shard))
}

fn is_settled(
    known: &Known,
    rule: &StandbyRule,
    name: &str,
    node: &Versioned<NodeRecord>,
    now: Ms,
) -> bool {
    let seen = known.seen.get(&(name.to_string(), node.rec.incarnation));
    seen.is_some_and(|t| now.since(*t) >= rule.settle_ms)
}

/// The standby of a shard, if it has been there for long enough to have followed the owner: after a
/// restart of all nobody has, and shards go straight to whoever should have them.
fn settled_standby_of<'a>(
    cluster: &'a ClusterState,
    known: &Known,
    shard: ShardIx,
    now: Ms,
) -> Option<&'a str> {
    let rule = known.standby.as_ref()?;
    let name = standby_of(cluster, known, shard, now)?;
    let node = cluster.nodes.get(name)?;
    is_settled(known, rule, name, node, now).then_some(name)
}

/// The node that should take a shard without a living owner.
fn successor<'a>(
    cluster: &'a ClusterState,
    zones: &BTreeMap<String, ZoneIx>,
    known: &Known,
    (live, shard): (&[&'a str], ShardIx),
    now: Ms,
) -> Option<&'a str> {
    let since = known.ownerless.get(&shard);
    let abandoned = since.is_some_and(|t| now.since(*t) >= ABANDONED_MS);
    let never_owned = cluster.shards[shard.at()].rec.owner.is_empty();
    if !abandoned && !never_owned {
        if let Some(name) = settled_standby_of(cluster, known, shard, now) {
            return Some(name);
        }
    }
    wanted_owner(cluster, zones, live, shard)
}

/// What this node should change: take shards without a living owner, hand over its own
/// to a settled node that should have them.
///
/// A shard stays for a moment with whoever gets it: why it came may be in news that are still
/// on their way, and two nodes that disagree would hand it to and fro.
pub fn moves(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    zones: &BTreeMap<String, ZoneIx>,
    known: &Known,
    may_raise: bool,
    now: Ms,
) -> Vec<Move> {
    let Known {
        seen, deaf, owned, ..
    } = known;
    let live: Vec<&str> = cluster.nodes.keys().map(String::as_str).collect();
    let settled: Vec<&str> = cluster
        .nodes
        .iter()
        .filter(|(n, r)| {
            **n == config.node
                || seen
                    .get(&((*n).clone(), r.rec.incarnation))
                    .is_some_and(|s| now.since(*s) >= SETTLED_MS)
        })
        .map(|(n, _)| n.as_str())
        .collect();
    // A node that no worker reaches is of no use to machines, as long as another is.
    let hearing = |nodes: &[&str]| nodes.iter().any(|n| !deaf.contains(*n));
    let (all_live, all_settled) = (live, settled);
    let mut out = Vec::new();
    for shard in (0..cluster.shards.len()).map(ShardIx::new) {
        let (mut live, mut settled) = (all_live.clone(), all_settled.clone());
        for nodes in [&mut live, &mut settled] {
            if shard != cluster.renting() && hearing(nodes) {
                nodes.retain(|n| !deaf.contains(*n));
            }
        }
        let target = match cluster.live_owner(shard) {
            None => {
                successor(cluster, zones, known, (&live, shard), now).filter(|n| *n == config.node)
            }
            Some(owner) if owner == config.node && config.owns(cluster, shard) => {
                // A direct start that was not answered may run until the token rises, and exits
                // that are kept against repeated ones must not fill the reports.
                let late = || {
                    let token = cluster.shards[shard.at()].rec.token;
                    cluster.all_machines().any(|(_, m)| {
                        // Those of older tokens can't run any more, though a silent machine
                        // keeps them: to count them would raise the token again and again.
                        let open = |l: &&LateStart| l.token >= token;
                        let kept = || m.late_starts.values().filter(open);
                        let unanswered = |l: &LateStart| !l.answered && now.since(l.sent) > LATE_MS;
                        m.shard == shard && (kept().count() > KEPT_EXITS || kept().any(unanswered))
                    })
                };
                let held = || {
                    let since = owned.get(&shard);
                    since.is_some_and(|t| now.since(*t) >= SETTLED_MS)
                };
                wanted_owner(cluster, zones, &settled, shard).filter(|n| {
                    if *n == config.node {
                        may_raise && late()
                    } else {
                        held()
                    }
                })
            }
            Some(_) => None,
        };
        out.extend(target.map(|to| Move {
            shard,
            to: to.to_string(),
        }));
    }
    out
}

/// The transaction of a move: valid only while nothing about either owner has changed.
pub fn move_transaction(cluster: &ClusterState, m: &Move) -> Option<(Transaction, ShardRecord)> {
    let old = &cluster.shards[m.shard.at()];
    let target = cluster.nodes.get(&m.to)?;
    let rec = ShardRecord {
        owner: m.to.clone(),
        incarnation: target.rec.incarnation,
        token: old.rec.token + 1,
    };
    let node_key = |n: &str| format!("{ROOT}node/{n}");
    let mut conditions = vec![
        Condition {
            key: cluster.shard_key(m.shard),
            version: old.version,
        },
        Condition {
            key: node_key(&m.to),
            version: target.version,
        },
    ];
    if !old.rec.owner.is_empty() && old.rec.owner != m.to {
        conditions.push(Condition {
            key: node_key(&old.rec.owner),
            version: cluster.nodes.get(&old.rec.owner).map_or(0, |n| n.version),
        });
    }
    let writes = vec![set(cluster.shard_key(m.shard), &rec, None)?];
    Some((Transaction { conditions, writes }, rec))
}

/// The transaction by which the second form of records begins: once all nodes of the deployment
/// live and know it, and on condition that none of them has changed since.
///
/// A process of the old version that comes back later finds its records in the first form but for
/// jobs with dependencies and wide ones, which it may show and cancel. That is for the operator to
/// rule out: until the second form begins a change of version can be taken back.
pub fn begin_second_form(cluster: &ClusterState, all: &[&str]) -> Option<Transaction> {
    if cluster.second_form || !cluster.loaded {
        return None;
    }
    let key = format!("{ROOT}form/{SECOND_FORM}");
    let mut conditions = vec![Condition {
        key: key.clone(),
        version: 0,
    }];
    for name in all {
        let node = cluster.nodes.get(*name)?;
        if node.rec.forms < SECOND_FORM {
            return None;
        }
        conditions.push(Condition {
            key: format!("{ROOT}node/{name}"),
            version: node.version,
        });
    }
    let writes = vec![set(key, &true, None)?];
    Some(Transaction { conditions, writes })
}

/// Time after which a node that does not renew its key is dead to the others: four tenths of the
/// workers' lease, so that their next owner finds them before it ends.
pub fn lease_ms(workers_lease_ms: u64) -> u64 {
    (workers_lease_ms * 4 / 10).clamp(3000, 5000)
}

/// Duty: keeps the node's key and its shards.
pub async fn run(node: Rc<Node>) {
    let zones = zones_of_nodes(&node);
    let ttl_ms = lease_ms(ms_of(node.platform.settings.workers.lease_s));
    let mut lease: Option<u64> = None;
    let mut renewed = Ms(0);
    let mut raised = Ms(0);
    let mut known = Known {
        standby: node.features.standby().map(|settings| StandbyRule {
            zones: zones.clone(),
            prefer_other_zone: settings.prefer_other_zone,
            settle_ms: settings.settle_ms,
        }),
        ..Known::default()
    };
    loop {
        let now = node.now();
        let loaded = node.cluster.borrow().loaded;
        let mut again = !loaded;
        if loaded && (lease.is_none() || now.since(renewed) >= RENEW_MS) {
            lease = keep_lease(&node, lease, ttl_ms).await;
            renewed = now;
            again = lease.is_none();
        }
        try_second_form(&node).await;
        let may_raise = now.since(raised) >= RAISE_MS;
        if may_raise {
            raised = now;
        }
        let wanted = wanted_moves(&node, &zones, &mut known, may_raise, now);
        again |= !carry_out(&node, wanted).await;
        note_owned(&node);
        node.observe_shards();
        node.note_served(ExternalService::State, node.store_ok());
        if again {
            node.pause(AGAIN_MS).await;
        } else {
            node.beat(BEAT_MS, Some(&node.members)).await;
        }
    }
}

/// The zone of each node of the deployment, as far as it is one of the settings' zones.
fn zones_of_nodes(node: &Node) -> BTreeMap<String, ZoneIx> {
    let cluster = node.cluster.borrow();
    let platform = &node.platform;
    let here = (platform.node.as_str(), platform.domain.as_str());
    let others = platform
        .siblings
        .iter()
        .map(|p| (p.node.as_str(), p.domain.as_str()));
    let all = others.chain(std::iter::once(here));
    all.filter_map(|(name, zone)| Some((name.to_string(), cluster.zone_names.find(zone)?)))
        .collect()
}

/// Begins the second form of records once all nodes know it.
async fn try_second_form(node: &Rc<Node>) {
    let transaction = {
        let peers = node.peers.iter().map(|p| p.name.as_str());
        let all: Vec<&str> = peers.chain([node.config.node.as_str()]).collect();
        begin_second_form(&node.cluster.borrow(), &all)
    };
    let Some(transaction) = transaction else {
        return;
    };
    if let Outcome::Done(_) = node.commit(&transaction).await {
        log::info!("all nodes know the second form of records, it begins");
    }
    node.refreshed(1500).await;
}

/// Brings what is known beside the records up to date, and decides on shards.
fn wanted_moves(
    node: &Rc<Node>,
    zones: &BTreeMap<String, ZoneIx>,
    known: &mut Known,
    may_raise: bool,
    now: Ms,
) -> Vec<Move> {
    known.deaf = deaf_nodes(node);
    known.owned.clone_from(&node.owned_since.borrow());
    let cluster = node.cluster.borrow();
    known.seen.retain(|(name, incarnation), _| {
        let record = cluster.nodes.get(name);
        record.is_some_and(|r| r.rec.incarnation == *incarnation)
    });
    for (name, record) in &cluster.nodes {
        let incarnation = (name.clone(), record.rec.incarnation);
        known.seen.entry(incarnation).or_insert(now);
    }
    for shard in (0..cluster.shards.len()).map(ShardIx::new) {
        if cluster.live_owner(shard).is_some() {
            known.ownerless.remove(&shard);
        } else {
            known.ownerless.entry(shard).or_insert(now);
        }
    }
    failover::note_standbys(node, standbys(&cluster, known, now));
    // Without an own key there is nothing to take shards with.
    let own = cluster.nodes.get(&node.config.node);
    if own.is_some_and(|r| r.rec.incarnation == node.config.incarnation) {
        moves(&cluster, &node.config, zones, known, may_raise, now)
    } else {
        Vec::new()
    }
}

/// Carries moves out, one transaction each; false if one failed, and the rest are left.
async fn carry_out(node: &Rc<Node>, wanted: Vec<Move>) -> bool {
    for m in wanted {
        let transaction = move_transaction(&node.cluster.borrow(), &m);
        let Some((transaction, record)) = transaction else {
            continue;
        };
        if m.to == node.config.node {
            note_fence(node, m.shard, Takeovers::fence_sent);
        }
        match node.commit(&transaction).await {
            Outcome::Done(revision) => note_moved(node, &m, revision, record),
            Outcome::Conflict(_) => {
                note_fence(node, m.shard, Takeovers::fence_refused);
                node.refreshed(1500).await;
                return false;
            }
            Outcome::Refused(_) => {
                note_fence(node, m.shard, Takeovers::fence_refused);
                return false;
            }
            // It may have been carried out, or still be: the records will tell.
            Outcome::Unknown => return false,
        }
    }
    true
}

/// A step of the transaction that raises a shard's token, told to the shard's takeover.
fn note_fence(
    node: &Node,
    shard: ShardIx,
    step: fn(&mut Takeovers, ShardId, Millis) -> Option<Transition>,
) {
    let now = failover::millis(node.now());
    let change = step(&mut node.takeovers.borrow_mut(), ShardId(shard.0), now);
    if let Some(change) = change {
        node.log_transition(change);
    }
}

fn note_moved(node: &Node, m: &Move, revision: u64, record: ShardRecord) {
    log::info!(
        "shard {} goes to {} with token {}",
        m.shard.0,
        m.to,
        record.token
    );
    let mut cluster = node.cluster.borrow_mut();
    let slot = &mut cluster.shards[m.shard.at()];
    if slot.version < revision {
        slot.version = revision;
        slot.rec = record;
    }
    node.plan.notify();
}

/// Nodes that no worker reaches, this one among them, as far as they told lately.
fn deaf_nodes(node: &Rc<Node>) -> HashSet<String> {
    let now = node.now();
    let told = |p: &&Peer| p.heard.get().is_some_and(|t| now.since(t) < 4000);
    let peers = node.peers.iter().filter(told);
    let peers = peers.filter(|p| !p.hears_workers.get());
    let mut out: HashSet<String> = peers.map(|p| p.name.clone()).collect();
    if !node.hears_workers() {
        out.insert(node.config.node.clone());
    }
    out
}

/// Notes since when shards are owned.
fn note_owned(node: &Rc<Node>) {
    let now = node.now();
    let cluster = node.cluster.borrow();
    let mut since = node.owned_since.borrow_mut();
    for s in (0..cluster.shards.len()).map(ShardIx::new) {
        if !node.config.owns(&cluster, s) {
            since.remove(&s);
            continue;
        }
        since.entry(s).or_insert_with(|| {
            log::info!(
                "owns shard {} with token {}",
                s.0,
                cluster.shards[s.at()].rec.token
            );
            if s == cluster.renting() {
                node.rent.notify();
            }
            now
        });
    }
}

async fn keep_lease(node: &Rc<Node>, lease: Option<u64>, ttl_ms: u64) -> Option<u64> {
    let lease = match lease {
        Some(l) => {
            let path = format!("/grants/{l}/touch");
            match node.store_call(Method::Post, &path, Vec::new()).await {
                Ok(f) if f.status == 404 => {
                    log::warn!("the lease of this node ended, taking a new one");
                    None
                }
                // Served or not, it is still ours until the service says otherwise.
                _ => Some(l),
            }
        }
        None => None,
    };
    let me = node.config.node.as_str();
    let present = node
        .cluster
        .borrow()
        .nodes
        .get(me)
        .is_some_and(|r| r.rec.incarnation == node.config.incarnation);
    if lease.is_some() && present {
        return lease;
    }
    let lease = match lease {
        Some(l) => l,
        None => {
            let body = rmp_serde::to_vec_named(&LeaseRequest { ttl_ms }).ok()?;
            let f = node.store_call(Method::Post, "/grants", body).await.ok()?;
            rmp_serde::from_slice::<Lease>(&f.body).ok()?.lease
        }
    };
    let rec = NodeRecord {
        incarnation: node.config.incarnation,
        forms: SECOND_FORM,
        standby: match node.features.standby() {
            Some(_) => STANDBY_VERSION,
            None => 0,
        },
    };
    let key = format!("{ROOT}node/{me}");
    let version = node.cluster.borrow().nodes.get(me).map_or(0, |n| n.version);
    let txn = Transaction {
        // A late write of an earlier incarnation must not replace this one's.
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        writes: vec![set(key, &rec, Some(lease))?],
    };
    match node.commit(&txn).await {
        Outcome::Done(_) => {
            node.refreshed(1500).await;
            Some(lease)
        }
        Outcome::Refused(400) => None,
        Outcome::Conflict(_) => {
            node.refreshed(1500).await;
            Some(lease)
        }
        _ => Some(lease),
    }
}
