//! The highest value noted within a sliding window, in a few fixed steps, so that noting allocates nothing.

use crate::interface::{Duration, Timestamp};

const STEPS: usize = 6;

/// A value is kept for at least the window and for at most one step (a fifth of the window) longer.
#[derive(Clone, Debug)]
pub struct Peak {
    step: Duration,
    newest: u64,
    highest: [f64; STEPS],
}

impl Peak {
    pub fn new(window: Duration) -> Self {
        let step = Duration::from_nanos((window.nanos() / (STEPS as u64 - 1)).max(1));
        Self { step, newest: 0, highest: [f64::NEG_INFINITY; STEPS] }
    }

    fn turn(&mut self, now: Timestamp) {
        let step = now.nanos() / self.step.nanos();
        for passed in 0..step.saturating_sub(self.newest).min(STEPS as u64) {
            self.highest[((step - passed) % STEPS as u64) as usize] = f64::NEG_INFINITY;
        }
        self.newest = self.newest.max(step);
    }

    pub fn note(&mut self, now: Timestamp, value: f64) {
        self.turn(now);
        let slot = &mut self.highest[(self.newest % STEPS as u64) as usize];
        *slot = slot.max(value);
    }

    /// The peak, or nothing where nothing was noted within the window.
    pub fn peak(&self, now: Timestamp) -> Option<f64> {
        let step = now.nanos() / self.step.nanos();
        let kept = (STEPS as u64).saturating_sub(step.saturating_sub(self.newest)).min(self.newest + 1);
        let slots = (0..kept).map(|age| self.highest[((self.newest - age) % STEPS as u64) as usize]);
        let highest = slots.fold(f64::NEG_INFINITY, f64::max);
        highest.is_finite().then_some(highest)
    }

    pub fn forget(&mut self) {
        self.highest = [f64::NEG_INFINITY; STEPS];
    }
}
