//! The planner: the background task that runs scheduling passes and commits their drafts.
//!
//! The planner wakes on notifications of changes and after a timeout. Each pass drafts one
//! transaction with the pure functions of this module tree; the planner commits it and applies the
//! outcome. The planner holds no cluster state of its own: after a conflict the draft is dropped,
//! and the next pass decides again on the refreshed cluster state.

use crate::coordination::controller::clock::wall_ms;
use crate::coordination::controller::Controller;
use crate::coordination::failover;
use crate::coordination::kv::client::CommitOutcome;
use crate::coordination::kv::transactions::commit_draft;
use crate::coordination::reconciliation;
use crate::coordination::replication;
use crate::coordination::scheduler::attempt_end_log;
use crate::coordination::scheduler::claims;
use crate::coordination::scheduler::direct_start_delivery::send_direct_starts;
use crate::coordination::scheduler::draft::{Claim, DraftTransaction};
use crate::coordination::scheduler::pass::PassContext;
use crate::coordination::scheduler::quota;
use crate::coordination::scheduler::staging::describe_staging;
use crate::coordination::scheduler::work_stealing::WorkStealing;
use crate::coordination::scheduler::write_budget::WriteBudget;
use crate::state::names::{Index, MachineIndex};
use crate::state::units::MonotonicMillis;
use crate::transport::http::jittered;
use crate::transport::sleep;
use standby::failover::Refusal;
use standby::ids::Revision;
use std::rc::Rc;

/// Maximum number of passes in a row before direct starts are sent and queued tasks are stolen.
const MAX_PASSES: usize = 12;
/// Timeout of the fresh read after a conflict or an unknown outcome, ms.
const REFRESH_TIMEOUT_MS: u64 = 1500;
/// Pause after the key-value store has refused a transaction, ms before jitter.
const REFUSAL_PAUSE_MS: u64 = 150;
/// Maximum number of jobs that one pass writes as cancelled because a dependency was cancelled.
const CASCADES_PER_PASS: usize = 2;
/// Minimum time between two passes that write such cancellations, ms.
const CASCADE_INTERVAL_MS: u64 = 1000;
/// Minimum time between two passes that lower unused quota shares, ms.
const QUOTA_LOWERING_INTERVAL_MS: u64 = 2000;

/// Times at which the periodic steps, which only some passes include, last ran.
#[derive(Default)]
struct PeriodicSteps {
    quota_lowered_at: MonotonicMillis,
    cascades_written_at: MonotonicMillis,
}

/// Background task: runs scheduling passes on every notification and after a timeout.
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
        let idle = run_passes(&controller, batch_array_updates, &mut periodic).await;
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

/// Runs passes until one has nothing to commit or requires no other pass at once, at most
/// `MAX_PASSES`. Returns the machines with free capacity for which the last pass claimed nothing.
async fn run_passes(
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

/// Calls `decide` with the cluster state and the permits that the controller has now.
pub(super) fn with_pass<T>(controller: &Controller, decide: impl FnOnce(&PassContext) -> T) -> T {
    // Observing the shards may change the cluster state, so this call precedes the borrow.
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

/// Drafts one pass. Returns the draft and the machines with free capacity for which the pass
/// claimed nothing.
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

/// Commits the draft of a pass and applies the outcome; true if another pass should follow at once.
async fn commit_pass(controller: &Rc<Controller>, draft: &DraftTransaction) -> bool {
    let claim_lines = describe_claims(controller, draft);
    let staging_lines = describe_staging(&controller.cluster.borrow(), draft);
    let ended = replication::ended_attempts(controller, draft);
    let (jobs, claims) = (draft.jobs.len(), draft.claims.len());
    match commit_draft(controller, draft).await {
        CommitOutcome::Committed(revision) => {
            log::debug!("pass committed: revision={revision} jobs={jobs} claims={claims}");
            replication::publish_committed(controller, draft, ended, Revision(revision));
            attempt_end_log::record(controller, &draft.ended);
            for line in claim_lines {
                log::debug!("{line}");
            }
            for line in staging_lines {
                log::info!("{line}");
            }
            // Only after a truncated draft can another pass make more changes at once.
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
            sleep(jittered(REFUSAL_PAUSE_MS)).await;
            false
        }
        CommitOutcome::Unknown => {
            log::warn!("transaction outcome unknown, records are read again: jobs={jobs}");
            controller.refresh(REFRESH_TIMEOUT_MS).await;
            false
        }
    }
}

/// Reports the fencing tokens of the shards whose records conflicted, that is, have another version
/// than the draft requires.
fn report_stale_tokens(controller: &Controller, draft: &DraftTransaction, keys: &[String]) {
    for (shard, fencing_token) in draft.shards() {
        let key = controller.cluster.borrow().shard_key(*shard);
        if keys.contains(&key) {
            let fencing_token = *fencing_token;
            failover::token_refused(controller, *shard, Refusal::KeyValueStore { fencing_token });
        }
    }
}

/// One log line per claim of a draft, with the machine and the time since the job became eligible
/// to run; empty unless debug logging is enabled.
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
            spec.submitted.class,
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
