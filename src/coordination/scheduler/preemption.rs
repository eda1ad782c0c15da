//! Room made for work of a higher priority.

use crate::coordination::scheduler::bin_packing::{allowed, free_capacity};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::job_order::waiting_jobs;
use crate::coordination::scheduler::quota::used_by_team;
use crate::protocol::users::Priority;
use crate::protocol::workers::TaskState;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::{Machine, TaskAttempt};
use crate::state::names::{Index, MachineIndex, ShardIndex};
use crate::state::units::{MonotonicMillis, Resources};
use standby::permit::Permits;

/// Attempts to be stopped on machines of one shard, to make room for work of a higher
/// priority that finds none anywhere.
///
/// The shards take turns, so that no two owners stop work for the same task.
pub fn preempt(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    turn: ShardIndex,
    now: MonotonicMillis,
    wall_ms: u64,
) -> Vec<(MachineIndex, TaskAttempt, f64)> {
    let mut out = Vec::new();
    if config.permit(cluster, permits, turn).is_none() {
        return out;
    }
    let mut free = free_capacity(cluster, &DraftTransaction::default());
    for (machine_index, m) in cluster.all_machines() {
        // What is being stopped is room already.
        for a in m.stopping.keys() {
            let spec = cluster.jobs[a.job.at()].spec.as_ref();
            if let (Some(s), Some(_)) = (spec, m.observed(*a)) {
                free.give(machine_index, s.need);
            }
        }
    }
    for w in waiting_jobs(cluster, config, &DraftTransaction::default(), now, wall_ms) {
        let job = &cluster.jobs[w.ix.at()];
        let patience = match w.priority {
            Priority::Production => 1500,
            Priority::High => 4000,
            _ => continue,
        };
        let limits = &cluster.team_limits[w.spec.team.at()];
        let used = used_by_team(cluster, &DraftTransaction::default(), w.spec.team);
        let fits_limit = limits.allows(used.plus(w.spec.need.quota()));
        if wall_ms.saturating_sub(job.dependency_state.eligible_since) < patience
            || !fits_limit
            || out.len() >= 8
        {
            continue;
        }
        let good = |machine_index: MachineIndex, m: &Machine| {
            m.is_schedulable(now, config.unresponsive_ms)
                && allowed(cluster, job, w.ix, &w.spec, machine_index, m)
        };
        let room = cluster.all_machines().find(|(machine_index, m)| {
            free.get(*machine_index)
                .is_some_and(|f| w.spec.need.fits(f))
                && good(*machine_index, m)
        });
        if let Some((machine_index, _)) = room {
            free.take(machine_index, w.spec.need);
            continue;
        }
        let mut best: Option<(usize, MachineIndex, Vec<PreemptionVictim>)> = None;
        for (machine_index, m) in cluster.all_machines() {
            if m.shard != turn || !good(machine_index, m) {
                continue;
            }
            let mut left = free.get(machine_index).unwrap_or_default();
            let mut victims = Vec::new();
            for t in preemption_candidates(cluster, m, w.priority) {
                // One that goes for another task already makes room only once.
                if out.iter().any(|(_, a, _)| *a == t) {
                    continue;
                }
                if w.spec.need.fits(left) {
                    break;
                }
                if let Some(s) = &cluster.jobs[t.job.at()].spec {
                    left = left.plus(s.need);
                    victims.push((t, s.need));
                }
            }
            let better = best.as_ref().is_none_or(|(n, ..)| victims.len() < *n);
            if w.spec.need.fits(left) && better {
                best = Some((victims.len(), machine_index, victims));
            }
        }
        if let Some((_, machine_index, victims)) = best {
            free.take(machine_index, w.spec.need);
            for (_, need) in &victims {
                free.give(machine_index, *need);
            }
            out.extend(victims.into_iter().map(|(a, _)| {
                let grace = cluster.jobs[a.job.at()]
                    .spec
                    .as_ref()
                    .map_or(0.0, |s| s.wire.checkpoint_grace_s + 1.0);
                (machine_index, a, grace)
            }));
        }
    }
    out
}

/// An attempt to be stopped and the room that it gives.
type PreemptionVictim = (TaskAttempt, Resources);

/// Tasks of a lower priority on a machine, the cheapest to stop first: those that still
/// fetch, then those that save. Others lose their work and are left alone, but for replicas.
fn preemption_candidates(cluster: &ClusterState, m: &Machine, rank: Priority) -> Vec<TaskAttempt> {
    let mut out: Vec<(u8, Priority, TaskAttempt)> = m
        .tasks
        .iter()
        .filter_map(|t| {
            let ix = t.job?;
            let a = TaskAttempt::new(ix, t.task, t.attempt);
            let job = &cluster.jobs[ix.at()];
            let (s, own) = (job.spec.as_ref()?, job.dependency_state.priority);
            let cost = match t.state {
                TaskState::PullingImage => 0,
                TaskState::Running if s.wire.checkpoint_s > 0.0 => 1,
                TaskState::Running if rank == Priority::Production => 2,
                _ => return None,
            };
            // What a job of that priority needs has it too.
            let may = own > rank && !s.is_wide_gang() && !m.stopping.contains_key(&a);
            may.then_some((cost, own, a))
        })
        .collect();
    out.sort_by_key(|(cost, r, a)| (*cost, std::cmp::Reverse(*r), *a));
    out.into_iter().map(|x| x.2).collect()
}
