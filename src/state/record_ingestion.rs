//! Applies records of the key-value store to the cluster state, from the events of a watch and the
//! pages of a full read.

use super::cluster_state::{
    ClusterState, ControllerRecord, OverflowRecord, ProvisioningRecord, ShardRecord, TeamRecord,
    Versioned, KEY_PREFIX,
};
use super::job::JobRecord;
use super::names::{Index, JobIndex, TeamIndex};
use crate::protocol::cloud::MachineTypeCatalog;
use crate::protocol::kv::{Entry, Event};
use rmpv::Value;
use serde::de::DeserializeOwned;
use std::collections::HashSet;

/// Splits the key of a record into its kind and its name.
fn kind_and_name(key: &str) -> Option<(&str, &str)> {
    key.strip_prefix(KEY_PREFIX)?.split_once('/')
}

/// Splits the name of an overflow record into job id and overflow index.
fn job_and_overflow_index(name: &str) -> Option<(&str, u16)> {
    let (id, overflow_index) = name.rsplit_once('.')?;
    Some((id, overflow_index.parse().ok()?))
}

fn decode<T: DeserializeOwned>(value: &Value) -> Result<T, String> {
    // The value is encoded to bytes first, because `rmpv` can't deserialize unit variants directly.
    let bytes = rmp_serde::to_vec(value).map_err(|e| e.to_string())?;
    rmp_serde::from_slice(&bytes).map_err(|e| e.to_string())
}

/// Replaces a record if `version` is newer than the known one.
fn replace_if_newer<T>(slot: &mut Versioned<T>, version: u64, record: T) {
    if slot.version < version {
        *slot = Versioned { version, record };
    }
}

impl ClusterState {
    /// Applies a version of a team's quota shares. A version that is not newer than the known one
    /// is ignored.
    pub fn put_team(&mut self, team: TeamIndex, version: u64, record: TeamRecord) {
        let slot = &mut self.team_quotas[team.at()];
        if slot.version < version {
            *slot = Versioned { version, record };
            self.teams_with_unknown_outcome.remove(&team);
        }
    }

    /// Applies a record that was written. An unreadable record is logged and otherwise ignored.
    pub fn put(&mut self, key: &str, version: u64, value: &Value) {
        let Some((kind, name)) = kind_and_name(key) else {
            return;
        };
        if let Err(error) = self.put_of_kind(kind, name, version, value) {
            self.log_unreadable(key, &error);
        }
    }

    fn put_of_kind(
        &mut self,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
    ) -> Result<(), String> {
        match kind {
            "job" => self.put_job(name, version, &decode::<JobRecord>(value)?),
            "more" => self.put_overflow_record(name, version, &decode(value)?),
            "node" => {
                let record: ControllerRecord = decode(value)?;
                let slot = self.controllers.entry(name.to_string()).or_default();
                replace_if_newer(slot, version, record);
            }
            "book" => {
                let record: ProvisioningRecord = decode(value)?;
                let requests = &mut self.provisioning_requests;
                let slot = requests.entry(name.to_string()).or_default();
                replace_if_newer(slot, version, record);
            }
            "shard" => self.put_shard(name, version, decode(value)?),
            "team" => {
                let record: TeamRecord = decode(value)?;
                if let Some(team) = self.team_names.find(name) {
                    self.put_team(team, version, record);
                }
            }
            "form" => self.record_format_v2 = true,
            "flavors" => {
                let catalog: MachineTypeCatalog = decode(value)?;
                self.machine_types_version = version;
                self.set_machine_types(&catalog);
            }
            _ => {}
        }
        Ok(())
    }

    fn put_shard(&mut self, name: &str, version: u64, record: ShardRecord) {
        let index = name.parse::<usize>().ok();
        if let Some(slot) = index.and_then(|index| self.shards.get_mut(index)) {
            replace_if_newer(slot, version, record);
        }
    }

    fn put_overflow_record(&mut self, name: &str, version: u64, record: &OverflowRecord) {
        if let Some((id, overflow_index)) = job_and_overflow_index(name) {
            self.put_overflow(id, overflow_index, version, &record.placements);
        }
    }

    /// Applies the deletion of a record, unless a later version of the record is known.
    pub fn delete(&mut self, key: &str, version: u64) {
        let Some((kind, name)) = kind_and_name(key) else {
            return;
        };
        match kind {
            "node" => {
                let known = self.controllers.get(name);
                if known.is_some_and(|known| known.version < version) {
                    self.controllers.remove(name);
                }
            }
            "book" => {
                let known = self.provisioning_requests.get(name);
                if known.is_some_and(|known| known.version < version) {
                    self.provisioning_requests.remove(name);
                }
            }
            "more" => self.put_overflow_record(name, version, &OverflowRecord::default()),
            _ => {}
        }
    }

    /// Applies the events of a watch that started at revision `from` and has reached `revision`.
    pub fn apply_changes(&mut self, from: u64, revision: u64, events: &[Event]) {
        // Watches and reads overlap: an event that has been applied already must not restore a
        // controller or a provisioning request that has been deleted since.
        let known = self.revision;
        for event in events.iter().filter(|event| event.version > known) {
            self.changes += 1;
            match (&event.set, &event.remove, &event.v) {
                (Some(key), _, Some(value)) => self.put(key, event.version, value),
                (_, Some(key), _) => self.delete(key, event.version),
                _ => {}
            }
        }
        // A watch that started after the known revision may have missed changes before its start,
        // so the known revision stays.
        if from <= self.revision {
            self.revision = self.revision.max(revision);
        }
    }

    /// Applies a page of a full read of all keys.
    ///
    /// Only one page is in memory at a time, so the memory that a full read needs does not grow
    /// with the number of records. `deletable_keys` collects the keys of those records of the page
    /// that are of a kind that can be deleted, for [`ClusterState::finish_full_read`].
    pub fn apply_page(&mut self, entries: &[Entry], deletable_keys: &mut HashSet<String>) {
        for entry in entries {
            if matches!(
                kind_and_name(&entry.key),
                Some(("node" | "book" | "more", _))
            ) {
                deletable_keys.insert(entry.key.clone());
            }
            self.put(&entry.key, entry.version, &entry.v);
        }
    }

    /// Completes a full read whose lowest revision was `revision`: removes the records of deletable
    /// kinds that the read did not return.
    pub fn finish_full_read(&mut self, deletable_keys: &HashSet<String>, revision: u64) {
        // A record that is newer than the read has arrived by a watch in the meantime and stays.
        let exists =
            |key: String, version: u64| version > revision || deletable_keys.contains(&key);
        self.controllers
            .retain(|name, known| exists(format!("{KEY_PREFIX}node/{name}"), known.version));
        self.provisioning_requests
            .retain(|name, known| exists(format!("{KEY_PREFIX}book/{name}"), known.version));
        let deleted: Vec<(JobIndex, u16)> = self
            .overflow_versions
            .iter()
            .filter(|((job_index, overflow_index), version)| {
                let id = &self.jobs[job_index.at()].id;
                !exists(Self::overflow_key(id, *overflow_index), **version)
            })
            .map(|(record, _)| *record)
            .collect();
        for (job_index, overflow_index) in deleted {
            let id = self.jobs[job_index.at()].id.clone();
            self.put_overflow(&id, overflow_index, revision, &[]);
        }
        self.revision = self.revision.max(revision);
        self.loaded = true;
    }

    /// Applies a full read of a single page.
    pub fn apply_full_read(&mut self, entries: &[Entry], revision: u64) {
        let mut deletable_keys = HashSet::new();
        self.apply_page(entries, &mut deletable_keys);
        self.finish_full_read(&deletable_keys, revision);
    }
}
