//! The command line: reads the arguments, and starts a controller or runs one command.
//!
//! This is the only place that knows all background tasks of a controller. They run until the
//! process is stopped; all that must survive is in the key-value store.

use crate::coordination::controller::tasks::spawn_supervised;
use crate::coordination::controller::Controller;
use crate::coordination::peer_messages::{requests, status_updates};
use crate::coordination::scheduler::planner;
use crate::coordination::{
    autoscaler, cancellations, failover, job_api, kv, membership, replication, worker_connectivity,
};
use crate::features::Features;
use crate::job_command::{self, JobAction, JobCommandError};
use crate::observe_command::{self, ObserveError, Subject};
use crate::settings::{OperatorSettings, PlatformSettings, SettingsError};
use crate::transport::executor_priorities::ExecutorPriorities;
use crate::transport::{frames, http};
use async_io::Async;
use clap::{Args, Parser, Subcommand};
use log::LevelFilter;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// Schedules jobs on machines of a cloud. Without a command it serves as one controller.
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
    /// Settings file of the platform (TOML)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (TOML)
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Optional features that are switched on (TOML); see the command `schema`
    #[arg(long, value_name = "FILE")]
    features: Option<PathBuf>,
}

#[derive(Subcommand)]
enum CliCommand {
    /// Checks settings files without starting
    Check(SettingsFiles),
    /// Shows what a running controller sees
    Observe {
        #[command(subcommand)]
        subject: Subject,
    },
    /// Prints the JSON schema of the features file
    Schema,
    /// Submits, shows and cancels jobs
    Job {
        #[command(subcommand)]
        action: JobAction,
    },
}

/// Why the program ends with a failure.
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

/// Runs the program.
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
        Some(CliCommand::Observe { subject }) => Ok(observe_command::run(&subject)?),
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
    println!("settings are good");
    Ok(())
}

/// All that a controller is started with.
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

/// Logs to standard error, filtered by `LOG_LEVEL`, without the lines of the I/O libraries.
fn init_logging() {
    let env = env_logger::Env::new().filter("LOG_LEVEL");
    env_logger::Builder::from_env(env)
        .filter_module("async_io", LevelFilter::Off)
        .filter_module("polling", LevelFilter::Off)
        .filter_module("async_h1", LevelFilter::Off)
        .format_target(false)
        .init();
}

/// The sockets of a controller.
struct Listeners {
    /// Users, workers and health checks.
    public: Async<TcpListener>,
    /// The other controllers.
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

/// Serves as one controller until the process is stopped.
fn serve(settings: Settings) -> Result<(), CliError> {
    init_logging();
    let executors = ExecutorPriorities::default();
    async_io::block_on(async {
        // Bound before anything is started, so that a port in use ends the program at once.
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

/// Starts all that a controller does on its own. Tasks of the same tick run in this order.
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
            log::warn!("failover may take longer than 10 s with the times of this deployment");
        }
        spawn_supervised(controller, "replication", replication::run);
    }
    spawn_supervised(controller, "autoscaler", autoscaler::run);
}

/// Answers peers, users and workers.
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
    let public_server = http::serve_prioritized(
        executors.clone(),
        job_api::is_heartbeat_path,
        listeners.public,
        controller.platform.settings.process.listener_connections(),
        move |request| job_api::handle(public_controller.clone(), request),
    );
    // A task of its own: what `run` is given is polled each time any task is.
    let public_server = background.spawn(public_server);
    executors.run(public_server).await;
}
