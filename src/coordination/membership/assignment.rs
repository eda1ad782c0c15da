//! Decides which controller should own a shard and which is its standby (pure).
//!
//! A shard whose owner is alive stays with it, unless another controller is its preferred owner. A
//! shard without a live owner goes to its standby, which has followed the former owner, or else to
//! its preferred owner. `standby::role` chooses among the candidates.

use super::transfer::ShardMove;
use super::view::MembershipView;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::{ClusterState, ControllerRecord, Versioned};
use crate::state::machine::{InFlightStart, Machine};
use crate::state::names::{Index, ShardIndex, ZoneIndex};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;
use standby::role::{self, Candidate, ZonePreference};
use std::collections::{BTreeMap, HashMap};

/// Time for which a controller must have been alive before shards of a live owner are moved to it,
/// and for which a shard stays with a new owner before it is moved again.
const ELIGIBLE_AFTER_MS: u64 = 2500;
/// Time after which a shard that its standby has not taken goes to its preferred owner. Without
/// this timeout, controllers whose settings or views differ could each wait for the other to take
/// the shard.
const STANDBY_TAKEOVER_TIMEOUT_MS: u64 = 2500;
/// Age at which an unanswered direct start makes its shard's owner raise the fencing token.
const UNANSWERED_START_MS: u64 = 2500;
/// Number of in-flight starts of a machine above which the shard's owner raises the fencing token.
const MAX_IN_FLIGHT_STARTS: usize = 200;

/// Input for the decisions on the owners of all shards.
pub struct Assignment<'a> {
    /// Cached state of the cluster.
    pub cluster: &'a ClusterState,
    /// Configuration with the name and the incarnation of this controller.
    pub config: &'a SchedulerConfig,
    /// Zone of each controller whose zone is one of the settings' zones.
    pub zones: &'a BTreeMap<String, ZoneIndex>,
    /// Observations of this controller that are not in the records.
    pub view: &'a MembershipView,
    /// Whether fencing tokens of own shards may be raised now because of in-flight starts.
    pub may_raise_tokens: bool,
    /// Current time.
    pub now: MonotonicMillis,
}

/// Names of controllers that may become the owner of a shard.
struct Controllers<'a> {
    /// Controllers whose membership key exists.
    live: Vec<&'a str>,
    /// Controllers that have been alive for long enough to take over shards of a live owner.
    eligible: Vec<&'a str>,
}

impl<'a> Assignment<'a> {
    /// Changes of ownership that this controller should make: taking shards that have no live
    /// owner, and handing over its own to eligible controllers that are preferred for them.
    pub fn moves(&self) -> Vec<ShardMove> {
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
                Some(ShardMove { shard, to })
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

    /// Controller that this one should make the owner of a shard now; `None` to leave the shard as
    /// it is.
    fn new_owner(&self, shard: ShardIndex, controllers: &Controllers<'a>) -> Option<&'a str> {
        let this_controller = self.config.controller_name.as_str();
        match self.cluster.live_owner(shard) {
            None => self
                .successor(shard, &self.without_unreachable(shard, &controllers.live))
                .filter(|name| *name == this_controller),
            Some(owner) if owner == this_controller && self.config.owns(self.cluster, shard) => {
                self.new_owner_of_own_shard(shard, controllers)
            }
            Some(_) => None,
        }
    }

    /// New owner of a shard that this controller owns: the preferred owner, or this controller if
    /// only the fencing token has to be raised; `None` to leave the shard as it is.
    fn new_owner_of_own_shard(
        &self,
        shard: ShardIndex,
        controllers: &Controllers<'a>,
    ) -> Option<&'a str> {
        let eligible = self.without_unreachable(shard, &controllers.eligible);
        let preferred = preferred_owner(self.cluster, self.zones, &eligible, shard)?;
        let needs_change = if preferred == self.config.controller_name {
            self.may_raise_tokens && self.must_raise_token(shard)
        } else {
            self.has_been_owned_long_enough(shard)
        };
        needs_change.then_some(preferred)
    }

    /// Excludes controllers that no worker reaches, as long as others remain: such an owner is of
    /// no use to the machines of a shard. The autoscaler's shard needs no workers, so all remain.
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

    /// Controller that should take a shard without a live owner.
    fn successor(&self, shard: ShardIndex, live: &[&'a str]) -> Option<&'a str> {
        let ownerless_since = self.view.ownerless_since.get(&shard);
        let takeover_timed_out = ownerless_since
            .is_some_and(|since| self.now.since(*since) >= STANDBY_TAKEOVER_TIMEOUT_MS);
        let never_owned = self.cluster.shards[shard.at()].record.owner.is_empty();
        if !takeover_timed_out && !never_owned {
            if let Some(name) = eligible_standby_of(self.cluster, self.view, shard, self.now) {
                return Some(name);
            }
        }
        preferred_owner(self.cluster, self.zones, live, shard)
    }

    /// True if this controller has owned a shard for long enough to hand it over.
    ///
    /// The status updates that explain why the shard was moved to this controller may still be in
    /// flight, and two controllers that disagree would otherwise move the shard back and forth.
    fn has_been_owned_long_enough(&self, shard: ShardIndex) -> bool {
        let owned_since = self.view.owned_since.get(&shard);
        owned_since.is_some_and(|since| self.now.since(*since) >= ELIGIBLE_AFTER_MS)
    }

    /// True if an own shard needs a new fencing token to invalidate in-flight direct starts.
    fn must_raise_token(&self, shard: ShardIndex) -> bool {
        let fencing_token = self.cluster.shards[shard.at()].record.fencing_token;
        self.cluster
            .all_machines()
            .filter(|(_, machine)| machine.shard == shard)
            .any(|(_, machine)| has_starts_to_fence(machine, fencing_token, self.now))
    }
}

/// True if a machine has in-flight starts that a new fencing token should invalidate.
///
/// An unanswered direct start may still be executed until the fencing token is raised. While a
/// direct start of an attempt may be executed late or again, the owner does not acknowledge the
/// attempt's exit, unless the start was acknowledged and the attempt exited as done. Until the
/// exit is acknowledged, the worker keeps the attempt in its heartbeats, which must not grow without
/// limit. Once the token is raised, the owner can acknowledge the exit.
fn has_starts_to_fence(
    machine: &Machine,
    fencing_token: FencingToken,
    now: MonotonicMillis,
) -> bool {
    // Starts under older tokens can't be executed any more, but remain listed while the machine is
    // silent. Counting them would raise the token repeatedly.
    let can_run = |start: &&InFlightStart| start.fencing_token >= fencing_token;
    let in_flight = || machine.starts.in_flight.values().filter(can_run);
    let unanswered = |start: &InFlightStart| {
        !start.acknowledged && now.since(start.sent_at) > UNANSWERED_START_MS
    };
    in_flight().count() > MAX_IN_FLIGHT_STARTS || in_flight().any(unanswered)
}

/// The controller that should own a shard: one in the shard's zone if there is any, with the zone's
/// shards distributed evenly.
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
    role::choose(&candidates, preference, tie_breaker(cluster, shard))
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

/// Number that distributes the shards of a zone over controllers of equal rank.
fn tie_breaker(cluster: &ClusterState, shard: ShardIndex) -> usize {
    shard.at() % cluster.shards_per_zone.max(1)
}

/// The standby of a shard: a live controller other than its owner that has the feature enabled.
/// `None` if there is no such controller, or the feature is disabled on this controller.
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
    role::standby_of(owner, &candidates, preference, tie_breaker(cluster, shard))
}

/// The standby of a shard, if it has been alive for long enough to have followed the owner. After a
/// restart of all controllers no controller has, and shards go directly to their preferred owners.
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

/// The standby of each shard that has one, in the view of this controller.
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
