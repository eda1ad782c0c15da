//! Start commands that are held up on their way for up to minutes, or delivered twice, while jobs
//! are cancelled, the owner changes and the key-value store is down.

mod support;

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use support::job;
use support::simulated_cluster::{MachineFaults, SimulatedCluster};

const DELAYS_MS: [u64; 5] = [2_000, 8_000, 16_000, 60_000, 180_000];
const JOBS: usize = 6;
/// More than there is room for, so that jobs with done tasks are open when they are cancelled.
const TASKS: u32 = 12;
const LONG_RUN_MS: u64 = 400_000;
const SHORT_RUN_MS: u64 = 2_000;

/// What happens besides the commands that are held up.
#[derive(Clone, Copy)]
struct Circumstances {
    delay_ms: u64,
    /// Commands are delivered in time as well.
    twice: bool,
    /// The owner of the first machine stops right after the cancellations.
    owner_stops: bool,
    /// The key-value store is down for longer than `cancel_s` after the cancellations.
    kv_outage: bool,
    run_ms: u64,
}

fn cluster_with(circumstances: Circumstances) -> SimulatedCluster {
    let results = Rc::new(RefCell::new(HashSet::new()));
    let mut cluster = SimulatedCluster::new(6);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = circumstances.run_ms;
        machine.worker.results = Some(results.clone());
        machine.command_delay_ms = circumstances.delay_ms;
        machine.faults = MachineFaults {
            delays_commands: !circumstances.twice,
            repeats_commands: circumstances.twice,
            // Without responses, a start that is held up is the only one that arrives.
            drops_incoming: !circumstances.twice,
            ..MachineFaults::default()
        };
    }
    cluster
}

/// Submits jobs, cancels every other one soon after, and goes on until all commands have arrived.
fn run(circumstances: Circumstances) {
    let mut cluster = cluster_with(circumstances);
    for number in 0..JOBS {
        assert!(cluster.submit(number % 3, job(&format!("job-{number}"), TASKS)));
        cluster.run_for(1000);
    }
    let mut cancelled = 0;
    for number in (0..JOBS).step_by(2) {
        // False for a job whose tasks are all done.
        cancelled += usize::from(cluster.cancel((number + 1) % 3, &format!("job-{number}")));
    }
    assert!(
        cancelled > 0,
        "all jobs were done before they were cancelled"
    );
    if circumstances.owner_stops {
        let owner = cluster.owner_of(0).expect("an owner");
        cluster.stop_controller(owner);
    }
    for machine in &mut cluster.machines {
        machine.faults.drops_incoming = false;
    }
    cluster.kv_outage = circumstances.kv_outage;
    cluster.run_for(80_000);
    cluster.kv_outage = false;
    cluster.run_for(circumstances.delay_ms + 80_000);
    let started = cluster.has_started("job-1");
    assert!(started, "nothing started, so nothing was held up");
    cluster.assert_no_violations();
}

fn run_all(twice: bool) {
    for delay_ms in DELAYS_MS {
        for run_ms in [LONG_RUN_MS, SHORT_RUN_MS] {
            for (owner_stops, kv_outage) in
                [(false, false), (true, false), (false, true), (true, true)]
            {
                run(Circumstances {
                    delay_ms,
                    twice,
                    owner_stops,
                    kv_outage,
                    run_ms,
                });
            }
        }
    }
}

#[test]
fn a_start_that_is_held_up_begins_nothing_after_the_time_for_cancelling() {
    run_all(false);
}

#[test]
fn a_start_that_arrives_twice_begins_nothing_after_the_time_for_cancelling() {
    run_all(true);
}
