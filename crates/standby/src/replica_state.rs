//! The state of a shard that is not in the records, as owner and standby both keep it.

use crate::ids::Revision;
use crate::message::{Decision, MachineState};
use rpds::RedBlackTreeMap;
use std::ops::Bound;

/// Machines that a standby remembers of a shard at most: a faulty owner can't fill its memory.
pub const MAX_MACHINES: usize = 20_000;

/// State of a shard's machines, and how far its recorded decisions go.
///
/// The map is persistent: a copy shares its nodes and costs the same at any size, so that a
/// snapshot does not hold up its owner.
#[derive(Clone, Debug, Default)]
pub struct ReplicaState {
    machines: RedBlackTreeMap<String, MachineState>,
    last_decided: Revision,
}

impl ReplicaState {
    /// Applies a decision. One machine more than can be remembered is left out.
    pub fn apply(&mut self, decision: &Decision) {
        match decision {
            Decision::MachineChanged { name, state } => self.put_machine(name, state),
            Decision::MachineRemoved { name } => {
                self.machines.remove_mut(name);
            }
            Decision::TaskClaimed { revision, .. } | Decision::AttemptEnded { revision, .. } => {
                self.record_decided(Revision(*revision));
            }
        }
    }

    pub(crate) fn put_machine(&mut self, name: &str, state: &MachineState) {
        if self.machines.size() < MAX_MACHINES || self.machines.contains_key(name) {
            self.machines.insert_mut(name.to_string(), state.clone());
        }
    }

    pub(crate) fn record_decided(&mut self, revision: Revision) {
        self.last_decided = self.last_decided.max(revision);
    }

    /// Highest revision at which a decision was recorded.
    pub fn last_decided(&self) -> Revision {
        self.last_decided
    }

    /// State of a machine.
    pub fn machine(&self, name: &str) -> Option<&MachineState> {
        self.machines.get(name)
    }

    /// Number of machines.
    pub fn len(&self) -> usize {
        self.machines.size()
    }

    /// True without any machine.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// All machines in the order of their names.
    pub fn machines(&self) -> impl Iterator<Item = (&String, &MachineState)> {
        self.machines.iter()
    }

    /// Machines whose names come after one, or all.
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
        self.last_decided == other.last_decided && self.machines().eq(other.machines())
    }
}
