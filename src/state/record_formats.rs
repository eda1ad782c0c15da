//! Stored form of a job in the key-value store: its own record, and overflow records with the
//! placements that would exceed the size limit of one value.

use super::cluster_state::ClusterState;
use super::job::{Job, JobRecord, Placement, StoredPlacement};
use super::names::{Index, JobIndex};
use super::records::KEY_PREFIX;
use crate::protocol::users::JobSpec;

/// Size in bytes of a job's description in its record, as the key-value store counts it.
pub(super) fn stored_bytes(submitted: &JobSpec) -> usize {
    let bytes = rmp_serde::to_vec_named(submitted).unwrap_or_default();
    let value = rmpv::decode::read_value(&mut bytes.as_slice());
    value.map_or(0, |v| v.to_string().len())
}

impl ClusterState {
    /// True if all live controllers can read this format of records.
    pub fn all_controllers_read(&self, record_format: u32) -> bool {
        let mut controllers = self.controllers.values();
        controllers.all(|controller| controller.record.record_format >= record_format)
    }

    /// Key of a job's record: `ph/job/<id>`.
    pub fn job_key(id: &str) -> String {
        format!("{KEY_PREFIX}job/{id}")
    }

    /// Key of one of a job's overflow records: `ph/more/<id>.<overflow index>`.
    pub fn overflow_key(id: &str, overflow_index: u16) -> String {
        format!("{KEY_PREFIX}more/{id}.{overflow_index}")
    }

    /// A job's record as it is stored, without the placements in overflow records.
    pub fn job_record(&self, job: &Job) -> JobRecord {
        let spec = job.spec.as_ref().filter(|_| !job.is_settled());
        JobRecord {
            spec: spec.map(|spec| spec.submitted.clone()),
            state: job.state,
            submitted_at: job.submitted_at,
            done: job.done.clone(),
            placements: self.stored_placements(job, 0),
            next_attempt: job.next_attempt,
            finished_at: job.finished_at,
            staged: job.staged.filter(|_| job.is_open()),
        }
    }

    /// Stored form of the placements in one overflow record; index 0 is the job's own record.
    pub fn stored_placements(&self, job: &Job, overflow_index: u16) -> Vec<StoredPlacement> {
        job.placements
            .iter()
            .filter(|p| p.overflow_index == overflow_index)
            .map(|p| self.stored_placement(p))
            .collect()
    }

    fn stored_placement(&self, placement: &Placement) -> StoredPlacement {
        StoredPlacement {
            task: placement.task,
            attempt: placement.attempt,
            machine: self.machine_names.name(placement.machine).to_string(),
            shard: placement.shard,
            charged_shard: placement.charged_shard,
        }
    }

    /// Converts the placements of a stored record to their form in memory.
    pub(super) fn read_placements(
        &mut self,
        stored: &[StoredPlacement],
        overflow_index: u16,
    ) -> Vec<Placement> {
        let mut placements = Vec::with_capacity(stored.len());
        for placement in stored {
            placements.push(Placement {
                task: placement.task,
                attempt: placement.attempt,
                machine: self.intern_machine(&placement.machine),
                shard: placement.shard,
                charged_shard: placement.charged_shard,
                overflow_index,
            });
        }
        placements
    }

    /// Indices of the overflow records in which `job` differs from the job as last read.
    pub fn changed_overflows(&self, job_index: JobIndex, job: &Job) -> Vec<u16> {
        let old = &self.jobs[job_index.at()];
        let placements = old.placements.iter().chain(&job.placements);
        let mut indices: Vec<u16> = placements.map(|p| p.overflow_index).collect();
        indices.sort_unstable();
        indices.dedup();
        indices.retain(|index| {
            *index > 0 && self.stored_placements(old, *index) != self.stored_placements(job, *index)
        });
        indices
    }
}
