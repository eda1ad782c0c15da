//! Messages of the key-value store, and its limits.
//!
//! `coordination::kv` sends and reads them. Wire names are pinned by `serde(rename)`; those of a
//! transaction's writes and of events are told apart by their fields alone.

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

/// A change in a transaction.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(untagged)]
pub enum Write {
    /// Puts a value.
    Set {
        /// Key.
        set: String,
        /// Value.
        v: Value,
        /// Lease with which the key is deleted.
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
    /// Writes in order.
    pub writes: Vec<Write>,
}

/// Answer to a transaction that was applied (200) or whose conditions failed (409).
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Committed {
    /// Revision of the transaction, or the store's current one.
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

/// A page of keys.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Page {
    /// Entries in key order.
    pub entries: Vec<Entry>,
    /// Whether more entries follow.
    #[serde(default)]
    pub more: bool,
    /// Revision.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change seen by a watch.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Event {
    /// Key put.
    #[serde(default)]
    pub set: Option<String>,
    /// Key deleted.
    #[serde(default)]
    pub remove: Option<String>,
    /// Value put.
    #[serde(default)]
    pub v: Option<Value>,
    /// Revision of the change, which is the key's version from then on.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Answer to a watch.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Changes {
    /// Revision.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes in order.
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}

/// A lease.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Lease {
    /// Its number.
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// Asks for a lease.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct LeaseRequest {
    /// Time to live.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Limits of the key-value store.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Limits {
    /// Writes in a transaction.
    pub txn_ops: usize,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Writes a second, of all controllers together.
    pub write_rps: f64,
}

impl Limits {
    /// No limits.
    pub const UNLIMITED: Limits = Limits {
        txn_ops: usize::MAX,
        value_bytes: usize::MAX,
        write_rps: f64::MAX,
    };
    /// Limits under which both hold.
    pub fn min(self, other: Limits) -> Limits {
        Limits {
            txn_ops: self.txn_ops.min(other.txn_ops),
            value_bytes: self.value_bytes.min(other.value_bytes),
            write_rps: self.write_rps.min(other.write_rps),
        }
    }

    /// The limits that the refusal of a transaction for its size shows: fewer writes if it had
    /// several, else smaller values.
    pub fn after_refusal(self, writes: usize, largest_bytes: usize) -> Limits {
        if writes <= FEW_WRITES {
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

/// Writes up to which a refusal is taken to be for the size of a value: a job's record and that of
/// its team's quota have to go together, so a transaction of two can't be made smaller.
const FEW_WRITES: usize = 2;
/// Size of a value below which refusals are for something else.
const MIN_VALUE_BYTES: usize = 1024;
