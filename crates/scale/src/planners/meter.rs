//! What one scheduler's work costs this thread: processor time, and memory by the allocator's count.

use crate::meter::{counts_bytes, held_bytes, thread_nanos};

/// Sums over all pieces of work that were measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    nanos: u64,
    /// Bytes taken and not given back.
    bytes: i64,
}

impl Meter {
    /// Does a piece of work.
    pub fn measure<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let (nanos, bytes) = (thread_nanos(), held_bytes());
        let done = work();
        self.nanos += thread_nanos() - nanos;
        self.bytes += held_bytes() - bytes;
        done
    }

    /// Does something that belongs to its host: only the memory that it takes or gives back is counted.
    pub fn hold<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let bytes = held_bytes();
        let done = work();
        self.bytes += held_bytes() - bytes;
        done
    }

    /// What was held is given back outside of any measure.
    pub fn forget_memory(&mut self) {
        self.bytes = 0;
    }

    /// Nanoseconds of processor time.
    #[must_use]
    pub fn processor(&self) -> u64 {
        self.nanos
    }

    /// Bytes that are held; nothing where the program doesn't count them.
    #[must_use]
    pub fn memory(&self) -> Option<u64> {
        counts_bytes().then(|| u64::try_from(self.bytes).unwrap_or(0))
    }
}
