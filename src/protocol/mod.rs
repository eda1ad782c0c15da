//! Wire types and their checks.

pub mod cloud;
pub mod peers;
pub mod state;
pub mod users;
pub mod workers;
