//! Sums over placements, updated as records change, so that no scheduling round iterates over all
//! jobs.

use super::job::Job;
use super::machine::TaskAttempt;
use super::names::{Index, JobIndex, MachineIndex, ShardIndex, TeamIndex};
use super::units::{QuotaUsage, Resources};

/// Resources used by the placements of all jobs, by machine, and by team and charged shard.
#[derive(Default, Debug)]
pub struct ResourceTotals {
    /// Attempts placed on each machine, by machine index.
    placed: Vec<Vec<TaskAttempt>>,
    /// Free capacity of each machine, by machine index; `None` if the machine or its type is
    /// unknown.
    free_capacity: Vec<Option<Resources>>,
    /// Quota that placements use, by the team and by the shard that is charged.
    used_by_shard: Vec<Vec<QuotaUsage>>,
}

/// The element at `position` of a list; a list that is too short is extended by default values.
fn slot<T: Default>(list: &mut Vec<T>, position: usize) -> &mut T {
    if list.len() <= position {
        list.resize_with(position + 1, T::default);
    }
    &mut list[position]
}

impl ResourceTotals {
    /// Adds a job's placements to the sums.
    pub fn add(&mut self, job_index: JobIndex, job: &Job) {
        for placement in &job.placements {
            let attempt = TaskAttempt::new(job_index, placement.task, placement.attempt);
            slot(&mut self.placed, placement.machine.at()).push(attempt);
        }
        self.charge(job, 1);
    }

    /// Removes a job's placements from the sums.
    pub fn remove(&mut self, job_index: JobIndex, job: &Job) {
        for placement in &job.placements {
            let attempt = TaskAttempt::new(job_index, placement.task, placement.attempt);
            slot(&mut self.placed, placement.machine.at()).retain(|placed| *placed != attempt);
        }
        self.charge(job, -1);
    }

    /// Adds the quota that a job's placements use to the sums of the job's team, `times` times: 1
    /// charges the team, -1 reverses the charge. A staged gang uses the quota of all its tasks.
    fn charge(&mut self, job: &Job, times: i64) {
        let Some(spec) = &job.spec else { return };
        for placement in &job.placements {
            let by_shard = slot(&mut self.used_by_shard, spec.team.at());
            let used = slot(by_shard, placement.charged_shard.at());
            *used = used.plus(spec.need.quota().times(times));
        }
        if let Some(staged) = &job.staged {
            let unplaced = i64::from(job.unplaced_staged_tasks());
            let by_shard = slot(&mut self.used_by_shard, spec.team.at());
            let used = slot(by_shard, staged.charged_shard.at());
            *used = used.plus(spec.need.quota().times(unplaced * times));
        }
    }

    /// Attempts placed on a machine.
    pub fn placed_on(&self, machine: MachineIndex) -> &[TaskAttempt] {
        self.placed.get(machine.at()).map_or(&[], Vec::as_slice)
    }

    /// Machines that have placements, in the order of their indices.
    pub fn occupied_machines(&self) -> impl Iterator<Item = MachineIndex> + '_ {
        let by_machine = self.placed.iter().enumerate();
        by_machine
            .filter(|(_, attempts)| !attempts.is_empty())
            .map(|(index, _)| MachineIndex::new(index))
    }

    /// Quota that a team's placements charged to a shard use.
    pub fn quota_used_by_shard(&self, team: TeamIndex, charged_shard: ShardIndex) -> QuotaUsage {
        let by_shard = self.used_by_shard.get(team.at());
        let used = by_shard.and_then(|shards| shards.get(charged_shard.at()));
        used.copied().unwrap_or_default()
    }

    /// Quota that all placements of a team use.
    pub fn quota_used(&self, team: TeamIndex) -> QuotaUsage {
        let by_shard = self.used_by_shard.get(team.at()).into_iter().flatten();
        by_shard.fold(QuotaUsage::default(), |sum, used| sum.plus(*used))
    }

    /// Free capacity of each machine, by machine index; `None` if the machine or its type is
    /// unknown.
    pub fn free_capacity(&self) -> &[Option<Resources>] {
        &self.free_capacity
    }

    /// Sets the free capacity of a machine; `None` if the machine or its type is unknown.
    pub fn set_free_capacity(&mut self, machine: MachineIndex, free: Option<Resources>) {
        *slot(&mut self.free_capacity, machine.at()) = free;
    }
}
