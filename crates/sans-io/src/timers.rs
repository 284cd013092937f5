//! Wake times of one party, in the order of their instants and then of their setting.

use mulleinhub_interface::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Things to come back to. Nothing is taken out early: whoever is woken looks whether it still matters.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Timestamp, u64, T)>>,
    set: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T: Ord> Timers<T> {
    pub fn set(&mut self, at: Timestamp, what: T) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, what)));
    }

    pub fn next(&self) -> Option<Timestamp> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// The earliest thing that is due by now.
    pub fn due(&mut self, now: Timestamp) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, what))| what)
    }

    /// How many were ever set: a mark for `due_of`.
    pub fn mark(&self) -> u64 {
        self.set
    }

    /// The earliest thing that is due by now and was set before the mark, so that what is set again for the
    /// same instant waits for the next turn.
    pub fn due_of(&mut self, now: Timestamp, mark: u64) -> Option<T> {
        let Reverse((_, set, _)) = self.heap.peek()?;
        if *set > mark { None } else { self.due(now) }
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
