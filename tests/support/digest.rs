//! A digest of the decisions of simulated controllers on the current thread, in their order.
//!
//! An event is hashed as the text of its kind, its time and its serialized form (MessagePack with
//! the field names of the protocol), so the digest doesn't depend on identifiers in the code.

use super::kv_store::{FakeKvStore, KvResponse};
use pointhook::protocol::kv::{CommitResponse, Transaction};
use serde::Serialize;
use std::cell::RefCell;
use std::fs::File;
use std::io::Write;

/// A 64-bit FNV-1a hash of events, and their number.
#[derive(Debug)]
pub struct Digest {
    pub hash: u64,
    pub events: u64,
    /// File to which each event is written as a line, so that two runs can be compared.
    trace: Option<File>,
}

thread_local! {
    static CURRENT: RefCell<Option<Digest>> = const { RefCell::new(None) };
}

impl Digest {
    fn update(&mut self, bytes: &[u8]) {
        let length = (bytes.len() as u64).to_le_bytes();
        for byte in length.iter().chain(bytes) {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Begins a digest of the events on this thread. If `POINTHOOK_DIGEST_TRACE` is set, the events
/// are also written to the file `{name}.txt` in the directory that it names, one a line.
pub fn begin(name: &str) {
    let directory = std::env::var("POINTHOOK_DIGEST_TRACE").ok();
    let trace =
        directory.map(|d| File::create(format!("{d}/{name}.txt")).expect("the directory exists"));
    let digest = Digest {
        hash: 0xcbf2_9ce4_8422_2325,
        events: 0,
        trace,
    };
    CURRENT.set(Some(digest));
}

/// Ends the digest of this thread and returns it.
pub fn end() -> Digest {
    CURRENT.take().expect("a digest that was begun")
}

/// Adds an event to the digest of this thread; does nothing if none was begun.
pub fn record(kind: &str, now: u64, what: &impl Serialize) {
    CURRENT.with_borrow_mut(|current| {
        let Some(digest) = current else { return };
        let bytes = rmp_serde::to_vec_named(what).expect("an event of the protocol");
        digest.events += 1;
        digest.update(kind.as_bytes());
        digest.update(&now.to_le_bytes());
        digest.update(&bytes);
        if let Some(trace) = &mut digest.trace {
            let text = serde_json::to_string(what).expect("an event of the protocol");
            writeln!(trace, "{now} {kind} {text}").expect("the trace file can be written");
        }
    });
}

/// Commits a transaction to the store, and adds it and its response to the digest.
pub fn commit(store: &mut FakeKvStore, txn: &Transaction, now: u64) -> KvResponse<CommitResponse> {
    let response = store.commit(txn, now);
    record("transaction", now, txn);
    record(
        "transaction's answer",
        now,
        &(response.status, &response.body),
    );
    response
}
