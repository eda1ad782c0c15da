//! Sound submissions in every spelling that the protocol allows, generated with a fixed seed.
//! `POINTHOOK_SPELLINGS` sets the number of cases.

mod support;

use async_io::block_on;
use pointhook::protocol::users::{parse_job, JobSpec};
use pointhook::protocol::workers::Heartbeat;
use pointhook::transport::http::MAX_BODY_BYTES;
use proptest::prelude::{any, Just, Strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rmpv::Value;
use support::job;
use support::loopback_controller::{
    chunked, chunked_head, controller_with_cancelled_job, post_head, serve_on_loopback, RawClient,
};
use support::worker::FakeWorker;

const DEFAULT_CASES: u32 = 300;
const SEED: [u8; 32] = [7; 32];
const SUBMIT_PATH: &str = "/v1/jobs";
/// Largest unknown field, in bytes of text.
const MAX_UNKNOWN_BYTES: usize = 30_000;

/// How the values of one message are spelled.
#[derive(Clone, Debug)]
struct Spelling {
    /// Drawn for each value in turn: chooses among its spellings.
    choices: Vec<u8>,
    order: Vec<u8>,
    unknown_text_bytes: usize,
    unknown_depth: usize,
}

fn spellings() -> impl Strategy<Value = Spelling> {
    let choices = proptest::collection::vec(any::<u8>(), 128);
    let order = proptest::collection::vec(any::<u8>(), 32);
    (choices, order, 0..MAX_UNKNOWN_BYTES, 0..200usize).prop_map(
        |(choices, order, unknown_text_bytes, unknown_depth)| Spelling {
            choices,
            order,
            unknown_text_bytes,
            unknown_depth,
        },
    )
}

fn runner() -> TestRunner {
    let cases = std::env::var("POINTHOOK_SPELLINGS").ok();
    let cases = cases.and_then(|cases| cases.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// Writes values in the spellings that are drawn.
struct Speller<'a> {
    choices: std::iter::Cycle<std::slice::Iter<'a, u8>>,
    bytes: Vec<u8>,
}

impl Speller<'_> {
    fn choose(&mut self, count: u8) -> u8 {
        self.choices.next().expect("choices") % count
    }

    fn value(&mut self, value: &Value) {
        match value {
            Value::Nil => self.bytes.push(0xc0),
            Value::Boolean(is_true) => self.bytes.push(0xc2 + u8::from(*is_true)),
            Value::Integer(number) => self.integer(number.as_u64().expect("not negative")),
            Value::F64(number) => self.float(*number),
            Value::String(text) => self.text(text.as_str().expect("text")),
            Value::Array(items) => {
                self.length(items.len(), 0xdc);
                items.iter().for_each(|item| self.value(item));
            }
            Value::Map(fields) => {
                self.length(fields.len(), 0xde);
                for (key, field) in fields {
                    self.value(key);
                    self.value(field);
                }
            }
            other => panic!("not in any message: {other}"),
        }
    }

    fn integer(&mut self, number: u64) {
        let signed = self.choose(2) == 0;
        match self.choose(4) {
            0 if number < 0x80 => self.bytes.push(number as u8),
            1 if number < 0x80 => self
                .bytes
                .extend([if signed { 0xd0 } else { 0xcc }, number as u8]),
            2 if number < 0x8000 => {
                self.bytes.push(if signed { 0xd1 } else { 0xcd });
                self.bytes.extend((number as u16).to_be_bytes());
            }
            3 if number < 0x8000_0000 => {
                self.bytes.push(if signed { 0xd2 } else { 0xce });
                self.bytes.extend((number as u32).to_be_bytes());
            }
            _ => {
                self.bytes.push(if signed { 0xd3 } else { 0xcf });
                self.bytes.extend(number.to_be_bytes());
            }
        }
    }

    fn float(&mut self, number: f64) {
        let is_whole = number.fract() == 0.0 && (0.0..1e9).contains(&number);
        match self.choose(3) {
            0 if is_whole => self.integer(number as u64),
            1 if f64::from(number as f32) == number => {
                self.bytes.push(0xca);
                self.bytes.extend((number as f32).to_be_bytes());
            }
            _ => {
                self.bytes.push(0xcb);
                self.bytes.extend(number.to_be_bytes());
            }
        }
    }

    fn text(&mut self, text: &str) {
        let length = text.len();
        match self.choose(4) {
            0 if length < 32 => self.bytes.push(0xa0 | length as u8),
            1 if length < 0x100 => self.bytes.extend([0xd9, length as u8]),
            2 if length < 0x1_0000 => {
                self.bytes.push(0xda);
                self.bytes.extend((length as u16).to_be_bytes());
            }
            _ => {
                self.bytes.push(0xdb);
                self.bytes.extend((length as u32).to_be_bytes());
            }
        }
        self.bytes.extend(text.as_bytes());
    }

    /// The length of a list or map, of which `marker16` is the marker with 16 bits.
    fn length(&mut self, length: usize, marker16: u8) {
        let short_marker = if marker16 == 0xdc { 0x90 } else { 0x80 };
        match self.choose(3) {
            0 if length < 16 => self.bytes.push(short_marker | length as u8),
            1 => {
                self.bytes.push(marker16);
                self.bytes.extend((length as u16).to_be_bytes());
            }
            _ => {
                self.bytes.push(marker16 + 1);
                self.bytes.extend((length as u32).to_be_bytes());
            }
        }
    }
}

/// A field that no receiver knows: nested, with a large text inside.
fn unknown_field(spelling: &Spelling) -> (Value, Value) {
    let text: Value = "x".repeat(spelling.unknown_text_bytes).into();
    let nested = (0..spelling.unknown_depth).fold(text, |inner, level| match level % 2 {
        0 => Value::Array(vec![inner]),
        _ => Value::Map(vec![("inner".into(), inner)]),
    });
    ("not_known_here".into(), nested)
}

/// A message in a spelling: its fields in another order, with an unknown one among them.
fn spelled<T: serde::Serialize>(message: &T, spelling: &Spelling) -> Vec<u8> {
    let encoded = rmp_serde::to_vec_named(message).expect("a message");
    let decoded: Value = rmp_serde::from_slice(&encoded).expect("a message");
    let Value::Map(mut fields) = decoded else {
        panic!("not a map");
    };
    fields.push(unknown_field(spelling));
    let mut keyed: Vec<(u8, (Value, Value))> = Vec::new();
    for (index, field) in fields.into_iter().enumerate() {
        keyed.push((spelling.order[index % spelling.order.len()], field));
    }
    keyed.sort_by_key(|(position, _)| *position);
    let fields = keyed.into_iter().map(|(_, field)| field).collect();
    let mut speller = Speller {
        choices: spelling.choices.iter().cycle(),
        bytes: Vec::new(),
    };
    speller.value(&Value::Map(fields));
    speller.bytes
}

fn full_job() -> JobSpec {
    JobSpec {
        types: Some(vec!["oven".into()]),
        zone: Some("north".into()),
        deadline_s: Some(900.5),
        checkpoint_s: 30.25,
        dependencies: vec!["job-1".into()],
        ..job("job-710145", 70_000)
    }
}

#[test]
fn every_spelling_of_a_submission_is_read_as_the_same_job() {
    let jobs = proptest::sample::select(vec![full_job(), job("job-9", 1)]);
    let result = runner().run(&(jobs, spellings()), |(spec, spelling)| {
        let bytes = spelled(&spec, &spelling);
        proptest::prop_assert_eq!(parse_job(&bytes), Some(spec));
        Ok(())
    });
    result.expect("one job in all spellings");
}

#[test]
fn every_spelling_of_a_heartbeat_is_read_as_the_same() {
    let mut worker = FakeWorker::new("n-000231", "north", 0);
    let heartbeat = worker.heartbeat(1);
    let result = runner().run(&(Just(()), spellings()), |(_, spelling)| {
        let bytes = spelled(&heartbeat, &spelling);
        let read: Heartbeat = rmp_serde::from_slice(&bytes).expect("a heartbeat");
        proptest::prop_assert_eq!(format!("{read:?}"), format!("{heartbeat:?}"));
        Ok(())
    });
    result.expect("one heartbeat in all spellings");
}

/// Number of submissions that are sent on sockets.
const SOCKET_CASES: u32 = 24;

/// The statuses of repeated submissions of an accepted job, each in pieces of `piece_bytes`.
fn repeat_on_sockets(piece_bytes: usize, in_chunks: bool) -> Vec<Option<u16>> {
    let spec = full_job();
    let controller = controller_with_cancelled_job(&spec);
    let address = serve_on_loopback(&controller);
    let mut runner = runner();
    block_on(controller.executor.clone().run(async {
        let mut clients = Vec::new();
        for _ in 0..SOCKET_CASES {
            let tree = proptest::strategy::Strategy::new_tree(&spellings(), &mut runner);
            let mut spelling = proptest::strategy::ValueTree::current(&tree.expect("a spelling"));
            spelling.unknown_text_bytes %= 500;
            let body = spelled(&spec, &spelling);
            let request = match in_chunks {
                true => [chunked_head(SUBMIT_PATH), chunked(&body, 100)].concat(),
                false => [post_head(SUBMIT_PATH, body.len()), body].concat(),
            };
            let client = RawClient::connect(address).await;
            for piece in request.chunks(piece_bytes) {
                client.write(piece).await;
                futures_lite::future::yield_now().await;
            }
            clients.push(client);
        }
        let mut answers = Vec::new();
        for client in &clients {
            answers.push(client.read_status().await);
        }
        answers
    }))
}

#[test]
fn a_repeated_submission_in_pieces_gets_the_jobs_state() {
    for piece_bytes in [1, 7, 2048, usize::MAX] {
        let answers = repeat_on_sockets(piece_bytes, false);
        assert!(
            answers.iter().all(|a| *a == Some(200)),
            "{piece_bytes}: {answers:?}"
        );
    }
}

#[test]
fn a_repeated_submission_in_chunks_gets_the_jobs_state() {
    let answers = repeat_on_sockets(usize::MAX, true);
    assert!(answers.iter().all(|a| *a == Some(200)), "{answers:?}");
}

#[test]
fn a_repeated_submission_in_chunks_that_arrive_in_pieces_gets_the_jobs_state() {
    let answers = repeat_on_sockets(1, true);
    assert!(answers.iter().all(|a| *a == Some(200)), "{answers:?}");
}

#[test]
#[ignore = "known failure: KNOWN-RED.txt"]
fn a_submission_within_the_limit_of_its_json_form_is_not_too_large() {
    const DECIMALS: usize = 12_000;
    let encoded = rmp_serde::to_vec_named(&full_job()).expect("a description");
    let decoded: Value = rmp_serde::from_slice(&encoded).expect("a description");
    let Value::Map(mut fields) = decoded else {
        panic!("not a map");
    };
    fields.push((
        "not_known_here".into(),
        Value::Array(vec![0.5.into(); DECIMALS]),
    ));
    let message = Value::Map(fields);
    let body = rmp_serde::to_vec(&message).expect("a message");
    let json = serde_json::to_vec(&message).expect("a message");
    assert!(json.len() <= MAX_BODY_BYTES && body.len() > MAX_BODY_BYTES);
    let controller = controller_with_cancelled_job(&full_job());
    let address = serve_on_loopback(&controller);
    let answer = block_on(controller.executor.clone().run(async {
        let client = RawClient::connect(address).await;
        client.write(&post_head(SUBMIT_PATH, body.len())).await;
        client.write(&body).await;
        client.read_status().await
    }));
    assert_eq!(answer, Some(200));
}
