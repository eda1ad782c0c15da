//! Command `pointhook job`: submits, shows and cancels jobs through any controller.
//!
//! `cli` calls [`run`]; requests and responses are those of [`crate::protocol::users`].

use crate::protocol::users::{InvalidJob, JobSpec, JobStatus};
use crate::transport::http::{Client, ClientResponse};
use crate::transport::TransportError;
use clap::Subcommand;
use http_types::Method;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Timeout of a request to a controller, ms.
const TIMEOUT_MS: u64 = 5000;

/// Subcommands of `pointhook job`.
#[derive(Subcommand)]
pub enum JobAction {
    /// Submits a job described in a TOML file
    Submit {
        /// Address of a controller
        #[arg(long)]
        server: SocketAddr,
        /// Job description (TOML), with the field names of the HTTP API
        file: PathBuf,
    },
    /// Shows the status of a job
    Show {
        /// Address of a controller
        #[arg(long)]
        server: SocketAddr,
        /// Job id
        id: String,
    },
    /// Cancels a job and all jobs that depend on it
    #[command(alias = "withdraw")]
    Cancel {
        /// Address of a controller
        #[arg(long)]
        server: SocketAddr,
        /// Job id
        id: String,
    },
}

/// Error of a job command.
#[derive(Debug, thiserror::Error)]
pub enum JobCommandError {
    /// The file with the job description can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the job description.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The job description is not valid TOML, or a field is missing or of the wrong type.
    #[error("{}: {}", path.display(), source.message())]
    Malformed {
        /// Path of the job description.
        path: PathBuf,
        /// Error of the parser.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// A field of the job description has a value that no cluster allows.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// Path of the job description.
        path: PathBuf,
        /// The field and its allowed values.
        #[source]
        source: InvalidJob,
    },
    /// The request can't be encoded.
    #[error("job {job}: the request can't be encoded: {source}")]
    Encode {
        /// Job id.
        job: String,
        /// Error of the encoder.
        #[source]
        source: rmp_serde::encode::Error,
    },
    /// The controller's response can't be decoded.
    #[error("job {job}: malformed response: {source}")]
    Decode {
        /// Job id.
        job: String,
        /// Error of the decoder.
        #[source]
        source: rmp_serde::decode::Error,
    },
    /// The controller sent no valid response.
    #[error(transparent)]
    Transport(#[from] TransportError),
    /// The controller responded with status 400.
    #[error("job {job}: the controller rejected the job as malformed")]
    Rejected {
        /// Job id.
        job: String,
    },
    /// The controller responded with status 404.
    #[error("job {job}: no job has this id")]
    NotFound {
        /// Job id.
        job: String,
    },
    /// The controller responded with status 422.
    #[error(
        "job {job}: the job can never run on this cluster, or one of its dependencies was never \
         accepted"
    )]
    Unschedulable {
        /// Job id.
        job: String,
    },
    /// The controller responded with status 429 or 503.
    #[error("job {job}: the controller can't handle the request now; try again later")]
    Unavailable {
        /// Job id.
        job: String,
    },
    /// The controller responded with any other status.
    #[error("job {job}: unexpected response status {status}")]
    Status {
        /// Job id.
        job: String,
        /// HTTP status code.
        status: u16,
    },
}

/// An HTTP request about one job.
struct JobRequest {
    server: SocketAddr,
    job: String,
    method: Method,
    path: String,
    body: Vec<u8>,
}

/// Runs a job command and prints the status of the job from the controller's response.
pub fn run(action: JobAction) -> Result<(), JobCommandError> {
    let JobRequest {
        server,
        job,
        method,
        path,
        body,
    } = request(action)?;
    let client = Client::new(server);
    let response = async_io::block_on(client.call(method, &path, body, TIMEOUT_MS))?;
    print_status(&parse_status(job, &response)?);
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

/// Reads and validates a job description, so that errors name the file.
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

/// Decodes the status of a job from a controller's response.
fn parse_status(job: String, response: &ClientResponse) -> Result<JobStatus, JobCommandError> {
    match response.status {
        200 | 201 => rmp_serde::from_slice(&response.body)
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
