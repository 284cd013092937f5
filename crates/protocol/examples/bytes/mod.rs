//! Chance for the fuzzers of this package and of the platform's codec.

/// A xorshift generator: fuzzing needs many bytes soon, not good ones.
pub struct Bytes(pub u64);

impl Bytes {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, n: usize) -> usize {
        (self.next() % n.max(1) as u64) as usize
    }
}
