//! Seeded random days: jobs with dependencies, cancellations and overlapping faults of every kind,
//! against the checker of rules in `support::world`.

mod support;

use support::randomized_run::RandomizedRun;
use support::simulated_controller::Standby;

/// Days in CI; `POINTHOOK_RANDOM_DAYS` asks for more.
const DAYS: u64 = 24;

/// How many days to play: more if asked for, never fewer.
fn days() -> u64 {
    let wanted = std::env::var("POINTHOOK_RANDOM_DAYS").ok();
    let wanted = wanted.and_then(|n| n.parse().ok()).unwrap_or(0);
    DAYS.max(wanted)
}

fn assert_no_violation_and_every_job_ends(standby: Standby) {
    let (mut confirmed, mut started, mut dependents) = (0, 0, 0);
    for seed in 1..=days() {
        let mut run = RandomizedRun::new(seed, standby);
        run.run();
        let mut world = run.world;
        let broken = std::mem::take(&mut world.violations);
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
        let unfinished = world.unfinished();
        assert!(unfinished.is_empty(), "seed {seed}: {unfinished:#?}");
        world.assert_no_violations();
        confirmed += run.confirmed;
        started += world.start_count();
        dependents += world.started_dependents();
    }
    assert!(started > 800, "too few starts: {started}");
    assert!(confirmed > 60, "too few cancellations: {confirmed}");
    assert!(dependents > 100, "too few dependents began: {dependents}");
}

#[test]
fn randomized_faults_break_no_invariant() {
    assert_no_violation_and_every_job_ends(Standby::Off);
}

#[test]
fn randomized_faults_break_no_invariant_with_a_standby_in_the_same_zone() {
    assert_no_violation_and_every_job_ends(Standby::SameZone);
}

#[test]
fn randomized_faults_break_no_invariant_with_a_standby_in_another_zone() {
    assert_no_violation_and_every_job_ends(Standby::OtherZone);
}
