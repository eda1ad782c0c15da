//! A complete deployment on one machine for fault injection.
//!
//! The test kit provides simple but working implementations of the services that a controller
//! depends on (the key-value store, the cloud and the workers), controller processes that can be
//! paused and killed, a history of each run, and a checker of that history.
//!
//! - [`kv_store`], [`cloud`] and [`worker`] are pure state machines: the caller passes the time, so
//!   that tests can use a simulated clock.
//! - [`network`] serves the same state machines over HTTP on loopback, for real controllers.
//! - [`process`] starts, pauses and kills controllers.
//! - [`history`] records events in order, and [`checker`] checks them for violations of invariants.
//! - [`failover_measurement`] interrupts shard owners under load and measures the failover times.

pub mod checker;
pub mod cloud;
pub mod failover_measurement;
pub mod history;
pub mod jobs;
pub mod kv_store;
pub mod network;
pub mod process;
pub mod worker;
