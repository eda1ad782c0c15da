//! Placement: the only code that drafts new placements in a job's record.
//!
//! Claims of single tasks and of whole gangs both use it. Invariant: a placement is drafted only
//! within the team's quota, within the size limits of the job's records and of the transaction,
//! and under a permit whose shard the transaction then requires to be owned.

use crate::coordination::scheduler::draft::{Claim, DraftTransaction};
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::placement_rules::MachineRef;
use crate::coordination::scheduler::quota::{charge, QuotaCharge};
use crate::state::job::{Placement, Spec};
use crate::state::names::{JobIndex, ShardIndex};
use standby::permit::Permit;

/// A task number and the machine to place the task on.
#[derive(Clone, Copy)]
pub(super) struct TaskOnMachine<'a> {
    pub(super) task: u32,
    pub(super) target: MachineRef<'a>,
}

/// Tasks of a job to place under a common attempt number.
pub(super) struct PlacementRequest<'a> {
    pub(super) job_index: JobIndex,
    pub(super) spec: &'a Spec,
    pub(super) tasks: &'a [TaskOnMachine<'a>],
    /// Permit of the shard whose quota share is charged.
    pub(super) permit: &'a Permit,
}

/// Drafts placements of tasks under the job's next attempt number. False if the transaction is
/// full, the job's records can't hold the placements, or the team's limit is reached.
pub(super) fn place(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    request: &PlacementRequest,
) -> bool {
    let PlacementRequest {
        job_index,
        spec,
        tasks,
        permit,
    } = *request;
    let charged_shard: ShardIndex = permit.shard().into();
    let quota_charge = QuotaCharge {
        team: spec.team,
        charged_shard,
        usage: spec.need.times(tasks.len() as u32).quota(),
    };
    if !charge(pass, draft, &quota_charge) {
        return false;
    }
    let Some(overflow_indices) = include_overflows(pass, draft, job_index, tasks.len()) else {
        return false;
    };
    let mut claims = Vec::with_capacity(tasks.len());
    let Some(job) = draft.edit(pass.cluster, pass.config, job_index) else {
        return false;
    };
    let attempt = job.next_attempt;
    job.next_attempt += 1;
    for (TaskOnMachine { task, target }, overflow_index) in tasks.iter().zip(overflow_indices) {
        let placement = Placement {
            overflow_index,
            task: *task,
            attempt,
            machine: target.index,
            shard: target.machine.shard,
            charged_shard,
        };
        job.placements.push(placement);
        claims.push(Claim {
            job: job_index,
            placement,
        });
    }
    draft.require_ownership(permit);
    draft.claims.append(&mut claims);
    true
}

/// The overflow index of the record that stores each of this many new placements; the overflow
/// records are added to the draft. `None` if the job's records or the transaction have no space.
fn include_overflows(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    job_index: JobIndex,
    placements: usize,
) -> Option<Vec<u16>> {
    let value_bytes = pass.config.limits(pass.cluster).value_bytes;
    let allow_overflow = pass.cluster.record_format_v2;
    let job = draft.job(pass.cluster, job_index);
    let indices = job.overflow_indices_for(placements, value_bytes, allow_overflow)?;
    let mut added: Vec<u16> = indices.iter().copied().filter(|i| *i > 0).collect();
    added.dedup();
    added.retain(|i| !draft.overflow_records.contains(&(job_index, *i)));
    let job_record = usize::from(!draft.jobs.contains_key(&job_index));
    if !draft.has_capacity_for(pass.cluster, pass.config, added.len() + job_record) {
        draft.truncated = true;
        return None;
    }
    let added = added.into_iter().map(|i| (job_index, i));
    draft.overflow_records.extend(added);
    Some(indices)
}
