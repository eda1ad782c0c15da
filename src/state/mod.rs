//! Cached cluster state: records read from the key-value store, what heartbeats show, and the
//! sums and indices derived from both. The module does no I/O and reads no clock; the caller
//! passes the time.
//!
//! * [`cluster_state`]: the state of one controller and its look-ups.
//! * `machine_store`, `job_store`, `record_ingestion`, `record_formats`, `dependencies`: methods
//!   of the cluster state, one concern each; `staged_gang`: those of jobs that concern staging.
//! * [`machine`], [`job`], [`records`]: what is known of one machine, one job, and the other
//!   records.
//! * [`staged_attempt`]: attempts of gangs that are recorded in several transactions.
//! * [`dependency_graph`], [`resource_totals`], [`cancellation_watermark`]: derived state.
//! * [`names`], [`units`]: typed indices, times and amounts.

pub mod cancellation_watermark;
pub mod cluster_state;
mod dependencies;
pub mod dependency_graph;
pub mod job;
mod job_store;
pub mod machine;
mod machine_store;
pub mod names;
mod record_formats;
mod record_ingestion;
pub mod records;
pub mod resource_totals;
pub mod staged_attempt;
mod staged_gang;
mod standby_ids;
pub mod task_ranges;
pub mod units;
