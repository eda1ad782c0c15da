//! pointhook: a cluster scheduler. Controllers hold short queues of waiting
//! tasks, one per machine; a machine with free room pulls.

pub mod cli;
pub mod coordination;
pub mod features;
pub mod job_command;
pub mod observe_command;
pub mod protocol;
pub mod settings;
pub mod state;
pub mod transport;
