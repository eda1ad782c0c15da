//! Fake cloud provider: machine types, idempotent provisioning requests and a machine list.

use pointhook::protocol::cloud::{
    CloudMachineType, ListedMachine, MachineListPage, MachineTypeCatalog, ProvisioningRequest,
};
use std::collections::BTreeMap;

/// Default capacity of a fake cloud, in machines.
const DEFAULT_CAPACITY: u32 = 8;

/// In-memory cloud that provisions all requested machines at once, up to its capacity.
pub struct FakeCloud {
    /// Catalog of machine types that can be requested.
    pub machine_types: MachineTypeCatalog,
    /// Maximum number of machines that exist at the same time.
    pub capacity: u32,
    machines: BTreeMap<String, ProvisionedMachine>,
    /// Names of provisioned machines by request id, so that a repeated request returns the same
    /// machines.
    provisioned_by_request: BTreeMap<String, Vec<String>>,
    next_machine_number: u32,
}

struct ProvisionedMachine {
    listing: ListedMachine,
    provisioned_at_ms: u64,
}

/// The only machine type of the fake cloud.
pub fn machine_type() -> CloudMachineType {
    CloudMachineType {
        name: "oven".into(),
        vcpus: 16.0,
        gpus: 4.0,
        mem_gb: 64.0,
        cache_gb: 100.0,
        pull_gb_per_s: 1.0,
        price: 8.0,
        spot_price: 2.0,
        boot_s: 20.0,
        zones: vec!["north".into(), "south".into()],
    }
}

impl Default for FakeCloud {
    fn default() -> Self {
        FakeCloud {
            machine_types: MachineTypeCatalog {
                types: vec![machine_type()],
            },
            capacity: DEFAULT_CAPACITY,
            machines: BTreeMap::new(),
            provisioned_by_request: BTreeMap::new(),
            next_machine_number: 0,
        }
    }
}

impl FakeCloud {
    /// Provisions machines for a request and returns their names, or `None` (status 503) if no
    /// capacity is left. Fewer machines than requested are provisioned if the capacity is short. A
    /// request that is repeated under the same id returns the same machines.
    pub fn provision(&mut self, request: &ProvisioningRequest, now_ms: u64) -> Option<Vec<String>> {
        if let Some(names) = self.provisioned_by_request.get(&request.request_id) {
            return Some(names.clone());
        }
        let remaining = self.capacity.saturating_sub(self.machines.len() as u32);
        let count = request.count.min(remaining);
        if count == 0 {
            return None;
        }
        let names: Vec<String> = (0..count)
            .map(|_| self.provision_machine(request, now_ms))
            .collect();
        self.provisioned_by_request
            .insert(request.request_id.clone(), names.clone());
        Some(names)
    }

    fn provision_machine(&mut self, request: &ProvisioningRequest, now_ms: u64) -> String {
        let name = format!("n-{:06}", self.next_machine_number);
        self.next_machine_number += 1;
        let listing = ListedMachine {
            name: name.clone(),
            addr: "127.0.0.1:1".into(),
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            status: "running".into(),
            age_s: 0.0,
        };
        let machine = ProvisionedMachine {
            listing,
            provisioned_at_ms: now_ms,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// Deletes machines; unknown names are ignored.
    pub fn delete_machines(&mut self, names: &[String]) {
        for name in names {
            self.machines.remove(name);
        }
    }

    /// Lists all machines that exist, in a single page, with their ages.
    pub fn list_machines(&self, now_ms: u64) -> MachineListPage {
        let listed = self.machines.values().map(|machine| ListedMachine {
            age_s: (now_ms - machine.provisioned_at_ms) as f64 / 1000.0,
            ..machine.listing.clone()
        });
        MachineListPage {
            machines: listed.collect(),
            more: false,
        }
    }
}
