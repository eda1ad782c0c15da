//! Seeded randomized runs: jobs with dependencies, cancellations and overlapping faults of every
//! kind. The invariants of `support::simulated_cluster` must hold, and every job must finish.

mod support;

use support::random_faults::Mix;
use support::randomized_run::RandomizedRun;
use support::simulated_controller::Standby;

/// Number of runs unless `POINTHOOK_RANDOM_DAYS` is set to a higher number.
const RUNS: u64 = 24;

/// The same for runs in which machines mostly restart.
const RESTARTING_RUNS: u64 = 10;

fn requested_runs() -> u64 {
    let requested = std::env::var("POINTHOOK_RANDOM_DAYS").ok();
    requested.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// The number of runs of each test of all faults: at least `RUNS`.
fn run_count() -> u64 {
    RUNS.max(requested_runs())
}

fn assert_no_violations_and_all_jobs_finish(standby: Standby) {
    let (mut confirmed, mut started, mut dependents) = (0, 0, 0);
    for seed in 1..=run_count() {
        let mut run = RandomizedRun::new(seed, standby, Mix::AllFaults);
        run.run();
        let mut cluster = run.cluster;
        let violations = std::mem::take(&mut cluster.violations);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        let unfinished = cluster.unfinished();
        assert!(unfinished.is_empty(), "seed {seed}: {unfinished:#?}");
        cluster.assert_no_violations();
        confirmed += run.confirmed;
        started += cluster.start_count();
        dependents += cluster.started_dependents();
    }
    assert!(started > 800, "too few starts: {started}");
    assert!(confirmed > 60, "too few cancellations: {confirmed}");
    assert!(dependents > 100, "too few dependents started: {dependents}");
}

#[test]
fn no_task_runs_on_two_machines_while_machines_restart_and_fall_silent() {
    for seed in 1..=RESTARTING_RUNS.max(requested_runs()) {
        let mut run = RandomizedRun::new(seed, Standby::Off, Mix::RestartingMachines);
        run.run();
        let violations = std::mem::take(&mut run.cluster.violations);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert_eq!(run.cluster.unfinished(), [""; 0], "seed {seed}");
        assert!(run.cluster.restarts > 0 && run.cluster.start_count() > 0);
    }
}

#[test]
fn randomized_faults_break_no_invariant() {
    assert_no_violations_and_all_jobs_finish(Standby::Off);
}

#[test]
fn randomized_faults_break_no_invariant_with_a_standby_in_the_same_zone() {
    assert_no_violations_and_all_jobs_finish(Standby::SameZone);
}

#[test]
fn randomized_faults_break_no_invariant_with_a_standby_in_another_zone() {
    assert_no_violations_and_all_jobs_finish(Standby::OtherZone);
}
