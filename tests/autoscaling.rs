//! Scale-out: which machines are requested, and that no machine is requested twice for the same
//! tasks.

mod support;

use pointhook::coordination::autoscaler::{
    list_interval_ms, split_into_requests, supply, MachineListReader, Pool, PoolRequest,
    ScaleOutPlan, ScaleOutPlanner, Supply,
};
use pointhook::coordination::kv::{set, CommitOutcome};
use pointhook::coordination::rate_limiter::RateLimiter;
use pointhook::protocol::cloud::{ListedMachine, MachineListPage};
use pointhook::protocol::kv::Transaction;
use pointhook::protocol::users::{JobKind, JobSpec};
use pointhook::state::cluster_state::{ProvisioningRecord, KEY_PREFIX};
use pointhook::state::names::{Index, MachineTypeIndex, ZoneIndex};
use pointhook::state::units::{MonotonicMillis, Resources};
use std::collections::{BTreeMap, HashMap, HashSet};
use support::job;
use support::kv_store::FakeKvStore;
use support::simulated_controller::SimulatedController;
use support::worker::FakeWorker;

fn start_controller() -> (FakeKvStore, SimulatedController) {
    let mut store = FakeKvStore::default();
    let mut controller = SimulatedController::start("n1", 1, &mut store, 0);
    controller.apply_membership_moves(&mut store, 0);
    (store, controller)
}

fn oven_type(controller: &SimulatedController) -> MachineTypeIndex {
    controller.cluster.machine_type_names.find("oven").unwrap()
}

fn empty_machine(controller: &SimulatedController, zone: usize, spot: bool) -> Supply {
    Supply {
        pool: Pool {
            machine_type: oven_type(controller),
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
    backed_off: &[Pool],
) -> ScaleOutPlan {
    let planner = ScaleOutPlanner {
        cluster: &controller.cluster,
        config: &controller.config,
        backed_off: &backed_off.iter().copied().collect(),
        now: MonotonicMillis(1000),
        wall_ms: 1000,
    };
    planner.plan(&mut supply)
}

#[test]
fn waiting_tasks_scale_out_to_as_many_machines_as_they_fill() {
    let (mut store, mut controller) = start_controller();
    controller.submit(&mut store, job("job-1", 10), 0);
    let plan = plan(&controller, Vec::new(), &[]);
    assert_eq!(plan.machines_to_request.values().sum::<u32>(), 3);
    assert!(plan.machines_to_request.keys().all(|p| p.spot));
}

/// Guards against a gang that no machine is ever requested for: at most 200 tasks of a job counted as
/// demand, and a gang that did not count whole counted not at all.
#[test]
fn a_gang_of_any_width_counts_as_demand() {
    for (tasks, machines) in [(200, 13), (201, 13), (1000, 63)] {
        let (mut store, mut controller) = start_controller();
        let gang = JobSpec {
            kind: JobKind::Gang,
            vcpus: 1.0,
            gpus: 0.0,
            mem_gb: 1.0,
            ..job("job-1", tasks)
        };
        controller.submit(&mut store, gang, 0);
        let plan = plan(&controller, Vec::new(), &[]);
        assert_eq!(plan.machines_to_request.values().sum::<u32>(), machines);
    }
}

#[test]
fn machines_being_provisioned_are_not_requested_again() {
    let (mut store, mut controller) = start_controller();
    controller.submit(&mut store, job("job-1", 4), 0);
    let supply = vec![empty_machine(&controller, 0, true)];
    assert!(plan(&controller, supply, &[])
        .machines_to_request
        .is_empty());
}

#[test]
fn jobs_that_exclude_spot_get_on_demand_machines() {
    let (mut store, mut controller) = start_controller();
    let mut spec = job("job-1", 1);
    spec.spot = false;
    controller.submit(&mut store, spec, 0);
    let plan = plan(&controller, vec![empty_machine(&controller, 0, true)], &[]);
    assert_eq!(plan.machines_to_request.len(), 1);
    assert!(plan.machines_to_request.keys().all(|p| !p.spot));
}

#[test]
fn a_one_zone_gang_scales_out_where_it_can_be_complete() {
    let (mut store, mut controller) = start_controller();
    let mut spec = job("job-1", 3);
    spec.kind = JobKind::Gang;
    spec.one_zone = true;
    spec.spot = false;
    spec.vcpus = 16.0;
    controller.submit(&mut store, spec, 0);
    // The north has machines for two of the three tasks, and no more can be requested there.
    let exhausted = Pool {
        machine_type: oven_type(&controller),
        zone: ZoneIndex(0),
        spot: false,
    };
    let plan = plan(
        &controller,
        vec![
            empty_machine(&controller, 0, false),
            empty_machine(&controller, 0, false),
        ],
        &[exhausted],
    );
    assert_eq!(plan.machines_to_request.values().sum::<u32>(), 3);
    assert!(plan
        .machines_to_request
        .keys()
        .all(|p| p.zone == ZoneIndex(1)));
}

#[test]
fn a_team_at_its_quota_scales_out_no_further() {
    let (mut store, mut controller) = start_controller();
    let mut spec = job("job-1", 40);
    spec.team = "mixers".into();
    controller.submit(&mut store, spec, 0);
    let plan = plan(&controller, Vec::new(), &[]);
    assert_eq!(plan.machines_to_request.values().sum::<u32>(), 1);
}

#[test]
fn a_gang_whose_quota_services_use_does_not_block_scale_out() {
    let (mut store, mut controller) = start_controller();
    let job_of_mixers = |id: &str, tasks, kind| pointhook::protocol::users::JobSpec {
        team: "mixers".into(),
        kind,
        ..job(id, tasks)
    };
    let mut worker = FakeWorker::new("m1", "north", 0);
    controller.submit(&mut store, job_of_mixers("job-1", 1, JobKind::Service), 0);
    controller.exchange_heartbeat(&mut store, &mut worker, 0);
    assert_eq!(controller.job("job-1").placements.len(), 1);
    controller.submit(&mut store, job_of_mixers("job-2", 2, JobKind::Gang), 100);
    controller.submit(&mut store, job_of_mixers("job-3", 1, JobKind::Array), 200);
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
    let (mut store, mut controller) = start_controller();
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
    let (mut store, mut controller) = start_controller();
    controller.submit(&mut store, job("job-1", 8), 0);
    let mut record = ProvisioningRecord {
        machine_type: "oven".into(),
        zone: "north".into(),
        spot: true,
        count: 2,
        machines: Vec::new(),
    };
    let put = |controller: &mut SimulatedController,
               store: &mut FakeKvStore,
               record: &ProvisioningRecord| {
        let txn = Transaction {
            conditions: Vec::new(),
            writes: set(format!("{KEY_PREFIX}book/b-1-1"), record, None)
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
    put(&mut controller, &mut store, &record);
    let list = HashMap::new();
    let available = supply(&controller.cluster, &list, 4000, MonotonicMillis(1000));
    assert_eq!(available.len(), 2);
    assert!(plan(&controller, available, &[])
        .machines_to_request
        .is_empty());
    // The response names one machine, which is not in the list yet.
    record.machines = vec!["n-000007".into()];
    put(&mut controller, &mut store, &record);
    controller
        .cluster
        .learn_machine("n-000007", "oven", "north", true, MonotonicMillis(1000));
    let available = supply(&controller.cluster, &list, 4000, MonotonicMillis(1000));
    assert_eq!(available.len(), 1);
    assert_eq!(
        plan(&controller, available, &[])
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
fn a_refused_page_of_the_machine_list_keeps_the_pages_already_read() {
    let page = |from: usize, count: usize, more| MachineListPage {
        machines: (from..from + count)
            .map(|i| listed(&format!("n-{i:06}")))
            .collect(),
        more,
    };
    let mut reader = MachineListReader::default();
    assert_eq!(reader.next_page_after(MonotonicMillis(0), 3.5), "");
    assert!(reader.add_page(page(0, 500, true)).is_none());
    // The second page is refused twice; it is requested again, not the first page.
    assert_eq!(
        reader.next_page_after(MonotonicMillis(500), 3.5),
        "n-000499"
    );
    assert_eq!(
        reader.next_page_after(MonotonicMillis(1000), 3.5),
        "n-000499"
    );
    assert!(reader.add_page(page(500, 500, true)).is_none());
    assert_eq!(reader.add_page(page(1000, 3, false)).unwrap().len(), 1003);
    // A list that takes too long is discarded, because its first pages are outdated.
    assert!(reader.add_page(page(0, 500, true)).is_none());
    assert_eq!(
        reader.next_page_after(MonotonicMillis(2000), 3.5),
        "n-000499"
    );
    assert_eq!(reader.next_page_after(MonotonicMillis(60_000), 3.5), "");
}

#[test]
fn the_machine_list_of_a_large_fleet_is_completed_under_a_low_request_limit() {
    // Eight pages of 500 machines, one request every three seconds, half of them refused.
    let mut reader = MachineListReader::default();
    let mut listed_names = 0;
    for round in 0..16u64 {
        let after = reader.next_page_after(MonotonicMillis(round * 3000), 0.5);
        assert_eq!(
            after.is_empty(),
            listed_names == 0,
            "list restarted in round {round}"
        );
        if round % 2 == 0 {
            continue;
        }
        let names = listed_names..listed_names + 500;
        listed_names += 500;
        let machines = names.map(|i| listed(&format!("n-{i:06}"))).collect();
        let more = listed_names < 4000;
        if let Some(list) = reader.add_page(MachineListPage { machines, more }) {
            assert_eq!(list.len(), 4000);
            return;
        }
    }
    panic!("the list was never complete");
}

#[test]
fn cloud_requests_stay_within_their_limit_and_leave_one_for_scale_in() {
    let requests_per_s = 3.5;
    let mut rate_limiter = RateLimiter::new(requests_per_s);
    let (mut scale_out_requests, mut scale_in_requests) = (0u32, 0u32);
    // Scale-out requests are made as often as allowed, scale-in requests once a second.
    for now in (0..60_000u64).step_by(50) {
        scale_out_requests += u32::from(rate_limiter.try_acquire(MonotonicMillis(now), 1.0));
        if now % 1000 == 0 {
            assert!(
                now == 0 || rate_limiter.try_acquire(MonotonicMillis(now), 0.0),
                "a scale-in request was delayed at {now} ms"
            );
            scale_in_requests += 1;
        }
    }
    let all_requests = f64::from(scale_out_requests + scale_in_requests);
    assert!(all_requests <= 60.0 * requests_per_s + 2.0 * requests_per_s);
    assert!(scale_out_requests > 100);
    // Reading the list of two thousand machines uses at most half of the limit.
    let interval_ms = list_interval_ms(requests_per_s, 4);
    assert!(4.0 * 1000.0 / interval_ms as f64 <= requests_per_s / 2.0);
    // The list of a small deployment is read at the shortest interval.
    assert_eq!(list_interval_ms(4.0, 1), 1500);
}

#[test]
fn a_thousand_machines_are_requested_in_few_requests_alternating_between_pools() {
    let (_, controller) = start_controller();
    let pool = |zone, spot| Pool {
        machine_type: oven_type(&controller),
        zone: ZoneIndex::new(zone),
        spot,
    };
    let machines_to_request = BTreeMap::from([(pool(0, true), 700), (pool(1, true), 20)]);
    let requests = split_into_requests(machines_to_request);
    assert!(requests.iter().all(|r| (1..=50).contains(&r.count)));
    assert_eq!(requests.len(), 4);
    let pool = pool(1, true);
    assert_eq!(requests[1], PoolRequest { pool, count: 20 });
    assert!(split_into_requests(BTreeMap::new()).is_empty());
}

#[test]
fn a_machine_whose_boot_is_overdue_is_not_counted_as_supply() {
    let (mut store, mut controller) = start_controller();
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
