//! The planner: the background task that makes scheduling passes and commits them.
//!
//! It wakes when something has changed, and now and then. Each pass drafts one transaction by the
//! pure steps of this folder; the planner commits it and applies the outcome. It holds no state of
//! the cluster: a draft that meets a conflict is dropped, and the next pass decides anew on a
//! fresh view.

use crate::coordination::controller::clock::wall_ms;
use crate::coordination::controller::Controller;
use crate::coordination::failover;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::transactions::commit_draft;
use crate::coordination::reconciliation;
use crate::coordination::replication;
use crate::coordination::scheduler::claims;
use crate::coordination::scheduler::direct_start_delivery::send_direct_starts;
use crate::coordination::scheduler::draft::{Claim, DraftTransaction};
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::quota;
use crate::coordination::scheduler::work_stealing::WorkStealing;
use crate::coordination::scheduler::write_budget::WriteBudget;
use crate::state::names::{Index, MachineIndex};
use crate::state::units::MonotonicMillis;
use crate::transport::http::jittered;
use crate::transport::pause;
use standby::failover::Refusal;
use standby::ids::Revision;
use std::rc::Rc;

/// Most passes in a row before other tasks run.
const MAX_PASSES: usize = 12;
/// Longest wait for a fresh read after a conflict or an unknown outcome.
const REFRESH_TIMEOUT_MS: u64 = 1500;
/// Pause after the key-value store has refused a transaction, before jitter.
const REFUSAL_PAUSE_MS: u64 = 150;
/// How many jobs cancelled with a dependency are written down at a time.
const CASCADES_PER_PASS: usize = 2;
/// Time between two passes that write such jobs down.
const CASCADE_INTERVAL_MS: u64 = 1000;
/// Time between two lowerings of unused quota shares.
const QUOTA_LOWERING_INTERVAL_MS: u64 = 2000;

/// When the steps that not every pass makes were made last.
#[derive(Default)]
struct PeriodicSteps {
    quota_lowered_at: MonotonicMillis,
    cascades_written_at: MonotonicMillis,
}

/// Background task: plans whenever something has changed, and now and then.
pub async fn run(controller: Rc<Controller>) {
    let mut periodic = PeriodicSteps::default();
    let mut work_stealing = WorkStealing::default();
    let mut write_budget = WriteBudget::default();
    loop {
        let sleep_ms = write_budget.planner_sleep_ms(controller.now());
        controller.scheduling.notified(sleep_ms).await;
        if !controller.cluster.borrow().loaded {
            continue;
        }
        let waiters = controller.scheduling.take_waiters();
        let batch_array_updates = should_batch(&controller, &mut write_budget);
        let quota_lowered_before = periodic.quota_lowered_at;
        let idle = make_passes(&controller, batch_array_updates, &mut periodic).await;
        for waiter in waiters {
            let _ = waiter.try_send(true);
        }
        if periodic.quota_lowered_at != quota_lowered_before {
            work_stealing.forget_deleted_machines(&controller.cluster.borrow());
        }
        let metrics = &controller.metrics;
        metrics.time("- send direct starts", || send_direct_starts(&controller));
        metrics.time("- steal work", || work_stealing.steal(&controller, &idle));
    }
}

fn should_batch(controller: &Controller, write_budget: &mut WriteBudget) -> bool {
    let cluster = controller.cluster.borrow();
    let limit = controller.config.limits(&cluster).write_rps;
    write_budget.batch_array_updates(controller.now(), cluster.changes, limit)
}

/// Makes passes until nothing is left to change; returns the machines that found nothing in the
/// last one.
async fn make_passes(
    controller: &Rc<Controller>,
    batch_array_updates: bool,
    periodic: &mut PeriodicSteps,
) -> Vec<MachineIndex> {
    let mut idle = Vec::new();
    for _ in 0..MAX_PASSES {
        let draft;
        (draft, idle) = draft_pass(controller, batch_array_updates, periodic);
        if draft.is_empty() || !commit_pass(controller, &draft).await {
            break;
        }
    }
    idle
}

/// Decides on the view and the permits that a controller has now.
pub(super) fn with_pass<T>(controller: &Controller, decide: impl FnOnce(&PassContext) -> T) -> T {
    // Observes the shards, so it comes before the cluster state is borrowed.
    let permits = failover::permits(controller);
    let cluster = controller.cluster.borrow();
    decide(&PassContext {
        cluster: &cluster,
        config: &controller.config,
        permits: &permits,
        now: controller.now(),
        wall_ms: wall_ms(),
    })
}

/// What one pass changes, and the machines that found nothing in it.
fn draft_pass(
    controller: &Controller,
    batch_array_updates: bool,
    periodic: &mut PeriodicSteps,
) -> (DraftTransaction, Vec<MachineIndex>) {
    with_pass(controller, |pass| {
        let metrics = &controller.metrics;
        let mut draft = DraftTransaction::batching(batch_array_updates);
        if pass.now.since(periodic.cascades_written_at) >= CASCADE_INTERVAL_MS {
            periodic.cascades_written_at = pass.now;
            draft.cascade_budget = CASCADES_PER_PASS;
        }
        metrics.time("- reconcile", || {
            reconciliation::reconcile(pass, &mut draft)
        });
        let idle = metrics.time("- claim", || claims::claim(pass, &mut draft));
        if pass.now.since(periodic.quota_lowered_at) > QUOTA_LOWERING_INTERVAL_MS {
            quota::lower_unused_quota(pass, &mut draft);
            periodic.quota_lowered_at = pass.now;
        }
        (draft, idle)
    })
}

/// Commits what a pass changes; true if another pass should follow at once.
async fn commit_pass(controller: &Rc<Controller>, draft: &DraftTransaction) -> bool {
    let claim_lines = describe_claims(controller, draft);
    let ended = replication::ended_attempts(controller, draft);
    let (jobs, claims) = (draft.jobs.len(), draft.claims.len());
    match commit_draft(controller, draft).await {
        CommitOutcome::Committed(revision) => {
            log::debug!("pass committed: revision={revision} jobs={jobs} claims={claims}");
            replication::publish_committed(controller, draft, ended, Revision(revision));
            for line in claim_lines {
                log::debug!("{line}");
            }
            // What was ready is done; the next pass is for what comes next.
            draft.truncated
        }
        CommitOutcome::Conflict(keys) => {
            log::debug!("pass conflicted: keys={keys:?}");
            report_stale_tokens(controller, draft, &keys);
            controller.refresh(REFRESH_TIMEOUT_MS).await;
            true
        }
        CommitOutcome::Refused(status) => {
            log::debug!("pass refused by the key-value store: status={status}");
            pause(jittered(REFUSAL_PAUSE_MS)).await;
            false
        }
        CommitOutcome::Unknown => {
            log::warn!("transaction outcome unknown, records are read again: jobs={jobs}");
            controller.refresh(REFRESH_TIMEOUT_MS).await;
            false
        }
    }
}

/// Shards whose record has another version than the draft rests on: their fencing tokens are
/// refused.
fn report_stale_tokens(controller: &Controller, draft: &DraftTransaction, keys: &[String]) {
    for (shard, fencing_token) in draft.shards() {
        let key = controller.cluster.borrow().shard_key(*shard);
        if keys.contains(&key) {
            let fencing_token = *fencing_token;
            failover::token_refused(controller, *shard, Refusal::KeyValueStore { fencing_token });
        }
    }
}

/// Which tasks a draft claims, for which machine, and how long after their job could run.
fn describe_claims(controller: &Controller, draft: &DraftTransaction) -> Vec<String> {
    if !log::log_enabled!(log::Level::Debug) {
        return Vec::new();
    }
    let cluster = controller.cluster.borrow();
    let describe = |Claim { job, placement }: &Claim| {
        let job = &cluster.jobs[job.at()];
        let spec = job.spec.as_ref()?;
        let machine = cluster.machine(placement.machine)?;
        Some(format!(
            "task claimed: job={} task={} attempt={} class={} tasks={} machine={} machine_type={} \
             spot={} image_cached={} waited_ms={}",
            job.id,
            placement.task,
            placement.attempt,
            spec.wire.class,
            spec.tasks(),
            machine.name,
            cluster.machine_type_names.name(machine.machine_type),
            machine.spot,
            machine.has_image(spec.image),
            job.waited_ms(wall_ms())
        ))
    };
    draft.claims.iter().filter_map(describe).collect()
}
