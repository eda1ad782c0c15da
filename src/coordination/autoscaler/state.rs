//! What the owner of the autoscaler's shard remembers between rounds, and what its rounds share.
//!
//! `autoscaler` creates it when ownership begins; the steps of a round read and change it.

use super::machine_list::MachineListReader;
use super::supply::Pool;
use crate::coordination::rate_limiter::RateLimiter;
use crate::protocol::cloud::ListedMachine;
use crate::state::names::MachineIndex;
use crate::state::units::MonotonicMillis;
use standby::ids::FencingToken;
use std::collections::{HashMap, HashSet};

/// Time for an answer of the cloud.
pub(super) const CLOUD_TIMEOUT_MS: u64 = 3000;

/// How long a pool that lacked machines is left alone.
pub(super) struct Backoff {
    pub(super) until: MonotonicMillis,
    pub(super) delay_ms: u64,
}

/// What the owner remembers between rounds; lost at a change of owner, which only costs time.
pub(super) struct AutoscalerState {
    pub(super) fencing_token: FencingToken,
    pub(super) owner_since: MonotonicMillis,
    pub(super) rate_limiter: RateLimiter,
    pub(super) list_reader: MachineListReader,
    /// The last complete list, by name.
    pub(super) listed: HashMap<String, ListedMachine>,
    /// This owner has read a complete list.
    pub(super) list_complete: bool,
    pub(super) next_list_at: MonotonicMillis,
    /// Pools that lately had fewer machines than were asked for.
    pub(super) backoffs: HashMap<Pool, Backoff>,
    /// Requests made by this owner, for their names.
    pub(super) request_count: u64,
    /// When each request on record was last sent or first seen.
    pub(super) requested_at: HashMap<String, MonotonicMillis>,
    /// When the deletion of a machine was last requested.
    pub(super) deletion_requested_at: HashMap<String, MonotonicMillis>,
    /// The last round had machines to delete.
    pub(super) scale_in_pending: bool,
    /// Machines that waiting or expected tasks need, by the last plan.
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
