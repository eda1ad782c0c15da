//! Which starts can't wait for a machine's next heartbeat, and what their outcome means.
//!
//! Pure decisions; `direct_start_delivery` sends them. The invariant: from before it is sent until
//! the worker has responded, a direct start counts as in flight, so that nothing takes its attempt
//! for absent.

use crate::coordination::scheduler::commands::{missing_starts, start};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::workers::{AgentEpoch, Command};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::{InFlightStart, Machine, TaskAttempt};
use crate::state::names::{Index, MachineIndex};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;
use standby::permit::{Permit, Permits};

/// Direct starts for a machine, whose next heartbeat may be seconds away.
#[derive(Debug)]
pub struct DirectStart {
    /// Machine.
    pub machine: MachineIndex,
    /// Address of its worker.
    pub addr: String,
    /// Fencing token that the commands are bound to.
    pub fencing_token: FencingToken,
    /// Agent epoch that the commands are bound to.
    pub agent_epoch: AgentEpoch,
    /// Attempts to start.
    pub attempts: Vec<TaskAttempt>,
    /// The commands.
    pub commands: Vec<Command>,
}

/// Starts that no command has gone out for yet, on machines that no heartbeat is being answered
/// to. They are noted as in flight. `reserve_connection` tells whether there is a connection left
/// for one more machine.
pub fn direct_starts(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    now: MonotonicMillis,
    mut reserve_connection: impl FnMut() -> bool,
) -> Vec<DirectStart> {
    let mut starts = Vec::new();
    if !config.may_start(cluster, now) {
        return starts;
    }
    let permitted = config.permitted(cluster, permits);
    for position in 0..cluster.machines.len() {
        let machine_index = MachineIndex::new(position);
        let Some(start) = direct_start_for(cluster, config, &permitted, machine_index, now) else {
            continue;
        };
        if !reserve_connection() {
            break;
        }
        mark_in_flight(cluster, &start, now);
        starts.push(start);
    }
    starts
}

/// What to start on a machine, if it is owned and takes direct commands; `None` if there is
/// nothing.
fn direct_start_for(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    permits: &[Option<&Permit>],
    machine_index: MachineIndex,
    now: MonotonicMillis,
) -> Option<DirectStart> {
    let machine = cluster.machine(machine_index)?;
    let fencing_token = permits[machine.shard.at()]?.fencing_token();
    let ready = machine.is_schedulable(now, config.unresponsive_ms)
        && takes_direct_commands(machine, fencing_token);
    if !ready {
        return None;
    }
    let attempts = unsent_starts(cluster, machine_index, machine);
    if attempts.is_empty() {
        return None;
    }
    let commands = attempts.iter().map(|attempt| start(cluster, *attempt));
    Some(DirectStart {
        machine: machine_index,
        addr: machine.addr.clone(),
        fencing_token,
        agent_epoch: machine.heartbeat.message_version.agent_epoch,
        commands: commands.collect(),
        attempts,
    })
}

/// True if the worker knows this owner, can be reached, and is not being answered right now.
fn takes_direct_commands(machine: &Machine, fencing_token: FencingToken) -> bool {
    machine.heartbeat.responses_in_progress == 0
        && machine.heartbeat.fencing_token == fencing_token
        && machine.heartbeat.message_version.agent_epoch.is_known()
        && !machine.addr.is_empty()
}

fn unsent_starts(
    cluster: &ClusterState,
    machine_index: MachineIndex,
    machine: &Machine,
) -> Vec<TaskAttempt> {
    let mut attempts = missing_starts(cluster, machine_index, machine);
    attempts.retain(|attempt| {
        !machine.starts.sent.contains_key(attempt)
            && !machine.starts.in_flight.contains_key(attempt)
    });
    attempts
}

fn mark_in_flight(cluster: &mut ClusterState, sent: &DirectStart, now: MonotonicMillis) {
    let in_flight = InFlightStart {
        fencing_token: sent.fencing_token,
        agent_epoch: sent.agent_epoch,
        sent_at: now,
        acknowledged: false,
    };
    if let Some(machine) = cluster.machine_mut(sent.machine) {
        let attempts = sent.attempts.iter().map(|attempt| (*attempt, in_flight));
        machine.starts.in_flight.extend(attempts);
    }
}

/// How direct starts went.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DirectStartOutcome {
    /// They were executed.
    Executed,
    /// They never left, or the worker refused them.
    Refused,
    /// There was no response: they may run at any time until the fencing token has risen.
    Unknown,
}

/// Notes how direct starts went.
pub fn record_direct_start_outcome(
    cluster: &mut ClusterState,
    sent: &DirectStart,
    outcome: DirectStartOutcome,
) {
    let Some(machine) = cluster.machine_mut(sent.machine) else {
        return;
    };
    for attempt in &sent.attempts {
        match outcome {
            DirectStartOutcome::Unknown => {}
            DirectStartOutcome::Executed => {
                if let Some(start) = machine.starts.in_flight.get_mut(attempt) {
                    start.acknowledged = true;
                }
            }
            DirectStartOutcome::Refused => {
                machine.starts.in_flight.remove(attempt);
            }
        }
    }
}
