//! Assembles the cloud's list of machines from pages.
//!
//! `machine_list_refresh` fetches the pages; this module does no I/O.
//!
//! Invariant: only a complete list replaces the previous one, so that no machine is presumed
//! missing because its page was refused.

use crate::protocol::cloud::{ListedMachine, MachineListPage};
use crate::state::units::MonotonicMillis;

/// Fraction of the cloud's rate limit that reading the machine list may use.
const LIST_RATE_FRACTION: f64 = 0.4;

/// Time after which an incomplete list is discarded and read from its first page. Lists of many
/// pages are allowed more time, see [`STALE_READ_FACTOR`].
pub(super) const STALE_MS: u64 = 15_000;

/// Multiple of the time needed to read the pages after which an incomplete list of many pages is
/// discarded.
const STALE_READ_FACTOR: u64 = 2;

/// Number of machines requested per page, the maximum of the cloud's protocol.
pub(super) const PAGE_SIZE: usize = 500;

/// Minimum interval between lists, in requests: the interval is at least the time in which the
/// cloud's rate limit allows this many requests, clamped to the range from 1.5 s to 4 s.
const MIN_INTERVAL_REQUESTS: f64 = 4.0;

/// Interval between the end of one machine list and the start of the next, ms.
///
/// The interval grows with the number of pages, so that reading a large list uses at most a fixed
/// fraction of the cloud's rate limit and leaves the rest to scaling out and in.
pub fn list_interval_ms(requests_per_s: f64, pages: usize) -> u64 {
    let min_interval_ms =
        ((MIN_INTERVAL_REQUESTS * 1000.0 / requests_per_s) as u64).clamp(1500, 4000);
    min_interval_ms.max(read_time_ms(requests_per_s, pages))
}

/// Time that reading this many pages takes within the list's fraction of the cloud's rate limit.
fn read_time_ms(requests_per_s: f64, pages: usize) -> u64 {
    (pages as f64 * 1000.0 / (requests_per_s * LIST_RATE_FRACTION)) as u64
}

pub(super) fn page_count(machines: usize) -> usize {
    machines / PAGE_SIZE + 1
}

/// A machine list that is read page by page. If a page is refused, the pages read so far are kept,
/// and the next round continues after them.
#[derive(Default)]
pub struct MachineListReader {
    machines: Vec<ListedMachine>,
    started_at: Option<MonotonicMillis>,
}

impl MachineListReader {
    /// The machine name after which the next page starts; empty for the first page. A list that has
    /// taken too long is discarded first.
    ///
    /// The time allowed grows with the number of pages read. With a fixed limit, the list of a
    /// large fleet would never be completed where the cloud allows few requests per second.
    pub fn next_page_after(&mut self, now: MonotonicMillis, requests_per_s: f64) -> &str {
        let pages = page_count(self.machines.len());
        let stale_ms = STALE_MS.max(STALE_READ_FACTOR * read_time_ms(requests_per_s, pages));
        if self.started_at.is_some_and(|t| now.since(t) >= stale_ms) {
            *self = MachineListReader::default();
        }
        self.started_at.get_or_insert(now);
        self.machines.last().map_or("", |last| last.name.as_str())
    }

    /// Adds a page. Returns the complete list if the page was the last one.
    pub fn add_page(&mut self, page: MachineListPage) -> Option<Vec<ListedMachine>> {
        let has_more = page.more && !page.machines.is_empty();
        self.machines.extend(page.machines);
        (!has_more).then(|| std::mem::take(self).machines)
    }
}
