//! The HTTP handler of heartbeats: decoding, waiting for the planner, and status codes.
//!
//! `job_api` calls [`handle`] for each heartbeat request. The other modules of this folder decide
//! whether to accept the heartbeat and how to respond.

use super::apply::HeartbeatChange;
use super::receive::{receive, AcceptedHeartbeat, HeartbeatOutcome};
use super::respond::respond;
use crate::coordination::controller::Controller;
use crate::coordination::failover;
use crate::coordination::scheduler::command_log::{self, CommandBasis, CommandPath};
use crate::protocol::workers::{Command, Heartbeat, NotOwner};
use crate::state::cluster_state::ClusterState;
use crate::state::names::MachineIndex;
use crate::state::units::millis_from_seconds;
use crate::transport::http::ServerResponse;
use standby::failover::Refusal;
use std::rc::Rc;

/// Longest delay of a response while the planner reconciles and claims tasks.
const SCHEDULING_WAIT_MS: u64 = 400;
/// `Retry-After` of responses, in seconds, until this controller has loaded all records.
const RETRY_WHILE_LOADING_S: u32 = 1;

/// Handles one heartbeat and returns the HTTP response.
///
/// Status 200 renews the worker's lease. Status 421 refuses the renewal, and names the shard's live
/// owner if this controller knows of another one. Status 400 means that the heartbeat is malformed,
/// and 503 that this controller has not loaded all records yet.
pub async fn handle(controller: &Rc<Controller>, body: &[u8]) -> ServerResponse {
    let Ok(heartbeat) = rmp_serde::from_slice::<Heartbeat>(body) else {
        controller.warn_rate_limited("malformed heartbeat ignored");
        return ServerResponse::empty(400);
    };
    controller.record_worker_contact();
    if !controller.cluster.borrow().loaded {
        return ServerResponse::unavailable(RETRY_WHILE_LOADING_S);
    }
    let accepted = match receive_now(controller, &heartbeat) {
        HeartbeatOutcome::Accepted(accepted) => accepted,
        HeartbeatOutcome::NotOwner { owner } => return not_owner(owner),
        HeartbeatOutcome::StaleFencingToken { shard, seen } => {
            failover::token_refused(controller, shard, Refusal::Worker { seen });
            return not_owner(None);
        }
    };
    if accepted.change == HeartbeatChange::Changed {
        wait_for_scheduling_round(controller, accepted.machine).await;
    }
    respond_now(controller, &accepted)
}

fn not_owner(owner: Option<String>) -> ServerResponse {
    ServerResponse::with_body(421, &NotOwner { owner })
}

fn receive_now<'h>(controller: &Controller, heartbeat: &'h Heartbeat) -> HeartbeatOutcome<'h> {
    let lease_ms = millis_from_seconds(controller.platform.settings.workers.lease_s);
    let mut cluster = controller.cluster.borrow_mut();
    let now = controller.now();
    receive(&mut cluster, &controller.config, heartbeat, lease_ms, now)
}

/// Waits for the planner to act on the heartbeat, so that the response includes the resulting
/// commands.
///
/// Meanwhile no direct starts are sent to the machine, since the response will contain them.
async fn wait_for_scheduling_round(controller: &Controller, machine: MachineIndex) {
    adjust_responses_in_progress(controller, machine, 1);
    controller
        .scheduling
        .request_round(SCHEDULING_WAIT_MS)
        .await;
    adjust_responses_in_progress(controller, machine, -1);
}

fn adjust_responses_in_progress(controller: &Controller, machine: MachineIndex, by: i32) {
    if let Some(machine) = controller.cluster.borrow_mut().machine_mut(machine) {
        machine.heartbeat.responses_in_progress = machine
            .heartbeat
            .responses_in_progress
            .saturating_add_signed(by);
    }
}

fn respond_now(controller: &Controller, accepted: &AcceptedHeartbeat) -> ServerResponse {
    let permits = failover::permits(controller);
    let mut cluster = controller.cluster.borrow_mut();
    let now = controller.now();
    match respond(&mut cluster, &controller.config, &permits, accepted, now) {
        Some(response) => {
            record_commands(controller, &cluster, accepted, &response.commands);
            ServerResponse::with_body(200, &response)
        }
        None => not_owner(None),
    }
}

/// Counts and logs the starts and stops in a response, with what they rest on.
fn record_commands(
    controller: &Controller,
    cluster: &ClusterState,
    accepted: &AcceptedHeartbeat,
    commands: &[Command],
) {
    let basis = CommandBasis {
        machine: &accepted.heartbeat.machine,
        agent_epoch: accepted.heartbeat.agent_epoch,
        fencing_token: accepted.fencing_token,
        revision: cluster.revision,
    };
    command_log::record(controller, CommandPath::Response, &basis, commands);
}
