//! The monotonic clock whose time the event loop passes to its state machine.

use mulleinhub_interface::{Duration, Timestamp};
use std::time::{Duration as StdDuration, Instant};

/// A monotonic clock that started at an origin of the caller's choice. Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    origin: Timestamp,
}

impl Clock {
    /// Starts a clock that shows `origin` now.
    pub fn new(origin: Timestamp) -> Self {
        Self { started_at: Instant::now(), origin }
    }

    /// The current time, from the origin on.
    pub fn now(&self) -> Timestamp {
        self.origin + duration_from_std(self.started_at.elapsed())
    }

    /// The same clock, counted from another origin.
    pub(crate) fn with_origin(self, origin: Timestamp) -> Self {
        Self { origin, ..self }
    }
}

/// Converts a duration of the standard library to the project's own type, with nanosecond precision.
pub fn duration_from_std(duration: StdDuration) -> Duration {
    Duration::from_nanos(duration.as_nanos() as u64)
}
