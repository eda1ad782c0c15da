//! The cloud's list of machines, read page by page.

use super::{AutoscalerState, CALL_MS};
use crate::coordination::controller::{Controller, ExternalService};
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
const PAGE: usize = 500;

/// Time from one list of machines to the next: a large one takes no more than its part of the
/// cloud's limit, so that renting and returning have the rest.
pub fn list_every_ms(rps: f64, pages: usize) -> u64 {
    let least = ((4000.0 / rps) as u64).clamp(1500, 4000);
    least.max(read_ms(rps, pages))
}

/// Time that reading so many pages takes at the list's part of the cloud's limit.
fn read_ms(rps: f64, pages: usize) -> u64 {
    (pages as f64 * 1000.0 / (rps * LIST_PART)) as u64
}

/// A machine list that is read page by page. What was read stays when a page is refused, and
/// the next turn goes on from there.
#[derive(Default)]
pub struct Pages {
    list: Vec<ListedMachine>,
    since: Option<MonotonicMillis>,
}

impl Pages {
    /// The name after which the next page begins; a list that took too long is begun anew.
    ///
    /// The time allowed grows with what was read: a fixed one would begin the list of a large
    /// fleet anew for ever where the cloud serves few requests a second.
    pub fn next(&mut self, now: MonotonicMillis, rps: f64) -> &str {
        let pages = self.list.len() / PAGE + 1;
        let stale_ms = STALE_MS.max(STALE_READS * read_ms(rps, pages));
        if self.since.is_some_and(|t| now.since(t) >= stale_ms) {
            *self = Pages::default();
        }
        self.since.get_or_insert(now);
        self.list.last().map_or("", |h| h.name.as_str())
    }
    /// Takes a page; the whole list if it was the last.
    pub fn take(&mut self, page: MachineListPage) -> Option<Vec<ListedMachine>> {
        let more = page.more && !page.hosts.is_empty();
        self.list.extend(page.hosts);
        (!more).then(|| std::mem::take(self).list)
    }
}

/// Reads pages of the machine list as far as the cloud's limit lets it.
pub(super) async fn read_list(controller: &Rc<Controller>, duty: &mut AutoscalerState) {
    let rps = controller.platform.settings.cloud.rps;
    let list = loop {
        let now = controller.now();
        if !duty.rate_limiter.take(now, 0.0) {
            return;
        }
        let Some(page) = read_page(controller, duty.pages.next(now, rps)).await else {
            duty.list_due = controller.now().plus(500);
            return;
        };
        if let Some(list) = duty.pages.take(page) {
            break list;
        }
    };
    let now = controller.now();
    let pages = list.len() / PAGE + 1;
    duty.list_due = now.plus(list_every_ms(rps, pages));
    duty.listed_at = Some(now);
    let mut cluster = controller.cluster.borrow_mut();
    for h in &list {
        if let Some(machine_index) =
            cluster.learn_machine(&h.name, &h.machine_type, &h.zone, h.spot, now)
        {
            if let Some(m) = cluster
                .machine_mut(machine_index)
                .filter(|m| m.addr.is_empty())
            {
                m.addr.clone_from(&h.addr);
            }
        }
    }
    duty.listed = list.into_iter().map(|h| (h.name.clone(), h)).collect();
    duty.released
        .retain(|n, t| duty.listed.contains_key(n) || now.since(*t) < STALE_MS);
}

async fn read_page(controller: &Rc<Controller>, from: &str) -> Option<MachineListPage> {
    let path = format!("/hosts?from={from}&most={PAGE}");
    let answer = controller
        .cloud
        .call(Method::Get, &path, Vec::new(), CALL_MS);
    match answer.await {
        Ok(f) if f.status == 200 => {
            controller.record_availability(ExternalService::Cloud, true);
            rmp_serde::from_slice(&f.body).ok()
        }
        Ok(f) => {
            log::debug!("machine list refused with {}", f.status);
            // 429 is our own haste, not the cloud's trouble.
            controller.record_availability(ExternalService::Cloud, f.status == 429);
            None
        }
        Err(e) => {
            log::debug!("machine list: {e}");
            controller.record_availability(ExternalService::Cloud, false);
            controller.cloud.reset();
            None
        }
    }
}
