//! `pointhook job`: submits, shows and cancels jobs through any controller.
//!
//! `cli` calls [`run`]; the requests are those of [`crate::protocol::users`].

use crate::protocol::users::{InvalidJob, JobSpec, JobStatus};
use crate::transport::http::{Client, ClientResponse};
use crate::transport::TransportError;
use clap::Subcommand;
use http_types::Method;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Time that a controller has to answer.
const TIMEOUT_MS: u64 = 5000;

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
    /// Cancels a job, and with it all that depend on it
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
        /// What the operating system said.
        #[source]
        source: std::io::Error,
    },
    /// The description is no TOML, or lacks a field.
    #[error("{}: {}", path.display(), source.message())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What the parser said.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// A field of the description has a value that no job may have.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The field and what is allowed.
        #[source]
        source: InvalidJob,
    },
    /// The request can't be encoded.
    #[error("job {job}: the request can't be encoded: {source}")]
    Encode {
        /// The job.
        job: String,
        /// Cause.
        #[source]
        source: rmp_serde::encode::Error,
    },
    /// The answer is not of the protocol.
    #[error("job {job}: unreadable answer: {source}")]
    Decode {
        /// The job.
        job: String,
        /// Cause.
        #[source]
        source: rmp_serde::decode::Error,
    },
    /// The controller did not answer.
    #[error(transparent)]
    Transport(#[from] TransportError),
    /// 400.
    #[error("job {job}: the controller takes the job for malformed")]
    Rejected {
        /// The job.
        job: String,
    },
    /// 404.
    #[error("job {job}: no job has this id")]
    NotFound {
        /// The job.
        job: String,
    },
    /// 422.
    #[error("job {job}: the job can never run here, or a dependency of it was never accepted")]
    Unschedulable {
        /// The job.
        job: String,
    },
    /// 429 or 503.
    #[error("job {job}: can't be taken now, try again later")]
    Unavailable {
        /// The job.
        job: String,
    },
    /// Any other status.
    #[error("job {job}: answered with status {status}")]
    Status {
        /// The job.
        job: String,
        /// The status.
        status: u16,
    },
}

/// A request about one job.
struct JobRequest {
    server: SocketAddr,
    job: String,
    method: Method,
    path: String,
    body: Vec<u8>,
}

/// Carries out a job command and prints what the controller answers.
pub fn run(action: JobAction) -> Result<(), JobCommandError> {
    let JobRequest {
        server,
        job,
        method,
        path,
        body,
    } = request(action)?;
    let client = Client::new(server);
    let answer = async_io::block_on(client.call(method, &path, body, TIMEOUT_MS))?;
    print_status(&status(job, &answer)?);
    Ok(())
}

fn request(action: JobAction) -> Result<JobRequest, JobCommandError> {
    Ok(match action {
        JobAction::Submit { server, file } => {
            let spec = read_spec(&file)?;
            JobRequest {
                server,
                body: encode(&spec)?,
                job: spec.id,
                method: Method::Post,
                path: "/v1/jobs".to_string(),
            }
        }
        JobAction::Show { server, id } => JobRequest {
            server,
            path: format!("/v1/jobs/{id}"),
            job: id,
            method: Method::Get,
            body: Vec::new(),
        },
        JobAction::Cancel { server, id } => JobRequest {
            server,
            path: format!("/v1/jobs/{id}/withdraw"),
            job: id,
            method: Method::Post,
            body: Vec::new(),
        },
    })
}

/// Reads and checks the description of a job, so that a mistake is named with its file.
fn read_spec(path: &Path) -> Result<JobSpec, JobCommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| JobCommandError::Unreadable {
        path: path.into(),
        source,
    })?;
    let spec: JobSpec = toml::from_str(&text).map_err(|source| JobCommandError::Malformed {
        path: path.into(),
        source: Box::new(source),
    })?;
    spec.check().map_err(|source| JobCommandError::Invalid {
        path: path.into(),
        source,
    })?;
    Ok(spec)
}

fn encode(spec: &JobSpec) -> Result<Vec<u8>, JobCommandError> {
    rmp_serde::to_vec_named(spec).map_err(|source| JobCommandError::Encode {
        job: spec.id.clone(),
        source,
    })
}

/// The status of a job from a controller's answer.
fn status(job: String, answer: &ClientResponse) -> Result<JobStatus, JobCommandError> {
    match answer.status {
        200 | 201 => rmp_serde::from_slice(&answer.body)
            .map_err(|source| JobCommandError::Decode { job, source }),
        400 => Err(JobCommandError::Rejected { job }),
        404 => Err(JobCommandError::NotFound { job }),
        422 => Err(JobCommandError::Unschedulable { job }),
        429 | 503 => Err(JobCommandError::Unavailable { job }),
        status => Err(JobCommandError::Status { job, status }),
    }
}

fn print_status(job: &JobStatus) {
    println!("{}: {}", job.id, job.status);
    if let (Some(done), Some(running)) = (job.done, job.running) {
        println!("tasks done: {done}, running: {running}");
    }
}
