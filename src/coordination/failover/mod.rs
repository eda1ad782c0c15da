//! Failover of shards: observes each shard by the records and the peers' status updates, and
//! provides the permits to decide for shards.
//!
//! This module connects the state machine in `standby::failover` to the controller. Membership and
//! all code that decides for a shard call this module.
//!
//! - [`bound`]: upper bound of the duration of a failover in a deployment;
//! - [`ShardView`]: observation of a shard (pure);
//! - `permits`: updates the state machine, lends permits, and withdraws a permit when its fencing
//!   token is refused;
//! - `restore`: restores the state that the former owner streamed after a failover;
//! - `standbys`: the standby of each shard in the view of this controller.
//!
//! Invariant: a permit is lent only after all shards have been observed in the current view, and
//! withdrawing a permit discards what was derived from it (queues, reservations).

mod bound;
mod observation;
mod permits;
mod restore;
mod standbys;

pub use bound::{bound, membership_lease_ms};
pub use observation::ShardView;
pub(super) use permits::apply_fence_event;
pub use permits::{observe_shards, permits, token_refused};
pub use restore::{restore_replica, Restored};
pub(super) use standbys::record_standbys;
