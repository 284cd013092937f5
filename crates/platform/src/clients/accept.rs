//! Accepting client connections, and closing idle ones to make room for new ones.

use super::Client;
use crate::state::SchedulerState;
use crate::timers::TimerEvent;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_sans_io::ConnectionId;

/// A connection for which there is no place may send a request within this; it is refused, and the connection
/// closed.
const REJECTED_LINGER: Duration = Duration::from_nanos(250_000_000);

impl SchedulerState {
    /// A client's connection was accepted.
    pub fn on_accepted_client(&mut self, now: Timestamp, connection_id: ConnectionId) {
        self.now = self.now.max(now);
        let backlog_wait = self.clients.backlog_wait;
        let client = Client { backlog_wait, ..Client::new(self.read_mark(self.now)) };
        self.clients.by_connection.insert(connection_id, client);
        match self.clients.limits.accept(self.now, connection_id.0) {
            Ok(None) => {}
            Ok(Some(idle)) => self.request_eviction(ConnectionId(idle)),
            Err(_) => self.reject_client(connection_id),
        }
    }

    /// There is no place for this connection: its first request is refused.
    fn reject_client(&mut self, connection_id: ConnectionId) {
        let until = self.now + REJECTED_LINGER;
        self.clients.by_connection.get_mut(&connection_id).expect("was just added").rejected = true;
        self.clients.rejected.push_back((until, connection_id));
        self.timers.schedule(until, TimerEvent::CloseRejectedClients);
    }

    /// Closes a client's connection on which no task is to be answered.
    pub fn drop_client(&mut self, connection_id: ConnectionId) {
        self.clients.rejected.retain(|(_, other)| *other != connection_id);
        self.clients.remove(connection_id);
        self.connections.close(connection_id);
    }

    /// An idle connection is to make room, unless something of it is here at the end of an iteration.
    pub fn request_eviction(&mut self, connection_id: ConnectionId) {
        if let Some(client) = self.clients.by_connection.get_mut(&connection_id) {
            client.eviction_requested_at = Some(self.now);
            self.clients.eviction_candidates.push(connection_id);
        }
    }

    /// Everything that was received before this iteration has been handled: closes the candidates that sent
    /// nothing.
    pub fn evict_idle_clients(&mut self) {
        for connection_id in std::mem::take(&mut self.clients.eviction_candidates) {
            let Some(client) = self.clients.by_connection.get(&connection_id) else { continue };
            let Some(requested_at) = client.eviction_requested_at else { continue };
            let deadline = requested_at + self.clients.limits.settings().eviction_grace;
            let is_active = client.queued
                || client.frames.has_frame()
                || !client.awaiting.is_empty()
                || client.close_reason.is_some();
            let has_partial = client.frames.unprocessed() > 0;
            // Seen: of as many new clients as there were places for, all beyond an eighth of the descriptors
            // were closed in the middle of their first start request, which came in pieces.
            let has_place = self.clients.by_connection.len() <= self.clients.limits.current_limit();
            if is_active || (has_place && self.has_timely_partial_message(connection_id)) {
                self.keep_client(connection_id);
            } else if has_partial && deadline > self.now {
                // The rest of the message may be on its way. Guards against: clients that sent a part of one
                // kept their places for two seconds beyond all limits, and took every descriptor there was.
                self.clients.eviction_candidates.push(connection_id);
                self.timers.schedule(deadline, TimerEvent::EvictClients);
            } else {
                self.drop_client(connection_id);
            }
        }
    }

    /// Whether a part of a message is here that still has time to be completed.
    fn has_timely_partial_message(&self, connection_id: ConnectionId) -> bool {
        let client = self.clients.by_connection.get(&connection_id);
        let since = client.and_then(|client| client.partial_since);
        since.is_some_and(|since| self.now - since < self.clients.limits.settings().frame_timeout)
    }

    /// A candidate sent something, so it is not evicted.
    fn keep_client(&mut self, connection_id: ConnectionId) {
        let Some(client) = self.clients.by_connection.get_mut(&connection_id) else { return };
        client.eviction_requested_at = None;
        let (proven, partial_since) = (client.is_proven(), client.partial_since);
        let awaiting = client.awaiting.len() as u32;
        self.clients.limits.readmit(self.now, connection_id.0);
        if let Some(since) = partial_since {
            self.clients.limits.set_partial_frame(since, connection_id.0, true);
        }
        if proven {
            self.clients.greeted(connection_id);
            self.clients.limits.mark_legitimate(connection_id.0);
        }
        self.clients.limits.set_tasks_in_flight(connection_id.0, awaiting);
    }

    /// Closes the connections for which there was no place and which sent no request in time.
    pub fn close_overdue_rejected_clients(&mut self) {
        while let Some((until, connection_id)) = self.clients.rejected.front().copied() {
            if until > self.now {
                return;
            }
            self.drop_client(connection_id);
        }
    }

    /// How many client connections are accepted before the next iteration.
    pub fn accept_budget(&self) -> usize {
        let clients = &self.clients;
        if clients.limits.accept_paused_until().is_some_and(|until| until > self.now) {
            return 0;
        }
        let rejectable = clients.accept_gate.max_rejections.saturating_sub(clients.rejected.len());
        // Those that are being evicted are still here.
        let max_clients = clients.limits.current_limit()
            + clients.accept_gate.max_accepts
            + clients.accept_gate.max_rejections;
        let places = max_clients.saturating_sub(clients.by_connection.len());
        clients.limits.accept_budget().min(rejectable).min(places)
    }
}
