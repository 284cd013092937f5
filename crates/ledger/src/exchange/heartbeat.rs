//! Heartbeats: how members learn of each other that they are alive.
//!
//! Each member counts its heartbeats; the newest count known of each member goes from peer to peer with the
//! heads of the logs.

use super::Exchange;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol as protocol;
use mulleinhub_quota::Ledger;
use mulleinhub_replicated_log::Name;
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeMap;

/// Least time between two heartbeats of a member.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// With more members than this, the interval grows with their number, as each heartbeat goes to all.
const MEMBERS_AT_MIN_INTERVAL: usize = 100;

/// A count of heartbeats in one incarnation of a member. A later incarnation is newer, whatever its count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Heartbeat {
    /// The incarnation.
    pub(super) incarnation: u64,
    /// Heartbeats in it.
    pub(super) count: u64,
}

/// A member with its newest known heartbeat.
#[derive(Clone, Debug)]
pub(super) struct MemberHeartbeat {
    /// The member.
    pub(super) name: Name,
    /// Its newest heartbeat.
    pub(super) heartbeat: Heartbeat,
}

impl MemberHeartbeat {
    /// The heartbeat as a message of the protocol.
    pub(super) fn message(&self) -> protocol::Beat<'_> {
        protocol::Beat { name: &self.name, life: self.heartbeat.incarnation, count: self.heartbeat.count }
    }
}

/// The heartbeats that one peer is known to have.
#[derive(Debug, Default)]
pub(super) struct HeartbeatCursor {
    pushed_at: Timestamp,
    known: BTreeMap<Name, Heartbeat>,
}

impl HeartbeatCursor {
    /// Whether heartbeats are to be pushed again.
    pub(super) fn is_due(&self, now: Timestamp, interval: Duration) -> bool {
        now - self.pushed_at >= interval
    }

    /// The peer sent a heartbeat, and so knows it.
    fn learn(&mut self, name: Name, heartbeat: Heartbeat) {
        let known = self.known.entry(name).or_default();
        *known = (*known).max(heartbeat);
    }

    /// Those heartbeats that the peer doesn't know. They count as pushed.
    pub(super) fn take_newer(
        &mut self,
        now: Timestamp,
        heartbeats: impl Iterator<Item = MemberHeartbeat>,
    ) -> Vec<MemberHeartbeat> {
        self.pushed_at = now;
        let mut newer = Vec::new();
        for member in heartbeats {
            let known = self.known.get(&member.name).copied().unwrap_or_default();
            if member.heartbeat > known {
                self.known.insert(member.name.clone(), member.heartbeat);
                newer.push(member);
            }
        }
        newer
    }
}

/// The time between two heartbeats of a member, given the number of members.
pub(super) fn interval(members: usize) -> Duration {
    MIN_INTERVAL * (members as f64 / MEMBERS_AT_MIN_INTERVAL as f64).max(1.0)
}

/// The newest heartbeats that are known here: of the other members, then our own.
pub(super) fn newest(ledger: &Ledger, own_count: u64) -> impl Iterator<Item = MemberHeartbeat> {
    let others = ledger.membership.members().map(|name| {
        let (incarnation, count) = ledger.membership.heartbeat_of(name);
        MemberHeartbeat { name: name.clone(), heartbeat: Heartbeat { incarnation, count } }
    });
    let own = Heartbeat { incarnation: ledger.incarnation(), count: own_count };
    others.chain([MemberHeartbeat { name: ledger.settings().me.clone(), heartbeat: own }])
}

impl Exchange {
    /// Records the heartbeats that a peer sent.
    pub(super) fn receive_heartbeats(&mut self, connection: ConnectionId, heartbeats: &[protocol::Beat<'_>]) {
        for message in heartbeats {
            let name = Name::from(message.name);
            let heartbeat = Heartbeat { incarnation: message.life, count: message.count };
            self.ledger.membership.on_heartbeat(self.now, &name, (heartbeat.incarnation, heartbeat.count));
            if let Some(peer) = self.peers.get_mut(&connection) {
                peer.heartbeats.learn(name, heartbeat);
            }
        }
    }

    /// Counts our own heartbeat where one is due.
    pub(super) fn count_heartbeat(&mut self) {
        if self.now >= self.next_heartbeat_at {
            self.heartbeats += 1;
            self.next_heartbeat_at = self.now + self.heartbeat_interval;
        }
    }
}
