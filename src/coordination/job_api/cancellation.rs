//! Handler of users' requests to cancel a job.

use super::answers::{self, status};
use super::attempts::{prepare_retry, COMMIT_TIME_LIMIT_MS};
use crate::coordination::cancellations;
use crate::coordination::controller::Controller;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_MS;
use crate::coordination::kv::transactions::commit_draft;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::protocol::users::valid_id;
use crate::state::job::JobState;
use crate::transport::http::ServerResponse;
use std::rc::Rc;

/// Cancels a job; if it has ended already, returns its final state.
pub(super) async fn cancel(controller: &Rc<Controller>, id: &str) -> ServerResponse {
    if !valid_id(id) {
        return ServerResponse::empty(status::NOT_FOUND);
    }
    let began = controller.now();
    let mut newest_read = false;
    while controller.now().since(began) < COMMIT_TIME_LIMIT_MS {
        if let Some(answer) = answers::final_state(controller, id) {
            return answer;
        }
        if let Some(draft) = draft_cancellation(controller, id) {
            if !commit_cancellation(controller, id, &draft).await {
                break;
            }
        } else if newest_read {
            return ServerResponse::empty(status::NOT_FOUND);
        } else {
            // Another controller may have accepted the job since the last read.
            newest_read = controller.refresh(REFRESH_MS).await;
            if !newest_read {
                break;
            }
        }
    }
    answers::final_state(controller, id).unwrap_or_else(answers::retry_later)
}

/// A draft that cancels the job; `None` if the job is not in the cached state.
fn draft_cancellation(controller: &Controller, id: &str) -> Option<DraftTransaction> {
    let cluster = controller.cluster.borrow();
    let (job_index, job) = cluster.job(id)?;
    let mut job = job.clone();
    job.state = JobState::Cancelled;
    let mut draft = DraftTransaction::default();
    draft.jobs.insert(job_index, job);
    Some(draft)
}

/// Commits a cancellation; false if it could not be committed and a retry would not help now.
async fn commit_cancellation(
    controller: &Rc<Controller>,
    id: &str,
    draft: &DraftTransaction,
) -> bool {
    match commit_draft(controller, draft).await {
        CommitOutcome::Committed(revision) => {
            log::info!("job cancelled: job={id} revision={revision}");
            cancellations::broadcast(controller);
            controller.scheduling.notify();
            true
        }
        not_applied => prepare_retry(controller, not_applied).await,
    }
}
