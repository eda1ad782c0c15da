//! Keeps the cached state up to date with the records in the key-value store.
//!
//! The background task [`run`] reads all records once and then watches for changes; `fresh_reads`
//! calls `watch_once` for callers that need the newest state. Invariant: the cached state is that
//! of one revision, which never decreases.

use crate::coordination::controller::Controller;
use crate::protocol::kv::{Changes, CommitResponse, Event, Page};
use crate::state::cluster_state::KEY_PREFIX;
use crate::state::units::MonotonicMillis;
use crate::transport::http::{jittered, ClientResponse};
use crate::transport::{sleep, TransportError};
use http_types::Method;
use std::collections::HashSet;
use std::rc::Rc;

/// Longest time that the store waits for a change before it responds to a watch.
const WATCH_WAIT_MS: u64 = 5000;
/// Delay after a failed watch or read, before jitter.
const RETRY_DELAY_MS: u64 = 300;
/// Age of the cached state above which a controller first queries how many changes it has missed.
const STALE_AFTER_MS: u64 = 20_000;
/// Largest number of missed changes that is read by a watch; if there are more, all records are
/// read in pages.
const MAX_MISSED_CHANGES: u64 = 2000;
/// Maximum number of records per page.
const RECORDS_PER_PAGE: usize = 500;
/// HTTP status of a watch response with changes.
const CHANGES: u16 = 200;
/// HTTP status of a watch from a revision whose changes the store has discarded.
const COMPACTED: u16 = 410;

/// Background task: reads all records, then watches for changes.
pub async fn run(controller: Rc<Controller>) {
    loop {
        let loaded = controller.cluster.borrow().loaded;
        let up_to_date = if loaded {
            watch_once(&controller, WATCH_WAIT_MS).await
        } else {
            read_all_records(&controller).await
        };
        if !up_to_date {
            sleep(jittered(RETRY_DELAY_MS)).await;
        }
    }
}

/// True if the cached state was last up to date so long ago that many changes may be missing.
pub fn watch_is_stale(updated_at: Option<MonotonicMillis>, now: MonotonicMillis) -> bool {
    updated_at.is_some_and(|updated_at| now.since(updated_at) > STALE_AFTER_MS)
}

/// Executes one watch, or a full read if too many changes are missing; false if the cached state is
/// not up to date afterwards.
pub(super) async fn watch_once(controller: &Controller, wait_ms: u64) -> bool {
    // A watch response has no size limit. All changes missed during a long network partition could
    // exceed this process's memory limit, while pages are small.
    if watch_is_stale(controller.view_updated_at.get(), controller.now()) {
        match missed_changes(controller).await {
            Some(missed) if missed > MAX_MISSED_CHANGES => {
                return read_all_records(controller).await
            }
            Some(_) => {}
            None => return false,
        }
    }
    let began = controller.now();
    let from = controller.cluster.borrow().revision;
    let Ok(response) = call_watch(controller, from, wait_ms).await else {
        controller.kv.reset_watches();
        return false;
    };
    match response.status {
        CHANGES => apply_changes(controller, from, began, &response),
        COMPACTED => {
            log::warn!("watch revision compacted, reading all records: revision={from}");
            read_all_records(controller).await
        }
        _ => false,
    }
}

async fn call_watch(
    controller: &Controller,
    from: u64,
    wait_ms: u64,
) -> Result<ClientResponse, TransportError> {
    let path = format!("/watch?prefix={KEY_PREFIX}&from={from}&wait_ms={wait_ms}");
    if wait_ms == 0 {
        controller.kv.call(Method::Get, &path, Vec::new()).await
    } else {
        controller.kv.call_watch(&path, wait_ms).await
    }
}

/// Applies the changes in the response to a watch that began at `began`; false if the response is
/// malformed.
fn apply_changes(
    controller: &Controller,
    from: u64,
    began: MonotonicMillis,
    response: &ClientResponse,
) -> bool {
    let Ok(changes) = rmp_serde::from_slice::<Changes>(&response.body) else {
        log::warn!("malformed watch response: revision={from}");
        return false;
    };
    {
        let mut cluster = controller.cluster.borrow_mut();
        cluster.apply_changes(from, changes.revision, &changes.events);
        cluster.cancellation_watermark.record_read(began);
    }
    if changes.events.iter().any(affects_membership) {
        controller.membership.notify();
    }
    controller.view_updated_at.set(Some(controller.now()));
    if !changes.events.is_empty() {
        controller.scheduling.notify();
    }
    true
}

/// True for a change of a controller's or shard's record.
fn affects_membership(event: &Event) -> bool {
    let key = event.set.as_ref().or(event.remove.as_ref());
    let kind = key.and_then(|key| key.strip_prefix(KEY_PREFIX)?.split_once('/'));
    matches!(kind, Some(("node" | "shard", _)))
}

/// Number of changes that the cached state lacks; `None` if the store does not respond.
async fn missed_changes(controller: &Controller) -> Option<u64> {
    // This key never exists, so the response has only the store's current revision.
    let path = format!("/keys/{KEY_PREFIX}none");
    let response = controller.kv.call(Method::Get, &path, Vec::new()).await;
    let newest = rmp_serde::from_slice::<CommitResponse>(&response.ok()?.body).ok()?;
    let revision = controller.cluster.borrow().revision;
    Some(newest.revision.saturating_sub(revision))
}

/// Reads all records in pages; false if a page could not be read.
///
/// The cached state then gets the revision of the first page. A watch from that revision repeats
/// changes that later pages may already include.
async fn read_all_records(controller: &Controller) -> bool {
    let began = controller.now();
    let mut deletable_keys = HashSet::new();
    let mut records = 0;
    let mut revision = None;
    let mut after = None;
    loop {
        let Some(page) = read_page(controller, after.as_deref()).await else {
            return false;
        };
        revision.get_or_insert(page.revision);
        records += page.entries.len();
        controller
            .cluster
            .borrow_mut()
            .apply_page(&page.entries, &mut deletable_keys);
        match page.entries.last() {
            Some(last) if page.more => after = Some(last.key.clone()),
            _ => break,
        }
    }
    let mut cluster = controller.cluster.borrow_mut();
    cluster.finish_full_read(&deletable_keys, revision.unwrap_or(0));
    cluster.cancellation_watermark.record_read(began);
    controller.view_updated_at.set(Some(controller.now()));
    log::info!(
        "records read: records={records} open_jobs={} revision={}",
        cluster.active.len(),
        cluster.revision
    );
    true
}

/// Reads one page of records in key order, after the key `after`; `None` if the read fails.
async fn read_page(controller: &Controller, after: Option<&str>) -> Option<Page> {
    let from = after.map_or(String::new(), |key| format!("&from={key}"));
    let path = format!("/keys?prefix={KEY_PREFIX}&most={RECORDS_PER_PAGE}{from}");
    let response = controller.kv.call(Method::Get, &path, Vec::new()).await;
    rmp_serde::from_slice(&response.ok()?.body).ok()
}
