//! Platform settings, operator settings and the features file.
//!
//! `cli` loads the files before it starts a controller; the settings don't change while the
//! controller runs. The keys in the files are the field names, unless `serde(rename)` gives another
//! one.
//!
//! Invariant: loaded settings are valid, so code that uses them need not check them.

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
