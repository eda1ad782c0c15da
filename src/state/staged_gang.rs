//! Staged gangs: what a staged attempt means for its job and for the quota of its team.

use super::job::Job;
use super::names::ShardIndex;
use super::staged_attempt::StagedAttempt;

impl Job {
    /// True while the gang's attempt is recorded in part, so that none of its tasks may start.
    pub fn is_staged(&self) -> bool {
        self.staged.is_some() && self.is_open()
    }

    /// True if the gang is staged and its latest step was more than `timeout_ms` ago.
    pub fn is_staging_stalled(&self, wall_ms: u64, timeout_ms: u64) -> bool {
        let since_step = |staged: StagedAttempt| wall_ms.saturating_sub(staged.last_step_at);
        self.is_staged() && self.staged.map(since_step) > Some(timeout_ms)
    }

    /// Number of tasks that are charged to the team's quota: those with a placement, and all tasks
    /// of a staged gang.
    pub fn charged_tasks(&self) -> u32 {
        self.placements.len() as u32 + self.unplaced_staged_tasks()
    }

    /// Number of tasks that are charged to one shard's share of the team's quota.
    pub fn tasks_charged_to(&self, shard: ShardIndex) -> u32 {
        let placements = self.placements.iter();
        let placed = placements.filter(|p| p.charged_shard == shard).count() as u32;
        let staged_here = self
            .staged
            .is_some_and(|staged| staged.charged_shard == shard);
        match staged_here {
            true => placed + self.unplaced_staged_tasks(),
            false => placed,
        }
    }

    /// Number of tasks of a staged gang that have no placement yet; 0 for any other job.
    pub fn unplaced_staged_tasks(&self) -> u32 {
        match &self.spec {
            Some(spec) if self.is_staged() => {
                spec.tasks().saturating_sub(self.placements.len() as u32)
            }
            _ => 0,
        }
    }
}
