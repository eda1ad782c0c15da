//! Command `measure-failover`: measures failover times on loopback and prints their distribution.
//! See docs/standby.md, "Measurement".

use clap::Parser;
use std::collections::HashSet;
use std::path::PathBuf;
use std::process::ExitCode;
use testkit::failover_measurement::{measure_failover, Interruption, Measurement, Options};
use testkit::history::Entry;
use testkit::network::faults::FaultRates;

/// Kills or pauses the owner of a busy shard while jobs run, measures the failover times and checks
/// the history for violations.
#[derive(Parser)]
#[command(name = "measure-failover")]
struct Args {
    /// Path of the controller program.
    #[arg(long, default_value = "target/release/pointhook")]
    program: PathBuf,
    /// Path of the features file; without it, all optional features are off.
    #[arg(long)]
    features: Option<PathBuf>,
    /// Number of controllers.
    #[arg(long, default_value_t = 3)]
    controllers: usize,
    /// Number of interruptions, one after the other.
    #[arg(long, default_value_t = 10)]
    times: usize,
    /// Pause the owner for this many milliseconds instead of killing it.
    #[arg(long)]
    pause_ms: Option<u64>,
    /// Seed of the random choices of interruptions, submissions and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Kill, restart and pause owners by turns, while messages are held up, lost or repeated and
    /// machines freeze or restart.
    #[arg(long)]
    faults: bool,
    /// Once all jobs are done, wait up to five minutes until all machines are returned.
    #[arg(long)]
    await_returns: bool,
}

impl Args {
    fn into_options(self) -> Options {
        let interruption = match self.pause_ms {
            Some(ms) => Interruption::Pause { ms },
            None => Interruption::Kill,
        };
        Options {
            program: self.program,
            features: self.features,
            controllers: self.controllers,
            interruptions: match self.faults {
                true => mixed_interruptions(self.times),
                false => vec![interruption; self.times],
            },
            seed: self.seed,
            faults: self.faults.then(FaultRates::frequent),
            await_returns: self.await_returns,
        }
    }
}

/// Restarts within a second, kills and pauses around the controller's lease, by turns.
fn mixed_interruptions(times: usize) -> Vec<Interruption> {
    let kinds = [
        Interruption::QuickRestart { ms: 100 },
        Interruption::Pause { ms: 4_000 },
        Interruption::Kill,
        Interruption::QuickRestart { ms: 700 },
        Interruption::Pause { ms: 9_000 },
    ];
    kinds.into_iter().cycle().take(times).collect()
}

fn main() -> ExitCode {
    let options = Args::parse().into_options();
    let measurement = match measure_failover(&options) {
        Ok(measurement) => measurement,
        Err(error) => {
            eprintln!("measure-failover: {error}");
            return ExitCode::FAILURE;
        }
    };
    print(&measurement);
    if measurement.violations.is_empty() && measurement.machines_left.unwrap_or(0) == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Prints all events of a task and those of its machines themselves, with their times.
fn print_events_of_task(measurement: &Measurement, task: Option<&str>) {
    let Some(task) = task else { return };
    let of_task = |entry: &&Entry| entry.event.task() == Some(task);
    let machines: HashSet<&str> = measurement
        .history
        .iter()
        .filter(of_task)
        .filter_map(|entry| entry.event.machine())
        .collect();
    let of_machines = |entry: &&Entry| {
        let machine = entry.event.machine();
        entry.event.task().is_none() && machine.is_some_and(|name| machines.contains(name))
    };
    let concerned = |entry: &&Entry| of_task(entry) || of_machines(entry);
    for entry in measurement.history.iter().filter(concerned) {
        println!("    {} ms: {:?}", entry.at_ms, entry.event);
    }
}

fn print(measurement: &Measurement) {
    let times = measurement.histogram();
    let interruptions = &measurement.failover_times_ms;
    let without_failover = interruptions.iter().filter(|time| time.is_none()).count();
    println!(
        "{} failovers, {without_failover} interruptions without failover; median {} ms, p99 {} ms, maximum {} ms",
        times.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
    println!("failover time of each interruption, ms: {interruptions:?}");
    println!(
        "{} jobs accepted, {} tasks completed, {} faults, {} violations",
        measurement.jobs(),
        measurement.completions(),
        measurement.faults,
        measurement.violations.len()
    );
    if let Some(machines) = measurement.machines_left {
        println!("{machines} machines not returned");
    }
    for violation in &measurement.violations {
        println!("  {violation}");
        print_events_of_task(measurement, violation.event.task());
    }
}
