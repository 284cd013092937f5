//! How descriptors and memory are shared out where a process has few of both.

use crate::{OWN_DESCRIPTORS, OWN_LEAST, OWN_PART};

/// Whoever opens connections to us is promised this part of the descriptors.
const PROMISED_PART: usize = 3;
/// Connections to one machine at the most: more are not in use at a time where each has one task on its way.
pub const MOST_CONNECTIONS: usize = 16;
/// Tasks in hand for each megabyte: with the longest descriptions they take half of the memory.
const TASKS_A_MEGABYTE: usize = 32;

/// So many times as many are held as are in hand.
const HELD: usize = 4;

/// Descriptors that are nobody's connection's: listeners, the list, signals, and those in the doorway.
pub(crate) fn own(descriptors: usize) -> usize {
    OWN_DESCRIPTORS.min((descriptors / OWN_PART).max(OWN_LEAST)).min(descriptors / 2)
}

/// Parts of our own few: those taken in one turn, beside others that make room for them when it ends, and
/// those for whom there is no room, while they are being told.
const TAKEN_PART: usize = 4;
const TURNED_AWAY_PART: usize = 8;

/// Connections that have no place of their own, for a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doorway {
    pub taken_a_turn: usize,
    pub turned_away: usize,
}

impl Doorway {
    pub fn new(descriptors: usize) -> Self {
        let own = own(descriptors);
        Self { taken_a_turn: (own / TAKEN_PART).max(1), turned_away: (own / TURNED_AWAY_PART).max(1) }
    }
}

/// Descriptors for connections to machines, all together: what owners are promised and our own few are no
/// part of it.
pub fn connections_to_machines(descriptors: usize) -> usize {
    descriptors.saturating_sub(own(descriptors) + descriptors / PROMISED_PART).max(1)
}

/// Tasks without a final answer that may be held with so many megabytes.
pub fn tasks_in_hand(megabytes: usize) -> usize {
    megabytes.max(1) * TASKS_A_MEGABYTE
}

/// Tasks that may be held in all, those that stand too: each takes far less once its description is let go.
pub fn tasks_held(megabytes: usize) -> usize {
    tasks_in_hand(megabytes) * HELD
}

#[cfg(test)]
mod tests;
