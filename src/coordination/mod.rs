//! Membership, queues and pull, gangs, renting, cancellation.

pub mod cancellations;
pub mod intake;
pub mod members;
pub mod meter;
pub mod node;
pub mod pace;
pub mod plan;
pub mod planner;
pub mod reach;
pub mod renting;
pub mod reports;
pub mod siblings;
pub mod store;
