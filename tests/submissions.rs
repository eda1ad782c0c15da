//! Responses of a controller to submissions of jobs with dependencies, with scripted fresh reads.

mod support;

use futures_lite::future::{block_on, or};
use http_types::Method;
use pointhook::coordination::controller::Controller;
use pointhook::coordination::job_api::handle;
use pointhook::protocol::users::{JobSpec, MAX_DEPENDENCIES};
use pointhook::state::job::JobRecord;
use pointhook::transport::http::{ServerRequest, ServerResponse};
use std::rc::Rc;
use support::job;
use support::loopback_controller::loaded_controller;

/// Result of a fresh read.
#[derive(Clone, Copy, PartialEq)]
enum FreshRead {
    /// The read fails, because the key-value store can't be reached.
    Fails,
    /// The read shows no job that was not known before.
    Nothing,
    /// The read shows a job with this id that another controller has just accepted.
    Job(&'static str),
}

/// Serves fresh reads as scripted, for as long as it is polled.
async fn serve_reads(controller: &Controller, read: FreshRead) -> ServerResponse {
    loop {
        controller.fresh_reads.notified(60_000).await;
        if let FreshRead::Job(id) = read {
            let record = JobRecord::submitted(job(id, 1), 0);
            controller.cluster.borrow_mut().put_job(id, 1, &record);
        }
        for waiter in controller.fresh_reads.take_waiters() {
            let _ = waiter.try_send(read != FreshRead::Fails);
        }
    }
}

fn submit(controller: &Rc<Controller>, spec: &JobSpec, read: FreshRead) -> ServerResponse {
    let request = ServerRequest {
        method: Method::Post,
        path: "/v1/jobs".into(),
        query: String::new(),
        body: Ok(rmp_serde::to_vec_named(spec).expect("a description")),
    };
    block_on(or(
        handle(controller.clone(), request),
        serve_reads(controller, read),
    ))
}

fn job_with_dependencies(ids: &[&str]) -> JobSpec {
    JobSpec {
        dependencies: ids.iter().map(|id| id.to_string()).collect(),
        ..job("job-9", 1)
    }
}

#[test]
fn an_unknown_id_is_refused_permanently_only_after_a_fresh_read() {
    let controller = loaded_controller(true);
    let unknown = job_with_dependencies(&["job-1"]);
    assert_eq!(
        submit(&controller, &unknown, FreshRead::Nothing).status,
        422
    );
    let answer = submit(&controller, &unknown, FreshRead::Fails);
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after_s.is_some());
    // The fresh read shows that another controller has accepted the dependency. Only the write of
    // the submitted job fails now, and a client may retry that.
    let known = submit(&controller, &unknown, FreshRead::Job("job-1"));
    assert_eq!(known.status, 503);
    assert!(controller.cluster.borrow().job("job-1").is_some());
}

#[test]
fn dependencies_are_accepted_only_in_record_format_v2_and_as_many_as_a_record_holds() {
    let format_v1 = loaded_controller(false);
    let spec = job_with_dependencies(&["job-1"]);
    for read in [FreshRead::Nothing, FreshRead::Job("job-1")] {
        let answer = submit(&format_v1, &spec, read);
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after_s.is_some());
    }
    let format_v2 = loaded_controller(true);
    let ids: Vec<String> = (1..=MAX_DEPENDENCIES + 1)
        .map(|n| format!("job-{}", 100 + n))
        .collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let too_many = submit(&format_v2, &job_with_dependencies(&ids), FreshRead::Nothing);
    assert_eq!(too_many.status, 422);
    let itself = submit(
        &format_v2,
        &job_with_dependencies(&["job-9"]),
        FreshRead::Nothing,
    );
    assert_eq!(itself.status, 400);
}

#[test]
fn a_repeated_submission_is_answered_whatever_became_of_its_dependencies() {
    let controller = loaded_controller(true);
    let spec = job_with_dependencies(&["job-1"]);
    let record = JobRecord::submitted(spec.clone(), 0);
    controller.cluster.borrow_mut().put_job("job-9", 1, &record);
    // The job's dependency is not known here, so a new job like it would be refused.
    assert_eq!(submit(&controller, &spec, FreshRead::Nothing).status, 200);
}
