//! A map of what happened lately: it is bounded, and what is too old makes room as something new is recorded.

use mulleinhub_interface::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Values by key, each with the time of its first record. In memory only.
#[derive(Debug)]
pub struct RecentMap<K, V> {
    /// A value older than this is removed as another one is recorded.
    retention: Duration,
    values: BTreeMap<K, V>,
    /// The keys, oldest first.
    by_age: VecDeque<(Timestamp, K)>,
}

impl<K: Copy + Ord, V> RecentMap<K, V> {
    /// An empty one.
    pub fn new(retention: Duration) -> Self {
        Self { retention, values: BTreeMap::new(), by_age: VecDeque::new() }
    }

    /// Records this value, with which `max` are kept; a known key keeps its age. True where the key is new.
    pub fn insert(&mut self, now: Timestamp, key: K, value: V, max: usize) -> bool {
        let is_over = |at: Timestamp, count: usize| count >= max || now - at > self.retention;
        while self.by_age.front().is_some_and(|(at, _)| is_over(*at, self.by_age.len())) {
            let (_, oldest) = self.by_age.pop_front().expect("checked to be there");
            self.values.remove(&oldest);
        }
        let is_new = self.values.insert(key, value).is_none();
        if is_new {
            self.by_age.push_back((now, key));
        }
        is_new
    }

    /// The value of this key, while it is kept.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.values.get(key)
    }

    /// How many are kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.by_age.len()
    }
}
