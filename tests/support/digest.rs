//! A digest of what controllers decide, in the order in which they do, on this thread.
//!
//! Each event goes in as the name of its kind, the time and the bytes of the protocol
//! (MessagePack with the protocol's names of fields), so that names in the code play no part.

use super::kv_store::{FakeKvStore, KvResponse};
use pointhook::protocol::kv::{CommitResponse, Transaction};
use serde::Serialize;
use std::cell::RefCell;
use std::fs::File;
use std::io::Write;

/// FNV-1a of 64 bits and how many events went in.
#[derive(Debug)]
pub struct Digest {
    pub hash: u64,
    pub events: u64,
    /// Where each event is written as a line, for a comparison of two runs.
    trace: Option<File>,
}

thread_local! {
    static CURRENT: RefCell<Option<Digest>> = const { RefCell::new(None) };
}

impl Digest {
    fn bytes(&mut self, bytes: &[u8]) {
        let length = (bytes.len() as u64).to_le_bytes();
        for b in length.iter().chain(bytes) {
            self.hash = (self.hash ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Begins a digest of what happens on this thread. `POINTHOOK_DIGEST_TRACE` names a directory in
/// which the events of each are written as lines.
pub fn begin(name: &str) {
    let directory = std::env::var("POINTHOOK_DIGEST_TRACE").ok();
    let trace = directory.map(|d| File::create(format!("{d}/{name}.txt")).expect("a directory"));
    let digest = Digest {
        hash: 0xcbf2_9ce4_8422_2325,
        events: 0,
        trace,
    };
    CURRENT.set(Some(digest));
}

/// Ends the digest.
pub fn end() -> Digest {
    CURRENT.take().expect("a digest that was begun")
}

/// Takes an event into the digest that is under way, if one is.
pub fn note(kind: &str, now: u64, what: &impl Serialize) {
    CURRENT.with_borrow_mut(|current| {
        let Some(digest) = current else { return };
        let bytes = rmp_serde::to_vec_named(what).expect("an event of the protocol");
        digest.events += 1;
        digest.bytes(kind.as_bytes());
        digest.bytes(&now.to_le_bytes());
        digest.bytes(&bytes);
        if let Some(trace) = &mut digest.trace {
            let text = serde_json::to_string(what).expect("an event of the protocol");
            writeln!(trace, "{now} {kind} {text}").expect("a file that takes lines");
        }
    });
}

/// Commits a transaction, and takes it and its answer into the digest.
pub fn commit(store: &mut FakeKvStore, txn: &Transaction, now: u64) -> KvResponse<CommitResponse> {
    let response = store.commit(txn, now);
    note("transaction", now, txn);
    note(
        "transaction's answer",
        now,
        &(response.status, &response.body),
    );
    response
}
