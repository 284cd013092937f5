//! The descriptors of connections to machines: one pool for all machines, counted as they are open.
//!
//! Met: a connection was kept back for each listed machine, so with hundreds of machines none was left for a
//! second look at a quiet one, and what had stood on machines that vanished was never told to be over.

use mulleinhub_interface::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
pub struct Pool {
    most: usize,
    /// When each was last used.
    open: BTreeMap<u64, Timestamp>,
    by_use: BTreeSet<(Timestamp, u64)>,
}

impl Pool {
    pub fn new(most: usize) -> Self {
        Self { most: most.max(1), open: BTreeMap::new(), by_use: BTreeSet::new() }
    }

    pub fn opened(&mut self, now: Timestamp, conn: u64) {
        self.open.insert(conn, now);
        self.by_use.insert((now, conn));
    }

    /// Something passed on it.
    pub fn used(&mut self, now: Timestamp, conn: u64) {
        if let Some(at) = self.open.get_mut(&conn) {
            self.by_use.remove(&(*at, conn));
            self.by_use.insert((now, conn));
            *at = now;
        }
    }

    pub fn over(&mut self, conn: u64) {
        if let Some(at) = self.open.remove(&conn) {
            self.by_use.remove(&(at, conn));
        }
    }

    pub fn has_room(&self) -> bool {
        self.open.len() < self.most
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The one that was used longest ago among those not used since, as far as it may go.
    pub fn to_let_go(&self, unused_since: Timestamp, may_go: impl Fn(u64) -> bool) -> Option<u64> {
        let old = self.by_use.iter().take_while(|(at, _)| *at <= unused_since);
        old.map(|(_, conn)| *conn).find(|conn| may_go(*conn))
    }
}
