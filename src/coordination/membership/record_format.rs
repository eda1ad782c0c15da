//! Switches to the second record format once all controllers support it.

use super::transfer::controller_unchanged;
use crate::coordination::controller::Controller;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_TIMEOUT_MS;
use crate::coordination::kv::transactions::set;
use crate::protocol::kv::{Condition, Transaction};
use crate::state::cluster_state::{ClusterState, KEY_PREFIX};
use crate::state::records::RECORD_FORMAT_V2;

/// The transaction that switches to the second record format, conditional on the records of all
/// controllers being unchanged. `None` if the switch has been made, if the records have not been
/// loaded yet, or if a controller of the deployment is not alive or doesn't support the format.
///
/// A process of the old version that starts after the switch finds its records in the first format,
/// except for wide jobs and jobs with dependencies, which it can show and cancel. Operators have to
/// prevent such a start: an upgrade can be rolled back only until the switch.
pub fn begin_record_format_v2(cluster: &ClusterState, controllers: &[&str]) -> Option<Transaction> {
    if cluster.record_format_v2 || !cluster.loaded {
        return None;
    }
    let format_key = format!("{KEY_PREFIX}form/{RECORD_FORMAT_V2}");
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

/// Switches to the second record format if all controllers support it.
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
    controller.refresh(REFRESH_TIMEOUT_MS).await;
}
