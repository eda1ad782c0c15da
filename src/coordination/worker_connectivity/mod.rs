//! Connections from controllers to workers, in addition to the heartbeats that workers send.
//!
//! - [`announce_ownership`]: a new owner sends its fencing token to workers that may still send
//!   heartbeats to an older owner.
//! - [`probes`]: checks whether any worker reaches this controller, and whether unreachable
//!   machines can be reached again.
//! - `direct_commands`: the HTTP requests for both of these and for stops of cancelled tasks.
//!
//! `cli` starts [`run`]. Invariant: responses of workers to these requests are no evidence about
//! their tasks. The controller bounds the number of connections, since the sockets of its machine
//! are limited.

pub mod announce_ownership;
pub(crate) mod direct_commands;
pub mod probes;

use crate::coordination::controller::Controller;
use announce_ownership::OwnershipAnnouncer;
use std::rc::Rc;

/// Time between two rounds of the background task.
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
