//! Bookings: intents on record, requests, and what came of them.

use super::{
    plan_scale_out, requests, supply, AutoscalerState, Pool, CALL_MS, MAX_CONCURRENT_REQUESTS,
};
use crate::coordination::controller::{wall_ms, Controller};
use crate::coordination::kv::{set, CommitOutcome};
use crate::protocol::cloud::{MachineNames, ProvisioningRequest};
use crate::protocol::kv::{Condition, Transaction, Write};
use crate::state::cluster_state::{ProvisioningRecord, ROOT};
use crate::state::names::Index;
use crate::state::units::MonotonicMillis;
use http_types::Method;
use std::collections::HashSet;
use std::rc::Rc;

/// Asks once more for bookings without an answer: a repeated one rents nothing twice.
pub(super) async fn retry_provisioning(controller: &Rc<Controller>, duty: &mut AutoscalerState) {
    let now = controller.now();
    let open: Vec<(String, ProvisioningRecord)> = {
        let cluster = controller.cluster.borrow();
        cluster
            .provisioning_requests
            .iter()
            .filter(|(_, b)| b.record.machines.is_empty())
            .filter(|(n, _)| {
                duty.requested_at
                    .get(*n)
                    .is_none_or(|t| now.since(*t) > 2000)
            })
            .map(|(n, b)| (n.clone(), b.record.clone()))
            .take(MAX_CONCURRENT_REQUESTS)
            .take_while(|_| duty.rate_limiter.take(now, 0.0))
            .collect()
    };
    send_provisioning_requests(controller, duty, open).await;
}

/// Sends bookings side by side and notes together what came of them.
async fn send_provisioning_requests(
    controller: &Rc<Controller>,
    duty: &mut AutoscalerState,
    list: Vec<(String, ProvisioningRecord)>,
) {
    let mut running = Vec::new();
    for (name, rec) in list {
        duty.requested_at.insert(name.clone(), controller.now());
        let n = controller.clone();
        running.push(controller.executor.spawn(async move {
            let answer = send_provisioning_request(&n, &name, &rec).await;
            (name, rec, answer)
        }));
    }
    let mut notes: Vec<(String, Option<ProvisioningRecord>)> = Vec::new();
    for task in running {
        let (name, rec, answer) = task.await;
        notes.extend(
            apply_provisioning_response(controller, duty, &name, rec, answer).map(|r| (name, r)),
        );
    }
    commit_provisioning_records(controller, &notes).await;
}

/// Sends a booking; status and machines.
async fn send_provisioning_request(
    controller: &Rc<Controller>,
    name: &str,
    rec: &ProvisioningRecord,
) -> Option<(u16, Option<MachineNames>)> {
    let request = ProvisioningRequest {
        request_id: name.to_string(),
        machine_type: rec.machine_type.clone(),
        zone: rec.zone.clone(),
        spot: rec.spot,
        count: rec.count,
    };
    let body = rmp_serde::to_vec_named(&request).ok()?;
    match controller
        .cloud
        .call(Method::Post, "/hosts", body, CALL_MS)
        .await
    {
        Ok(f) => Some((
            f.status,
            rmp_serde::from_slice::<MachineNames>(&f.body).ok(),
        )),
        Err(e) => {
            log::warn!("booking {name}: {e}; it will be repeated");
            controller.cloud.reset();
            None
        }
    }
}

/// What the record of a booking shall be after an answer; the outer `None` leaves it as it is.
fn apply_provisioning_response(
    controller: &Rc<Controller>,
    duty: &mut AutoscalerState,
    name: &str,
    mut rec: ProvisioningRecord,
    answer: Option<(u16, Option<MachineNames>)>,
) -> Option<Option<ProvisioningRecord>> {
    let now = controller.now();
    let mut cluster = controller.cluster.borrow_mut();
    let pool = Pool {
        machine_type: cluster.machine_type_names.intern(&rec.machine_type),
        zone: cluster.zone_names.find(&rec.zone)?,
        spot: rec.spot,
    };
    match answer? {
        (200, Some(h)) => {
            log::info!(
                "rented {} of {} {} in {} (spot: {})",
                h.hosts.len(),
                rec.count,
                rec.machine_type,
                rec.zone,
                rec.spot
            );
            if (h.hosts.len() as u32) < rec.count {
                back_off(duty, pool, now);
            } else {
                duty.backoff.remove(&pool);
            }
            for n in &h.hosts {
                cluster.learn_machine(n, &rec.machine_type, &rec.zone, rec.spot, now);
            }
            rec.machines = h.hosts;
            Some((!rec.machines.is_empty()).then_some(rec))
        }
        (503, _) => {
            log::info!(
                "no {} in {} (spot: {})",
                rec.machine_type,
                rec.zone,
                rec.spot
            );
            back_off(duty, pool, now);
            Some(None)
        }
        (429, _) => None,
        (s, _) => {
            log::warn!("booking {name} answered with {s}");
            Some(None)
        }
    }
}

fn back_off(duty: &mut AutoscalerState, pool: Pool, now: MonotonicMillis) {
    let entry = duty.backoff.entry(pool).or_insert((now, 3000));
    entry.1 = (entry.1 * 2).min(20_000);
    entry.0 = now.plus(entry.1);
}

/// Writes or removes bookings, as long as this node owns the duty.
async fn commit_provisioning_records(
    controller: &Rc<Controller>,
    list: &[(String, Option<ProvisioningRecord>)],
) -> bool {
    let mut all = true;
    let at_once = controller
        .config
        .limits(&controller.cluster.borrow())
        .txn_ops;
    for part in list.chunks(at_once) {
        let txn = {
            let cluster = controller.cluster.borrow();
            let shard = cluster.autoscaler_shard();
            let write = |(name, rec): &(String, Option<ProvisioningRecord>)| {
                let key = format!("{ROOT}book/{name}");
                match rec {
                    Some(r) => set(key, r, None),
                    None => Some(Write::Remove { remove: key }),
                }
            };
            Transaction {
                conditions: vec![Condition {
                    key: cluster.shard_key(shard),
                    version: cluster.shards[shard.at()].version,
                }],
                writes: part.iter().filter_map(write).collect(),
            }
        };
        all &= matches!(controller.commit(&txn).await, CommitOutcome::Committed(_));
    }
    // The next step depends on what the records say.
    list.is_empty() || controller.refresh(1500).await && all
}

/// Removes bookings whose machines are all in the list, or should long be.
pub(super) async fn remove_completed_requests(
    controller: &Rc<Controller>,
    duty: &mut AutoscalerState,
    lag_ms: u64,
) {
    let now = controller.now();
    let old: Vec<String> = {
        let cluster = controller.cluster.borrow();
        cluster
            .provisioning_requests
            .iter()
            .filter(|(n, b)| {
                let at = *duty.requested_at.entry((*n).clone()).or_insert(now);
                let listed = b
                    .record
                    .machines
                    .iter()
                    .all(|h| duty.listed.contains_key(h));
                !b.record.machines.is_empty()
                    && now.since(at) > lag_ms * 2
                    && (listed || now.since(at) > lag_ms * 4 + 10_000)
            })
            .map(|(n, _)| n.clone())
            .take(controller.config.limits(&cluster).txn_ops)
            .collect()
    };
    let removed: Vec<_> = old.into_iter().map(|n| (n, None)).collect();
    commit_provisioning_records(controller, &removed).await;
    for (n, _) in removed {
        duty.requested_at.remove(&n);
    }
}

pub(super) async fn rent(controller: &Rc<Controller>, duty: &mut AutoscalerState) {
    let now = controller.now();
    // Without a list of this owner's time, what is rented already is not known.
    if duty.listed_at.is_none() {
        return;
    }
    let blocked: HashSet<Pool> = duty
        .backoff
        .iter()
        .filter(|(_, (until, _))| now < *until)
        .map(|(p, _)| *p)
        .collect();
    let plan = {
        let cluster = controller.cluster.borrow();
        let mut have = supply(
            &cluster,
            &duty.listed,
            controller.config.unresponsive_ms,
            now,
        );
        plan_scale_out(
            &cluster,
            &controller.config,
            &mut have,
            &blocked,
            now,
            wall_ms(),
        )
    };
    let mut list = Vec::new();
    duty.needed = plan.needed_machines;
    for (pool, count) in requests(plan.machines_to_rent) {
        // While there is something to return one request is left for that: those who wait for a
        // machine to be proven gone wait as long as those who need a new one.
        let keep = if duty.scale_in_pending { 1.0 } else { 0.0 };
        if !duty.rate_limiter.take(controller.now(), keep) {
            break;
        }
        duty.counter += 1;
        let cluster = controller.cluster.borrow();
        let rec = ProvisioningRecord {
            machine_type: cluster
                .machine_type_names
                .name(pool.machine_type)
                .to_string(),
            zone: cluster.zone_names.name(pool.zone).to_string(),
            spot: pool.spot,
            count,
            machines: Vec::new(),
        };
        // The token is of this owner alone, so no name is ever used twice.
        list.push((format!("b-{}-{}", duty.fencing_token, duty.counter), rec));
    }
    // The intent is on record before the request: whoever takes over asks again.
    let intents: Vec<_> = list
        .iter()
        .map(|(n, r)| (n.clone(), Some(r.clone())))
        .collect();
    if !list.is_empty() && commit_provisioning_records(controller, &intents).await {
        send_provisioning_requests(controller, duty, list).await;
    }
}
