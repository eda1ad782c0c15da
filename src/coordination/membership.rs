//! Membership: the node's leased key, and who owns which shard.

use crate::coordination::controller::{Controller, ExternalService, Peer};
use crate::coordination::failover::{self, standbys};
use crate::coordination::kv::{set, CommitOutcome};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::kv::{Condition, Lease, LeaseRequest, Transaction};
use crate::state::cluster_state::{ClusterState, ControllerRecord, ShardRecord, Versioned, ROOT};
use crate::state::machine::InFlightStart;
use crate::state::names::{Index, ShardIndex, ZoneIndex};
use crate::state::records::{RECORD_FORMAT_V2, STANDBY_VERSION};
use crate::state::units::{millis_from_seconds, Incarnation, MonotonicMillis};
use http_types::Method;
use standby::failover::{Failovers, Transition};
use standby::ids::{Millis, ShardId};
use standby::role::{self, Candidate, ZonePreference};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

/// Longest time between two looks; news of nodes and shards ring.
const TICK_MS: u64 = 1000;
/// Time after which a move that failed is tried again.
const AGAIN_MS: u64 = 300;
/// Age at which the lease is renewed: a little under a beat, so that none is missed.
const RENEW_MS: u64 = 900;
/// A node must have been there this long before it is handed shards of a living one.
const ELIGIBLE_AFTER_MS: u64 = 2500;

/// The node that should own a shard: live ones in its zone first, the work spread evenly.
pub fn preferred_owner<'a>(
    cluster: &ClusterState,
    zones: &BTreeMap<String, ZoneIndex>,
    live: &[&'a str],
    shard: ShardIndex,
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
fn turn(cluster: &ClusterState, shard: ShardIndex) -> usize {
    shard.at() % cluster.shards_per_zone.max(1)
}

/// Least time between rises of tokens for late starts.
const RAISE_MS: u64 = 5000;
/// Age at which a direct start without an answer counts as late.
const LATE_MS: u64 = 2500;

/// Direct starts of a machine that are kept in mind at most before the token rises.
const MAX_UNACKNOWLEDGED_EXITS: usize = 200;

/// A change of owner to be tried.
#[derive(Debug, PartialEq)]
pub struct Move {
    /// Shard.
    pub shard: ShardIndex,
    /// New owner.
    pub to: String,
}

/// What a node knows beside the records when it decides on shards.
#[derive(Default)]
pub struct MembershipView {
    /// Since when each incarnation has been seen.
    pub first_seen: HashMap<(String, Incarnation), MonotonicMillis>,
    /// Nodes that no worker reaches.
    pub unreachable_from_workers: HashSet<String>,
    /// Since when this node has each of its shards.
    pub owned_since: HashMap<ShardIndex, MonotonicMillis>,
    /// Since when a shard has no living owner.
    pub ownerless_since: HashMap<ShardIndex, MonotonicMillis>,
    /// How standbys are chosen; `None`: shards without a living owner go to whoever should have
    /// them.
    pub standby: Option<StandbyRule>,
}

/// How the standby of a shard is chosen.
#[derive(Clone, Debug)]
pub struct StandbyRule {
    /// Zone of each node.
    pub zones: BTreeMap<String, ZoneIndex>,
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
    known: &MembershipView,
    shard: ShardIndex,
    now: MonotonicMillis,
) -> Option<&'a str> {
    let rule = known.standby.as_ref()?;
    let owner = cluster.shards[shard.at()].record.owner.as_str();
    let candidate = |(name, controller): (&'a String, &Versioned<ControllerRecord>)| Candidate {
        name: name.as_str(),
        zone: rule.zones.get(name).map(|zone| zone.0),
        settled: is_settled(known, rule, name, controller, now),
        reaches_workers: !known.unreachable_from_workers.contains(name),
    };
    let able = |(_, controller): &(&String, &Versioned<ControllerRecord>)| {
        controller.record.standby_version > 0
    };
    let candidates: Vec<Candidate> = cluster
        .controllers
        .iter()
        .filter(able)
        .map(candidate)
        .collect();
    let zone = cluster.shard_zone(shard).map(|zone| zone.0);
    let preference = match (zone, rule.prefer_other_zone) {
        (None, _) => ZonePreference::Any,
        (Some(zone), true) => ZonePreference::Outside(zone),
        (Some(zone), false) => ZonePreference::Inside(zone),
    };
    role::standby_of(owner, &candidates, preference, turn(cluster, shard))
}

fn is_settled(
    known: &MembershipView,
    rule: &StandbyRule,
    name: &str,
    controller: &Versioned<ControllerRecord>,
    now: MonotonicMillis,
) -> bool {
    let seen = known
        .first_seen
        .get(&(name.to_string(), controller.record.incarnation));
    seen.is_some_and(|t| now.since(*t) >= rule.settle_ms)
}

/// The standby of a shard, if it has been there for long enough to have followed the owner: after a
/// restart of all nobody has, and shards go straight to whoever should have them.
fn settled_standby_of<'a>(
    cluster: &'a ClusterState,
    known: &MembershipView,
    shard: ShardIndex,
    now: MonotonicMillis,
) -> Option<&'a str> {
    let rule = known.standby.as_ref()?;
    let name = standby_of(cluster, known, shard, now)?;
    let controller = cluster.controllers.get(name)?;
    is_settled(known, rule, name, controller, now).then_some(name)
}

/// The node that should take a shard without a living owner.
fn successor<'a>(
    cluster: &'a ClusterState,
    zones: &BTreeMap<String, ZoneIndex>,
    known: &MembershipView,
    (live, shard): (&[&'a str], ShardIndex),
    now: MonotonicMillis,
) -> Option<&'a str> {
    let since = known.ownerless_since.get(&shard);
    let abandoned = since.is_some_and(|t| now.since(*t) >= ABANDONED_MS);
    let never_owned = cluster.shards[shard.at()].record.owner.is_empty();
    if !abandoned && !never_owned {
        if let Some(name) = settled_standby_of(cluster, known, shard, now) {
            return Some(name);
        }
    }
    preferred_owner(cluster, zones, live, shard)
}

/// What this node should change: take shards without a living owner, hand over its own
/// to a settled node that should have them.
///
/// A shard stays for a moment with whoever gets it: why it came may be in news that are still
/// on their way, and two nodes that disagree would hand it to and fro.
pub fn moves(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    zones: &BTreeMap<String, ZoneIndex>,
    known: &MembershipView,
    may_raise: bool,
    now: MonotonicMillis,
) -> Vec<Move> {
    let MembershipView {
        first_seen: seen,
        unreachable_from_workers: deaf,
        owned_since: owned,
        ..
    } = known;
    let live: Vec<&str> = cluster.controllers.keys().map(String::as_str).collect();
    let settled: Vec<&str> = cluster
        .controllers
        .iter()
        .filter(|(n, r)| {
            **n == config.controller_name
                || seen
                    .get(&((*n).clone(), r.record.incarnation))
                    .is_some_and(|s| now.since(*s) >= ELIGIBLE_AFTER_MS)
        })
        .map(|(n, _)| n.as_str())
        .collect();
    // A node that no worker reaches is of no use to machines, as long as another is.
    let hearing = |nodes: &[&str]| nodes.iter().any(|n| !deaf.contains(*n));
    let (all_live, all_settled) = (live, settled);
    let mut out = Vec::new();
    for shard in (0..cluster.shards.len()).map(ShardIndex::new) {
        let (mut live, mut settled) = (all_live.clone(), all_settled.clone());
        for nodes in [&mut live, &mut settled] {
            if shard != cluster.autoscaler_shard() && hearing(nodes) {
                nodes.retain(|n| !deaf.contains(*n));
            }
        }
        let target = match cluster.live_owner(shard) {
            None => successor(cluster, zones, known, (&live, shard), now)
                .filter(|n| *n == config.controller_name),
            Some(owner) if owner == config.controller_name && config.owns(cluster, shard) => {
                // A direct start that was not answered may run until the token rises, and exits
                // that are kept against repeated ones must not fill the reports.
                let late = || {
                    let token = cluster.shards[shard.at()].record.fencing_token;
                    cluster.all_machines().any(|(_, m)| {
                        // Those of older tokens can't run any more, though a silent machine
                        // keeps them: to count them would raise the token again and again.
                        let open = |l: &&InFlightStart| l.fencing_token >= token;
                        let kept = || m.in_flight_starts.values().filter(open);
                        let unanswered =
                            |l: &InFlightStart| !l.acknowledged && now.since(l.sent_at) > LATE_MS;
                        m.shard == shard
                            && (kept().count() > MAX_UNACKNOWLEDGED_EXITS || kept().any(unanswered))
                    })
                };
                let held = || {
                    let since = owned.get(&shard);
                    since.is_some_and(|t| now.since(*t) >= ELIGIBLE_AFTER_MS)
                };
                preferred_owner(cluster, zones, &settled, shard).filter(|n| {
                    if *n == config.controller_name {
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
    let target = cluster.controllers.get(&m.to)?;
    let rec = ShardRecord {
        owner: m.to.clone(),
        incarnation: target.record.incarnation,
        fencing_token: old.record.fencing_token.next(),
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
    if !old.record.owner.is_empty() && old.record.owner != m.to {
        conditions.push(Condition {
            key: node_key(&old.record.owner),
            version: cluster
                .controllers
                .get(&old.record.owner)
                .map_or(0, |n| n.version),
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
pub fn begin_record_format_v2(cluster: &ClusterState, all: &[&str]) -> Option<Transaction> {
    if cluster.record_format_v2 || !cluster.loaded {
        return None;
    }
    let key = format!("{ROOT}form/{RECORD_FORMAT_V2}");
    let mut conditions = vec![Condition {
        key: key.clone(),
        version: 0,
    }];
    for name in all {
        let controller = cluster.controllers.get(*name)?;
        if controller.record.record_format < RECORD_FORMAT_V2 {
            return None;
        }
        conditions.push(Condition {
            key: format!("{ROOT}node/{name}"),
            version: controller.version,
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
pub async fn run(controller: Rc<Controller>) {
    let zones = controller_zones(&controller);
    let ttl_ms = lease_ms(millis_from_seconds(
        controller.platform.settings.workers.lease_s,
    ));
    let mut lease: Option<u64> = None;
    let mut renewed = MonotonicMillis(0);
    let mut raised = MonotonicMillis(0);
    let mut known = MembershipView {
        standby: controller.features.standby().map(|settings| StandbyRule {
            zones: zones.clone(),
            prefer_other_zone: settings.prefer_other_zone,
            settle_ms: settings.settle_ms,
        }),
        ..MembershipView::default()
    };
    loop {
        let now = controller.now();
        let loaded = controller.cluster.borrow().loaded;
        let mut again = !loaded;
        if loaded && (lease.is_none() || now.since(renewed) >= RENEW_MS) {
            lease = renew_lease(&controller, lease, ttl_ms).await;
            renewed = now;
            again = lease.is_none();
        }
        try_begin_record_format_v2(&controller).await;
        let may_raise = now.since(raised) >= RAISE_MS;
        if may_raise {
            raised = now;
        }
        let wanted = plan_moves(&controller, &zones, &mut known, may_raise, now);
        again |= !execute_moves(&controller, wanted).await;
        track_owned_shards(&controller);
        controller.observe_shards();
        controller.record_availability(ExternalService::State, controller.kv_reachable());
        if again {
            controller.pause(AGAIN_MS).await;
        } else {
            controller.tick(TICK_MS, Some(&controller.membership)).await;
        }
    }
}

/// The zone of each node of the deployment, as far as it is one of the settings' zones.
fn controller_zones(controller: &Controller) -> BTreeMap<String, ZoneIndex> {
    let cluster = controller.cluster.borrow();
    let platform = &controller.platform;
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
async fn try_begin_record_format_v2(controller: &Rc<Controller>) {
    let transaction = {
        let peers = controller.peers.iter().map(|p| p.name.as_str());
        let all: Vec<&str> = peers
            .chain([controller.config.controller_name.as_str()])
            .collect();
        begin_record_format_v2(&controller.cluster.borrow(), &all)
    };
    let Some(transaction) = transaction else {
        return;
    };
    if let CommitOutcome::Committed(_) = controller.commit(&transaction).await {
        log::info!("all nodes know the second form of records, it begins");
    }
    controller.refresh(1500).await;
}

/// Brings what is known beside the records up to date, and decides on shards.
fn plan_moves(
    controller: &Rc<Controller>,
    zones: &BTreeMap<String, ZoneIndex>,
    known: &mut MembershipView,
    may_raise: bool,
    now: MonotonicMillis,
) -> Vec<Move> {
    known.unreachable_from_workers = controllers_unreachable_from_workers(controller);
    known
        .owned_since
        .clone_from(&controller.owned_since.borrow());
    let cluster = controller.cluster.borrow();
    known.first_seen.retain(|(name, incarnation), _| {
        let record = cluster.controllers.get(name);
        record.is_some_and(|r| r.record.incarnation == *incarnation)
    });
    for (name, record) in &cluster.controllers {
        let incarnation = (name.clone(), record.record.incarnation);
        known.first_seen.entry(incarnation).or_insert(now);
    }
    for shard in (0..cluster.shards.len()).map(ShardIndex::new) {
        if cluster.live_owner(shard).is_some() {
            known.ownerless_since.remove(&shard);
        } else {
            known.ownerless_since.entry(shard).or_insert(now);
        }
    }
    failover::note_standbys(controller, standbys(&cluster, known, now));
    // Without an own key there is nothing to take shards with.
    let own = cluster.controllers.get(&controller.config.controller_name);
    if own.is_some_and(|r| r.record.incarnation == controller.config.incarnation) {
        moves(&cluster, &controller.config, zones, known, may_raise, now)
    } else {
        Vec::new()
    }
}

/// Carries moves out, one transaction each; false if one failed, and the rest are left.
async fn execute_moves(controller: &Rc<Controller>, wanted: Vec<Move>) -> bool {
    for m in wanted {
        let transaction = move_transaction(&controller.cluster.borrow(), &m);
        let Some((transaction, record)) = transaction else {
            continue;
        };
        if m.to == controller.config.controller_name {
            record_fence_step(controller, m.shard, Failovers::fence_sent);
        }
        match controller.commit(&transaction).await {
            CommitOutcome::Committed(revision) => apply_move(controller, &m, revision, record),
            CommitOutcome::Conflict(_) => {
                record_fence_step(controller, m.shard, Failovers::fence_refused);
                controller.refresh(1500).await;
                return false;
            }
            CommitOutcome::Refused(_) => {
                record_fence_step(controller, m.shard, Failovers::fence_refused);
                return false;
            }
            // It may have been carried out, or still be: the records will tell.
            CommitOutcome::Unknown => return false,
        }
    }
    true
}

/// A step of the transaction that raises a shard's token, told to the shard's takeover.
fn record_fence_step(
    controller: &Controller,
    shard: ShardIndex,
    step: fn(&mut Failovers, ShardId, Millis) -> Option<Transition>,
) {
    let now = failover::millis(controller.now());
    let change = step(
        &mut controller.failovers.borrow_mut(),
        ShardId(shard.0),
        now,
    );
    if let Some(change) = change {
        controller.log_transition(change);
    }
}

fn apply_move(controller: &Controller, m: &Move, revision: u64, record: ShardRecord) {
    log::info!(
        "shard {} goes to {} with token {}",
        m.shard.0,
        m.to,
        record.fencing_token
    );
    let mut cluster = controller.cluster.borrow_mut();
    let slot = &mut cluster.shards[m.shard.at()];
    if slot.version < revision {
        slot.version = revision;
        slot.record = record;
    }
    controller.scheduling.notify();
}

/// Nodes that no worker reaches, this one among them, as far as they told lately.
fn controllers_unreachable_from_workers(controller: &Rc<Controller>) -> HashSet<String> {
    let now = controller.now();
    let told = |p: &&Peer| p.last_status.get().is_some_and(|t| now.since(t) < 4000);
    let peers = controller.peers.iter().filter(told);
    let peers = peers.filter(|p| !p.workers_reachable.get());
    let mut out: HashSet<String> = peers.map(|p| p.name.clone()).collect();
    if !controller.workers_reachable() {
        out.insert(controller.config.controller_name.clone());
    }
    out
}

/// Notes since when shards are owned.
fn track_owned_shards(controller: &Rc<Controller>) {
    let now = controller.now();
    let cluster = controller.cluster.borrow();
    let mut since = controller.owned_since.borrow_mut();
    for s in (0..cluster.shards.len()).map(ShardIndex::new) {
        if !controller.config.owns(&cluster, s) {
            since.remove(&s);
            continue;
        }
        since.entry(s).or_insert_with(|| {
            log::info!(
                "owns shard {} with token {}",
                s.0,
                cluster.shards[s.at()].record.fencing_token
            );
            if s == cluster.autoscaler_shard() {
                controller.autoscaling.notify();
            }
            now
        });
    }
}

async fn renew_lease(controller: &Rc<Controller>, lease: Option<u64>, ttl_ms: u64) -> Option<u64> {
    let lease = match lease {
        Some(l) => {
            let path = format!("/grants/{l}/touch");
            match controller.kv_call(Method::Post, &path, Vec::new()).await {
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
    let me = controller.config.controller_name.as_str();
    let present = controller
        .cluster
        .borrow()
        .controllers
        .get(me)
        .is_some_and(|r| r.record.incarnation == controller.config.incarnation);
    if lease.is_some() && present {
        return lease;
    }
    let lease = match lease {
        Some(l) => l,
        None => {
            let body = rmp_serde::to_vec_named(&LeaseRequest { ttl_ms }).ok()?;
            let f = controller
                .kv_call(Method::Post, "/grants", body)
                .await
                .ok()?;
            rmp_serde::from_slice::<Lease>(&f.body).ok()?.lease
        }
    };
    let rec = ControllerRecord {
        incarnation: controller.config.incarnation,
        record_format: RECORD_FORMAT_V2,
        standby_version: match controller.features.standby() {
            Some(_) => STANDBY_VERSION,
            None => 0,
        },
    };
    let key = format!("{ROOT}node/{me}");
    let version = controller
        .cluster
        .borrow()
        .controllers
        .get(me)
        .map_or(0, |n| n.version);
    let txn = Transaction {
        // A late write of an earlier incarnation must not replace this one's.
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        writes: vec![set(key, &rec, Some(lease))?],
    };
    match controller.commit(&txn).await {
        CommitOutcome::Committed(_) => {
            controller.refresh(1500).await;
            Some(lease)
        }
        CommitOutcome::Refused(400) => None,
        CommitOutcome::Conflict(_) => {
            controller.refresh(1500).await;
            Some(lease)
        }
        _ => Some(lease),
    }
}
