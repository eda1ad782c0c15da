//! Membership: the leased key of this controller, and the ownership of shards.
//!
//! The background task here renews the key's lease and moves shards, once a second and whenever the
//! records of controllers or shards change. The submodules contain the steps of a round: `lease`
//! maintains the key, `record_format` switches to the second record format, `view` holds the
//! observations of a controller that are not in the records, `assignment` decides (pure),
//! `transfer` commits.
//!
//! Invariant: the owner of a shard changes only by a transaction that is conditional on the shard's
//! record and on the keys of both controllers, and that raises the shard's fencing token. If two
//! controllers with different views both attempt such a change, only one of them succeeds.

mod assignment;
mod lease;
mod record_format;
mod transfer;
mod view;

pub use assignment::{standby_of, Assignment};
pub use record_format::begin_record_format_v2;
pub use transfer::{move_transaction, ShardMove};
pub use view::{MembershipView, StandbyRule};

use crate::coordination::controller::availability::ExternalService;
use crate::coordination::controller::Controller;
use crate::coordination::failover;
use crate::state::names::ZoneIndex;
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum time between two rounds. Changes of controllers and shards start a round earlier.
const TICK_MS: u64 = 1000;
/// Delay before the next round after one that failed.
const RETRY_MS: u64 = 300;
/// Age at which the lease is renewed: slightly less than a tick, so that each tick renews it.
const LEASE_RENEWAL_MS: u64 = 900;
/// Minimum time between two raises of fencing tokens because of in-flight starts.
const TOKEN_RAISE_INTERVAL_MS: u64 = 5000;

/// State of the background task, kept between rounds.
struct Membership {
    zones: BTreeMap<String, ZoneIndex>,
    lease_ttl_ms: u64,
    lease: Option<lease::LeaseId>,
    lease_renewed_at: MonotonicMillis,
    tokens_raised_at: MonotonicMillis,
    view: MembershipView,
}

/// Background task: renews this controller's key and moves shards.
pub async fn run(controller: Rc<Controller>) {
    let mut membership = Membership::new(&controller);
    loop {
        let now = controller.now();
        let lease_kept = membership.keep_lease(&controller, now).await;
        record_format::try_begin_record_format_v2(&controller).await;
        let moves = membership.plan_moves(&controller, now);
        let moves_done = transfer::execute_moves(&controller, moves).await;
        view::record_owned_shards(&controller);
        failover::observe_shards(&controller);
        controller
            .availability
            .record(ExternalService::KeyValueStore, controller.kv.is_reachable());
        if lease_kept && moves_done {
            controller.tick(TICK_MS, Some(&controller.membership)).await;
        } else {
            controller.sleep(RETRY_MS).await;
        }
    }
}

impl Membership {
    fn new(controller: &Controller) -> Membership {
        let zones = controller_zones(controller);
        let standby = controller.features.standby().map(|settings| StandbyRule {
            zones: zones.clone(),
            prefer_other_zone: settings.prefer_other_zone,
            settle_ms: settings.settle_ms,
        });
        let workers_lease_ms = millis_from_seconds(controller.platform.settings.workers.lease_s);
        Membership {
            zones,
            lease_ttl_ms: failover::membership_lease_ms(workers_lease_ms),
            lease: None,
            lease_renewed_at: MonotonicMillis(0),
            tokens_raised_at: MonotonicMillis(0),
            view: MembershipView {
                standby,
                ..MembershipView::default()
            },
        }
    }

    /// Renews the lease when it is due; false if no lease is held afterwards, or the records have
    /// not been loaded yet.
    async fn keep_lease(&mut self, controller: &Rc<Controller>, now: MonotonicMillis) -> bool {
        if !controller.cluster.borrow().loaded {
            return false;
        }
        let is_due = self.lease.is_none() || now.since(self.lease_renewed_at) >= LEASE_RENEWAL_MS;
        if is_due {
            self.lease = lease::renew_lease(controller, self.lease, self.lease_ttl_ms).await;
            self.lease_renewed_at = now;
        }
        self.lease.is_some()
    }

    /// Updates the view, chooses the standbys, and decides which shards to move.
    fn plan_moves(&mut self, controller: &Controller, now: MonotonicMillis) -> Vec<ShardMove> {
        let may_raise_tokens = now.since(self.tokens_raised_at) >= TOKEN_RAISE_INTERVAL_MS;
        if may_raise_tokens {
            self.tokens_raised_at = now;
        }
        self.view.unreachable_from_workers = view::unreachable_from_workers(controller);
        self.view
            .owned_since
            .clone_from(&controller.owned_since.borrow());
        let cluster = controller.cluster.borrow();
        self.view.update(&cluster, now);
        failover::record_standbys(controller, assignment::standbys(&cluster, &self.view, now));
        if !lease::is_registered(controller, &cluster) {
            // A move to this controller is conditional on its key.
            return Vec::new();
        }
        let assignment = Assignment {
            cluster: &cluster,
            config: &controller.config,
            zones: &self.zones,
            view: &self.view,
            may_raise_tokens,
            now,
        };
        assignment.moves()
    }
}

/// Zone of each controller of the deployment, without controllers whose zone is not one of the
/// settings' zones.
fn controller_zones(controller: &Controller) -> BTreeMap<String, ZoneIndex> {
    let cluster = controller.cluster.borrow();
    let platform = &controller.platform;
    let this_controller = (platform.name.as_str(), platform.zone.as_str());
    let peers = platform
        .peers
        .iter()
        .map(|peer| (peer.name.as_str(), peer.zone.as_str()));
    peers
        .chain(std::iter::once(this_controller))
        .filter_map(|(name, zone)| Some((name.to_string(), cluster.zone_names.find(zone)?)))
        .collect()
}
