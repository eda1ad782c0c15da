//! Room made for work of a higher priority.

use crate::coordination::scheduler::bin_packing::{allowed, free_room};
use crate::coordination::scheduler::config::SchedulerConfig;
use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::job_order::waiting_jobs;
use crate::coordination::scheduler::quota::used_by_team;
use crate::protocol::users::Rank;
use crate::protocol::workers::TaskState;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::{Attempt, Machine};
use crate::state::names::{Index, MachineIx, ShardIx};
use crate::state::units::{Ms, Resources};
use standby::permit::Permits;

/// Attempts to be stopped on machines of one shard, to make room for work of a higher
/// priority that finds none anywhere.
///
/// The shards take turns, so that no two owners stop work for the same task.
pub fn preempt(
    cluster: &ClusterState,
    config: &SchedulerConfig,
    permits: &Permits,
    turn: ShardIx,
    now: Ms,
    wall_ms: u64,
) -> Vec<(MachineIx, Attempt, f64)> {
    let mut out = Vec::new();
    if config.permit(cluster, permits, turn).is_none() {
        return out;
    }
    let mut free = free_room(cluster, &DraftTransaction::default());
    for (mix, m) in cluster.all_machines() {
        // What is being stopped is room already.
        for a in m.stopping.keys() {
            let spec = cluster.jobs[a.0.at()].spec.as_ref();
            if let (Some(s), Some(_)) = (spec, m.seen(*a)) {
                free.give(mix, s.need);
            }
        }
    }
    for w in waiting_jobs(cluster, config, &DraftTransaction::default(), now, wall_ms) {
        let job = &cluster.jobs[w.ix.at()];
        let patience = match w.rank {
            Rank::Production => 1500,
            Rank::High => 4000,
            _ => continue,
        };
        let limits = &cluster.team_limits[w.spec.team.at()];
        let used = used_by_team(cluster, &DraftTransaction::default(), w.spec.team);
        let fits_limit = limits.allows((used.0 + w.spec.need.cpu, used.1 + w.spec.need.gpu));
        if wall_ms.saturating_sub(job.dependency_state.since) < patience
            || !fits_limit
            || out.len() >= 8
        {
            continue;
        }
        let good = |mix: MachineIx, m: &Machine| {
            m.takes(now, config.silent_ms) && allowed(cluster, job, w.ix, &w.spec, mix, m)
        };
        let room = cluster
            .all_machines()
            .find(|(mix, m)| free.get(*mix).is_some_and(|f| w.spec.need.fits(f)) && good(*mix, m));
        if let Some((mix, _)) = room {
            free.take(mix, w.spec.need);
            continue;
        }
        let mut best: Option<(usize, MachineIx, Vec<Victim>)> = None;
        for (mix, m) in cluster.all_machines() {
            if m.shard != turn || !good(mix, m) {
                continue;
            }
            let mut left = free.get(mix).unwrap_or_default();
            let mut victims = Vec::new();
            for t in victims_on(cluster, m, w.rank) {
                // One that goes for another task already makes room only once.
                if out.iter().any(|(_, a, _)| *a == t) {
                    continue;
                }
                if w.spec.need.fits(left) {
                    break;
                }
                if let Some(s) = &cluster.jobs[t.0.at()].spec {
                    left = left.plus(s.need);
                    victims.push((t, s.need));
                }
            }
            let better = best.as_ref().is_none_or(|(n, ..)| victims.len() < *n);
            if w.spec.need.fits(left) && better {
                best = Some((victims.len(), mix, victims));
            }
        }
        if let Some((_, mix, victims)) = best {
            free.take(mix, w.spec.need);
            for (_, need) in &victims {
                free.give(mix, *need);
            }
            out.extend(victims.into_iter().map(|(a, _)| {
                let grace = cluster.jobs[a.0.at()]
                    .spec
                    .as_ref()
                    .map_or(0.0, |s| s.wire.save_s + 1.0);
                (mix, a, grace)
            }));
        }
    }
    out
}

/// An attempt to be stopped and the room that it gives.
type Victim = (Attempt, Resources);

/// Tasks of a lower priority on a machine, the cheapest to stop first: those that still
/// fetch, then those that save. Others lose their work and are left alone, but for replicas.
fn victims_on(cluster: &ClusterState, m: &Machine, rank: Rank) -> Vec<Attempt> {
    let mut out: Vec<(u8, Rank, Attempt)> = m
        .tasks
        .iter()
        .filter_map(|t| {
            let ix = t.job?;
            let a = (ix, t.task, t.attempt);
            let job = &cluster.jobs[ix.at()];
            let (s, own) = (job.spec.as_ref()?, job.dependency_state.rank);
            let cost = match t.state {
                TaskState::Fetching => 0,
                TaskState::Running if s.wire.checkpoint_s > 0.0 => 1,
                TaskState::Running if rank == Rank::Production => 2,
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
