//! Machines of the cluster state: registration, deletion, machine types and free capacity.

use super::cluster_state::ClusterState;
use super::machine::{Machine, MachineType, ObservedTask, TaskAttempt};
use super::names::{Index, JobIndex, MachineIndex, ShardIndex, TeamIndex};
use super::units::{MonotonicMillis, QuotaUsage, Resources};
use crate::protocol::cloud::MachineTypeCatalog;
use crate::protocol::workers::TaskState;

impl ClusterState {
    /// The machine with this index; `None` if only its name is known or the cloud has deleted it.
    pub fn machine(&self, machine_index: MachineIndex) -> Option<&Machine> {
        self.machines.get(machine_index.at())?.as_ref()
    }

    /// The machine with this index, to be changed; `None` as for [`ClusterState::machine`].
    pub fn machine_mut(&mut self, machine_index: MachineIndex) -> Option<&mut Machine> {
        self.machines.get_mut(machine_index.at())?.as_mut()
    }

    /// All known machines with their indices.
    pub fn all_machines(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.machines
            .iter()
            .enumerate()
            .filter_map(|(index, machine)| Some((MachineIndex::new(index), machine.as_ref()?)))
    }

    /// Returns the index of a machine's name, adding the name if it is new.
    pub fn intern_machine(&mut self, name: &str) -> MachineIndex {
        let machine_index = self.machine_names.intern(name);
        if self.machines.len() <= machine_index.at() {
            self.machines.resize(machine_index.at() + 1, None);
        }
        machine_index
    }

    /// Adds a machine if it is new, and returns its index.
    ///
    /// Returns `None` for an unknown zone, and for a machine that the cloud has deleted: machine
    /// lists, heartbeats and peer messages that arrive late must not restore a deleted machine.
    pub fn learn_machine(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        now: MonotonicMillis,
    ) -> Option<MachineIndex> {
        let zone = self.zone_names.find(zone)?;
        let machine_index = self.intern_machine(name);
        if self.is_deleted(machine_index) {
            return None;
        }
        if self.machines[machine_index.at()].is_none() {
            let machine_type = self.machine_type_names.intern(machine_type);
            let shard = self.shard_of(zone, name);
            let name = self.machine_names.name(machine_index).clone();
            let machine = Machine::new(name, machine_type, zone, spot, shard, now);
            self.machines[machine_index.at()] = Some(machine);
            self.recompute_free_capacity(machine_index);
        }
        Some(machine_index)
    }

    /// True if the cloud has deleted the machine.
    pub fn is_deleted(&self, machine_index: MachineIndex) -> bool {
        self.deleted_machines
            .get(machine_index.at())
            .copied()
            .unwrap_or(false)
    }

    /// Records that the cloud has deleted a machine, even if only its name is known.
    pub fn mark_deleted(&mut self, machine_index: MachineIndex) {
        if self.deleted_machines.len() <= machine_index.at() {
            self.deleted_machines.resize(machine_index.at() + 1, false);
        }
        self.deleted_machines[machine_index.at()] = true;
        // Machines are replaced continually, so memory would grow without bound if deleted ones
        // were kept.
        if let Some(machine) = self.machines.get_mut(machine_index.at()) {
            *machine = None;
        }
        self.recompute_free_capacity(machine_index);
    }

    /// Stores the machine types of a catalog, replacing the known descriptions of these types.
    pub fn set_machine_types(&mut self, catalog: &MachineTypeCatalog) {
        for description in &catalog.types {
            let index = self.machine_type_names.intern(&description.name);
            let capacity = Resources::new(description.vcpus, description.gpus, description.mem_gb);
            let machine_type = MachineType {
                capacity,
                description: description.clone(),
            };
            self.machine_types.insert(index, machine_type);
        }
        for index in 0..self.machines.len() {
            self.recompute_free_capacity(MachineIndex::new(index));
        }
    }

    /// Quota that a team's placements use, summed over those charged to one shard.
    pub fn quota_used_by_shard(&self, team: TeamIndex, charged_shard: ShardIndex) -> QuotaUsage {
        self.totals.quota_used_by_shard(team, charged_shard)
    }

    /// Quota that all of a team's placements use.
    pub fn quota_used(&self, team: TeamIndex) -> QuotaUsage {
        self.totals.quota_used(team)
    }

    /// Attempts placed on a machine.
    pub fn placed_on(&self, machine_index: MachineIndex) -> &[TaskAttempt] {
        self.totals.placed_on(machine_index)
    }

    /// Machines with placements, including those of which only the name is known.
    pub fn occupied_machines(&self) -> impl Iterator<Item = MachineIndex> + '_ {
        self.totals.occupied_machines()
    }

    /// Free capacity of a machine; `None` if the machine or its type is unknown.
    pub fn free_on(&self, machine_index: MachineIndex) -> Option<Resources> {
        let free = self.free_capacity().get(machine_index.at());
        free.copied().flatten()
    }

    /// Free capacity by machine index: the capacity less placements and observed tasks without a
    /// placement.
    pub fn free_capacity(&self) -> &[Option<Resources>] {
        self.totals.free_capacity()
    }

    /// Recomputes the free capacity of a machine. Must be called after each change of its tasks,
    /// its type or the placements on it.
    pub fn recompute_free_capacity(&mut self, machine_index: MachineIndex) {
        let free = self
            .machine(machine_index)
            .and_then(|machine| self.free_capacity_of(machine_index, machine));
        self.totals.set_free_capacity(machine_index, free);
    }

    /// Capacity of the machine's type less its placements and the observed tasks without a
    /// placement.
    fn free_capacity_of(
        &self,
        machine_index: MachineIndex,
        machine: &Machine,
    ) -> Option<Resources> {
        let mut free = self.machine_types.get(&machine.machine_type)?.capacity;
        let placed = self.placed_on(machine_index);
        // A completed task frees its capacity at once; its job's record may follow later.
        let still_running =
            |a: &&TaskAttempt| !machine.observed(**a).is_some_and(ObservedTask::is_done);
        for attempt in placed.iter().filter(still_running) {
            if let Some(request) = self.resource_request(attempt.job) {
                free = free.minus(request);
            }
        }
        // A task without a placement still uses the machine until its worker has stopped it.
        let observed = machine.heartbeat.tasks.iter();
        for task in observed.filter(|t| t.state != TaskState::Exited) {
            let unplaced = task
                .job
                .filter(|job| !placed.contains(&TaskAttempt::new(*job, task.task, task.attempt)));
            if let Some(request) = unplaced.and_then(|job| self.resource_request(job)) {
                free = free.minus(request);
            }
        }
        Some(free)
    }

    /// Resources that one task of a job requests; `None` if the job is settled or its description
    /// is unreadable.
    fn resource_request(&self, job_index: JobIndex) -> Option<Resources> {
        let job = self.jobs.get(job_index.at()).filter(|j| !j.is_settled())?;
        Some(job.spec.as_ref()?.need)
    }
}
