//! Fake key-value store: versioned keys, compare-and-swap transactions, leases, watches and limits,
//! with faults that a test can enable.

use pointhook::protocol::kv::{
    Changes, CommitResponse, Condition, Entry, Event, Page, Transaction, Write,
};
use rmpv::Value;
use std::collections::BTreeMap;

/// Status of a request whose response was lost.
pub const NO_RESPONSE: u16 = 0;
const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const CONFLICT: u16 = 409;
const COMPACTED: u16 = 410;
const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;

const MAX_KEY_LENGTH: usize = 200;
/// Maximum size of all keys and values in a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Maximum number of conditions in a transaction, as a multiple of the maximum number of writes.
const CONDITIONS_PER_WRITE: usize = 4;
/// Value of `max_writes_per_s` from which on writes are not limited.
const UNLIMITED_WRITES_PER_S: f64 = 1e9;

/// Response of the key-value store: status and body.
#[derive(Clone, Debug)]
pub struct KvResponse<T> {
    /// HTTP status; [`NO_RESPONSE`] if the response was lost.
    pub status: u16,
    /// Body of the response; `None` if it has none.
    pub body: Option<T>,
}

impl<T> KvResponse<T> {
    fn with_body(status: u16, body: T) -> Self {
        KvResponse {
            status,
            body: Some(body),
        }
    }

    fn without_body(status: u16) -> Self {
        KvResponse { status, body: None }
    }
}

struct StoredValue {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct GrantedLease {
    ttl_ms: u64,
    expires_at_ms: u64,
}

struct DelayedTransaction {
    due_ms: u64,
    transaction: Transaction,
}

/// Token bucket that limits writes; it holds at most the writes of one second.
#[derive(Default)]
struct WriteBudget {
    refilled_at_ms: u64,
    available: f64,
}

impl WriteBudget {
    /// Refills the bucket and takes `writes` tokens out of it; false if it holds too few.
    fn try_spend(&mut self, writes: f64, limit_per_s: f64, now_ms: u64) -> bool {
        let elapsed_s = (now_ms - self.refilled_at_ms) as f64 / 1000.0;
        let available = (self.available + elapsed_s * limit_per_s).min(limit_per_s);
        self.refilled_at_ms = now_ms;
        self.available = available;
        if available < writes {
            return false;
        }
        self.available -= writes;
        true
    }
}

/// In-memory key-value store; its public fields set limits and faults.
pub struct FakeKvStore {
    /// Revision of the last change; 0 before the first.
    pub revision: u64,
    keys: BTreeMap<String, StoredValue>,
    change_log: Vec<Event>,
    /// Version of the newest change that was removed from the log; 0 if none was.
    compacted_through: u64,
    leases: BTreeMap<u64, GrantedLease>,
    next_lease_id: u64,
    /// Maximum number of writes in a transaction.
    pub max_txn_ops: usize,
    /// Maximum size of a value, in bytes of its printed form.
    pub max_value_bytes: usize,
    /// Maximum number of changes that are kept for watches.
    pub max_logged_changes: usize,
    /// Maximum number of writes per second; not enforced from 1e9 on.
    pub max_writes_per_s: f64,
    write_budget: WriteBudget,
    /// Number of transactions that were refused as malformed or too large.
    pub refused_as_invalid: u32,
    /// Fault: transactions and watches are refused with status 503.
    pub unavailable: bool,
    /// Fault: transactions are executed, but their responses are lost.
    pub drops_responses: bool,
    /// Fault: transactions get no response and are executed after this delay, possibly after newer
    /// ones.
    pub execution_delay_ms: Option<u64>,
    delayed_transactions: Vec<DelayedTransaction>,
}

impl Default for FakeKvStore {
    fn default() -> Self {
        FakeKvStore {
            revision: 0,
            keys: BTreeMap::new(),
            change_log: Vec::new(),
            compacted_through: 0,
            leases: BTreeMap::new(),
            next_lease_id: 1,
            max_txn_ops: 12,
            max_value_bytes: 8192,
            max_logged_changes: 10_000,
            max_writes_per_s: f64::MAX,
            write_budget: WriteBudget::default(),
            refused_as_invalid: 0,
            unavailable: false,
            drops_responses: false,
            execution_delay_ms: None,
            delayed_transactions: Vec::new(),
        }
    }
}

impl FakeKvStore {
    /// An empty store whose fault [`FakeKvStore::unavailable`] is enabled.
    pub fn unreachable() -> FakeKvStore {
        FakeKvStore {
            unavailable: true,
            ..FakeKvStore::default()
        }
    }

    /// Version of a key; 0 if it does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.version)
    }

    /// A key with its value and version; `None` if it does not exist.
    pub fn entry(&self, key: &str) -> Option<Entry> {
        let stored = self.keys.get(key)?;
        Some(entry_of(key, stored))
    }

    /// Handles `POST /commit`: executes a transaction, subject to the enabled faults.
    pub fn commit(&mut self, transaction: &Transaction, now_ms: u64) -> KvResponse<CommitResponse> {
        if self.unavailable {
            return KvResponse::without_body(UNAVAILABLE);
        }
        if let Some(delay_ms) = self.execution_delay_ms {
            self.delayed_transactions.push(DelayedTransaction {
                due_ms: now_ms + delay_ms,
                transaction: transaction.clone(),
            });
            return KvResponse::without_body(NO_RESPONSE);
        }
        let response = self.execute(transaction, now_ms);
        if self.drops_responses {
            return KvResponse::without_body(NO_RESPONSE);
        }
        response
    }

    /// Executes the delayed transactions whose delay has passed.
    pub fn execute_delayed(&mut self, now_ms: u64) {
        let (due, later) = std::mem::take(&mut self.delayed_transactions)
            .into_iter()
            .partition(|delayed| delayed.due_ms <= now_ms);
        self.delayed_transactions = later;
        for delayed in due {
            self.execute(&delayed.transaction, now_ms);
        }
    }

    fn execute(&mut self, transaction: &Transaction, now_ms: u64) -> KvResponse<CommitResponse> {
        if !self.is_well_formed(transaction) {
            self.refused_as_invalid += 1;
            return KvResponse::without_body(BAD_REQUEST);
        }
        if !self.spend_write_budget(transaction, now_ms) {
            return KvResponse::without_body(TOO_MANY_REQUESTS);
        }
        let failed = self.failed_conditions(transaction);
        if !failed.is_empty() {
            let revision = self.revision;
            return KvResponse::with_body(CONFLICT, CommitResponse { revision, failed });
        }
        if !transaction.writes.is_empty() {
            self.revision += 1;
        }
        for write in &transaction.writes {
            match write {
                Write::Set { set, v, lease } => self.put(set, v.clone(), *lease),
                Write::Remove { remove } => self.delete(remove),
            }
        }
        let committed = CommitResponse {
            revision: self.revision,
            failed: Vec::new(),
        };
        KvResponse::with_body(OK, committed)
    }

    fn is_well_formed(&self, transaction: &Transaction) -> bool {
        let bytes: usize = transaction.writes.iter().map(written_bytes).sum();
        transaction.writes.len() <= self.max_txn_ops
            && transaction.conditions.len() <= CONDITIONS_PER_WRITE * self.max_txn_ops
            && bytes <= MAX_TRANSACTION_BYTES
            && transaction
                .writes
                .iter()
                .all(|write| self.is_valid_write(write))
    }

    fn is_valid_write(&self, write: &Write) -> bool {
        match write {
            Write::Set { set: key, v, lease } => {
                !key.is_empty()
                    && key.len() <= MAX_KEY_LENGTH
                    && v.to_string().len() <= self.max_value_bytes
                    && lease.is_none_or(|lease| self.leases.contains_key(&lease))
            }
            Write::Remove { remove: key } => !key.is_empty(),
        }
    }

    fn spend_write_budget(&mut self, transaction: &Transaction, now_ms: u64) -> bool {
        if self.max_writes_per_s >= UNLIMITED_WRITES_PER_S {
            return true;
        }
        let writes = transaction.writes.len() as f64;
        self.write_budget
            .try_spend(writes, self.max_writes_per_s, now_ms)
    }

    /// Keys whose current version differs from the one that a condition requires.
    fn failed_conditions(&self, transaction: &Transaction) -> Vec<String> {
        let fails = |condition: &&Condition| self.version(&condition.key) != condition.version;
        let failed = transaction.conditions.iter().filter(fails);
        failed.map(|condition| condition.key.clone()).collect()
    }

    fn put(&mut self, key: &str, value: Value, lease: Option<u64>) {
        let version = self.revision;
        let stored = StoredValue {
            value: value.clone(),
            version,
            lease,
        };
        self.keys.insert(key.into(), stored);
        self.log_change(Event {
            set: Some(key.into()),
            remove: None,
            v: Some(value),
            version,
        });
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let version = self.revision;
            self.log_change(Event {
                set: None,
                remove: Some(key.into()),
                v: None,
                version,
            });
        }
    }

    fn log_change(&mut self, event: Event) {
        self.change_log.push(event);
        while self.change_log.len() > self.max_logged_changes {
            self.compacted_through = self.change_log.remove(0).version;
        }
    }

    /// Handles `GET /watch`: returns the changes after version `from` without waiting, or status
    /// 410 if some of them are no longer in the log.
    pub fn watch(&self, prefix: &str, from: u64) -> KvResponse<Changes> {
        if self.unavailable {
            return KvResponse::without_body(UNAVAILABLE);
        }
        if from < self.compacted_through {
            return KvResponse::without_body(COMPACTED);
        }
        let matches = |event: &&Event| event.version > from && key_of(event).starts_with(prefix);
        let events = self.change_log.iter().filter(matches);
        let changes = Changes {
            revision: self.revision,
            events: events.cloned().collect(),
        };
        KvResponse::with_body(OK, changes)
    }

    /// Handles `GET /keys`: returns at most `limit` keys after `start_after`, in key order.
    pub fn read_page(&self, prefix: &str, start_after: &str, limit: usize) -> Page {
        let found = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > start_after);
        // One entry more than the limit is read to find out whether another page follows.
        let mut entries: Vec<Entry> = found
            .take(limit + 1)
            .map(|(key, stored)| entry_of(key, stored))
            .collect();
        let more = entries.len() > limit;
        entries.truncate(limit);
        Page {
            entries,
            more,
            revision: self.revision,
        }
    }

    /// Grants a lease and returns its id.
    pub fn grant_lease(&mut self, ttl_ms: u64, now_ms: u64) -> u64 {
        let id = self.next_lease_id;
        self.next_lease_id += 1;
        let lease = GrantedLease {
            ttl_ms,
            expires_at_ms: now_ms + ttl_ms,
        };
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease for its full time to live; false if it has expired and was revoked.
    pub fn renew_lease(&mut self, id: u64, now_ms: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.expires_at_ms = now_ms + lease.ttl_ms;
        true
    }

    /// Revokes the leases that have expired.
    pub fn expire_leases(&mut self, now_ms: u64) {
        let is_expired = |lease: &GrantedLease| lease.expires_at_ms < now_ms;
        let expired = self.leases.iter().filter(|(_, lease)| is_expired(lease));
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// Revokes a lease and deletes the keys attached to it.
    pub fn revoke_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.keys.iter().filter(|(_, k)| k.lease == Some(id));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in attached {
            self.revision += 1;
            self.delete(&key);
        }
    }
}

fn entry_of(key: &str, stored: &StoredValue) -> Entry {
    Entry {
        key: key.into(),
        v: stored.value.clone(),
        version: stored.version,
    }
}

/// Size of a write's key and value, in bytes of their printed form.
fn written_bytes(write: &Write) -> usize {
    match write {
        Write::Set { set: key, v, .. } => key.len() + v.to_string().len(),
        Write::Remove { remove: key } => key.len(),
    }
}

/// Key that an event sets or removes.
fn key_of(event: &Event) -> &str {
    let key = event.set.as_deref().or(event.remove.as_deref());
    key.unwrap_or_default()
}
