//! Which controller should own a shard, and which is its standby: pure decisions.
//!
//! A shard whose owner lives stays there, unless another controller is its preferred owner. One
//! without a living owner goes to its standby, which has followed the owner, or else to its
//! preferred owner. The choice among controllers is `standby::role`.

use super::transfer::Move;
use super::view::MembershipView;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::{ClusterState, ControllerRecord, Versioned};
use crate::state::machine::{InFlightStart, Machine};
use crate::state::names::{Index, ShardIndex, ZoneIndex};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;
use standby::role::{self, Candidate, ZonePreference};
use std::collections::{BTreeMap, HashMap};

/// A controller must have been there this long before it is handed shards of a living one, and a
/// shard stays this long with whoever gets it.
const ELIGIBLE_AFTER_MS: u64 = 2500;
/// A shard that its standby has not taken after this time goes to its preferred owner: controllers
/// whose settings or views differ could otherwise leave it to each other.
const ABANDONED_BY_STANDBY_MS: u64 = 2500;
/// Age from which on an unanswered direct start makes its shard's owner raise the fencing token.
const UNANSWERED_START_MS: u64 = 2500;
/// In-flight starts of a machine that are remembered at most before the fencing token rises.
const MAX_IN_FLIGHT_STARTS: usize = 200;

/// One look at all shards: what the decisions on their owners rest on.
pub struct Assignment<'a> {
    /// The records.
    pub cluster: &'a ClusterState,
    /// Who this controller is.
    pub config: &'a SchedulerConfig,
    /// Zone of each controller.
    pub zones: &'a BTreeMap<String, ZoneIndex>,
    /// What is known beside the records.
    pub view: &'a MembershipView,
    /// Fencing tokens of own shards may rise now because of in-flight starts.
    pub may_raise_tokens: bool,
    /// Now.
    pub now: MonotonicMillis,
}

/// Names of controllers that may get a shard.
struct Controllers<'a> {
    /// Those whose key is there.
    live: Vec<&'a str>,
    /// Those that have been there for long enough to be handed a living owner's shards.
    eligible: Vec<&'a str>,
}

impl<'a> Assignment<'a> {
    /// What this controller should change: take shards without a living owner, hand over its own
    /// to an eligible controller that should have them.
    pub fn moves(&self) -> Vec<Move> {
        let controllers = Controllers {
            live: self
                .cluster
                .controllers
                .keys()
                .map(String::as_str)
                .collect(),
            eligible: self.eligible_controllers(),
        };
        let shards = (0..self.cluster.shards.len()).map(ShardIndex::new);
        shards
            .filter_map(|shard| {
                let to = self.new_owner(shard, &controllers)?.to_string();
                Some(Move { shard, to })
            })
            .collect()
    }

    fn eligible_controllers(&self) -> Vec<&'a str> {
        let is_eligible = |name: &str, controller: &Versioned<ControllerRecord>| {
            name == self.config.controller_name
                || self
                    .view
                    .has_been_seen_for(ELIGIBLE_AFTER_MS, name, controller, self.now)
        };
        self.cluster
            .controllers
            .iter()
            .filter(|(name, controller)| is_eligible(name, controller))
            .map(|(name, _)| name.as_str())
            .collect()
    }

    /// Whom this controller should make a shard's owner now, if anyone.
    fn new_owner(&self, shard: ShardIndex, controllers: &Controllers<'a>) -> Option<&'a str> {
        let this_controller = self.config.controller_name.as_str();
        match self.cluster.live_owner(shard) {
            None => self
                .successor(shard, &self.without_unreachable(shard, &controllers.live))
                .filter(|name| *name == this_controller),
            Some(owner) if owner == this_controller && self.config.owns(self.cluster, shard) => {
                self.new_owner_of_own(shard, controllers)
            }
            Some(_) => None,
        }
    }

    /// Whom an own shard should go to: a preferred owner, or this controller under a new token.
    fn new_owner_of_own(
        &self,
        shard: ShardIndex,
        controllers: &Controllers<'a>,
    ) -> Option<&'a str> {
        let eligible = self.without_unreachable(shard, &controllers.eligible);
        let preferred = preferred_owner(self.cluster, self.zones, &eligible, shard)?;
        let changes = if preferred == self.config.controller_name {
            self.may_raise_tokens && self.must_raise_token(shard)
        } else {
            self.has_settled_here(shard)
        };
        changes.then_some(preferred)
    }

    /// A controller that no worker reaches is of no use to machines, as long as another is. The
    /// autoscaler needs no workers.
    fn without_unreachable(&self, shard: ShardIndex, controllers: &[&'a str]) -> Vec<&'a str> {
        let reachable: Vec<&str> = controllers
            .iter()
            .copied()
            .filter(|name| !self.view.unreachable_from_workers.contains(*name))
            .collect();
        if shard == self.cluster.autoscaler_shard() || reachable.is_empty() {
            controllers.to_vec()
        } else {
            reachable
        }
    }

    /// Who should take a shard without a living owner.
    fn successor(&self, shard: ShardIndex, live: &[&'a str]) -> Option<&'a str> {
        let ownerless_since = self.view.ownerless_since.get(&shard);
        let abandoned =
            ownerless_since.is_some_and(|since| self.now.since(*since) >= ABANDONED_BY_STANDBY_MS);
        let never_owned = self.cluster.shards[shard.at()].record.owner.is_empty();
        if !abandoned && !never_owned {
            if let Some(name) = eligible_standby_of(self.cluster, self.view, shard, self.now) {
                return Some(name);
            }
        }
        preferred_owner(self.cluster, self.zones, live, shard)
    }

    /// A shard stays for a moment with whoever gets it: why it came may be in status updates that
    /// are still on their way, and two controllers that disagree would hand it to and fro.
    fn has_settled_here(&self, shard: ShardIndex) -> bool {
        let owned_since = self.view.owned_since.get(&shard);
        owned_since.is_some_and(|since| self.now.since(*since) >= ELIGIBLE_AFTER_MS)
    }

    /// True if starts of an own shard's machines can be ended by a new fencing token alone.
    fn must_raise_token(&self, shard: ShardIndex) -> bool {
        let fencing_token = self.cluster.shards[shard.at()].record.fencing_token;
        self.cluster
            .all_machines()
            .filter(|(_, machine)| machine.shard == shard)
            .any(|(_, machine)| has_starts_to_fence(machine, fencing_token, self.now))
    }
}

/// A direct start that was not answered may run until the token rises, and exits that are kept
/// against repeated starts must not fill the heartbeats.
fn has_starts_to_fence(
    machine: &Machine,
    fencing_token: FencingToken,
    now: MonotonicMillis,
) -> bool {
    // Those of older tokens can't run any more, though a silent machine keeps them: to count them
    // would raise the token again and again.
    let can_run = |start: &&InFlightStart| start.fencing_token >= fencing_token;
    let in_flight = || machine.starts.in_flight.values().filter(can_run);
    let unanswered = |start: &InFlightStart| {
        !start.acknowledged && now.since(start.sent_at) > UNANSWERED_START_MS
    };
    in_flight().count() > MAX_IN_FLIGHT_STARTS || in_flight().any(unanswered)
}

/// The controller that should own a shard: live ones in its zone first, the work spread evenly.
fn preferred_owner<'a>(
    cluster: &ClusterState,
    zones: &BTreeMap<String, ZoneIndex>,
    controllers: &[&'a str],
    shard: ShardIndex,
) -> Option<&'a str> {
    let candidate = |name: &&'a str| Candidate {
        name,
        zone: zones.get(*name).map(|zone| zone.0),
        eligible: true,
        reachable_from_workers: true,
    };
    let candidates: Vec<Candidate> = controllers.iter().map(candidate).collect();
    let preference = zone_preference(cluster, shard, false);
    role::choose(&candidates, preference, spread(cluster, shard))
}

fn zone_preference(
    cluster: &ClusterState,
    shard: ShardIndex,
    prefer_other_zone: bool,
) -> ZonePreference {
    match (cluster.shard_zone(shard), prefer_other_zone) {
        (None, _) => ZonePreference::Any,
        (Some(zone), true) => ZonePreference::Outside(zone.0),
        (Some(zone), false) => ZonePreference::Inside(zone.0),
    }
}

/// Spreads the shards of a zone over equally good controllers.
fn spread(cluster: &ClusterState, shard: ShardIndex) -> usize {
    shard.at() % cluster.shards_per_zone.max(1)
}

/// The standby of a shard: a live controller other than its owner that knows the feature.
pub fn standby_of<'a>(
    cluster: &'a ClusterState,
    view: &MembershipView,
    shard: ShardIndex,
    now: MonotonicMillis,
) -> Option<&'a str> {
    let rule = view.standby.as_ref()?;
    let owner = cluster.shards[shard.at()].record.owner.as_str();
    let candidates: Vec<Candidate> = cluster
        .controllers
        .iter()
        .filter(|(_, controller)| controller.record.standby_version > 0)
        .map(|(name, controller)| Candidate {
            name: name.as_str(),
            zone: rule.zones.get(name).map(|zone| zone.0),
            eligible: view.has_been_seen_for(rule.settle_ms, name, controller, now),
            reachable_from_workers: !view.unreachable_from_workers.contains(name),
        })
        .collect();
    let preference = zone_preference(cluster, shard, rule.prefer_other_zone);
    role::standby_of(owner, &candidates, preference, spread(cluster, shard))
}

/// The standby of a shard, if it has been there for long enough to have followed the owner: after a
/// restart of all nobody has, and shards go straight to their preferred owners.
fn eligible_standby_of<'a>(
    cluster: &'a ClusterState,
    view: &MembershipView,
    shard: ShardIndex,
    now: MonotonicMillis,
) -> Option<&'a str> {
    let rule = view.standby.as_ref()?;
    let name = standby_of(cluster, view, shard, now)?;
    let controller = cluster.controllers.get(name)?;
    view.has_been_seen_for(rule.settle_ms, name, controller, now)
        .then_some(name)
}

/// The standby of each shard, as this controller's view has it.
pub(super) fn standbys(
    cluster: &ClusterState,
    view: &MembershipView,
    now: MonotonicMillis,
) -> HashMap<ShardIndex, String> {
    let shards = (0..cluster.shards.len()).map(ShardIndex::new);
    shards
        .filter_map(|shard| {
            let name = standby_of(cluster, view, shard, now)?;
            Some((shard, name.to_string()))
        })
        .collect()
}
