//! A whole deployment on one machine, to inject faults into.
//!
//! The kit holds simple but working implementations of everything that surrounds a controller (the
//! key-value store, the cloud and the workers), controllers as processes that can be paused and
//! killed, a history of what happened, and a checker of that history.
//!
//! - [`kv_store`], [`cloud`] and [`worker`] are pure state machines: the caller passes the time, so
//!   that tests drive them with a simulated clock.
//! - [`network`] puts the same state machines behind sockets on loopback, for real controllers.
//! - [`process`] starts, pauses and kills controllers.
//! - [`history`] records events in order, [`checker`] looks for violations in them.
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
