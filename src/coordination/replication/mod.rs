//! Replication of a shard's state from its owner to its standby.
//!
//! The state of an owner that is not in the records, namely its queues and the machines that it
//! reserves for gangs, is streamed to the standby of each shard, which restores it after a failover
//! (`failover::restore`). Like the queues themselves this state is advisory: it starts and ends no
//! task, and a failover without it is equally safe.
//!
//! - [`streams`]: the state of all streams, held by the controller;
//! - `publish`: the owner's side, a background task;
//! - `committed`: publishes committed decisions to the owner's streams;
//! - `follow`: the standby's side, called for a peer's request;
//! - `status`: the replication status of all shards, for operators.

mod committed;
mod follow;
mod publish;
mod status;
pub mod streams;

pub use committed::{ended_attempts, publish_committed, EndedAttempt};
pub use follow::handle_message;
pub use publish::{publish_changes, run};
pub use status::shard_statuses;
