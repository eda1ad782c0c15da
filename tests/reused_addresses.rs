//! Direct commands to a machine whose address belongs to another machine by now.

mod support;

use pointhook::state::cluster_state::ClusterState;
use support::job;
use support::simulated_cluster::{MachineFaults, SimulatedCluster};

const LOST: usize = 0;
const NEW: usize = 2;

/// True if the records place this attempt of a task on this machine.
fn is_placed(cluster: &ClusterState, machine: &str, task: &str, attempt: u64) -> bool {
    let (id, number) = task.split_once('/').expect("a task");
    let (_, job) = cluster.job(id).expect("a job");
    job.placements.iter().any(|placement| {
        let name = &cluster.machine_names.name(placement.machine);
        placement.task.to_string() == number
            && placement.attempt == attempt
            && name.as_ref() == machine
    })
}

#[test]
#[ignore = "known failure: KNOWN-RED.txt"]
fn a_start_for_a_lost_machine_is_not_run_by_the_machine_that_has_its_address() {
    let mut cluster = SimulatedCluster::new(4);
    for machine in &mut cluster.machines {
        machine.worker.run_ms = 60_000;
    }
    cluster.machines[LOST].faults = MachineFaults {
        frozen: true,
        drops_heartbeats: true,
        ..MachineFaults::default()
    };
    cluster.machines[LOST].address_belongs_to = Some(NEW);
    assert!(cluster.submit(0, job("job-1", 12)));
    cluster.run_for(1500);
    let machine = &cluster.machines[NEW].worker;
    let known = &cluster.first_controller().cluster;
    let unknown: Vec<&(String, u64)> = machine
        .started
        .iter()
        .filter(|(task, attempt)| !is_placed(known, &machine.name, task, *attempt))
        .collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}
