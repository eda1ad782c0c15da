//! Platform settings: parameters that the deployment of a cluster determines.

use super::errors::{check_positive, InvalidSetting, SettingsError};
use super::files::read_toml;
use crate::protocol::kv::Limits;
use crate::state::units::millis_from_seconds;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

/// Smallest limit of writes per transaction that the scheduler can work with.
const MIN_TXN_OPS: usize = 2;

/// A team with its guaranteed resources and its quota. 0 means no guarantee or no limit.
#[derive(Deserialize, Clone, Debug)]
pub struct Team {
    /// Name by which jobs refer to their team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective for a class of jobs. The scheduler uses only those of kind `finished`.
#[derive(Deserialize, Clone, Debug)]
pub struct Objective {
    /// `wait`, `finished`, `deadline` or `guarantee`.
    pub kind: String,
    /// Class of the jobs to which the objective applies.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which the objective has to be met, s.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Intervals and timeouts of workers.
#[derive(Deserialize, Clone, Debug)]
pub struct WorkerSettings {
    /// Interval between heartbeats, s.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Duration of a worker's lease, s; a worker whose lease expires kills its tasks.
    pub lease_s: f64,
    /// Time that a gang's tasks wait for each other to start, s.
    pub gang_wait_s: f64,
    /// Time within which a gang's tasks notice that one of them has failed, s.
    pub gang_peer_s: f64,
    /// Time within which the tasks of a cancelled job have to be stopped, s.
    pub cancel_s: f64,
}

/// Longest delay of a lease's expiry, due to workers' timers and message delivery, s.
const LEASE_EXPIRY_MARGIN_S: f64 = 1.5;
/// Relative drift between two clocks, each of which drifts by up to 0.05%.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Minimum of the limit on the age of the cancellation watermark, s; above the limit, leases are not
/// renewed. With a lower minimum, leases would expire whenever the key-value store responds slowly.
const MIN_WATERMARK_AGE_LIMIT_S: f64 = 6.5;

impl WorkerSettings {
    /// Part of `cancel_s` that remains after a worker's lease has expired in the worst case, s.
    fn watermark_age_limit_s(&self) -> f64 {
        self.cancel_s * (1.0 - MAX_CLOCK_DRIFT)
            - self.lease_s * (1.0 + MAX_CLOCK_DRIFT)
            - LEASE_EXPIRY_MARGIN_S
    }
    /// Largest age of the cancellation watermark at which leases are still renewed, ms.
    pub fn max_watermark_age_ms(&self) -> u64 {
        millis_from_seconds(self.watermark_age_limit_s().max(MIN_WATERMARK_AGE_LIMIT_S))
    }
    /// Warning for operators if `cancel_s` leaves too little time after a lease; `None` if not.
    pub fn warning(&self) -> Option<CancelTimeWarning> {
        (self.watermark_age_limit_s() < MIN_WATERMARK_AGE_LIMIT_S).then_some(CancelTimeWarning {
            cancel_s: self.cancel_s,
            lease_s: self.lease_s,
        })
    }
}

/// Warning that `cancel_s` is valid but too short to be met in all cases with this `lease_s`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CancelTimeWarning {
    cancel_s: f64,
    lease_s: f64,
}

impl fmt::Display for CancelTimeWarning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "settings.workers: cancel_s ({}) is too short for lease_s ({}): if a controller is \
             cut off from all others, tasks on its machines may run for longer than cancel_s \
             after their job was cancelled",
            self.cancel_s, self.lease_s
        )
    }
}

/// Limits that the key-value store enforces.
#[derive(Deserialize, Clone, Debug)]
pub struct KvLimits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value, KiB.
    pub value_kb: f64,
    /// Maximum number of writes in a transaction.
    pub txn_ops: usize,
    /// Limits that will take effect at an unknown time, without notice; `None`: no change is planned.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

impl KvLimits {
    /// The limits in the scheduler's units, with a margin for the size of values.
    pub fn limits(&self) -> Limits {
        Limits {
            txn_ops: self.txn_ops,
            value_bytes: usable_bytes(self.value_kb),
            write_rps: self.write_rps,
        }
    }
}

/// Future limits of the key-value store. A limit that is left out does not change.
#[derive(Deserialize, Clone, Debug, Default)]
pub struct NextLimits {
    /// Puts and deletes per second.
    pub write_rps: Option<f64>,
    /// Maximum size of a value, KiB.
    pub value_kb: Option<f64>,
    /// Maximum number of writes in a transaction.
    pub txn_ops: Option<usize>,
}

impl NextLimits {
    /// The limits in the scheduler's units; one that is left out is unlimited. The scheduler uses
    /// them only to tighten the current limits, so a limit that is left out has no effect.
    pub fn limits(&self) -> Limits {
        Limits {
            txn_ops: self.txn_ops.unwrap_or(usize::MAX),
            value_bytes: self.value_kb.map_or(usize::MAX, usable_bytes),
            write_rps: self.write_rps.unwrap_or(f64::MAX),
        }
    }
}

/// Fraction of the allowed size of a value that is used, because sizes are estimated, not measured.
const USABLE_VALUE_FRACTION: f64 = 0.9;

fn usable_bytes(value_kb: f64) -> usize {
    (value_kb * 1024.0 * USABLE_VALUE_FRACTION) as usize
}

/// Limits of the cloud provider.
#[derive(Deserialize, Clone, Debug)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Time by which the list of machines may lag behind the cloud's state, s.
    pub list_lag_s: f64,
}

/// Limits of a controller process.
#[derive(Deserialize, Clone, Debug)]
pub struct ProcessLimits {
    /// Maximum number of open sockets.
    pub max_connections: usize,
    /// Memory of the process, MB.
    #[serde(default = "default_mem_mb")]
    pub mem_mb: f64,
}

fn default_mem_mb() -> f64 {
    DEFAULT_MEM_MB
}

/// Memory of a process whose settings name none, MB.
const DEFAULT_MEM_MB: f64 = 64.0;
/// KiB in an MB of a million bytes.
const KIB_PER_MB: f64 = 1e6 / 1024.0;
/// Part of the memory that requests may take while they are being received.
const RECEPTION_MEM_FRACTION: f64 = 0.2;
/// Upper bound of the memory of a request that is being received: its largest body and its buffers.
const RECEPTION_KIB: f64 = 112.0;
/// Lower bound of the number of requests that may be received at a time.
const MIN_RECEPTIONS: usize = 16;

/// Maximum number of connections that peers may open to this controller.
pub const MAX_PEER_CONNECTIONS: usize = 64;
/// Sockets reserved for connections to peers, the key-value store and the cloud, with some spare.
const OWN_CLIENT_CONNECTIONS: usize = 36;
/// Lower bound of the number of connections that users and workers may open.
const MIN_LISTENER_CONNECTIONS: usize = 16;

impl ProcessLimits {
    /// Maximum number of open connections to workers.
    pub fn worker_connections(&self) -> usize {
        (self.max_connections / 20).clamp(8, 160)
    }
    /// Maximum number of requests of users and workers that are being received at a time.
    pub fn receptions(&self) -> usize {
        let usable_kib = self.mem_mb * KIB_PER_MB * RECEPTION_MEM_FRACTION;
        ((usable_kib / RECEPTION_KIB) as usize).max(MIN_RECEPTIONS)
    }
    /// Maximum number of connections that users and workers may open. The other sockets are reserved
    /// for direct commands to workers, the peers, the key-value store and the cloud.
    pub fn listener_connections(&self) -> usize {
        let reserved = self.worker_connections() + MAX_PEER_CONNECTIONS + OWN_CLIENT_CONNECTIONS;
        self.max_connections
            .saturating_sub(reserved)
            .max(MIN_LISTENER_CONNECTIONS)
    }
}

/// Settings that are the same for all controllers of a cluster.
#[derive(Deserialize, Clone, Debug)]
pub struct ClusterSettings {
    /// Names of all zones; not empty.
    pub zones: Vec<String>,
    /// Teams with guarantees or quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and timeouts of workers.
    pub workers: WorkerSettings,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub kv: KvLimits,
    /// Limits of the cloud provider.
    pub cloud: CloudLimits,
    /// Limits of each controller process.
    #[serde(rename = "machine_limits")]
    pub process: ProcessLimits,
}

/// Another controller of the cluster.
#[derive(Deserialize, Clone, Debug)]
pub struct PeerSettings {
    /// Name of the peer.
    #[serde(rename = "node")]
    pub name: String,
    /// Zone of the peer.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address at which the peer accepts connections of other controllers.
    pub addr: SocketAddr,
}

/// Addresses of external services.
#[derive(Deserialize, Clone, Debug)]
pub struct ServiceAddresses {
    /// Address of the cloud's HTTP API.
    pub cloud: SocketAddr,
    /// Address of the key-value store.
    #[serde(rename = "state")]
    pub kv: SocketAddr,
}

/// Contents of the platform settings file. Unknown fields are ignored.
#[derive(Deserialize, Clone, Debug)]
pub struct PlatformSettings {
    /// Name of this controller.
    #[serde(rename = "node")]
    pub name: String,
    /// Zone of this controller; one of `settings.zones`.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Listen address for users, workers and health checks.
    pub bind: SocketAddr,
    /// Listen address for the other controllers.
    pub cluster_listen: SocketAddr,
    /// The other controllers of the cluster; empty if there is only one.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<PeerSettings>,
    /// Addresses of external services.
    #[serde(rename = "outside")]
    pub services: ServiceAddresses,
    /// Settings that are the same for all controllers.
    pub settings: ClusterSettings,
}

impl PlatformSettings {
    /// Reads and validates the platform settings file at `path`.
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
            process,
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
            ("settings.machine_limits.mem_mb", process.mem_mb),
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
