//! Processor time of this thread, and bytes that are allocated.

use rustix::time::{ClockId, clock_gettime};
use stats_alloc::INSTRUMENTED_SYSTEM;

/// Readings that the cost of one reading is taken from.
const CALIBRATIONS: usize = 2_000;

/// Processor time of this thread so far, in nanoseconds.
#[must_use]
pub fn thread_nanos() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Adds up the processor time of stretches of work.
#[derive(Debug)]
pub struct Stopwatch {
    /// What a reading of the clock adds to each stretch.
    reading: u64,
    total: u64,
}

impl Stopwatch {
    /// One that has found out what its own readings cost.
    #[must_use]
    pub fn calibrated() -> Self {
        let reading = (0..CALIBRATIONS).map(|_| {
            let before = thread_nanos();
            thread_nanos() - before
        });
        Self { reading: reading.min().unwrap_or(0), total: 0 }
    }

    /// Does some work and counts its processor time.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let before = thread_nanos();
        let done = work();
        self.total += (thread_nanos() - before).saturating_sub(self.reading);
        done
    }

    /// All that was counted so far, in seconds.
    #[must_use]
    pub fn seconds(&self) -> f64 {
        self.total as f64 / 1e9
    }
}

/// Bytes that the whole process holds, by the allocator's count; nought where that isn't counted.
pub(crate) fn held_bytes() -> i64 {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
}

/// Whether the binary counts what it allocates, which it does with `stats_alloc::INSTRUMENTED_SYSTEM` as its
/// global allocator.
pub(crate) fn counts_bytes() -> bool {
    INSTRUMENTED_SYSTEM.stats().allocations > 0
}

/// Bytes that are allocated in this process; nothing where its binary doesn't count them.
#[must_use]
pub fn live_bytes() -> Option<u64> {
    counts_bytes().then(|| held_bytes().max(0) as u64)
}
