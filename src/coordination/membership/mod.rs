//! Membership: this controller's leased key, and who owns which shard.
//!
//! The background task here keeps the key alive and moves shards, one look a second or at once when
//! the records of controllers and shards change. What it does in a round stands in the files beside
//! it: `lease` keeps the key, `record_format` begins the second format of records, `view` is
//! what a controller knows beside the records, `assignment` decides (pure), `transfer` commits.
//!
//! Invariant: a shard changes its owner only by a transaction that is conditional on the shard's
//! record and on the keys of both controllers, and raises the shard's fencing token. So two
//! controllers with different views can both try, and one of them succeeds.

mod assignment;
mod lease;
mod record_format;
mod transfer;
mod view;

pub use assignment::{standby_of, Assignment};
pub use record_format::begin_record_format_v2;
pub use transfer::{move_transaction, Move};
pub use view::{MembershipView, StandbyRule};

use crate::coordination::controller::availability::ExternalService;
use crate::coordination::controller::Controller;
use crate::coordination::failover;
use crate::state::names::ZoneIndex;
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Longest time between two rounds; changes of controllers and shards notify.
const TICK_MS: u64 = 1000;
/// Time after which a round that failed is tried again.
const RETRY_MS: u64 = 300;
/// Age at which the lease is renewed: a little under a tick, so that no renewal is skipped.
const LEASE_RENEWAL_MS: u64 = 900;
/// Least time between rises of fencing tokens for in-flight starts.
const TOKEN_RAISE_INTERVAL_MS: u64 = 5000;

/// What the background task remembers from round to round.
struct Membership {
    zones: BTreeMap<String, ZoneIndex>,
    lease_ttl_ms: u64,
    lease: Option<lease::LeaseId>,
    lease_renewed_at: MonotonicMillis,
    tokens_raised_at: MonotonicMillis,
    view: MembershipView,
}

/// Background task: keeps this controller's key and its shards.
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
            controller.pause(RETRY_MS).await;
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

    /// Renews the lease when it is due; false if there is none, or nothing is loaded yet.
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

    /// Brings the view up to date, chooses standbys, and decides on shards.
    fn plan_moves(&mut self, controller: &Controller, now: MonotonicMillis) -> Vec<Move> {
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
            // Without an own key there is nothing to take shards with.
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

/// The zone of each controller of the deployment, as far as it is one of the settings' zones.
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
