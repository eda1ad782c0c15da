//! What must hold in fleets of hundreds of machines and jobs of hundreds of tasks.

mod support;

use pointhook::bookkeeping::units::{Ms, Res};
use pointhook::coordination::plan;
use support::controller::{one, Controller};
use support::job;
use support::store::Store;

/// Adds machines that were just heard.
fn fleet(c: &mut Controller, n: usize) {
    for i in 0..n {
        let name = format!("m{i:03}");
        let mix = c
            .view
            .learn_machine(&name, "oven", "north", true, Ms(0))
            .unwrap();
        c.view.machine_mut(mix).unwrap().heard = Some(Ms(0));
    }
}

#[test]
fn a_task_finds_the_one_machine_of_hundreds_that_has_its_image() {
    let (mut store, mut c) = one();
    fleet(&mut c, 400);
    c.submit(&mut store, job("job-1", 1), 0);
    let image = c.job("job-1").spec.as_ref().unwrap().image;
    let warm = c.machine("m333");
    c.view
        .machine_mut(warm)
        .unwrap()
        .use_image(image, 1.0, 100.0);
    let ix = c.job_ix("job-1");
    for _ in 0..20 {
        assert_eq!(plan::bind(&c.view, &c.rules, ix, Ms(10), 10), [(0, warm)]);
    }
}

#[test]
fn sums_kept_current_are_those_of_the_records() {
    let mut store = Store::default();
    let mut c = Controller::start("n1", 1, &mut store, 0);
    c.members(&mut store, 0);
    fleet(&mut c, 8);
    let mut spec = job("job-1", 12);
    spec.team = "mixers".into();
    c.submit(&mut store, spec, 0);
    c.submit(&mut store, job("job-2", 20), 0);
    c.plan(&mut store, 10);
    c.cancel(&mut store, "job-2", 20);
    let mut placed = 0;
    for (mix, m) in c.view.all_machines() {
        let mut free = c.view.rigs[&m.rig].room;
        for (ix, j) in c.view.active_jobs() {
            for p in j.placements.iter().filter(|p| p.machine == mix) {
                free = free.minus(j.spec.as_ref().unwrap().need);
                assert!(c.view.placed_on(mix).contains(&(ix, p.task, p.attempt)));
                placed += 1;
            }
        }
        assert_eq!(c.view.room()[mix.0 as usize], Some(free));
    }
    assert!(placed > 10);
    let need = Res::new(4.0, 1.0, 8.0);
    let team = c.view.team_names.find("mixers").unwrap();
    let n = c.job("job-1").placements.len() as i64;
    assert_eq!(c.view.used(team), (n * need.cpu, n * need.gpu));
    assert_eq!(n, 2);
}

fn order(c: &Controller, wall: u64) -> Vec<String> {
    let draft = plan::Draft::default();
    let jobs = plan::waiting_jobs(&c.view, &c.rules, &draft, Ms(wall), wall);
    let names = jobs
        .iter()
        .map(|w| c.view.jobs[w.ix.0 as usize].id.to_string());
    names.collect()
}

fn due(id: &str, tasks: u32, deadline_s: f64) -> pointhook::protocol::users::JobSpec {
    let mut spec = job(id, tasks);
    spec.deadline_s = Some(deadline_s);
    spec
}

#[test]
fn among_jobs_that_can_be_in_time_the_smaller_goes_first() {
    let (mut store, mut c) = one();
    c.submit(&mut store, due("job-1", 100, 100.0), 0);
    c.submit(&mut store, due("job-2", 5, 100.0), 1000);
    c.submit(&mut store, due("job-3", 6, 100.0), 2000);
    assert_eq!(order(&c, 3000), ["job-2", "job-3", "job-1"]);
}

#[test]
fn a_late_wide_job_is_not_starved_by_younger_and_smaller_ones() {
    let (mut store, mut c) = one();
    c.submit(&mut store, due("job-1", 200, 60.0), 0);
    // Every second a small job comes that can be in time.
    let mut first = 0;
    for t in 1..=40u64 {
        c.submit(
            &mut store,
            due(&format!("job-{}", t + 1), 2, 60.0),
            55_000 + t * 1000,
        );
        let turn = order(&c, 55_000 + t * 1000);
        first += u32::from(turn[0] == "job-1");
    }
    // One second of five is its own although it is late all the while.
    assert_eq!(first, 8);
    // Before two minutes are over its first task goes first in any second.
    for t in 120..125u64 {
        c.submit(
            &mut store,
            due(&format!("job-{}", t + 1), 2, 60.0),
            t * 1000,
        );
        assert_eq!(order(&c, t * 1000)[0], "job-1");
    }
}
