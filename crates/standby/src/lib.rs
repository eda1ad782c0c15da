//! Warm standby: takeover of a shard by a standby controller.
//!
//! Everything here is pure: no I/O, no clock, no knowledge of jobs. The controller tells what it
//! observes and when, and carries out what follows.
//!
//! - [`role`]: which controller is the standby of a shard;
//! - [`takeover`]: the state machine of a takeover;
//! - [`permit`]: the permit to decide, which only that machine issues;
//! - [`bound`]: how long a takeover may take.

pub mod bound;
pub mod ids;
pub mod permit;
pub mod role;
pub mod takeover;
