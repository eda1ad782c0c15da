//! Wire types and their validation.

pub mod cloud;
pub mod kv;
pub mod peers;
pub mod users;
pub mod workers;
