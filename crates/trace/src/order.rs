//! Rows out of order, put right within a bounded window.

use crate::event::Stamped;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// How a row stood in the order of its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stood {
    InOrder,
    /// Before one that was told already, and put in its place.
    PutRight,
    /// By more than the window: kept out.
    TooLate,
}

/// However wide the window, no more events are held.
const MOST_HELD: usize = 1 << 18;

#[derive(Debug)]
struct Held(u64, u64, Stamped);

impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Held {}
impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Held {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Holds events back for as long as one before them may still come.
#[derive(Debug)]
pub struct Window {
    span: u64,
    latest: u64,
    handed: u64,
    next: u64,
    held: BinaryHeap<Reverse<Held>>,
}

impl Window {
    /// Of so many microseconds.
    pub fn new(span: u64) -> Self {
        Self { span, latest: 0, handed: 0, next: 0, held: BinaryHeap::new() }
    }

    /// How an event stands; `put` it unless it is too late.
    pub fn stands(&self, at: u64) -> Stood {
        if at.saturating_add(self.span) < self.latest || at < self.handed {
            Stood::TooLate
        } else if at < self.latest {
            Stood::PutRight
        } else {
            Stood::InOrder
        }
    }

    /// Takes an event in, and hands out those before which none may come any more.
    pub fn put(&mut self, event: Stamped, out: &mut Vec<Stamped>) {
        self.latest = self.latest.max(event.at);
        self.held.push(Reverse(Held(event.at, self.next, event)));
        self.next += 1;
        while self.held.peek().is_some_and(|Reverse(held)| held.0.saturating_add(self.span) < self.latest)
            || self.held.len() > MOST_HELD
        {
            let Some(Reverse(held)) = self.held.pop() else { return };
            self.handed = self.handed.max(held.0);
            out.push(held.2);
        }
    }

    /// The table is over: all that is held comes.
    pub fn finish(&mut self, out: &mut Vec<Stamped>) {
        while let Some(Reverse(held)) = self.held.pop() {
            out.push(held.2);
        }
    }
}
