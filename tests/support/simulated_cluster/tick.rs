//! One step of the simulated clock, with all messages that it carries: between controllers, to and
//! from workers, and to the key-value store.

use super::{
    DelayedCommands, SimulatedCluster, UndeliveredHeartbeat, CONTROLLERS, NAMES, STEP_MS,
    WHEN_PARTITION_ENDS,
};
use crate::support::digest;
use crate::support::simulated_controller::{direct_commands, SimulatedController, LEASE_MS};
use pointhook::coordination::cancellations::direct_stops::{self, CancelledTasks};
use pointhook::coordination::heartbeats::{self, HeartbeatOutcome};
use pointhook::coordination::peer_messages::status_updates;
use pointhook::coordination::scheduler::direct_starts::{
    record_direct_start_outcome, DirectStartOutcome,
};
use pointhook::coordination::scheduler::preemption;
use pointhook::coordination::worker_connectivity::probes;
use pointhook::protocol::workers::{DirectCommands, Heartbeat, HeartbeatResponse};
use pointhook::state::names::{Index, ShardIndex};
use pointhook::state::units::MonotonicMillis;

/// Time between a worker's heartbeats.
const HEARTBEAT_INTERVAL_MS: u64 = 2000;
/// Time after which a worker tries the next controller.
const RETRY_DELAY_MS: u64 = 1000;
/// Time between rounds of gossip, preemption and probes.
const ROUND_MS: u64 = 1000;
/// Shards take turns in preemption.
const SHARDS: u64 = 2;
/// How late commands reach a machine that delays them.
const COMMAND_DELAY_MS: u64 = 6000;

/// Answer to a heartbeat; otherwise the owner that the controller names, if it knows one.
type HeartbeatAnswer = Result<HeartbeatResponse, Option<String>>;

impl SimulatedCluster {
    /// Lets time pass, one step of the clock at a time.
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
        for at in 0..CONTROLLERS {
            self.with_controller(at, SimulatedCluster::run_coordination);
        }
        for machine in 0..self.machines.len() {
            self.run_machine(machine);
        }
        for at in 0..CONTROLLERS {
            self.with_controller(at, SimulatedCluster::run_scheduling);
        }
        self.check_invariants();
    }

    /// Runs part of a step for a controller that is not stopped.
    fn with_controller(
        &mut self,
        at: usize,
        run: fn(&mut SimulatedCluster, usize, &mut SimulatedController),
    ) {
        self.select_kv_view(at);
        if let Some(mut controller) = self.controllers[at].take() {
            run(self, at, &mut controller);
            self.controllers[at] = Some(controller);
        }
    }

    fn is_round(&self) -> bool {
        self.now.is_multiple_of(ROUND_MS)
    }

    /// Reads the store, keeps membership and shards, and gossips.
    fn run_coordination(&mut self, at: usize, controller: &mut SimulatedController) {
        if controller.sync(&self.store) {
            let watermark = &mut controller.cluster.cancellation_watermark;
            watermark.record_read(MonotonicMillis(self.now));
        }
        controller.run_membership_tick(&mut self.store, self.now);
        if self.is_round() {
            self.gossip(controller, at);
        }
    }

    /// Plans, preempts, and sends what does not wait for heartbeats.
    fn run_scheduling(&mut self, at: usize, controller: &mut SimulatedController) {
        let now = self.now;
        controller.run_planner(&mut self.store, now);
        if self.is_round() {
            preempt(controller, now);
        }
        for start in controller.direct_starts(now) {
            let names = &controller.cluster.machine_names;
            let name = names.name(start.machine).clone();
            let outcome = self.send_commands(at, &name, direct_commands(&start));
            record_direct_start_outcome(&mut controller.cluster, &start, outcome);
        }
        self.announce_ownership(at, controller);
        if self.is_round() {
            self.probe_unreachable_machines(at, controller);
        }
        let due = controller.cancelled_task_sweeper.due(
            &controller.cluster,
            &controller.config,
            MonotonicMillis(now),
        );
        for cancelled in due {
            self.stop_directly(at, &cancelled);
        }
    }

    /// Exchanges cancellations and machine statuses with all peers that can be reached.
    pub(super) fn gossip(&mut self, controller: &mut SimulatedController, at: usize) {
        let now = self.now;
        for peer_index in 0..CONTROLLERS {
            if peer_index == at || !self.peers_reach_each_other(at, peer_index) {
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
                NAMES[at],
                statuses,
                MonotonicMillis(now),
            );
        }
    }

    fn peers_reach_each_other(&self, first: usize, second: usize) -> bool {
        let isolated = |at: usize| self.controller_faults[at].isolated_from_peers;
        !isolated(first) && !isolated(second)
    }

    /// Lets a machine execute commands that have arrived, and send a heartbeat if one is due.
    fn run_machine(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
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
        machine.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
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

    /// What a controller answers to a heartbeat; `None` if it is stopped.
    fn answer_heartbeat(&mut self, at: usize, heartbeat: &Heartbeat) -> Option<HeartbeatAnswer> {
        self.select_kv_view(at);
        let now = self.now;
        let mut controller = self.controllers[at].take()?;
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
        self.controllers[at] = Some(controller);
        let response = (NAMES[at], &heartbeat.machine, answer.as_ref().ok());
        digest::note("answer to a report", now, &response);
        digest::note("who is in charge", now, &answer.as_ref().err());
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

    /// Sends direct commands of a controller to a machine.
    fn send_commands(
        &mut self,
        at: usize,
        name: &str,
        commands: DirectCommands,
    ) -> DirectStartOutcome {
        let now = self.now;
        digest::note("commands", now, &(NAMES[at], name, &commands));
        let mut machines = self.machines.iter_mut();
        let Some(machine) = machines.find(|machine| machine.worker.name == name) else {
            return DirectStartOutcome::Unknown;
        };
        let faults = machine.faults;
        let delayed_until = if machine.is_partitioned_from(at) {
            Some(WHEN_PARTITION_ENDS)
        } else if faults.delays_commands {
            Some(now + COMMAND_DELAY_MS)
        } else if faults.frozen {
            Some(now)
        } else {
            None
        };
        if let Some(due) = delayed_until {
            machine
                .delayed_commands
                .push(DelayedCommands { due, commands });
            return DirectStartOutcome::Unknown;
        }
        if faults.drops_incoming {
            return DirectStartOutcome::Unknown;
        }
        match machine.worker.receive_commands(&commands, now) {
            _ if faults.drops_command_responses => DirectStartOutcome::Unknown,
            200 => DirectStartOutcome::Executed,
            _ => DirectStartOutcome::Refused,
        }
    }

    /// Shows the owner's fencing token to machines that still have an older one.
    fn announce_ownership(&mut self, at: usize, controller: &SimulatedController) {
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
            if !is_due || !machine.is_reachable_from(at) {
                continue;
            }
            let announcement = DirectCommands {
                fencing_token,
                agent_epoch: machine.worker.agent_epoch,
                commands: Vec::new(),
            };
            let name = &machine.worker.name;
            digest::note("token", now, &(NAMES[at], name, &announcement));
            machine.worker.receive_commands(&announcement, now);
            machine.next_heartbeat_at = now;
        }
    }

    /// Asks machines that seem to be unreachable whether they can be reached after all.
    fn probe_unreachable_machines(&mut self, at: usize, controller: &mut SimulatedController) {
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
            let is_reachable = machine.is_some_and(|m| m.is_reachable_from(at));
            let known = controller.cluster.machine_mut(index);
            if let Some(known) = known.filter(|_| is_reachable) {
                known.health.mark_reachable(now);
            }
        }
    }

    /// Stops tasks of cancelled jobs by direct commands.
    fn stop_directly(&mut self, at: usize, cancelled: &CancelledTasks) {
        let now = self.now;
        // All simulated workers have the same address; the tasks tell whose it is.
        for machine in &mut self.machines {
            let has_any = |tasks: &[(String, u64)]| {
                tasks.iter().any(|(task, _)| machine.worker.has_task(task))
            };
            if !machine.is_reachable_from(at) || !has_any(&cancelled.tasks) {
                continue;
            }
            let status = machine.worker.heartbeat(now);
            if let Some(stops) = direct_stops::stop_commands(&status, &cancelled.tasks) {
                let name = &machine.worker.name;
                digest::note("direct stop", now, &(NAMES[at], name, &stops));
                machine.worker.receive_commands(&stops, now);
            }
        }
    }
}

/// Decides on preemptions of one shard, in turn.
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
