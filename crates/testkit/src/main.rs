//! Plays takeovers on loopback and prints their distribution: see docs/standby.md, "Measurement".

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use testkit::takeover::{rehearse, CommitOutcome, Interruption, Options};

/// Kills or pauses the controller that decides while a batch runs, and checks what happened.
#[derive(Parser)]
struct Args {
    /// Program that controllers run.
    #[arg(long, default_value = "target/release/pointhook")]
    program: PathBuf,
    /// File of optional features; without it, all are off.
    #[arg(long)]
    features: Option<PathBuf>,
    /// Controllers.
    #[arg(long, default_value_t = 3)]
    controllers: usize,
    /// Interruptions.
    #[arg(long, default_value_t = 10)]
    times: usize,
    /// Pause for so many milliseconds instead of a kill.
    #[arg(long)]
    pause_ms: Option<u64>,
    /// Seed of all choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let interruption = match args.pause_ms {
        Some(ms) => Interruption::Pause { ms },
        None => Interruption::Kill,
    };
    let options = Options {
        program: args.program,
        features: args.features,
        controllers: args.controllers,
        interruptions: vec![interruption; args.times],
        seed: args.seed,
    };
    match rehearse(&options) {
        Ok(outcome) => {
            print(&outcome);
            match outcome.violations.is_empty() {
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            }
        }
        Err(error) => {
            eprintln!("measure-failover: {error}");
            ExitCode::FAILURE
        }
    }
}

fn print(outcome: &CommitOutcome) {
    let times = outcome.histogram();
    let kept = outcome.takeovers_ms.iter().filter(|t| t.is_none()).count();
    println!(
        "{} takeovers, {kept} without one; median {} ms, p99 {} ms, longest {} ms",
        times.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
    println!("all, ms: {:?}", outcome.takeovers_ms);
    println!(
        "{} jobs accepted, {} tasks completed, {} violations",
        outcome.jobs(),
        outcome.completions(),
        outcome.violations.len()
    );
    for violation in &outcome.violations {
        println!("  {violation}");
    }
}
