//! What tests share: a fake key-value store, cloud and worker, a controller without sockets, and a
//! whole simulated cluster, on a clock that only the test moves.
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
