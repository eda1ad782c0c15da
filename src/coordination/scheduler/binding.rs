//! Binding: decides in which machines' queues the tasks of a newly accepted job wait.
//!
//! The decision uses the cached cluster state, which may be stale, and covers machines of any
//! owner; `queues` carries it out. If all queues are full, a task stays unbound and is claimed
//! later for any machine with free capacity.

use crate::coordination::scheduler::bin_packing::bin_packing_cost;
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::free_capacity::{free_capacity, FreeCapacity};
use crate::coordination::scheduler::placement_rules::{
    is_allowed, is_empty, should_wait_for_spot, JobRef, MachineRef, OfferedMachine, TasksByZone,
    WaitingTask,
};
use crate::state::cluster_state::ClusterState;
use crate::state::job::Spec;
use crate::state::names::{Index, JobIndex, MachineIndex};
use crate::state::units::{MonotonicMillis, Resources};
use std::collections::HashMap;

/// Maximum number of machines that binding considers from each of two groups: machines that can
/// start a task at once, and all others. From a larger group a random sample is taken, to avoid a
/// full search.
const SAMPLE_SIZE: usize = 64;

/// A task and the machine in whose queue it should wait.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueueBinding {
    /// Task number.
    pub task: u32,
    /// Machine with the queue.
    pub machine: MachineIndex,
}

/// Binds a job's waiting tasks to machines: each task to the lowest-cost machine with free
/// capacity, else to the machine with the shortest queue, unless all queues are at the cap.
pub fn bind(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    job_index: JobIndex,
    now: MonotonicMillis,
    wall_ms: u64,
) -> Vec<QueueBinding> {
    let job = &cluster.jobs[job_index.at()];
    let spec = job.spec.as_ref().filter(|spec| !spec.is_wide_gang());
    let Some(spec) = spec else {
        return Vec::new();
    };
    let job_ref = JobRef {
        index: job_index,
        job,
        spec,
    };
    let free = free_capacity_after_queues(cluster);
    let machines = sample_machines(cluster, config, job_ref, &free, now);
    let mut binder = Binder {
        cluster,
        config,
        task: WaitingTask {
            spec,
            priority: job.dependency_state.priority,
            waited_ms: job.waited_ms(wall_ms),
        },
        queue_lengths: queue_lengths(&machines),
        machines,
        free,
        by_zone: TasksByZone::of_placements(cluster, job),
    };
    let mut bound = Vec::new();
    for task in job.waiting_tasks() {
        let Some(candidate) = binder.choose() else {
            break;
        };
        binder.record_binding(candidate);
        bound.push(QueueBinding {
            task,
            machine: candidate.index,
        });
    }
    bound
}

/// Free capacity of all machines, less the needs of the tasks that wait in their queues.
fn free_capacity_after_queues(cluster: &ClusterState) -> FreeCapacity {
    let mut free = free_capacity(cluster, &DraftTransaction::default());
    for (machine_index, machine) in cluster.all_machines() {
        for queued in &machine.queue {
            let job = &cluster.jobs[queued.job.at()];
            if !job.is_waiting(queued.task) {
                continue;
            }
            if let Some(spec) = &job.spec {
                free.allocate(machine_index, spec.need);
            }
        }
    }
    free
}

/// A random sample of the machines that may run the job.
///
/// Machines that have both free capacity and the image are few, and a common sample of hundreds
/// would miss most of them. So these machines and all others are sampled separately.
fn sample_machines<'a>(
    cluster: &'a ClusterState,
    config: &SchedulerConfig,
    job: JobRef,
    free: &FreeCapacity,
    now: MonotonicMillis,
) -> Vec<MachineRef<'a>> {
    let machines = cluster.all_machines().map(MachineRef::from);
    let candidates = machines.filter(|candidate| {
        candidate
            .machine
            .is_schedulable(now, config.unresponsive_ms)
            && candidate.machine.decisions.reservation.is_none()
            && is_allowed(cluster, job, *candidate)
    });
    let (mut ready, mut others): (Vec<_>, Vec<_>) = candidates.partition(|candidate| {
        candidate.machine.has_image(job.spec.image)
            && free
                .get(candidate.index)
                .is_some_and(|f| job.spec.need.fits(f))
    });
    for group in [&mut ready, &mut others] {
        while group.len() > SAMPLE_SIZE {
            group.swap_remove(fastrand::usize(..group.len()));
        }
    }
    ready.extend(others);
    ready
}

fn queue_lengths(machines: &[MachineRef]) -> HashMap<MachineIndex, usize> {
    let length = |candidate: &MachineRef| {
        let reported_by_owner = candidate.machine.owner_status.queue_length.into();
        candidate.machine.queue.len().max(reported_by_owner)
    };
    machines
        .iter()
        .map(|candidate| (candidate.index, length(candidate)))
        .collect()
}

/// Chooses machines for the tasks of one job, one after another.
struct Binder<'a> {
    cluster: &'a ClusterState,
    config: &'a SchedulerConfig,
    task: WaitingTask<'a>,
    machines: Vec<MachineRef<'a>>,
    free: FreeCapacity,
    queue_lengths: HashMap<MachineIndex, usize>,
    by_zone: TasksByZone,
}

impl<'a> Binder<'a> {
    /// Chooses the machine for the next task; `None` if no machine has free capacity and no queue
    /// may take the task.
    fn choose(&self) -> Option<MachineRef<'a>> {
        self.best_fitting().or_else(|| self.shortest_queue())
    }

    /// The lowest-cost machine with free capacity for the task.
    fn best_fitting(&self) -> Option<MachineRef<'a>> {
        let costs = self.machines.iter().filter_map(|candidate| {
            let free = self.free.get(candidate.index)?;
            self.fits(*candidate, free).then(|| {
                let cost = bin_packing_cost(self.cluster, self.spec(), candidate.machine, free);
                (cost, *candidate)
            })
        });
        let best = costs.min_by_key(|(cost, candidate)| (*cost, candidate.index));
        best.map(|(_, candidate)| candidate)
    }

    fn fits(&self, candidate: MachineRef, free: Resources) -> bool {
        let offered = OfferedMachine {
            machine_type: candidate.machine.machine_type,
            spot: candidate.machine.spot,
            is_empty: is_empty(self.cluster, candidate.machine, free),
        };
        self.zone_has_capacity(candidate)
            && self.spec().need.fits(free)
            && !should_wait_for_spot(self.cluster, self.config, self.task, offered)
    }

    fn shortest_queue(&self) -> Option<MachineRef<'a>> {
        let machines = self.machines.iter().copied();
        machines
            .filter(|candidate| {
                self.zone_has_capacity(*candidate)
                    && self.queue_lengths[&candidate.index] < self.config.queue_cap
            })
            .min_by_key(|candidate| self.queue_lengths[&candidate.index])
    }

    fn zone_has_capacity(&self, candidate: MachineRef) -> bool {
        self.by_zone.count(candidate.machine.zone) < self.spec().max_tasks_per_zone()
    }

    fn record_binding(&mut self, candidate: MachineRef) {
        self.free.allocate(candidate.index, self.task.spec.need);
        *self.queue_lengths.entry(candidate.index).or_default() += 1;
        self.by_zone.add(candidate.machine.zone);
    }

    fn spec(&self) -> &'a Spec {
        self.task.spec
    }
}
