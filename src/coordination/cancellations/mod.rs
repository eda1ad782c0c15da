//! Cancellations: their spread between controllers, and stops of tasks whose owner does not act.
//!
//! A cancellation is confirmed by one write to the job's record. Controllers that can't read that
//! record learn of it from their peers (`exchange`), and every controller that knows of it stops
//! what is left after a while by direct commands to the workers ([`direct_stops`]). The third
//! means, leases that an owner renews only while it knows all cancellations, is
//! [`crate::coordination::scheduler::config::SchedulerConfig::may_renew`].
//!
//! `cli` starts [`run`]; `job_api` calls [`broadcast`] when a cancellation is confirmed, and the
//! handler of peers' requests calls [`handle_cancelled_jobs`].
//!
//! Invariant: a cancelled job stays cancelled, so whoever says so is believed, and stopping one of
//! its tasks can't be wrong, whoever does it. Only the owner's evidence removes a placement.

pub mod direct_stops;
mod exchange;

pub use exchange::{
    apply_peer_response, attestation_response, broadcast, cancelled_jobs_to_send,
    handle_cancelled_jobs, record_cancellations,
};

use crate::coordination::controller::Controller;
use direct_stops::CancelledTaskSweeper;
use std::rc::Rc;

/// Time between two rounds.
const CANCELLATION_INTERVAL_MS: u64 = 1000;

/// Background task: exchanges cancellations with all peers, and stops tasks that are left.
pub async fn run(controller: Rc<Controller>) {
    let mut sweeper = CancelledTaskSweeper::default();
    loop {
        controller.tick(CANCELLATION_INTERVAL_MS, None).await;
        broadcast(&controller);
        direct_stops::stop_due_tasks(&controller, &mut sweeper);
    }
}
