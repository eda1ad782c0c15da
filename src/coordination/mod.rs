//! Membership, queues and pull, gangs, renting, cancellation.

pub mod cancellations;
pub mod job_api;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod peer_messages;
pub mod plan;
pub mod planner;
pub mod rate_limiter;
pub mod renting;
pub mod replication;
pub mod reports;
pub mod store;
pub mod takeovers;
pub mod worker_connectivity;
