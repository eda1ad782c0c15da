//! Command line: parses the arguments, then starts a controller or runs one command.
//!
//! This module starts all background tasks of a controller. They run until the process is stopped;
//! all state that must survive a restart is in the key-value store.

use crate::coordination::controller::tasks::spawn_supervised;
use crate::coordination::controller::Controller;
use crate::coordination::peer_messages::{requests, status_updates};
use crate::coordination::scheduler::planner;
use crate::coordination::{
    autoscaler, cancellations, failover, job_api, kv, membership, replication, worker_connectivity,
};
use crate::features::Features;
use crate::job_command::{self, JobAction, JobCommandError};
use crate::observe_command::{self, ObserveAction, ObserveError};
use crate::settings::{OperatorSettings, PlatformSettings, SettingsError};
use crate::transport::executor_priorities::ExecutorPriorities;
use crate::transport::http::ServerLimits;
use crate::transport::{frames, http};
use async_io::Async;
use clap::{Args, Parser, Subcommand};
use log::LevelFilter;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// Cluster scheduler for jobs on cloud machines. Without a command, runs a controller.
#[derive(Parser)]
#[command(name = "pointhook", version, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(flatten)]
    files: SettingsFiles,
    #[command(subcommand)]
    command: Option<CliCommand>,
}

#[derive(Args)]
struct SettingsFiles {
    /// Platform settings file (TOML)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Operator settings file (TOML)
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Features file (TOML) that enables optional features; see the command `schema`
    #[arg(long, value_name = "FILE")]
    features: Option<PathBuf>,
}

#[derive(Subcommand)]
enum CliCommand {
    /// Checks settings files without starting a controller
    Check(SettingsFiles),
    /// Shows the state of the cluster as a running controller sees it
    Observe {
        #[command(subcommand)]
        action: ObserveAction,
    },
    /// Prints the JSON schema of the features file
    Schema,
    /// Submits, shows and cancels jobs
    Job {
        #[command(subcommand)]
        action: JobAction,
    },
}

/// Error with which the program exits.
#[derive(Debug, thiserror::Error)]
enum CliError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("--config FILE is required")]
    MissingConfig,
    #[error("can't listen on {address}: {source}")]
    Listen {
        address: SocketAddr,
        #[source]
        source: std::io::Error,
    },
    #[error(transparent)]
    Job(#[from] JobCommandError),
    #[error(transparent)]
    Observe(#[from] ObserveError),
}

/// Entry point of the program: parses the command line and runs the command. On an error, prints it
/// to standard error and returns a failure.
pub fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pointhook: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<(), CliError> {
    match cli.command {
        None => serve(Settings::load(&cli.files)?),
        Some(CliCommand::Check(files)) => check(&files),
        Some(CliCommand::Observe { action }) => Ok(observe_command::run(&action)?),
        Some(CliCommand::Schema) => {
            println!("{:#}", Features::schema());
            Ok(())
        }
        Some(CliCommand::Job { action }) => Ok(job_command::run(action)?),
    }
}

fn check(files: &SettingsFiles) -> Result<(), CliError> {
    let settings = Settings::load(files)?;
    if let Some(warning) = settings.platform.settings.workers.warning() {
        println!("warning: {warning}");
    }
    println!("settings are valid");
    Ok(())
}

/// All settings of a controller, loaded from their files.
struct Settings {
    platform: PlatformSettings,
    operator: OperatorSettings,
    features: Features,
}

impl Settings {
    fn load(files: &SettingsFiles) -> Result<Settings, CliError> {
        let config = files.config.as_deref().ok_or(CliError::MissingConfig)?;
        let platform = PlatformSettings::load(config)?;
        let operator = match &files.operator {
            Some(file) => OperatorSettings::load(file)?,
            None => OperatorSettings::default(),
        };
        let features = match &files.features {
            Some(file) => Features::load(file)?,
            None => Features::default(),
        };
        Ok(Settings {
            platform,
            operator,
            features,
        })
    }
}

/// Initializes logging to standard error, filtered by `LOG_LEVEL`, without the I/O libraries' logs.
fn init_logging() {
    let env = env_logger::Env::new().filter("LOG_LEVEL");
    env_logger::Builder::from_env(env)
        .filter_module("async_io", LevelFilter::Off)
        .filter_module("polling", LevelFilter::Off)
        .filter_module("async_h1", LevelFilter::Off)
        .format_target(false)
        .init();
}

/// The listening sockets of a controller.
struct Listeners {
    /// Listener for users, workers and health checks.
    public: Async<TcpListener>,
    /// Listener for the other controllers.
    peers: Async<TcpListener>,
}

impl Listeners {
    fn bind(platform: &PlatformSettings) -> Result<Listeners, CliError> {
        Ok(Listeners {
            public: listen(platform.bind)?,
            peers: listen(platform.cluster_listen)?,
        })
    }
}

fn listen(address: SocketAddr) -> Result<Async<TcpListener>, CliError> {
    http::listen(address).map_err(|source| CliError::Listen { address, source })
}

/// Runs a controller until the process is stopped.
fn serve(settings: Settings) -> Result<(), CliError> {
    init_logging();
    let executors = ExecutorPriorities::default();
    async_io::block_on(async {
        // Bind first, so that the program exits immediately if a port is in use.
        let listeners = Listeners::bind(&settings.platform)?;
        log_start(&settings.platform);
        let Settings {
            platform,
            operator,
            features,
        } = settings;
        let background = executors.background.clone();
        let controller = Rc::new(Controller::new(platform, operator, features, background));
        spawn_background_tasks(&controller);
        serve_requests(&controller, &executors, listeners).await;
        Ok(())
    })
}

fn log_start(platform: &PlatformSettings) {
    log::info!(
        "controller started: controller={} zone={} address={}",
        platform.name,
        platform.zone,
        platform.bind
    );
    if let Some(warning) = platform.settings.workers.warning() {
        log::warn!("{warning}");
    }
}

/// Starts the background tasks of a controller. Tasks that wake at the same tick run in this order.
fn spawn_background_tasks(controller: &Rc<Controller>) {
    spawn_supervised(controller, "kv watch", kv::watch::run);
    spawn_supervised(controller, "fresh reads", kv::fresh_reads::run);
    spawn_supervised(controller, "membership", membership::run);
    spawn_supervised(controller, "worker connectivity", worker_connectivity::run);
    spawn_supervised(controller, "planner", planner::run);
    spawn_supervised(controller, "cancellations", cancellations::run);
    spawn_supervised(controller, "status broadcast", status_updates::run);
    if let Some(standby) = controller.features.standby() {
        let bound = failover::bound(&controller.platform.settings.workers);
        log::info!("warm standby enabled: settings={standby:?} failover_bound={bound}");
        if !bound.meets_goal() {
            log::warn!("failover may take longer than 10 s with the configured worker lease");
        }
        spawn_supervised(controller, "replication", replication::run);
    }
    spawn_supervised(controller, "autoscaler", autoscaler::run);
}

/// Handles the requests of peers, users and workers.
async fn serve_requests(
    controller: &Rc<Controller>,
    executors: &ExecutorPriorities,
    listeners: Listeners,
) {
    let background = &executors.background;
    let peer_controller = controller.clone();
    let peer_server = frames::serve(background.clone(), listeners.peers, move |request| {
        requests::handle(&peer_controller, request)
    });
    background.spawn(peer_server).detach();
    let public_controller = controller.clone();
    let process = &controller.platform.settings.process;
    let public_server = http::serve_prioritized(
        executors.clone(),
        job_api::is_heartbeat_path,
        listeners.public,
        ServerLimits {
            connections: process.listener_connections(),
            receptions: process.receptions(),
        },
        move |request| job_api::handle(public_controller.clone(), request),
    );
    // Spawned as a task, because the future given to `run` is polled again with each task that runs.
    let public_server = background.spawn(public_server);
    executors.run(public_server).await;
}
