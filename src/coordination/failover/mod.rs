//! Failover of shards: what records and peers show of each shard, and the permits that follow.
//!
//! The state machine is `standby::failover`; here it is connected to the controller. Membership and
//! everything that decides for a shard call it.
//!
//! - [`bound`]: how long a failover may take with the times of a deployment;
//! - [`ShardView`]: what is observed of a shard (pure);
//! - `permits`: brings the state machine up to date, lends permits, withdraws refused ones;
//! - `restore`: after a failover, goes on with what the former owner streamed;
//! - `standbys`: the standby of each shard, as this controller sees it.
//!
//! Invariant: a permit is lent only after all shards were observed in the view of that moment, and
//! what was derived from a permit (queues, reservations) goes with it.

mod bound;
mod observation;
mod permits;
mod restore;
mod standbys;

pub use bound::{bound, membership_lease_ms};
pub use observation::ShardView;
pub(super) use permits::record_fence_step;
pub use permits::{observe_shards, permits, token_refused};
pub use restore::{restore_replica, Restored};
pub(super) use standbys::record_standbys;
