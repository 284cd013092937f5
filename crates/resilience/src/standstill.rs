//! Whether this process stood still, told by turns that come later than they were promised.

use mulleinhub_interface::{Duration, Timestamp};

/// A turn that comes so much later than was promised follows a standstill of this process.
pub const PAUSE_THRESHOLD: Duration = Duration::from_nanos(20_000_000);

/// Between two turns at the most: by its lateness a standstill is known.
pub const HEARTBEAT: Duration = Duration::from_nanos(100_000_000);

#[derive(Clone, Debug, Default)]
pub struct PauseDetector {
    /// When a turn was promised at the end of the last one.
    promised: Option<Timestamp>,
    /// Turns that began, early ones too.
    turns: u64,
    /// The last standstill: the first and last turns of the step that came after it, and how long it was.
    last: (u64, u64, Duration),
    /// There was an early turn since the last whole one.
    early: bool,
}

impl PauseDetector {
    /// A turn begins. True where it follows a standstill. After an early one it is promised at once; what
    /// that one found out holds for the rest of what lay here. Met: a process that stood still between the
    /// two.
    pub fn begin(&mut self, now: Timestamp) -> bool {
        self.turns += 1;
        let late = self.promised.take().map_or(Duration::ZERO, |promised| now - promised);
        let late = if late > PAUSE_THRESHOLD { late } else { Duration::ZERO };
        let (first, last, length) = self.last;
        if self.early && last + 1 == self.turns {
            self.last = (first, self.turns, length + late);
        } else if late > Duration::ZERO {
            self.last = (self.turns, self.turns, late);
        } else {
            return false;
        }
        true
    }

    /// The turn that began is an early one: the whole one is promised at once.
    pub fn is_early(&mut self, now: Timestamp) {
        (self.early, self.promised) = (true, Some(now));
    }

    /// The turn is over; the next one is due at the latest by then.
    pub fn end(&mut self, promised: Option<Timestamp>) {
        self.promised = promised;
        self.early = false;
    }

    /// How many turns began: a mark for `lay`.
    pub fn turns(&self) -> u64 {
        self.turns
    }

    /// For how long something may have lain that was read then, after so many turns. What was read after a
    /// standstill may be heard turns later. Met: those who waited in line then were given their whole
    /// patience anew.
    pub fn lay(&self, now: Timestamp, (read_at, turns): (Timestamp, u64)) -> Duration {
        let (first, last, length) = self.last;
        let after_one = first <= turns + 1 && turns < last;
        (now - read_at) + if after_one { length } else { Duration::ZERO }
    }
}

#[cfg(test)]
mod tests;
