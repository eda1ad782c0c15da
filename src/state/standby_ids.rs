//! Conversions between identifiers and times of this crate and those of the standby crate, which
//! does not depend on this one.

use super::names::ShardIndex;
use super::units::MonotonicMillis;
use standby::ids::{Millis, ShardId};

impl From<ShardIndex> for ShardId {
    fn from(shard: ShardIndex) -> ShardId {
        ShardId(shard.0)
    }
}

impl From<ShardId> for ShardIndex {
    fn from(shard: ShardId) -> ShardIndex {
        ShardIndex(shard.0)
    }
}

impl From<MonotonicMillis> for Millis {
    fn from(time: MonotonicMillis) -> Millis {
        Millis(time.0)
    }
}
