//! Preemption: which tasks are stopped so that waiting work of a higher priority can run.
//!
//! A pure decision, carried out by `preemption_round`. The shards take turns, so that no two
//! owners stop work for the same task. The invariant: only work of a strictly lower priority is
//! stopped, never a part of a gang, and only where stopping it frees enough.

use crate::coordination::scheduler::commands::stop_grace_s;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::free_capacity::{free_capacity, FreeCapacity};
use crate::coordination::scheduler::job_order::{waiting_jobs, Waiting};
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

/// Wait after which production work preempts, ms.
const PRODUCTION_PATIENCE_MS: u64 = 1500;
/// Wait after which high-priority work preempts, ms.
const HIGH_PATIENCE_MS: u64 = 4000;
/// Victims in a round after which no further job preempts.
const MAX_VICTIMS_PER_ROUND: usize = 8;

/// An attempt to be stopped.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PreemptionVictim {
    /// Its machine.
    pub machine: MachineIndex,
    /// The attempt.
    pub attempt: TaskAttempt,
    /// Time that it gets to checkpoint, s.
    pub grace_s: f64,
}

/// Attempts to be stopped on machines of one shard, to free capacity for work of a higher
/// priority that finds none anywhere.
pub fn preempt(pass: &PassContext, shard: ShardIndex) -> Vec<PreemptionVictim> {
    let mut victims = Vec::new();
    if pass.permit(shard).is_none() {
        return victims;
    }
    let no_draft = DraftTransaction::default();
    let mut free = free_capacity_after_stops(pass.cluster);
    for waiting in waiting_jobs(pass, &no_draft) {
        let job = &pass.cluster.jobs[waiting.job_index.at()];
        if victims.len() >= MAX_VICTIMS_PER_ROUND || !may_preempt(pass, job, &waiting) {
            continue;
        }
        let preemptor = Preemptor { pass, job, waiting };
        let need = preemptor.waiting.spec.need;
        if let Some(machine_index) = preemptor.machine_with_capacity(&free) {
            free.take(machine_index, need);
            continue;
        }
        if let Some(choice) = preemptor.cheapest_machine(&free, shard, &victims) {
            free.take(choice.machine, need);
            for candidate in &choice.candidates {
                free.give(choice.machine, candidate.need);
            }
            victims.extend(choice.into_victims());
        }
    }
    victims
}

/// Free capacity of all machines once what is being stopped has ended.
fn free_capacity_after_stops(cluster: &ClusterState) -> FreeCapacity {
    let mut free = free_capacity(cluster, &DraftTransaction::default());
    for (machine_index, machine) in cluster.all_machines() {
        for attempt in machine.decisions.stopping.keys() {
            let spec = cluster.jobs[attempt.job.at()].spec.as_ref();
            if let (Some(spec), Some(_)) = (spec, machine.observed(*attempt)) {
                free.give(machine_index, spec.need);
            }
        }
    }
    free
}

/// True if a job of sufficient priority has waited for long enough within its team's limit.
fn may_preempt(pass: &PassContext, job: &Job, waiting: &Waiting) -> bool {
    let patience_ms = match waiting.priority {
        Priority::Production => PRODUCTION_PATIENCE_MS,
        Priority::High => HIGH_PATIENCE_MS,
        _ => return false,
    };
    if job.waited_ms(pass.wall_ms) < patience_ms {
        return false;
    }
    let (team, need) = (waiting.spec.team, waiting.spec.need);
    let used = used_by_team(pass.cluster, &DraftTransaction::default(), team);
    pass.cluster.team_limits[team.at()].allows(used.plus(need.quota()))
}

/// A job that may preempt others for its next task.
struct Preemptor<'a> {
    pass: &'a PassContext<'a>,
    job: &'a Job,
    waiting: Waiting,
}

/// The tasks to stop on a machine.
struct PreemptionChoice {
    machine: MachineIndex,
    candidates: Vec<PreemptionCandidate>,
}

/// An attempt that may be stopped, and what that frees.
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
        let (pass, waiting) = (self.pass, &self.waiting);
        let job = JobRef {
            index: waiting.job_index,
            job: self.job,
            spec: &waiting.spec,
        };
        machine.is_schedulable(pass.now, pass.config.unresponsive_ms)
            && is_allowed(pass.cluster, job, MachineRef { index, machine })
    }

    /// A machine of any owner that can take the task as it is.
    fn machine_with_capacity(&self, free: &FreeCapacity) -> Option<MachineIndex> {
        let need = self.waiting.spec.need;
        let mut machines = self.pass.cluster.all_machines();
        let found = machines.find(|(machine_index, machine)| {
            free.get(*machine_index).is_some_and(|f| need.fits(f))
                && self.may_run_on(*machine_index, machine)
        });
        found.map(|(machine_index, _)| machine_index)
    }

    /// The machine of the shard on which the fewest tasks have to be stopped.
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

    /// The cheapest tasks of a machine that free enough for the task; `None` if all of them do
    /// not.
    fn sufficient_candidates(
        &self,
        machine: &Machine,
        mut free: Resources,
        chosen: &[PreemptionVictim],
    ) -> Option<Vec<PreemptionCandidate>> {
        let (cluster, need) = (self.pass.cluster, self.waiting.spec.need);
        let mut candidates = Vec::new();
        for attempt in stoppable_attempts(cluster, machine, self.waiting.priority) {
            if need.fits(free) {
                break;
            }
            // One that is stopped for another task already frees its capacity only once.
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

/// What stopping a task loses, the cheapest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StopCost {
    /// It still pulls its image.
    Nothing,
    /// It checkpoints first.
    Checkpoint,
    /// All that it has done: only for production work.
    Work,
}

/// Tasks of a lower priority on a machine, the cheapest to stop first, among those of one cost
/// the one of the lowest priority.
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
            let cost = stop_cost(task, spec.wire.checkpoint_s > 0.0, priority)?;
            // A dependency of a job of the higher priority has that priority too.
            let own = job.dependency_state.priority;
            let may_stop = own > priority
                && !spec.is_wide_gang()
                && !machine.decisions.stopping.contains_key(&attempt);
            may_stop.then_some((cost, Reverse(own), attempt))
        })
        .collect();
    stoppable.sort();
    stoppable
        .into_iter()
        .map(|(_, _, attempt)| attempt)
        .collect()
}

/// What stopping a task for work of a priority would lose; `None` if it is left alone.
fn stop_cost(task: &ObservedTask, checkpoints: bool, priority: Priority) -> Option<StopCost> {
    match task.state {
        TaskState::PullingImage => Some(StopCost::Nothing),
        TaskState::Running if checkpoints => Some(StopCost::Checkpoint),
        TaskState::Running if priority == Priority::Production => Some(StopCost::Work),
        _ => None,
    }
}
