//! Membership of a simulated controller: its key, its shards and its peers.

use super::{SimulatedController, Standby, KEY_LEASE_MS};
use crate::support::kv_store::FakeKvStore;
use pointhook::coordination::cancellations;
use pointhook::coordination::failover::ShardView;
use pointhook::coordination::kv::CommitOutcome;
use pointhook::coordination::membership::{
    self, Assignment, MembershipView, ShardMove, StandbyRule,
};
use pointhook::state::cancellation_watermark::CancellationWatermark;
use pointhook::state::names::{Index, ShardIndex, ZoneIndex};
use pointhook::state::units::{Incarnation, MonotonicMillis};
use standby::failover::{FailoverState, Refusal};
use standby::ids::{FencingToken, Millis, Revision, ShardId};
use std::collections::HashMap;

/// Least time between two rounds in which the controller may raise fencing tokens.
const TOKEN_RAISE_INTERVAL_MS: u64 = 5000;
/// How long a controller must have been a member to become a standby.
const STANDBY_SETTLE_MS: u64 = 2500;

impl SimulatedController {
    /// Makes the controller a member of a cluster of these controllers, with their zone indices.
    pub fn with_peers(mut self, names: &[&str], zones: &[(&str, u32)]) -> SimulatedController {
        let own_name = &self.config.controller_name;
        let others = names.iter().filter(|name| **name != *own_name);
        self.peers = others.map(|name| name.to_string()).collect();
        self.cluster.cancellation_watermark =
            CancellationWatermark::new(self.peers.len(), MonotonicMillis(self.started_at));
        let zones = zones.iter();
        self.zones = zones
            .map(|(name, zone)| (name.to_string(), ZoneIndex(*zone)))
            .collect();
        if self.standby != Standby::Off {
            self.membership.standby = Some(StandbyRule {
                zones: self.zones.clone(),
                prefer_other_zone: self.standby == Standby::OtherZone,
                settle_ms: STANDBY_SETTLE_MS,
            });
        }
        self
    }

    /// Takes and hands over shards as if all owners had owned theirs since the clock began. Returns
    /// the number of committed moves.
    pub fn apply_membership_moves(&mut self, store: &mut FakeKvStore, now: u64) -> usize {
        let view = MembershipView {
            owned_since: self.owned_since_start(),
            ..Default::default()
        };
        let moves = self.assignment(&view, true, now).moves();
        let mut committed = 0;
        for shard_move in moves {
            let transaction = membership::move_transaction(&self.cluster, &shard_move);
            let (transaction, _) = transaction.expect("a live target");
            let outcome = Self::commit(store, &transaction, now);
            committed += usize::from(matches!(outcome, CommitOutcome::Committed(_)));
        }
        self.sync(store);
        committed
    }

    /// The inputs for deciding on the owners of shards, with the given membership view.
    pub fn assignment<'a>(
        &'a self,
        view: &'a MembershipView,
        may_raise_tokens: bool,
        now: u64,
    ) -> Assignment<'a> {
        Assignment {
            cluster: &self.cluster,
            config: &self.config,
            zones: &self.zones,
            view,
            may_raise_tokens,
            now: MonotonicMillis(now),
        }
    }

    /// Times of ownership that start at zero for all shards.
    pub fn owned_since_start(&self) -> HashMap<ShardIndex, MonotonicMillis> {
        let shards = (0..self.cluster.shards.len()).map(ShardIndex::new);
        shards.map(|shard| (shard, MonotonicMillis(0))).collect()
    }

    /// Runs one round of the membership task: renews the lease of the controller's key, stores the
    /// key again if it is gone, and takes and hands over shards.
    pub fn run_membership_tick(&mut self, store: &mut FakeKvStore, now: u64) {
        if !store.unavailable && !store.renew_lease(self.lease, now) {
            self.lease = store.grant_lease(KEY_LEASE_MS, now);
        }
        let own_record = self.cluster.controllers.get(&self.config.controller_name);
        let is_registered =
            own_record.is_some_and(|r| r.record.incarnation == self.config.incarnation);
        if !store.unavailable && !is_registered {
            let version = own_record.map_or(0, |record| record.version);
            Self::commit(store, &self.registration(version), now);
            self.sync(store);
            return;
        }
        self.update_membership_view(MonotonicMillis(now));
        if is_registered {
            self.move_shards(store, now);
        }
    }

    /// Records since when controllers have been present, and shards owned by this controller or
    /// without a living owner.
    fn update_membership_view(&mut self, now: MonotonicMillis) {
        let controllers = &self.cluster.controllers;
        let is_present = |name: &String, incarnation: Incarnation| {
            let known = controllers.get(name);
            known.is_some_and(|known| known.record.incarnation == incarnation)
        };
        let view = &mut self.membership;
        view.first_seen
            .retain(|(name, incarnation), _| is_present(name, *incarnation));
        for (name, known) in controllers {
            let key = (name.clone(), known.record.incarnation);
            view.first_seen.entry(key).or_insert(now);
        }
        for shard in (0..self.cluster.shards.len()).map(ShardIndex::new) {
            if self.config.owns(&self.cluster, shard) {
                view.owned_since.entry(shard).or_insert(now);
            } else {
                view.owned_since.remove(&shard);
            }
            if self.cluster.live_owner(shard).is_some() {
                view.ownerless_since.remove(&shard);
            } else {
                view.ownerless_since.entry(shard).or_insert(now);
            }
        }
    }

    fn move_shards(&mut self, store: &mut FakeKvStore, now: u64) {
        let may_raise_tokens = now >= self.token_raised_at + TOKEN_RAISE_INTERVAL_MS;
        if may_raise_tokens {
            self.token_raised_at = now;
        }
        let moves = self
            .assignment(&self.membership, may_raise_tokens, now)
            .moves();
        for shard_move in moves {
            self.execute_move(store, &shard_move, now);
            self.sync(store);
        }
    }

    /// Commits a move of a shard. Like the background task, it applies the committed record before
    /// any newer change is read.
    pub fn execute_move(
        &mut self,
        store: &mut FakeKvStore,
        shard_move: &ShardMove,
        now: u64,
    ) -> CommitOutcome {
        let transaction = membership::move_transaction(&self.cluster, shard_move);
        let Some((transaction, record)) = transaction else {
            return CommitOutcome::Refused(0);
        };
        let shard = ShardId(shard_move.shard.0);
        let at = Millis(now);
        if shard_move.to == self.config.controller_name {
            self.failovers.fence_sent(shard, at);
        }
        let outcome = Self::commit(store, &transaction, now);
        match &outcome {
            CommitOutcome::Committed(revision) => {
                let known = &mut self.cluster.shards[shard_move.shard.at()];
                known.version = *revision;
                known.record = record;
            }
            CommitOutcome::Conflict(_) | CommitOutcome::Refused(_) => {
                self.failovers.fence_refused(shard, at);
            }
            CommitOutcome::Unknown => {}
        }
        outcome
    }

    /// Updates the failover state of all shards from the controller's state, and records the shards
    /// from which it steps down.
    pub fn observe_failovers(&mut self, now: u64) {
        let now = MonotonicMillis(now);
        for shard in (0..self.cluster.shards.len()).map(ShardIndex::new) {
            let standby = membership::standby_of(&self.cluster, &self.membership, shard, now);
            let is_standby = standby == Some(self.config.controller_name.as_str());
            let view = ShardView {
                cluster: &self.cluster,
                config: &self.config,
                shard,
                is_standby,
                owner_last_contact: Some(now),
                now,
            };
            let observation = view.observe();
            let changes = self
                .failovers
                .observe(shard.into(), observation, now.into());
            for change in changes {
                if change.to == FailoverState::SteppedDown {
                    self.stepped_down.push(shard);
                }
            }
        }
    }

    /// Records that a worker has shown a higher fencing token than the one under which this
    /// controller owns the shard.
    pub fn reject_stale_token(&mut self, shard: ShardIndex, seen: u64, now: u64) {
        let refusal = Refusal::Worker {
            seen: FencingToken(seen),
        };
        let known = Revision(self.cluster.revision);
        let change = self
            .failovers
            .token_refused(ShardId(shard.0), refusal, known, Millis(now));
        if change.is_some() {
            self.stepped_down.push(shard);
        }
    }

    /// Sends the cancellations known to this controller to a peer, and applies the peer's response
    /// with those that the peer knows.
    pub fn exchange_cancellations(&mut self, peer: &mut SimulatedController, now: u64) {
        let jobs = cancellations::cancelled_jobs_to_send(&self.cluster);
        cancellations::record_cancellations(&mut peer.cluster, &jobs);
        let uptime_ms = now - peer.started_at;
        let now = MonotonicMillis(now);
        let reply = cancellations::attestation_response(&peer.cluster, now, uptime_ms);
        let peer_name = &peer.config.controller_name;
        let index = self.peers.iter().position(|name| name == peer_name);
        let index = index.expect("one of its peers");
        cancellations::apply_peer_response(&mut self.cluster, index, now, now, &reply);
    }
}
