//! Warm standby: failover of a shard to a standby controller.
//!
//! The crate does no I/O, reads no clock and knows nothing of jobs. The controller
//! passes in its observations with their times, and acts on the results
//! (`src/coordination/{failover,replication}`).
//!
//! - [`role`]: which controller is the standby of a shard;
//! - [`failover`]: the state machine of a failover;
//! - [`permit`]: the permit to decide for a shard, issued only by that state machine;
//! - [`publisher`], [`follower`]: the two ends of the stream that replicates a shard's state from
//!   its owner to its standby, with [`message`] and [`replica_state`];
//! - [`failover_bound`]: the longest time that a failover should take.

// No input may make the service panic. Tests may unwrap.
#![deny(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod failover;
pub mod failover_bound;
pub mod follower;
pub mod ids;
pub mod message;
pub mod permit;
pub mod publisher;
pub mod replica_state;
pub mod role;
