//! Counts and log lines of the start and stop commands that are sent to workers.

use crate::coordination::controller::Controller;
use crate::coordination::event_counts::CountedEvent;
use crate::protocol::workers::{AgentEpoch, Command};
use standby::ids::FencingToken;

/// The way by which commands are sent to a worker.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommandPath {
    /// In the response to a heartbeat.
    Response,
    /// In a request to the worker's address.
    Direct,
}

/// What the commands in a message rest on.
#[derive(Clone, Copy, Debug)]
pub struct CommandBasis<'a> {
    /// Name of the machine.
    pub machine: &'a str,
    /// Agent epoch that the commands are meant for.
    pub agent_epoch: AgentEpoch,
    /// Fencing token of the message.
    pub fencing_token: FencingToken,
    /// Revision of the records from which the commands were decided.
    pub revision: u64,
}

/// Counts and logs the starts and stops among the commands of one message.
pub fn record(
    controller: &Controller,
    path: CommandPath,
    basis: &CommandBasis,
    commands: &[Command],
) {
    for command in commands {
        match command {
            Command::Start { task, attempt } => {
                let event = match path {
                    CommandPath::Response => CountedEvent::StartInResponse,
                    CommandPath::Direct => CountedEvent::StartDirect,
                };
                controller.events.add(event, 1);
                log_command(controller, "start sent", path, basis, task, *attempt);
            }
            Command::Stop { task, attempt, .. } => {
                controller.events.add(CountedEvent::Stop, 1);
                log_command(controller, "stop sent", path, basis, task, *attempt);
            }
            Command::AcknowledgeExit { .. } => {}
        }
    }
}

fn log_command(
    controller: &Controller,
    event: &str,
    path: CommandPath,
    basis: &CommandBasis,
    task: &str,
    attempt: u64,
) {
    log::debug!(
        "{event}: path={path:?} task={task} attempt={attempt} machine={} agent_epoch={} \
         fencing_token={} revision={} view_age_ms={}",
        basis.machine,
        basis.agent_epoch.0,
        basis.fencing_token,
        basis.revision,
        controller.view_age()
    );
}
