//! Records, names and the cached view. Pure, no I/O.

pub mod cluster_state;
mod dependencies;
pub mod fleet;
pub mod graph;
pub mod job;
pub mod knowledge;
pub mod names;
mod record_intake;
pub mod records;
pub mod resource_totals;
pub mod units;
