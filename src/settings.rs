//! The platform's settings file and the operators' own.

use crate::protocol::kv::Limits;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Why settings can't be used; one line, naming file and field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// File.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not what it should be.
    #[error("{file}: {what}")]
    Content {
        /// File.
        file: String,
        /// What is wrong.
        what: String,
    },
}

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
pub struct Workers {
    /// Between reports.
    pub report_s: f64,
    /// Lease.
    pub lease_s: f64,
    /// A gang's wait for its tasks.
    pub gang_wait_s: f64,
    /// Time in which a gang's tasks notice and are told.
    pub gang_peer_s: f64,
    /// Time for a cancellation.
    pub cancel_s: f64,
}

/// What the end of a lease may be late by: timers of workers, delivery.
const LATE_S: f64 = 1.5;
/// Least age of the knowledge of cancellations at which leases are still renewed. Less would
/// take leases away whenever the state service answers slowly.
const LEAST_RENEW_S: f64 = 6.5;

impl Workers {
    /// What is left of the time for cancellations after a lease; clocks drift by up to 0.05%.
    fn room_s(&self) -> f64 {
        self.cancel_s * 0.999 - self.lease_s * 1.001 - LATE_S
    }
    /// Age of the knowledge of cancellations up to which leases are renewed, ms.
    pub fn renew_ms(&self) -> u64 {
        crate::state::units::millis_from_seconds(self.room_s().max(LEAST_RENEW_S))
    }
    /// What an operator should know of these times.
    pub fn warning(&self) -> Option<String> {
        (self.room_s() < LEAST_RENEW_S).then(|| {
            format!(
                "settings.workers: cancel_s ({}) leaves too little beyond lease_s ({}): tasks on \
                 machines of a controller that is cut off from all others may stay longer than \
                 cancel_s after their job was cancelled",
                self.cancel_s, self.lease_s
            )
        })
    }
}

/// Limits of the state service.
#[derive(Deserialize, Clone, Debug)]
pub struct StateLimits {
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

impl StateLimits {
    /// As plans use them.
    pub fn limits(&self) -> Limits {
        Limits {
            txn_ops: self.txn_ops,
            value_bytes: stored(self.value_kb),
            write_rps: self.write_rps,
        }
    }
}

/// Limits of the state service to come; what is left out stays.
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
    /// As plans use them.
    pub fn limits(&self) -> Limits {
        Limits {
            txn_ops: self.txn_ops.unwrap_or(usize::MAX),
            value_bytes: self.value_kb.map_or(usize::MAX, stored),
            write_rps: self.write_rps.unwrap_or(f64::MAX),
        }
    }
}

/// What is used of the size of a value: sizes are reckoned, not measured.
fn stored(value_kb: f64) -> usize {
    (value_kb * 1024.0 * 0.9) as usize
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
pub struct MachineLimits {
    /// Sockets.
    pub max_connections: usize,
}

/// Connections that peers may open here.
pub const PEER_CONNECTIONS: usize = 64;

impl MachineLimits {
    /// Connections to workers that may be open at a time.
    pub fn directs(&self) -> usize {
        (self.max_connections / 20).clamp(8, 160)
    }
    /// Connections that users and workers may open: the rest is kept for direct commands, the
    /// peers, the state service and the cloud.
    pub fn at_the_door(&self) -> usize {
        let kept = self.directs() + PEER_CONNECTIONS + 36;
        self.max_connections.saturating_sub(kept).max(16)
    }
}

/// What all controllers share.
#[derive(Deserialize, Clone, Debug)]
pub struct Shared {
    /// Zones.
    pub zones: Vec<String>,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: Workers,
    /// State service.
    pub state: StateLimits,
    /// Cloud.
    pub cloud: CloudLimits,
    /// This controller.
    pub machine_limits: MachineLimits,
}

/// Another controller.
#[derive(Deserialize, Clone, Debug)]
pub struct Sibling {
    /// Name.
    pub node: String,
    /// Zone.
    pub domain: String,
    /// Address for peers.
    pub addr: SocketAddr,
}

/// Services outside.
#[derive(Deserialize, Clone, Debug)]
pub struct Outside {
    /// Cloud.
    pub cloud: SocketAddr,
    /// State service.
    pub state: SocketAddr,
}

/// The platform's file. Unknown fields are ignored.
#[derive(Deserialize, Clone, Debug)]
pub struct Platform {
    /// This controller.
    pub node: String,
    /// Its zone.
    pub domain: String,
    /// Address for users, workers and health checks.
    pub bind: SocketAddr,
    /// Address for the other controllers.
    pub cluster_listen: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    /// Services outside.
    pub outside: Outside,
    /// What all controllers share.
    pub settings: Shared,
}

/// The operators' own file. Unknown fields are refused.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Machines polled by an idle one.
    pub polls: usize,
    /// Tasks in a machine's queue at most.
    pub queue_cap: usize,
    /// A gang waiting longer has machines kept free for it.
    pub gang_hold_s: f64,
    /// A queued task waiting longer may be taken by any idle machine.
    pub steal_after_s: f64,
    /// An idle machine is returned after this time.
    pub idle_return_s: f64,
    /// Work for spot machines takes empty ordinary ones after this wait.
    pub spot_patience_s: f64,
    /// Part of the spot work expected during a boot that has room kept for it.
    pub headroom: f64,
    /// The same for work that may not use spot machines.
    pub headroom_ordinary: f64,
    /// Shards per zone.
    pub shards_per_zone: usize,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            polls: 5,
            queue_cap: 2,
            gang_hold_s: 10.0,
            steal_after_s: 2.0,
            idle_return_s: 10.0,
            spot_patience_s: 45.0,
            headroom: 1.0,
            headroom_ordinary: 1.2,
            shards_per_zone: 2,
        }
    }
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: file.clone(),
        source,
    })?;
    toml::from_str(&text).map_err(|e| {
        let line = e
            .span()
            .map_or(0, |s| text[..s.start.min(text.len())].lines().count());
        SettingsError::Content {
            file,
            what: format!("line {line}: {}", e.message().replace('\n', " ")),
        }
    })
}

fn check(file: &Path, ok: bool, what: &str) -> Result<(), SettingsError> {
    if ok {
        return Ok(());
    }
    Err(SettingsError::Content {
        file: file.display().to_string(),
        what: what.into(),
    })
}

impl Platform {
    /// Reads and checks the platform's file.
    pub fn load(path: &Path) -> Result<Platform, SettingsError> {
        let p: Platform = read(path)?;
        let s = &p.settings;
        let w = &s.workers;
        let times = [
            w.report_s,
            w.lease_s,
            w.gang_wait_s,
            w.gang_peer_s,
            w.cancel_s,
        ];
        let rates = [
            s.state.rps,
            s.state.write_rps,
            s.state.value_kb,
            s.cloud.rps,
        ];
        let positive = |x: &f64| x.is_finite() && *x > 0.0;
        check(path, !s.zones.is_empty(), "settings.zones is empty")?;
        check(
            path,
            s.zones.contains(&p.domain),
            "domain is not among settings.zones",
        )?;
        check(
            path,
            times.iter().all(positive),
            "settings.workers: times must be above 0",
        )?;
        check(
            path,
            rates.iter().all(positive),
            "settings.state, settings.cloud: limits must be above 0",
        )?;
        check(
            path,
            s.state.txn_ops >= 2,
            "settings.state.txn_ops must be at least 2",
        )?;
        Ok(p)
    }
}

impl Operator {
    /// Reads and checks the operators' file.
    pub fn load(path: &Path) -> Result<Operator, SettingsError> {
        let o: Operator = read(path)?;
        check(
            path,
            (1..=64).contains(&o.shards_per_zone),
            "shards_per_zone must be 1 to 64",
        )?;
        check(path, o.polls <= 64, "polls must be at most 64")?;
        check(path, o.queue_cap <= 64, "queue_cap must be at most 64")?;
        let times = [
            o.gang_hold_s,
            o.steal_after_s,
            o.idle_return_s,
            o.spot_patience_s,
            o.headroom,
            o.headroom_ordinary,
        ];
        check(
            path,
            times.iter().all(|t| t.is_finite() && *t >= 0.0),
            "times and parts must not be negative",
        )?;
        Ok(o)
    }
}
