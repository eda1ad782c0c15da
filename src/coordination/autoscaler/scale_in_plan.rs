//! Selects the machines to delete, and the reason for each.
//!
//! `scale_in` makes a plan in each round and carries it out.
//!
//! Invariants: a silent machine is selected only after the owner of its shard has received no
//! heartbeat for longer than the machine's limit; an idle machine only if no task needs it.

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

/// Multiple of its type's usual boot time after which a machine that is still booting is deleted.
const STUCK_BOOT_FACTOR: f64 = 2.5;
/// Time, in addition to `STUCK_BOOT_FACTOR` times the usual boot time, that allows for the lag of
/// the machine list, s.
const STUCK_BOOT_GRACE_S: f64 = 10.0;
/// Boot time assumed for a machine of unknown type, s.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Time after which the deletion of a machine that is still listed is requested again, ms.
const DELETION_RETRY_MS: u64 = 5000;
/// Maximum age of the last status update from a machine's owner at which the machine's silence is
/// acted on, ms.
const MAX_OWNER_STATUS_AGE_MS: u64 = 3000;
/// Number of heartbeat intervals that a machine may miss.
const MAX_MISSED_HEARTBEATS: f64 = 4.0;
/// Time, in addition to the missed heartbeats, after which a machine counts as silent, ms.
const SILENCE_GRACE_MS: u64 = 4000;

/// Why a machine is deleted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ScaleInReason {
    /// The cloud lists the machine as failed.
    Failed,
    /// Tasks of different jobs failed on the machine.
    Quarantined,
    /// The machine is still booting, long after the usual boot time of its type.
    NeverBooted,
    /// The machine's owner has received no heartbeat for longer than the machine's limit.
    Silent,
    /// The machine has placements, but is silent and not in the cloud's list.
    PresumedLost,
    /// No task runs on the machine or needs it, or the machine is cordoned and has no placements.
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

/// Machines to delete in this round.
#[derive(Default)]
pub(super) struct ScaleInPlan {
    /// Machines that can't be used, with the reason; they are deleted without being cordoned.
    pub(super) unusable: Vec<(String, ScaleInReason)>,
    /// Machines that nothing needs; their owners have to cordon them before they are deleted.
    pub(super) idle: Vec<String>,
}

impl ScaleInPlan {
    pub(super) fn is_empty(&self) -> bool {
        self.unusable.is_empty() && self.idle.is_empty()
    }
}

/// Plans which machines to delete; holds the input of one plan.
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
                confirmed_ms: millis_from_seconds(workers.heartbeat_s * MAX_MISSED_HEARTBEATS)
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
            match self.deletion_reason(listed) {
                Some(ScaleInReason::Idle) => plan.idle.push(listed.name.clone()),
                Some(reason) => plan.unusable.push((listed.name.clone(), reason)),
                None => {}
            }
        }
        let is_silent = |machine_index| self.is_silent_or_unknown(machine_index);
        for name in presumed_lost(self.cluster, &self.state.listed, is_silent) {
            if !self.deletion_recently_requested(&name) {
                plan.unusable.push((name, ScaleInReason::PresumedLost));
            }
        }
        // Machine names are unique, so the order does not depend on the reasons.
        plan.unusable.sort_by(|(a, _), (b, _)| a.cmp(b));
        plan.idle.sort();
        plan
    }

    /// The reason to delete a listed machine; `None` if it is to be kept.
    fn deletion_reason(&self, listed: &ListedMachine) -> Option<ScaleInReason> {
        if self.deletion_recently_requested(&listed.name) {
            return None;
        }
        // The list may still contain a deleted machine, which the cluster state no longer has.
        let machine_index = self.cluster.machine_names.find(&listed.name)?;
        let machine = self.cluster.machine(machine_index)?;
        if listed.has_failed() {
            Some(ScaleInReason::Failed)
        } else if machine.health.quarantined {
            Some(ScaleInReason::Quarantined)
        } else if machine.heartbeat.last_seen.is_none() && listed.is_booting() {
            self.is_boot_stuck(listed, machine)
                .then_some(ScaleInReason::NeverBooted)
        } else if self.is_silent(machine) {
            Some(ScaleInReason::Silent)
        } else {
            self.is_idle(machine_index, machine)
                .then_some(ScaleInReason::Idle)
        }
    }

    fn deletion_recently_requested(&self, name: &str) -> bool {
        let requested = self.state.deletion_requested_at.get(name);
        requested.is_some_and(|at| self.now.since(*at) < DELETION_RETRY_MS)
    }

    fn is_boot_stuck(&self, listed: &ListedMachine, machine: &Machine) -> bool {
        let machine_type = self.cluster.machine_types.get(&machine.machine_type);
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |t| t.description.boot_s);
        listed.age_s > boot_s * STUCK_BOOT_FACTOR + STUCK_BOOT_GRACE_S
    }

    /// True if a machine has no placements, and is either cordoned or unused: idle for long enough,
    /// not reserved, and needed by no waiting or expected task.
    fn is_idle(&self, machine_index: MachineIndex, machine: &Machine) -> bool {
        if !self.cluster.placed_on(machine_index).is_empty() {
            return false;
        }
        // A cordoned machine gets no more tasks, so it is deleted even if its first deletion
        // failed.
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

    /// The time by which a machine's silence exceeds its limit; `None` if it does not, or if the
    /// machine's owner has sent no recent status update.
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
            .limit_ms(self.cluster, &self.controller.config, machine);
        let overdue_ms = silent_ms.checked_sub(limit_ms)?;
        (owned_here || self.owner_sent_status(machine)).then_some(overdue_ms)
    }

    fn owner_sent_status(&self, machine: &Machine) -> bool {
        let owner = self.cluster.live_owner(machine.shard);
        let peer = owner.and_then(|owner| self.controller.peer(owner));
        let last_status = peer.and_then(|peer| peer.last_status());
        last_status.is_some_and(|at| self.now.since(at) < MAX_OWNER_STATUS_AGE_MS)
    }

    fn is_silent_or_unknown(&self, machine_index: MachineIndex) -> bool {
        match self.cluster.machine(machine_index) {
            Some(machine) => self.is_silent(machine),
            // No status update has contained the machine since this controller became the owner.
            None => self.now.since(self.state.owner_since) > self.limits.unconfirmed_ms(),
        }
    }
}

/// Silent machines that have placements but are not in the cloud's list.
///
/// The cloud deleted them while no owner was running that had received their heartbeats. Only a
/// confirmed deletion proves that their tasks have ended; without it their jobs would wait forever.
/// The cloud also confirms the deletion of a machine that it does not have.
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
