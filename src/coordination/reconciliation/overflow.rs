//! Moves placements to overflow records when a job record exceeds the upcoming size limit of the
//! key-value store.

use crate::coordination::scheduler::draft::DraftTransaction;
use crate::coordination::scheduler::pass::PassContext;
use crate::state::job::Job;
use crate::state::names::JobIndex;

/// Moves placements of an oversized job record into overflow records, for one job per pass.
///
/// This must happen before a lower limit takes effect: after that, a record above the limit can't
/// be written back, even if it has become smaller.
pub(super) fn move_to_overflow(pass: &PassContext, draft: &mut DraftTransaction) {
    if !pass.cluster.record_format_v2 {
        return;
    }
    let value_bytes = pass.config.limits(pass.cluster).value_bytes;
    let Some((job_index, job)) = first_oversized_job(pass, draft, value_bytes) else {
        return;
    };
    let mut job = job.clone();
    while job.record_bytes() > value_bytes {
        if !move_one_placement(pass, draft, job_index, &mut job, value_bytes) {
            break;
        }
    }
    if let Some(drafted) = draft.edit(pass.cluster, pass.config, job_index) {
        *drafted = job;
    }
}

/// The first job planned by this controller whose record is too large and holds placements to move.
fn first_oversized_job<'a>(
    pass: &PassContext<'a>,
    draft: &DraftTransaction,
    value_bytes: usize,
) -> Option<(JobIndex, &'a Job)> {
    pass.cluster.active_jobs().find(|(job_index, job)| {
        job.record_bytes() > value_bytes
            && job.placements.iter().any(|p| p.overflow_index == 0)
            && pass.planning_permit(job).is_some()
            && !draft.jobs.contains_key(job_index)
    })
}

/// Moves the record's first placement into an overflow record; false if none is left, if no
/// overflow record can hold the placement, or if the transaction is full.
fn move_one_placement(
    pass: &PassContext,
    draft: &mut DraftTransaction,
    job_index: JobIndex,
    job: &mut Job,
    value_bytes: usize,
) -> bool {
    let Some(at) = job.placements.iter().position(|p| p.overflow_index == 0) else {
        return false;
    };
    let mut placement = job.placements.remove(at);
    let overflow_index = job
        .overflow_indices_for(1, value_bytes, true)
        .map_or(0, |indices| indices[0]);
    let moved = overflow_index > 0
        && draft.include_overflow(pass.cluster, pass.config, job_index, overflow_index);
    if moved {
        placement.overflow_index = overflow_index;
    }
    job.placements.push(placement);
    moved
}
