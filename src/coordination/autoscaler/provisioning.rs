//! Provisioning requests: writes the intent to the key-value store, sends the request to the cloud,
//! and records the result.
//!
//! Each round of the autoscaler calls [`retry_unanswered`] and [`scale_out`].
//!
//! Invariant: a provisioning request is recorded, under the fencing token of the autoscaler's
//! shard, before it is sent, and the record is kept until its machines are in the cloud's list or
//! have been missing from it for too long. The next owner of the shard finds the record and repeats
//! the request under the same name.

use super::placement::ScaleOutPlanner;
use super::provisioning_records::{commit_updates, NamedUpdate, RecordUpdate};
use super::state::{AutoscalerState, Backoff, CLOUD_TIMEOUT_MS};
use super::supply::{supply, Pool};
use crate::coordination::controller::clock::wall_ms;
use crate::coordination::controller::Controller;
use crate::protocol::cloud::{MachineNames, ProvisioningRequest};
use crate::state::cluster_state::{ClusterState, ProvisioningRecord};
use crate::state::units::MonotonicMillis;
use http_types::Method;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// Maximum number of machines in one request, set by the cloud's protocol.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Time after which an unanswered request is sent again, ms.
const RETRY_AFTER_MS: u64 = 2000;
/// Half of a pool's first backoff, ms; each backoff is twice as long as the previous one.
const BASE_BACKOFF_MS: u64 = 3000;
/// Longest backoff of a pool, ms.
const MAX_BACKOFF_MS: u64 = 20_000;
/// Number of requests within the cloud's rate limit that scale-out leaves to scale-in while
/// machines are to be deleted.
const RESERVED_FOR_SCALE_IN: f64 = 1.0;
/// Maximum number of provisioning requests that are sent concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 4;

/// A provisioning request with the name under which it is recorded and sent.
struct NamedRequest {
    request_id: String,
    record: ProvisioningRecord,
}

/// The cloud's response to a provisioning request.
enum ProvisioningResponse {
    /// Names of the new machines, as many as requested or fewer.
    Provisioned(Vec<String>),
    /// The pool has no machines available.
    NoCapacity,
    /// The request exceeded the rate limit and was not executed.
    RateLimited,
    /// Any other response, with its HTTP status.
    Rejected(u16),
    /// No response was received; the request may have been executed.
    Unanswered,
}

/// Sends unanswered requests again. The cloud executes a repeated request only once.
pub(super) async fn retry_unanswered(controller: &Rc<Controller>, state: &mut AutoscalerState) {
    let now = controller.now();
    let unanswered: Vec<NamedRequest> = {
        let cluster = controller.cluster.borrow();
        let requested_at = &state.requested_at;
        let rate_limiter = &mut state.rate_limiter;
        let is_due = |id: &String| {
            let sent = requested_at.get(id);
            sent.is_none_or(|at| now.since(*at) > RETRY_AFTER_MS)
        };
        cluster
            .provisioning_requests
            .iter()
            .filter(|(id, request)| request.record.machines.is_empty() && is_due(id))
            .map(|(id, request)| NamedRequest {
                request_id: id.clone(),
                record: request.record.clone(),
            })
            .take(MAX_CONCURRENT_REQUESTS)
            .take_while(|_| rate_limiter.try_acquire(now, 0.0))
            .collect()
    };
    send_requests(controller, state, unanswered).await;
}

/// Sends requests concurrently, and commits their results together.
async fn send_requests(
    controller: &Rc<Controller>,
    state: &mut AutoscalerState,
    requests: Vec<NamedRequest>,
) {
    let mut in_flight = Vec::new();
    for request in requests {
        state
            .requested_at
            .insert(request.request_id.clone(), controller.now());
        let sender = controller.clone();
        in_flight.push(controller.executor.spawn(async move {
            let response = send_request(&sender, &request).await;
            (request, response)
        }));
    }
    let mut updates: Vec<NamedUpdate> = Vec::new();
    for task in in_flight {
        let (request, response) = task.await;
        let request_id = request.request_id.clone();
        if let Some(update) = apply_response(controller, state, request, response) {
            updates.push(NamedUpdate { request_id, update });
        }
    }
    commit_updates(controller, &updates).await;
}

/// Sends one provisioning request to the cloud and waits for its response.
async fn send_request(controller: &Controller, request: &NamedRequest) -> ProvisioningResponse {
    let NamedRequest { request_id, record } = request;
    let message = ProvisioningRequest {
        request_id: request_id.clone(),
        machine_type: record.machine_type.clone(),
        zone: record.zone.clone(),
        spot: record.spot,
        count: record.count,
    };
    let body = match rmp_serde::to_vec_named(&message) {
        Ok(body) => body,
        Err(e) => {
            log::error!("provisioning request not encoded: request={request_id} error={e}");
            return ProvisioningResponse::Unanswered;
        }
    };
    let response = controller
        .cloud
        .call(Method::Post, "/hosts", body, CLOUD_TIMEOUT_MS)
        .await;
    match response {
        Ok(response) => ProvisioningResponse::new(response.status, &response.body),
        Err(e) => {
            log::warn!(
                "provisioning request unanswered, will be retried: request={request_id} error={e}"
            );
            controller.cloud.close_idle();
            ProvisioningResponse::Unanswered
        }
    }
}

impl ProvisioningResponse {
    fn new(status: u16, body: &[u8]) -> ProvisioningResponse {
        match (status, rmp_serde::from_slice::<MachineNames>(body)) {
            (200, Ok(names)) => ProvisioningResponse::Provisioned(names.machines),
            (503, _) => ProvisioningResponse::NoCapacity,
            (429, _) => ProvisioningResponse::RateLimited,
            (status, _) => ProvisioningResponse::Rejected(status),
        }
    }
}

/// Applies a response to the cluster state and the pool's backoff. Returns the update of the
/// request's record; `None` leaves the record unchanged, and the request is repeated.
fn apply_response(
    controller: &Controller,
    state: &mut AutoscalerState,
    request: NamedRequest,
    response: ProvisioningResponse,
) -> Option<RecordUpdate> {
    let NamedRequest { request_id, record } = request;
    let now = controller.now();
    let mut cluster = controller.cluster.borrow_mut();
    // The response can't be recorded if the zone is missing from this controller's settings.
    let pool = Pool {
        machine_type: cluster.machine_type_names.intern(&record.machine_type),
        zone: cluster.zone_names.find(&record.zone)?,
        spot: record.spot,
    };
    match response {
        ProvisioningResponse::Provisioned(machines) => {
            log_provisioned(&request_id, &record, machines.len());
            if (machines.len() as u32) < record.count {
                state.back_off(pool, now);
            } else {
                state.backoffs.remove(&pool);
            }
            Some(record_machines(&mut cluster, record, machines, now))
        }
        ProvisioningResponse::NoCapacity => {
            log::info!(
                "cloud out of capacity: request={request_id} machine_type={} zone={} spot={}",
                record.machine_type,
                record.zone,
                record.spot
            );
            state.back_off(pool, now);
            Some(RecordUpdate::Remove)
        }
        ProvisioningResponse::Rejected(status) => {
            log::warn!("provisioning request rejected: request={request_id} status={status}");
            Some(RecordUpdate::Remove)
        }
        ProvisioningResponse::RateLimited | ProvisioningResponse::Unanswered => None,
    }
}

fn log_provisioned(request_id: &str, record: &ProvisioningRecord, provisioned: usize) {
    log::info!(
        "machines provisioned: request={request_id} count={provisioned} requested={} \
         machine_type={} zone={} spot={}",
        record.count,
        record.machine_type,
        record.zone,
        record.spot
    );
}

/// Adds provisioned machines to the cluster state, and returns the update that records them.
fn record_machines(
    cluster: &mut ClusterState,
    record: ProvisioningRecord,
    machines: Vec<String>,
    now: MonotonicMillis,
) -> RecordUpdate {
    for name in &machines {
        cluster.learn_machine(name, &record.machine_type, &record.zone, record.spot, now);
    }
    if machines.is_empty() {
        return RecordUpdate::Remove;
    }
    RecordUpdate::Put(ProvisioningRecord { machines, ..record })
}

impl AutoscalerState {
    /// Excludes a pool from requests for twice as long as its last backoff, at most
    /// [`MAX_BACKOFF_MS`].
    fn back_off(&mut self, pool: Pool, now: MonotonicMillis) {
        let last = self.backoffs.get(&pool);
        let last_ms = last.map_or(BASE_BACKOFF_MS, |backoff| backoff.delay_ms);
        let delay_ms = (last_ms * 2).min(MAX_BACKOFF_MS);
        let until = now.plus(delay_ms);
        self.backoffs.insert(pool, Backoff { until, delay_ms });
    }

    fn backed_off_pools(&self, now: MonotonicMillis) -> HashSet<Pool> {
        let active = self.backoffs.iter().filter(|(_, b)| now < b.until);
        active.map(|(pool, _)| *pool).collect()
    }
}

/// Requests machines for waiting and expected tasks that find no capacity.
pub(super) async fn scale_out(controller: &Rc<Controller>, state: &mut AutoscalerState) {
    // Which machines exist is unknown until this owner has read a complete list.
    if !state.list_complete {
        return;
    }
    let machines_to_request = plan(controller, state);
    let requests = new_requests(controller, state, machines_to_request);
    if requests.is_empty() {
        return;
    }
    // The intent is recorded before the request is sent, so that the next owner can repeat it.
    let intents: Vec<NamedUpdate> = requests
        .iter()
        .map(|request| NamedUpdate {
            request_id: request.request_id.clone(),
            update: RecordUpdate::Put(request.record.clone()),
        })
        .collect();
    if commit_updates(controller, &intents).await {
        send_requests(controller, state, requests).await;
    }
}

/// Plans the machines to request in this round, and stores which existing machines are needed, so
/// that scale-in keeps them.
fn plan(controller: &Controller, state: &mut AutoscalerState) -> BTreeMap<Pool, u32> {
    let now = controller.now();
    let cluster = controller.cluster.borrow();
    let unresponsive_ms = controller.config.unresponsive_ms;
    let mut supply = supply(&cluster, &state.listed, unresponsive_ms, now);
    let planner = ScaleOutPlanner {
        cluster: &cluster,
        config: &controller.config,
        backed_off: &state.backed_off_pools(now),
        now,
        wall_ms: wall_ms(),
    };
    let plan = planner.plan(&mut supply);
    state.needed_machines = plan.needed_machines;
    plan.machines_to_request
}

/// Creates named requests for planned machines, as many as the cloud's rate limit allows now.
fn new_requests(
    controller: &Controller,
    state: &mut AutoscalerState,
    machines_to_request: BTreeMap<Pool, u32>,
) -> Vec<NamedRequest> {
    // One request is left for a pending deletion: tasks that can restart only once their silent
    // machine is deleted wait just as long as tasks that need a new machine.
    let reserve = if state.scale_in_pending {
        RESERVED_FOR_SCALE_IN
    } else {
        0.0
    };
    let mut requests = Vec::new();
    for PoolRequest { pool, count } in split_into_requests(machines_to_request) {
        if !state.rate_limiter.try_acquire(controller.now(), reserve) {
            break;
        }
        state.request_count += 1;
        // No other owner has this fencing token, so no name is ever used twice.
        let request_id = format!("b-{}-{}", state.fencing_token, state.request_count);
        let cluster = controller.cluster.borrow();
        let machine_type = cluster.machine_type_names.name(pool.machine_type);
        let record = ProvisioningRecord {
            machine_type: machine_type.to_string(),
            zone: cluster.zone_names.name(pool.zone).to_string(),
            spot: pool.spot,
            count,
            machines: Vec::new(),
        };
        requests.push(NamedRequest { request_id, record });
    }
    requests
}

/// Part of a plan that fits into one provisioning request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PoolRequest {
    /// Pool to request machines from.
    pub pool: Pool,
    /// Number of machines, at most the limit of the cloud's protocol.
    pub count: u32,
}

/// Splits planned machines into requests no larger than the cloud accepts, alternating between the
/// pools. Machines beyond the maximum number of concurrent requests are left for the next round.
pub fn split_into_requests(machines_to_request: BTreeMap<Pool, u32>) -> Vec<PoolRequest> {
    let mut remaining = machines_to_request;
    let mut requests = Vec::new();
    while !remaining.is_empty() && requests.len() < MAX_CONCURRENT_REQUESTS {
        for (pool, left) in &mut remaining {
            let count = (*left).min(MAX_MACHINES_PER_REQUEST);
            requests.push(PoolRequest { pool: *pool, count });
            *left -= count;
        }
        remaining.retain(|_, left| *left > 0);
    }
    requests.truncate(MAX_CONCURRENT_REQUESTS);
    requests
}
