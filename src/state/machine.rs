//! Machines as their owner sees them.

use super::names::{ImageIx, JobIx, MachineTypeIx, ShardIx, ZoneIx};
use super::units::{Ms, Resources};
use crate::protocol::workers::{TaskState, Why};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// An attempt of a task.
pub type Attempt = (JobIx, u32, u64);

/// A machine type with its amounts.
#[derive(Clone, Debug)]
pub struct MachineType {
    /// As the cloud describes it.
    pub flavor: crate::protocol::cloud::Flavor,
    /// What a machine has.
    pub room: Resources,
}

/// A task in the newest report.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Job, if its name is known.
    pub job: Option<JobIx>,
    /// `job-1/3`, for orders.
    pub name: Rc<str>,
    /// Task.
    pub task: u32,
    /// Attempt.
    pub attempt: u64,
    /// State.
    pub state: TaskState,
    /// Why it exited.
    pub why: Option<Why>,
}

impl Seen {
    /// The attempt, if its job is known.
    pub fn attempt_of(&self) -> Option<Attempt> {
        Some((self.job?, self.task, self.attempt))
    }
    /// True if it has completed, and so takes nothing of its machine.
    pub fn is_done(&self) -> bool {
        self.state == TaskState::Exited && self.why == Some(Why::Done)
    }
    /// True if both show the same attempt in the same state.
    pub fn same(&self, o: &Seen) -> bool {
        (self.job, self.task, self.attempt, self.state, self.why)
            == (o.job, o.task, o.attempt, o.state, o.why)
    }
}

/// The newest of a machine's reports, by (session, number).
pub type Stamp = (u64, u64);

/// What a direct start is bound to: it may be delivered once more for as long as that holds.
#[derive(Clone, Copy, Debug)]
pub struct LateStart {
    /// Token.
    pub token: u64,
    /// Session.
    pub session: u64,
    /// When it was sent.
    pub sent: Ms,
    /// The worker has answered it.
    pub answered: bool,
}

/// A machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name.
    pub name: Rc<str>,
    /// Worker's address.
    pub addr: String,
    /// Type.
    pub machine_type: MachineTypeIx,
    /// Zone.
    pub zone: ZoneIx,
    /// Spot.
    pub spot: bool,
    /// Shard, for good.
    pub shard: ShardIx,
    /// First time it was known here.
    pub known: Ms,
    /// Newest sign of life: a report that shows the owner's token, or a peer's news.
    ///
    /// A report under an older token may be a late copy and proves no life.
    pub heard: Option<Ms>,
    /// Last time a report of it was answered here.
    pub answered: Option<Ms>,
    /// It has shown its owner's token since that took over, as the owner told.
    pub sure: bool,
    /// Newest message with a task list taken here, be it a report or an answer.
    pub stamp: Stamp,
    /// Newest report taken here.
    pub reported: Stamp,
    /// Reports being answered right now.
    pub answering: u32,
    /// Token in that report.
    pub token: u64,
    /// When the cloud takes it away.
    pub leaves: Option<Ms>,
    /// Tasks in the newest report.
    pub tasks: Vec<Seen>,
    /// Report that an order to start an attempt answered last.
    pub start_sent: HashMap<Attempt, Stamp>,
    /// Direct starts that may be delivered late, or once more, with what they are bound to.
    pub late_starts: HashMap<Attempt, LateStart>,
    /// Attempts that were seen here in a report, or are given up: they are not started again.
    pub shown: HashSet<Attempt>,
    /// Gang tasks whose wait ran out here before the others had come, and how often.
    pub alone: HashMap<Attempt, u8>,
    /// Attempts to be stopped, with the time to save.
    pub stopping: HashMap<Attempt, f64>,
    /// Waiting tasks: job, task, since.
    pub queue: VecDeque<(JobIx, u32, Ms)>,
    /// Length of the queue as the owner told, for machines of others.
    pub queued_elsewhere: u8,
    /// It is to be returned and takes nothing.
    pub closed: bool,
    /// Its owner told that it takes nothing, for whatever reason. Whoever owns it next judges
    /// anew, by the machine's own reports.
    pub closed_elsewhere: bool,
    /// Kept free for a gang until then.
    pub held: Option<(JobIx, Ms)>,
    /// Jobs whose tasks failed here since the last success.
    pub failed_jobs: HashSet<JobIx>,
    /// Suspected to be faulty.
    pub sick: bool,
    /// Reports in a row that show nothing of a start that an earlier answer held.
    pub misses: u8,
    /// Since when its reports have been answered here without a gap.
    pub answered_since: Option<Ms>,
    /// Since when its reports arrive here but nothing seems to reach it.
    pub deaf: Option<Ms>,
    /// Images last used, newest last.
    pub images: Vec<(ImageIx, f64)>,
    /// Since when nothing is placed on it.
    pub idle_since: Option<Ms>,
}

impl Machine {
    /// A machine just heard of.
    pub fn new(
        name: Rc<str>,
        machine_type: MachineTypeIx,
        zone: ZoneIx,
        spot: bool,
        shard: ShardIx,
        now: Ms,
    ) -> Machine {
        Machine {
            name,
            addr: String::new(),
            machine_type,
            zone,
            spot,
            shard,
            known: now,
            heard: None,
            answered: None,
            sure: false,
            stamp: (0, 0),
            reported: (0, 0),
            answering: 0,
            token: 0,
            leaves: None,
            tasks: Vec::new(),
            start_sent: HashMap::new(),
            late_starts: HashMap::new(),
            shown: HashSet::new(),
            alone: HashMap::new(),
            stopping: HashMap::new(),
            queue: VecDeque::new(),
            queued_elsewhere: 0,
            closed: false,
            closed_elsewhere: false,
            held: None,
            failed_jobs: HashSet::new(),
            sick: false,
            misses: 0,
            answered_since: None,
            deaf: None,
            images: Vec::new(),
            idle_since: None,
        }
    }

    /// The task in the newest report.
    pub fn seen(&self, a: Attempt) -> Option<&Seen> {
        self.tasks.iter().find(|s| s.attempt_of() == Some(a))
    }

    /// True if it may take a new task now.
    pub fn takes(&self, now: Ms, silent_ms: u64) -> bool {
        !self.is_closed()
            && !self.sick
            && self.deaf.is_none()
            && self.leaves.is_none()
            && self.heard.is_some_and(|h| now.since(h) <= silent_ms)
    }

    /// True if it takes nothing new, by this node's decision or by what its owner told.
    pub fn is_closed(&self) -> bool {
        self.closed || self.closed_elsewhere
    }

    /// Notes that the worker can be reached after all.
    pub fn reached(&mut self, now: Ms) {
        self.deaf = None;
        self.misses = 0;
        self.answered_since = Some(now);
    }

    /// True if it is the machine's image or on its way there.
    pub fn has_image(&self, image: ImageIx) -> bool {
        self.images.iter().any(|(i, _)| *i == image)
    }

    /// Notes that an image was used; the least used ones go when the room ends.
    pub fn use_image(&mut self, image: ImageIx, gb: f64, cache_gb: f64) {
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
