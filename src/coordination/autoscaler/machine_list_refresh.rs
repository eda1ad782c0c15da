//! Reads the cloud's list of machines, and applies a complete list to the cluster state.
//!
//! Each round of the autoscaler calls [`read`] if a list is due. Reading continues from round to
//! round, as fast as the cloud's rate limit allows.

use super::machine_list::{list_interval_ms, page_count, PAGE_SIZE, STALE_MS};
use super::state::{AutoscalerState, CLOUD_TIMEOUT_MS};
use crate::coordination::controller::availability::ExternalService;
use crate::coordination::controller::Controller;
use crate::protocol::cloud::{ListedMachine, MachineListPage};
use crate::state::units::MonotonicMillis;
use http_types::Method;
use std::rc::Rc;

/// Delay before a page is requested again after an error or a refusal.
const RETRY_MS: u64 = 500;

/// Reads as many pages of the machine list as the cloud's rate limit allows now. Once the list is
/// complete, adds its machines to the cluster state and replaces the previous list.
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
    // The list lags: a deleted machine may be missing from one list and be in the next one, so its
    // entry is kept for some time.
    state
        .deletion_requested_at
        .retain(|name, at| listed.contains_key(name) || now.since(*at) < STALE_MS);
}

/// Adds listed machines to the cluster state, and sets addresses that are missing there.
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

/// Fetches one page of the machine list. Logs a failure and returns `None`.
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
            page.inspect_err(|e| log::debug!("machine list page not decoded: error={e}"))
                .ok()
        }
        Ok(answer) => {
            log::debug!("machine list request refused: status={}", answer.status);
            // With status 429 the cloud is available; this controller exceeded its rate limit.
            controller
                .availability
                .record(ExternalService::Cloud, answer.status == 429);
            None
        }
        Err(e) => {
            log::debug!("machine list request failed: error={e}");
            controller
                .availability
                .record(ExternalService::Cloud, false);
            controller.cloud.close_idle();
            None
        }
    }
}
