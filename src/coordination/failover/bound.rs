//! How long a failover may take, from the times of a deployment.

use crate::settings::WorkerSettings;
use crate::state::units::millis_from_seconds;
use standby::failover_bound::FailoverBound;

/// How late the key-value store may end a lease.
const LEASE_EXPIRY_DELAY_MS: u64 = 100;
/// A notification of the key-value store and the round of the background task that takes it.
const DETECTION_MS: u64 = 500;
/// A transaction and its answer.
const FENCE_MS: u64 = 1500;
/// A notification of the key-value store.
const CATCH_UP_MS: u64 = 500;
/// A reachable worker is shown the fencing token by a direct command and sends a heartbeat half a
/// second later.
const FIRST_HEARTBEAT_MS: u64 = 2000;
/// A heartbeat that hangs at the lost controller ends after 4 s, the worker tries the next one 1 s
/// later, and is redirected from there within half a second.
const FIRST_HEARTBEAT_AFTER_HANG_MS: u64 = 5500;

/// Time after which a controller that does not renew its key is dead to the others: four tenths of
/// the workers' lease, so that their next owner finds them before it ends.
pub fn membership_lease_ms(workers_lease_ms: u64) -> u64 {
    (workers_lease_ms * 4 / 10).clamp(3000, 5000)
}

/// How long a failover may take with these times of workers.
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
