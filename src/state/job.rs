//! Jobs: their records in the key-value store, and their form in memory.

use super::names::{ImageIndex, MachineIndex, MachineTypeIndex, ShardIndex, TeamIndex, ZoneIndex};
use super::staged_attempt::StagedAttempt;
use super::task_ranges::TaskRanges;
use super::units::Resources;
use crate::protocol::users::{JobKind, JobSpec, Priority};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::rc::Rc;

/// State of a job.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobState {
    /// Neither done nor cancelled.
    #[serde(rename = "o")]
    Open,
    /// All tasks are done.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by its user, or because a dependency was cancelled.
    #[serde(rename = "c")]
    Cancelled,
}

/// Estimated size of a placement in a record, in bytes.
pub const PLACEMENT_BYTES: usize = 36;
/// Estimated size of a job's record without its description, ranges and placements, in bytes.
const RECORD_BASE_BYTES: usize = 120;
/// Estimated size of one range of done tasks in a record, in bytes.
const TASK_RANGE_BYTES: usize = 14;
/// Estimated size of a staged attempt in a record, in bytes.
const STAGED_ATTEMPT_BYTES: usize = 50;
/// Estimated size of an overflow record without placements, in bytes.
const OVERFLOW_BASE_BYTES: usize = 20;
/// Maximum number of overflow records of a job.
const MAX_OVERFLOW_RECORDS: u16 = 2000;

/// A placement as a record holds it: a list in the order of `PlacementFields`.
#[derive(Serialize, Deserialize, Clone, PartialEq, Eq, Hash, Debug)]
#[serde(from = "PlacementFields", into = "PlacementFields")]
pub struct StoredPlacement {
    /// Number of the task within its job, counted from 0.
    pub task: u32,
    /// Number of the attempt, unique within the job.
    pub attempt: u64,
    /// Name of the machine to which the attempt is assigned.
    pub machine: String,
    /// Shard of the machine.
    pub shard: ShardIndex,
    /// Shard whose share of the team's quota is charged.
    pub charged_shard: ShardIndex,
}

/// The stored form of a placement: task, attempt, machine, shard of the machine, charged shard.
/// This form never changes, because records written by version 0.1 must stay readable.
type PlacementFields = (u32, u64, String, u32, u32);

impl From<PlacementFields> for StoredPlacement {
    fn from(fields: PlacementFields) -> StoredPlacement {
        let (task, attempt, machine, shard, charged_shard) = fields;
        StoredPlacement {
            task,
            attempt,
            machine,
            shard: ShardIndex(shard),
            charged_shard: ShardIndex(charged_shard),
        }
    }
}

impl From<StoredPlacement> for PlacementFields {
    fn from(placement: StoredPlacement) -> PlacementFields {
        let shard = placement.shard.0;
        let charged_shard = placement.charged_shard.0;
        (
            placement.task,
            placement.attempt,
            placement.machine,
            shard,
            charged_shard,
        )
    }
}

/// A job's record, at the key `ph/job/<id>`.
///
/// Created by the controller that accepts the submission; afterwards written by the owners of the
/// shards that it has placements on, each time on the condition that neither the record nor the
/// writer's fencing tokens have changed.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct JobRecord {
    /// Description of the job; left out once the job is settled.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// State of the job when the record was written; still open for a while after a dependency was
    /// cancelled.
    #[serde(rename = "s")]
    pub state: JobState,
    /// Wall-clock time of the submission, ms.
    #[serde(rename = "t")]
    pub submitted_at: u64,
    /// Numbers of the tasks that are done.
    #[serde(rename = "d", default)]
    pub done: TaskRanges,
    /// Placements of the job, without those in overflow records.
    #[serde(rename = "p", default)]
    pub placements: Vec<StoredPlacement>,
    /// Number that the next attempt gets, whichever task it is for.
    #[serde(rename = "n")]
    pub next_attempt: u64,
    /// Wall-clock time at which the job's last task was done, ms; 0: the job is not done, or the
    /// record was written by version 0.1.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub finished_at: u64,
    /// The attempt of a gang whose placements are being recorded in several transactions.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub staged: Option<StagedAttempt>,
}

impl JobRecord {
    /// The record of a job that has just been submitted.
    pub fn submitted(spec: JobSpec, wall_ms: u64) -> JobRecord {
        JobRecord {
            spec: Some(spec),
            state: JobState::Open,
            submitted_at: wall_ms,
            done: TaskRanges::default(),
            placements: Vec::new(),
            next_attempt: 1,
            finished_at: 0,
            staged: None,
        }
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// An attempt of a task that is assigned to a machine.
///
/// A placement is removed only on proof that the attempt does not run and can't start later;
/// otherwise a task could run twice.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Number of the task within its job.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// Machine to which the attempt is assigned.
    pub machine: MachineIndex,
    /// The machine's shard.
    pub shard: ShardIndex,
    /// The shard whose share of the team's quota is charged.
    pub charged_shard: ShardIndex,
    /// Index of the overflow record in which the placement is stored; 0: the job's own record.
    pub overflow_index: u16,
}

/// What identifies a placement: all but the record in which it is stored.
type PlacementIdentity = (u32, u64, MachineIndex, ShardIndex, ShardIndex);

impl Placement {
    fn identity(&self) -> PlacementIdentity {
        (
            self.task,
            self.attempt,
            self.machine,
            self.shard,
            self.charged_shard,
        )
    }
}

/// Compares placements without regard to the record in which they are stored.
impl PartialEq for Placement {
    fn eq(&self, other: &Placement) -> bool {
        self.identity() == other.identity()
    }
}

/// A job's description with interned names.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The description as submitted.
    pub submitted: JobSpec,
    /// Team whose quota the job uses.
    pub team: TeamIndex,
    /// Resources that one task requests.
    pub need: Resources,
    /// Machine types that the job may run on; `None`: all.
    pub machine_types: Option<Vec<MachineTypeIndex>>,
    /// The only zone that the job may run in; `None`: any.
    pub zone: Option<ZoneIndex>,
    /// Container image that the tasks run.
    pub image: ImageIndex,
    /// Size of the description in a record, in bytes.
    pub record_bytes: usize,
}

impl Spec {
    /// Number of tasks of the job.
    pub fn tasks(&self) -> u32 {
        self.submitted.tasks
    }
    /// Priority as submitted, without what the job inherits from its dependents.
    pub fn priority(&self) -> Priority {
        self.submitted.priority
    }
    /// True for a gang of more than one task: its tasks are never queued on machines.
    pub fn is_wide_gang(&self) -> bool {
        self.submitted.kind == JobKind::Gang && self.submitted.tasks > 1
    }
    /// Maximum number of the job's tasks in one zone: half of all its tasks, rounded up, if the job
    /// is to be spread over zones, else no limit.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.submitted.spread {
            self.submitted.tasks.div_ceil(2)
        } else {
            u32::MAX
        }
    }
}

/// A job in memory.
#[derive(Clone, Debug)]
pub struct Job {
    /// Job id.
    pub id: Rc<str>,
    /// Version of the record from which the job was read.
    pub version: u64,
    /// State of the job; cancelled as soon as the cancellation of the job or of a dependency is
    /// known here, even if the record still says that the job is open.
    pub state: JobState,
    /// Wall-clock time of the submission, ms.
    pub submitted_at: u64,
    /// Description of the job; `None` once the job is settled, or if its team or zone is unknown.
    pub spec: Option<Rc<Spec>>,
    /// Numbers of the tasks that are done.
    pub done: TaskRanges,
    /// All placements of the job, including those in overflow records.
    pub placements: Vec<Placement>,
    /// Number that the next attempt gets, whichever task it is for.
    pub next_attempt: u64,
    /// Wall-clock time at which the job's last task was done, ms; 0: not done, or unknown.
    pub finished_at: u64,
    /// The attempt of a gang whose placements are being recorded in several transactions.
    pub staged: Option<StagedAttempt>,
    /// The part of the job's state that is derived from its dependencies and dependents.
    pub dependency_state: DependencyState,
}

/// The part of a job's state that is derived from its dependencies and dependents.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DependencyState {
    /// True if a dependency is not done, so that no task may start.
    pub blocked: bool,
    /// Wall-clock time since which the job has been eligible to run, ms: that of its submission,
    /// or that of the end of its last dependency.
    pub eligible_since: u64,
    /// The highest priority of the job and of its dependents.
    pub priority: Priority,
    /// Wall-clock time in ms by which the job has to be done to meet its own deadline and those of
    /// its dependents; `None` if none of them has a deadline.
    pub deadline: Option<u64>,
}

impl Job {
    /// True while the job is neither done nor cancelled.
    pub fn is_open(&self) -> bool {
        self.state == JobState::Open
    }
    /// True while tasks may start: the job is open and all its dependencies are done.
    pub fn is_runnable(&self) -> bool {
        self.is_open() && !self.dependency_state.blocked
    }
    /// Time for which the job has been eligible to run, ms: since its submission or the end of its
    /// last dependency.
    pub fn waited_ms(&self, wall_ms: u64) -> u64 {
        wall_ms.saturating_sub(self.dependency_state.eligible_since)
    }
    /// True once the job is done or cancelled and has no placements: it does not change any more.
    pub fn is_settled(&self) -> bool {
        !self.is_open() && self.placements.is_empty()
    }
    /// This job in the cancelled state.
    pub fn cancelled(self) -> Job {
        Job {
            state: JobState::Cancelled,
            ..self
        }
    }
    /// The placements of this job that another version of the job lacks, in their order.
    pub fn placements_missing_from<'a>(
        &'a self,
        other: &Job,
    ) -> impl Iterator<Item = &'a Placement> {
        let others: HashSet<PlacementIdentity> =
            other.placements.iter().map(Placement::identity).collect();
        let own = self.placements.iter();
        own.filter(move |placement| !others.contains(&placement.identity()))
    }
    /// The placement of a task; `None` if the task has none.
    pub fn placement(&self, task: u32) -> Option<&Placement> {
        self.placements.iter().find(|p| p.task == task)
    }
    /// True if the task waits for a placement.
    pub fn is_waiting(&self, task: u32) -> bool {
        self.is_runnable() && !self.done.has(task) && self.placement(task).is_none()
    }
    /// Tasks that wait for a placement, in ascending order.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = u32> + '_ {
        let spec = self.spec.as_ref().filter(|_| self.is_runnable());
        let task_count = spec.map_or(0, |spec| spec.tasks());
        let mut placed: Vec<u32> = self.placements.iter().map(|p| p.task).collect();
        placed.sort_unstable();
        let unfinished = self.done.missing(task_count);
        unfinished.filter(move |task| placed.binary_search(task).is_err())
    }
    /// Number of tasks that wait for a placement.
    pub fn waiting_count(&self) -> u32 {
        match &self.spec {
            Some(spec) if self.is_runnable() => spec
                .tasks()
                .saturating_sub(self.done.count())
                .saturating_sub(self.unfinished_placements()),
            _ => 0,
        }
    }
    /// Number of placements whose task is not done.
    pub fn unfinished_placements(&self) -> u32 {
        let unfinished = self.placements.iter().filter(|p| !self.done.has(p.task));
        unfinished.count() as u32
    }
    /// Records that a task is done. A gang's tasks complete together; a task of a service is never
    /// done.
    pub fn complete_task(&mut self, task: u32) {
        let Some(spec) = self.spec.clone() else {
            return;
        };
        match spec.submitted.kind {
            JobKind::Gang => self.done = TaskRanges::all(spec.tasks()),
            // A replica of a service that exits by itself is replaced.
            JobKind::Service => return,
            JobKind::Array => self.done.add(task),
        }
        if self.is_open() && self.done.count() == spec.tasks() {
            self.state = JobState::Done;
        }
    }
    /// Removes the placement of an attempt that is proven not to run; returns false if the attempt
    /// has no placement. A staged gang that loses a placement is no longer staged.
    pub fn remove_placement(&mut self, task: u32, attempt: u64) -> bool {
        let before = self.placements.len();
        self.placements
            .retain(|p| (p.task, p.attempt) != (task, attempt));
        let removed = before != self.placements.len();
        if removed {
            self.staged = None;
        }
        removed
    }
    /// Estimated size of the job's own record as JSON, without overflow records, in bytes.
    pub fn record_bytes(&self) -> usize {
        let own = self.placements.iter().filter(|p| p.overflow_index == 0);
        let spec = self.spec.as_ref().map_or(0, |spec| spec.record_bytes);
        RECORD_BASE_BYTES
            + spec
            + self.done.range_count() * TASK_RANGE_BYTES
            + self.staged.map_or(0, |_| STAGED_ATTEMPT_BYTES)
            + own.count() * PLACEMENT_BYTES
    }
    /// Chooses the record in which to store each of `count` more placements: the first record that
    /// stays within `value_bytes`. Index 0 is the job's own record; overflow records are used only
    /// if `overflow_allowed`. `None` if the placements don't fit.
    pub fn overflow_indices_for(
        &self,
        count: usize,
        value_bytes: usize,
        overflow_allowed: bool,
    ) -> Option<Vec<u16>> {
        let mut sizes = self.stored_sizes();
        let mut indices = Vec::with_capacity(count);
        // Records only grow here, so one that is full stays full: the search never goes back.
        let mut index = 0;
        for _ in 0..count {
            while sizes
                .get(index)
                .is_some_and(|size| size + PLACEMENT_BYTES > value_bytes)
            {
                index += 1;
            }
            if index > 0 && !overflow_allowed || index > usize::from(MAX_OVERFLOW_RECORDS) {
                return None;
            }
            if index == sizes.len() {
                sizes.push(OVERFLOW_BASE_BYTES);
            }
            sizes[index] += PLACEMENT_BYTES;
            indices.push(index as u16);
        }
        Some(indices)
    }
    /// Estimated size of one of the job's overflow records, in bytes.
    pub fn overflow_bytes(&self, overflow_index: u16) -> usize {
        let placements = self.placements.iter();
        let stored = placements.filter(|p| p.overflow_index == overflow_index);
        OVERFLOW_BASE_BYTES + stored.count() * PLACEMENT_BYTES
    }
    /// Estimated sizes in bytes: first the job's own record, then its overflow records.
    fn stored_sizes(&self) -> Vec<usize> {
        let mut sizes = vec![self.record_bytes()];
        for placement in self.placements.iter().filter(|p| p.overflow_index > 0) {
            let index = usize::from(placement.overflow_index);
            if sizes.len() <= index {
                sizes.resize(index + 1, OVERFLOW_BASE_BYTES);
            }
            sizes[index] += PLACEMENT_BYTES;
        }
        sizes
    }
}
