//! Preemption: decides which tasks to stop so that waiting tasks of a higher priority can run.
//!
//! This module only decides; `preemption_round` carries out the decisions. The shards take turns,
//! so that no two owners stop tasks for the same waiting task. Invariant: only tasks of a strictly
//! lower priority are stopped, never a task of a gang of several, and only if stopping them frees
//! enough capacity.

use crate::coordination::scheduler::commands::stop_grace_s;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::free_capacity::{free_capacity, FreeCapacity};
use crate::coordination::scheduler::job_order::{waiting_jobs, WaitingJob};
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::placement_rules::{is_allowed, JobRef, MachineRef};
use crate::coordination::scheduler::quota::used_by_team;
use crate::protocol::users::Priority;
use crate::protocol::workers::TaskState;
use crate::state::cluster_state::ClusterState;
use crate::state::job::Job;
use crate::state::machine::{Machine, ObservedTask, TaskAttempt};
use crate::state::names::{Index, MachineIndex, ShardIndex};
use crate::state::units::Resources;
use std::cmp::Reverse;

/// Waiting time after which a production job may preempt others, ms.
const PRODUCTION_PREEMPTION_DELAY_MS: u64 = 1500;
/// Waiting time after which a high-priority job may preempt others, ms.
const HIGH_PREEMPTION_DELAY_MS: u64 = 4000;
/// Number of victims in one round at which no further job preempts.
const MAX_VICTIMS_PER_ROUND: usize = 8;

/// A task attempt to be stopped for a task of a higher priority.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PreemptionVictim {
    /// Machine on which the attempt runs.
    pub machine: MachineIndex,
    /// The attempt.
    pub attempt: TaskAttempt,
    /// Time that the attempt gets to write a checkpoint, s.
    pub grace_s: f64,
}

/// Selects attempts to stop on machines of one shard, to free capacity for waiting tasks of a
/// higher priority that fit on no machine of any shard.
pub fn select_victims(pass: &PassContext, shard: ShardIndex) -> Vec<PreemptionVictim> {
    let mut victims = Vec::new();
    if pass.permit(shard).is_none() {
        return victims;
    }
    let no_draft = DraftTransaction::default();
    let mut free = free_capacity_after_stops(pass.cluster);
    for waiting_job in waiting_jobs(pass, &no_draft) {
        let job = &pass.cluster.jobs[waiting_job.job_index.at()];
        if victims.len() >= MAX_VICTIMS_PER_ROUND || !may_preempt(pass, job, &waiting_job) {
            continue;
        }
        let preemptor = Preemptor {
            pass,
            job,
            waiting_job,
        };
        let need = preemptor.waiting_job.spec.need;
        if let Some(machine_index) = preemptor.machine_with_capacity(&free) {
            free.allocate(machine_index, need);
            continue;
        }
        if let Some(choice) = preemptor.cheapest_machine(&free, shard, &victims) {
            free.allocate(choice.machine, need);
            for candidate in &choice.candidates {
                free.release(choice.machine, candidate.need);
            }
            victims.extend(choice.into_victims());
        }
    }
    victims
}

/// Free capacity of all machines once the attempts that are being stopped have ended.
fn free_capacity_after_stops(cluster: &ClusterState) -> FreeCapacity {
    let mut free = free_capacity(cluster, &DraftTransaction::default());
    for (machine_index, machine) in cluster.all_machines() {
        for attempt in machine.decisions.stopping.keys() {
            let spec = cluster.jobs[attempt.job.at()].spec.as_ref();
            if let (Some(spec), Some(_)) = (spec, machine.observed(*attempt)) {
                free.release(machine_index, spec.need);
            }
        }
    }
    free
}

/// True if a production or high-priority job has waited long enough and its team's limit allows
/// one more task.
fn may_preempt(pass: &PassContext, job: &Job, waiting_job: &WaitingJob) -> bool {
    let delay_ms = match waiting_job.priority {
        Priority::Production => PRODUCTION_PREEMPTION_DELAY_MS,
        Priority::High => HIGH_PREEMPTION_DELAY_MS,
        _ => return false,
    };
    if job.waited_ms(pass.wall_ms) < delay_ms {
        return false;
    }
    let (team, need) = (waiting_job.spec.team, waiting_job.spec.need);
    let used = used_by_team(pass.cluster, &DraftTransaction::default(), team);
    pass.cluster.team_limits[team.at()].allows(used.plus(need.quota()))
}

/// A job that may preempt others for its next task.
struct Preemptor<'a> {
    pass: &'a PassContext<'a>,
    job: &'a Job,
    waiting_job: WaitingJob,
}

/// The attempts to stop on one machine so that a task of a higher priority fits there.
struct PreemptionChoice {
    machine: MachineIndex,
    candidates: Vec<PreemptionCandidate>,
}

/// An attempt that may be stopped, and the resources that it frees.
struct PreemptionCandidate {
    attempt: TaskAttempt,
    need: Resources,
    grace_s: f64,
}

impl PreemptionChoice {
    fn into_victims(self) -> impl Iterator<Item = PreemptionVictim> {
        let machine = self.machine;
        let candidates = self.candidates.into_iter();
        candidates.map(move |candidate| PreemptionVictim {
            machine,
            attempt: candidate.attempt,
            grace_s: candidate.grace_s,
        })
    }
}

impl Preemptor<'_> {
    fn may_run_on(&self, index: MachineIndex, machine: &Machine) -> bool {
        let (pass, waiting_job) = (self.pass, &self.waiting_job);
        let job = JobRef {
            index: waiting_job.job_index,
            job: self.job,
            spec: &waiting_job.spec,
        };
        machine.is_schedulable(pass.now, pass.config.unresponsive_ms)
            && is_allowed(pass.cluster, job, MachineRef { index, machine })
    }

    /// A machine of any owner with enough free capacity, so that nothing has to be stopped.
    fn machine_with_capacity(&self, free: &FreeCapacity) -> Option<MachineIndex> {
        let need = self.waiting_job.spec.need;
        let mut machines = self.pass.cluster.all_machines();
        let found = machines.find(|(machine_index, machine)| {
            free.get(*machine_index).is_some_and(|f| need.fits(f))
                && self.may_run_on(*machine_index, machine)
        });
        found.map(|(machine_index, _)| machine_index)
    }

    /// The machine of the shard on which the fewest tasks have to be stopped, with those tasks.
    fn cheapest_machine(
        &self,
        free: &FreeCapacity,
        shard: ShardIndex,
        chosen: &[PreemptionVictim],
    ) -> Option<PreemptionChoice> {
        let mut best: Option<PreemptionChoice> = None;
        for (machine_index, machine) in self.pass.cluster.all_machines() {
            if machine.shard != shard || !self.may_run_on(machine_index, machine) {
                continue;
            }
            let free = free.get(machine_index).unwrap_or_default();
            let Some(candidates) = self.sufficient_candidates(machine, free, chosen) else {
                continue;
            };
            let fewest = best.as_ref().map(|best| best.candidates.len());
            if fewest.is_none_or(|fewest| candidates.len() < fewest) {
                best = Some(PreemptionChoice {
                    machine: machine_index,
                    candidates,
                });
            }
        }
        best
    }

    /// The cheapest tasks to stop on a machine so that the waiting task fits; `None` if stopping
    /// all stoppable tasks does not free enough.
    fn sufficient_candidates(
        &self,
        machine: &Machine,
        mut free: Resources,
        chosen: &[PreemptionVictim],
    ) -> Option<Vec<PreemptionCandidate>> {
        let (cluster, need) = (self.pass.cluster, self.waiting_job.spec.need);
        let mut candidates = Vec::new();
        for attempt in stoppable_attempts(cluster, machine, self.waiting_job.priority) {
            if need.fits(free) {
                break;
            }
            // The capacity of a victim chosen earlier in this round is already counted as free.
            if chosen.iter().any(|victim| victim.attempt == attempt) {
                continue;
            }
            if let Some(spec) = &cluster.jobs[attempt.job.at()].spec {
                free = free.plus(spec.need);
                candidates.push(PreemptionCandidate {
                    attempt,
                    need: spec.need,
                    grace_s: stop_grace_s(spec),
                });
            }
        }
        need.fits(free).then_some(candidates)
    }
}

/// Progress lost by stopping a task; the variants are in order of increasing cost.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StopCost {
    /// No progress is lost: the task is still pulling its image.
    Nothing,
    /// Little progress is lost: the task writes a checkpoint before it stops.
    Checkpoint,
    /// All progress is lost: accepted only for production jobs.
    AllProgress,
}

/// Attempts on a machine that a job of the given priority may preempt: the cheapest to stop first,
/// then the lowest priority first.
fn stoppable_attempts(
    cluster: &ClusterState,
    machine: &Machine,
    priority: Priority,
) -> Vec<TaskAttempt> {
    let mut stoppable: Vec<(StopCost, Reverse<Priority>, TaskAttempt)> = machine
        .heartbeat
        .tasks
        .iter()
        .filter_map(|task| {
            let attempt = task.task_attempt()?;
            let job = &cluster.jobs[attempt.job.at()];
            let spec = job.spec.as_ref()?;
            let cost = stop_cost(task, spec.submitted.checkpoint_s > 0.0, priority)?;
            // The priority includes that of dependent jobs: a dependency of a job with a higher
            // priority is not stopped.
            let task_priority = job.dependency_state.priority;
            let may_stop = task_priority > priority
                && !spec.is_wide_gang()
                && !machine.decisions.stopping.contains_key(&attempt);
            may_stop.then_some((cost, Reverse(task_priority), attempt))
        })
        .collect();
    stoppable.sort();
    stoppable
        .into_iter()
        .map(|(_, _, attempt)| attempt)
        .collect()
}

/// The cost of stopping a task for a job of the given priority; `None` if the task may not be
/// stopped.
fn stop_cost(task: &ObservedTask, checkpoints: bool, priority: Priority) -> Option<StopCost> {
    match task.state {
        TaskState::PullingImage => Some(StopCost::Nothing),
        TaskState::Running if checkpoints => Some(StopCost::Checkpoint),
        TaskState::Running if priority == Priority::Production => Some(StopCost::AllProgress),
        _ => None,
    }
}
