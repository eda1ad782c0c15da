//! HTTP interface of the fake cloud; it starts a worker for each provisioned machine.

use super::faults::Delivery;
use super::{leave_unanswered, query_field, worker_loop, Executor, LoopbackCluster, SharedWorker};
use crate::history::Event;
use crate::worker::FakeWorker;

use http_types::Method;
use pointhook::protocol::cloud::{MachineNames, ProvisioningRequest};
use pointhook::transport::http::{ServerRequest, ServerResponse};
use pointhook::transport::sleep;
use std::cell::RefCell;
use std::rc::Rc;

const DEFAULT_PAGE_LIMIT: usize = 500;

/// Handles an HTTP request to the cloud.
pub(super) async fn handle(
    cluster: Rc<LoopbackCluster>,
    executor: Executor,
    request: ServerRequest,
) -> ServerResponse {
    match (request.method, request.path.as_str()) {
        (Method::Get, "/flavors") => {
            ServerResponse::with_body(200, &cluster.cloud.borrow().machine_types)
        }
        (Method::Get, "/hosts") => list_machines(&cluster, &request.query),
        (Method::Post, "/hosts" | "/hosts/release") => {
            change_machines_with_faults(&cluster, &executor, request).await
        }
        _ => ServerResponse::empty(404),
    }
}

async fn change_machines_with_faults(
    cluster: &Rc<LoopbackCluster>,
    executor: &Executor,
    request: ServerRequest,
) -> ServerResponse {
    let Delivery::Late { ms } = cluster.faults.cloud_request() else {
        return change_machines(cluster, executor, request);
    };
    let (late_cluster, late_executor) = (cluster.clone(), executor.clone());
    let late = async move {
        sleep(ms).await;
        change_machines(&late_cluster, &late_executor, request);
    };
    executor.spawn(late).detach();
    leave_unanswered().await
}

fn change_machines(
    cluster: &Rc<LoopbackCluster>,
    executor: &Executor,
    request: ServerRequest,
) -> ServerResponse {
    match request.path.as_str() {
        "/hosts" => provision(cluster, executor, request),
        _ => delete_machines(cluster, request),
    }
}

fn list_machines(cluster: &LoopbackCluster, query: &str) -> ServerResponse {
    let mut page = cluster.cloud.borrow().list_machines(cluster.now_ms());
    let start_after = query_field(query, "from");
    let limit = query_field(query, "most")
        .parse()
        .unwrap_or(DEFAULT_PAGE_LIMIT);
    page.machines
        .retain(|machine| machine.name.as_str() > start_after);
    page.more = page.machines.len() > limit;
    page.machines.truncate(limit);
    ServerResponse::with_body(200, &page)
}

fn provision(
    cluster: &Rc<LoopbackCluster>,
    executor: &Executor,
    request: ServerRequest,
) -> ServerResponse {
    let body = request.body.unwrap_or_default();
    let Ok(request) = rmp_serde::from_slice::<ProvisioningRequest>(&body) else {
        return ServerResponse::empty(400);
    };
    let now_ms = cluster.now_ms();
    let Some(machines) = cluster.cloud.borrow_mut().provision(&request, now_ms) else {
        return ServerResponse::empty(503);
    };
    for name in &machines {
        let is_new = !cluster.workers.borrow().contains_key(name);
        if is_new {
            start_worker(cluster, executor, name, &request);
        }
    }
    ServerResponse::with_body(200, &MachineNames { machines })
}

fn start_worker(
    cluster: &Rc<LoopbackCluster>,
    executor: &Executor,
    name: &str,
    request: &ProvisioningRequest,
) {
    let config = &cluster.worker_config;
    if config.verbose {
        println!("machine started: machine={name} zone={}", request.zone);
    }
    let mut worker = FakeWorker::new(name, &request.zone, cluster.now_ms());
    worker.spot = request.spot;
    worker.image_pull_ms = config.image_pull_ms;
    worker.run_ms = config.run_ms;
    worker.lease_ms = config.lease_ms;
    worker.results = Some(cluster.results.clone());
    let worker: SharedWorker = Rc::new(RefCell::new(worker));
    cluster
        .workers
        .borrow_mut()
        .insert(name.to_string(), worker.clone());
    let running = worker_loop::run(cluster.clone(), executor.clone(), worker);
    executor.spawn(running).detach();
}

fn delete_machines(cluster: &LoopbackCluster, request: ServerRequest) -> ServerResponse {
    let body = request.body.unwrap_or_default();
    let Ok(names) = rmp_serde::from_slice::<MachineNames>(&body) else {
        return ServerResponse::empty(400);
    };
    cluster.cloud.borrow_mut().delete_machines(&names.machines);
    for name in &names.machines {
        let existed = cluster.workers.borrow_mut().remove(name).is_some();
        if existed {
            let machine = name.clone();
            let mut recorder = cluster.recorder.borrow_mut();
            recorder.record(cluster.now_ms(), Event::MachineDeleted { machine });
        }
        if existed && cluster.worker_config.verbose {
            println!("machine deleted: machine={name}");
        }
    }
    ServerResponse::empty(200)
}
