//! Job specifications submitted by tests and simulated users.

use pointhook::protocol::users::{JobKind, JobSpec, Priority};

/// Specification of a small array job; callers override the fields that matter to them.
pub fn job(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "bake".into(),
        team: "ovens".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        vcpus: 4.0,
        gpus: 1.0,
        mem_gb: 8.0,
        image: "bread".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimated_run_s: 10.0,
        checkpoint_s: 0.0,
        checkpoint_grace_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}
