//! Situations that several tests begin with or end in.

use super::job;
use super::simulated_cluster::SimulatedCluster;

/// A world in which two jobs run for long on machines of both zones; with the controller that
/// owns the machine of the first job's first task, and another.
pub fn two_long_jobs() -> (SimulatedCluster, usize, usize) {
    let mut w = SimulatedCluster::new(4);
    for h in &mut w.machines {
        h.worker.run_ms = 200_000;
    }
    assert!(w.submit(0, job("job-1", 6)));
    assert!(w.submit(1, job("job-2", 6)));
    w.run_for(5000);
    assert!(w.runs("job-1") && w.runs("job-2"));
    let host = w.machines.iter().position(|h| h.worker.has_task("job-1/0"));
    let leader = w.owner_of(host.unwrap()).unwrap();
    let other = (0..3).find(|at| *at != leader).unwrap();
    (w, leader, other)
}

/// The state service refuses the leader, and a moment after the confirmation everybody.
pub fn refuse_leader_then_all(w: &mut SimulatedCluster, leader: usize, other: usize, id: &str) {
    w.controller_faults[leader].kv_refused = true;
    w.run_for(1000);
    assert!(w.cancel(other, id));
    w.kv_outage = true;
}

/// Ends the faults of the controllers and gives them time to catch up.
pub fn recover(w: &mut SimulatedCluster) {
    w.kv_outage = false;
    w.controller_faults = Default::default();
    w.run_for(20_000);
}
