//! Reactions to task failures: quarantine of machines and backoff of jobs.
//!
//! Called by `apply` with the jobs whose tasks have newly failed. A machine on which several jobs
//! fail is quarantined, so that the autoscaler deletes it. A job that fails on several machines is
//! backed off, so that it does not get healthy machines quarantined or delay other jobs.

use crate::state::cluster_state::ClusterState;
use crate::state::machine::Machine;
use crate::state::names::{Index, JobIndex, MachineIndex};
use crate::state::units::MonotonicMillis;

/// Number of different jobs that fail on a machine, with no task done in between, at which the
/// machine is quarantined.
const FAILED_JOBS_BEFORE_QUARANTINE: usize = 2;
/// Number of different machines on which a job fails at which the job is backed off.
const FAILED_MACHINES_BEFORE_BACKOFF: usize = 3;
/// Backoff of a job that has failed on [`FAILED_MACHINES_BEFORE_BACKOFF`] machines.
///
/// The backoff is meant to double with each further machine. In fact it stays at this value: each
/// backoff clears the set of machines, so their number never exceeds the threshold.
const FIRST_BACKOFF_MS: u64 = 5000;
/// Largest number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: usize = 4;

/// Records that tasks of these jobs failed on a machine, and quarantines it after several jobs.
pub(super) fn record_failed_jobs(machine: &mut Machine, failed_jobs: &[JobIndex]) {
    machine.health.failed_jobs.extend(failed_jobs);
    let failed = machine.health.failed_jobs.len();
    if failed >= FAILED_JOBS_BEFORE_QUARANTINE && !machine.health.quarantined {
        log::warn!(
            "machine quarantined after failures of different jobs: machine={} failed_jobs={failed}",
            machine.name
        );
        machine.health.quarantined = true;
    }
}

/// Records that a job failed on a machine, and backs the job off after several machines.
pub(super) fn record_failed_machine(
    cluster: &mut ClusterState,
    job: JobIndex,
    machine: MachineIndex,
    now: MonotonicMillis,
) {
    let failures = cluster.failures.entry(job).or_default();
    failures.machines.insert(machine);
    let machines = failures.machines.len();
    if machines < FAILED_MACHINES_BEFORE_BACKOFF {
        return;
    }
    let doublings = (machines - FAILED_MACHINES_BEFORE_BACKOFF).min(MAX_BACKOFF_DOUBLINGS);
    let backoff_ms = FIRST_BACKOFF_MS << doublings;
    failures.retry_at = now.plus(backoff_ms);
    failures.machines.clear();
    log::warn!(
        "job backed off after failures on different machines: job={} machines={machines} \
         backoff_ms={backoff_ms}",
        cluster.jobs[job.at()].id
    );
}
