//! A deployment on one machine, to rehearse failures on: stand-ins of the state service, the cloud
//! and the workers, controllers as processes that can be paused and killed, a history of what
//! happened and a checker of it.
//!
//! The stand-ins serve tests with a fake clock as they are, and processes by way of [`network`].

pub mod checker;
pub mod cloud;
pub mod history;
pub mod jobs;
pub mod network;
pub mod process;
pub mod store;
pub mod takeover;
pub mod worker;
