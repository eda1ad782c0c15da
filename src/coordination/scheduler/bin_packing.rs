//! How well machines suit tasks: the cost that claims and bindings minimise.

use crate::state::cluster_state::ClusterState;
use crate::state::job::Spec;
use crate::state::machine::Machine;
use crate::state::units::{millis_from_seconds, Resources};

/// Cost of capacity that is stranded: seconds for all of a machine's.
const STRANDED_CAPACITY_COST_S: f64 = 20.0;
/// Cost of an on-demand machine for work that may run on a spot machine.
const ON_DEMAND_COST_S: f64 = 10.0;
/// Cost of what is left free: the fuller machine goes first, so that others stay empty for large
/// tasks or for scale-in.
const SPARE_CAPACITY_COST_S: f64 = 3.0;
/// Least rate of image pulls that a time is computed with.
const MIN_PULL_GB_PER_S: f64 = 0.01;

/// Time that a machine needs to pull a task's image.
pub(crate) fn image_pull_ms(cluster: &ClusterState, spec: &Spec, machine: &Machine) -> u64 {
    if machine.has_image(spec.image) {
        return 0;
    }
    let machine_type = cluster.machine_types.get(&machine.machine_type);
    let rate = machine_type.map_or(0.0, |t| t.description.pull_gb_per_s);
    millis_from_seconds(spec.wire.image_gb / rate.max(MIN_PULL_GB_PER_S))
}

/// How well a machine suits a task; less is better, in milliseconds of waiting.
///
/// Pulling an image is time lost. Capacity that nothing else can use once the task is there is
/// lost too, and spot machines are for the work that may run on them.
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
    let on_demand_s = if spec.wire.spot && !machine.spot {
        ON_DEMAND_COST_S
    } else {
        0.0
    };
    let spare_s = least * SPARE_CAPACITY_COST_S;
    ((pull_s + stranded_s + on_demand_s + spare_s) * 1000.0) as i64
}

/// The part of each resource of a machine that is left; 0 for what it does not have.
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
