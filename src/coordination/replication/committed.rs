//! Publishes committed decisions to the owner's streams.

use crate::coordination::controller::Controller;
use crate::coordination::scheduler::draft::{Claim, DraftTransaction};
use crate::state::cluster_state::ClusterState;
use crate::state::names::{Index, ShardIndex};
use standby::ids::Revision;
use standby::message::{Decision, QueuedTask};

/// An attempt that a draft transaction removes from the records.
pub struct EndedAttempt {
    /// Shard of the machine that the attempt was placed on.
    shard: ShardIndex,
    task: QueuedTask,
    attempt: u64,
}

/// Attempts that a draft transaction removes from the records; none while the feature is off.
///
/// To be called before the draft is committed: it compares the draft with the cached records.
pub fn ended_attempts(controller: &Controller, draft: &DraftTransaction) -> Vec<EndedAttempt> {
    if controller.features.standby().is_none() {
        return Vec::new();
    }
    let cluster = controller.cluster.borrow();
    let mut ended = Vec::new();
    for (job_index, job) in &draft.jobs {
        for placement in cluster.jobs[job_index.at()].placements_missing_from(job) {
            ended.push(EndedAttempt {
                shard: placement.shard,
                task: QueuedTask {
                    job: job.id.to_string(),
                    task: placement.task,
                },
                attempt: placement.attempt,
            });
        }
    }
    ended
}

impl EndedAttempt {
    fn decision(self, Revision(revision): Revision) -> Decision {
        Decision::AttemptEnded {
            task: self.task,
            attempt: self.attempt,
            revision,
        }
    }
}

fn claim_decision(
    cluster: &ClusterState,
    Claim { job, placement }: &Claim,
    Revision(revision): Revision,
) -> Decision {
    Decision::TaskClaimed {
        task: QueuedTask {
            job: cluster.jobs[job.at()].id.to_string(),
            task: placement.task,
        },
        attempt: placement.attempt,
        machine: cluster.machine_names.name(placement.machine).to_string(),
        revision,
    }
}

/// Publishes the decisions of a draft transaction that was committed at a revision.
pub fn publish_committed(
    controller: &Controller,
    draft: &DraftTransaction,
    ended: Vec<EndedAttempt>,
    revision: Revision,
) {
    let mut replication = controller.replication.borrow_mut();
    if replication.outgoing.is_empty() {
        return;
    }
    let mut publish = |shard: ShardIndex, decision| {
        if let Some(stream) = replication.outgoing.get_mut(&shard) {
            stream.publisher.publish(decision);
        }
    };
    for attempt in ended {
        publish(attempt.shard, attempt.decision(revision));
    }
    let cluster = controller.cluster.borrow();
    for claim in &draft.claims {
        let decision = claim_decision(&cluster, claim, revision);
        publish(claim.placement.shard, decision);
    }
}
