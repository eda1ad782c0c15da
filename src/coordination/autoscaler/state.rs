//! In-memory state of the owner of the autoscaler's shard, kept between rounds.
//!
//! `autoscaler` creates it when this controller acquires the shard; the steps of each round read
//! and update it.

use super::machine_list::MachineListReader;
use super::supply::Pool;
use crate::coordination::rate_limiter::RateLimiter;
use crate::protocol::cloud::ListedMachine;
use crate::state::names::MachineIndex;
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;
use std::collections::{HashMap, HashSet};

/// Timeout of a request to the cloud, ms.
pub(super) const CLOUD_TIMEOUT_MS: u64 = 3000;

/// Backoff of a pool that had too few machines; no machine is requested from the pool until the
/// backoff ends.
pub(super) struct Backoff {
    pub(super) until: MonotonicMillis,
    /// Length of this backoff, ms; the pool's next backoff is twice as long.
    pub(super) delay_ms: u64,
}

/// In-memory state of the shard's owner. The state is lost at a change of owner, which only delays
/// decisions.
pub(super) struct AutoscalerState {
    pub(super) fencing_token: FencingToken,
    pub(super) owner_since: MonotonicMillis,
    pub(super) rate_limiter: RateLimiter,
    pub(super) list_reader: MachineListReader,
    /// Machines of the last complete list, by name.
    pub(super) listed: HashMap<String, ListedMachine>,
    /// True once this owner has read a complete machine list.
    pub(super) list_complete: bool,
    pub(super) next_list_at: MonotonicMillis,
    /// Backoffs of pools that had fewer machines than requested, including expired backoffs.
    pub(super) backoffs: HashMap<Pool, Backoff>,
    /// Number of provisioning requests made by this owner; part of each request's name.
    pub(super) request_count: u64,
    /// When this owner last sent each recorded request, or first saw it if it never sent it.
    pub(super) requested_at: HashMap<String, MonotonicMillis>,
    /// When the deletion of each machine was last requested, by name.
    pub(super) deletion_requested_at: HashMap<String, MonotonicMillis>,
    /// True if the last round planned machines to delete.
    pub(super) scale_in_pending: bool,
    /// Machines that waiting or expected tasks need according to the last scale-out plan.
    pub(super) needed_machines: HashSet<MachineIndex>,
}

impl AutoscalerState {
    pub(super) fn new(
        requests_per_s: f64,
        fencing_token: FencingToken,
        owner_since: MonotonicMillis,
    ) -> AutoscalerState {
        AutoscalerState {
            fencing_token,
            owner_since,
            rate_limiter: RateLimiter::new(requests_per_s),
            list_reader: MachineListReader::default(),
            listed: HashMap::new(),
            list_complete: false,
            next_list_at: MonotonicMillis(0),
            backoffs: HashMap::new(),
            request_count: 0,
            requested_at: HashMap::new(),
            deletion_requested_at: HashMap::new(),
            scale_in_pending: false,
            needed_machines: HashSet::new(),
        }
    }
}
