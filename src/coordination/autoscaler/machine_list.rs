//! The cloud's list of machines, put together from pages.
//!
//! `machine_list_refresh` reads the pages; nothing here does any I/O.
//!
//! Invariant: only complete lists replace the last one, so that a machine is never taken for
//! missing because its page was refused.

use crate::protocol::cloud::{ListedMachine, MachineListPage};
use crate::state::units::MonotonicMillis;

/// Part of the cloud's limit that reading the machine list may take.
const LIST_PART: f64 = 0.4;

/// Age at which a list of few pages is begun anew.
pub(super) const STALE_MS: u64 = 15_000;

/// A list of many pages is begun anew after this many times the time that reading them takes.
const STALE_READS: u64 = 2;

/// Machines in a page of the list, by the cloud's protocol at most.
pub(super) const PAGE_SIZE: usize = 500;

/// Requests in whose time a small list is read once.
const REQUESTS_PER_LIST: f64 = 4.0;

/// Time from one list of machines to the next: a large one takes no more than its part of the
/// cloud's limit, so that scaling out and in have the rest.
pub fn list_interval_ms(requests_per_s: f64, pages: usize) -> u64 {
    let least = ((REQUESTS_PER_LIST * 1000.0 / requests_per_s) as u64).clamp(1500, 4000);
    least.max(read_time_ms(requests_per_s, pages))
}

/// Time that reading so many pages takes at the list's part of the cloud's limit.
fn read_time_ms(requests_per_s: f64, pages: usize) -> u64 {
    (pages as f64 * 1000.0 / (requests_per_s * LIST_PART)) as u64
}

pub(super) fn page_count(machines: usize) -> usize {
    machines / PAGE_SIZE + 1
}

/// A machine list that is read page by page. What was read stays when a page is refused, and
/// the next round goes on from there.
#[derive(Default)]
pub struct MachineListReader {
    machines: Vec<ListedMachine>,
    started_at: Option<MonotonicMillis>,
}

impl MachineListReader {
    /// The name after which the next page begins; a list that took too long is begun anew.
    ///
    /// The time allowed grows with what was read: a fixed one would begin the list of a large
    /// fleet anew for ever where the cloud serves few requests a second.
    pub fn next_page_after(&mut self, now: MonotonicMillis, requests_per_s: f64) -> &str {
        let pages = page_count(self.machines.len());
        let stale_ms = STALE_MS.max(STALE_READS * read_time_ms(requests_per_s, pages));
        if self.started_at.is_some_and(|t| now.since(t) >= stale_ms) {
            *self = MachineListReader::default();
        }
        self.started_at.get_or_insert(now);
        self.machines.last().map_or("", |last| last.name.as_str())
    }

    /// Adds a page; the complete list if it was the last.
    pub fn add_page(&mut self, page: MachineListPage) -> Option<Vec<ListedMachine>> {
        let more = page.more && !page.machines.is_empty();
        self.machines.extend(page.machines);
        (!more).then(|| std::mem::take(self).machines)
    }
}
