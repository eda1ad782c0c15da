//! Bin packing: the cost of placing a task on a machine, which claims and bindings minimize.

use crate::state::cluster_state::ClusterState;
use crate::state::job::Spec;
use crate::state::machine::Machine;
use crate::state::units::{millis_from_seconds, Resources};

/// Cost of stranding all of a machine's capacity, in seconds of waiting.
const STRANDED_CAPACITY_COST_S: f64 = 20.0;
/// Cost of an on-demand machine for a task that may run on a spot machine, in seconds of waiting.
const ON_DEMAND_COST_S: f64 = 10.0;
/// Cost of leaving all of a machine's capacity free, in seconds of waiting. The cost favors fuller
/// machines, so that others stay empty for large tasks or for scale-in.
const SPARE_CAPACITY_COST_S: f64 = 3.0;
/// Lower bound of the image pull rate in an estimate of the pull time, GB per second.
const MIN_PULL_GB_PER_S: f64 = 0.01;

/// Time that a machine needs to pull a task's image, ms; 0 if the image is cached.
pub(crate) fn image_pull_ms(cluster: &ClusterState, spec: &Spec, machine: &Machine) -> u64 {
    if machine.has_image(spec.image) {
        return 0;
    }
    let machine_type = cluster.machine_types.get(&machine.machine_type);
    let rate = machine_type.map_or(0.0, |t| t.description.pull_gb_per_s);
    millis_from_seconds(spec.submitted.image_gb / rate.max(MIN_PULL_GB_PER_S))
}

/// Cost of placing a task on a machine, in milliseconds of waiting; lower is better.
///
/// The cost covers the time to pull the image, the capacity that is stranded because one resource
/// runs out before the others, and a penalty for using an on-demand machine for a task that may
/// run on a spot machine.
pub fn bin_packing_cost(
    cluster: &ClusterState,
    spec: &Spec,
    machine: &Machine,
    free: Resources,
) -> i64 {
    let Some(machine_type) = cluster.machine_types.get(&machine.machine_type) else {
        return i64::MAX;
    };
    let pull_s = image_pull_ms(cluster, spec, machine) as f64 / 1000.0;
    let left = free.minus(spec.need);
    let fractions = fractions_of(left, machine_type.capacity);
    let most = fractions.iter().copied().fold(0.0, f64::max);
    let least = fractions.iter().copied().fold(1.0, f64::min);
    let stranded_s = (most - least) * STRANDED_CAPACITY_COST_S;
    let on_demand_s = if spec.submitted.spot && !machine.spot {
        ON_DEMAND_COST_S
    } else {
        0.0
    };
    let spare_s = least * SPARE_CAPACITY_COST_S;
    ((pull_s + stranded_s + on_demand_s + spare_s) * 1000.0) as i64
}

/// Remaining fraction of each resource of a machine; 0 for a resource that the machine lacks.
fn fractions_of(left: Resources, capacity: Resources) -> [f64; 3] {
    let fraction = |left: i64, whole: i64| match whole {
        1.. => left as f64 / whole as f64,
        _ => 0.0,
    };
    [
        fraction(left.cpu, capacity.cpu),
        fraction(left.gpu, capacity.gpu),
        fraction(left.mem, capacity.mem),
    ]
}
