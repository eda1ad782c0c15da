//! Claims: assigns waiting tasks to owned machines with free capacity.
//!
//! Claiming is the second step of a scheduling pass. Gangs are placed first, then each priority in
//! turn: the tasks in the machines' queues, then the other waiting tasks in scheduling order. A
//! claim is only part of the draft; the start command is sent after the transaction is committed.

use crate::coordination::scheduler::bin_packing::bin_packing_cost;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::free_capacity::{
    free_capacity, machines_with_capacity, smallest_need, FreeCapacity,
};
use crate::coordination::scheduler::gangs::claim_gangs;
use crate::coordination::scheduler::job_order::{is_backed_off, waiting_jobs, WaitingJob};
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::placement::{place, PlacementRequest, TaskOnMachine};
use crate::coordination::scheduler::placement_rules::{
    is_allowed, is_empty, should_wait_for_spot, JobRef, MachineRef, OfferedMachine, WaitingTask,
};
use crate::coordination::scheduler::starved_gangs::StarvedGangs;
use crate::protocol::users::{JobKind, Priority};
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::names::{Index, JobIndex, MachineIndex};
use crate::state::units::Resources;
use standby::permit::Permit;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashSet};

/// Maximum number of tasks of one job that a pass considers per machine with free capacity.
const MAX_TASKS_PER_MACHINE: usize = 8;

/// Claims waiting tasks for owned machines with free capacity. Returns the machines that have free
/// capacity left and for which the pass claimed nothing.
pub fn claim(pass: &PassContext, draft: &mut DraftTransaction) -> Vec<MachineIndex> {
    let mut free = free_capacity(pass.cluster, draft);
    claim_gangs(pass, draft, &mut free);
    let mut jobs = waiting_jobs(pass, draft);
    if draft.batch_array_updates {
        jobs.retain(|waiting_job| !can_be_batched(&waiting_job.spec, waiting_job.priority));
    }
    let Some(smallest) = smallest_need(jobs.iter().map(|waiting_job| &*waiting_job.spec)) else {
        return Vec::new();
    };
    let permits = pass.permits_by_shard();
    // In a busy fleet most machines have no free capacity and are skipped here.
    let machines: Vec<MachineRef> = machines_with_capacity(pass, &free, smallest)
        .filter(|candidate| permits[candidate.machine.shard.at()].is_some())
        .collect();
    if machines.is_empty() {
        return Vec::new();
    }
    let mut claims = ClaimPass {
        pass: *pass,
        machines,
        permits,
        queued: recently_queued(pass),
        starved_gangs: StarvedGangs::find(pass),
        free,
        claimed_for: HashSet::new(),
    };
    let priorities: BTreeSet<Priority> = jobs
        .iter()
        .map(|waiting_job| waiting_job.priority)
        .collect();
    for priority in priorities {
        claims.claim_from_queues(draft, priority);
        for waiting_job in jobs.iter().filter(|w| w.priority == priority) {
            claims.claim_for_job(draft, waiting_job);
        }
    }
    claims.machines_without_claim(smallest)
}

/// True for array tasks below high priority: while the key-value store is near its write limit,
/// they are claimed in batches.
fn can_be_batched(spec: &Spec, priority: Priority) -> bool {
    spec.submitted.kind == JobKind::Array && priority > Priority::High
}

/// Tasks that have been in a machine's queue for less than `steal_after_ms`, so that no other
/// machine may claim them yet.
fn recently_queued(pass: &PassContext) -> HashSet<(JobIndex, u32)> {
    let queues = pass.cluster.all_machines().map(|(_, m)| &m.queue);
    queues
        .flatten()
        .filter(|queued| pass.now.since(queued.queued_at) < pass.config.steal_after_ms)
        .map(|queued| (queued.job, queued.task))
        .collect()
}

/// State of the claim step of one pass.
struct ClaimPass<'a> {
    pass: PassContext<'a>,
    /// Owned machines with free capacity.
    machines: Vec<MachineRef<'a>>,
    /// Permits by shard index; `None` for a shard that this controller may not decide for.
    permits: Vec<Option<&'a Permit>>,
    /// Queued tasks that only the machine with the queue may claim.
    queued: HashSet<(JobIndex, u32)>,
    starved_gangs: StarvedGangs,
    free: FreeCapacity,
    /// Machines for which this pass has claimed a task.
    claimed_for: HashSet<MachineIndex>,
}

/// A machine ranked for a job's next task: by lowest cost, then by machine index.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RankedMachine {
    cost: i64,
    index: MachineIndex,
    /// Position in `ClaimPass::machines`.
    position: usize,
}

impl<'a> ClaimPass<'a> {
    fn cluster(&self) -> &'a ClusterState {
        self.pass.cluster
    }

    /// True if a task of the job may be placed on the machine now: it fits into the free capacity,
    /// the placement rules allow it, and the machine is not reserved for a gang. Production tasks
    /// may use reserved machines as well.
    fn fits(&self, job: JobRef, candidate: MachineRef, free: Resources) -> bool {
        let state = &job.job.dependency_state;
        let reserved = candidate
            .machine
            .decisions
            .reservation
            .is_some_and(|reservation| reservation.is_active(self.pass.now));
        job.spec.need.fits(free)
            && (!reserved || state.priority == Priority::Production)
            && is_allowed(self.cluster(), job, candidate)
            && !should_wait_for_spot(
                self.cluster(),
                self.pass.config,
                WaitingTask {
                    spec: job.spec,
                    priority: state.priority,
                    waited_ms: job.job.waited_ms(self.pass.wall_ms),
                },
                OfferedMachine {
                    machine_type: candidate.machine.machine_type,
                    spot: candidate.machine.spot,
                    is_empty: is_empty(self.cluster(), candidate.machine, free),
                },
            )
    }

    /// True if the job must not use more of its team's limit because a gang of the team waits for
    /// it.
    fn would_starve_gang(&self, draft: &DraftTransaction, job: &Job, spec: &Spec) -> bool {
        self.starved_gangs
            .would_starve(&self.pass, draft, job, spec)
    }

    /// Claims the queued tasks of one priority for the machines that hold them, in FIFO order.
    fn claim_from_queues(&mut self, draft: &mut DraftTransaction, priority: Priority) {
        for position in 0..self.machines.len() {
            let candidate = self.machines[position];
            for queued in &candidate.machine.queue {
                // After `steal_after_ms` any machine may claim the task, in scheduling order.
                if self.pass.now.since(queued.queued_at) >= self.pass.config.steal_after_ms {
                    continue;
                }
                let job = draft.job(self.cluster(), queued.job);
                if job.dependency_state.priority != priority {
                    continue;
                }
                let Some(spec) = job.spec.clone() else {
                    continue;
                };
                let job = JobRef {
                    index: queued.job,
                    job,
                    spec: &spec,
                };
                if self.may_claim_queued(draft, job, queued.task, candidate) {
                    self.place(draft, queued.job, &spec, queued.task, candidate);
                }
            }
        }
    }

    /// True if a queued task may be claimed now for the machine that holds it.
    fn may_claim_queued(
        &self,
        draft: &DraftTransaction,
        job: JobRef,
        task: u32,
        candidate: MachineRef,
    ) -> bool {
        let priority = job.job.dependency_state.priority;
        let waits_for_batch = draft.batch_array_updates && can_be_batched(job.spec, priority);
        let free = self.free.get(candidate.index).unwrap_or_default();
        !waits_for_batch
            && job.job.is_waiting(task)
            && !is_backed_off(self.cluster(), job.index, self.pass.now)
            && !self.would_starve_gang(draft, job.job, job.spec)
            && self.fits(job, candidate, free)
    }

    /// Claims the job's next unbound tasks, each for the machine with the lowest cost.
    ///
    /// A claim changes the free capacity of its own machine only, and more placements can only
    /// exclude machines, never allow new ones. So each machine is ranked once at the start, and
    /// again only after a task has been placed on it.
    fn claim_for_job(&mut self, draft: &mut DraftTransaction, waiting_job: &WaitingJob) {
        let positions = 0..self.machines.len();
        let mut best: BinaryHeap<Reverse<RankedMachine>> = positions
            .filter_map(|position| self.rank(draft, waiting_job, position))
            .map(Reverse)
            .collect();
        if best.is_empty() {
            return;
        }
        let spec = &*waiting_job.spec;
        for task in self.unbound_tasks(draft, waiting_job.job_index) {
            let job = draft.job(self.cluster(), waiting_job.job_index);
            if self.would_starve_gang(draft, job, spec) {
                return;
            }
            let Some(position) = self.pop_best_usable(&mut best, draft, waiting_job) else {
                return;
            };
            let candidate = self.machines[position];
            if !self.place(draft, waiting_job.job_index, spec, task, candidate) {
                return;
            }
            best.extend(self.rank(draft, waiting_job, position).map(Reverse));
        }
    }

    /// The job's waiting tasks that are not held by a machine's queue, up to
    /// `MAX_TASKS_PER_MACHINE` per machine.
    fn unbound_tasks(&self, draft: &DraftTransaction, job_index: JobIndex) -> Vec<u32> {
        let job = draft.job(self.cluster(), job_index);
        job.waiting_tasks()
            .filter(|task| !self.queued.contains(&(job_index, *task)))
            .take(self.machines.len() * MAX_TASKS_PER_MACHINE)
            .collect()
    }

    /// Pops the position of the lowest-cost machine that can still run a task of the job.
    fn pop_best_usable(
        &self,
        best: &mut BinaryHeap<Reverse<RankedMachine>>,
        draft: &DraftTransaction,
        waiting_job: &WaitingJob,
    ) -> Option<usize> {
        while let Some(Reverse(ranked)) = best.pop() {
            if self.rank(draft, waiting_job, ranked.position).is_some() {
                return Some(ranked.position);
            }
        }
        None
    }

    /// Ranks a machine for the job's next task; `None` if the machine can't run it.
    fn rank(
        &self,
        draft: &DraftTransaction,
        waiting_job: &WaitingJob,
        position: usize,
    ) -> Option<RankedMachine> {
        let candidate = self.machines[position];
        let free = self.free.get(candidate.index)?;
        let job = JobRef {
            index: waiting_job.job_index,
            job: draft.job(self.cluster(), waiting_job.job_index),
            spec: &waiting_job.spec,
        };
        self.fits(job, candidate, free).then(|| RankedMachine {
            cost: bin_packing_cost(self.cluster(), job.spec, candidate.machine, free),
            index: candidate.index,
            position,
        })
    }

    /// Drafts one placement; false if the transaction is full or the team's limit is reached.
    fn place(
        &mut self,
        draft: &mut DraftTransaction,
        job_index: JobIndex,
        spec: &Spec,
        task: u32,
        target: MachineRef,
    ) -> bool {
        let Some(permit) = self.permits[target.machine.shard.at()] else {
            return false;
        };
        let request = PlacementRequest {
            job_index,
            spec,
            tasks: &[TaskOnMachine { task, target }],
            permit,
        };
        let placed = place(&self.pass, draft, &request);
        if placed {
            self.free.allocate(target.index, spec.need);
            self.claimed_for.insert(target.index);
        }
        placed
    }

    /// Machines that still have free capacity for the smallest need and for which this pass
    /// claimed nothing.
    fn machines_without_claim(&self, smallest: Resources) -> Vec<MachineIndex> {
        let has_capacity = |index| self.free.get(index).is_some_and(|f| smallest.fits(f));
        let indices = self.machines.iter().map(|candidate| candidate.index);
        indices
            .filter(|index| !self.claimed_for.contains(index) && has_capacity(*index))
            .collect()
    }
}
