//! Scheduling of a simulated controller: planning, heartbeats and direct starts.

use super::{SimulatedController, LEASE_MS};
use crate::support::digest;
use crate::support::kv_store::FakeKvStore;
use crate::support::worker::FakeWorker;
use pointhook::coordination::heartbeats::{self, HeartbeatOutcome};
use pointhook::coordination::kv::{apply_outcome, transaction, CommitOutcome};
use pointhook::coordination::reconciliation;
use pointhook::coordination::scheduler::direct_starts::{
    direct_starts, record_direct_start_response, DirectStart, DirectStartOutcome,
};
use pointhook::coordination::scheduler::draft::DraftTransaction;
use pointhook::coordination::scheduler::pass::PassContext;
use pointhook::coordination::scheduler::{claims, quota};
use pointhook::protocol::workers::{DirectCommands, Heartbeat, HeartbeatResponse};
use pointhook::state::units::MonotonicMillis;

/// Most rounds of planning before nothing changes any more; the test fails after that.
const MAX_PLANNING_ROUNDS: u32 = 60;
/// Interval at which cancellations are cascaded to dependents.
const CASCADE_INTERVAL_MS: u64 = 1000;
/// Most jobs that one cascade cancels.
const CASCADE_BUDGET: usize = 2;

impl SimulatedController {
    /// The draft that the next round of planning would commit.
    pub fn draft_plan(&mut self, now: u64) -> DraftTransaction {
        self.observe_failovers(now);
        let pass = self.pass(now);
        let mut draft = DraftTransaction::batching(false);
        if now.is_multiple_of(CASCADE_INTERVAL_MS) && !self.cascaded {
            draft.cascade_budget = CASCADE_BUDGET;
        }
        reconciliation::reconcile(&pass, &mut draft);
        claims::claim(&pass, &mut draft);
        quota::lower_unused_quota(&pass, &mut draft);
        draft
    }

    /// The inputs of a round of planning. Wall clock and monotonic clock show the same time.
    pub fn pass(&self, now: u64) -> PassContext<'_> {
        PassContext {
            cluster: &self.cluster,
            config: &self.config,
            permits: self.failovers.permits(),
            now: MonotonicMillis(now),
            wall_ms: now,
        }
    }

    /// Plans and commits until nothing changes any more, or until a commit has no known outcome or
    /// the store is unavailable.
    pub fn run_planner(&mut self, store: &mut FakeKvStore, now: u64) {
        self.cascaded = false;
        for _ in 0..MAX_PLANNING_ROUNDS {
            let draft = self.draft_plan(now);
            self.cascaded = true;
            if draft.is_empty() {
                return;
            }
            let outcome = self.commit_draft(store, &draft, now);
            // Like the background task, retries a refused transaction in its next round.
            let wait = matches!(outcome, CommitOutcome::Unknown | CommitOutcome::Refused(_));
            if wait {
                self.sync(store);
                return;
            }
            if !matches!(outcome, CommitOutcome::Committed(_)) && !self.sync(store) {
                return;
            }
        }
        panic!("planning never settles");
    }

    /// Commits a draft and applies its outcome.
    pub fn commit_draft(
        &mut self,
        store: &mut FakeKvStore,
        draft: &DraftTransaction,
        now: u64,
    ) -> CommitOutcome {
        reconciliation::mark_abandoned(&mut self.cluster, draft);
        let outcome = Self::commit(store, &transaction(&self.cluster, draft), now);
        apply_outcome(&mut self.cluster, draft, &outcome);
        outcome
    }

    /// Answers a heartbeat like [`SimulatedController::receive_heartbeat`], with an unreachable
    /// key-value store.
    pub fn receive_heartbeat_without_kv(
        &mut self,
        heartbeat: &Heartbeat,
        now: u64,
    ) -> Option<HeartbeatResponse> {
        let mut unreachable = FakeKvStore::unreachable();
        self.receive_heartbeat(&mut unreachable, heartbeat, now)
    }

    /// Answers a heartbeat; `None` means that it is rejected with status 421.
    pub fn receive_heartbeat(
        &mut self,
        store: &mut FakeKvStore,
        heartbeat: &Heartbeat,
        now: u64,
    ) -> Option<HeartbeatResponse> {
        let received = heartbeats::receive(
            &mut self.cluster,
            &self.config,
            heartbeat,
            LEASE_MS,
            MonotonicMillis(now),
        );
        let HeartbeatOutcome::Accepted(accepted) = received else {
            digest::record("report not taken", now, &heartbeat.machine);
            return None;
        };
        self.run_planner(store, now);
        self.observe_failovers(now);
        let response = heartbeats::respond(
            &mut self.cluster,
            &self.config,
            self.failovers.permits(),
            &accepted,
            MonotonicMillis(now),
        );
        digest::record("answer to a report", now, &(&heartbeat.machine, &response));
        response
    }

    /// Sends a worker's heartbeat to the controller and delivers the response; false if either is
    /// rejected. A worker that learns a higher fencing token sends another heartbeat at once.
    pub fn exchange_heartbeat(
        &mut self,
        store: &mut FakeKvStore,
        worker: &mut FakeWorker,
        now: u64,
    ) -> bool {
        let previous_token = worker.fencing_token;
        let accepted = self.exchange_heartbeat_once(store, worker, now);
        if accepted && worker.fencing_token > previous_token {
            return self.exchange_heartbeat_once(store, worker, now);
        }
        accepted
    }

    fn exchange_heartbeat_once(
        &mut self,
        store: &mut FakeKvStore,
        worker: &mut FakeWorker,
        now: u64,
    ) -> bool {
        let heartbeat = worker.heartbeat(now);
        let Some(response) = self.receive_heartbeat(store, &heartbeat, now) else {
            return false;
        };
        worker.receive_response(&response, heartbeat.agent_epoch, now, now)
    }

    /// The task starts that the controller sends to machines directly, without waiting for their
    /// heartbeats.
    pub fn direct_starts(&mut self, now: u64) -> Vec<DirectStart> {
        self.observe_failovers(now);
        let permits = self.failovers.permits();
        direct_starts(
            &mut self.cluster,
            &self.config,
            permits,
            MonotonicMillis(now),
            || true,
        )
    }
}

impl SimulatedController {
    /// Delivers a direct start to its worker and records the worker's response.
    pub fn deliver_direct_start(
        &mut self,
        start: &DirectStart,
        worker: &mut FakeWorker,
        now: u64,
    ) -> DirectStartOutcome {
        let status_code = worker.receive_commands(&direct_commands(start), now);
        let outcome = match status_code {
            200 => DirectStartOutcome::Executed,
            _ => DirectStartOutcome::Refused,
        };
        let status = worker.heartbeat(now);
        self.record_direct_start_response(start, outcome, Some(&status), now);
        outcome
    }

    /// Records the outcome of a direct start and the status in the worker's response, if any.
    pub fn record_direct_start_response(
        &mut self,
        start: &DirectStart,
        outcome: DirectStartOutcome,
        status: Option<&Heartbeat>,
        now: u64,
    ) {
        record_direct_start_response(
            &mut self.cluster,
            start,
            outcome,
            status,
            MonotonicMillis(now),
        );
    }
}

/// The message that sends a direct start to a worker.
pub fn direct_commands(start: &DirectStart) -> DirectCommands {
    DirectCommands {
        fencing_token: start.fencing_token,
        agent_epoch: start.agent_epoch,
        commands: start.commands.clone(),
    }
}
