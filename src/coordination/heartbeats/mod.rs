//! Heartbeats of workers: acceptance, effect on the cluster state, and response.
//!
//! `job_api` routes each heartbeat to [`handle`], which runs these steps in order:
//!
//! 1. [`receive`] accepts a heartbeat only if this controller owns the machine's shard and the
//!    worker has not seen a higher fencing token than the owner's.
//! 2. [`apply`] records the heartbeat in the cluster state. It also decides whether the owner's
//!    responses reach the worker (`reachability`) and whether the machine or a job fails too often
//!    (`quarantine`).
//! 3. If the heartbeat showed a change, the handler waits briefly for the planner to claim tasks.
//! 4. [`respond`] renews the worker's lease and returns commands, or refuses the renewal.
//!
//! All steps but the handler use only the cluster state, the heartbeat and the time as input.
//!
//! Invariant: a lease is renewed only by the owner of the shard, under its current fencing token. A
//! machine with tasks gets a renewal only while the owner's knowledge of cancellations is recent
//! enough that cancelled tasks stop by their deadline.

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
