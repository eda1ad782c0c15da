//! The platform's settings file, the operators' own and the features file.
//!
//! `cli` loads them before anything starts; the controller keeps them unchanged for as long as it
//! runs. Keys of the files are the fields' names, or stand in `serde(rename)`.
//!
//! Invariant: settings that were loaded have been checked, so their readers need not.

mod errors;
mod features_file;
mod files;
mod operator;
mod platform;

pub use errors::{InvalidSetting, SettingsError};
pub use operator::OperatorSettings;
pub use platform::{
    CancelTimeWarning, CloudLimits, ClusterSettings, KvLimits, NextLimits, Objective, PeerSettings,
    PlatformSettings, ProcessLimits, ServiceAddresses, Team, WorkerSettings, MAX_PEER_CONNECTIONS,
};
