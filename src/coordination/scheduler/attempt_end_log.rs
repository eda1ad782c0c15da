//! Counts and log lines of attempts that ended without their task being done, so that the task may
//! start elsewhere.

use crate::coordination::controller::Controller;
use crate::coordination::event_counts::CountedEvent;
use crate::coordination::reconciliation::{AttemptEnd, PlacementEnd};
use crate::state::cluster_state::ClusterState;
use crate::state::names::Index;

/// Counts and logs attempts whose end has been committed.
pub(super) fn record(controller: &Controller, ended: &[AttemptEnd]) {
    for end in ended {
        controller.events.add(counted_event(end.proof), 1);
        let line = describe(&controller.cluster.borrow(), end);
        if controller.may_log_attempt_end() {
            log::info!("{line}");
        } else {
            controller.events.add(CountedEvent::EndLineLimited, 1);
            log::debug!("{line}");
        }
    }
}

fn counted_event(proof: PlacementEnd) -> CountedEvent {
    match proof {
        PlacementEnd::Exited(_) => CountedEvent::EndedByExit,
        PlacementEnd::ProvenAbsent => CountedEvent::EndedByAbsence,
        PlacementEnd::LeaseExpired => CountedEvent::EndedByLeaseExpiry,
        PlacementEnd::MachineDeleted => CountedEvent::EndedByDeletion,
    }
}

/// The log line of an attempt's end.
pub fn describe(cluster: &ClusterState, end: &AttemptEnd) -> String {
    let evidence = &end.evidence;
    format!(
        "attempt ended, task may start elsewhere: job={} task={} attempt={} machine={} \
         agent_epoch={} fencing_token={} proof={:?} event={:?} event_age_ms={}",
        cluster.jobs[end.attempt.job.at()].id,
        end.attempt.task,
        end.attempt.attempt,
        cluster.machine_names.name(end.machine),
        or_none(evidence.agent_epoch.map(|epoch| epoch.0)),
        or_none(evidence.fencing_token),
        end.proof,
        evidence.event,
        or_none(evidence.age_ms),
    )
}

fn or_none(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "none".into(), |value| value.to_string())
}
