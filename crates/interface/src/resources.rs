//! Amounts of cores and memory.

use std::ops::{Add, AddAssign, Sub, SubAssign};

/// An amount of cores and memory: a capacity, a request, a usage or what is available.
///
/// Cores are counted in cores, memory in the unit of the cluster's settings. Both may be negative in
/// differences.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Number of cores; fractions are allowed.
    pub cores: f64,
    /// Memory, in the unit of the cluster's settings.
    pub memory: f64,
}

impl Resources {
    /// No cores and no memory.
    pub const ZERO: Self = Self { cores: 0.0, memory: 0.0 };

    /// An amount of cores and memory.
    pub const fn new(cores: f64, memory: f64) -> Self {
        Self { cores, memory }
    }

    /// Cores and memory, each multiplied by its own factor.
    pub fn scaled(self, cores_factor: f64, memory_factor: f64) -> Self {
        Self::new(self.cores * cores_factor, self.memory * memory_factor)
    }

    /// The larger cores and the larger memory of the two.
    pub fn max(self, other: Self) -> Self {
        Self::new(self.cores.max(other.cores), self.memory.max(other.memory))
    }

    /// The smaller cores and the smaller memory of the two.
    pub fn min(self, other: Self) -> Self {
        Self::new(self.cores.min(other.cores), self.memory.min(other.memory))
    }

    /// Whether `request` is no larger than this amount, in cores and in memory.
    pub fn fits(self, request: Self) -> bool {
        request.cores <= self.cores && request.memory <= self.memory
    }
}

impl Add for Resources {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self::new(self.cores + other.cores, self.memory + other.memory)
    }
}

impl Sub for Resources {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self::new(self.cores - other.cores, self.memory - other.memory)
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}
