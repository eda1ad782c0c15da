//! Reservation of machines for gangs that have waited for too long.
//!
//! All controllers derive the same order of gangs. The controller that plans a gang reserves
//! machines of any owner for it, in its own state and by messages to its peers. `status_updates`
//! calls this module each round, and `requests` for the messages of peers.
//!
//! Invariant: a reservation expires unless it is renewed. So if its gang has started or its sender
//! has failed, it does not keep other work off the machines for long.

use crate::coordination::controller::clock::wall_ms;
use crate::coordination::controller::Controller;
use crate::coordination::scheduler::gang_reservations::{gang_reservations, GangReservation};
use crate::protocol::peers::PeerRequest;
use crate::state::cluster_state::ClusterState;
use crate::state::machine::GANG_RESERVATION_MS;
use crate::state::names::{Index, MachineIndex};
use std::rc::Rc;

/// Timeout of a message to a peer; after this time the next round renews the reservation anyway.
const PEER_TIMEOUT_MS: u64 = 1000;
/// Maximum number of machines in one frame of a reservation; a gang may need thousands.
const MACHINES_PER_RESERVATION: usize = 1000;

/// Reserves machines for the gangs that this controller plans, in its own state and at all peers.
pub(super) fn reserve_for_gangs(controller: &Rc<Controller>) {
    let now = controller.now();
    let reservations = gang_reservations(
        &controller.cluster.borrow(),
        &controller.config,
        now,
        wall_ms(),
    );
    for reservation in reservations {
        let (job, names) = names_of(&controller.cluster.borrow(), &reservation);
        record_reservation(controller, &job, &names);
        broadcast_reservation(controller, reservation_requests(&job, &names));
    }
}

fn names_of(cluster: &ClusterState, reservation: &GangReservation) -> (String, Vec<String>) {
    let name = |machine: &MachineIndex| cluster.machine_names.name(*machine).to_string();
    let job = cluster.jobs[reservation.job.at()].id.to_string();
    (job, reservation.machines.iter().map(name).collect())
}

fn broadcast_reservation(controller: &Rc<Controller>, requests: Vec<PeerRequest>) {
    let requests: Rc<[PeerRequest]> = requests.into();
    for peer in 0..controller.peers.len() {
        let reservation = send_reservation(controller.clone(), peer, requests.clone());
        controller.executor.spawn(reservation).detach();
    }
}

/// Sends the frames of one reservation to one peer, and stops at the first that fails.
async fn send_reservation(controller: Rc<Controller>, peer: usize, requests: Rc<[PeerRequest]>) {
    let client = &controller.peers[peer].client;
    for request in requests.iter() {
        if client.call(request, PEER_TIMEOUT_MS).await.is_err() {
            break;
        }
    }
}

/// The requests that reserve machines for a gang, split into frames.
pub fn reservation_requests(job: &str, machines: &[String]) -> Vec<PeerRequest> {
    let request = |machines: &[String]| PeerRequest::ReserveMachines {
        job: job.to_string(),
        machines: machines.to_vec(),
    };
    machines
        .chunks(MACHINES_PER_RESERVATION)
        .map(request)
        .collect()
}

/// Reserves machines for a gang for [`GANG_RESERVATION_MS`]; unknown jobs and machines are ignored.
pub(super) fn record_reservation(controller: &Controller, job: &str, machines: &[String]) {
    let until = controller.now().plus(GANG_RESERVATION_MS);
    let mut cluster = controller.cluster.borrow_mut();
    let Some((gang, _)) = cluster.job(job) else {
        return;
    };
    for name in machines {
        let Some(machine_index) = cluster.machine_names.find(name) else {
            continue;
        };
        if let Some(machine) = cluster.machine_mut(machine_index) {
            machine.reserve_for(gang, until);
        }
    }
}
