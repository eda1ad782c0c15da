//! What a controller knows of one machine, grouped by the source of the knowledge.

use super::names::{ImageIndex, JobIndex, MachineTypeIndex, ShardIndex, ZoneIndex};
use super::units::{MonotonicMillis, Resources};
use crate::protocol::workers::{AgentEpoch, ExitReason, HeartbeatVersion, TaskState};
use standby::ids::FencingToken;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// One attempt to run a task.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskAttempt {
    /// Job of the task.
    pub job: JobIndex,
    /// Number of the task within its job, counted from 0.
    pub task: u32,
    /// Number of the attempt, unique within the job; a later attempt has a higher number.
    pub attempt: u64,
}

impl TaskAttempt {
    /// The attempt with this number at a task of a job.
    pub fn new(job: JobIndex, task: u32, attempt: u64) -> TaskAttempt {
        TaskAttempt { job, task, attempt }
    }
}

/// A machine type and its capacity.
#[derive(Clone, Debug)]
pub struct MachineType {
    /// Description of the type in the cloud's catalog.
    pub description: crate::protocol::cloud::CloudMachineType,
    /// Resources of one machine of this type, converted from the description.
    pub capacity: Resources,
}

/// A task as the newest message of its worker shows it.
#[derive(Clone, Debug)]
pub struct ObservedTask {
    /// Job of the task; `None` if no record of the job has been read here.
    pub job: Option<JobIndex>,
    /// Name of the task in messages of workers: job id and task number, such as `job-1/3`.
    pub name: Rc<str>,
    /// Number of the task within its job.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// State of the attempt.
    pub state: TaskState,
    /// Why the attempt ended; `None` until it has ended.
    pub exit_reason: Option<ExitReason>,
}

impl ObservedTask {
    /// The attempt that the message shows; `None` if its job is not known here.
    pub fn task_attempt(&self) -> Option<TaskAttempt> {
        Some(TaskAttempt::new(self.job?, self.task, self.attempt))
    }
    /// True if the task has completed, and so uses no capacity of its machine.
    pub fn is_done(&self) -> bool {
        self.state == TaskState::Exited && self.exit_reason == Some(ExitReason::Done)
    }
    /// True if `self` and `other` are the same attempt in the same state.
    pub fn same_state_as(&self, other: &ObservedTask) -> bool {
        (
            self.job,
            self.task,
            self.attempt,
            self.state,
            self.exit_reason,
        ) == (
            other.job,
            other.task,
            other.attempt,
            other.state,
            other.exit_reason,
        )
    }
}

/// A start command that was sent directly, not in the response to a heartbeat.
///
/// It may be delivered late, or twice, as long as the worker accepts its fencing token and agent
/// epoch.
#[derive(Clone, Copy, Debug)]
pub struct InFlightStart {
    /// Fencing token of the command.
    pub fencing_token: FencingToken,
    /// Agent epoch that the command is addressed to.
    pub agent_epoch: AgentEpoch,
    /// When the command was sent.
    pub sent_at: MonotonicMillis,
    /// True once the worker has responded to the command.
    pub acknowledged: bool,
}

/// How long a machine stays reserved for a gang unless the reservation is renewed.
pub(crate) const GANG_RESERVATION_MS: u64 = 4000;

/// State of a machine as its worker's own messages show it.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatState {
    /// Latest time at which the worker is known to have been alive: by a heartbeat under the
    /// owner's fencing token, or by the owner's status update.
    ///
    /// A heartbeat under an older token may be a delayed duplicate and proves nothing.
    pub last_seen: Option<MonotonicMillis>,
    /// When this controller last responded to a heartbeat of the machine. The response renews the
    /// worker's lease.
    pub last_answered: Option<MonotonicMillis>,
    /// Version of the newest message with a task list: a heartbeat, or the response to a direct
    /// command.
    pub message_version: HeartbeatVersion,
    /// When the newest message with a task list arrived.
    pub message_received_at: Option<MonotonicMillis>,
    /// When the first message of the newest known agent epoch arrived, of whatever kind.
    pub agent_epoch_seen_at: Option<MonotonicMillis>,
    /// Version of the newest heartbeat.
    pub version: HeartbeatVersion,
    /// Fencing token in the newest heartbeat.
    pub fencing_token: FencingToken,
    /// Number of heartbeats whose response waits for a scheduling round; no start is sent directly
    /// while there are any.
    pub responses_in_progress: u32,
    /// When the cloud will preempt the machine; `None` if it has given no notice.
    pub preemption_deadline: Option<MonotonicMillis>,
    /// Tasks in the newest message with a task list.
    pub tasks: Vec<ObservedTask>,
}

/// Start commands sent to a machine, tracked so that no attempt is started twice.
#[derive(Clone, Debug, Default)]
pub struct StartTracking {
    /// Attempts for which a start command was sent, each with the version of the newest heartbeat
    /// at the time of the last such command.
    pub sent: HashMap<TaskAttempt, HeartbeatVersion>,
    /// Direct start commands that may still be delivered, by attempt.
    pub in_flight: HashMap<TaskAttempt, InFlightStart>,
    /// Attempts that were observed on the machine or are abandoned: they are not started again.
    pub observed_or_abandoned: HashSet<TaskAttempt>,
    /// How often a gang task timed out here while it waited for the other members, by attempt.
    pub gang_timeouts: HashMap<TaskAttempt, u8>,
}

impl StartTracking {
    /// Drops the attempts that are no longer placed here, except in-flight starts, which may be
    /// delivered after their placement has been removed.
    pub fn retain_placed(&mut self, placed: &[TaskAttempt]) {
        self.sent.retain(|attempt, _| placed.contains(attempt));
        self.observed_or_abandoned
            .retain(|attempt| placed.contains(attempt));
        self.gang_timeouts
            .retain(|attempt, _| placed.contains(attempt));
    }
}

/// Whether the machine works and can be reached, derived by its owner from its heartbeats.
#[derive(Clone, Debug, Default)]
pub struct MachineHealth {
    /// Jobs whose tasks have failed here since a task last completed.
    pub failed_jobs: HashSet<JobIndex>,
    /// True if the machine is presumed faulty: it gets no tasks and is deleted.
    pub quarantined: bool,
    /// Number of consecutive heartbeats that show none of the starts sent before them.
    pub unobserved_starts: u8,
    /// Since when the machine's heartbeats have been responded to without a gap.
    pub responding_since: Option<MonotonicMillis>,
    /// Since when heartbeats arrive but no response seems to reach the machine.
    pub unreachable_since: Option<MonotonicMillis>,
}

impl MachineHealth {
    /// Records that no response seems to reach the machine, unless that is known already.
    pub fn mark_unreachable(&mut self, now: MonotonicMillis) {
        self.unreachable_since = self.unreachable_since.or(Some(now));
    }

    /// Records that the worker has shown the effect of a command.
    pub fn mark_reachable(&mut self, now: MonotonicMillis) {
        self.unreachable_since = None;
        self.unobserved_starts = 0;
        self.responding_since = Some(now);
    }

    /// True while no response seems to reach the machine.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }
}

/// Reservation of a machine's free capacity for a gang.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Reservation {
    /// Job of the gang that the machine is reserved for.
    pub gang: JobIndex,
    /// When the reservation expires.
    pub until: MonotonicMillis,
}

impl Reservation {
    /// True until the reservation expires.
    pub fn is_active(&self, now: MonotonicMillis) -> bool {
        now < self.until
    }
}

/// Decisions that this controller has made about the machine as its owner.
#[derive(Clone, Debug, Default)]
pub struct OwnerDecisions {
    /// True if the machine is to be deleted and gets no tasks.
    pub cordoned: bool,
    /// Reservation for a gang, which may have expired.
    pub reservation: Option<Reservation>,
    /// Attempts to be stopped, each with the time in seconds that the task has to write a last
    /// checkpoint.
    pub stopping: HashMap<TaskAttempt, f64>,
    /// Since when the machine has had neither placements nor queued tasks; `None` while it has any,
    /// or if it has not been seen yet.
    pub idle_since: Option<MonotonicMillis>,
}

impl OwnerDecisions {
    /// True if the machine has been idle for longer than `idle_ms`.
    pub fn is_idle_for(&self, idle_ms: u64, now: MonotonicMillis) -> bool {
        self.idle_since
            .is_some_and(|since| now.since(since) > idle_ms)
    }

    /// True if the machine is not reserved, or its reservation expired before `now`.
    pub fn is_reservation_over(&self, now: MonotonicMillis) -> bool {
        self.reservation
            .is_none_or(|reservation| now > reservation.until)
    }
}

/// What the latest status update of a machine's owner says, if that is another controller.
#[derive(Clone, Debug, Default)]
pub struct OwnerStatus {
    /// Length of the machine's queue; 255 stands for all larger numbers as well.
    pub queue_length: u8,
    /// True if the machine gets no tasks, for whatever reason.
    ///
    /// The next owner of the shard does not rely on this: it decides by the machine's heartbeats.
    pub cordoned: bool,
    /// True once the machine has sent a heartbeat under the owner's fencing token.
    pub fencing_token_confirmed: bool,
}

/// A task in a machine's queue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueuedTask {
    /// Job of the task.
    pub job: JobIndex,
    /// Number of the task within its job.
    pub task: u32,
    /// When the task was added to this queue.
    pub queued_at: MonotonicMillis,
}

impl QueuedTask {
    /// An entry for a task that is queued at `now`.
    pub fn new(job: JobIndex, task: u32, now: MonotonicMillis) -> QueuedTask {
        QueuedTask {
            job,
            task,
            queued_at: now,
        }
    }
    /// True if the entry is for the given task, whenever that was queued.
    pub fn is_task(&self, job: JobIndex, task: u32) -> bool {
        (self.job, self.task) == (job, task)
    }
}

/// What a controller knows of one machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name of the machine, given by the cloud.
    pub name: Rc<str>,
    /// Address of the machine's worker; empty if unknown.
    pub addr: String,
    /// Type of the machine; the cloud's catalog may not describe it yet.
    pub machine_type: MachineTypeIndex,
    /// Zone that the machine is in.
    pub zone: ZoneIndex,
    /// True for a spot machine, which the cloud may preempt.
    pub spot: bool,
    /// Shard of the machine, which follows from its zone and name and never changes.
    pub shard: ShardIndex,
    /// When this controller first learned of the machine.
    pub discovered_at: MonotonicMillis,
    /// State of the machine as its worker's own messages show it.
    pub heartbeat: HeartbeatState,
    /// Start commands sent to the machine.
    pub starts: StartTracking,
    /// Whether the machine works and can be reached, as its owner derives it.
    pub health: MachineHealth,
    /// Decisions of this controller as the machine's owner.
    pub decisions: OwnerDecisions,
    /// What the latest status update of the machine's owner says, if that is another controller.
    pub owner_status: OwnerStatus,
    /// Tasks that wait for free capacity of this machine, next first.
    pub queue: VecDeque<QueuedTask>,
    /// Images in the machine's cache with their sizes in GB, most recently used last.
    pub images: Vec<(ImageIndex, f64)>,
}

impl Machine {
    /// A machine that has just been discovered.
    pub fn new(
        name: Rc<str>,
        machine_type: MachineTypeIndex,
        zone: ZoneIndex,
        spot: bool,
        shard: ShardIndex,
        now: MonotonicMillis,
    ) -> Machine {
        Machine {
            name,
            addr: String::new(),
            machine_type,
            zone,
            spot,
            shard,
            discovered_at: now,
            heartbeat: HeartbeatState::default(),
            starts: StartTracking::default(),
            health: MachineHealth::default(),
            decisions: OwnerDecisions::default(),
            owner_status: OwnerStatus::default(),
            queue: VecDeque::new(),
            images: Vec::new(),
        }
    }

    /// The attempt as the worker's newest task list shows it; `None` if the list does not hold it.
    pub fn observed(&self, attempt: TaskAttempt) -> Option<&ObservedTask> {
        let mut tasks = self.heartbeat.tasks.iter();
        tasks.find(|task| task.task_attempt() == Some(attempt))
    }

    /// True if the machine may get a new task now: it is neither cordoned, quarantined, unreachable
    /// nor about to be preempted, and it was last seen `unresponsive_ms` ago at most.
    pub fn is_schedulable(&self, now: MonotonicMillis, unresponsive_ms: u64) -> bool {
        let last_seen = self.heartbeat.last_seen;
        !self.is_cordoned()
            && !self.health.quarantined
            && !self.health.is_unreachable()
            && self.heartbeat.preemption_deadline.is_none()
            && last_seen.is_some_and(|time| now.since(time) <= unresponsive_ms)
    }

    /// True if the machine gets no tasks, by decision of this controller or of its owner.
    pub fn is_cordoned(&self) -> bool {
        self.decisions.cordoned || self.owner_status.cordoned
    }

    /// Cordons the machine for its deletion: it gets no tasks, and its queue is cleared so that the
    /// queued tasks are placed elsewhere.
    pub fn cordon(&mut self) {
        self.decisions.cordoned = true;
        self.queue.clear();
    }

    /// Reserves the machine for a gang until the given time.
    pub fn reserve_for(&mut self, gang: JobIndex, until: MonotonicMillis) {
        self.decisions.reservation = Some(Reservation { gang, until });
    }

    /// True if the task is in the machine's queue.
    pub fn has_queued(&self, job: JobIndex, task: u32) -> bool {
        self.queue.iter().any(|queued| queued.is_task(job, task))
    }

    /// True if the image is in the machine's cache or is being pulled.
    pub fn has_image(&self, image: ImageIndex) -> bool {
        self.images.iter().any(|(cached, _)| *cached == image)
    }

    /// Records that an image with a size of `gb` was used. Once the images exceed the cache's size
    /// of `cache_gb`, the least recently used ones are evicted.
    pub fn use_image(&mut self, image: ImageIndex, gb: f64, cache_gb: f64) {
        let position = self.images.iter().position(|(cached, _)| *cached == image);
        if let Some(position) = position {
            let used = self.images.remove(position);
            self.images.push(used);
            return;
        }
        self.images.push((image, gb));
        while self.images.len() > 1 && self.cached_gb() > cache_gb {
            self.images.remove(0);
        }
    }

    fn cached_gb(&self) -> f64 {
        self.images.iter().map(|(_, gb)| gb).sum()
    }
}
