//! The membership key of this controller: a record under a lease of the key-value store. The other
//! controllers consider this one alive as long as the key exists.

use super::transfer::{controller_key, controller_unchanged};
use crate::coordination::controller::Controller;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_TIMEOUT_MS;
use crate::coordination::kv::transactions::set;
use crate::protocol::kv::Transaction;
use crate::state::cluster_state::{ClusterState, ControllerRecord};
use crate::state::records::{NEWEST_RECORD_FORMAT, STANDBY_VERSION};

/// A lease of the key-value store.
#[derive(Clone, Copy)]
pub(super) struct LeaseId(u64);

/// Renews the lease, or requests a new one if none is held or it has expired, and registers this
/// controller if its key doesn't exist. Returns the lease that is held afterwards, if any.
pub(super) async fn renew_lease(
    controller: &Controller,
    held: Option<LeaseId>,
    ttl_ms: u64,
) -> Option<LeaseId> {
    let held = match held {
        Some(lease) => keep_alive(controller, lease).await,
        None => None,
    };
    let registered = is_registered(controller, &controller.cluster.borrow());
    if held.is_some() && registered {
        return held;
    }
    let lease = match held {
        Some(lease) => lease,
        None => request_lease(controller, ttl_ms).await?,
    };
    register(controller, lease).await
}

/// True if the cached records hold the membership key of this process.
pub(super) fn is_registered(controller: &Controller, cluster: &ClusterState) -> bool {
    let config = &controller.config;
    let own = cluster.controllers.get(&config.controller_name);
    own.is_some_and(|own| own.record.incarnation == config.incarnation)
}

/// Renews a lease; `None` if it has expired.
async fn keep_alive(controller: &Controller, lease: LeaseId) -> Option<LeaseId> {
    if controller.kv.renew_lease(lease.0).await {
        return Some(lease);
    }
    log::warn!("membership lease expired: lease={}", lease.0);
    None
}

async fn request_lease(controller: &Controller, ttl_ms: u64) -> Option<LeaseId> {
    controller.kv.grant_lease(ttl_ms).await.map(LeaseId)
}

/// Writes this controller's record under a lease, and returns the lease; `None` if the key-value
/// store refuses the write as invalid, so that a new lease is needed.
async fn register(controller: &Controller, lease: LeaseId) -> Option<LeaseId> {
    let transaction = registration(controller, lease)?;
    match controller.kv.commit(&transaction).await {
        CommitOutcome::Committed(_) | CommitOutcome::Conflict(_) => {
            controller.refresh(REFRESH_TIMEOUT_MS).await;
            Some(lease)
        }
        CommitOutcome::REFUSED_AS_INVALID => None,
        CommitOutcome::Refused(_) | CommitOutcome::Unknown => Some(lease),
    }
}

fn registration(controller: &Controller, lease: LeaseId) -> Option<Transaction> {
    let name = controller.config.controller_name.as_str();
    let record = ControllerRecord {
        incarnation: controller.config.incarnation,
        record_format: NEWEST_RECORD_FORMAT,
        standby_version: match controller.features.standby() {
            Some(_) => STANDBY_VERSION,
            None => 0,
        },
    };
    Some(Transaction {
        // A delayed write of an earlier process must not overwrite the record of this one.
        conditions: vec![controller_unchanged(&controller.cluster.borrow(), name)],
        writes: vec![set(controller_key(name), &record, Some(lease.0))?],
    })
}
