//! One step of the simulated clock, with the messages between controllers, between controllers and
//! workers, and to the key-value store.

use super::{
    DelayedCommands, SimulatedCluster, UndeliveredHeartbeat, CONTROLLERS, NAMES, STEP_MS,
    WHEN_PARTITION_ENDS,
};
use crate::support::digest;
use crate::support::simulated_controller::{direct_commands, SimulatedController, LEASE_MS};
use pointhook::coordination::cancellations::direct_stops::{self, CancelledTasks};
use pointhook::coordination::heartbeats::{self, HeartbeatOutcome};
use pointhook::coordination::peer_messages::status_updates;
use pointhook::coordination::scheduler::direct_starts::DirectStartOutcome;
use pointhook::coordination::scheduler::preemption;
use pointhook::coordination::worker_connectivity::probes;
use pointhook::protocol::workers::{DirectCommands, Heartbeat, HeartbeatResponse};
use pointhook::state::names::{Index, ShardIndex};
use pointhook::state::units::MonotonicMillis;

/// Time after which a worker sends its next heartbeat to the next controller, if one was not
/// accepted and no owner was named.
const RETRY_DELAY_MS: u64 = 1000;
/// Interval of exchanges between peers, of preemption and of probes.
const ROUND_MS: u64 = 1000;
/// Number of shards that take turns in preemption: those of the two zones.
const SHARDS: u64 = 2;

/// The response to an accepted heartbeat. An error means that the heartbeat was not accepted, and
/// holds the name of the owner if the controller knows one.
type HeartbeatAnswer = Result<HeartbeatResponse, Option<String>>;

/// What a controller observes of direct commands that it has sent.
struct CommandDelivery {
    outcome: DirectStartOutcome,
    /// Status in the worker's response; `None` without a response.
    status: Option<Heartbeat>,
}

impl CommandDelivery {
    fn without_response(outcome: DirectStartOutcome) -> CommandDelivery {
        CommandDelivery {
            outcome,
            status: None,
        }
    }
}

impl SimulatedCluster {
    /// Advances the clock by at least `ms`, in steps of `STEP_MS`.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        self.store.execute_delayed(self.now);
        if !self.kv_outage {
            self.store.expire_leases(self.now);
        }
        for controller_index in 0..CONTROLLERS {
            self.with_controller(controller_index, SimulatedCluster::run_coordination);
        }
        for machine in 0..self.machines.len() {
            self.run_machine(machine);
        }
        for controller_index in 0..CONTROLLERS {
            self.with_controller(controller_index, SimulatedCluster::run_scheduling);
        }
        self.check_invariants();
    }

    /// Runs a part of a step for one controller; does nothing if it is stopped.
    fn with_controller(
        &mut self,
        controller_index: usize,
        run: fn(&mut SimulatedCluster, usize, &mut SimulatedController),
    ) {
        self.select_kv_view(controller_index);
        if let Some(mut controller) = self.controllers[controller_index].take() {
            run(self, controller_index, &mut controller);
            self.controllers[controller_index] = Some(controller);
        }
    }

    fn is_round(&self) -> bool {
        self.now.is_multiple_of(ROUND_MS)
    }

    /// Reads changes from the store, runs the membership task, and exchanges state with peers.
    fn run_coordination(&mut self, controller_index: usize, controller: &mut SimulatedController) {
        if controller.sync(&self.store) {
            let watermark = &mut controller.cluster.cancellation_watermark;
            watermark.record_read(MonotonicMillis(self.now));
        }
        controller.run_membership_tick(&mut self.store, self.now);
        if self.is_round() {
            self.gossip(controller, controller_index);
        }
    }

    /// Runs the planner and preemption, and sends direct commands and probes to workers.
    fn run_scheduling(&mut self, controller_index: usize, controller: &mut SimulatedController) {
        let now = self.now;
        controller.run_planner(&mut self.store, now);
        if self.is_round() {
            preempt(controller, now);
        }
        for start in controller.direct_starts(now) {
            let names = &controller.cluster.machine_names;
            let name = names.name(start.machine).clone();
            let delivery = self.send_commands(controller_index, &name, direct_commands(&start));
            let status = delivery.status.as_ref();
            controller.record_direct_start_response(&start, delivery.outcome, status, now);
        }
        self.announce_ownership(controller_index, controller);
        if self.is_round() {
            self.probe_unreachable_machines(controller_index, controller);
        }
        let due = controller.direct_stop_tracker.due_tasks(
            &controller.cluster,
            &controller.config,
            MonotonicMillis(now),
        );
        for cancelled in due {
            self.stop_directly(controller_index, &cancelled);
        }
    }

    /// Exchanges cancellations with all reachable peers, and sends them its machine statuses.
    pub(super) fn gossip(&mut self, controller: &mut SimulatedController, controller_index: usize) {
        let now = self.now;
        for peer_index in 0..CONTROLLERS {
            if peer_index == controller_index
                || !self.peers_reach_each_other(controller_index, peer_index)
            {
                continue;
            }
            let Some(peer) = self.controllers[peer_index].as_mut() else {
                continue;
            };
            controller.exchange_cancellations(peer, now);
            let owned_since = |shard| controller.membership.owned_since.get(&shard).copied();
            let statuses = status_updates::own_machine_statuses(
                &controller.cluster,
                &controller.config,
                MonotonicMillis(now),
                owned_since,
            );
            status_updates::apply_machine_statuses(
                &mut peer.cluster,
                &peer.config,
                NAMES[controller_index],
                statuses,
                MonotonicMillis(now),
            );
        }
    }

    fn peers_reach_each_other(&self, first: usize, second: usize) -> bool {
        let isolated =
            |controller_index: usize| self.controller_faults[controller_index].isolated_from_peers;
        !isolated(first) && !isolated(second)
    }

    /// Runs one step of a machine: executes commands that are due, and sends a heartbeat if one is
    /// due. A frozen machine does neither, but its lease may expire.
    fn run_machine(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if machine.is_down(now) {
            return;
        }
        if machine.faults.frozen {
            machine.worker.expire_lease(now);
            return;
        }
        self.deliver_delayed_commands(index);
        let machine = &mut self.machines[index];
        machine.worker.advance(now);
        if now < machine.next_heartbeat_at {
            return;
        }
        let heartbeat = machine.worker.heartbeat(now);
        machine.next_heartbeat_at = now + machine.heartbeat_interval_ms;
        machine.sent_heartbeats.push(heartbeat.clone());
        if machine.faults.drops_heartbeats {
            return;
        }
        let controller = machine.target_controller;
        if machine.is_partitioned_from(controller) {
            machine.undelivered_heartbeats.push(UndeliveredHeartbeat {
                controller,
                heartbeat,
            });
            self.try_next_controller(index);
            return;
        }
        let Some(answer) = self.answer_heartbeat(controller, &heartbeat) else {
            self.try_next_controller(index);
            return;
        };
        if !self.machines[index].faults.drops_incoming {
            self.receive_answer(index, &heartbeat, answer);
        }
    }

    fn deliver_delayed_commands(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let is_partitioned = machine.partitioned;
        let is_due = |delayed: &DelayedCommands| {
            delayed.due <= now || delayed.due == WHEN_PARTITION_ENDS && !is_partitioned
        };
        let (due, later) = std::mem::take(&mut machine.delayed_commands)
            .into_iter()
            .partition(is_due);
        machine.delayed_commands = later;
        for delayed in due {
            machine.worker.receive_commands(&delayed.commands, now);
        }
    }

    /// The answer of a controller to a heartbeat; `None` if the controller is stopped.
    fn answer_heartbeat(
        &mut self,
        controller_index: usize,
        heartbeat: &Heartbeat,
    ) -> Option<HeartbeatAnswer> {
        self.select_kv_view(controller_index);
        let now = self.now;
        let mut controller = self.controllers[controller_index].take()?;
        let received = heartbeats::receive(
            &mut controller.cluster,
            &controller.config,
            heartbeat,
            LEASE_MS,
            MonotonicMillis(now),
        );
        let answer = match received {
            HeartbeatOutcome::Accepted(accepted) => {
                controller.run_planner(&mut self.store, now);
                controller.observe_failovers(now);
                let permits = controller.failovers.permits();
                let answer = heartbeats::respond(
                    &mut controller.cluster,
                    &controller.config,
                    permits,
                    &accepted,
                    MonotonicMillis(now),
                );
                answer.ok_or(None)
            }
            HeartbeatOutcome::NotOwner { owner } => Err(owner),
            HeartbeatOutcome::StaleFencingToken { shard, seen } => {
                controller.reject_stale_token(shard, seen.0, now);
                Err(None)
            }
        };
        self.controllers[controller_index] = Some(controller);
        let response = (
            NAMES[controller_index],
            &heartbeat.machine,
            answer.as_ref().ok(),
        );
        digest::record("answer to a report", now, &response);
        digest::record("who is in charge", now, &answer.as_ref().err());
        Some(answer)
    }

    fn receive_answer(&mut self, index: usize, heartbeat: &Heartbeat, answer: HeartbeatAnswer) {
        let now = self.now;
        let machine = &mut self.machines[index];
        match answer {
            Ok(response) => {
                let worker = &mut machine.worker;
                let previous_token = worker.fencing_token;
                worker.receive_response(&response, heartbeat.agent_epoch, now, now);
                if worker.fencing_token > previous_token {
                    machine.next_heartbeat_at = now + STEP_MS;
                }
            }
            Err(Some(owner)) => {
                let owner = NAMES.iter().position(|name| *name == owner);
                machine.target_controller = owner.unwrap_or(0);
                machine.next_heartbeat_at = now + STEP_MS;
            }
            Err(None) => self.try_next_controller(index),
        }
    }

    fn try_next_controller(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.target_controller = (machine.target_controller + 1) % CONTROLLERS;
        machine.next_heartbeat_at = self.now + RETRY_DELAY_MS;
    }

    /// Sends direct commands from a controller to a machine, subject to the machine's faults.
    fn send_commands(
        &mut self,
        controller_index: usize,
        name: &str,
        commands: DirectCommands,
    ) -> CommandDelivery {
        let now = self.now;
        digest::record("commands", now, &(NAMES[controller_index], name, &commands));
        let mut machines = self.machines.iter();
        let Some(addressed) = machines.position(|machine| machine.worker.name == name) else {
            return CommandDelivery::without_response(DirectStartOutcome::Unknown);
        };
        let receiver = self.machines[addressed].address_belongs_to;
        let machine = &mut self.machines[receiver.unwrap_or(addressed)];
        let faults = machine.faults;
        if machine.is_down(now) {
            // No connection is established.
            return CommandDelivery::without_response(DirectStartOutcome::Refused);
        }
        let delayed_until = if machine.is_partitioned_from(controller_index) {
            Some(WHEN_PARTITION_ENDS)
        } else if faults.delays_commands {
            Some(now + machine.command_delay_ms)
        } else if faults.frozen {
            Some(now)
        } else {
            None
        };
        if let Some(due) = delayed_until {
            machine
                .delayed_commands
                .push(DelayedCommands { due, commands });
            return CommandDelivery::without_response(DirectStartOutcome::Unknown);
        }
        if faults.drops_incoming {
            return CommandDelivery::without_response(DirectStartOutcome::Unknown);
        }
        if faults.repeats_commands {
            machine.delayed_commands.push(DelayedCommands {
                due: now + machine.command_delay_ms,
                commands: commands.clone(),
            });
        }
        let outcome = match machine.worker.receive_commands(&commands, now) {
            _ if faults.drops_command_responses => {
                return CommandDelivery::without_response(DirectStartOutcome::Unknown)
            }
            200 => DirectStartOutcome::Executed,
            _ => DirectStartOutcome::Refused,
        };
        CommandDelivery {
            outcome,
            status: Some(machine.worker.heartbeat(now)),
        }
    }

    /// Sends the owner's fencing token to reachable machines of its shards that still have a lower
    /// one. Their workers then send a heartbeat at once.
    fn announce_ownership(&mut self, controller_index: usize, controller: &SimulatedController) {
        let now = self.now;
        let cluster = &controller.cluster;
        for machine in &mut self.machines {
            let index = cluster.machine_names.find(&machine.worker.name);
            let Some(known) = index.and_then(|index| cluster.machine(index)) else {
                continue;
            };
            let fencing_token = cluster.shards[known.shard.at()].record.fencing_token;
            let is_owner = controller.config.owns(cluster, known.shard);
            let is_due = is_owner && machine.worker.fencing_token < fencing_token;
            if !is_due || !machine.is_reachable_from(controller_index, now) {
                continue;
            }
            let announcement = DirectCommands {
                fencing_token,
                agent_epoch: machine.worker.agent_epoch,
                commands: Vec::new(),
            };
            let name = &machine.worker.name;
            digest::record(
                "token",
                now,
                &(NAMES[controller_index], name, &announcement),
            );
            machine.worker.receive_commands(&announcement, now);
            machine.next_heartbeat_at = now;
        }
    }

    /// Probes the machines that the controller considers unreachable, and marks those that answer
    /// as reachable.
    fn probe_unreachable_machines(
        &mut self,
        controller_index: usize,
        controller: &mut SimulatedController,
    ) {
        let now = MonotonicMillis(self.now);
        let unreachable = probes::unreachable_machines(
            &mut controller.cluster,
            &controller.config,
            LEASE_MS,
            now,
        );
        for target in unreachable {
            let index = target.machine;
            let name = controller.cluster.machine_names.name(index).clone();
            let machine = self.machines.iter().find(|m| *m.worker.name == *name);
            let is_reachable =
                machine.is_some_and(|m| m.is_reachable_from(controller_index, now.0));
            let known = controller.cluster.machine_mut(index);
            if let Some(known) = known.filter(|_| is_reachable) {
                known.health.mark_reachable(now);
            }
        }
    }

    /// Sends direct commands that stop tasks of cancelled jobs.
    fn stop_directly(&mut self, controller_index: usize, cancelled: &CancelledTasks) {
        let now = self.now;
        // All simulated workers have the same address, so the worker is found by its tasks.
        for machine in &mut self.machines {
            let has_any = |tasks: &[(String, u64)]| {
                tasks.iter().any(|(task, _)| machine.worker.has_task(task))
            };
            if !machine.is_reachable_from(controller_index, now) || !has_any(&cancelled.tasks) {
                continue;
            }
            let status = machine.worker.heartbeat(now);
            if let Some(stops) = direct_stops::stop_commands(&status, &cancelled.tasks) {
                let name = &machine.worker.name;
                digest::record("direct stop", now, &(NAMES[controller_index], name, &stops));
                machine.worker.receive_commands(&stops, now);
            }
        }
    }
}

/// Runs preemption for one shard, a different one in each round, and records the stops that it
/// decides on.
fn preempt(controller: &mut SimulatedController, now: u64) {
    let shard = ShardIndex((now / ROUND_MS % SHARDS) as u32);
    controller.observe_failovers(now);
    for victim in preemption::select_victims(&controller.pass(now), shard) {
        if let Some(machine) = controller.cluster.machine_mut(victim.machine) {
            machine
                .decisions
                .stopping
                .insert(victim.attempt, victim.grace_s);
        }
    }
}
