//! Keeps the cached state close to the records of the key-value store.
//!
//! The background task [`run`] reads all records once and watches for changes from then on;
//! `fresh_reads` calls `watch_once` for those who need the newest state. Invariant: the cached
//! state is that of one revision, which only grows.

use crate::coordination::controller::Controller;
use crate::protocol::kv::{Changes, CommitResponse, Event, Page};
use crate::state::cluster_state::ROOT;
use crate::state::units::MonotonicMillis;
use crate::transport::http::{jittered, ClientResponse};
use crate::transport::{pause, TransportError};
use http_types::Method;
use std::collections::HashSet;
use std::rc::Rc;

/// Longest wait of a watch for a change.
const WATCH_MS: u64 = 5000;
/// Wait after a watch or a read that failed.
const RETRY_MS: u64 = 300;
/// Age of the cached state from which on a controller asks first how many changes it has missed.
const STALE_AFTER_MS: u64 = 20_000;
/// Changes that may be read by a watch; after more, all records are read by pages.
const MAX_MISSED_CHANGES: u64 = 2000;
/// Records in a page.
const PAGE_RECORDS: usize = 500;
/// Status of an answer with changes.
const CHANGES: u16 = 200;
/// Status of a watch from a revision whose changes the store no longer has.
const COMPACTED: u16 = 410;

/// Background task: reads all records, then watches them.
pub async fn run(controller: Rc<Controller>) {
    loop {
        let loaded = controller.cluster.borrow().loaded;
        let up_to_date = if loaded {
            watch_once(&controller, WATCH_MS).await
        } else {
            read_all_records(&controller).await
        };
        if !up_to_date {
            pause(jittered(RETRY_MS)).await;
        }
    }
}

/// True if the cached state was current so long ago that much may have been missed.
pub fn watch_is_stale(updated_at: Option<MonotonicMillis>, now: MonotonicMillis) -> bool {
    updated_at.is_some_and(|updated_at| now.since(updated_at) > STALE_AFTER_MS)
}

/// One watch; false if it did not bring the cached state up to date.
pub(super) async fn watch_once(controller: &Controller, wait_ms: u64) -> bool {
    // An answer to a watch has no size limit: all that was missed in a long partition could be more
    // than this process may hold, while pages are small.
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
    let Ok(answer) = call_watch(controller, from, wait_ms).await else {
        controller.kv.reset_watches();
        return false;
    };
    match answer.status {
        CHANGES => apply_changes(controller, from, began, &answer),
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
    let path = format!("/watch?prefix={ROOT}&from={from}&wait_ms={wait_ms}");
    if wait_ms == 0 {
        controller.kv.call(Method::Get, &path, Vec::new()).await
    } else {
        controller.kv.call_watch(&path, wait_ms).await
    }
}

/// Applies the changes that a watch begun at `began` has brought; false if they can't be read.
fn apply_changes(
    controller: &Controller,
    from: u64,
    began: MonotonicMillis,
    answer: &ClientResponse,
) -> bool {
    let Ok(changes) = rmp_serde::from_slice::<Changes>(&answer.body) else {
        log::warn!("unreadable answer to a watch: revision={from}");
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

/// True for changes of controllers and shards.
fn affects_membership(event: &Event) -> bool {
    let key = event.set.as_ref().or(event.remove.as_ref());
    let kind = key.and_then(|key| key.strip_prefix(ROOT)?.split_once('/'));
    matches!(kind, Some(("node" | "shard", _)))
}

/// How many changes the cached state lacks; `None` if the store can't be asked.
async fn missed_changes(controller: &Controller) -> Option<u64> {
    // A key that never exists: the answer is nothing but the revision.
    let path = format!("/keys/{ROOT}none");
    let answer = controller.kv.call(Method::Get, &path, Vec::new()).await;
    let newest = rmp_serde::from_slice::<CommitResponse>(&answer.ok()?.body).ok()?;
    let revision = controller.cluster.borrow().revision;
    Some(newest.revision.saturating_sub(revision))
}

/// Reads all records by pages; false if one could not be read.
///
/// The state is then that of the first page's revision: a watch from there repeats what later pages
/// may have shown already.
async fn read_all_records(controller: &Controller) -> bool {
    let began = controller.now();
    let mut fleeting = HashSet::new();
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
            .apply_page(&page.entries, &mut fleeting);
        match page.entries.last() {
            Some(last) if page.more => after = Some(last.key.clone()),
            _ => break,
        }
    }
    let mut cluster = controller.cluster.borrow_mut();
    cluster.finish_full_read(&fleeting, revision.unwrap_or(0));
    cluster.cancellation_watermark.record_read(began);
    controller.view_updated_at.set(Some(controller.now()));
    log::info!(
        "records read: records={records} open_jobs={} revision={}",
        cluster.active.len(),
        cluster.revision
    );
    true
}

/// One page of records in key order, from the key `after` on.
async fn read_page(controller: &Controller, after: Option<&str>) -> Option<Page> {
    let from = after.map_or(String::new(), |key| format!("&from={key}"));
    let path = format!("/keys?prefix={ROOT}&most={PAGE_RECORDS}{from}");
    let answer = controller.kv.call(Method::Get, &path, Vec::new()).await;
    rmp_serde::from_slice(&answer.ok()?.body).ok()
}
