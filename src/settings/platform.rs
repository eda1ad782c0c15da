//! The platform's settings file: what the deployment fixes.

use super::errors::{check_positive, InvalidSetting, SettingsError};
use super::files::read_toml;
use crate::protocol::kv::Limits;
use crate::state::units::millis_from_seconds;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

/// Fewest changes in a transaction that the scheduler can work with.
const MIN_TXN_OPS: usize = 2;

/// A team's guarantee and limit; 0 means none.
#[derive(Deserialize, Clone, Debug)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Most processors.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed graphics processors.
    #[serde(default)]
    pub gpus: f64,
    /// Most graphics processors.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What is expected of a class of jobs.
#[derive(Deserialize, Clone, Debug)]
pub struct Objective {
    /// `wait`, `finished`, `deadline` or `guarantee`.
    pub kind: String,
    /// Class.
    #[serde(default)]
    pub class: Option<String>,
    /// Time allowed.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Workers' times.
#[derive(Deserialize, Clone, Debug)]
pub struct WorkerSettings {
    /// Between heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Lease.
    pub lease_s: f64,
    /// A gang's wait for its tasks.
    pub gang_wait_s: f64,
    /// Time in which a gang's tasks notice that one of them has failed.
    pub gang_peer_s: f64,
    /// Time for a cancellation.
    pub cancel_s: f64,
}

/// How late a lease may expire: timers of workers, delivery.
const LEASE_EXPIRY_MARGIN_S: f64 = 1.5;
/// Clocks drift by up to 0.05%, so two of them by up to 0.1% against each other.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Least watermark age up to which leases are renewed. Less would take leases away whenever the
/// key-value store answers slowly.
const MIN_WATERMARK_AGE_LIMIT_S: f64 = 6.5;

impl WorkerSettings {
    /// What is left of the time for cancellations after a lease.
    fn watermark_age_limit_s(&self) -> f64 {
        self.cancel_s * (1.0 - MAX_CLOCK_DRIFT)
            - self.lease_s * (1.0 + MAX_CLOCK_DRIFT)
            - LEASE_EXPIRY_MARGIN_S
    }
    /// Age of the cancellation watermark up to which leases are renewed, ms.
    pub fn max_watermark_age_ms(&self) -> u64 {
        millis_from_seconds(self.watermark_age_limit_s().max(MIN_WATERMARK_AGE_LIMIT_S))
    }
    /// What an operator should know of these times.
    pub fn warning(&self) -> Option<CancelTimeWarning> {
        (self.watermark_age_limit_s() < MIN_WATERMARK_AGE_LIMIT_S).then_some(CancelTimeWarning {
            cancel_s: self.cancel_s,
            lease_s: self.lease_s,
        })
    }
}

/// Times of workers that are valid but don't keep what `cancel_s` says in each case.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CancelTimeWarning {
    cancel_s: f64,
    lease_s: f64,
}

impl fmt::Display for CancelTimeWarning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "settings.workers: cancel_s ({}) leaves too little beyond lease_s ({}): tasks on \
             machines of a controller that is cut off from all others may stay longer than \
             cancel_s after their job was cancelled",
            self.cancel_s, self.lease_s
        )
    }
}

/// Limits of the key-value store.
#[derive(Deserialize, Clone, Debug)]
pub struct KvLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Size of a value.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// Limits that hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

impl KvLimits {
    /// The limits as the scheduler uses them.
    pub fn limits(&self) -> Limits {
        Limits {
            txn_ops: self.txn_ops,
            value_bytes: usable_bytes(self.value_kb),
            write_rps: self.write_rps,
        }
    }
}

/// Limits of the key-value store to come; what is left out stays.
#[derive(Deserialize, Clone, Debug, Default)]
pub struct NextLimits {
    /// Puts and deletes a second.
    pub write_rps: Option<f64>,
    /// Size of a value.
    pub value_kb: Option<f64>,
    /// Changes in a transaction.
    pub txn_ops: Option<usize>,
}

impl NextLimits {
    /// The limits as the scheduler uses them.
    pub fn limits(&self) -> Limits {
        Limits {
            txn_ops: self.txn_ops.unwrap_or(usize::MAX),
            value_bytes: self.value_kb.map_or(usize::MAX, usable_bytes),
            write_rps: self.write_rps.unwrap_or(f64::MAX),
        }
    }
}

/// Part of the allowed size of a value that is used: sizes are estimated, not measured.
const USABLE_VALUE_FRACTION: f64 = 0.9;

fn usable_bytes(value_kb: f64) -> usize {
    (value_kb * 1024.0 * USABLE_VALUE_FRACTION) as usize
}

/// Limits of the cloud.
#[derive(Deserialize, Clone, Debug)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Lag of the machine list.
    pub list_lag_s: f64,
}

/// Limits of this controller.
#[derive(Deserialize, Clone, Debug)]
pub struct ProcessLimits {
    /// Sockets.
    pub max_connections: usize,
}

/// Connections that peers may open here.
pub const MAX_PEER_CONNECTIONS: usize = 64;
/// Connections to peers, the key-value store and the cloud, and some to spare.
const OWN_CLIENT_CONNECTIONS: usize = 36;
/// Connections that users and workers may open at least.
const MIN_LISTENER_CONNECTIONS: usize = 16;

impl ProcessLimits {
    /// Connections to workers that may be open at a time.
    pub fn worker_connections(&self) -> usize {
        (self.max_connections / 20).clamp(8, 160)
    }
    /// Connections that users and workers may open: the rest is kept for direct commands, the
    /// peers, the key-value store and the cloud.
    pub fn listener_connections(&self) -> usize {
        let reserved = self.worker_connections() + MAX_PEER_CONNECTIONS + OWN_CLIENT_CONNECTIONS;
        self.max_connections
            .saturating_sub(reserved)
            .max(MIN_LISTENER_CONNECTIONS)
    }
}

/// What all controllers share.
#[derive(Deserialize, Clone, Debug)]
pub struct ClusterSettings {
    /// Zones.
    pub zones: Vec<String>,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: WorkerSettings,
    /// Key-value store.
    #[serde(rename = "state")]
    pub kv: KvLimits,
    /// Cloud.
    pub cloud: CloudLimits,
    /// This controller.
    #[serde(rename = "machine_limits")]
    pub process: ProcessLimits,
}

/// Another controller.
#[derive(Deserialize, Clone, Debug)]
pub struct PeerSettings {
    /// Name.
    #[serde(rename = "node")]
    pub name: String,
    /// Zone.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address for peers.
    pub addr: SocketAddr,
}

/// Services outside.
#[derive(Deserialize, Clone, Debug)]
pub struct ServiceAddresses {
    /// Cloud.
    pub cloud: SocketAddr,
    /// Key-value store.
    #[serde(rename = "state")]
    pub kv: SocketAddr,
}

/// The platform's file. Unknown fields are ignored.
#[derive(Deserialize, Clone, Debug)]
pub struct PlatformSettings {
    /// Name of this controller.
    #[serde(rename = "node")]
    pub name: String,
    /// Its zone.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address for users, workers and health checks.
    pub bind: SocketAddr,
    /// Address for the other controllers.
    pub cluster_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<PeerSettings>,
    /// Services outside.
    #[serde(rename = "outside")]
    pub services: ServiceAddresses,
    /// What all controllers share.
    pub settings: ClusterSettings,
}

impl PlatformSettings {
    /// Reads and checks the platform's file.
    pub fn load(path: &Path) -> Result<PlatformSettings, SettingsError> {
        let platform: PlatformSettings = read_toml(path)?;
        match platform.check() {
            Ok(()) => Ok(platform),
            Err(source) => Err(SettingsError::Value {
                path: path.into(),
                source,
            }),
        }
    }

    fn check(&self) -> Result<(), InvalidSetting> {
        let ClusterSettings {
            zones,
            workers,
            kv,
            cloud,
            ..
        } = &self.settings;
        if zones.is_empty() {
            return Err(InvalidSetting::NoZones);
        }
        if !zones.contains(&self.zone) {
            return Err(InvalidSetting::UnknownZone);
        }
        check_positive(&[
            ("settings.workers.report_s", workers.heartbeat_s),
            ("settings.workers.lease_s", workers.lease_s),
            ("settings.workers.gang_wait_s", workers.gang_wait_s),
            ("settings.workers.gang_peer_s", workers.gang_peer_s),
            ("settings.workers.cancel_s", workers.cancel_s),
            ("settings.state.rps", kv.rps),
            ("settings.state.write_rps", kv.write_rps),
            ("settings.state.value_kb", kv.value_kb),
            ("settings.cloud.rps", cloud.rps),
        ])?;
        if kv.txn_ops < MIN_TXN_OPS {
            return Err(InvalidSetting::TooSmall {
                field: "settings.state.txn_ops",
                min: MIN_TXN_OPS,
            });
        }
        Ok(())
    }
}
