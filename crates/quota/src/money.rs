//! Money in whole micro-units, and the cost of workers.

use mulleinhub_interface::{Duration, Resources};

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// One GiB in the unit in which memory is requested.
pub const GIB: f64 = 1.0;

/// Prices of resources, in micro-units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prices {
    /// Price of one core for one second.
    pub core_second: u64,
    /// Price of one GiB of memory for one second.
    pub memory_second: u64,
}

impl Prices {
    /// What a worker with this resource request costs, in micro-units per second. At least 1, so that
    /// nothing runs for free.
    pub fn rate(self, request: Resources) -> u64 {
        let cores = request.cores * self.core_second as f64;
        let memory = request.memory / GIB * self.memory_second as f64;
        ((cores + memory).ceil() as u64).max(1)
    }
}

/// The cost of a rate over a duration, rounded up.
pub fn cost(rate: u64, duration: Duration) -> u64 {
    let nano_cost = u128::from(rate) * u128::from(duration.nanos());
    u64::try_from(nano_cost.div_ceil(NANOS_PER_SECOND)).unwrap_or(u64::MAX)
}

/// The cost of a rate over a duration plus the remainder of the previous call, and the new remainder, in
/// nano-parts of a micro-unit. Carrying the remainder keeps many short durations as exact as one long one.
pub fn accrued(rate: u64, duration: Duration, remainder: u64) -> (u64, u64) {
    let nano_cost = u128::from(rate) * u128::from(duration.nanos()) + u128::from(remainder);
    let cost = u64::try_from(nano_cost / NANOS_PER_SECOND).unwrap_or(u64::MAX);
    (cost, (nano_cost % NANOS_PER_SECOND) as u64)
}

/// A fraction of an amount, in millionths, rounded down.
pub fn fraction(amount: u64, millionths: u32) -> u64 {
    (u128::from(amount) * u128::from(millionths) / 1_000_000) as u64
}

#[cfg(test)]
mod tests;
