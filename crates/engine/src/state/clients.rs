//! The connections of clients, and the limits on them.

use super::SchedulerState;
use crate::peer::PeerKind;
use crate::settings::Settings;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_limits::{Action, AdmissionControl, ConnectionLimits, DisconnectReason};
use mulleinhub_protocol::Message;
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Deadlines of clients that are acted on in one iteration. Seen in the p99 of busy clients: the pings of one
/// tick of the timer wheel, written together.
const DEADLINES_PER_ITERATION: usize = 16;

/// The clients, their limits, and whether they are served.
#[derive(Debug)]
pub struct ClientTable {
    /// The newest connection of each client, by its name.
    pub newest: BTreeMap<Arc<str>, ConnectionId>,
    /// The limits on clients' connections, and the order in which clients are handled.
    pub limits: ConnectionLimits,
    /// Bounds the open tasks without a final answer, by service.
    pub admission: AdmissionControl,
    /// Clients are served: the machines have reported their tasks, or were waited for long enough.
    pub are_served: bool,
}

impl ClientTable {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            newest: BTreeMap::new(),
            limits: ConnectionLimits::new(settings.client_limits.clone()),
            admission: AdmissionControl::new(settings.max_open_tasks),
            are_served: false,
        }
    }
}

impl SchedulerState {
    /// Somebody has connected. Where there is no room, the connection that was idle longest is closed, or
    /// this one.
    pub fn on_client_connected(&mut self, now: Timestamp, connection: ConnectionId) {
        self.now = self.now.max(now);
        self.add_peer(connection, PeerKind::Unidentified);
        match self.clients.limits.accept(self.now, connection.0) {
            Ok(None) => {}
            Ok(Some(idle)) => self.close_client(ConnectionId(idle), DisconnectReason::Evicted.message()),
            Err(why) => self.close_client(connection, why.message()),
        }
    }

    /// Closes a client's connection, with the reason in a frame before. What arrived on it and was not
    /// handled is never accepted.
    pub fn close_client(&mut self, connection: ConnectionId, reason: &str) {
        self.write(connection, &Message::Bye { words: reason });
        self.forget_client(connection);
        self.peers.remove(&connection);
        self.connections.close(connection);
    }

    /// A client's connection is over. Its tasks stay open, and their answers wait for the client to come
    /// back. They still name the connection, whose number is never used again: `notify_client` checks.
    pub fn forget_client(&mut self, connection: ConnectionId) {
        self.clients.limits.remove(connection.0);
        if let Some(PeerKind::Client(name)) = self.peers.get(&connection).map(|peer| &peer.kind)
            && self.clients.newest.get(name) == Some(&connection)
        {
            self.clients.newest.remove(name);
        }
    }

    /// One task more, or one less, waits for its final answer on this connection.
    pub fn count_open_task(&mut self, connection: Option<ConnectionId>, more: bool) {
        let Some(connection) = connection else { return };
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        peer.open_tasks = if more { peer.open_tasks + 1 } else { peer.open_tasks.saturating_sub(1) };
        self.clients.limits.set_tasks_in_flight(connection.0, peer.open_tasks);
    }

    /// Acts on the deadlines of clients' connections that have passed, a bounded number of them.
    pub fn enforce_client_deadlines(&mut self) {
        let mut budget = DEADLINES_PER_ITERATION;
        while let Some((id, act)) = self.clients.limits.next_due(self.now, &mut budget) {
            match act {
                Action::Ping => self.write(ConnectionId(id), &Message::Ping { nonce: id }),
                Action::Disconnect(why) => self.close_client(ConnectionId(id), why.message()),
            }
        }
    }

    /// The process is out of descriptors: idle clients are closed, with a reason.
    pub fn on_descriptors_exhausted(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        for id in self.clients.limits.on_descriptors_exhausted(self.now) {
            self.close_client(ConnectionId(id), DisconnectReason::Evicted.message());
        }
    }

    /// How long a frame waited between being written and being handled: see [`Peer::queueing_delay`].
    ///
    /// [`Peer::queueing_delay`]: crate::peer::Peer::queueing_delay
    pub fn queueing_delay(&mut self, connection: ConnectionId, sent_at: u64) -> Duration {
        let Some(peer) = self.peers.get_mut(&connection) else { return Duration::ZERO };
        peer.queueing_delay(self.now, &self.pauses, sent_at)
    }

    /// Serves clients from now on: all machines of the first list have reported their tasks, or can't be
    /// reached.
    pub fn serve_clients(&mut self) {
        if !std::mem::replace(&mut self.clients.are_served, true)
            && let Some(quota) = &mut self.quota
        {
            quota.on_recovery_complete(self.now);
        }
    }
}
