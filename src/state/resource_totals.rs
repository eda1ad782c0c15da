//! Sums over placements, kept current as records change, so that no pass walks them all.

use super::job::Job;
use super::machine::TaskAttempt;
use super::names::{Index, JobIndex, MachineIndex, ShardIndex, TeamIndex};
use super::units::{QuotaUsage, Resources};

/// What placements use, by machine and by team.
#[derive(Default, Debug)]
pub struct ResourceTotals {
    placed: Vec<Vec<TaskAttempt>>,
    free_capacity: Vec<Option<Resources>>,
    used_by_shard: Vec<Vec<QuotaUsage>>,
}

fn slot<T: Default>(list: &mut Vec<T>, at: usize) -> &mut T {
    if list.len() <= at {
        list.resize_with(at + 1, T::default);
    }
    &mut list[at]
}

impl ResourceTotals {
    /// Counts a job's placements.
    pub fn add(&mut self, ix: JobIndex, job: &Job) {
        self.count(ix, job, 1);
    }
    /// Takes a job's placements out again.
    pub fn remove(&mut self, ix: JobIndex, job: &Job) {
        self.count(ix, job, -1);
    }

    fn count(&mut self, ix: JobIndex, job: &Job, sign: i64) {
        for p in &job.placements {
            let a = TaskAttempt::new(ix, p.task, p.attempt);
            let here = slot(&mut self.placed, p.machine.at());
            if sign > 0 {
                here.push(a);
            } else {
                here.retain(|x| *x != a);
            }
            if let Some(s) = &job.spec {
                let used = slot(
                    slot(&mut self.used_by_shard, s.team.at()),
                    p.charged_shard.at(),
                );
                *used = used.plus(s.need.quota().times(sign));
            }
        }
    }

    /// Attempts placed on a machine.
    pub fn placed_on(&self, m: MachineIndex) -> &[TaskAttempt] {
        self.placed.get(m.at()).map_or(&[], Vec::as_slice)
    }
    /// Machines with placements.
    pub fn occupied(&self) -> impl Iterator<Item = MachineIndex> + '_ {
        let here = self.placed.iter().enumerate();
        here.filter(|(_, a)| !a.is_empty())
            .map(|(i, _)| MachineIndex::new(i))
    }
    /// What the placements charged to a shard use.
    pub fn quota_used_by_shard(&self, team: TeamIndex, charged_shard: ShardIndex) -> QuotaUsage {
        let by_shard = self.used_by_shard.get(team.at());
        by_shard
            .and_then(|p| p.get(charged_shard.at()))
            .copied()
            .unwrap_or_default()
    }
    /// What a team's placements use.
    pub fn quota_used(&self, team: TeamIndex) -> QuotaUsage {
        let by_shard = self.used_by_shard.get(team.at()).into_iter().flatten();
        by_shard.fold(QuotaUsage::default(), |sum, used| sum.plus(*used))
    }
    /// Free room by machine; `None` where the machine or its type is unknown.
    pub fn free_capacity(&self) -> &[Option<Resources>] {
        &self.free_capacity
    }
    /// Notes what is free on a machine.
    pub fn set_free_capacity(&mut self, m: MachineIndex, free: Option<Resources>) {
        *slot(&mut self.free_capacity, m.at()) = free;
    }
}
