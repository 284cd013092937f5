//! Neighbors: the few members to whom connections are kept, drawn at random and redrawn from time to time.

use super::Exchange;
use mulleinhub_interface::Duration;
use mulleinhub_quota::Phase;
use mulleinhub_replicated_log::{MemberState, Name};

/// Neighbors that are kept, the replicas of our work log among them.
const NEIGHBORS: usize = 3;
/// Of those, at least so many are drawn.
const MIN_DRAWN: usize = 1;
/// One of them is redrawn this often, so that two halves of the fleet without connections between them get
/// connected.
const REDRAW_INTERVAL: Duration = Duration::from_secs(20);
/// A connection to one of the members that seem dead is attempted this often.
const CONNECT_DEAD_INTERVAL: Duration = Duration::from_secs(5);
/// Where this fraction of the members is silent, a network partition is assumed.
const PARTITION_SILENT_FRACTION: f64 = 0.25;
/// Part of these intervals that is drawn at random.
const REDRAW_JITTER: f64 = 0.25;

impl Exchange {
    /// Drops a neighbor where that is due, and draws those that are missing.
    pub(super) fn update_neighbors(&mut self) {
        if self.now >= self.redraw_neighbors_at {
            self.redraw_neighbors_at =
                self.now + REDRAW_INTERVAL * (1.0 - REDRAW_JITTER * self.ledger.random_fraction());
            self.drop_neighbor();
            while self.neighbors.len() > self.wanted_neighbors() {
                self.drop_neighbor();
            }
        }
        self.draw_neighbors();
        self.connect_to_dead_member();
    }

    /// Neighbors to draw beside the replicas.
    fn wanted_neighbors(&self) -> usize {
        NEIGHBORS.saturating_sub(self.replicas.len()).max(MIN_DRAWN)
    }

    /// Connects to one of the silent members, where there are any. Guards against: after a long partition
    /// each side took all members of the other for dead, and with enough members alive on either side no
    /// connection across was ever attempted.
    fn connect_to_dead_member(&mut self) {
        if self.now < self.connect_dead_at || self.ledger.phase() == Phase::CatchingUp {
            return;
        }
        self.connect_dead_at =
            self.now + CONNECT_DEAD_INTERVAL * (1.0 - REDRAW_JITTER * self.random.fraction());
        let member_state = |name: &&Name| self.ledger.membership.member_state(self.now, name);
        let silent = self.addresses.keys().filter(|name| member_state(name) != MemberState::Alive).count();
        // Suspect members are tried only in a partition, that is, where many are silent at once.
        let is_partition = silent as f64 >= self.addresses.len() as f64 * PARTITION_SILENT_FRACTION;
        let is_dead = |name: &&Name| match member_state(name) {
            MemberState::Alive => false,
            MemberState::Suspect => is_partition,
            MemberState::Dead => true,
        };
        let dead = self.addresses.keys().filter(is_dead).filter(|name| !self.is_backing_off(name));
        let dead: Vec<&Name> = dead.collect();
        if dead.is_empty() {
            return;
        }
        let name = dead[self.random.below(dead.len())].clone();
        self.connect(&name);
    }

    /// Whether nothing was received from a neighbor for longer than usual, or the connection isn't
    /// established.
    fn is_unresponsive(&self, name: &Name) -> bool {
        let mut connections = self.peers.values().filter(|peer| peer.is(name)).peekable();
        let is_connected = connections.peek().is_some();
        is_connected && !connections.any(|peer| peer.is_responsive(self.now, self.heartbeat_interval))
    }

    /// Draws the neighbors that are missing, among the members that are alive where there are enough.
    /// Unresponsive neighbors don't count, so that others are drawn beside them. Guards against: a
    /// member whose neighbors were all in the half that it was partitioned from could push nothing,
    /// though there were others in its own half.
    fn draw_neighbors(&mut self) {
        let responsive = self.neighbors.iter().filter(|name| !self.is_unresponsive(name)).count();
        // With others drawn beside unresponsive ones, there are up to twice as many neighbors.
        let wanted = self.wanted_neighbors();
        let capacity = (2 * wanted).saturating_sub(self.neighbors.len());
        let missing = wanted.saturating_sub(responsive).min(capacity);
        let draws: Vec<f64> = (0..missing).map(|_| self.ledger.random_fraction()).collect();
        let mut candidates = self.candidates(missing);
        let mut drawn = Vec::new();
        for part in draws.into_iter().take(candidates.len()) {
            let at = (candidates.len() as f64 * part) as usize;
            drawn.push(candidates.swap_remove(at).clone());
        }
        self.neighbors.extend(drawn);
    }

    /// Members that can become neighbors: those alive; all that are not dead, where fewer than `wanted` are
    /// alive; all others, where there are none of these.
    fn candidates(&self, wanted: usize) -> Vec<&Name> {
        let is_new = |name: &&Name| {
            !self.neighbors.contains(*name) && !self.replicas.contains(name) && !self.is_backing_off(name)
        };
        let others: Vec<&Name> = self.addresses.keys().filter(is_new).collect();
        let in_state = |matches: fn(MemberState) -> bool| -> Vec<&Name> {
            let matches = |name: &&Name| matches(self.ledger.membership.member_state(self.now, name));
            others.iter().copied().filter(matches).collect()
        };
        let mut candidates = in_state(|member_state| member_state == MemberState::Alive);
        if candidates.len() < wanted {
            candidates = in_state(|member_state| member_state != MemberState::Dead);
        }
        if candidates.is_empty() {
            return others;
        }
        candidates
    }

    /// Drops a neighbor at random, an unresponsive one where there are any.
    fn drop_neighbor(&mut self) {
        let unresponsive: Vec<&Name> =
            self.neighbors.iter().filter(|name| self.is_unresponsive(name)).collect();
        let droppable = if unresponsive.is_empty() { self.neighbors.iter().collect() } else { unresponsive };
        let droppable: Vec<Name> = droppable.into_iter().cloned().collect();
        let at = self.ledger.random_below(droppable.len());
        if let Some(name) = droppable.get(at) {
            self.neighbors.remove(name);
        }
    }
}
