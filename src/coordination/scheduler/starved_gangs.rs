//! Starved gangs: keeps younger jobs from using up the team limit that a gang waits for.
//!
//! Small tasks use any part of a team's limit as soon as it is released. A gang, which needs a
//! large part at once, would wait as long as new small tasks arrive. Claims check this rule before
//! each placement; the autoscaler follows the same rule.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::job_order::waiting_gangs;
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::quota::used_by_team;
use crate::protocol::users::{JobKind, Priority};
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::names::{Index, TeamIndex};
use crate::state::units::{QuotaUsage, Resources};

/// Waiting time after which a job no longer yields its team's limit to gangs, ms: a job that could
/// run must start within 90 s.
const MAX_WAIT_FOR_GANGS_MS: u64 = 75_000;

/// Part of a team's limit that its services use. This part is released only when users cancel the
/// services.
fn used_by_services(cluster: &ClusterState, team: TeamIndex) -> QuotaUsage {
    let services = cluster.active_jobs().filter_map(|(_, job)| {
        let spec = job.spec.as_ref()?;
        let counts = spec.team == team && spec.submitted.kind == JobKind::Service && job.is_open();
        counts.then(|| spec.need.times(job.placements.len() as u32))
    });
    services.fold(QuotaUsage::default(), |sum, used| sum.plus(used.quota()))
}

/// True if a gang fits into its team's limit once all other jobs of the team except services have
/// ended. A gang that does not fit can start only after a user cancels a service, so no other job
/// should be delayed for this gang.
pub(crate) fn fits_beside_services(cluster: &ClusterState, gang: &Spec) -> bool {
    let services = used_by_services(cluster, gang.team);
    let demand = gang.need.times(gang.tasks());
    cluster.team_limits[gang.team.at()].allows(services.plus(demand.quota()))
}

/// True if a job has waited so long that it may use quota that a gang of its team waits for.
pub(crate) fn may_bypass_gangs(job: &Job, wall_ms: u64) -> bool {
    job.waited_ms(wall_ms) >= MAX_WAIT_FOR_GANGS_MS
}

/// A gang that has waited long for a part of its team's limit.
struct StarvedGang {
    team: TeamIndex,
    priority_and_age: (Priority, u64),
    demand: Resources,
}

/// The gangs to which younger jobs of the same team yield the team's limit; at most one per team.
pub(super) struct StarvedGangs(Vec<StarvedGang>);

impl StarvedGangs {
    /// Finds, for each team with a limit, the first gang that has waited for at least
    /// `gang_reservation_after_ms` and can fit into the limit beside the team's services.
    pub(super) fn find(pass: &PassContext) -> StarvedGangs {
        let cluster = pass.cluster;
        let mut starved: Vec<StarvedGang> = Vec::new();
        for job_index in waiting_gangs(cluster, pass.now) {
            let job = &cluster.jobs[job_index.at()];
            let Some(spec) = &job.spec else { continue };
            let is_first = starved.iter().all(|gang| gang.team != spec.team);
            let waited_long = job.waited_ms(pass.wall_ms) >= pass.config.gang_reservation_after_ms;
            let limited = !cluster.team_limits[spec.team.at()].unlimited();
            // The quota of a staged gang is charged already.
            let waits_for_quota = limited && !job.is_staged();
            if is_first && waited_long && waits_for_quota && fits_beside_services(cluster, spec) {
                starved.push(StarvedGang {
                    team: spec.team,
                    priority_and_age: priority_and_age(job),
                    demand: spec.need.times(spec.tasks()),
                });
            }
        }
        StarvedGangs(starved)
    }

    /// True if placing a task of the job would use quota that a starved gang of its team waits for.
    /// False if the job precedes the gang by priority and age, or has waited too long itself.
    pub(super) fn would_starve(
        &self,
        pass: &PassContext,
        draft: &DraftTransaction,
        job: &Job,
        spec: &Spec,
    ) -> bool {
        let Some(gang) = self.0.iter().find(|gang| gang.team == spec.team) else {
            return false;
        };
        let precedes_gang = priority_and_age(job) < gang.priority_and_age;
        if precedes_gang || may_bypass_gangs(job, pass.wall_ms) {
            return false;
        }
        let used = used_by_team(pass.cluster, draft, spec.team);
        let demand = gang.demand.plus(spec.need);
        !pass.cluster.team_limits[spec.team.at()].allows(used.plus(demand.quota()))
    }
}

/// Sort key of jobs of one team: the higher priority first, then the older job.
fn priority_and_age(job: &Job) -> (Priority, u64) {
    let state = &job.dependency_state;
    (state.priority, state.eligible_since)
}
