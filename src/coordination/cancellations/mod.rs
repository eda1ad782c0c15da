//! Cancellations: their propagation between controllers, and direct stops of tasks that the owner
//! has not stopped.
//!
//! A cancellation is confirmed by one write to the job's record. Three mechanisms ensure that the
//! job's tasks stop in time:
//!
//! - Controllers that can't read the record learn of the cancellation from their peers
//!   (`exchange`).
//! - Every controller that knows of it stops tasks that remain after a while by direct commands to
//!   the workers ([`direct_stops`]).
//! - An owner renews the leases of machines with tasks only while it knows all recent cancellations
//!   ([`crate::coordination::scheduler::config::SchedulerConfig::may_renew`]).
//!
//! `cli` starts [`run`]; `job_api` calls [`broadcast`] when a cancellation is confirmed, and the
//! handler of peers' requests calls [`handle_cancelled_jobs`].
//!
//! Invariant: a cancelled job stays cancelled. So a controller may accept this information from any
//! peer, and any controller may stop the job's tasks. But a placement is removed only on evidence
//! of the machine's owner.

pub mod direct_stops;
mod exchange;

pub use exchange::{
    apply_peer_response, attestation_response, broadcast, cancelled_jobs_to_send,
    handle_cancelled_jobs, record_cancellations,
};

use crate::coordination::controller::Controller;
use direct_stops::CancelledTaskSweeper;
use std::rc::Rc;

/// Time between two rounds of the background task.
const CANCELLATION_INTERVAL_MS: u64 = 1000;

/// Background task: exchanges cancellations with all peers, and stops remaining tasks of cancelled
/// jobs.
pub async fn run(controller: Rc<Controller>) {
    let mut sweeper = CancelledTaskSweeper::default();
    loop {
        controller.tick(CANCELLATION_INTERVAL_MS, None).await;
        broadcast(&controller);
        direct_stops::stop_due_tasks(&controller, &mut sweeper);
    }
}
