//! The maximum of a series of values within a sliding window, in constant memory.

use crate::interface::{Duration, Timestamp};

const BUCKETS: usize = 6;

/// The maximum of the values recorded within a sliding window.
///
/// Time is cut into buckets of a fifth of the window, so a value counts for at least the window and for at
/// most one bucket longer. Recording allocates nothing.
#[derive(Clone, Debug)]
pub struct WindowedMax {
    bucket_length: Duration,
    /// Number of the newest bucket since the clock's zero.
    newest_bucket: u64,
    maxima: [f64; BUCKETS],
}

impl WindowedMax {
    /// An empty series with a window of this length.
    pub fn new(window: Duration) -> Self {
        let bucket_length = Duration::from_nanos((window.nanos() / (BUCKETS as u64 - 1)).max(1));
        Self { bucket_length, newest_bucket: 0, maxima: [f64::NEG_INFINITY; BUCKETS] }
    }

    /// Empties the buckets that have left the window.
    fn advance(&mut self, now: Timestamp) {
        let bucket = now.nanos() / self.bucket_length.nanos();
        for passed in 0..bucket.saturating_sub(self.newest_bucket).min(BUCKETS as u64) {
            self.maxima[((bucket - passed) % BUCKETS as u64) as usize] = f64::NEG_INFINITY;
        }
        self.newest_bucket = self.newest_bucket.max(bucket);
    }

    /// Records a value.
    pub fn record(&mut self, now: Timestamp, value: f64) {
        self.advance(now);
        let maximum = &mut self.maxima[(self.newest_bucket % BUCKETS as u64) as usize];
        *maximum = maximum.max(value);
    }

    /// The maximum, or nothing where nothing was recorded within the window.
    pub fn max(&self, now: Timestamp) -> Option<f64> {
        let bucket = now.nanos() / self.bucket_length.nanos();
        let passed = bucket.saturating_sub(self.newest_bucket);
        let current = (BUCKETS as u64).saturating_sub(passed).min(self.newest_bucket + 1);
        let newest = self.newest_bucket;
        let maxima = (0..current).map(|age| self.maxima[((newest - age) % BUCKETS as u64) as usize]);
        let highest = maxima.fold(f64::NEG_INFINITY, f64::max);
        highest.is_finite().then_some(highest)
    }

    /// Forgets all values.
    pub fn clear(&mut self) {
        self.maxima = [f64::NEG_INFINITY; BUCKETS];
    }
}
