//! Messages of the key-value store, and its limits.
//!
//! `coordination::kv` sends and reads them. Wire names are pinned by `serde(rename)`. The kinds of
//! a [`Write`] and of an [`Event`] are distinguished by their fields alone.

use rmpv::Value;
use serde::{Deserialize, Serialize};

/// A condition of a transaction: the version that a key must have.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Condition {
    /// Key that the condition is about.
    pub key: String,
    /// Version that the key must have; 0: the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A write in a transaction.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(untagged)]
pub enum Write {
    /// Sets the value of a key, which need not exist.
    Set {
        /// Key whose value is set.
        set: String,
        /// New value of the key.
        v: Value,
        /// Lease whose expiry deletes the key; `None`: the key does not expire.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Remove {
        /// Key that is deleted.
        remove: String,
    },
}

/// A compare-and-swap transaction: all writes are applied if all conditions hold, else none.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Writes, in the order in which they are applied.
    pub writes: Vec<Write>,
}

/// Response to a transaction that was applied (200) or whose conditions failed (409).
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct CommitResponse {
    /// Revision at which the transaction was applied, or the store's current revision if conditions
    /// failed.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Keys whose condition failed; empty if the transaction was applied.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A key with its value and version, as a read returns it.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Entry {
    /// Key that was read.
    pub key: String,
    /// Value of the key.
    pub v: Value,
    /// Version of the key: the revision of its last change.
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

/// A change reported by a watch: the value of a key was set, or a key was deleted.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Event {
    /// Key whose value was set; `None` if a key was deleted.
    #[serde(default)]
    pub set: Option<String>,
    /// Key that was deleted; `None` if a value was set.
    #[serde(default)]
    pub remove: Option<String>,
    /// Value that was set; `None` if a key was deleted.
    #[serde(default)]
    pub v: Option<Value>,
    /// Revision of the change, which is the key's version from then on.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Response to a watch: the changes since the revision that the request names.
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
    /// Number of the lease, by which writes and renewals refer to it.
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// A request to grant a lease.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct LeaseRequest {
    /// Time after which the lease expires unless it is renewed, ms.
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
    /// Limits that allow everything.
    pub const UNLIMITED: Limits = Limits {
        txn_ops: usize::MAX,
        value_bytes: usize::MAX,
        write_rps: f64::MAX,
    };
    /// The stricter value of each limit of `self` and `other`.
    pub fn min(self, other: Limits) -> Limits {
        Limits {
            txn_ops: self.txn_ops.min(other.txn_ops),
            value_bytes: self.value_bytes.min(other.value_bytes),
            write_rps: self.write_rps.min(other.write_rps),
        }
    }

    /// The limits after the store has refused a transaction for its size: fewer writes if the
    /// transaction had more than two, else values of at most three quarters of the size of its
    /// largest value.
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
