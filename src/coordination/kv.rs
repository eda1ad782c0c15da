//! Dealings with the state service: transactions, the watch and fresh reads.

use crate::coordination::controller::Controller;
use crate::coordination::reconciliation;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::protocol::kv::{Changes, Committed, Condition, Event, Page, Transaction, Write};
use crate::state::cluster_state::{ClusterState, ROOT};
use crate::state::job::Job;
use crate::state::names::{Index, JobIndex};
use crate::state::records::OverflowRecord;
use crate::state::units::MonotonicMillis;
use crate::transport::http::{jittered, ClientResponse};
use crate::transport::{pause, TransportError};
use http_types::Method;
use std::collections::HashSet;
use std::rc::Rc;

/// How a transaction ended.
#[derive(Debug, PartialEq)]
pub enum CommitOutcome {
    /// Applied at this revision.
    Committed(u64),
    /// Nothing applied: these keys had other versions.
    Conflict(Vec<String>),
    /// Nothing applied: the service does not serve now.
    Refused(u16),
    /// Nothing is known: it may be applied, even later.
    Unknown,
}

const CALL_MS: u64 = 1500;
const WATCH_MS: u64 = 5000;
/// Time without news after which a node asks how much it has missed.
const BEHIND_MS: u64 = 20_000;
/// Changes that an answer to a watch may tell of; after more, all records are read by pages.
const MOST_MISSED: u64 = 2000;
/// Part of the limit on requests that fresh reads of all nodes may take.
const READS_PART: f64 = 0.3;

impl Controller {
    fn record_kv_response(&self, answer: &Result<ClientResponse, TransportError>) {
        if let Ok(f) = answer {
            if f.status != 503 {
                self.kv_last_available.set(Some(self.now()));
            }
        }
    }

    /// One call to the state service.
    pub async fn kv_call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<ClientResponse, TransportError> {
        let answer = self.kv.call(method, path, body, CALL_MS).await;
        self.record_kv_response(&answer);
        if answer.is_err() {
            // Kept connections of before a cut hang; new ones tell at once.
            self.kv.reset();
        }
        answer
    }

    /// One transaction, sent once.
    pub async fn commit(&self, txn: &Transaction) -> CommitOutcome {
        let Ok(body) = rmp_serde::to_vec_named(txn) else {
            return CommitOutcome::Refused(400);
        };
        match self.kv_call(Method::Post, "/commit", body).await {
            Ok(f) => match (f.status, rmp_serde::from_slice::<Committed>(&f.body)) {
                (200, Ok(c)) => CommitOutcome::Committed(c.revision),
                (409, Ok(c)) => CommitOutcome::Conflict(c.failed),
                (200 | 409, Err(_)) => CommitOutcome::Unknown,
                (s @ (400 | 429 | 503), _) => CommitOutcome::Refused(s),
                _ => CommitOutcome::Unknown,
            },
            Err(TransportError::Connect { .. }) => CommitOutcome::Refused(0),
            Err(_) => CommitOutcome::Unknown,
        }
    }

    /// Commits a draft and takes it over into the view.
    pub async fn commit_draft(&self, draft: &DraftTransaction) -> CommitOutcome {
        reconciliation::mark_abandoned(&mut self.cluster.borrow_mut(), draft);
        let txn = transaction(&self.cluster.borrow(), draft);
        let outcome = self.commit(&txn).await;
        if outcome == CommitOutcome::Refused(400) {
            self.adapt_limits(&txn);
        }
        apply_outcome(&mut self.cluster.borrow_mut(), draft, &outcome);
        outcome
    }

    /// Takes a refusal of a transaction that is well formed as news of a smaller limit.
    fn adapt_limits(&self, txn: &Transaction) {
        let size = |w: &Write| match w {
            Write::Set { v, .. } => v.to_string().len(),
            Write::Remove { .. } => 0,
        };
        let largest = txn.writes.iter().map(size).max().unwrap_or(0);
        let seen = &self.config.limits_observed;
        let (before, changes) = (seen.get(), txn.writes.len());
        let after = before.refused(changes, largest);
        if after != before {
            log::warn!(
                "the state service refused {changes} changes, the largest of {largest} bytes: \
                 from now on {} changes and {} bytes at most",
                after.txn_ops,
                after.value_bytes
            );
            seen.set(after);
        }
    }

    /// Brings the view up to the state of now; false if the state service is out of reach.
    pub async fn refresh(&self, ms: u64) -> bool {
        self.fresh_reads.request_round(ms).await.unwrap_or(false)
    }

    async fn load_all(&self) -> bool {
        let began = self.now();
        let mut fleeting = HashSet::new();
        let mut keys = 0;
        let mut revision = None;
        let mut from = String::new();
        loop {
            let path = format!("/keys?prefix={ROOT}&most=500{from}");
            let Ok(f) = self.kv_call(Method::Get, &path, Vec::new()).await else {
                return false;
            };
            let Ok(page) = rmp_serde::from_slice::<Page>(&f.body) else {
                return false;
            };
            revision.get_or_insert(page.revision);
            keys += page.entries.len();
            self.cluster
                .borrow_mut()
                .take_page(&page.entries, &mut fleeting);
            match page.entries.last() {
                Some(last) if page.more => from = format!("&from={}", last.key),
                _ => break,
            }
        }
        let mut cluster = self.cluster.borrow_mut();
        cluster.end_read(&fleeting, revision.unwrap_or(0));
        cluster.cancellation_watermark.record_read(began);
        self.view_updated_at.set(Some(self.now()));
        log::info!(
            "records read: {keys} keys, {} open jobs, revision {}",
            cluster.active.len(),
            cluster.revision
        );
        true
    }

    /// How many changes the view lacks.
    async fn missed_changes(&self) -> Option<u64> {
        // A key that is never there: the answer is nothing but the revision.
        let path = format!("/keys/{ROOT}none");
        let f = self.kv_call(Method::Get, &path, Vec::new()).await.ok()?;
        let now = rmp_serde::from_slice::<Committed>(&f.body).ok()?.revision;
        Some(now.saturating_sub(self.cluster.borrow().revision))
    }

    /// One watch call; false if it did not bring the view up to date.
    async fn watch_once(&self, wait_ms: u64) -> bool {
        // An answer to a watch has no size limit: all that was missed in a long cut could be
        // more than this process may hold, while pages are small.
        if watch_is_stale(self.view_updated_at.get(), self.now()) {
            match self.missed_changes().await {
                Some(n) if n > MOST_MISSED => return self.load_all().await,
                Some(_) => {}
                None => return false,
            }
        }
        let began = self.now();
        let from = self.cluster.borrow().revision;
        let path = format!("/watch?prefix={ROOT}&from={from}&wait_ms={wait_ms}");
        let answer = if wait_ms == 0 {
            self.kv_call(Method::Get, &path, Vec::new()).await
        } else {
            let a = self
                .kv_watch
                .call(Method::Get, &path, Vec::new(), wait_ms + 2000)
                .await;
            self.record_kv_response(&a);
            a
        };
        let Ok(f) = answer else {
            self.kv_watch.reset();
            return false;
        };
        match f.status {
            200 => {
                let Ok(c) = rmp_serde::from_slice::<Changes>(&f.body) else {
                    log::warn!("state service: unreadable answer to a watch");
                    return false;
                };
                {
                    let mut cluster = self.cluster.borrow_mut();
                    cluster.take_changes(from, c.revision, &c.events);
                    cluster.cancellation_watermark.record_read(began);
                }
                if c.events.iter().any(affects_membership) {
                    self.membership.notify();
                }
                self.view_updated_at.set(Some(self.now()));
                if !c.events.is_empty() {
                    self.scheduling.notify();
                }
                true
            }
            410 => {
                log::warn!("watch at revision {from} is too old, reading all records");
                self.load_all().await
            }
            _ => false,
        }
    }
}

/// True for changes of nodes and shards.
fn affects_membership(e: &Event) -> bool {
    let key = e.set.as_ref().or(e.remove.as_ref());
    let kind = key.and_then(|k| k.strip_prefix(ROOT)?.split_once('/'));
    matches!(kind, Some(("node" | "shard", _)))
}

/// True if the view was current so long ago that much may have been missed.
pub fn watch_is_stale(current: Option<MonotonicMillis>, now: MonotonicMillis) -> bool {
    current.is_some_and(|t| now.since(t) > BEHIND_MS)
}

/// The transaction of a draft: conditional on every record it changes or rests on.
pub fn transaction(cluster: &ClusterState, draft: &DraftTransaction) -> Transaction {
    let mut txn = Transaction::default();
    let mut condition = |key: String, version| txn.conditions.push(Condition { key, version });
    for ix in draft.jobs.keys() {
        let job = &cluster.jobs[ix.at()];
        condition(ClusterState::job_key(&job.id), job.version);
    }
    for s in draft.shards().keys() {
        condition(cluster.shard_key(*s), cluster.shards[s.at()].version);
    }
    for t in draft.team_quotas.keys() {
        condition(cluster.team_key(*t), cluster.team_quotas[t.at()].version);
    }
    for (ix, job) in &draft.jobs {
        txn.writes.extend(set(
            ClusterState::job_key(&job.id),
            &cluster.record(job),
            None,
        ));
        // Parts change with their job's record only, whose version so stands for all of them.
        for part in cluster.changed_overflows(*ix, job) {
            let key = ClusterState::overflow_key(&job.id, part);
            let placements = cluster.stored_overflow(job, part);
            txn.writes.extend(match placements.is_empty() {
                true => Some(Write::Remove { remove: key }),
                false => set(key, &OverflowRecord { placements }, None),
            });
        }
    }
    for (t, rec) in &draft.team_quotas {
        txn.writes.extend(set(cluster.team_key(*t), rec, None));
    }
    txn
}

/// Takes the outcome of a draft over into the view.
pub fn apply_outcome(
    cluster: &mut ClusterState,
    draft: &DraftTransaction,
    outcome: &CommitOutcome,
) {
    match outcome {
        CommitOutcome::Committed(revision) => {
            for (ix, job) in &draft.jobs {
                let rec = cluster.record(job);
                let parts = cluster.changed_overflows(*ix, job).into_iter();
                let parts: Vec<_> = parts
                    .map(|p| (p, cluster.stored_overflow(job, p)))
                    .collect();
                cluster.put_job(&job.id, *revision, &rec);
                for (part, stored) in parts {
                    cluster.put_overflow(&job.id, part, *revision, &stored);
                }
            }
            for (t, rec) in &draft.team_quotas {
                cluster.put_team(*t, *revision, rec.clone());
            }
        }
        // It may still be applied, until the records have other versions.
        CommitOutcome::Unknown => {
            let unchanged =
                |(ix, j): &(&JobIndex, &Job)| cluster.jobs[ix.at()].version == j.version;
            let doubtful: Vec<JobIndex> = draft
                .jobs
                .iter()
                .filter(unchanged)
                .map(|(ix, _)| *ix)
                .collect();
            cluster.jobs_with_unknown_outcome.extend(doubtful);
            cluster
                .teams_with_unknown_outcome
                .extend(draft.team_quotas.keys());
        }
        CommitOutcome::Conflict(_) | CommitOutcome::Refused(_) => {}
    }
}

/// A put, if the value can be stored.
pub fn set<T: serde::Serialize>(key: String, value: &T, lease: Option<u64>) -> Option<Write> {
    // By way of bytes: the same named maps that the service reads back.
    let bytes = rmp_serde::to_vec_named(value).ok()?;
    let v = rmp_serde::from_slice(&bytes).ok()?;
    Some(Write::Set { set: key, v, lease })
}

/// Duty: keeps the view close to the records.
pub async fn watch(controller: Rc<Controller>) {
    loop {
        let loaded = controller.cluster.borrow().loaded;
        let ok = if loaded {
            controller.watch_once(WATCH_MS).await
        } else {
            controller.load_all().await
        };
        if !ok {
            pause(jittered(300)).await;
        }
    }
}

/// Duty: serves all who need the state of now with one read each time.
///
/// The more come, the more share one: all nodes together leave most of the service's limit on
/// requests to the watches and transactions.
pub async fn fresh_reads(controller: Rc<Controller>) {
    let nodes = controller.peers.len() as f64 + 1.0;
    let apart_ms = nodes * 1000.0 / (controller.platform.settings.kv.rps * READS_PART);
    let mut began = MonotonicMillis(0);
    loop {
        controller.fresh_reads.notified(60_000).await;
        let left = (apart_ms as u64).saturating_sub(controller.now().since(began));
        if left > 0 {
            pause(left).await;
        }
        began = controller.now();
        let waiters = controller.fresh_reads.take_waiters();
        if waiters.is_empty() {
            continue;
        }
        let mut ok = false;
        // Over the limit a read is refused; the next moment's may not be.
        for _ in 0..3 {
            ok = controller.cluster.borrow().loaded && controller.watch_once(0).await;
            if ok {
                break;
            }
            pause(60).await;
        }
        for w in waiters {
            let _ = w.try_send(ok);
        }
    }
}
