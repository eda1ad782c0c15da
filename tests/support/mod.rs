//! Stand-ins of the state service, the cloud and a worker, as the protocol describes
//! them, with a clock that only the test moves; and a controller without sockets.
#![allow(dead_code)]

pub mod builders;
pub mod digest;
pub mod liveness;
pub mod randomized_run;
pub mod scenarios;
pub mod simulated_cluster;
pub mod simulated_controller;

pub use testkit::jobs::job;
pub use testkit::{cloud, kv_store, worker};
