//! The owner's end: publishes the changes of its shards, and sends them to their standbys.

use super::streams::Replication;
use crate::coordination::controller::Controller;
use crate::coordination::failover;
use crate::protocol::peers::{PeerRequest, PeerResponse};
use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, ShardIndex};
use crate::state::units::MonotonicMillis;
use standby::message::{Decision, FollowerResponse, MachineState, Message, QueuedTask};
use standby::publisher::Publisher;
use std::collections::HashSet;
use std::rc::Rc;

/// Time between two rounds.
const PUBLISH_INTERVAL_MS: u64 = 500;
/// Number of rounds between two log lines on the traffic of replication.
const TRAFFIC_LOG_ROUNDS: u64 = 30;
/// Timeout of a standby's response.
const RESPONSE_TIMEOUT_MS: u64 = 2000;
/// Delay before a standby that did not respond is sent the next message.
const RETRY_AFTER_MS: u64 = 2000;
/// Maximum number of messages of one stream in a round.
const MAX_MESSAGES_PER_ROUND: usize = 8;

/// Background task: publishes the changes of owned shards and sends them to the standbys.
pub async fn run(controller: Rc<Controller>) {
    for round in 1u64.. {
        controller.tick(PUBLISH_INTERVAL_MS, None).await;
        if round.is_multiple_of(TRAFFIC_LOG_ROUNDS) {
            let traffic = controller.replication.borrow_mut().take_traffic();
            log::debug!("replication traffic: {traffic}");
        }
        if !controller.cluster.borrow().loaded {
            continue;
        }
        for shard in publish_owned_shards(&controller) {
            let sending = send_messages(controller.clone(), shard);
            controller.executor.clone().spawn(sending).detach();
        }
    }
}

/// Publishes the changes of all owned shards that have a standby. Returns the shards with messages
/// to send, whose streams are marked as sending.
fn publish_owned_shards(controller: &Controller) -> Vec<ShardIndex> {
    let permits = failover::permits(controller);
    let cluster = controller.cluster.borrow();
    let standby_of = controller.standby_of.borrow();
    let mut replication = controller.replication.borrow_mut();
    replication.retain_permitted(&cluster, &controller.config, &permits);
    let now = controller.now();
    let mut ready = Vec::new();
    for (shard, standby) in standby_of.iter() {
        let Some(permit) = controller.config.permit(&cluster, &permits, *shard) else {
            continue;
        };
        let stream = replication.stream_to(*shard, permit.fencing_token(), standby);
        publish_changes(&cluster, *shard, now, &mut stream.publisher);
        let is_behind = stream.publisher.lag() != Some(0);
        let may_send = !stream.sending && now >= stream.retry_at;
        if is_behind && may_send && !stream.publisher.is_superseded() {
            stream.sending = true;
            ready.push(*shard);
        }
    }
    ready
}

/// Publishes each machine of a shard that is new, removed or changed since it was last published.
pub fn publish_changes(
    cluster: &ClusterState,
    shard: ShardIndex,
    now: MonotonicMillis,
    publisher: &mut Publisher,
) {
    let of_shard = || {
        let machines = cluster.all_machines().map(|(_, machine)| machine);
        machines.filter(|machine| machine.shard == shard)
    };
    let mut decisions = Vec::new();
    let (mut present, mut added) = (0, 0);
    for machine in of_shard() {
        present += 1;
        let published = publisher.replica_state().machine(&machine.name);
        if published.is_some_and(|state| is_unchanged(cluster, machine, now, state)) {
            continue;
        }
        added += usize::from(published.is_none());
        decisions.push(Decision::MachineChanged {
            name: machine.name.to_string(),
            state: machine_state(cluster, machine, now),
        });
    }
    // Names need to be compared only if more machines are published than exist now.
    if publisher.replica_state().len() + added > present {
        let names: HashSet<&str> = of_shard().map(|machine| &*machine.name).collect();
        let published = publisher.replica_state().machines().map(|(name, _)| name);
        let removed = published.filter(|name| !names.contains(name.as_str()));
        decisions.extend(removed.map(|name| Decision::MachineRemoved { name: name.clone() }));
    }
    for decision in decisions {
        publisher.publish(decision);
    }
}

/// Id of the gang that a machine is reserved for now; `None` if no reservation is active.
fn reserved_for<'a>(
    cluster: &'a ClusterState,
    machine: &Machine,
    now: MonotonicMillis,
) -> Option<&'a str> {
    let reservation = machine.decisions.reservation?;
    let active = reservation.is_active(now);
    active.then(|| &*cluster.jobs[reservation.gang.at()].id)
}

fn machine_state(cluster: &ClusterState, machine: &Machine, now: MonotonicMillis) -> MachineState {
    let queue = machine.queue.iter().map(|queued| QueuedTask {
        job: cluster.jobs[queued.job.at()].id.to_string(),
        task: queued.task,
    });
    MachineState {
        queue: queue.collect(),
        reserved_for: reserved_for(cluster, machine, now).map(str::to_string),
    }
}

/// True if a published state equals the machine's current state. Compares without copying.
fn is_unchanged(
    cluster: &ClusterState,
    machine: &Machine,
    now: MonotonicMillis,
    published: &MachineState,
) -> bool {
    let mut pairs = published.queue.iter().zip(&machine.queue);
    published.reserved_for.as_deref() == reserved_for(cluster, machine, now)
        && published.queue.len() == machine.queue.len()
        && pairs.all(|(published, queued)| {
            published.task == queued.task && *published.job == *cluster.jobs[queued.job.at()].id
        })
}

/// A message of a stream to be sent to a standby.
struct Delivery {
    shard: ShardIndex,
    message: Message,
    standby: String,
}

/// Sends the messages of a stream one after the other, until there are none left, one is not
/// answered, or [`MAX_MESSAGES_PER_ROUND`] have been sent.
async fn send_messages(controller: Rc<Controller>, shard: ShardIndex) {
    for _ in 0..MAX_MESSAGES_PER_ROUND {
        let next = next_delivery(&mut controller.replication.borrow_mut(), shard);
        let Some(delivery) = next else {
            break;
        };
        let response = deliver(&controller, &delivery).await;
        if !apply_response(&controller, &delivery, response) {
            break;
        }
    }
    let mut replication = controller.replication.borrow_mut();
    if let Some(stream) = replication.outgoing.get_mut(&shard) {
        stream.sending = false;
    }
}

fn next_delivery(replication: &mut Replication, shard: ShardIndex) -> Option<Delivery> {
    let stream = replication.outgoing.get_mut(&shard)?;
    Some(Delivery {
        shard,
        message: stream.publisher.next_message()?,
        standby: stream.standby.clone(),
    })
}

async fn deliver(controller: &Controller, delivery: &Delivery) -> Option<FollowerResponse> {
    let message = delivery.message.encode()?;
    controller
        .replication
        .borrow_mut()
        .record_sent(message.len());
    let request = PeerRequest::Replicate {
        sender: controller.config.controller_name.clone(),
        message,
    };
    let peer = controller.peer(&delivery.standby)?;
    match peer
        .replication_client
        .call(&request, RESPONSE_TIMEOUT_MS)
        .await
    {
        Ok(PeerResponse::ReplicationAnswer { answer }) => FollowerResponse::decode(&answer),
        _ => None,
    }
}

/// Passes a response to its stream; false if no more messages should be sent in this round.
fn apply_response(
    controller: &Controller,
    delivery: &Delivery,
    response: Option<FollowerResponse>,
) -> bool {
    let mut replication = controller.replication.borrow_mut();
    let Some(stream) = replication.outgoing.get_mut(&delivery.shard) else {
        return false;
    };
    // The stream may have changed to another standby or another fencing token in the meantime.
    let fencing_token = delivery.message.origin().fencing_token;
    if stream.standby != delivery.standby || stream.publisher.fencing_token() != fencing_token {
        return false;
    }
    match response {
        Some(response) => stream.publisher.receive_response(response),
        None => {
            stream.publisher.response_lost();
            stream.retry_at = controller.now().plus(RETRY_AFTER_MS);
        }
    }
    response.is_some()
}
