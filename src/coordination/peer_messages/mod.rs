//! Messages between controllers: what each sends of its own accord, and how it answers the others.
//!
//! - [`status_updates`]: the background task that broadcasts the state of the own machines each
//!   second, and what a controller takes from the updates of others.
//! - [`gang_reservations`]: machines kept free for gangs, across owners.
//! - [`machine_changes`]: cordoned and deleted machines.
//! - [`requests`]: the handler of requests from peers; one function a request.
//! - `utilization_log`: periodic log lines on the use of the own machines.
//!
//! `cli` starts [`status_updates::run`] and hands requests to [`requests::handle`].
//!
//! Invariant: all of this is a hint, cancellations and replication apart, which have modules of
//! their own. No task starts or ends by a message of a peer; records and heartbeats decide.

pub mod gang_reservations;
pub mod machine_changes;
pub mod requests;
pub mod status_updates;
mod utilization_log;
