//! `pointhook observe`: what a running controller sees, for operators.

use crate::protocol::peers::{PeerRequest, PeerResponse, ShardStatus};
use crate::transport::frames::PeerClient;
use crate::transport::TransportError;
use clap::{Args, Subcommand};
use std::net::SocketAddr;

/// Time for an answer.
const ANSWER_MS: u64 = 3000;

/// What is observed.
#[derive(Subcommand)]
pub enum Subject {
    /// Shards, their owners and their standbys
    Standby(Asked),
}

/// Who is asked, and how the answer is printed.
#[derive(Args)]
pub struct Asked {
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
    #[error("{server}: {source}")]
    Transport {
        /// Controller.
        server: SocketAddr,
        /// Cause.
        source: TransportError,
    },
    /// Another answer than the one that was asked for.
    #[error("{0}: no answer to this question; is it an older version?")]
    Unexpected(SocketAddr),
    /// The answer can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Runs the command.
pub fn run(subject: &Subject) -> Result<(), ObserveError> {
    let Subject::Standby(asked) = subject;
    let shards = ask(asked.server)?;
    if asked.json {
        println!("{}", serde_json::to_string_pretty(&shards)?);
    } else {
        print!("{}", table(&shards));
    }
    Ok(())
}

fn ask(server: SocketAddr) -> Result<Vec<ShardStatus>, ObserveError> {
    let client = PeerClient::new(server);
    let answer = async_io::block_on(client.ask(&PeerRequest::ShardStatuses, ANSWER_MS));
    match answer.map_err(|source| ObserveError::Transport { server, source })? {
        PeerResponse::ShardStatuses { shards } => Ok(shards),
        _ => Err(ObserveError::Unexpected(server)),
    }
}

/// One line a shard, for people.
pub fn table(shards: &[ShardStatus]) -> String {
    let mut out = row([
        "shard",
        "owner",
        "token",
        "state here",
        "standby",
        "standing",
    ]
    .map(String::from));
    for s in shards {
        out += &row([
            s.shard.to_string(),
            s.owner.clone(),
            s.fencing_token.to_string(),
            s.state.clone(),
            s.standby.clone().unwrap_or("-".to_string()),
            progress(s),
        ]);
    }
    out
}

/// How far the standby is, seen from the owner's or from its own end.
fn progress(s: &ShardStatus) -> String {
    match (s.replication_lag, s.replica_of_token) {
        (Some(0), _) => "up to date".to_string(),
        (Some(n), _) => format!("{n} decisions behind"),
        (None, Some(token)) => format!("has the state of token {token}"),
        (None, None) => "-".to_string(),
    }
}

fn row(cells: [String; 6]) -> String {
    let [shard, owner, token, state, standby, progress] = cells;
    format!("{shard:<6} {owner:<16} {token:<6} {state:<13} {standby:<16} {progress}\n")
}
