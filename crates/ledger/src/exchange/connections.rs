//! Connections: opening them, writing to them, ending them, and trying again after failures.

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
/// First wait before a connection is tried again.
const RETRY: Duration = Duration::from_nanos(200_000_000);
/// A member that broke the protocol is let in again after this.
const BAN: Duration = Duration::from_secs(5);

impl Exchange {
    /// Writes a message to a connection.
    pub(super) fn write(&mut self, link: ConnectionId, message: &Message<'_>) {
        self.scratch.clear();
        encode(message, &mut self.scratch);
        self.figures.bytes_out += self.scratch.len() as u64;
        self.links.send(link, &self.scratch, None);
    }

    /// Ends a connection, saying why.
    pub(super) fn end(&mut self, link: ConnectionId, words: &str) {
        self.write(link, &Message::Bye { words });
        self.peers.remove(&link);
        self.links.close(link);
    }

    /// Ends the connection of a peer that broke the protocol, and no other.
    pub(super) fn cut(&mut self, link: ConnectionId, bad: &Bad) {
        self.figures.bad += 1;
        let name = self.peers.get(&link).and_then(|peer| peer.name.clone());
        tracing::warn!(peer = ?name, %bad, "a scheduler speaks wrongly; its connection ends");
        let mut words = bad.to_string();
        words.truncate(words.floor_char_boundary(protocol::MOST_WORDS));
        if let Some(name) = name {
            self.banned_until.insert(name, self.now + BAN);
        }
        self.end(link, &words);
    }

    /// The newest connection to a member that is up.
    pub(super) fn link_to(&self, name: &Name) -> Option<ConnectionId> {
        let mut newest_first = self.peers.iter().rev();
        newest_first.find(|(_, peer)| peer.greeted && peer.is(name)).map(|(link, _)| *link)
    }

    /// A connection served for more than signs of life.
    pub(super) fn mark_used(&mut self, link: ConnectionId) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.used_at = self.now;
        }
    }

    /// Whether a member broke the protocol a moment ago.
    pub(super) fn is_banned(&self, name: &Name) -> bool {
        self.banned_until.get(name).is_some_and(|until| *until > self.now)
    }

    /// Whether a connection to a member failed a moment ago.
    pub(super) fn waits_to_retry(&self, name: &Name) -> bool {
        self.retries.get(name).is_some_and(|retry| retry.not_before > self.now)
    }

    /// Opens a connection to a member, unless there is one, or it is too early to try again.
    pub(super) fn call(&mut self, name: &Name) {
        if self.peers.values().any(|peer| peer.is(name)) || self.waits_to_retry(name) || self.is_banned(name)
        {
            return;
        }
        let opening = self.peers.values().filter(|peer| peer.opened_by_us && !peer.greeted).count();
        if opening >= MAX_OPENING {
            return;
        }
        let Some(address) = self.addresses.get(name) else { return };
        let link = self.links.open(address);
        self.peers.insert(link, Peer::opening(self.now, name.clone()));
    }

    /// Ends connections that are dead or idle, and opens those that are wanted.
    pub(super) fn update_connections(&mut self) {
        let catching_up = self.keeper.phase() == Phase::CatchingUp;
        self.end_dead_and_idle(catching_up);
        self.update_replicas();
        self.update_neighbors();
        let calls: Vec<Name> = match catching_up {
            true => self.addresses.keys().filter(|name| !self.keeper.is_synced_with(name)).cloned().collect(),
            false => self.neighbors.iter().chain(&self.replicas).cloned().collect(),
        };
        calls.iter().for_each(|name| self.call(name));
    }

    /// Ends dead connections, and, unless we are catching up, idle ones to members that are no neighbors.
    fn end_dead_and_idle(&mut self, catching_up: bool) {
        let (now, interval) = (self.now, self.heartbeat_interval);
        let is_kept = |name: &Name| self.neighbors.contains(name) || self.replicas.contains(name);
        let is_neighbor = |peer: &Peer| peer.name.as_ref().is_some_and(is_kept);
        let is_unneeded = |peer: &Peer| !catching_up && peer.is_idle(now) && !is_neighbor(peer);
        let ending: Vec<(ConnectionId, bool)> = self
            .peers
            .iter()
            .map(|(link, peer)| (*link, peer.is_dead(now, interval), is_unneeded(peer)))
            .filter(|(_, is_dead, is_unneeded)| *is_dead || *is_unneeded)
            .map(|(link, is_dead, _)| (link, is_dead))
            .collect();
        for (link, is_dead) in ending {
            if is_dead {
                self.failed(link);
                self.links.abort(link);
            } else {
                self.end(link, "it was not used");
            }
        }
    }

    /// A connection is over that was not ended by us: its member is suspected, and tried again later.
    pub(super) fn failed(&mut self, link: ConnectionId) {
        let Some(peer) = self.peers.remove(&link) else { return };
        if let Some(name) = peer.name.as_ref().filter(|_| peer.greeted && !peer.said_bye) {
            self.keeper.membership.suspect(name);
        }
        let Some(name) = peer.name.filter(|_| peer.opened_by_us) else { return };
        self.plan_retry(&name, peer.greeted);
        if !peer.greeted && self.neighbors.len() < self.addresses.len() {
            self.neighbors.remove(&name);
        }
    }

    /// Sets when a member is tried again, after a connection that was up has ended or one didn't come up.
    fn plan_retry(&mut self, name: &Name, was_up: bool) {
        let drawn = self.keeper.random_fraction();
        let retry = self.retries.entry(name.clone()).or_default();
        if was_up {
            retry.not_before = self.now + backoff::reconnect_delay(RETRY, drawn);
        } else {
            retry.not_before = self.now + backoff::retry_delay(RETRY, retry.failures, drawn);
            retry.failures += 1;
        }
    }

    /// Where two members have opened connections to each other, ends one of them: the one that stays is the
    /// one opened by the member whose name comes first. The other member leaves that to us.
    pub(super) fn end_twin(&mut self, link: ConnectionId, name: &Name) {
        let is_twin =
            |(other, peer): &(&ConnectionId, &Peer)| **other != link && peer.greeted && peer.is(name);
        let Some((other, twin)) = self.peers.iter().find(is_twin) else { return };
        if self.keeper.settings().me <= *name {
            return;
        }
        let surplus = if twin.opened_by_us { *other } else { link };
        if self.peers.get(&surplus).is_some_and(|peer| peer.opened_by_us) {
            self.end(surplus, "one connection is enough");
        }
    }
}
