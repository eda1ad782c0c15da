//! Handler of users' requests to submit a job.
//!
//! Invariants:
//!
//! - A job is accepted at most once, whichever controllers receive its submission, because its
//!   record is written on condition that it does not exist.
//! - A job is refused as impossible only after a fresh read that shows that no controller has
//!   accepted it.

use super::responses::{self, status};
use super::retries::{is_known, prepare_retry, COMMIT_TIME_LIMIT_MS};
use crate::coordination::controller::clock::wall_ms;
use crate::coordination::controller::Controller;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::fresh_reads::REFRESH_TIMEOUT_MS;
use crate::coordination::kv::transactions::set;
use crate::coordination::scheduler::queues;
use crate::protocol::kv::{Condition, Transaction};
use crate::protocol::users::{parse_job, JobSpec, MAX_DEPENDENCIES};
use crate::state::cluster_state::ClusterState;
use crate::state::job::JobRecord;
use crate::transport::http::ServerResponse;
use std::rc::Rc;

/// Version that stands for a key that does not exist.
const ABSENT: u64 = 0;

/// Whether a job may be stored.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Admission {
    /// The job can run, or was accepted before.
    Admitted,
    /// The job can never run, depends on a job that was never accepted, or has too many
    /// dependencies.
    Impossible,
    /// The controller lacks the information to decide at present.
    Undecided,
}

/// Whether all dependencies of a job are in the cached state.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Dependencies {
    Known,
    SomeUnknown,
    /// The cluster may include a controller of a version that does not support dependencies, which
    /// would run the job immediately.
    NotSupportedByAll,
}

/// Accepts a job, or responds with the HTTP status for the reason why it was not accepted.
pub(super) async fn submit(controller: &Rc<Controller>, body: &[u8]) -> ServerResponse {
    let Some(spec) = parse_job(body) else {
        return ServerResponse::empty(status::BAD_REQUEST);
    };
    if !controller.cluster.borrow().loaded {
        return responses::retry_later();
    }
    if let Some(response) = responses::final_state(controller, &spec.id) {
        return response;
    }
    match admit(controller, &spec).await {
        Admission::Admitted => store_job(controller, spec).await,
        Admission::Impossible => ServerResponse::empty(status::UNPROCESSABLE),
        Admission::Undecided => responses::retry_later(),
    }
}

async fn admit(controller: &Controller, spec: &JobSpec) -> Admission {
    // The response for a known job is its state, regardless of the current machine types and
    // dependencies.
    if is_known(controller, &spec.id) {
        return Admission::Admitted;
    }
    let can_run = can_run(&mut controller.cluster.borrow_mut(), spec);
    match can_run {
        None => Admission::Undecided,
        Some(true) => admit_dependencies(controller, &spec.dependencies).await,
        Some(false) => admit_if_accepted_elsewhere(controller, &spec.id).await,
    }
}

/// True if a job can ever run; `None` while this controller has read no machine types.
fn can_run(cluster: &mut ClusterState, spec: &JobSpec) -> Option<bool> {
    let machine_types_known = !cluster.machine_types.is_empty();
    let interned = cluster.intern_spec(spec);
    machine_types_known.then(|| interned.is_some_and(|spec| cluster.can_run(&spec)))
}

/// Decides about a job that can't run: it is impossible, unless another controller has accepted it
/// before.
async fn admit_if_accepted_elsewhere(controller: &Controller, id: &str) -> Admission {
    if !controller.refresh(REFRESH_TIMEOUT_MS).await {
        Admission::Undecided
    } else if is_known(controller, id) {
        Admission::Admitted
    } else {
        Admission::Impossible
    }
}

/// Decides about a job that can run, by its dependencies.
///
/// Another controller may have accepted a dependency that is missing from the cached state, so only
/// a fresh read shows that it does not exist. If the read fails, the result is undecided.
async fn admit_dependencies(controller: &Controller, dependencies: &[String]) -> Admission {
    if dependencies.is_empty() {
        return Admission::Admitted;
    }
    if dependencies.len() > MAX_DEPENDENCIES {
        return Admission::Impossible;
    }
    let known_before_read = find_dependencies(controller, dependencies) == Dependencies::Known;
    if !known_before_read && !controller.refresh(REFRESH_TIMEOUT_MS).await {
        return Admission::Undecided;
    }
    match find_dependencies(controller, dependencies) {
        Dependencies::Known => Admission::Admitted,
        Dependencies::SomeUnknown => Admission::Impossible,
        Dependencies::NotSupportedByAll => Admission::Undecided,
    }
}

fn find_dependencies(controller: &Controller, dependencies: &[String]) -> Dependencies {
    let cluster = controller.cluster.borrow();
    if !cluster.record_format_v2 {
        Dependencies::NotSupportedByAll
    } else if dependencies.iter().all(|id| cluster.job(id).is_some()) {
        Dependencies::Known
    } else {
        Dependencies::SomeUnknown
    }
}

/// Stores an admitted job, and returns the response to its submission.
async fn store_job(controller: &Rc<Controller>, spec: JobSpec) -> ServerResponse {
    let id = spec.id.clone();
    let record = JobRecord::submitted(spec, wall_ms());
    if let Some(revision) = commit_submission(controller, &id, &record).await {
        return accept(controller, &id, revision, &record);
    }
    if is_known(controller, &id) && controller.refresh(REFRESH_TIMEOUT_MS).await {
        if let Some(response) = responses::current_state(controller, &id) {
            return response;
        }
    }
    responses::retry_later()
}

/// Commits a submission and returns its revision; `None` if the job was known already or could not
/// be committed.
async fn commit_submission(controller: &Controller, id: &str, record: &JobRecord) -> Option<u64> {
    let began = controller.now();
    while controller.now().since(began) < COMMIT_TIME_LIMIT_MS && !is_known(controller, id) {
        let outcome = controller.kv.commit(&submission(id, record)).await;
        if let CommitOutcome::Committed(revision) = outcome {
            return Some(revision);
        }
        if !prepare_retry(controller, outcome).await {
            break;
        }
    }
    None
}

/// The transaction that accepts a job, on condition that its record does not exist.
fn submission(id: &str, record: &JobRecord) -> Transaction {
    let key = ClusterState::job_key(id);
    let not_accepted_yet = Condition {
        key: key.clone(),
        version: ABSENT,
    };
    Transaction {
        conditions: vec![not_accepted_yet],
        writes: set(key, record, None).into_iter().collect(),
    }
}

/// Adds a job that was just stored to the cached state, binds its tasks to machines, and returns
/// the response to its submission.
fn accept(
    controller: &Rc<Controller>,
    id: &str,
    revision: u64,
    record: &JobRecord,
) -> ServerResponse {
    controller
        .cluster
        .borrow_mut()
        .put_job(id, revision, record);
    let job_index = controller.cluster.borrow().job_names.find(id);
    if let Some(job_index) = job_index {
        queues::bind_job(controller, job_index);
    }
    log::debug!("job accepted: job={id} revision={revision}");
    accepted(&controller.cluster.borrow(), id, revision)
}

/// The response to the submission of a job that was accepted at this revision.
///
/// The response has the cached state if that is newer than the submission, because another
/// controller may have returned that state already. The state may also be final from the start: a
/// job that depends on a cancelled one is cancelled too.
pub fn accepted(cluster: &ClusterState, id: &str, revision: u64) -> ServerResponse {
    match cluster.job(id) {
        Some((_, job)) if job.version > revision || !job.is_open() => {
            responses::job_state(status::CREATED, job)
        }
        _ => responses::pending(id),
    }
}
