//! Staged attempts: attempts of gangs whose placements take several transactions to record.
//!
//! A gang is staged if one transaction can't hold all its placements. Each transaction adds some of
//! them, together with a new version of the job's own record, which says until the last
//! transaction that the attempt is staged. Invariants: no task of a staged attempt is started, and
//! a staged attempt only grows. If one of its placements is removed, the attempt is no longer
//! staged: its gang counts as broken, and its other placements are removed as well.

use super::names::ShardIndex;
use serde::{Deserialize, Serialize};

/// An attempt of a gang that is recorded in steps, as the job's record holds it: a list in the
/// order of `StagedAttemptFields`.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(from = "StagedAttemptFields", into = "StagedAttemptFields")]
pub struct StagedAttempt {
    /// Number of the attempt, the same for all tasks of the gang.
    pub attempt: u64,
    /// Shard whose share of the team's quota is charged for all tasks of the gang, including those
    /// without a placement.
    pub charged_shard: ShardIndex,
    /// Wall-clock time of the latest step, ms.
    pub last_step_at: u64,
}

/// The stored form of a staged attempt: attempt, charged shard, wall-clock time of the latest step.
type StagedAttemptFields = (u64, u32, u64);

impl From<StagedAttemptFields> for StagedAttempt {
    fn from((attempt, charged_shard, last_step_at): StagedAttemptFields) -> StagedAttempt {
        StagedAttempt {
            attempt,
            charged_shard: ShardIndex(charged_shard),
            last_step_at,
        }
    }
}

impl From<StagedAttempt> for StagedAttemptFields {
    fn from(staged: StagedAttempt) -> StagedAttemptFields {
        (staged.attempt, staged.charged_shard.0, staged.last_step_at)
    }
}
