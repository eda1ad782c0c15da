//! Machines as their owner sees them.

use super::names::{ImageIndex, JobIndex, MachineTypeIndex, ShardIndex, ZoneIndex};
use super::units::{MonotonicMillis, Resources};
use crate::protocol::workers::{AgentEpoch, ExitReason, HeartbeatVersion, TaskState};
use standby::ids::FencingToken;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// One attempt to run a task.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskAttempt {
    /// Job.
    pub job: JobIndex,
    /// Task number.
    pub task: u32,
    /// TaskAttempt number.
    pub attempt: u64,
}

impl TaskAttempt {
    /// An attempt of a job's task.
    pub fn new(job: JobIndex, task: u32, attempt: u64) -> TaskAttempt {
        TaskAttempt { job, task, attempt }
    }
}

/// A machine type with its amounts.
#[derive(Clone, Debug)]
pub struct MachineType {
    /// As the cloud describes it.
    pub description: crate::protocol::cloud::CloudMachineType,
    /// What a machine has.
    pub capacity: Resources,
}

/// A task in the newest report.
#[derive(Clone, Debug)]
pub struct ObservedTask {
    /// Job, if its name is known.
    pub job: Option<JobIndex>,
    /// `job-1/3`, for orders.
    pub name: Rc<str>,
    /// Task.
    pub task: u32,
    /// TaskAttempt.
    pub attempt: u64,
    /// State.
    pub state: TaskState,
    /// Why it exited.
    pub exit_reason: Option<ExitReason>,
}

impl ObservedTask {
    /// The attempt, if its job is known.
    pub fn task_attempt(&self) -> Option<TaskAttempt> {
        Some(TaskAttempt::new(self.job?, self.task, self.attempt))
    }
    /// True if it has completed, and so takes nothing of its machine.
    pub fn is_done(&self) -> bool {
        self.state == TaskState::Exited && self.exit_reason == Some(ExitReason::Done)
    }
    /// True if both show the same attempt in the same state.
    pub fn same_state_as(&self, o: &ObservedTask) -> bool {
        (
            self.job,
            self.task,
            self.attempt,
            self.state,
            self.exit_reason,
        ) == (o.job, o.task, o.attempt, o.state, o.exit_reason)
    }
}

/// What a direct start is bound to: it may be delivered once more for as long as that holds.
#[derive(Clone, Copy, Debug)]
pub struct InFlightStart {
    /// Token.
    pub fencing_token: FencingToken,
    /// Session.
    pub agent_epoch: AgentEpoch,
    /// When it was sent.
    pub sent_at: MonotonicMillis,
    /// The worker has answered it.
    pub acknowledged: bool,
}

/// How long a machine stays reserved for a gang unless the reservation is renewed.
pub(crate) const GANG_RESERVATION_MS: u64 = 4000;

/// A machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name.
    pub name: Rc<str>,
    /// Worker's address.
    pub addr: String,
    /// Type.
    pub machine_type: MachineTypeIndex,
    /// Zone.
    pub zone: ZoneIndex,
    /// Spot.
    pub spot: bool,
    /// Shard, for good.
    pub shard: ShardIndex,
    /// First time it was known here.
    pub discovered_at: MonotonicMillis,
    /// Newest sign of life: a report that shows the owner's token, or a peer's news.
    ///
    /// A report under an older token may be a late copy and proves no life.
    pub last_heartbeat: Option<MonotonicMillis>,
    /// Last time a report of it was answered here.
    pub last_response: Option<MonotonicMillis>,
    /// It has shown its owner's token since that took over, as the owner told.
    pub fencing_token_confirmed: bool,
    /// Newest message with a task list taken here, be it a report or an answer.
    pub message_version: HeartbeatVersion,
    /// Newest report taken here.
    pub heartbeat_version: HeartbeatVersion,
    /// Reports being answered right now.
    pub responses_in_progress: u32,
    /// Token in that report.
    pub fencing_token: FencingToken,
    /// When the cloud takes it away.
    pub preemption_deadline: Option<MonotonicMillis>,
    /// Tasks in the newest report.
    pub tasks: Vec<ObservedTask>,
    /// Report that an order to start an attempt answered last.
    pub start_sent: HashMap<TaskAttempt, HeartbeatVersion>,
    /// Direct starts that may be delivered late, or once more, with what they are bound to.
    pub in_flight_starts: HashMap<TaskAttempt, InFlightStart>,
    /// Attempts that were seen here in a report, or are given up: they are not started again.
    pub observed_attempts: HashSet<TaskAttempt>,
    /// Gang tasks whose wait ran out here before the others had come, and how often.
    pub gang_timeouts: HashMap<TaskAttempt, u8>,
    /// Attempts to be stopped, with the time to save.
    pub stopping: HashMap<TaskAttempt, f64>,
    /// Waiting tasks: job, task, since.
    pub queue: VecDeque<(JobIndex, u32, MonotonicMillis)>,
    /// Length of the queue as the owner told, for machines of others.
    pub owner_queue_length: u8,
    /// It is to be returned and takes nothing.
    pub cordoned: bool,
    /// Its owner told that it takes nothing, for whatever reason. Whoever owns it next judges
    /// anew, by the machine's own reports.
    pub cordoned_by_owner: bool,
    /// Kept free for a gang until then.
    pub reservation: Option<(JobIndex, MonotonicMillis)>,
    /// Jobs whose tasks failed here since the last success.
    pub failed_jobs: HashSet<JobIndex>,
    /// Suspected to be faulty.
    pub quarantined: bool,
    /// Reports in a row that show nothing of a start that an earlier answer held.
    pub unobserved_starts: u8,
    /// Since when its reports have been answered here without a gap.
    pub responding_since: Option<MonotonicMillis>,
    /// Since when its reports arrive here but nothing seems to reach it.
    pub unreachable_since: Option<MonotonicMillis>,
    /// Images last used, newest last.
    pub images: Vec<(ImageIndex, f64)>,
    /// Since when nothing is placed on it.
    pub idle_since: Option<MonotonicMillis>,
}

impl Machine {
    /// A machine just heard of.
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
            last_heartbeat: None,
            last_response: None,
            fencing_token_confirmed: false,
            message_version: HeartbeatVersion::default(),
            heartbeat_version: HeartbeatVersion::default(),
            responses_in_progress: 0,
            fencing_token: FencingToken::default(),
            preemption_deadline: None,
            tasks: Vec::new(),
            start_sent: HashMap::new(),
            in_flight_starts: HashMap::new(),
            observed_attempts: HashSet::new(),
            gang_timeouts: HashMap::new(),
            stopping: HashMap::new(),
            queue: VecDeque::new(),
            owner_queue_length: 0,
            cordoned: false,
            cordoned_by_owner: false,
            reservation: None,
            failed_jobs: HashSet::new(),
            quarantined: false,
            unobserved_starts: 0,
            responding_since: None,
            unreachable_since: None,
            images: Vec::new(),
            idle_since: None,
        }
    }

    /// The task in the newest report.
    pub fn observed(&self, a: TaskAttempt) -> Option<&ObservedTask> {
        self.tasks.iter().find(|s| s.task_attempt() == Some(a))
    }

    /// True if it may take a new task now.
    pub fn is_schedulable(&self, now: MonotonicMillis, silent_ms: u64) -> bool {
        !self.is_cordoned()
            && !self.quarantined
            && self.unreachable_since.is_none()
            && self.preemption_deadline.is_none()
            && self
                .last_heartbeat
                .is_some_and(|h| now.since(h) <= silent_ms)
    }

    /// True if it takes nothing new, by this node's decision or by what its owner told.
    pub fn is_cordoned(&self) -> bool {
        self.cordoned || self.cordoned_by_owner
    }

    /// Notes that the worker can be reached after all.
    pub fn mark_reachable(&mut self, now: MonotonicMillis) {
        self.unreachable_since = None;
        self.unobserved_starts = 0;
        self.responding_since = Some(now);
    }

    /// True if it is the machine's image or on its way there.
    pub fn has_image(&self, image: ImageIndex) -> bool {
        self.images.iter().any(|(i, _)| *i == image)
    }

    /// Notes that an image was used; the least used ones go when the room ends.
    pub fn use_image(&mut self, image: ImageIndex, gb: f64, cache_gb: f64) {
        if let Some(at) = self.images.iter().position(|(i, _)| *i == image) {
            let entry = self.images.remove(at);
            self.images.push(entry);
            return;
        }
        self.images.push((image, gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, g)| g).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }
}
