//! Records, names and the cached view. Pure, no I/O.

pub mod cluster_state;
pub mod fleet;
pub mod graph;
pub mod job;
pub mod knowledge;
pub mod names;
pub mod records;
pub mod resource_totals;
pub mod units;
