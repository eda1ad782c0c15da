//! Messages of the cloud API: the machine types on offer, requests for machines, and the list of
//! machines.
//!
//! Only the autoscaler exchanges messages with the cloud. It stores the catalog of machine types as
//! a record, which all controllers read. Wire names are pinned by `serde(rename)`; names in Rust
//! follow `docs/architecture.md`, section "Glossary".

use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct CloudMachineType {
    /// Name of the machine type.
    #[serde(rename = "sku")]
    pub name: String,
    /// Number of CPUs of a machine.
    pub vcpus: f64,
    /// Number of GPUs of a machine.
    pub gpus: f64,
    /// Memory of a machine, GB.
    pub mem_gb: f64,
    /// Disk space of a machine for cached images, GB.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which a machine pulls images, GB/s; 0 if the catalog does not say.
    #[serde(default)]
    pub pull_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Price of a spot machine per hour.
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    /// Usual boot time of a machine, s.
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    /// Names of the zones that offer this type.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// Response to `GET /flavors`.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct MachineTypeCatalog {
    /// Machine types on offer.
    #[serde(rename = "rigs")]
    pub types: Vec<CloudMachineType>,
}

/// A request for machines. The request is idempotent: the cloud answers a repetition as it answered
/// the first.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct ProvisioningRequest {
    /// Name of the request, by which the cloud recognizes a repetition; never reused.
    #[serde(rename = "booking")]
    pub request_id: String,
    /// Name of the requested machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Name of the zone in which machines are requested.
    #[serde(rename = "yard")]
    pub zone: String,
    /// True to request spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of requested machines.
    pub count: u32,
}

/// Names of machines: the response to a request for machines, and the body of a request to delete
/// machines.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// Status of a machine that is booting.
const BOOTING: &str = "booting";
/// Status of a machine that will never finish booting or has broken down.
const FAILED: &str = "failed";

/// A machine in the cloud's list.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "uid")]
    pub name: String,
    /// Address of the machine's worker; empty if the list has none.
    #[serde(rename = "endpoint", default)]
    pub addr: String,
    /// Name of the machine's type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Name of the machine's zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// True for a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Status of the machine: `booting`, `running` or `failed`.
    pub status: String,
    /// Age of the machine, s; 0 if the list does not say.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

impl ListedMachine {
    /// True if the machine has not finished booting.
    pub fn is_booting(&self) -> bool {
        self.status == BOOTING
    }

    /// True if the machine will never finish booting or has broken down.
    pub fn has_failed(&self) -> bool {
        self.status == FAILED
    }
}

/// A page of the cloud's list of machines.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct MachineListPage {
    /// Machines in the order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// True if more machines follow on the next page.
    #[serde(default)]
    pub more: bool,
}
