//! Cluster states that several tests start from, and faults that several tests inject.

use super::job;
use super::simulated_cluster::SimulatedCluster;

/// A cluster in which two jobs with a run time of 200 s run on machines of both zones. Also returns
/// the leader, which is the controller that owns the machine of the first job's first task, and
/// another controller.
pub fn two_long_jobs() -> (SimulatedCluster, usize, usize) {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 200_000;
    }
    assert!(cluster.submit(0, job("job-1", 6)));
    assert!(cluster.submit(1, job("job-2", 6)));
    cluster.run_for(5000);
    assert!(cluster.runs("job-1") && cluster.runs("job-2"));
    let machine = cluster
        .machines
        .iter()
        .position(|machine| machine.worker.has_task("job-1/0"));
    let leader = cluster.owner_of(machine.unwrap()).unwrap();
    let other = (0..3).find(|controller| *controller != leader).unwrap();
    (cluster, leader, other)
}

/// Cuts the leader off from the key-value store, cancels a job at the other controller, and then
/// cuts all controllers off from the store.
pub fn refuse_leader_then_all(
    cluster: &mut SimulatedCluster,
    leader: usize,
    other: usize,
    id: &str,
) {
    cluster.controller_faults[leader].kv_refused = true;
    cluster.run_for(1000);
    assert!(cluster.cancel(other, id));
    cluster.kv_outage = true;
}

/// Ends the faults of the controllers and the outage of the key-value store, and runs the cluster
/// for 20 s so that the controllers catch up.
pub fn recover(cluster: &mut SimulatedCluster) {
    cluster.kv_outage = false;
    cluster.controller_faults = Default::default();
    cluster.run_for(20_000);
}
