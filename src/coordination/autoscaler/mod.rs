//! Renting and returning machines: one duty with one fenced owner.

use crate::coordination::controller::Node;
use crate::coordination::kv::{set, Outcome};
use crate::coordination::rate_limiter::RateLimiter;
use crate::protocol::cloud::{Flavors, Listed};
use crate::protocol::kv::{Condition, Transaction};
use crate::state::cluster_state::ROOT;
use crate::state::names::MachineIx;
use crate::state::units::{ms_of, Ms};
use http_types::Method;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

mod demand;
mod machine_list;
mod provisioning;
mod scale_in;

use machine_list::read_list;
use provisioning::{clear_bookings, rent, repeat_bookings};
use scale_in::release;

pub use demand::*;
pub use machine_list::*;
pub use scale_in::*;

const TICK_MS: u64 = 250;
/// Time between two looks of a node that does not own the duty; a change of owner rings.
const OTHERS_MS: u64 = 1000;

const CALL_MS: u64 = 3000;

/// Most requests side by side.
const AT_ONCE: usize = 4;

/// What the duty remembers between turns; lost at a change of owner, which only costs time.
struct RentingDuty {
    pace: RateLimiter,
    pages: Pages,
    listed: HashMap<String, Listed>,
    listed_at: Option<Ms>,
    list_due: Ms,
    backoff: HashMap<Pool, (Ms, u64)>,
    counter: u64,
    released: HashMap<String, Ms>,
    booked_at: HashMap<String, Ms>,
    /// The last turn had machines to return.
    returns_due: bool,
    owner_since: Option<Ms>,
    token: u64,
    needed: HashSet<MachineIx>,
}

impl RentingDuty {
    fn new(rps: f64, token: u64, owner_since: Option<Ms>) -> RentingDuty {
        RentingDuty {
            pace: RateLimiter::new(rps),
            pages: Pages::default(),
            listed: HashMap::new(),
            listed_at: None,
            list_due: Ms(0),
            backoff: HashMap::new(),
            counter: 0,
            released: HashMap::new(),
            booked_at: HashMap::new(),
            returns_due: false,
            owner_since,
            token,
            needed: HashSet::new(),
        }
    }
}

/// Duty: rents and returns machines while this node owns the renting shard.
pub async fn run(node: Rc<Node>) {
    let rps = node.platform.settings.cloud.rps;
    let mut duty = RentingDuty::new(rps, 0, None);
    loop {
        let idle = duty.owner_since.is_none() && {
            let cluster = node.cluster.borrow();
            cluster.loaded && !cluster.machine_types.is_empty() && cluster.flavors_version > 0
        };
        if idle {
            node.beat(OTHERS_MS, Some(&node.rent)).await;
        } else {
            node.pause(TICK_MS).await;
        }
        if !node.cluster.borrow().loaded {
            continue;
        }
        learn_flavors(&node).await;
        // Not before its predecessor's rentals are known: they would be made once more.
        let token = {
            let permits = node.permits();
            let cluster = node.cluster.borrow();
            let permit = node.config.permit(&cluster, &permits, cluster.renting());
            permit.map(|permit| permit.token().0)
        };
        let Some(token) = token else {
            duty.owner_since = None;
            continue;
        };
        let now = node.now();
        if duty.owner_since.is_none() || duty.token != token {
            duty = RentingDuty::new(rps, token, Some(now));
        }
        turn(&node, &mut duty).await;
    }
}

/// Machine types: from the state service, or from the cloud, then shared through the state service.
async fn learn_flavors(node: &Rc<Node>) {
    let (known, version) = {
        let cluster = node.cluster.borrow();
        (!cluster.machine_types.is_empty(), cluster.flavors_version)
    };
    if known && version > 0 {
        return;
    }
    let Ok(f) = node
        .cloud
        .call(Method::Get, "/flavors", Vec::new(), CALL_MS)
        .await
    else {
        node.cloud.reset();
        return;
    };
    let Ok(flavors) = rmp_serde::from_slice::<Flavors>(&f.body) else {
        return;
    };
    if f.status != 200 || flavors.types.is_empty() {
        return;
    }
    node.cluster.borrow_mut().set_flavors(&flavors);
    let key = format!("{ROOT}flavors/all");
    let txn = Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version: 0,
        }],
        writes: set(key, &flavors, None).into_iter().collect(),
    };
    if let Outcome::Done(r) = node.commit(&txn).await {
        node.cluster.borrow_mut().flavors_version = r;
    } else {
        node.refreshed(1500).await;
    }
}

async fn turn(node: &Rc<Node>, duty: &mut RentingDuty) {
    if !node.store_ok() {
        // Whether the duty is still ours can't be known, and nothing could be recorded.
        return;
    }
    let s = &node.platform.settings;
    let lag_ms = ms_of(s.cloud.list_lag_s);
    let now = node.now();
    if now >= duty.list_due {
        read_list(node, duty).await;
    }
    repeat_bookings(node, duty).await;
    clear_bookings(node, duty, lag_ms).await;
    rent(node, duty).await;
    release(node, duty).await;
}
