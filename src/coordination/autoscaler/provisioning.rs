//! Bookings: intents on record, requests, and what came of them.

use super::{requests, supply, wanted, Pool, RentingDuty, AT_ONCE, CALL_MS};
use crate::coordination::controller::{wall_ms, Node};
use crate::coordination::kv::{set, Outcome};
use crate::protocol::cloud::{Booking, Hosts};
use crate::protocol::kv::{Condition, Transaction, Write};
use crate::state::cluster_state::{BookingRecord, ROOT};
use crate::state::names::Index;
use crate::state::units::Ms;
use http_types::Method;
use std::collections::HashSet;
use std::rc::Rc;

/// Asks once more for bookings without an answer: a repeated one rents nothing twice.
pub(super) async fn repeat_bookings(node: &Rc<Node>, duty: &mut RentingDuty) {
    let now = node.now();
    let open: Vec<(String, BookingRecord)> = {
        let cluster = node.cluster.borrow();
        cluster
            .bookings
            .iter()
            .filter(|(_, b)| b.rec.hosts.is_empty())
            .filter(|(n, _)| duty.booked_at.get(*n).is_none_or(|t| now.since(*t) > 2000))
            .map(|(n, b)| (n.clone(), b.rec.clone()))
            .take(AT_ONCE)
            .take_while(|_| duty.pace.take(now, 0.0))
            .collect()
    };
    book_all(node, duty, open).await;
}

/// Sends bookings side by side and notes together what came of them.
async fn book_all(node: &Rc<Node>, duty: &mut RentingDuty, list: Vec<(String, BookingRecord)>) {
    let mut running = Vec::new();
    for (name, rec) in list {
        duty.booked_at.insert(name.clone(), node.now());
        let n = node.clone();
        running.push(node.ex.spawn(async move {
            let answer = book(&n, &name, &rec).await;
            (name, rec, answer)
        }));
    }
    let mut notes: Vec<(String, Option<BookingRecord>)> = Vec::new();
    for task in running {
        let (name, rec, answer) = task.await;
        notes.extend(note_booking(node, duty, &name, rec, answer).map(|r| (name, r)));
    }
    store_bookings(node, &notes).await;
}

/// Sends a booking; status and machines.
async fn book(node: &Rc<Node>, name: &str, rec: &BookingRecord) -> Option<(u16, Option<Hosts>)> {
    let request = Booking {
        request: name.to_string(),
        machine_type: rec.machine_type.clone(),
        zone: rec.zone.clone(),
        spot: rec.spot,
        count: rec.count,
    };
    let body = rmp_serde::to_vec_named(&request).ok()?;
    match node.cloud.call(Method::Post, "/hosts", body, CALL_MS).await {
        Ok(f) => Some((f.status, rmp_serde::from_slice::<Hosts>(&f.body).ok())),
        Err(e) => {
            log::warn!("booking {name}: {e}; it will be repeated");
            node.cloud.reset();
            None
        }
    }
}

/// What the record of a booking shall be after an answer; the outer `None` leaves it as it is.
fn note_booking(
    node: &Rc<Node>,
    duty: &mut RentingDuty,
    name: &str,
    mut rec: BookingRecord,
    answer: Option<(u16, Option<Hosts>)>,
) -> Option<Option<BookingRecord>> {
    let now = node.now();
    let mut cluster = node.cluster.borrow_mut();
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
            rec.hosts = h.hosts;
            Some((!rec.hosts.is_empty()).then_some(rec))
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

fn back_off(duty: &mut RentingDuty, pool: Pool, now: Ms) {
    let entry = duty.backoff.entry(pool).or_insert((now, 3000));
    entry.1 = (entry.1 * 2).min(20_000);
    entry.0 = now.plus(entry.1);
}

/// Writes or removes bookings, as long as this node owns the duty.
async fn store_bookings(node: &Rc<Node>, list: &[(String, Option<BookingRecord>)]) -> bool {
    let mut all = true;
    let at_once = node.config.limits(&node.cluster.borrow()).txn_ops;
    for part in list.chunks(at_once) {
        let txn = {
            let cluster = node.cluster.borrow();
            let shard = cluster.renting();
            let write = |(name, rec): &(String, Option<BookingRecord>)| {
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
        all &= matches!(node.commit(&txn).await, Outcome::Done(_));
    }
    // The next step depends on what the records say.
    list.is_empty() || node.refreshed(1500).await && all
}

/// Removes bookings whose machines are all in the list, or should long be.
pub(super) async fn clear_bookings(node: &Rc<Node>, duty: &mut RentingDuty, lag_ms: u64) {
    let now = node.now();
    let old: Vec<String> = {
        let cluster = node.cluster.borrow();
        cluster
            .bookings
            .iter()
            .filter(|(n, b)| {
                let at = *duty.booked_at.entry((*n).clone()).or_insert(now);
                let listed = b.rec.hosts.iter().all(|h| duty.listed.contains_key(h));
                !b.rec.hosts.is_empty()
                    && now.since(at) > lag_ms * 2
                    && (listed || now.since(at) > lag_ms * 4 + 10_000)
            })
            .map(|(n, _)| n.clone())
            .take(node.config.limits(&cluster).txn_ops)
            .collect()
    };
    let removed: Vec<_> = old.into_iter().map(|n| (n, None)).collect();
    store_bookings(node, &removed).await;
    for (n, _) in removed {
        duty.booked_at.remove(&n);
    }
}

pub(super) async fn rent(node: &Rc<Node>, duty: &mut RentingDuty) {
    let now = node.now();
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
        let cluster = node.cluster.borrow();
        let mut have = supply(&cluster, &duty.listed, node.config.silent_ms, now);
        wanted(&cluster, &node.config, &mut have, &blocked, now, wall_ms())
    };
    let mut list = Vec::new();
    duty.needed = plan.needed;
    for (pool, count) in requests(plan.rent) {
        // While there is something to return one request is left for that: those who wait for a
        // machine to be proven gone wait as long as those who need a new one.
        let keep = if duty.returns_due { 1.0 } else { 0.0 };
        if !duty.pace.take(node.now(), keep) {
            break;
        }
        duty.counter += 1;
        let cluster = node.cluster.borrow();
        let rec = BookingRecord {
            machine_type: cluster
                .machine_type_names
                .name(pool.machine_type)
                .to_string(),
            zone: cluster.zone_names.name(pool.zone).to_string(),
            spot: pool.spot,
            count,
            hosts: Vec::new(),
        };
        // The token is of this owner alone, so no name is ever used twice.
        list.push((format!("b-{}-{}", duty.token, duty.counter), rec));
    }
    // The intent is on record before the request: whoever takes over asks again.
    let intents: Vec<_> = list
        .iter()
        .map(|(n, r)| (n.clone(), Some(r.clone())))
        .collect();
    if !list.is_empty() && store_bookings(node, &intents).await {
        book_all(node, duty, list).await;
    }
}
