//! Requests for machines: the intent on record, the request to the cloud, and what came of it.
//!
//! The autoscaler's round calls [`retry_unanswered`], [`remove_completed`] and [`scale_out`].
//!
//! Invariant: a request is on record, written under the autoscaler shard's fencing token, before
//! it is sent; its record stays until its machines are in the cloud's list. Whoever owns the
//! shard next finds it and repeats it under the same name.

use super::placement::ScaleOutPlanner;
use super::state::{AutoscalerState, Backoff, CLOUD_TIMEOUT_MS};
use super::supply::{supply, Pool};
use crate::coordination::controller::clock::wall_ms;
use crate::coordination::controller::Controller;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_MS;
use crate::coordination::kv::transactions::set;
use crate::protocol::cloud::{MachineNames, ProvisioningRequest};
use crate::protocol::kv::{Condition, Transaction, Write};
use crate::state::cluster_state::{ClusterState, ProvisioningRecord, ROOT};
use crate::state::names::Index;
use crate::state::units::MonotonicMillis;
use http_types::Method;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// Most machines in one request, by the cloud's protocol.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Time after which a request without an answer is repeated.
const RETRY_AFTER_MS: u64 = 2000;
/// Half of the first backoff of a pool; each is twice the one before.
const BASE_BACKOFF_MS: u64 = 3000;
/// Longest backoff of a pool.
const MAX_BACKOFF_MS: u64 = 20_000;
/// Requests left to scale-in while it has machines to delete.
const RESERVED_FOR_SCALE_IN: f64 = 1.0;
/// Time beyond the lag of the list after which a record is removed though the list lacks some of
/// its machines.
const MISSING_MACHINES_MS: u64 = 10_000;
/// Most provisioning requests side by side.
const MAX_CONCURRENT_REQUESTS: usize = 4;

/// A request and its name.
struct NamedRequest {
    request_id: String,
    record: ProvisioningRecord,
}

/// What the cloud answered to a request.
enum ProvisioningResponse {
    /// These machines, as many as were asked for or fewer.
    Provisioned(Vec<String>),
    /// The pool has no machine.
    NoCapacity,
    /// Too many requests at a time; nothing was done.
    RateLimited,
    /// Anything else, by its status.
    Rejected(u16),
    /// No answer: it may have been executed.
    Unanswered,
}

/// What becomes of the record of a request.
enum RecordUpdate {
    Put(ProvisioningRecord),
    Remove,
}

/// An update and the name of its request.
struct NamedUpdate {
    request_id: String,
    update: RecordUpdate,
}

/// Repeats requests without an answer: the cloud executes none twice.
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

/// Sends requests side by side, and records together what came of them.
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

/// Sends one request to the cloud.
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
    let answer = controller
        .cloud
        .call(Method::Post, "/hosts", body, CLOUD_TIMEOUT_MS)
        .await;
    match answer {
        Ok(answer) => ProvisioningResponse::new(answer.status, &answer.body),
        Err(e) => {
            log::warn!(
                "provisioning request unanswered, to be repeated: request={request_id} error={e}"
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

/// Takes over the answer to a request. Returns what its record shall be; `None` leaves it as it
/// is, and the request is repeated.
fn apply_response(
    controller: &Controller,
    state: &mut AutoscalerState,
    request: NamedRequest,
    response: ProvisioningResponse,
) -> Option<RecordUpdate> {
    let NamedRequest { request_id, record } = request;
    let now = controller.now();
    let mut cluster = controller.cluster.borrow_mut();
    // A zone that this controller's settings lack: what came of the request can't be noted.
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

/// Adds provisioned machines to the view and to the request's record.
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
    /// Leaves a pool alone for twice as long as the last time.
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

/// Writes updates as long as this controller owns the autoscaler's shard; true if all are written
/// and read back.
async fn commit_updates(controller: &Controller, updates: &[NamedUpdate]) -> bool {
    if updates.is_empty() {
        return true;
    }
    let txn_ops = controller
        .config
        .limits(&controller.cluster.borrow())
        .txn_ops;
    let mut all_committed = true;
    for part in updates.chunks(txn_ops) {
        let txn = updates_transaction(&controller.cluster.borrow(), part);
        let outcome = controller.kv.commit(&txn).await;
        all_committed &= matches!(outcome, CommitOutcome::Committed(_));
    }
    // The next step depends on what the records say.
    controller.refresh(REFRESH_MS).await && all_committed
}

/// A transaction that fails if the autoscaler's shard has changed hands.
fn updates_transaction(cluster: &ClusterState, updates: &[NamedUpdate]) -> Transaction {
    let shard = cluster.autoscaler_shard();
    let write = |named: &NamedUpdate| {
        let key = format!("{ROOT}book/{}", named.request_id);
        match &named.update {
            RecordUpdate::Put(record) => set(key, record, None),
            RecordUpdate::Remove => Some(Write::Remove { remove: key }),
        }
    };
    Transaction {
        conditions: vec![Condition {
            key: cluster.shard_key(shard),
            version: cluster.shards[shard.at()].version,
        }],
        writes: updates.iter().filter_map(write).collect(),
    }
}

/// Removes the records of requests whose machines are all in the list, or should long be.
pub(super) async fn remove_completed(
    controller: &Rc<Controller>,
    state: &mut AutoscalerState,
    list_lag_ms: u64,
) {
    let completed = completed_requests(controller, state, list_lag_ms);
    let updates: Vec<NamedUpdate> = completed
        .into_iter()
        .map(|request_id| NamedUpdate {
            request_id,
            update: RecordUpdate::Remove,
        })
        .collect();
    commit_updates(controller, &updates).await;
    for NamedUpdate { request_id, .. } in updates {
        state.requested_at.remove(&request_id);
    }
}

fn completed_requests(
    controller: &Controller,
    state: &mut AutoscalerState,
    list_lag_ms: u64,
) -> Vec<String> {
    let now = controller.now();
    let cluster = controller.cluster.borrow();
    let AutoscalerState {
        requested_at,
        listed,
        ..
    } = state;
    cluster
        .provisioning_requests
        .iter()
        .filter(|(id, request)| {
            // A request of a predecessor counts from when it is first seen here.
            let at = *requested_at.entry((*id).clone()).or_insert(now);
            let elapsed_ms = now.since(at);
            let machines = &request.record.machines;
            let all_listed = machines.iter().all(|name| listed.contains_key(name));
            !machines.is_empty()
                && elapsed_ms > list_lag_ms * 2
                && (all_listed || elapsed_ms > list_lag_ms * 4 + MISSING_MACHINES_MS)
        })
        .map(|(id, _)| id.clone())
        .take(controller.config.limits(&cluster).txn_ops)
        .collect()
}

/// Requests machines for tasks that wait or are expected.
pub(super) async fn scale_out(controller: &Rc<Controller>, state: &mut AutoscalerState) {
    // Without a list of this owner's time, the machines that exist are not known.
    if !state.list_complete {
        return;
    }
    let machines_to_request = plan(controller, state);
    let requests = new_requests(controller, state, machines_to_request);
    if requests.is_empty() {
        return;
    }
    // The intent is on record before the request: the next owner repeats it.
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

/// Plans a round; notes the machines that are needed, for scale-in.
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

/// Names requests for planned machines, as many as the cloud's limit allows now.
fn new_requests(
    controller: &Controller,
    state: &mut AutoscalerState,
    machines_to_request: BTreeMap<Pool, u32>,
) -> Vec<NamedRequest> {
    // While there is something to delete one request is left for that: those who wait for a
    // machine to be proven deleted wait as long as those who need a new one.
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
        // The token is of this owner alone, so no name is ever used twice.
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

/// Machines of one pool, as many as one request may ask for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PoolRequest {
    /// The pool.
    pub pool: Pool,
    /// How many.
    pub count: u32,
}

/// Splits planned machines into requests of the size that the cloud takes, the pools in turn.
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
