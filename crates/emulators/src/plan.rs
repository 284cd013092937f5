//! Work that is known beforehand, as a trace tells it: what an owner wants when, and what it will use.

use mulleinhub_interface::{Duration, Timestamp};
use std::collections::BTreeMap;

/// A task that an owner wants from an instant to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    pub at: Timestamp,
    pub until: Timestamp,
    pub use_case: u32,
    pub service: u64,
    pub cores: f64,
    pub memory: f64,
}

/// From so long after its start on, parts of its ask in cores and memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsePart {
    pub after: Duration,
    pub cores: f64,
    pub memory: f64,
}

/// What tasks use over time, by their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UseBook(pub BTreeMap<u64, Vec<UsePart>>);

impl UseBook {
    /// What a task uses so long after its start; nothing where the book doesn't know it.
    pub fn at(&self, key: u64, since: Duration) -> Option<UsePart> {
        let parts = self.0.get(&key)?;
        let next = parts.partition_point(|part| part.after <= since);
        parts.get(next.max(1) - 1).copied()
    }
}

/// The key of an owner's n-th planned task.
pub fn planned_key(owner: u32, n: usize) -> u64 {
    (u64::from(owner) << 40) + n as u64 + 1
}
