//! pointhook: a cluster scheduler.
//!
//! Controllers keep a short queue of waiting tasks for each machine; a machine with free capacity
//! steals work from the others' queues. All durable state is in a consensus-backed key-value
//! store; see `docs/architecture.md` for a map of the modules.

// Input never ends the process: tests may unwrap, the service may not.
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
