//! Command `pointhook observe`: shows operators the cluster as a running controller sees it.
//!
//! `cli` calls [`run`]. The request goes to the address at which the controller accepts connections
//! of its peers, in the format of the messages between controllers.

use crate::protocol::peers::{PeerRequest, PeerResponse, ShardStatus};
use crate::transport::frames::PeerClient;
use crate::transport::TransportError;
use clap::{Args, Subcommand};
use std::net::SocketAddr;

/// Timeout of a request to a controller, ms.
const TIMEOUT_MS: u64 = 3000;

/// Subcommands of `pointhook observe`.
#[derive(Subcommand)]
pub enum ObserveAction {
    /// Shows all shards with their owners and standbys
    Standby(ObserveOptions),
}

/// Options of `pointhook observe`.
#[derive(Args)]
pub struct ObserveOptions {
    /// Peer address of the controller (`cluster_listen` in its settings)
    #[arg(long, value_name = "ADDR")]
    server: SocketAddr,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Error of an observe command.
#[derive(Debug, thiserror::Error)]
pub enum ObserveError {
    /// The controller sent no valid response.
    #[error(transparent)]
    Transport(#[from] TransportError),
    /// The controller's response does not match the request.
    #[error("{server}: unexpected response; the controller may run an older version")]
    UnexpectedResponse {
        /// Peer address of the controller.
        server: SocketAddr,
    },
    /// The response can't be converted to JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Runs an observe command and prints the controller's response.
pub fn run(action: &ObserveAction) -> Result<(), ObserveError> {
    let ObserveAction::Standby(options) = action;
    let shards = shard_statuses(options.server)?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&shards)?);
    } else {
        print!("{}", table(&shards));
    }
    Ok(())
}

fn shard_statuses(server: SocketAddr) -> Result<Vec<ShardStatus>, ObserveError> {
    let client = PeerClient::new(server);
    let response = async_io::block_on(client.call(&PeerRequest::ShardStatuses, TIMEOUT_MS));
    match response? {
        PeerResponse::ShardStatuses { shards } => Ok(shards),
        _ => Err(ObserveError::UnexpectedResponse { server }),
    }
}

/// Formats the shards as a text table with a header and one line per shard.
pub fn table(shards: &[ShardStatus]) -> String {
    let header = [
        "shard",
        "owner",
        "token",
        "state here",
        "standby",
        "standing",
    ];
    let mut out = row(header.map(String::from));
    for shard in shards {
        out += &row([
            shard.shard.to_string(),
            shard.owner.clone(),
            shard.fencing_token.to_string(),
            shard.state.clone(),
            shard.standby.clone().unwrap_or("-".to_string()),
            replication_progress(shard),
        ]);
    }
    out
}

/// Replication progress of a shard's standby. The owner knows the lag of the standby; the standby
/// knows the fencing token of the owner whose complete state it holds.
fn replication_progress(shard: &ShardStatus) -> String {
    match (shard.replication_lag, shard.replica_of_token) {
        (Some(0), _) => "up to date".to_string(),
        (Some(lag), _) => format!("{lag} decisions behind"),
        (None, Some(token)) => format!("has the state of token {token}"),
        (None, None) => "-".to_string(),
    }
}

fn row(cells: [String; 6]) -> String {
    let [shard, owner, token, state, standby, progress] = cells;
    format!("{shard:<6} {owner:<16} {token:<6} {state:<13} {standby:<16} {progress}\n")
}
