//! Takeovers of shards: what records and peers tell of each, and the permits that follow.

use crate::coordination::controller::Controller;
use crate::coordination::membership::{self, MembershipView};
use crate::coordination::replication;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::settings::Workers;
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use standby::bound::FailoverBound;
use standby::failover::{Observation, Owner, Refusal, State, Transition};
use standby::ids::{Millis, Revision, ShardId};
use std::cell::Ref;
use std::collections::HashMap;

/// Silence of a peer after which it is suspected: its news come once a second.
const SILENT_MS: u64 = 2500;
/// How late the state service may end a lease.
const LEASE_LATE_MS: u64 = 100;
/// A notification of the state service and the turn of the duty that takes it.
const DETECTION_MS: u64 = 500;
/// A transaction and its answer.
const FENCE_MS: u64 = 1500;
/// A notification of the state service.
const CATCH_UP_MS: u64 = 500;
/// A reachable worker is shown the token by a direct command and reports half a second later.
const FIRST_REPORT_MS: u64 = 2000;

/// A report that hangs at the lost node ends after 4 s, the worker tries the next one 1 s later, and
/// is sent on from there within half a second.
const FIRST_REPORT_AFTER_HANG_MS: u64 = 5500;

/// How long a takeover may take with these times of workers.
pub fn bound(workers: &Workers) -> FailoverBound {
    FailoverBound {
        lease_ms: membership::lease_ms(millis_from_seconds(workers.lease_s)) + LEASE_LATE_MS,
        detection_ms: DETECTION_MS,
        fence_ms: FENCE_MS,
        catch_up_ms: CATCH_UP_MS,
        first_report_ms: FIRST_REPORT_MS,
        first_report_after_hang_ms: FIRST_REPORT_AFTER_HANG_MS,
    }
}

/// What is seen of a shard; `heard` tells when another node was last heard.
pub fn observation(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    shard: ShardIndex,
    standby: bool,
    heard: impl Fn(&str) -> Option<MonotonicMillis>,
    now: MonotonicMillis,
) -> Observation {
    let slot = &cluster.shards[shard.at()];
    let owner = if config.owns(cluster, shard) {
        Owner::Me {
            token: slot.record.fencing_token,
            fence: Revision(slot.version),
        }
    } else if slot.record.owner.is_empty() {
        Owner::Nobody
    } else {
        let heard = heard(&slot.record.owner);
        Owner::Other {
            alive: cluster.live_owner(shard).is_some(),
            silent: heard.is_none_or(|t| now.since(t) > SILENT_MS),
            heard: heard.map(millis),
        }
    };
    Observation {
        owner,
        standby,
        known: Revision(cluster.revision),
    }
}

/// The clock of the standby package.
pub fn millis(now: MonotonicMillis) -> Millis {
    Millis(now.0)
}

impl Controller {
    /// Brings takeovers up to date with the view, and lends the permits that are held then.
    pub fn permits(&self) -> Ref<'_, standby::permit::Permits> {
        self.observe_shards();
        Ref::map(self.failovers.borrow(), |t| t.permits())
    }

    /// Looks at all shards; a change of state is logged once.
    pub fn observe_shards(&self) {
        let now = self.now();
        let heard = |name: &str| self.peer(name).and_then(|p| p.last_status.get());
        let (mut left, mut taken) = (Vec::new(), Vec::new());
        {
            let cluster = self.cluster.borrow();
            let standby_of = self.standby_of.borrow();
            let mut takeovers = self.failovers.borrow_mut();
            for shard in (0..cluster.shards.len()).map(ShardIndex::new) {
                let role = standby_of.get(&shard);
                let standby = role.is_some_and(|name| *name == self.config.controller_name);
                let seen = observation(&cluster, &self.config, shard, standby, heard, now);
                for change in takeovers.observe(ShardId(shard.0), seen, millis(now)) {
                    self.log_transition(change);
                    match change.to {
                        State::SteppedDown => left.push(shard),
                        State::Active { .. } => taken.push(shard),
                        _ => {}
                    }
                }
            }
        }
        for shard in left {
            self.drop_shard_hints(shard);
        }
        for shard in taken {
            replication::restore(self, shard);
        }
    }

    /// Notes that a token of this node was refused.
    pub fn token_refused(&self, shard: ShardIndex, refusal: Refusal) {
        if self.features.standby().is_none() {
            return;
        }
        let known = Revision(self.cluster.borrow().revision);
        let now = millis(self.now());
        let change = self
            .failovers
            .borrow_mut()
            .refused(ShardId(shard.0), refusal, known, now);
        if let Some(change) = change {
            log::warn!("shard {}: the own token was refused ({refusal:?})", shard.0);
            self.log_transition(change);
            self.drop_shard_hints(shard);
        }
    }

    /// Drops what was derived from a permit that is gone: queues and machines kept free.
    fn drop_shard_hints(&self, shard: ShardIndex) {
        if self.features.standby().is_none() {
            return;
        }
        let mut cluster = self.cluster.borrow_mut();
        for machine in cluster.machines.iter_mut().flatten() {
            if machine.shard == shard {
                machine.queue.clear();
                machine.reservation = None;
                machine.stopping.clear();
            }
        }
    }

    pub(crate) fn log_transition(&self, change: Transition) {
        if self.features.standby().is_none() {
            return;
        }
        let since = change.since_sign_of_life;
        let since = since.map_or("none seen".to_string(), |ms| format!("{ms} ms ago"));
        log::info!(
            "shard {}: {} after {}, last sign of life of its former owner: {since}",
            change.shard.0,
            change.to.name(),
            change.from.name(),
        );
    }
}

/// Takes the standbys of all shards; a change that concerns this node's shards is logged.
pub fn note_standbys(controller: &Controller, standbys: HashMap<ShardIndex, String>) {
    let before = controller.standby_of.replace(standbys);
    let cluster = controller.cluster.borrow();
    let now = controller.standby_of.borrow();
    let owned = (0..cluster.shards.len())
        .map(ShardIndex::new)
        .filter(|shard| controller.config.owns(&cluster, *shard));
    for shard in owned.filter(|shard| before.get(shard) != now.get(shard)) {
        let name = |roles: &HashMap<ShardIndex, String>| {
            let name = roles.get(&shard);
            name.map_or("nobody".to_string(), Clone::clone)
        };
        log::info!(
            "shard {}: its standby is {}, was {}",
            shard.0,
            name(&now),
            name(&before)
        );
    }
}

/// The standby of each shard, as this node's view has it.
pub fn standbys(
    cluster: &ClusterState,
    known: &MembershipView,
    now: MonotonicMillis,
) -> HashMap<ShardIndex, String> {
    let shards = (0..cluster.shards.len()).map(ShardIndex::new);
    let of = |shard| {
        let name = membership::standby_of(cluster, known, shard, now)?;
        Some((shard, name.to_string()))
    };
    shards.filter_map(of).collect()
}
