//! What controllers tell each other.

use crate::coordination::controller::Controller;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::gang_reservations::gang_reservations;
use crate::coordination::scheduler::preemption_round::preempt_for_waiting;
use crate::coordination::scheduler::queues::{self, QueueEnd};
use crate::coordination::scheduler::work_stealing;
use crate::coordination::{cancellations, replication};
use crate::protocol::peers::{MachineStatus, PeerRequest, PeerResponse};
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::{MonotonicMillis, Resources};
use crate::transport::TransportError;
use std::collections::BTreeMap;
use std::rc::Rc;

const STATUS_INTERVAL_MS: u64 = 1000;
/// How long machines are kept free for a gang unless that is asked again.
pub(crate) const GANG_RESERVATION_MS: u64 = 4000;

/// Duty: tells the others about the own machines, and holds machines for gangs.
pub async fn news(controller: Rc<Controller>) {
    for turn in 0u64.. {
        controller.tick(STATUS_INTERVAL_MS, None).await;
        if turn.is_multiple_of(UTILIZATION_LOG_ROUNDS) {
            log_utilization(&controller);
            if let Some(line) = controller.metrics.line() {
                log::debug!("turns: {line}");
            }
        }
        queues::prune_queues(&controller);
        reserve_for_gangs(&controller);
        preempt_for_waiting(&controller);
        let now = controller.now();
        let machines =
            own_machine_statuses(&controller.cluster.borrow(), &controller.config, now, |s| {
                controller.observing_since(s)
            });
        let asks: Rc<[PeerRequest]> = tell(
            &controller.config.controller_name,
            controller.kv_reachable(),
            controller.workers_reachable(),
            machines,
        )
        .into();
        for i in 0..controller.peers.len() {
            let (controller, asks) = (controller.clone(), asks.clone());
            controller
                .executor
                .clone()
                .spawn(async move {
                    let peer = &controller.peers[i];
                    for ask in asks.iter() {
                        let told = peer.client.ask(ask, STATUS_INTERVAL_MS).await;
                        let refused = told
                            .as_ref()
                            .is_err_and(TransportError::is_connection_refused);
                        peer.connection_refused.set(refused);
                        if told.is_err() {
                            break;
                        }
                    }
                })
                .detach();
        }
    }
}

/// What an owner tells of its machines; `observing_since`: since when a shard's could be heard.
pub fn own_machine_statuses(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    now: MonotonicMillis,
    observing_since: impl Fn(ShardIndex) -> Option<MonotonicMillis>,
) -> Vec<MachineStatus> {
    let own = config.owned(cluster);
    cluster
        .all_machines()
        .filter(|(_, m)| own[m.shard.at()])
        .map(|(_, m)| MachineStatus {
            name: m.name.to_string(),
            addr: m.addr.clone(),
            machine_type: cluster.machine_type_names.name(m.machine_type).to_string(),
            zone: cluster.zone_names.name(m.zone).to_string(),
            spot: m.spot,
            silent_ms: silence(
                m.last_heartbeat,
                m.discovered_at,
                observing_since(m.shard),
                now,
            ),
            has_reported: m.last_heartbeat.is_some(),
            fencing_token_confirmed: m.fencing_token
                == cluster.shards[m.shard.at()].record.fencing_token,
            queue_length: m.queue.len().min(255) as u8,
            cordoned: m.cordoned
                || m.preemption_deadline.is_some()
                || m.unreachable_since.is_some(),
            quarantined: m.quarantined,
        })
        .collect()
}

/// Machines in one frame of news: a frame with all of a large fleet would be refused.
const MACHINES_PER_STATUS: usize = 128;

/// News in as many frames as it takes, at least one.
pub fn tell(
    from: &str,
    store_ok: bool,
    hears_workers: bool,
    machines: Vec<MachineStatus>,
) -> Vec<PeerRequest> {
    let ask = |machines: &[MachineStatus]| PeerRequest::Status {
        sender: from.to_string(),
        kv_reachable: store_ok,
        workers_reachable: hears_workers,
        machines: machines.to_vec(),
    };
    if machines.is_empty() {
        return vec![ask(&[])];
    }
    machines.chunks(MACHINES_PER_STATUS).map(ask).collect()
}

/// Turns between two surveys in the log.
const UTILIZATION_LOG_ROUNDS: u64 = 15;

/// Tells how full the own machines are, by type, and what waits.
fn log_utilization(controller: &Controller) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let cluster = controller.cluster.borrow();
    for (machine_type, r) in &cluster.machine_types {
        let mut sum = (0, 0, Resources::default(), 0);
        for (machine_index, m) in cluster.all_machines() {
            let own = m.machine_type == *machine_type && controller.config.owns(&cluster, m.shard);
            if !own || !m.is_schedulable(controller.now(), controller.config.unresponsive_ms) {
                continue;
            }
            let free = cluster.free_on(machine_index).unwrap_or_default();
            let empty = u32::from(free == r.capacity);
            let tasks = cluster.placed_on(machine_index).len();
            sum = (sum.0 + 1, sum.1 + tasks, sum.2.plus(free), sum.3 + empty);
        }
        log::debug!(
            "{}: {} up, {} of them empty, {} tasks, free: {} cpus, {} gpus, {} GB",
            r.description.name,
            sum.0,
            sum.3,
            sum.1,
            sum.2.cpu / 1000,
            sum.2.gpu / 1000,
            sum.2.mem / 1000
        );
    }
    let mut waiting: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for (_, j) in cluster.active_jobs() {
        let (n, Some(s)) = (j.waiting_count(), &j.spec) else {
            continue;
        };
        if n > 0 {
            let w = waiting.entry(&s.wire.class).or_default();
            *w = (w.0 + 1, w.1 + n);
        }
    }
    for (class, (jobs, tasks)) in waiting {
        log::debug!("{class}: {tasks} tasks of {jobs} jobs wait");
    }
}

/// How long an owner has waited for a machine in vain.
pub fn silence(
    heard: Option<MonotonicMillis>,
    known: MonotonicMillis,
    owned: Option<MonotonicMillis>,
    now: MonotonicMillis,
) -> u64 {
    let since = heard.unwrap_or(known).max(owned.unwrap_or(known));
    now.since(since)
}

fn reserve_for_gangs(controller: &Rc<Controller>) {
    let now = controller.now();
    let holds = {
        let cluster = controller.cluster.borrow();
        gang_reservations(
            &cluster,
            &controller.config,
            now,
            crate::coordination::controller::wall_ms(),
        )
    };
    for (job, machines) in holds {
        let (id, names): (String, Vec<String>) = {
            let cluster = controller.cluster.borrow();
            let names = machines
                .iter()
                .map(|m| cluster.machine_names.name(*m).to_string());
            (cluster.jobs[job.0 as usize].id.to_string(), names.collect())
        };
        hold(controller, &id, &names);
        let asks: Rc<[PeerRequest]> = reservation_requests(&id, &names).into();
        for i in 0..controller.peers.len() {
            let (controller, asks) = (controller.clone(), asks.clone());
            controller
                .executor
                .clone()
                .spawn(async move {
                    for ask in asks.iter() {
                        if controller.peers[i]
                            .client
                            .ask(ask, STATUS_INTERVAL_MS)
                            .await
                            .is_err()
                        {
                            break;
                        }
                    }
                })
                .detach();
        }
    }
}

/// Machines in one frame of a hold: a gang may need thousands.
const MACHINES_PER_RESERVATION: usize = 1000;

/// What asks an owner to keep machines free for a gang, in as many frames as it takes.
pub fn reservation_requests(job: &str, machines: &[String]) -> Vec<PeerRequest> {
    let frame = |machines: &[String]| PeerRequest::ReserveMachines {
        job: job.to_string(),
        machines: machines.to_vec(),
    };
    machines
        .chunks(MACHINES_PER_RESERVATION)
        .map(frame)
        .collect()
}

fn hold(controller: &Controller, job: &str, machines: &[String]) {
    let until = controller.now().plus(GANG_RESERVATION_MS);
    let mut cluster = controller.cluster.borrow_mut();
    let Some((ix, _)) = cluster.job(job) else {
        return;
    };
    for name in machines {
        let m = cluster
            .machine_names
            .find(name)
            .and_then(|m| cluster.machine_mut(m));
        if let Some(m) = m {
            m.reservation = Some((ix, until));
        }
    }
}

/// Takes what a peer tells of its machines.
///
/// Only a shard's owner knows them: one that lost its shards unnoticed goes on telling of
/// machines that have long been silent to it alone, and they would be returned for that.
pub fn apply_machine_statuses(
    cluster: &mut ClusterState,
    config: &SchedulerConfig,
    from: &str,
    machines: Vec<MachineStatus>,
    now: MonotonicMillis,
) {
    for n in machines {
        let Some(machine_index) =
            cluster.learn_machine(&n.name, &n.machine_type, &n.zone, n.spot, now)
        else {
            continue;
        };
        let told_by_owner = cluster.machine(machine_index).is_some_and(|m| {
            let owner = &cluster.shards[m.shard.at()].record.owner;
            owner == from && !config.owns(cluster, m.shard)
        });
        let Some(m) = cluster.machine_mut(machine_index).filter(|_| told_by_owner) else {
            continue;
        };
        m.addr = n.addr;
        // A machine that still boots has not been heard, only waited for.
        if n.has_reported {
            m.last_heartbeat = Some(MonotonicMillis(now.0.saturating_sub(n.silent_ms)));
        }
        m.fencing_token_confirmed = n.fencing_token_confirmed;
        m.owner_queue_length = n.queue_length;
        m.cordoned_by_owner = n.cordoned;
        m.quarantined = n.quarantined;
    }
}

/// Answers a peer. Everything in here is a hint; nothing starts or ends by it.
pub fn handle(controller: &Rc<Controller>, ask: PeerRequest) -> PeerResponse {
    let name = match ask {
        PeerRequest::Status { .. } => "peer's news",
        PeerRequest::StealWork { .. } => "peer's poll",
        _ => "peer's other asks",
    };
    controller.metrics.time(name, || answer(controller, ask))
}

fn answer(controller: &Rc<Controller>, ask: PeerRequest) -> PeerResponse {
    let now = controller.now();
    match ask {
        PeerRequest::Status {
            sender: from,
            kv_reachable,
            workers_reachable,
            machines,
        } => {
            if let Some(p) = controller.peer(&from) {
                p.last_status.set(Some(now));
                p.kv_reachable.set(kv_reachable);
                if p.workers_reachable.replace(workers_reachable) != workers_reachable {
                    controller.membership.notify();
                }
            }
            apply_machine_statuses(
                &mut controller.cluster.borrow_mut(),
                &controller.config,
                &from,
                machines,
                now,
            );
            PeerResponse::Acknowledged
        }
        PeerRequest::Bind { tasks } => {
            for (machine, t) in tasks {
                let machine_index = controller.cluster.borrow().machine_names.find(&machine);
                if let Some(machine_index) = machine_index {
                    queues::enqueue(controller, machine_index, &t, QueueEnd::Back);
                }
            }
            controller.scheduling.notify();
            PeerResponse::Acknowledged
        }
        PeerRequest::StealWork {
            idle_machine: idle,
            machines,
        } => {
            let (idle, asked) = {
                let cluster = controller.cluster.borrow();
                let find = |n: &String| cluster.machine_names.find(n);
                (
                    find(&idle),
                    machines.iter().filter_map(find).collect::<Vec<_>>(),
                )
            };
            let given = idle.and_then(|i| {
                asked
                    .into_iter()
                    .find_map(|m| work_stealing::hand_over(controller, m, i))
            });
            PeerResponse::StolenTask(given)
        }
        PeerRequest::ReserveMachines { job, machines } => {
            hold(controller, &job, &machines);
            PeerResponse::Acknowledged
        }
        PeerRequest::Cordon { machines } => PeerResponse::Cordoned(close(controller, &machines)),
        PeerRequest::MachinesDeleted { machines } => {
            gone(controller, &machines);
            PeerResponse::Acknowledged
        }
        PeerRequest::Cancelled { jobs } => cancellations::answer(controller, &jobs),
        PeerRequest::Replicate {
            sender: from,
            message,
        } => replication::answer(controller, &from, &message),
        PeerRequest::ShardStatuses => PeerResponse::ShardStatuses {
            shards: replication::shard_statuses(controller),
        },
    }
}

/// Closes owned machines without placements; returns those that are closed now.
pub fn close(controller: &Controller, machines: &[String]) -> Vec<String> {
    let mut cluster = controller.cluster.borrow_mut();
    let mut out = Vec::new();
    for name in machines {
        let Some(machine_index) = cluster.machine_names.find(name) else {
            continue;
        };
        if !cluster.placed_on(machine_index).is_empty() {
            continue;
        }
        let config = &controller.config;
        let owned = cluster
            .machine(machine_index)
            .is_some_and(|m| config.owns(&cluster, m.shard));
        if let (true, Some(m)) = (owned, cluster.machine_mut(machine_index)) {
            m.cordoned = true;
            m.queue.clear();
            out.push(name.clone());
        }
    }
    out
}

/// Notes machines that the cloud has deleted.
pub fn gone(controller: &Controller, machines: &[String]) {
    let mut cluster = controller.cluster.borrow_mut();
    for name in machines {
        let machine_index = cluster.intern_machine(name);
        cluster.mark_deleted(machine_index);
    }
    controller.scheduling.notify();
}
