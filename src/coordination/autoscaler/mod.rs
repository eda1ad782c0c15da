//! Scales the fleet out and in: requests machines from the cloud for tasks that wait or are
//! expected, and deletes those that are idle or have failed.
//!
//! A background task of each controller; the owner of the autoscaler's shard alone acts. A round
//! is: read the list of machines, repeat unanswered requests, drop completed ones, scale out,
//! scale in.
//!
//! | module | owns |
//! | --- | --- |
//! | `machine_list` | the cloud's list of machines, read page by page |
//! | `supply` | machines that waiting tasks can count on |
//! | `demand` | tasks that wait or are expected |
//! | `placement` | on which machines that demand would go, and which machines it lacks |
//! | `provisioning` | requests for machines, from the record to the answer |
//! | `silence` | how long a machine may be silent, and which zones are partitioned |
//! | `scale_in_plan` | which machines are to be deleted, and why |
//! | `scale_in` | their deletion |
//!
//! Invariant: an intent to request machines is on record, fenced by the shard's fencing token,
//! before the request is sent. A new owner repeats it under the same name, and the cloud answers
//! a repeated request as it did the first.

use crate::coordination::controller::Controller;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::transactions::set;
use crate::coordination::rate_limiter::RateLimiter;
use crate::protocol::cloud::{ListedMachine, MachineTypeCatalog};
use crate::protocol::kv::{Condition, Transaction};
use crate::state::cluster_state::ROOT;
use crate::state::names::MachineIndex;
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use http_types::Method;
use provisioning::Backoff;
use standby::ids::FencingToken;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

mod demand;
mod machine_list;
mod placement;
mod provisioning;
mod scale_in;
mod scale_in_plan;
mod silence;
mod supply;

pub use machine_list::{list_interval_ms, MachineListReader};
pub use placement::{ScaleOutPlan, ScaleOutPlanner};
pub use provisioning::{split_into_requests, PoolRequest};
pub use scale_in_plan::{presumed_lost, ScaleInReason};
pub use silence::{partitioned_zones, SilenceLimits, ZoneMachineCounts};
pub use supply::{supply, Pool, Supply};

/// Time between two rounds of the owner.
const TICK_MS: u64 = 250;
/// Time between two looks of a controller that does not own the autoscaler's shard; a change of
/// owner notifies it.
const IDLE_TICK_MS: u64 = 1000;
/// Time for an answer of the cloud.
const CLOUD_TIMEOUT_MS: u64 = 3000;
/// Time for a fresh read of the key-value store.
const REFRESH_MS: u64 = 1500;
/// Most provisioning requests side by side.
const MAX_CONCURRENT_REQUESTS: usize = 4;

/// What the owner remembers between rounds; lost at a change of owner, which only costs time.
struct AutoscalerState {
    fencing_token: FencingToken,
    owner_since: MonotonicMillis,
    rate_limiter: RateLimiter,
    list_reader: MachineListReader,
    /// The last complete list, by name.
    listed: HashMap<String, ListedMachine>,
    /// This owner has read a complete list.
    list_complete: bool,
    next_list_at: MonotonicMillis,
    /// Pools that lately had fewer machines than were asked for.
    backoffs: HashMap<Pool, Backoff>,
    /// Requests made by this owner, for their names.
    request_count: u64,
    /// When each request on record was last sent or first seen.
    requested_at: HashMap<String, MonotonicMillis>,
    /// When the deletion of a machine was last requested.
    deletion_requested_at: HashMap<String, MonotonicMillis>,
    /// The last round had machines to delete.
    scale_in_pending: bool,
    /// Machines that waiting or expected tasks need, by the last plan.
    needed_machines: HashSet<MachineIndex>,
}

impl AutoscalerState {
    fn new(
        requests_per_s: f64,
        fencing_token: FencingToken,
        owner_since: MonotonicMillis,
    ) -> AutoscalerState {
        AutoscalerState {
            fencing_token,
            owner_since,
            rate_limiter: RateLimiter::new(requests_per_s),
            list_reader: MachineListReader::default(),
            listed: HashMap::new(),
            list_complete: false,
            next_list_at: MonotonicMillis(0),
            backoffs: HashMap::new(),
            request_count: 0,
            requested_at: HashMap::new(),
            deletion_requested_at: HashMap::new(),
            scale_in_pending: false,
            needed_machines: HashSet::new(),
        }
    }
}

/// Background task: scales out and in while this controller owns the autoscaler's shard.
pub async fn run(controller: Rc<Controller>) {
    let requests_per_s = controller.platform.settings.cloud.rps;
    let mut state: Option<AutoscalerState> = None;
    loop {
        wait_for_round(&controller, state.is_some()).await;
        if !controller.cluster.borrow().loaded {
            continue;
        }
        load_machine_types(&controller).await;
        let Some(fencing_token) = owned_fencing_token(&controller) else {
            state = None;
            continue;
        };
        let now = controller.now();
        let state = match &mut state {
            Some(state) if state.fencing_token == fencing_token => state,
            newly_owned => {
                newly_owned.insert(AutoscalerState::new(requests_per_s, fencing_token, now))
            }
        };
        run_round(&controller, state).await;
    }
}

/// Waits for the next round: a short time for the owner, and for one that has yet to learn the
/// machine types; until it is notified, or for longer, for all others.
async fn wait_for_round(controller: &Controller, is_owner: bool) {
    let idle = !is_owner && {
        let cluster = controller.cluster.borrow();
        cluster.loaded && !cluster.machine_types.is_empty() && cluster.machine_types_version > 0
    };
    if idle {
        controller
            .tick(IDLE_TICK_MS, Some(&controller.autoscaling))
            .await;
    } else {
        controller.pause(TICK_MS).await;
    }
}

/// The fencing token if this controller owns the autoscaler's shard and may decide for it.
///
/// There is no permit before the predecessor's requests are known: they would be made once more.
fn owned_fencing_token(controller: &Controller) -> Option<FencingToken> {
    let permits = controller.permits();
    let cluster = controller.cluster.borrow();
    let shard = cluster.autoscaler_shard();
    let permit = controller.config.permit(&cluster, &permits, shard);
    permit.map(|permit| permit.fencing_token())
}

/// Learns the machine types from the cloud unless the key-value store has them, and shares them
/// through the store.
async fn load_machine_types(controller: &Rc<Controller>) {
    let loaded = {
        let cluster = controller.cluster.borrow();
        !cluster.machine_types.is_empty() && cluster.machine_types_version > 0
    };
    if loaded {
        return;
    }
    let Some(catalog) = fetch_machine_types(controller).await else {
        return;
    };
    controller.cluster.borrow_mut().set_machine_types(&catalog);
    store_machine_types(controller, &catalog).await;
}

async fn fetch_machine_types(controller: &Controller) -> Option<MachineTypeCatalog> {
    let answer = controller
        .cloud
        .call(Method::Get, "/flavors", Vec::new(), CLOUD_TIMEOUT_MS)
        .await;
    let answer = match answer {
        Ok(answer) => answer,
        Err(e) => {
            log::debug!("machine types not read: error={e}");
            controller.cloud.reset();
            return None;
        }
    };
    if answer.status != 200 {
        log::debug!("machine types refused: status={}", answer.status);
        return None;
    }
    match rmp_serde::from_slice::<MachineTypeCatalog>(&answer.body) {
        Ok(catalog) => Some(catalog).filter(|catalog| !catalog.types.is_empty()),
        Err(e) => {
            log::debug!("machine types unreadable: error={e}");
            None
        }
    }
}

/// Stores the machine types unless another controller has done so.
async fn store_machine_types(controller: &Controller, catalog: &MachineTypeCatalog) {
    let key = format!("{ROOT}flavors/all");
    let txn = Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version: 0,
        }],
        writes: set(key, catalog, None).into_iter().collect(),
    };
    if let CommitOutcome::Committed(revision) = controller.kv.commit(&txn).await {
        controller.cluster.borrow_mut().machine_types_version = revision;
    } else {
        controller.refresh(REFRESH_MS).await;
    }
}

async fn run_round(controller: &Rc<Controller>, state: &mut AutoscalerState) {
    if !controller.kv.is_reachable() {
        // Whether the shard is still ours can't be known, and nothing could be recorded.
        return;
    }
    let list_lag_ms = millis_from_seconds(controller.platform.settings.cloud.list_lag_s);
    if controller.now() >= state.next_list_at {
        machine_list::read(controller, state).await;
    }
    provisioning::retry_unanswered(controller, state).await;
    provisioning::remove_completed(controller, state, list_lag_ms).await;
    provisioning::scale_out(controller, state).await;
    scale_in::scale_in(controller, state).await;
}
