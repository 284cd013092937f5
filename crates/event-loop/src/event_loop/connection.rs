//! The state of one TCP connection, and its registration with the poll.

use super::EventLoop;
use super::polling::FIRST_CONNECTION_TOKEN;
use mio::net::TcpStream;
use mio::{Interest, Token};
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};

/// One TCP connection.
pub(super) struct Connection {
    pub(super) tcp: TcpStream,
    pub(super) established: bool,
    /// A write failed: what was received is read to its end, and then it is closed.
    pub(super) write_failed: bool,
    /// To be closed once all outgoing bytes are written.
    pub(super) closing: bool,
    /// The sending side is shut; input is still reported.
    pub(super) write_closed: bool,
    /// The peer connected to us.
    pub(super) accepted: bool,
    /// All is written and the sending side is shut: input is discarded until the peer closes, too.
    pub(super) lingers: bool,
}

impl Connection {
    /// A connection that a peer opened.
    pub(super) fn accepted(tcp: TcpStream) -> Self {
        Self { established: true, accepted: true, ..Self::connecting(tcp) }
    }

    /// A connection that this side opens.
    pub(super) fn connecting(tcp: TcpStream) -> Self {
        Self {
            tcp,
            established: false,
            write_failed: false,
            closing: false,
            write_closed: false,
            accepted: false,
            lingers: false,
        }
    }
}

impl<S: StateMachine> EventLoop<S> {
    /// Registers a connection with the poll. Returns `false` if the system refuses it.
    pub(super) fn add_connection(&mut self, id: ConnectionId, mut connection: Connection) -> bool {
        let token = Token(FIRST_CONNECTION_TOKEN + id.0 as usize);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut connection.tcp, token, interest).is_err() {
            return false;
        }
        // Messages are small and are waited for.
        let _ = connection.tcp.set_nodelay(true);
        self.connections.insert(id, connection);
        true
    }

    /// Forgets a connection without notifying the state machine. Returns whether it was open.
    pub(super) fn remove_connection(&mut self, id: ConnectionId) -> bool {
        self.readable.remove(&id);
        self.connections.remove(&id).is_some()
    }

    /// Forgets a connection and notifies the state machine.
    pub(super) fn close_connection(&mut self, id: ConnectionId, reason: CloseReason) {
        if self.remove_connection(id) {
            let now = self.now();
            self.state_machine.on_closed(now, id, reason);
        }
    }
}
