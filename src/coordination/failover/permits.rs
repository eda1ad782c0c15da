//! The permits of this controller: observed, lent, and withdrawn when a fencing token is refused.

use super::observation::ShardView;
use crate::coordination::controller::Controller;
use crate::coordination::replication;
use crate::state::names::{Index, ShardIndex};
use standby::failover::{FailoverState, Failovers, Refusal, Transition};
use standby::ids::{Millis, Revision, ShardId};
use standby::permit::Permits;
use std::cell::Ref;

impl Controller {
    /// Brings failovers up to date with the view, and lends the permits that are held then.
    pub fn permits(&self) -> Ref<'_, Permits> {
        self.observe_shards();
        Ref::map(self.failovers.borrow(), Failovers::permits)
    }

    /// Observes all shards, and does what their changes of state ask for; each is logged once.
    pub fn observe_shards(&self) {
        let transitions = self.update_failovers();
        for transition in &transitions {
            self.log_transition(transition);
        }
        for transition in &transitions {
            if transition.to == FailoverState::SteppedDown {
                self.drop_shard_hints(transition.shard.into());
            }
        }
        for transition in &transitions {
            if let FailoverState::Active { .. } = transition.to {
                replication::restore(self, transition.shard.into());
            }
        }
    }

    fn update_failovers(&self) -> Vec<Transition> {
        let now = self.now();
        let cluster = self.cluster.borrow();
        let standby_of = self.standby_of.borrow();
        let mut failovers = self.failovers.borrow_mut();
        let mut transitions = Vec::new();
        for shard in (0..cluster.shards.len()).map(ShardIndex::new) {
            let standby = standby_of.get(&shard);
            let owner = &cluster.shards[shard.at()].record.owner;
            let view = ShardView {
                cluster: &cluster,
                config: &self.config,
                shard,
                is_standby: standby.is_some_and(|name| *name == self.config.controller_name),
                owner_last_contact: self.peer(owner).and_then(|peer| peer.last_status()),
                now,
            };
            transitions.extend(failovers.observe(shard.into(), view.observe(), now.into()));
        }
        transitions
    }

    /// Withdraws a shard's permit: a fencing token of this controller was refused.
    pub fn token_refused(&self, shard: ShardIndex, refusal: Refusal) {
        if self.features.standby().is_none() {
            return;
        }
        let known_revision = Revision(self.cluster.borrow().revision);
        let now = self.now();
        let transition = self.failovers.borrow_mut().token_refused(
            shard.into(),
            refusal,
            known_revision,
            now.into(),
        );
        if let Some(transition) = transition {
            log::warn!("fencing token refused: shard={} {refusal}", shard.0);
            self.log_transition(&transition);
            self.drop_shard_hints(shard);
        }
    }

    /// Passes a step of the transaction that raises a shard's fencing token to its failover.
    pub(in crate::coordination) fn record_fence_step(
        &self,
        shard: ShardIndex,
        step: fn(&mut Failovers, ShardId, Millis) -> Option<Transition>,
    ) {
        let now = self.now();
        let transition = step(&mut self.failovers.borrow_mut(), shard.into(), now.into());
        if let Some(transition) = transition {
            self.log_transition(&transition);
        }
    }

    /// Drops what was derived from a permit that is withdrawn: queues and reservations.
    fn drop_shard_hints(&self, shard: ShardIndex) {
        if self.features.standby().is_none() {
            return;
        }
        let mut cluster = self.cluster.borrow_mut();
        for machine in cluster.machines.iter_mut().flatten() {
            if machine.shard == shard {
                machine.queue.clear();
                machine.decisions.reservation = None;
                machine.decisions.stopping.clear();
            }
        }
    }

    fn log_transition(&self, transition: &Transition) {
        if self.features.standby().is_none() {
            return;
        }
        let since_last_contact_ms = transition.since_last_contact_ms;
        log::info!(
            "failover state changed: shard={} from={:?} to={:?} owner_last_contact_ms_ago={}",
            transition.shard.0,
            transition.from.name(),
            transition.to.name(),
            since_last_contact_ms.map_or("none".to_string(), |ms| ms.to_string()),
        );
    }
}
