//! Replication of a shard's state from its owner to its standby.
//!
//! What an owner knows beyond the records, its queues and the machines it keeps free for gangs, is
//! streamed to the standby of each shard, so that a failover goes on with it (`failover::restore`).
//! It is a hint like the queues themselves: nothing starts or ends by it, and a failover without it
//! is as safe.
//!
//! - [`streams`]: the state of all streams, which the controller holds;
//! - `publish`: the owner's end, a background task;
//! - `committed`: recorded decisions on their way into the owner's streams;
//! - `follow`: the standby's end, called for a peer's request;
//! - `status`: how far all shards are, for operators.

mod committed;
mod follow;
mod publish;
mod status;
pub mod streams;

pub use committed::{ended_attempts, publish_committed, EndedAttempt};
pub use follow::answer;
pub use publish::{publish_changes, run};
pub use status::shard_statuses;
