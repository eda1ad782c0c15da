//! The logic of a controller: scheduling, reconciliation, membership and failover, replication to
//! standbys, cancellations, autoscaling, and the request handlers.

pub mod autoscaler;
pub mod cancellations;
pub mod controller;
pub mod event_counts;
pub mod failover;
pub mod heartbeats;
pub mod job_api;
pub mod kv;
pub mod membership;
pub mod metrics;
pub mod peer_messages;
pub mod rate_limiter;
pub mod reconciliation;
pub mod replication;
pub mod scheduler;
pub mod worker_connectivity;
