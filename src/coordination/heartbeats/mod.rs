//! Heartbeats of workers: which are accepted, what they change, and how they are answered.
//!
//! `job_api` routes each heartbeat to [`handle`], which runs the steps in this order:
//!
//! 1. [`receive`] accepts a heartbeat only if this controller owns the machine's shard under a
//!    fencing token that the worker has not seen exceeded.
//! 2. [`apply`] records it in the cluster state, which judges on the way whether the owner's
//!    responses reach the worker (`reachability`) and whether the machine or a job fails too
//!    often (`quarantine`).
//! 3. The planner gets a moment to claim tasks if the heartbeat showed a change.
//! 4. [`respond`] renews the worker's lease and hands out commands, or refuses.
//!
//! All but the handler are pure: their inputs are the cluster state, the heartbeat and the time.
//!
//! Invariant: a lease is renewed only by the owner of the shard, under its present fencing token,
//! and only while it knows all cancellations that are old enough to have to be obeyed.

mod apply;
mod handler;
mod quarantine;
mod reachability;
mod receive;
mod respond;

pub use apply::{apply, HeartbeatChange, StatusSource};
pub use handler::handle;
pub use receive::{receive, AcceptedHeartbeat, HeartbeatOutcome};
pub use respond::respond;
