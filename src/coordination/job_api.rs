//! The users' door.

use crate::coordination::cancellations;
use crate::coordination::controller::clock::wall_ms;
use crate::coordination::controller::Controller;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::transactions::{commit_draft, set};
use crate::coordination::scheduler::draft;
use crate::coordination::scheduler::queues;
use crate::protocol::kv::{Condition, Transaction};
use crate::protocol::users::{parse_job, valid_id, JobSpec, JobStatus, MAX_DEPENDENCIES};
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, JobRecord, JobState};
use crate::transport::http::{jittered, Answer, Incoming};
use crate::transport::pause;
use http_types::Method;
use std::rc::Rc;

/// Time for a submission or cancellation before it is given up.
const WRITE_BUDGET_MS: u64 = 3500;
/// Time for the read behind a poll.
const READ_MS: u64 = 1500;
/// When to come back after a request that was given up.
const COME_BACK_S: u32 = 1;

/// True for the path of workers' reports.
pub fn of_worker(path: &str) -> bool {
    path == "/v1/report"
}

/// Answers users, workers and health checks.
pub async fn handle(controller: Rc<Controller>, req: Incoming) -> Answer {
    let parts: Vec<&str> = req.path.trim_start_matches('/').split('/').collect();
    match (parts.as_slice(), req.method) {
        (["up"], Method::Get) => {
            let up = || Answer::bare(if controller.healthy() { 200 } else { 503 });
            controller.metrics.time("health", up)
        }
        (["v1", "report"], Method::Post) => {
            let work = crate::coordination::heartbeats::handle(&controller, req.body);
            controller.metrics.time_polls("reports", work).await
        }
        (["v1", "jobs"], Method::Post) => {
            let work = submit(&controller, req.body);
            controller.metrics.time_polls("submissions", work).await
        }
        (["v1", "jobs", id], Method::Get) => {
            controller
                .metrics
                .time_polls("users' polls", poll(&controller, id))
                .await
        }
        (["v1", "jobs", id, "withdraw"], Method::Post) => {
            let work = withdraw(&controller, id);
            controller.metrics.time_polls("cancellations", work).await
        }
        (
            ["up"] | ["v1", "report" | "jobs"] | ["v1", "jobs", _] | ["v1", "jobs", _, "withdraw"],
            _,
        ) => Answer::bare(405),
        _ => Answer::bare(404),
    }
}

fn status(code: u16, job: &Job) -> Answer {
    let (word, done, running) = ClusterState::status(job);
    Answer::of(
        code,
        &JobStatus {
            id: job.id.to_string(),
            status: word.into(),
            done: Some(done),
            running: Some(running),
        },
    )
}

/// A final state is served from memory; anything else could be older than what another
/// node has told, so it needs the newest changes first.
fn settled_answer(controller: &Controller, id: &str) -> Option<Answer> {
    let cluster = controller.cluster.borrow();
    let (_, job) = cluster.job(id)?;
    (!job.is_open()).then(|| status(200, job))
}

async fn submit(controller: &Rc<Controller>, body: Option<Vec<u8>>) -> Answer {
    let Some(wire) = body.as_deref().and_then(parse_job) else {
        return Answer::bare(400);
    };
    if !controller.cluster.borrow().loaded {
        return Answer::later(COME_BACK_S);
    }
    if let Some(a) = settled_answer(controller, &wire.id) {
        return a;
    }
    let known = controller.cluster.borrow().job(&wire.id).is_some();
    // A job that is known gets its state whatever the types and dependencies say now.
    if !known {
        if let Some(refusal) = refused(controller, &wire).await {
            return refusal;
        }
    }
    store_job(controller, wire).await
}

/// The answer to a new job that can't be taken; `None` if it can.
async fn refused(controller: &Rc<Controller>, wire: &JobSpec) -> Option<Answer> {
    let acceptable = can_run(&mut controller.cluster.borrow_mut(), wire);
    match acceptable {
        None => return Some(Answer::later(COME_BACK_S)),
        Some(true) => {}
        Some(false) => return refused_as_impossible(controller, &wire.id).await,
    }
    refused_for_dependencies(controller, &wire.dependencies).await
}

/// True if the job can ever run; `None` while the machine types are not known.
fn can_run(cluster: &mut ClusterState, wire: &JobSpec) -> Option<bool> {
    let types_known = !cluster.machine_types.is_empty();
    let spec = cluster.intern_spec(wire);
    types_known.then(|| spec.is_some_and(|spec| cluster.can_run(&spec)))
}

/// The answer to a job that can never run, unless another node has accepted it before; `None`
/// then.
async fn refused_as_impossible(controller: &Rc<Controller>, id: &str) -> Option<Answer> {
    if !controller.refresh(READ_MS).await {
        return Some(Answer::later(COME_BACK_S));
    }
    let known = controller.cluster.borrow().job(id).is_some();
    (!known).then(|| Answer::bare(422))
}

/// Stores a job that may be accepted, and answers its submission.
async fn store_job(controller: &Rc<Controller>, wire: JobSpec) -> Answer {
    let id = wire.id.clone();
    let record = JobRecord::submitted(wire, wall_ms());
    let began = controller.now();
    while controller.now().since(began) < WRITE_BUDGET_MS {
        if controller.cluster.borrow().job(&id).is_some() {
            break;
        }
        match controller.kv.commit(&submission(&id, &record)).await {
            CommitOutcome::Committed(revision) => {
                return take_over(controller, &id, revision, &record)
            }
            // Conflict: known already. Unknown: may be. Both are read below.
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown => {
                controller.refresh(READ_MS).await;
            }
            CommitOutcome::Refused(429) => {
                pause(jittered(60)).await;
            }
            CommitOutcome::Refused(_) => break,
        }
    }
    if controller.cluster.borrow().job(&id).is_some() && controller.refresh(READ_MS).await {
        if let Some((_, job)) = controller.cluster.borrow().job(&id) {
            return status(200, job);
        }
    }
    Answer::later(COME_BACK_S)
}

/// The transaction that accepts a job, on condition that nobody has.
fn submission(id: &str, record: &JobRecord) -> Transaction {
    let key = ClusterState::job_key(id);
    let absent = Condition {
        key: key.clone(),
        version: 0,
    };
    Transaction {
        conditions: vec![absent],
        writes: set(key, record, None).into_iter().collect(),
    }
}

/// Takes a job that was just stored into the cluster state, and answers its submission.
fn take_over(controller: &Rc<Controller>, id: &str, revision: u64, record: &JobRecord) -> Answer {
    controller
        .cluster
        .borrow_mut()
        .put_job(id, revision, record);
    let ix = controller.cluster.borrow().job_names.find(id);
    if let Some(ix) = ix {
        queues::bind_job(controller, ix);
    }
    log::debug!("job {id} accepted at {revision}");
    accepted(&controller.cluster.borrow(), id, revision)
}

/// The answer to a job that was accepted at this revision.
///
/// Another node may have told more of it by now, and this one have read that; and one that awaits
/// a cancelled job is cancelled with it from the start.
pub fn accepted(cluster: &ClusterState, id: &str, revision: u64) -> Answer {
    let known = cluster.job(id).map(|(_, job)| job);
    if let Some(job) = known.filter(|job| job.version > revision || !job.is_open()) {
        return status(201, job);
    }
    let pending = JobStatus {
        id: id.to_string(),
        status: "pending".into(),
        done: None,
        running: None,
    };
    Answer::of(201, &pending)
}

/// The answer to a new job whose dependencies can't be taken; `None` if they can.
///
/// Another node may have accepted one of them a moment ago, so what is not known here is unknown
/// only to a read begun now; and a node that can't read can't say so.
async fn refused_for_dependencies(
    controller: &Rc<Controller>,
    awaits: &[String],
) -> Option<Answer> {
    if awaits.is_empty() {
        return None;
    }
    if awaits.len() > MAX_DEPENDENCIES {
        return Some(Answer::bare(422));
    }
    let unknown = || {
        let cluster = controller.cluster.borrow();
        let known = |id: &String| cluster.job(id).is_some();
        (!cluster.record_format_v2, !awaits.iter().all(known))
    };
    if unknown() != (false, false) && !controller.refresh(READ_MS).await {
        return Some(Answer::later(COME_BACK_S));
    }
    match unknown() {
        // A node of a version that knows no dependencies would run the job at once.
        (true, _) => Some(Answer::later(COME_BACK_S)),
        (_, true) => Some(Answer::bare(422)),
        (false, false) => None,
    }
}

async fn poll(controller: &Rc<Controller>, id: &str) -> Answer {
    if !valid_id(id) {
        return Answer::bare(404);
    }
    if let Some(a) = settled_answer(controller, id) {
        return a;
    }
    if !controller.refresh(READ_MS).await {
        return Answer::later(COME_BACK_S);
    }
    match controller.cluster.borrow().job(id) {
        Some((_, job)) => status(200, job),
        None => Answer::bare(404),
    }
}

async fn withdraw(controller: &Rc<Controller>, id: &str) -> Answer {
    if !valid_id(id) {
        return Answer::bare(404);
    }
    let began = controller.now();
    let mut fresh = false;
    while controller.now().since(began) < WRITE_BUDGET_MS {
        if let Some(a) = settled_answer(controller, id) {
            return a;
        }
        let drafted = {
            let cluster = controller.cluster.borrow();
            cluster.job(id).map(|(ix, job)| {
                let mut job = job.clone();
                job.state = JobState::Cancelled;
                let mut draft = draft::DraftTransaction::default();
                draft.jobs.insert(ix, job);
                draft
            })
        };
        let Some(draft) = drafted else {
            if fresh {
                return Answer::bare(404);
            }
            if !controller.refresh(READ_MS).await {
                break;
            }
            fresh = true;
            continue;
        };
        match commit_draft(controller, &draft).await {
            CommitOutcome::Committed(_) => {
                log::info!("job {id} cancelled by its user");
                cancellations::tell(controller);
                controller.scheduling.notify();
            }
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown => {
                controller.refresh(READ_MS).await;
            }
            CommitOutcome::Refused(429) => {
                pause(jittered(60)).await;
            }
            CommitOutcome::Refused(_) => break,
        }
    }
    match settled_answer(controller, id) {
        Some(a) => a,
        None => Answer::later(COME_BACK_S),
    }
}
