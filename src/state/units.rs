//! Units: times, incarnations and amounts of resources.

use serde::{Deserialize, Serialize};

/// A time on the monotonic clock of this process, in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct MonotonicMillis(pub u64);

impl MonotonicMillis {
    /// Milliseconds elapsed since `earlier`; 0 if `earlier` is in the future.
    pub fn since(self, earlier: MonotonicMillis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
    /// The time `ms` milliseconds after this one.
    pub fn plus(self, ms: u64) -> MonotonicMillis {
        MonotonicMillis(self.0.saturating_add(ms))
    }
}

/// Incarnation of a controller: a number that its process draws from the wall clock at its start,
/// so that each later process draws a higher one.
#[derive(
    Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Converts seconds, as used in settings and messages, to whole milliseconds; a negative amount
/// counts as 0.
pub fn millis_from_seconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0).min(1e15) as u64
}

/// Amounts of the resources that count against a team's quota, in thousandths.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct QuotaUsage {
    /// Thousandths of a CPU.
    pub cpu_milli: i64,
    /// Thousandths of a GPU.
    pub gpu_milli: i64,
}

impl QuotaUsage {
    /// Sum of each resource.
    pub fn plus(self, other: QuotaUsage) -> QuotaUsage {
        QuotaUsage {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            gpu_milli: self.gpu_milli + other.gpu_milli,
        }
    }
    /// Each resource multiplied by `factor`; a negative factor reverses a charge.
    pub fn times(self, factor: i64) -> QuotaUsage {
        QuotaUsage {
            cpu_milli: self.cpu_milli.saturating_mul(factor),
            gpu_milli: self.gpu_milli.saturating_mul(factor),
        }
    }
    /// The maximum of each resource.
    pub fn max(self, other: QuotaUsage) -> QuotaUsage {
        QuotaUsage {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            gpu_milli: self.gpu_milli.max(other.gpu_milli),
        }
    }
    /// Difference of each resource, which may be negative.
    pub fn minus(self, other: QuotaUsage) -> QuotaUsage {
        QuotaUsage {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            gpu_milli: self.gpu_milli.saturating_sub(other.gpu_milli),
        }
    }
    /// True if no amount in `self` exceeds the amount of that resource in `other`.
    pub fn within(self, other: QuotaUsage) -> bool {
        self.cpu_milli <= other.cpu_milli && self.gpu_milli <= other.gpu_milli
    }
}

/// Amounts of resources that a task requests or a machine has, in thousandths.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Resources {
    /// Thousandths of a CPU.
    pub cpu: i64,
    /// Thousandths of a GPU.
    pub gpu: i64,
    /// Memory, thousandths of a GB.
    pub mem: i64,
}

/// Converts an amount to thousandths, rounded up so that no request is undercounted.
fn milli(amount: f64) -> i64 {
    (amount * 1000.0).ceil().clamp(0.0, 1e15) as i64
}

impl Resources {
    /// Resources from decimal amounts of CPUs, GPUs and GB of memory.
    pub fn new(cpus: f64, gpus: f64, mem_gb: f64) -> Resources {
        Resources {
            cpu: milli(cpus),
            gpu: milli(gpus),
            mem: milli(mem_gb),
        }
    }
    /// The resources that count against a team's quota.
    pub fn quota(self) -> QuotaUsage {
        QuotaUsage {
            cpu_milli: self.cpu,
            gpu_milli: self.gpu,
        }
    }
    /// True if `self` fits into `available`.
    pub fn fits(self, available: Resources) -> bool {
        self.cpu <= available.cpu && self.gpu <= available.gpu && self.mem <= available.mem
    }
    /// Sum of each resource.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu + other.cpu,
            gpu: self.gpu + other.gpu,
            mem: self.mem + other.mem,
        }
    }
    /// Difference of each resource, which may be negative.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu - other.cpu,
            gpu: self.gpu - other.gpu,
            mem: self.mem - other.mem,
        }
    }
    /// The minimum of each resource.
    pub fn least(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.min(other.cpu),
            gpu: self.gpu.min(other.gpu),
            mem: self.mem.min(other.mem),
        }
    }
    /// Each resource multiplied by `factor`.
    pub fn times(self, factor: u32) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(factor.into()),
            gpu: self.gpu.saturating_mul(factor.into()),
            mem: self.mem.saturating_mul(factor.into()),
        }
    }
    /// Dominant share: the largest fraction of any resource of `whole` that `self` uses; above 1 if
    /// `self` does not fit. Use of a resource that `whole` lacks counts as a fraction of 1.
    pub fn share_of(self, whole: Resources) -> f64 {
        let fraction = |used: i64, available: i64| match (used, available) {
            (used, _) if used <= 0 => 0.0,
            (_, 0) => 1.0,
            (used, available) => used as f64 / available as f64,
        };
        fraction(self.cpu, whole.cpu)
            .max(fraction(self.gpu, whole.gpu))
            .max(fraction(self.mem, whole.mem))
    }
}
