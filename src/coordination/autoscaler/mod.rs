//! Scales the fleet out and in: requests machines from the cloud for tasks that wait or are
//! expected, and deletes those that are idle or have failed.
//!
//! A background task of each controller; the owner of the autoscaler's shard alone acts. A round
//! is: read the list of machines, repeat unanswered requests, drop completed ones, scale out,
//! scale in.
//!
//! | module | owns |
//! | --- | --- |
//! | `state` | what the owner remembers between rounds |
//! | `machine_list` | the cloud's list of machines, put together from pages |
//! | `machine_list_refresh` | reading the pages, and taking over a complete list |
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
use crate::coordination::failover;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_MS;
use crate::coordination::kv::transactions::set;
use crate::protocol::cloud::MachineTypeCatalog;
use crate::protocol::kv::{Condition, Transaction};
use crate::state::cluster_state::ROOT;
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

/// Time between two rounds of the owner.
const TICK_MS: u64 = 250;
/// Time between two looks of a controller that does not own the autoscaler's shard; a change of
/// owner notifies it.
const IDLE_TICK_MS: u64 = 1000;

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
    let permits = failover::permits(controller);
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
            controller.cloud.close_idle();
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
        machine_list_refresh::read(controller, state).await;
    }
    provisioning::retry_unanswered(controller, state).await;
    provisioning::remove_completed(controller, state, list_lag_ms).await;
    provisioning::scale_out(controller, state).await;
    scale_in::scale_in(controller, state).await;
}
