//! Job records: what is stored of a job, and its form in memory.

use super::names::{ImageIndex, MachineIndex, MachineTypeIndex, ShardIndex, TeamIndex, ZoneIndex};
use super::units::Resources;
use crate::protocol::users::{JobKind, JobSpec, Priority};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Where a job stands.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobState {
    /// Not over.
    #[serde(rename = "o")]
    Open,
    /// All tasks are done.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "c")]
    Cancelled,
}

/// Sorted, disjoint, half-open ranges of task numbers.
#[derive(Serialize, Deserialize, Clone, PartialEq, Eq, Debug, Default)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// All numbers below `n`.
    pub fn all(n: u32) -> Ranges {
        Ranges(vec![(0, n)])
    }
    /// Adds a number.
    pub fn add(&mut self, x: u32) {
        let at = self.0.partition_point(|r| r.1 < x);
        match self.0.get_mut(at) {
            Some(r) if r.0 <= x && x < r.1 => return,
            Some(r) if r.1 == x => r.1 = x + 1,
            Some(r) if r.0 == x + 1 => {
                r.0 = x;
                return;
            }
            _ => self.0.insert(at, (x, x + 1)),
        }
        if at + 1 < self.0.len() && self.0[at + 1].0 == self.0[at].1 {
            self.0[at].1 = self.0[at + 1].1;
            self.0.remove(at + 1);
        }
    }
    /// True if it holds `x`.
    pub fn has(&self, x: u32) -> bool {
        let at = self.0.partition_point(|r| r.1 <= x);
        self.0.get(at).is_some_and(|r| r.0 <= x)
    }
    /// How many numbers it holds.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|r| r.1 - r.0).sum()
    }
    /// Numbers below `n` that it lacks, from the lowest.
    pub fn missing(&self, n: u32) -> impl Iterator<Item = u32> + '_ {
        let starts = std::iter::once(0).chain(self.0.iter().map(|r| r.1));
        let ends = self.0.iter().map(|r| r.0).chain(std::iter::once(n));
        starts.zip(ends).flat_map(|(a, b)| a..b)
    }
    /// How many ranges it takes.
    pub fn pieces(&self) -> usize {
        self.0.len()
    }
}

/// Rough size of a placement in a record.
pub const PLACEMENT_BYTES: usize = 36;
/// Rough size of a part of a record without placements.
const PART_BYTES: usize = 20;
/// Parts of a record at most.
const MOST_PARTS: u16 = 2000;

/// A placement as stored: task, attempt, machine, its shard, the paying shard.
pub type StoredPlacement = (u32, u64, String, u32, u32);

/// A job's record in the state service.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct JobRecord {
    /// Description; left out once the job is over and nothing of it is left.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// State.
    #[serde(rename = "s")]
    pub state: JobState,
    /// Time of day of the submission, ms.
    #[serde(rename = "t")]
    pub submitted_at: u64,
    /// Done tasks.
    #[serde(rename = "d", default)]
    pub done: Ranges,
    /// Placements.
    #[serde(rename = "p", default)]
    pub placements: Vec<StoredPlacement>,
    /// Next attempt.
    #[serde(rename = "n")]
    pub next_attempt: u64,
    /// Time of day at which the last task was done, ms; 0: not yet, or written by version 0.1.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub finished_at: u64,
}

impl JobRecord {
    /// The record of a job that has just been submitted.
    pub fn submitted(spec: JobSpec, wall_ms: u64) -> JobRecord {
        JobRecord {
            spec: Some(spec),
            state: JobState::Open,
            submitted_at: wall_ms,
            done: Ranges::default(),
            placements: Vec::new(),
            next_attempt: 1,
            finished_at: 0,
        }
    }
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// A task's place. It goes only on proof that the attempt is not there and can't begin later.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Task.
    pub task: u32,
    /// TaskAttempt.
    pub attempt: u64,
    /// Machine.
    pub machine: MachineIndex,
    /// The machine's shard.
    pub shard: ShardIndex,
    /// The shard whose share of the team's limit it uses.
    pub charged_shard: ShardIndex,
    /// The part of the job's record that holds it; 0: the record itself.
    pub overflow_index: u16,
}

/// Where it is stored makes no difference to what it is.
impl PartialEq for Placement {
    fn eq(&self, o: &Placement) -> bool {
        let all = |p: &Placement| (p.task, p.attempt, p.machine, p.shard, p.charged_shard);
        all(self) == all(o)
    }
}

/// A job's description, names interned.
#[derive(Clone, Debug)]
pub struct Spec {
    /// As submitted.
    pub wire: JobSpec,
    /// Team.
    pub team: TeamIndex,
    /// What a task takes.
    pub need: Resources,
    /// Allowed types.
    pub machine_types: Option<Vec<MachineTypeIndex>>,
    /// Only allowed zone.
    pub zone: Option<ZoneIndex>,
    /// Image.
    pub image: ImageIndex,
    /// Size of the description in a record.
    pub record_bytes: usize,
}

impl Spec {
    /// Tasks.
    pub fn tasks(&self) -> u32 {
        self.wire.tasks
    }
    /// Priority.
    pub fn priority(&self) -> Priority {
        self.wire.priority
    }
    /// True for a gang of more than one task: it skips the queues.
    pub fn is_wide_gang(&self) -> bool {
        self.wire.kind == JobKind::Gang && self.wire.tasks > 1
    }
    /// Most tasks that may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.wire.spread {
            self.wire.tasks.div_ceil(2)
        } else {
            u32::MAX
        }
    }
}

/// A job in memory.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id.
    pub id: Rc<str>,
    /// Version of the record this was read from.
    pub version: u64,
    /// State.
    pub state: JobState,
    /// Time of day of the submission, ms.
    pub submitted_at: u64,
    /// Description, while needed.
    pub spec: Option<Rc<Spec>>,
    /// Done tasks.
    pub done: Ranges,
    /// Placements.
    pub placements: Vec<Placement>,
    /// Next attempt.
    pub next_attempt: u64,
    /// Time of day at which its last task was done, ms, if that is known.
    pub finished_at: u64,
    /// What follows from the jobs around it.
    pub dependency_state: DependencyState,
}

/// What follows for a job from those that it needs and those that need it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DependencyState {
    /// It waits for a dependency, so nothing of it may start.
    pub blocked: bool,
    /// Time of day from which on it could run: its submission, or the end of its last dependency.
    pub eligible_since: u64,
    /// The highest priority of the job and of all that need it.
    pub priority: Priority,
    /// Time of day by which it has to be done, for its own deadline or so that those that need
    /// it can keep theirs.
    pub deadline: Option<u64>,
}

impl Job {
    /// True while it is not over.
    pub fn is_open(&self) -> bool {
        self.state == JobState::Open
    }
    /// True while tasks may start: it is open, and all it needs is done.
    pub fn is_runnable(&self) -> bool {
        self.is_open() && !self.dependency_state.blocked
    }
    /// True once nothing more will happen to it.
    pub fn is_settled(&self) -> bool {
        !self.is_open() && self.placements.is_empty()
    }
    /// The placement of a task.
    pub fn placement(&self, task: u32) -> Option<&Placement> {
        self.placements.iter().find(|p| p.task == task)
    }
    /// True if the task waits for a machine.
    pub fn is_waiting(&self, task: u32) -> bool {
        self.is_runnable() && !self.done.has(task) && self.placement(task).is_none()
    }
    /// Tasks that wait for a machine, from the lowest.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = u32> + '_ {
        let n = self
            .spec
            .as_ref()
            .filter(|_| self.is_runnable())
            .map_or(0, |s| s.tasks());
        let mut placed: Vec<u32> = self.placements.iter().map(|p| p.task).collect();
        placed.sort_unstable();
        let waits = move |t: &u32| placed.binary_search(t).is_err();
        self.done.missing(n).filter(waits)
    }
    /// How many tasks wait.
    pub fn waiting_count(&self) -> u32 {
        match &self.spec {
            Some(s) if self.is_runnable() => {
                let placed = self
                    .placements
                    .iter()
                    .filter(|p| !self.done.has(p.task))
                    .count() as u32;
                s.tasks()
                    .saturating_sub(self.done.count())
                    .saturating_sub(placed)
            }
            _ => 0,
        }
    }
    /// Notes that a task is done; a gang's tasks complete together.
    pub fn complete_task(&mut self, task: u32) {
        let Some(spec) = self.spec.clone() else {
            return;
        };
        match spec.wire.kind {
            JobKind::Gang => self.done = Ranges::all(spec.tasks()),
            // A replica that ends by itself is replaced.
            JobKind::Service => return,
            JobKind::Array => self.done.add(task),
        }
        if self.is_open() && self.done.count() == spec.tasks() {
            self.state = JobState::Done;
        }
    }
    /// Drops one placement, which is proven gone.
    pub fn remove_placement(&mut self, task: u32, attempt: u64) -> bool {
        let before = self.placements.len();
        self.placements
            .retain(|p| (p.task, p.attempt) != (task, attempt));
        before != self.placements.len()
    }
    /// Rough size of the record as JSON, without its parts.
    pub fn record_bytes(&self) -> usize {
        let own = self
            .placements
            .iter()
            .filter(|p| p.overflow_index == 0)
            .count();
        let spec = self.spec.as_ref().map_or(0, |s| s.record_bytes);
        120 + spec + self.done.pieces() * 14 + own * PLACEMENT_BYTES
    }
    /// Parts of the record for this many more placements, each the first with room; the record
    /// itself is part 0, and the only one unless there may be `parts`.
    pub fn overflow_indices_for(
        &self,
        n: usize,
        value_bytes: usize,
        parts: bool,
    ) -> Option<Vec<u16>> {
        let mut sizes = vec![self.record_bytes()];
        for p in self.placements.iter().filter(|p| p.overflow_index > 0) {
            let at = usize::from(p.overflow_index);
            if sizes.len() <= at {
                sizes.resize(at + 1, PART_BYTES);
            }
            sizes[at] += PLACEMENT_BYTES;
        }
        let mut out = Vec::with_capacity(n);
        for _ in 0..n {
            let fits = |size: &usize| size + PLACEMENT_BYTES <= value_bytes;
            let found = sizes.iter().position(fits);
            let at = found.unwrap_or(sizes.len());
            if at > 0 && !parts || at > usize::from(MOST_PARTS) {
                return None;
            }
            if at == sizes.len() {
                sizes.push(PART_BYTES);
            }
            sizes[at] += PLACEMENT_BYTES;
            out.push(at as u16);
        }
        Some(out)
    }
}
