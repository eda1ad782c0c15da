//! Gangs that wait for their team's limit, and the younger work that leaves the limit to them.
//!
//! Small tasks use every bit of a limit as it comes free, so a gang that needs much at once would
//! wait for as long as any come. Claims ask here before each placement; the autoscaler follows the
//! same rule.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::job_order::waiting_gangs;
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::quota::used_by_team;
use crate::protocol::users::{JobKind, Priority};
use crate::state::cluster_state::ClusterState;
use crate::state::job::{Job, Spec};
use crate::state::names::{Index, TeamIndex};
use crate::state::units::{QuotaUsage, Resources};

/// Wait after which a job leaves none of its team's limit to gangs any more: work that could run
/// may not wait for 90 s.
const MAX_WAIT_FOR_GANGS_MS: u64 = 75_000;

/// What services of a team use of its limit, which comes free only when their users cancel them.
fn used_by_services(cluster: &ClusterState, team: TeamIndex) -> QuotaUsage {
    let services = cluster.active_jobs().filter_map(|(_, job)| {
        let spec = job.spec.as_ref()?;
        let counts = spec.team == team && spec.wire.kind == JobKind::Service && job.is_open();
        counts.then(|| spec.need.times(job.placements.len() as u32))
    });
    services.fold(QuotaUsage::default(), |sum, used| sum.plus(used.quota()))
}

/// True if all of a gang fits into its team's limit once the team's other work but services has
/// ended. One that does not fit waits for a user, and nothing else may wait for it meanwhile.
pub(crate) fn fits_beside_services(cluster: &ClusterState, gang: &Spec) -> bool {
    let services = used_by_services(cluster, gang.team);
    let demand = gang.need.times(gang.tasks());
    cluster.team_limits[gang.team.at()].allows(services.plus(demand.quota()))
}

/// True if a job has waited long enough to take capacity that a gang of its team waits for.
pub(crate) fn reservation_expired(job: &Job, wall_ms: u64) -> bool {
    job.waited_ms(wall_ms) >= MAX_WAIT_FOR_GANGS_MS
}

/// A gang that has waited for its part of its team's limit.
struct StarvedGang {
    team: TeamIndex,
    priority_and_age: (Priority, u64),
    demand: Resources,
}

/// The gangs for whose sake younger work of their team takes no more of its limit, one a team.
pub(super) struct StarvedGangs(Vec<StarvedGang>);

impl StarvedGangs {
    /// The first of each limited team that has waited for long and can come to fit.
    pub(super) fn find(pass: &PassContext) -> StarvedGangs {
        let cluster = pass.cluster;
        let mut starved: Vec<StarvedGang> = Vec::new();
        for job_index in waiting_gangs(cluster, pass.now) {
            let job = &cluster.jobs[job_index.at()];
            let Some(spec) = &job.spec else { continue };
            let is_first = starved.iter().all(|gang| gang.team != spec.team);
            let waited_long = job.waited_ms(pass.wall_ms) >= pass.config.gang_reservation_after_ms;
            let limited = !cluster.team_limits[spec.team.at()].unlimited();
            if is_first && waited_long && limited && fits_beside_services(cluster, spec) {
                starved.push(StarvedGang {
                    team: spec.team,
                    priority_and_age: priority_and_age(job),
                    demand: spec.need.times(spec.tasks()),
                });
            }
        }
        StarvedGangs(starved)
    }

    /// True if a task would take what an older gang of its team waits for.
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
        let goes_first = priority_and_age(job) < gang.priority_and_age;
        if goes_first || reservation_expired(job, pass.wall_ms) {
            return false;
        }
        let used = used_by_team(pass.cluster, draft, spec.team);
        let demand = gang.demand.plus(spec.need);
        !pass.cluster.team_limits[spec.team.at()].allows(used.plus(demand.quota()))
    }
}

/// By this jobs of a team come before each other: the higher priority, then the older.
fn priority_and_age(job: &Job) -> (Priority, u64) {
    let state = &job.dependency_state;
    (state.priority, state.eligible_since)
}
