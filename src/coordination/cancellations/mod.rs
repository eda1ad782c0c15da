//! Cancellations: their propagation between controllers, and direct stops of tasks that the owner
//! has not stopped.
//!
//! A cancellation is confirmed by one write to the job's record. Three mechanisms ensure that the
//! job's tasks stop in time:
//!
//! - Controllers that can't read the record learn of the cancellation from their peers
//!   (`exchange`).
//! - Every controller that has learned of the cancellation stops tasks that remain after a delay,
//!   by direct commands to the workers ([`direct_stops`]).
//! - An owner renews the leases of machines with tasks only while its cancellation watermark is
//!   recent ([`crate::coordination::scheduler::config::SchedulerConfig::may_renew`]).
//!
//! `cli` starts [`run`]; `job_api` calls [`exchange_with_peers`] when a cancellation is confirmed, and the
//! handler of peers' requests calls [`handle_cancelled_jobs`].
//!
//! Invariant: a cancelled job stays cancelled. So a controller may learn of a cancellation from any
//! peer, and any controller may stop the job's tasks. But a placement is removed only on proof
//! obtained by the machine's owner or on the deletion of the machine.

pub mod direct_stops;
mod exchange;

pub use exchange::{
    apply_peer_response, attestation_response, cancelled_jobs_to_send, exchange_with_peers,
    handle_cancelled_jobs, record_cancellations,
};

use crate::coordination::controller::Controller;
use direct_stops::DirectStopTracker;
use std::rc::Rc;

/// Time between two rounds of the background task.
const CANCELLATION_INTERVAL_MS: u64 = 1000;

/// Background task: exchanges cancellations with all peers, and stops remaining tasks of cancelled
/// jobs.
pub async fn run(controller: Rc<Controller>) {
    let mut tracker = DirectStopTracker::default();
    loop {
        controller.tick(CANCELLATION_INTERVAL_MS, None).await;
        exchange_with_peers(&controller);
        direct_stops::stop_due_tasks(&controller, &mut tracker);
    }
}
