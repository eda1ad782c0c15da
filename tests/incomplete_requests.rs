//! Responses on real sockets to requests whose body does not arrive as a whole.

mod support;

use async_io::block_on;
use pointhook::protocol::users::JobSpec;
use pointhook::state::job::JobRecord;
use pointhook::transport::http::MAX_BODY_BYTES;
use std::net::SocketAddr;
use support::job;
use support::loopback_controller::{
    chunked, chunked_head, loaded_controller, post_head, serve_on_loopback, RawClient,
};

const SUBMIT_PATH: &str = "/v1/jobs";
const ACCEPTED_JOB: &str = "job-710145";
const NEW_JOB: &str = "job-353204";

/// Statuses that a user does not retry after, and that no state of the job explains.
const FINAL_REFUSALS: [u16; 3] = [400, 404, 422];

fn encoded(spec: &JobSpec) -> Vec<u8> {
    rmp_serde::to_vec_named(spec).expect("a description")
}

/// Prefixes of a sound submission that lack at least one byte of the body.
fn unfinished_submissions(id: &str) -> Vec<Vec<u8>> {
    let body = encoded(&job(id, 19));
    let with_length: Vec<u8> = [post_head(SUBMIT_PATH, body.len()), body.clone()].concat();
    let in_chunks: Vec<u8> = [chunked_head(SUBMIT_PATH), chunked(&body, 50)].concat();
    let mut prefixes = Vec::new();
    for (request, head_bytes) in [
        (&with_length, with_length.len() - body.len()),
        (&in_chunks, chunked_head(SUBMIT_PATH).len()),
    ] {
        for received in [head_bytes, head_bytes + body.len() / 2, request.len() - 1] {
            prefixes.push(request[..received].to_vec());
        }
    }
    prefixes
}

/// The responses to unfinished submissions of an accepted and of a new job, each on a connection of
/// its own.
async fn answers(address: SocketAddr, close: bool) -> Vec<Option<u16>> {
    let mut clients = Vec::new();
    for id in [ACCEPTED_JOB, NEW_JOB] {
        for bytes in unfinished_submissions(id) {
            let client = RawClient::connect(address).await;
            client.write(&bytes).await;
            clients.push(client);
        }
    }
    let mut answers = Vec::new();
    for client in &clients {
        if close {
            client.finish_sending();
        }
        answers.push(client.read_status().await);
    }
    answers
}

fn answers_of_a_controller(close: bool) -> Vec<Option<u16>> {
    let controller = loaded_controller(true);
    let record = JobRecord::submitted(job(ACCEPTED_JOB, 19), 0);
    let mut cluster = controller.cluster.borrow_mut();
    cluster.put_job(ACCEPTED_JOB, 1, &record);
    drop(cluster);
    let address = serve_on_loopback(&controller);
    let executor = controller.executor.clone();
    block_on(executor.run(answers(address, close)))
}

fn is_final(answer: &Option<u16>) -> bool {
    answer.is_some_and(|status| FINAL_REFUSALS.contains(&status))
}

#[test]
fn a_submission_whose_body_comes_late_gets_no_final_refusal() {
    let answers = answers_of_a_controller(false);
    assert!(!answers.iter().any(is_final), "{answers:?}");
}

#[test]
fn a_submission_that_ends_before_its_body_does_gets_no_final_refusal() {
    let answers = answers_of_a_controller(true);
    assert!(!answers.iter().any(is_final), "{answers:?}");
}

#[test]
fn a_worker_whose_heartbeat_comes_late_is_not_told_that_it_is_malformed() {
    let controller = loaded_controller(true);
    let address = serve_on_loopback(&controller);
    let answer = block_on(controller.executor.clone().run(async {
        let client = RawClient::connect(address).await;
        client.write(&post_head("/v1/report", 100)).await;
        client.read_status().await
    }));
    assert_eq!(answer, Some(408));
    let counts = controller.events.take_summary();
    assert_eq!(counts.as_deref(), Some("bodies_timed_out=1"));
}

#[test]
fn a_body_over_the_limit_is_not_taken_for_a_malformed_one() {
    let controller = loaded_controller(true);
    let address = serve_on_loopback(&controller);
    let answer = block_on(controller.executor.clone().run(async {
        let client = RawClient::connect(address).await;
        client
            .write(&post_head(SUBMIT_PATH, MAX_BODY_BYTES + 1))
            .await;
        client.read_status().await
    }));
    assert_eq!(answer, Some(413));
    let counts = controller.events.take_summary();
    assert_eq!(counts.as_deref(), Some("bodies_too_large=1"));
}
