//! Executes the state machine's commands: opens and closes connections, and writes new outgoing bytes.

use super::EventLoop;
use super::connection::Connection;
use super::linger::LINGER_TIMEOUT;
use super::write::MAX_WRITE_TIME;
use crate::socket;
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, StateMachine};
use std::io::ErrorKind;
use std::time::Instant;

/// Separates the address to connect to from the local address to use, in `REMOTE from LOCAL`.
const LOCAL_ADDRESS_SEPARATOR: &str = " from ";

impl<S: StateMachine> EventLoop<S> {
    /// Writes new outgoing bytes and executes commands, until there are none or this has taken too long. What is
    /// left waits for the next iteration, which follows at once: what was read by then may change it.
    pub(super) fn execute_commands(&mut self) {
        let began_at = Instant::now();
        while began_at.elapsed() < MAX_WRITE_TIME && self.execute_next() {}
    }

    /// Writes the output of the next connection that has any, else executes the next command. False where there is
    /// neither.
    fn execute_next(&mut self) -> bool {
        if let Some(id) = self.state_machine.connections().next_with_output() {
            self.write_one(id);
            return true;
        }
        match self.state_machine.connections().next_command() {
            Some(Command::Open(id, target)) => self.connect(id, &target),
            Some(Command::Close { connection: id, immediately: true }) => drop(self.remove_connection(id)),
            Some(Command::Close { connection: id, immediately: false }) => self.close_once_written(id),
            None => return false,
        }
        true
    }

    fn close_once_written(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.closing = true;
            self.lingering.push_back((Instant::now() + LINGER_TIMEOUT, id));
            self.write_one(id);
        }
    }

    /// Connects to a registered name or an address, optionally followed by ` from ` and a local address.
    fn connect(&mut self, id: ConnectionId, target: &str) {
        let (remote, local) = match target.split_once(LOCAL_ADDRESS_SEPARATOR) {
            Some((remote, local)) => (remote, Some(local)),
            None => (target, None),
        };
        let address = self.addresses.get(remote).copied().or_else(|| remote.parse().ok());
        let reason = match socket::connect(address, local) {
            Ok(tcp) => {
                if self.add_connection(id, Connection::connecting(tcp)) {
                    return;
                }
                CloseReason::NotAttempted
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => CloseReason::Refused,
            // Guards against reporting our own lack of descriptors as a refusal by the peer.
            Err(_) => CloseReason::NotAttempted,
        };
        let now = self.now();
        self.state_machine.on_closed(now, id, reason);
    }
}
