//! Pseudo-random numbers that are reproducible from a seed, and a hash of two ids.

/// A permuted congruential generator (PCG-XSH-RR 64/32).
///
/// The same seed gives the same numbers on every platform; simulations depend on it.
#[derive(Clone, Debug)]
pub struct Pcg(u64);

impl Pcg {
    const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
    const INCREMENT: u64 = 1_442_695_040_888_963_407;

    /// A generator that starts from `seed`.
    pub fn new(seed: u64) -> Self {
        let mut generator = Self(seed.wrapping_add(Self::INCREMENT));
        generator.next();
        generator
    }

    fn next(&mut self) -> u32 {
        let state = self.0;
        self.0 = state.wrapping_mul(Self::MULTIPLIER).wrapping_add(Self::INCREMENT);
        ((((state >> 18) ^ state) >> 27) as u32).rotate_right((state >> 59) as u32)
    }

    /// A whole number from 0 to `bound` - 1; 0 where `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        ((u64::from(self.next()) * bound as u64) >> 32) as usize
    }

    /// A fraction from 0 up to but not including 1, in steps of a thousandth.
    pub fn fraction(&mut self) -> f64 {
        self.below(1000) as f64 / 1000.0
    }
}

/// A hash of two ids: the same in every process, and without any order that callers could rely on.
pub fn mix(first: u64, second: u64) -> u64 {
    let mixed = (first ^ second.wrapping_mul(Pcg::INCREMENT)).wrapping_mul(Pcg::MULTIPLIER);
    (mixed ^ (mixed >> 29)).wrapping_mul(Pcg::INCREMENT) ^ (mixed >> 32)
}
