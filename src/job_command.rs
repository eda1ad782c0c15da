//! The command line for people who submit, show and cancel jobs.

use crate::protocol::users::{InvalidJob, JobSpec, JobStatus};
use crate::transport::http::{Client, Fetched};
use crate::transport::TransportError;
use clap::Subcommand;
use http_types::Method;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Time that a controller has to answer.
const ANSWER_MS: u64 = 5000;

/// What to do with a job.
#[derive(Subcommand)]
pub enum JobAction {
    /// Submits a job described in a TOML file
    Submit {
        /// Address of a controller
        #[arg(long)]
        server: SocketAddr,
        /// Description, with the field names of the protocol
        file: PathBuf,
    },
    /// Shows where a job stands
    Show {
        /// Address of a controller
        #[arg(long)]
        server: SocketAddr,
        /// Job id
        id: String,
    },
    /// Cancels a job, and with it all that await it
    #[command(alias = "withdraw")]
    Cancel {
        /// Address of a controller
        #[arg(long)]
        server: SocketAddr,
        /// Job id
        id: String,
    },
}

/// Why a job command failed.
#[derive(Debug, thiserror::Error)]
pub enum JobCommandError {
    /// The description can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The description is no TOML, or lacks a field.
    #[error("{}: {reason}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Why.
        reason: String,
    },
    /// A field of the description has a value that no job may have.
    #[error("{}: {reason}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Why.
        reason: InvalidJob,
    },
    /// The request can't be written, or the answer not be read.
    #[error("unreadable message: {0}")]
    Message(String),
    /// The controller did not answer.
    #[error("{0}")]
    Transport(#[from] TransportError),
    /// 400.
    #[error("the controller takes the job for malformed")]
    Refused,
    /// 404.
    #[error("no job has this id")]
    Unknown,
    /// 422.
    #[error("the job can never run here, or a job that it awaits was never accepted")]
    Impossible,
    /// 429 or 503.
    #[error("can't be taken now, try again later")]
    Later,
    /// Any other status.
    #[error("answered with status {0}")]
    Status(u16),
}

/// Carries out a job command and prints what the controller answers.
pub fn run(action: JobAction) -> Result<(), JobCommandError> {
    let (server, method, path, body) = match action {
        JobAction::Submit { server, file } => {
            let body = submission(&file)?;
            (server, Method::Post, "/v1/jobs".to_string(), body)
        }
        JobAction::Show { server, id } => {
            (server, Method::Get, format!("/v1/jobs/{id}"), Vec::new())
        }
        JobAction::Cancel { server, id } => {
            let path = format!("/v1/jobs/{id}/withdraw");
            (server, Method::Post, path, Vec::new())
        }
    };
    let client = Client::new(server);
    let answer = async_io::block_on(client.call(method, &path, body, ANSWER_MS))?;
    show(&answer)
}

/// The request that submits the job described in a file.
fn submission(path: &Path) -> Result<Vec<u8>, JobCommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| JobCommandError::Unreadable {
        path: path.into(),
        source,
    })?;
    let spec: JobSpec = toml::from_str(&text).map_err(|e| JobCommandError::Malformed {
        path: path.into(),
        reason: e.message().into(),
    })?;
    spec.check().map_err(|reason| JobCommandError::Invalid {
        path: path.into(),
        reason,
    })?;
    rmp_serde::to_vec_named(&spec).map_err(|e| JobCommandError::Message(e.to_string()))
}

fn show(answer: &Fetched) -> Result<(), JobCommandError> {
    match answer.status {
        200 | 201 => {}
        400 => return Err(JobCommandError::Refused),
        404 => return Err(JobCommandError::Unknown),
        422 => return Err(JobCommandError::Impossible),
        429 | 503 => return Err(JobCommandError::Later),
        status => return Err(JobCommandError::Status(status)),
    }
    let status: JobStatus =
        rmp_serde::from_slice(&answer.body).map_err(|e| JobCommandError::Message(e.to_string()))?;
    println!("{}: {}", status.id, status.status);
    if let (Some(done), Some(running)) = (status.done, status.running) {
        println!("tasks done: {done}, running: {running}");
    }
    Ok(())
}
