//! What a controller knows of one machine, grouped by where the knowledge comes from.

use super::names::{ImageIndex, JobIndex, MachineTypeIndex, ShardIndex, ZoneIndex};
use super::units::{MonotonicMillis, Resources};
use crate::protocol::workers::{AgentEpoch, ExitReason, HeartbeatVersion, TaskState};
use standby::ids::FencingToken;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// One attempt to run a task.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskAttempt {
    /// The job.
    pub job: JobIndex,
    /// Task number.
    pub task: u32,
    /// Attempt number.
    pub attempt: u64,
}

impl TaskAttempt {
    /// An attempt of a job's task.
    pub fn new(job: JobIndex, task: u32, attempt: u64) -> TaskAttempt {
        TaskAttempt { job, task, attempt }
    }
}

/// A machine type and its capacity.
#[derive(Clone, Debug)]
pub struct MachineType {
    /// Description by the cloud.
    pub description: crate::protocol::cloud::CloudMachineType,
    /// Resources of a machine of this type.
    pub capacity: Resources,
}

/// A task in the newest message of a worker.
#[derive(Clone, Debug)]
pub struct ObservedTask {
    /// The job, if its name is known.
    pub job: Option<JobIndex>,
    /// Name for commands, `job-1/3`.
    pub name: Rc<str>,
    /// Task number.
    pub task: u32,
    /// Attempt number.
    pub attempt: u64,
    /// State of the task.
    pub state: TaskState,
    /// Why it exited, if it has.
    pub exit_reason: Option<ExitReason>,
}

impl ObservedTask {
    /// The attempt, if its job is known.
    pub fn task_attempt(&self) -> Option<TaskAttempt> {
        Some(TaskAttempt::new(self.job?, self.task, self.attempt))
    }
    /// True if it has completed, and so uses no capacity of its machine.
    pub fn is_done(&self) -> bool {
        self.state == TaskState::Exited && self.exit_reason == Some(ExitReason::Done)
    }
    /// True if both show the same attempt in the same state.
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

/// A start command that was sent directly, not in the response to a heartbeat. It may be
/// delivered late, or twice, as long as the worker accepts its fencing token and agent epoch.
#[derive(Clone, Copy, Debug)]
pub struct InFlightStart {
    /// Fencing token of the command.
    pub fencing_token: FencingToken,
    /// Agent epoch that the command is addressed to.
    pub agent_epoch: AgentEpoch,
    /// When it was sent.
    pub sent_at: MonotonicMillis,
    /// The worker has answered it.
    pub acknowledged: bool,
}

/// How long a machine stays reserved for a gang unless the reservation is renewed.
pub(crate) const GANG_RESERVATION_MS: u64 = 4000;

/// What the worker's own messages show.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatState {
    /// Latest proof of life: a heartbeat under the owner's fencing token, or the owner's status
    /// update.
    ///
    /// A heartbeat under an older token may be a delayed duplicate and proves nothing.
    pub last_seen: Option<MonotonicMillis>,
    /// When a heartbeat was last answered here, which renews the worker's lease.
    pub last_answered: Option<MonotonicMillis>,
    /// Newest message with a task list: a heartbeat, or the answer to a direct command.
    pub message_version: HeartbeatVersion,
    /// Newest heartbeat.
    pub version: HeartbeatVersion,
    /// Fencing token in the newest heartbeat.
    pub fencing_token: FencingToken,
    /// Heartbeats that are being answered right now.
    pub responses_in_progress: u32,
    /// When the cloud will preempt the machine, by its notice.
    pub preemption_deadline: Option<MonotonicMillis>,
    /// Tasks in the newest message.
    pub tasks: Vec<ObservedTask>,
}

/// What is remembered of start commands, so that no attempt is started twice.
#[derive(Clone, Debug, Default)]
pub struct StartTracking {
    /// The newest heartbeat at the time when a start command for the attempt was last sent.
    pub sent: HashMap<TaskAttempt, HeartbeatVersion>,
    /// Direct starts that may still be delivered.
    pub in_flight: HashMap<TaskAttempt, InFlightStart>,
    /// Attempts that were observed here or are abandoned: they are not started again.
    pub observed_or_abandoned: HashSet<TaskAttempt>,
    /// How often an attempt of a gang's task timed out here while it waited for the others.
    pub gang_timeouts: HashMap<TaskAttempt, u8>,
}

impl StartTracking {
    /// Forgets the attempts that are not placed here any more, except in-flight starts, which
    /// may be delivered after their placement has been removed.
    pub fn retain_placed(&mut self, placed: &[TaskAttempt]) {
        self.sent.retain(|attempt, _| placed.contains(attempt));
        self.observed_or_abandoned
            .retain(|attempt| placed.contains(attempt));
        self.gang_timeouts
            .retain(|attempt, _| placed.contains(attempt));
    }
}

/// Whether the machine works and can be reached, as its owner judges by its heartbeats.
#[derive(Clone, Debug, Default)]
pub struct MachineHealth {
    /// Jobs whose tasks failed here since the last task that was done.
    pub failed_jobs: HashSet<JobIndex>,
    /// Presumed to be faulty: it gets no tasks and is deleted.
    pub quarantined: bool,
    /// Consecutive heartbeats that show no effect of the starts sent before.
    pub unobserved_starts: u8,
    /// Since when its heartbeats have been answered without a gap.
    pub responding_since: Option<MonotonicMillis>,
    /// Since when its heartbeats arrive but no answer seems to reach it.
    pub unreachable_since: Option<MonotonicMillis>,
}

impl MachineHealth {
    /// Records that no answer seems to reach the machine, unless that is known already.
    pub fn mark_unreachable(&mut self, now: MonotonicMillis) {
        self.unreachable_since = self.unreachable_since.or(Some(now));
    }

    /// Records that the worker has shown the effect of a command.
    pub fn mark_reachable(&mut self, now: MonotonicMillis) {
        self.unreachable_since = None;
        self.unobserved_starts = 0;
        self.responding_since = Some(now);
    }

    /// True while no answer seems to reach the machine.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }
}

/// A machine's capacity that is kept free for a gang.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Reservation {
    /// The job that it is reserved for.
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

/// What this controller has decided about the machine as its owner.
#[derive(Clone, Debug, Default)]
pub struct OwnerDecisions {
    /// It is to be deleted and gets no tasks.
    pub cordoned: bool,
    /// It is reserved for a gang.
    pub reservation: Option<Reservation>,
    /// Attempts to be stopped, with the checkpoint grace period in seconds.
    pub stopping: HashMap<TaskAttempt, f64>,
    /// Since when nothing has been placed on it.
    pub idle_since: Option<MonotonicMillis>,
}

impl OwnerDecisions {
    /// True if nothing has been placed on the machine for longer than this.
    pub fn is_idle_for(&self, idle_ms: u64, now: MonotonicMillis) -> bool {
        self.idle_since
            .is_some_and(|since| now.since(since) > idle_ms)
    }

    /// True if the machine is not reserved, or its reservation has expired before now.
    pub fn is_reservation_over(&self, now: MonotonicMillis) -> bool {
        self.reservation
            .is_none_or(|reservation| now > reservation.until)
    }
}

/// The latest status update of the machine's owner, if that is another controller.
#[derive(Clone, Debug, Default)]
pub struct OwnerStatus {
    /// Length of the machine's queue.
    pub queue_length: u8,
    /// It gets no tasks, for whatever reason.
    ///
    /// The next owner does not rely on it: it decides by the machine's own heartbeats.
    pub cordoned: bool,
    /// The machine has sent a heartbeat under the owner's fencing token.
    pub fencing_token_confirmed: bool,
}

/// A task in a machine's queue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueuedTask {
    /// The job.
    pub job: JobIndex,
    /// Task number.
    pub task: u32,
    /// When it was queued here.
    pub queued_at: MonotonicMillis,
}

impl QueuedTask {
    /// A task of a job, queued now.
    pub fn new(job: JobIndex, task: u32, now: MonotonicMillis) -> QueuedTask {
        QueuedTask {
            job,
            task,
            queued_at: now,
        }
    }
    /// True if it is this task, whenever it was queued.
    pub fn is_task(&self, job: JobIndex, task: u32) -> bool {
        (self.job, self.task) == (job, task)
    }
}

/// A machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name.
    pub name: Rc<str>,
    /// Address of its worker; empty if unknown.
    pub addr: String,
    /// Machine type.
    pub machine_type: MachineTypeIndex,
    /// Zone.
    pub zone: ZoneIndex,
    /// The cloud may preempt it.
    pub spot: bool,
    /// Shard, which never changes.
    pub shard: ShardIndex,
    /// When this controller first learned of it.
    pub discovered_at: MonotonicMillis,
    /// By the worker's own messages.
    pub heartbeat: HeartbeatState,
    /// Start commands sent to it.
    pub starts: StartTracking,
    /// Whether it works and can be reached.
    pub health: MachineHealth,
    /// Decisions of this controller as its owner.
    pub decisions: OwnerDecisions,
    /// Status update of its owner, if that is another controller.
    pub owner_status: OwnerStatus,
    /// Tasks that wait for free capacity of this machine, next first.
    pub queue: VecDeque<QueuedTask>,
    /// Images in its cache with their sizes in GB, latest used last.
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

    /// The task as the worker's newest message shows it.
    pub fn observed(&self, attempt: TaskAttempt) -> Option<&ObservedTask> {
        let mut tasks = self.heartbeat.tasks.iter();
        tasks.find(|task| task.task_attempt() == Some(attempt))
    }

    /// True if it may get a new task now.
    pub fn is_schedulable(&self, now: MonotonicMillis, unresponsive_ms: u64) -> bool {
        let last_seen = self.heartbeat.last_seen;
        !self.is_cordoned()
            && !self.health.quarantined
            && !self.health.is_unreachable()
            && self.heartbeat.preemption_deadline.is_none()
            && last_seen.is_some_and(|time| now.since(time) <= unresponsive_ms)
    }

    /// True if it gets no tasks, by decision of this controller or of its owner.
    pub fn is_cordoned(&self) -> bool {
        self.decisions.cordoned || self.owner_status.cordoned
    }

    /// Cordons the machine for its deletion: it gets no tasks, and queued ones go elsewhere.
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

    /// True if the image is in the machine's cache, or is being pulled.
    pub fn has_image(&self, image: ImageIndex) -> bool {
        self.images.iter().any(|(cached, _)| *cached == image)
    }

    /// Records that an image was used; the least recently used ones are dropped once the cache
    /// is full.
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
