//! Loop of a worker: serves direct commands and sends heartbeats until the machine is deleted.

use super::faults::{Delivery, Restart};
use super::{leave_unanswered, Executor, LoopbackCluster, SharedWorker};
use crate::history::{Event, WorkerProgress};
use crate::worker::FakeWorker;

use http_types::Method;
use pointhook::protocol::workers::{DirectCommands, Heartbeat, HeartbeatResponse, NotOwner};
use pointhook::transport::http::{listen, serve, Client, ServerRequest, ServerResponse};
use pointhook::transport::sleep;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

const MAX_COMMAND_CONNECTIONS: usize = 16;
const HEARTBEAT_TIMEOUT_MS: u64 = 4000;
const HEARTBEAT_PATH: &str = "/v1/report";
/// Delay before a heartbeat is sent to the owner named in a redirect.
const REDIRECT_DELAY_MS: u64 = 50;
/// Delay before a heartbeat is sent to the next controller in the list.
const RETRY_DELAY_MS: u64 = 1000;

/// Time between two steps of a mute machine.
const MUTE_STEP_MS: u64 = 100;

/// Destination of the next heartbeat, as the response to the last one determines it.
enum NextHeartbeat {
    /// The same controller, after the heartbeat interval with jitter.
    SameController,
    /// The owner of the shard, by its index in the list of controllers.
    RedirectedTo(usize),
    /// The next controller in the list, as the last one failed to respond or named no known owner.
    NextController,
}

/// Runs a worker until its machine is deleted.
pub(super) async fn run(cluster: Rc<LoopbackCluster>, executor: Executor, worker: SharedWorker) {
    let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
    let Ok(listener) = listen(loopback) else {
        return;
    };
    let Ok(addr) = listener.get_ref().local_addr() else {
        return;
    };
    worker.borrow_mut().addr = addr.to_string();
    let (command_cluster, command_worker) = (cluster.clone(), worker.clone());
    let command_executor = executor.clone();
    let command_server = executor.spawn(serve(
        executor.clone(),
        listener,
        MAX_COMMAND_CONNECTIONS,
        move |request| {
            handle_with_faults(
                command_cluster.clone(),
                command_executor.clone(),
                command_worker.clone(),
                request,
            )
        },
    ));
    send_heartbeats(&cluster, &executor, &worker).await;
    command_server.cancel().await;
}

async fn handle_with_faults(
    cluster: Rc<LoopbackCluster>,
    executor: Executor,
    worker: SharedWorker,
    request: ServerRequest,
) -> ServerResponse {
    wait_while_frozen(&cluster, &worker).await;
    let is_command = request.path == "/commands";
    match is_command.then(|| cluster.faults.command()) {
        Some(Delivery::Late { ms }) => {
            deliver_later(&cluster, &executor, worker, request, ms);
            leave_unanswered().await
        }
        Some(Delivery::Twice { ms }) => {
            let response = handle_request(&cluster, &worker, &request);
            deliver_later(&cluster, &executor, worker, request, ms);
            response
        }
        _ => handle_request(&cluster, &worker, &request),
    }
}

async fn wait_while_frozen(cluster: &LoopbackCluster, worker: &RefCell<FakeWorker>) {
    loop {
        let until_ms = worker.borrow().frozen_until_ms;
        let remaining_ms = until_ms.saturating_sub(cluster.now_ms());
        if remaining_ms == 0 {
            return;
        }
        sleep(remaining_ms).await;
    }
}

/// Carries a request out after a delay, if its machine still exists then.
fn deliver_later(
    cluster: &Rc<LoopbackCluster>,
    executor: &Executor,
    worker: SharedWorker,
    request: ServerRequest,
    delay_ms: u64,
) {
    let cluster = cluster.clone();
    let late = async move {
        sleep(delay_ms).await;
        wait_while_frozen(&cluster, &worker).await;
        let name = worker.borrow().name.clone();
        if cluster.workers.borrow().contains_key(&name) {
            handle_request(&cluster, &worker, &request);
        }
    };
    executor.spawn(late).detach();
}

fn handle_request(
    cluster: &LoopbackCluster,
    worker: &SharedWorker,
    request: &ServerRequest,
) -> ServerResponse {
    let now_ms = cluster.now_ms();
    let mut status = 200;
    if request.path == "/commands" {
        let body = request.body.as_deref().unwrap_or_default();
        let Ok(commands) = rmp_serde::from_slice::<DirectCommands>(body) else {
            return ServerResponse::empty(400);
        };
        status = worker.borrow_mut().receive_commands(&commands, now_ms);
        record_progress(cluster, worker);
    }
    ServerResponse::with_body(status, &worker.borrow_mut().heartbeat(now_ms))
}

async fn send_heartbeats(
    cluster: &Rc<LoopbackCluster>,
    executor: &Executor,
    worker: &SharedWorker,
) {
    let controllers = &cluster.worker_config.controllers;
    let interval_ms = cluster.worker_config.heartbeat_interval_ms;
    let mut current = 0;
    let mut client = Client::new(controllers[current].addr);
    let name = worker.borrow().name.clone();
    while cluster.workers.borrow().contains_key(&name) {
        strike_machine(cluster, worker);
        wait_while_mute(cluster, worker).await;
        wait_while_frozen(cluster, worker).await;
        let sent_at_ms = cluster.now_ms();
        let heartbeat = worker.borrow_mut().heartbeat(sent_at_ms);
        record_progress(cluster, worker);
        copy_heartbeat(cluster, executor, &heartbeat);
        let next = send_heartbeat(cluster, worker, &client, &heartbeat, sent_at_ms).await;
        record_progress(cluster, worker);
        let (controller, delay_ms) = match next {
            NextHeartbeat::SameController => {
                let jitter_ms = fastrand::u64(0..=interval_ms / 2);
                sleep(interval_ms * 3 / 4 + jitter_ms).await;
                continue;
            }
            NextHeartbeat::RedirectedTo(owner) => (owner, REDIRECT_DELAY_MS),
            NextHeartbeat::NextController => ((current + 1) % controllers.len(), RETRY_DELAY_MS),
        };
        current = controller;
        client = Client::new(controllers[current].addr);
        sleep(delay_ms).await;
    }
}

/// Freezes or restarts the machine if the faults say so.
fn strike_machine(cluster: &LoopbackCluster, worker: &RefCell<FakeWorker>) {
    let now_ms = cluster.now_ms();
    if let Some(ms) = cluster.faults.freeze() {
        worker.borrow_mut().frozen_until_ms = now_ms + ms;
    }
    if let Some(restart) = cluster.faults.restart() {
        restart_machine(cluster, worker, restart);
    }
}

/// Restarts the machine; it is down for a moment, and messages to it wait until it is back.
fn restart_machine(cluster: &LoopbackCluster, worker: &RefCell<FakeWorker>, restart: Restart) {
    let now_ms = cluster.now_ms();
    record_progress(cluster, worker);
    let back_at_ms = now_ms + cluster.faults.restart_duration_ms();
    worker.borrow_mut().restart(restart, back_at_ms);
    worker.borrow_mut().frozen_until_ms = back_at_ms;
    let machine = worker.borrow().name.clone();
    let anew = restart == Restart::Anew;
    let mut recorder = cluster.recorder.borrow_mut();
    recorder.record(now_ms, Event::MachineRestarted { machine, anew });
}

/// Sends no heartbeat for the duration of a mute spell, if the faults begin one now. The worker goes
/// on and answers direct commands; it may restart meanwhile.
async fn wait_while_mute(cluster: &LoopbackCluster, worker: &RefCell<FakeWorker>) {
    let Some(spell) = cluster.faults.mute() else {
        return;
    };
    let ends_at_ms = cluster.now_ms() + spell.ms;
    let mut restarts_at_ms = spell.restart_after_ms.map(|ms| cluster.now_ms() + ms);
    while cluster.now_ms() < ends_at_ms {
        if restarts_at_ms.is_some_and(|at_ms| at_ms <= cluster.now_ms()) {
            restarts_at_ms = None;
            restart_machine(cluster, worker, Restart::NextEpoch);
        }
        wait_while_frozen(cluster, worker).await;
        worker.borrow_mut().advance(cluster.now_ms());
        record_progress(cluster, worker);
        sleep(MUTE_STEP_MS).await;
    }
}

/// Sends a copy of a heartbeat later to some controller, if the faults say so; the answer is lost.
fn copy_heartbeat(cluster: &Rc<LoopbackCluster>, executor: &Executor, heartbeat: &Heartbeat) {
    let Some(ms) = cluster.faults.heartbeat_copy() else {
        return;
    };
    let controllers = &cluster.worker_config.controllers;
    let address = controllers[cluster.faults.choose(controllers.len())].addr;
    let body = rmp_serde::to_vec_named(heartbeat).unwrap_or_default();
    let late = async move {
        sleep(ms).await;
        let client = Client::new(address);
        let _ = client
            .call(Method::Post, HEARTBEAT_PATH, body, HEARTBEAT_TIMEOUT_MS)
            .await;
    };
    executor.spawn(late).detach();
}

async fn send_heartbeat(
    cluster: &LoopbackCluster,
    worker: &RefCell<FakeWorker>,
    client: &Client,
    heartbeat: &Heartbeat,
    sent_at_ms: u64,
) -> NextHeartbeat {
    let body = rmp_serde::to_vec_named(heartbeat).unwrap_or_default();
    let answer = client.call(Method::Post, HEARTBEAT_PATH, body, HEARTBEAT_TIMEOUT_MS);
    let answer = answer.await;
    wait_while_frozen(cluster, worker).await;
    if cluster.faults.loses_response() {
        return NextHeartbeat::NextController;
    }
    match answer {
        Ok(answer) if answer.status == 200 => {
            if let Ok(response) = rmp_serde::from_slice::<HeartbeatResponse>(&answer.body) {
                let answered = &cluster.answered_heartbeats;
                answered.set(answered.get() + 1);
                let now_ms = cluster.now_ms();
                let mut worker = worker.borrow_mut();
                worker.receive_response(&response, heartbeat.agent_epoch, sent_at_ms, now_ms);
            }
            NextHeartbeat::SameController
        }
        Ok(answer) if answer.status == 421 => redirect(cluster, &answer.body),
        _ => NextHeartbeat::NextController,
    }
}

/// Destination of the next heartbeat after status 421 from a controller that is not the owner.
fn redirect(cluster: &LoopbackCluster, body: &[u8]) -> NextHeartbeat {
    let answer = rmp_serde::from_slice::<NotOwner>(body).ok();
    let owner = answer.and_then(|answer| answer.owner);
    let controllers = &cluster.worker_config.controllers;
    let position = owner.and_then(|owner| controllers.iter().position(|c| c.name == owner));
    match position {
        Some(position) => NextHeartbeat::RedirectedTo(position),
        None => NextHeartbeat::NextController,
    }
}

/// Records the tasks that a worker has started and completed since the last call for it.
fn record_progress(cluster: &LoopbackCluster, worker: &RefCell<FakeWorker>) {
    let worker = worker.borrow();
    let now_ms = cluster.now_ms();
    let mut recorder = cluster.recorder.borrow_mut();
    let recorded = recorder.progress_of(&worker.name);
    for (task, attempt) in worker.started.iter().skip(recorded.started) {
        if cluster.worker_config.verbose {
            println!(
                "task started: task={task} attempt={attempt} machine={}",
                worker.name
            );
        }
        cluster.started_tasks.set(cluster.started_tasks.get() + 1);
        let event = Event::TaskStarted {
            task: task.clone(),
            attempt: *attempt,
            machine: worker.name.clone(),
            other_machine: other_machine_running(cluster, &worker.name, task),
        };
        recorder.record(now_ms, event);
    }
    for task in worker.completed.iter().skip(recorded.completed) {
        let event = Event::TaskCompleted {
            task: task.clone(),
            machine: worker.name.clone(),
        };
        recorder.record(now_ms, event);
    }
    for task in worker.active_tasks() {
        if let Some(overdue_ms) = recorder.overdue_ms(task, now_ms, cluster.worker_config.cancel_ms)
        {
            let event = Event::CancelledTaskActive {
                task: task.to_string(),
                machine: worker.name.clone(),
                overdue_ms,
            };
            recorder.record(now_ms, event);
        }
    }
    let progress = WorkerProgress {
        started: worker.started.len(),
        completed: worker.completed.len(),
    };
    recorder.set_progress(&worker.name, progress);
}

/// Another machine on which an attempt of the task is active.
fn other_machine_running(cluster: &LoopbackCluster, machine: &str, task: &str) -> Option<String> {
    let workers = cluster.workers.borrow();
    let mut others = workers.iter().filter(|(name, _)| *name != machine);
    let found = others.find(|(_, other)| {
        let other = other.try_borrow();
        other.is_ok_and(|other| other.has_task(task))
    });
    found.map(|(name, _)| name.clone())
}
