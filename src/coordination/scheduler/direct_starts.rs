//! Direct starts: start commands that are sent at once instead of in the response to the machine's
//! next heartbeat, and the effects of their outcomes.
//!
//! This module only decides; `direct_start_delivery` sends the commands. Invariant: a direct start
//! is recorded as in flight before it is sent and until the worker has responded, so that its
//! attempt is never considered proven absent meanwhile.

use crate::coordination::heartbeats::{self, StatusSource};
use crate::coordination::scheduler::commands::{missing_starts, start_command};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::protocol::workers::{AgentEpoch, Command, Heartbeat};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::{InFlightStart, Machine, TaskAttempt};
use crate::state::names::{Index, MachineIndex};
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;
use standby::permit::{Permit, Permits};

/// Start commands to send directly to one machine, whose next heartbeat may be seconds away.
#[derive(Debug)]
pub struct DirectStart {
    /// Machine that runs the attempts.
    pub machine: MachineIndex,
    /// Address of the machine's worker.
    pub addr: String,
    /// Fencing token of the commands; a worker that has received a higher token refuses them.
    pub fencing_token: FencingToken,
    /// Agent epoch that the commands are meant for; the worker refuses them in any other epoch.
    pub agent_epoch: AgentEpoch,
    /// Attempts to start.
    pub attempts: Vec<TaskAttempt>,
    /// One start command per attempt.
    pub commands: Vec<Command>,
}

impl DirectStart {
    /// True if an in-flight start of one of these attempts is this one.
    fn is_same_start(&self, in_flight: &InFlightStart) -> bool {
        (self.fencing_token, self.agent_epoch) == (in_flight.fencing_token, in_flight.agent_epoch)
    }
}

/// Selects the attempts for which no start command has been sent yet, on machines to which no
/// heartbeat response is in progress, and marks these attempts as in flight. `reserve_connection`
/// is called once per machine and returns whether a connection is available for it.
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
    let permits_by_shard = config.permits_by_shard(cluster, permits);
    for position in 0..cluster.machines.len() {
        let machine_index = MachineIndex::new(position);
        let Some(start) = direct_start_for(cluster, config, &permits_by_shard, machine_index, now)
        else {
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

/// The direct start commands for one machine. `None` if there is nothing to start, or if the
/// machine is not owned, not schedulable or does not accept direct commands.
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
        && accepts_direct_commands(machine, fencing_token);
    if !ready {
        return None;
    }
    let attempts = unsent_starts(cluster, machine_index, machine);
    if attempts.is_empty() {
        return None;
    }
    let commands = attempts
        .iter()
        .map(|attempt| start_command(cluster, *attempt));
    Some(DirectStart {
        machine: machine_index,
        addr: machine.addr.clone(),
        fencing_token,
        agent_epoch: machine.heartbeat.message_version.agent_epoch,
        commands: commands.collect(),
        attempts,
    })
}

/// True if the worker has confirmed this owner's fencing token, the worker's address and agent
/// epoch are known, and no heartbeat response to the worker is in progress.
fn accepts_direct_commands(machine: &Machine, fencing_token: FencingToken) -> bool {
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

/// Outcome of a request with direct start commands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DirectStartOutcome {
    /// The worker executed the commands.
    Executed,
    /// The request was never sent, or the worker refused it.
    Refused,
    /// There was no response from the worker: the commands may take effect at any time until the
    /// fencing token is raised.
    Unknown,
}

/// Records the outcome of direct starts and, if the worker has responded, the status in its
/// response.
pub fn record_direct_start_response(
    cluster: &mut ClusterState,
    sent: &DirectStart,
    outcome: DirectStartOutcome,
    status: Option<&Heartbeat>,
    now: MonotonicMillis,
) {
    record_direct_start_outcome(cluster, sent, outcome);
    if let Some(status) = status {
        heartbeats::apply(
            cluster,
            sent.machine,
            status,
            now,
            StatusSource::CommandResponse,
        );
    }
}

/// Records the outcome of direct starts. An unknown outcome leaves them in flight.
fn record_direct_start_outcome(
    cluster: &mut ClusterState,
    sent: &DirectStart,
    outcome: DirectStartOutcome,
) {
    let Some(machine) = cluster.machine_mut(sent.machine) else {
        return;
    };
    for attempt in &sent.attempts {
        let Some(in_flight) = machine.starts.in_flight.get_mut(attempt) else {
            continue;
        };
        // A start that was sent later, in another epoch or under another token, may still be
        // executed, whatever became of this one.
        if !sent.is_same_start(in_flight) {
            continue;
        }
        match outcome {
            DirectStartOutcome::Unknown => {}
            DirectStartOutcome::Executed => in_flight.acknowledged = true,
            DirectStartOutcome::Refused => {
                machine.starts.in_flight.remove(attempt);
            }
        }
    }
}
