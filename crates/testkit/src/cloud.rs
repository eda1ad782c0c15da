//! The cloud: machine types, bookings that can be repeated, a list.

use pointhook::protocol::cloud::{
    CloudMachineType, ListedMachine, MachineListPage, MachineTypeCatalog, ProvisioningRequest,
};
use std::collections::BTreeMap;

/// A cloud with as many machines as anyone asks for, up to a limit.
pub struct Cloud {
    /// Machine types.
    pub flavors: MachineTypeCatalog,
    /// Machines that it has.
    pub capacity: u32,
    /// Rented machines with the time of their rental.
    pub machines: BTreeMap<String, (ListedMachine, u64)>,
    answered: BTreeMap<String, Vec<String>>,
    next: u32,
}

/// The one machine type of the stand-ins.
pub fn flavor() -> CloudMachineType {
    CloudMachineType {
        name: "oven".into(),
        vcpus: 16.0,
        gpus: 4.0,
        mem_gb: 64.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 8.0,
        spot_price: 2.0,
        boot_s: 20.0,
        zones: vec!["north".into(), "south".into()],
    }
}

impl Default for Cloud {
    fn default() -> Self {
        Cloud {
            flavors: MachineTypeCatalog {
                types: vec![flavor()],
            },
            capacity: 8,
            machines: BTreeMap::new(),
            answered: BTreeMap::new(),
            next: 0,
        }
    }
}

impl Cloud {
    /// Machines rented; `None` is 503. A repeated name that got machines gets the same.
    pub fn send_provisioning_request(
        &mut self,
        b: &ProvisioningRequest,
        now_ms: u64,
    ) -> Option<Vec<String>> {
        if let Some(a) = self.answered.get(&b.request_id) {
            return Some(a.clone());
        }
        let left = self.capacity.saturating_sub(self.machines.len() as u32);
        let count = b.count.min(left);
        if count == 0 {
            return None;
        }
        let mut names = Vec::new();
        for _ in 0..count {
            let name = format!("n-{:06}", self.next);
            self.next += 1;
            let listed = ListedMachine {
                name: name.clone(),
                addr: "127.0.0.1:1".into(),
                machine_type: b.machine_type.clone(),
                zone: b.zone.clone(),
                spot: b.spot,
                status: "running".into(),
                age_s: 0.0,
            };
            self.machines.insert(name.clone(), (listed, now_ms));
            names.push(name);
        }
        self.answered.insert(b.request_id.clone(), names.clone());
        Some(names)
    }

    /// Deletes machines.
    pub fn release(&mut self, names: &[String]) {
        for n in names {
            self.machines.remove(n);
        }
    }

    /// All rented machines.
    pub fn list(&self, now_ms: u64) -> MachineListPage {
        let hosts = self.machines.values().map(|(l, at)| {
            let mut l = l.clone();
            l.age_s = (now_ms - at) as f64 / 1000.0;
            l
        });
        MachineListPage {
            hosts: hosts.collect(),
            more: false,
        }
    }
}
