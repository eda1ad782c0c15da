//! HTTP interface of the fake key-value store.

use super::faults::Delivery;
use super::{leave_unanswered, query_field, Executor, LoopbackCluster};
use crate::kv_store::KvResponse;

use http_types::Method;
use pointhook::protocol::kv::{CommitResponse, Lease, LeaseRequest, Transaction};
use pointhook::transport::http::{ServerRequest, ServerResponse};
use pointhook::transport::sleep;
use std::rc::Rc;

const DEFAULT_PAGE_LIMIT: usize = 1000;
const MAX_WATCH_WAIT_MS: u64 = 60_000;
const WATCH_POLL_INTERVAL_MS: u64 = 10;

/// Handles an HTTP request to the key-value store, after revoking expired leases.
pub(super) async fn handle(
    cluster: Rc<LoopbackCluster>,
    executor: Executor,
    request: ServerRequest,
) -> ServerResponse {
    let path = request.path.clone();
    let path: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    cluster
        .kv_store
        .borrow_mut()
        .expire_leases(cluster.now_ms());
    match (request.method, path.as_slice()) {
        (Method::Post, ["commit"]) => commit_with_faults(&cluster, &executor, request).await,
        (Method::Post, ["grants"]) => grant_lease(&cluster, request),
        (Method::Post, ["grants", id, "touch"]) => renew_lease(&cluster, id),
        (Method::Get, ["keys"]) => read_page(&cluster, &request.query),
        (Method::Get, ["watch"]) => watch(&cluster, &request.query).await,
        _ => ServerResponse::empty(404),
    }
}

async fn commit_with_faults(
    cluster: &Rc<LoopbackCluster>,
    executor: &Executor,
    request: ServerRequest,
) -> ServerResponse {
    match cluster.faults.transaction() {
        Delivery::Late { ms } => {
            let late_cluster = cluster.clone();
            let late = async move {
                sleep(ms).await;
                commit(&late_cluster, request);
            };
            executor.spawn(late).detach();
            leave_unanswered().await
        }
        Delivery::AnswerLost => {
            commit(cluster, request);
            leave_unanswered().await
        }
        Delivery::Normal | Delivery::Twice { .. } => commit(cluster, request),
    }
}

fn commit(cluster: &LoopbackCluster, request: ServerRequest) -> ServerResponse {
    let body = request.body.unwrap_or_default();
    let Ok(transaction) = rmp_serde::from_slice::<Transaction>(&body) else {
        return ServerResponse::empty(400);
    };
    let now_ms = cluster.now_ms();
    let response = cluster.kv_store.borrow_mut().commit(&transaction, now_ms);
    record_commit(cluster, &transaction, &response, now_ms);
    match response.body {
        Some(body) => ServerResponse::with_body(response.status, &body),
        None => ServerResponse::empty(response.status),
    }
}

fn record_commit(
    cluster: &LoopbackCluster,
    transaction: &Transaction,
    response: &KvResponse<CommitResponse>,
    now_ms: u64,
) {
    if let (200, Some(committed)) = (response.status, &response.body) {
        let mut recorder = cluster.recorder.borrow_mut();
        recorder.record_commit(transaction, committed.revision, now_ms);
    }
}

fn grant_lease(cluster: &LoopbackCluster, request: ServerRequest) -> ServerResponse {
    let body = request.body.unwrap_or_default();
    let Ok(requested) = rmp_serde::from_slice::<LeaseRequest>(&body) else {
        return ServerResponse::empty(400);
    };
    let mut store = cluster.kv_store.borrow_mut();
    let lease = store.grant_lease(requested.ttl_ms, cluster.now_ms());
    ServerResponse::with_body(200, &Lease { lease })
}

fn renew_lease(cluster: &LoopbackCluster, id: &str) -> ServerResponse {
    let mut store = cluster.kv_store.borrow_mut();
    let renewed = id
        .parse()
        .is_ok_and(|id| store.renew_lease(id, cluster.now_ms()));
    ServerResponse::empty(if renewed { 200 } else { 404 })
}

fn read_page(cluster: &LoopbackCluster, query: &str) -> ServerResponse {
    let limit = query_field(query, "most")
        .parse()
        .unwrap_or(DEFAULT_PAGE_LIMIT);
    let prefix = query_field(query, "prefix");
    let start_after = query_field(query, "from");
    let store = cluster.kv_store.borrow();
    ServerResponse::with_body(200, &store.read_page(prefix, start_after, limit))
}

/// Handles a long poll: responds as soon as there are changes, or without changes after the
/// requested wait, which is at most `MAX_WATCH_WAIT_MS`.
async fn watch(cluster: &LoopbackCluster, query: &str) -> ServerResponse {
    let prefix = query_field(query, "prefix");
    let from = query_field(query, "from").parse().unwrap_or(0);
    let wait_ms = query_field(query, "wait_ms").parse::<u64>().unwrap_or(0);
    let deadline = cluster.now_ms() + wait_ms.min(MAX_WATCH_WAIT_MS);
    loop {
        let response = cluster.kv_store.borrow().watch(prefix, from);
        let Some(changes) = response.body else {
            return ServerResponse::empty(response.status);
        };
        if !changes.events.is_empty() || cluster.now_ms() >= deadline {
            return ServerResponse::with_body(response.status, &changes);
        }
        sleep(WATCH_POLL_INTERVAL_MS).await;
    }
}
