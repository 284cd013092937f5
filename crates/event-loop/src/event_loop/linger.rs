//! Lingering close: an accepted connection that this side ends is read on for a while after the last write.
//! A socket that is closed with bytes unread is reset, and the reset discards what was just written.

use super::EventLoop;
use mulleinhub_sans_io::{ConnectionId, StateMachine};
use std::io::{ErrorKind, Read};
use std::time::{Duration, Instant};

/// How long a closed connection lingers.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Lingering connections at a time: one for so many descriptors of the process, and [`MAX_LINGERING`] at
/// most. Where there are more, the oldest are dropped.
const DESCRIPTORS_PER_LINGERING: usize = 64;
const MAX_LINGERING: usize = 8;
/// Reads of one lingering connection before others get their turn.
const MAX_READS: usize = 16;

/// How many connections may linger at a time with this descriptor limit.
pub(super) fn max_lingering(descriptor_limit: Option<usize>) -> usize {
    descriptor_limit.map_or(MAX_LINGERING, |limit| (limit / DESCRIPTORS_PER_LINGERING).min(MAX_LINGERING))
}

impl<S: StateMachine> EventLoop<S> {
    /// Discards input of a connection that this side has closed, and drops the connection once the peer has
    /// closed it, too.
    pub(super) fn linger(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        for _ in 0..MAX_READS {
            match connection.tcp.read(&mut self.read_buffer) {
                Ok(length) if length > 0 => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.readable.remove(&id);
                    return;
                }
                _ => {
                    self.remove_connection(id);
                    return;
                }
            }
        }
    }

    /// Drops connections that have lingered for too long, or of which there are too many.
    pub(super) fn drop_expired_lingering(&mut self) {
        let now = Instant::now();
        if self.lingering.len() > self.max_lingering {
            let connections = &self.connections;
            self.lingering.retain(|(_, id)| connections.contains_key(id));
        }
        while let Some((until, id)) = self.lingering.front().copied() {
            let too_many = self.lingering.len() > self.max_lingering;
            if !too_many && until > now && self.connections.contains_key(&id) {
                return;
            }
            self.lingering.pop_front();
            if self.remove_connection(id) {
                self.state_machine.connections().discard(id);
            }
        }
    }
}
