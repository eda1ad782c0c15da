//! The cloud's list of machines, read page by page.
//!
//! The autoscaler's round calls [`read`] when a list is due.
//!
//! Invariant: only complete lists replace the last one, so that a machine is never taken for
//! missing because its page was refused.

use super::{AutoscalerState, CLOUD_TIMEOUT_MS};
use crate::coordination::controller::availability::ExternalService;
use crate::coordination::controller::Controller;
use crate::protocol::cloud::{ListedMachine, MachineListPage};
use crate::state::units::MonotonicMillis;
use http_types::Method;
use std::rc::Rc;

/// Part of the cloud's limit that reading the machine list may take.
const LIST_PART: f64 = 0.4;

/// Age at which a list of few pages is begun anew.
const STALE_MS: u64 = 15_000;

/// A list of many pages is begun anew after this many times the time that reading them takes.
const STALE_READS: u64 = 2;

/// Machines in a page of the list, by the cloud's protocol at most.
const PAGE_SIZE: usize = 500;

/// Pause after a page that was refused.
const RETRY_MS: u64 = 500;

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

fn page_count(machines: usize) -> usize {
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

/// Reads pages of the machine list as far as the cloud's limit lets it, and takes over a list
/// that is complete.
pub(super) async fn read(controller: &Rc<Controller>, state: &mut AutoscalerState) {
    let requests_per_s = controller.platform.settings.cloud.rps;
    let machines = loop {
        let now = controller.now();
        if !state.rate_limiter.try_acquire(now, 0.0) {
            return;
        }
        let after = state.list_reader.next_page_after(now, requests_per_s);
        let Some(page) = fetch_page(controller, after).await else {
            state.next_list_at = controller.now().plus(RETRY_MS);
            return;
        };
        if let Some(machines) = state.list_reader.add_page(page) {
            break machines;
        }
    };
    let now = controller.now();
    let interval_ms = list_interval_ms(requests_per_s, page_count(machines.len()));
    state.next_list_at = now.plus(interval_ms);
    state.list_complete = true;
    learn_machines(controller, &machines, now);
    state.listed = machines
        .into_iter()
        .map(|listed| (listed.name.clone(), listed))
        .collect();
    let listed = &state.listed;
    // The list lags behind: a deleted machine may leave it and show up once more.
    state
        .deletion_requested_at
        .retain(|name, at| listed.contains_key(name) || now.since(*at) < STALE_MS);
}

/// Adds listed machines to the view, and addresses that it lacks.
fn learn_machines(controller: &Controller, machines: &[ListedMachine], now: MonotonicMillis) {
    let mut cluster = controller.cluster.borrow_mut();
    for listed in machines {
        let machine_index = cluster.learn_machine(
            &listed.name,
            &listed.machine_type,
            &listed.zone,
            listed.spot,
            now,
        );
        let machine = machine_index.and_then(|index| cluster.machine_mut(index));
        if let Some(machine) = machine.filter(|machine| machine.addr.is_empty()) {
            machine.addr.clone_from(&listed.addr);
        }
    }
}

/// One page; `None`, with a log line, if the cloud does not serve it.
async fn fetch_page(controller: &Controller, after: &str) -> Option<MachineListPage> {
    let path = format!("/hosts?from={after}&most={PAGE_SIZE}");
    let answer = controller
        .cloud
        .call(Method::Get, &path, Vec::new(), CLOUD_TIMEOUT_MS)
        .await;
    match answer {
        Ok(answer) if answer.status == 200 => {
            controller.availability.record(ExternalService::Cloud, true);
            let page = rmp_serde::from_slice(&answer.body);
            page.inspect_err(|e| log::debug!("machine list unreadable: error={e}"))
                .ok()
        }
        Ok(answer) => {
            log::debug!("machine list refused: status={}", answer.status);
            // 429 is our own haste, not the cloud's trouble.
            controller
                .availability
                .record(ExternalService::Cloud, answer.status == 429);
            None
        }
        Err(e) => {
            log::debug!("machine list not read: error={e}");
            controller
                .availability
                .record(ExternalService::Cloud, false);
            controller.cloud.reset();
            None
        }
    }
}
