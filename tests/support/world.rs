//! Several controllers, workers and their users around one state service, with the troubles
//! that days bring, and one checker of the rules on what really ran where.

use super::controller::{commands, Controller, Standby, CANCEL_MS, LEASE_MS};
use super::digest;
use super::kv_store::FakeKvStore;
use super::worker::FakeWorker;
use pointhook::coordination::cancellations::direct_stops::{self, CancelledTasks};
use pointhook::coordination::heartbeats::{self, HeartbeatOutcome};
use pointhook::coordination::kv::CommitOutcome;
use pointhook::coordination::membership;
use pointhook::coordination::peer_messages::status_updates;
use pointhook::coordination::scheduler::direct_starts::{
    record_direct_start_outcome, DirectStartOutcome,
};
use pointhook::coordination::scheduler::preemption;
use pointhook::coordination::worker_connectivity::probes;
use pointhook::protocol::users::{JobKind, JobSpec};
use pointhook::protocol::workers::{DirectCommands, Heartbeat};
use pointhook::state::cluster_state::ClusterState;
use pointhook::state::names::{Index, ShardIndex, TeamIndex};
use pointhook::state::units::MonotonicMillis;
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub const NAMES: [&str; 3] = ["n1", "n2", "s1"];
const ZONES: [(&str, u32); 3] = [("n1", 0), ("n2", 0), ("s1", 1)];
const STEP_MS: u64 = 500;
const REPORT_MS: u64 = 2000;
/// How late commands to a slow machine arrive.
const SLOW_MS: u64 = 6000;
/// Age of what a controller knows up to which it starts tasks, with a step of this clock.
const STARTS_MS: u64 = 7000;

/// What stands between a controller and the rest, or a worker and the controllers.
#[derive(Default, Clone, Copy, PartialEq)]
pub struct Trouble {
    /// The state service refuses this controller.
    pub refused: bool,
    /// It hears no peer, and none hears it.
    pub alone: bool,
}

#[derive(Default, Clone, Copy, PartialEq)]
pub struct Ill {
    /// Its reports arrive, answers and commands don't.
    pub deaf: bool,
    /// Its reports don't arrive, commands do.
    pub mute: bool,
    /// It stands still; commands are held until it goes on.
    pub hangs: bool,
    /// Answers to direct commands are lost.
    pub loses_answers: bool,
    /// Direct commands arrive seconds late.
    pub slow: bool,
}

pub struct Host {
    pub worker: FakeWorker,
    pub ill: Ill,
    /// The controller it reports to.
    to: usize,
    next: u64,
    /// Direct commands on their way, with the time at which they arrive.
    held: Vec<(u64, DirectCommands)>,
    /// Reports of the past, to be delivered again.
    pub sent: Vec<Heartbeat>,
    /// It reaches only controllers of its own zone.
    pub cut_off: bool,
    /// Reports that a cut holds back, with where they were sent.
    lost: Vec<(usize, Heartbeat)>,
}

/// All of it.
pub struct World {
    pub store: FakeKvStore,
    pub nodes: Vec<Option<Controller>>,
    pub trouble: [Trouble; 3],
    pub outage: bool,
    pub hosts: Vec<Host>,
    /// Whether controllers that start have the warm standby.
    pub standby: Standby,
    pub now: u64,
    incarnation: u64,
    /// By job: when its user was told that it is cancelled.
    pub cancelled: BTreeMap<String, u64>,
    /// By job: its tasks and what its user was told last.
    told: BTreeMap<String, (JobSpec, &'static str)>,
    starts: HashMap<String, u64>,
    pub broken: Vec<String>,
    /// Jobs that their users cancelled themselves.
    by_user: BTreeSet<String>,
}

impl World {
    /// Three controllers that have their shards, and machines in turn of both zones.
    pub fn new(machines: usize) -> World {
        World::with(machines, Standby::Off)
    }

    /// The same, with or without the warm standby.
    pub fn with(machines: usize, standby: Standby) -> World {
        let mut w = World {
            standby,
            store: FakeKvStore::default(),
            nodes: vec![None, None, None],
            trouble: [Trouble::default(); 3],
            outage: false,
            hosts: Vec::new(),
            now: 0,
            incarnation: 1,
            cancelled: BTreeMap::new(),
            told: BTreeMap::new(),
            starts: HashMap::new(),
            broken: Vec::new(),
            by_user: BTreeSet::new(),
        };
        w.store.max_txn_ops = 16;
        for at in 0..3 {
            w.start(at);
        }
        for i in 0..machines {
            w.boot(["north", "south"][i % 2]);
        }
        w.run(6000);
        w
    }

    /// A machine comes up.
    pub fn boot(&mut self, zone: &str) -> usize {
        let name = format!("m{}", self.hosts.len() + 1);
        self.hosts.push(Host {
            worker: FakeWorker::new(&name, zone, self.now),
            ill: Ill::default(),
            to: self.hosts.len() % 3,
            next: self.now,
            held: Vec::new(),
            sent: Vec::new(),
            cut_off: false,
            lost: Vec::new(),
        });
        self.hosts.len() - 1
    }

    /// A controller starts, or starts again.
    pub fn start(&mut self, at: usize) {
        if self.outage || self.trouble[at].refused {
            // It knows no records yet and answers nobody.
            return;
        }
        self.door(at);
        self.incarnation += 1;
        // The predecessor's key may still be there: a new start replaces it. It goes on trying
        // until it has its key, which is a start that came later.
        let late = (
            self.store.execution_delay_ms.take(),
            self.store.drops_responses,
        );
        self.store.drops_responses = false;
        let c = self.controller(at);
        (self.store.execution_delay_ms, self.store.drops_responses) = late;
        let mut c = c.among(&NAMES, &ZONES);
        c.cluster
            .cancellation_watermark
            .record_read(MonotonicMillis(self.now));
        self.nodes[at] = Some(c);
    }

    fn controller(&mut self, at: usize) -> Controller {
        Controller::start_as(
            NAMES[at],
            self.incarnation,
            self.standby,
            &mut self.store,
            self.now,
        )
    }

    /// A controller starts during an outage: it knows no records, and tells what it knows.
    pub fn start_unread(&mut self, at: usize) {
        let mut elsewhere = FakeKvStore::default();
        self.incarnation += 1;
        let c = Controller::start_as(
            NAMES[at],
            self.incarnation,
            self.standby,
            &mut elsewhere,
            self.now,
        );
        self.nodes[at] = Some(c.among(&NAMES, &ZONES));
    }

    /// Begins the second form of records, as the members' duty does once all nodes know it.
    pub fn begin_record_format_v2(&mut self) {
        let c = self.nodes[0].as_ref().expect("a controller");
        let txn = membership::begin_record_format_v2(&c.cluster, &NAMES).expect("all know it");
        assert_eq!(digest::commit(&mut self.store, &txn, self.now).status, 200);
        self.run(STEP_MS);
    }

    /// Begins the second form of records if all controllers live and know it, as the first of
    /// them sees it.
    pub fn try_begin_record_format_v2(&mut self) {
        self.door(0);
        let Some(c) = &self.nodes[0] else { return };
        if let Some(txn) = membership::begin_record_format_v2(&c.cluster, &NAMES) {
            digest::commit(&mut self.store, &txn, self.now);
        }
    }

    /// True if this controller takes jobs with dependencies.
    pub fn takes_dependencies(&self, at: usize) -> bool {
        self.nodes[at]
            .as_ref()
            .is_some_and(|c| c.cluster.record_format_v2)
    }

    /// Accepted jobs that others may await.
    pub fn accepted_without_services(&self) -> Vec<String> {
        let finite = self
            .accepted_jobs()
            .filter(|(_, s)| s.kind != JobKind::Service);
        finite.map(|(id, _)| id.to_string()).collect()
    }

    /// How many jobs that await others have had a task started.
    pub fn begun_dependents(&self) -> usize {
        let dependents = self
            .accepted_jobs()
            .filter(|(_, s)| !s.dependencies.is_empty());
        dependents.filter(|(id, _)| self.begun(id)).count()
    }

    /// Cuts the south with its controller off from the rest, or ends that: reports that its
    /// machines sent elsewhere meanwhile then arrive there.
    pub fn cut_zone(&mut self, cut: bool) {
        let was = self.hosts.iter().any(|h| h.cut_off);
        self.trouble[2].alone = cut;
        self.trouble[2].refused = cut;
        for h in &mut self.hosts {
            h.cut_off = cut;
        }
        if was && !cut {
            for host in 0..self.hosts.len() {
                let held = std::mem::take(&mut self.hosts[host].lost);
                for (at, r) in held {
                    self.deliver(at, &r);
                }
            }
        }
    }

    fn deliver(&mut self, at: usize, r: &Heartbeat) {
        self.door(at);
        let now = self.now;
        if let Some(mut c) = self.nodes[at].take() {
            let _ = c.report(&mut self.store, r, now);
            self.nodes[at] = Some(c);
        }
    }

    /// A controller ends.
    pub fn end(&mut self, at: usize) {
        self.nodes[at] = None;
    }

    pub fn node(&mut self, at: usize) -> &mut Controller {
        self.nodes[at].as_mut().expect("a live controller")
    }

    /// The controller that owns a host's machine, by its own view.
    pub fn owner_of(&self, host: usize) -> Option<usize> {
        let name = &self.hosts[host].worker.name;
        (0..3).find(|at| {
            self.nodes[*at].as_ref().is_some_and(|c| {
                let m = c.cluster.machine_names.find(name);
                let m = m.and_then(|m| c.cluster.machine(m));
                m.is_some_and(|m| c.config.owns(&c.cluster, m.shard))
            })
        })
    }

    /// The controller that owns the first shard of a zone, by its own view.
    pub fn owner_of_zone(&self, zone: &str) -> usize {
        let host = self.hosts.iter().position(|h| h.worker.zone == zone);
        self.owner_of(host.expect("a machine")).expect("an owner")
    }

    fn door(&mut self, at: usize) {
        self.store.unavailable = self.outage || self.trouble[at].refused;
    }

    /// A user submits at a controller; true if it was accepted.
    pub fn submit(&mut self, at: usize, spec: JobSpec) -> bool {
        self.door(at);
        let now = self.now;
        let Some(mut c) = self.nodes[at].take() else {
            return false;
        };
        let taken = matches!(
            c.submit(&mut self.store, spec.clone(), now),
            CommitOutcome::Committed(_)
        );
        self.nodes[at] = Some(c);
        digest::note("answer to a submission", now, &(NAMES[at], &spec.id, taken));
        if taken {
            self.told.insert(spec.id.clone(), (spec, "pending"));
        }
        taken
    }

    /// A user cancels at a controller; true if that was confirmed.
    pub fn cancel(&mut self, at: usize, id: &str) -> bool {
        self.door(at);
        let now = self.now;
        let Some(mut c) = self.nodes[at].take() else {
            return false;
        };
        self.by_user.insert(id.into());
        let known = c.sync(&self.store) && c.cluster.job(id).is_some_and(|(_, j)| j.is_open());
        let done = known
            && matches!(
                c.cancel(&mut self.store, id, now),
                CommitOutcome::Committed(_)
            );
        digest::note(
            "answer to a cancellation",
            now,
            &(NAMES[at], id, known, done),
        );
        if done {
            self.note_cancelled(id);
            // Told at once, whoever can be reached; the answer does not wait for it.
            self.exchange_of(&mut c, at);
        }
        self.nodes[at] = Some(c);
        done
    }

    /// A user whose submission got no answer sends it again, and is told that it is known.
    pub fn told_again(&mut self, id: &str, spec: JobSpec) {
        self.told.entry(id.into()).or_insert((spec, "pending"));
    }

    /// True if a task of the job was ever started.
    pub fn begun(&self, id: &str) -> bool {
        let of = |t: &(String, u64)| t.0.starts_with(&format!("{id}/"));
        self.hosts.iter().any(|h| h.worker.started.iter().any(of))
    }

    /// True if the job's own user cancelled it.
    pub fn cancelled_by_user(&self, id: &str) -> bool {
        self.by_user.contains(id)
    }

    /// True if a user asked to cancel the job or one that it needs.
    fn asked_before(&self, id: &str) -> bool {
        let awaits = self
            .told
            .get(id)
            .map_or(&[] as &[String], |t| &t.0.dependencies);
        self.by_user.contains(id) || awaits.iter().any(|a| self.asked_before(a))
    }

    /// True if the job is cancelled with one that it needs, by what users were told.
    fn orphan_since(&self, id: &str) -> Option<u64> {
        let awaits = self
            .told
            .get(id)
            .map_or(&[] as &[String], |t| &t.0.dependencies);
        let of = |a: &String| match self.by_user.contains(a) {
            true => self.cancelled.get(a).copied(),
            false => self.orphan_since(a),
        };
        awaits.iter().filter_map(of).min()
    }

    fn note_cancelled(&mut self, id: &str) {
        self.cancelled.entry(id.into()).or_insert(self.now);
        self.by_user.insert(id.into());
        if let Some(t) = self.told.get_mut(id) {
            if t.1 == "done" {
                self.broken.push(format!("{id} went back from done"));
            }
            t.1 = "aborted";
        }
    }

    /// A user asks a controller; what it answers must not be older than what any has told.
    pub fn poll(&mut self, at: usize, id: &str) -> Option<&'static str> {
        self.door(at);
        let c = self.nodes[at].as_mut()?;
        let settled = c.cluster.job(id).is_some_and(|(_, j)| !j.is_open());
        if !settled && !c.sync(&self.store) {
            return None;
        }
        let Some((_, job)) = c.cluster.job(id) else {
            if self.told.contains_key(id) {
                self.broken.push(format!("{id} is not known at {at}"));
            }
            return None;
        };
        let status = ClusterState::status(job);
        digest::note("answer to a poll", self.now, &(NAMES[at], id, status));
        let word = status.0;
        let last = self.told.get_mut(id)?;
        if word == "done" && last.0.kind == JobKind::Array {
            for task in (0..last.0.tasks).map(|t| format!("{id}/{t}")) {
                if !self
                    .hosts
                    .iter()
                    .any(|h| h.worker.completed.contains(&task))
                {
                    self.broken.push(format!("{id} is done without {task}"));
                }
            }
        }
        if matches!(last.1, "done" | "aborted") && word != last.1 {
            self.broken
                .push(format!("{id} went back from {} to {word}", last.1));
        }
        last.1 = word;
        let orphan = self.orphan_since(id);
        if word != "aborted" && orphan.is_some_and(|t| self.now > t + CANCEL_MS) {
            self.broken
                .push(format!("{id} is {word}, though cancelled with another"));
        }
        if word == "aborted" && !self.asked_before(id) {
            self.broken.push(format!("{id} is cancelled by nobody"));
        }
        if word == "aborted" {
            self.cancelled.entry(id.into()).or_insert(self.now);
        }
        Some(word)
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        !self.trouble[a].alone && !self.trouble[b].alone
    }

    fn exchange_of(&mut self, c: &mut Controller, at: usize) {
        for b in 0..3 {
            if b == at || !self.reaches(at, b) {
                continue;
            }
            let now = self.now;
            if let Some(peer) = self.nodes[b].as_mut() {
                c.request(peer, now);
                let owned = |s| c.known.owned_since.get(&s).copied();
                let news = status_updates::own_machine_statuses(
                    &c.cluster,
                    &c.config,
                    MonotonicMillis(now),
                    owned,
                );
                status_updates::apply_machine_statuses(
                    &mut peer.cluster,
                    &peer.config,
                    NAMES[at],
                    news,
                    MonotonicMillis(now),
                );
            }
        }
    }

    /// Delivers an old report of a host once more, to any controller.
    pub fn deliver_old(&mut self, host: usize, which: usize, at: usize) {
        let Some(r) = self.hosts[host].sent.get(which).cloned() else {
            return;
        };
        self.deliver(at, &r);
    }

    /// Lets time pass, half a second at a time.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        self.store.execute_delayed(now);
        if !self.outage {
            self.store.expire_leases(now);
        }
        for at in 0..3 {
            self.door(at);
            let Some(mut c) = self.nodes[at].take() else {
                continue;
            };
            if c.sync(&self.store) {
                c.cluster
                    .cancellation_watermark
                    .record_read(MonotonicMillis(now));
            }
            c.keep_shards(&mut self.store, now);
            if now.is_multiple_of(1000) {
                self.exchange_of(&mut c, at);
            }
            self.nodes[at] = Some(c);
        }
        for h in 0..self.hosts.len() {
            self.host(h);
        }
        for at in 0..3 {
            self.door(at);
            let Some(mut c) = self.nodes[at].take() else {
                continue;
            };
            c.plan(&mut self.store, now);
            if now.is_multiple_of(1000) {
                let turn = ShardIndex((now / 1000 % 2) as u32);
                c.observe(now);
                for victim in preemption::preempt(&c.pass(now), turn) {
                    if let Some(machine) = c.cluster.machine_mut(victim.machine) {
                        machine
                            .decisions
                            .stopping
                            .insert(victim.attempt, victim.grace_s);
                    }
                }
            }
            for p in c.direct_starts(now) {
                let name = c.cluster.machine_names.name(p.machine).clone();
                let how = self.command(at, &name, commands(&p));
                record_direct_start_outcome(&mut c.cluster, &p, how);
            }
            self.announce_ownership(at, &c);
            if now.is_multiple_of(1000) {
                self.probe(at, &mut c);
            }
            for left in c.left.due(&c.cluster, &c.config, MonotonicMillis(now)) {
                self.stop_directly(at, &left);
            }
            self.nodes[at] = Some(c);
        }
        self.check();
    }

    fn host(&mut self, h: usize) {
        let now = self.now;
        let host = &mut self.hosts[h];
        if host.ill.hangs {
            host.worker.expire_lease(now);
            return;
        }
        let cut = host.cut_off;
        let (due, later) = std::mem::take(&mut host.held)
            .into_iter()
            .partition(|(at, _)| *at <= now || *at == u64::MAX && !cut);
        host.held = later;
        for (_, c) in due {
            host.worker.receive_commands(&c, now);
        }
        host.worker.advance(now);
        if now < host.next {
            return;
        }
        let report = host.worker.heartbeat(now);
        host.next = now + REPORT_MS;
        host.sent.push(report.clone());
        if host.ill.mute {
            return;
        }
        let at = host.to;
        let deaf = host.ill.deaf;
        if host.cut_off && (host.worker.zone == "south") != (at == 2) {
            host.lost.push((at, report));
            self.next_node(h);
            return;
        }
        self.door(at);
        let Some(mut c) = self.nodes[at].take() else {
            self.next_node(h);
            return;
        };
        let received = heartbeats::receive(
            &mut c.cluster,
            &c.config,
            &report,
            10_000,
            MonotonicMillis(now),
        );
        let answer = match received {
            HeartbeatOutcome::Accepted(accepted) => {
                c.plan(&mut self.store, now);
                c.observe(now);
                let permits = c.failovers.permits();
                let answer = heartbeats::respond(
                    &mut c.cluster,
                    &c.config,
                    permits,
                    &accepted,
                    MonotonicMillis(now),
                );
                answer.ok_or(None)
            }
            HeartbeatOutcome::NotOwner { owner } => Err(owner),
            HeartbeatOutcome::StaleFencingToken { shard, seen } => {
                c.refused_by_worker(shard, seen.0, now);
                Err(None)
            }
        };
        self.nodes[at] = Some(c);
        let told = (NAMES[at], &report.machine, answer.as_ref().ok());
        digest::note("answer to a report", now, &told);
        digest::note("who is in charge", now, &answer.as_ref().err());
        let host = &mut self.hosts[h];
        if deaf {
            return;
        }
        match answer {
            Ok(a) => {
                let before = host.worker.fencing_token;
                host.worker
                    .receive_response(&a, report.agent_epoch, now, now);
                if host.worker.fencing_token > before {
                    host.next = now + STEP_MS;
                }
            }
            Err(Some(owner)) => {
                host.to = NAMES.iter().position(|n| *n == owner).unwrap_or(0);
                host.next = now + STEP_MS;
            }
            Err(None) => self.next_node(h),
        }
    }

    fn next_node(&mut self, h: usize) {
        let host = &mut self.hosts[h];
        host.to = (host.to + 1) % 3;
        host.next = self.now + 1000;
    }

    fn command(&mut self, at: usize, name: &str, c: DirectCommands) -> DirectStartOutcome {
        let now = self.now;
        digest::note("commands", now, &(NAMES[at], name, &c));
        let Some(host) = self.hosts.iter_mut().find(|h| h.worker.name == name) else {
            return DirectStartOutcome::Unknown;
        };
        if host.cut_off && (host.worker.zone == "south") != (at == 2) {
            // Held by the cut, and delivered when it ends.
            host.held.push((u64::MAX, c));
            return DirectStartOutcome::Unknown;
        }
        if host.ill.hangs || host.ill.slow {
            let late_ms = if host.ill.slow { SLOW_MS } else { 0 };
            host.held.push((now + late_ms, c));
            return DirectStartOutcome::Unknown;
        }
        if host.ill.deaf {
            return DirectStartOutcome::Unknown;
        }
        match host.worker.receive_commands(&c, now) {
            _ if host.ill.loses_answers => DirectStartOutcome::Unknown,
            200 => DirectStartOutcome::Executed,
            _ => DirectStartOutcome::Refused,
        }
    }

    /// Shows the owner's token to machines that still have an older one.
    fn announce_ownership(&mut self, at: usize, c: &Controller) {
        let now = self.now;
        for host in &mut self.hosts {
            let m = c.cluster.machine_names.find(&host.worker.name);
            let Some(m) = m.and_then(|m| c.cluster.machine(m)) else {
                continue;
            };
            let token = c.cluster.shards[m.shard.at()].record.fencing_token;
            let due = c.config.owns(&c.cluster, m.shard) && host.worker.fencing_token < token;
            let cut = host.cut_off && (host.worker.zone == "south") != (at == 2);
            if due && !cut && !host.ill.deaf && !host.ill.hangs {
                let show = DirectCommands {
                    fencing_token: token,
                    agent_epoch: host.worker.agent_epoch,
                    commands: Vec::new(),
                };
                digest::note("token", now, &(NAMES[at], &host.worker.name, &show));
                host.worker.receive_commands(&show, now);
                host.next = now;
            }
        }
    }

    /// Asks machines that seem to hear nothing whether they do after all.
    fn probe(&mut self, at: usize, c: &mut Controller) {
        let now = self.now;
        for target in
            probes::unreachable_machines(&mut c.cluster, &c.config, LEASE_MS, MonotonicMillis(now))
        {
            let name = c.cluster.machine_names.name(target.machine).clone();
            let host = self.hosts.iter().find(|h| *h.worker.name == *name);
            let reached = host.is_some_and(|h| {
                let cut = h.cut_off && (h.worker.zone == "south") != (at == 2);
                !cut && !h.ill.deaf && !h.ill.hangs
            });
            if let Some(m) = c.cluster.machine_mut(target.machine).filter(|_| reached) {
                m.health.mark_reachable(MonotonicMillis(now));
            }
        }
    }

    /// True if some controller is about to return the machine.
    pub fn is_returned(&self, host: &Host) -> bool {
        self.nodes.iter().flatten().any(|c| {
            let machine = c.cluster.machine_names.find(&host.worker.name);
            let machine = machine.and_then(|m| c.cluster.machine(m));
            machine.is_some_and(|m| m.health.quarantined || m.decisions.cordoned)
        })
    }

    fn stop_directly(&mut self, at: usize, left: &CancelledTasks) {
        let now = self.now;
        // All stand-ins have the same address; the tasks tell whose it is.
        for host in &mut self.hosts {
            let cut = host.cut_off && (host.worker.zone == "south") != (at == 2);
            let deaf = host.ill.deaf || host.ill.hangs || cut;
            if deaf || !left.tasks.iter().any(|(t, _)| host.worker.has_task(t)) {
                continue;
            }
            let status = host.worker.heartbeat(now);
            if let Some(c) = direct_stops::stop_commands(&status, &left.tasks) {
                digest::note("direct stop", now, &(NAMES[at], &host.worker.name, &c));
                host.worker.receive_commands(&c, now);
            }
        }
    }

    /// PROTOCOL's rules, on what really runs.
    fn check(&mut self) {
        let mut seen: BTreeSet<String> = BTreeSet::new();
        let mut gpus: BTreeMap<String, f64> = BTreeMap::new();
        let mut zones: BTreeMap<String, &str> = BTreeMap::new();
        let now = self.now;
        for host in &self.hosts {
            let name = &host.worker.name;
            for task in host.worker.running_tasks() {
                let id = task.split('/').next().unwrap_or_default();
                if !seen.insert(task.to_string()) {
                    self.broken.push(format!("{now}: {task} runs twice"));
                }
                if let Some((spec, _)) = self.told.get(id) {
                    *gpus.entry(spec.team.clone()).or_default() += spec.gpus;
                    let zone = host.worker.zone.as_str();
                    let first = zones.entry(id.to_string()).or_insert(zone);
                    let bound = spec.zone.as_ref().is_some_and(|z| z != zone);
                    if bound || spec.one_zone && *first != zone {
                        self.broken.push(format!("{now}: {task} runs in {zone}"));
                    }
                }
                let since = self.cancelled.get(id).map(|t| now - t);
                if since.is_some_and(|t| t > CANCEL_MS) {
                    self.broken
                        .push(format!("{now}: {task} on {name} though cancelled"));
                }
            }
            for task in host.worker.running_tasks() {
                let id = task.split('/').next().unwrap_or_default();
                let awaits = self
                    .told
                    .get(id)
                    .map_or(&[] as &[String], |t| &t.0.dependencies);
                for needed in awaits {
                    if !self.completed(needed) {
                        self.broken
                            .push(format!("{now}: {task} runs before {needed} is done"));
                    }
                }
            }
            for (task, _) in host.worker.started.iter() {
                let at = *self.starts.entry(format!("{name} {task}")).or_insert(now);
                let id = task.split('/').next().unwrap_or_default();
                let late = self.cancelled.get(id).is_some_and(|t| at > t + STARTS_MS);
                if late && at == now {
                    self.broken
                        .push(format!("{now}: {task} started on {name} though cancelled"));
                }
            }
        }
        for (team, used) in gpus {
            let c = self.nodes.iter().flatten().next();
            let most = c.and_then(|c| {
                let t: TeamIndex = c.cluster.team_names.find(&team)?;
                Some(c.cluster.team_limits[t.at()].limit.gpu_milli as f64 / 1000.0)
            });
            if most.is_some_and(|m| m > 0.0 && used > m) {
                self.broken.push(format!("{now}: {team} uses {used}"));
            }
        }
    }

    /// True if workers completed the job: all tasks of an array, any of a gang, whose tasks
    /// complete together.
    pub fn completed(&self, id: &str) -> bool {
        let Some((spec, _)) = self.told.get(id) else {
            return true;
        };
        let mut tasks = (0..spec.tasks).map(|t| format!("{id}/{t}"));
        let done = |task: String| {
            let on = |h: &Host| h.worker.completed.contains(&task);
            self.hosts.iter().any(on)
        };
        match spec.kind {
            JobKind::Gang => tasks.any(done),
            JobKind::Array | JobKind::Service => tasks.all(done),
        }
    }

    /// True if the job is complete and a worker that is heard can still tell so.
    pub fn shows_completion(&self, id: &str) -> bool {
        let shows = |h: &Host| h.worker.reports_completion_of(id);
        self.completed(id) && self.hosts.iter().any(shows)
    }

    /// Nothing of a cancelled job is left.
    pub fn keeps_nothing_of(&self, id: &str) {
        assert!(!self.runs(id), "{id} still runs");
    }

    /// True if a task of the job is on any machine, image there or not.
    pub fn runs(&self, id: &str) -> bool {
        self.tasks_on_machines(id) > 0
    }

    /// How many of a job's tasks are on machines, image there or not.
    pub fn tasks_on_machines(&self, id: &str) -> usize {
        self.hosts
            .iter()
            .map(|h| h.worker.active_task_count_of(id))
            .sum()
    }

    /// Accepted jobs with their descriptions.
    pub fn accepted_jobs(&self) -> impl Iterator<Item = (&str, &JobSpec)> {
        self.told.iter().map(|(id, t)| (id.as_str(), &t.0))
    }

    /// The first live controller.
    pub fn first_controller(&self) -> &Controller {
        self.nodes.iter().flatten().next().expect("a controller")
    }

    /// True if the job is over, as the first live controller knows it.
    pub fn is_over(&self, id: &str) -> bool {
        let known = self.first_controller().cluster.job(id);
        known.is_some_and(|(_, j)| !j.is_open())
    }

    /// All rules held; once troubles are over each accepted job is over or known everywhere.
    pub fn keeps_the_rules(&mut self) {
        for at in 0..3 {
            let ids: Vec<String> = self.told.keys().cloned().collect();
            for id in ids {
                self.poll(at, &id);
            }
        }
        assert!(self.broken.is_empty(), "{:#?}", self.broken);
    }

    /// Services that are open, those accepted by a transaction without an answer included.
    pub fn services(&self) -> Vec<String> {
        let c = self.first_controller();
        let service = |s: &JobSpec| s.kind == JobKind::Service;
        let open = c.cluster.active_jobs().filter(|(_, j)| j.is_open());
        let open = open.filter(|(_, j)| j.spec.as_ref().is_some_and(|s| service(&s.wire)));
        open.map(|(_, j)| j.id.to_string()).collect()
    }

    /// How many starts were executed.
    pub fn started(&self) -> usize {
        let starts = self.hosts.iter().map(|h| h.worker.started.len());
        starts.sum()
    }

    /// How many of the accepted jobs are over.
    pub fn over(&mut self) -> usize {
        self.told.keys().filter(|id| self.is_over(id)).count()
    }

    /// Accepted jobs that are not over, as the first live controller knows them.
    pub fn unfinished(&self) -> Vec<String> {
        let c = self.first_controller();
        let open = self.told.keys().filter(|id| !self.is_over(id));
        open.map(|id| format!("{id}: {:?}", c.cluster.job(id)))
            .collect()
    }

    pub fn accepted(&self) -> usize {
        self.told.len()
    }
}
