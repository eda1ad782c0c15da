//! Drafts placements: the one way by which tasks get a machine in a job's record.
//!
//! Claims of single tasks and of whole gangs both end here. The invariant: a placement is drafted
//! only within the team's quota, within what the job's records and the transaction hold, and under
//! a permit that the transaction then requires.

use crate::coordination::scheduler::draft::{Claim, DraftTransaction};
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::placement_rules::MachineRef;
use crate::coordination::scheduler::quota::{charge, QuotaCharge};
use crate::state::job::{Placement, Spec};
use crate::state::names::{JobIndex, ShardIndex};
use standby::permit::Permit;

/// A task and the machine for it.
#[derive(Clone, Copy)]
pub(super) struct TaskOnMachine<'a> {
    pub(super) task: u32,
    pub(super) on: MachineRef<'a>,
}

/// Tasks of a job to be placed under one attempt number.
pub(super) struct PlacementRequest<'a> {
    pub(super) job_index: JobIndex,
    pub(super) spec: &'a Spec,
    pub(super) tasks: &'a [TaskOnMachine<'a>],
    /// Permit for the shard whose quota share is charged.
    pub(super) permit: &'a Permit,
}

/// Drafts placements of one attempt; false if the transaction is full or the limit is reached.
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
    for (TaskOnMachine { task, on }, overflow_index) in tasks.iter().zip(overflow_indices) {
        let placement = Placement {
            overflow_index,
            task: *task,
            attempt,
            machine: on.index,
            shard: on.machine.shard,
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

/// Where the job's records hold this many more placements, with the overflow records among them
/// noted as changing; `None` if the records can't hold them, or the transaction not all that
/// changes.
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
