//! Identifiers and times that the other modules share.

/// Number of a shard.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct ShardId(pub u32);

/// Fencing token of a shard; every change of owner raises it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct FencingToken(pub u64);

/// Revision of the state service.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct Revision(pub u64);

/// Time on the caller's steady clock, milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Millis(pub u64);

impl Millis {
    /// Time passed since an earlier moment; zero if that is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
