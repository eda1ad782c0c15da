//! Renting and returning machines: one duty with one fenced owner.

use crate::coordination::controller::Controller;
use crate::coordination::kv::{set, CommitOutcome};
use crate::coordination::rate_limiter::RateLimiter;
use crate::protocol::cloud::{ListedMachine, MachineTypeCatalog};
use crate::protocol::kv::{Condition, Transaction};
use crate::state::cluster_state::ROOT;
use crate::state::names::MachineIndex;
use crate::state::units::{millis_from_seconds, MonotonicMillis};
use http_types::Method;
use standby::ids::FencingToken;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

mod demand;
mod machine_list;
mod provisioning;
mod scale_in;

use machine_list::read_list;
use provisioning::{remove_completed_requests, rent, retry_provisioning};
use scale_in::release;

pub use demand::*;
pub use machine_list::*;
pub use scale_in::*;

const TICK_MS: u64 = 250;
/// Time between two looks of a node that does not own the duty; a change of owner rings.
const OTHERS_MS: u64 = 1000;

const CALL_MS: u64 = 3000;

/// Most requests side by side.
const MAX_CONCURRENT_REQUESTS: usize = 4;

/// What the duty remembers between turns; lost at a change of owner, which only costs time.
struct AutoscalerState {
    rate_limiter: RateLimiter,
    pages: Pages,
    listed: HashMap<String, ListedMachine>,
    listed_at: Option<MonotonicMillis>,
    list_due: MonotonicMillis,
    backoff: HashMap<Pool, (MonotonicMillis, u64)>,
    counter: u64,
    released: HashMap<String, MonotonicMillis>,
    requested_at: HashMap<String, MonotonicMillis>,
    /// The last turn had machines to return.
    scale_in_pending: bool,
    owner_since: Option<MonotonicMillis>,
    fencing_token: FencingToken,
    needed: HashSet<MachineIndex>,
}

impl AutoscalerState {
    fn new(rps: f64, token: FencingToken, owner_since: Option<MonotonicMillis>) -> AutoscalerState {
        AutoscalerState {
            rate_limiter: RateLimiter::new(rps),
            pages: Pages::default(),
            listed: HashMap::new(),
            listed_at: None,
            list_due: MonotonicMillis(0),
            backoff: HashMap::new(),
            counter: 0,
            released: HashMap::new(),
            requested_at: HashMap::new(),
            scale_in_pending: false,
            owner_since,
            fencing_token: token,
            needed: HashSet::new(),
        }
    }
}

/// Duty: rents and returns machines while this node owns the renting shard.
pub async fn run(controller: Rc<Controller>) {
    let rps = controller.platform.settings.cloud.rps;
    let mut duty = AutoscalerState::new(rps, FencingToken::default(), None);
    loop {
        let idle = duty.owner_since.is_none() && {
            let cluster = controller.cluster.borrow();
            cluster.loaded && !cluster.machine_types.is_empty() && cluster.machine_types_version > 0
        };
        if idle {
            controller
                .tick(OTHERS_MS, Some(&controller.autoscaling))
                .await;
        } else {
            controller.pause(TICK_MS).await;
        }
        if !controller.cluster.borrow().loaded {
            continue;
        }
        load_machine_types(&controller).await;
        // Not before its predecessor's rentals are known: they would be made once more.
        let token = {
            let permits = controller.permits();
            let cluster = controller.cluster.borrow();
            let permit = controller
                .config
                .permit(&cluster, &permits, cluster.autoscaler_shard());
            permit.map(|permit| permit.token())
        };
        let Some(token) = token else {
            duty.owner_since = None;
            continue;
        };
        let now = controller.now();
        if duty.owner_since.is_none() || duty.fencing_token != token {
            duty = AutoscalerState::new(rps, token, Some(now));
        }
        turn(&controller, &mut duty).await;
    }
}

/// Machine types: from the state service, or from the cloud, then shared through the state service.
async fn load_machine_types(controller: &Rc<Controller>) {
    let (known, version) = {
        let cluster = controller.cluster.borrow();
        (
            !cluster.machine_types.is_empty(),
            cluster.machine_types_version,
        )
    };
    if known && version > 0 {
        return;
    }
    let Ok(f) = controller
        .cloud
        .call(Method::Get, "/flavors", Vec::new(), CALL_MS)
        .await
    else {
        controller.cloud.reset();
        return;
    };
    let Ok(flavors) = rmp_serde::from_slice::<MachineTypeCatalog>(&f.body) else {
        return;
    };
    if f.status != 200 || flavors.types.is_empty() {
        return;
    }
    controller.cluster.borrow_mut().set_machine_types(&flavors);
    let key = format!("{ROOT}flavors/all");
    let txn = Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version: 0,
        }],
        writes: set(key, &flavors, None).into_iter().collect(),
    };
    if let CommitOutcome::Committed(r) = controller.commit(&txn).await {
        controller.cluster.borrow_mut().machine_types_version = r;
    } else {
        controller.refresh(1500).await;
    }
}

async fn turn(controller: &Rc<Controller>, duty: &mut AutoscalerState) {
    if !controller.kv_reachable() {
        // Whether the duty is still ours can't be known, and nothing could be recorded.
        return;
    }
    let s = &controller.platform.settings;
    let lag_ms = millis_from_seconds(s.cloud.list_lag_s);
    let now = controller.now();
    if now >= duty.list_due {
        read_list(controller, duty).await;
    }
    retry_provisioning(controller, duty).await;
    remove_completed_requests(controller, duty, lag_ms).await;
    rent(controller, duty).await;
    release(controller, duty).await;
}
