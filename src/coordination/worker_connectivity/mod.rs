//! Direct connections from controllers to workers, beside the heartbeats that workers send.
//!
//! - [`announce_ownership`]: a new owner shows its fencing token to machines that still talk to an
//!   older owner.
//! - [`probes`]: whether workers reach this controller at all, and whether unreachable machines
//!   can be reached after all.
//! - `direct_commands`: the requests themselves, for these and for stops of cancelled tasks.
//!
//! `cli` starts [`run`]. Invariant: what a worker answers here is no evidence about its tasks, and
//! the connections are bounded in number by the controller, as the machine's sockets are.

pub mod announce_ownership;
pub(crate) mod direct_commands;
pub mod probes;

use crate::coordination::controller::Controller;
use announce_ownership::OwnershipAnnouncer;
use std::rc::Rc;

/// Time between two rounds.
const ROUND_INTERVAL_MS: u64 = 1000;

/// Background task: announces ownership and probes workers.
pub async fn run(controller: Rc<Controller>) {
    let mut announcer = OwnershipAnnouncer::default();
    loop {
        controller.tick(ROUND_INTERVAL_MS, None).await;
        let now = controller.now();
        announcer.announce(&controller, now);
        probes::probe_any_workers(&controller);
        probes::probe_unreachable_machines(&controller, now);
    }
}
