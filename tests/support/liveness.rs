//! Checks that no ready job waits for long while there is capacity for it.

use super::simulated_cluster::SimulatedCluster;
use pointhook::protocol::users::{JobKind, JobSpec};
use pointhook::state::names::{Index, TeamIndex};
use std::collections::BTreeMap;

/// Longest time for which a ready job may wait although there is capacity for it.
const LONGEST_WAIT_MS: u64 = 90_000;
/// Number of tasks of the usual size in tests that fit on one machine.
const MACHINE_SLOTS: usize = 4;

/// Tracks since when each waiting job could have run.
#[derive(Default)]
pub struct Liveness {
    /// By job; only ready jobs that have no task on any machine and enough capacity.
    waiting_since: BTreeMap<String, u64>,
}

impl Liveness {
    /// Updates the waiting times of all jobs; returns a message for each that has waited too long.
    pub fn check(&mut self, cluster: &SimulatedCluster) -> Vec<String> {
        let mut waiting = BTreeMap::new();
        let mut late = Vec::new();
        for (id, spec) in cluster.accepted_jobs() {
            if !could_run(cluster, id, spec) {
                continue;
            }
            let since = self.waiting_since.get(id).copied().unwrap_or(cluster.now);
            if cluster.now - since > LONGEST_WAIT_MS {
                late.push(format!(
                    "{id} has waited since {since}, though there is capacity"
                ));
            }
            waiting.insert(id.to_string(), since);
        }
        self.waiting_since = waiting;
        late
    }
}

/// True if the job is ready, no task of it is on any machine, and there is capacity and quota for
/// its first tasks.
fn could_run(cluster: &SimulatedCluster, id: &str, spec: &JobSpec) -> bool {
    // If a machine is lost before a heartbeat reports a completion, no controller learns of the
    // completion, and the task runs again.
    let known = |needed: &String| cluster.is_finished(needed) || cluster.shows_completion(needed);
    let ready = spec.dependencies.iter().all(known);
    if !ready || cluster.is_finished(id) || cluster.runs(id) {
        return false;
    }
    let tasks = match spec.kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => spec.tasks as usize,
    };
    let north = free_slots(cluster, "north");
    let south = free_slots(cluster, "south");
    let slots = if spec.one_zone {
        north.max(south)
    } else {
        north + south
    };
    slots >= tasks && team_has_quota(cluster, spec, tasks)
}

fn free_slots(cluster: &SimulatedCluster, zone: &str) -> usize {
    let machines = cluster
        .machines
        .iter()
        .filter(|machine| machine.worker.zone == zone);
    let machines = machines.filter(|machine| !cluster.is_leaving(machine));
    let free =
        machines.map(|machine| MACHINE_SLOTS.saturating_sub(machine.worker.active_task_count()));
    free.sum()
}

fn team_has_quota(cluster: &SimulatedCluster, spec: &JobSpec, tasks: usize) -> bool {
    let controller = cluster.first_controller();
    let team: TeamIndex = controller
        .cluster
        .team_names
        .find(&spec.team)
        .expect("a team");
    let limit = controller.cluster.team_limits[team.at()].limit.gpu_milli as f64 / 1000.0;
    // Includes jobs that were stored although their submission got no response.
    let active = controller.cluster.active_jobs();
    let active = active.filter_map(|(_, job)| Some((job, job.spec.as_ref()?)));
    let of_team = active.filter(|(_, other)| other.team == team);
    let used: f64 = of_team
        .map(|(job, other)| cluster.tasks_on_machines(&job.id) as f64 * other.submitted.gpus)
        .sum();
    limit == 0.0 || used + tasks as f64 * spec.gpus <= limit
}
