//! Observed availability of the services that controllers depend on, for the log.

use std::cell::Cell;

/// A service that controllers depend on.
#[derive(Clone, Copy, Debug)]
pub enum ExternalService {
    /// The key-value store.
    KeyValueStore,
    /// The cloud.
    Cloud,
}

/// Whether each service was available when it was last called. Only a change is logged.
#[derive(Default)]
pub struct AvailabilityLog {
    kv: Cell<bool>,
    cloud: Cell<bool>,
}

impl AvailabilityLog {
    /// Logs when a service becomes available or unavailable.
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
