//! Records, names and the cached view. Pure, no I/O.

pub mod cancellation_watermark;
pub mod cluster_state;
mod dependencies;
pub mod dependency_graph;
pub mod job;
pub mod machine;
pub mod names;
mod record_intake;
pub mod records;
pub mod resource_totals;
pub mod units;
