//! How many connections are allowed, from what turns cost: less when they take too long, more again slowly.
//!
//! The band between too long and long enough does nothing, and a change waits for the effect of the one
//! before, so that the number does not swing.

use mulleinhub_interface::{Duration, Timestamp};

/// A turn over this costs the others their promptness.
const TOO_LONG: Duration = Duration::from_nanos(50_000_000);
/// Turns under this leave room.
const SHORT: Duration = Duration::from_nanos(10_000_000);
/// Between two changes.
const SETTLE: Duration = Duration::from_secs(2);
/// Cut to this part; grown by this part of the most.
const CUT: f64 = 0.8;
const GROW: f64 = 0.02;
/// Never under this part of the most.
const LEAST: f64 = 0.1;

#[derive(Clone, Debug)]
pub struct Pressure {
    most: usize,
    allowed: usize,
    changed_at: Timestamp,
    /// The longest turn since the last change has settled.
    longest: Duration,
}

impl Pressure {
    pub fn new(most: usize) -> Self {
        Self { most, allowed: most, changed_at: Timestamp::default(), longest: Duration::ZERO }
    }

    pub fn allowed(&self) -> usize {
        self.allowed
    }

    /// A turn has taken so long, with so many connections open.
    pub fn turn_took(&mut self, now: Timestamp, took: Duration, open: usize) {
        let since = now - self.changed_at;
        if since < SETTLE {
            return;
        }
        self.longest = self.longest.max(took);
        let least = ((self.most as f64 * LEAST) as usize).max(1);
        if took > TOO_LONG {
            // From what is open, not from what would be allowed: only that takes effect.
            let from = self.allowed.min(open.max(least));
            self.allowed = ((from as f64 * CUT) as usize).max(least);
        } else if since < SETTLE * 2.0 {
            return;
        } else if self.longest < SHORT && self.allowed < self.most {
            self.allowed = (self.allowed + (self.most as f64 * GROW) as usize + 1).min(self.most);
        }
        (self.changed_at, self.longest) = (now, Duration::ZERO);
    }

    /// Something other than turns ran short: no more than so many from now on.
    pub fn cut_to(&mut self, now: Timestamp, most: usize) {
        self.allowed = self.allowed.min(most.max(1));
        (self.changed_at, self.longest) = (now, Duration::ZERO);
    }
}

/// How many connections are taken in one turn: half as many after a turn that was too long, more again after
/// short ones. Those not taken yet wait in the system's line, where they cost no turn.
#[derive(Clone, Debug)]
pub struct Pace {
    most: usize,
    now: usize,
}

/// Grown by, and never cut under, this part of the most.
const PACE_PART: usize = 16;

impl Pace {
    pub fn new(most: usize) -> Self {
        Self { most: most.max(1), now: most.max(1) }
    }

    pub fn now(&self) -> usize {
        self.now
    }

    pub fn turn_took(&mut self, took: Duration) {
        let part = (self.most / PACE_PART).max(1);
        if took > TOO_LONG {
            self.now = (self.now / 2).max(part);
        } else if took < SHORT {
            self.now = (self.now + part).min(self.most);
        }
    }
}
