//! Upper bound of the duration of a failover, from the settings of a deployment.

use crate::settings::WorkerSettings;
use crate::state::units::millis_from_seconds;
use standby::failover_bound::FailoverBound;

/// Maximum delay with which the key-value store expires a lease.
const LEASE_EXPIRY_DELAY_MS: u64 = 100;
/// Time for a notification of the key-value store and the round of the background task that
/// handles it.
const DETECTION_MS: u64 = 500;
/// Time for a transaction and its answer.
const FENCE_MS: u64 = 1500;
/// Time for a notification of the key-value store.
const CATCH_UP_MS: u64 = 500;
/// Time until a reachable worker sends a heartbeat with the new fencing token: it receives the
/// token by a direct command and sends a heartbeat half a second later.
const FIRST_HEARTBEAT_MS: u64 = 2000;
/// The same time if the lost controller hangs: a heartbeat sent to it times out after 4 s, the
/// worker tries the next controller 1 s later, and is redirected from there within half a second.
const FIRST_HEARTBEAT_AFTER_HANG_MS: u64 = 5500;

/// Lease of a controller's membership key, ms. The other controllers consider a controller dead
/// once it has not renewed its key for this time.
///
/// The lease is four tenths of the workers' lease, so that a new owner reaches the workers before
/// their leases expire.
pub fn membership_lease_ms(workers_lease_ms: u64) -> u64 {
    (workers_lease_ms * 4 / 10).clamp(3000, 5000)
}

/// Upper bound of the duration of a failover with these settings of workers.
pub fn bound(workers: &WorkerSettings) -> FailoverBound {
    let lease_ms = membership_lease_ms(millis_from_seconds(workers.lease_s));
    FailoverBound {
        lease_ms: lease_ms + LEASE_EXPIRY_DELAY_MS,
        detection_ms: DETECTION_MS,
        fence_ms: FENCE_MS,
        catch_up_ms: CATCH_UP_MS,
        first_heartbeat_ms: FIRST_HEARTBEAT_MS,
        first_heartbeat_after_hang_ms: FIRST_HEARTBEAT_AFTER_HANG_MS,
    }
}
