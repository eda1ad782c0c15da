//! How long and how often the records of users' jobs are read and written for one request.

use crate::coordination::controller::Controller;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_MS;
use crate::transport::http::jittered;
use crate::transport::pause;

/// Time for a submission or cancellation to be written down.
pub(super) const WRITE_BUDGET_MS: u64 = 3500;
/// Wait after a transaction that was refused because too many requests came.
const RATE_LIMIT_RETRY_MS: u64 = 60;

/// True if a job is known here, in whatever state.
pub(super) fn is_known(controller: &Controller, id: &str) -> bool {
    controller.cluster.borrow().job(id).is_some()
}

/// Prepares another attempt after a transaction that was not or may not have been applied; false if
/// another attempt now would be as futile.
pub(super) async fn prepare_retry(controller: &Controller, outcome: CommitOutcome) -> bool {
    match outcome {
        // The newest records tell what is in the way, or whether it was applied after all.
        CommitOutcome::Conflict(_) | CommitOutcome::Unknown => {
            controller.refresh(REFRESH_MS).await;
            true
        }
        CommitOutcome::REFUSED_BY_RATE_LIMIT => {
            pause(jittered(RATE_LIMIT_RETRY_MS)).await;
            true
        }
        CommitOutcome::Refused(_) | CommitOutcome::Committed(_) => false,
    }
}
