//! The permits of this controller: updated by observation of all shards, lent to code that decides,
//! and withdrawn when a fencing token is refused.

use super::observation::ShardView;
use super::restore;
use crate::coordination::controller::Controller;
use crate::coordination::event_counts::CountedEvent;
use crate::state::names::{Index, ShardIndex};
use standby::failover::{FailoverState, Failovers, Refusal, Transition};
use standby::ids::{Millis, Revision, ShardId};
use standby::permit::Permits;
use std::cell::Ref;

/// Updates the failovers of all shards, and lends the permits that this controller then holds.
pub fn permits(controller: &Controller) -> Ref<'_, Permits> {
    observe_shards(controller);
    Ref::map(controller.failovers.borrow(), Failovers::permits)
}

/// Observes all shards, and handles and logs each change of state: a step-down discards unrecorded
/// decisions, and a permit restores those of the former owner.
pub fn observe_shards(controller: &Controller) {
    let transitions = update_failovers(controller);
    for transition in &transitions {
        log_transition(controller, transition);
    }
    for transition in &transitions {
        if transition.to == FailoverState::SteppedDown {
            discard_unrecorded_decisions(controller, transition.shard.into());
        }
    }
    for transition in &transitions {
        if let FailoverState::Active { .. } = transition.to {
            record_permit(controller, transition.shard.into());
            restore::restore(controller, transition.shard.into());
        }
    }
}

/// Counts and logs a permit: from now on this controller decides for the shard.
fn record_permit(controller: &Controller, shard: ShardIndex) {
    let failovers = controller.failovers.borrow();
    let Some(permit) = failovers.permits().get(shard.into()) else {
        return;
    };
    controller.events.add(CountedEvent::PermitIssued, 1);
    log::info!(
        "permit issued: shard={} controller={} fencing_token={} fence_revision={} revision={} \
         view_age_ms={}",
        shard.0,
        controller.config.controller_name,
        permit.fencing_token(),
        permit.fence_revision().0,
        controller.cluster.borrow().revision,
        controller.view_age()
    );
}

fn update_failovers(controller: &Controller) -> Vec<Transition> {
    let now = controller.now();
    let cluster = controller.cluster.borrow();
    let standby_of = controller.standby_of.borrow();
    let mut failovers = controller.failovers.borrow_mut();
    let mut transitions = Vec::new();
    for shard in (0..cluster.shards.len()).map(ShardIndex::new) {
        let standby = standby_of.get(&shard);
        let owner = &cluster.shards[shard.at()].record.owner;
        let view = ShardView {
            cluster: &cluster,
            config: &controller.config,
            shard,
            is_standby: standby.is_some_and(|name| *name == controller.config.controller_name),
            owner_last_contact: controller.peer(owner).and_then(|peer| peer.last_status()),
            now,
        };
        transitions.extend(failovers.observe(shard.into(), view.observe(), now.into()));
    }
    transitions
}

/// Withdraws a shard's permit because a fencing token of this controller was refused.
pub fn token_refused(controller: &Controller, shard: ShardIndex, refusal: Refusal) {
    if controller.features.standby().is_none() {
        return;
    }
    let known_revision = Revision(controller.cluster.borrow().revision);
    let now = controller.now();
    let transition = controller.failovers.borrow_mut().token_refused(
        shard.into(),
        refusal,
        known_revision,
        now.into(),
    );
    if let Some(transition) = transition {
        log::warn!("fencing token refused: shard={} {refusal}", shard.0);
        log_transition(controller, &transition);
        discard_unrecorded_decisions(controller, shard);
    }
}

/// Applies an event of the transaction that raises a shard's fencing token to the shard's failover.
pub(in crate::coordination) fn apply_fence_event(
    controller: &Controller,
    shard: ShardIndex,
    event: fn(&mut Failovers, ShardId, Millis) -> Option<Transition>,
) {
    let now = controller.now();
    let transition = event(
        &mut controller.failovers.borrow_mut(),
        shard.into(),
        now.into(),
    );
    if let Some(transition) = transition {
        log_transition(controller, &transition);
    }
}

/// Discards the decisions that were made under a withdrawn permit and are not in the records:
/// queues, reservations and pending stops.
fn discard_unrecorded_decisions(controller: &Controller, shard: ShardIndex) {
    if controller.features.standby().is_none() {
        return;
    }
    let mut cluster = controller.cluster.borrow_mut();
    for machine in cluster.machines.iter_mut().flatten() {
        if machine.shard == shard {
            machine.queue.clear();
            machine.decisions.reservation = None;
            machine.decisions.stopping.clear();
        }
    }
}

fn log_transition(controller: &Controller, transition: &Transition) {
    if controller.features.standby().is_none() {
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
