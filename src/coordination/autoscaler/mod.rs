//! The autoscaler: requests machines from the cloud for waiting and expected tasks, and deletes
//! machines that are idle or have failed.
//!
//! The autoscaler runs as a background task on each controller, but only the owner of the
//! autoscaler's shard acts. Each round reads the list of machines, repeats unanswered requests,
//! removes the records of completed requests, scales out and scales in.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `state` | in-memory state of the shard's owner |
//! | `machine_list` | assembling the cloud's list of machines from pages |
//! | `machine_list_refresh` | fetching the pages and applying a complete list |
//! | `supply` | capacity of running, booting and requested machines |
//! | `demand` | waiting and expected tasks |
//! | `placement` | assigning demand to supply, and planning the machines that are missing |
//! | `provisioning` | provisioning requests and their responses |
//! | `provisioning_records` | the records of these requests |
//! | `silence` | limits on missing heartbeats, and detection of partitioned zones |
//! | `scale_in_plan` | selecting the machines to delete, with reasons |
//! | `scale_in` | deleting machines |
//!
//! Invariant: the intent to request machines is recorded, fenced by the shard's fencing token,
//! before the request is sent. A new owner repeats the request under the same name, and the cloud
//! answers a repeated request as it did the first.

use crate::coordination::controller::Controller;
use crate::coordination::failover;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_TIMEOUT_MS;
use crate::coordination::kv::transactions::set;
use crate::protocol::cloud::MachineTypeCatalog;
use crate::protocol::kv::{Condition, Transaction};
use crate::state::cluster_state::KEY_PREFIX;
use crate::state::units::millis_from_seconds;
use http_types::Method;
use standby::ids::FencingToken;
use state::{AutoscalerState, CLOUD_TIMEOUT_MS};
use std::rc::Rc;

mod demand;
mod machine_list;
mod machine_list_refresh;
mod placement;
mod provisioning;
mod provisioning_records;
mod scale_in;
mod scale_in_plan;
mod silence;
mod state;
mod supply;

pub use machine_list::{list_interval_ms, MachineListReader};
pub use placement::{ScaleOutPlan, ScaleOutPlanner};
pub use provisioning::{split_into_requests, PoolRequest};
pub use scale_in_plan::{presumed_lost, ScaleInReason};
pub use silence::{partitioned_zones, SilenceLimits, ZoneMachineCounts};
pub use supply::{supply, Pool, Supply};

/// Time between rounds on the owner of the autoscaler's shard.
const ROUND_INTERVAL_MS: u64 = 250;
/// Maximum time between ownership checks on a controller that does not own the autoscaler's shard.
/// A change of owner wakes the task earlier.
const OWNERSHIP_CHECK_INTERVAL_MS: u64 = 1000;

/// Background task that scales out and in while this controller owns the autoscaler's shard.
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

/// Waits for the next round. The wait is short on the shard's owner and on a controller that has
/// not loaded the machine types yet; other controllers wait longer, unless a notification wakes
/// them.
async fn wait_for_round(controller: &Controller, is_owner: bool) {
    let idle = !is_owner && {
        let cluster = controller.cluster.borrow();
        cluster.loaded && !cluster.machine_types.is_empty() && cluster.machine_types_version > 0
    };
    if idle {
        controller
            .tick(OWNERSHIP_CHECK_INTERVAL_MS, Some(&controller.autoscaling))
            .await;
    } else {
        controller.sleep(ROUND_INTERVAL_MS).await;
    }
}

/// The shard's fencing token if this controller owns the autoscaler's shard and has a permit to
/// decide for it.
///
/// A new owner gets no permit before it has read the previous owner's provisioning requests;
/// otherwise it would request the same machines a second time.
fn owned_fencing_token(controller: &Controller) -> Option<FencingToken> {
    let permits = failover::permits(controller);
    let cluster = controller.cluster.borrow();
    let shard = cluster.autoscaler_shard();
    let permit = controller.config.permit(&cluster, &permits, shard);
    permit.map(|permit| permit.fencing_token())
}

/// Fetches the machine types from the cloud and stores them in the key-value store, unless they
/// have been loaded from the store.
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
    let response = controller
        .cloud
        .call(Method::Get, "/flavors", Vec::new(), CLOUD_TIMEOUT_MS)
        .await;
    let response = match response {
        Ok(response) => response,
        Err(e) => {
            log::debug!("machine types request failed: error={e}");
            controller.cloud.close_idle();
            return None;
        }
    };
    if response.status != 200 {
        log::debug!("machine types request refused: status={}", response.status);
        return None;
    }
    match rmp_serde::from_slice::<MachineTypeCatalog>(&response.body) {
        Ok(catalog) => Some(catalog).filter(|catalog| !catalog.types.is_empty()),
        Err(e) => {
            log::debug!("machine types not decoded: error={e}");
            None
        }
    }
}

/// Stores the machine types. If another controller has stored them first, reads the stored machine
/// types instead.
async fn store_machine_types(controller: &Controller, catalog: &MachineTypeCatalog) {
    let key = format!("{KEY_PREFIX}flavors/all");
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
        controller.refresh(REFRESH_TIMEOUT_MS).await;
    }
}

async fn run_round(controller: &Rc<Controller>, state: &mut AutoscalerState) {
    if !controller.kv.is_reachable() {
        // Without the store, ownership of the shard can't be confirmed and intents can't be
        // recorded.
        return;
    }
    let list_lag_ms = millis_from_seconds(controller.platform.settings.cloud.list_lag_s);
    if controller.now() >= state.next_list_at {
        machine_list_refresh::read(controller, state).await;
    }
    provisioning::retry_unanswered(controller, state).await;
    provisioning_records::remove_completed(controller, state, list_lag_ms).await;
    provisioning::scale_out(controller, state).await;
    scale_in::scale_in(controller, state).await;
}
