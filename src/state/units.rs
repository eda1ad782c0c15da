//! Amounts and times.

use serde::{Deserialize, Serialize};

/// Milliseconds of this process' steady clock.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct MonotonicMillis(pub u64);

impl MonotonicMillis {
    /// Milliseconds passed since `earlier`, 0 if it lies ahead.
    pub fn since(self, earlier: MonotonicMillis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
    /// This time, `ms` later.
    pub fn plus(self, ms: u64) -> MonotonicMillis {
        MonotonicMillis(self.0.saturating_add(ms))
    }
}

/// Number drawn by a controller process at its start; it grows from start to start.
#[derive(
    Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Seconds of a settings file or message as whole milliseconds.
pub fn millis_from_seconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0).min(1e15) as u64
}

/// Amounts that count against a team's quota, in thousandths.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct QuotaUsage {
    /// Processors.
    pub cpu_milli: i64,
    /// Graphics processors.
    pub gpu_milli: i64,
}

impl QuotaUsage {
    /// Sum.
    pub fn plus(self, other: QuotaUsage) -> QuotaUsage {
        QuotaUsage {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            gpu_milli: self.gpu_milli + other.gpu_milli,
        }
    }
    /// `n` times as much; a negative `n` takes back.
    pub fn times(self, n: i64) -> QuotaUsage {
        QuotaUsage {
            cpu_milli: self.cpu_milli.saturating_mul(n),
            gpu_milli: self.gpu_milli.saturating_mul(n),
        }
    }
    /// The greater of each part.
    pub fn max(self, other: QuotaUsage) -> QuotaUsage {
        QuotaUsage {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            gpu_milli: self.gpu_milli.max(other.gpu_milli),
        }
    }
    /// What is left of it; parts may become negative.
    pub fn minus(self, other: QuotaUsage) -> QuotaUsage {
        QuotaUsage {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            gpu_milli: self.gpu_milli.saturating_sub(other.gpu_milli),
        }
    }
    /// True if no part exceeds that of `other`.
    pub fn within(self, other: QuotaUsage) -> bool {
        self.cpu_milli <= other.cpu_milli && self.gpu_milli <= other.gpu_milli
    }
}

/// What a task takes or a machine has, in thousandths.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Resources {
    /// Processors.
    pub cpu: i64,
    /// Graphics processors.
    pub gpu: i64,
    /// Memory.
    pub mem: i64,
}

fn milli(x: f64) -> i64 {
    (x * 1000.0).ceil().clamp(0.0, 1e15) as i64
}

impl Resources {
    /// From decimal amounts.
    pub fn new(cpus: f64, gpus: f64, mem_gb: f64) -> Resources {
        Resources {
            cpu: milli(cpus),
            gpu: milli(gpus),
            mem: milli(mem_gb),
        }
    }
    /// The part that counts against a team's quota.
    pub fn quota(self) -> QuotaUsage {
        QuotaUsage {
            cpu_milli: self.cpu,
            gpu_milli: self.gpu,
        }
    }
    /// True if `self` fits into `room`.
    pub fn fits(self, room: Resources) -> bool {
        self.cpu <= room.cpu && self.gpu <= room.gpu && self.mem <= room.mem
    }
    /// Sum.
    pub fn plus(self, o: Resources) -> Resources {
        Resources {
            cpu: self.cpu + o.cpu,
            gpu: self.gpu + o.gpu,
            mem: self.mem + o.mem,
        }
    }
    /// Difference; parts may become negative.
    pub fn minus(self, o: Resources) -> Resources {
        Resources {
            cpu: self.cpu - o.cpu,
            gpu: self.gpu - o.gpu,
            mem: self.mem - o.mem,
        }
    }
    /// The lesser of each part.
    pub fn least(self, o: Resources) -> Resources {
        Resources {
            cpu: self.cpu.min(o.cpu),
            gpu: self.gpu.min(o.gpu),
            mem: self.mem.min(o.mem),
        }
    }
    /// `n` times as much.
    pub fn times(self, n: u32) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(n.into()),
            gpu: self.gpu.saturating_mul(n.into()),
            mem: self.mem.saturating_mul(n.into()),
        }
    }
    /// The largest part of `whole` that `self` takes, 0 to 1 and beyond.
    pub fn share_of(self, whole: Resources) -> f64 {
        let part = |a: i64, b: i64| match (a, b) {
            (a, _) if a <= 0 => 0.0,
            (_, 0) => 1.0,
            (a, b) => a as f64 / b as f64,
        };
        part(self.cpu, whole.cpu)
            .max(part(self.gpu, whole.gpu))
            .max(part(self.mem, whole.mem))
    }
}
