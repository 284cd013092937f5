//! Reads from connections and hands the bytes to the state machine, priority connections first.

use super::EventLoop;
use crate::clock::duration_from_std;
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};
use std::io::{ErrorKind, Read};
use std::time::Duration;

/// Bytes read from one connection before others are read.
pub(super) const MAX_BYTES_PER_READ: usize = 64 * 1024;
/// Bytes are not taken to have been unread for longer: a connection may never be read to its end for a while.
const MAX_UNREAD_WAIT: Duration = Duration::from_millis(250);
/// Connections that are read before priority connections are looked at again.
const CONNECTIONS_PER_BATCH: usize = 256;

impl<S: StateMachine> EventLoop<S> {
    /// Reads once from every readable connection; returns whether any had input. Where many have, priority
    /// connections are read between batches of the others.
    pub(super) fn read_all(&mut self) -> std::io::Result<bool> {
        let mut any = self.read_priority();
        let rest: Vec<ConnectionId> = self.readable.keys().copied().collect();
        for (n, batch) in rest.chunks(CONNECTIONS_PER_BATCH).enumerate() {
            if n > 0 {
                self.state_machine.poll_early(self.now());
                self.execute_commands();
                self.poll_once(Some(Duration::ZERO))?;
                any |= self.read_priority();
            }
            for id in batch {
                any |= self.read_one(*id);
            }
        }
        Ok(any)
    }

    fn read_priority(&mut self) -> bool {
        let mut any = false;
        for id in std::mem::take(&mut self.newly_readable) {
            if self.state_machine.is_priority(id) {
                any |= self.read_one(id);
            }
        }
        any
    }

    /// Reads once from a connection; returns whether there was input, an end included.
    fn read_one(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            self.readable.remove(&id);
            return false;
        };
        if connection.lingers {
            self.linger(id);
            return false;
        }
        if self.state_machine.connections().is_reading_paused(id) {
            return false;
        }
        if !connection.established {
            // It becomes readable again once it is established.
            self.readable.remove(&id);
            return false;
        }
        self.system_calls += 1;
        let limit = self.state_machine.read_limit(id).clamp(1, self.read_buffer.len());
        match connection.tcp.read(&mut self.read_buffer[..limit]) {
            Ok(0) => {
                self.close_connection(id, CloseReason::Closed);
                true
            }
            Ok(length) => {
                // It stays readable until a read finds nothing: a short one may have left bytes, and only new
                // ones raise a new event.
                let now = self.now();
                let unread_since = self.readable.get(&id).copied().unwrap_or(self.input_since);
                let waited = unread_since.elapsed().min(MAX_UNREAD_WAIT);
                self.state_machine.on_unread_wait(id, duration_from_std(waited));
                self.state_machine.on_data(now, id, &self.read_buffer[..length]);
                true
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock && connection.write_failed => {
                self.close_connection(id, CloseReason::Broken);
                true
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.readable.remove(&id);
                false
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => true,
            Err(_) => {
                self.close_connection(id, CloseReason::Broken);
                true
            }
        }
    }
}
