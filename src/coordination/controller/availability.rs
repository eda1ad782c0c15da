//! Logs when the services that controllers depend on become available or unavailable.

use std::cell::Cell;

/// A service that controllers depend on.
#[derive(Clone, Copy, Debug)]
pub enum ExternalService {
    /// The key-value store, which holds all records.
    KeyValueStore,
    /// The cloud, which provides the machines.
    Cloud,
}

/// Availability of each service as last recorded; initially both count as unavailable.
#[derive(Default)]
pub struct AvailabilityLog {
    kv: Cell<bool>,
    cloud: Cell<bool>,
}

impl AvailabilityLog {
    /// Records the availability of a service, and logs it if it has changed.
    pub fn record(&self, service: ExternalService, available: bool) {
        let (last, name) = match service {
            ExternalService::KeyValueStore => (&self.kv, "kv"),
            ExternalService::Cloud => (&self.cloud, "cloud"),
        };
        if last.replace(available) == available {
            return;
        }
        if available {
            log::info!("service available: service={name}");
        } else {
            log::warn!("service unavailable: service={name}");
        }
    }
}
