//! Chance for stand-ins, from a seed and a name, so that one stand-in's draws never shift another's.

use mulleinhub_interface::Duration;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[derive(Clone, Debug)]
pub struct Dice(Pcg64Mcg);

impl Dice {
    pub fn new(seed: u64, name: &str) -> Self {
        // FNV-1a: the name only has to spread.
        let mixed = name.bytes().fold(0xcbf2_9ce4_8422_2325 ^ seed, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        Self(Pcg64Mcg::seed_from_u64(mixed))
    }

    pub fn happens(&mut self, chance: f64) -> bool {
        chance > 0.0 && self.0.random::<f64>() < chance
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.random::<f64>()
    }

    pub fn below(&mut self, n: usize) -> usize {
        if n == 0 { 0 } else { self.0.random_range(0..n) }
    }

    /// A span drawn from the exponential distribution of this mean, at most eight times it.
    pub fn wait(&mut self, mean: Duration) -> Duration {
        let u: f64 = self.0.random();
        mean * (-(1.0 - u).ln()).min(8.0)
    }

    pub fn span(&mut self, low: Duration, high: Duration) -> Duration {
        low + (high - low) * self.0.random::<f64>()
    }

    pub fn number(&mut self) -> u64 {
        self.0.random()
    }
}
