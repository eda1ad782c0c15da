//! Scheduling decisions, as pure functions of the cluster state, and the tasks that carry them
//! out.
//!
//! A pass first reconciles what heartbeats prove, then claims waiting tasks for machines with free
//! capacity. Its result is one transaction, conditional on every job record it changes and on every
//! shard record it rests on.
//!
//! | decides | carries it out |
//! | --- | --- |
//! | `claims`, `gangs`, `quota` (in the order of `job_order`) | `planner` |
//! | `direct_starts` | `direct_start_delivery` |
//! | `commands` | the handler of heartbeats |
//! | `binding` | `queues` |
//! | `preemption` | `preemption_round` |
//! | `gang_reservations` | the status round between controllers |
//!
//! `placement_rules`, `bin_packing` and `free_capacity` say which machines suit a task; `draft`
//! and `placement` are what a pass writes to.

pub mod bin_packing;
pub mod binding;
pub mod claims;
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
pub mod starved_gangs;
pub mod work_stealing;
pub mod write_budget;
