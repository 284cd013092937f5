//! Many deadlines, put in and worked off at a cost that doesn't grow with their number.
//!
//! A hashed wheel: a slot for each tick of a turn of the wheel, later ones in the slot that they will come
//! to. Nothing is taken out early and nothing is moved: a connection that is heard moves its deadline in its
//! own record, and finds out when its place comes up. One entry stands for a connection, not one for each
//! frame read.

use mulleinhub_interface::{Duration, Timestamp};
use std::collections::VecDeque;

/// Deadlines are kept to a tick; nothing here needs to be more exact.
const TICK: u64 = 64_000_000;
const SLOTS: usize = 2048;

#[derive(Debug)]
pub struct Wheel {
    slots: Vec<Vec<(Timestamp, u64)>>,
    /// The tick up to which slots were worked off.
    tick: u64,
    begun: bool,
    len: usize,
    /// Due, and not yet handed out.
    due: VecDeque<(Timestamp, u64)>,
}

impl Default for Wheel {
    fn default() -> Self {
        Self {
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            tick: 0,
            begun: false,
            len: 0,
            due: VecDeque::new(),
        }
    }
}

impl Wheel {
    /// An entry for this instant, or the next tick where it has passed.
    pub fn put(&mut self, now: Timestamp, at: Timestamp, what: u64) {
        if !std::mem::replace(&mut self.begun, true) {
            self.tick = now.nanos() / TICK;
        }
        let tick = at.nanos().div_ceil(TICK).max(self.tick + 1);
        self.slots[tick as usize % SLOTS].push((at, what));
        self.len += 1;
    }

    /// An entry whose instant has come, in the order of ticks.
    pub fn due(&mut self, now: Timestamp) -> Option<(Timestamp, u64)> {
        let tick = now.nanos() / TICK;
        while self.due.is_empty() && self.begun && self.tick < tick {
            if self.len == 0 {
                self.tick = tick;
                return None;
            }
            // After a long standstill no slot needs to be looked at twice.
            self.tick = self.tick.max(tick.saturating_sub(SLOTS as u64)) + 1;
            let slot = &mut self.slots[self.tick as usize % SLOTS];
            let horizon = Timestamp::from_nanos(self.tick.saturating_mul(TICK));
            let due = &mut self.due;
            slot.retain(|entry| {
                let is_due = entry.0 <= horizon.max(now);
                if is_due {
                    due.push_back(*entry);
                }
                !is_due
            });
            if slot.is_empty() && slot.capacity() > 64 {
                *slot = Vec::new();
            }
        }
        let entry = self.due.pop_front()?;
        self.len -= 1;
        Some(entry)
    }

    /// When `due` may have something: the next tick, while there is anything.
    pub fn next(&self) -> Option<Timestamp> {
        if self.len == 0 {
            return None;
        }
        if !self.due.is_empty() {
            return Some(Timestamp::from_nanos(self.tick.saturating_mul(TICK)));
        }
        // The next slot that isn't empty; at most a turn of the wheel away.
        let ahead = (1..=SLOTS as u64).find(|n| !self.slots[(self.tick + n) as usize % SLOTS].is_empty())?;
        Some(Timestamp::default() + Duration::from_nanos((self.tick + ahead).saturating_mul(TICK)))
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
