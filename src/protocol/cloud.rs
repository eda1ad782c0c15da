//! The cloud's protocol: what it offers, requests for machines, and the list of machines.
//!
//! The autoscaler alone speaks it. Its words stand in `serde(rename)`; Rust has those of
//! `docs/architecture.md`, section "Glossary".

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct CloudMachineType {
    /// Name.
    #[serde(rename = "sku")]
    pub name: String,
    /// Processors.
    pub vcpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Memory.
    pub mem_gb: f64,
    /// Disk space for images.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which images are pulled.
    #[serde(default)]
    pub pull_gb_per_s: f64,
    /// Price of an on-demand machine, an hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Price of a spot machine, an hour.
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// Answer to `GET /flavors`.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug, Default)]
pub struct MachineTypeCatalog {
    /// The types.
    #[serde(rename = "rigs")]
    pub types: Vec<CloudMachineType>,
}

/// A request for machines. The cloud answers a repeated one as it did the first.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct ProvisioningRequest {
    /// Name of the request, never reused.
    #[serde(rename = "booking")]
    pub request_id: String,
    /// Machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Names of machines: answer to a request for machines, body of a request to delete them.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct MachineNames {
    /// Machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// Status of a machine that boots.
const BOOTING: &str = "booting";
/// Status of a machine that the cloud has given up.
const FAILED: &str = "failed";

/// A machine in the list.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct ListedMachine {
    /// Name.
    #[serde(rename = "uid")]
    pub name: String,
    /// Address of its worker.
    #[serde(rename = "endpoint", default)]
    pub addr: String,
    /// Type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// A spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// `booting`, `running` or `failed`.
    pub status: String,
    /// Age.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

impl ListedMachine {
    /// True if it has not come up yet.
    pub fn is_booting(&self) -> bool {
        self.status == BOOTING
    }

    /// True if it will never come up or has broken down.
    pub fn has_failed(&self) -> bool {
        self.status == FAILED
    }
}

/// A page of the list.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct MachineListPage {
    /// Machines by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// There are more.
    #[serde(default)]
    pub more: bool,
}
