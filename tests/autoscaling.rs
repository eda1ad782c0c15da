//! Scale-out: which machines are requested, and that none is requested twice for the same tasks.

mod support;

use pointhook::coordination::autoscaler::{
    list_interval_ms, split_into_requests, supply, MachineListReader, Pool, PoolRequest,
    ScaleOutPlan, ScaleOutPlanner, Supply,
};
use pointhook::coordination::kv::{set, CommitOutcome};
use pointhook::coordination::rate_limiter::RateLimiter;
use pointhook::protocol::cloud::{ListedMachine, MachineListPage};
use pointhook::protocol::kv::Transaction;
use pointhook::protocol::users::JobKind;
use pointhook::state::cluster_state::{ProvisioningRecord, ROOT};
use pointhook::state::names::{Index, MachineTypeIndex, ZoneIndex};
use pointhook::state::units::{MonotonicMillis, Resources};
use std::collections::{BTreeMap, HashMap, HashSet};
use support::job;
use support::kv_store::FakeKvStore;
use support::simulated_controller::SimulatedController;
use support::worker::FakeWorker;

fn ready() -> (FakeKvStore, SimulatedController) {
    let mut store = FakeKvStore::default();
    let mut controller = SimulatedController::start("n1", 1, &mut store, 0);
    controller.apply_membership_moves(&mut store, 0);
    (store, controller)
}

fn oven(controller: &SimulatedController) -> MachineTypeIndex {
    controller.cluster.machine_type_names.find("oven").unwrap()
}

fn empty(controller: &SimulatedController, zone: usize, spot: bool) -> Supply {
    Supply {
        pool: Pool {
            machine_type: oven(controller),
            zone: ZoneIndex::new(zone),
            spot,
        },
        free: Resources::new(16.0, 4.0, 64.0),
        machine: None,
    }
}

fn plan(
    controller: &SimulatedController,
    mut supply: Vec<Supply>,
    blocked: &[Pool],
) -> ScaleOutPlan {
    let planner = ScaleOutPlanner {
        cluster: &controller.cluster,
        config: &controller.config,
        backed_off: &blocked.iter().copied().collect(),
        now: MonotonicMillis(1000),
        wall_ms: 1000,
    };
    planner.plan(&mut supply)
}

#[test]
fn waiting_tasks_scale_out_to_as_many_machines_as_they_fill() {
    let (mut store, mut controller) = ready();
    controller.submit(&mut store, job("job-1", 10), 0);
    let w = plan(&controller, Vec::new(), &[]);
    assert_eq!(w.machines_to_request.values().sum::<u32>(), 3);
    assert!(w.machines_to_request.keys().all(|p| p.spot));
}

#[test]
fn machines_being_provisioned_are_not_requested_again() {
    let (mut store, mut controller) = ready();
    controller.submit(&mut store, job("job-1", 4), 0);
    let coming = vec![empty(&controller, 0, true)];
    assert!(plan(&controller, coming, &[])
        .machines_to_request
        .is_empty());
}

#[test]
fn jobs_that_exclude_spot_get_on_demand_machines() {
    let (mut store, mut controller) = ready();
    let mut spec = job("job-1", 1);
    spec.spot = false;
    controller.submit(&mut store, spec, 0);
    let w = plan(&controller, vec![empty(&controller, 0, true)], &[]);
    assert_eq!(w.machines_to_request.len(), 1);
    assert!(w.machines_to_request.keys().all(|p| !p.spot));
}

#[test]
fn a_one_zone_gang_scales_out_where_it_can_be_complete() {
    let (mut store, mut controller) = ready();
    let mut spec = job("job-1", 3);
    spec.kind = JobKind::Gang;
    spec.one_zone = true;
    spec.spot = false;
    spec.vcpus = 16.0;
    controller.submit(&mut store, spec, 0);
    // The north has machines for two of the three tasks, and no more can be requested there.
    let none = Pool {
        machine_type: oven(&controller),
        zone: ZoneIndex(0),
        spot: false,
    };
    let w = plan(
        &controller,
        vec![empty(&controller, 0, false), empty(&controller, 0, false)],
        &[none],
    );
    assert_eq!(w.machines_to_request.values().sum::<u32>(), 3);
    assert!(w.machines_to_request.keys().all(|p| p.zone == ZoneIndex(1)));
}

#[test]
fn a_team_at_its_quota_scales_out_no_further() {
    let (mut store, mut controller) = ready();
    let mut spec = job("job-1", 40);
    spec.team = "mixers".into();
    controller.submit(&mut store, spec, 0);
    let w = plan(&controller, Vec::new(), &[]);
    assert_eq!(w.machines_to_request.values().sum::<u32>(), 1);
}

#[test]
fn a_gang_whose_quota_services_use_holds_up_no_scale_out() {
    let (mut store, mut controller) = ready();
    let of_mixers = |id: &str, tasks, shape| pointhook::protocol::users::JobSpec {
        team: "mixers".into(),
        kind: shape,
        ..job(id, tasks)
    };
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.submit(&mut store, of_mixers("job-1", 1, JobKind::Service), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    assert_eq!(controller.job("job-1").placements.len(), 1);
    controller.submit(&mut store, of_mixers("job-2", 2, JobKind::Gang), 100);
    controller.submit(&mut store, of_mixers("job-3", 1, JobKind::Array), 200);
    assert_eq!(
        plan(&controller, Vec::new(), &[])
            .machines_to_request
            .values()
            .sum::<u32>(),
        1
    );
}

#[test]
fn replicas_are_spread_over_the_zones() {
    let (mut store, mut controller) = ready();
    let mut spec = job("job-1", 2);
    spec.kind = JobKind::Service;
    spec.spread = true;
    spec.spot = false;
    controller.submit(&mut store, spec, 0);
    let zones: HashSet<ZoneIndex> = plan(&controller, Vec::new(), &[])
        .machines_to_request
        .keys()
        .map(|p| p.zone)
        .collect();
    assert_eq!(zones.len(), 2);
}

#[test]
fn provisioning_requests_count_before_their_machines_are_listed() {
    let (mut store, mut controller) = ready();
    controller.submit(&mut store, job("job-1", 8), 0);
    let mut rec = ProvisioningRecord {
        machine_type: "oven".into(),
        zone: "north".into(),
        spot: true,
        count: 2,
        machines: Vec::new(),
    };
    let put = |controller: &mut SimulatedController,
               store: &mut FakeKvStore,
               rec: &ProvisioningRecord| {
        let txn = Transaction {
            conditions: Vec::new(),
            writes: set(format!("{ROOT}book/b-1-1"), rec, None)
                .into_iter()
                .collect(),
        };
        assert!(matches!(
            SimulatedController::commit(store, &txn, 0),
            CommitOutcome::Committed(_)
        ));
        controller.sync(store);
    };
    // An unanswered request may have provisioned all of its machines.
    put(&mut controller, &mut store, &rec);
    let list = HashMap::new();
    let have = supply(&controller.cluster, &list, 4000, MonotonicMillis(1000));
    assert_eq!(have.len(), 2);
    assert!(plan(&controller, have, &[]).machines_to_request.is_empty());
    // The response names one machine, which is not in the list yet.
    rec.machines = vec!["n-000007".into()];
    put(&mut controller, &mut store, &rec);
    controller
        .cluster
        .learn_machine("n-000007", "oven", "north", true, MonotonicMillis(1000));
    let have = supply(&controller.cluster, &list, 4000, MonotonicMillis(1000));
    assert_eq!(have.len(), 1);
    assert_eq!(
        plan(&controller, have, &[])
            .machines_to_request
            .values()
            .sum::<u32>(),
        1
    );
}

fn listed(name: &str) -> ListedMachine {
    ListedMachine {
        name: name.into(),
        addr: "127.0.0.1:1".into(),
        machine_type: "oven".into(),
        zone: "north".into(),
        spot: true,
        status: "running".into(),
        age_s: 0.0,
    }
}

#[test]
fn a_refused_page_of_the_machine_list_loses_no_page_that_was_read() {
    let page = |from: usize, n: usize, more| MachineListPage {
        machines: (from..from + n)
            .map(|i| listed(&format!("n-{i:06}")))
            .collect(),
        more,
    };
    let mut pages = MachineListReader::default();
    assert_eq!(pages.next_page_after(MonotonicMillis(0), 3.5), "");
    assert!(pages.add_page(page(0, 500, true)).is_none());
    // The second page is refused twice; it is requested again, not the first page.
    assert_eq!(pages.next_page_after(MonotonicMillis(500), 3.5), "n-000499");
    assert_eq!(
        pages.next_page_after(MonotonicMillis(1000), 3.5),
        "n-000499"
    );
    assert!(pages.add_page(page(500, 500, true)).is_none());
    assert_eq!(pages.add_page(page(1000, 3, false)).unwrap().len(), 1003);
    // A list that takes too long is discarded, because its first pages are outdated.
    assert!(pages.add_page(page(0, 500, true)).is_none());
    assert_eq!(
        pages.next_page_after(MonotonicMillis(2000), 3.5),
        "n-000499"
    );
    assert_eq!(pages.next_page_after(MonotonicMillis(60_000), 3.5), "");
}

#[test]
fn the_machine_list_of_a_large_fleet_is_completed_under_a_low_request_limit() {
    // Eight pages of 500 machines, one request every three seconds, half of them refused.
    let mut pages = MachineListReader::default();
    let mut listed_names = 0;
    for turn in 0..16u64 {
        let from = pages.next_page_after(MonotonicMillis(turn * 3000), 0.5);
        assert_eq!(
            from.is_empty(),
            listed_names == 0,
            "restarted in round {turn}"
        );
        if turn % 2 == 0 {
            continue;
        }
        let names = listed_names..listed_names + 500;
        listed_names += 500;
        let machines = names.map(|i| listed(&format!("n-{i:06}"))).collect();
        let more = listed_names < 4000;
        if let Some(list) = pages.add_page(MachineListPage { machines, more }) {
            assert_eq!(list.len(), 4000);
            return;
        }
    }
    panic!("the list was never complete");
}

#[test]
fn cloud_requests_stay_within_their_limit_and_leave_one_for_scale_in() {
    let rate = 3.5;
    let mut pace = RateLimiter::new(rate);
    let (mut rented, mut returned) = (0u32, 0u32);
    // Scale-out requests are made as often as allowed, scale-in requests once a second.
    for now in (0..60_000u64).step_by(50) {
        rented += u32::from(pace.try_acquire(MonotonicMillis(now), 1.0));
        if now % 1000 == 0 {
            assert!(
                now == 0 || pace.try_acquire(MonotonicMillis(now), 0.0),
                "a scale-in request waits at {now}"
            );
            returned += 1;
        }
    }
    assert!(f64::from(rented + returned) <= 60.0 * rate + 2.0 * rate);
    assert!(rented > 100);
    // Reading the list of two thousand machines uses at most half of the limit.
    let every = list_interval_ms(rate, 4);
    assert!(4.0 * 1000.0 / every as f64 <= rate / 2.0);
    // The list of a small deployment is read at the shortest interval.
    assert_eq!(list_interval_ms(4.0, 1), 1500);
}

#[test]
fn a_thousand_machines_are_requested_in_few_requests_alternating_between_pools() {
    let (_, controller) = ready();
    let pool = |zone, spot| Pool {
        machine_type: oven(&controller),
        zone: ZoneIndex::new(zone),
        spot,
    };
    let wanted = BTreeMap::from([(pool(0, true), 700), (pool(1, true), 20)]);
    let out = split_into_requests(wanted);
    assert!(out.iter().all(|r| (1..=50).contains(&r.count)));
    assert_eq!(out.len(), 4);
    let pool = pool(1, true);
    assert_eq!(out[1], PoolRequest { pool, count: 20 });
    assert!(split_into_requests(BTreeMap::new()).is_empty());
}

#[test]
fn a_long_overdue_machine_is_not_waited_for() {
    let (mut store, mut controller) = ready();
    controller.submit(&mut store, job("job-1", 4), 0);
    controller
        .cluster
        .learn_machine("n-000007", "oven", "north", true, MonotonicMillis(0));
    let listed = ListedMachine {
        status: "booting".into(),
        ..listed("n-000007")
    };
    let list = HashMap::from([(listed.name.clone(), listed)]);
    assert_eq!(
        supply(&controller.cluster, &list, 4000, MonotonicMillis(20_000)).len(),
        1
    );
    assert!(supply(&controller.cluster, &list, 4000, MonotonicMillis(60_000)).is_empty());
}
