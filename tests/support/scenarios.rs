//! Situations that several tests begin with or end in.

use super::job;
use super::world::World;

/// A world in which two jobs run for long on machines of both zones; with the controller that
/// owns the machine of the first job's first task, and another.
pub fn two_long_jobs() -> (World, usize, usize) {
    let mut w = World::new(4);
    for h in &mut w.hosts {
        h.worker.run_ms = 200_000;
    }
    assert!(w.submit(0, job("job-1", 6)));
    assert!(w.submit(1, job("job-2", 6)));
    w.run(5000);
    assert!(w.runs("job-1") && w.runs("job-2"));
    let host = w.hosts.iter().position(|h| h.worker.has_task("job-1/0"));
    let leader = w.owner_of(host.unwrap()).unwrap();
    let other = (0..3).find(|at| *at != leader).unwrap();
    (w, leader, other)
}

/// The state service refuses the leader, and a moment after the confirmation everybody.
pub fn refuse_leader_then_all(w: &mut World, leader: usize, other: usize, id: &str) {
    w.trouble[leader].refused = true;
    w.run(1000);
    assert!(w.cancel(other, id));
    w.outage = true;
}

/// Ends the faults of the controllers and gives them time to catch up.
pub fn recover(w: &mut World) {
    w.outage = false;
    w.trouble = Default::default();
    w.run(20_000);
}
