//! The exchange of cancelled jobs between controllers.
//!
//! Each request lists the cancelled jobs known to this controller. The response lists those known
//! to the peer, together with an attestation: the uptime of the peer's process and the age of its
//! cancellation watermark. This controller's own watermark advances by the attestations of its
//! peers ([`crate::state::cancellation_watermark`]).
//!
//! Invariant: at most one exchange per peer is in progress. If a cancellation is confirmed
//! meanwhile, another exchange follows immediately.

use crate::coordination::controller::Controller;
use crate::protocol::peers::{PeerRequest, PeerResponse, MAX_CANCELLED_JOBS};
use crate::state::cluster_state::ClusterState;
use crate::state::units::MonotonicMillis;
use crate::transport::TransportError;
use std::rc::Rc;

/// Time that a peer has to respond.
const RESPONSE_TIMEOUT_MS: u64 = 900;
/// Value of `watermark_age_ms` in the response of a controller that has no watermark.
const NO_WATERMARK: u32 = u32::MAX;

/// Exchanges cancellations with all peers.
///
/// Called as soon as a cancellation is confirmed, and by each round of the background task. An
/// exchange that failed is retried by the next round, as long as tasks of the job may remain.
pub fn broadcast(controller: &Rc<Controller>) {
    for (peer_index, peer) in controller.peers.iter().enumerate() {
        if peer.begin_cancellation_exchange(controller.now()) {
            let exchanges = exchange_until_done(controller.clone(), peer_index);
            controller.executor.spawn(exchanges).detach();
        }
    }
}

/// Repeats the exchange with one peer until nothing new is left to send, or until it does not
/// respond.
async fn exchange_until_done(controller: Rc<Controller>, peer_index: usize) {
    let peer = &controller.peers[peer_index];
    while exchange(&controller, peer_index).await && peer.continue_cancellation_exchange() {}
    peer.end_cancellation_exchange();
}

/// One exchange with a peer; false if it did not respond.
async fn exchange(controller: &Rc<Controller>, peer_index: usize) -> bool {
    let peer = &controller.peers[peer_index];
    // The response proves what the peer knew when the request was sent. It may be delayed in
    // transit, so it proves nothing about the time after that.
    let requested_at = controller.now();
    let jobs = cancelled_jobs_to_send(&controller.cluster.borrow());
    let request = PeerRequest::CancelledJobs { jobs };
    let response = peer
        .cancellations_client
        .call(&request, RESPONSE_TIMEOUT_MS)
        .await;
    let response = match response {
        Ok(response) => response,
        Err(error) => {
            let connection_closed = matches!(error, TransportError::ExchangeFailed { .. });
            peer.record_cancellation_failure(controller.now(), connection_closed);
            return false;
        }
    };
    peer.record_cancellation_answer();
    let new_jobs = apply_peer_response(
        &mut controller.cluster.borrow_mut(),
        peer_index,
        requested_at,
        controller.now(),
        &response,
    );
    announce_new_cancellations(controller, &new_jobs);
    true
}

/// Handles a peer's request: records its cancelled jobs, and responds with those known to this
/// controller.
pub fn handle_cancelled_jobs(controller: &Rc<Controller>, jobs: &[String]) -> PeerResponse {
    let new_jobs = record_cancellations(&mut controller.cluster.borrow_mut(), jobs);
    announce_new_cancellations(controller, &new_jobs);
    let now = controller.now();
    attestation_response(&controller.cluster.borrow(), now, now.0)
}

/// Logs the jobs whose cancellation was not known before, and wakes the planner to stop their
/// tasks.
fn announce_new_cancellations(controller: &Controller, new_jobs: &[&String]) {
    for id in new_jobs {
        log::info!("job cancelled by a peer's message: job={id}");
    }
    if !new_jobs.is_empty() {
        controller.scheduling.notify();
    }
}

/// The cancelled jobs to list in one frame, at most [`MAX_CANCELLED_JOBS`].
pub fn cancelled_jobs_to_send(cluster: &ClusterState) -> Vec<String> {
    let mut jobs = cluster.cancelled_job_ids();
    jobs.truncate(MAX_CANCELLED_JOBS);
    jobs
}

/// Records that these jobs are cancelled; returns those whose cancellation was not known before.
pub fn record_cancellations<'a>(cluster: &mut ClusterState, jobs: &'a [String]) -> Vec<&'a String> {
    jobs.iter()
        .filter(|id| cluster.learn_cancelled(id))
        .collect()
}

/// The response to a peer's request, from a controller whose process has run for `uptime_ms`.
pub fn attestation_response(
    cluster: &ClusterState,
    now: MonotonicMillis,
    uptime_ms: u64,
) -> PeerResponse {
    let watermark_age_ms = cluster.cancellation_watermark.age_ms(now);
    PeerResponse::CancellationAttestation {
        uptime_ms: saturating_u32(uptime_ms),
        watermark_age_ms: watermark_age_ms.map_or(NO_WATERMARK, saturating_u32),
        jobs: cancelled_jobs_to_send(cluster),
    }
}

fn saturating_u32(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}

/// Applies a peer's response to a request that was sent at `requested_at`; returns the jobs whose
/// cancellation was not known before.
pub fn apply_peer_response<'a>(
    cluster: &mut ClusterState,
    peer_index: usize,
    requested_at: MonotonicMillis,
    now: MonotonicMillis,
    response: &'a PeerResponse,
) -> Vec<&'a String> {
    let PeerResponse::CancellationAttestation {
        uptime_ms,
        watermark_age_ms,
        jobs,
    } = response
    else {
        return Vec::new();
    };
    let new_jobs = record_cancellations(cluster, jobs);
    // A list of the maximum length may have been truncated, so it attests nothing.
    if jobs.len() < MAX_CANCELLED_JOBS {
        let has_watermark = *watermark_age_ms != NO_WATERMARK;
        cluster.cancellation_watermark.record_attestation(
            peer_index,
            requested_at,
            now,
            u64::from(*uptime_ms),
            has_watermark.then_some(u64::from(*watermark_age_ms)),
        );
    }
    new_jobs
}
