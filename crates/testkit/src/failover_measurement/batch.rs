//! Simulated users that submit jobs at a steady rate and poll their status until they are done.

use super::{poll_until, TIMEOUT_MS};
use crate::history::Event;
use crate::jobs::job;
use crate::network::LoopbackCluster;
use crate::process::ControllerProcess;
use async_executor::LocalExecutor;
use http_types::Method;
use pointhook::protocol::users::{JobSpec, JobStatus};
use pointhook::transport::http::Client;
use pointhook::transport::sleep;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Number of tasks of each job.
const TASKS_PER_JOB: u32 = 8;
/// Time between the submissions of two jobs.
pub(super) const SUBMIT_INTERVAL_MS: u64 = 500;
/// One in this many jobs is cancelled.
const JOBS_PER_CANCELLATION: u32 = 5;
/// Upper bound of the time from a job's acceptance to its cancellation.
const MAX_CANCELLATION_DELAY_MS: u64 = 10_000;
const SUBMIT_TIMEOUT_MS: u64 = 5000;
const SUBMIT_RETRY_MS: u64 = 1000;
const STATUS_TIMEOUT_MS: u64 = 2000;
const STATUS_POLL_INTERVAL_MS: u64 = 100;

/// Jobs that are submitted during a measurement.
pub(super) struct Batch {
    cluster: Rc<LoopbackCluster>,
    controllers: Vec<SocketAddr>,
    submit_interval_ms: u64,
    rng: RefCell<fastrand::Rng>,
    submitted: Cell<u32>,
    /// Number of jobs that are submitted and not accepted yet.
    pending: Cell<u32>,
    accepted: RefCell<Vec<String>>,
    /// Whether users cancel some of their jobs.
    cancels: bool,
}

impl Batch {
    /// Creates a batch without jobs; each request goes to a random one of the controllers.
    pub(super) fn new(
        cluster: Rc<LoopbackCluster>,
        controllers: &[ControllerProcess],
        submit_interval_ms: u64,
        cancels: bool,
        seed: u64,
    ) -> Batch {
        Batch {
            cluster,
            controllers: controllers.iter().map(ControllerProcess::addr).collect(),
            submit_interval_ms,
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            submitted: Cell::new(0),
            pending: Cell::new(0),
            accepted: RefCell::default(),
            cancels,
        }
    }

    fn client_of_random_controller(&self) -> Client {
        let index = self.rng.borrow_mut().usize(..self.controllers.len());
        Client::new(self.controllers[index])
    }

    /// Submits a job every `submit_interval_ms`, until the async task is cancelled.
    pub(super) async fn submit_jobs(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>) {
        loop {
            let number = self.submitted.get() + 1;
            self.submitted.set(number);
            self.pending.set(self.pending.get() + 1);
            executor.spawn(self.clone().submit(number)).detach();
            sleep(self.submit_interval_ms).await;
        }
    }

    /// Submits one job; retries under the same id until it is accepted.
    async fn submit(self: Rc<Self>, number: u32) {
        let spec = job_spec(number);
        let body = rmp_serde::to_vec_named(&spec).unwrap_or_default();
        loop {
            let client = self.client_of_random_controller();
            let answer = client.call(Method::Post, "/v1/jobs", body.clone(), SUBMIT_TIMEOUT_MS);
            let answer = answer.await;
            if answer.is_ok_and(|answer| matches!(answer.status, 200 | 201)) {
                break;
            }
            sleep(SUBMIT_RETRY_MS).await;
        }
        self.record(Event::JobAccepted {
            job: spec.id.clone(),
            tasks: spec.tasks,
        });
        let is_cancelled = self.cancels && self.rng.borrow_mut().u32(..JOBS_PER_CANCELLATION) == 0;
        if is_cancelled {
            let delay_ms = self.rng.borrow_mut().u64(..MAX_CANCELLATION_DELAY_MS);
            sleep(delay_ms).await;
            self.cancel(&spec.id).await;
        } else {
            self.accepted.borrow_mut().push(spec.id);
        }
        self.pending.set(self.pending.get() - 1);
    }

    /// Cancels a job; retries until a controller confirms that it is cancelled or done.
    async fn cancel(&self, job: &str) {
        let path = format!("/v1/jobs/{job}/withdraw");
        loop {
            let client = self.client_of_random_controller();
            let answer = client.call(Method::Post, &path, Vec::new(), SUBMIT_TIMEOUT_MS);
            let answer = answer.await.ok().filter(|answer| answer.status == 200);
            let status = answer.and_then(|answer| decode_status(&answer.body));
            match status.as_deref() {
                Some("aborted") => {
                    let mut recorder = self.cluster.recorder.borrow_mut();
                    return recorder.record_cancellation(self.cluster.now_ms(), job);
                }
                Some(_) => return self.accepted.borrow_mut().push(job.to_string()),
                None => sleep(SUBMIT_RETRY_MS).await,
            }
        }
    }

    /// Waits until all jobs are reported as done, then queries each status once more, so that the
    /// checker sees a status that changes after done. False on timeout.
    pub(super) async fn wait_until_done(&self) -> bool {
        let all_accepted = || (self.pending.get() == 0).then_some(());
        let accepted = poll_until(&self.cluster, TIMEOUT_MS, all_accepted).await;
        if accepted.is_none() {
            return false;
        }
        let jobs = self.accepted.borrow().clone();
        let deadline = self.cluster.now_ms() + 2 * TIMEOUT_MS;
        for job in &jobs {
            while self.query_status(job).await.as_deref() != Some("done") {
                if self.cluster.now_ms() > deadline {
                    return false;
                }
                sleep(STATUS_POLL_INTERVAL_MS).await;
            }
        }
        for job in &jobs {
            self.query_status(job).await;
        }
        true
    }

    async fn query_status(&self, job: &str) -> Option<String> {
        let path = format!("/v1/jobs/{job}");
        let client = self.client_of_random_controller();
        let answer = client.call(Method::Get, &path, Vec::new(), STATUS_TIMEOUT_MS);
        let answer = answer.await.ok().filter(|answer| answer.status == 200)?;
        let status = decode_status(&answer.body)?;
        self.record(Event::JobStatusReported {
            job: job.to_string(),
            status: status.clone(),
        });
        Some(status)
    }

    fn record(&self, event: Event) {
        let mut recorder = self.cluster.recorder.borrow_mut();
        recorder.record(self.cluster.now_ms(), event);
    }
}

/// The state of a job in a controller's response.
fn decode_status(body: &[u8]) -> Option<String> {
    let status: JobStatus = rmp_serde::from_slice(body).ok()?;
    Some(status.status)
}

/// Specification of the job with this number; jobs are bound to the two zones in turn.
fn job_spec(number: u32) -> JobSpec {
    let zone = ["north", "south"][number as usize % 2];
    JobSpec {
        zone: Some(zone.into()),
        ..job(&format!("job-{number:06}"), TASKS_PER_JOB)
    }
}
