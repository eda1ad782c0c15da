//! Messages of the state service.

use rmpv::Value;
use serde::{Deserialize, Serialize};

/// A key's expected version in a transaction.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// Version; 0: absent.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change in a transaction.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(untagged)]
pub enum Write {
    /// Put a value.
    Set {
        /// Key.
        set: String,
        /// Value.
        v: Value,
        /// Lease.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Delete a key.
    Remove {
        /// Key.
        remove: String,
    },
}

/// A transaction.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct Transaction {
    /// Conditions.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Changes.
    pub writes: Vec<Write>,
}

/// Answer to a transaction: 200 or 409.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct Committed {
    /// Revision.
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
    /// There are more.
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
    /// Revision.
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

/// Limits of the state service.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Limits {
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// Size of a record.
    pub value_bytes: usize,
    /// Changes a second, of all nodes.
    pub write_rps: f64,
}

impl Limits {
    /// None at all.
    pub const NONE: Limits = Limits {
        txn_ops: usize::MAX,
        value_bytes: usize::MAX,
        write_rps: f64::MAX,
    };
    /// What keeps both.
    pub fn least(self, o: Limits) -> Limits {
        Limits {
            txn_ops: self.txn_ops.min(o.txn_ops),
            value_bytes: self.value_bytes.min(o.value_bytes),
            write_rps: self.write_rps.min(o.write_rps),
        }
    }
    /// What a transaction of so many changes, the largest of this size, that was refused for its
    /// size shows: fewer changes if there were several, else smaller records.
    pub fn refused(self, changes: usize, largest: usize) -> Limits {
        match changes {
            0..=2 => Limits {
                value_bytes: self.value_bytes.min(largest * 3 / 4).max(LEAST_VALUE),
                ..self
            },
            n => Limits {
                txn_ops: self.txn_ops.min(n - 1),
                ..self
            },
        }
    }
}

/// Size of a record below which refusals are for something else.
const LEAST_VALUE: usize = 1024;
