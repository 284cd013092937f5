//! Connections: opening them, writing to them, closing them, and retrying after failures.

use super::Exchange;
use super::peer::Peer;
use mulleinhub_interface::Duration;
use mulleinhub_protocol::{self as protocol, Bad, Message, encode};
use mulleinhub_quota::Phase;
use mulleinhub_replicated_log::Name;
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::ConnectionId;

/// Connections that are being opened at a time.
const MAX_OPENING: usize = 32;
/// First delay before a failed connection is retried.
const INITIAL_RETRY_DELAY: Duration = Duration::from_nanos(200_000_000);
/// A member that broke the protocol is accepted again after this.
const BAN_DURATION: Duration = Duration::from_secs(5);

impl Exchange {
    /// Writes a message to a connection.
    pub(super) fn write(&mut self, connection: ConnectionId, message: &Message<'_>) {
        self.scratch.clear();
        encode(message, &mut self.scratch);
        self.counters.bytes_out += self.scratch.len() as u64;
        self.connections.send(connection, &self.scratch, None);
    }

    /// Closes a connection and sends the reason.
    pub(super) fn close(&mut self, connection: ConnectionId, reason: &str) {
        self.write(connection, &Message::Bye { words: reason });
        self.peers.remove(&connection);
        self.connections.close(connection);
    }

    /// Closes the connection of a peer that broke the protocol, and bans the peer for a while.
    pub(super) fn close_faulty(&mut self, connection: ConnectionId, error: &Bad) {
        self.counters.protocol_errors += 1;
        let name = self.peers.get(&connection).and_then(|peer| peer.name.clone());
        tracing::warn!(peer = ?name, %error, "a scheduler speaks wrongly; its connection ends");
        let mut reason = error.to_string();
        reason.truncate(reason.floor_char_boundary(protocol::MOST_WORDS));
        if let Some(name) = name {
            self.banned_until.insert(name, self.now + BAN_DURATION);
        }
        self.close(connection, &reason);
    }

    /// The newest connection to a member that is up.
    pub(super) fn connection_to(&self, name: &Name) -> Option<ConnectionId> {
        let mut newest_first = self.peers.iter().rev();
        newest_first.find(|(_, peer)| peer.established && peer.is(name)).map(|(connection, _)| *connection)
    }

    /// Records that a connection served for more than keep-alives.
    pub(super) fn mark_used(&mut self, connection: ConnectionId) {
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.used_at = self.now;
        }
    }

    /// Whether a member broke the protocol a moment ago.
    pub(super) fn is_banned(&self, name: &Name) -> bool {
        self.banned_until.get(name).is_some_and(|until| *until > self.now)
    }

    /// Whether a connection to a member failed a moment ago.
    pub(super) fn is_backing_off(&self, name: &Name) -> bool {
        self.retries.get(name).is_some_and(|retry| retry.not_before > self.now)
    }

    /// Opens a connection to a member, unless there is one, the member is banned, or it is too early to
    /// retry.
    pub(super) fn connect(&mut self, name: &Name) {
        if self.peers.values().any(|peer| peer.is(name)) || self.is_backing_off(name) || self.is_banned(name)
        {
            return;
        }
        let opening = self.peers.values().filter(|peer| peer.opened_by_us && !peer.established).count();
        if opening >= MAX_OPENING {
            return;
        }
        let Some(address) = self.addresses.get(name) else { return };
        let connection = self.connections.open(address);
        self.peers.insert(connection, Peer::opening(self.now, name.clone()));
    }

    /// Closes connections that are dead or idle, and opens those that are wanted.
    pub(super) fn update_connections(&mut self) {
        let catching_up = self.ledger.phase() == Phase::CatchingUp;
        self.close_dead_and_idle(catching_up);
        self.update_replicas();
        self.update_neighbors();
        let wanted: Vec<Name> = match catching_up {
            true => self.addresses.keys().filter(|name| !self.ledger.is_synced_with(name)).cloned().collect(),
            false => self.neighbors.iter().chain(&self.replicas).cloned().collect(),
        };
        wanted.iter().for_each(|name| self.connect(name));
    }

    /// Closes dead connections, and, unless catching up, idle ones to members that are not neighbors.
    fn close_dead_and_idle(&mut self, catching_up: bool) {
        let (now, interval) = (self.now, self.heartbeat_interval);
        let is_retained = |name: &Name| self.neighbors.contains(name) || self.replicas.contains(name);
        let is_neighbor = |peer: &Peer| peer.name.as_ref().is_some_and(is_retained);
        let is_unneeded = |peer: &Peer| !catching_up && peer.is_idle(now) && !is_neighbor(peer);
        let ending: Vec<(ConnectionId, bool)> = self
            .peers
            .iter()
            .map(|(connection, peer)| (*connection, peer.is_dead(now, interval), is_unneeded(peer)))
            .filter(|(_, is_dead, is_unneeded)| *is_dead || *is_unneeded)
            .map(|(connection, is_dead, _)| (connection, is_dead))
            .collect();
        for (connection, is_dead) in ending {
            if is_dead {
                self.on_connection_failed(connection);
                self.connections.abort(connection);
            } else {
                self.close(connection, "it was not used");
            }
        }
    }

    /// A connection ended that we didn't close: its member is suspected, and the connection retried later.
    pub(super) fn on_connection_failed(&mut self, connection: ConnectionId) {
        let Some(peer) = self.peers.remove(&connection) else { return };
        if let Some(name) = peer.name.as_ref().filter(|_| peer.established && !peer.announced_close) {
            self.ledger.membership.suspect(name);
        }
        let Some(name) = peer.name.filter(|_| peer.opened_by_us) else { return };
        self.schedule_retry(&name, peer.established);
        if !peer.established && self.neighbors.len() < self.addresses.len() {
            self.neighbors.remove(&name);
        }
    }

    /// Schedules the next connection attempt, after an established connection ended or an attempt failed.
    fn schedule_retry(&mut self, name: &Name, was_up: bool) {
        let drawn = self.ledger.random_fraction();
        let retry = self.retries.entry(name.clone()).or_default();
        if was_up {
            retry.not_before = self.now + backoff::reconnect_delay(INITIAL_RETRY_DELAY, drawn);
        } else {
            retry.not_before = self.now + backoff::retry_delay(INITIAL_RETRY_DELAY, retry.failures, drawn);
            retry.failures += 1;
        }
    }

    /// Where two members have opened connections to each other, closes one of them; the connection of the
    /// member whose name sorts first remains. Only the other member closes, so that not both are lost.
    pub(super) fn close_duplicate(&mut self, connection: ConnectionId, name: &Name) {
        let is_duplicate = |(other, peer): &(&ConnectionId, &Peer)| {
            **other != connection && peer.established && peer.is(name)
        };
        let Some((other, duplicate)) = self.peers.iter().find(is_duplicate) else { return };
        if self.ledger.settings().me <= *name {
            return;
        }
        let surplus = if duplicate.opened_by_us { *other } else { connection };
        if self.peers.get(&surplus).is_some_and(|peer| peer.opened_by_us) {
            self.close(surplus, "one connection is enough");
        }
    }
}
