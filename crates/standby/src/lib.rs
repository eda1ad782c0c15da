//! Warm standby: takeover of a shard by a standby controller.
//!
//! Everything here is pure: no I/O, no clock, no knowledge of jobs. The controller tells what it
//! observes and when, and carries out what follows.
//!
//! - [`role`]: which controller is the standby of a shard;
//! - [`failover`]: the state machine of a takeover;
//! - [`permit`]: the permit to decide, which only that machine issues;
//! - [`publisher`], [`follower`]: the two ends of the stream by which a standby follows an owner,
//!   with [`message`] and [`replica_state`];
//! - [`bound`]: how long a takeover may take.

pub mod bound;
pub mod failover;
pub mod follower;
pub mod ids;
pub mod message;
pub mod permit;
pub mod publisher;
pub mod replica_state;
pub mod role;
