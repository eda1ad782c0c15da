//! Retries of the transactions behind one user's request.

use crate::coordination::controller::Controller;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_TIMEOUT_MS;
use crate::transport::http::jittered;
use crate::transport::sleep;

/// Time limit for committing a submission or a cancellation, retries included.
pub(super) const COMMIT_TIME_LIMIT_MS: u64 = 3500;
/// Delay before the retry of a transaction that the key-value store's request rate limit refused.
const RATE_LIMIT_RETRY_DELAY_MS: u64 = 60;

/// True if a job is in the cached state, whether it is open or has ended.
pub(super) fn is_known(controller: &Controller, id: &str) -> bool {
    controller.cluster.borrow().job(id).is_some()
}

/// Prepares a retry after a transaction that was not applied, or may not have been; false if an
/// immediate retry would not help.
pub(super) async fn prepare_retry(controller: &Controller, outcome: CommitOutcome) -> bool {
    match outcome {
        // The newest records show what caused the conflict, or whether the transaction was applied.
        CommitOutcome::Conflict(_) | CommitOutcome::Unknown => {
            controller.refresh(REFRESH_TIMEOUT_MS).await;
            true
        }
        CommitOutcome::REFUSED_BY_RATE_LIMIT => {
            sleep(jittered(RATE_LIMIT_RETRY_DELAY_MS)).await;
            true
        }
        CommitOutcome::Refused(_) | CommitOutcome::Committed(_) => false,
    }
}
