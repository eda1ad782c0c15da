//! The permit to decide for a shard.
//!
//! A permit proves, in the type system, that its holder owns the shard under a fencing token and
//! has read all records up to the revision at which that token was committed. Only the state
//! machine of failovers issues permits; code that makes a decision without one doesn't compile.

use crate::ids::{FencingToken, Revision, ShardId};

/// Permit to decide for one shard under one fencing token.
///
/// Code outside of this crate can neither construct nor copy a permit.
#[derive(PartialEq, Eq, Debug)]
pub struct Permit {
    shard: ShardId,
    fencing_token: FencingToken,
    fence_revision: Revision,
}

impl Permit {
    pub(crate) fn issue(
        shard: ShardId,
        fencing_token: FencingToken,
        fence_revision: Revision,
    ) -> Permit {
        Permit {
            shard,
            fencing_token,
            fence_revision,
        }
    }

    /// Shard that the permit is valid for.
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// Fencing token under which the permit was issued.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Revision at which the fencing token was committed to the key-value store.
    pub fn fence_revision(&self) -> Revision {
        self.fence_revision
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

    /// The controller's permit for a shard; `None` if the controller holds none.
    pub fn get(&self, shard: ShardId) -> Option<&Permit> {
        self.by_shard.get(shard.0 as usize)?.as_ref()
    }

    pub(crate) fn insert(&mut self, permit: Permit) {
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
