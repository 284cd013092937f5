//! Chance: a permuted congruential generator (PCG-XSH-RR 64/32), started from the caller's seed.

#[derive(Clone, Debug)]
pub struct Pcg(u64);

impl Pcg {
    const STEP: u64 = 6_364_136_223_846_793_005;
    const ODD: u64 = 1_442_695_040_888_963_407;

    pub fn new(seed: u64) -> Self {
        let mut pcg = Self(seed.wrapping_add(Self::ODD));
        pcg.next();
        pcg
    }

    fn next(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(Self::STEP).wrapping_add(Self::ODD);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// A whole number from 0 to `below` - 1; 0 where `below` is 0.
    pub fn below(&mut self, below: usize) -> usize {
        ((u64::from(self.next()) * below as u64) >> 32) as usize
    }

    /// A part of a whole, in thousandths, under one.
    pub fn part(&mut self) -> f64 {
        self.below(1000) as f64 / 1000.0
    }
}

/// Two ids stirred into one number: the same for everybody, and without order.
pub fn mix(one: u64, two: u64) -> u64 {
    let stirred = (one ^ two.wrapping_mul(Pcg::ODD)).wrapping_mul(Pcg::STEP);
    (stirred ^ (stirred >> 29)).wrapping_mul(Pcg::ODD) ^ (stirred >> 32)
}
