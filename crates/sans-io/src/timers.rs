//! Timers of one state machine, in the order of their timestamps and then of their scheduling.

use mulleinhub_interface::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Scheduled events. They can't be cancelled: the receiver of an event checks whether it still matters.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Timestamp, u64, T)>>,
    scheduled: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), scheduled: 0 }
    }
}

impl<T: Ord> Timers<T> {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Timestamp, event: T) {
        self.scheduled += 1;
        self.heap.push(Reverse((at, self.scheduled, event)));
    }

    /// The timestamp of the earliest event.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes the earliest event, if it is due.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<T> {
        if self.next_wakeup()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, event))| event)
    }

    /// How many events were ever scheduled: the sequence number of the last one.
    pub fn last_sequence(&self) -> u64 {
        self.scheduled
    }

    /// Removes the earliest event, if it is due and its sequence number is at most `sequence`: an event that
    /// is scheduled again for the same timestamp waits for the next iteration.
    pub fn pop_due_up_to(&mut self, now: Timestamp, sequence: u64) -> Option<T> {
        let Reverse((_, scheduled, _)) = self.heap.peek()?;
        if *scheduled > sequence { None } else { self.pop_due(now) }
    }

    /// Scheduled events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no event is scheduled.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
