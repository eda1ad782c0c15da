//! Which machines are deleted, and the deletion.
//!
//! The autoscaler's round calls [`scale_in`] last.
//!
//! Invariants: a machine that runs tasks is deleted only after its silence has lasted longer than
//! its worker's lease, as far as its owner can tell; an idle one only after its owner has cordoned
//! it. The deletion of a silent machine is the only proof that its tasks have ended.

use super::{AutoscalerState, CLOUD_TIMEOUT_MS, REFRESH_MS};
use crate::coordination::controller::Controller;
use crate::coordination::peer_messages::{machine_changes, status_updates};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::cloud::{ListedMachine, MachineNames};
use crate::protocol::peers::{PeerRequest, PeerResponse};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, MachineIndex, ZoneIndex};
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use http_types::Method;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;

/// Boot times after which a machine that still boots is deleted.
const STUCK_BOOT_TIMES: f64 = 2.5;
/// Time beyond that, for the list's lag.
const STUCK_GRACE_S: f64 = 10.0;
/// Boot time of a machine whose type is not known.
const DEFAULT_BOOT_S: f64 = 60.0;

/// Most machines in one deletion, by the cloud's protocol.
const MAX_MACHINES_PER_DELETION: usize = 100;
/// A machine whose deletion was requested is left alone for this long.
const DELETION_RETRY_MS: u64 = 5000;

/// Fewest machines of a zone of which a part can tell of a partition.
const MIN_MACHINES_OF_PARTITIONED_ZONE: u32 = 12;
/// A zone in which more than one in so many machines is silent is likely partitioned.
const PARTITIONED_ZONE_PART: u32 = 3;

/// Time after a change of owner in which nothing is deleted: too little is known yet.
const OWNER_WARM_UP_MS: u64 = 3000;
/// Age up to which the last status of a machine's owner counts.
const OWNER_STATUS_MS: u64 = 3000;
/// Time in which a machine has to send its first heartbeat, beside the lease.
const FIRST_HEARTBEAT_MS: u64 = 20_000;
/// Time beyond four missed heartbeats after which a machine counts as silent.
const SILENCE_GRACE_MS: u64 = 4000;

/// Time for a peer to cordon machines.
const CORDON_TIMEOUT_MS: u64 = 800;
/// Time for a peer to take note of deleted machines.
const ANNOUNCE_TIMEOUT_MS: u64 = 500;

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

/// How long a machine may be silent before it is deleted.
pub struct SilenceLimits {
    /// For one that has shown its owner's fencing token.
    pub confirmed_ms: u64,
    /// The workers' lease.
    pub lease_ms: u64,
}

impl SilenceLimits {
    /// How much longer machines of a zone that is likely partitioned are waited for. Inside they
    /// go on, answered by the controllers there, and what runs on them would be lost with them.
    pub fn partition_allowance_ms(&self) -> u64 {
        self.lease_ms * 2
    }

    /// For a machine that may still talk to an older owner.
    fn unconfirmed_ms(&self) -> u64 {
        self.confirmed_ms + self.lease_ms / 2
    }

    /// The limit of a machine. After a change of owner it may still talk to the old one, who
    /// does not know: until the new token has reached it, its silence here proves little.
    pub fn of(&self, cluster: &ClusterState, config: &SchedulerConfig, machine: &Machine) -> u64 {
        let token = cluster.shards[machine.shard.at()].record.fencing_token;
        let confirmed = if config.owns(cluster, machine.shard) {
            machine.fencing_token == token
        } else {
            machine.fencing_token_confirmed
        };
        match machine.last_heartbeat {
            None => self.lease_ms + FIRST_HEARTBEAT_MS,
            Some(_) if confirmed => self.confirmed_ms,
            Some(_) => self.unconfirmed_ms(),
        }
    }
}

/// Machines of a zone that have ever sent a heartbeat.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct ZoneMachineCounts {
    /// All of them.
    pub total: u32,
    /// Those that are silent now.
    pub silent: u32,
}

/// Zones of which so many machines are silent at once that the zone's network and not they will
/// have failed.
pub fn partitioned_zones(counts: &HashMap<ZoneIndex, ZoneMachineCounts>) -> HashSet<ZoneIndex> {
    let is_partitioned = |counts: &ZoneMachineCounts| {
        counts.total >= MIN_MACHINES_OF_PARTITIONED_ZONE
            && counts.silent * PARTITIONED_ZONE_PART > counts.total
    };
    let zones = counts.iter().filter(|(_, counts)| is_partitioned(counts));
    zones.map(|(zone, _)| *zone).collect()
}

fn machine_counts_by_zone(
    cluster: &ClusterState,
    unresponsive_ms: u64,
    now: MonotonicMillis,
) -> HashMap<ZoneIndex, ZoneMachineCounts> {
    let mut counts: HashMap<ZoneIndex, ZoneMachineCounts> = HashMap::new();
    for (_, machine) in cluster.all_machines() {
        let Some(last_heartbeat) = machine.last_heartbeat else {
            continue;
        };
        let zone = counts.entry(machine.zone).or_default();
        zone.total += 1;
        zone.silent += u32::from(now.since(last_heartbeat) > unresponsive_ms);
    }
    counts
}

/// Machines to be deleted.
#[derive(Default)]
struct ScaleInPlan {
    /// Those that can't be used, with the reason.
    unusable: Vec<(String, ScaleInReason)>,
    /// Those that nothing needs. Their owners have to cordon them first.
    idle: Vec<String>,
}

impl ScaleInPlan {
    fn is_empty(&self) -> bool {
        self.unusable.is_empty() && self.idle.is_empty()
    }
}

/// What a plan goes by.
struct ScaleInPlanner<'a> {
    controller: &'a Controller,
    cluster: &'a ClusterState,
    state: &'a AutoscalerState,
    limits: SilenceLimits,
    idle_ms: u64,
    partitioned: HashSet<ZoneIndex>,
    now: MonotonicMillis,
}

impl<'a> ScaleInPlanner<'a> {
    fn new(
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
                confirmed_ms: millis_from_seconds(workers.heartbeat_s * 4.0) + SILENCE_GRACE_MS,
                lease_ms: millis_from_seconds(workers.lease_s),
            },
            idle_ms: millis_from_seconds(controller.operator.scale_in_after_idle_s),
            partitioned: partitioned_zones(&counts),
            now,
        }
    }

    fn plan(&self) -> ScaleInPlan {
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
        } else if machine.quarantined {
            Some(ScaleInReason::Quarantined)
        } else if machine.last_heartbeat.is_none() && listed.is_booting() {
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
            let idle_since = machine.idle_since;
            machine.last_heartbeat.is_some()
                && !self.state.needed_machines.contains(&machine_index)
                && idle_since.is_some_and(|at| self.now.since(at) > self.idle_ms)
                && machine
                    .reservation
                    .is_none_or(|(_, until)| self.now > until)
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
            machine.last_heartbeat,
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
        .occupied()
        .filter(|machine_index| {
            !cluster.is_deleted(*machine_index)
                && !listed.contains_key(name(*machine_index))
                && is_silent(*machine_index)
        })
        .map(|machine_index| name(machine_index).to_string())
        .collect()
}

/// Deletes machines that can't be used or that nothing needs.
pub(super) async fn scale_in(controller: &Rc<Controller>, state: &mut AutoscalerState) {
    let now = controller.now();
    update_idle_since(&mut controller.cluster.borrow_mut(), now);
    if now.since(state.owner_since) < OWNER_WARM_UP_MS {
        return;
    }
    let plan = ScaleInPlanner::new(controller, &controller.cluster.borrow(), state, now).plan();
    state.scale_in_pending = !plan.is_empty();
    if !state.scale_in_pending {
        return;
    }
    if !confirm_ownership(controller).await {
        log::debug!("scale-in skipped, ownership of the autoscaler's shard not confirmed");
        return;
    }
    let cordoned = cordon_idle(controller, &plan.idle).await;
    let idle = cordoned.into_iter().map(|name| (name, ScaleInReason::Idle));
    let deletions: Vec<(String, ScaleInReason)> = plan
        .unusable
        .into_iter()
        .chain(idle)
        .take(MAX_MACHINES_PER_DELETION)
        .collect();
    if deletions.is_empty() || !state.rate_limiter.try_acquire(controller.now(), 0.0) {
        return;
    }
    delete(controller, state, deletions).await;
}

/// Notes since when machines have had nothing to do.
fn update_idle_since(cluster: &mut ClusterState, now: MonotonicMillis) {
    for machine_index in (0..cluster.machines.len()).map(MachineIndex::new) {
        let has_placements = !cluster.placed_on(machine_index).is_empty();
        let Some(machine) = cluster.machine_mut(machine_index) else {
            continue;
        };
        let busy = has_placements || !machine.queue.is_empty() || machine.owner_queue_length > 0;
        machine.idle_since = match (busy, machine.last_heartbeat) {
            (false, Some(_)) => machine.idle_since.or(Some(now)),
            _ => None,
        };
    }
}

/// True if this controller still owns the autoscaler's shard, by a fresh read.
///
/// Nothing fences a deletion but this: an owner that was cut off from the key-value store would go
/// on deleting machines that others have long put to use.
async fn confirm_ownership(controller: &Controller) -> bool {
    if !controller.refresh(REFRESH_MS).await {
        return false;
    }
    let cluster = controller.cluster.borrow();
    let shard = cluster.autoscaler_shard();
    controller.config.owns(&cluster, shard)
}

/// Has owners cordon idle machines, so that nothing new is started there; returns those that are
/// cordoned now.
async fn cordon_idle(controller: &Rc<Controller>, idle: &[String]) -> Vec<String> {
    let by_owner = group_by_owner(&controller.cluster.borrow(), idle);
    let mut cordoned = Vec::new();
    for (owner, machines) in by_owner {
        if owner == controller.config.controller_name {
            cordoned.extend(machine_changes::cordon(controller, &machines));
        } else {
            cordoned.extend(ask_peer_to_cordon(controller, &owner, machines).await);
        }
    }
    cordoned
}

fn group_by_owner(cluster: &ClusterState, machines: &[String]) -> HashMap<String, Vec<String>> {
    let mut by_owner: HashMap<String, Vec<String>> = HashMap::new();
    for name in machines {
        let machine_index = cluster.machine_names.find(name);
        if let Some(machine) = machine_index.and_then(|index| cluster.machine(index)) {
            let owner = cluster.shards[machine.shard.at()].record.owner.clone();
            by_owner.entry(owner).or_default().push(name.clone());
        }
    }
    by_owner
}

/// Those that the peer has cordoned; none if it does not answer, to be asked again next round.
async fn ask_peer_to_cordon(
    controller: &Controller,
    owner: &str,
    machines: Vec<String>,
) -> Vec<String> {
    let Some(peer) = controller.peer(owner) else {
        return Vec::new();
    };
    let request = PeerRequest::Cordon { machines };
    match peer.client.ask(&request, CORDON_TIMEOUT_MS).await {
        Ok(PeerResponse::Cordoned(cordoned)) => cordoned,
        Ok(_) => Vec::new(),
        Err(e) => {
            log::debug!("machines not cordoned: peer={owner} error={e}");
            Vec::new()
        }
    }
}

/// Requests a deletion from the cloud, and announces the machines as deleted if it succeeds.
async fn delete(
    controller: &Rc<Controller>,
    state: &mut AutoscalerState,
    deletions: Vec<(String, ScaleInReason)>,
) {
    for (name, reason) in &deletions {
        log::info!("machine deletion requested: machine={name} reason={reason}");
    }
    let machines: Vec<String> = deletions.into_iter().map(|(name, _)| name).collect();
    let message = MachineNames {
        machines: machines.clone(),
    };
    let body = match rmp_serde::to_vec_named(&message) {
        Ok(body) => body,
        Err(e) => {
            log::error!("machine deletion not encoded: error={e}");
            return;
        }
    };
    let answer = controller
        .cloud
        .call(Method::Post, "/hosts/release", body, CLOUD_TIMEOUT_MS)
        .await;
    for name in &machines {
        state
            .deletion_requested_at
            .insert(name.clone(), controller.now());
    }
    match answer {
        Ok(answer) if answer.status == 200 => announce_deleted(controller, machines).await,
        Ok(answer) => log::warn!("machine deletion refused: status={}", answer.status),
        Err(e) => {
            log::warn!("machine deletion unanswered: error={e}");
            controller.cloud.reset();
        }
    }
}

/// Takes note of deleted machines, here and at all peers: the only proof there is that the tasks
/// of a machine that does not talk any more have ended.
async fn announce_deleted(controller: &Controller, machines: Vec<String>) {
    machine_changes::mark_machines_deleted(controller, &machines);
    let announcement = PeerRequest::MachinesDeleted { machines };
    for peer in &controller.peers {
        let answer = peer.client.ask(&announcement, ANNOUNCE_TIMEOUT_MS).await;
        if let Err(e) = answer {
            log::debug!(
                "deleted machines not announced: peer={} error={e}",
                peer.name
            );
        }
    }
}
