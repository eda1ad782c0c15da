//! A controller without sockets: the same decisions, committed to the store stand-in.

use super::cloud::machine_type;
use super::digest;
use super::kv_store::{FakeKvStore, NO_RESPONSE};
use super::worker::FakeWorker;
use pointhook::coordination::cancellations::{self, direct_stops::CancelledTaskSweeper};
use pointhook::coordination::kv::{apply_outcome, set, transaction, CommitOutcome};
use pointhook::coordination::reconciliation;
use pointhook::coordination::scheduler::claims;
use pointhook::coordination::scheduler::config::SchedulerConfig;
use pointhook::coordination::scheduler::direct_starts::{direct_starts, DirectStart};
use pointhook::coordination::scheduler::draft::DraftTransaction;
use pointhook::coordination::scheduler::pass::PassContext;
use pointhook::coordination::scheduler::quota;
use pointhook::coordination::{failover, heartbeats, membership};
use pointhook::protocol::cloud::MachineTypeCatalog;
use pointhook::protocol::kv::Limits;
use pointhook::protocol::kv::{Condition, Transaction};
use pointhook::protocol::users::JobSpec;
use pointhook::protocol::workers::{DirectCommands, Heartbeat, HeartbeatResponse};
use pointhook::settings::Team;
use pointhook::state::cancellation_watermark::CancellationWatermark;
use pointhook::state::cluster_state::{ClusterState, ControllerRecord, ROOT};
use pointhook::state::job::{JobRecord, JobState};
use pointhook::state::names::{Index, JobIndex, MachineIndex, ShardIndex, ZoneIndex};
use pointhook::state::records::{RECORD_FORMAT_V2, STANDBY_VERSION};
use pointhook::state::units::Incarnation;
use pointhook::state::units::MonotonicMillis;
use standby::failover::{FailoverState, Failovers, Refusal};
use standby::ids::{FencingToken, Millis, Revision, ShardId};
use std::collections::{BTreeMap, HashMap};

pub struct Controller {
    pub cluster: ClusterState,
    pub config: SchedulerConfig,
    pub lease: u64,
    pub zones: BTreeMap<String, ZoneIndex>,
    /// Names of the others, by the index of what they vouch for.
    pub peers: Vec<String>,
    pub began: u64,
    pub left: CancelledTaskSweeper,
    /// Since when its shards and other nodes are there, as membership keeps it.
    pub known: membership::MembershipView,
    /// Whether it has the warm standby.
    pub standby: Standby,
    /// Takeovers of its shards, and the permits that they issue.
    pub failovers: Failovers,
    /// Shards that it has stepped down from, as it said.
    pub stepped_down: Vec<ShardIndex>,
    raised: u64,
    cascaded: bool,
}

/// Time for cancellations.
pub const CANCEL_MS: u64 = 24_000;
/// Workers' lease.
pub const LEASE_MS: u64 = 10_000;
/// What is left of both, as the settings reckon it.
pub const RENEW_MS: u64 = CANCEL_MS - LEASE_MS - 1534;

/// Whether a controller has the warm standby.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Standby {
    #[default]
    Off,
    /// Standbys in the owner's zone first.
    SameZone,
    /// Standbys in another zone first.
    OtherZone,
}

impl Standby {
    fn version(self) -> u32 {
        match self {
            Standby::Off => 0,
            Standby::SameZone | Standby::OtherZone => STANDBY_VERSION,
        }
    }
}

pub fn team(name: &str, gpus_max: f64) -> Team {
    Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max,
    }
}

/// A store and one controller that owns all shards.
pub fn one() -> (FakeKvStore, Controller) {
    let mut store = FakeKvStore::default();
    let mut c = Controller::start("n1", 1, &mut store, 0);
    assert_eq!(c.members(&mut store, 0), 3);
    (store, c)
}

/// Lets workers report every half second.
pub fn play(
    c: &mut Controller,
    store: &mut FakeKvStore,
    workers: &mut [&mut FakeWorker],
    from: u64,
    to: u64,
) {
    for now in (from..to).step_by(500) {
        for w in workers.iter_mut() {
            c.visit(store, w, now);
        }
    }
}

impl Controller {
    /// A controller that has its key and knows the records.
    pub fn start(name: &str, incarnation: u64, store: &mut FakeKvStore, now: u64) -> Controller {
        Controller::start_as(name, incarnation, Standby::Off, store, now)
    }

    /// The same, with or without the warm standby.
    pub fn start_as(
        name: &str,
        incarnation: u64,
        standby: Standby,
        store: &mut FakeKvStore,
        now: u64,
    ) -> Controller {
        let zones = ["north".to_string(), "south".to_string()];
        let cluster = ClusterState::new(&zones, &[team("ovens", 0.0), team("mixers", 2.0)], 1);
        let config = SchedulerConfig {
            controller_name: name.into(),
            incarnation: Incarnation(incarnation),
            unresponsive_ms: 4000,
            queue_cap: 2,
            steal_after_ms: 2000,
            gang_reservation_after_ms: 5000,
            spot_patience_ms: 10_000,
            capacity_buffer_spot: 0.0,
            capacity_buffer_on_demand: 0.0,
            lease_expiry_ms: 12_020,
            max_watermark_age_ms: RENEW_MS,
            cancel_ms: CANCEL_MS,
            completion_targets: HashMap::new(),
            limits_now: Limits {
                txn_ops: store.max_txn_ops,
                value_bytes: store.max_value_bytes * 9 / 10,
                write_rps: f64::MAX,
            },
            limits_next: Limits::UNLIMITED,
            limits_observed: std::cell::Cell::new(Limits::UNLIMITED),
        };
        let mut c = Controller {
            zones: BTreeMap::from([
                ("n1".to_string(), ZoneIndex(0)),
                ("s1".to_string(), ZoneIndex(1)),
            ]),
            cluster,
            config,
            lease: store.grant_lease(4000, now),
            peers: Vec::new(),
            began: now,
            left: CancelledTaskSweeper::default(),
            known: membership::MembershipView::default(),
            failovers: Failovers::new(3),
            standby,
            stepped_down: Vec::new(),
            raised: 0,
            cascaded: false,
        };
        c.cluster.set_machine_types(&MachineTypeCatalog {
            types: vec![machine_type()],
        });
        let page = store.read_page(ROOT, "", 1000);
        c.cluster.take_all(&page.entries, page.revision);
        let key = format!("{ROOT}node/{name}");
        let txn = Transaction {
            conditions: vec![Condition {
                key: key.clone(),
                version: store.version(&key),
            }],
            writes: set(
                key,
                &ControllerRecord {
                    incarnation: Incarnation(incarnation),
                    record_format: RECORD_FORMAT_V2,
                    standby_version: standby.version(),
                },
                Some(c.lease),
            )
            .into_iter()
            .collect(),
        };
        assert_eq!(digest::commit(store, &txn, now).status, 200);
        c.sync(store);
        c
    }

    /// Reads the newest changes; false while the store is down.
    pub fn sync(&mut self, store: &FakeKvStore) -> bool {
        let from = self.cluster.revision;
        let response = store.watch(ROOT, from);
        match (response.status, response.body) {
            (200, Some(c)) => {
                self.cluster.take_changes(from, c.revision, &c.events);
                true
            }
            (410, _) => {
                let page = store.read_page(ROOT, "", 1000);
                self.cluster.take_all(&page.entries, page.revision);
                true
            }
            _ => false,
        }
    }

    pub fn send(store: &mut FakeKvStore, txn: &Transaction, now: u64) -> CommitOutcome {
        let response = digest::commit(store, txn, now);
        match (response.status, response.body) {
            (200, Some(c)) => CommitOutcome::Committed(c.revision),
            (409, Some(c)) => CommitOutcome::Conflict(c.failed),
            (NO_RESPONSE, _) => CommitOutcome::Unknown,
            (s, _) => CommitOutcome::Refused(s),
        }
    }

    /// Takes and hands over shards as membership wants; the moves that were committed.
    pub fn members(&mut self, store: &mut FakeKvStore, now: u64) -> usize {
        let view = membership::MembershipView {
            owned_since: self.owned_for_long(),
            ..Default::default()
        };
        let moves = self.assignment(&view, true, now).moves();
        let mut done = 0;
        for m in moves {
            let (txn, _) = membership::move_transaction(&self.cluster, &m).expect("a live target");
            if matches!(Self::send(store, &txn, now), CommitOutcome::Committed(_)) {
                done += 1;
            }
        }
        self.sync(store);
        done
    }

    /// What it would decide on the owners of shards by a view.
    pub fn assignment<'a>(
        &'a self,
        view: &'a membership::MembershipView,
        may_raise_tokens: bool,
        now: u64,
    ) -> membership::Assignment<'a> {
        membership::Assignment {
            cluster: &self.cluster,
            config: &self.config,
            zones: &self.zones,
            view,
            may_raise_tokens,
            now: MonotonicMillis(now),
        }
    }

    /// All shards, as if they had been here for long.
    pub fn owned_for_long(&self) -> HashMap<ShardIndex, MonotonicMillis> {
        let shards = (0..self.cluster.shards.len()).map(ShardIndex::new);
        shards.map(|s| (s, MonotonicMillis(0))).collect()
    }

    pub fn owns(&self, shard: usize) -> bool {
        self.config.owns(&self.cluster, ShardIndex::new(shard))
    }

    pub fn submit(&mut self, store: &mut FakeKvStore, spec: JobSpec, now: u64) -> CommitOutcome {
        let key = ClusterState::job_key(&spec.id);
        let rec = JobRecord::submitted(spec, now);
        let txn = Transaction {
            conditions: vec![Condition {
                key: key.clone(),
                version: 0,
            }],
            writes: set(key, &rec, None).into_iter().collect(),
        };
        let out = Self::send(store, &txn, now);
        self.sync(store);
        out
    }

    pub fn cancel(&mut self, store: &mut FakeKvStore, id: &str, now: u64) -> CommitOutcome {
        let (ix, job) = self
            .cluster
            .job(id)
            .map(|(ix, j)| (ix, j.clone()))
            .expect("known job");
        let mut draft = DraftTransaction::default();
        draft.jobs.insert(
            ix,
            pointhook::state::job::Job {
                state: JobState::Cancelled,
                ..job
            },
        );
        let out = Self::send(store, &transaction(&self.cluster, &draft), now);
        apply_outcome(&mut self.cluster, &draft, &out);
        out
    }

    /// Brings failovers up to date with the view.
    pub fn observe(&mut self, now: u64) {
        for at in 0..self.cluster.shards.len() {
            let shard = ShardIndex::new(at);
            let now = MonotonicMillis(now);
            let standby = membership::standby_of(&self.cluster, &self.known, shard, now);
            let view = failover::ShardView {
                cluster: &self.cluster,
                config: &self.config,
                shard,
                is_standby: standby == Some(self.config.controller_name.as_str()),
                owner_last_contact: Some(now),
                now,
            };
            let observation = view.observe();
            for change in self
                .failovers
                .observe(shard.into(), observation, now.into())
            {
                if change.to == FailoverState::SteppedDown {
                    self.stepped_down.push(shard);
                }
            }
        }
    }

    /// A worker has shown a higher token than the own one of its shard.
    pub fn refused_by_worker(&mut self, shard: ShardIndex, seen: u64, now: u64) {
        let refusal = Refusal::Worker {
            seen: FencingToken(seen),
        };
        let known = Revision(self.cluster.revision);
        let now = Millis(now);
        let change = self
            .failovers
            .token_refused(ShardId(shard.0), refusal, known, now);
        if change.is_some() {
            self.stepped_down.push(shard);
        }
    }

    /// What a pass would commit.
    pub fn draft(&mut self, now: u64) -> DraftTransaction {
        self.observe(now);
        let pass = self.pass(now);
        let mut d = DraftTransaction::batching(false);
        if now.is_multiple_of(1000) && !self.cascaded {
            d.cascade_budget = 2;
        }
        reconciliation::reconcile(&pass, &mut d);
        claims::claim(&pass, &mut d);
        quota::lower_unused_quota(&pass, &mut d);
        d
    }

    /// What a pass looks at, with the same time of day as of the steady clock.
    pub fn pass(&self, now: u64) -> PassContext<'_> {
        PassContext {
            cluster: &self.cluster,
            config: &self.config,
            permits: self.failovers.permits(),
            now: MonotonicMillis(now),
            wall_ms: now,
        }
    }

    /// Passes until nothing changes any more.
    pub fn plan(&mut self, store: &mut FakeKvStore, now: u64) {
        self.cascaded = false;
        for _ in 0..60 {
            let draft = self.draft(now);
            self.cascaded = true;
            if draft.is_empty() {
                return;
            }
            reconciliation::mark_abandoned(&mut self.cluster, &draft);
            let out = Self::send(store, &transaction(&self.cluster, &draft), now);
            apply_outcome(&mut self.cluster, &draft, &out);
            // As the duty does: what was refused is tried again at its next turn.
            if matches!(out, CommitOutcome::Unknown | CommitOutcome::Refused(_)) {
                self.sync(store);
                return;
            }
            if !matches!(out, CommitOutcome::Committed(_)) && !self.sync(store) {
                return;
            }
        }
        panic!("passes never end");
    }

    /// The same as [`Controller::report`] while the state service is out of this node's reach.
    pub fn report_without_store(&mut self, r: &Heartbeat, now: u64) -> Option<HeartbeatResponse> {
        let mut nothing = FakeKvStore::unreachable();
        self.report(&mut nothing, r, now)
    }

    /// Takes a report and answers it; `None` is 421.
    pub fn report(
        &mut self,
        store: &mut FakeKvStore,
        r: &Heartbeat,
        now: u64,
    ) -> Option<HeartbeatResponse> {
        let received = heartbeats::receive(
            &mut self.cluster,
            &self.config,
            r,
            10_000,
            MonotonicMillis(now),
        );
        let heartbeats::HeartbeatOutcome::Accepted(accepted) = received else {
            digest::note("report not taken", now, &r.machine);
            return None;
        };
        self.plan(store, now);
        self.observe(now);
        let answer = heartbeats::respond(
            &mut self.cluster,
            &self.config,
            self.failovers.permits(),
            &accepted,
            MonotonicMillis(now),
        );
        digest::note("answer to a report", now, &(&r.machine, &answer));
        answer
    }

    /// One report of a worker, answered and executed at once; false for 421. A worker that
    /// learns a higher token reports once more.
    pub fn visit(&mut self, store: &mut FakeKvStore, w: &mut FakeWorker, now: u64) -> bool {
        let before = w.fencing_token;
        let took = self.visit_once(store, w, now);
        if took && w.fencing_token > before {
            return self.visit_once(store, w, now);
        }
        took
    }

    fn visit_once(&mut self, store: &mut FakeKvStore, w: &mut FakeWorker, now: u64) -> bool {
        let r = w.heartbeat(now);
        match self.report(store, &r, now) {
            Some(a) => w.receive_response(&a, r.agent_epoch, now, now),
            None => false,
        }
    }

    /// One of several controllers: it knows of the others.
    pub fn among(mut self, names: &[&str], zones: &[(&str, u32)]) -> Controller {
        let others = names.iter().filter(|n| **n != self.config.controller_name);
        self.peers = others.map(|n| n.to_string()).collect();
        self.cluster.cancellation_watermark =
            CancellationWatermark::new(self.peers.len(), MonotonicMillis(self.began));
        self.zones = zones
            .iter()
            .map(|(n, z)| (n.to_string(), ZoneIndex(*z)))
            .collect();
        if self.standby != Standby::Off {
            self.known.standby = Some(membership::StandbyRule {
                zones: self.zones.clone(),
                prefer_other_zone: self.standby == Standby::OtherZone,
                settle_ms: 2500,
            });
        }
        self
    }

    /// Keeps its key, takes and hands over shards, with the times that the duty keeps.
    pub fn keep_shards(&mut self, store: &mut FakeKvStore, now: u64) {
        let me = self.config.controller_name.clone();
        if !store.unavailable && !store.renew_lease(self.lease, now) {
            self.lease = store.grant_lease(4000, now);
        }
        let mine = self
            .cluster
            .controllers
            .get(&me)
            .map(|r| r.record.incarnation);
        if !store.unavailable && mine != Some(self.config.incarnation) {
            let key = format!("{ROOT}node/{me}");
            let rec = ControllerRecord {
                incarnation: self.config.incarnation,
                record_format: RECORD_FORMAT_V2,
                standby_version: self.standby.version(),
            };
            let txn = Transaction {
                conditions: vec![Condition {
                    version: self.cluster.controllers.get(&me).map_or(0, |n| n.version),
                    key: key.clone(),
                }],
                writes: set(key, &rec, Some(self.lease)).into_iter().collect(),
            };
            Self::send(store, &txn, now);
            self.sync(store);
            return;
        }
        let cluster = &self.cluster;
        let nodes = &cluster.controllers;
        let there =
            |n: &String, i: Incarnation| nodes.get(n).is_some_and(|r| r.record.incarnation == i);
        self.known.first_seen.retain(|(n, i), _| there(n, *i));
        for (n, r) in nodes {
            let key = (n.clone(), r.record.incarnation);
            self.known
                .first_seen
                .entry(key)
                .or_insert(MonotonicMillis(now));
        }
        for s in (0..cluster.shards.len()).map(ShardIndex::new) {
            if self.config.owns(cluster, s) {
                self.known
                    .owned_since
                    .entry(s)
                    .or_insert(MonotonicMillis(now));
            } else {
                self.known.owned_since.remove(&s);
            }
            if cluster.live_owner(s).is_some() {
                self.known.ownerless_since.remove(&s);
            } else {
                self.known
                    .ownerless_since
                    .entry(s)
                    .or_insert(MonotonicMillis(now));
            }
        }
        if mine != Some(self.config.incarnation) {
            return;
        }
        let may_raise = now >= self.raised + 5000;
        if may_raise {
            self.raised = now;
        }
        let moves = self.assignment(&self.known, may_raise, now).moves();
        for m in moves {
            self.execute_moves(store, &m, now);
            self.sync(store);
        }
    }

    /// Carries a move out as the duty does: what it recorded is known before any newer change.
    pub fn execute_moves(
        &mut self,
        store: &mut FakeKvStore,
        m: &membership::Move,
        now: u64,
    ) -> CommitOutcome {
        let Some((txn, record)) = membership::move_transaction(&self.cluster, m) else {
            return CommitOutcome::Refused(0);
        };
        let (id, at) = (ShardId(m.shard.0), Millis(now));
        if m.to == self.config.controller_name {
            self.failovers.fence_sent(id, at);
        }
        let outcome = Self::send(store, &txn, now);
        match &outcome {
            CommitOutcome::Committed(revision) => {
                let slot = &mut self.cluster.shards[m.shard.at()];
                slot.version = *revision;
                slot.record = record;
            }
            CommitOutcome::Conflict(_) | CommitOutcome::Refused(_) => {
                self.failovers.fence_refused(id, at);
            }
            CommitOutcome::Unknown => {}
        }
        outcome
    }

    /// Asks a peer for the cancellations it knows, telling those known here.
    pub fn request(&mut self, peer: &mut Controller, now: u64) {
        let jobs = cancellations::cancelled_jobs_to_send(&self.cluster);
        cancellations::record_cancellations(&mut peer.cluster, &jobs);
        let reply = cancellations::attestation_response(
            &peer.cluster,
            MonotonicMillis(now),
            now - peer.began,
        );
        let at = self
            .peers
            .iter()
            .position(|p| *p == peer.config.controller_name);
        let at = at.expect("a peer of its own");
        cancellations::apply_peer_response(
            &mut self.cluster,
            at,
            MonotonicMillis(now),
            MonotonicMillis(now),
            &reply,
        );
    }

    pub fn direct_starts(&mut self, now: u64) -> Vec<DirectStart> {
        self.observe(now);
        let permits = self.failovers.permits();
        direct_starts(
            &mut self.cluster,
            &self.config,
            permits,
            MonotonicMillis(now),
            || true,
        )
    }

    pub fn machine(&self, name: &str) -> MachineIndex {
        self.cluster
            .machine_names
            .find(name)
            .expect("known machine")
    }

    pub fn job_ix(&self, id: &str) -> JobIndex {
        self.cluster.job(id).expect("known job").0
    }

    pub fn job(&self, id: &str) -> &pointhook::state::job::Job {
        self.cluster.job(id).expect("known job").1
    }
}

/// Direct commands of a push.
pub fn commands(p: &DirectStart) -> DirectCommands {
    DirectCommands {
        fencing_token: p.fencing_token,
        agent_epoch: p.agent_epoch,
        commands: p.commands.clone(),
    }
}
