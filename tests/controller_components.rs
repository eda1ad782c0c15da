//! Tests of the components of a controller: the state of peers and the connections to workers.

use pointhook::coordination::controller::peers::Peer;
use pointhook::coordination::controller::worker_connections::WorkerConnections;
use pointhook::settings::PeerSettings;
use pointhook::state::units::MonotonicMillis;

fn peer() -> Peer {
    Peer::new(&PeerSettings {
        name: "b".to_string(),
        zone: "z1".to_string(),
        addr: "127.0.0.1:9".parse().expect("an address"),
    })
}

/// Delay after a failure at `at` until cancellations are sent to the peer again, ms.
fn wait_after_failure(peer: &Peer, at: MonotonicMillis, connection_closed: bool) -> u64 {
    peer.record_cancellation_failure(at, connection_closed);
    let mut wait_ms = 0;
    while !peer.begin_cancellation_exchange(at.plus(wait_ms)) {
        wait_ms += 500;
    }
    peer.end_cancellation_exchange();
    wait_ms
}

#[test]
fn a_peer_that_closes_the_connection_is_sent_cancellations_less_and_less_often() {
    let peer = peer();
    let mut at = MonotonicMillis(10_000);
    let mut waits = Vec::new();
    for _ in 0..5 {
        let wait_ms = wait_after_failure(&peer, at, true);
        waits.push(wait_ms);
        at = at.plus(wait_ms);
    }
    assert_eq!(waits, [1000, 2000, 4000, 8000, 8000]);
    assert_eq!(wait_after_failure(&peer, at, false), 0, "unreachable peer");
    wait_after_failure(&peer, at, true);
    peer.record_cancellation_response();
    assert_eq!(
        wait_after_failure(&peer, at, true),
        1000,
        "a response resets the delay"
    );
}

#[test]
fn cancellations_that_arrive_during_an_exchange_are_sent_by_one_more() {
    let peer = peer();
    let now = MonotonicMillis(0);
    assert!(peer.begin_cancellation_exchange(now));
    assert!(!peer.begin_cancellation_exchange(now), "one is running");
    assert!(!peer.begin_cancellation_exchange(now), "one is running");
    assert!(peer.continue_cancellation_exchange(), "more to send");
    assert!(!peer.continue_cancellation_exchange(), "nothing to send");
    peer.end_cancellation_exchange();
    assert!(peer.begin_cancellation_exchange(now));
}

#[test]
fn a_status_update_shows_whether_the_reachability_from_workers_has_changed() {
    let peer = peer();
    let now = MonotonicMillis(5000);
    assert!(peer.workers_reachable(), "before the first update");
    assert!(peer.record_status(now, true, false));
    assert!(!peer.record_status(now, true, false));
    assert!(!peer.workers_reachable());
    assert!(peer.has_recent_status(now.plus(3999)));
    assert!(!peer.has_recent_status(now.plus(4000)));
    assert!(peer.observation(now).kv_reachable);
}

#[test]
fn connections_to_workers_are_limited_and_released() {
    let connections = WorkerConnections::new(2);
    let first = connections.acquire();
    let second = connections.acquire();
    assert!(first.is_some() && second.is_some());
    assert!(connections.acquire().is_none());
    drop(first);
    assert!(connections.acquire().is_some());
}
