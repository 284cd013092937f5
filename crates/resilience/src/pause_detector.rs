//! Detects pauses of this process from event-loop iterations that start later than they were due.

use mulleinhub_interface::{Duration, Timestamp};

/// An iteration that starts later than it was due by more than this follows a pause.
pub const PAUSE_THRESHOLD: Duration = Duration::from_nanos(20_000_000);

/// The longest interval between two iterations; a pause is known by how far it is exceeded.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_nanos(100_000_000);

/// The last pause of this process.
#[derive(Clone, Debug, Default)]
struct Pause {
    /// The first and the last iteration of those that processed what had queued up during the pause.
    first_iteration: u64,
    last_iteration: u64,
    length: Duration,
}

/// Compares the start of each iteration with the time that was promised for it.
#[derive(Clone, Debug, Default)]
pub struct PauseDetector {
    /// When the next iteration is due, as known at the end of the last one.
    due: Option<Timestamp>,
    /// Iterations that were started, early ones included.
    iterations: u64,
    last_pause: Pause,
    /// There was an early iteration since the last full one.
    early: bool,
}

impl PauseDetector {
    /// Starts an iteration. True if it follows a pause. After an early iteration the full one is due at once,
    /// and what the early one has found holds for the rest of the queued input. Guards against: a pause
    /// between the two.
    pub fn begin_iteration(&mut self, now: Timestamp) -> bool {
        self.iterations += 1;
        let lateness = self.due.take().map_or(Duration::ZERO, |due| now - due);
        let lateness = if lateness > PAUSE_THRESHOLD { lateness } else { Duration::ZERO };
        if self.early && self.last_pause.last_iteration + 1 == self.iterations {
            self.last_pause.last_iteration = self.iterations;
            self.last_pause.length = self.last_pause.length + lateness;
        } else if lateness > Duration::ZERO {
            self.last_pause =
                Pause { first_iteration: self.iterations, last_iteration: self.iterations, length: lateness };
        } else {
            return false;
        }
        true
    }

    /// The iteration that was started is an early one: the full one is due at once.
    pub fn mark_early(&mut self, now: Timestamp) {
        (self.early, self.due) = (true, Some(now));
    }

    /// Ends an iteration; the next one is due then at the latest.
    pub fn end_iteration(&mut self, due: Option<Timestamp>) {
        self.due = due;
        self.early = false;
    }

    /// How many iterations were started; recorded with what is read, for `queued_for`.
    pub fn iterations(&self) -> u64 {
        self.iterations
    }

    /// How long something has been queued that was read at a time, after a number of iterations: the pause
    /// before the read included. What is read after a pause may be processed several iterations later. Seen:
    /// requests queued then had their whole deadline again.
    pub fn queued_for(&self, now: Timestamp, (read_at, iterations): (Timestamp, u64)) -> Duration {
        let pause = &self.last_pause;
        let follows_pause = pause.first_iteration <= iterations + 1 && iterations < pause.last_iteration;
        (now - read_at) + if follows_pause { pause.length } else { Duration::ZERO }
    }
}

#[cfg(test)]
mod tests;
