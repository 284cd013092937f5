//! Writes outgoing bytes, and closes connections whose last bytes are written.

use super::EventLoop;
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};
use rustix::io::Errno;
use std::io::{ErrorKind, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Time after which what else is to be written waits for the next iteration, also on one connection: a process that
/// gets too little of a processor may take long for each of many short writes.
pub(super) const MAX_WRITE_TIME: Duration = Duration::from_millis(10);
/// Writes of one connection in a row that may be interrupted before all else has its turn.
const MAX_INTERRUPTIONS: usize = 16;
/// When a write is tried again that failed for the moment: no event announces that.
pub(super) const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Whether the system lacked memory for a write, or interrupted it, which says nothing about the connection.
fn is_transient(error: &std::io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM | Errno::INTR))
}

impl<S: StateMachine> EventLoop<S> {
    /// Writes to the connections that became writable, until this has taken too long.
    pub(super) fn write_to_writable(&mut self) {
        let began_at = Instant::now();
        let mut writable = std::mem::take(&mut self.writable).into_iter();
        self.writes_left = false;
        while !self.writes_left
            && let Some(id) = writable.next()
        {
            self.write_one(id);
            self.writes_left |= began_at.elapsed() >= MAX_WRITE_TIME && !writable.as_slice().is_empty();
        }
        self.writable.extend(writable);
    }

    /// Writes a connection's outgoing bytes, as far as the system accepts them.
    pub(super) fn write_one(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.established || connection.lingers {
            return;
        }
        let (mut interruptions, began_at) = (0, Instant::now());
        loop {
            let bytes = self.state_machine.connections().outgoing(id);
            if bytes.is_empty() {
                break;
            }
            self.system_calls += 1;
            match connection.tcp.write(bytes) {
                Ok(length) => {
                    self.state_machine.connections().mark_written(id, length);
                    let is_left = !self.state_machine.connections().outgoing(id).is_empty();
                    if is_left && began_at.elapsed() >= MAX_WRITE_TIME {
                        self.writable.push(id);
                        self.writes_left = true;
                        return;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted && interruptions < MAX_INTERRUPTIONS => {
                    interruptions += 1;
                }
                Err(error) if is_transient(&error) => {
                    self.writable.push(id);
                    return;
                }
                Err(_) if connection.closing || self.state_machine.connections().is_reading_paused(id) => {
                    return self.close_connection(id, CloseReason::Broken);
                }
                Err(_) => {
                    // Bytes that the peer sent before the failure are still unread here. Seen: the last
                    // message of a peer that reset its connection was lost because we wrote to it first.
                    connection.write_failed = true;
                    self.readable.entry(id).or_insert(self.input_since);
                    return;
                }
            }
        }
        if connection.closing {
            self.close_after_last_write(id);
        } else if self.state_machine.connections().is_finishing(id) && !connection.write_closed {
            connection.write_closed = true;
            // Where the peer has reset the connection meanwhile, reading from it finds out.
            let _ = connection.tcp.shutdown(Shutdown::Write);
        }
    }

    /// Closes a connection that this side ends; an accepted one lingers until its peer has closed it, too.
    fn close_after_last_write(&mut self, id: ConnectionId) {
        self.state_machine.connections().discard(id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.accepted || connection.tcp.shutdown(Shutdown::Write).is_err() {
            self.remove_connection(id);
            return;
        }
        connection.lingers = true;
        self.linger(id);
    }

    /// Begins to close all accepted connections.
    pub(super) fn close_accepted_connections(&mut self) {
        let accepted = self.connections.iter().filter(|(_, connection)| connection.accepted);
        let ids: Vec<ConnectionId> = accepted.map(|(id, _)| *id).collect();
        for id in ids {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.closing = true;
                self.write_one(id);
            }
        }
    }
}
