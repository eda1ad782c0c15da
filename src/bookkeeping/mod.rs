//! Records, names and the cached view. Pure, no I/O.

pub mod fleet;
pub mod graph;
pub mod job;
pub mod knowledge;
pub mod names;
pub mod records;
pub mod tally;
pub mod units;
pub mod view;
