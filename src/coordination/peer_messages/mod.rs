//! Messages between controllers: periodic broadcasts, and the handler of requests from peers.
//!
//! - [`status_updates`]: the background task that broadcasts the state of this controller's
//!   machines each second, and the handling of other controllers' updates.
//! - [`gang_reservations`]: machines kept free for gangs, across owners.
//! - [`machine_changes`]: cordoned and deleted machines.
//! - [`requests`]: the handler of requests from peers, with one function per kind of request.
//! - `utilization_log`: periodic log lines on the utilization of this controller's machines.
//!
//! `cli` starts [`status_updates::run`] and passes requests to [`requests::handle`].
//!
//! Invariant: except for cancellations and replication, which have modules of their own, these
//! messages are only hints. A peer's message never starts or ends a task; only records and
//! heartbeats do.

pub mod gang_reservations;
pub mod machine_changes;
pub mod requests;
pub mod status_updates;
mod utilization_log;
