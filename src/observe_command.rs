//! `pointhook observe`: what a running controller sees, for operators.
//!
//! `cli` calls [`run`]. The question goes to the controller's address for peers, as a peer's
//! would.

use crate::protocol::peers::{PeerRequest, PeerResponse, ShardStatus};
use crate::transport::frames::PeerClient;
use crate::transport::TransportError;
use clap::{Args, Subcommand};
use std::net::SocketAddr;

/// Time for an answer.
const TIMEOUT_MS: u64 = 3000;

/// What is observed.
#[derive(Subcommand)]
pub enum Subject {
    /// Shards, their owners and their standbys
    Standby(ObserveOptions),
}

/// Who is asked, and how the answer is printed.
#[derive(Args)]
pub struct ObserveOptions {
    /// Address for peers of the controller that is asked (`cluster_listen`)
    #[arg(long, value_name = "ADDR")]
    server: SocketAddr,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Why nothing can be shown.
#[derive(Debug, thiserror::Error)]
pub enum ObserveError {
    /// No answer.
    #[error(transparent)]
    Transport(#[from] TransportError),
    /// Another answer than the one that was asked for.
    #[error("{server}: no answer to this question; is it an older version?")]
    UnexpectedResponse {
        /// The controller that was asked.
        server: SocketAddr,
    },
    /// The answer can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Runs the command.
pub fn run(subject: &Subject) -> Result<(), ObserveError> {
    let Subject::Standby(options) = subject;
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
    let answer = async_io::block_on(client.call(&PeerRequest::ShardStatuses, TIMEOUT_MS));
    match answer? {
        PeerResponse::ShardStatuses { shards } => Ok(shards),
        _ => Err(ObserveError::UnexpectedResponse { server }),
    }
}

/// One line for each shard, for people.
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

/// How far the standby is, seen from the owner's or from its own end.
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
