//! Seeded randomized runs: jobs with dependencies, cancellations and overlapping faults of every
//! kind. The invariants of `support::simulated_cluster` must hold, and every job must finish.

mod support;

use support::randomized_run::RandomizedRun;
use support::simulated_controller::Standby;

/// Number of runs unless `POINTHOOK_RANDOM_DAYS` is set to a higher number.
const RUNS: u64 = 24;

/// The number of runs of each test: at least `RUNS`.
fn run_count() -> u64 {
    let requested = std::env::var("POINTHOOK_RANDOM_DAYS").ok();
    let requested = requested.and_then(|n| n.parse().ok()).unwrap_or(0);
    RUNS.max(requested)
}

fn assert_no_violations_and_all_jobs_finish(standby: Standby) {
    let (mut confirmed, mut started, mut dependents) = (0, 0, 0);
    for seed in 1..=run_count() {
        let mut run = RandomizedRun::new(seed, standby);
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
