//! Fresh reads of the key-value store. Each read serves all callers that are waiting when it
//! begins.
//!
//! There is a minimum time between two reads, so that under load more callers share one read. This
//! minimum grows with the number of controllers, so that their fresh reads together leave most of
//! the store's request rate limit to watches and transactions.

use crate::coordination::controller::Controller;
use crate::coordination::kv::watch::watch_once;
use crate::state::units::MonotonicMillis;
use crate::transport::sleep;
use std::rc::Rc;

/// Timeout that callers pass to [`Controller::refresh`], including the wait for the next read.
pub const REFRESH_TIMEOUT_MS: u64 = 1500;
/// Share of the store's request rate limit that fresh reads of all controllers together may use.
const REQUEST_LIMIT_SHARE: f64 = 0.3;
/// Longest wait for a caller before the background task checks again.
const MAX_IDLE_MS: u64 = 60_000;
/// Maximum number of attempts at a read. The store refuses a read above its rate limit, but may
/// accept one a moment later.
const MAX_READ_ATTEMPTS: usize = 3;
/// Delay after a failed attempt.
const RETRY_DELAY_MS: u64 = 60;

/// Background task: executes the reads that [`Controller::refresh`] requests.
pub async fn run(controller: Rc<Controller>) {
    let interval_ms = interval_ms(&controller);
    let mut began = MonotonicMillis(0);
    loop {
        controller.fresh_reads.notified(MAX_IDLE_MS).await;
        let left_ms = interval_ms.saturating_sub(controller.now().since(began));
        if left_ms > 0 {
            sleep(left_ms).await;
        }
        began = controller.now();
        let waiters = controller.fresh_reads.take_waiters();
        if waiters.is_empty() {
            continue;
        }
        let up_to_date = read_newest_changes(&controller).await;
        for waiter in waiters {
            let _ = waiter.try_send(up_to_date);
        }
    }
}

/// Minimum time between two fresh reads of this controller.
fn interval_ms(controller: &Controller) -> u64 {
    let controllers = controller.peers.len() as f64 + 1.0;
    let requests_per_second = controller.platform.settings.kv.rps * REQUEST_LIMIT_SHARE;
    (controllers * 1000.0 / requests_per_second) as u64
}

async fn read_newest_changes(controller: &Controller) -> bool {
    for _ in 0..MAX_READ_ATTEMPTS {
        let loaded = controller.cluster.borrow().loaded;
        if loaded && watch_once(controller, 0).await {
            return true;
        }
        sleep(RETRY_DELAY_MS).await;
    }
    false
}
