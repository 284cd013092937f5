//! Sans-I/O state machines: the boundary between the programs and their I/O.
//!
//! Each program and each emulator is a [`StateMachine`]. Its host reports bytes, closed connections and the
//! time, and takes bytes, [`Command`]s and a wakeup time from its [`Connections`]. The host is either the
//! event loop with real sockets or the simulation in virtual time; the state machines are the same. The crate
//! performs no I/O, reads no clock, starts no thread and doesn't interpret the bytes.

#![warn(missing_docs)]

mod connections;
mod timers;

pub use connections::{ConnectionId, Connections, Unsent};
pub use timers::Timers;

use mulleinhub_interface::{Duration, Timestamp};

/// How a connection ended, as far as this side can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It was never established: nothing was delivered.
    Refused,
    /// It was never attempted, because this side had no descriptor or no port. Nothing is known of the peer,
    /// and nothing was delivered.
    NotAttempted,
    /// The peer closed it.
    Closed,
    /// It was reset, or this side's own I/O failed.
    Broken,
}

/// The listener that accepted a connection; the state machine defines what its number means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub u32);

/// What the host has to do for a state machine, beside transferring bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a connection to this address; it is called by this id.
    Open(ConnectionId, String),
    /// Close a connection.
    Close {
        /// The connection.
        connection: ConnectionId,
        /// Close it now; else after its outgoing bytes are written.
        immediately: bool,
    },
}

/// A program or an emulator without I/O.
///
/// One iteration of the host calls `on_connection_accepted`, `on_connected`, `on_data` and `on_closed` any
/// number of times, then `poll` once. The host reports all input that has arrived before it calls `poll`, so
/// that a pause of this process isn't taken for silence of its peers.
pub trait StateMachine {
    /// A listener has accepted a connection.
    fn on_connection_accepted(&mut self, now: Timestamp, connection: ConnectionId, listener: ListenerId);
    /// A connection that this state machine requested is established.
    fn on_connected(&mut self, now: Timestamp, connection: ConnectionId);
    /// Bytes have arrived.
    fn on_data(&mut self, now: Timestamp, connection: ConnectionId, bytes: &[u8]);
    /// The peer has closed its sending side, or the connection failed. What it sent before is still reported, and
    /// `on_closed` after that.
    fn on_read_closed(&mut self, _now: Timestamp, _: ConnectionId) {}
    /// A connection is closed; neither side uses its id again.
    fn on_closed(&mut self, now: Timestamp, connection: ConnectionId, reason: CloseReason);
    /// All input was reported: acts on it, and on timers that are due.
    fn poll(&mut self, now: Timestamp);
    /// A part of the input was reported and more is unread: may answer what was reported, but must not take
    /// any peer for silent before `poll`.
    fn poll_early(&mut self, _now: Timestamp) {}
    /// Whether the input of this connection is reported before that of others when much arrives at once.
    fn is_priority(&self, _connection: ConnectionId) -> bool {
        false
    }
    /// When `poll` is to be called at the latest, even without input.
    fn next_wakeup(&self) -> Option<Timestamp>;
    /// The connections of this state machine.
    fn connections(&mut self) -> &mut Connections;
    /// Whether this listener accepts connections now; else they are refused.
    fn is_listening(&self, _: ListenerId) -> bool {
        true
    }
    /// How many more connections this listener accepts before the next `poll`; others wait in the backlog.
    fn accept_budget(&self, _: ListenerId) -> usize {
        usize::MAX
    }
    /// The connections that are accepted next may have waited this long, with bytes on them.
    fn on_backlog_wait(&mut self, _: ListenerId, _waited: Duration) {}
    /// The bytes that are reported next, of this connection, may have lain unread for this long.
    fn on_unread_wait(&mut self, _: ConnectionId, _waited: Duration) {}
    /// How many bytes are read from this connection at once, at least one.
    fn read_limit(&self, _: ConnectionId) -> usize {
        usize::MAX
    }
    /// No connection can be accepted because the descriptors are exhausted.
    fn on_descriptors_exhausted(&mut self, _now: Timestamp) {}
    /// State for the next incarnation of this state machine, if it has changed since the last call.
    fn state_to_persist(&mut self) -> Option<Vec<u8>> {
        None
    }
}
