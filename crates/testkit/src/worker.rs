//! Fake worker: its tasks, fencing token, agent epoch and lease.

use crate::network::faults::Restart;
use pointhook::protocol::workers::{
    AgentEpoch, Command, DirectCommands, ExitReason, FencingToken, Heartbeat, HeartbeatResponse,
    TaskState, TaskStatus,
};
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// Age of a heartbeat above which its response is dropped.
const RESPONSE_TIMEOUT_MS: u64 = 4000;
const OK: u16 = 200;
const CONFLICT: u16 = 409;

struct Task {
    name: String,
    attempt: u64,
    state: TaskState,
    exit_reason: Option<ExitReason>,
    /// Time at which the image pull or the run ends.
    state_ends_at_ms: u64,
}

impl Task {
    fn is_attempt(&self, name: &str, attempt: u64) -> bool {
        self.name == name && self.attempt == attempt
    }

    fn is_active(&self) -> bool {
        self.state != TaskState::Exited
    }

    fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Running | TaskState::Checkpointing)
    }

    fn belongs_to(&self, job: &str) -> bool {
        self.name.split('/').next() == Some(job)
    }

    fn exit(&mut self, reason: ExitReason) {
        self.state = TaskState::Exited;
        self.exit_reason = Some(reason);
    }
}

/// Simulated worker of one machine; the caller passes the time in milliseconds.
pub struct FakeWorker {
    /// Name of the worker's machine.
    pub name: String,
    /// Type of the worker's machine.
    pub machine_type: String,
    /// Zone of the worker's machine.
    pub zone: String,
    /// Whether the worker's machine is a spot machine.
    pub spot: bool,
    /// Address on which the worker receives direct commands.
    pub addr: String,
    /// Agent epoch; it increases by one when the lease expires.
    pub agent_epoch: AgentEpoch,
    heartbeat_sequence: u64,
    /// Highest fencing token that the worker has accepted.
    pub fencing_token: FencingToken,
    tasks: Vec<Task>,
    /// Duration of the worker's lease.
    pub lease_ms: u64,
    lease_renewed_at_ms: u64,
    /// Time that a task takes to pull its image.
    pub image_pull_ms: u64,
    /// Time that a task runs.
    pub run_ms: u64,
    /// All tasks that the worker has started, with their attempt numbers, in order.
    pub started: Vec<(String, u64)>,
    /// All tasks that completed on the worker, in order.
    pub completed: Vec<String>,
    /// Names of all tasks with a result, on whichever worker: one that is started again exits as
    /// done once it has its image. `None`: it runs again.
    pub results: Option<Rc<RefCell<HashSet<String>>>>,
    /// Fault: tasks exit with an error instead of completing.
    pub fails_tasks: bool,
    /// Fault: the machine does nothing before this time.
    pub frozen_until_ms: u64,
}

impl FakeWorker {
    /// Creates a worker without tasks, whose lease begins at `now_ms`.
    pub fn new(name: &str, zone: &str, now_ms: u64) -> FakeWorker {
        FakeWorker {
            name: name.into(),
            machine_type: "oven".into(),
            zone: zone.into(),
            spot: true,
            addr: "127.0.0.1:1".into(),
            agent_epoch: AgentEpoch(1),
            heartbeat_sequence: 0,
            fencing_token: FencingToken(0),
            tasks: Vec::new(),
            lease_ms: 10_000,
            lease_renewed_at_ms: now_ms,
            image_pull_ms: 1000,
            run_ms: 5000,
            started: Vec::new(),
            completed: Vec::new(),
            results: None,
            fails_tasks: false,
            frozen_until_ms: 0,
        }
    }

    /// Restarts the machine: its tasks are gone.
    pub fn restart(&mut self, restart: Restart, now_ms: u64) {
        self.tasks.clear();
        self.lease_renewed_at_ms = now_ms;
        match restart {
            Restart::Anew => {
                self.agent_epoch = AgentEpoch(1);
                self.heartbeat_sequence = 0;
                self.fencing_token = FencingToken(0);
            }
            Restart::NextEpoch => self.agent_epoch.0 += 1,
        }
    }

    /// Drops all tasks and begins a new agent epoch if the lease has expired. A machine that hangs
    /// therefore keeps its tasks only if it resumes within its lease.
    pub fn expire_lease(&mut self, now_ms: u64) {
        if now_ms > self.lease_renewed_at_ms + self.lease_ms {
            self.tasks.clear();
            self.agent_epoch.0 += 1;
            self.lease_renewed_at_ms = now_ms;
        }
    }

    /// Advances the tasks to the time `now_ms`, after dropping them if the lease has expired.
    pub fn advance(&mut self, now_ms: u64) {
        self.expire_lease(now_ms);
        for task in &mut self.tasks {
            if task.state == TaskState::PullingImage && now_ms >= task.state_ends_at_ms {
                let results = self.results.as_ref();
                if results.is_some_and(|results| results.borrow().contains(&task.name)) {
                    task.exit(ExitReason::Done);
                    continue;
                }
                task.state = TaskState::Running;
                task.state_ends_at_ms += self.run_ms;
            }
            if task.state != TaskState::Running || now_ms < task.state_ends_at_ms {
                continue;
            }
            if self.fails_tasks {
                task.exit(ExitReason::Error);
            } else {
                task.exit(ExitReason::Done);
                if let Some(results) = &self.results {
                    results.borrow_mut().insert(task.name.clone());
                }
                self.completed.push(task.name.clone());
            }
        }
    }

    /// Advances the tasks and returns the next heartbeat.
    pub fn heartbeat(&mut self, now_ms: u64) -> Heartbeat {
        self.advance(now_ms);
        self.heartbeat_sequence += 1;
        let tasks = self.tasks.iter().map(|task| TaskStatus {
            task: task.name.clone(),
            attempt: task.attempt,
            state: task.state,
            exit_reason: task.exit_reason,
            checkpointed: None,
        });
        Heartbeat {
            machine: self.name.clone(),
            addr: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.heartbeat_sequence,
            fencing_token: self.fencing_token,
            preemption_notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Receives the response to a heartbeat that was sent at `sent_at_ms` in `agent_epoch`, renews
    /// the lease from that time and executes the commands. Returns false if the response is stale
    /// and was dropped: its fencing token is lower, the epoch has changed or the heartbeat is too
    /// old.
    pub fn receive_response(
        &mut self,
        response: &HeartbeatResponse,
        agent_epoch: AgentEpoch,
        sent_at_ms: u64,
        now_ms: u64,
    ) -> bool {
        self.advance(now_ms);
        let is_stale = response.fencing_token < self.fencing_token
            || agent_epoch != self.agent_epoch
            || now_ms > sent_at_ms + RESPONSE_TIMEOUT_MS;
        if is_stale {
            return false;
        }
        self.fencing_token = response.fencing_token;
        self.lease_renewed_at_ms = sent_at_ms;
        self.execute(&response.commands, now_ms);
        true
    }

    /// Receives direct commands and returns the HTTP status of the response: 409 if their fencing
    /// token is lower or their agent epoch is another, else 200 after executing them.
    pub fn receive_commands(&mut self, direct: &DirectCommands, now_ms: u64) -> u16 {
        self.advance(now_ms);
        if direct.fencing_token < self.fencing_token || direct.agent_epoch != self.agent_epoch {
            return CONFLICT;
        }
        self.fencing_token = direct.fencing_token;
        self.execute(&direct.commands, now_ms);
        OK
    }

    /// Ends all tasks with the reason `GangTimeout`: the wait for the other tasks of their gang has
    /// timed out.
    pub fn time_out_gang_wait(&mut self) {
        for task in &mut self.tasks {
            task.exit(ExitReason::GangTimeout);
        }
    }

    fn execute(&mut self, commands: &[Command], now_ms: u64) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start_task(task, *attempt, now_ms),
                Command::Stop { task, attempt, .. } => self.stop_task(task, *attempt),
                Command::AcknowledgeExit { task, attempt } => self.acknowledge_exit(task, *attempt),
            }
        }
    }

    fn start_task(&mut self, name: &str, attempt: u64, now_ms: u64) {
        if self.tasks.iter().any(|t| t.is_attempt(name, attempt)) {
            return;
        }
        self.started.push((name.to_string(), attempt));
        self.tasks.push(Task {
            name: name.to_string(),
            attempt,
            state: TaskState::PullingImage,
            exit_reason: None,
            state_ends_at_ms: now_ms + self.image_pull_ms,
        });
    }

    fn stop_task(&mut self, name: &str, attempt: u64) {
        let mut tasks = self.tasks.iter_mut();
        let found = tasks.find(|t| t.is_attempt(name, attempt));
        if let Some(task) = found.filter(|t| t.is_active()) {
            task.exit(ExitReason::Stopped);
        }
    }

    fn acknowledge_exit(&mut self, name: &str, attempt: u64) {
        self.tasks
            .retain(|t| !t.is_attempt(name, attempt) || t.is_active());
    }

    /// Names of the tasks that have pulled their image and have not exited.
    pub fn running_tasks(&self) -> Vec<&str> {
        let running = self.tasks.iter().filter(|t| t.is_running());
        running.map(|t| t.name.as_str()).collect()
    }

    /// Names of the tasks that have not exited.
    pub fn active_tasks(&self) -> impl Iterator<Item = &str> {
        let active = self.tasks.iter().filter(|t| t.is_active());
        active.map(|t| t.name.as_str())
    }

    /// Number of tasks that have not exited; these use capacity of the machine.
    pub fn active_task_count(&self) -> usize {
        self.tasks.iter().filter(|t| t.is_active()).count()
    }

    /// Number of tasks of a job that have not exited.
    pub fn active_task_count_of(&self, job: &str) -> usize {
        let of_job = |t: &&Task| t.is_active() && t.belongs_to(job);
        self.tasks.iter().filter(of_job).count()
    }

    /// Whether the worker's heartbeats report a completed task of a job.
    pub fn reports_completion_of(&self, job: &str) -> bool {
        let completed = |t: &Task| t.exit_reason == Some(ExitReason::Done);
        self.tasks.iter().any(|t| completed(t) && t.belongs_to(job))
    }

    /// Whether the worker has an attempt of the task that has not exited.
    pub fn has_task(&self, task: &str) -> bool {
        let is_active = |t: &Task| t.name == task && t.is_active();
        self.tasks.iter().any(is_active)
    }
}
