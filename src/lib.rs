//! pointhook: a cluster scheduler.
//!
//! Users submit jobs, controllers assign their tasks to machines, and the workers on the machines run
//! them. Controllers keep a short queue of waiting tasks for each machine; a machine with free
//! capacity steals work from the queues of others. All durable state is in a consensus-backed
//! key-value store. `docs/architecture.md` has a map of the modules.

// No input may end the process, so the service must not panic; tests may unwrap.
#![deny(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod cli;
pub mod coordination;
pub mod features;
pub mod job_command;
pub mod observe_command;
pub mod protocol;
pub mod settings;
pub mod state;
pub mod transport;
