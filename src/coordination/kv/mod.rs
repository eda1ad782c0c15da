//! Access to the key-value store, which holds all durable state: calls, transactions, the watch
//! that updates the cached state, and fresh reads.

pub mod client;
pub mod fresh_reads;
pub mod transactions;
pub mod watch;

pub use client::CommitOutcome;
pub use transactions::{apply_outcome, set, transaction};
pub use watch::watch_is_stale;
