//! Stand-ins of the state service, the cloud and a worker, as the protocol describes
//! them, with a clock that only the test moves; and a controller without sockets.
#![allow(dead_code)]

pub mod controller;
pub mod liveness;
pub mod scenarios;
pub mod world;

pub use rehearsal::{cloud, store, worker};

use pointhook::protocol::users::{JobSpec, Rank, Shape};

/// A small job; tests change what matters to them.
pub fn job(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "bake".into(),
        team: "ovens".into(),
        shape: Shape::Array,
        priority: Rank::Normal,
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
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        awaits: Vec::new(),
    }
}
