//! Sets of task numbers, stored as ranges, which are few because the tasks of most jobs
//! complete nearly in order.

use serde::{Deserialize, Serialize};

/// Sorted, disjoint, half-open ranges of task numbers.
#[derive(Serialize, Deserialize, Clone, PartialEq, Eq, Debug, Default)]
pub struct TaskRanges(Vec<(u32, u32)>);

impl TaskRanges {
    /// The set of all task numbers below `end`.
    pub fn all(end: u32) -> TaskRanges {
        TaskRanges(vec![(0, end)])
    }

    /// Adds a task number, and merges the ranges that become adjacent.
    pub fn add(&mut self, task: u32) {
        let position = self.0.partition_point(|(_, end)| *end < task);
        match self.0.get_mut(position) {
            Some((start, end)) if *start <= task && task < *end => return,
            Some((_, end)) if *end == task => *end = task + 1,
            Some((start, _)) if *start == task + 1 => {
                *start = task;
                return;
            }
            _ => self.0.insert(position, (task, task + 1)),
        }
        self.join_with_next(position);
    }

    fn join_with_next(&mut self, position: usize) {
        let Some((next_start, next_end)) = self.0.get(position + 1).copied() else {
            return;
        };
        if next_start == self.0[position].1 {
            self.0[position].1 = next_end;
            self.0.remove(position + 1);
        }
    }

    /// True if `task` is in the set.
    pub fn has(&self, task: u32) -> bool {
        let position = self.0.partition_point(|(_, end)| *end <= task);
        self.0
            .get(position)
            .is_some_and(|(start, _)| *start <= task)
    }

    /// Number of task numbers in the set.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|(start, end)| end - start).sum()
    }

    /// Task numbers below `end` that are not in the set, in ascending order.
    pub fn missing(&self, end: u32) -> impl Iterator<Item = u32> + '_ {
        let gap_starts = std::iter::once(0).chain(self.0.iter().map(|(_, end)| *end));
        let gap_ends = self.0.iter().map(|(start, _)| *start);
        let gaps = gap_starts.zip(gap_ends.chain(std::iter::once(end)));
        gaps.flat_map(|(start, end)| start..end)
    }

    /// Number of ranges that the set is stored as.
    pub fn range_count(&self) -> usize {
        self.0.len()
    }
}
