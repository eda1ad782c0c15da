//! The scheduler: decisions, as pure functions of the cluster state, and the code that carries
//! them out.
//!
//! A scheduling pass first removes the placements that have provably ended, then claims waiting
//! tasks for machines with free capacity. Its result is one transaction, conditional on every job
//! record that it changes and on the records of all shards whose ownership it requires.
//!
//! | decision | carried out by |
//! | --- | --- |
//! | `claims`, `gangs`, `quota` (jobs in the order of `job_order`) | `planner`; ends of attempts: `attempt_end_log` |
//! | `direct_starts` | `direct_start_delivery` |
//! | `commands` | the handler of heartbeats |
//! | `binding` | `queues` |
//! | `preemption` | `preemption_round` |
//! | `gang_reservations` | the status broadcast task |
//!
//! `placement_rules`, `bin_packing` and `free_capacity` determine which machines suit a task. A
//! pass writes its changes to a `draft`, and all new placements go through `placement`; `staging`
//! records gangs in several transactions that one can't hold.

pub mod attempt_end_log;
pub mod bin_packing;
pub mod binding;
pub mod claims;
pub mod command_log;
pub mod commands;
pub mod config;
mod direct_start_delivery;
pub mod direct_starts;
pub mod draft;
pub mod free_capacity;
pub mod gang_reservations;
mod gangs;
pub mod job_order;
mod ownership;
pub mod pass;
mod placement;
pub mod placement_rules;
pub mod planner;
pub mod preemption;
pub mod preemption_round;
pub mod queues;
pub mod quota;
mod staging;
pub mod starved_gangs;
pub mod work_stealing;
pub mod write_budget;
