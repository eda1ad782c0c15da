//! Shared test support: a fake key-value store, cloud and worker, a controller without sockets, and
//! a simulated cluster of these. Time is simulated: only the test advances the clock.
#![allow(dead_code)]

pub mod builders;
pub mod digest;
pub mod liveness;
pub mod loopback_controller;
pub mod random_faults;
pub mod randomized_run;
pub mod scenarios;
pub mod simulated_cluster;
pub mod simulated_controller;

pub use testkit::jobs::job;
pub use testkit::{cloud, kv_store, worker};
