//! What the event loop reports of connections, and the order in which it is handled in the next iteration.

use crate::discovery::SILENCE_TIMEOUT;
use crate::state::SchedulerState;
use crate::timers::TimerEvent;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::collections::VecDeque;

/// Who is at the other side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A client.
    Client,
    /// A machine.
    Machine,
    /// The discovery service.
    Discovery,
}

/// When something was read, and after how many iterations: by both it is known how long it lay unread while
/// the process was paused.
#[derive(Clone, Copy, Debug)]
pub struct ReadMark {
    /// The instant of the iteration.
    pub at: Timestamp,
    /// Iterations that had begun before.
    pub iterations: u64,
}

/// Connections with something to be handled in the next iteration.
#[derive(Debug, Default)]
pub struct InboundQueue {
    /// Machine connections on which something was received, and clients that need not stand in line.
    ready: VecDeque<ConnectionId>,
    /// Clients that sent more than is handled in one iteration.
    deferred_clients: Vec<ConnectionId>,
    /// Machine connections that were established since the last iteration.
    established: Vec<ConnectionId>,
}

impl InboundQueue {
    /// Whether any connection stands in the queue.
    fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.deferred_clients.is_empty()
    }
}

impl SchedulerState {
    /// Who is at the other side of this connection, if it is open.
    pub fn peer(&self, connection_id: ConnectionId) -> Option<Peer> {
        if self.clients.by_connection.contains_key(&connection_id) {
            Some(Peer::Client)
        } else if self.machines.connections.contains_key(&connection_id) {
            Some(Peer::Machine)
        } else {
            (self.endpoint_watch.connection == Some(connection_id)).then_some(Peer::Discovery)
        }
    }

    /// A connection that this side opened is established.
    pub fn on_connected(&mut self, now: Timestamp, connection_id: ConnectionId) {
        self.now = self.now.max(now);
        match self.peer(connection_id) {
            Some(Peer::Machine) => {
                self.machines.pool.touch(now, connection_id.0);
                self.inbound.established.push(connection_id);
            }
            Some(Peer::Discovery) => {
                let request = self.endpoint_watch.on_connected(now);
                self.connections.send(connection_id, request.as_bytes(), None);
                self.timers.schedule(now + SILENCE_TIMEOUT, TimerEvent::EndpointSilence(connection_id));
            }
            Some(Peer::Client) | None => {}
        }
    }

    /// Bytes were received.
    pub fn on_data(&mut self, now: Timestamp, connection_id: ConnectionId, bytes: &[u8]) {
        match self.peer(connection_id) {
            Some(Peer::Client) => self.on_client_data(now, connection_id, bytes),
            Some(Peer::Machine) => {
                self.machines.pool.touch(now, connection_id.0);
                let connection = self.machines.connections.get_mut(&connection_id).expect("is one");
                connection.used_at = now;
                connection.frames.extend(bytes);
                self.queue_machine(connection_id);
            }
            Some(Peer::Discovery) => self.on_endpoint_data(now, bytes),
            None => {}
        }
    }

    fn on_client_data(&mut self, now: Timestamp, connection_id: ConnectionId, bytes: &[u8]) {
        let read_mark = self.read_mark(now);
        let client = self.clients.by_connection.get_mut(&connection_id).expect("is one");
        client.frames.extend(bytes);
        client.last_received_at = now;
        if !client.queued {
            client.read_mark = read_mark;
            client.unread_wait = self.clients.unread_wait;
        }
        let unprocessed = client.frames.unprocessed();
        self.clients.record_unhandled(connection_id, unprocessed);
        if self.has_enough_input(unprocessed) {
            self.connections.set_reading_paused(connection_id, true);
        }
        self.clients.limits.record_activity(now, connection_id.0);
        self.queue_client(connection_id);
    }

    /// A client has left, though much of what it sent may be unread. Guards against: its tasks were sent on until all
    /// of that had been handled.
    pub fn on_read_closed(&mut self, now: Timestamp, connection_id: ConnectionId) {
        self.now = self.now.max(now);
        if let Some(client) = self.clients.by_connection.get_mut(&connection_id) {
            client.has_left = true;
            self.queue_client(connection_id);
        }
    }

    /// A connection was closed or broke. What was received on it before is handled first.
    pub fn on_closed(&mut self, now: Timestamp, connection_id: ConnectionId, reason: CloseReason) {
        self.now = self.now.max(now);
        match self.peer(connection_id) {
            Some(Peer::Client) => {
                let client = self.clients.by_connection.get_mut(&connection_id).expect("is one");
                client.close_reason = Some(reason);
                self.queue_client(connection_id);
            }
            Some(Peer::Machine) => {
                let connection = self.machines.connections.get_mut(&connection_id).expect("is one");
                connection.close_reason = Some(reason);
                self.queue_machine(connection_id);
            }
            Some(Peer::Discovery) => {
                self.connections.remove(connection_id);
                self.on_endpoint_watch_closed();
            }
            None => drop(self.connections.remove(connection_id)),
        }
    }

    fn queue_client(&mut self, connection_id: ConnectionId) {
        let client = self.clients.by_connection.get_mut(&connection_id).expect("is one");
        if std::mem::replace(&mut client.queued, true) {
            return;
        }
        let awaits_answer = !client.awaiting.is_empty();
        if self.clients.limits.admit_input(self.now, connection_id.0, awaits_answer) {
            self.inbound.ready.push_back(connection_id);
        }
    }

    fn queue_machine(&mut self, connection_id: ConnectionId) {
        let connection = self.machines.connections.get_mut(&connection_id).expect("is one");
        if !std::mem::replace(&mut connection.queued, true) {
            self.inbound.ready.push_back(connection_id);
        }
    }

    /// A client sent more than is handled in one iteration: it stands in line again in the next one.
    pub fn defer_client(&mut self, connection_id: ConnectionId) {
        if let Some(client) = self.clients.by_connection.get_mut(&connection_id)
            && !std::mem::replace(&mut client.queued, true)
        {
            self.inbound.deferred_clients.push(connection_id);
        }
    }

    /// The next connection with something to be handled.
    pub fn next_ready(&mut self) -> Option<ConnectionId> {
        let ready = self.inbound.ready.pop_front();
        let connection_id = ready.or_else(|| self.clients.limits.next_queued().map(ConnectionId))?;
        if let Some(client) = self.clients.by_connection.get_mut(&connection_id) {
            client.queued = false;
        } else if let Some(connection) = self.machines.connections.get_mut(&connection_id) {
            connection.queued = false;
        }
        Some(connection_id)
    }

    /// Takes over what the event loop reported since the last iteration.
    pub fn begin_inbound(&mut self) {
        self.clients.limits.begin_iteration(self.machines.max_connections);
        self.resume_parked_clients();
        for connection_id in std::mem::take(&mut self.inbound.established) {
            self.machines.mark_established(connection_id, self.now);
            if let Some(machine) = self.machines.connections.get(&connection_id).map(|known| known.machine) {
                self.send_stop_orders(machine);
                self.close_earlier_probes(machine, connection_id);
            }
            tracing::debug!(connection = connection_id.0, "machine connection established");
        }
        for connection_id in std::mem::take(&mut self.inbound.deferred_clients) {
            self.clients.limits.enqueue_input(connection_id.0, true);
        }
    }

    /// Whether anything was read and not handled yet.
    pub fn has_unhandled_input(&self) -> bool {
        !self.inbound.is_empty() || self.clients.limits.has_queued()
    }

    /// The mark of something that is read now.
    pub fn read_mark(&self, now: Timestamp) -> ReadMark {
        ReadMark { at: now, iterations: self.pauses.iterations() }
    }

    /// For how long something may have lain unread that was read then.
    pub fn unread_for(&self, mark: ReadMark) -> Duration {
        self.pauses.queued_for(self.now, (mark.at, mark.iterations))
    }

    /// When an acceptance that was read before this iteration was sent at the earliest: not before its connection was
    /// asked for, and by the process that took that one.
    pub fn accepted_at_earliest(&self, connection_id: ConnectionId) -> Timestamp {
        let opened_at = self.machines.connections.get(&connection_id).map(|connection| connection.opened_at);
        self.earliest_sent_at(connection_id).max(opened_at.unwrap_or_default())
    }

    /// When what was read before this iteration, from this machine, was sent at the earliest. Guards against: what a machine had
    /// sent before it stopped lay here through a pause of this process, and counted from when it was read.
    pub fn earliest_sent_at(&self, connection_id: ConnectionId) -> Timestamp {
        let iterations = self.pauses.iterations() - 1;
        let unread_for = self.unread_for(ReadMark { at: self.now, iterations });
        let connection = self.machines.connections.get(&connection_id);
        self.now - unread_for - connection.map_or(Duration::ZERO, |connection| connection.unread_wait)
    }
}
