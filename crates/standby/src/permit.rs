//! The permit to decide for a shard.
//!
//! A permit is proof, in the type system, that its holder owns the shard under a token and knows
//! every record as of the revision at which that token was recorded. Only the takeover's state
//! machine issues permits; a decision that needs one can't be compiled without it.

use crate::ids::{FencingToken, Revision, ShardId};

/// Permit to decide for one shard under one token.
///
/// It can be neither built nor copied outside of this crate.
#[derive(PartialEq, Eq, Debug)]
pub struct Permit {
    shard: ShardId,
    token: FencingToken,
    fence: Revision,
}

impl Permit {
    pub(crate) fn issue(shard: ShardId, token: FencingToken, fence: Revision) -> Permit {
        Permit {
            shard,
            token,
            fence,
        }
    }

    /// Shard that it is for.
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// Token under which it was issued.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Revision at which the token was recorded.
    pub fn fence(&self) -> Revision {
        self.fence
    }
}

/// The permits that a controller holds, by shard.
#[derive(Default, Debug)]
pub struct Permits {
    by_shard: Vec<Option<Permit>>,
}

impl Permits {
    pub(crate) fn none(shards: usize) -> Permits {
        Permits {
            by_shard: (0..shards).map(|_| None).collect(),
        }
    }

    /// The permit of a shard, if one is held.
    pub fn get(&self, shard: ShardId) -> Option<&Permit> {
        self.by_shard.get(shard.0 as usize)?.as_ref()
    }

    pub(crate) fn put(&mut self, permit: Permit) {
        if let Some(slot) = self.by_shard.get_mut(permit.shard.0 as usize) {
            *slot = Some(permit);
        }
    }

    pub(crate) fn withdraw(&mut self, shard: ShardId) {
        if let Some(slot) = self.by_shard.get_mut(shard.0 as usize) {
            *slot = None;
        }
    }
}
