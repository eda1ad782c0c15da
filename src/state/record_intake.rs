//! Records of the state service on their way into the view: changes of a watch and pages of a read.

use super::cluster_state::{
    ClusterState, ControllerRecord, OverflowRecord, ProvisioningRecord, ShardRecord, TeamRecord,
    Versioned, ROOT,
};
use super::job::JobRecord;
use super::names::{Index, JobIndex, TeamIndex};
use crate::protocol::cloud::MachineTypeCatalog;
use crate::protocol::kv::{Entry, Event};
use rmpv::Value;
use std::collections::HashSet;

/// Job and number of a part by its name.
fn part_of(name: &str) -> Option<(&str, u16)> {
    let (id, part) = name.rsplit_once('.')?;
    Some((id, part.parse().ok()?))
}

impl ClusterState {
    /// Puts a team's shares of this version into the view. Older versions change nothing.
    pub fn put_team(&mut self, team: TeamIndex, version: u64, rec: TeamRecord) {
        let slot = &mut self.team_quotas[team.at()];
        if slot.version < version {
            *slot = Versioned {
                version,
                record: rec,
            };
            self.teams_with_unknown_outcome.remove(&team);
        }
    }

    /// Takes one put key.
    pub fn put(&mut self, key: &str, version: u64, v: &Value) {
        let Some((kind, name)) = key.strip_prefix(ROOT).and_then(|k| k.split_once('/')) else {
            return;
        };
        fn read<T: serde::de::DeserializeOwned>(v: &Value) -> Result<T, String> {
            // By way of bytes: the direct way can't read unit variants.
            let bytes = rmp_serde::to_vec(v).map_err(|e| e.to_string())?;
            rmp_serde::from_slice(&bytes).map_err(|e| e.to_string())
        }
        fn newer<T>(slot: &mut Versioned<T>, version: u64, rec: T) {
            if slot.version < version {
                *slot = Versioned {
                    version,
                    record: rec,
                };
            }
        }
        let result = match kind {
            "job" => read::<JobRecord>(v).map(|r| self.put_job(name, version, &r)),
            "node" => read::<ControllerRecord>(v).map(|rec| {
                newer(
                    self.controllers.entry(name.to_string()).or_default(),
                    version,
                    rec,
                );
            }),
            "shard" => read::<ShardRecord>(v).map(|rec| {
                if let Some(slot) = name
                    .parse()
                    .ok()
                    .and_then(|i: usize| self.shards.get_mut(i))
                {
                    newer(slot, version, rec);
                }
            }),
            "team" => read::<TeamRecord>(v).map(|rec| {
                if let Some(t) = self.team_names.find(name) {
                    self.put_team(t, version, rec);
                }
            }),
            "book" => read::<ProvisioningRecord>(v).map(|rec| {
                newer(
                    self.provisioning_requests
                        .entry(name.to_string())
                        .or_default(),
                    version,
                    rec,
                );
            }),
            "more" => read::<OverflowRecord>(v).map(|r| {
                if let Some((id, part)) = part_of(name) {
                    self.put_overflow(id, part, version, &r.placements);
                }
            }),
            "form" => {
                self.record_format_v2 = true;
                Ok(())
            }
            "flavors" => read::<MachineTypeCatalog>(v).map(|f| {
                self.machine_types_version = version;
                self.set_machine_types(&f);
            }),
            _ => Ok(()),
        };
        if let Err(e) = result {
            self.warn_unreadable(key, &e);
        }
    }

    /// Takes one deleted key.
    pub fn delete(&mut self, key: &str, version: u64) {
        let Some((kind, name)) = key.strip_prefix(ROOT).and_then(|k| k.split_once('/')) else {
            return;
        };
        match kind {
            "node"
                if self
                    .controllers
                    .get(name)
                    .is_some_and(|n| n.version < version) =>
            {
                self.controllers.remove(name);
            }
            "book"
                if self
                    .provisioning_requests
                    .get(name)
                    .is_some_and(|b| b.version < version) =>
            {
                self.provisioning_requests.remove(name);
            }
            "more" => {
                if let Some((id, part)) = part_of(name) {
                    self.put_overflow(id, part, version, &[]);
                }
            }
            _ => {}
        }
    }

    /// Takes the changes of a watch that was asked from `from`.
    pub fn take_changes(&mut self, from: u64, revision: u64, events: &[Event]) {
        // Watches and reads overlap; what is known already must not come back,
        // least of all a node or booking that has been deleted since.
        let known = self.revision;
        for e in events.iter().filter(|e| e.version > known) {
            self.changes += 1;
            match (&e.set, &e.remove, &e.v) {
                (Some(key), _, Some(v)) => self.put(key, e.version, v),
                (_, Some(key), _) => self.delete(key, e.version),
                _ => {}
            }
        }
        // A watch that started later than what is known would leave a gap.
        if from <= self.revision {
            self.revision = self.revision.max(revision);
        }
    }

    /// Takes a page of a full read of all keys. Nothing of it is kept but what it brings, so a
    /// read of any number of records needs no more memory than a page; `fleeting` gathers the
    /// keys that others delete, for [`ClusterState::end_read`].
    pub fn take_page(&mut self, entries: &[Entry], fleeting: &mut HashSet<String>) {
        for e in entries {
            let kind = e.key.strip_prefix(ROOT).and_then(|k| k.split_once('/'));
            if matches!(kind, Some(("node" | "book" | "more", _))) {
                fleeting.insert(e.key.clone());
            }
            self.put(&e.key, e.version, &e.v);
        }
    }

    /// Ends a full read whose lowest revision this is: what it did not show is gone.
    pub fn end_read(&mut self, fleeting: &HashSet<String>, revision: u64) {
        // What is newer came meanwhile by a watch.
        let stays = |key: String, version: u64| version > revision || fleeting.contains(&key);
        self.controllers
            .retain(|n, r| stays(format!("{ROOT}node/{n}"), r.version));
        self.provisioning_requests
            .retain(|n, b| stays(format!("{ROOT}book/{n}"), b.version));
        let gone: Vec<(JobIndex, u16)> = self
            .overflow_versions
            .iter()
            .filter(|((ix, part), version)| {
                !stays(Self::overflow_key(&self.jobs[ix.at()].id, *part), **version)
            })
            .map(|(at, _)| *at)
            .collect();
        for (ix, part) in gone {
            let id = self.jobs[ix.at()].id.clone();
            self.put_overflow(&id, part, revision, &[]);
        }
        self.revision = self.revision.max(revision);
        self.loaded = true;
    }

    /// Takes a full read in one page.
    pub fn take_all(&mut self, entries: &[Entry], revision: u64) {
        let mut fleeting = HashSet::new();
        self.take_page(entries, &mut fleeting);
        self.end_read(&fleeting, revision);
    }
}
