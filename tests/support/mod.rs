//! Stand-ins of the state service, the cloud and a worker, as the protocol describes
//! them, with a clock that only the test moves; and a controller without sockets.
#![allow(dead_code)]

pub mod controller;
pub mod days;
pub mod digest;
pub mod liveness;
pub mod scenarios;
pub mod world;

pub use testkit::jobs::job;
pub use testkit::{cloud, kv_store, worker};
