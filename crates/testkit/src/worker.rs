//! A worker: tasks, token, session and lease.

use pointhook::protocol::workers::{
    AgentEpoch, Command, DirectCommands, ExitReason, FencingToken, Heartbeat, HeartbeatResponse,
    TaskState, TaskStatus,
};

struct Task {
    name: String,
    attempt: u64,
    state: TaskState,
    why: Option<ExitReason>,
    until: u64,
}

/// A worker of a machine.
pub struct Worker {
    /// Name of its machine.
    pub name: String,
    /// Type of its machine.
    pub machine_type: String,
    /// Zone of its machine.
    pub zone: String,
    /// It is a spot machine.
    pub spot: bool,
    /// Address for direct commands.
    pub addr: String,
    /// Session; a new one begins when its lease ends.
    pub session: u64,
    seq: u64,
    /// Highest token that it has seen.
    pub token: u64,
    tasks: Vec<Task>,
    /// Its lease.
    pub lease_ms: u64,
    renewed: u64,
    /// Time that tasks take to fetch and to run.
    pub image_pull_ms: u64,
    /// Time that tasks run.
    pub run_ms: u64,
    /// Every start, in order.
    pub started: Vec<(String, u64)>,
    /// Every task that completed.
    pub completed: Vec<String>,
    /// Tasks fail instead of completing.
    pub sick: bool,
}

impl Worker {
    /// A worker without tasks, whose lease begins now.
    pub fn new(name: &str, zone: &str, now: u64) -> Worker {
        Worker {
            name: name.into(),
            machine_type: "oven".into(),
            zone: zone.into(),
            spot: true,
            addr: "127.0.0.1:1".into(),
            session: 1,
            seq: 0,
            token: 0,
            tasks: Vec::new(),
            lease_ms: 10_000,
            renewed: now,
            image_pull_ms: 1000,
            run_ms: 5000,
            started: Vec::new(),
            completed: Vec::new(),
            sick: false,
        }
    }

    /// Ends the session if its lease is over: a machine that hangs resumes within it or not at all.
    pub fn lapse(&mut self, now: u64) {
        if now > self.renewed + self.lease_ms {
            self.tasks.clear();
            self.session += 1;
            self.renewed = now;
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: u64) {
        self.lapse(now);
        for t in &mut self.tasks {
            if t.state == TaskState::PullingImage && now >= t.until {
                t.state = TaskState::Running;
                t.until += self.run_ms;
            }
            if t.state == TaskState::Running && now >= t.until {
                t.state = TaskState::Exited;
                t.why = Some(if self.sick {
                    ExitReason::Error
                } else {
                    ExitReason::Done
                });
                if !self.sick {
                    self.completed.push(t.name.clone());
                }
            }
        }
    }

    /// Its next report.
    pub fn report(&mut self, now: u64) -> Heartbeat {
        self.advance(now);
        self.seq += 1;
        let tasks = self.tasks.iter().map(|t| TaskStatus {
            task: t.name.clone(),
            attempt: t.attempt,
            state: t.state,
            exit_reason: t.why,
            checkpointed: None,
        });
        Heartbeat {
            machine: self.name.clone(),
            addr: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: AgentEpoch(self.session),
            sequence: self.seq,
            fencing_token: FencingToken(self.token),
            preemption_notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Takes the answer to a report sent at `sent`; false if it had to be dropped.
    pub fn answered(&mut self, a: &HeartbeatResponse, session: u64, sent: u64, now: u64) -> bool {
        self.advance(now);
        if a.fencing_token.0 < self.token || session != self.session || now > sent + 4000 {
            return false;
        }
        self.token = a.fencing_token.0;
        self.renewed = sent;
        self.execute(&a.commands, now);
        true
    }

    /// Takes direct commands; the status.
    pub fn command(&mut self, c: &DirectCommands, now: u64) -> u16 {
        self.advance(now);
        if c.fencing_token.0 < self.token || c.agent_epoch.0 != self.session {
            return 409;
        }
        self.token = c.fencing_token.0;
        self.execute(&c.commands, now);
        200
    }

    /// Its waiting tasks have waited too long for the others of their gang.
    pub fn give_up_waiting(&mut self) {
        for t in self.tasks.iter_mut() {
            t.state = TaskState::Exited;
            t.why = Some(ExitReason::GangTimeout);
        }
    }

    fn execute(&mut self, orders: &[Command], now: u64) {
        for o in orders {
            match o {
                Command::Start { task, attempt } => {
                    if self
                        .tasks
                        .iter()
                        .any(|t| (&t.name, t.attempt) == (task, *attempt))
                    {
                        continue;
                    }
                    self.started.push((task.clone(), *attempt));
                    self.tasks.push(Task {
                        name: task.clone(),
                        attempt: *attempt,
                        state: TaskState::PullingImage,
                        why: None,
                        until: now + self.image_pull_ms,
                    });
                }
                Command::Stop { task, attempt, .. } => {
                    let found = self
                        .tasks
                        .iter_mut()
                        .find(|t| (&t.name, t.attempt) == (task, *attempt));
                    if let Some(t) = found.filter(|t| t.state != TaskState::Exited) {
                        t.state = TaskState::Exited;
                        t.why = Some(ExitReason::Stopped);
                    }
                }
                Command::AcknowledgeExit { task, attempt } => self.tasks.retain(|t| {
                    (&t.name, t.attempt) != (task, *attempt) || t.state != TaskState::Exited
                }),
            }
        }
    }

    /// Tasks that take room here: those on the machine, with their image, and all others that
    /// have not exited.
    pub fn on_machine(&self) -> (Vec<&str>, usize) {
        let on = |t: &&Task| matches!(t.state, TaskState::Running | TaskState::Checkpointing);
        let names = self.tasks.iter().filter(on).map(|t| t.name.as_str());
        let all = self.tasks.iter().filter(|t| t.state != TaskState::Exited);
        (names.collect(), all.count())
    }

    /// How many tasks of a job are here and have not exited.
    pub fn tasks_of(&self, id: &str) -> usize {
        let of_job = |t: &&Task| t.name.split('/').next() == Some(id);
        let present = self.tasks.iter().filter(|t| t.state != TaskState::Exited);
        present.filter(of_job).count()
    }

    /// True if its reports show the completion of a task of a job.
    pub fn shows_completion_of(&self, id: &str) -> bool {
        let of_job = |t: &Task| t.name.split('/').next() == Some(id);
        let mut done = self
            .tasks
            .iter()
            .filter(|t| t.why == Some(ExitReason::Done));
        done.any(of_job)
    }

    /// True if the task is here and has not exited.
    pub fn has(&self, task: &str) -> bool {
        self.tasks
            .iter()
            .any(|t| t.name == task && t.state != TaskState::Exited)
    }
}
