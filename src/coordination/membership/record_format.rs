//! The second format of records begins once all controllers know it.

use super::transfer::controller_unchanged;
use crate::coordination::controller::Controller;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_MS;
use crate::coordination::kv::transactions::set;
use crate::protocol::kv::{Condition, Transaction};
use crate::state::cluster_state::{ClusterState, ROOT};
use crate::state::records::RECORD_FORMAT_V2;

/// The transaction by which the second format of records begins: once all controllers of the
/// deployment live and know it, and on condition that none of them has changed since.
///
/// A process of the old version that comes back later finds its records in the first format but
/// for jobs with dependencies and wide ones, which it may show and cancel. That is for the operator
/// to rule out: until the second format begins a change of version can be taken back.
pub fn begin_record_format_v2(cluster: &ClusterState, controllers: &[&str]) -> Option<Transaction> {
    if cluster.record_format_v2 || !cluster.loaded {
        return None;
    }
    let format_key = format!("{ROOT}form/{RECORD_FORMAT_V2}");
    let mut conditions = vec![Condition {
        key: format_key.clone(),
        version: 0,
    }];
    for name in controllers {
        let controller = cluster.controllers.get(*name)?;
        if controller.record.record_format < RECORD_FORMAT_V2 {
            return None;
        }
        conditions.push(controller_unchanged(cluster, name));
    }
    let writes = vec![set(format_key, &true, None)?];
    Some(Transaction { conditions, writes })
}

/// Begins the second format of records once all controllers know it.
pub(super) async fn try_begin_record_format_v2(controller: &Controller) {
    let transaction = {
        let peers = controller.peers.iter().map(|peer| peer.name.as_str());
        let controllers: Vec<&str> = peers
            .chain([controller.config.controller_name.as_str()])
            .collect();
        begin_record_format_v2(&controller.cluster.borrow(), &controllers)
    };
    let Some(transaction) = transaction else {
        return;
    };
    if let CommitOutcome::Committed(revision) = controller.kv.commit(&transaction).await {
        log::info!("record format changed: record_format={RECORD_FORMAT_V2} revision={revision}");
    }
    controller.refresh(REFRESH_MS).await;
}
