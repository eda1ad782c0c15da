//! Messages of the key-value store, and its limits.
//!
//! `coordination::kv` sends and reads them. Wire names are pinned by `serde(rename)`. The kinds of
//! a [`Write`] and of an [`Event`] are distinguished by their fields alone.

use rmpv::Value;
use serde::{Deserialize, Serialize};

/// The version that a key must have for a transaction to be applied.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// Version; 0: the key does not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A write in a transaction.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(untagged)]
pub enum Write {
    /// Puts a value.
    Set {
        /// Key.
        set: String,
        /// Value.
        v: Value,
        /// Lease whose expiry deletes the key; `None`: the key does not expire.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Remove {
        /// Key.
        remove: String,
    },
}

/// A compare-and-swap transaction: all writes are applied if all conditions hold, else none.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct Transaction {
    /// Versions that keys must have.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Writes, in the order in which they are applied.
    pub writes: Vec<Write>,
}

/// Response to a transaction that was applied (200) or whose conditions failed (409).
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct CommitResponse {
    /// Revision of the transaction, or the store's current one if conditions failed.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A key with its value.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub v: Value,
    /// Version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys with their values.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Page {
    /// Entries in key order.
    pub entries: Vec<Entry>,
    /// True if more entries follow on the next page.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store when the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change reported by a watch: a key was either put or deleted.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Event {
    /// Key that was put.
    #[serde(default)]
    pub set: Option<String>,
    /// Key that was deleted.
    #[serde(default)]
    pub remove: Option<String>,
    /// Value that was put.
    #[serde(default)]
    pub v: Option<Value>,
    /// Revision of the change, which is the key's version from then on.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Response to a watch.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Changes {
    /// Revision up to which all changes are included.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes in the order of their revisions.
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}

/// Response to a [`LeaseRequest`]: the granted lease.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Lease {
    /// Number of the lease.
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// A request for a lease.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct LeaseRequest {
    /// Time to live, ms.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Limits of the key-value store.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Limits {
    /// Maximum number of writes in a transaction.
    pub txn_ops: usize,
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of writes per second, of all controllers together.
    pub write_rps: f64,
}

impl Limits {
    /// No limits.
    pub const UNLIMITED: Limits = Limits {
        txn_ops: usize::MAX,
        value_bytes: usize::MAX,
        write_rps: f64::MAX,
    };
    /// The stricter one of each limit.
    pub fn min(self, other: Limits) -> Limits {
        Limits {
            txn_ops: self.txn_ops.min(other.txn_ops),
            value_bytes: self.value_bytes.min(other.value_bytes),
            write_rps: self.write_rps.min(other.write_rps),
        }
    }

    /// The limits after the store has refused a transaction for its size: fewer writes if it had
    /// more than two, else values of at most three quarters of its largest.
    pub fn after_refusal(self, writes: usize, largest_bytes: usize) -> Limits {
        if writes <= MAX_INDIVISIBLE_WRITES {
            let smaller = self.value_bytes.min(largest_bytes * 3 / 4);
            Limits {
                value_bytes: smaller.max(MIN_VALUE_BYTES),
                ..self
            }
        } else {
            Limits {
                txn_ops: self.txn_ops.min(writes - 1),
                ..self
            }
        }
    }
}

/// A refused transaction with at most this many writes is taken to have too large a value: a job's
/// record and that of its team's quota must be written together, so two writes can't be split.
const MAX_INDIVISIBLE_WRITES: usize = 2;
/// The limit on values is not lowered below this size, in bytes: smaller values are refused for
/// other reasons.
const MIN_VALUE_BYTES: usize = 1024;
