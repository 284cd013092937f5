//! Bytes in and out of all connections, and the order in which connections are handled.

use super::SchedulerState;
use crate::peer::{Peer, PeerKind};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{self as protocol, Conversation, Message};
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::collections::VecDeque;

/// Connections whose frames wait to be handled. Clients that were silent before are not in here: they stand
/// in line in the limits.
#[derive(Debug, Default)]
pub(super) struct ReadQueue {
    /// To be handled in this iteration, in the order of arrival.
    pub(super) ready: VecDeque<ConnectionId>,
    /// Of these more arrived than is handled in one iteration: they stand in line from the next one on.
    pub(super) deferred: Vec<ConnectionId>,
}

impl SchedulerState {
    pub(super) fn add_peer(&mut self, connection: ConnectionId, kind: PeerKind) {
        let first_unread = (self.now, self.pauses.iterations());
        self.peers.insert(connection, Box::new(Peer::new(kind, first_unread)));
    }

    /// A connection that this side asked for is established: the greeting is written.
    pub fn on_connected(&mut self, now: Timestamp, connection: ConnectionId) {
        self.now = now;
        let conversation = match self.peers.get(&connection).map(|peer| &peer.kind) {
            Some(PeerKind::Machine(_)) => Conversation::PlannerMachine,
            Some(PeerKind::EndpointList) => Conversation::PlannerList,
            _ => return,
        };
        let (name, incarnation) = (self.settings.name.clone(), self.incarnation);
        let features = match conversation {
            Conversation::PlannerList => protocol::LIST_PIECES,
            _ => 0,
        };
        let hello = Message::hello(conversation, features, &name, incarnation, now.nanos());
        self.write(connection, &hello);
        if matches!(conversation, Conversation::PlannerList) && self.endpoint_list.watch_wanted {
            self.write(connection, &Message::Watch {});
        }
    }

    /// The bytes that arrive next may have lain unread in the system for so long.
    pub fn on_unread_wait(&mut self, connection: ConnectionId, waited: Duration) {
        if let Some(peer) = self.peers.get_mut(&connection).filter(|peer| !peer.queued) {
            peer.unread_wait = waited;
        }
    }

    /// Bytes have arrived. They are handled in the next iteration.
    pub fn on_data(&mut self, now: Timestamp, connection: ConnectionId, bytes: &[u8]) {
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        peer.frames.take_with(bytes, &mut self.spare_buffers);
        if !peer.queued {
            peer.first_unread = (now, self.pauses.iterations());
        }
        // Who sends more than is handled in an iteration waits until that was handled.
        if peer.kind.is_inbound() && self.clients.limits.should_pause_reading(peer.frames.kept()) {
            self.connections.set_reading_paused(connection, true);
        }
        match peer.kind {
            PeerKind::Machine(id) => {
                if let Some(slot) = self.machines.get_mut(&id) {
                    (slot.last_received_at, slot.pinged_at) = (now, None);
                }
            }
            // Noted at once, so that no deadline passes over bytes that are here.
            PeerKind::Unidentified | PeerKind::Client(_) => {
                self.clients.limits.record_activity(now, connection.0)
            }
            PeerKind::EndpointList => {}
        }
        self.enqueue(connection);
    }

    /// A connection was closed. That is handled after all that arrived on it.
    pub fn on_closed(&mut self, connection: ConnectionId, reason: CloseReason) {
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.closed = Some(reason);
            self.enqueue(connection);
        }
    }

    fn enqueue(&mut self, connection: ConnectionId) {
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        if std::mem::replace(&mut peer.queued, true) {
            return;
        }
        let is_ready = match peer.kind {
            PeerKind::Machine(_) | PeerKind::EndpointList => true,
            PeerKind::Client(_) if self.clients.are_served => {
                self.clients.limits.admit_input(self.now, connection.0, peer.open_tasks > 0)
            }
            // A client that comes back with open tasks says so in its greeting.
            PeerKind::Unidentified | PeerKind::Client(_) => {
                let greeting = peer.frames.peek().and_then(|frame| protocol::decode(frame).ok());
                let returns = matches!(greeting, Some(Message::Hello { features, .. })
                    if features & protocol::HAS_TASKS != 0);
                self.clients.limits.enqueue_input(connection.0, returns);
                false
            }
        };
        if is_ready {
            self.read_queue.ready.push_back(connection);
        }
    }

    /// More arrived on this connection than is handled in one iteration.
    pub fn defer(&mut self, connection: ConnectionId) {
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        if !std::mem::replace(&mut peer.queued, true) {
            self.read_queue.deferred.push(connection);
        }
    }

    /// The next connection whose frames are to be handled. Clients wait until machines reported their tasks.
    pub fn next_readable(&mut self) -> Option<ConnectionId> {
        let connection = match self.read_queue.ready.pop_front() {
            Some(connection) => connection,
            // Those that were silent before are handled after all others, a bounded number in one iteration.
            None if self.clients.are_served => ConnectionId(self.clients.limits.next_queued()?),
            None => return None,
        };
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.queued = false;
        }
        Some(connection)
    }

    /// Whether this connection is read before others, where many have bytes: machines, the endpoint list, and
    /// clients that spoke all along.
    pub fn is_priority(&self, connection: ConnectionId) -> bool {
        match self.peers.get(&connection).map(|peer| &peer.kind) {
            None | Some(PeerKind::Unidentified) => false,
            Some(PeerKind::Machine(_) | PeerKind::EndpointList) => true,
            Some(PeerKind::Client(_)) => self.clients.limits.is_steady(self.now, connection.0),
        }
    }

    /// Closes the connections of peers that don't read, so that what waits for them is bounded.
    pub fn abort_stuck_connections(&mut self) {
        for (connection, reason) in std::mem::take(&mut self.to_abort) {
            tracing::warn!(connection = connection.0, reason, "connection aborted");
            self.abort_connection(connection);
        }
    }

    /// Closes a connection from this side; what follows is as if it had broken.
    pub fn abort_connection(&mut self, connection: ConnectionId) {
        let Some(peer) = self.peers.get(&connection) else { return };
        if peer.kind.is_inbound() {
            // What it sent and was not handled was never accepted.
            self.forget_client(connection);
            self.peers.remove(&connection);
            self.connections.abort(connection);
        } else {
            // What is unsent must be known before it is dropped.
            self.on_closed(connection, CloseReason::Broken);
        }
    }

    /// Writes a message on a connection.
    pub fn write(&mut self, connection: ConnectionId, message: &Message<'_>) {
        self.write_with_token(connection, message, None);
    }

    /// Writes a message on a connection; the token names its frame while it is unsent.
    pub(super) fn write_with_token(
        &mut self,
        connection: ConnectionId,
        message: &Message<'_>,
        token: Option<u64>,
    ) {
        self.encode_buffer.clear();
        if let Err(error) = protocol::try_encode(message, &mut self.encode_buffer) {
            tracing::error!(connection = connection.0, %error, "message too long for a frame");
            self.to_abort.push((connection, "a message to it is too long for a frame"));
            return;
        }
        self.connections.send(connection, &self.encode_buffer, token);
        if self.connections.pending_bytes(connection) > self.settings.max_unsent_bytes {
            self.to_abort.push((connection, "the peer doesn't read, and too many bytes wait for it"));
        }
    }
}
