//! Delivery of direct starts: sends start commands to workers and processes their responses. The
//! planner calls `send_direct_starts` after its passes; `direct_starts` decides what to send.

use crate::coordination::controller::worker_connections::WorkerConnectionSlot;
use crate::coordination::controller::Controller;
use crate::coordination::failover;
use crate::coordination::scheduler::command_log::{self, CommandBasis, CommandPath};
use crate::coordination::scheduler::direct_starts::{
    direct_starts, record_direct_start_response, DirectStart, DirectStartOutcome,
};
use crate::protocol::workers::{DirectCommands, Heartbeat};
use crate::transport::http::{Client, ClientResponse};
use crate::transport::TransportError;
use http_types::Method;
use std::rc::Rc;

/// Timeout of a request with direct commands to a worker, ms.
const WORKER_TIMEOUT_MS: u64 = 2000;

/// Sends the start commands that should not wait for the machines' next heartbeats.
pub(super) fn send_direct_starts(controller: &Rc<Controller>) {
    let mut connections: Vec<WorkerConnectionSlot> = Vec::new();
    // Without a free connection the commands are sent in the response to the next heartbeat.
    let reserve_connection = || {
        let connection = controller.worker_connections.acquire();
        connection.map(|slot| connections.push(slot)).is_some()
    };
    let permits = failover::permits(controller);
    let starts = direct_starts(
        &mut controller.cluster.borrow_mut(),
        &controller.config,
        &permits,
        controller.now(),
        reserve_connection,
    );
    for (start, connection) in starts.into_iter().zip(connections) {
        record_commands(controller, &start);
        let delivery = deliver(controller.clone(), start);
        let task = async move {
            delivery.await;
            drop(connection);
        };
        controller.executor.spawn(task).detach();
    }
}

/// Counts and logs direct starts that are about to be sent.
fn record_commands(controller: &Controller, start: &DirectStart) {
    let cluster = controller.cluster.borrow();
    let basis = CommandBasis {
        machine: cluster.machine_names.name(start.machine),
        agent_epoch: start.agent_epoch,
        fencing_token: start.fencing_token,
        revision: cluster.revision,
    };
    command_log::record(controller, CommandPath::Direct, &basis, &start.commands);
}

async fn deliver(controller: Rc<Controller>, start: DirectStart) {
    let Ok(addr) = start.addr.parse() else {
        return;
    };
    let commands = DirectCommands {
        fencing_token: start.fencing_token,
        agent_epoch: start.agent_epoch,
        commands: start.commands.clone(),
    };
    let Ok(body) = rmp_serde::to_vec_named(&commands) else {
        return;
    };
    let response = Client::new(addr)
        .call(Method::Post, "/commands", body, WORKER_TIMEOUT_MS)
        .await;
    record_response(&controller, &start, response);
}

fn record_response(
    controller: &Controller,
    start: &DirectStart,
    response: Result<ClientResponse, TransportError>,
) {
    let outcome = outcome_of(&response);
    if outcome == DirectStartOutcome::Unknown {
        // The start may take effect minutes later, unless the shard's fencing token is raised.
        log::info!("direct start outcome unknown: address={}", start.addr);
    }
    let worker_response = response.ok().filter(is_worker_response);
    if worker_response.is_some() {
        controller.record_worker_contact();
    }
    let status = worker_response
        .and_then(|response| rmp_serde::from_slice::<Heartbeat>(&response.body).ok());
    record_direct_start_response(
        &mut controller.cluster.borrow_mut(),
        start,
        outcome,
        status.as_ref(),
        controller.now(),
    );
}

/// True for a response of the worker itself. Any other status may come from an intermediary, such
/// as a proxy.
fn is_worker_response(response: &ClientResponse) -> bool {
    matches!(response.status, 200 | 409)
}

fn outcome_of(response: &Result<ClientResponse, TransportError>) -> DirectStartOutcome {
    match response {
        Ok(response) if response.status == 200 => DirectStartOutcome::Executed,
        Ok(response) if is_worker_response(response) => DirectStartOutcome::Refused,
        Err(TransportError::Connect { .. }) => DirectStartOutcome::Refused,
        _ => DirectStartOutcome::Unknown,
    }
}
