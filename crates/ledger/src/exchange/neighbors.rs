//! Neighbors: the few members to whom connections are kept, drawn at random and redrawn now and then.

use super::Exchange;
use mulleinhub_interface::Duration;
use mulleinhub_quota::Phase;
use mulleinhub_replicated_log::{MemberState, Name};

/// Neighbors that are kept, the replicas of our work log among them.
const NEIGHBORS: usize = 3;
/// Of those, at least so many are drawn.
const MIN_DRAWN: usize = 1;
/// One of them is drawn anew this often, so that two halves of the fleet that have met nobody of each other
/// meet.
const REDRAW_INTERVAL: Duration = Duration::from_secs(20);
/// One of the members that are taken for dead is called this often.
const CALL_DEAD_INTERVAL: Duration = Duration::from_secs(5);
/// Where this part of the members is silent, it is a cut.
const SILENT_IN_A_CUT: f64 = 0.25;
/// Part of these intervals that is drawn at random.
const REDRAW_JITTER: f64 = 0.25;

impl Exchange {
    /// Drops a neighbor where it is time to, and draws those that are missing.
    pub(super) fn update_neighbors(&mut self) {
        if self.now >= self.redraw_at {
            self.redraw_at =
                self.now + REDRAW_INTERVAL * (1.0 - REDRAW_JITTER * self.keeper.random_fraction());
            self.drop_neighbor();
            while self.neighbors.len() > self.wanted_neighbors() {
                self.drop_neighbor();
            }
        }
        self.draw_neighbors();
        self.call_dead();
    }

    /// Neighbors to draw beside the replicas.
    fn wanted_neighbors(&self) -> usize {
        NEIGHBORS.saturating_sub(self.replicas.len()).max(MIN_DRAWN)
    }

    /// Calls one of the members that are silent, where there are any. The failure defended against: two
    /// parts of the fleet that lost each other for long took all of each other for dead, and with enough
    /// members alive in either part nobody was ever called across.
    fn call_dead(&mut self) {
        if self.now < self.call_dead_at || self.keeper.phase() == Phase::CatchingUp {
            return;
        }
        self.call_dead_at = self.now + CALL_DEAD_INTERVAL * (1.0 - REDRAW_JITTER * self.chance.fraction());
        let presence = |name: &&Name| self.keeper.membership.member_state(self.now, name);
        let silent = self.addresses.keys().filter(|name| presence(name) != MemberState::Alive).count();
        // One that is late is not called for that, unless many are at once: a cut.
        let is_cut = silent as f64 >= self.addresses.len() as f64 * SILENT_IN_A_CUT;
        let is_dead = |name: &&Name| match presence(name) {
            MemberState::Alive => false,
            MemberState::Suspect => is_cut,
            MemberState::Dead => true,
        };
        let dead = self.addresses.keys().filter(is_dead).filter(|name| !self.waits_to_retry(name));
        let dead: Vec<&Name> = dead.collect();
        if dead.is_empty() {
            return;
        }
        let name = dead[self.chance.below(dead.len())].clone();
        self.call(&name);
    }

    /// Nothing came on the connection to a neighbor for longer than usual, or it doesn't come up.
    fn is_doubtful(&self, name: &Name) -> bool {
        let mut connections = self.peers.values().filter(|peer| peer.is(name)).peekable();
        let is_connected = connections.peek().is_some();
        is_connected && !connections.any(|peer| peer.is_lively(self.now, self.heartbeat_interval))
    }

    /// Draws the neighbors that are missing, among the members that are alive where there are enough.
    /// Doubtful neighbors don't count, so that others are drawn beside them. The failure defended against: a
    /// member whose neighbors were all in the half that it was cut off from could tell nobody anything,
    /// though there were others in its own half.
    fn draw_neighbors(&mut self) {
        let lively = self.neighbors.iter().filter(|name| !self.is_doubtful(name)).count();
        // Where others are drawn beside doubtful ones, there are up to twice as many.
        let wanted = self.wanted_neighbors();
        let room = (2 * wanted).saturating_sub(self.neighbors.len());
        let missing = wanted.saturating_sub(lively).min(room);
        let draws: Vec<f64> = (0..missing).map(|_| self.keeper.random_fraction()).collect();
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
            !self.neighbors.contains(*name) && !self.replicas.contains(name) && !self.waits_to_retry(name)
        };
        let others: Vec<&Name> = self.addresses.keys().filter(is_new).collect();
        let present = |is_wanted: fn(MemberState) -> bool| -> Vec<&Name> {
            let is_wanted = |name: &&Name| is_wanted(self.keeper.membership.member_state(self.now, name));
            others.iter().copied().filter(is_wanted).collect()
        };
        let mut candidates = present(|presence| presence == MemberState::Alive);
        if candidates.len() < wanted {
            candidates = present(|presence| presence != MemberState::Dead);
        }
        if candidates.is_empty() {
            return others;
        }
        candidates
    }

    /// Drops a neighbor at random, a doubtful one where there are any.
    fn drop_neighbor(&mut self) {
        let doubtful: Vec<&Name> = self.neighbors.iter().filter(|name| self.is_doubtful(name)).collect();
        let droppable = if doubtful.is_empty() { self.neighbors.iter().collect() } else { doubtful };
        let droppable: Vec<Name> = droppable.into_iter().cloned().collect();
        let at = self.keeper.random_below(droppable.len());
        if let Some(name) = droppable.get(at) {
            self.neighbors.remove(name);
        }
    }
}
