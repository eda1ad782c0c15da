//! Which machines are to be deleted, and why.
//!
//! `scale_in` asks for a plan in each round and carries it out.
//!
//! Invariants: a machine that runs tasks is planned only after its silence has lasted longer than
//! its limit, as far as its owner can tell; an idle one only if nothing needs it.

use super::silence::{machine_counts_by_zone, partitioned_zones, SilenceLimits};
use super::state::AutoscalerState;
use crate::coordination::controller::Controller;
use crate::coordination::peer_messages::status_updates;
use crate::protocol::cloud::ListedMachine;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{MachineIndex, ZoneIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use std::collections::{HashMap, HashSet};
use std::fmt;

/// Boot times after which a machine that still boots is deleted.
const STUCK_BOOT_TIMES: f64 = 2.5;
/// Time beyond that, for the list's lag.
const STUCK_GRACE_S: f64 = 10.0;
/// Boot time of a machine whose type is not known.
const DEFAULT_BOOT_S: f64 = 60.0;
/// A machine whose deletion was requested is left alone for this long.
const DELETION_RETRY_MS: u64 = 5000;
/// Age up to which the last status of a machine's owner counts.
const OWNER_STATUS_MS: u64 = 3000;
/// Heartbeats that a machine may miss.
const MISSED_HEARTBEATS: f64 = 4.0;
/// Time beyond the missed heartbeats after which a machine counts as silent.
const SILENCE_GRACE_MS: u64 = 4000;

/// Why a machine is deleted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ScaleInReason {
    /// The cloud lists it as failed.
    Failed,
    /// Tasks of different jobs failed on it.
    Quarantined,
    /// It booted for much longer than its type takes.
    NeverBooted,
    /// No heartbeat for longer than its limit.
    Silent,
    /// It has tasks, is in no list and silent.
    PresumedLost,
    /// Nothing needs it.
    Idle,
}

impl fmt::Display for ScaleInReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ScaleInReason::Failed => "failed",
            ScaleInReason::Quarantined => "quarantined",
            ScaleInReason::NeverBooted => "never_booted",
            ScaleInReason::Silent => "silent",
            ScaleInReason::PresumedLost => "presumed_lost",
            ScaleInReason::Idle => "idle",
        })
    }
}

/// Machines to be deleted.
#[derive(Default)]
pub(super) struct ScaleInPlan {
    /// Those that can't be used, with the reason.
    pub(super) unusable: Vec<(String, ScaleInReason)>,
    /// Those that nothing needs. Their owners have to cordon them first.
    pub(super) idle: Vec<String>,
}

impl ScaleInPlan {
    pub(super) fn is_empty(&self) -> bool {
        self.unusable.is_empty() && self.idle.is_empty()
    }
}

/// What a plan goes by.
pub(super) struct ScaleInPlanner<'a> {
    controller: &'a Controller,
    cluster: &'a ClusterState,
    state: &'a AutoscalerState,
    limits: SilenceLimits,
    idle_ms: u64,
    partitioned: HashSet<ZoneIndex>,
    now: MonotonicMillis,
}

impl<'a> ScaleInPlanner<'a> {
    pub(super) fn new(
        controller: &'a Controller,
        cluster: &'a ClusterState,
        state: &'a AutoscalerState,
        now: MonotonicMillis,
    ) -> ScaleInPlanner<'a> {
        let workers = &controller.platform.settings.workers;
        let counts = machine_counts_by_zone(cluster, controller.config.unresponsive_ms, now);
        ScaleInPlanner {
            controller,
            cluster,
            state,
            limits: SilenceLimits {
                confirmed_ms: millis_from_seconds(workers.heartbeat_s * MISSED_HEARTBEATS)
                    + SILENCE_GRACE_MS,
                lease_ms: millis_from_seconds(workers.lease_s),
            },
            idle_ms: millis_from_seconds(controller.operator.scale_in_after_idle_s),
            partitioned: partitioned_zones(&counts),
            now,
        }
    }

    pub(super) fn plan(&self) -> ScaleInPlan {
        let mut plan = ScaleInPlan::default();
        for listed in self.state.listed.values() {
            match self.reason(listed) {
                Some(ScaleInReason::Idle) => plan.idle.push(listed.name.clone()),
                Some(reason) => plan.unusable.push((listed.name.clone(), reason)),
                None => {}
            }
        }
        let is_silent = |machine_index| self.is_silent_or_unknown(machine_index);
        for name in presumed_lost(self.cluster, &self.state.listed, is_silent) {
            if !self.deletion_requested_lately(&name) {
                plan.unusable.push((name, ScaleInReason::PresumedLost));
            }
        }
        // Names are unique, so the order does not depend on the reasons.
        plan.unusable.sort_by(|(a, _), (b, _)| a.cmp(b));
        plan.idle.sort();
        plan
    }

    /// Why a listed machine is to be deleted; `None` if it is to stay.
    fn reason(&self, listed: &ListedMachine) -> Option<ScaleInReason> {
        if self.deletion_requested_lately(&listed.name) {
            return None;
        }
        // A list may show a deleted machine for some time.
        let machine_index = self.cluster.machine_names.find(&listed.name)?;
        let machine = self.cluster.machine(machine_index)?;
        if listed.has_failed() {
            Some(ScaleInReason::Failed)
        } else if machine.health.quarantined {
            Some(ScaleInReason::Quarantined)
        } else if machine.heartbeat.last_seen.is_none() && listed.is_booting() {
            self.is_stuck(listed, machine)
                .then_some(ScaleInReason::NeverBooted)
        } else if self.is_silent(machine) {
            Some(ScaleInReason::Silent)
        } else {
            self.is_idle(machine_index, machine)
                .then_some(ScaleInReason::Idle)
        }
    }

    fn deletion_requested_lately(&self, name: &str) -> bool {
        let requested = self.state.deletion_requested_at.get(name);
        requested.is_some_and(|at| self.now.since(*at) < DELETION_RETRY_MS)
    }

    fn is_stuck(&self, listed: &ListedMachine, machine: &Machine) -> bool {
        let machine_type = self.cluster.machine_types.get(&machine.machine_type);
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |t| t.description.boot_s);
        listed.age_s > boot_s * STUCK_BOOT_TIMES + STUCK_GRACE_S
    }

    /// True if nothing runs on a machine, and nothing needs or will use it.
    fn is_idle(&self, machine_index: MachineIndex, machine: &Machine) -> bool {
        if !self.cluster.placed_on(machine_index).is_empty() {
            return false;
        }
        // A cordoned one takes nothing any more, whatever became of its first deletion.
        let is_unused = || {
            machine.heartbeat.last_seen.is_some()
                && !self.state.needed_machines.contains(&machine_index)
                && machine.decisions.is_idle_for(self.idle_ms, self.now)
                && machine.decisions.is_reservation_over(self.now)
        };
        machine.is_cordoned() || is_unused()
    }

    fn is_silent(&self, machine: &Machine) -> bool {
        let allowance_ms = if self.partitioned.contains(&machine.zone) {
            self.limits.partition_allowance_ms()
        } else {
            0
        };
        self.overdue_ms(machine)
            .is_some_and(|overdue_ms| overdue_ms > allowance_ms)
    }

    /// By how long its owner has waited for a machine beyond the limit; `None` if it has not, or
    /// if that owner sent no status lately.
    fn overdue_ms(&self, machine: &Machine) -> Option<u64> {
        let owned_here = self.controller.config.owns(self.cluster, machine.shard);
        let observing_since = if owned_here {
            self.controller.observing_since(machine.shard)
        } else {
            let resumed_at = self.controller.resumed_at();
            Some(self.state.owner_since).max(resumed_at)
        };
        let silent_ms = status_updates::silence_ms(
            machine.heartbeat.last_seen,
            machine.discovered_at,
            observing_since,
            self.now,
        );
        let limit_ms = self
            .limits
            .of(self.cluster, &self.controller.config, machine);
        let overdue_ms = silent_ms.checked_sub(limit_ms)?;
        (owned_here || self.owner_sent_status(machine)).then_some(overdue_ms)
    }

    fn owner_sent_status(&self, machine: &Machine) -> bool {
        let owner = self.cluster.live_owner(machine.shard);
        let peer = owner.and_then(|owner| self.controller.peer(owner));
        let last_status = peer.and_then(|peer| peer.last_status());
        last_status.is_some_and(|at| self.now.since(at) < OWNER_STATUS_MS)
    }

    fn is_silent_or_unknown(&self, machine_index: MachineIndex) -> bool {
        match self.cluster.machine(machine_index) {
            Some(machine) => self.is_silent(machine),
            // No status has named it since this controller became the owner.
            None => self.now.since(self.state.owner_since) > self.limits.unconfirmed_ms(),
        }
    }
}

/// Machines with placements that are not in the list and silent.
///
/// The cloud deleted them while no owner lived that had heard them: nothing else proves that
/// their tasks have ended, and their jobs would wait for ever. The cloud also answers a deletion
/// of a name that it does not know.
pub fn presumed_lost(
    cluster: &ClusterState,
    listed: &HashMap<String, ListedMachine>,
    is_silent: impl Fn(MachineIndex) -> bool,
) -> Vec<String> {
    let name = |machine_index| &**cluster.machine_names.name(machine_index);
    cluster
        .occupied_machines()
        .filter(|machine_index| {
            !cluster.is_deleted(*machine_index)
                && !listed.contains_key(name(*machine_index))
                && is_silent(*machine_index)
        })
        .map(|machine_index| name(machine_index).to_string())
        .collect()
}
