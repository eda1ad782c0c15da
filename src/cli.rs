//! The command line.

use crate::coordination::controller::Controller;
use crate::coordination::scheduler::planner;
use crate::coordination::{
    autoscaler, cancellations, failover, job_api, kv, membership, peer_messages, replication,
    worker_connectivity,
};
use crate::features::Features;
use crate::job_command::{self, JobAction, JobCommandError};
use crate::observe_command::{self, ObserveError, Subject};
use crate::settings::{Operator, Platform, SettingsError};
use crate::transport::executor_priorities::ExecutorPriorities;
use crate::transport::{frames, http};
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// Schedules jobs on rented machines. Without a command it serves as one controller.
#[derive(Parser)]
#[command(name = "pointhook", version, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(flatten)]
    serve: Files,
    #[command(subcommand)]
    command: Option<CliCommand>,
}

#[derive(Args)]
struct Files {
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
    Check(Files),
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

#[derive(Debug, thiserror::Error)]
enum CliError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("--config FILE is required")]
    NoConfig,
    #[error("{addr}: {source}")]
    Listen {
        addr: SocketAddr,
        source: std::io::Error,
    },
    #[error(transparent)]
    Job(#[from] JobCommandError),
    #[error(transparent)]
    Observe(#[from] ObserveError),
}

/// Runs the program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        None => load(&cli.serve).and_then(serve),
        Some(CliCommand::Check(files)) => load(&files).map(|settings| {
            if let Some(w) = settings.platform.settings.workers.warning() {
                println!("warning: {w}");
            }
            println!("settings are good");
        }),
        Some(CliCommand::Observe { subject }) => {
            observe_command::run(&subject).map_err(CliError::from)
        }
        Some(CliCommand::Schema) => {
            println!("{:#}", Features::schema());
            Ok(())
        }
        Some(CliCommand::Job { action }) => job_command::run(action).map_err(CliError::from),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pointhook: {e}");
            ExitCode::FAILURE
        }
    }
}

/// All that a controller is started with.
struct Settings {
    platform: Platform,
    operator: Operator,
    features: Features,
}

fn load(files: &Files) -> Result<Settings, CliError> {
    let platform = Platform::load(files.config.as_deref().ok_or(CliError::NoConfig)?)?;
    let operator = match &files.operator {
        Some(file) => Operator::load(file)?,
        None => Operator::default(),
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

fn serve(settings: Settings) -> Result<(), CliError> {
    let Settings {
        platform,
        operator,
        features,
    } = settings;
    let env = env_logger::Env::new().filter("LOG_LEVEL");
    env_logger::Builder::from_env(env)
        .filter_module("async_io", log::LevelFilter::Off)
        .filter_module("polling", log::LevelFilter::Off)
        .filter_module("async_h1", log::LevelFilter::Off)
        .format_target(false)
        .init();
    let lanes = ExecutorPriorities::default();
    let ex = lanes.background.clone();
    let door = |addr| http::listen(addr).map_err(|source| CliError::Listen { addr, source });
    async_io::block_on(async {
        let users = door(platform.bind)?;
        let peers = door(platform.cluster_listen)?;
        let sockets = platform.settings.machine_limits.at_the_door();
        log::info!(
            "node {} in {} serves {}",
            platform.node,
            platform.domain,
            platform.bind
        );
        if let Some(w) = platform.settings.workers.warning() {
            log::warn!("{w}");
        }
        let controller = Rc::new(Controller::new(platform, operator, features, ex.clone()));
        controller.spawn_supervised("watch", kv::watch);
        controller.spawn_supervised("fresh reads", kv::fresh_reads);
        controller.spawn_supervised("members", membership::run);
        controller.spawn_supervised("poke", worker_connectivity::announce_ownership);
        controller.spawn_supervised("planner", planner::run);
        controller.spawn_supervised("cancellations", cancellations::run);
        controller.spawn_supervised("news", peer_messages::news);
        if let Some(standby) = controller.features.standby() {
            let bound = failover::bound(&controller.platform.settings.workers);
            log::info!("the warm standby is on: {standby:?}, takeover within {bound}");
            if !bound.meets_goal() {
                log::warn!("the times of the deployment allow no takeover within 10 s");
            }
            controller.spawn_supervised("replication", replication::run);
        }
        controller.spawn_supervised("renting", autoscaler::run);
        let n = controller.clone();
        let answering = frames::serve(ex.clone(), peers, move |ask| peer_messages::handle(&n, ask));
        ex.spawn(answering).detach();
        let n = controller.clone();
        let (l, of_worker) = (lanes.clone(), job_api::of_worker);
        let serving = http::serve_in(l, of_worker, users, sockets, move |req| {
            job_api::handle(n.clone(), req)
        });
        // A routine of its own: what `run` is given is polled at each turn of any routine.
        let serving = ex.spawn(serving);
        lanes.run(serving).await;
        Ok(())
    })
}
