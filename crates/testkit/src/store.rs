//! The state service: keys with versions, transactions, leases, watches, limits.

use pointhook::protocol::kv::{
    Changes, Committed, Condition, Entry, Event, Page, Transaction, Write,
};
use rmpv::Value;
use std::collections::BTreeMap;

struct Kept {
    v: Value,
    version: u64,
    lease: Option<u64>,
}

/// A state service.
pub struct Store {
    /// Revision of the last change.
    pub revision: u64,
    keys: BTreeMap<String, Kept>,
    log: Vec<Event>,
    forgotten: u64,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    /// Changes that a transaction may have.
    pub txn_ops: usize,
    /// Size that a value may have.
    pub value_bytes: usize,
    /// Changes that are kept for watches.
    pub kept_changes: usize,
    /// Puts and deletes that are served in a second.
    pub writes_per_s: f64,
    budget: (u64, f64),
    /// It refuses all requests.
    pub down: bool,
    /// Transactions are carried out, but their answers are lost.
    pub loses_answers: bool,
    /// Transactions get no answer and are carried out this much later, after newer ones.
    pub late_ms: Option<u64>,
    late: Vec<(u64, Transaction)>,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            revision: 0,
            keys: BTreeMap::new(),
            log: Vec::new(),
            forgotten: 0,
            leases: BTreeMap::new(),
            next_lease: 1,
            txn_ops: 12,
            value_bytes: 8192,
            kept_changes: 10_000,
            writes_per_s: f64::MAX,
            budget: (0, 0.0),
            down: false,
            loses_answers: false,
            late_ms: None,
            late: Vec::new(),
        }
    }
}

impl Store {
    /// A store that answers nobody.
    pub fn unreachable() -> Store {
        Store {
            down: true,
            ..Store::default()
        }
    }

    /// Version of a key; 0 if it is not there.
    pub fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.version)
    }

    /// A key with its value and version.
    pub fn entry(&self, key: &str) -> Option<Entry> {
        let k = self.keys.get(key)?;
        Some(Entry {
            key: key.into(),
            v: k.v.clone(),
            version: k.version,
        })
    }

    /// Status and body of `POST /commit`; 0: no answer.
    pub fn commit(&mut self, txn: &Transaction, now_ms: u64) -> (u16, Option<Committed>) {
        if self.down {
            return (503, None);
        }
        if let Some(late_ms) = self.late_ms {
            self.late.push((now_ms + late_ms, txn.clone()));
            return (0, None);
        }
        let answer = self.execute(txn, now_ms);
        if self.loses_answers {
            return (0, None);
        }
        answer
    }

    /// Carries out the late transactions that are due.
    pub fn deliver_late(&mut self, now_ms: u64) {
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= now_ms);
        self.late = later;
        for (_, txn) in due {
            self.execute(&txn, now_ms);
        }
    }

    fn execute(&mut self, txn: &Transaction, now_ms: u64) -> (u16, Option<Committed>) {
        let size = |v: &Value| v.to_string().len();
        let bad = txn.writes.len() > self.txn_ops
            || txn.conditions.len() > 4 * self.txn_ops
            || txn.writes.iter().any(|w| match w {
                Write::Set { set, v, .. } => {
                    set.is_empty() || set.len() > 200 || size(v) > self.value_bytes
                }
                Write::Remove { remove } => remove.is_empty(),
            });
        let lost = |w: &Write| matches!(w, Write::Set { lease: Some(l), .. } if !self.leases.contains_key(l));
        if bad || txn.writes.iter().any(lost) {
            return (400, None);
        }
        if self.writes_per_s < 1e9 {
            let (at, left) = self.budget;
            let left =
                (left + (now_ms - at) as f64 / 1000.0 * self.writes_per_s).min(self.writes_per_s);
            self.budget = (now_ms, left);
            if left < txn.writes.len() as f64 {
                return (429, None);
            }
            self.budget.1 -= txn.writes.len() as f64;
        }
        let wrong = |c: &&Condition| self.version(&c.key) != c.version;
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(wrong)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            let revision = self.revision;
            return (409, Some(Committed { revision, failed }));
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        for w in &txn.writes {
            match w {
                Write::Set { set, v, lease } => self.put(set, v.clone(), *lease),
                Write::Remove { remove } => self.delete(remove),
            }
        }
        let revision = self.revision;
        (
            200,
            Some(Committed {
                revision,
                failed: Vec::new(),
            }),
        )
    }

    fn put(&mut self, key: &str, v: Value, lease: Option<u64>) {
        let version = self.revision;
        let kept = Kept {
            v: v.clone(),
            version,
            lease,
        };
        self.keys.insert(key.into(), kept);
        self.note(Event {
            set: Some(key.into()),
            remove: None,
            v: Some(v),
            version,
        });
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let version = self.revision;
            self.note(Event {
                set: None,
                remove: Some(key.into()),
                v: None,
                version,
            });
        }
    }

    fn note(&mut self, e: Event) {
        self.log.push(e);
        while self.log.len() > self.kept_changes {
            self.forgotten = self.log.remove(0).version;
        }
    }

    /// Status and body of `GET /watch`, without the wait.
    pub fn watch(&self, prefix: &str, from: u64) -> (u16, Option<Changes>) {
        if self.down {
            return (503, None);
        }
        if from < self.forgotten {
            return (410, None);
        }
        let name = |e: &Event| e.set.clone().or(e.remove.clone()).unwrap_or_default();
        let events = self
            .log
            .iter()
            .filter(|e| e.version > from && name(e).starts_with(prefix));
        let events = events.cloned().collect();
        (
            200,
            Some(Changes {
                revision: self.revision,
                events,
            }),
        )
    }

    /// Body of `GET /keys`.
    pub fn list(&self, prefix: &str, from: &str, most: usize) -> Page {
        let found = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > from);
        let mut entries: Vec<Entry> = found
            .take(most + 1)
            .map(|(k, kept)| Entry {
                key: k.clone(),
                v: kept.v.clone(),
                version: kept.version,
            })
            .collect();
        let more = entries.len() > most;
        entries.truncate(most);
        Page {
            entries,
            more,
            revision: self.revision,
        }
    }

    /// A new lease.
    pub fn grant(&mut self, ttl_ms: u64, now_ms: u64) -> u64 {
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(id, (ttl_ms, now_ms + ttl_ms));
        id
    }

    /// Renews a lease; false if it has ended.
    pub fn touch(&mut self, id: u64, now_ms: u64) -> bool {
        match self.leases.get_mut(&id) {
            Some((ttl, end)) => {
                *end = now_ms + *ttl;
                true
            }
            None => false,
        }
    }

    /// Ends leases whose time is over, with their keys.
    pub fn expire(&mut self, now_ms: u64) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end < now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end_lease(id);
        }
    }

    /// Ends a lease and removes its keys.
    pub fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, k)| k.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for k in keys {
            self.revision += 1;
            self.delete(&k);
        }
    }
}
