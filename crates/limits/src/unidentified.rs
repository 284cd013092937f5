//! Connections whose peer has not identified itself, in the order in which they lose their places.

use mulleinhub_interface::Timestamp;
use std::collections::BTreeSet;

/// An unidentified connection: when it was opened, and its number.
pub(crate) type Opened = (Timestamp, u64);

/// Unidentified connections, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Unidentified {
    /// No byte of the greeting has arrived.
    silent: BTreeSet<Opened>,
    /// A part of the greeting has arrived, or all of it and it waits to be processed.
    greeting: BTreeSet<Opened>,
}

impl Unidentified {
    /// Adds a connection, as one that has sent nothing.
    pub fn insert(&mut self, connection: Opened) {
        self.silent.insert(connection);
    }

    /// Removes a connection that is identified or closed.
    pub fn remove(&mut self, connection: Opened) {
        self.silent.remove(&connection);
        self.greeting.remove(&connection);
    }

    /// Records whether any byte of the greeting has arrived. No effect on a connection that isn't in here.
    pub fn set_greeting(&mut self, connection: Opened, has_started: bool) {
        let (from, to) = match has_started {
            true => (&mut self.silent, &mut self.greeting),
            false => (&mut self.greeting, &mut self.silent),
        };
        if from.remove(&connection) {
            to.insert(connection);
        }
    }

    /// The connection to evict where more than `max` are unidentified. While other places are free, those in
    /// the middle of their greetings are kept and not counted. Seen: of as many new clients as there were
    /// places, which sent their greetings in pieces, those beyond the limit were disconnected in the middle
    /// of them.
    pub fn to_evict(&self, max: usize, has_free_places: bool) -> Option<Opened> {
        let silent = self.silent.first().copied();
        if self.silent.len() >= max {
            return silent;
        }
        let too_many = self.silent.len() + self.greeting.len() >= max;
        if !too_many || has_free_places {
            return None;
        }
        silent.into_iter().chain(self.greeting.first().copied()).min()
    }
}
