//! The users' door.

use crate::coordination::cancellations;
use crate::coordination::controller::{wall_ms, Node};
use crate::coordination::kv::{set, Outcome};
use crate::coordination::scheduler::draft;
use crate::coordination::scheduler::planner;
use crate::protocol::kv::{Condition, Transaction};
use crate::protocol::users::{parse_job, valid_id, JobSpec, JobStatus, MAX_AWAITS};
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
pub async fn handle(node: Rc<Node>, req: Incoming) -> Answer {
    let parts: Vec<&str> = req.path.trim_start_matches('/').split('/').collect();
    match (parts.as_slice(), req.method) {
        (["up"], Method::Get) => {
            let up = || Answer::bare(if node.healthy() { 200 } else { 503 });
            node.metrics.time("health", up)
        }
        (["v1", "report"], Method::Post) => {
            let work = crate::coordination::heartbeats::handle(&node, req.body);
            node.metrics.routine("reports", work).await
        }
        (["v1", "jobs"], Method::Post) => {
            let work = submit(&node, req.body);
            node.metrics.routine("submissions", work).await
        }
        (["v1", "jobs", id], Method::Get) => {
            node.metrics.routine("users' polls", poll(&node, id)).await
        }
        (["v1", "jobs", id, "withdraw"], Method::Post) => {
            let work = withdraw(&node, id);
            node.metrics.routine("cancellations", work).await
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
fn settled_answer(node: &Node, id: &str) -> Option<Answer> {
    let cluster = node.cluster.borrow();
    let (_, job) = cluster.job(id)?;
    (!job.open()).then(|| status(200, job))
}

async fn submit(node: &Rc<Node>, body: Option<Vec<u8>>) -> Answer {
    let Some(wire) = body.as_deref().and_then(parse_job) else {
        return Answer::bare(400);
    };
    if !node.cluster.borrow().loaded {
        return Answer::later(COME_BACK_S);
    }
    if let Some(a) = settled_answer(node, &wire.id) {
        return a;
    }
    let known = node.cluster.borrow().job(&wire.id).is_some();
    // A job that is known gets its state whatever the types and dependencies say now.
    if !known {
        if let Some(refusal) = refused(node, &wire).await {
            return refusal;
        }
    }
    store_job(node, wire).await
}

/// The answer to a new job that can't be taken; `None` if it can.
async fn refused(node: &Rc<Node>, wire: &JobSpec) -> Option<Answer> {
    let acceptable = can_run(&mut node.cluster.borrow_mut(), wire);
    match acceptable {
        None => return Some(Answer::later(COME_BACK_S)),
        Some(true) => {}
        Some(false) => return refused_as_impossible(node, &wire.id).await,
    }
    refused_for_dependencies(node, &wire.awaits).await
}

/// True if the job can ever run; `None` while the machine types are not known.
fn can_run(cluster: &mut ClusterState, wire: &JobSpec) -> Option<bool> {
    let types_known = !cluster.machine_types.is_empty();
    let spec = cluster.intern_spec(wire);
    types_known.then(|| spec.is_some_and(|spec| cluster.can_run(&spec)))
}

/// The answer to a job that can never run, unless another node has accepted it before; `None`
/// then.
async fn refused_as_impossible(node: &Rc<Node>, id: &str) -> Option<Answer> {
    if !node.refreshed(READ_MS).await {
        return Some(Answer::later(COME_BACK_S));
    }
    let known = node.cluster.borrow().job(id).is_some();
    (!known).then(|| Answer::bare(422))
}

/// Stores a job that may be accepted, and answers its submission.
async fn store_job(node: &Rc<Node>, wire: JobSpec) -> Answer {
    let id = wire.id.clone();
    let record = JobRecord::submitted(wire, wall_ms());
    let began = node.now();
    while node.now().since(began) < WRITE_BUDGET_MS {
        if node.cluster.borrow().job(&id).is_some() {
            break;
        }
        match node.commit(&submission(&id, &record)).await {
            Outcome::Done(revision) => return take_over(node, &id, revision, &record),
            // Conflict: known already. Unknown: may be. Both are read below.
            Outcome::Conflict(_) | Outcome::Unknown => {
                node.refreshed(READ_MS).await;
            }
            Outcome::Refused(429) => {
                pause(jittered(60)).await;
            }
            Outcome::Refused(_) => break,
        }
    }
    if node.cluster.borrow().job(&id).is_some() && node.refreshed(READ_MS).await {
        if let Some((_, job)) = node.cluster.borrow().job(&id) {
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
fn take_over(node: &Rc<Node>, id: &str, revision: u64, record: &JobRecord) -> Answer {
    node.cluster.borrow_mut().put_job(id, revision, record);
    let ix = node.cluster.borrow().job_names.find(id);
    if let Some(ix) = ix {
        planner::bind_job(node, ix);
    }
    log::debug!("job {id} accepted at {revision}");
    accepted(&node.cluster.borrow(), id, revision)
}

/// The answer to a job that was accepted at this revision.
///
/// Another node may have told more of it by now, and this one have read that; and one that awaits
/// a cancelled job is cancelled with it from the start.
pub fn accepted(cluster: &ClusterState, id: &str, revision: u64) -> Answer {
    let known = cluster.job(id).map(|(_, job)| job);
    if let Some(job) = known.filter(|job| job.version > revision || !job.open()) {
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
async fn refused_for_dependencies(node: &Rc<Node>, awaits: &[String]) -> Option<Answer> {
    if awaits.is_empty() {
        return None;
    }
    if awaits.len() > MAX_AWAITS {
        return Some(Answer::bare(422));
    }
    let unknown = || {
        let cluster = node.cluster.borrow();
        let known = |id: &String| cluster.job(id).is_some();
        (!cluster.second_form, !awaits.iter().all(known))
    };
    if unknown() != (false, false) && !node.refreshed(READ_MS).await {
        return Some(Answer::later(COME_BACK_S));
    }
    match unknown() {
        // A node of a version that knows no dependencies would run the job at once.
        (true, _) => Some(Answer::later(COME_BACK_S)),
        (_, true) => Some(Answer::bare(422)),
        (false, false) => None,
    }
}

async fn poll(node: &Rc<Node>, id: &str) -> Answer {
    if !valid_id(id) {
        return Answer::bare(404);
    }
    if let Some(a) = settled_answer(node, id) {
        return a;
    }
    if !node.refreshed(READ_MS).await {
        return Answer::later(COME_BACK_S);
    }
    match node.cluster.borrow().job(id) {
        Some((_, job)) => status(200, job),
        None => Answer::bare(404),
    }
}

async fn withdraw(node: &Rc<Node>, id: &str) -> Answer {
    if !valid_id(id) {
        return Answer::bare(404);
    }
    let began = node.now();
    let mut fresh = false;
    while node.now().since(began) < WRITE_BUDGET_MS {
        if let Some(a) = settled_answer(node, id) {
            return a;
        }
        let drafted = {
            let cluster = node.cluster.borrow();
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
            if !node.refreshed(READ_MS).await {
                break;
            }
            fresh = true;
            continue;
        };
        match node.commit_draft(&draft).await {
            Outcome::Done(_) => {
                log::info!("job {id} cancelled by its user");
                cancellations::tell(node);
                node.plan.notify();
            }
            Outcome::Conflict(_) | Outcome::Unknown => {
                node.refreshed(READ_MS).await;
            }
            Outcome::Refused(429) => {
                pause(jittered(60)).await;
            }
            Outcome::Refused(_) => break,
        }
    }
    match settled_answer(node, id) {
        Some(a) => a,
        None => Answer::later(COME_BACK_S),
    }
}
