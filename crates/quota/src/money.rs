//! Money in whole micro-units, and what a worker costs.

use mulleinhub_interface::{Duration, Resources};

const NANOS: u128 = 1_000_000_000;

/// Memory is asked for in GiB.
pub const GIB: f64 = 1.0;

/// In micro-units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prices {
    pub core_second: u64,
    pub memory_second: u64,
}

impl Prices {
    /// What a worker costs in a second: at least one micro-unit, so that nothing runs for nothing.
    pub fn rate(self, ask: Resources) -> u64 {
        let cost = ask.cores * self.core_second as f64 + ask.memory / GIB * self.memory_second as f64;
        (cost.ceil() as u64).max(1)
    }
}

/// What a rate comes to over a span, rounded up.
pub fn cost(rate: u64, span: Duration) -> u64 {
    u64::try_from((u128::from(rate) * u128::from(span.nanos())).div_ceil(NANOS)).unwrap_or(u64::MAX)
}

/// What a rate comes to over a span, and the nano-part that is left over: carried on, no second is rounded
/// twice.
pub fn accrued(rate: u64, span: Duration, carried: u64) -> (u64, u64) {
    let all = u128::from(rate) * u128::from(span.nanos()) + u128::from(carried);
    (u64::try_from(all / NANOS).unwrap_or(u64::MAX), (all % NANOS) as u64)
}

/// A part of an amount, in millionths, rounded down.
pub fn part(amount: u64, millionths: u32) -> u64 {
    (u128::from(amount) * u128::from(millionths) / 1_000_000) as u64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn many_short_spans_come_to_what_one_long_one_does() {
        let (mut sum, mut carried) = (0, 0);
        for _ in 0..1_000 {
            let (more, left) = accrued(7, Duration::from_nanos(33_333_333), carried);
            (sum, carried) = (sum + more, left);
        }
        assert_eq!(sum, accrued(7, Duration::from_nanos(33_333_333_000), 0).0);
    }

    #[test]
    fn what_a_worker_costs_is_rounded_up() {
        let prices = Prices { core_second: 10, memory_second: 3 };
        assert_eq!(prices.rate(Resources::new(0.5, 1.1)), 9);
        assert_eq!(Prices::default().rate(Resources::new(4.0, 4.0)), 1);
    }
}
