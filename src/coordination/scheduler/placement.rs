//! Placement: the only code that drafts new placements in a job's record.
//!
//! Claims of single tasks and of whole gangs both use it; `staging` uses it for gangs that one
//! transaction can't hold. Invariant: a placement is drafted only within the team's quota, within
//! the size limits of the job's records and of the transaction, and under a permit whose shard the
//! transaction then requires to be owned.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::placement_rules::MachineRef;
use crate::coordination::scheduler::quota::{charge, QuotaCharge};
use crate::state::job::{Job, Placement, Spec, PLACEMENT_BYTES};
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

/// Drafts placements of all requested tasks under the job's next attempt number. False if the
/// transaction is full, the job's records can't hold the placements, or the team's limit is
/// reached.
pub(super) fn place(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    request: &PlacementRequest,
) -> bool {
    if !charge_tasks(pass, draft, request, request.tasks.len() as u32) {
        return false;
    }
    let job = draft.job(pass.cluster, request.job_index);
    let Some(overflow_indices) = overflow_indices(pass, job, request.tasks.len()) else {
        return false;
    };
    let fitting = placements_that_fit(pass, draft, request.job_index, &overflow_indices, 0);
    if fitting < request.tasks.len() {
        draft.truncated = true;
        return false;
    }
    let Some(job) = draft.edit(pass.cluster, pass.config, request.job_index) else {
        return false;
    };
    let attempt = job.next_attempt;
    job.next_attempt += 1;
    draft_placements(pass, draft, request, attempt, &overflow_indices);
    true
}

/// Charges the quota of this many tasks to the share of the permit's shard.
pub(super) fn charge_tasks(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    request: &PlacementRequest,
    tasks: u32,
) -> bool {
    let quota_charge = QuotaCharge {
        team: request.spec.team,
        charged_shard: request.permit.shard().into(),
        usage: request.spec.need.times(tasks).quota(),
    };
    charge(pass, draft, &quota_charge)
}

/// The overflow index of the record that stores each of this many new placements of a job; `None`
/// if the job's records have no space for them.
pub(super) fn overflow_indices(pass: &PassContext, job: &Job, count: usize) -> Option<Vec<u16>> {
    let value_bytes = pass.config.limits(pass.cluster).value_bytes;
    let allow_overflow = pass.cluster.record_format_v2;
    job.overflow_indices_for(count, value_bytes, allow_overflow)
}

/// Number of placements, from the first on, that the rest of the transaction has space for, each in
/// the record with the given overflow index. `kept_keys` further keys stay free.
pub(super) fn placements_that_fit(
    pass: &PassContext,
    draft: &DraftTransaction,
    job_index: JobIndex,
    overflow_indices: &[u16],
    kept_keys: usize,
) -> usize {
    let job = draft.job(pass.cluster, job_index);
    let remaining_keys = draft.remaining_keys(pass.cluster, pass.config);
    let mut keys = remaining_keys.saturating_sub(kept_keys);
    let mut bytes = draft.remaining_bytes();
    if !draft.jobs.contains_key(&job_index) {
        if keys == 0 || bytes == 0 {
            return 0;
        }
        keys -= 1;
        bytes = bytes.saturating_sub(job.record_bytes());
    }
    let mut newest_index = 0;
    for (count, index) in overflow_indices.iter().copied().enumerate() {
        let mut added_bytes = PLACEMENT_BYTES;
        if index != newest_index && !draft.overflow_records.contains(&(job_index, index)) {
            if keys == 0 {
                return count;
            }
            keys -= 1;
            added_bytes += job.overflow_bytes(index);
        }
        newest_index = index;
        // The first placement may exceed the rest, or a job with a large record would get none.
        let is_first = count == 0 && draft.claims.is_empty();
        if !is_first && added_bytes > bytes {
            return count;
        }
        bytes = bytes.saturating_sub(added_bytes);
    }
    overflow_indices.len()
}

/// Adds placements of the first tasks of the request, one for each overflow index, to a job that
/// is in the draft. The caller has checked that the transaction has space for them.
pub(super) fn draft_placements(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    request: &PlacementRequest,
    attempt: u64,
    overflow_indices: &[u16],
) {
    let job_index = request.job_index;
    let charged_shard: ShardIndex = request.permit.shard().into();
    let placements = request.tasks.iter().zip(overflow_indices);
    let placements = placements.map(
        |(TaskOnMachine { task, target }, overflow_index)| Placement {
            overflow_index: *overflow_index,
            task: *task,
            attempt,
            machine: target.index,
            shard: target.machine.shard,
            charged_shard,
        },
    );
    for placement in placements {
        draft.add_overflow(pass.cluster, job_index, placement.overflow_index);
        draft.add_placement(job_index, placement);
    }
    draft.require_ownership(request.permit);
}
