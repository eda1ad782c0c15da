//! Warm standby: failover of a shard to a standby controller.
//!
//! Everything here is pure: no I/O, no clock, no knowledge of jobs. The controller passes in what
//! it observes and when, and carries out what follows (`src/coordination/{failover,replication}`).
//!
//! - [`role`]: which controller is the standby of a shard;
//! - [`failover`]: the state machine of a failover;
//! - [`permit`]: the permit to decide, which only that machine issues;
//! - [`publisher`], [`follower`]: the two ends of the stream by which a standby follows an owner,
//!   with [`message`] and [`replica_state`];
//! - [`failover_bound`]: how long a failover may take.

// Input never ends the process: tests may unwrap, the service may not.
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
