//! Records of the state service other than jobs, and their versions.

use super::names::ShardIndex;
use super::units::{Incarnation, QuotaUsage};
use serde::{Deserialize, Serialize};
use standby::ids::FencingToken;

/// All keys of the service start with this.
pub const ROOT: &str = "ph/";

/// A controller's incarnation, held by a lease.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct ControllerRecord {
    /// Number drawn at the start of the process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Forms of records that its process knows; 0: only the first, of version 0.1.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub record_format: u32,
    /// Version of the standby's messages that its process takes; 0: it follows nobody.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub standby_version: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// The form of records that this version knows beside the first: jobs with dependencies, and
/// placements in parts. It begins when every node knows it.
pub const RECORD_FORMAT_V2: u32 = 2;

/// Version of the messages by which a standby follows an owner.
pub const STANDBY_VERSION: u32 = 1;

/// Placements of a job that its own record has no room for.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct OverflowRecord {
    /// Placements.
    #[serde(rename = "p")]
    pub placements: Vec<super::job::StoredPlacement>,
}

/// Who owns a shard.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct ShardRecord {
    /// Node.
    #[serde(rename = "o")]
    pub owner: String,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Token; every change of owner raises it.
    #[serde(rename = "t")]
    pub fencing_token: FencingToken,
}

/// Shares of a team's limit: shard, processors and graphics processors in thousandths.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct TeamRecord {
    /// Shares.
    #[serde(rename = "s", default)]
    pub shares: Vec<(u32, i64, i64)>,
}

impl TeamRecord {
    /// A shard's share.
    pub fn share(&self, shard: ShardIndex) -> QuotaUsage {
        let stored = self.shares.iter().find(|share| share.0 == shard.0);
        stored.map_or(QuotaUsage::default(), |(_, cpu_milli, gpu_milli)| {
            QuotaUsage {
                cpu_milli: *cpu_milli,
                gpu_milli: *gpu_milli,
            }
        })
    }
    /// Sets a shard's share.
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

/// A rental that was asked for and may not show in the list yet.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct ProvisioningRecord {
    /// Type.
    #[serde(rename = "r")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "s")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "n")]
    pub count: u32,
    /// Machines, once known.
    #[serde(rename = "h", default)]
    pub machines: Vec<String>,
}

/// A record with its version.
#[derive(Clone, Debug, Default)]
pub struct Versioned<T> {
    /// Version; 0: absent.
    pub version: u64,
    /// Record.
    pub record: T,
}

/// A team's settings, in thousandths; 0: none.
#[derive(Clone, Debug)]
pub struct TeamLimits {
    /// Guaranteed processors and graphics processors.
    pub guaranteed: QuotaUsage,
    /// Limits of both.
    pub limit: QuotaUsage,
}

impl TeamLimits {
    /// True if nothing limits the team.
    pub fn unlimited(&self) -> bool {
        self.limit == QuotaUsage::default()
    }
    /// True if this much stays within the limit.
    pub fn allows(&self, used: QuotaUsage) -> bool {
        let limit = self.limit;
        (limit.cpu_milli == 0 || used.cpu_milli <= limit.cpu_milli)
            && (limit.gpu_milli == 0 || used.gpu_milli <= limit.gpu_milli)
    }
}
