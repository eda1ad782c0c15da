//! Types of the messages that are sent between processes, and the validation of submissions.

pub mod cloud;
pub mod kv;
pub mod peers;
pub mod users;
pub mod workers;
