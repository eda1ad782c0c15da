//! The operators' own settings file: what they may tune.

use super::errors::{check_at_most, check_not_negative, InvalidSetting, SettingsError};
use super::files::read_toml;
use serde::Deserialize;
use std::path::Path;

/// Most shards of a zone.
const MAX_SHARDS_PER_ZONE: usize = 64;
/// Most machines that an idle one polls.
const MAX_POLLED_MACHINES: usize = 64;
/// Most tasks in a machine's queue.
const MAX_QUEUE_CAP: usize = 64;

/// The operators' own file. Unknown fields are refused.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Machines polled by an idle one.
    pub polls: usize,
    /// Tasks in a machine's queue at most.
    pub queue_cap: usize,
    /// A gang waiting longer has machines reserved for it.
    #[serde(rename = "gang_hold_s")]
    pub gang_reservation_after_s: f64,
    /// A queued task waiting longer may be taken by any idle machine.
    pub steal_after_s: f64,
    /// An idle machine is deleted after this time.
    #[serde(rename = "idle_return_s")]
    pub scale_in_after_idle_s: f64,
    /// Work for spot machines takes empty on-demand ones after this wait.
    pub spot_patience_s: f64,
    /// Part of the spot work expected during a boot that capacity is kept free for.
    #[serde(rename = "headroom")]
    pub capacity_buffer_spot: f64,
    /// The same for work that may not use spot machines.
    #[serde(rename = "headroom_ordinary")]
    pub capacity_buffer_on_demand: f64,
    /// Shards per zone.
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
    /// Reads and checks the operators' file.
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
