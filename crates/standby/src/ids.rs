//! Types of identifiers and times that the other modules share. Each is a type of its own, so that
//! the compiler refuses one in place of another; only the messages hold plain numbers.

use serde::{Deserialize, Serialize};

/// Number of a shard, counted from 0.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct ShardId(pub u32);

/// Fencing token of a shard, incremented each time that a controller acquires the shard.
#[derive(
    Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Fencing token of the next owner.
    pub fn next(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }

    /// True for the fencing token of an owner, which is 1 or higher; 0 means that the shard has not
    /// had an owner yet.
    pub fn is_issued(self) -> bool {
        self.0 > 0
    }
}

impl std::fmt::Display for FencingToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Revision of the key-value store, which rises with every committed transaction.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct Revision(pub u64);

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Time on the caller's monotonic clock, ms.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Millis(pub u64);

impl Millis {
    /// Time passed since `earlier`, ms; 0 if `earlier` is in the future.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
