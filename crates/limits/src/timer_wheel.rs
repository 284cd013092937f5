//! A hashed timer wheel: many deadlines, at a cost that doesn't grow with their number.
//!
//! There is a slot for each tick of one revolution; later deadlines lie in the slot that they will come to.
//! Entries are neither removed early nor moved: a connection with new activity changes the deadline in its
//! own record, which is compared when its entry comes up. So there is one entry for each connection, not one
//! for each frame read.

use mulleinhub_interface::{Duration, Timestamp};
use std::collections::VecDeque;

/// Nanoseconds of a tick, the resolution of all deadlines.
const TICK: u64 = 64_000_000;
/// Slots of one revolution.
const SLOTS: usize = 2048;
/// An empty slot with more capacity than this gives its memory back.
const MAX_SPARE_CAPACITY: usize = 64;

/// Deadlines, each with a number that the caller gives it.
#[derive(Debug)]
pub struct TimerWheel {
    slots: Vec<Vec<(Timestamp, u64)>>,
    /// The last tick whose slot was processed.
    tick: u64,
    started: bool,
    len: usize,
    /// Due entries that were not returned yet.
    due: VecDeque<(Timestamp, u64)>,
}

impl Default for TimerWheel {
    fn default() -> Self {
        Self {
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            tick: 0,
            started: false,
            len: 0,
            due: VecDeque::new(),
        }
    }
}

impl TimerWheel {
    /// Adds an entry for this timestamp, or for the next tick if it has passed.
    pub fn insert(&mut self, now: Timestamp, at: Timestamp, id: u64) {
        if !std::mem::replace(&mut self.started, true) {
            self.tick = now.nanos() / TICK;
        }
        let tick = at.nanos().div_ceil(TICK).max(self.tick + 1);
        self.slots[tick as usize % SLOTS].push((at, id));
        self.len += 1;
    }

    /// Removes an entry whose timestamp has passed, in the order of ticks.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<(Timestamp, u64)> {
        let tick = now.nanos() / TICK;
        while self.due.is_empty() && self.started && self.tick < tick {
            if self.len == 0 {
                self.tick = tick;
                return None;
            }
            // After a long pause no slot needs to be processed twice.
            self.tick = self.tick.max(tick.saturating_sub(SLOTS as u64)) + 1;
            self.collect_due(now);
        }
        let entry = self.due.pop_front()?;
        self.len -= 1;
        Some(entry)
    }

    /// Moves the due entries of the current tick's slot to `due`.
    fn collect_due(&mut self, now: Timestamp) {
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
        if slot.is_empty() && slot.capacity() > MAX_SPARE_CAPACITY {
            *slot = Vec::new();
        }
    }

    /// When `pop_due` may return an entry: the tick of the next occupied slot.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        if self.len == 0 {
            return None;
        }
        if !self.due.is_empty() {
            return Some(Timestamp::from_nanos(self.tick.saturating_mul(TICK)));
        }
        let is_occupied = |ahead: &u64| !self.slots[(self.tick + ahead) as usize % SLOTS].is_empty();
        let ahead = (1..=SLOTS as u64).find(is_occupied)?;
        Some(Timestamp::default() + Duration::from_nanos((self.tick + ahead).saturating_mul(TICK)))
    }

    /// Entries in the wheel.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the wheel has no entry.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
