//! Identifiers and times that the other modules share. Inside the crate two of them can't be
//! swapped; the messages alone carry plain numbers.

use serde::{Deserialize, Serialize};

/// Number of a shard.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct ShardId(pub u32);

/// Fencing token of a shard; every change of owner raises it.
#[derive(
    Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The token that the next owner gets.
    pub fn next(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }

    /// True if an owner has been recorded: tokens begin at 1.
    pub fn is_issued(self) -> bool {
        self.0 > 0
    }
}

impl std::fmt::Display for FencingToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Revision of the key-value store.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct Revision(pub u64);

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Time on the caller's steady clock, milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Millis(pub u64);

impl Millis {
    /// Time passed since an earlier moment; zero if that is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
