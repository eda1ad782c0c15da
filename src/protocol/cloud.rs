//! What the cloud offers.

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
    /// Room for images.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Speed of image fetches.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine, an hour.
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

/// A rental request.
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

/// Names of machines: answer to a rental, body of a release.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct MachineNames {
    /// Machines.
    pub hosts: Vec<String>,
}

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

/// A page of the list.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct MachineListPage {
    /// Machines by name.
    pub hosts: Vec<ListedMachine>,
    /// There are more.
    #[serde(default)]
    pub more: bool,
}
