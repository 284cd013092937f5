//! The connections to machines: one pool of descriptors for all machines, counted as they are opened.
//!
//! Seen: one descriptor was reserved for each listed machine, so with hundreds of machines none was left to
//! reconnect to a silent one, and tasks on machines that had disappeared never got an outcome.

use mulleinhub_interface::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Open connections to machines, by a number that the caller gives each of them.
#[derive(Debug)]
pub struct ConnectionPool {
    max: usize,
    /// Connections that are being closed and may exist beside `max` open ones.
    closing_allowance: usize,
    closing: BTreeSet<u64>,
    last_used: BTreeMap<u64, Timestamp>,
    by_last_use: BTreeSet<(Timestamp, u64)>,
}

impl ConnectionPool {
    /// An empty pool of `max` connections in all, of which so many are kept for those that are being closed; at
    /// least one may be open.
    pub fn new(max: usize, closing_allowance: usize) -> Self {
        Self {
            max: max.saturating_sub(closing_allowance).max(1),
            closing_allowance,
            closing: BTreeSet::new(),
            last_used: BTreeMap::new(),
            by_last_use: BTreeSet::new(),
        }
    }

    /// Adds a connection that was opened.
    pub fn insert(&mut self, now: Timestamp, id: u64) {
        self.last_used.insert(id, now);
        self.by_last_use.insert((now, id));
    }

    /// Records that bytes were sent or received on a connection.
    pub fn touch(&mut self, now: Timestamp, id: u64) {
        if let Some(at) = self.last_used.get_mut(&id) {
            self.by_last_use.remove(&(*at, id));
            self.by_last_use.insert((now, id));
            *at = now;
        }
    }

    /// This connection is being closed: it is used no more, and keeps its descriptor until it is removed.
    pub fn begin_closing(&mut self, id: u64) {
        self.remove(id);
        self.closing.insert(id);
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, id: u64) {
        self.closing.remove(&id);
        if let Some(at) = self.last_used.remove(&id) {
            self.by_last_use.remove(&(at, id));
        }
    }

    /// Whether another connection may be opened.
    pub fn has_capacity(&self) -> bool {
        self.last_used.len() + self.closing.len().saturating_sub(self.closing_allowance) < self.max
    }

    /// Whether one more may be closed to make room for another: the descriptors of those that are being closed
    /// come free in a moment, and only so many may exist beside the open ones.
    pub fn may_begin_closing(&self) -> bool {
        self.closing.len() < self.closing_allowance
    }

    /// Open connections, without those that are being closed.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    /// The least recently used connection among those not used since then that `may_close` allows to close.
    pub fn least_recently_used(
        &self,
        unused_since: Timestamp,
        may_close: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let unused = self.by_last_use.iter().take_while(|(at, _)| *at <= unused_since);
        unused.map(|(_, id)| *id).find(|id| may_close(*id))
    }
}
