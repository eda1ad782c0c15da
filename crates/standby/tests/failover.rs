//! Tests of the state machine of a failover and of the choice of a standby.

use standby::failover::{FailoverState, Failovers, Observation, Owner, Refusal, Transition};
use standby::ids::{FencingToken, Millis, Revision, ShardId};
use standby::role::{choose, standby_of, Candidate, ZonePreference};

const SHARD: ShardId = ShardId(0);
/// Number of random sequences of observations; the seeds are fixed.
const CASES: u64 = 500;

fn this_controller(fencing_token: u64, fence_revision: u64) -> Owner {
    Owner::ThisController {
        fencing_token: FencingToken(fencing_token),
        fence_revision: Revision(fence_revision),
    }
}

fn other_controller(lease_alive: bool, silent: bool) -> Owner {
    Owner::OtherController {
        lease_alive,
        silent,
        last_contact: Some(Millis(100)),
    }
}

fn states_entered(transitions: &[Transition]) -> Vec<&'static str> {
    transitions.iter().map(|t| t.to.name()).collect()
}

/// The failovers of a controller with one shard, and a simulated clock.
struct Simulation {
    failovers: Failovers,
    /// Current time, ms.
    now: u64,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            failovers: Failovers::new(1),
            now: 1000,
        }
    }

    /// Applies an observation by the shard's standby, and returns the names of the states that the
    /// failover enters.
    fn observe(&mut self, owner: Owner, known_revision: u64) -> Vec<&'static str> {
        let observation = Observation {
            owner,
            is_standby: true,
            known_revision: Revision(known_revision),
        };
        self.now += 100;
        states_entered(&self.failovers.observe(SHARD, observation, Millis(self.now)))
    }

    fn permit(&self) -> Option<u64> {
        let permit = self.failovers.permits().get(SHARD)?;
        Some(permit.fencing_token().0)
    }

    fn refused(&mut self, refusal: Refusal, known_revision: u64) -> bool {
        let known_revision = Revision(known_revision);
        let now = Millis(self.now);
        let transition = self
            .failovers
            .token_refused(SHARD, refusal, known_revision, now);
        transition.is_some()
    }
}

#[test]
fn a_failover_goes_through_all_states_and_the_permit_comes_last() {
    let mut simulation = Simulation::new();
    assert_eq!(
        simulation.observe(other_controller(true, false), 5),
        ["following"]
    );
    assert_eq!(
        simulation.observe(other_controller(true, true), 6),
        ["suspecting"]
    );
    // The owner was only slow and sends status updates again.
    assert_eq!(
        simulation.observe(other_controller(true, false), 6),
        ["following"]
    );
    assert_eq!(
        simulation.observe(other_controller(false, true), 7),
        ["suspecting"]
    );
    let fencing = simulation
        .failovers
        .fence_sent(SHARD, Millis(simulation.now))
        .unwrap();
    assert_eq!(fencing.since_last_contact_ms, Some(simulation.now - 100));
    // The state stays until the records show the outcome of the transaction.
    assert!(simulation
        .observe(other_controller(false, true), 8)
        .is_empty());
    assert_eq!(
        simulation.observe(this_controller(4, 12), 8),
        ["catching up"]
    );
    for known in [9, 11] {
        assert!(simulation.observe(this_controller(4, 12), known).is_empty());
        assert_eq!(simulation.permit(), None);
    }
    assert_eq!(simulation.observe(this_controller(4, 12), 12), ["active"]);
    assert_eq!(simulation.permit(), Some(4));
    let permit = simulation.failovers.permits().get(SHARD).unwrap();
    assert_eq!(
        (permit.shard(), permit.fence_revision()),
        (SHARD, Revision(12))
    );
}

#[test]
fn a_refused_fence_leaves_the_standby_suspecting_and_a_superseded_one_following() {
    let mut simulation = Simulation::new();
    simulation.observe(other_controller(false, true), 5);
    simulation.failovers.fence_sent(SHARD, Millis(0));
    let back = simulation
        .failovers
        .fence_refused(SHARD, Millis(0))
        .unwrap();
    assert_eq!(back.to, FailoverState::Suspecting);
    simulation.failovers.fence_sent(SHARD, Millis(0));
    // The records show that another controller has become the owner.
    assert_eq!(
        simulation.observe(other_controller(true, false), 9),
        ["following"]
    );
    assert_eq!(simulation.failovers.fence_refused(SHARD, Millis(0)), None);
    assert_eq!(simulation.permit(), None);
}

#[test]
fn a_fence_without_an_answer_that_is_carried_out_later_is_found_in_the_records() {
    let mut simulation = Simulation::new();
    simulation.observe(other_controller(false, true), 5);
    simulation.failovers.fence_sent(SHARD, Millis(0));
    // The old owner is alive again before the transaction is applied.
    assert_eq!(
        simulation.observe(other_controller(true, false), 6),
        ["following"]
    );
    assert_eq!(
        simulation.observe(this_controller(3, 7), 7),
        ["catching up", "active"]
    );
}

#[test]
fn a_replaced_owner_steps_down_once_and_holds_no_permit() {
    let mut simulation = Simulation::new();
    assert_eq!(
        simulation.observe(this_controller(1, 3), 3),
        ["catching up", "active"]
    );
    assert_eq!(
        simulation.observe(other_controller(true, false), 9),
        ["stepped down", "following"]
    );
    assert!(simulation
        .observe(other_controller(true, false), 10)
        .is_empty());
    assert_eq!(simulation.permit(), None);
}

#[test]
fn a_token_raised_by_its_owner_needs_a_new_permit() {
    let mut simulation = Simulation::new();
    simulation.observe(this_controller(1, 3), 3);
    // An active owner that raises its own token doesn't become a standby.
    assert_eq!(simulation.failovers.fence_sent(SHARD, Millis(0)), None);
    assert_eq!(
        simulation.observe(this_controller(2, 9), 8),
        ["catching up"]
    );
    assert_eq!(simulation.permit(), None);
    assert_eq!(simulation.observe(this_controller(2, 9), 9), ["active"]);
    assert_eq!(simulation.permit(), Some(2));
}

#[test]
fn a_refusal_withdraws_the_permit_until_newer_records_are_read() {
    let fencing_token = FencingToken(1);
    for refusal in [
        Refusal::KeyValueStore { fencing_token },
        Refusal::Worker {
            seen: FencingToken(2),
        },
    ] {
        let mut simulation = Simulation::new();
        simulation.observe(this_controller(1, 3), 5);
        assert!(simulation.refused(refusal, 5));
        assert!(!simulation.refused(refusal, 5), "repeated refusal");
        assert!(simulation.observe(this_controller(1, 3), 5).is_empty());
        assert_eq!(simulation.permit(), None);
        // Newer records still name this controller as the owner.
        assert_eq!(
            simulation.observe(this_controller(1, 3), 6),
            ["catching up", "active"]
        );
        assert_eq!(simulation.permit(), Some(1));
    }
}

#[test]
fn a_refusal_that_comes_after_the_token_was_raised_stops_nothing() {
    let mut simulation = Simulation::new();
    simulation.observe(this_controller(1, 3), 3);
    // A transaction under token 1 is in flight while the owner raises its own token.
    simulation.observe(this_controller(2, 6), 6);
    let fencing_token = FencingToken(1);
    assert!(!simulation.refused(Refusal::KeyValueStore { fencing_token }, 6));
    // The owner stays active even if no further record is ever written.
    assert!(simulation.observe(this_controller(2, 6), 6).is_empty());
    assert_eq!(simulation.permit(), Some(2));
}

#[test]
fn a_worker_that_reports_an_unrecorded_token_stops_its_shard_once_at_most() {
    let mut simulation = Simulation::new();
    simulation.observe(this_controller(5, 3), 5);
    assert!(!simulation.refused(
        Refusal::Worker {
            seen: FencingToken(5)
        },
        5
    ));
    assert!(simulation.refused(
        Refusal::Worker {
            seen: FencingToken(99)
        },
        5
    ));
    simulation.observe(this_controller(5, 3), 6);
    for _ in 0..3 {
        assert!(!simulation.refused(
            Refusal::Worker {
                seen: FencingToken(99)
            },
            6
        ));
    }
    assert_eq!(simulation.permit(), Some(5));
}

#[test]
fn no_sequence_of_observations_yields_a_permit_without_its_proof() {
    let mut issued = 0;
    for seed in 0..CASES {
        arbtest::arbtest(|u| {
            let mut failovers = Failovers::new(1);
            let (mut known, mut token) = (0, 1);
            for step in 0..40 {
                let now = Millis(step);
                known += u.int_in_range(0..=3)?;
                let owner = match u.int_in_range(0..=5)? {
                    0 => Owner::Nobody,
                    1 => other_controller(u.arbitrary()?, u.arbitrary()?),
                    2 => {
                        token += 1;
                        this_controller(token, known + u.int_in_range(0..=4)?)
                    }
                    _ => this_controller(token, u.int_in_range(0..=known + 2)?),
                };
                let is_standby = u.arbitrary()?;
                let observation = Observation {
                    owner,
                    is_standby,
                    known_revision: Revision(known),
                };
                let refused = u.ratio(1, 6)?;
                failovers.observe(SHARD, observation, now);
                if u.ratio(1, 8)? {
                    failovers.fence_sent(SHARD, now);
                }
                if refused {
                    let fencing_token = match owner {
                        Owner::ThisController { fencing_token, .. } => fencing_token,
                        _ => FencingToken(0),
                    };
                    let refusal = Refusal::KeyValueStore { fencing_token };
                    failovers.token_refused(SHARD, refusal, Revision(known), now);
                }
                let permit = failovers.permits().get(SHARD);
                issued += u64::from(permit.is_some());
                match (owner, permit) {
                    (Owner::ThisController { fencing_token, .. }, Some(permit)) => {
                        assert!(!refused);
                        assert_eq!(permit.fencing_token(), fencing_token);
                        assert!(permit.fence_revision() <= Revision(known));
                    }
                    (_, permit) => assert!(permit.is_none()),
                }
            }
            Ok(())
        })
        .seed(seed << 32 | 0x400)
        .run();
    }
    assert!(issued > CASES, "too few permits were issued: {issued}");
}

const fn candidate(name: &str, zone: u32) -> Candidate<'_> {
    Candidate {
        name,
        zone: Some(zone),
        eligible: true,
        reachable_from_workers: true,
    }
}

const CONTROLLERS: [Candidate; 4] = [
    candidate("a", 0),
    candidate("b", 1),
    candidate("c", 0),
    candidate("d", 1),
];

#[test]
fn the_standby_is_never_the_owner_and_in_the_preferred_zone() {
    let of =
        |owner, preference, tie_breaker| standby_of(owner, &CONTROLLERS, preference, tie_breaker);
    assert_eq!(of("a", ZonePreference::Inside(0), 0), Some("c"));
    assert_eq!(of("a", ZonePreference::Outside(0), 0), Some("b"));
    assert_eq!(of("a", ZonePreference::Outside(0), 1), Some("d"));
    assert_eq!(of("c", ZonePreference::Any, 2), Some("d"));
}

#[test]
fn of_two_controllers_the_other_is_the_standby_and_a_single_controller_has_none() {
    for preference in [
        ZonePreference::Inside(0),
        ZonePreference::Outside(0),
        ZonePreference::Any,
    ] {
        for tie_breaker in 0..3 {
            let of = |owner, controllers| standby_of(owner, controllers, preference, tie_breaker);
            assert_eq!(of("a", &CONTROLLERS[..2]), Some("b"));
            assert_eq!(of("b", &CONTROLLERS[..2]), Some("a"));
            assert_eq!(of("a", &CONTROLLERS[..1]), None);
        }
    }
}

#[test]
fn reachability_and_eligibility_rank_before_zones() {
    let mut controllers = CONTROLLERS;
    controllers[2].reachable_from_workers = false;
    let inside = ZonePreference::Inside(0);
    assert_eq!(standby_of("a", &controllers, inside, 0), Some("b"));
    controllers[1].eligible = false;
    assert_eq!(standby_of("a", &controllers, inside, 0), Some("d"));
    // If no reachable controller is eligible, a reachable one is chosen all the same.
    controllers[3].eligible = false;
    assert_eq!(standby_of("a", &controllers, inside, 0), Some("b"));
    assert_eq!(choose(&[], ZonePreference::Any, 0), None);
}

#[test]
fn a_controller_that_leaves_and_returns_changes_no_role_of_the_others() {
    // A controller that is not chosen leaves and returns, and all roles stay the same.
    for tie_breaker in 0..2 {
        let preference = ZonePreference::Outside(0);
        let with_c = standby_of("a", &CONTROLLERS, preference, tie_breaker);
        let without_c = [CONTROLLERS[0], CONTROLLERS[1], CONTROLLERS[3]];
        assert_eq!(standby_of("a", &without_c, preference, tie_breaker), with_c);
    }
}
