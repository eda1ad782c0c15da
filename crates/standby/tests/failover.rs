//! The takeover's state machine and the choice of a standby.

use standby::failover::{Failovers, Observation, Owner, Refusal, State, Transition};
use standby::ids::{FencingToken, Millis, Revision, ShardId};
use standby::role::{pick, standby_of, Candidate, ZonePreference};

const SHARD: ShardId = ShardId(0);
/// Random sequences of observations; seeds are fixed.
const CASES: u64 = 500;

fn me(token: u64, fence: u64) -> Owner {
    Owner::Me {
        token: FencingToken(token),
        fence: Revision(fence),
    }
}

fn other(alive: bool, silent: bool) -> Owner {
    Owner::Other {
        alive,
        silent,
        heard: Some(Millis(100)),
    }
}

fn seen(owner: Owner, known: u64) -> Observation {
    Observation {
        owner,
        standby: true,
        known: Revision(known),
    }
}

fn names(changes: &[Transition]) -> Vec<&'static str> {
    changes.iter().map(|c| c.to.name()).collect()
}

/// A takeover with its clock.
struct Played {
    takeovers: Failovers,
    now: u64,
}

impl Played {
    fn new() -> Played {
        Played {
            takeovers: Failovers::new(1),
            now: 1000,
        }
    }

    fn observe(&mut self, seen: Observation) -> Vec<&'static str> {
        self.now += 100;
        names(&self.takeovers.observe(SHARD, seen, Millis(self.now)))
    }

    fn permit(&self) -> Option<u64> {
        let permit = self.takeovers.permits().get(SHARD)?;
        Some(permit.token().0)
    }

    fn refused(&mut self, refusal: Refusal, known: u64) -> bool {
        let known = Revision(known);
        let now = Millis(self.now);
        let change = self.takeovers.refused(SHARD, refusal, known, now);
        change.is_some()
    }
}

#[test]
fn a_takeover_goes_through_all_states_and_the_permit_comes_last() {
    let mut p = Played::new();
    assert_eq!(p.observe(seen(other(true, false), 5)), ["following"]);
    assert_eq!(p.observe(seen(other(true, true), 6)), ["suspecting"]);
    // It was only slow.
    assert_eq!(p.observe(seen(other(true, false), 6)), ["following"]);
    assert_eq!(p.observe(seen(other(false, true), 7)), ["suspecting"]);
    let fencing = p.takeovers.fence_sent(SHARD, Millis(p.now)).unwrap();
    assert_eq!(fencing.since_sign_of_life, Some(p.now - 100));
    // Until the records tell what came of the transaction nothing else is tried.
    assert!(p.observe(seen(other(false, true), 8)).is_empty());
    assert_eq!(p.observe(seen(me(4, 12), 8)), ["catching up"]);
    for known in [9, 11] {
        assert!(p.observe(seen(me(4, 12), known)).is_empty());
        assert_eq!(p.permit(), None);
    }
    assert_eq!(p.observe(seen(me(4, 12), 12)), ["active"]);
    assert_eq!(p.permit(), Some(4));
    let permit = p.takeovers.permits().get(SHARD).unwrap();
    assert_eq!((permit.shard(), permit.fence()), (SHARD, Revision(12)));
}

#[test]
fn a_fence_that_is_refused_leaves_a_suspect_and_one_that_is_lost_a_follower() {
    let mut p = Played::new();
    p.observe(seen(other(false, true), 5));
    p.takeovers.fence_sent(SHARD, Millis(0));
    let back = p.takeovers.fence_refused(SHARD, Millis(0)).unwrap();
    assert_eq!(back.to, State::Suspecting);
    p.takeovers.fence_sent(SHARD, Millis(0));
    // Another has won, as the records show.
    assert_eq!(p.observe(seen(other(true, false), 9)), ["following"]);
    assert_eq!(p.takeovers.fence_refused(SHARD, Millis(0)), None);
    assert_eq!(p.permit(), None);
}

#[test]
fn a_fence_without_an_answer_that_is_carried_out_later_is_found_in_the_records() {
    let mut p = Played::new();
    p.observe(seen(other(false, true), 5));
    p.takeovers.fence_sent(SHARD, Millis(0));
    // The old owner is seen again, and only then the transaction takes effect.
    assert_eq!(p.observe(seen(other(true, false), 6)), ["following"]);
    assert_eq!(p.observe(seen(me(3, 7), 7)), ["catching up", "active"]);
}

#[test]
fn an_owner_that_was_replaced_says_so_once_and_holds_no_permit() {
    let mut p = Played::new();
    assert_eq!(p.observe(seen(me(1, 3), 3)), ["catching up", "active"]);
    assert_eq!(
        p.observe(seen(other(true, false), 9)),
        ["stepped down", "following"]
    );
    assert!(p.observe(seen(other(true, false), 10)).is_empty());
    assert_eq!(p.permit(), None);
}

#[test]
fn a_token_raised_by_its_owner_needs_a_new_permit() {
    let mut p = Played::new();
    p.observe(seen(me(1, 3), 3));
    // Its own transaction does not make an active owner a standby.
    assert_eq!(p.takeovers.fence_sent(SHARD, Millis(0)), None);
    assert_eq!(p.observe(seen(me(2, 9), 8)), ["catching up"]);
    assert_eq!(p.permit(), None);
    assert_eq!(p.observe(seen(me(2, 9), 9)), ["active"]);
    assert_eq!(p.permit(), Some(2));
}

#[test]
fn a_refusal_withdraws_the_permit_until_newer_records_explain_it() {
    let token = FencingToken(1);
    for refusal in [
        Refusal::StateService { token },
        Refusal::Worker {
            seen: FencingToken(2),
        },
    ] {
        let mut p = Played::new();
        p.observe(seen(me(1, 3), 5));
        assert!(p.refused(refusal, 5));
        assert!(!p.refused(refusal, 5), "said twice");
        assert!(p.observe(seen(me(1, 3), 5)).is_empty());
        assert_eq!(p.permit(), None);
        // Newer records still name this owner.
        assert_eq!(p.observe(seen(me(1, 3), 6)), ["catching up", "active"]);
        assert_eq!(p.permit(), Some(1));
    }
}

#[test]
fn a_refusal_that_comes_after_the_token_was_raised_stops_nothing() {
    let mut p = Played::new();
    p.observe(seen(me(1, 3), 3));
    // A transaction under token 1 is on its way while the owner raises its own token.
    p.observe(seen(me(2, 6), 6));
    let token = FencingToken(1);
    assert!(!p.refused(Refusal::StateService { token }, 6));
    // Nothing else is ever recorded: the owner goes on all the same.
    assert!(p.observe(seen(me(2, 6), 6)).is_empty());
    assert_eq!(p.permit(), Some(2));
}

#[test]
fn a_worker_with_a_token_that_nobody_recorded_stops_its_shard_once_at_most() {
    let mut p = Played::new();
    p.observe(seen(me(5, 3), 5));
    assert!(!p.refused(
        Refusal::Worker {
            seen: FencingToken(5)
        },
        5
    ));
    assert!(p.refused(
        Refusal::Worker {
            seen: FencingToken(99)
        },
        5
    ));
    p.observe(seen(me(5, 3), 6));
    for _ in 0..3 {
        assert!(!p.refused(
            Refusal::Worker {
                seen: FencingToken(99)
            },
            6
        ));
    }
    assert_eq!(p.permit(), Some(5));
}

#[test]
fn no_sequence_of_observations_yields_a_permit_without_its_proof() {
    let mut issued = 0;
    for seed in 0..CASES {
        arbtest::arbtest(|u| {
            let mut takeovers = Failovers::new(1);
            let (mut known, mut token) = (0, 1);
            for step in 0..40 {
                let now = Millis(step);
                known += u.int_in_range(0..=3)?;
                let owner = match u.int_in_range(0..=5)? {
                    0 => Owner::Nobody,
                    1 => other(u.arbitrary()?, u.arbitrary()?),
                    2 => {
                        token += 1;
                        me(token, known + u.int_in_range(0..=4)?)
                    }
                    _ => me(token, u.int_in_range(0..=known + 2)?),
                };
                let standby = u.arbitrary()?;
                let observation = Observation {
                    owner,
                    standby,
                    known: Revision(known),
                };
                let refused = u.ratio(1, 6)?;
                takeovers.observe(SHARD, observation, now);
                if u.ratio(1, 8)? {
                    takeovers.fence_sent(SHARD, now);
                }
                if refused {
                    let token = match owner {
                        Owner::Me { token, .. } => token,
                        _ => FencingToken(0),
                    };
                    let refusal = Refusal::StateService { token };
                    takeovers.refused(SHARD, refusal, Revision(known), now);
                }
                let permit = takeovers.permits().get(SHARD);
                issued += u64::from(permit.is_some());
                match (owner, permit) {
                    (Owner::Me { token, .. }, Some(permit)) => {
                        assert!(!refused);
                        assert_eq!(permit.token(), token);
                        assert!(permit.fence() <= Revision(known));
                    }
                    (_, permit) => assert!(permit.is_none()),
                }
            }
            Ok(())
        })
        .seed(seed << 32 | 0x400)
        .run();
    }
    assert!(issued > CASES, "hardly any permit was issued: {issued}");
}

const fn candidate(name: &str, zone: u32) -> Candidate<'_> {
    Candidate {
        name,
        zone: Some(zone),
        settled: true,
        reaches_workers: true,
    }
}

const NODES: [Candidate; 4] = [
    candidate("a", 0),
    candidate("b", 1),
    candidate("c", 0),
    candidate("d", 1),
];

#[test]
fn the_standby_is_never_the_owner_and_in_the_preferred_zone() {
    let of = |owner, preference, turn| standby_of(owner, &NODES, preference, turn);
    assert_eq!(of("a", ZonePreference::Inside(0), 0), Some("c"));
    assert_eq!(of("a", ZonePreference::Outside(0), 0), Some("b"));
    assert_eq!(of("a", ZonePreference::Outside(0), 1), Some("d"));
    assert_eq!(of("c", ZonePreference::Any, 2), Some("d"));
}

#[test]
fn with_two_nodes_left_the_other_is_the_standby_and_with_one_nobody_is() {
    for preference in [
        ZonePreference::Inside(0),
        ZonePreference::Outside(0),
        ZonePreference::Any,
    ] {
        for turn in 0..3 {
            let of = |owner, nodes| standby_of(owner, nodes, preference, turn);
            assert_eq!(of("a", &NODES[..2]), Some("b"));
            assert_eq!(of("b", &NODES[..2]), Some("a"));
            assert_eq!(of("a", &NODES[..1]), None);
        }
    }
}

#[test]
fn reach_and_time_count_before_zones() {
    let mut nodes = NODES;
    nodes[2].reaches_workers = false;
    let inside = ZonePreference::Inside(0);
    assert_eq!(standby_of("a", &nodes, inside, 0), Some("b"));
    nodes[1].settled = false;
    assert_eq!(standby_of("a", &nodes, inside, 0), Some("d"));
    // Where none is better, one that has just come is good enough.
    nodes[3].settled = false;
    assert_eq!(standby_of("a", &nodes, inside, 0), Some("b"));
    assert_eq!(pick(&[], ZonePreference::Any, 0), None);
}

#[test]
fn a_node_that_comes_and_goes_moves_no_role_between_the_others() {
    // One that is not chosen leaves and returns: all roles stay.
    for turn in 0..2 {
        let preference = ZonePreference::Outside(0);
        let with = standby_of("a", &NODES, preference, turn);
        let without_c = [NODES[0], NODES[1], NODES[3]];
        assert_eq!(standby_of("a", &without_c, preference, turn), with);
    }
}
