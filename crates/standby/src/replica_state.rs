//! The part of a shard's state that is not stored in the key-value store. The shard's owner and its
//! standby each keep it in memory.

use crate::ids::Revision;
use crate::message::{Decision, MachineState};
use rpds::RedBlackTreeMap;
use std::ops::Bound;

/// Maximum number of machines that a standby keeps for a shard, so that a faulty owner can't
/// exhaust the standby's memory.
pub const MAX_MACHINES: usize = 20_000;

/// State of a shard's machines, and the revision of its last committed decision.
///
/// The map of machines is a persistent data structure: a copy shares the nodes of the original and
/// takes constant time, so that starting a snapshot does not delay the owner.
#[derive(Clone, Debug, Default)]
pub struct ReplicaState {
    machines: RedBlackTreeMap<String, MachineState>,
    last_decided_revision: Revision,
}

impl ReplicaState {
    /// Applies a decision. A new machine beyond [`MAX_MACHINES`] is ignored.
    pub fn apply(&mut self, decision: &Decision) {
        match decision {
            Decision::MachineChanged { name, state } => self.put_machine(name, state),
            Decision::MachineRemoved { name } => {
                self.machines.remove_mut(name);
            }
            Decision::TaskClaimed { revision, .. } | Decision::AttemptEnded { revision, .. } => {
                self.record_decided_revision(Revision(*revision));
            }
        }
    }

    pub(crate) fn put_machine(&mut self, name: &str, state: &MachineState) {
        if self.machines.size() < MAX_MACHINES || self.machines.contains_key(name) {
            self.machines.insert_mut(name.to_string(), state.clone());
        }
    }

    pub(crate) fn record_decided_revision(&mut self, revision: Revision) {
        self.last_decided_revision = self.last_decided_revision.max(revision);
    }

    /// Highest revision at which an applied decision was committed.
    pub fn last_decided_revision(&self) -> Revision {
        self.last_decided_revision
    }

    /// State of a machine; `None` if the machine is unknown.
    pub fn machine(&self, name: &str) -> Option<&MachineState> {
        self.machines.get(name)
    }

    /// Number of known machines.
    pub fn len(&self) -> usize {
        self.machines.size()
    }

    /// True if no machine is known.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// All machines and their states, sorted by name.
    pub fn machines(&self) -> impl Iterator<Item = (&String, &MachineState)> {
        self.machines.iter()
    }

    /// Machines whose names sort after `name`, and their states; all machines if `name` is `None`.
    pub fn machines_after<'a>(
        &'a self,
        name: Option<&'a str>,
    ) -> impl Iterator<Item = (&'a String, &'a MachineState)> {
        let from = name.map_or(Bound::Unbounded, Bound::Excluded);
        self.machines.range::<str, _>((from, Bound::Unbounded))
    }
}

impl PartialEq for ReplicaState {
    fn eq(&self, other: &ReplicaState) -> bool {
        self.last_decided_revision == other.last_decided_revision
            && self.machines().eq(other.machines())
    }
}
