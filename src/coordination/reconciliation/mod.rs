//! Reconciliation of job records with what heartbeats and deletions of machines prove.
//!
//! This module decides when a placement may be removed from its job's record. The scheduler calls
//! [`reconcile`] at the start of each pass and [`mark_abandoned`] before it sends the pass's
//! transaction; the commands to workers depend on the same proofs. Invariant: a placement is
//! removed only on proof that its attempt does not run on the machine and can't start there later,
//! so that no task ever runs twice at the same time.

pub mod attempt_end;
mod gang_timeouts;
mod overflow;
mod placement_end;
mod proofs;
mod reconcile;
mod unwanted_attempts;

pub use attempt_end::{AttemptEnd, Evidence, PlacementEnd, ProofEvent};
pub use gang_timeouts::{ended_by_gang_timeout, retry_gang_wait};
pub use placement_end::placement_end;
pub use proofs::{
    latest_lease_event, lease_expired, proven_absent, start_in_flight, unacknowledged_start,
    LeaseEvent,
};
pub use reconcile::reconcile;
pub(crate) use unwanted_attempts::is_abandoned;
pub use unwanted_attempts::{is_broken_gang, is_unwanted, mark_abandoned};
