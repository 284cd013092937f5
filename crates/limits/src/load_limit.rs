//! Limits that follow the load: how many connections are allowed, and how many are accepted per iteration.
//!
//! The measure is the time that event-loop iterations take: limits fall when they take too long and rise
//! slowly afterwards. Iterations between short and too long change nothing, and each change of the connection
//! limit waits for the effect of the one before, so that the limit doesn't oscillate.

use mulleinhub_interface::{Duration, Timestamp};

/// Longer iterations delay the other clients noticeably.
const TOO_LONG: Duration = Duration::from_nanos(50_000_000);
/// Shorter iterations leave capacity unused.
const SHORT: Duration = Duration::from_nanos(10_000_000);
/// The least time between two changes of the connection limit.
const SETTLE: Duration = Duration::from_secs(2);
/// The limit is reduced to this part of itself.
const DECREASE: f64 = 0.8;
/// The limit is raised by this part of the maximum.
const INCREASE: f64 = 0.02;
/// The limit never falls below this part of the maximum.
const MIN_PART: f64 = 0.1;
/// The accept rate grows by, and never falls below, one in so many of the maximum.
const ACCEPT_RATE_STEPS: usize = 16;

/// The number of connections allowed under the present load.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    max: usize,
    current: usize,
    changed_at: Timestamp,
    /// The longest iteration since the last change has settled.
    longest: Duration,
}

impl AdaptiveLimit {
    /// Starts at the maximum.
    pub fn new(max: usize) -> Self {
        Self { max, current: max, changed_at: Timestamp::default(), longest: Duration::ZERO }
    }

    /// Connections allowed now.
    pub fn current(&self) -> usize {
        self.current
    }

    /// Records how long an iteration took, with this many connections open.
    pub fn record_iteration_time(&mut self, now: Timestamp, took: Duration, open: usize) {
        let since = now - self.changed_at;
        if since < SETTLE {
            return;
        }
        self.longest = self.longest.max(took);
        let min = ((self.max as f64 * MIN_PART) as usize).max(1);
        if took > TOO_LONG {
            // Reduced from the number that is open, not from the limit: only that has an effect.
            let from = self.current.min(open.max(min));
            self.current = ((from as f64 * DECREASE) as usize).max(min);
        } else if since < SETTLE * 2.0 {
            return;
        } else if self.longest < SHORT && self.current < self.max {
            self.current = (self.current + (self.max as f64 * INCREASE) as usize + 1).min(self.max);
        }
        (self.changed_at, self.longest) = (now, Duration::ZERO);
    }

    /// Another resource is exhausted: allows no more than `max` connections from now on.
    pub fn reduce_to(&mut self, now: Timestamp, max: usize) {
        self.current = self.current.min(max.max(1));
        (self.changed_at, self.longest) = (now, Duration::ZERO);
    }
}

/// How many connections are accepted per iteration: half as many after a long iteration, more again after
/// short ones. The others wait in the kernel's backlog, where they cost no time.
#[derive(Clone, Debug)]
pub struct AcceptRate {
    max: usize,
    current: usize,
}

impl AcceptRate {
    /// Starts at the maximum, at least one.
    pub fn new(max: usize) -> Self {
        Self { max: max.max(1), current: max.max(1) }
    }

    /// Connections accepted per iteration now.
    pub fn current(&self) -> usize {
        self.current
    }

    /// Records how long an iteration took.
    pub fn record_iteration_time(&mut self, took: Duration) {
        let step = (self.max / ACCEPT_RATE_STEPS).max(1);
        if took > TOO_LONG {
            self.current = (self.current / 2).max(step);
        } else if took < SHORT {
            self.current = (self.current + step).min(self.max);
        }
    }
}
