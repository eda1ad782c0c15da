//! Operator settings: parameters that operators of a cluster may tune.

use super::errors::{check_at_most, check_not_negative, InvalidSetting, SettingsError};
use super::files::read_toml;
use serde::Deserialize;
use std::path::Path;

/// Largest allowed value of `shards_per_zone`.
const MAX_SHARDS_PER_ZONE: usize = 64;
/// Largest allowed value of `polls`.
const MAX_POLLED_MACHINES: usize = 64;
/// Largest allowed value of `queue_cap`.
const MAX_QUEUE_CAP: usize = 64;

/// Contents of the operator settings file. A missing field gets its default; an unknown one is an
/// error.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Number of randomly chosen machines whose queues an idle machine polls for work.
    pub polls: usize,
    /// Maximum number of tasks in a machine's queue.
    pub queue_cap: usize,
    /// Wait of a gang after which machines are reserved for it, s.
    #[serde(rename = "gang_hold_s")]
    pub gang_reservation_after_s: f64,
    /// Wait of a task in a machine's queue after which any machine may claim it, s.
    pub steal_after_s: f64,
    /// Idle time after which a machine is deleted, s.
    #[serde(rename = "idle_return_s")]
    pub scale_in_after_idle_s: f64,
    /// Longest wait of work that may use spot machines before it takes an empty on-demand one, s.
    pub spot_patience_s: f64,
    /// Fraction of the spot work expected during a machine's boot for which free capacity is kept;
    /// may exceed 1.
    #[serde(rename = "headroom")]
    pub capacity_buffer_spot: f64,
    /// Fraction of the other work expected during a machine's boot, which must not use spot machines,
    /// for which free capacity is kept; may exceed 1.
    #[serde(rename = "headroom_ordinary")]
    pub capacity_buffer_on_demand: f64,
    /// Number of shards per zone, 1 to 64.
    pub shards_per_zone: usize,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            polls: 5,
            queue_cap: 2,
            gang_reservation_after_s: 10.0,
            steal_after_s: 2.0,
            scale_in_after_idle_s: 10.0,
            spot_patience_s: 45.0,
            capacity_buffer_spot: 1.0,
            capacity_buffer_on_demand: 1.2,
            shards_per_zone: 2,
        }
    }
}

impl OperatorSettings {
    /// Reads and validates the operator settings file at `path`.
    pub fn load(path: &Path) -> Result<OperatorSettings, SettingsError> {
        let operator: OperatorSettings = read_toml(path)?;
        match operator.check() {
            Ok(()) => Ok(operator),
            Err(source) => Err(SettingsError::Value {
                path: path.into(),
                source,
            }),
        }
    }

    fn check(&self) -> Result<(), InvalidSetting> {
        if !(1..=MAX_SHARDS_PER_ZONE).contains(&self.shards_per_zone) {
            return Err(InvalidSetting::OutOfRange {
                field: "shards_per_zone",
                min: 1,
                max: MAX_SHARDS_PER_ZONE,
            });
        }
        check_at_most("polls", self.polls, MAX_POLLED_MACHINES)?;
        check_at_most("queue_cap", self.queue_cap, MAX_QUEUE_CAP)?;
        check_not_negative(&[
            ("gang_hold_s", self.gang_reservation_after_s),
            ("steal_after_s", self.steal_after_s),
            ("idle_return_s", self.scale_in_after_idle_s),
            ("spot_patience_s", self.spot_patience_s),
            ("headroom", self.capacity_buffer_spot),
            ("headroom_ordinary", self.capacity_buffer_on_demand),
        ])
    }
}
