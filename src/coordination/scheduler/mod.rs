//! Scheduling decisions, as pure functions of the cluster state, and the task that commits them.
//!
//! A pass first reconciles what heartbeats prove, then claims waiting tasks for machines with free
//! capacity. Its result is one transaction, conditional on every job record it changes and on every
//! shard record it rests on.

pub mod bin_packing;
pub mod claims;
pub mod commands;
pub mod config;
pub mod draft;
pub mod gangs;
pub mod job_order;
pub mod planner;
pub mod preemption;
pub mod quota;
