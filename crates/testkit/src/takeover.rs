//! Rehearsal of takeovers: a steady batch runs while the controller that decides for a shard is
//! killed or paused, again and again.

use crate::checker::{check, Violation};
use crate::history::{Entry, Event};
use crate::jobs::job;
use crate::network::{self, Habits, World};
use crate::process::{own_folder, remove_folder, Addresses, Controller, Deployment};
use async_executor::LocalExecutor;
use hdrhistogram::Histogram;
use http_types::Method;
use pointhook::protocol::users::{JobSpec, JobStatus};
use pointhook::transport::http::{listen, Client};
use pointhook::transport::pause;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Tasks of a job of the batch.
const TASKS: u32 = 8;
/// Time between two jobs of the batch.
const SUBMIT_MS: u64 = 500;
/// Time that a task runs.
const RUN_MS: u64 = 1200;
/// A shard counts as busy if it was decided for within this time.
const BUSY_MS: u64 = 1500;
/// Longest wait for anything; what takes longer has failed.
const PATIENCE_MS: u64 = 60_000;
/// Time given to a controller that was started again, before the next interruption.
const RECOVERY_MS: u64 = 1500;
/// Machines of the stand-in cloud.
const MACHINES: u32 = 10;

/// What is done to the controller that decides.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Interruption {
    /// Its process is killed, and started again after the takeover.
    Kill,
    /// Its process stands still for this time.
    Pause {
        /// Milliseconds.
        ms: u64,
    },
}

/// How a rehearsal is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// Program that controllers run.
    pub program: PathBuf,
    /// File of optional features.
    pub features: Option<PathBuf>,
    /// Controllers.
    pub controllers: usize,
    /// Interruptions, one after the other.
    pub interruptions: Vec<Interruption>,
    /// Seed of all choices.
    pub seed: u64,
}

/// What came of a rehearsal.
#[derive(Debug)]
pub struct CommitOutcome {
    /// Time from each interruption to the first decision of the next owner, ms; `None` if the
    /// interrupted controller kept its shard.
    pub takeovers_ms: Vec<Option<u64>>,
    /// Everything that happened.
    pub history: Vec<Entry>,
    /// What must not have happened.
    pub violations: Vec<Violation>,
}

impl CommitOutcome {
    /// Jobs that were accepted.
    pub fn jobs(&self) -> usize {
        let accepted = |e: &&Entry| matches!(e.event, Event::Accepted { .. });
        self.history.iter().filter(accepted).count()
    }

    /// Tasks that were completed, repetitions included.
    pub fn completions(&self) -> usize {
        let completed = |e: &&Entry| matches!(e.event, Event::Completed { .. });
        self.history.iter().filter(completed).count()
    }

    /// The distribution of takeover times.
    pub fn histogram(&self) -> Histogram<u64> {
        let mut out = Histogram::new_with_max(PATIENCE_MS, 3).expect("these bounds are allowed");
        for ms in self.takeovers_ms.iter().flatten() {
            out.saturating_record(*ms);
        }
        out
    }
}

/// Why a rehearsal could not be played to its end.
#[derive(Debug, thiserror::Error)]
pub enum RehearsalError {
    /// A process, a file or a socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Something did not happen in time.
    #[error("waited in vain for {0}")]
    Timeout(&'static str),
}

/// Plays a rehearsal.
pub fn rehearse(options: &Options) -> Result<CommitOutcome, RehearsalError> {
    let folder = own_folder(&format!("takeover-{}", options.seed))?;
    let executor = Rc::new(LocalExecutor::new());
    let result = async_io::block_on(executor.run(play(options, folder.clone(), executor.clone())));
    remove_folder(&folder);
    result
}

async fn play(
    options: &Options,
    folder: PathBuf,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<CommitOutcome, RehearsalError> {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let local: SocketAddr = ([127, 0, 0, 1], 0).into();
    let (state, cloud) = (listen(local)?, listen(local)?);
    let all = Addresses::allot(options.controllers)?;
    let deployment = Deployment {
        program: options.program.clone(),
        features: options.features.clone(),
        folder,
        state: state.get_ref().local_addr()?,
        cloud: cloud.get_ref().local_addr()?,
        under: None,
        lease_s: 10.0,
        report_s: 1.0,
        state_rps: 1000.0,
        state_write_rps: 200.0,
    };
    let world = Rc::new(World::new(Habits {
        controllers: all.iter().map(|a| (a.name.clone(), a.bind)).collect(),
        report_ms: 1000,
        image_pull_ms: 100,
        run_ms: RUN_MS,
        lease_ms: 10_000,
        tell: false,
    }));
    world.cloud.borrow_mut().capacity = MACHINES;
    let stand_ins = network::run(world.clone(), executor.clone(), state, cloud);
    executor.spawn(stand_ins).detach();
    let mut controllers = Vec::new();
    for at in 0..all.len() {
        controllers.push(Controller::start(&deployment, &all, at)?);
    }
    let batch = Rc::new(Batch::new(world.clone(), &controllers, rng.u64(..)));
    let submitting = executor.spawn(batch.clone().run(executor.clone()));
    let mut takeovers_ms = Vec::new();
    for interruption in &options.interruptions {
        takeovers_ms.push(interrupt(&world, &mut controllers, *interruption, &mut rng).await?);
    }
    submitting.cancel().await;
    let finished = batch.finish().await;
    let history = world.recorder.borrow().entries().to_vec();
    let violations = check(&history);
    if !finished && violations.is_empty() {
        return Err(RehearsalError::Timeout("the batch to be done"));
    }
    Ok(CommitOutcome {
        takeovers_ms,
        history,
        violations,
    })
}

/// Interrupts the owner of a busy shard; the time to the first decision of the next one.
async fn interrupt(
    world: &World,
    controllers: &mut [Controller],
    interruption: Interruption,
    rng: &mut fastrand::Rng,
) -> Result<Option<u64>, RehearsalError> {
    pause(rng.u64(..1000)).await;
    let target = wait_for(world, "a busy shard", || {
        busy_shard(world, controllers, rng)
    })
    .await?;
    let began = world.now();
    let owner = &mut controllers[target.owner];
    match interruption {
        Interruption::Kill => owner.kill()?,
        Interruption::Pause { .. } => owner.pause()?,
    }
    let patience_ms = match interruption {
        Interruption::Kill => PATIENCE_MS,
        Interruption::Pause { ms } => ms,
    };
    let decided = || first_decision(world, target.shard, target.token);
    let first = wait(world, patience_ms, decided).await;
    match interruption {
        Interruption::Kill => {
            let first = first.ok_or(RehearsalError::Timeout("a takeover"))?;
            owner.start_again()?;
            pause(RECOVERY_MS).await;
            Ok(Some(first - began))
        }
        Interruption::Pause { ms } => {
            pause(ms.saturating_sub(world.now() - began)).await;
            owner.resume()?;
            pause(RECOVERY_MS).await;
            Ok(first.map(|at| at - began))
        }
    }
}

/// A shard that is being decided for.
struct Target {
    shard: u32,
    token: u64,
    /// Its owner, by its place among the controllers.
    owner: usize,
}

fn busy_shard(
    world: &World,
    controllers: &[Controller],
    rng: &mut fastrand::Rng,
) -> Option<Target> {
    let recorder = world.recorder.borrow();
    let since = world.now().saturating_sub(BUSY_MS);
    let recent = recorder.entries().iter().rev();
    let recent = recent.take_while(|e| e.at_ms >= since);
    let mut busy: Vec<u32> = recent
        .filter_map(|e| match e.event {
            Event::Decided { shard, .. } => Some(shard),
            _ => None,
        })
        .collect();
    busy.sort_unstable();
    busy.dedup();
    let shard = *busy.get(rng.usize(..busy.len().max(1)))?;
    let record = recorder.owner(shard)?;
    let owner = controllers.iter().position(|c| c.name() == record.owner)?;
    Some(Target {
        shard,
        token: record.fencing_token.0,
        owner,
    })
}

/// When the shard was first decided for under a higher token.
fn first_decision(world: &World, shard: u32, before: u64) -> Option<u64> {
    let recorder = world.recorder.borrow();
    let higher = |e: &&Entry| match e.event {
        Event::Decided { shard: s, token } => s == shard && token > before,
        _ => false,
    };
    // The newest events are enough: this is asked again and again.
    let mut newest = recorder.entries().iter().rev().take(4096).filter(higher);
    let mut first = newest.next()?;
    for earlier in newest {
        first = earlier;
    }
    Some(first.at_ms)
}

async fn wait<T>(world: &World, ms: u64, mut ready: impl FnMut() -> Option<T>) -> Option<T> {
    let end = world.now() + ms;
    while world.now() < end {
        if let Some(found) = ready() {
            return Some(found);
        }
        pause(20).await;
    }
    None
}

async fn wait_for<T>(
    world: &World,
    what: &'static str,
    ready: impl FnMut() -> Option<T>,
) -> Result<T, RehearsalError> {
    let found = wait(world, PATIENCE_MS, ready).await;
    found.ok_or(RehearsalError::Timeout(what))
}

/// Users that submit a steady batch and ask for it until it is done.
struct Batch {
    world: Rc<World>,
    controllers: Vec<SocketAddr>,
    rng: RefCell<fastrand::Rng>,
    submitted: Cell<u32>,
    waiting: Cell<u32>,
    accepted: RefCell<Vec<String>>,
}

impl Batch {
    fn new(world: Rc<World>, controllers: &[Controller], seed: u64) -> Batch {
        Batch {
            world,
            controllers: controllers.iter().map(Controller::addr).collect(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            submitted: Cell::new(0),
            waiting: Cell::new(0),
            accepted: RefCell::default(),
        }
    }

    fn any_controller(&self) -> Client {
        let at = self.rng.borrow_mut().usize(..self.controllers.len());
        Client::new(self.controllers[at])
    }

    async fn run(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>) {
        loop {
            let number = self.submitted.get() + 1;
            self.submitted.set(number);
            self.waiting.set(self.waiting.get() + 1);
            executor.spawn(self.clone().submit(number)).detach();
            pause(SUBMIT_MS).await;
        }
    }

    /// Submits one job, again and again under the same id until it is accepted.
    async fn submit(self: Rc<Self>, number: u32) {
        let spec = job_of_batch(number);
        let body = rmp_serde::to_vec_named(&spec).unwrap_or_default();
        loop {
            let client = self.any_controller();
            let answer = client.call(Method::Post, "/v1/jobs", body.clone(), 5000);
            if answer.await.is_ok_and(|a| matches!(a.status, 200 | 201)) {
                break;
            }
            pause(1000).await;
        }
        let event = Event::Accepted {
            job: spec.id.clone(),
            tasks: spec.tasks,
        };
        self.world
            .recorder
            .borrow_mut()
            .record(self.world.now(), event);
        self.accepted.borrow_mut().push(spec.id);
        self.waiting.set(self.waiting.get() - 1);
    }

    /// Waits until all jobs are answered as done, and asks each once more; false if that takes too
    /// long.
    async fn finish(&self) -> bool {
        let submitted = || (self.waiting.get() == 0).then_some(());
        if wait(&self.world, PATIENCE_MS, submitted).await.is_none() {
            return false;
        }
        let jobs = self.accepted.borrow().clone();
        let end = self.world.now() + 2 * PATIENCE_MS;
        for job in &jobs {
            while self.ask(job).await.as_deref() != Some("done") {
                if self.world.now() > end {
                    return false;
                }
                pause(100).await;
            }
        }
        for job in &jobs {
            self.ask(job).await;
        }
        true
    }

    async fn ask(&self, job: &str) -> Option<String> {
        let path = format!("/v1/jobs/{job}");
        let client = self.any_controller();
        let answer = client.call(Method::Get, &path, Vec::new(), 2000).await;
        let answer = answer.ok().filter(|a| a.status == 200)?;
        let status: JobStatus = rmp_serde::from_slice(&answer.body).ok()?;
        let event = Event::Answered {
            job: job.to_string(),
            status: status.status.clone(),
        };
        self.world
            .recorder
            .borrow_mut()
            .record(self.world.now(), event);
        Some(status.status)
    }
}

fn job_of_batch(number: u32) -> JobSpec {
    JobSpec {
        zone: Some(["north", "south"][number as usize % 2].into()),
        ..job(&format!("job-{number:06}"), TASKS)
    }
}
