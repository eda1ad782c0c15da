//! Records of the key-value store other than jobs, and their versions.

use super::names::ShardIndex;
use super::units::{Incarnation, QuotaUsage};
use serde::{Deserialize, Serialize};
use standby::ids::FencingToken;

/// Prefix of all keys in the key-value store.
pub const KEY_PREFIX: &str = "ph/";

/// A controller's incarnation, at the key `ph/node/<controller>`.
///
/// Written by the controller itself under its lease; deleted by the key-value store when the
/// lease expires.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct ControllerRecord {
    /// Incarnation drawn when the process started.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Highest record format that the process can read; 0: only the first, that of version 0.1.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub record_format: u32,
    /// Version of the replication messages that the process accepts; 0: it does not act as a
    /// standby.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub standby_version: u32,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// The second record format, which this version reads in addition to the first. It adds jobs with
/// dependencies and overflow records, and is written only once every controller can read it.
pub const RECORD_FORMAT_V2: u32 = 2;

/// The third record format. It adds staged attempts of gangs to the records of jobs, and is written
/// only while every live controller can read it: an earlier version takes a staged gang for one
/// that has lost tasks, starts none of them and removes their placements.
pub const RECORD_FORMAT_V3: u32 = 3;

/// The newest record format that this version reads.
pub const NEWEST_RECORD_FORMAT: u32 = RECORD_FORMAT_V3;

/// Version of the messages that replicate a shard owner's state to its standby.
pub const STANDBY_VERSION: u32 = 1;

/// An overflow record: placements that would make a job's own record exceed the size limit of a
/// value, at the key `ph/more/<job>.<overflow index>`.
///
/// Written and deleted in the same transactions as the job's record, whose version therefore
/// stands for all of them.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct OverflowRecord {
    /// Placements in this overflow record, in the same form as in the job's own record.
    #[serde(rename = "p")]
    pub placements: Vec<super::job::StoredPlacement>,
}

/// Ownership of a shard, at the key `ph/shard/<index>`.
///
/// Written by the controller that acquires the shard, on the condition that the record has not
/// changed. Every transaction of the owner is conditional on the version of this record.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct ShardRecord {
    /// Name of the owning controller.
    #[serde(rename = "o")]
    pub owner: String,
    /// Incarnation of the owner.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Fencing token, raised by every change of owner.
    #[serde(rename = "t")]
    pub fencing_token: FencingToken,
}

/// A team's quota shares, at the key `ph/team/<team>`.
///
/// Written by shard owners that take a larger share, on the condition that the record has not
/// changed, so that the shares never exceed the team's limit together.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct TeamRecord {
    /// Shares as stored: shard, thousandths of a CPU, thousandths of a GPU.
    #[serde(rename = "s", default)]
    pub shares: Vec<(u32, i64, i64)>,
}

impl TeamRecord {
    /// Quota share of a shard; zero if none is stored.
    pub fn share(&self, shard: ShardIndex) -> QuotaUsage {
        let stored = self.shares.iter().find(|share| share.0 == shard.0);
        stored.map_or(QuotaUsage::default(), |(_, cpu_milli, gpu_milli)| {
            QuotaUsage {
                cpu_milli: *cpu_milli,
                gpu_milli: *gpu_milli,
            }
        })
    }
    /// Sets the quota share of a shard; a share of zero is not stored.
    pub fn set(&mut self, shard: ShardIndex, share: QuotaUsage) {
        self.shares.retain(|stored| stored.0 != shard.0);
        if share != QuotaUsage::default() {
            self.shares
                .push((shard.0, share.cpu_milli, share.gpu_milli));
        }
    }
    /// Sum of all shares.
    pub fn total(&self) -> QuotaUsage {
        let shards = self.shares.iter().map(|stored| ShardIndex(stored.0));
        shards.fold(QuotaUsage::default(), |sum, shard| {
            sum.plus(self.share(shard))
        })
    }
}

/// A provisioning request whose machines may not be in the cloud's machine list yet, at the key
/// `ph/book/<request>`.
///
/// Written by the owner of the autoscaler's shard before it asks the cloud, so that neither a
/// restart nor a failover requests the same machines twice; deleted once the list shows them.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct ProvisioningRecord {
    /// Name of the requested machine type.
    #[serde(rename = "r")]
    pub machine_type: String,
    /// Name of the zone in which machines are requested.
    #[serde(rename = "z")]
    pub zone: String,
    /// True for spot machines, which the cloud may preempt.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Number of requested machines.
    #[serde(rename = "n")]
    pub count: u32,
    /// Names of the provisioned machines; empty until the cloud has answered.
    #[serde(rename = "h", default)]
    pub machines: Vec<String>,
}

/// A record with its version.
#[derive(Clone, Debug, Default)]
pub struct Versioned<T> {
    /// Version in the key-value store; 0: the record does not exist.
    pub version: u64,
    /// Contents of the record; the default value if the record does not exist.
    pub record: T,
}

/// Quota limits of a team, from the settings.
#[derive(Clone, Debug)]
pub struct TeamLimits {
    /// Quota that the team is guaranteed; 0 of a resource: none.
    pub guaranteed: QuotaUsage,
    /// Upper limit of the quota that the team may use; 0 of a resource: unlimited.
    pub limit: QuotaUsage,
}

impl TeamLimits {
    /// The limits that the settings give a team.
    pub fn from_settings(team: &crate::settings::Team) -> TeamLimits {
        let milli = |amount: f64| (amount * 1000.0).round().max(0.0) as i64;
        let quota = |cpus: f64, gpus: f64| QuotaUsage {
            cpu_milli: milli(cpus),
            gpu_milli: milli(gpus),
        };
        TeamLimits {
            guaranteed: quota(team.cpus, team.gpus),
            limit: quota(team.cpus_max, team.gpus_max),
        }
    }

    /// True if the team's use of every resource is unlimited.
    pub fn unlimited(&self) -> bool {
        self.limit == QuotaUsage::default()
    }
    /// True if a usage of `used` stays within the upper limit.
    pub fn allows(&self, used: QuotaUsage) -> bool {
        let limit = self.limit;
        (limit.cpu_milli == 0 || used.cpu_milli <= limit.cpu_milli)
            && (limit.gpu_milli == 0 || used.gpu_milli <= limit.gpu_milli)
    }
}
