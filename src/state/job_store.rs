//! Jobs of the cluster state: applies their records and updates the sums and indices derived from
//! them.

use super::cluster_state::{ClusterState, Submission};
use super::job::{Job, JobRecord, JobState, Placement, Spec, StoredPlacement};
use super::names::{Index, JobIndex, MachineIndex};
use super::record_formats::stored_bytes;
use super::units::Resources;
use crate::protocol::users::{JobKind, JobSpec};
use std::rc::Rc;

/// Maximum number of recent submissions kept to estimate the rate of each class: enough for
/// 50 a second over the period that the estimate looks back.
const MAX_RECENT_SUBMISSIONS: usize = 8192;

impl ClusterState {
    /// The job with this id and its index; `None` if no record of the job has been read.
    pub fn job(&self, id: &str) -> Option<(JobIndex, &Job)> {
        let job_index = self.job_names.find(id)?;
        Some((job_index, self.jobs.get(job_index.at())?))
    }

    /// Jobs that are not settled.
    pub fn active_jobs(&self) -> impl Iterator<Item = (JobIndex, &Job)> {
        self.active
            .iter()
            .map(|index| (*index, &self.jobs[index.at()]))
    }

    /// Interns the names in a description; `None` if its team or zone is unknown.
    pub fn intern_spec(&mut self, submitted: &JobSpec) -> Option<Spec> {
        let zone = match &submitted.zone {
            Some(zone) => Some(self.zone_names.find(zone)?),
            None => None,
        };
        let team = self.team_names.find(&submitted.team)?;
        let machine_types = submitted.types.as_ref().map(|types| {
            types
                .iter()
                .map(|name| self.machine_type_names.intern(name))
                .collect()
        });
        Some(Spec {
            team,
            need: Resources::new(submitted.vcpus, submitted.gpus, submitted.mem_gb),
            machine_types,
            zone,
            image: self.image_names.intern(&submitted.image),
            record_bytes: stored_bytes(submitted),
            submitted: submitted.clone(),
        })
    }

    /// True if the job can ever run, judging by the machine types and its team's limit.
    pub fn can_run(&self, spec: &Spec) -> bool {
        let tasks_at_once = match spec.submitted.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => spec.tasks(),
        };
        let quota = spec.need.times(tasks_at_once).quota();
        self.fits_a_machine_type(spec) && self.team_limits[spec.team.at()].allows(quota)
    }

    fn fits_a_machine_type(&self, spec: &Spec) -> bool {
        self.machine_types.iter().any(|(index, machine_type)| {
            let allowed = spec.machine_types.as_ref();
            let zones = &machine_type.description.zones;
            allowed.is_none_or(|types| types.contains(index))
                && spec.need.fits(machine_type.capacity)
                && zones.iter().any(|name| {
                    let zone = self.zone_names.find(name);
                    zone.is_some() && (spec.zone.is_none() || spec.zone == zone)
                })
        })
    }

    /// Applies a version of a job's record. A version that is not newer than the known one is
    /// ignored.
    pub fn put_job(&mut self, id: &str, version: u64, record: &JobRecord) {
        let job_index = self.job_names.intern(id);
        let old = self.jobs.get(job_index.at());
        if old.is_some_and(|job| job.version >= version) {
            return;
        }
        let spec = self.spec_of_record(id, job_index, record);
        if job_index.at() == self.jobs.len() {
            self.record_submission(record.submitted_at, spec.as_ref());
        }
        let id = self.job_names.name(job_index).clone();
        if record.state != JobState::Open {
            self.cancelled_by_peers.remove(&id);
        }
        let (dependency_state, dependency_cancelled) =
            self.dependency_state(&id, record.submitted_at, spec.as_deref());
        let job = Job {
            version,
            state: self.effective_state(&id, record.state, dependency_cancelled),
            submitted_at: record.submitted_at,
            spec,
            done: record.done.clone(),
            placements: self.merge_placements(job_index, record),
            next_attempt: record.next_attempt,
            finished_at: record.finished_at,
            staged: record.staged,
            dependency_state,
            id,
        };
        let unwritten = record.state == JobState::Open && dependency_cancelled;
        self.dependency_graph
            .set_cancellation_unwritten(job_index, unwritten);
        self.record_images_used(&job);
        self.add_to_dependencies(job_index, &job);
        // The outcome of a transaction that was not answered is known once a newer record is read.
        self.jobs_with_unknown_outcome.remove(&job_index);
        self.store_job(job_index, job);
        self.update_dependency_states();
    }

    /// The job's description with interned names. If one is in memory already, it is reused, since
    /// descriptions never change.
    fn spec_of_record(
        &mut self,
        id: &str,
        job_index: JobIndex,
        record: &JobRecord,
    ) -> Option<Rc<Spec>> {
        let submitted = record.spec.as_ref()?;
        let known = self.jobs.get(job_index.at()).and_then(|j| j.spec.clone());
        if known.is_some() {
            return known;
        }
        let spec = self.intern_spec(submitted).map(Rc::new);
        if spec.is_none() {
            self.log_unreadable(id, "unknown team or zone");
        }
        spec
    }

    /// Records the submission of a job that is read for the first time, for the demand forecast.
    fn record_submission(&mut self, submitted_at: u64, spec: Option<&Rc<Spec>>) {
        let first = self.first_submission.unwrap_or(submitted_at);
        self.first_submission = Some(first.min(submitted_at));
        self.recent_submissions.extend(spec.map(|spec| Submission {
            submitted_at,
            spec: spec.clone(),
        }));
        while self.recent_submissions.len() > MAX_RECENT_SUBMISSIONS {
            self.recent_submissions.pop_front();
        }
    }

    /// State that the job gets when a record with the state `stored` is applied.
    ///
    /// A cancellation is final: an older record, whichever way it arrives, must not reopen the
    /// job. A job with a cancelled dependency is cancelled even before its own record says so.
    fn effective_state(&self, id: &str, stored: JobState, dependency_cancelled: bool) -> JobState {
        match stored {
            JobState::Open if dependency_cancelled || self.cancelled_by_peers.contains(id) => {
                JobState::Cancelled
            }
            state => state,
        }
    }

    /// Placements in a job's new record, and those in the job's overflow records as last read.
    fn merge_placements(&mut self, job_index: JobIndex, record: &JobRecord) -> Vec<Placement> {
        let mut placements = self.read_placements(&record.placements, 0);
        if let Some(old) = self.jobs.get(job_index.at()) {
            placements.extend(old.placements.iter().filter(|p| p.overflow_index > 0));
        }
        placements
    }

    /// Applies a version of one of a job's overflow records. A version that is not newer than the
    /// known one is ignored. An empty list means that the record is deleted.
    pub fn put_overflow(
        &mut self,
        id: &str,
        overflow_index: u16,
        version: u64,
        stored: &[StoredPlacement],
    ) {
        let Some(job_index) = self.job(id).map(|(index, _)| index) else {
            return;
        };
        let known = self.overflow_versions.get(&(job_index, overflow_index));
        if overflow_index == 0 || known.copied().unwrap_or(0) >= version {
            return;
        }
        self.overflow_versions
            .insert((job_index, overflow_index), version);
        let placements = self.read_placements(stored, overflow_index);
        let mut job = self.jobs[job_index.at()].clone();
        job.placements
            .retain(|p| p.overflow_index != overflow_index);
        job.placements.extend(placements);
        self.record_images_used(&job);
        self.store_job(job_index, job);
    }

    /// Updates the image caches of the machines that the job is placed on.
    fn record_images_used(&mut self, job: &Job) {
        let Some(spec) = &job.spec else { return };
        for placement in &job.placements {
            let machine_type = self.machine(placement.machine).map(|m| m.machine_type);
            let cache_gb = machine_type
                .and_then(|index| self.machine_types.get(&index))
                .map_or(f64::MAX, |known| known.description.cache_gb);
            if let Some(machine) = self.machine_mut(placement.machine) {
                machine.use_image(spec.image, spec.submitted.image_gb, cache_gb);
            }
        }
    }

    /// Stores a job and updates all that is derived from it: the index of active jobs, the sums
    /// over placements, the dependency graph and the free capacity of machines.
    pub(super) fn store_job(&mut self, job_index: JobIndex, job: Job) {
        if job.is_settled() {
            self.active.remove(&job_index);
            self.failures.remove(&job_index);
        } else {
            self.active.insert(job_index);
        }
        let changed_machines = self.update_totals(job_index, &job);
        // The record of a settled job has no description any more, so the previous one is used.
        let old_spec = self.jobs.get(job_index.at()).and_then(|j| j.spec.clone());
        let finished = (!job.is_open()).then(|| job.id.clone());
        if job_index.at() == self.jobs.len() {
            self.jobs.push(job);
        } else if let Some(slot) = self.jobs.get_mut(job_index.at()) {
            *slot = job;
        }
        if let Some(id) = finished {
            self.dependency_graph.remove_finished(&id);
            // The dependencies of a job that is done or cancelled have lost a dependent.
            self.mark_dependencies_changed(old_spec.as_deref());
        }
        for machine_index in changed_machines {
            self.recompute_free_capacity(machine_index);
        }
    }

    /// Replaces the stored job by its new version in the sums over placements. Returns the
    /// machines on which either has placements, each once.
    fn update_totals(&mut self, job_index: JobIndex, job: &Job) -> Vec<MachineIndex> {
        let mut machines: Vec<MachineIndex> = job.placements.iter().map(|p| p.machine).collect();
        if let Some(old) = self.jobs.get(job_index.at()) {
            machines.extend(old.placements.iter().map(|p| p.machine));
            self.totals.remove(job_index, old);
        }
        self.totals.add(job_index, job);
        machines.sort_unstable();
        machines.dedup();
        machines
    }

    /// Job status for users: status word, number of tasks done, number of tasks running. Tasks
    /// that are placed count as running, except those of a staged gang.
    pub fn job_status(job: &Job) -> (&'static str, u32, u32) {
        let running = match job.is_staged() {
            true => 0,
            false => job.unfinished_placements(),
        };
        let done = job.done.count();
        match job.state {
            JobState::Done => ("done", done, 0),
            JobState::Cancelled => ("aborted", done, 0),
            JobState::Open if running > 0 => ("running", done, running),
            JobState::Open => ("pending", done, 0),
        }
    }
}
