//! Sums over placements, kept current as records change, so that no pass walks them all.

use super::job::Job;
use super::machine::TaskAttempt;
use super::names::{Index, JobIndex, MachineIndex, ShardIndex, TeamIndex};
use super::units::Resources;

/// Processors and graphics processors, in thousandths.
type Amount = (i64, i64);

/// What placements use, by machine and by team.
#[derive(Default, Debug)]
pub struct ResourceTotals {
    here: Vec<Vec<TaskAttempt>>,
    room: Vec<Option<Resources>>,
    paid: Vec<Vec<Amount>>,
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
            let here = slot(&mut self.here, p.machine.at());
            if sign > 0 {
                here.push(a);
            } else {
                here.retain(|x| *x != a);
            }
            if let Some(s) = &job.spec {
                let used = slot(slot(&mut self.paid, s.team.at()), p.charged_shard.at());
                used.0 += sign * s.need.cpu;
                used.1 += sign * s.need.gpu;
            }
        }
    }

    /// Attempts placed on a machine.
    pub fn placed_on(&self, m: MachineIndex) -> &[TaskAttempt] {
        self.here.get(m.at()).map_or(&[], Vec::as_slice)
    }
    /// Machines with placements.
    pub fn occupied(&self) -> impl Iterator<Item = MachineIndex> + '_ {
        let here = self.here.iter().enumerate();
        here.filter(|(_, a)| !a.is_empty())
            .map(|(i, _)| MachineIndex::new(i))
    }
    /// What the placements paid by a shard use.
    pub fn quota_used_by_shard(&self, team: TeamIndex, payer: ShardIndex) -> Amount {
        let by_payer = self.paid.get(team.at());
        by_payer
            .and_then(|p| p.get(payer.at()))
            .copied()
            .unwrap_or_default()
    }
    /// What a team's placements use.
    pub fn quota_used(&self, team: TeamIndex) -> Amount {
        let by_payer = self.paid.get(team.at()).into_iter().flatten();
        by_payer.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }
    /// Free room by machine; `None` where the machine or its type is unknown.
    pub fn free_capacity(&self) -> &[Option<Resources>] {
        &self.room
    }
    /// Notes what is free on a machine.
    pub fn set_free_capacity(&mut self, m: MachineIndex, free: Option<Resources>) {
        *slot(&mut self.room, m.at()) = free;
    }
}
