//! Clients that send faster than they read or than this process handles: their input waits, in the system where it
//! can, so that neither it nor its answers fill the memory.

use crate::state::SchedulerState;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_platform_protocol::MAX_MESSAGE_SIZE;
use mulleinhub_sans_io::{CloseReason, ConnectionId};

/// While more bytes wait for a client to read them, nothing that it sent is handled.
const MAX_UNREAD_OUTPUT: usize = 16 * 1024;
/// Time between two looks at the clients whose input waits.
pub const PARKED_CLIENTS_INTERVAL: Duration = Duration::from_nanos(5_000_000);
/// A client that has read nothing of that for so long is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// A client whose input waits until it has read its output.
#[derive(Clone, Copy, Debug)]
pub struct ParkedClient {
    /// The least that waited for it so far.
    unread: usize,
    /// Since when that has been so.
    since: Timestamp,
}

impl SchedulerState {
    /// Whether the input of this client waits until it has read what was sent to it. One that has closed its
    /// connection reads no more, and is owed nothing.
    pub fn awaits_reader(&self, connection_id: ConnectionId) -> bool {
        self.clients.is_open(connection_id)
            && self.connections.pending_bytes(connection_id) > MAX_UNREAD_OUTPUT
    }

    /// Leaves the input of this client where it is until it has read its output.
    pub fn park_client(&mut self, connection_id: ConnectionId) {
        let parked = ParkedClient { unread: self.connections.pending_bytes(connection_id), since: self.now };
        self.clients.parked.insert(connection_id, parked);
        self.connections.set_reading_paused(connection_id, true);
    }

    /// Goes on with the clients that have read their output, and closes those that read nothing.
    pub fn resume_parked_clients(&mut self) {
        for (connection_id, mut parked) in std::mem::take(&mut self.clients.parked) {
            let unread = self.connections.pending_bytes(connection_id);
            if unread < parked.unread {
                parked = ParkedClient { unread, since: self.now };
            }
            if !self.awaits_reader(connection_id) {
                self.defer_client(connection_id);
            } else if self.now - parked.since >= READ_TIMEOUT {
                self.warn(
                    "peer does not read; connection closed",
                    &format!("connection {}", connection_id.0),
                );
                self.on_closed(self.now, connection_id, CloseReason::Broken);
            } else {
                self.clients.parked.insert(connection_id, parked);
            }
        }
    }

    /// Whether reading from this client stops for now: it has sent more than its part of what may wait here.
    pub fn has_enough_input(&self, unprocessed: usize) -> bool {
        let exceeds_budget = self.clients.input_budget.is_exhausted() && unprocessed >= MAX_MESSAGE_SIZE;
        exceeds_budget || self.clients.limits.should_pause_reading(unprocessed)
    }

    /// How many bytes may be read from a connection at once: as many as there are, and of a client the rest of one
    /// message while others have used up what may wait here.
    pub fn read_limit(&self, connection_id: ConnectionId) -> usize {
        let Some(client) = self.clients.by_connection.get(&connection_id) else { return usize::MAX };
        if !self.clients.input_budget.is_exhausted() {
            return usize::MAX;
        }
        MAX_MESSAGE_SIZE.saturating_sub(client.frames.unprocessed())
    }
}
